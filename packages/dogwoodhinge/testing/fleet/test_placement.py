"""Tests of the placement of adapters and the choice of evicted ones."""

import dataclasses

import hypothesis
from hypothesis import strategies
import pytest

from _dogwoodhinge.fleet import adapter_slots as adapter_slots_lib
from _dogwoodhinge.fleet import engines
from _dogwoodhinge.fleet import load_times
from _dogwoodhinge.fleet import models
from _dogwoodhinge.fleet import placement as placement_lib

CAPACITY = 3
SLOTS = 8


def key(number: int) -> models.AdapterKey:
    """Returns the key of adapter `number`."""
    return models.AdapterKey("base", f"a{number}")


def candidate(
    engine_id: str, *, running: int = 0, unread: int = 0
) -> adapter_slots_lib.Candidate:
    """Returns an engine as a placement candidate."""
    work = engines.Work(running, unread)
    return adapter_slots_lib.Candidate(engine_id, CAPACITY, SLOTS, work, 0.0)


def make_placement(
    *engine_ids: str, in_memory: tuple[int, ...] = ()
) -> placement_lib.Placement:
    """Returns a placement over empty engines."""
    placement = placement_lib.Placement()
    for engine_id in engine_ids:
        placement.set_engine(
            engine_id,
            capacity=CAPACITY,
            residents={},
            pending={},
            in_memory=map(key, in_memory),
            now=0.0,
        )
    return placement


def find(
    placement: placement_lib.Placement,
    number: int,
    *candidates: adapter_slots_lib.Candidate,
    now: float,
    version: int = 0,
    avoid: frozenset[str] = frozenset(),
    prompt_tokens: int = 100,
) -> adapter_slots_lib.Assignment | adapter_slots_lib.NoFreeSlot:
    """Requests a slot for adapter `number`."""
    return placement.find(
        key(number),
        version,
        candidates,
        avoid=avoid,
        prompt_tokens=prompt_tokens,
        now=now,
    )


def load(
    placement: placement_lib.Placement, number: int, engine_id: str, now: float
) -> adapter_slots_lib.Assignment:
    """Reserves a slot for an adapter and confirms its load order."""
    assignment = find(placement, number, candidate(engine_id), now=now)
    assert isinstance(assignment, adapter_slots_lib.Assignment)
    placement.confirm_order(engine_id, key(number), at=now)
    return assignment


def test_loaded_adapter_is_not_loaded_again() -> None:
    placement = make_placement("e1", "e2")
    load(placement, 1, "e1", 0.0)
    assignment = find(placement, 1, candidate("e1"), candidate("e2"), now=1.0)
    assert isinstance(assignment, adapter_slots_lib.Assignment)
    assert (assignment.engine_id, assignment.new) == ("e1", False)


def test_adapter_on_an_avoided_engine_is_loaded_on_another() -> None:
    placement = make_placement("e1", "e2")
    load(placement, 1, "e1", 0.0)
    assignment = find(
        placement,
        1,
        candidate("e1"),
        candidate("e2"),
        now=1.0,
        avoid=frozenset({"e1"}),
    )
    assert isinstance(assignment, adapter_slots_lib.Assignment)
    assert (assignment.engine_id, assignment.new) == ("e2", True)


def test_least_popular_adapter_is_evicted() -> None:
    placement = make_placement("e1")
    for number in (1, 2, 3):
        load(placement, number, "e1", 0.0)
    uses = {key(1): 5, key(2): 1, key(3): 4}
    placement.record_node_use("node", {}, uses, 1.0)
    assignment = find(placement, 4, candidate("e1"), now=2.0)
    assert isinstance(assignment, adapter_slots_lib.Assignment)
    assert assignment.evict == key(2)


def test_adapter_in_use_is_never_evicted() -> None:
    placement = make_placement("e1")
    for number in (1, 2, 3):
        load(placement, number, "e1", 0.0)
    active = {key(1): 1, key(2): 1, key(3): 1}
    placement.record_node_use("node", active, {}, 1.0)
    assert isinstance(
        find(placement, 4, candidate("e1"), now=2.0),
        adapter_slots_lib.NoFreeSlot,
    )


