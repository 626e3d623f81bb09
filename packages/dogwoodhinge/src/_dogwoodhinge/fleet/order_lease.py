"""The order lease, which decides which node may send orders to the engines.

Engines that check no fencing tokens obey any node, so at most one node may send
orders at a time, and the orders of two successive holders must be a minimum
time apart. The lease is one row of the platform's table, acquired and renewed
by conditional writes.

The holder counts the lease from before the successful renewal was sent, by a
clock that also counts the time during which the host is suspended. Another
node may take over once it has seen the row unchanged for `takeover_delay`,
which is the TTL of the lease plus the time by which orders of two holders must
be apart. Within that time no order of the previous holder can arrive after one
of the new holder.

A new process on the same host is the same holder to the engines; it acquires
the row again immediately, with a higher token.

A table that comes back from an older copy begins a new era (`revisions`). Its
row may then name a holder of long ago, and a write of the earlier era may still
fit it. The record therefore states the era in which it was written. A row of
the current era is in force as usual; a row from before says only that there was
a holder. Nobody holds the lease at the beginning of an era, and any node, the
previous holder included, may acquire it once it has waited `takeover_delay`
since it learned of the era: by then the lease of the previous holder, which may
not know of the era yet, has expired.
"""

import dataclasses
import datetime
import math
import time
from typing import Protocol, final

import pydantic

from _dogwoodhinge import event_log
from _dogwoodhinge.fleet import revisions
from _dogwoodhinge.membership import lease as lease_lib
from dogwoodhinge import errors

# How long a holder may send orders without a renewal. It renews more than twice
# in this time, so that one lost response does not end the lease.
LEASE_TTL = datetime.timedelta(seconds=1.5)
RENEW_INTERVAL = datetime.timedelta(seconds=0.6)

# Orders in flight when the lease ends arrive within this time.
MAX_ORDER_TRANSIT = datetime.timedelta(seconds=0.25)

# Tokens of an era, more than there are revisions between the last write of the
# lease row in a copy and the end of the era before.
TOKENS_PER_ERA = 10_000_000

# Stores number their eras from 0 or 1. One in a later era has come back from a
# copy before, which may lack the row of a holder.
LAST_FIRST_ERA = 1


class ElapsedClock(Protocol):
    """A clock that also counts the time during which a host is suspended."""

    def elapsed(self) -> float:
        """Returns the seconds since an arbitrary point in time."""


@final
class BootClock:
    """Counts the seconds since the host was booted."""

    def elapsed(self) -> float:
        """Returns the seconds since boot, including time suspended."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


@final
class Record(pydantic.BaseModel):
    """The value of the lease row.

    Attributes:
        node: name and address of the holder's host; a host that replaces
            another under the same name is a different holder.
        address: `ip:port` at which peers reach the holder; empty once the
            lease is released.
        token: fencing token, incremented with each new holder; the calls to
            peers hold 64 bits.
        era: era of the table in which the record was written.
    """

    node: str
    address: str
    token: int = pydantic.Field(ge=0, lt=2**63)
    era: int = pydantic.Field(default=0, ge=0, lt=2**63)


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """The lease row as read; the revision's number is 0 if there is none."""

    record: Record | None
    revision: revisions.Revision

    @property
    def is_of_this_era(self) -> bool:
        """True if there is a row and it was written in the current era."""
        return self.record is not None and self.record.era == self.revision.era


class LeaseTable(Protocol):
    """Stores the lease row."""

    async def read(self) -> Row:
        """Reads the row.

        Raises:
            TableUnavailableError: the table did not respond.
        """

    async def write(
        self, record: Record, *, revision: revisions.Revision
    ) -> revisions.Revision:
        """Replaces the row if it still has `revision`.

        Returns:
            The new revision.

        Raises:
            TableConflictError: the row has a different revision, or the table
                is in a new era; nothing was written.
            TableUnavailableError: the table can't be reached; nothing was
                written.
            TableOutcomeUnknownError: the write may have taken effect, or may
                still do so, also in a new era.
        """


