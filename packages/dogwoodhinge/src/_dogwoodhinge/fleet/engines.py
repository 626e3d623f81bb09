"""The engines as one node knows them, and the adapters they hold."""

import dataclasses
from typing import final

from _dogwoodhinge.fleet import health as health_lib
from _dogwoodhinge.fleet import models


@final
@dataclasses.dataclass(slots=True)
class Holding:
    """An adapter on an engine.

    Attributes:
        version: its version.
        ready_at: loop time from which it can be used.
    """

    version: int
    ready_at: float


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """Requests on an engine.

    Attributes:
        running: requests sent to it and not ended.
        unread_tokens: prompt tokens of those that have brought nothing yet.
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
    """What this node believes of one engine.

    Attributes:
        entry: what it said of itself last.
        leaving: takes no new work; never taken back for an incarnation.
        listed: the list of endpoints has it.
        running: requests of this node on it.
        unread_tokens: prompt tokens of those that have brought nothing yet.
        running_elsewhere: requests of other nodes, from the last exchange.
        unread_elsewhere: their prompt tokens that wait to be read.
        holdings: adapters on it, from the owner and from its own entry.
    """

    def __init__(self, entry: models.EngineEntry) -> None:
        self.entry = entry
        self.leaving = entry.leaving
        self.listed = True
        self.running = 0
        self.unread_tokens = 0
        self.running_elsewhere = 0
        self.unread_elsewhere = 0
        self.health = health_lib.EngineHealth()
        self.holdings: dict[models.AdapterKey, Holding] = {}

    @property
    def takes_work(self) -> bool:
        """Tells whether requests may be sent to it."""
        return self.listed and not self.leaving

    @property
    def engine_id(self) -> str:
        """The id under which requests are addressed to it."""
        return self.entry.engine_id

    @property
    def work(self) -> Work:
        """What runs and waits on it, as far as known here."""
        return Work(
            running=self.running + self.running_elsewhere,
            unread_tokens=self.unread_tokens + self.unread_elsewhere,
        )

    def holds_model(self, name: str) -> bool:
        """Tells whether the base model is resident."""
        return name in self.entry.models


@final
class Directory:
    """All engines and plain endpoints by their id."""

    def __init__(self) -> None:
        self.engines: dict[str, Engine] = {}

    def update(self, entry: models.EngineEntry, now: float) -> Engine:
        """Takes an endpoint's entry from the list."""
        known = self.engines.get(entry.engine_id)
        if known is None or known.entry.incarnation != entry.incarnation:
            if known is not None:
                known.listed = False
            known = Engine(entry)
            self.engines[entry.engine_id] = known
            self._take_holdings(known, now)
        known.entry = entry
        known.listed = True
        known.leaving = known.leaving or entry.leaving
        return known

    def remove(self, engine_id: str) -> Engine | None:
        """Takes an endpoint off the list."""
        found = self.engines.pop(engine_id, None)
        if found is not None:
            found.listed = False
        return found

    def serving(self, service: str) -> list[Engine]:
        """Returns the endpoints of a service that take new work."""
        return [
            engine
            for engine in self.engines.values()
            if engine.entry.service == service and not engine.leaving
        ]

    def holders(
        self, service: str, key: models.AdapterKey
    ) -> list[tuple[Engine, Holding]]:
        """Returns the serving engines that hold an adapter, or soon will."""
        return [
            (engine, engine.holdings[key])
            for engine in self.serving(service)
            if key in engine.holdings
        ]

    def set_holding(
        self, engine_id: str, key: models.AdapterKey, holding: Holding
    ) -> None:
        """Notes that an engine holds an adapter."""
        engine = self.engines.get(engine_id)
        if engine is not None:
            engine.holdings[key] = holding

    def drop_holding(self, engine_id: str, key: models.AdapterKey) -> None:
        """Notes that an engine does not hold an adapter."""
        engine = self.engines.get(engine_id)
        if engine is not None:
            engine.holdings.pop(key, None)

    def _take_holdings(self, engine: Engine, now: float) -> None:
        # The entry is late by up to a heartbeat. It is used only until the
        # owner's word arrives; a wrong guess is refused without being run.
        for model in engine.entry.models.values():
            for adapter, version in model.adapters.items():
                key = models.AdapterKey(model.name, adapter)
                engine.holdings[key] = Holding(version, now)
