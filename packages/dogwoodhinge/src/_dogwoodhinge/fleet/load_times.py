"""Estimates how long loads of adapters from the weight store take.

Load pattern: a load takes a fixed time while few loads are in flight, and
proportionally longer above that; bursts of loads pass within seconds. Engines
do not report the end of a load: the only evidence is requests that an engine
refused because the adapter was not ready yet.

Each such early request gives a lower bound on the duration. The estimate rises
to that bound at once. It does not fall below what several early requests have
shown recently with no more loads in flight than now.

It falls by probes: a few loads are expected to end a little sooner than the
others, and if none of their requests is early, so are all later ones. Many more
loads are ordered than probes before the outcome is known, so only the probes
can be early.
"""

import collections
import dataclasses
import heapq
from typing import final

# Initial estimate for a load from the weight store.
INITIAL_LOAD_SECONDS = 0.26

# A load from an engine's host memory takes about a tenth of the time of a load
# from the store.
MEMORY_LOAD_FACTOR = 0.12

# One in this many loads is a probe; in the longest interval after probes whose
# requests were early.
LOADS_PER_PROBE = 10
MAX_LOADS_PER_PROBE = 160

# By which part of the estimate the first probe is shorter; twice as much after
# each probe that ended in time, so that the estimate recovers from a burst
# within some seconds.
PROBE_STEP = 0.05
MAX_PROBE_STEP = 0.2

# The request of a probe is sent after this multiple of its expected duration.
PROBE_MARGIN_FACTOR = 1.3

# Time after the expected end of a probe by which an early request is known: it
# is sent, refused and reported to the leader.
PROBE_OUTCOME_DELAY_SECONDS = 0.1

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
@dataclasses.dataclass(frozen=True, slots=True)
class Probe:
    """A load that was expected to end sooner than others.

    Attributes:
        ordered_at: loop time of its order.
        seconds: its expected duration.
        known_at: loop time at which its outcome is known.
    """

    ordered_at: float
    seconds: float
    known_at: float


@final
class LoadTimes:
    """The estimate of the duration of the next load.

    Attributes:
        seconds: estimated duration, without the recent lower bounds.
        probes: probes whose outcome is not known yet, oldest first.
        loads_per_probe: current interval between probes, in loads.
        loads_since_probe: loads ordered since the last probe.
        probe_step: by which part of the estimate the next probe is shorter.
        lower_bounds: recent lower bounds by the loop time of the order.
        expected_ends: heap of the expected end times of the loads in flight.
    """

    def __init__(self) -> None:
        self.seconds = INITIAL_LOAD_SECONDS
        self.probes: collections.deque[Probe] = collections.deque()
        self.loads_per_probe = LOADS_PER_PROBE
        self.loads_since_probe = 0
        self.probe_step = PROBE_STEP
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

    def record_order(self, now: float) -> float:
        """Records that a load from the store was ordered.

        Returns:
            The seconds that it is expected to take, less for a probe.
        """
        self._end_probes(now)
        expected = self.expected(now)
        self.loads_since_probe += 1
        probed = self.seconds * (1 - self.probe_step)
        if self.loads_since_probe >= self.loads_per_probe and probed >= max(
            MIN_LOAD_SECONDS, self._lower_bound(now)
        ):
            self.loads_since_probe = 0
            expected = probed
            known_at = (
                now
                + expected * PROBE_MARGIN_FACTOR
                + PROBE_OUTCOME_DELAY_SECONDS
            )
            self.probes.append(Probe(now, expected, known_at))
        heapq.heappush(self.expected_ends, now + expected)
        return expected

    def _end_probes(self, now: float) -> None:
        """Lowers the estimate to that of probes that have ended in time."""
        while self.probes and self.probes[0].known_at <= now:
            probe = self.probes.popleft()
            self.seconds = min(self.seconds, probe.seconds)
            self.loads_per_probe = LOADS_PER_PROBE
            self.probe_step = min(MAX_PROBE_STEP, 2 * self.probe_step)

    def _fail_probe(self, ordered_at: float) -> bool:
        """Ends a probe whose request was early; returns whether it was one."""
        for probe in self.probes:
            if probe.ordered_at == ordered_at:
                self.probes.remove(probe)
                self.probe_step = PROBE_STEP
                self.loads_per_probe = min(
                    MAX_LOADS_PER_PROBE, 2 * self.loads_per_probe
                )
                return True
        return False

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
        if self._fail_probe(ordered_at):
            return
        elapsed = now - ordered_at
        bound = min(elapsed + EARLY_MARGIN_SECONDS, MAX_RISE_FACTOR * expected)
        self.seconds = max(self.seconds, bound)
        # Loads take longer now than when these probes were ordered.
        self.probes.clear()
        self.probe_step = PROBE_STEP
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
