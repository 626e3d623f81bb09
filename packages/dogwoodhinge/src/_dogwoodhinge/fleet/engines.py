"""A node's view of the engines and of the adapters loaded on them."""

from collections.abc import Callable, Collection
import dataclasses
import math
from typing import final

from _dogwoodhinge.fleet import answers as answers_lib
from _dogwoodhinge.fleet import engine_pace
from _dogwoodhinge.fleet import health as health_lib
from _dogwoodhinge.fleet import held_parts as held_parts_lib
from _dogwoodhinge.fleet import models
from _dogwoodhinge.fleet import pause as pause_lib


@final
@dataclasses.dataclass(slots=True)
class HeldAdapter:
    """An adapter that an engine holds or is loading.

    Attributes:
        version: version of the adapter.
        ready_at: loop time from which requests can use it.
    """

    version: int
    ready_at: float


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """Requests in flight on an engine.

    Attributes:
        running: requests sent to the engine that have not ended.
        unread_tokens: prompt tokens of those without a first event yet.
    """

    running: int = 0
    unread_tokens: int = 0

    def __add__(self, other: "Work") -> "Work":
        return Work(
            self.running + other.running,
            self.unread_tokens + other.unread_tokens,
        )

    def __sub__(self, other: "Work") -> "Work":
        return Work(
            self.running - other.running,
            self.unread_tokens - other.unread_tokens,
        )


@final
class Engine:
    """This node's view of one engine.

    Attributes:
        entry: the engine's last entry in the endpoint list.
        listed_at: loop time at which this node first listed this start of it.
        leaving: accepts no new requests; never reset within an incarnation.
        listed: whether the endpoint list contains it.
        running: requests of this node in flight on it.
        unread_tokens: prompt tokens of those without a first event yet.
        running_elsewhere: requests of other nodes, from the last sync.
        unread_tokens_elsewhere: prompt tokens of those without a first event.
        answers: what it has answered to this node.
        pace: how fast it answers.
        pause: the pause that it has asked this node for.
        held_parts: parts of prompts that it has read for this node.
        held_adapters: adapters on it, from the leader and from its own entry.
    """

    def __init__(
        self,
        entry: models.EngineEntry,
        *,
        listed_at: float = -math.inf,
        service_pace: engine_pace.ServicePace | None = None,
    ) -> None:
        self.entry = entry
        self.listed_at = listed_at
        self.leaving = entry.leaving
        self.listed = True
        self.running = 0
        self.unread_tokens = 0
        self.running_elsewhere = 0
        self.unread_tokens_elsewhere = 0
        self.health = health_lib.EngineHealth()
        self.answers = answers_lib.Answers()
        self.pace = engine_pace.EnginePace(
            service_pace or engine_pace.ServicePace()
        )
        self.pause = pause_lib.Pause()
        self.held_parts = held_parts_lib.HeldParts()
        self.held_adapters: dict[models.AdapterKey, HeldAdapter] = {}

    @property
    def accepts_requests(self) -> bool:
        """True if new requests may be sent to the engine."""
        return self.listed and not self.leaving

    def opens_at(self, now: float) -> float:
        """Returns the loop time from which its pause allows a request."""
        return self.pause.opens_at(self.running, now)

    @property
    def engine_id(self) -> str:
        """The id by which requests address the engine."""
        return self.entry.engine_id

    @property
    def work(self) -> Work:
        """Requests of all nodes on the engine, as far as this node knows."""
        return Work(
            running=self.running + self.running_elsewhere,
            unread_tokens=self.unread_tokens + self.unread_tokens_elsewhere,
        )

    def holds_model(self, name: str) -> bool:
        """Returns whether a base model is loaded on the engine."""
        return name in self.entry.models


