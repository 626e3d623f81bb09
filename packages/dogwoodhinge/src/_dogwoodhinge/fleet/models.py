"""Data types for the operator's configuration and the engines' state."""

from collections.abc import Iterable, Mapping
import dataclasses
import datetime
import enum
import functools
from typing import final


class RequestKind(enum.Enum):
    """How a route's requests behave, which decides whether they are retried."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Share:
    """The fraction of a route's requests that a service receives."""

    service: str
    weight: float


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """Maps requests with a host and path prefix to services.

    Attributes:
        host: the host that callers name in their requests.
        path_prefix: starts and ends with a slash.
        timeout: the maximum time that a caller waits.
        latency_target: a response (or first event) within this time is on
            time.
        priority: 0 is the highest.
        shares: the services, usually one.
        max_engines: maximum number of engines that one request is sent to.
        resumable: whether a stream may be resumed on another engine.
        longest_pause: longest pause between events of a stream that is still
            on time; None if the route does not say.
        public: whether requests need no key.
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
    longest_pause: datetime.timedelta | None = None
    public: bool = False

    @property
    def streamed(self) -> bool:
        """True if responses are event streams; others come in one piece."""
        return self.kind is RequestKind.STREAMING

    @property
    def repeatable(self) -> bool:
        """True if a request may run more than once."""
        return self.kind is RequestKind.IDEMPOTENT or (
            self.streamed and self.resumable
        )


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BaseModel:
    """A base model that engines of a service can load.

    Attributes:
        size_mb: memory that its weights take.
        load_time: time of a load from the weight store.
        adapter_size_mb: memory that each of its adapters takes; 0 if unknown.
    """

    name: str
    size_mb: float
    load_time: datetime.timedelta
    adapter_size_mb: float = 0.0


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EngineClass:
    """Capacity that every engine of a service has.

    Attributes:
        request_slots: batch slots, the requests that one engine runs at once.
        memory_tokens: KV cache size in tokens, shared by running requests and
            cached prompts.
        weights_mb: memory for base models and adapters together.
        adapter_places: adapter slots, the adapters that one engine holds or
            loads at once.
        loads_per_second: limit on loads of base models from the weight store,
            over all engines.
    """

    request_slots: int
    memory_tokens: int
    weights_mb: float
    adapter_places: int
    loads_per_second: float
    base_models: Mapping[str, BaseModel]

    def adapter_capacity(self, held: Iterable[str]) -> int:
        """Returns how many adapters an engine can hold beside its base models.

        The number is limited by the adapter slots and by the free memory.

        Args:
            held: names of the base models on the engine.
        """
        resident = [
            self.base_models[name] for name in held if name in self.base_models
        ]
        adapter_mb = max((m.adapter_size_mb for m in resident), default=0.0)
        if not adapter_mb:
            return self.adapter_places
        free_mb = self.weights_mb - sum(m.size_mb for m in resident)
        return max(0, int(min(self.adapter_places, free_mb / adapter_mb)))


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """Engines or plain endpoints that serve the same requests.

    Attributes:
        connection_limit: connections that one endpoint accepts from all nodes
            together.
        engine: capacity of its engines; None for a plain service.
    """

    name: str
    connection_limit: int
    engine: EngineClass | None = None


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallerLimits:
    """Size limits and timeouts for callers' requests."""

    head_bytes: int
    body_bytes: int
    head_timeout: datetime.timedelta
    idle_timeout: datetime.timedelta


class QuotaUnit(enum.Enum):
    """What a quota counts."""

    REQUESTS = "requests"
    TOKENS = "tokens"


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Quota:
    """Limit on what an organisation may ask of all nodes together.

    Attributes:
        unit: what `per_second` and `burst` count.
        per_second: sustained rate.
        burst: amount that may be asked at once after a time without use.
        unsized_tokens: what a request counts as that does not state its size;
            used for `QuotaUnit.TOKENS` only.
    """

    unit: QuotaUnit
    per_second: float
    burst: float
    unsized_tokens: float = 0.0


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Organisation:
    """A customer, with the keys by which its requests are recognized.

    Attributes:
        name: sent to engines with its requests.
        keys: its keys as the callers send them; never logged.
        priority: goes before the priority of a route, 0 is the highest; None
            leaves it to the route.
        quota: None for no limit.
    """

    name: str
    keys: tuple[bytes, ...] = dataclasses.field(default=(), repr=False)
    priority: int | None = None
    quota: Quota | None = None


@final
@dataclasses.dataclass(frozen=True, kw_only=True)
class Configuration:
    """One complete version of the operator's configuration.

    Attributes:
        organisations: None if requests need no keys.
        problems: what was odd in it, and is used as if it allowed nothing.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    limits: CallerLimits
    organisations: tuple[Organisation, ...] | None = None
    problems: tuple[str, ...] = ()

    @functools.cached_property
    def ranks(self) -> tuple[int, ...]:
        """Ranks that requests to engines may have, in ascending order."""
        ranks = {
            route.priority
            for route in self.routes
            if route.streamed or self._has_engines(route)
        }
        ranks.update(
            organisation.priority
            for organisation in self.organisations or ()
            if organisation.priority is not None
        )
        return tuple(sorted(ranks))

    def _has_engines(self, route: Route) -> bool:
        services = (self.services.get(share.service) for share in route.shares)
        return any(service and service.engine for service in services)

    def find_route(self, host: str, path: str) -> Route | None:
        """Returns the route of `host` with the longest prefix of `path`."""
        best: Route | None = None
        for route in self.routes:
            if route.host != host or not path.startswith(route.path_prefix):
                continue
            if best is None or len(route.path_prefix) > len(best.path_prefix):
                best = route
        return best


@final
@dataclasses.dataclass(frozen=True, slots=True, order=True)
class AdapterKey:
    """An adapter of a base model; an empty adapter name is the model alone."""

    model: str
    adapter: str

    def __str__(self) -> str:
        return f"{self.model}/{self.adapter}" if self.adapter else self.model


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HeldModel:
    """A base model on an engine, with its loaded adapters.

    Attributes:
        version: version of the weights.
        adapters: versions of the loaded adapters, by name.
    """

    name: str
    version: int
    adapters: Mapping[str, int]


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EngineEntry:
    """An endpoint's own entry in the endpoint list.

    Attributes:
        engine_id: new at most starts; an id may be reused by a later start,
            see `born_ms`.
        slots: batch slots of the engine.
        leaving: accepts no new requests.
        born_ms: start of this incarnation in Unix milliseconds; 0 if unknown.
        orders_accepted: orders executed or started since its start.
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
        """Id and start time, which distinguish two starts under one id."""
        return self.engine_id, self.born_ms


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EngineReport:
    """An engine's own report, which is some hundred milliseconds old.

    Attributes:
        busy: an order for a base model is in progress.
        pending: versions of the adapters whose loads are in flight.
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
