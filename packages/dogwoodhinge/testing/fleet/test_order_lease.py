"""Tests of the right to give orders: never two holders close together."""

import datetime

import pytest

from _dogwoodhinge.fleet import order_lease
from dogwoodhinge import errors
from dogwoodhinge_lab import fleet_fakes

DISTANCE = datetime.timedelta(seconds=3)


@pytest.fixture
def clock() -> fleet_fakes.FakeClock:
    return fleet_fakes.FakeClock()


@pytest.fixture
def table() -> fleet_fakes.FakeLeaseTable:
    return fleet_fakes.FakeLeaseTable()


def make(
    table: fleet_fakes.FakeLeaseTable, clock: fleet_fakes.FakeClock, node: str
) -> order_lease.OrderLease:
    """Makes a node's view of the lease."""
    return order_lease.OrderLease(
        table=table,
        node=node,
        address=f"{node}:1",
        distance=DISTANCE,
        clock=clock,
        report=lambda event, fields: None,
    )


async def test_first_node_takes_a_free_lease(
    table: fleet_fakes.FakeLeaseTable, clock: fleet_fakes.FakeClock
) -> None:
    lease = make(table, clock, "n1")
    assert await lease.try_take()
    assert lease.may_order()
    assert lease.token == 1


async def test_right_ends_without_renewal(
    table: fleet_fakes.FakeLeaseTable, clock: fleet_fakes.FakeClock
) -> None:
    lease = make(table, clock, "n1")
    await lease.try_take()
    clock.seconds += order_lease.RIGHT.total_seconds()
    assert not lease.may_order()


async def test_standing_still_counts_against_the_right(
    table: fleet_fakes.FakeLeaseTable, clock: fleet_fakes.FakeClock
) -> None:
    """The clock counts the time a host is suspended; see `BootClock`."""
    lease = make(table, clock, "n1")
    await lease.try_take()
    clock.seconds += 20
    assert not lease.may_order()
    assert order_lease.BootClock().elapsed() > 0


async def test_other_node_waits_for_the_right_and_the_distance(
    table: fleet_fakes.FakeLeaseTable, clock: fleet_fakes.FakeClock
) -> None:
    first, second = make(table, clock, "n1"), make(table, clock, "n2")
    await first.try_take()
    assert not await second.try_take()
    clock.seconds += (order_lease.RIGHT + DISTANCE).total_seconds()
    assert not await second.try_take()
    clock.seconds += 1.0
    assert await second.try_take()
    assert second.token == 2


async def test_orders_of_two_holders_keep_their_distance(
    table: fleet_fakes.FakeLeaseTable, clock: fleet_fakes.FakeClock
) -> None:
    """The last order of one holder and the first of the next one."""
    first, second = make(table, clock, "n1"), make(table, clock, "n2")
    await first.try_take()
    last_order = first_order = None
    for _ in range(1_000):
        clock.seconds += 0.01
        if first.may_order():
            last_order = clock.seconds
        await second.try_take()
        if second.may_order():
            first_order = clock.seconds
            break
    assert last_order is not None
    assert first_order is not None
    assert first_order - last_order >= DISTANCE.total_seconds()


async def test_renewal_that_takes_effect_late_starts_the_wait_anew(
    table: fleet_fakes.FakeLeaseTable, clock: fleet_fakes.FakeClock
) -> None:
    first, second = make(table, clock, "n1"), make(table, clock, "n2")
    await first.try_take()
    await second.refresh()
    table.delay = True
    assert await first.renew()
    clock.seconds += 4.0
    table.deliver()
    table.delay = False
    clock.seconds += 1.0
    assert not await second.try_take()


async def test_late_renewal_never_undoes_a_takeover(
    table: fleet_fakes.FakeLeaseTable, clock: fleet_fakes.FakeClock
) -> None:
    first, second = make(table, clock, "n1"), make(table, clock, "n2")
    await first.try_take()
    table.delay = True
    await first.renew()
    table.delay = False
    await second.refresh()
    clock.seconds += 10
    assert await second.try_take()
    table.deliver()
    assert table.record is not None
    assert table.record.node == "n2"
    assert not await first.renew()
    assert not first.is_mine


