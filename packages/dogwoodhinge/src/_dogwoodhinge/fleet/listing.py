"""Takes over the platform's list of endpoints, through its outages.

Load pattern: the platform's store goes away for seconds while callers press.
Entries that lapse meanwhile say nothing about their endpoints, so they are
kept; one that is still missing some time after the store's return is gone. One
that was written after the return and removed then has left, and counts at once.
"""

import asyncio
from collections.abc import Callable, Iterable
import datetime
import math
from typing import final

from _dogwoodhinge import event_log
from _dogwoodhinge.fleet import engines as engines_lib
from _dogwoodhinge.fleet import models

# Endpoints that live and reach the store are listed again within about two
# seconds of its return.
RETURN_TIME = datetime.timedelta(seconds=2.2)

# Entries lapse after three heartbeats without a word, each a second or so: a
# shorter outage, or the start of this process, has made none lapse.
LEAST_OUTAGE = datetime.timedelta(seconds=2.0)


@final
class EndpointListing:
    """Feeds the directory of engines.

    Attributes:
        on_gone: called with each endpoint that is no longer used.
        missing: endpoints that may come back, until a loop time.
        written: endpoints whose entries were written since the last return.
        answers: answers of the source since then.
        changes: endpoints that came, left or went so far; what they hold
            does not count.
    """

    def __init__(
        self, *, directory: engines_lib.Directory, report: event_log.Report
    ) -> None:
        self.directory = directory
        self.report = report
        self.on_gone: list[Callable[[engines_lib.Engine], None]] = []
        self.source_well = False
        self.back_at = 0.0
        self.missing: dict[str, float] = {}
        self.written: set[str] = set()
        self.answers = 0
        self.departed: set[tuple[str, int]] = set()
        self.changes = 0

    def update(self, entry: models.EngineEntry) -> None:
        """Takes a new or changed entry."""
        now = self._now()
        self.missing.pop(entry.engine_id, None)
        if self.answers > 1:
            # The first answer also has what was written before the outage.
            self.written.add(entry.engine_id)
        before = self.directory.engines.get(entry.engine_id)
        was_leaving = before is not None and before.leaving
        restarted = (
            before is not None and before.entry.incarnation != entry.incarnation
        )
        if before is not None and restarted:
            self._end(before, "restarted")
        engine = self.directory.update(entry, now)
        if entry.incarnation in self.departed:
            engine.leaving = True
        if before is None or restarted:
            self.changes += 1
            self.report(
                "endpoint_joined",
                {
                    "engine": entry.engine_id,
                    "service": entry.service,
                    "zone": entry.zone,
                    "address": f"{entry.host}:{entry.port}",
                    "leaving": engine.leaving,
                    "born_ms": entry.born_ms,
                },
            )
        if engine.leaving and not was_leaving:
            self.departed.add(entry.incarnation)
            self.changes += 1
            self.report("endpoint_leaving", {"engine": entry.engine_id})

    def withdraw(self, engine_id: str) -> None:
        """Takes the removal of an entry."""
        now = self._now()
        until = self.back_at + RETURN_TIME.total_seconds()
        if (
            now < until
            and engine_id not in self.written
            and engine_id in self.directory.engines
        ):
            self.missing.setdefault(engine_id, until)
            return
        self._remove(engine_id, "withdrawn")

    def end(self, engine_id: str) -> None:
        """Ends an endpoint that another node has found to be gone."""
        self.missing.pop(engine_id, None)
        self._remove(engine_id, "told")

    def replace_all(self, entries: Iterable[models.EngineEntry]) -> None:
        """Takes the whole list."""
        listed = set()
        for entry in entries:
            listed.add(entry.engine_id)
            self.update(entry)
        for engine_id in self.directory.engines.keys() - listed:
            self.withdraw(engine_id)

    def source_lost(self, reason: str) -> None:
        """Notes that the list can't be read."""
        if self.source_well:
            self.report("endpoint_list_lost", {"reason": reason})
        self.source_well = False

    def source_back(self, away: float) -> None:
        """Notes that the list can be read again.

        Args:
            away: seconds without an answer.
        """
        if not self.source_well:
            if away >= LEAST_OUTAGE.total_seconds():
                self.back_at = self._now()
                self.written.clear()
                self.answers = 0
            self.report("endpoint_list_back", {"away_ms": int(away * 1000)})
        self.source_well = True
        self.answers += 1

    def due_at(self) -> float:
        """Returns the loop time at which a missing endpoint is to end."""
        return min(self.missing.values(), default=math.inf)

    def drop_missing(self) -> None:
        """Ends the entries that did not come back."""
        now = self._now()
        for engine_id, until in tuple(self.missing.items()):
            if self.source_well and now >= until:
                del self.missing[engine_id]
                self._remove(engine_id, "not_back_after_outage")

    def _remove(self, engine_id: str, why: str) -> None:
        self.written.discard(engine_id)
        engine = self.directory.remove(engine_id)
        if engine is None:
            return
        if engine.leaving:
            self.departed.add(engine.entry.incarnation)
        self._end(engine, why)

    def _end(self, engine: engines_lib.Engine, why: str) -> None:
        self.changes += 1
        self.report(
            "endpoint_gone", {"engine": engine.engine_id, "reason": why}
        )
        for callback in self.on_gone:
            callback(engine)

    def _now(self) -> float:
        return asyncio.get_running_loop().time()