def test_reading_an_engine_keeps_the_adapters_known_in_memory() -> None:
    """Reports do not list them.

    Without that, each read of the state would cost loads from the weight
    store.
    """
    placement = make_placement("e1", "e2")
    load(placement, 1, "e1", 0.0)
    placement.set_engine(
        "e1", capacity=CAPACITY, residents={}, pending={}, in_memory=(), now=1.0
    )
    assignment = find(
        placement,
        1,
        candidate("e1", running=SLOTS // 4),
        candidate("e2"),
        now=2.0,
    )
    assert isinstance(assignment, adapter_slots_lib.Assignment)
    assert assignment.engine_id == "e1"
    assert assignment.ready_at - 2.0 < placement.load_times.seconds / 2


def test_restart_clears_the_adapters_known_in_memory() -> None:
    placement = make_placement("e1")
    load(placement, 1, "e1", 0.0)
    placement.drop_engine("e1", 1.0)
    placement.set_engine(
        "e1", capacity=CAPACITY, residents={}, pending={}, in_memory=(), now=1.0
    )
    assert not placement.engines["e1"].in_memory


def test_adapters_known_in_memory_are_limited_per_slot() -> None:
    """Guards against expecting fast loads of adapters loaded long ago.

    Requests were sent before such a load had ended, and were refused.
    """
    placement = make_placement("e1")
    engine = placement.engines["e1"]
    most = CAPACITY * adapter_slots_lib.CACHED_ADAPTERS_PER_SLOT
    for number in range(most + 1):
        engine.record_in_memory(key(number))
    assert len(engine.in_memory) == most
    assert key(0) not in engine.in_memory


def test_slots_are_counted_by_use() -> None:
    placement = make_placement("e1")
    ready = placement.load_times.seconds
    load(placement, 1, "e1", 0.0)
    load(placement, 2, "e1", ready + 1.0)
    placement.record_node_use("node", {key(2): 1}, {}, ready + 1.0)
    counts = placement.count_slots(ready + 1.1)
    assert (counts["idle"], counts["loading"], counts["in_use"]) == (1, 1, 0)
    counts = placement.count_slots(2 * ready + 1.1)
    assert (counts["idle"], counts["loading"], counts["in_use"]) == (1, 0, 1)
    assert sum(counts.values()) == 3


def test_adapter_just_loaded_is_kept_until_its_use_is_reported() -> None:
    placement = make_placement("e1")
    for number in (1, 2, 3):
        load(placement, number, "e1", 0.0)
    ready = placement.load_times.seconds
    early = ready + placement_lib.EVICTION_GRACE_SECONDS / 2
    late = ready + placement_lib.EVICTION_GRACE_SECONDS * 2
    assert isinstance(
        find(placement, 4, candidate("e1"), now=early),
        adapter_slots_lib.NoFreeSlot,
    )
    assert isinstance(
        find(placement, 4, candidate("e1"), now=late),
        adapter_slots_lib.Assignment,
    )


def test_outdated_version_is_evicted_before_unpopular_adapters() -> None:
    placement = make_placement("e1")
    for number in (1, 2, 3):
        load(placement, number, "e1", 0.0)
    placement.record_node_use("node", {}, {key(1): 9}, 1.0)
    placement.declare(key(1), 2)
    assignment = find(placement, 4, candidate("e1"), now=2.0)
    assert isinstance(assignment, adapter_slots_lib.Assignment)
    assert assignment.evict == key(1)


def test_newer_version_takes_the_slot_of_the_older_one() -> None:
    placement = make_placement("e1")
    load(placement, 1, "e1", 0.0)
    placement.declare(key(1), 2)
    assignment = find(placement, 1, candidate("e1"), now=2.0, version=2)
    assert isinstance(assignment, adapter_slots_lib.Assignment)
    assert (assignment.evict, assignment.version, assignment.new) == (
        key(1),
        2,
        True,
    )


def test_engine_with_the_weights_in_memory_is_preferred_to_an_idler_one() -> (
    None
):
    placement = make_placement("e1", "e2")
    placement.engines["e1"].record_in_memory(key(7))
    assignment = find(
        placement, 7, candidate("e1", running=2), candidate("e2"), now=0.0
    )
    assert isinstance(assignment, adapter_slots_lib.Assignment)
    assert assignment.engine_id == "e1"
    assert assignment.ready_at < placement.load_times.seconds / 2


def test_burst_of_rare_adapters_is_balanced_before_any_report() -> None:
    """Guards against sending a burst to a single engine.

    Load reports are 250 ms old, so recent assignments must count as well.
    """
    placement = make_placement("e1", "e2", "e3")
    assignments = [
        find(
            placement,
            number,
            candidate("e1"),
            candidate("e2"),
            candidate("e3"),
            now=0.001 * number,
        )
        for number in range(6)
    ]
    engine_ids = [
        assignment.engine_id
        for assignment in assignments
        if isinstance(assignment, adapter_slots_lib.Assignment)
    ]
    assert sorted(engine_ids) == ["e1", "e1", "e2", "e2", "e3", "e3"]


def test_prefill_backlog_weighs_more_than_running_requests() -> None:
    placement = make_placement("e1", "e2")
    assignment = find(
        placement,
        1,
        candidate("e1", running=1, unread=40_000),
        candidate("e2", running=4),
        now=0.0,
    )
    assert isinstance(assignment, adapter_slots_lib.Assignment)
    assert assignment.engine_id == "e2"


def test_concurrent_loads_are_limited_per_engine() -> None:
    placement = placement_lib.Placement()
    placement.set_engine(
        "e1", capacity=10, residents={}, pending={}, in_memory=(), now=0.0
    )
    large_engine = adapter_slots_lib.Candidate(
        "e1", 10, SLOTS, engines.Work(), 0.0
    )
    found = [
        find(placement, number, large_engine, now=0.0)
        for number in range(placement_lib.MAX_LOADS_IN_FLIGHT + 1)
    ]
    assert [
        isinstance(assignment, adapter_slots_lib.Assignment)
        for assignment in found
    ] == [
        *[True] * placement_lib.MAX_LOADS_IN_FLIGHT,
        False,
    ]


def test_early_request_raises_the_estimate() -> None:
    placement = make_placement("e1")
    load(placement, 1, "e1", 0.0)
    before = placement.load_times.seconds
    now = before + 0.01
    placement.record_absent("e1", key(1), now)
    assert placement.load_times.seconds > before
    slot = placement.engines["e1"].adapter_slots[key(1)]
    assert slot.ready_at == pytest.approx(
        now + placement_lib.EARLY_RETRY_DELAY_SECONDS
    )


def test_burst_of_early_requests_does_not_inflate_the_estimate() -> None:
    """Guards against each early request raising the estimate.

    It then exceeded seven times the real duration of a load.
    """
    placement = placement_lib.Placement()
    placement.set_engine(
        "e1", capacity=200, residents={}, pending={}, in_memory=(), now=0.0
    )
    actual_seconds = 0.3
    for number in range(100):
        now = number * 0.01
        large_engine = adapter_slots_lib.Candidate(
            "e1", 200, SLOTS, engines.Work(), 0.0
        )
        if isinstance(
            find(placement, number, large_engine, now=now),
            (adapter_slots_lib.NoFreeSlot),
        ):
            continue
        slot = placement.confirm_order("e1", key(number), at=now)
        assert slot is not None
        while slot.ready_at < now + actual_seconds:
            placement.record_absent("e1", key(number), slot.ready_at)
    limit = actual_seconds + 2 * placement_lib.EARLY_RETRY_DELAY_SECONDS
    assert actual_seconds * 0.8 < placement.load_times.seconds <= limit


def test_load_that_was_never_executed_barely_raises_the_estimate() -> None:
    """Guards against each request for a lost load raising the estimate."""
    placement = make_placement("e1")
    load(placement, 1, "e1", 0.0)
    before = placement.load_times.seconds
    slot = placement.engines["e1"].adapter_slots[key(1)]
    for _ in range(100):
        placement.record_absent("e1", key(1), slot.ready_at)
    assert slot.state is adapter_slots_lib.SlotState.UNCONFIRMED
    limit = before * load_times.MAX_RISE_FACTOR
    assert placement.load_times.seconds <= limit


def test_adapter_found_absent_long_after_its_load_is_removed() -> None:
    placement = make_placement("e1")
    load(placement, 1, "e1", 0.0)
    placement.record_absent("e1", key(1), 5.0)
    assignment = find(placement, 1, candidate("e1"), now=5.1)
    assert isinstance(assignment, adapter_slots_lib.NoFreeSlot)
    placement.reconcile("e1", {}, (), before=6.0, now=6.0)
    assert key(1) not in placement.engines["e1"].adapter_slots


def test_slot_of_a_load_that_seems_lost_is_not_reassigned() -> None:
    """Guards against more adapters than slots on an engine.

    The load may still be executed after its slot was assigned to another
    adapter.
    """
    placement = make_placement("e1")
    for number in (1, 2, 3):
        load(placement, number, "e1", 0.0)
    in_use = {key(2): 1, key(3): 1}
    placement.record_node_use("node", in_use, {}, 1.0)
    placement.record_absent("e1", key(1), 5.0)
    assert isinstance(
        find(placement, 4, candidate("e1"), now=5.1),
        adapter_slots_lib.NoFreeSlot,
    )
    placement.reconcile("e1", {key(1): 7}, (), before=6.0, now=6.0)
    slot = placement.engines["e1"].adapter_slots[key(1)]
    assert (slot.state, slot.version) == (
        adapter_slots_lib.SlotState.RESIDENT,
        7,
    )


def test_reading_an_engine_discards_its_reservations() -> None:
    """Guards against more adapters than slots on an engine.

    Loads of discarded reservations were ordered without taking a slot.
    """
    placement = make_placement("e1")
    assignment = find(placement, 1, candidate("e1"), now=0.0)
    assert isinstance(assignment, adapter_slots_lib.Assignment)
    assert placement.is_reserved(assignment, key(1))
    placement.set_engine(
        "e1",
        capacity=CAPACITY,
        residents={},
        pending={},
        in_memory=(),
        now=0.1,
    )
    assert not placement.is_reserved(assignment, key(1))


def test_unloading_adapter_in_use_keeps_its_slot_until_it_is_gone() -> None:
    placement = make_placement("e1")
    for number in (1, 2, 3):
        load(placement, number, "e1", 0.0)
    assignment = find(placement, 4, candidate("e1"), now=2.0)
    assert isinstance(assignment, adapter_slots_lib.Assignment)
    assert assignment.evict is not None
    placement.cancel_reservation(assignment, key(4), 2.0)
    placement.record_unloading("e1", assignment.evict, 2.0)
    assert len(placement.engines["e1"].adapter_slots) == CAPACITY
    placement.reconcile("e1", {assignment.evict: 0}, (), before=3.0, now=3.0)
    assert len(placement.engines["e1"].adapter_slots) == CAPACITY
    placement.reconcile("e1", {}, (), before=3.0, now=3.0)
    assert len(placement.engines["e1"].adapter_slots) == CAPACITY - 1


def test_changes_list_added_and_removed_adapters() -> None:
    placement = make_placement("e1")
    start = placement.last_change
    assignment = load(placement, 1, "e1", 0.0)
    placement.cancel_reservation(assignment, key(1), 1.0)
    changes = placement.changes_since(start)
    assert changes is not None
    assert [(c.key, c.version) for c in changes][-1] == (key(1), None)
    assert placement.changes_since(placement.last_change) == []


def test_peer_that_missed_too_many_changes_reads_all_slots() -> None:
    placement = make_placement("e1")
    for number in range(placement_lib.MAX_CHANGES):
        assignment = load(placement, number % 2, "e1", 10.0 * number)
        placement.cancel_reservation(
            assignment, key(number % 2), 10.0 * number + 5
        )
    assert placement.changes_since(1) is None


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(0, 12),
            strategies.floats(0.0, 0.5),
            strategies.booleans(),
        ),
        max_size=60,
    )
)
def test_no_engine_exceeds_its_slots_or_concurrent_loads(
    steps: list[tuple[int, float, bool]],
) -> None:
    placement = make_placement("e1", "e2")
    now = 0.0
    for number, pause, active in steps:
        now += pause
        in_use = {key(number): 1} if active else {}
        placement.record_node_use("node", in_use, {key(number): 1}, now)
        assignment = find(
            placement, number, candidate("e1"), candidate("e2"), now=now
        )
        if (
            isinstance(assignment, adapter_slots_lib.Assignment)
            and assignment.new
        ):
            placement.confirm_order(assignment.engine_id, key(number), at=now)
        for engine in placement.engines.values():
            assert len(engine.adapter_slots) <= CAPACITY
            assert engine.loading(now) <= placement_lib.MAX_LOADS_IN_FLIGHT


