"""Tests of loads that a later start of their engine may execute."""

import dataclasses

import pytest

from _dogwoodhinge.fleet import late_orders as late_orders_lib
from _dogwoodhinge.fleet import models
from _dogwoodhinge.fleet import orders

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
RESTARTED = dataclasses.replace(ENTRY, born_ms=2)
ADAPTER = models.AdapterKey("base", "a1")
LOAD = orders.Order(orders.Operation.LOAD, ADAPTER)
MODEL_LOAD = orders.Order(orders.Operation.LOAD, models.AdapterKey("base", ""))
UNLOAD = orders.Order(orders.Operation.UNLOAD, ADAPTER)
MAX_DELAY = late_orders_lib.MAX_ORDER_DELAY.total_seconds()


def sent(*numbers: int) -> late_orders_lib.LateOrders:
    """Returns loads without a reply that state these numbers of orders."""
    late_orders = late_orders_lib.LateOrders()
    for number in numbers:
        late_orders.record_sent(ENTRY, LOAD, orders_accepted=number, now=0.0)
    return late_orders


@pytest.mark.parametrize(
    ("numbers", "accepted", "now", "reserved"),
    [
        pytest.param((), 0, 0.0, 0, id="none"),
        pytest.param((19,), 0, 0.0, 1, id="number_to_come"),
        pytest.param((19,), 19, 0.0, 1, id="number_that_fits"),
        pytest.param((19,), 20, 0.0, 0, id="number_that_has_passed"),
        pytest.param((19, 19, 21), 0, 0.0, 2, id="one_for_each_number"),
        pytest.param((19,), 0, MAX_DELAY, 1, id="last_moment"),
        pytest.param((19,), 0, MAX_DELAY + 0.01, 0, id="too_old"),
    ],
)
def test_restarted_engine_keeps_slots_free(
    numbers: tuple[int, ...], accepted: int, now: float, reserved: int
) -> None:
    """Guards against a load by an order to an earlier start (LIMIT)."""
    late_orders = sent(*numbers)
    assert late_orders.reserved_slots(RESTARTED, accepted, now) == reserved


def test_engine_that_runs_on_keeps_none_free() -> None:
    """It had room for the load at that number."""
    assert sent(19).reserved_slots(ENTRY, 19, 0.0) == 0


def test_number_ahead_of_the_engine_keeps_a_slot_free() -> None:
    """The leader believed that more orders were accepted than there were."""
    late_orders = sent(19)
    late_orders.record_count(ENTRY, 17)
    assert late_orders.reserved_slots(ENTRY, 17, 0.0) == 1
    assert late_orders.reserved_slots(ENTRY, 20, 0.0) == 0


def test_load_with_a_reply_is_forgotten_alone() -> None:
    """The reply to a repeated load does not tell about the first one."""
    late_orders = sent(19)
    again = late_orders.record_sent(ENTRY, LOAD, orders_accepted=19, now=0.1)
    late_orders.record_reply("e1", again)
    assert late_orders.reserved_slots(RESTARTED, 0, 0.2) == 1


def test_unloads_keep_no_slot_free() -> None:
    late_orders = late_orders_lib.LateOrders()
    assert (
        late_orders.record_sent(ENTRY, UNLOAD, orders_accepted=1, now=0.0)
        is None
    )
    late_orders.record_reply("e1", None)
    assert late_orders.reserved_slots(RESTARTED, 0, 0.0) == 0


def test_load_of_a_base_model_is_known_by_its_name() -> None:
    late_orders = late_orders_lib.LateOrders()
    late_orders.record_sent(ENTRY, MODEL_LOAD, orders_accepted=1, now=0.0)
    assert late_orders.late_models(RESTARTED, 0, 0.0) == {"base"}
    assert late_orders.late_models(RESTARTED, 2, 0.0) == frozenset()
    assert late_orders.reserved_slots(RESTARTED, 0, 0.0) == 0


def test_old_loads_take_no_memory() -> None:
    late_orders = sent(1, 2, 3)
    late_orders.record_sent(ENTRY, LOAD, orders_accepted=4, now=MAX_DELAY + 1.0)
    assert len(late_orders.sent["e1"]) == 1
