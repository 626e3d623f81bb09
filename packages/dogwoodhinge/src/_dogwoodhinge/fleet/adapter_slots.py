"""Adapter slots of engines, and the placement requests for them."""

import collections
import dataclasses
import enum
from typing import final

from _dogwoodhinge.fleet import engines as engines_lib
from _dogwoodhinge.fleet import models

# Adapters that an engine is assumed to keep in host memory, per adapter slot.
# Its report does not list them; loads are fast up to 5.5 adapters per slot.
CACHED_ADAPTERS_PER_SLOT = 5

# Time for which an assignment counts as work on its engine: after that, the
# report of the requesting node includes it.
UNREPORTED_WORK_SECONDS = 0.4


class SlotState(enum.Enum):
    """State of an adapter in its slot."""

    LOADING = "loading"  # ordered; on its way until the engine lists it
    RESIDENT = "resident"  # listed by the engine
    UNLOADING = "unloading"
    UNCONFIRMED = "missed"  # maybe absent; the engine's report decides


# States in which a slot is taken but serves no request.
UNSETTLED = frozenset({SlotState.UNLOADING, SlotState.UNCONFIRMED})


@final
@dataclasses.dataclass(slots=True)
class AdapterSlot:
    """A slot that an adapter takes on an engine.

    Attributes:
        version: version of the adapter.
        state: state of the adapter.
        ready_at: loop time from which the adapter can serve.
        used_at: loop time of the last known use; breaks ties.
        from_store: the weights are loaded from the weight store.
        ordered: False while the order of a reserved load has no reply yet.
        ordered_at: loop time at which the load order was accepted.
        order_number: number of orders that the engine had accepted then.
        reservation: number of the reservation that it was taken by; 0 if the
            engine's report listed its adapter.
        expected: duration of the load in seconds, as estimated at that time.
        others_in_flight: loads in flight when this one was ordered.
        early_requests: requests that were sent when the adapter was expected
            to be ready and did not find it.
    """

    version: int
    state: SlotState
    ready_at: float
    used_at: float
    from_store: bool = False
    ordered: bool = True
    ordered_at: float = 0.0
    order_number: int = 0
    reservation: int = 0
    expected: float = 0.0
    others_in_flight: int = 0
    early_requests: int = 0

    def is_loading(self, now: float) -> bool:
        """Returns whether the load of the adapter is in flight."""
        return self.state is SlotState.LOADING and (
            not self.ordered or self.ready_at > now
        )


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Opening:
    """Where an engine can take one more adapter.

    Attributes:
        found_at: loop time at which this was found.
        victim: the adapter that makes way; None if a slot is free.
        is_open: whether the engine can take one.
    """

    found_at: float
    victim: models.AdapterKey | None = None
    is_open: bool = False