def test_adapter_is_in_use_until_no_node_reports_its_use() -> None:
    placement = make_placement("e1")
    for node in ("a", "b"):
        placement.record_node_use(node, {key(1): 2}, {}, 0.0)
    placement.record_node_use("a", {}, {}, 1.0)
    assert placement.in_use == {key(1): 1}
    placement.drop_node("b")
    assert not placement.in_use


def test_engine_with_more_adapters_than_slots_loads_nothing() -> None:
    """Evicting one adapter for another would still leave one too many."""
    placement = make_placement("e1")
    for number in range(1, CAPACITY + 2):
        placement.record_unconfirmed("e1", key(number), 0.0)
    load_at = 100.0
    placement.reconcile(
        "e1",
        {key(number): 1 for number in range(1, CAPACITY + 2)},
        (),
        before=load_at,
        now=load_at,
    )
    found = find(placement, 99, candidate("e1"), now=load_at + 60.0)
    assert isinstance(found, adapter_slots_lib.NoFreeSlot)


def test_slow_load_from_memory_is_treated_as_one_from_the_store() -> None:
    """Guards against requests that retry too early and are then rejected.

    They were sent four times within 0.2 s of a load that took longer.
    """
    placement = make_placement("e1", in_memory=(1,))
    assignment = find(placement, 1, candidate("e1"), now=0.0)
    assert isinstance(assignment, adapter_slots_lib.Assignment)
    placement.confirm_order("e1", key(1), at=0.0)
    slot = placement.engines["e1"].adapter_slots[key(1)]
    from_memory, from_store = slot.expected, placement.load_times.expected(0.0)
    placement.record_absent("e1", key(1), from_memory)
    assert slot.ready_at < from_store
    placement.record_absent(
        "e1", key(1), from_memory
    )  # sent at the same time as the first
    retry_at = slot.ready_at
    assert retry_at < from_store
    placement.record_absent("e1", key(1), retry_at)
    assert slot.ready_at == from_store
    placement.record_absent("e1", key(1), from_store)
    assert slot.state is adapter_slots_lib.SlotState.LOADING


