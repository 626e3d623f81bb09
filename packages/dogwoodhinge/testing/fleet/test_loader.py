"""Tests of orders to engines whose replies are late or lost."""

import asyncio
import contextlib
import dataclasses

import pytest

from _dogwoodhinge.fleet import adapter_slots as adapter_slots_lib
from _dogwoodhinge.fleet import engines as engines_lib
from _dogwoodhinge.fleet import loader as loader_lib
from _dogwoodhinge.fleet import models
from _dogwoodhinge.fleet import orders
from _dogwoodhinge.fleet import placement as placement_lib
from dogwoodhinge import errors
from dogwoodhinge_lab import fleet_fakes

ENTRY = models.EngineEntry(
    engine_id="e1",
    service="llm",
    host="127.0.0.1",
    port=1,
    zone="z1",
    slots=8,
    leaving=False,
    born_ms=1,
    orders_accepted=0,
    models={},
)
KEY = models.AdapterKey("base", "a1")
OTHER = models.AdapterKey("base", "a2")


@dataclasses.dataclass
class Bench:
    """A loader with one fake engine that has one adapter slot."""

    engine: fleet_fakes.FakeOrders
    placement: placement_lib.Placement
    loader: loader_lib.Loader
    may_order: bool = True

    def reserve(
        self,
        key: models.AdapterKey,
        now: float,
        *,
        version: int = 0,
        capacity: int = 1,
    ) -> adapter_slots_lib.Assignment:
        """Reserves a slot for an adapter."""
        candidate = adapter_slots_lib.Candidate(
            "e1", capacity, 8, engines_lib.Work(), 0.0
        )
        assignment = self.placement.find(
            key, version, [candidate], avoid=(), prompt_tokens=0, now=now
        )
        assert isinstance(assignment, adapter_slots_lib.Assignment)
        return assignment


@pytest.fixture
async def bench() -> Bench:
    engine = fleet_fakes.FakeOrders()
    placement = placement_lib.Placement()
    found = Bench(engine, placement, None)  # type: ignore[arg-type]
    found.loader = loader_lib.Loader(
        orders=engine,
        placement=placement,
        may_order=lambda: found.may_order,
        token=lambda: 1,
        report=lambda event, fields: None,
    )
    await found.loader.read_state(ENTRY, capacity=1)
    return found


async def test_order_states_the_number_of_accepted_orders(bench: Bench) -> None:
    await bench.loader.load(bench.reserve(KEY, 0.0), KEY)
    assert bench.engine.sent == [("load", KEY, 0)]
    assert bench.loader.order_states["e1"].orders_accepted == 1


async def test_order_without_a_reply_is_retried_unchanged(
    bench: Bench,
) -> None:
    bench.engine.lose.append(False)
    await bench.loader.load(bench.reserve(KEY, 0.0), KEY)
    assert bench.engine.sent == [("load", KEY, 0), ("load", KEY, 0)]
    assert bench.engine.accepted == 1


async def test_retry_after_a_lost_reply_confirms_an_accepted_load(
    bench: Bench,
) -> None:
    bench.engine.lose.append(True)
    await bench.loader.load(bench.reserve(KEY, 0.0), KEY)
    state = bench.loader.order_states["e1"]
    assert (state.orders_accepted, state.needs_refresh) == (1, False)
    assert bench.engine.residents == {KEY}


async def test_order_without_any_reply_requires_a_read_of_the_state(
    bench: Bench,
) -> None:
    bench.engine.lose.extend([False] * loader_lib.MAX_SEND_ATTEMPTS)
    with pytest.raises(loader_lib.OrderFailedError):
        await bench.loader.load(bench.reserve(KEY, 0.0), KEY)
    assert bench.loader.order_states["e1"].needs_refresh
    with pytest.raises(loader_lib.OrderFailedError):
        await bench.loader.load(bench.reserve(KEY, 0.0), KEY)


