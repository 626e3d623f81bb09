"""Tests of when a node without a leader reads the row of the order lease."""

import datetime
import random
from typing import Any

import pytest

from _dogwoodhinge.fleet import engines
from _dogwoodhinge.fleet import leader_client
from _dogwoodhinge.fleet import membership
from _dogwoodhinge.fleet import order_lease
from _dogwoodhinge.fleet import revisions
from dogwoodhinge_lab import fleet_fakes

DISTANCE = datetime.timedelta(seconds=3)
OTHER = order_lease.Record(node="n2@h2", address="h2:1", token=4)


class UnreachableLink:
    """A link whose leader does not respond."""

    def __init__(self, lease: order_lease.OrderLease) -> None:
        self.lease = lease
        self.nodes = 80
        self.leader_may_order = True
        self.slot_shortage_at = -100.0
        self.asked = 0

    def address(self) -> str:
        """Returns the address in the lease row."""
        return self.lease.record.address if self.lease.record else ""

    async def sync(self, request: object) -> None:
        """Raises the error of an unreachable leader."""
        self.asked += 1
        raise leader_client.LeaderUnreachableError("gone")


def make(
    clock: fleet_fakes.FakeClock,
    table: fleet_fakes.FakeLeaseTable,
    *,
    extra_delay: float,
) -> Any:
    """Returns the membership of a node without a reachable leader."""
    lease = order_lease.OrderLease(
        table=table,
        node="n1@h1",
        address="h1:1",
        min_order_gap=DISTANCE,
        extra_takeover_delay=datetime.timedelta(seconds=extra_delay),
        clock=clock,
        report=lambda event, fields: None,
    )
    return membership.Membership(
        lease=lease,
        leader_client=UnreachableLink(lease),  # type: ignore[arg-type]
        usage_counter=membership.UsageCounter(
            active={},
            begun={},
            requests={},
            directory=engines.Directory(),
            quotas=fleet_fakes.NoQuotas(),
        ),
        rng=random.Random(1),
        report=lambda event, fields: None,
    )


@pytest.fixture
def clock() -> fleet_fakes.FakeClock:
    return fleet_fakes.FakeClock()


@pytest.fixture
def table() -> fleet_fakes.FakeLeaseTable:
    return fleet_fakes.FakeLeaseTable(record=OTHER, revision=7)


@pytest.mark.parametrize(
    ("extra_delay", "least", "most"),
    [
        pytest.param(0.0, 0.1, 0.35, id="acquires_it_first"),
        pytest.param(1.0, 0.35, 0.6, id="waits_for_other_nodes"),
    ],
)
async def test_lease_row_is_read_when_it_may_be_acquired(
    clock: fleet_fakes.FakeClock,
    table: fleet_fakes.FakeLeaseTable,
    extra_delay: float,
    least: float,
    most: float,
) -> None:
    """Regression: nodes saw a new leader up to 1.4 s after its takeover."""
    member = make(clock, table, extra_delay=extra_delay)
    await member._sync_step()  # noqa: SLF001
    clock.seconds += member.lease.takeover_delay.total_seconds() - 0.1
    pause = await member._sync_step()  # noqa: SLF001
    assert least <= pause <= most


async def test_new_leader_is_called_as_soon_as_it_is_known(
    clock: fleet_fakes.FakeClock, table: fleet_fakes.FakeLeaseTable
) -> None:
    member = make(clock, table, extra_delay=1.0)
    await member._sync_step()  # noqa: SLF001
    assert await member._sync_step() > 0  # noqa: SLF001
    table.record = order_lease.Record(node="n3@h3", address="h3:1", token=5)
    table.revision += 1
    assert await member._sync_step() == 0.0  # noqa: SLF001


async def test_lease_row_far_from_expiry_is_read_at_the_usual_interval(
    clock: fleet_fakes.FakeClock, table: fleet_fakes.FakeLeaseTable
) -> None:
    member = make(clock, table, extra_delay=0.0)
    await member._sync_step()  # noqa: SLF001
    clock.seconds += 0.1
    pause = await member._sync_step()  # noqa: SLF001
    assert pause == membership.LEASE_READ_INTERVAL.total_seconds()


async def test_token_is_incremented_though_only_the_revision_was_known(
    clock: fleet_fakes.FakeClock, table: fleet_fakes.FakeLeaseTable
) -> None:
    """Regression (soak check ONE, seed 602): two holders had one token.

    The holder had restarted at the same address and acquired the row again.
    This node knew the new revision from the holder, but only the old token.
    """
    lease = make(clock, table, extra_delay=0.0).lease
    await lease.refresh()
    table.record = order_lease.Record(node="n2@h2", address="h2:1", token=5)
    table.revision = 8
    lease.observe_revision(revisions.Revision(0, 8))
    clock.seconds += 60.0
    assert await lease.try_acquire()
    assert table.record is not None
    assert table.record.token == 6