def load_end_times(
    ordered_at: list[float], *, seconds: float, at_full_speed: int
) -> list[float]:
    """Returns when loads end in a store that slows down under many of them.

    Args:
        ordered_at: loop times of the orders, ascending.
        seconds: duration of a load at full speed.
        at_full_speed: loads in flight up to which the store is not slower.
    """
    left = [seconds] * len(ordered_at)
    ends = [0.0] * len(ordered_at)
    now, step = 0.0, 0.001
    while not all(ends):
        in_flight = [
            n for n, at in enumerate(ordered_at) if at <= now and not ends[n]
        ]
        speed = min(1.0, at_full_speed / max(1, len(in_flight)))
        now += step
        for n in in_flight:
            left[n] -= step * speed
            if left[n] <= 0:
                ends[n] = now
    return ends


def early_requests(factor: float, monkeypatch: pytest.MonkeyPatch) -> int:
    """Replays bursts of loads and counts the requests sent too early."""
    monkeypatch.setattr(placement_lib, "STORE_LOAD_MARGIN_FACTOR", factor)
    bursts = 12
    orders = [
        burst * 1.0 + n * 0.02 for burst in range(bursts) for n in range(12)
    ]
    ends = load_end_times(orders, seconds=0.25, at_full_speed=8)
    placement = placement_lib.Placement()
    placement.set_engine(
        "e1", capacity=500, residents={}, pending={}, in_memory=(), now=0.0
    )
    wide = adapter_slots_lib.Candidate("e1", 500, SLOTS, engines.Work(), 0.0)
    waiting: list[tuple[float, int]] = []
    count = 0
    for n in range(len(orders)):
        while waiting and min(waiting)[0] <= orders[n]:
            at, number = min(waiting)
            waiting.remove((at, number))
            slot = placement.engines["e1"].adapter_slots[key(number)]
            if at < ends[number]:
                count += 1
                placement.record_absent("e1", key(number), at)
                waiting.append((slot.ready_at, number))
        monkeypatch.setattr(placement_lib, "MAX_LOADS_IN_FLIGHT", 500)
        find(placement, n, wide, now=orders[n])
        slot = placement.confirm_order("e1", key(n), at=orders[n])
        assert slot is not None
        waiting.append((slot.ready_at, n))
    return count


