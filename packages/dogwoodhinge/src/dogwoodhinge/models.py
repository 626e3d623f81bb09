"""Data types that ports accept and return."""

from collections.abc import Mapping
import dataclasses
import datetime
import enum
from typing import final


@final
@dataclasses.dataclass(frozen=True, slots=True, order=True)
class AdapterVersion:
    """An adapter and its version, written `adapter@version`."""

    adapter: str
    version: str

    def __str__(self) -> str:
        return f"{self.adapter}@{self.version}"

    @classmethod
    def parse(cls, model: str) -> "AdapterVersion":
        """Parses the `model` member of a caller's request.

        Raises:
            ValueError: the name is not of the form `adapter@version`.
        """
        adapter, separator, version = model.rpartition("@")
        if not (adapter and separator and version):
            raise ValueError(f"model {model!r} must be written adapter@version")
        return cls(adapter, version)


class EndpointKind(enum.StrEnum):
    """Kind of an entry in the host list."""

    NODE = "node"
    ENGINE = "engine"
    SERVICE = "service"


class HostState(enum.StrEnum):
    """State of a host according to the host list."""

    LIVE = "live"
    LEAVING = "leaving"


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """An entry of the host list.

    Attributes:
        endpoint_id: unique id, stable for the lifetime of the host.
        kind: node, engine or plain service.
        url: base URL (`http://10.0.0.1:8000`); for a node, with its peer port.
        role: purpose of a group of engines, e.g. `description`; for a plain
            service, its name.
        zone: availability zone.
        region: region.
        base_model: base model that an engine serves; empty for other kinds.
        slots: number of adapter slots of an engine.
        batch: number of requests that an engine runs concurrently.
        checks_fencing: whether the engine rejects orders with an old fencing
            token.
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
    """One response of the host list.

    Attributes:
        endpoints: all entries, live and leaving.
        fetched_at: time when the response was received, in monotonic seconds.
    """

    endpoints: tuple[Endpoint, ...]
    fetched_at: float


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """A row of a table; `version` increases with each write of the row."""

    table: str
    key: str
    value: bytes
    version: int


ABSENT = 0  # as an expected version: the row must not exist


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Check:
    """Requires that a row has exactly this version (`ABSENT`: no row)."""

    table: str
    key: str
    version: int


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """Writes a row, or deletes it when `value` is None.

    Attributes:
        version: new version of the row; the writer increments it.
        expected: version that the row must have; None for any.
    """

    table: str
    key: str
    value: bytes | None
    version: int
    expected: int | None = None


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Transaction:
    """Checks and writes that are applied atomically.

    Attributes:
        transaction_id: idempotency key; the table applies a transaction that
            is sent again with the same id within ten minutes only once.
    """

    transaction_id: str
    writes: tuple[Write, ...]
    checks: tuple[Check, ...] = ()


@final
@dataclasses.dataclass(frozen=True, slots=True)
class AdapterWeights:
    """Location of the weights of an adapter version.

    Attributes:
        adapter: adapter and version.
        location: URL that an engine loads the weights from.
        size: size in bytes.
        store: name of the weight store.
    """

    adapter: AdapterVersion
    location: str
    size: int
    store: str


@final
@dataclasses.dataclass(frozen=True, slots=True)
class StoreWidth:
    """Throughput limits of a weight store.

    Attributes:
        full_speed: number of concurrent loads that each run at full speed.
        crowded_from: number of loads in flight from which the store slows
            down.
        loads_per_second: sustained rate of loads.
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
        engine_id: name that the engine reports for itself; if `epoch` changes
            under the same name, the engine has restarted.
        epoch: new value for each start of the engine.
        age: age of the report when the response was received.
        residents: adapters in the adapter slots.
        running: requests in the batch.
        waiting: number of requests queued inside the engine.
        fence: highest fencing token seen; 0 if the engine ignores tokens.
        event_sequence: sequence number of the latest cache event.
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
        request_id: unique id of the attempt; the engine includes it in every
            chunk.
        adapter: adapter and version.
        path: `/v1/completions` or `/v1/chat/completions`.
        body: the caller's JSON body, with `model` unchanged.
        token: fencing token of the grant.
        priority: 0 is the highest priority.
        deadline: time remaining until the caller's deadline.
        offset: number of tokens already received; if above 0, the stream is
            resumed.
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
        request_id: id of the request as the engine reports it.
        offset: number of tokens sent up to and including this chunk.
        data: JSON of the event as it is sent to the caller.
        end: whether this is the end marker, whose `data` is empty.
    """

    request_id: str
    offset: int
    data: bytes
    end: bool = False


@final
@dataclasses.dataclass(frozen=True, slots=True)
class PlainCall:
    """A call to a plain service.

    Attributes:
        call_id: unique id of the attempt.
        idempotency_key: forwarded from the caller; empty if it sent none.
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
    """The complete response of a plain service."""

    status: int
    body: bytes
    content_type: str


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FleetEndpoint:
    """An engine or plain endpoint as a fleet's platform lists it.

    Attributes:
        leaving: whether it is leaving and accepts no new requests.
        held: base models that it holds, each with its adapters as
            `name@version`, according to its last report.
    """

    endpoint_id: str
    service: str
    zone: str
    address: str
    leaving: bool
    held: Mapping[str, tuple[str, ...]]


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConfigurationProblem:
    """Something that the operator of a fleet cannot have meant.

    Attributes:
        place: names of the parts that lead to it, joined by dots.
        text: what is wrong; contains no keys.
    """

    place: str
    text: str


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConfigurationCheck:
    """What a check of a fleet's configuration found.

    Attributes:
        version: its version; None if it can't be applied.
        errors: why nodes would not apply it.
        problems: what nodes would apply, but is certainly not meant.
        changes: lines with what differs from another version.
    """

    version: int | None
    errors: tuple[ConfigurationProblem, ...] = ()
    problems: tuple[ConfigurationProblem, ...] = ()
    changes: tuple[str, ...] = ()


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FleetState:
    """The state that a fleet's platform stores, from one read.

    Attributes:
        configuration: version of the operator's configuration; None before
            the first one.
        routes: number of routes in the configuration.
        owner: the leader, the node that gives the orders to the engines;
            empty if there is none.
        owner_address: address of the leader for its peers; empty once it has
            given up the order lease.
        owner_token: fencing token of the leader's orders.
        endpoints: endpoints, ordered by id.
        unreadable: keys of rows that can't be read, with the reason.
    """

    configuration: int | None
    routes: int
    owner: str
    owner_address: str
    owner_token: int
    endpoints: tuple[FleetEndpoint, ...]
    unreadable: Mapping[str, str]
