"""Tests of the order lease on a table that comes back from an older copy."""

import dataclasses
import datetime
import random

import pytest

from _dogwoodhinge.fleet import order_lease
from _dogwoodhinge.fleet import revisions
from dogwoodhinge import errors
from dogwoodhinge_lab import fleet_fakes

DISTANCE = datetime.timedelta(seconds=3)
STEP_SECONDS = 0.05
RENEW_STEPS = 12


@pytest.fixture
def clock() -> fleet_fakes.FakeClock:
    return fleet_fakes.FakeClock()


@pytest.fixture
def table() -> fleet_fakes.FakeLeaseTable:
    return fleet_fakes.FakeLeaseTable(era=1)


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


@dataclasses.dataclass
class Orders:
    """The orders of all nodes, as the engines see them."""

    sent: list[tuple[float, str, int]] = dataclasses.field(default_factory=list)

    def send_if_allowed(
        self, lease: order_lease.OrderLease, now: float
    ) -> None:
        """Sends an order if the node may send one now."""
        if lease.may_order():
            self.sent.append((now, lease.node, lease.token))

    def check(self) -> None:
        """Checks the distance between two holders, and their tokens."""
        for (before, one, token), (after, other, next_token) in zip(
            self.sent, self.sent[1:], strict=False
        ):
            if one == other:
                assert next_token >= token
                continue
            assert next_token > token, (one, token, other, next_token)
            assert after - before >= DISTANCE.total_seconds(), (one, other)

    def holders(self) -> list[str]:
        """Returns the nodes that sent orders, in order."""
        names = [name for _, name, _ in self.sent]
        return [n for i, n in enumerate(names) if i == 0 or names[i - 1] != n]


@dataclasses.dataclass
class Host:
    """A node that renews the lease, or tries to acquire it.

    Attributes:
        reads_every: steps between two attempts to acquire it.
        cut: whether it can't reach the table.
    """

    lease: order_lease.OrderLease
    reads_every: int = 5
    cut: bool = False

    async def step(self, number: int) -> None:
        """Does what is due in a step."""
        if self.cut:
            return
        try:
            if self.lease.is_held_here:
                if number % RENEW_STEPS == 0:
                    await self.lease.renew()
            elif number % self.reads_every == 0:
                await self.lease.try_acquire()
        except errors.TableError:
            return


async def run(
    hosts: list[Host],
    clock: fleet_fakes.FakeClock,
    orders: Orders,
    *,
    seconds: float,
) -> None:
    """Lets the hosts run for some time."""
    for number in range(int(seconds / STEP_SECONDS)):
        clock.seconds += STEP_SECONDS
        for host in hosts:
            await host.step(number)
            orders.send_if_allowed(host.lease, clock.seconds)


async def test_holder_ends_its_lease_when_it_hears_of_a_new_era(
    table: fleet_fakes.FakeLeaseTable, clock: fleet_fakes.FakeClock
) -> None:
    lease = make(table, clock, "n1")
    await lease.try_acquire()
    table.come_back_from(table.copy())
    lease.enter_era(table.era)
    assert not lease.may_order()
    clock.seconds += lease.takeover_delay.total_seconds() - 0.1
    assert not await lease.try_acquire()
    clock.seconds += 0.2
    assert await lease.try_acquire()
    assert lease.may_order()


async def test_holder_that_has_not_heard_orders_only_until_its_lease_ends(
    table: fleet_fakes.FakeLeaseTable, clock: fleet_fakes.FakeClock
) -> None:
    lease = make(table, clock, "n1")
    await lease.try_acquire()
    table.come_back_from(table.copy())
    assert lease.may_order()
    clock.seconds += order_lease.LEASE_TTL.total_seconds()
    assert not lease.may_order()


