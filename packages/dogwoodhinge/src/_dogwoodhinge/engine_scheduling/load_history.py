"""History of an engine's loads: consecutive failures and intervals."""

import dataclasses
import datetime
from typing import final

from dogwoodhinge import models
from dogwoodhinge import ports

INITIAL_BACKOFF = datetime.timedelta(seconds=0.5)
MAX_BACKOFF = datetime.timedelta(seconds=30)
MAX_TRACKED_FAILURES = 1_000
PERSISTENT_FAILURE_COUNT = 3
INTERVAL_SMOOTHING_FACTOR = 0.3


@final
@dataclasses.dataclass(frozen=True, slots=True)
class LoadFailure:
    """Consecutive load failures of one adapter.

    Attributes:
        count: failures since the last success.
        retry_at: earliest time of the next load, monotonic seconds.
        permanent: the weight store does not have the version.
    """

    count: int
    retry_at: float
    permanent: bool

    @property
    def is_persistent(self) -> bool:
        """True if requests should not wait for the next attempt."""
        return self.count >= PERSISTENT_FAILURE_COUNT


@final
class LoadFailures:
    """Load failures by adapter, with exponential backoff.

    Attributes:
        failures: adapters whose last load failed, latest failure last.
    """

    def __init__(self, clock: ports.Clock) -> None:
        self.clock = clock
        self.failures: dict[models.AdapterVersion, LoadFailure] = {}

    def get(self, adapter: models.AdapterVersion) -> LoadFailure | None:
        """Returns the adapter's failures since its last success, or None."""
        return self.failures.get(adapter)

    def may_load(self, adapter: models.AdapterVersion) -> bool:
        """Returns whether a load may be attempted now."""
        failure = self.failures.get(adapter)
        return failure is None or self.clock.monotonic() >= failure.retry_at

    def record_success(self, adapter: models.AdapterVersion) -> None:
        """Clears the adapter's failures."""
        self.failures.pop(adapter, None)

    def record_failure(
        self, adapter: models.AdapterVersion, *, permanent: bool
    ) -> None:
        """Counts a failure and sets the time of the next attempt."""
        before = self.failures.pop(adapter, None)
        count = 1 if before is None else before.count + 1
        backoff = min(INITIAL_BACKOFF * 2 ** min(count - 1, 10), MAX_BACKOFF)
        retry_at = self.clock.monotonic() + backoff.total_seconds()
        self.failures[adapter] = LoadFailure(count, retry_at, permanent)
        while len(self.failures) > MAX_TRACKED_FAILURES:
            del self.failures[next(iter(self.failures))]


@final
class LoadInterval:
    """Measures the interval between completed loads while any is pending.

    Attributes:
        default_seconds: initial value and lower bound of the estimate.
        mean: moving average of the interval, seconds.
        interval_start: when the last load completed, or when the first of
            the pending loads was requested.
        pending_loads: loads that were requested and have not ended.
    """

    def __init__(self, default_seconds: float) -> None:
        self.default_seconds = default_seconds
        self.mean = default_seconds
        self.interval_start = 0.0
        self.pending_loads = 0

    def record_request(self, now: float) -> None:
        """Records that a load was requested."""
        if self.pending_loads == 0:
            self.interval_start = now
        self.pending_loads += 1

    def record_end(self, now: float, *, loaded: bool) -> None:
        """Records that a requested load ended."""
        self.pending_loads -= 1
        if not loaded:
            return
        self.mean += INTERVAL_SMOOTHING_FACTOR * (
            now - self.interval_start - self.mean
        )
        self.interval_start = now

    def seconds(self) -> float:
        """Returns the expected interval between two completed loads."""
        return max(self.default_seconds, self.mean)