async def test_conflict_is_ambiguous_after_an_abandoned_order(
    bench: Bench,
) -> None:
    """The abandoned order also raises the count if it is executed late."""
    bench.engine.lose.extend([False] * loader_lib.MAX_SEND_ATTEMPTS)
    with pytest.raises(loader_lib.OrderFailedError):
        await bench.loader.load(bench.reserve(KEY, 0.0), KEY)
    await bench.loader.read_state(ENTRY, capacity=1)
    bench.engine.lose.append(False)
    assignment = bench.reserve(OTHER, 10.0)
    original = bench.engine.send

    async def send_after_late_order(
        entry: models.EngineEntry,
        order: orders.Order,
        *,
        orders_accepted: int,
        token: int,
    ) -> orders.OrderReply:
        if len(bench.engine.lose) == 0:
            bench.engine.accepted = max(1, bench.engine.accepted)
        return await original(
            entry, order, orders_accepted=orders_accepted, token=token
        )

    bench.engine.send = send_after_late_order  # type: ignore
    with pytest.raises(loader_lib.OrderFailedError):
        await bench.loader.load(assignment, OTHER)
    assert bench.loader.order_states["e1"].needs_refresh


async def test_conflict_about_one_adapter_keeps_the_engine_usable(
    bench: Bench,
) -> None:
    """Guards against repeated pauses of half a second without any load.

    After a restart of all nodes, each engine had an adapter whose unload was
    waiting for requests. The new leader did not know about it and chose that
    adapter for eviction.
    """
    await bench.loader.load(bench.reserve(KEY, 0.0), KEY)
    bench.engine.blocked.add(KEY)
    late = asyncio.get_running_loop().time() + 60.0
    assignment = bench.reserve(OTHER, late)
    assert assignment.evict == KEY
    with pytest.raises(loader_lib.OrderFailedError):
        await bench.loader.load(assignment, OTHER)
    assert not bench.loader.order_states["e1"].needs_refresh
    bench.placement.cancel_reservation(assignment, OTHER, late)
    assert set(bench.placement.engines["e1"].adapter_slots) == {KEY}
    assert not bench.placement.is_held(KEY, 0, avoid=())


async def test_conflicts_in_a_row_require_a_read_of_the_state(
    bench: Bench,
) -> None:
    bench.engine.accepted += 1
    for number in range(loader_lib.CONFLICTS_BEFORE_REFRESH):
        bench.placement.engines["e1"].adapter_slots.clear()
        key = models.AdapterKey("base", f"b{number}")
        assert not bench.loader.order_states["e1"].needs_refresh
        with pytest.raises(loader_lib.OrderFailedError):
            await bench.loader.load(bench.reserve(key, 0.0), key)
    assert bench.loader.order_states["e1"].needs_refresh


async def test_unexpected_order_count_requires_a_read_of_the_state(
    bench: Bench,
) -> None:
    bench.engine.accepted += 1
    bench.loader.order_states["e1"].last_order_at = -60.0
    await bench.loader.reconcile("e1")
    assert bench.loader.order_states["e1"].needs_refresh


async def test_engine_that_left_while_it_was_read_has_no_slots(
    bench: Bench,
) -> None:
    """Guards against adapters that count as held on an engine that left."""
    state = bench.loader.order_states["e1"]
    state.last_order_at = asyncio.get_running_loop().time()
    reading = asyncio.ensure_future(bench.loader.read_state(ENTRY, capacity=1))
    await asyncio.sleep(0.01)
    del bench.loader.order_states["e1"]
    bench.placement.drop_engine("e1", 0.0)
    await reading
    assert "e1" not in bench.placement.engines


async def test_evicted_adapter_keeps_its_slot_until_it_is_unloaded(
    bench: Bench,
) -> None:
    """Guards against reassigning a taken slot: too many adapters loaded.

    The node lost the order lease between the decision and the unload order.
    """
    await bench.loader.load(bench.reserve(KEY, 0.0), KEY)
    late = asyncio.get_running_loop().time() + 60.0
    assignment = bench.reserve(OTHER, late)
    assert assignment.evict == KEY
    bench.may_order = False
    with pytest.raises(loader_lib.OrderFailedError):
        await bench.loader.load(assignment, OTHER)
    bench.placement.cancel_reservation(assignment, OTHER, late)
    bench.may_order = True
    assert bench.loader.order_states["e1"].needs_refresh