async def test_renewal_that_fits_the_copy_does_not_extend_the_lease(
    table: fleet_fakes.FakeLeaseTable, clock: fleet_fakes.FakeClock
) -> None:
    """The row of the copy has the number that the holder expects."""
    lease = make(table, clock, "n1")
    await lease.try_acquire()
    table.come_back_from(table.copy())
    clock.seconds += 0.5
    assert not await lease.renew()
    assert not lease.may_order()


@pytest.mark.parametrize("lost", ["answer", "renewal"])
async def test_holder_whose_renewal_was_lost_does_not_go_on(
    table: fleet_fakes.FakeLeaseTable, clock: fleet_fakes.FakeClock, lost: str
) -> None:
    lease = make(table, clock, "n1")
    await lease.try_acquire()
    copied = table.copy()
    clock.seconds += 0.6
    if lost == "renewal":
        assert await lease.renew()
        table.come_back_from(copied)
    else:
        table.come_back_from(copied)
        table.lose_answers = True
    assert not await lease.renew()
    assert not lease.may_order()


async def test_two_holders_that_find_the_row_as_they_left_it(
    table: fleet_fakes.FakeLeaseTable, clock: fleet_fakes.FakeClock
) -> None:
    """The copy names the holder before; the present one still orders."""
    first, second = make(table, clock, "n1"), make(table, clock, "n2")
    orders = Orders()
    await run([Host(first)], clock, orders, seconds=2)
    copied = table.copy()
    hosts = [Host(first, cut=True), Host(second)]
    await run(hosts, clock, orders, seconds=8)
    assert orders.holders() == ["n1", "n2"]
    table.come_back_from(copied)
    hosts[0].cut = False
    await run(hosts, clock, orders, seconds=20)
    orders.check()
    assert orders.sent[-1][0] > clock.seconds - 1  # somebody orders again


async def test_new_process_does_not_take_the_row_of_a_copy_at_once(
    table: fleet_fakes.FakeLeaseTable, clock: fleet_fakes.FakeClock
) -> None:
    """Its host held the lease when the copy was made; another one does now."""
    first, second = make(table, clock, "n1"), make(table, clock, "n2")
    orders = Orders()
    await run([Host(first)], clock, orders, seconds=2)
    copied = table.copy()
    await run([Host(second)], clock, orders, seconds=8)
    table.come_back_from(copied)
    hosts = [Host(make(table, clock, "n1"), reads_every=1), Host(second)]
    await run(hosts, clock, orders, seconds=20)
    orders.check()


async def test_copy_from_before_the_first_holder_is_not_free(
    table: fleet_fakes.FakeLeaseTable, clock: fleet_fakes.FakeClock
) -> None:
    first, second = make(table, clock, "n1"), make(table, clock, "n2")
    orders = Orders()
    copied = table.copy()
    hosts = [Host(first), Host(second)]
    await run(hosts, clock, orders, seconds=2)
    table.come_back_from(copied)
    hosts[0].cut = True
    await run(hosts, clock, orders, seconds=20)
    orders.check()
    assert orders.holders() == ["n1", "n2"]


async def test_late_write_of_the_earlier_era_grants_nothing(
    table: fleet_fakes.FakeLeaseTable, clock: fleet_fakes.FakeClock
) -> None:
    """Its condition fits by chance, as revisions are given out again."""
    first, second = make(table, clock, "n1"), make(table, clock, "n2")
    orders = Orders()
    hosts = [Host(first), Host(second)]
    await run(hosts, clock, orders, seconds=2)
    copied = table.copy()
    await run(hosts, clock, orders, seconds=2)
    table.delay = True
    with_late_write = table.revision
    assert await first.renew()  # read back as unchanged
    table.delay = False
    hosts[0].cut = True
    table.come_back_from(copied)
    while table.revision < with_late_write:
        await run(hosts, clock, orders, seconds=STEP_SECONDS * RENEW_STEPS)
    assert second.may_order()
    table.deliver()
    assert table.record is not None
    assert table.record.node == "n1"
    hosts[0].cut = False
    await run(hosts, clock, orders, seconds=20)
    orders.check()


