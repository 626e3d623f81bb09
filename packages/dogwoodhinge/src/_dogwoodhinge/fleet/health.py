"""Rates the health of an engine by its responses to this node.

Load patterns: an engine that fails part of its requests while its health
endpoint reports success; one that accepts connections and never responds; one
that refuses connections for a few seconds while it restarts; an address that
another engine has taken over.

Each failure adds to a penalty that decays exponentially, so a failed engine
receives a few requests again, and more once these succeed.
"""

import datetime
import enum
from typing import final

# An engine restarts within a few seconds; after two half-lives, a single
# failure weighs little compared to the load of the other engines.
PENALTY_HALF_LIFE = datetime.timedelta(seconds=1.5)

# Above this penalty, an engine is used only if no other one serves.
AVOID_ABOVE_PENALTY = 1.0

MAX_PENALTY = 8.0

# Each success multiplies the penalty by this factor.
SUCCESS_FACTOR = 0.8


class Failure(enum.Enum):
    """Kinds of engine failures; the value is added to the penalty."""

    ERROR = 0.35
    OVERLOADED = 0.5
    BROKEN_RESPONSE = 0.5
    LOST_RESPONSE = 0.7
    CONNECT_FAILED = 0.6
    UNREACHABLE = 2.0
    WRONG_ENGINE = 2.0  # another engine has its address, or it restarted empty
    NO_RESPONSE = 3.0


@final
class EngineHealth:
    """The penalty of one engine."""

    def __init__(self) -> None:
        self.penalty = 0.0
        self.changed_at = 0.0

    def current(self, now: float) -> float:
        """Returns the penalty at monotonic time `now`, in seconds."""
        age = max(0.0, now - self.changed_at)
        return self.penalty * 0.5 ** (age / PENALTY_HALF_LIFE.total_seconds())

    def record_failure(self, failure: Failure, now: float) -> None:
        """Raises the penalty."""
        raised = self.current(now) + failure.value
        self.penalty = min(MAX_PENALTY, raised)
        self.changed_at = now

    def record_success(self, now: float) -> None:
        """Lowers the penalty."""
        self.penalty = self.current(now) * SUCCESS_FACTOR
        self.changed_at = now

    def should_avoid(self, now: float) -> bool:
        """Returns whether other engines are preferred."""
        return self.current(now) > AVOID_ABOVE_PENALTY
