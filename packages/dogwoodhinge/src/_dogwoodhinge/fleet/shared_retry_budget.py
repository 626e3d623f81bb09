"""The share of the retry budget that the leader grants to nodes on request.

Load pattern: many nodes with few requests each, and engines that fail some of
them. A node's own share is spent by its first failures while the shares of the
other nodes are unused.

Each request counts at the leader to which it was reported, and a leader grants
nothing of the fixed extra until a window has passed, so a change of leader
spends no part of the budget twice.
"""

import collections
import datetime
from typing import final

# Fractions of the operator's limits that the leader grants. The nodes use the
# rest (see `gateway.retry_budget`), except for a fifth that stays unused,
# because others count in windows that start and end at different times.
SHARED_RATIO_FRACTION = 0.3
SHARED_EXTRA_FRACTION = 0.3


@final
class SharedRetryBudget:
    """Counts reported requests and granted retries of each service.

    Attributes:
        ratio: retries allowed per request.
        extra: additional retries allowed per window, over all nodes.
        window: length of the window in seconds.
        leading_since: loop time at which this node became the leader.
    """

    def __init__(
        self, *, ratio: float, extra: float, window: datetime.timedelta
    ) -> None:
        self.ratio = ratio
        self.extra = extra
        self.window = window.total_seconds()
        self.leading_since = 0.0
        self.requests: dict[str, collections.deque[tuple[float, int]]] = {}
        self.granted: dict[str, collections.deque[float]] = {}

    def restart(self, now: float) -> None:
        """Resets all counts; this node is the leader from `now` on."""
        self.leading_since = now
        self.requests.clear()
        self.granted.clear()

    def note_requests(self, service: str, count: int, now: float) -> None:
        """Counts requests that a node reported."""
        reported = self.requests.setdefault(service, collections.deque())
        while reported and reported[0][0] <= now - self.window:
            reported.popleft()
        reported.append((now, count))

    def take(self, service: str, now: float) -> bool:
        """Takes one retry from the shared budget, if one is left."""
        begin = now - self.window
        granted = self.granted.setdefault(service, collections.deque())
        while granted and granted[0] <= begin:
            granted.popleft()
        reported = self.requests.get(service, ())
        requests = sum(count for at, count in reported if at > begin)
        allowed = self.ratio * SHARED_RATIO_FRACTION * requests
        if begin >= self.leading_since:
            allowed += self.extra * SHARED_EXTRA_FRACTION
        if len(granted) + 1 > allowed:
            return False
        granted.append(now)
        return True
