"""Judges an engine by the answers this node got from it.

Load patterns: an engine that fails part of its requests while its health page
is good; one that accepts connections and stays silent; one that refuses
connections for some seconds while it restarts; an address that another engine
has taken.

Each failure adds to a penalty that halves with time, so an engine that failed
is tried again by few real requests, and by more once these succeed.
"""

import datetime
import enum
from typing import final

# An engine restarts within a few seconds; after two half-lives one failure
# weighs little against the load of the others.
PENALTY_HALF_LIFE = datetime.timedelta(seconds=1.5)

# Above this penalty an engine is used only when no other serves.
AVOID_ABOVE = 1.0

MAX_PENALTY = 8.0

# One success outweighs this part of what failures have added.
SUCCESS_FACTOR = 0.8


class Failure(enum.Enum):
    """How an engine failed; its value is what it adds to the penalty."""

    ERROR = 0.35
    SHED = 0.5
    BROKEN_ANSWER = 0.5
    LOST_ANSWER = 0.7
    UNCONNECTED = 0.6
    UNREACHABLE = 2.0
    ANOTHER = 2.0  # another one has its address, or it restarted empty
    SILENT = 3.0


@final
class EngineHealth:
    """The penalty of one engine."""

    def __init__(self) -> None:
        self.penalty = 0.0
        self.changed_at = 0.0

    def current(self, now: float) -> float:
        """Returns the penalty at `now`, monotonic seconds."""
        age = max(0.0, now - self.changed_at)
        return self.penalty * 0.5 ** (age / PENALTY_HALF_LIFE.total_seconds())

    def note_failure(self, failure: Failure, now: float) -> None:
        """Raises the penalty."""
        raised = self.current(now) + failure.value
        self.penalty = min(MAX_PENALTY, raised)
        self.changed_at = now

    def note_success(self, now: float) -> None:
        """Lowers the penalty."""
        self.penalty = self.current(now) * SUCCESS_FACTOR
        self.changed_at = now

    def to_be_avoided(self, now: float) -> bool:
        """Tells whether other engines go first."""
        return self.current(now) > AVOID_ABOVE