def test_few_requests_are_sent_before_their_adapters_are_loaded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Regression: 638 of 659 such requests came some ms after the estimate.

    Each cost a retry, and requests were refused because none were left.

    Load pattern: bursts of loads, which slow one another down.
    """
    factor = placement_lib.STORE_LOAD_MARGIN_FACTOR
    before = early_requests(1.0, monkeypatch)
    after = early_requests(factor, monkeypatch)
    assert after <= before / 2
    assert after <= 20


@pytest.mark.parametrize(
    ("early", "delay"), [(0, 0.03), (1, 0.03), (2, 0.06), (4, 0.24), (9, 0.24)]
)
def test_request_for_a_late_load_returns_after_doubling_delays(
    early: int, delay: float
) -> None:
    assert placement_lib.early_retry_delay_seconds(early) == delay


def full_placement(*engine_ids: str) -> placement_lib.Placement:
    """Returns a placement whose slots hold adapters that may be evicted."""
    placement = placement_lib.Placement()
    for number, engine_id in enumerate(engine_ids):
        placement.set_engine(
            engine_id,
            capacity=CAPACITY,
            residents={key(100 * number + n): 1 for n in range(CAPACITY)},
            pending={},
            in_memory=(),
            now=0.0,
        )
    return placement


def test_pass_over_waiting_requests_ranks_the_adapters_of_an_engine_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Regression: the leader was too slow for 195 nodes at its busiest.

    Load pattern: slots are short, and dozens of requests wait; each of them
    ranked the adapters of all engines every 20 ms.
    """
    placement = full_placement("e1", "e2", "e3")
    in_use = {key(100 * e + n): 1 for e in range(3) for n in range(CAPACITY)}
    placement.record_node_use("node", in_use, {}, 9.0)
    ranked: list[str] = []
    choose = placement._choose_victim  # noqa: SLF001

    def count(
        engine: adapter_slots_lib.EngineSlots, now: float
    ) -> models.AdapterKey | None:
        ranked.append(engine.engine_id)
        return choose(engine, now)

    monkeypatch.setattr(placement, "_choose_victim", count)
    for number in range(40):
        candidates = [candidate(f"e{n}") for n in (1, 2, 3)]
        now = 10.0 + number * placement_lib.OPENING_LIFETIME_SECONDS / 41
        find(placement, 1_000 + number, *candidates, now=now)
    assert sorted(ranked) == ["e1", "e2", "e3"]