async def test_unload_without_a_reply_frees_no_slot(
    bench: Bench,
) -> None:
    """The slot may still be taken by an adapter with running requests."""
    await bench.loader.load(bench.reserve(KEY, 0.0), KEY)
    bench.engine.in_use.add(KEY)
    bench.engine.lose.append(True)
    late = asyncio.get_running_loop().time() + 60.0
    assignment = bench.reserve(OTHER, late)
    with pytest.raises(loader_lib.OrderFailedError):
        await bench.loader.load(assignment, OTHER)
    bench.placement.cancel_reservation(assignment, OTHER, late)
    assert bench.engine.residents == {KEY}
    assert set(bench.placement.engines["e1"].adapter_slots) == {KEY}


async def test_no_order_is_sent_without_the_order_lease(bench: Bench) -> None:
    assignment = bench.reserve(KEY, 0.0)
    bench.may_order = False
    with pytest.raises(loader_lib.OrderFailedError):
        await bench.loader.load(assignment, KEY)
    assert bench.engine.sent == []


async def test_adapter_in_use_is_not_evicted(bench: Bench) -> None:
    await bench.loader.load(bench.reserve(KEY, 0.0), KEY)
    bench.engine.in_use.add(KEY)
    assignment = bench.reserve(OTHER, 1e9)
    assert assignment.evict == KEY
    with pytest.raises(loader_lib.OrderFailedError):
        await bench.loader.load(assignment, OTHER)
    assert [operation for operation, _, _ in bench.engine.sent] == [
        "load",
        "unload",
    ]
    assert KEY in bench.placement.engines["e1"].adapter_slots


async def test_load_without_a_reservation_is_not_ordered(
    bench: Bench,
) -> None:
    """Guards against loads without a slot: too many adapters loaded."""
    assignment = bench.reserve(KEY, 0.0)
    await bench.loader.read_state(ENTRY, capacity=1)
    with pytest.raises(loader_lib.OrderFailedError):
        await bench.loader.load(assignment, KEY)
    assert bench.engine.sent == []


async def test_outdated_adapter_in_use_keeps_its_slot(bench: Bench) -> None:
    """Guards against reassigning a taken slot: too many adapters loaded.

    A newer version takes the slot of the older one, which may still be in use
    by an earlier request.
    """
    await bench.loader.load(bench.reserve(KEY, 0.0), KEY)
    bench.engine.in_use.add(KEY)
    late = asyncio.get_running_loop().time() + 60.0
    bench.placement.declare(KEY, 2)
    assignment = bench.reserve(KEY, late, version=2)
    assert assignment.evict == KEY
    with pytest.raises(loader_lib.OrderFailedError):
        await bench.loader.load(assignment, KEY)
    bench.placement.cancel_reservation(assignment, KEY, late)
    assert bench.engine.residents == {KEY}
    assert set(bench.placement.engines["e1"].adapter_slots) == {KEY}


async def test_unknown_adapter_in_a_report_requires_a_read_of_the_state(
    bench: Bench,
) -> None:
    """An order of the previous leader may be executed after the first read.

    If a reply is lost at that time, the raised count is attributed to this
    node's own order, and a slot that is taken would seem to be free.
    """
    bench.engine.residents.add(OTHER)
    bench.placement.record_unconfirmed("e1", KEY, 0.0)
    await bench.loader.reconcile("e1")
    assert bench.loader.order_states["e1"].needs_refresh


async def test_outdated_report_requires_no_read_of_the_state(
    bench: Bench,
) -> None:
    """A report with a lower order count is older than the last order."""
    await bench.loader.load(bench.reserve(KEY, 0.0), KEY)
    late = asyncio.get_running_loop().time() + 60.0
    bench.engine.freeze_report()
    await bench.loader.load(bench.reserve(OTHER, late), OTHER)
    await bench.loader.reconcile("e1")
    assert not bench.loader.order_states["e1"].needs_refresh


MODEL = models.AdapterKey("base", "")


