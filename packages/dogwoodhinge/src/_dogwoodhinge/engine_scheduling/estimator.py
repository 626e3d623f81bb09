"""Estimates how long requests run."""

import dataclasses
from typing import final

from dogwoodhinge import models

MAX_TRACKED_ADAPTERS = 2_000
SMOOTHING_FACTOR = 0.2
DEFAULT_OUTPUT_TOKENS = 128.0
DEFAULT_GAP_SECONDS = 0.03
PREFILL_TOKENS_PER_SECOND = 5_000.0
# An output limit this many times the adapter's mean output marks a request
# as unlike the adapter's earlier ones.
UNUSUAL_LIMIT_FACTOR = 8.0


@final
@dataclasses.dataclass(frozen=True, slots=True)
class RunEstimate:
    """Expected output length and run time of a request."""

    output_tokens: float
    seconds: float


@final
class Estimator:
    """Keeps moving averages of one engine's completed requests.

    Attributes:
        tokens: mean output tokens by adapter, last updated last.
        mean_tokens: mean over all adapters.
        gap_seconds: mean time between tokens on this engine.
    """

    def __init__(self) -> None:
        self.tokens: dict[models.AdapterVersion, float] = {}
        self.mean_tokens = DEFAULT_OUTPUT_TOKENS
        self.gap_seconds = DEFAULT_GAP_SECONDS

    def estimate(
        self,
        adapter: models.AdapterVersion,
        *,
        prompt_tokens: int,
        max_tokens: int,
    ) -> RunEstimate:
        """Estimates a request from its output limit and the adapter's mean."""
        typical = self.tokens.get(adapter, self.mean_tokens)
        tokens = typical
        if max_tokens > 0:
            tokens = min(typical, max_tokens)
            if max_tokens > UNUSUAL_LIMIT_FACTOR * typical:
                tokens = max_tokens / 2
        prefill = prompt_tokens / PREFILL_TOKENS_PER_SECOND
        return RunEstimate(tokens, prefill + tokens * self.gap_seconds)

    def learn(
        self,
        adapter: models.AdapterVersion,
        *,
        output_tokens: int,
        gap_seconds: float,
        max_tokens: int,
    ) -> None:
        """Updates the averages with a completed request."""
        typical = self.tokens.pop(adapter, self.mean_tokens)
        unusual = max_tokens > UNUSUAL_LIMIT_FACTOR * typical
        if not unusual:
            typical = _update_mean(typical, output_tokens)
            self.mean_tokens = _update_mean(self.mean_tokens, output_tokens)
        self.tokens[adapter] = typical
        while len(self.tokens) > MAX_TRACKED_ADAPTERS:
            del self.tokens[next(iter(self.tokens))]
        if gap_seconds > 0:
            self.gap_seconds = _update_mean(self.gap_seconds, gap_seconds)


def _update_mean(mean: float, value: float) -> float:
    return mean + SMOOTHING_FACTOR * (value - mean)