async def test_token_rises_above_those_that_the_copy_lacks(
    table: fleet_fakes.FakeLeaseTable, clock: fleet_fakes.FakeClock
) -> None:
    """A node that starts afterwards knows only the copy."""
    await make(table, clock, "n1").try_acquire()
    copied = table.copy()
    for _ in range(50):  # processes of one host that end at once
        await make(table, clock, "n1").try_acquire()
    assert table.record is not None
    lost = table.record.token
    table.come_back_from(copied)
    table.come_back_from(copied)
    fresh = make(table, clock, "n2")
    await fresh.refresh()
    clock.seconds += 60
    assert await fresh.try_acquire()
    assert fresh.token > lost
    after_era = fresh.token
    table.come_back_from(copied)
    third = make(table, clock, "n3")
    await third.refresh()
    clock.seconds += 60
    assert await third.try_acquire()
    assert third.token > after_era


async def test_era_that_begins_before_the_first_read_is_waited_out(
    clock: fleet_fakes.FakeClock,
) -> None:
    """Regression: the first read of an era 1 was taken for a new store."""
    table = fleet_fakes.FakeLeaseTable(era=1)
    lease = make(table, clock, "n1")
    lease.enter_era(1)
    assert not await lease.try_acquire()
    clock.seconds += lease.takeover_delay.total_seconds() + 0.1
    assert await lease.try_acquire()
    assert lease.token > order_lease.TOKENS_PER_ERA


async def test_token_heard_from_the_holder_counts(
    table: fleet_fakes.FakeLeaseTable, clock: fleet_fakes.FakeClock
) -> None:
    lease = make(table, clock, "n1")
    lease.observe_revision(revisions.Revision(1, 1), token=7)
    clock.seconds += 60
    assert await lease.try_acquire()
    assert lease.token == 8


async def test_row_of_an_earlier_era_is_refused(
    table: fleet_fakes.FakeLeaseTable, clock: fleet_fakes.FakeClock
) -> None:
    lease = make(table, clock, "n1")
    await lease.refresh()
    lease.enter_era(2)
    with pytest.raises(errors.TableUnavailableError):
        await lease.refresh()
    lease.observe_revision(revisions.Revision(1, 99))
    assert lease.revision is None


async def test_table_without_eras_is_used_as_before(
    clock: fleet_fakes.FakeClock,
) -> None:
    table = fleet_fakes.FakeLeaseTable()
    await make(table, clock, "n1").try_acquire()
    again = make(table, clock, "n1")
    assert await again.try_acquire()
    assert again.token == 2
    assert table.record is not None
    assert "era" not in table.record.model_dump_json(exclude_defaults=True)


@pytest.mark.parametrize("seed", range(40))
async def test_orders_keep_their_distance_whatever_comes_back(
    table: fleet_fakes.FakeLeaseTable,
    clock: fleet_fakes.FakeClock,
    seed: int,
) -> None:
    """Copies, late writes, lost answers, cuts and restarts at random."""
    rng = random.Random(seed)
    orders = Orders()
    hosts = [
        Host(make(table, clock, f"n{n}"), reads_every=rng.randint(1, 20))
        for n in range(4)
    ]
    copies = [table.copy()]
    for _ in range(60):
        await run(hosts, clock, orders, seconds=rng.uniform(0.2, 4))
        host = rng.choice(hosts)
        host.cut = rng.random() < 0.4
        table.delay = rng.random() < 0.15
        table.lose_answers = rng.random() < 0.15
        if rng.random() < 0.3:
            table.deliver()
        if rng.random() < 0.2:
            host.lease = make(table, clock, host.lease.node)
        copies = [*copies[-3:], table.copy()]
        if rng.random() < 0.3:
            table.come_back_from(rng.choice(copies))
    orders.check()
    assert len(orders.holders()) > 1
