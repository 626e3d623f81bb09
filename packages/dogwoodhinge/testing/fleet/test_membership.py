"""Tests of when a node without an owner reads the row of the lease."""

import datetime
import random
from typing import Any

import pytest

from _dogwoodhinge.fleet import engines
from _dogwoodhinge.fleet import membership
from _dogwoodhinge.fleet import order_lease
from _dogwoodhinge.fleet import owner_link
from dogwoodhinge_lab import fleet_fakes

DISTANCE = datetime.timedelta(seconds=3)
OTHER = order_lease.Record(node="n2@h2", address="h2:1", token=4)


class LostLink:
    """A link whose owner does not answer."""

    def __init__(self, lease: order_lease.OrderLease) -> None:
        self.lease = lease
        self.nodes = 80
        self.owner_may_order = True
        self.no_room_at = -100.0
        self.asked = 0

    def address(self) -> str:
        """Returns what the row says."""
        return self.lease.record.address if self.lease.record else ""

    async def sync(self, request: object) -> None:
        """Fails."""
        self.asked += 1
        raise owner_link.OwnerUnreachableError("gone")


def make(
    clock: fleet_fakes.FakeClock,
    table: fleet_fakes.FakeLeaseTable,
    *,
    reluctance: float,
) -> Any:
    """Returns a node's membership."""
    lease = order_lease.OrderLease(
        table=table,
        node="n1@h1",
        address="h1:1",
        distance=DISTANCE,
        reluctance=datetime.timedelta(seconds=reluctance),
        clock=clock,
        report=lambda event, fields: None,
    )
    return membership.Membership(
        lease=lease,
        link=LostLink(lease),  # type: ignore[arg-type]
        uses=membership.UseCounter(
            active={}, begun={}, requests={}, directory=engines.Directory()
        ),
        draw=random.Random(1),
        report=lambda event, fields: None,
    )


@pytest.fixture
def clock() -> fleet_fakes.FakeClock:
    return fleet_fakes.FakeClock()


@pytest.fixture
def table() -> fleet_fakes.FakeLeaseTable:
    return fleet_fakes.FakeLeaseTable(record=OTHER, revision=7)


@pytest.mark.parametrize(
    ("reluctance", "least", "most"),
    [
        pytest.param(0.0, 0.1, 0.35, id="may_take_it"),
        pytest.param(1.0, 0.35, 0.6, id="leaves_it_to_stronger_ones"),
    ],
)
async def test_row_is_read_when_it_may_be_taken_over(
    clock: fleet_fakes.FakeClock,
    table: fleet_fakes.FakeLeaseTable,
    reluctance: float,
    least: float,
    most: float,
) -> None:
    """The owner died: nodes saw the next one up to 1.4 s after its begin."""
    found = make(clock, table, reluctance=reluctance)
    await found._exchange_step()  # noqa: SLF001
    clock.seconds += found.lease.takeover_after.total_seconds() - 0.1
    pause = await found._exchange_step()  # noqa: SLF001
    assert least <= pause <= most


async def test_next_owner_is_spoken_to_as_soon_as_it_is_seen(
    clock: fleet_fakes.FakeClock, table: fleet_fakes.FakeLeaseTable
) -> None:
    found = make(clock, table, reluctance=1.0)
    await found._exchange_step()  # noqa: SLF001
    assert await found._exchange_step() > 0  # noqa: SLF001
    table.record = order_lease.Record(node="n3@h3", address="h3:1", token=5)
    table.revision += 1
    assert await found._exchange_step() == 0.0  # noqa: SLF001


async def test_row_far_from_free_is_read_at_the_usual_rate(
    clock: fleet_fakes.FakeClock, table: fleet_fakes.FakeLeaseTable
) -> None:
    found = make(clock, table, reluctance=0.0)
    await found._exchange_step()  # noqa: SLF001
    clock.seconds += 0.1
    pause = await found._exchange_step()  # noqa: SLF001
    assert pause == membership.LOOK_EVERY.total_seconds()


async def test_token_rises_though_only_the_revision_was_told(
    clock: fleet_fakes.FakeClock, table: fleet_fakes.FakeLeaseTable
) -> None:
    """ONE (soak, seed 602): two holders had one token.

    The holder had restarted at the same address and taken the row anew; this
    node knew the new revision from it, and the token from before.
    """
    lease = make(clock, table, reluctance=0.0).lease
    await lease.refresh()
    table.record = order_lease.Record(node="n2@h2", address="h2:1", token=5)
    table.revision = 8
    lease.note_seen(8)
    clock.seconds += 60.0
    assert await lease.try_take()
    assert table.record is not None
    assert table.record.token == 6