@final
class EngineSlots:
    """The adapter slots of one engine.

    Attributes:
        engine_id: id of the engine.
        capacity: number of its adapter slots.
        adapter_slots: the slots that are taken, by adapter.
        unreported: assignments that no node has reported as work yet: loop
            time and prompt tokens of each.
        in_memory: adapters that the engine is assumed to keep in host memory,
            the least recently loaded one first.
        opening: the latest answer to whether it can take one more adapter;
            None once it no longer holds.
    """

    def __init__(self, engine_id: str, *, capacity: int) -> None:
        self.engine_id = engine_id
        self.capacity = capacity
        self.adapter_slots: dict[models.AdapterKey, AdapterSlot] = {}
        self.unreported: collections.deque[tuple[float, int]] = (
            collections.deque()
        )
        self.in_memory: collections.OrderedDict[models.AdapterKey, None] = (
            collections.OrderedDict()
        )
        self.opening: Opening | None = None

    def unreported_work(self, now: float) -> engines_lib.Work:
        """Returns the work of assignments that no node has reported yet."""
        while (
            self.unreported
            and now - self.unreported[0][0] > UNREPORTED_WORK_SECONDS
        ):
            self.unreported.popleft()
        return engines_lib.Work(
            len(self.unreported), sum(tokens for _, tokens in self.unreported)
        )

    @property
    def has_waiting_unload(self) -> bool:
        """True if an unload waits for the requests of its adapter."""
        return any(
            slot.state is SlotState.UNLOADING
            for slot in self.adapter_slots.values()
        )

    def loading(self, now: float) -> int:
        """Returns the number of loads in flight."""
        return sum(slot.is_loading(now) for slot in self.adapter_slots.values())

    def serving(
        self, key: models.AdapterKey, version: int
    ) -> AdapterSlot | None:
        """Returns an adapter's slot if it can serve a version, else None."""
        slot = self.adapter_slots.get(key)
        if slot is None or slot.version < version or slot.state in UNSETTLED:
            return None
        return slot

    def record_in_memory(self, key: models.AdapterKey) -> None:
        """Records that the engine has an adapter's weights in host memory."""
        self.in_memory[key] = None
        self.in_memory.move_to_end(key)
        if len(self.in_memory) > self.capacity * CACHED_ADAPTERS_PER_SLOT:
            self.in_memory.popitem(last=False)


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An engine that may load adapters.

    Attributes:
        engine_id: id of the engine.
        capacity: number of its adapter slots.
        request_slots: number of requests that it runs at once.
        work: requests running and waiting on it, as last reported by the nodes.
        penalty: its health penalty, see `health`.
        kept_free: slots that are not filled if they are free; adapters in the
            others may still replace each other.
    """

    engine_id: str
    capacity: int
    request_slots: int
    work: engines_lib.Work
    penalty: float
    kept_free: int = 0


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PlacementRequest:
    """An entry node's request for an engine that holds an adapter.

    Attributes:
        key: the adapter.
        version: oldest acceptable version; 0 for any.
        avoid: engines that the entry node cannot use.
        absent_from: engine that has just reported that it lacks the adapter.
        prompt_tokens: prompt length of the caller's request.
        seconds_to_target: time left until the first event misses the latency
            target.
        max_wait_seconds: maximum time to wait for a slot.
        node: name of the entry node; empty if no request asks.
        rank: priority of the caller's request, 0 is the highest.
        organisation: name of the caller's organisation; empty if none.
    """

    key: models.AdapterKey
    version: int
    node: str = ""
    avoid: frozenset[str] = frozenset()
    absent_from: str = ""
    prompt_tokens: int = 0
    seconds_to_target: float = 0.0
    max_wait_seconds: float = 0.0
    rank: int = 0
    organisation: str = ""


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Assignment:
    """The engine that a placement request was assigned to.

    Attributes:
        engine_id: id of the engine.
        version: version of the adapter there; 0 for the newest.
        ready_at: loop time from which the adapter can serve.
        ordered: the engine holds the adapter or has accepted its load;
            `ready_at` is a guess otherwise.
        evict: adapter to unload first; None if a slot is free.
        evicted_slot: the slot that it had.
        reservation: number of the reservation of a new assignment.
        new: the adapter must be loaded first.
    """

    engine_id: str
    version: int
    ready_at: float
    ordered: bool = True
    evict: models.AdapterKey | None = None
    evicted_slot: AdapterSlot | None = None
    reservation: int = 0
    new: bool = False


@final
@dataclasses.dataclass(frozen=True, slots=True)
class NoFreeSlot:
    """No engine has a free slot for the adapter."""


@final
@dataclasses.dataclass(frozen=True, slots=True)
class SlotChange:
    """A change of an adapter slot, published to the other nodes.

    Attributes:
        number: sequence number of the change.
        engine_id: id of the engine.
        key: the adapter.
        version: version of the adapter; None if it left the slot.
        ready_at: loop time from which the adapter can serve.
    """

    number: int
    engine_id: str
    key: models.AdapterKey
    version: int | None
    ready_at: float
