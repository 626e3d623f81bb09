"""Tests of orders to engines whose answers are late or lost."""

import asyncio
import dataclasses

import pytest

from _dogwoodhinge.fleet import engines as engines_lib
from _dogwoodhinge.fleet import loader as loader_lib
from _dogwoodhinge.fleet import models
from _dogwoodhinge.fleet import orders
from _dogwoodhinge.fleet import placement as placement_lib
from _dogwoodhinge.fleet import places as places_lib
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
    """A loader over one fake engine with one place."""

    engine: fleet_fakes.FakeOrders
    placement: placement_lib.Placement
    loader: loader_lib.Loader
    may_order: bool = True

    def reserve(
        self, key: models.AdapterKey, now: float, *, version: int = 0
    ) -> places_lib.Seat:
        """Reserves a place."""
        candidate = places_lib.Candidate("e1", 1, 8, engines_lib.Work(), 0.0)
        seat = self.placement.find(
            key, version, [candidate], avoid=(), prompt_tokens=0, now=now
        )
        assert isinstance(seat, places_lib.Seat)
        return seat


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


async def test_load_states_the_orders_accepted_so_far(bench: Bench) -> None:
    await bench.loader.load(bench.reserve(KEY, 0.0), KEY)
    assert bench.engine.sent == [("load", KEY, 0)]
    assert bench.loader.lines["e1"].orders_accepted == 1


async def test_order_without_an_answer_is_sent_again_unchanged(
    bench: Bench,
) -> None:
    bench.engine.lose.append(False)
    await bench.loader.load(bench.reserve(KEY, 0.0), KEY)
    assert bench.engine.sent == [("load", KEY, 0), ("load", KEY, 0)]
    assert bench.engine.accepted == 1


async def test_conflict_after_a_lost_answer_shows_that_it_was_carried_out(
    bench: Bench,
) -> None:
    bench.engine.lose.append(True)
    await bench.loader.load(bench.reserve(KEY, 0.0), KEY)
    line = bench.loader.lines["e1"]
    assert (line.orders_accepted, line.in_doubt) == (1, False)
    assert bench.engine.residents == {KEY}


async def test_order_that_stays_unanswered_puts_the_engine_in_doubt(
    bench: Bench,
) -> None:
    bench.engine.lose.extend([False] * loader_lib.SENDS)
    with pytest.raises(loader_lib.OrderFailedError):
        await bench.loader.load(bench.reserve(KEY, 0.0), KEY)
    assert bench.loader.lines["e1"].in_doubt
    with pytest.raises(loader_lib.OrderFailedError):
        await bench.loader.load(bench.reserve(KEY, 0.0), KEY)