@final
class Directory:
    """All engines and plain endpoints, by id.

    Attributes:
        engines: the engines and endpoints, by id.
        service_paces: what those of a service have in common, by service.
        list_confirmed_at: returns the loop time up to which no change of the
            endpoint list is missing here; minus infinity if it was never read.
    """

    def __init__(
        self, *, list_confirmed_at: Callable[[], float] = lambda: -math.inf
    ) -> None:
        self.list_confirmed_at = list_confirmed_at
        self.engines: dict[str, Engine] = {}
        self.service_paces: dict[str, engine_pace.ServicePace] = {}

    def update(self, entry: models.EngineEntry, now: float) -> Engine:
        """Adds or updates an endpoint from its list entry."""
        known = self.engines.get(entry.engine_id)
        if known is None or known.entry.incarnation != entry.incarnation:
            if known is not None:
                known.listed = False
            service_pace = self.service_paces.setdefault(
                entry.service, engine_pace.ServicePace()
            )
            known = Engine(entry, listed_at=now, service_pace=service_pace)
            self.engines[entry.engine_id] = known
            self._add_reported_adapters(known, now)
        known.entry = entry
        known.listed = True
        known.leaving = known.leaving or entry.leaving
        return known

    def remove(self, engine_id: str) -> Engine | None:
        """Removes an endpoint and returns it, if it was listed."""
        removed = self.engines.pop(engine_id, None)
        if removed is not None:
            removed.listed = False
        return removed

    def list_age(self, now: float) -> float:
        """Returns the age of the endpoint list in seconds; may be infinite."""
        return now - self.list_confirmed_at()

    def serving(self, service: str) -> list[Engine]:
        """Returns the endpoints of a service that accept new requests."""
        return [e for e in self.of_service(service) if not e.leaving]

    def of_service(self, service: str) -> list[Engine]:
        """Returns all endpoints of a service."""
        return [e for e in self.engines.values() if e.entry.service == service]

    def all_leaving(self, service: str) -> bool:
        """Returns whether a service has endpoints and all are leaving."""
        known = self.of_service(service)
        return bool(known) and all(engine.leaving for engine in known)

    def accepting(self, service: str, now: float) -> list[Engine]:
        """Returns the serving endpoints whose pauses allow a request now."""
        return [e for e in self.serving(service) if e.opens_at(now) <= now]

    def opens_at(
        self, service: str, now: float, *, avoid: Collection[str]
    ) -> float:
        """Returns when the pause of a serving endpoint allows a request.

        Args:
            service: the service.
            now: loop time.
            avoid: endpoints that are left out.

        Returns:
            A loop time, `now` if there is one already; infinite if no endpoint
            is left.
        """
        return min(
            (
                engine.opens_at(now)
                for engine in self.serving(service)
                if engine.engine_id not in avoid
            ),
            default=math.inf,
        )

    def holders(
        self, service: str, key: models.AdapterKey
    ) -> list[tuple[Engine, HeldAdapter]]:
        """Returns the serving engines that hold or are loading an adapter."""
        return [
            (engine, engine.held_adapters[key])
            for engine in self.serving(service)
            if key in engine.held_adapters
        ]

    def set_adapter(
        self, engine_id: str, key: models.AdapterKey, held_adapter: HeldAdapter
    ) -> None:
        """Records that an engine holds or is loading an adapter."""
        engine = self.engines.get(engine_id)
        if engine is not None:
            engine.held_adapters[key] = held_adapter

    def remove_adapter(self, engine_id: str, key: models.AdapterKey) -> None:
        """Records that an engine does not hold an adapter."""
        engine = self.engines.get(engine_id)
        if engine is not None:
            engine.held_adapters.pop(key, None)

    def _add_reported_adapters(self, engine: Engine, now: float) -> None:
        # The entry is up to one heartbeat old. It is used only until the
        # leader's next sync; an engine rejects a request for an adapter that
        # it does not hold without running it.
        for model in engine.entry.models.values():
            for adapter, version in model.adapters.items():
                key = models.AdapterKey(model.name, adapter)
                engine.held_adapters[key] = HeldAdapter(version, now)
