"""Orders the requests that wait for an adapter slot, and rejects some early.

Load pattern: peak load while engines are down. Adapter slots are requested
faster than they become free, and without an order a request that keeps
retrying may be served last.

Requests whose first event can still meet the latency target come first, the one
with the most time left before the others: if each got its slot at the last
moment, none would meet its target at peak load. Late requests follow, ordered
by how long they may keep waiting. A request that cannot be served in time at
the recent assignment rate is rejected at once, with the time in which the queue
should drain.
"""

import collections
import dataclasses
from typing import final

# Slots become free some tens of times a second at peak load, so one second
# gives the rate within a few percent and still follows engines that join or
# leave.
RATE_WINDOW_SECONDS = 1.0

# Rate assumed without recent assignments: a single engine that serves requests
# of a few seconds each frees several slots a second.
MIN_ASSIGNMENTS_PER_SECOND = 4.0

# Time for which a prompt waits behind the prefill of others, in addition to the
# adapter load and its own prefill; most wait less than this at peak load.
PREFILL_WAIT_SECONDS = 0.05

# A whole request takes about a second at peak load, so a slot that becomes free
# sooner is of use only to clients that retry soon.
MIN_RETRY_SECONDS = 0.1
MAX_RETRY_SECONDS = 2.0

# Adds up to this fraction to the delay, so that requests rejected together do
# not retry together.
RETRY_JITTER = 0.5


@final
@dataclasses.dataclass(eq=False, slots=True)
class Waiter:
    """A request in the wait queue; times are loop times.

    Attributes:
        target_at: latest time at which its first event meets the target.
        wait_until: latest time until which it may wait for a slot.
    """

    target_at: float
    wait_until: float


@final
class WaitQueue:
    """The waiting requests and the recent rate of slot assignments."""

    def __init__(self) -> None:
        self.waiters: set[Waiter] = set()
        self.assigned_at: collections.deque[float] = collections.deque()
        self.nonempty_since: float | None = None

    def join(self, waiter: Waiter, now: float) -> None:
        """Adds a waiter."""
        if not self.waiters:
            self.nonempty_since = now
        self.waiters.add(waiter)

    def leave(self, waiter: Waiter) -> None:
        """Removes a waiter, whether it was served or not."""
        self.waiters.discard(waiter)
        if not self.waiters:
            self.nonempty_since = None

    def record_assignment(self, now: float) -> None:
        """Records that a slot was assigned."""
        self.assigned_at.append(now)

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

    def in_order(self, now: float, *, lead_time: float) -> list[Waiter]:
        """Returns the waiters in the order in which they are served.

        Args:
            now: loop time.
            lead_time: seconds from a slot's assignment to the first event.
        """
        return sorted(self.waiters, key=lambda w: _rank(w, now, lead_time))

    def will_time_out(
        self, waiter: Waiter, now: float, *, lead_time: float
    ) -> bool:
        """Returns whether a waiter cannot be served before it has to leave.

        The assignment rate is ignored until the queue has been non-empty for
        a full rate window.
        """
        if now >= waiter.wait_until:
            return True
        since = self.nonempty_since
        if since is None or now - since < RATE_WINDOW_SECONDS:
            return False
        rank = _rank(waiter, now, lead_time)
        ahead = sum(_rank(w, now, lead_time) < rank for w in self.waiters)
        starts_at = now + ahead / self.assignment_rate(now)
        if starts_at <= waiter.target_at - lead_time:
            return False
        # It will be late, so all waiters that can be on time overtake it.
        return (
            now + len(self.waiters) / self.assignment_rate(now)
            > waiter.wait_until
        )

    def retry_delay_seconds(self, now: float, jitter: float) -> float:
        """Returns the seconds after which a rejected request should retry.

        Args:
            now: loop time.
            jitter: random number between 0 and 1, drawn for each request.
        """
        seconds = (len(self.waiters) + 1) / self.assignment_rate(now)
        seconds *= 1 + RETRY_JITTER * jitter
        return min(MAX_RETRY_SECONDS, max(MIN_RETRY_SECONDS, seconds))


def _rank(waiter: Waiter, now: float, lead_time: float) -> tuple[bool, float]:
    late = now + lead_time + PREFILL_WAIT_SECONDS > waiter.target_at
    return late, waiter.wait_until if late else -waiter.target_at