def test_adapter_that_is_used_meanwhile_is_not_evicted_in_the_same_pass() -> (
    None
):
    placement = full_placement("e1")
    first = find(placement, 1_000, candidate("e1"), now=10.0)
    assert isinstance(first, adapter_slots_lib.Assignment)
    rest = [k for k in placement.engines["e1"].adapter_slots if k != key(1_000)]
    placement.record_node_use("node", dict.fromkeys(rest, 1), {}, 10.0)
    second = find(placement, 1_001, candidate("e1"), now=10.0)
    assert isinstance(second, adapter_slots_lib.NoFreeSlot)


@pytest.mark.parametrize(
    ("unread", "engine_id"), [(10_000, "e1"), (20_000, "e2")]
)
def test_adapter_is_loaded_where_its_weights_are_in_memory(
    unread: int, engine_id: str
) -> None:
    """Regression: every sixth load came from the store although not needed.

    Load pattern: clumps of prompts at the engine that has the weights.
    """
    placement = make_placement("e1", "e2")
    placement.engines["e1"].record_in_memory(key(1))
    assignment = find(
        placement,
        1,
        candidate("e1", unread=unread),
        candidate("e2"),
        now=0.0,
    )
    assert isinstance(assignment, adapter_slots_lib.Assignment)
    assert assignment.engine_id == engine_id


def test_nothing_is_evicted_beside_an_unload_that_waits() -> None:
    """Regression: the orders were rejected and their requests delayed.

    Load pattern: all slots are taken, and the evicted adapter turns out to be
    in use. The engine rejects further unloads until its requests have ended.
    """
    placement = make_placement("e1", "e2")
    for number in range(CAPACITY):
        load(placement, number, "e1", 0.0)
        load(placement, 10 + number, "e2", 0.0)
    assignment = find(placement, 20, candidate("e1"), now=9.0)
    assert isinstance(assignment, adapter_slots_lib.Assignment)
    assert assignment.evict is not None
    placement.cancel_reservation(assignment, key(20), 9.0)
    placement.record_unloading("e1", assignment.evict, 9.0)
    other = find(
        placement, 21, candidate("e1"), candidate("e2", running=4), now=9.1
    )
    assert isinstance(other, adapter_slots_lib.Assignment)
    assert other.engine_id == "e2"
    placement.reconcile("e1", {}, (), before=9.5, now=9.8)
    third = find(placement, 22, candidate("e1"), now=9.8)
    assert isinstance(third, adapter_slots_lib.Assignment)


