"""Adapter slots of one engine: which adapters are resident and in use."""

from collections.abc import Iterable
import dataclasses
import enum
import math
from typing import final

from _dogwoodhinge.engine_scheduling import errors
from dogwoodhinge import models


class SlotState(enum.Enum):
    """Known state of an adapter slot."""

    RESIDENT = "resident"
    LOADING = "loading"
    EVICTING = "evicting"
    UNKNOWN = "unknown"  # outcome of an order unknown until the next report


@final
@dataclasses.dataclass(slots=True)
class AdapterSlot:
    """An adapter slot in use.

    Attributes:
        adapter: adapter and version.
        state: see `SlotState`.
        changed_at: when the state last changed; reports taken earlier do not
            apply to the slot.
        used_at: when a grant of the adapter last started or ended.
        epoch: epoch of the engine when the load was ordered.
    """

    adapter: models.AdapterVersion
    state: SlotState
    changed_at: float
    used_at: float
    epoch: str


@final
class SlotTable:
    """Adapter slots of one engine, and the grants that pin adapters.

    Pins are stored apart from the slots, because a grant outlives its slot if
    the engine loses the adapter; it pins the adapter again after a reload.

    Attributes:
        capacity: number of slots of the engine.
        slots: slots in use by adapter.
        pins: ids of open grants by adapter.
        unmatched_adapters: adapters of reported requests that match no known
            grant.
        evictions_frozen: no adapter may be evicted, e.g. after a takeover.
        removed_at: when an adapter was removed; reports taken earlier may
            still list it.
    """

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.slots: dict[models.AdapterVersion, AdapterSlot] = {}
        self.pins: dict[models.AdapterVersion, set[str]] = {}
        self.unmatched_adapters: frozenset[models.AdapterVersion] = frozenset()
        self.evictions_frozen = False
        self.removed_at: dict[models.AdapterVersion, float] = {}

    def is_resident(self, adapter: models.AdapterVersion) -> bool:
        """Returns whether requests for the adapter can run."""
        slot = self.slots.get(adapter)
        return slot is not None and slot.state is SlotState.RESIDENT

    def has_slot(self, adapter: models.AdapterVersion) -> bool:
        """Returns whether the adapter has a slot in any state."""
        return adapter in self.slots

    def residents(self) -> tuple[models.AdapterVersion, ...]:
        """Returns the adapters whose requests can run."""
        return tuple(
            adapter for adapter in self.slots if self.is_resident(adapter)
        )

    def free_count(self) -> int:
        """Returns the number of free slots."""
        return self.capacity - len(self.slots)

    def loading_count(self) -> int:
        """Returns the number of loads in flight."""
        return sum(
            slot.state is SlotState.LOADING for slot in self.slots.values()
        )

    def pin(
        self, adapter: models.AdapterVersion, grant_id: str, now: float
    ) -> None:
        """Marks the adapter as in use by a grant."""
        self.pins.setdefault(adapter, set()).add(grant_id)
        self._touch(adapter, now)

    def unpin(
        self, adapter: models.AdapterVersion, grant_id: str, now: float
    ) -> None:
        """Removes a grant's pin of the adapter."""
        holders = self.pins.get(adapter)
        if holders is None:
            return
        holders.discard(grant_id)
        if not holders:
            del self.pins[adapter]
        self._touch(adapter, now)

    def in_use(self, adapter: models.AdapterVersion) -> bool:
        """Returns whether a grant or a reported request uses the adapter."""
        return adapter in self.pins or adapter in self.unmatched_adapters

    def evictable(self) -> tuple[AdapterSlot, ...]:
        """Returns the slots of resident adapters that are not in use."""
        if self.evictions_frozen:
            return ()
        return tuple(
            slot
            for slot in self.slots.values()
            if slot.state is SlotState.RESIDENT
            and not self.in_use(slot.adapter)
        )

    def start_load(
        self, adapter: models.AdapterVersion, *, now: float, epoch: str
    ) -> None:
        """Reserves a free slot before a load is ordered.

        Raises:
            PlacementError: no slot is free, or the adapter already has one.
        """
        if adapter in self.slots or self.free_count() <= 0:
            raise errors.PlacementError(
                f"no free adapter slot to load {adapter}"
            )
        self.slots[adapter] = AdapterSlot(
            adapter, SlotState.LOADING, now, now, epoch
        )

    def finish_load(
        self, adapter: models.AdapterVersion, *, now: float, epoch: str
    ) -> None:
        """Records that a load succeeded.

        If the engine restarted since the order, the load may have completed
        before the restart; the next report decides.
        """
        slot = self.slots[adapter]
        same_epoch = slot.epoch == epoch
        slot.state = SlotState.RESIDENT if same_epoch else SlotState.UNKNOWN
        slot.changed_at = now

    def start_eviction(
        self, adapter: models.AdapterVersion, *, now: float
    ) -> None:
        """Marks an adapter as being evicted before the order is sent.

        Raises:
            PlacementError: the adapter is in use or not resident, or evictions
                are frozen.
        """
        if not self.is_resident(adapter):
            raise errors.PlacementError(f"{adapter} is not resident")
        if self.evictions_frozen or self.in_use(adapter):
            raise errors.PlacementError(f"{adapter} is in use")
        slot = self.slots[adapter]
        slot.state = SlotState.EVICTING
        slot.changed_at = now

    def cancel_eviction(self, adapter: models.AdapterVersion) -> None:
        """Marks an adapter as resident again if it was not evicted."""
        self.slots[adapter].state = SlotState.RESIDENT

    def mark_unknown(
        self, adapter: models.AdapterVersion, *, now: float
    ) -> None:
        """Records that the outcome of an order is unknown."""
        slot = self.slots[adapter]
        slot.state = SlotState.UNKNOWN
        slot.changed_at = now

    def remove(self, adapter: models.AdapterVersion, *, now: float) -> None:
        """Frees the slot of an adapter that is known not to be resident."""
        self.slots.pop(adapter, None)
        self.removed_at[adapter] = now

    def reconcile(
        self,
        residents: Iterable[models.AdapterVersion],
        *,
        taken_at: float,
        now: float,
        epoch: str,
    ) -> tuple[models.AdapterVersion, ...]:
        """Updates the table from a report; returns the adapters removed.

        Args:
            residents: adapters that the report lists as resident.
            taken_at: latest time at which the report was taken; slots that
                changed since then are skipped.
            now: monotonic seconds.
            epoch: the engine's epoch.
        """
        reported = frozenset(residents)
        removed = []
        for slot in list(self.slots.values()):
            if slot.changed_at >= taken_at or _has_order_in_flight(slot):
                continue
            if slot.adapter not in reported:
                del self.slots[slot.adapter]
                removed.append(slot.adapter)
            elif slot.state is SlotState.UNKNOWN:
                slot.state = SlotState.RESIDENT
                slot.changed_at = now
        for adapter in reported - self.slots.keys():
            if self.removed_at.get(adapter, -math.inf) >= taken_at:
                continue
            self.slots[adapter] = AdapterSlot(
                adapter, SlotState.UNKNOWN, now, now, epoch
            )
        self._drop_old_removals(taken_at)
        return tuple(removed)

    def restore(
        self, residents: Iterable[models.AdapterVersion], *, now: float
    ) -> None:
        """Restores the adapters that a takeover found resident."""
        for adapter in residents:
            self.slots[adapter] = AdapterSlot(
                adapter, SlotState.RESIDENT, now, now, ""
            )

    def _drop_old_removals(self, taken_at: float) -> None:
        self.removed_at = {
            adapter: at
            for adapter, at in self.removed_at.items()
            if at >= taken_at
        }

    def _touch(self, adapter: models.AdapterVersion, now: float) -> None:
        slot = self.slots.get(adapter)
        if slot is not None:
            slot.used_at = now


def _has_order_in_flight(slot: AdapterSlot) -> bool:
    return slot.state in (SlotState.LOADING, SlotState.EVICTING)
