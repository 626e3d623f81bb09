"""Orders the requests that wait for a place, and turns away the hopeless.

Load pattern: the crest while engines are down. Places are asked for faster
than they become free, and whoever asks again and again may be served last.

First come those whose first event can still be on time, the one with the most
time left first: at a crest nobody would be on time if each got its place at the
last moment. Then come the late ones, by how long they may go on waiting. Who
can't be served in time by the pace at which places were given lately is told so
at once, with the time at which the line will be worked off.
"""

import collections
import dataclasses
from typing import final

# Places become free some tens of times a second at the crest; a second shows
# the pace within some percent and follows engines that come and go.
PACE_WINDOW_SECONDS = 1.0

# Pace that is reckoned with when no place was given lately: one engine that
# serves requests of some seconds, one after another, frees several a second.
LEAST_PACE = 4.0

# Beside the load and the reading of a short prompt, a prompt waits behind
# others: most wait less than this at the crest.
QUEUE_SECONDS = 0.05

# A whole request takes about a second at the crest, so a place that is free
# sooner is of use to those only who come back soon.
MIN_RETRY_SECONDS = 0.1
MAX_RETRY_SECONDS = 2.0

# Those turned away together come back spread over this part more.
RETRY_SPREAD = 0.5


@final
@dataclasses.dataclass(eq=False, slots=True)
class Waiter:
    """A request that waits; times are loop times.

    Attributes:
        target_at: until then its first event is on time.
        leave_at: until then it may wait for a place.
    """

    target_at: float
    leave_at: float


@final
class WaitingLine:
    """Who waits, and how fast places are given."""

    def __init__(self) -> None:
        self.waiters: set[Waiter] = set()
        self.given: collections.deque[float] = collections.deque()
        self.waited_since: float | None = None

    def join(self, waiter: Waiter, now: float) -> None:
        """Takes a waiter in."""
        if not self.waiters:
            self.waited_since = now
        self.waiters.add(waiter)

    def leave(self, waiter: Waiter) -> None:
        """Lets a waiter go, served or not."""
        self.waiters.discard(waiter)
        if not self.waiters:
            self.waited_since = None

    def note_given(self, now: float) -> None:
        """Notes that a place was given."""
        self.given.append(now)

    def pace(self, now: float) -> float:
        """Returns how many places a second were given lately."""
        while self.given and now - self.given[0] > PACE_WINDOW_SECONDS:
            self.given.popleft()
        return max(LEAST_PACE, len(self.given) / PACE_WINDOW_SECONDS)

    def in_order(self, now: float, *, lead: float) -> list[Waiter]:
        """Returns the waiters, the next one first.

        Args:
            now: loop time.
            lead: seconds from a place until the first event.
        """
        return sorted(self.waiters, key=lambda w: _rank(w, now, lead))

    def is_hopeless(self, waiter: Waiter, now: float, *, lead: float) -> bool:
        """Tells whether a waiter won't be served while it may wait.

        The pace says nothing before the line has stood for a while.
        """
        if now >= waiter.leave_at:
            return True
        since = self.waited_since
        if since is None or now - since < PACE_WINDOW_SECONDS:
            return False
        rank = _rank(waiter, now, lead)
        ahead = sum(_rank(w, now, lead) < rank for w in self.waiters)
        begins_at = now + ahead / self.pace(now)
        if begins_at <= waiter.target_at - lead:
            return False
        # It falls behind everybody who can still be on time.
        return now + len(self.waiters) / self.pace(now) > waiter.leave_at

    def retry_seconds(self, now: float, draw: float) -> float:
        """Returns when to come back.

        Args:
            now: loop time.
            draw: a random number from 0 to 1 for each asker.
        """
        seconds = (len(self.waiters) + 1) / self.pace(now)
        seconds *= 1 + RETRY_SPREAD * draw
        return min(MAX_RETRY_SECONDS, max(MIN_RETRY_SECONDS, seconds))


def _rank(waiter: Waiter, now: float, lead: float) -> tuple[bool, float]:
    late = now + lead + QUEUE_SECONDS > waiter.target_at
    return late, waiter.leave_at if late else -waiter.target_at
