"""Compares how fast engines generate, from the streams of all nodes.

Load pattern: engines of one service differ in speed, and some turn slow for
seconds. On a slow one a prompt that is read beside the streams makes them pause
for longer than their callers accept, while others would not.

What counts is the time between the events of streams that have ended, lately.
It rises with the load of an engine too, which is all the better: the next
requests go elsewhere.
"""

from collections.abc import Iterable
import dataclasses
import math
import statistics
from typing import final

# Engines turn slow for some seconds; streams last about one.
HALF_LIFE_SECONDS = 2.0

# Fewer events say nothing: they come from two or three streams.
LEAST_EVENTS = 25.0

# Engines that are slower or faster than this against the others are taken for
# stalled or idle for a moment, which load and health tell sooner.
MOST_SLOWNESS = 3.0
LEAST_SLOWNESS = 0.7


@final
@dataclasses.dataclass(slots=True)
class Sum:
    """Events of one engine and the seconds between them, decayed to `at`."""

    events: float = 0.0
    seconds: float = 0.0
    at: float = -math.inf

    def decay(self, now: float) -> None:
        """Lets older events weigh less."""
        factor = 0.5 ** (max(0.0, now - self.at) / HALF_LIFE_SECONDS)
        self.events *= factor
        self.seconds *= factor
        self.at = now


@final
class Paces:
    """The paces of engines as all nodes have seen them."""

    def __init__(self) -> None:
        self.sums: dict[str, Sum] = {}

    def note(
        self, engine_id: str, events: int, seconds: float, now: float
    ) -> None:
        """Notes what streams of an engine have shown.

        Args:
            engine_id: the engine.
            events: that followed another one.
            seconds: between them, summed up.
            now: loop time.
        """
        found = self.sums.setdefault(engine_id, Sum())
        found.decay(now)
        found.events += events
        found.seconds += seconds

    def forget(self, engine_id: str) -> None:
        """Forgets an engine that is gone."""
        self.sums.pop(engine_id, None)

    def slowness(
        self, engine_ids: Iterable[str], now: float
    ) -> dict[str, float]:
        """Returns how slow engines of one service are; 1 is usual.

        Engines of which nothing is known are left out.
        """
        paces = {}
        for engine_id in engine_ids:
            found = self.sums.get(engine_id)
            if found is None:
                continue
            found.decay(now)
            if found.events >= LEAST_EVENTS:
                paces[engine_id] = found.seconds / found.events
        if not paces:
            return {}
        usual = statistics.median_low(paces.values())
        if usual <= 0:
            return {}
        return {
            engine_id: min(MOST_SLOWNESS, max(LEAST_SLOWNESS, pace / usual))
            for engine_id, pace in paces.items()
        }
