"""The requests that wait for an adapter slot, and whom to reject early.

Load pattern: peak load while engines are down. Adapter slots are requested
faster than they become free, and without an order a request that keeps
retrying may be served last; see `wait_order`.

A request that cannot be served in time with the room that is left to it is
rejected at once, on arrival or while it waits, with the time at which there
should be room for it. The room is the recent rate of slot assignments; what is
left of it to a request that gives way is what those before it have not asked
for.
"""

import collections
from collections.abc import Iterable
import heapq
import itertools
from typing import final

from _dogwoodhinge.fleet import fair_shares
from _dogwoodhinge.fleet import wait_order

# Slots become free some tens of times a second at peak load, so one second
# gives the rate within a few percent and still follows engines that join or
# leave.
RATE_WINDOW_SECONDS = 1.0

# The rate is known once requests have waited for this long without a break: a
# shorter time gives it too inexactly.
MIN_RATE_WINDOW_SECONDS = 0.25

# Rate assumed without recent assignments: a single engine that serves requests
# of a few seconds each frees several slots a second.
MIN_ASSIGNMENTS_PER_SECOND = 4.0

# Fraction of the slots that is expected to be left in any case: a load peak may
# end, and engines may come back, sooner than the last second lets expect.
MIN_ROOM_FRACTION = 0.15

# A whole request takes about a second at peak load, so a slot that becomes free
# sooner is of use only to clients that retry soon.
MIN_RETRY_SECONDS = 0.1
MAX_RETRY_SECONDS = 2.0

# Adds up to this fraction to the delay, so that requests rejected together do
# not retry together; the longest delay is shortened by up to as much.
RETRY_JITTER = 0.5


