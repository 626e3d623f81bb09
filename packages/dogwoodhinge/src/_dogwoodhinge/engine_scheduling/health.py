"""Detects slow engines from the token times of completed requests."""

import datetime
from typing import final

RECENT_SMOOTHING_FACTOR = 0.35
BASELINE_SMOOTHING_FACTOR = 0.05
SLOW_FACTOR = 1.8
RECOVERED_FACTOR = 1.3
MIN_OBSERVATIONS = 5
INITIAL_PROBE_INTERVAL = datetime.timedelta(seconds=2)
MAX_PROBE_INTERVAL = datetime.timedelta(seconds=16)
# Each fill level of the batch has a baseline of its own, because tokens take
# longer in a full batch than in an empty one on a healthy engine, too.
FILL_LEVELS = 4
FILL_LEVEL_ALLOWANCE = 0.35


@final
class EngineHealth:
    """Compares an engine's time between tokens with its baseline.

    The baseline is that of the same fill level of the batch. A slow engine
    receives probe requests at growing intervals and the requests that no
    other candidate accepts.

    Attributes:
        baseline: long-term moving average of the time between tokens by
            fill level, seconds; not updated while the engine is slow.
        counts: observations by fill level.
        recent_ratio: short-term moving average of the time between tokens
            divided by the baseline.
        is_slow: the engine receives fewer requests.
        probed_at: when the last probe was accepted, monotonic seconds.
        probe_interval: time until the next probe; it doubles with each probe
            while the engine stays slow.
    """

    def __init__(self) -> None:
        self.baseline = [0.0] * FILL_LEVELS
        self.counts = [0] * FILL_LEVELS
        self.recent_ratio = 1.0
        self.is_slow = False
        self.probed_at = 0.0
        self.probe_interval = INITIAL_PROBE_INTERVAL

    def observe(self, *, gap_seconds: float, fill: float) -> bool:
        """Records a completed request; returns whether `is_slow` changed.

        Args:
            gap_seconds: its mean time between tokens.
            fill: fraction of the batch slots that were in use.
        """
        if gap_seconds <= 0:
            return False
        level = min(FILL_LEVELS - 1, int(fill * FILL_LEVELS))
        baseline = self._baseline_at(level)
        if baseline > 0:
            ratio = gap_seconds / baseline
            self.recent_ratio += RECENT_SMOOTHING_FACTOR * (
                ratio - self.recent_ratio
            )
        was_slow = self.is_slow
        self._update_is_slow()
        if not self.is_slow:
            self._update_baseline(level, gap_seconds)
        return self.is_slow != was_slow

    def slowdown(self) -> float:
        """Returns the recent slowdown over the baseline, at least 1."""
        return max(1.0, self.recent_ratio)

    def accepts_request(self, now: float) -> bool:
        """Returns whether the engine accepts the next request.

        A slow engine accepts one as a probe whenever the probe interval has
        passed.
        """
        if not self.is_slow:
            return True
        if now - self.probed_at < self.probe_interval.total_seconds():
            return False
        self.probed_at = now
        self.probe_interval = min(2 * self.probe_interval, MAX_PROBE_INTERVAL)
        return True

    def _baseline_at(self, level: int) -> float:
        """Returns the baseline of a fill level, 0 without enough observations.

        A level with too few observations uses the nearest lower level that
        has enough, with an allowance for each level between them.
        """
        for known in range(level, -1, -1):
            if self.counts[known] >= MIN_OBSERVATIONS:
                allowance = 1.0 + FILL_LEVEL_ALLOWANCE * (level - known)
                return allowance * self.baseline[known]
        return 0.0

    def _update_baseline(self, level: int, gap_seconds: float) -> None:
        self.counts[level] += 1
        rate = max(BASELINE_SMOOTHING_FACTOR, 1.0 / self.counts[level])
        self.baseline[level] += rate * (gap_seconds - self.baseline[level])

    def _update_is_slow(self) -> None:
        if self.recent_ratio >= SLOW_FACTOR:
            self.is_slow = True
        elif self.recent_ratio <= RECOVERED_FACTOR:
            self.is_slow = False
            self.probe_interval = INITIAL_PROBE_INTERVAL
