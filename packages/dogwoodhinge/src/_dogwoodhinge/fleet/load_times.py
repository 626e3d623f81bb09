"""Estimates how long loads of adapters from the weight store take.

Load pattern: a load takes a fixed time while few loads are in flight, and
proportionally longer above that; bursts of loads pass within seconds. Engines
do not report the end of a load: the only evidence is requests that an engine
refused because the adapter was not ready yet.

Each such early request gives a lower bound on the duration. The estimate rises
to that bound at once and decays slowly, so that it recovers after a burst. It
does not fall below what several early requests have shown recently with no more
loads in flight than now; otherwise it would repeatedly decay until a request is
refused.
"""

import dataclasses
import heapq
from typing import final

# Initial estimate for a load from the weight store.
INITIAL_LOAD_SECONDS = 0.26

# A load from an engine's host memory takes about a tenth of the time of a load
# from the store.
MEMORY_LOAD_FACTOR = 0.12

# The estimate decays by this factor with each load, after LOADS_BEFORE_DECAY
# loads without an early request: it recovers from a burst within about a
# hundred loads.
LOAD_DECAY = 0.98
LOADS_BEFORE_DECAY = 30
MIN_LOAD_SECONDS = 0.1

# Limits by how much a single load can raise the estimate, because the engine
# may never have executed it. If loads do take longer, later ones raise it
# further.
MAX_RISE_FACTOR = 1.3

# A lower bound applies for this time, and only if this many loads confirm it:
# single loads that were never executed would give too high a bound.
LOWER_BOUND_LIFETIME_SECONDS = 20.0
LOADS_TO_CONFIRM = 3

# A load ends some time after the last request that was refused as too early.
EARLY_MARGIN_SECONDS = 0.015

MAX_LOWER_BOUNDS = 200


@final
@dataclasses.dataclass(frozen=True, slots=True)
class LowerBound:
    """A load that was observed to take longer than a time.

    Attributes:
        at: loop time of the observation.
        seconds: lower bound on the duration of the load.
        in_flight: highest number of other loads in flight at the same time.
    """

    at: float
    seconds: float
    in_flight: int


@final
class LoadTimes:
    """The estimate of the duration of the next load.

    Attributes:
        seconds: estimated duration, without the recent lower bounds.
        loads_since_early_request: loads ordered since the last early request.
        lower_bounds: recent lower bounds by the loop time of the order.
        expected_ends: heap of the expected end times of the loads in flight.
    """

    def __init__(self) -> None:
        self.seconds = INITIAL_LOAD_SECONDS
        self.loads_since_early_request = 0
        # Keyed by the order time, so that a load counts once however many
        # requests arrive early. The oldest observation comes first.
        self.lower_bounds: dict[float, LowerBound] = {}
        self.expected_ends: list[float] = []

    def in_flight(self, now: float) -> int:
        """Returns the number of loads expected to be in flight."""
        while self.expected_ends and self.expected_ends[0] <= now:
            heapq.heappop(self.expected_ends)
        return len(self.expected_ends)

    def expected(self, now: float, *, from_store: bool = True) -> float:
        """Returns the estimated seconds that a load ordered now would take."""
        seconds = max(self.seconds, self._lower_bound(now))
        return seconds if from_store else seconds * MEMORY_LOAD_FACTOR

    def record_order(self, now: float) -> None:
        """Records that a load from the store was ordered."""
        heapq.heappush(self.expected_ends, now + self.expected(now))
        self.loads_since_early_request += 1
        if self.loads_since_early_request > LOADS_BEFORE_DECAY:
            decayed = self.seconds * LOAD_DECAY
            self.seconds = max(MIN_LOAD_SECONDS, decayed)

    def record_early_request(
        self, ordered_at: float, *, expected: float, in_flight: int, now: float
    ) -> None:
        """Records that a load was still in flight when a request arrived.

        Args:
            ordered_at: loop time at which the load was ordered.
            expected: estimated duration of the load at that time.
            in_flight: number of loads in flight at that time.
            now: loop time.
        """
        elapsed = now - ordered_at
        bound = min(elapsed + EARLY_MARGIN_SECONDS, MAX_RISE_FACTOR * expected)
        self.seconds = max(self.seconds, bound)
        self.loads_since_early_request = 0
        self.lower_bounds.pop(ordered_at, None)
        # Loads ordered later slow this one down as well.
        most_in_flight = max(in_flight, self.in_flight(now))
        self.lower_bounds[ordered_at] = LowerBound(now, bound, most_in_flight)

    def _lower_bound(self, now: float) -> float:
        """Returns the bound confirmed with no more loads in flight than now."""
        while self.lower_bounds:
            ordered_at, oldest = next(iter(self.lower_bounds.items()))
            recent = now - oldest.at <= LOWER_BOUND_LIFETIME_SECONDS
            if recent and len(self.lower_bounds) <= MAX_LOWER_BOUNDS:
                break
            del self.lower_bounds[ordered_at]
        in_flight = self.in_flight(now)
        seconds = heapq.nlargest(
            LOADS_TO_CONFIRM,
            (
                b.seconds
                for b in self.lower_bounds.values()
                if b.in_flight <= in_flight
            ),
        )
        return seconds[-1] if len(seconds) == LOADS_TO_CONFIRM else 0.0
