"""Applies the platform's endpoint list, including across store outages.

Load pattern: the platform's store is unavailable for seconds under peak load.
Entries that expire during an outage say nothing about their endpoints, so the
endpoints are kept; one that is still missing some time after the store has
recovered is removed. An entry that was written after the recovery and then
removed means that the endpoint has left, and is applied immediately.

A store that comes back from an older copy lists endpoints as they were some
time ago. Until an endpoint has written its entry again, the entry of the copy
neither brings back an endpoint that is not listed here, which has most likely
gone, nor an earlier start, and it changes nothing that is known of one; it only
shows that the endpoint is not missing.

The store is away only while it responds to no node: it may refuse this one and
serve all others and the endpoints. It has recovered once it responds to any
node: this one may have no reason to read it for a long time while the leader's
updates cover it.
"""

import asyncio
from collections.abc import Callable, Collection, Iterable
import dataclasses
import datetime
import math
from typing import final

from _dogwoodhinge import event_log
from _dogwoodhinge.fleet import engines as engines_lib
from _dogwoodhinge.fleet import models

# Live endpoints that reach the store are listed again within about 2 s of its
# recovery.
REJOIN_TIMEOUT = datetime.timedelta(seconds=2.2)

# Entries expire after three missed heartbeats of about 1 s each, so a shorter
# outage, or the start of this process, expires none.
MIN_OUTAGE = datetime.timedelta(seconds=2.0)


