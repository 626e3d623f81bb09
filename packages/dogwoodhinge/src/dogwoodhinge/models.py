"""Data that crosses the ports."""

from collections.abc import Mapping
import dataclasses
import datetime
import enum
from typing import final


@final
@dataclasses.dataclass(frozen=True, slots=True, order=True)
class AdapterVersion:
    """An adapter and the version of it; written `adapter@version`."""

    adapter: str
    version: str

    def __str__(self) -> str:
        return f"{self.adapter}@{self.version}"

    @classmethod
    def parse(cls, model: str) -> "AdapterVersion":
        """Reads the `model` member of a caller's request.

        Raises:
            ValueError: the name is not of the form `adapter@version`.
        """
        adapter, separator, version = model.rpartition("@")
        if not (adapter and separator and version):
            raise ValueError(f"model {model!r} must be written adapter@version")
        return cls(adapter, version)


class EndpointKind(enum.StrEnum):
    """What stands behind an address of the host list."""

    NODE = "node"
    ENGINE = "engine"
    SERVICE = "service"


class HostState(enum.StrEnum):
    """What the host list says of a host."""

    LIVE = "live"
    LEAVING = "leaving"


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """An entry of the host list.

    Attributes:
        endpoint_id: unique, and stable while the host lives.
        kind: node, engine or plain service.
        url: base URL (`http://10.0.0.1:8000`); for a node its peer port.
        role: what the engines of a group are for, e.g. `description`; for a
            plain service, its name.
        zone: availability zone.
        region: region.
        base_model: the model an engine serves; empty for others.
        slots: adapters an engine holds at once.
        batch: requests an engine runs at once.
        checks_fencing: the engine refuses orders with an old fencing token.
        state: live or leaving.
    """

    endpoint_id: str
    kind: EndpointKind
    url: str
    role: str = ""
    zone: str = ""
    region: str = ""
    base_model: str = ""
    slots: int = 0
    batch: int = 0
    checks_fencing: bool = False
    state: HostState = HostState.LIVE


@final
@dataclasses.dataclass(frozen=True, slots=True)
class HostListing:
    """One answer of the host list.

    Attributes:
        endpoints: all entries, live and leaving.
        fetched_at: when the answer arrived, monotonic seconds.
    """

    endpoints: tuple[Endpoint, ...]
    fetched_at: float


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """A row of the table; `version` grows with each write of the row."""

    table: str
    key: str
    value: bytes
    version: int


ABSENT = 0  # as an expected version: the row must not exist


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Check:
    """Holds when the row has exactly this version (`ABSENT`: no row)."""

    table: str
    key: str
    version: int


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """Writes a row, or deletes it when `value` is None.

    Attributes:
        version: the version that the row gets; the writer counts it up.
        expected: version that the row must have, None for any.
    """

    table: str
    key: str
    value: bytes | None
    version: int
    expected: int | None = None


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Transaction:
    """Checks and writes that take effect together or not at all.

    Attributes:
        transaction_id: sent again with the same id within ten minutes, the
            table carries it out once.
    """

    transaction_id: str
    writes: tuple[Write, ...]
    checks: tuple[Check, ...] = ()


@final
@dataclasses.dataclass(frozen=True, slots=True)
class AdapterWeights:
    """Where the weights of an adapter's version lie.

    Attributes:
        adapter: adapter and version.
        location: URL that an engine loads from.
        size: bytes.
        store: name of the weight store.
    """

    adapter: AdapterVersion
    location: str
    size: int
    store: str


@final
@dataclasses.dataclass(frozen=True, slots=True)
class StoreWidth:
    """What a weight store carries.

    Attributes:
        full_speed: loads at once that each run at full speed.
        crowded_from: loads in flight from which the store slows down.
        loads_per_second: sustained rate.
    """

    full_speed: int
    crowded_from: int
    loads_per_second: float


@final
@dataclasses.dataclass(frozen=True, slots=True)
class RunningRequest:
    """A request that an engine reports as running."""

    request_id: str
    adapter: AdapterVersion


@final
@dataclasses.dataclass(frozen=True, slots=True)
class EngineReport:
    """An engine's load report.

    Attributes:
        engine_id: the engine's own name; a change of `epoch` under the same
            name is a restart.
        epoch: drawn anew at each start of the engine.
        age: how old the figures were when the answer arrived.
        residents: adapters in slots.
        running: requests in the batch.
        waiting: requests queued inside the engine.
        fence: highest fencing token seen, 0 when the engine ignores them.
        event_sequence: number of the newest cache event.
    """

    engine_id: str
    epoch: str
    age: datetime.timedelta
    residents: tuple[AdapterVersion, ...]
    running: tuple[RunningRequest, ...]
    waiting: int
    fence: int = 0
    event_sequence: int = 0


@final
@dataclasses.dataclass(frozen=True, slots=True)
class EngineRequest:
    """A generation to run on an engine.

    Attributes:
        request_id: unique for the attempt; the engine repeats it in every
            chunk.
        adapter: adapter and version.
        path: `/v1/completions` or `/v1/chat/completions`.
        body: the caller's JSON body, `model` as the caller wrote it.
        token: fencing token of the grant.
        priority: 0 is the most urgent.
        deadline: time left until the caller's deadline.
        offset: tokens already received; above 0 the stream is resumed.
    """

    request_id: str
    adapter: AdapterVersion
    path: str
    body: bytes
    token: int
    priority: int
    deadline: datetime.timedelta
    offset: int = 0


@final
@dataclasses.dataclass(frozen=True, slots=True)
class StreamChunk:
    """One event of an engine's stream.

    Attributes:
        request_id: as the engine names the request.
        offset: tokens sent up to and with this chunk.
        data: the JSON of the event, as it goes to the caller.
        end: the end marker; `data` is empty.
    """

    request_id: str
    offset: int
    data: bytes
    end: bool = False


@final
@dataclasses.dataclass(frozen=True, slots=True)
class PlainCall:
    """A call of a plain service.

    Attributes:
        call_id: unique for the attempt.
        idempotency_key: passed on, empty when the caller sent none.
    """

    call_id: str
    method: str
    path: str
    body: bytes
    content_type: str
    idempotency_key: str = ""


@final
@dataclasses.dataclass(frozen=True, slots=True)
class PlainAnswer:
    """A plain service's whole answer."""

    status: int
    body: bytes
    content_type: str


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FleetEndpoint:
    """An engine or plain endpoint as a fleet's platform lists it.

    Attributes:
        leaving: takes no new work.
        held: base models that it holds, each with its adapters as
            `name@version`, as of its last word.
    """

    endpoint_id: str
    service: str
    zone: str
    address: str
    leaving: bool
    held: Mapping[str, tuple[str, ...]]


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FleetState:
    """What a fleet's platform keeps, read at one time.

    Attributes:
        configuration: the operator's version; None before the first one.
        routes: how many it has.
        owner: the node that gives orders to engines; empty for none.
        owner_address: where its peers reach it; empty once given up.
        owner_token: the fencing token of its orders.
        endpoints: in the order of their ids.
        unreadable: keys of rows that can't be read, with the reason.
    """

    configuration: int | None
    routes: int
    owner: str
    owner_address: str
    owner_token: int
    endpoints: tuple[FleetEndpoint, ...]
    unreadable: Mapping[str, str]
