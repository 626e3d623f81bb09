"""Local cache of the ownership rows."""

import datetime
from typing import final

from _dogwoodhinge.membership import events
from _dogwoodhinge.membership import roster as roster_module
from _dogwoodhinge.ownership import records as records_module
from dogwoodhinge import ports

RESCAN_INTERVAL = datetime.timedelta(seconds=60)


@final
class OwnerCache:
    """Keeps the ownership rows up to date from membership events.

    Attributes:
        records: newest known rows by engine.
        stale: engines whose rows must be read again.
        scanned_at: when all rows were last read, monotonic.
    """

    def __init__(
        self,
        *,
        owner_table: records_module.OwnerTable,
        roster: roster_module.Roster,
        clock: ports.Clock,
    ) -> None:
        self.owner_table = owner_table
        self.clock = clock
        self.records: dict[str, records_module.OwnerRecord] = {}
        self.stale: set[str] = set()
        self.scanned_at = float("-inf")
        roster.event_listeners.append(self._on_event)
        roster.rescan_listeners.append(self._on_rescan)

    def put(self, record: records_module.OwnerRecord) -> None:
        """Stores a row unless a newer version is already known."""
        known = self.records.get(record.engine_id)
        if known is None or known.version < record.version:
            self.records[record.engine_id] = record

    async def refresh(self) -> None:
        """Reads the stale rows, and all rows every `RESCAN_INTERVAL`.

        Raises:
            OwnershipUnavailableError: the table did not answer.
        """
        now = self.clock.monotonic()
        if now - self.scanned_at >= RESCAN_INTERVAL.total_seconds():
            for record in (await self.owner_table.read_all()).values():
                self.put(record)
            self.scanned_at = now
            self.stale.clear()
        while self.stale:
            engine_id = next(iter(self.stale))
            found = await self.owner_table.read(engine_id)
            self.stale.discard(engine_id)
            if found is not None:
                self.put(found)

    def _on_event(self, event: events.Event) -> None:
        if event.kind is events.EventKind.TAKEOVER:
            self.put(records_module.decode_event(event))

    def _on_rescan(self) -> None:
        self.scanned_at = float("-inf")
