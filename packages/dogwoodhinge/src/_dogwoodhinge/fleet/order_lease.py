"""Which node may give orders to the engines.

Engines that check no fencing tokens obey anyone, so at most one node may give
orders at a time, and two that follow each other keep a distance. The right is
one row of the platform's table, taken and renewed by conditional writes.

The holder counts its right from before the renewal that succeeded was sent, by
a clock that also counts the time a host stands still. Another node may take
over once it has seen the row unchanged for `takeover_after`, which is the
holder's right plus the distance that orders of two holders must keep. Within
that distance no order of the last holder can follow one of the new holder.

A new process on the same host is the same holder to the engines; it takes its
row back at once, with a higher token.
"""

import dataclasses
import datetime
import math
import time
from typing import Protocol, final

import pydantic

from _dogwoodhinge import event_log
from _dogwoodhinge.membership import lease as lease_lib
from dogwoodhinge import errors

# The right to give orders without a renewal; renewals come about every third
# of it, so that one lost answer does not end it.
RIGHT = datetime.timedelta(seconds=1.5)
RENEW_EVERY = datetime.timedelta(seconds=0.6)

# Orders that are on their way when the right ends arrive within this time.
ORDER_TRAVEL = datetime.timedelta(seconds=0.25)


class ElapsedClock(Protocol):
    """A clock that also counts the time a host stands still."""

    def elapsed(self) -> float:
        """Returns seconds from an arbitrary start."""


@final
class BootClock:
    """Seconds since the host was started."""

    def elapsed(self) -> float:
        """Returns the seconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


@final
class Record(pydantic.BaseModel):
    """The row's value.

    Attributes:
        node: name and address of the holder's host; a host that replaces
            another under its name is another holder.
        address: where its peers reach it, as `ip:port`; empty when given up.
        token: raised by one with each holder.
    """

    node: str
    address: str
    token: int


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """The row as it was read; `revision` 0 when there is none."""

    record: Record | None
    revision: int


class LeaseTable(Protocol):
    """Keeps the one row."""

    async def read(self) -> Row:
        """Reads the row.

        Raises:
            TableUnavailableError: no answer.
        """

    async def write(self, record: Record, *, revision: int) -> int:
        """Replaces the row if it still has `revision`; returns the new one.

        Raises:
            TableConflictError: it has another revision; nothing was written.
            TableUnavailableError: nothing was written.
            TableOutcomeUnknownError: it may have been written, or be later.
        """


@final
class OrderLease:
    """This node's view of the row, and its right if it holds it.

    Attributes:
        record: the row as read last; None before the first read.
        takeover_after: how long the row must stand still.
        after_give_up: the same once its holder has given it up.
        reluctance: how much longer this node waits, so that stronger ones
            come first.
    """

    def __init__(
        self,
        *,
        table: LeaseTable,
        node: str,
        address: str,
        distance: datetime.timedelta,
        reluctance: datetime.timedelta = datetime.timedelta(0),
        clock: ElapsedClock,
        report: event_log.Report,
    ) -> None:
        self.table = table
        self.node = node
        self.address = address
        self.clock = clock
        self.report = report
        self.reluctance = reluctance
        self.started_at = clock.elapsed()
        self.after_give_up = (distance + ORDER_TRAVEL) * lease_lib.DRIFT_FACTOR
        self.takeover_after = (
            RIGHT + distance + ORDER_TRAVEL
        ) * lease_lib.DRIFT_FACTOR
        self.record: Record | None = None
        self.revision = -1
        self.seen_since = 0.0
        self.right_from: float | None = None

    @property
    def token(self) -> int:
        """The token of the current holder."""
        return 0 if self.record is None else self.record.token

    @property
    def is_mine(self) -> bool:
        """Tells whether the row names this process."""
        return self.right_from is not None

    def may_order(self) -> bool:
        """Tells whether an order may be sent right now."""
        if self.right_from is None:
            return False
        return lease_lib.holds(
            renewed_at=self.right_from, now=self.clock.elapsed(), ttl=RIGHT
        )

    async def refresh(self) -> None:
        """Reads the row.

        Raises:
            TableUnavailableError: no answer.
        """
        self._note(await self.table.read())

    def note_seen(self, revision: int) -> None:
        """Notes the row's revision as its holder tells it.

        A row that is found with this revision later has stood still since.
        """
        if self.right_from is None and revision > self.revision:
            self.revision = revision
            self.seen_since = self.clock.elapsed()

    async def try_take(self) -> bool:
        """Takes the row if its holder's right has ended for certain.

        Raises:
            TableUnavailableError: the table can't be reached.
        """
        await self.refresh()
        if not self._is_free():
            return False
        return await self._write(self.token + 1, "taken")

    async def renew(self) -> bool:
        """Renews this node's right; False when it has lost the row.

        Raises:
            TableUnavailableError: the table can't be reached.
        """
        if self.right_from is None:
            return False
        return await self._write(self.token, "renewed")

    async def give_up(self) -> None:
        """Ends the right early; a later holder keeps its distance.

        Raises:
            TableError: the row could not be written; it runs out by itself.
        """
        if self.record is None or self.right_from is None:
            return
        self.right_from = None
        record = Record(node=self.node, address="", token=self.record.token)
        await self.table.write(record, revision=self.revision)
        self.report("order_lease_given_up", {"token": self.record.token})

    def seconds_to_free(self) -> float:
        """Returns when another node may take the row over, if it stands still.

        Negative once that time is over; infinite while the row is not known.
        """
        if self.record is None:
            return math.inf
        wait = (
            self.takeover_after if self.record.address else self.after_give_up
        )
        return self.seen_since + wait.total_seconds() - self.clock.elapsed()

    def _is_free(self) -> bool:
        reluctance = self.reluctance.total_seconds()
        if self.record is None:
            return self.clock.elapsed() - self.started_at >= reluctance
        if self.record.node == self.node:
            return True
        return self.seconds_to_free() + reluctance < 0

    async def _write(self, token: int, change: str) -> bool:
        record = Record(node=self.node, address=self.address, token=token)
        sent_at = self.clock.elapsed()
        try:
            revision = await self.table.write(record, revision=self.revision)
        except errors.TableConflictError:
            await self.refresh()
            return self.right_from is not None
        except errors.TableOutcomeUnknownError as error:
            self.report("order_lease_unknown", {"reason": str(error)})
            return await self._read_back(record, sent_at)
        self._hold(record, revision, sent_at, change)
        return True

    async def _read_back(self, record: Record, sent_at: float) -> bool:
        row = await self.table.read()
        if row.record == record and row.revision != self.revision:
            self._hold(record, row.revision, sent_at, "read_back")
            return True
        # The write may still take effect; until then nothing has changed.
        self._note(row)
        return self.right_from is not None

    def _hold(
        self, record: Record, revision: int, sent_at: float, change: str
    ) -> None:
        if change != "renewed":
            self.report(
                "order_lease_" + change,
                {"token": record.token, "revision": revision},
            )
        self.record = record
        self.revision = revision
        self.seen_since = self.clock.elapsed()
        self.right_from = sent_at

    def _note(self, row: Row) -> None:
        mine = row.record is not None and row.record == self.record
        if self.right_from is not None and not mine:
            self.right_from = None
            self.report(
                "order_lease_lost",
                {"holder": row.record.node if row.record else ""},
            )
        # Also when the revision is known: the holder may have told only that.
        self.record = row.record
        if row.revision != self.revision:
            self.revision = row.revision
            self.seen_since = self.clock.elapsed()
