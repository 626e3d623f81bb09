"""The pause that an engine asks for, and the gentle return after it.

Load pattern: engines that reject requests under load and name a time for which
they want none. When that time is over, requests have piled up; sent all at
once, they would overload the engine again.

During a pause nothing is sent. After it the requests that may run at once on
the engine start at one and double at short intervals, until the limit is
lifted.
"""

import datetime
import math
from typing import final

# A longer pause is cut to this: a mistaken value must not stop an engine for
# good. The engine can ask again when the next request reaches it.
MAX_PAUSE = datetime.timedelta(seconds=60)

# An engine answers short requests within some tens of milliseconds, so it can
# ask for another pause before the limit has doubled more than once or twice.
RETURN_DOUBLING_SECONDS = 0.1
RETURN_SECONDS = 1.0


@final
class Pause:
    """The latest pause of one engine.

    Attributes:
        until: loop time at which it ends; in the past if there is none.
    """

    def __init__(self) -> None:
        self.until = -math.inf

    def extend(self, duration: datetime.timedelta, now: float) -> None:
        """Begins a pause, or extends it if the new one ends later."""
        wait = min(duration, MAX_PAUSE).total_seconds()
        self.until = max(self.until, now + wait)

    def is_active(self, now: float) -> bool:
        """Returns whether nothing may be sent to the engine."""
        return now < self.until

    def opens_at(self, running: int, now: float) -> float:
        """Returns the loop time from which one more request may be sent.

        Args:
            running: requests that this node runs on the engine.
            now: loop time.
        """
        if now >= self.until + RETURN_SECONDS:
            return now
        doublings = running.bit_length()  # the limit is then above `running`
        wait = min(doublings * RETURN_DOUBLING_SECONDS, RETURN_SECONDS)
        return max(now, self.until + wait)