def test_assigned_adapter_is_kept_until_its_node_reports() -> None:
    """Regression: it was evicted while its first request ran.

    Load pattern: hundreds of nodes, which report their use every second or
    less often, while adapter slots are short.
    """
    placement = make_placement("e1")
    placement.record_node_use("n1", {}, {}, 0.0)
    for number in range(CAPACITY):
        load(placement, number, "e1", 0.0)
        placement.record_assigned_use("n1", key(number))
    at = 5.0
    no_slot = adapter_slots_lib.NoFreeSlot()
    assert find(placement, 9, candidate("e1"), now=at) == no_slot
    placement.record_node_use("n2", {}, {}, at)
    assert find(placement, 9, candidate("e1"), now=at + 0.1) == no_slot
    placement.record_node_use("n1", {key(0): 1, key(1): 1}, {}, at)
    found = find(placement, 9, candidate("e1"), now=at + 0.2)
    assert isinstance(found, adapter_slots_lib.Assignment)
    assert found.evict == key(2)


def test_assignment_to_a_node_that_does_not_report_keeps_nothing() -> None:
    """Guards against adapters that stay in use after their node is gone."""
    placement = make_placement("e1")
    placement.record_node_use("n1", {}, {}, 0.0)
    load(placement, 0, "e1", 0.0)
    placement.drop_node("n1")
    placement.record_assigned_use("n1", key(0))
    assert not placement.in_use


def test_slot_kept_free_is_filled_by_no_load_but_others_are_reused() -> None:
    """An order of the previous leader may still load an adapter there."""
    placement = make_placement("e1")
    keeping = dataclasses.replace(candidate("e1"), kept_free=1)
    for number in range(CAPACITY - 1):
        load(placement, number, "e1", 0.0)
    assignment = find(placement, CAPACITY, keeping, now=60.0)
    assert isinstance(assignment, adapter_slots_lib.Assignment)
    assert assignment.evict is not None


def test_full_engine_still_replaces_adapters_while_a_slot_is_kept() -> None:
    """Guards against a takeover after which no engine loads anything."""
    placement = make_placement("e1")
    keeping = dataclasses.replace(candidate("e1"), kept_free=1)
    for number in range(CAPACITY):
        load(placement, number, "e1", 0.0)
    assignment = find(placement, CAPACITY, keeping, now=60.0)
    assert isinstance(assignment, adapter_slots_lib.Assignment)
    assert assignment.evict is not None


def count_early_sends(*, order_seconds: float) -> int:
    """Replays a crowd of loads and counts the requests sent before the order.

    Another node reads the changes every 0.2 s and sends a request for each
    adapter at the time at which it was last told to be ready.

    Args:
        order_seconds: time until an engine accepts an order; orders to one
            engine wait for one another.
    """
    loads = 40
    placement = placement_lib.Placement()
    placement.set_engine(
        "e1", capacity=500, residents={}, pending={}, in_memory=(), now=0.0
    )
    wide = adapter_slots_lib.Candidate("e1", 500, SLOTS, engines.Work(), 0.0)
    ready: dict[models.AdapterKey, float] = {}
    ordered: set[models.AdapterKey] = set()
    early = known = 0
    for step in range(200):
        now = step * 0.02
        if step < loads:
            find(placement, step, wide, now=now)
        if len(ordered) < min(int(now / order_seconds), loads, step):
            placement.confirm_order("e1", key(len(ordered)), at=now)
            ordered.add(key(len(ordered)))
        for due in [k for k, at in ready.items() if at <= now]:
            del ready[due]
            early += due not in ordered
        if step % 10 == 0:
            changes = placement.changes_since(known)
            assert changes is not None
            known = placement.last_change
            ready.update((c.key, c.ready_at) for c in changes)
    return early


