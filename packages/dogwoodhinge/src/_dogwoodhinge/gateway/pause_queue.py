"""Requests that wait while all engines of their service want a pause.

Load pattern: every engine of a service rejects requests for some seconds, while
callers go on sending at the same rate. Requests that can still be answered in
time wait, in order of arrival, and are sent as the engines open again; the
others are rejected at once with the time until there is room, which costs their
callers less than a wait in vain.
"""

import asyncio
import collections
from collections.abc import Callable
import datetime
import math
from typing import final

from _dogwoodhinge.fleet import pause as pause_lib
from _dogwoodhinge.gateway import errors

ENGINES_PAUSED = "engines_paused"

# A node serves some tens of requests per second, so this many are those of a
# few seconds. More would wait longer than their callers do.
MAX_WAITERS = 128

# Fraction of a request's timeout that it may wait. With half of its time left,
# a request is still answered in time by an engine that is busy.
MAX_WAIT_FRACTION = 0.5

# Requests that wait for the same engine wake up this long after one another, in
# the order of their arrival.
WAKE_INTERVAL_SECONDS = 0.0005


def start_delay_seconds(opens_in: float, ahead: int) -> float:
    """Returns the seconds until a request can be sent.

    Args:
        opens_in: seconds until the first engine opens.
        ahead: requests that wait before it.
    """
    doublings = math.log2(ahead + 1)
    wait = doublings * pause_lib.RETURN_DOUBLING_SECONDS
    return max(0.0, opens_in) + wait


def may_wait(opens_in: float, ahead: int, time_left: float) -> bool:
    """Returns whether a request can be sent before it would be too late.

    Args:
        opens_in: seconds until the first engine opens.
        ahead: requests that wait before it.
        time_left: seconds for which the request may wait.
    """
    return ahead < MAX_WAITERS and (
        start_delay_seconds(opens_in, ahead) <= time_left
    )


@final
class PauseQueue:
    """The waiting requests of each service, in order of arrival.

    Attributes:
        waiting: number of waiting requests, by service.
    """

    def __init__(self) -> None:
        self.waiting: collections.Counter[str] = collections.Counter()

    async def wait(
        self,
        service: str,
        *,
        opens_at: Callable[[float], float],
        wait_until: float,
    ) -> None:
        """Waits until an engine may get the request, after those before it.

        Args:
            service: the service of the request's route.
            opens_at: returns the loop time at which the first of its engines
                opens; infinite if none will.
            wait_until: loop time until which the request may wait.

        Raises:
            RequestRejectedError: the request can't be sent in time.
        """
        loop = asyncio.get_running_loop()
        now = loop.time()
        ahead = self.waiting[service]
        if not may_wait(opens_at(now) - now, ahead, wait_until - now):
            raise self._rejection(service, opens_at)
        stagger = ahead * WAKE_INTERVAL_SECONDS
        self.waiting[service] += 1
        try:
            # Without any engine left, the caller of this rejects the request.
            while now < (at := opens_at(now)) < math.inf:
                if now >= wait_until:
                    raise self._rejection(service, opens_at)
                await asyncio.sleep(min(at + stagger, wait_until) - now)
                now = loop.time()
        finally:
            self.waiting[service] -= 1

    def _rejection(
        self, service: str, opens_at: Callable[[float], float]
    ) -> errors.RequestRejectedError:
        now = asyncio.get_running_loop().time()
        wait = start_delay_seconds(opens_at(now) - now, self.waiting[service])
        limit = pause_lib.MAX_PAUSE.total_seconds()
        return errors.RequestRejectedError(
            ENGINES_PAUSED,
            retry_after=datetime.timedelta(seconds=min(wait, limit)),
            final=True,
        )