@pytest.mark.parametrize(
    ("busy", "holds", "accepted", "ordered"),
    [
        pytest.param(False, False, 0, True, id="empty"),
        pytest.param(False, True, 0, False, id="holds_a_model"),
        pytest.param(True, False, 0, False, id="loads_a_model"),
        pytest.param(False, False, 1, False, id="accepted_another_order"),
    ],
)
async def test_base_model_is_ordered_only_for_an_engine_without_one(
    bench: Bench, busy: bool, holds: bool, accepted: int, ordered: bool
) -> None:
    """The list of endpoints may be older than an order.

    Guards against a second base model that exceeds the engine's memory.
    """
    bench.engine.busy = busy
    bench.engine.holds_model = holds
    bench.engine.accepted = accepted
    await bench.loader.load_model("e1", "base")
    assert bench.engine.sent == ([("model", MODEL, 0)] if ordered else [])


async def test_base_model_order_without_a_reply_is_remembered(
    bench: Bench,
) -> None:
    """It may be executed late: a conflict may then concern the count."""
    bench.engine.holds_model = False
    bench.engine.lose.append(False)
    before = asyncio.get_running_loop().time()
    assert not await bench.loader.load_model("e1", "base")
    state = bench.loader.order_states["e1"]
    assert state.needs_refresh
    assert state.abandoned_at_count == state.orders_accepted == 0
    assert state.last_order_at >= before


async def test_unload_of_an_absent_adapter_does_not_count(
    bench: Bench,
) -> None:
    """Regression: the load after it was rejected, as were the next orders.

    An unload that had waited for requests was over before the report that still
    listed its adapter was read. Unloaded again, the engine replied as usual but
    did not count the order.
    """
    await bench.loader.load(bench.reserve(KEY, 0.0), KEY)
    await bench.loader.read_state(ENTRY, capacity=1)
    bench.engine.residents.clear()
    assignment = bench.reserve(OTHER, 1e9)
    assert assignment.evict == KEY
    await bench.loader.load(assignment, OTHER)
    state = bench.loader.order_states["e1"]
    assert state.orders_accepted == bench.engine.accepted == 2
    assert bench.engine.residents == {OTHER}
    assert not state.needs_refresh


async def test_other_conflict_after_an_unload_is_tried_once_more_only(
    bench: Bench,
) -> None:
    await bench.loader.load(bench.reserve(KEY, 0.0), KEY)
    bench.engine.blocked.add(OTHER)
    assignment = bench.reserve(OTHER, 1e9)
    with pytest.raises(loader_lib.OrderFailedError):
        await bench.loader.load(assignment, OTHER)
    assert [count for _, _, count in bench.engine.sent] == [0, 1, 2, 1]
    assert bench.loader.order_states["e1"].orders_accepted == 2


async def test_order_beside_late_loads_keeps_the_engine_usable(
    bench: Bench,
) -> None:
    """Regression: rejected loads took a slot each, then the state was read.

    Load pattern: the weight store is overloaded, so that loads take longer than
    estimated. The engine has as many in flight as it allows and rejects one
    more until one of them has ended.
    """
    await bench.loader.read_state(ENTRY, capacity=6)
    keys = [models.AdapterKey("base", f"b{number}") for number in range(4)]
    for key in keys:
        await bench.loader.load(bench.reserve(key, 0.0, capacity=6), key)
    bench.engine.loading.update(keys)
    engine = bench.placement.engines["e1"]
    now = asyncio.get_running_loop().time()
    for key in keys:
        engine.adapter_slots[key].ready_at = now
    assignment = bench.reserve(KEY, now, capacity=6)
    with pytest.raises(loader_lib.OrderFailedError):
        await bench.loader.load(assignment, KEY)
    bench.placement.cancel_reservation(assignment, KEY, now)
    assert engine.adapter_slots.keys() == set(keys)
    assert engine.loading(asyncio.get_running_loop().time()) == 4
    state = bench.loader.order_states["e1"]
    assert (state.conflicts, state.needs_refresh) == (0, False)