@pytest.mark.parametrize("order_seconds", [0.02, 0.06, 0.1])
def test_loads_are_told_once_their_orders_are_accepted(
    monkeypatch: pytest.MonkeyPatch, order_seconds: float
) -> None:
    """Regression: requests came to engines that had no order for their adapter.

    The time of the end of a load was told before the engine had accepted its
    order. Orders wait for one another, and some get no reply.
    """
    monkeypatch.setattr(placement_lib, "MAX_LOADS_IN_FLIGHT", 500)
    assert count_early_sends(order_seconds=order_seconds) == 0


def test_absence_before_the_order_does_not_concern_the_reserved_slot() -> None:
    """Regression: the slot was lost, and its adapter loaded a second time."""
    placement = make_placement("e1")
    assignment = find(placement, 1, candidate("e1"), now=5.0)
    assert isinstance(assignment, adapter_slots_lib.Assignment)
    placement.record_absent("e1", key(1), 5.1)
    placement.confirm_order("e1", key(1), at=5.2)
    again = find(placement, 1, candidate("e1"), now=5.3)
    assert isinstance(again, adapter_slots_lib.Assignment)
    assert not again.new


def test_load_whose_order_has_no_reply_counts_as_in_flight() -> None:
    placement = make_placement("e1")
    find(placement, 1, candidate("e1"), now=0.0)
    engine = placement.engines["e1"]
    assert engine.loading(9.0) == 1
    placement.confirm_order("e1", key(1), at=9.0)
    assert engine.loading(9.1) == 1
    assert engine.loading(9.9) == 0


def replay_one_offs(*, seconds: float = 20.0) -> tuple[int, int, int]:
    """Replays adapters that return among those that are asked for once.

    Three adapters are used for 0.05 s every 0.2 s, in turns; in every fifth of
    a second a request for another adapter comes, waits for up to a second and
    uses its slot for 0.6 s, its load included.

    Returns:
        The number of loads of adapters that return, of requests for others,
        and of those of them that got a slot.
    """
    placement = make_placement("e1", "e2")
    ends: dict[models.AdapterKey, float] = {}
    waiting: list[tuple[float, int]] = []
    returning_loads = asked = served = 0
    for step in range(int(seconds / 0.05)):
        now = 10.0 + step * 0.05
        begun = {key(step % 4): 1} if step % 4 < 3 else {}
        if step % 4 == 3:
            asked += 1
            waiting.append((now, 100 + step))
            begun = {key(100 + step): 1}
        ends = {k: at for k, at in ends.items() if at > now}
        if step % 4 < 3:
            ends[key(step % 4)] = now + 0.04
            found = find(
                placement, step % 4, candidate("e1"), candidate("e2"), now=now
            )
            if isinstance(found, adapter_slots_lib.Assignment) and found.new:
                returning_loads += 1
                placement.confirm_order(found.engine_id, key(step % 4), at=now)
        placement.record_node_use("node", dict.fromkeys(ends, 1), begun, now)
        for at, number in tuple(waiting):
            found = find(
                placement, number, candidate("e1"), candidate("e2"), now=now
            )
            if isinstance(found, adapter_slots_lib.Assignment):
                placement.confirm_order(found.engine_id, key(number), at=now)
                ends[key(number)] = now + 0.6
                served += 1
            elif now - at < 1.0:
                continue
            waiting.remove((at, number))
    return returning_loads, asked, served


def test_one_off_adapters_do_not_push_out_those_that_return(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Load pattern: most slots are in use.

    Those that are not at the moment hold popular adapters between two requests.
    Evicted for one-off ones, they were loaded again at their next request.
    """
    loads, asked, served = replay_one_offs()
    monkeypatch.setattr(placement_lib, "KEPT_SCORE", 1e9)
    loads_before, _, served_before = replay_one_offs()
    assert loads <= loads_before / 4
    assert served >= 0.9 * asked
    assert served_before >= served


def test_outdated_version_of_a_popular_adapter_is_evicted() -> None:
    placement = make_placement("e1")
    for number in range(CAPACITY):
        load(placement, number, "e1", 0.0)
    uses = {key(0): 50, key(1): 9, key(2): 9}
    placement.record_node_use("node", {}, uses, 1.0)
    placement.popularity.record_uses(key(9), 9, 1.0)
    placement.declare(key(0), 7)
    found = find(placement, 9, candidate("e1"), now=2.0)
    assert isinstance(found, adapter_slots_lib.Assignment)
    assert found.evict == key(0)
