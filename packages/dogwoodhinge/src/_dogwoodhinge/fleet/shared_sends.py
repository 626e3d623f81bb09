"""The part of the budget of second sends that nodes ask the owner for.

Load pattern: many nodes with few requests each, and engines that fail some of
them. The own part of a node is spent by its first failures, while the parts of
the others lie idle.

Each request counts for the owner to which it was reported, and an owner gives
nothing of the fixed extra before a window has passed, so a change of owners
spends nothing twice.
"""

import collections
import datetime
from typing import final

# Parts of what the operator allows. The rest is left to the nodes, see
# `gateway.second_sends`, and a fifth to nobody: others count in windows that
# begin and end at other moments.
RATIO_SHARED = 0.3
EXTRA_SHARED = 0.3


@final
class SharedSends:
    """Counts reported requests and granted second sends of each service.

    Attributes:
        ratio: second sends allowed for each request.
        extra: second sends allowed beside, over all nodes, in a window.
        window: seconds.
        begun_at: loop time from which this node has led.
    """

    def __init__(
        self, *, ratio: float, extra: float, window: datetime.timedelta
    ) -> None:
        self.ratio = ratio
        self.extra = extra
        self.window = window.total_seconds()
        self.begun_at = 0.0
        self.requests: dict[str, collections.deque[tuple[float, int]]] = {}
        self.granted: dict[str, collections.deque[float]] = {}

    def restart(self, now: float) -> None:
        """Begins anew, as the owner from `now` on."""
        self.begun_at = now
        self.requests.clear()
        self.granted.clear()

    def note_requests(self, service: str, count: int, now: float) -> None:
        """Counts requests that a node has reported."""
        reported = self.requests.setdefault(service, collections.deque())
        while reported and reported[0][0] <= now - self.window:
            reported.popleft()
        reported.append((now, count))

    def take(self, service: str, now: float) -> bool:
        """Takes one second send from the shared part, if there is one."""
        begin = now - self.window
        granted = self.granted.setdefault(service, collections.deque())
        while granted and granted[0] <= begin:
            granted.popleft()
        reported = self.requests.get(service, ())
        requests = sum(count for at, count in reported if at > begin)
        allowed = self.ratio * RATIO_SHARED * requests
        if begin >= self.begun_at:
            allowed += self.extra * EXTRA_SHARED
        if len(granted) + 1 > allowed:
            return False
        granted.append(now)
        return True
