"""Places for adapters on engines, and who is offered one."""

import collections
import dataclasses
import enum
from typing import final

from _dogwoodhinge.fleet import engines as engines_lib
from _dogwoodhinge.fleet import models

# Adapters whose weights an engine still has in host memory, for each of its
# places; its report does not tell. Loads were fast up to 5.5 times as many.
MEMORY_PLACES = 5

# A seat given out counts as work on its engine until the asker reports it.
REPORTED_AFTER_SECONDS = 0.4


class State(enum.Enum):
    """Where an adapter is on its way."""

    LOADING = "loading"
    RESIDENT = "resident"
    UNLOADING = "unloading"
    MISSED = "missed"  # not found by a request; the engine's report decides


# States in which a place is taken, but serves no request.
UNSETTLED = frozenset({State.UNLOADING, State.MISSED})


@final
@dataclasses.dataclass(slots=True)
class Place:
    """An adapter's place on an engine.

    Attributes:
        ready_at: loop time from which it serves.
        ordered_at: loop time at which its load was accepted.
        expected: seconds that its load was expected to take then.
        used_at: loop time of the last known use; breaks ties.
        from_store: its load came from the weight store.
        others_on_way: loads on their way when it was ordered.
        early: times at which a request, sent when it was expected to serve,
            did not find it.
    """

    version: int
    state: State
    ready_at: float
    used_at: float
    from_store: bool = False
    ordered_at: float = 0.0
    expected: float = 0.0
    others_on_way: int = 0
    early: int = 0

    def is_loading(self, now: float) -> bool:
        """Tells whether the adapter is still on its way."""
        return self.state is State.LOADING and self.ready_at > now


@final
class EnginePlaces:
    """The places of one engine."""

    def __init__(self, engine_id: str, *, capacity: int) -> None:
        self.engine_id = engine_id
        self.capacity = capacity
        self.places: dict[models.AdapterKey, Place] = {}
        self.given: collections.deque[tuple[float, int]] = collections.deque()
        self.in_memory: collections.OrderedDict[models.AdapterKey, None] = (
            collections.OrderedDict()
        )

    def given_work(self, now: float) -> engines_lib.Work:
        """Returns the work of seats that no report tells of yet."""
        while self.given and now - self.given[0][0] > REPORTED_AFTER_SECONDS:
            self.given.popleft()
        return engines_lib.Work(
            len(self.given), sum(tokens for _, tokens in self.given)
        )

    def loading(self, now: float) -> int:
        """Returns how many adapters are on their way."""
        return sum(place.is_loading(now) for place in self.places.values())

    def serving(self, key: models.AdapterKey, version: int) -> Place | None:
        """Returns an adapter's place if requests for a version may go there."""
        place = self.places.get(key)
        if place is None or place.version < version or place.state in UNSETTLED:
            return None
        return place

    def note_in_memory(self, key: models.AdapterKey) -> None:
        """Notes that the engine had an adapter's weights."""
        self.in_memory[key] = None
        self.in_memory.move_to_end(key)
        if len(self.in_memory) > self.capacity * MEMORY_PLACES:
            self.in_memory.popitem(last=False)


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An engine that may load adapters.

    Attributes:
        slots: requests that it runs at once.
        work: what runs and waits there, from the nodes' last reports.
        penalty: see `health`.
    """

    engine_id: str
    capacity: int
    slots: int
    work: engines_lib.Work
    penalty: float


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Want:
    """A node's wish for an adapter on some engine.

    Attributes:
        version: the oldest version that will do; 0 for any.
        avoid: engines that the asker can't use.
        absent_from: an engine that just said it does not have it.
        prompt_tokens: of the request that asks.
        seconds_to_target: until its first event would be late.
        patience_seconds: it may wait for a place so long.
    """

    key: models.AdapterKey
    version: int
    avoid: frozenset[str] = frozenset()
    absent_from: str = ""
    prompt_tokens: int = 0
    seconds_to_target: float = 0.0
    patience_seconds: float = 0.0


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Seat:
    """Where a request for an adapter may go.

    Attributes:
        ready_at: loop time from which the adapter serves.
        evict: the adapter that makes way; None when a place is free.
        new: a load must be ordered first.
    """

    engine_id: str
    version: int
    ready_at: float
    evict: models.AdapterKey | None = None
    new: bool = False


@final
@dataclasses.dataclass(frozen=True, slots=True)
class NoRoom:
    """No engine can take the adapter now."""


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """One change of a place, for the other nodes; version None: gone."""

    number: int
    engine_id: str
    key: models.AdapterKey
    version: int | None
    ready_at: float
