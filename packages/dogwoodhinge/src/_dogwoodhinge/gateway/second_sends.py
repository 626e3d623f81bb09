"""The budget for sends beyond the first, shared by all nodes.

Load pattern: an engine fails a large part of its requests while callers press;
each failure sent again would double the load on the engines that are left.

A node can't see what the others send, so it keeps to its own part: a share of
the requests that it received itself, and an equal part of the fixed extra.
Until it knows how many nodes there are, it has no part of the extra. When its
part is spent it asks the owner for one of the sends that all nodes share, see
`fleet.shared_sends`.
"""

import collections
from collections.abc import Awaitable, Callable
import datetime
from typing import final

# Parts of the ratio and of the fixed extra that nodes spend without asking.
# Together with what they share, a fifth is left: the platform counts in windows
# that begin and end at other moments, and nodes may have joined a moment ago.
RATIO_USED = 0.5
EXTRA_USED = 0.5


@final
class SecondSends:
    """Counts requests and second sends of each service in a sliding window.

    Attributes:
        ratio: second sends allowed for each request.
        extra: second sends allowed beside, over all nodes, in a window.
        nodes: tells how many nodes share the extra; 0 when unknown.
        ask: asks for a second send of a service that all nodes share.
        unreported: by service, requests that the owner has not been told of.
    """

    def __init__(
        self,
        *,
        ratio: float,
        extra: float,
        window: datetime.timedelta,
        nodes: Callable[[], int],
        ask: Callable[[str], Awaitable[bool]],
    ) -> None:
        self.ratio = ratio
        self.extra = extra
        self.window = window.total_seconds()
        self.nodes = nodes
        self.ask = ask
        self.unreported: dict[str, int] = {}
        self.most_nodes = 0
        self.most_nodes_at = 0.0
        self.requests: dict[str, collections.deque[float]] = {}
        self.sends: dict[str, collections.deque[float]] = {}

    def note_request(self, service: str, now: float) -> None:
        """Counts a caller's request."""
        self._recent(self.requests, service, now).append(now)
        self.unreported[service] = self.unreported.get(service, 0) + 1

    def left(self, service: str, now: float) -> float:
        """Returns the second sends that this node may make without asking."""
        requests = len(self._recent(self.requests, service, now))
        sent = len(self._recent(self.sends, service, now))
        allowed = self.ratio * RATIO_USED * requests
        if nodes := self._sharing(now):
            allowed += self.extra * EXTRA_USED / nodes
        return allowed - sent

    def _sharing(self, now: float) -> int:
        """Returns the most nodes known within a window.

        Nodes that are cut off are counted no longer, but go on spending.
        """
        nodes = self.nodes()
        if nodes >= self.most_nodes or now > self.most_nodes_at + self.window:
            self.most_nodes = nodes
            self.most_nodes_at = now
        return self.most_nodes

    async def take(self, service: str, now: float) -> bool:
        """Takes one second send from the budget, if there is one."""
        if self.left(service, now) < 1.0:
            return await self.ask(service)
        self._recent(self.sends, service, now).append(now)
        return True

    def _recent(
        self,
        times: dict[str, collections.deque[float]],
        service: str,
        now: float,
    ) -> collections.deque[float]:
        found = times.setdefault(service, collections.deque())
        while found and found[0] <= now - self.window:
            found.popleft()
        return found
