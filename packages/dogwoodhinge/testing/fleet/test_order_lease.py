"""Tests of the order lease: orders of two holders are always kept apart."""

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
    """Returns a node's view of the lease."""
    return order_lease.OrderLease(
        table=table,
        node=node,
        address=f"{node}:1",
        min_order_gap=DISTANCE,
        clock=clock,
        report=lambda event, fields: None,
    )


async def test_first_node_acquires_a_free_lease(
    table: fleet_fakes.FakeLeaseTable, clock: fleet_fakes.FakeClock
) -> None:
    lease = make(table, clock, "n1")
    assert await lease.try_acquire()
    assert lease.may_order()
    assert lease.token == 1


async def test_lease_expires_without_renewal(
    table: fleet_fakes.FakeLeaseTable, clock: fleet_fakes.FakeClock
) -> None:
    lease = make(table, clock, "n1")
    await lease.try_acquire()
    clock.seconds += order_lease.LEASE_TTL.total_seconds()
    assert not lease.may_order()


async def test_time_while_suspended_counts_towards_the_lease_ttl(
    table: fleet_fakes.FakeLeaseTable, clock: fleet_fakes.FakeClock
) -> None:
    """The clock counts the time while a host is suspended; see `BootClock`."""
    lease = make(table, clock, "n1")
    await lease.try_acquire()
    clock.seconds += 20
    assert not lease.may_order()
    assert order_lease.BootClock().elapsed() > 0


async def test_other_node_waits_for_the_ttl_and_the_distance(
    table: fleet_fakes.FakeLeaseTable, clock: fleet_fakes.FakeClock
) -> None:
    first, second = make(table, clock, "n1"), make(table, clock, "n2")
    await first.try_acquire()
    assert not await second.try_acquire()
    clock.seconds += (order_lease.LEASE_TTL + DISTANCE).total_seconds()
    assert not await second.try_acquire()
    clock.seconds += 1.0
    assert await second.try_acquire()
    assert second.token == 2


async def test_orders_of_two_holders_are_the_distance_apart(
    table: fleet_fakes.FakeLeaseTable, clock: fleet_fakes.FakeClock
) -> None:
    """Compares the last order of one holder with the first of the next."""
    first, second = make(table, clock, "n1"), make(table, clock, "n2")
    await first.try_acquire()
    last_order = first_order = None
    for _ in range(1_000):
        clock.seconds += 0.01
        if first.may_order():
            last_order = clock.seconds
        await second.try_acquire()
        if second.may_order():
            first_order = clock.seconds
            break
    assert last_order is not None
    assert first_order is not None
    assert first_order - last_order >= DISTANCE.total_seconds()


async def test_renewal_that_takes_effect_late_restarts_the_takeover_delay(
    table: fleet_fakes.FakeLeaseTable, clock: fleet_fakes.FakeClock
) -> None:
    first, second = make(table, clock, "n1"), make(table, clock, "n2")
    await first.try_acquire()
    await second.refresh()
    table.delay = True
    assert await first.renew()
    clock.seconds += 4.0
    table.deliver()
    table.delay = False
    clock.seconds += 1.0
    assert not await second.try_acquire()


async def test_late_renewal_never_reverts_a_takeover(
    table: fleet_fakes.FakeLeaseTable, clock: fleet_fakes.FakeClock
) -> None:
    first, second = make(table, clock, "n1"), make(table, clock, "n2")
    await first.try_acquire()
    table.delay = True
    await first.renew()
    table.delay = False
    await second.refresh()
    clock.seconds += 10
    assert await second.try_acquire()
    table.deliver()
    assert table.record is not None
    assert table.record.node == "n2"
    assert not await first.renew()
    assert not first.is_held_here


async def test_renewal_with_a_lost_response_is_read_back(
    table: fleet_fakes.FakeLeaseTable, clock: fleet_fakes.FakeClock
) -> None:
    lease = make(table, clock, "n1")
    await lease.try_acquire()
    table.lose_answers = True
    clock.seconds += 1.0
    assert await lease.renew()
    clock.seconds += 1.0
    assert lease.may_order()


async def test_lease_with_a_lost_response_counts_from_before_the_write(
    table: fleet_fakes.FakeLeaseTable, clock: fleet_fakes.FakeClock
) -> None:
    lease = make(table, clock, "n1")
    table.lose_answers = True
    start = clock.seconds
    assert await lease.try_acquire()
    assert lease.held_since == start


async def test_lease_expires_while_the_table_is_down(
    table: fleet_fakes.FakeLeaseTable, clock: fleet_fakes.FakeClock
) -> None:
    lease = make(table, clock, "n1")
    await lease.try_acquire()
    table.down = True
    clock.seconds += 2
    with pytest.raises(errors.TableUnavailableError):
        await lease.renew()
    assert not lease.may_order()
    table.down = False
    assert await lease.renew()
    assert lease.may_order()


async def test_new_process_on_the_same_host_takes_over_immediately(
    table: fleet_fakes.FakeLeaseTable, clock: fleet_fakes.FakeClock
) -> None:
    await make(table, clock, "n1").try_acquire()
    again = make(table, clock, "n1")
    assert await again.try_acquire()
    assert again.token == 2


async def test_released_lease_still_keeps_the_distance(
    table: fleet_fakes.FakeLeaseTable, clock: fleet_fakes.FakeClock
) -> None:
    first, second = make(table, clock, "n1"), make(table, clock, "n2")
    await first.try_acquire()
    await first.release()
    assert not first.may_order()
    assert not await second.try_acquire()
    clock.seconds += DISTANCE.total_seconds() - 0.1
    assert not await second.try_acquire()
    clock.seconds += 0.5
    assert await second.try_acquire()


async def test_revision_reported_by_the_holder_shortens_the_takeover(
    table: fleet_fakes.FakeLeaseTable, clock: fleet_fakes.FakeClock
) -> None:
    """The row is unchanged since the holder reported its revision."""
    first, second = make(table, clock, "n1"), make(table, clock, "n2")
    await first.try_acquire()
    await second.refresh()
    await first.renew()
    second.observe_revision(first.revision)
    clock.seconds += first.takeover_delay.total_seconds() + 0.1
    assert not first.may_order()
    assert await second.try_acquire()


async def test_older_revision_reported_by_the_holder_is_ignored(
    table: fleet_fakes.FakeLeaseTable, clock: fleet_fakes.FakeClock
) -> None:
    first, second = make(table, clock, "n1"), make(table, clock, "n2")
    await first.try_acquire()
    await second.refresh()
    seen = second.unchanged_since
    clock.seconds += 1
    second.observe_revision(first.revision)
    assert second.unchanged_since == seen


async def test_node_with_extra_delay_acquires_the_lease_later(
    table: fleet_fakes.FakeLeaseTable, clock: fleet_fakes.FakeClock
) -> None:
    weak = make(table, clock, "n1")
    weak.extra_takeover_delay = datetime.timedelta(seconds=1)
    assert not await weak.try_acquire()
    clock.seconds += 1
    assert await weak.try_acquire()


async def test_only_one_of_two_racing_nodes_acquires_the_lease(
    table: fleet_fakes.FakeLeaseTable, clock: fleet_fakes.FakeClock
) -> None:
    first, second = make(table, clock, "n1"), make(table, clock, "n2")
    await first.refresh()
    await second.refresh()
    assert await first.try_acquire()
    second_won = await second.try_acquire()
    assert not second_won
    assert not second.may_order()
