"""Hints about engines that an entry node takes from replies.

Hints may be outdated: they expire or decay, and nothing else refreshes them.
"""

import dataclasses
import datetime
from typing import final

from dogwoodhinge import models

MAX_ADAPTER_HINTS = 4_000
WAIT_HALF_LIFE = datetime.timedelta(seconds=1)
WAIT_SMOOTHING = 0.3


@final
@dataclasses.dataclass(frozen=True, slots=True)
class CandidatesHint:
    """Number of candidates that an engine owner requested, with its expiry."""

    candidates: int
    until: float


@final
class Hints:
    """Hints that expire or decay, with a limit on their number.

    Attributes:
        adapters: hints for popular adapters, the newest last.
        waits: waiting time in seconds and time of the update, by engine.
    """

    def __init__(self) -> None:
        self.adapters: dict[models.AdapterVersion, CandidatesHint] = {}
        self.waits: dict[str, tuple[float, float]] = {}

    def record_candidates(
        self, adapter: models.AdapterVersion, count: int, until: float
    ) -> None:
        """Stores the number of candidates that an engine owner requested."""
        self.adapters.pop(adapter, None)
        self.adapters[adapter] = CandidatesHint(count, until)
        while len(self.adapters) > MAX_ADAPTER_HINTS:
            del self.adapters[next(iter(self.adapters))]

    def record_wait(self, engine_id: str, seconds: float, now: float) -> None:
        """Updates the average wait at an engine with that of one request."""
        known = self.wait(engine_id, now)
        smoothed = known + WAIT_SMOOTHING * (seconds - known)
        self.waits[engine_id] = (smoothed, now)

    def record_busy(self, engine_id: str, seconds: float, now: float) -> None:
        """Raises the wait at an engine to the one that its owner reported."""
        self.waits[engine_id] = (max(self.wait(engine_id, now), seconds), now)

    def wait(self, engine_id: str, now: float) -> float:
        """Returns the wait at an engine in seconds, decayed until `now`."""
        seconds, at = self.waits.get(engine_id, (0.0, now))
        half_lives = (now - at) / WAIT_HALF_LIFE.total_seconds()
        return seconds * 0.5**half_lives

    def candidates(self, adapter: models.AdapterVersion, now: float) -> int:
        """Returns the requested number of candidates; 0 without a hint."""
        hint = self.adapters.get(adapter)
        if hint is None or now >= hint.until:
            return 0
        return hint.candidates
