"""A token bucket on a monotonic clock."""

from typing import final


@final
class TokenBucket:
    """Tokens that accumulate at a rate up to a burst size.

    Attributes:
        rate: tokens per second.
        burst: maximum number of tokens.
        tokens: available tokens at `updated_at`.
        updated_at: time of the last refill, monotonic seconds.
    """

    __slots__ = ("burst", "rate", "tokens", "updated_at")

    def __init__(self, *, rate: float, burst: float, empty_at: float) -> None:
        self.rate = rate
        self.burst = burst
        self.tokens = 0.0
        self.updated_at = empty_at

    def resize(self, *, rate: float, burst: float, now: float) -> None:
        """Changes rate and burst; keeps accumulated tokens up to the burst."""
        self.refill(now)
        self.rate = rate
        self.burst = burst
        self.tokens = min(self.tokens, burst)

    def refill(self, now: float) -> float:
        """Adds the tokens accumulated until now; returns the tokens."""
        elapsed = max(0.0, now - self.updated_at)
        self.tokens = min(self.burst, self.tokens + self.rate * elapsed)
        self.updated_at = max(self.updated_at, now)
        return self.tokens

    def take(self, wanted: float, now: float) -> float:
        """Takes up to `wanted` whole tokens; returns how many were taken."""
        # Sums of many small refills may fall short of a whole token by a
        # rounding error.
        available = float(int(self.refill(now) + 1e-9))
        taken = min(available, wanted)
        self.tokens = max(0.0, self.tokens - taken)
        return taken

    def seconds_until(self, wanted: float, now: float) -> float:
        """Returns the seconds until `wanted` tokens are available."""
        missing = wanted - self.refill(now)
        return max(0.0, missing / self.rate)