async def test_order_that_may_be_executed_late_is_remembered(
    bench: Bench,
) -> None:
    """A later conflict may then concern the count of orders."""
    await bench.loader.load(bench.reserve(KEY, 0.0), KEY)
    await bench.loader.read_state(ENTRY, capacity=1)
    bench.engine.residents.clear()
    original = bench.engine.send

    async def lose_the_second_load(
        entry: models.EngineEntry,
        order: orders.Order,
        *,
        orders_accepted: int,
        token: int,
    ) -> orders.OrderReply:
        if len(bench.engine.sent) == 3:
            bench.engine.lose.append(False)
        return await original(
            entry, order, orders_accepted=orders_accepted, token=token
        )

    bench.engine.send = lose_the_second_load  # type: ignore
    with pytest.raises(loader_lib.OrderFailedError):
        await bench.loader.load(bench.reserve(OTHER, 1e9), OTHER)
    state = bench.loader.order_states["e1"]
    assert state.needs_refresh
    assert state.abandoned_at_count == state.orders_accepted == 1


def carry_out_late(
    engine: fleet_fakes.FakeOrders, key: models.AdapterKey
) -> None:
    """Executes a load that the engine had left unanswered."""
    engine.accepted += 1
    engine.residents.add(key)


async def test_load_on_its_way_is_not_evicted(bench: Bench) -> None:
    """Regression (LIMIT): its unload was confirmed, but it still arrived.

    The load took longer than estimated, so that its slot counted as ready.
    """
    bench.engine.slots = 1
    await bench.loader.load(bench.reserve(KEY, 0.0), KEY)
    bench.engine.loading.add(KEY)
    late = asyncio.get_running_loop().time() + 60.0
    assignment = bench.reserve(OTHER, late)
    assert assignment.evict == KEY
    with pytest.raises(loader_lib.OrderFailedError):
        await bench.loader.load(assignment, OTHER)
    bench.placement.cancel_reservation(assignment, OTHER, late)
    assert not bench.engine.overfilled
    assert KEY in bench.placement.engines["e1"].adapter_slots


async def test_absent_adapter_is_replaced_without_an_unload(
    bench: Bench,
) -> None:
    bench.engine.slots = 1
    await bench.loader.load(bench.reserve(KEY, 0.0), KEY)
    bench.engine.residents.clear()
    state = bench.loader.order_states["e1"]
    state.last_order_at -= loader_lib.REPORT_LAG.total_seconds()
    await bench.loader.load(bench.reserve(OTHER, 1e9), OTHER)
    assert bench.engine.sent == [("load", KEY, 0), ("load", OTHER, 1)]
    assert state.orders_accepted == bench.engine.accepted == 2


async def test_count_that_differs_before_an_eviction_requires_a_read(
    bench: Bench,
) -> None:
    await bench.loader.load(bench.reserve(KEY, 0.0), KEY)
    state = bench.loader.order_states["e1"]
    state.last_order_at -= loader_lib.REPORT_LAG.total_seconds()
    bench.engine.accepted += 1
    with pytest.raises(loader_lib.OrderFailedError):
        await bench.loader.load(bench.reserve(OTHER, 1e9), OTHER)
    assert state.needs_refresh
    assert [name for name, _, _ in bench.engine.sent] == ["load"]
    assert KEY in bench.placement.engines["e1"].adapter_slots


async def test_listed_adapter_is_evicted_without_another_report(
    bench: Bench, monkeypatch: pytest.MonkeyPatch
) -> None:
    await bench.loader.load(bench.reserve(KEY, 0.0), KEY)
    bench.placement.confirm_residents("e1", [KEY], orders_accepted=1)

    async def report(entry: models.EngineEntry) -> models.EngineReport:
        raise AssertionError("no report is needed")

    monkeypatch.setattr(bench.engine, "report", report)
    await bench.loader.load(bench.reserve(OTHER, 1e9), OTHER)
    assert bench.engine.residents == {OTHER}


async def test_list_from_before_a_load_does_not_confirm_it(
    bench: Bench,
) -> None:
    await bench.loader.load(bench.reserve(KEY, 0.0), KEY)
    bench.placement.confirm_residents("e1", [KEY], orders_accepted=0)
    slot = bench.placement.engines["e1"].adapter_slots[KEY]
    assert slot.state is adapter_slots_lib.SlotState.LOADING


