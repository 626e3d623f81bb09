"""Tests of the right to give orders: never two holders close together."""

import dataclasses
import datetime

import pytest

from _dogwoodhinge.fleet import order_lease
from dogwoodhinge import errors

DISTANCE = datetime.timedelta(seconds=3)


class FakeClock:
    """A clock that tests move."""

    def __init__(self) -> None:
        self.seconds = 100.0

    def elapsed(self) -> float:
        """Returns the seconds set."""
        return self.seconds


@dataclasses.dataclass
class FakeTable:
    """One row with conditional writes, and faults.

    Attributes:
        down: every call fails, nothing is done.
        lose_answers: writes are done, and their answers lost.
        delayed: writes that are carried out later, when `deliver` is called.
    """

    record: order_lease.Record | None = None
    revision: int = 0
    down: bool = False
    lose_answers: bool = False
    delay: bool = False
    delayed: list[tuple[order_lease.Record, int]] = dataclasses.field(
        default_factory=list
    )
    writes: int = 0

    async def read(self) -> order_lease.Row:
        """Reads the row."""
        if self.down:
            raise errors.TableUnavailableError("down")
        return order_lease.Row(self.record, self.revision)

    async def write(self, record: order_lease.Record, *, revision: int) -> int:
        """Replaces the row."""
        self.writes += 1
        if self.down:
            raise errors.TableUnavailableError("down")
        if self.delay:
            self.delayed.append((record, revision))
            raise errors.TableOutcomeUnknownError("no answer")
        self.apply(record, revision)
        if self.lose_answers:
            raise errors.TableOutcomeUnknownError("no answer")
        return self.revision

    def apply(self, record: order_lease.Record, revision: int) -> None:
        """Carries a write out under its condition."""
        if revision != self.revision:
            raise errors.TableConflictError("changed")
        self.record = record
        self.revision += 1

    def deliver(self) -> None:
        """Carries out the delayed writes whose condition still holds."""
        for record, revision in self.delayed:
            if revision == self.revision:
                self.apply(record, revision)
        self.delayed.clear()


@pytest.fixture
def clock() -> FakeClock:
    return FakeClock()


@pytest.fixture
def table() -> FakeTable:
    return FakeTable()


def make(
    table: FakeTable, clock: FakeClock, node: str
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
    table: FakeTable, clock: FakeClock
) -> None:
    lease = make(table, clock, "n1")
    assert await lease.try_take()
    assert lease.may_order()
    assert lease.token == 1


async def test_right_ends_without_renewal(
    table: FakeTable, clock: FakeClock
) -> None:
    lease = make(table, clock, "n1")
    await lease.try_take()
    clock.seconds += order_lease.RIGHT.total_seconds()
    assert not lease.may_order()


async def test_standing_still_counts_against_the_right(
    table: FakeTable, clock: FakeClock
) -> None:
    """The clock counts the time a host is suspended; see `BootClock`."""
    lease = make(table, clock, "n1")
    await lease.try_take()
    clock.seconds += 20
    assert not lease.may_order()
    assert order_lease.BootClock().elapsed() > 0


async def test_other_node_waits_for_the_right_and_the_distance(
    table: FakeTable, clock: FakeClock
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
    table: FakeTable, clock: FakeClock
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
    table: FakeTable, clock: FakeClock
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
    table: FakeTable, clock: FakeClock
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
    table: FakeTable, clock: FakeClock
) -> None:
    lease = make(table, clock, "n1")
    await lease.try_take()
    table.lose_answers = True
    clock.seconds += 1.0
    assert await lease.renew()
    clock.seconds += 1.0
    assert lease.may_order()


async def test_lost_answer_counts_from_before_the_write(
    table: FakeTable, clock: FakeClock
) -> None:
    lease = make(table, clock, "n1")
    table.lose_answers = True
    start = clock.seconds
    assert await lease.try_take()
    assert lease.right_from == start


async def test_no_right_while_the_table_is_down(
    table: FakeTable, clock: FakeClock
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
    table: FakeTable, clock: FakeClock
) -> None:
    await make(table, clock, "n1").try_take()
    again = make(table, clock, "n1")
    assert await again.try_take()
    assert again.token == 2


async def test_lease_given_up_still_keeps_the_distance(
    table: FakeTable, clock: FakeClock
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
    table: FakeTable, clock: FakeClock
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
    table: FakeTable, clock: FakeClock
) -> None:
    first, second = make(table, clock, "n1"), make(table, clock, "n2")
    await first.try_take()
    await second.refresh()
    seen = second.seen_since
    clock.seconds += 1
    second.note_seen(first.revision)
    assert second.seen_since == seen


async def test_only_one_of_two_that_race_wins(
    table: FakeTable, clock: FakeClock
) -> None:
    first, second = make(table, clock, "n1"), make(table, clock, "n2")
    await first.refresh()
    await second.refresh()
    assert await first.try_take()
    second_won = await second.try_take()
    assert not second_won
    assert not second.may_order()
