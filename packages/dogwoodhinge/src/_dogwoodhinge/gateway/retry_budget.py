"""The retry budget of a node.

Load pattern: an engine fails a large part of its requests at peak load. If each
failure were retried, the load on the remaining engines would double.

A node doesn't know the retries of other nodes, so it has a local budget: a
ratio of the requests that it received itself and an equal part of the fixed
extra. Until it knows the number of nodes, it has no part of the extra. Once the
local budget is spent, the node asks the leader for a retry from the budget that
all nodes share, see `fleet.shared_retry_budget`.
"""

import collections
from collections.abc import Awaitable, Callable
import datetime
from typing import final

# Fractions of the ratio and of the fixed extra that nodes spend without asking
# the leader. With the shared budget, a fifth remains unused: the windows in
# which the platform counts start at other times, and nodes that joined recently
# may not be counted yet.
LOCAL_RATIO_FRACTION = 0.5
LOCAL_EXTRA_FRACTION = 0.5


@final
class RetryBudget:
    """Counts requests and retries of each service in a sliding window.

    Attributes:
        ratio: retries allowed for each request.
        extra: additional retries allowed per window, over all nodes.
        window: length of the window in seconds.
        nodes: returns the number of nodes that share the extra, 0 if unknown.
        request_shared_retry: requests a retry of a service from the shared
            budget.
        unreported: by service, requests not yet reported to the leader.
        reserved: by service, retries that requests in progress may still take.
    """

    def __init__(
        self,
        *,
        ratio: float,
        extra: float,
        window: datetime.timedelta,
        nodes: Callable[[], int],
        request_shared_retry: Callable[[str], Awaitable[bool]],
    ) -> None:
        self.ratio = ratio
        self.extra = extra
        self.window = window.total_seconds()
        self.nodes = nodes
        self.request_shared_retry = request_shared_retry
        self.unreported: dict[str, int] = {}
        self.max_nodes = 0
        self.max_nodes_at = 0.0
        self.requests: dict[str, collections.deque[float]] = {}
        self.retries: dict[str, collections.deque[float]] = {}
        self.reserved: collections.Counter[str] = collections.Counter()

    def record_request(self, service: str, now: float) -> None:
        """Counts a caller's request."""
        self._recent(self.requests, service, now).append(now)
        self.unreported[service] = self.unreported.get(service, 0) + 1

    def left(self, service: str, now: float) -> float:
        """Returns the retries left in the local budget."""
        requests = len(self._recent(self.requests, service, now))
        retried = len(self._recent(self.retries, service, now))
        allowed = self.ratio * LOCAL_RATIO_FRACTION * requests
        if nodes := self._sharing_nodes(now):
            allowed += self.extra * LOCAL_EXTRA_FRACTION / nodes
        return allowed - retried - self.reserved[service]

    def _sharing_nodes(self, now: float) -> int:
        """Returns the highest number of nodes known within a window.

        Nodes that lost their connection are no longer counted, but still use
        their part of the budget.
        """
        nodes = self.nodes()
        if nodes >= self.max_nodes or now > self.max_nodes_at + self.window:
            self.max_nodes = nodes
            self.max_nodes_at = now
        return self.max_nodes

    async def take(self, service: str, now: float) -> bool:
        """Takes one retry from the local or the shared budget, if any."""
        return self.take_local(service, now) or (
            await self.request_shared_retry(service)
        )

    def take_local(self, service: str, now: float, *, reserve: int = 0) -> bool:
        """Takes one retry from the local budget, if any.

        Args:
            service: the service of the request.
            now: loop time.
            reserve: number of retries to reserve as well. Each of them has to
                be taken with `take_reserved` or released with `release`.

        Returns:
            Whether the retries were taken and reserved, all of them.
        """
        if self.left(service, now) < 1 + reserve:
            return False
        self._recent(self.retries, service, now).append(now)
        self.reserved[service] += reserve
        return True

    def take_reserved(self, service: str, now: float) -> None:
        """Takes a retry that was reserved."""
        self.release(service)
        self._recent(self.retries, service, now).append(now)

    def release(self, service: str) -> None:
        """Returns a reserved retry to the local budget."""
        self.reserved[service] -= 1

    def _recent(
        self,
        times: dict[str, collections.deque[float]],
        service: str,
        now: float,
    ) -> collections.deque[float]:
        recent = times.setdefault(service, collections.deque())
        while recent and recent[0] <= now - self.window:
            recent.popleft()
        return recent
