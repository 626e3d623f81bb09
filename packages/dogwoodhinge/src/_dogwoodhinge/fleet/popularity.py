"""Estimates how often each adapter is requested."""

from collections.abc import Mapping
import datetime
from typing import final

from _dogwoodhinge.fleet import models

# Demand shifts to other adapters within seconds; uses older than a few
# half-lives hardly count.
HALF_LIFE = datetime.timedelta(seconds=4)

# Bounds the memory use; above it, the least popular half is dropped.
MAX_ADAPTERS = 20_000


@final
class Popularity:
    """Exponentially decaying use counts by adapter."""

    def __init__(self) -> None:
        self.scores: dict[models.AdapterKey, tuple[float, float]] = {}

    def record_uses(
        self, key: models.AdapterKey, uses: float, now: float
    ) -> None:
        """Adds uses at monotonic time `now`, in seconds."""
        self.scores[key] = (self.score(key, now) + uses, now)
        if len(self.scores) > MAX_ADAPTERS:
            self._prune(now)

    def score(self, key: models.AdapterKey, now: float) -> float:
        """Returns the decayed count of an adapter."""
        found = self.scores.get(key)
        if found is None:
            return 0.0
        score, updated_at = found
        age = max(0.0, now - updated_at)
        return score * 0.5 ** (age / HALF_LIFE.total_seconds())

    def counts(self, now: float) -> Mapping[models.AdapterKey, float]:
        """Returns the decayed counts of all adapters."""
        return {key: self.score(key, now) for key in self.scores}

    def _prune(self, now: float) -> None:
        counts = self.counts(now)
        kept = sorted(counts, key=lambda key: -counts[key])
        for key in kept[MAX_ADAPTERS // 2 :]:
            del self.scores[key]
