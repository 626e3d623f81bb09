"""Stateful tests of `_dogwoodhinge.engine_scheduling.adapter_slots`."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from _dogwoodhinge.engine_scheduling import adapter_slots
from _dogwoodhinge.engine_scheduling import errors
from dogwoodhinge import models

NAMES = strategies.sampled_from(["red", "green", "blue", "black"])
CAPACITY = 2


class SlotTableMachine(stateful.RuleBasedStateMachine):
    """Interleaves orders, grants and reports of different ages randomly.

    Guards against evicting an adapter with an open grant and against using
    more slots than the engine has, for example after a stale report.
    """

    def __init__(self) -> None:
        super().__init__()
        self.table = adapter_slots.SlotTable(CAPACITY)
        self.now = 0.0
        self.grants: dict[str, models.AdapterVersion] = {}
        self.resident_history: list[
            tuple[float, frozenset[models.AdapterVersion]]
        ] = [(0.0, frozenset())]

    def tick(self) -> float:
        self.now += 1.0
        return self.now

    def record_change(
        self, *, add: frozenset = frozenset(), remove: frozenset = frozenset()
    ) -> None:
        self.resident_history.append(
            (self.now, (self.resident_history[-1][1] | add) - remove)
        )

    @stateful.rule(name=NAMES)
    def load(self, name: str) -> None:
        adapter = models.AdapterVersion(name, "1")
        now = self.tick()
        try:
            self.table.start_load(adapter, now=now, epoch="e")
        except errors.PlacementError:
            return
        self.record_change(add=frozenset({adapter}))
        self.table.finish_load(adapter, now=self.tick(), epoch="e")

    @stateful.rule(name=NAMES)
    def grant(self, name: str) -> None:
        adapter = models.AdapterVersion(name, "1")
        if self.table.is_resident(adapter):
            grant_id = f"grant-{self.tick()}"
            self.table.pin(adapter, grant_id, self.now)
            self.grants[grant_id] = adapter

    @stateful.rule(data=strategies.data())
    def release(self, data: strategies.DataObject) -> None:
        if self.grants:
            grant_id = data.draw(strategies.sampled_from(sorted(self.grants)))
            self.table.unpin(self.grants.pop(grant_id), grant_id, self.tick())

    @stateful.rule(name=NAMES)
    def evict(self, name: str) -> None:
        adapter = models.AdapterVersion(name, "1")
        try:
            self.table.start_eviction(adapter, now=self.tick())
        except errors.PlacementError:
            return
        assert adapter not in self.grants.values()
        self.record_change(remove=frozenset({adapter}))
        self.table.remove(adapter, now=self.tick())

    @stateful.rule(report_age=strategies.integers(0, 6))
    def report(self, report_age: int) -> None:
        taken_at = self.now - report_age
        past = [
            adapters for at, adapters in self.resident_history if at <= taken_at
        ]
        residents = past[-1] if past else frozenset()
        self.table.reconcile(
            residents, taken_at=taken_at, now=self.tick(), epoch="e"
        )

    @stateful.invariant()
    def granted_adapters_stay_resident(self) -> None:
        for adapter in self.grants.values():
            assert self.table.is_resident(adapter)
            assert adapter in self.resident_history[-1][1]

    @stateful.invariant()
    def capacity_is_never_exceeded(self) -> None:
        assert len(self.resident_history[-1][1]) <= CAPACITY


SlotTableMachine.TestCase.settings = hypothesis.settings(
    max_examples=200, stateful_step_count=30, derandomize=True, deadline=None
)
TestSlots = SlotTableMachine.TestCase
