"""Revisions of the platform's tables, and the era of the store that gave them.

Load pattern: the store is away for a moment and comes back from a copy that is
some seconds old. What was written since is gone, and its revisions are given
out again: the same number then stands for two states. Each return begins a new
era, whose number the store states in its answers. A revision therefore carries
its era. It has no order of its own, so that type checks reject a comparison by
`<`; `is_after` raises an error across eras.
"""

from collections.abc import Callable
import dataclasses
from typing import final

from _dogwoodhinge import event_log
from dogwoodhinge import errors

# Rejected calls and updates are logged once per source and era, up to this
# number of them.
MAX_REPORTED_REFUSALS = 200


class EraMismatchError(errors.DogwoodhingeError):
    """Two revisions of different eras were compared."""


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Revision:
    """A revision of the store or of one of its rows.

    Attributes:
        era: the era of the store; 0 if the store states none.
        number: number of the revision; 0 for a row that does not exist.
    """

    era: int
    number: int

    def is_after(self, other: "Revision") -> bool:
        """Returns whether this revision is newer.

        Raises:
            EraMismatchError: the other revision is of another era.
        """
        if self.era != other.era:
            raise EraMismatchError(
                f"revision {other.number} of era {other.era} compared with "
                f"revision {self.number} of era {self.era}"
            )
        return self.number > other.number


@final
class StoreEra:
    """The newest era of the store that this node knows.

    Attributes:
        current: the era; None before the first answer.
        changes: number of new eras since the start of this process.
        on_change: callbacks, called with each new era; not with the first.
    """

    def __init__(self, *, report: event_log.EventReporter) -> None:
        self.report = report
        self.current: int | None = None
        self.changes = 0
        self.on_change: list[Callable[[int], None]] = []
        self.reported: set[tuple[str, int]] = set()

    def observe(self, era: int, *, source: str) -> bool:
        """Records the era of an answer of the store.

        Args:
            era: the era.
            source: what it was heard from, for the log.

        Returns:
            False if it is an earlier era: the answer says nothing about the
            store as it is now.
        """
        if self.current is None:
            self.current = era
            return True
        if era < self.current:
            self._report_refusal(era, source)
            return False
        if era > self.current:
            before, self.current = self.current, era
            self.changes += 1
            self.reported.clear()
            self.report(
                "store_era_changed",
                {"era": era, "before": before, "source": source},
            )
            for callback in self.on_change:
                callback(era)
        return True

    def observe_peer(self, era: int, *, source: str) -> bool:
        """Records the era that a peer states with what it tells.

        A peer that states none, or has read nothing yet, states 0.

        Returns:
            False if it is an earlier era: what the peer tells is refused.
        """
        if era == 0 and self.current is None:
            return True
        return self.observe(era, source=source)

    def _report_refusal(self, era: int, source: str) -> None:
        known = (source, era)
        if known in self.reported or len(self.reported) > MAX_REPORTED_REFUSALS:
            return
        self.reported.add(known)
        self.report(
            "earlier_era_refused",
            {"era": era, "current": self.current, "source": source},
        )