async def test_conflict_after_a_lost_reply_is_not_an_acceptance(
    bench: Bench,
) -> None:
    """Regression (LIMIT): a slot was given away while its load was on its way.

    The engine left the order unanswered, rejected its retry beside four loads,
    and carried it out seconds later.
    """
    bench.engine.slots = 1
    bench.engine.lose.append(False)
    bench.engine.max_loading = 0
    assignment = bench.reserve(KEY, 0.0)
    with contextlib.suppress(loader_lib.OrderFailedError):
        await bench.loader.load(assignment, KEY)
    state = bench.loader.order_states["e1"]
    late = asyncio.get_running_loop().time() + 60.0
    # Requests do not find the adapter, nor does the engine's report list it.
    bench.placement.record_absent("e1", KEY, late)
    # As the leader does after an order that failed.
    bench.placement.cancel_reservation(assignment, KEY, late)
    bench.placement.reconcile("e1", {}, (), before=late + 1, now=late + 1)
    carry_out_late(bench.engine, KEY)
    bench.engine.max_loading = 4
    with contextlib.suppress(loader_lib.OrderFailedError):
        await bench.loader.load(bench.reserve(OTHER, late + 1), OTHER)
    assert not bench.engine.overfilled
    assert state.needs_refresh


async def test_order_without_a_reply_is_remembered_when_the_lease_ends(
    bench: Bench,
) -> None:
    """Guards against reassigning a taken slot: too many adapters loaded."""
    bench.engine.lose.append(True)
    allowed = iter((True, False))
    bench.loader.may_order = lambda: next(allowed, True)
    with pytest.raises(loader_lib.OrderFailedError):
        await bench.loader.load(bench.reserve(KEY, 0.0), KEY)
    state = bench.loader.order_states["e1"]
    assert state.needs_refresh
    assert state.abandoned_at_count == state.orders_accepted


async def test_report_at_another_count_frees_no_slot(bench: Bench) -> None:
    """Guards against reassigning a taken slot: too many adapters loaded.

    The leader and the engine disagree on the orders accepted so far, so that
    one of them does not know of an adapter.
    """
    state = bench.loader.order_states["e1"]
    bench.placement.record_unconfirmed("e1", KEY, -1.0)
    state.orders_accepted = 1
    state.last_order_at = asyncio.get_running_loop().time()
    await bench.loader.reconcile("e1")
    assert KEY in bench.placement.engines["e1"].adapter_slots


async def test_reservation_is_not_taken_for_a_later_one(bench: Bench) -> None:
    """Guards against a load without an eviction: too many adapters loaded.

    The engine's state was read between two reservations for one adapter. The
    first one had found a free slot, the second one has to evict an adapter.
    """
    bench.engine.slots = 1
    first = bench.reserve(KEY, 0.0)
    bench.engine.residents.add(OTHER)
    await bench.loader.read_state(ENTRY, capacity=1)
    late = asyncio.get_running_loop().time() + 60.0
    second = bench.reserve(KEY, late)
    assert second.evict == OTHER
    with pytest.raises(loader_lib.OrderFailedError):
        await bench.loader.load(first, KEY)
    assert not bench.engine.overfilled


async def test_discarded_reservation_keeps_the_slot_that_it_was_to_take(
    bench: Bench,
) -> None:
    """Guards against a taken slot without an owner: too many adapters loaded.

    The adapter was requested again while its unload was sent, which then had to
    wait for its requests. The eviction for its new slot had not been ordered.
    """
    await bench.loader.read_state(ENTRY, capacity=2)
    for key in (KEY, OTHER):
        await bench.loader.load(bench.reserve(key, 0.0, capacity=2), key)
    late = asyncio.get_running_loop().time() + 60.0
    third = models.AdapterKey("base", "a3")
    first = bench.reserve(third, late, capacity=2)
    assert first.evict == KEY
    again = bench.reserve(KEY, late, capacity=2)
    assert again.evict == OTHER
    bench.engine.in_use.add(KEY)
    for assignment, key in ((first, third), (again, KEY)):
        with pytest.raises(loader_lib.OrderFailedError):
            await bench.loader.load(assignment, key)
        bench.placement.cancel_reservation(assignment, key, late)
    slots = bench.placement.engines["e1"].adapter_slots
    assert slots.keys() == {KEY, OTHER} == bench.engine.residents


