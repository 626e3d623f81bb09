"""Applies what engines announce in their responses to this node."""

import asyncio
import collections
import dataclasses
import datetime
import enum
from typing import final

from _dogwoodhinge import event_log
from _dogwoodhinge.fleet import listing as listing_lib
from _dogwoodhinge.fleet import models
from _dogwoodhinge.fleet import pause as pause_lib


class Source(enum.StrEnum):
    """What an announcement was heard in."""

    RESPONSE = "response"
    ORDER = "order"
    PEER = "peer"


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Announcement:
    """What one response announces about its engine.

    Attributes:
        leaving: whether the engine accepts no new requests any more.
        pause: time for which it wants no requests from this node.
        ignored: header lines whose values are not understood.
    """

    leaving: bool = False
    pause: datetime.timedelta = datetime.timedelta(0)
    ignored: tuple[str, ...] = ()


NOTHING = Announcement()


@final
class Announcements:
    """Records the announcements of engines in this node's view of them.

    Attributes:
        counts: number of departures and pauses, by kind and source.
    """

    def __init__(
        self,
        *,
        listing: listing_lib.EndpointListing,
        report: event_log.EventReporter,
    ) -> None:
        self.listing = listing
        self.report = report
        self.counts: collections.Counter[tuple[str, Source]] = (
            collections.Counter()
        )

    def apply(
        self,
        entry: models.EngineEntry,
        announcement: Announcement,
        *,
        source: Source,
    ) -> None:
        """Applies the announcement of the engine that a response came from.

        Args:
            entry: the engine that the connection was opened to.
            announcement: the decoded announcement.
            source: what it was heard in.
        """
        if announcement == NOTHING:
            return
        for line in announcement.ignored:
            self.report(
                "engine_announcement_ignored",
                {"engine": entry.engine_id, "header": line},
            )
        if announcement.leaving:
            self.record_leaving(entry.incarnation, source=source)
        if announcement.pause:
            self._record_pause(entry, announcement.pause, source)

    def record_leaving(
        self, incarnation: tuple[str, int], *, source: Source
    ) -> None:
        """Records that an incarnation of an engine is leaving, for good."""
        if self.listing.record_leaving(incarnation, source=source):
            self.counts["leaving", source] += 1

    def _record_pause(
        self,
        entry: models.EngineEntry,
        duration: datetime.timedelta,
        source: Source,
    ) -> None:
        engine = self.listing.directory.engines.get(entry.engine_id)
        if engine is None or engine.entry.incarnation != entry.incarnation:
            return  # it has left or restarted since the request was sent
        now = asyncio.get_running_loop().time()
        engine.pause.extend(duration, now)
        self.counts["pause", source] += 1
        self.report(
            "engine_paused",
            {
                "engine": entry.engine_id,
                "asked_ms": round(duration.total_seconds() * 1000),
                "pause_ms": round((engine.pause.until - now) * 1000),
                "cut": duration > pause_lib.MAX_PAUSE,
                "source": source.value,
            },
        )