@final
class WaitQueue:
    """The waiting requests and the recent rate of slot assignments.

    Attributes:
        waiters: the waiting requests.
        assigned_at: loop times of the recent slot assignments.
        asked: loop time and rank of the requests that have recently joined
            and could be on time.
        nonempty_since: loop time from which requests have waited without a
            break; None while none waits.
        shares: which part of the requests of each rank is served.
        slot_use: slots that the organisations were given.
        returns_at: heap of the loop times at which rejected requests were told
            to retry.
    """

    def __init__(self) -> None:
        self.waiters: set[wait_order.Waiter] = set()
        self.assigned_at: collections.deque[float] = collections.deque()
        self.asked: collections.deque[tuple[float, int]] = collections.deque()
        self.nonempty_since: float | None = None
        self.shares = wait_order.ServedShares()
        self.slot_use = fair_shares.SlotUse()
        self.returns_at: list[float] = []

    def join(
        self, waiter: wait_order.Waiter, now: float, *, lead_time: float = 0.0
    ) -> None:
        """Adds a waiter."""
        if not self.waiters:
            self.nonempty_since = now
        self.waiters.add(waiter)
        if not wait_order.is_late(waiter, now, lead_time=lead_time):
            self.asked.append((now, waiter.rank))

    def leave(self, waiter: wait_order.Waiter) -> None:
        """Removes a waiter, whether it was served or not."""
        self.waiters.discard(waiter)
        if not self.waiters:
            self.nonempty_since = None

    def record_assignment(
        self, now: float, *, rank: int = 0, organisation: str = ""
    ) -> None:
        """Records that a slot was assigned."""
        self.assigned_at.append(now)
        self.shares.record(rank, now, served=True)
        self.slot_use.record(organisation, now)

    def record_rejection(self, now: float, *, rank: int = 0) -> None:
        """Records that a request was rejected for good."""
        self.shares.record(rank, now, served=False)

    def assignment_rate(self, now: float) -> float:
        """Returns the recent number of slot assignments per second."""
        while (
            self.assigned_at and now - self.assigned_at[0] > RATE_WINDOW_SECONDS
        ):
            self.assigned_at.popleft()
        return max(
            MIN_ASSIGNMENTS_PER_SECOND,
            len(self.assigned_at) / RATE_WINDOW_SECONDS,
        )

    def in_order(
        self, now: float, *, lead_time: float
    ) -> list[wait_order.Waiter]:
        """Returns the waiters in the order in which they are served.

        Args:
            now: loop time.
            lead_time: seconds from a slot's assignment to the first event.
        """
        return self._in_order(self.waiters, now, lead_time)

    def will_time_out(
        self, waiter: wait_order.Waiter, now: float, *, lead_time: float
    ) -> bool:
        """Returns whether a new waiter cannot be served before it must leave.

        The assignment rate is ignored until requests have waited for some
        time.
        """
        if now >= waiter.wait_until:
            return True
        if not self._knows_rate(now):
            return False
        order = self._in_order({*self.waiters, waiter}, now, lead_time)
        if waiter in self._without_room(order, now, lead_time):
            return True
        rate = self.assignment_rate(now)
        starts_at = now + order.index(waiter) / rate
        if starts_at <= waiter.target_at - lead_time:
            return False
        # It will be late, so all waiters that can be on time overtake it.
        return now + len(self.waiters) / rate > waiter.wait_until

    def find_hopeless(
        self, now: float, *, lead_time: float
    ) -> list[wait_order.Waiter]:
        """Returns the waiters that cannot be served before they must leave.

        Args:
            now: loop time.
            lead_time: seconds from a slot's assignment to the first event.
        """
        if not self._knows_rate(now):
            return []
        order = self.in_order(now, lead_time=lead_time)
        return self._without_room(order, now, lead_time)

    def retry_delay_seconds(
        self,
        now: float,
        jitter: float,
        *,
        longest: float = MAX_RETRY_SECONDS,
    ) -> float:
        """Returns the seconds after which a rejected request should retry.

        By then, the queue and those who were told to retry earlier should have
        been served with the room that new requests leave.

        Args:
            now: loop time.
            jitter: random number between 0 and 1, drawn for each request.
            longest: longest delay of use to its caller, in seconds.
        """
        while self.returns_at and self.returns_at[0] <= now:
            heapq.heappop(self.returns_at)
        ahead = len(self.waiters) + len(self.returns_at)
        room = _room(self._latest_rate(now), self._asked(now).total())
        seconds = min((ahead + 1) / room, longest / (1 + RETRY_JITTER))
        seconds *= 1 + RETRY_JITTER * jitter
        return max(MIN_RETRY_SECONDS, seconds)

    def record_return(self, at: float) -> None:
        """Records that a rejected request was told to retry at a loop time."""
        heapq.heappush(self.returns_at, at)

    def _in_order(
        self,
        waiters: Iterable[wait_order.Waiter],
        now: float,
        lead_time: float,
    ) -> list[wait_order.Waiter]:
        return wait_order.in_order(
            waiters,
            now,
            lead_time=lead_time,
            ranks_behind=self.shares.ranks_behind(now),
            slot_use=self.slot_use,
        )

    def _knows_rate(self, now: float) -> bool:
        since = self.nonempty_since
        return since is not None and now - since >= MIN_RATE_WINDOW_SECONDS

    def _without_room(
        self,
        order: list[wait_order.Waiter],
        now: float,
        lead_time: float,
    ) -> list[wait_order.Waiter]:
        """Returns the waiters that those before them leave too little room.

        Requests that can still be on time go before late ones; those that are
        more urgent go before all. Their recent number is expected to go on.
        """
        rate = self._latest_rate(now)
        asked = self._asked(now)
        without_room: list[wait_order.Waiter] = []
        for ahead, waiter in enumerate(order):
            if wait_order.is_late(waiter, now, lead_time=lead_time):
                before = asked.total()
            else:
                before = sum(
                    count for rank, count in asked.items() if rank < waiter.rank
                )
            room = _room(rate, before)
            if now + (ahead - len(without_room)) / room > waiter.wait_until:
                without_room.append(waiter)
        return without_room

    def _asked(self, now: float) -> collections.Counter[int]:
        """Returns the recent requests that could be on time, by rank."""
        while self.asked and now - self.asked[0][0] > RATE_WINDOW_SECONDS:
            self.asked.popleft()
        return collections.Counter(rank for _, rank in self.asked)

    def _latest_rate(self, now: float) -> float:
        """Returns the slots a second, of the last moments if it has risen.

        Engines that come back make room at once.
        """
        since = now - MIN_RATE_WINDOW_SECONDS
        latest = sum(
            1
            for _ in itertools.takewhile(
                lambda at: at > since, reversed(self.assigned_at)
            )
        )
        return max(self.assignment_rate(now), latest / MIN_RATE_WINDOW_SECONDS)


def _room(rate: float, before: int) -> float:
    """Returns the slots a second that earlier requests will leave.

    Args:
        rate: slots a second.
        before: requests of the last second that go first.
    """
    return max(
        MIN_ASSIGNMENTS_PER_SECOND,
        MIN_ROOM_FRACTION * rate,
        rate - before / RATE_WINDOW_SECONDS,
    )