async def test_conflict_is_not_trusted_while_an_older_order_is_open(
    bench: Bench,
) -> None:
    """The older order, carried out late, raises the count as well."""
    bench.engine.lose.extend([False] * loader_lib.SENDS)
    with pytest.raises(loader_lib.OrderFailedError):
        await bench.loader.load(bench.reserve(KEY, 0.0), KEY)
    await bench.loader.read_state(ENTRY, capacity=1)
    bench.engine.lose.append(False)
    seat = bench.reserve(OTHER, 10.0)
    original = bench.engine.send

    async def late_order_comes_between(
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

    bench.engine.send = late_order_comes_between  # type: ignore
    with pytest.raises(loader_lib.OrderFailedError):
        await bench.loader.load(seat, OTHER)
    assert bench.loader.lines["e1"].in_doubt


async def test_conflict_about_one_adapter_leaves_the_engine_in_service(
    bench: Bench,
) -> None:
    """Its engine took no load for half a second, again and again.

    After a restart of all nodes each engine had an adapter whose unload
    waited for runs; the new owner did not know, and chose it to make way.
    """
    await bench.loader.load(bench.reserve(KEY, 0.0), KEY)
    bench.engine.held_up.add(KEY)
    late = asyncio.get_running_loop().time() + 60.0
    seat = bench.reserve(OTHER, late)
    assert seat.evict == KEY
    with pytest.raises(loader_lib.OrderFailedError):
        await bench.loader.load(seat, OTHER)
    assert not bench.loader.lines["e1"].in_doubt
    bench.placement.undo("e1", OTHER, late)
    assert set(bench.placement.engines["e1"].places) == {KEY}
    assert not bench.placement.is_held(KEY, 0, avoid=())


async def test_conflicts_in_a_row_put_the_engine_in_doubt(
    bench: Bench,
) -> None:
    bench.engine.accepted += 1
    for number in range(loader_lib.CONFLICTS_TO_DOUBT):
        bench.placement.engines["e1"].places.clear()
        key = models.AdapterKey("base", f"b{number}")
        assert not bench.loader.lines["e1"].in_doubt
        with pytest.raises(loader_lib.OrderFailedError):
            await bench.loader.load(bench.reserve(key, 0.0), key)
    assert bench.loader.lines["e1"].in_doubt


async def test_report_with_another_count_of_orders_puts_in_doubt(
    bench: Bench,
) -> None:
    bench.engine.accepted += 1
    bench.loader.lines["e1"].last_order_at = -60.0
    await bench.loader.settle("e1")
    assert bench.loader.lines["e1"].in_doubt


async def test_engine_that_left_while_it_was_read_has_no_places(
    bench: Bench,
) -> None:
    """Its adapters counted as held for the rest of the day."""
    line = bench.loader.lines["e1"]
    line.last_order_at = asyncio.get_running_loop().time()
    reading = asyncio.ensure_future(bench.loader.read_state(ENTRY, capacity=1))
    await asyncio.sleep(0.01)
    del bench.loader.lines["e1"]
    bench.placement.drop_engine("e1", 0.0)
    await reading
    assert "e1" not in bench.placement.engines


async def test_victim_that_was_not_unloaded_keeps_its_place(
    bench: Bench,
) -> None:
    """LIMIT was broken: its place was taken for free, and given away.

    The right to order had ended between the choice and the order.
    """
    await bench.loader.load(bench.reserve(KEY, 0.0), KEY)
    late = asyncio.get_running_loop().time() + 60.0
    seat = bench.reserve(OTHER, late)
    assert seat.evict == KEY
    bench.may_order = False
    with pytest.raises(loader_lib.OrderFailedError):
        await bench.loader.load(seat, OTHER)
    bench.placement.undo("e1", OTHER, late)
    bench.may_order = True
    assert bench.loader.lines["e1"].in_doubt


async def test_unload_whose_answer_was_lost_frees_no_place(
    bench: Bench,
) -> None:
    """It may have been accepted while runs go on, and the place be taken."""
    await bench.loader.load(bench.reserve(KEY, 0.0), KEY)
    bench.engine.in_use.add(KEY)
    bench.engine.lose.append(True)
    late = asyncio.get_running_loop().time() + 60.0
    seat = bench.reserve(OTHER, late)
    with pytest.raises(loader_lib.OrderFailedError):
        await bench.loader.load(seat, OTHER)
    bench.placement.undo("e1", OTHER, late)
    assert bench.engine.residents == {KEY}
    assert set(bench.placement.engines["e1"].places) == {KEY}


async def test_no_order_without_the_right(bench: Bench) -> None:
    seat = bench.reserve(KEY, 0.0)
    bench.may_order = False
    with pytest.raises(loader_lib.OrderFailedError):
        await bench.loader.load(seat, KEY)
    assert bench.engine.sent == []


async def test_adapter_in_use_is_not_replaced(bench: Bench) -> None:
    await bench.loader.load(bench.reserve(KEY, 0.0), KEY)
    bench.engine.in_use.add(KEY)
    seat = bench.reserve(OTHER, 1e9)
    assert seat.evict == KEY
    with pytest.raises(loader_lib.OrderFailedError):
        await bench.loader.load(seat, OTHER)
    assert [operation for operation, _, _ in bench.engine.sent] == [
        "load",
        "unload",
    ]
    assert KEY in bench.placement.engines["e1"].places


async def test_load_whose_reservation_is_gone_is_not_ordered(
    bench: Bench,
) -> None:
    """Regression: it was ordered uncounted and the engine overfilled."""
    seat = bench.reserve(KEY, 0.0)
    await bench.loader.read_state(ENTRY, capacity=1)
    with pytest.raises(loader_lib.OrderFailedError):
        await bench.loader.load(seat, KEY)
    assert bench.engine.sent == []


async def test_outdated_adapter_in_use_keeps_its_place(bench: Bench) -> None:
    """LIMIT: it ran on, its place was taken for free, and given away.

    A newer version goes into the place of the older one, which a request of
    a moment ago still uses.
    """
    await bench.loader.load(bench.reserve(KEY, 0.0), KEY)
    bench.engine.in_use.add(KEY)
    late = asyncio.get_running_loop().time() + 60.0
    bench.placement.declare(KEY, 2)
    seat = bench.reserve(KEY, late, version=2)
    assert seat.evict == KEY
    with pytest.raises(loader_lib.OrderFailedError):
        await bench.loader.load(seat, KEY)
    bench.placement.undo("e1", KEY, late)
    assert bench.engine.residents == {KEY}
    assert set(bench.placement.engines["e1"].places) == {KEY}


async def test_unknown_adapter_in_a_report_puts_the_engine_in_doubt(
    bench: Bench,
) -> None:
    """An order of the owner before may be carried out after the first look.

    When an answer is lost at that moment, its count is taken for the own
    order's, and a place that is taken would seem to be free.
    """
    bench.engine.residents.add(OTHER)
    bench.placement.note_held_up("e1", KEY, 0.0)
    await bench.loader.settle("e1")
    assert bench.loader.lines["e1"].in_doubt


async def test_adapter_that_left_since_the_report_raises_no_doubt(
    bench: Bench,
) -> None:
    """The report lags behind the orders that it counts less."""
    await bench.loader.load(bench.reserve(KEY, 0.0), KEY)
    late = asyncio.get_running_loop().time() + 60.0
    bench.engine.freeze_report()
    await bench.loader.load(bench.reserve(OTHER, late), OTHER)
    await bench.loader.settle("e1")
    assert not bench.loader.lines["e1"].in_doubt


MODEL = models.AdapterKey("base", "")


@pytest.mark.parametrize(
    ("busy", "holds", "accepted", "ordered"),
    [
        pytest.param(False, False, 0, True, id="empty"),
        pytest.param(False, True, 0, False, id="holds_a_model"),
        pytest.param(True, False, 0, False, id="loads_a_model"),
        pytest.param(False, False, 1, False, id="took_another_order"),
    ],
)
async def test_base_model_is_ordered_for_an_engine_without_one_only(
    bench: Bench, busy: bool, holds: bool, accepted: int, ordered: bool
) -> None:
    """LIMIT: the list of endpoints may be older than an order."""
    bench.engine.busy = busy
    bench.engine.holds_model = holds
    bench.engine.accepted = accepted
    await bench.loader.load_model("e1", "base")
    assert bench.engine.sent == ([("model", MODEL, 0)] if ordered else [])