async def test_lost_answer_of_a_renewal_is_read_back(
    table: fleet_fakes.FakeLeaseTable, clock: fleet_fakes.FakeClock
) -> None:
    lease = make(table, clock, "n1")
    await lease.try_take()
    table.lose_answers = True
    clock.seconds += 1.0
    assert await lease.renew()
    clock.seconds += 1.0
    assert lease.may_order()


async def test_lost_answer_counts_from_before_the_write(
    table: fleet_fakes.FakeLeaseTable, clock: fleet_fakes.FakeClock
) -> None:
    lease = make(table, clock, "n1")
    table.lose_answers = True
    start = clock.seconds
    assert await lease.try_take()
    assert lease.right_from == start


async def test_no_right_while_the_table_is_down(
    table: fleet_fakes.FakeLeaseTable, clock: fleet_fakes.FakeClock
) -> None:
    lease = make(table, clock, "n1")
    await lease.try_take()
    table.down = True
    clock.seconds += 2
    with pytest.raises(errors.TableUnavailableError):
        await lease.renew()
    assert not lease.may_order()
    table.down = False
    assert await lease.renew()
    assert lease.may_order()


async def test_new_process_on_the_same_host_takes_over_at_once(
    table: fleet_fakes.FakeLeaseTable, clock: fleet_fakes.FakeClock
) -> None:
    await make(table, clock, "n1").try_take()
    again = make(table, clock, "n1")
    assert await again.try_take()
    assert again.token == 2


async def test_lease_given_up_still_keeps_the_distance(
    table: fleet_fakes.FakeLeaseTable, clock: fleet_fakes.FakeClock
) -> None:
    first, second = make(table, clock, "n1"), make(table, clock, "n2")
    await first.try_take()
    await first.give_up()
    assert not first.may_order()
    assert not await second.try_take()
    clock.seconds += DISTANCE.total_seconds() - 0.1
    assert not await second.try_take()
    clock.seconds += 0.5
    assert await second.try_take()


async def test_word_of_the_holder_shortens_the_takeover(
    table: fleet_fakes.FakeLeaseTable, clock: fleet_fakes.FakeClock
) -> None:
    """The row has stood still since its holder told its revision."""
    first, second = make(table, clock, "n1"), make(table, clock, "n2")
    await first.try_take()
    await second.refresh()
    await first.renew()
    second.note_seen(first.revision)
    clock.seconds += first.takeover_after.total_seconds() + 0.1
    assert not first.may_order()
    assert await second.try_take()


async def test_older_word_of_the_holder_changes_nothing(
    table: fleet_fakes.FakeLeaseTable, clock: fleet_fakes.FakeClock
) -> None:
    first, second = make(table, clock, "n1"), make(table, clock, "n2")
    await first.try_take()
    await second.refresh()
    seen = second.seen_since
    clock.seconds += 1
    second.note_seen(first.revision)
    assert second.seen_since == seen


async def test_weak_node_leaves_the_lease_to_a_strong_one(
    table: fleet_fakes.FakeLeaseTable, clock: fleet_fakes.FakeClock
) -> None:
    weak = make(table, clock, "n1")
    weak.reluctance = datetime.timedelta(seconds=1)
    assert not await weak.try_take()
    clock.seconds += 1
    assert await weak.try_take()


async def test_only_one_of_two_that_race_wins(
    table: fleet_fakes.FakeLeaseTable, clock: fleet_fakes.FakeClock
) -> None:
    first, second = make(table, clock, "n1"), make(table, clock, "n2")
    await first.refresh()
    await second.refresh()
    assert await first.try_take()
    second_won = await second.try_take()
    assert not second_won
    assert not second.may_order()
