"""Learns how long loads of adapters from the weight store take.

Load pattern: a load takes a fixed time while few are on their way, and longer
in proportion beyond; crowds pass within seconds. Nobody tells when a load has
ended: what is known comes from requests that were refused as too early.

The estimate rises to what an early request has shown and falls slowly, to
find its way back after a crowd. It does not fall below what several requests
have shown lately with no more loads on their way than now: else it would fall
until a request is refused, again and again.
"""

import dataclasses
import heapq
from typing import final

# First guess of a load from the weight store; learnt from then on.
FIRST_LOAD_SECONDS = 0.26

# A load from an engine's host memory takes a tenth of one from the store.
MEMORY_LOAD_FACTOR = 0.12

# The estimate falls by this factor with each load, once so many loads in a row
# were not shown to take longer: after a crowd has passed it is true again
# within some hundred loads.
LOAD_DECAY = 0.98
LOADS_BEFORE_DECAY = 30
MIN_LOAD_SECONDS = 0.1

# One load shows no more than this factor: it may never have been carried out.
# If loads really take longer, the next ones show the rest.
MAX_RISE_FACTOR = 1.3

# What was shown holds for this time, once so many have shown it: single loads
# that were never carried out show too much.
SHOWN_FOR_SECONDS = 20.0
SHOWN_BY = 3

# The end of a load lies behind the latest request that came too early.
EARLY_MARGIN_SECONDS = 0.015

MAX_SHOWN = 200


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Shown:
    """A load that took longer than `seconds`.

    Attributes:
        at: loop time.
        on_way: the most loads that were on their way beside it.
    """

    at: float
    seconds: float
    on_way: int


@final
class LoadTimes:
    """The estimate of the next load's time.

    Attributes:
        seconds: estimate of a load, without what was shown lately.
    """

    def __init__(self) -> None:
        self.seconds = FIRST_LOAD_SECONDS
        self.loads_since_early = 0
        # By the time of the order: a load shows one thing, however many
        # requests it keeps waiting. The oldest word comes first.
        self.shown: dict[float, Shown] = {}
        self.ends: list[float] = []

    def on_way(self, now: float) -> int:
        """Returns how many loads are expected to be on their way."""
        while self.ends and self.ends[0] <= now:
            heapq.heappop(self.ends)
        return len(self.ends)

    def expected(self, now: float, *, from_store: bool = True) -> float:
        """Returns the seconds that a load would take that is ordered now."""
        seconds = max(self.seconds, self._least(now))
        return seconds if from_store else seconds * MEMORY_LOAD_FACTOR

    def note_ordered(self, now: float) -> None:
        """Notes that a load from the store was ordered."""
        heapq.heappush(self.ends, now + self.expected(now))
        self.loads_since_early += 1
        if self.loads_since_early > LOADS_BEFORE_DECAY:
            shorter = self.seconds * LOAD_DECAY
            self.seconds = max(MIN_LOAD_SECONDS, shorter)

    def note_early(
        self, ordered_at: float, *, expected: float, on_way: int, now: float
    ) -> None:
        """Notes that a load had not ended after some time.

        Args:
            ordered_at: loop time of its order.
            expected: what had been expected of it.
            on_way: loads on their way at its order.
            now: loop time.
        """
        elapsed = now - ordered_at
        shown = min(elapsed + EARLY_MARGIN_SECONDS, MAX_RISE_FACTOR * expected)
        self.seconds = max(self.seconds, shown)
        self.loads_since_early = 0
        self.shown.pop(ordered_at, None)
        # Those ordered after it have slowed it down as well.
        most_on_way = max(on_way, self.on_way(now))
        self.shown[ordered_at] = Shown(now, shown, most_on_way)

    def _least(self, now: float) -> float:
        """Returns what several loads have shown that were no more crowded."""
        while self.shown:
            ordered_at, oldest = next(iter(self.shown.items()))
            recent = now - oldest.at <= SHOWN_FOR_SECONDS
            if recent and len(self.shown) <= MAX_SHOWN:
                break
            del self.shown[ordered_at]
        on_way = self.on_way(now)
        seconds = heapq.nlargest(
            SHOWN_BY,
            (s.seconds for s in self.shown.values() if s.on_way <= on_way),
        )
        return seconds[-1] if len(seconds) == SHOWN_BY else 0.0