async def test_failed_reservation_does_not_free_the_slot_of_a_report(
    bench: Bench,
) -> None:
    """Guards against reassigning a taken slot: too many adapters loaded."""
    assignment = bench.reserve(KEY, 0.0)
    bench.engine.residents.add(KEY)
    await bench.loader.read_state(ENTRY, capacity=1)
    with pytest.raises(loader_lib.OrderFailedError):
        await bench.loader.load(assignment, KEY)
    bench.placement.cancel_reservation(assignment, KEY, 0.0)
    assert KEY in bench.placement.engines["e1"].adapter_slots


async def test_report_of_another_start_of_an_engine_is_not_used(
    bench: Bench,
) -> None:
    """Regression: a restarted engine was filled by the report from before.

    An engine may start again under its id, and the list may be older or newer
    than the connection that its report comes from.
    """
    restarted = dataclasses.replace(ENTRY, born_ms=2)
    with pytest.raises(errors.EngineError, match="has reported the start"):
        await bench.loader.read_state(restarted, capacity=1)
    assert bench.loader.order_states["e1"].needs_refresh


async def test_report_that_is_older_than_an_earlier_one_is_not_used(
    bench: Bench,
) -> None:
    """Regression: a repeated report replaced the newer one."""
    stale = await bench.engine.report(ENTRY)
    await bench.loader.load(bench.reserve(KEY, 0.0), KEY)
    await bench.loader.read_state(ENTRY, capacity=1)
    bench.engine.frozen = stale
    with pytest.raises(errors.EngineError, match="orders after 1"):
        await bench.loader.read_state(ENTRY, capacity=1)
    assert bench.placement.has_slot("e1", KEY)


async def test_load_of_a_cancelled_task_is_remembered(bench: Bench) -> None:
    """Guards against an order that is forgotten as its leader steps down."""

    async def never_reply(*args: object, **kwargs: object) -> None:
        await asyncio.Event().wait()

    bench.engine.send = never_reply  # type: ignore[method-assign, assignment]
    loading = asyncio.ensure_future(
        bench.loader.load(bench.reserve(KEY, 0.0), KEY)
    )
    await asyncio.sleep(0.05)
    loading.cancel()
    await asyncio.wait({loading})
    now = asyncio.get_running_loop().time()
    restarted = dataclasses.replace(ENTRY, born_ms=2)
    late_orders = bench.loader.late_orders
    assert late_orders.reserved_slots(restarted, 0, now) == 1


async def test_load_that_was_not_sent_is_not_remembered(bench: Bench) -> None:
    async def refuse(*args: object, **kwargs: object) -> None:
        raise errors.EngineUnreachableError("connection refused")

    bench.engine.send = refuse  # type: ignore[method-assign, assignment]
    with pytest.raises(loader_lib.OrderFailedError):
        await bench.loader.load(bench.reserve(KEY, 0.0), KEY)
    assert not any(bench.loader.late_orders.sent.values())


@pytest.mark.parametrize(
    ("seconds", "reserved"),
    [
        pytest.param(0.0, 0, id="lags_behind_the_order"),
        pytest.param(1.0, 1, id="lists_all_orders"),
    ],
)
async def test_only_a_report_of_all_orders_shows_a_count_that_is_ahead(
    bench: Bench, seconds: float, reserved: int
) -> None:
    """Guards against a slot kept free for an order that had room."""
    now = asyncio.get_running_loop().time()
    state = bench.loader.order_states["e1"]
    state.last_order_at = now - seconds
    bench.loader.late_orders.record_sent(
        ENTRY,
        orders.Order(orders.Operation.LOAD, KEY),
        orders_accepted=1,
        now=now,
    )
    await bench.loader.reconcile("e1")
    assert bench.loader.reserved_slots("e1", now) == reserved
