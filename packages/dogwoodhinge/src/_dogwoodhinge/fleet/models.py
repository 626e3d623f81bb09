"""Configuration and engines as the nodes know them."""

from collections.abc import Iterable, Mapping
import dataclasses
import datetime
import enum
from typing import final


class RequestKind(enum.Enum):
    """What may be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Share:
    """A service's part of a route's requests."""

    service: str
    weight: float


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """Which service serves the requests below one path, and how.

    Attributes:
        host: the host that callers name.
        path_prefix: begins and ends with a slash.
        timeout: the longest time a caller is kept waiting.
        latency_target: an answer (or first event) within it is on time.
        priority: 0 is the most important.
        shares: the services, usually one.
        max_engines: engines that one attempt of a caller may be sent to.
        resumable: a stream may go on at another engine.
    """

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    timeout: datetime.timedelta
    latency_target: datetime.timedelta
    priority: int
    shares: tuple[Share, ...]
    max_engines: int
    resumable: bool = False

    @property
    def repeatable(self) -> bool:
        """Tells whether a request may run more than once."""
        return self.kind is RequestKind.IDEMPOTENT or self.resumable


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BaseModel:
    """A base model that engines of a service may hold.

    Attributes:
        size_mb: memory that its weights take.
        load_time: from the weight store.
    """

    name: str
    size_mb: float
    load_time: datetime.timedelta
    adapter_size_mb: float = 0.0


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EngineClass:
    """What every engine of a service has.

    Attributes:
        request_slots: requests that one engine runs at once.
        memory_tokens: tokens that running requests and kept prompts share.
        weights_mb: memory for base models and adapters together.
        adapter_places: adapters that one engine holds or loads at once.
        loads_per_second: base models that may be loaded from the weight
            store a second, over all engines.
    """

    request_slots: int
    memory_tokens: int
    weights_mb: float
    adapter_places: int
    loads_per_second: float
    base_models: Mapping[str, BaseModel]

    def places_beside(self, held: Iterable[str]) -> int:
        """Returns how many adapters an engine takes beside its base models.

        Args:
            held: names of the base models.
        """
        resident = [
            self.base_models[name] for name in held if name in self.base_models
        ]
        adapter_mb = max((m.adapter_size_mb for m in resident), default=0.0)
        if not adapter_mb:
            return self.adapter_places
        free_mb = self.weights_mb - sum(m.size_mb for m in resident)
        return max(0, min(self.adapter_places, int(free_mb / adapter_mb)))


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """Engines or plain endpoints that serve the same requests.

    Attributes:
        connection_limit: connections that one endpoint accepts from all nodes.
        engine: None for a plain service.
    """

    name: str
    connection_limit: int
    engine: EngineClass | None = None


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallerLimits:
    """What a caller may send, and how long it may take."""

    head_bytes: int
    body_bytes: int
    head_timeout: datetime.timedelta
    idle_timeout: datetime.timedelta


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Configuration:
    """One version of the operator's configuration, complete."""

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    limits: CallerLimits

    def find_route(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix of `path`."""
        found: Route | None = None
        for route in self.routes:
            if route.host != host or not path.startswith(route.path_prefix):
                continue
            if found is None or len(route.path_prefix) > len(found.path_prefix):
                found = route
        return found


@final
@dataclasses.dataclass(frozen=True, slots=True, order=True)
class AdapterKey:
    """An adapter of a base model; an empty name is the model alone."""

    model: str
    adapter: str

    def __str__(self) -> str:
        return f"{self.model}/{self.adapter}" if self.adapter else self.model


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HeldModel:
    """A base model on an engine, with the adapters it holds.

    Attributes:
        version: version of the weights.
        adapters: names and versions of the resident adapters.
    """

    name: str
    version: int
    adapters: Mapping[str, int]


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EngineEntry:
    """What an endpoint says of itself in the list of endpoints.

    Attributes:
        engine_id: new at most starts; one id may start again, see `born_ms`.
        leaving: takes no new work.
        born_ms: start of this incarnation, Unix milliseconds; 0 when not told.
        orders_accepted: orders carried out or begun since its start.
    """

    engine_id: str
    service: str
    host: str
    port: int
    zone: str
    slots: int
    leaving: bool
    born_ms: int
    orders_accepted: int
    models: Mapping[str, HeldModel]

    @property
    def incarnation(self) -> tuple[str, int]:
        """Tells two starts under one id apart."""
        return self.engine_id, self.born_ms


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EngineReport:
    """An engine's own report; it is some hundred milliseconds old.

    Attributes:
        busy: an order about a base model is under way.
        pending: adapters on their way, with their versions.
        in_memory: adapters whose weights are still in the engine's host
            memory, which load much faster.
    """

    orders_accepted: int
    waiting: int
    running: int
    born_ms: int
    models: Mapping[str, HeldModel]
    pending: Mapping[AdapterKey, int]
    in_memory: frozenset[AdapterKey] = frozenset()
    busy: bool = False