@final
class EndpointListing:
    """Keeps the engine directory in step with the endpoint list.

    Attributes:
        on_gone: callbacks, called with each endpoint that is removed.
        responded_at: loop time of the source's latest known response to any
            node; None before the first one.
        asked_at: loop time at which this node's read in progress began; None
            if there is none.
        failed_at: loop time at which the last of them began that failed.
        gap: loop times of the last two known responses between which an outage
            may lie.
        restored_at: loop time of the first response after the last outage.
        outage_seconds: time without a response before that.
        read_failure: why this node's last failed read did.
        missing: endpoints that may reappear, with the loop time at which they
            are removed if they do not.
        written: endpoints whose entries were written since the last recovery.
        responses: number of responses of the source to this node since then.
        recheck_at: loop time at which the list is read again since entries of
            an older copy were ignored; the leader may have applied them, and
            then sends no update when they are written again.
        changes: number of endpoints that joined, were missing and came back,
            started leaving or were removed so far; changes of what they hold do
            not count.
    """

    def __init__(
        self,
        *,
        directory: engines_lib.Directory,
        report: event_log.EventReporter,
    ) -> None:
        self.directory = directory
        self.report = report
        self.on_gone: list[Callable[[engines_lib.Engine], None]] = []
        self.source_available = False
        self.responded_at: float | None = None
        self.asked_at: float | None = None
        self.failed_at = -math.inf
        self.gap = (-math.inf, -math.inf)
        self.restored_at = 0.0
        self.outage_seconds = 0.0
        self.read_failure = ""
        self.missing: dict[str, float] = {}
        self.written: set[str] = set()
        self.responses = 0
        self.left_incarnations: set[tuple[str, int]] = set()
        self.recheck_at = math.inf
        self.changes = 0

    def update(self, entry: models.EngineEntry) -> None:
        """Applies a new or changed entry."""
        now = self._now()
        if self.missing.pop(entry.engine_id, None) is not None:
            # Other nodes may have dropped it.
            self.changes += 1
        if self.responses > 1:
            # The first response also contains entries from before the outage.
            self.written.add(entry.engine_id)
        previous = self.directory.engines.get(entry.engine_id)
        if previous is not None and not entry.born_ms:
            # An entry without a start time does not tell of another start.
            entry = dataclasses.replace(entry, born_ms=previous.entry.born_ms)
        was_leaving = previous is not None and previous.leaving
        was_listed_leaving = previous is not None and previous.entry.leaving
        restarted = (
            previous is not None
            and previous.entry.incarnation != entry.incarnation
        )
        if previous is not None and restarted:
            self._report_gone(previous, "restarted")
        engine = self.directory.update(entry, now)
        if entry.incarnation in self.left_incarnations:
            engine.leaving = True
        if previous is None or restarted:
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
        if entry.leaving and (restarted or not was_listed_leaving):
            # Counts also if its responses have said so before: the other
            # nodes need the entry.
            self.changes += 1
        if engine.leaving and not was_leaving:
            self.left_incarnations.add(entry.incarnation)
            self.report(
                "endpoint_leaving",
                {"engine": entry.engine_id, "source": "list"},
            )

    def record_leaving(
        self, incarnation: tuple[str, int], *, source: str
    ) -> bool:
        """Records that an incarnation has said itself that it is leaving.

        No later entry takes this back.

        Args:
            incarnation: id and start time of the endpoint.
            source: what it was heard in, for the log.

        Returns:
            False if this was known.
        """
        engine = self.directory.engines.get(incarnation[0])
        if engine is not None and engine.entry.incarnation == incarnation:
            known = engine.leaving
            engine.leaving = True
        else:
            known = incarnation in self.left_incarnations
        self.left_incarnations.add(incarnation)
        if known:
            return False
        self.report(
            "endpoint_leaving", {"engine": incarnation[0], "source": source}
        )
        return True

    def withdraw(self, engine_id: str) -> None:
        """Handles the removal of an entry from the list."""
        if engine_id not in self.directory.engines:
            # It may have joined since the last poll, and another node may have
            # read the list in between.
            self.changes += 1
            self.written.discard(engine_id)
            return
        now = self._now()
        expires_at = self.restored_at + REJOIN_TIMEOUT.total_seconds()
        if now < expires_at and engine_id not in self.written:
            if engine_id not in self.missing:
                self.missing[engine_id] = expires_at
                self.report(
                    "endpoint_missing",
                    {
                        "engine": engine_id,
                        "kept_ms": int((expires_at - now) * 1000),
                        "outage_ms": int(self.outage_seconds * 1000),
                        "read_failed": self.read_failure,
                    },
                )
            return
        self._remove(engine_id, "withdrawn")

    def remove_endpoint(self, engine_id: str) -> None:
        """Removes an endpoint that the leader reports as removed."""
        self.missing.pop(engine_id, None)
        self._remove(engine_id, "told")

    def replace_all(
        self,
        entries: Iterable[models.EngineEntry],
        *,
        copied: Collection[str] = (),
    ) -> None:
        """Applies the complete list.

        Args:
            entries: the entries.
            copied: ids of endpoints that have not written their entry since
                the list came back from an older copy.
        """
        listed = set()
        for entry in entries:
            current: models.EngineEntry | None = entry
            if entry.engine_id in copied:
                current = self._merge_copied(entry)
            if current is not None:
                listed.add(entry.engine_id)
                self.update(current)
        for engine_id in self.directory.engines.keys() - listed:
            self.withdraw(engine_id)

    def source_rolled_back(self) -> None:
        """Records that the list has come back from an older copy.

        Entries that the copy lacks say nothing about their endpoints, as after
        an outage.
        """
        self.restored_at = self._now()
        self.written.clear()
        self.responses = 1

    def _merge_copied(
        self, entry: models.EngineEntry
    ) -> models.EngineEntry | None:
        """Returns the entry that an entry of an older copy leaves in force.

        Returns None if it is that of an earlier start, or of an endpoint that
        this node does not list: most likely it has gone.
        """
        engine = self.directory.engines.get(entry.engine_id)
        if engine is not None:
            known_start = engine.entry.born_ms
            if entry.born_ms in (0, known_start):
                return dataclasses.replace(
                    engine.entry, leaving=engine.entry.leaving or entry.leaving
                )
            if entry.born_ms > known_start:
                return entry
        self.recheck_at = self.restored_at + REJOIN_TIMEOUT.total_seconds()
        self.report(
            "endpoint_copy_ignored",
            {"engine": entry.engine_id, "born_ms": entry.born_ms},
        )
        return None

    def source_asked(self) -> None:
        """Records that a read of this node begins."""
        self.asked_at = self._now()

    def source_lost(self, reason: str) -> None:
        """Records that the list can't be read."""
        if self.source_available:
            self.report("endpoint_list_lost", {"reason": reason})
        self.source_available = False
        self.read_failure = reason
        self.failed_at = self._now() if self.asked_at is None else self.asked_at
        self.asked_at = None
        # A read may fail late, by a timeout, when others have been answered.
        self._record_outage()

    def source_responded(self, at: float) -> None:
        """Records a response of the list's source to any node.

        Args:
            at: loop time of the response.
        """
        previous = at if self.responded_at is None else self.responded_at
        if at < previous:
            return
        if at - previous >= MIN_OUTAGE.total_seconds():
            self.gap = (previous, at)
            self._record_outage()
        self.responded_at = at

    def _record_outage(self) -> None:
        """Records the end of an outage if this node has noticed one.

        It learns of only some responses to others, so that the time between
        two of them alone does not show an outage.
        """
        last_response, first_response = self.gap
        if not last_response <= self.failed_at <= first_response:
            return
        if self.restored_at < first_response:
            self.restored_at = first_response
            self.outage_seconds = first_response - last_response
            self.written.clear()
            self.responses = 0

    def source_restored(self, away: float) -> None:
        """Records a response of the list's source to this node.

        Args:
            away: seconds since the previous response to this node.
        """
        now = self._now()
        self.asked_at = None
        if self.responded_at is None:
            self.responded_at = now - away
        self.source_responded(now)
        if not self.source_available:
            self.report("endpoint_list_back", {"away_ms": int(away * 1000)})
        self.source_available = True
        self.responses += 1

    def due_at(self) -> float:
        """Returns the loop time by which the list has to be read again."""
        return min([self.recheck_at, *self.missing.values()])

    def drop_missing(self) -> None:
        """Removes missing endpoints that did not reappear in time."""
        now = self._now()
        if self.source_available and now >= self.recheck_at:
            self.recheck_at = math.inf
        for engine_id, expires_at in tuple(self.missing.items()):
            if self.source_available and now >= expires_at:
                del self.missing[engine_id]
                self._remove(engine_id, "not_back_after_outage")

    def _remove(self, engine_id: str, reason: str) -> None:
        self.written.discard(engine_id)
        engine = self.directory.remove(engine_id)
        if engine is None:
            return
        if engine.leaving:
            self.left_incarnations.add(engine.entry.incarnation)
        self._report_gone(engine, reason)

    def _report_gone(self, engine: engines_lib.Engine, reason: str) -> None:
        self.changes += 1
        self.report(
            "endpoint_gone", {"engine": engine.engine_id, "reason": reason}
        )
        for callback in self.on_gone:
            callback(engine)

    def _now(self) -> float:
        return asyncio.get_running_loop().time()