@final
class OrderLease:
    """This node's view of the order lease, and the lease itself if held here.

    Attributes:
        record: the row as last read, of whatever era; None before the first
            read, and if there is no row.
        revision: its revision; None before the first read in an era.
        era: era of the table; None before the first read.
        may_lack_holder: whether the table has come back from a copy, so that
            there may be a holder though it has no row.
        highest_token: the highest token of a holder that this node knows.
        takeover_delay: how long the row must stay unchanged before another
            node may acquire it.
        released_takeover_delay: the same for a lease that was released.
        extra_takeover_delay: additional delay of this node, so that nodes with
            more CPU acquire the lease first.
        unchanged_since: time by `clock` since which the row is known to have
            stayed unchanged.
        held_since: time by `clock` from which the lease counts; None while
            this process does not hold it.
    """

    def __init__(
        self,
        *,
        table: LeaseTable,
        node: str,
        address: str,
        min_order_gap: datetime.timedelta,
        extra_takeover_delay: datetime.timedelta = datetime.timedelta(0),
        clock: ElapsedClock,
        report: event_log.EventReporter,
    ) -> None:
        self.table = table
        self.node = node
        self.address = address
        self.clock = clock
        self.report = report
        self.extra_takeover_delay = extra_takeover_delay
        self.started_at = clock.elapsed()
        self.released_takeover_delay = (
            min_order_gap + MAX_ORDER_TRANSIT
        ) * lease_lib.DRIFT_FACTOR
        self.takeover_delay = (
            LEASE_TTL + min_order_gap + MAX_ORDER_TRANSIT
        ) * lease_lib.DRIFT_FACTOR
        self.record: Record | None = None
        self.revision: revisions.Revision | None = None
        self.era: int | None = None
        self.may_lack_holder = False
        self.highest_token = 0
        self.unchanged_since = 0.0
        self.held_since: float | None = None

    @property
    def token(self) -> int:
        """Fencing token of the current holder; 0 before the first read."""
        return 0 if self.record is None else self.record.token

    @property
    def is_held_here(self) -> bool:
        """True if this process holds the row; the lease may have expired."""
        return self.held_since is not None

    def may_order(self) -> bool:
        """Returns whether this node may send an order now."""
        if self.held_since is None:
            return False
        return lease_lib.is_valid(
            renewed_at=self.held_since, now=self.clock.elapsed(), ttl=LEASE_TTL
        )

    async def refresh(self) -> None:
        """Reads the row and updates this node's view of it.

        Raises:
            TableUnavailableError: the table can't be reached.
        """
        self._apply_row(await self.table.read())

    def observe_revision(
        self, revision: revisions.Revision, *, token: int = 0
    ) -> None:
        """Records the row's revision and token as reported by its holder.

        A row that is later read with this revision has not changed since.
        """
        if self.era is not None and revision.era < self.era:
            return
        self._learn_era(revision.era)
        self.highest_token = max(self.highest_token, token)
        if self.held_since is None and (
            self.revision is None or revision.is_after(self.revision)
        ):
            self.revision = revision
            self.unchanged_since = self.clock.elapsed()

    def enter_era(self, era: int) -> None:
        """Records that the table has begun a new era.

        A lease that is held here ends. What is known of the row does not hold
        any longer; its holder counts as unknown until the row is written again.
        """
        if self.era is not None and era <= self.era:
            return
        self.era = era
        self.may_lack_holder = True
        self.revision = None
        self.unchanged_since = self.clock.elapsed()
        if self.held_since is not None:
            self.held_since = None
            self.report("order_lease_lost", {"holder": "", "era": era})

    async def try_acquire(self) -> bool:
        """Acquires the lease if the holder's lease has certainly expired.

        Raises:
            TableUnavailableError: the table can't be reached.
        """
        await self.refresh()
        if not self._is_free():
            return False
        return await self._write(self._next_token(), "taken")

    async def renew(self) -> bool:
        """Renews this node's lease; returns False if it has lost the row.

        Raises:
            TableUnavailableError: the table can't be reached.
        """
        if self.held_since is None:
            return False
        return await self._write(self.token, "renewed")

    async def release(self) -> None:
        """Releases the lease early; the next holder still waits before orders.

        Raises:
            TableError: the row could not be written; the lease expires by
                itself.
        """
        if (
            self.record is None
            or self.revision is None
            or self.held_since is None
        ):
            return
        self.held_since = None
        record = self.record.model_copy(update={"address": ""})
        await self.table.write(record, revision=self.revision)
        self.report("order_lease_given_up", {"token": self.record.token})

    def seconds_until_free(self) -> float:
        """Returns the seconds until another node may acquire an unchanged row.

        Negative once that time has passed; infinite before the first read.
        """
        if self.record is None and not self.may_lack_holder:
            return math.inf
        wait = (
            self.released_takeover_delay
            if self._is_released()
            else self.takeover_delay
        )
        return (
            self.unchanged_since + wait.total_seconds() - self.clock.elapsed()
        )

    def _is_released(self) -> bool:
        """Returns whether a holder of this era has released the lease."""
        return self._is_of_this_era() and not (
            self.record is not None and self.record.address
        )

    def _is_of_this_era(self) -> bool:
        return self.record is not None and self.record.era == self.era

    def _is_free(self) -> bool:
        extra_takeover_delay = self.extra_takeover_delay.total_seconds()
        if self.record is None and not self.may_lack_holder:
            return (
                self.clock.elapsed() - self.started_at >= extra_takeover_delay
            )
        if (
            self.record is not None
            and self.record.node == self.node
            and self._is_of_this_era()
        ):
            return True
        return self.seconds_until_free() + extra_takeover_delay < 0

    async def _write(self, token: int, change: str) -> bool:
        if self.revision is None:
            return False
        record = Record(
            node=self.node,
            address=self.address,
            token=token,
            era=self.revision.era,
        )
        sent_at = self.clock.elapsed()
        try:
            revision = await self.table.write(record, revision=self.revision)
        except errors.TableConflictError:
            await self.refresh()
            return self.held_since is not None
        except errors.TableOutcomeUnknownError as error:
            self.report("order_lease_unknown", {"reason": str(error)})
            return await self._read_back(record, sent_at)
        if revision.era != record.era or self.era != record.era:
            # Written, but in an era whose row this node has not read: another
            # node may have acquired it there.
            await self.refresh()
            return False
        self._record_held(record, revision, sent_at, change)
        return True

    async def _read_back(self, record: Record, sent_at: float) -> bool:
        row = await self.table.read()
        if (
            row.record == record
            and row.is_of_this_era
            and row.revision != self.revision
            and self.era == record.era
        ):
            self._record_held(record, row.revision, sent_at, "read_back")
            return True
        # The write may still take effect; until then the old row is in force.
        self._apply_row(row)
        return self.held_since is not None

    def _record_held(
        self,
        record: Record,
        revision: revisions.Revision,
        sent_at: float,
        change: str,
    ) -> None:
        if change != "renewed":
            self.report(
                "order_lease_" + change,
                {
                    "token": record.token,
                    "revision": revision.number,
                    "era": revision.era,
                },
            )
        self.highest_token = max(self.highest_token, record.token)
        self.record = record
        self.revision = revision
        self.unchanged_since = self.clock.elapsed()
        self.held_since = sent_at

    def _learn_era(self, era: int) -> None:
        if self.era is None and era <= LAST_FIRST_ERA:
            self.era = era
        else:
            self.enter_era(era)

    def _apply_row(self, row: Row) -> None:
        if self.era is not None and row.revision.era < self.era:
            raise errors.TableUnavailableError(
                f"the row is of era {row.revision.era}, before {self.era}"
            )
        self._learn_era(row.revision.era)
        is_unchanged = row.record is not None and row.record == self.record
        if self.held_since is not None and not is_unchanged:
            self.held_since = None
            self.report(
                "order_lease_lost",
                {"holder": row.record.node if row.record else ""},
            )
        # Also for a known revision: the holder may have reported the revision
        # without the record.
        self.record = row.record
        if row.record is not None:
            self.highest_token = max(self.highest_token, row.record.token)
        if row.revision != self.revision:
            # A row that was not written in this era was there from its start.
            is_copied = self.revision is None and not row.is_of_this_era
            self.revision = row.revision
            if not (is_copied and self.may_lack_holder):
                self.unchanged_since = self.clock.elapsed()

    def _next_token(self) -> int:
        """Returns a token above those of all holders, also of earlier eras.

        A row that was not written in this era may lack holders, also of this
        one: a late write of an earlier era may have replaced their row. Their
        tokens are below the number of its revision, which rises with each write
        in an era.
        """
        token = self.highest_token
        if (
            self.may_lack_holder
            and self.revision is not None
            and not self._is_of_this_era()
        ):
            first = TOKENS_PER_ERA * self.revision.era
            token = max(token, first + self.revision.number)
        return token + 1
