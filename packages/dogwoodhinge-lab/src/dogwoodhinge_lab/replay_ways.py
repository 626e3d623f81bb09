"""Ways to decide where requests run, for `replay`: ours, and plain ones."""

import collections
from collections.abc import Callable
from typing import Protocol, final

from _dogwoodhinge.fleet import adapter_slots as adapter_slots_lib
from _dogwoodhinge.fleet import engines as engines_lib
from _dogwoodhinge.fleet import models
from _dogwoodhinge.fleet import placement as placement_lib

# From the sheets of today's deployments.
ENGINES = 5
PLACES = 18
SLOTS = 64
LOAD_SECONDS = 0.25
MEMORY_LOAD_SECONDS = 0.025

OURS = "ours"
ASKS_AGAIN = "asks_again"
LEAST_REQUESTS = "least_requests"
HASHED = "hashed"
PLAIN = (LEAST_REQUESTS, HASHED)


class Way(Protocol):
    """Decides where requests run."""

    def place(
        self, adapter: int, tokens: int, usable: list[int], now: float
    ) -> tuple[int, float] | None:
        """Returns the engine and the seconds that a load takes; or None."""

    def holds(self, adapter: int) -> bool:
        """Tells whether an engine has an adapter, or soon will."""

    def begin(self, engine: int, adapter: int, tokens: int) -> None:
        """Notes that a request begins on an engine."""

    def read(self, engine: int, tokens: int) -> None:
        """Notes that a prompt has been read."""

    def end(self, engine: int, adapter: int) -> None:
        """Notes that a request has ended."""

    def report(self, now: float) -> None:
        """Exchanges what is known, some times a second."""


@final
class Ours:
    """The decisions as they are."""

    def __init__(self) -> None:
        self.placement = placement_lib.Placement()
        self.active: dict[models.AdapterKey, int] = {}
        self.begun: dict[models.AdapterKey, int] = {}
        self.ready: dict[tuple[int, int], float] = {}
        self.work = [engines_lib.Work() for _ in range(ENGINES)]
        self.reported = list(self.work)
        for engine in range(ENGINES):
            self.placement.set_engine(
                str(engine),
                capacity=PLACES,
                residents={},
                pending={},
                in_memory=(),
                now=0.0,
            )

    def place(
        self, adapter: int, tokens: int, usable: list[int], now: float
    ) -> tuple[int, float] | None:
        """Places by `Placement.find`."""
        key = _key(adapter)
        candidates = [
            adapter_slots_lib.Candidate(
                str(e), PLACES, SLOTS, self.reported[e], 0.0
            )
            for e in usable
        ]
        seat = self.placement.find(
            key, 0, candidates, avoid=(), prompt_tokens=tokens, now=now
        )
        if isinstance(seat, adapter_slots_lib.NoFreeSlot):
            return None
        engine = int(seat.engine_id)
        ready_at = seat.ready_at
        if seat.new:
            place = self.placement.confirm_order(seat.engine_id, key, at=now)
            stored = place is not None and place.from_store
            load = LOAD_SECONDS if stored else MEMORY_LOAD_SECONDS
            self.ready[engine, adapter] = now + load
            ready_at = place.ready_at if place is not None else ready_at
        # A request that comes too early is refused, and tries again.
        while ready_at < self.ready[engine, adapter]:
            self.placement.record_absent(seat.engine_id, key, ready_at)
            ready_at += placement_lib.EARLY_RETRY_DELAY_SECONDS
        return engine, max(0.0, ready_at - now)

    def holds(self, adapter: int) -> bool:
        """Asks the placement."""
        return self.placement.is_held(_key(adapter), 0, avoid=())

    def begin(self, engine: int, adapter: int, tokens: int) -> None:
        """Counts a request."""
        key = _key(adapter)
        self.active[key] = self.active.get(key, 0) + 1
        self.begun[key] = self.begun.get(key, 0) + 1
        self.work[engine] += engines_lib.Work(1, tokens)

    def read(self, engine: int, tokens: int) -> None:
        """Counts a prompt as read."""
        self.work[engine] += engines_lib.Work(0, -tokens)

    def end(self, engine: int, adapter: int) -> None:
        """Counts a request no longer."""
        key = _key(adapter)
        self.active[key] -= 1
        if not self.active[key]:
            del self.active[key]
        self.work[engine] += engines_lib.Work(-1, 0)

    def report(self, now: float) -> None:
        """Passes the counts on."""
        self.placement.record_node_use("node", self.active, self.begun, now)
        self.begun.clear()
        self.reported = list(self.work)


@final
class Plain:
    """Least requests by the last report, and the least recently used goes."""

    def __init__(self, *, hashed: bool = False) -> None:
        self.hashed = hashed
        self.used: list[dict[int, float]] = [{} for _ in range(ENGINES)]
        self.in_use: list[dict[int, int]] = [{} for _ in range(ENGINES)]
        self.loading: list[collections.deque[float]] = [
            collections.deque() for _ in range(ENGINES)
        ]
        self.ready: dict[tuple[int, int], float] = {}
        self.running = [0] * ENGINES
        self.reported = [0] * ENGINES

    def place(
        self, adapter: int, tokens: int, usable: list[int], now: float
    ) -> tuple[int, float] | None:
        """Places where the fewest requests run, or by hash."""
        for engine in usable:
            if adapter in self.used[engine]:
                self.used[engine][adapter] = now
                return engine, max(0.0, self.ready[engine, adapter] - now)
        if self.hashed:
            engine = usable[hash((adapter, len(usable))) % len(usable)]
        else:
            engine = min(usable, key=lambda e: self.reported[e])
        held = self.used[engine]
        loading = self.loading[engine]
        while loading and loading[0] <= now:
            loading.popleft()
        if len(loading) >= placement_lib.MAX_LOADS_IN_FLIGHT:
            return None
        if len(held) >= PLACES:
            idle = [a for a in held if not self.in_use[engine].get(a)]
            if not idle:
                return None
            del held[min(idle, key=lambda a: held[a])]
        held[adapter] = now
        loading.append(now + LOAD_SECONDS)
        self.ready[engine, adapter] = now + LOAD_SECONDS
        return engine, LOAD_SECONDS

    def holds(self, adapter: int) -> bool:
        """Looks on all engines."""
        return any(adapter in used for used in self.used)

    def begin(self, engine: int, adapter: int, tokens: int) -> None:
        """Counts a request."""
        self.running[engine] += 1
        in_use = self.in_use[engine]
        in_use[adapter] = in_use.get(adapter, 0) + 1

    def read(self, engine: int, tokens: int) -> None:
        """Takes no notice of prompts."""

    def end(self, engine: int, adapter: int) -> None:
        """Counts a request no longer."""
        self.running[engine] -= 1
        self.in_use[engine][adapter] -= 1

    def report(self, now: float) -> None:
        """Passes the counts on."""
        self.reported = list(self.running)


def _key(adapter: int) -> models.AdapterKey:
    return models.AdapterKey("base", f"a{adapter}")


WAYS: dict[str, Callable[[], Way]] = {
    OURS: Ours,
    ASKS_AGAIN: Ours,
    LEAST_REQUESTS: Plain,
    HASHED: lambda: Plain(hashed=True),
}
