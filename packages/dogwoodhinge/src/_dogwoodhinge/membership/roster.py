"""The sessions as this node last read them.

A node reads the head of the membership events about once a second and applies
the new events. It scans all sessions at the start, when the events it needs
have been deleted, and periodically, at an interval that grows with the number
of sessions.
"""

from collections.abc import Callable
import datetime
from typing import final

from _dogwoodhinge.membership import directory as directory_module
from _dogwoodhinge.membership import errors
from _dogwoodhinge.membership import events as events_module
from _dogwoodhinge.membership import sessions
from dogwoodhinge import errors as port_errors
from dogwoodhinge import ports

PAGE_ROWS = 100
SCAN_MIN_CHANGES = 4  # with more, a scan is cheaper than single reads
SCAN_INTERVAL_PER_SESSION = datetime.timedelta(milliseconds=300)
MIN_SCAN_INTERVAL = datetime.timedelta(seconds=1)


@final
class Roster:
    """Caches the session rows.

    Attributes:
        sessions: rows as last read, by session id.
        sequence: number of the newest membership event that was applied.
        last_reached_at: when the table last answered, monotonic.
        scanned_at: when all sessions were last read, monotonic.
        listeners: called after each change of the sessions.
        event_listeners: called with each event, in sequence order.
        rescan_listeners: called when events were missed.
    """

    def __init__(
        self,
        *,
        table: ports.TableService,
        directory: directory_module.EndpointDirectory,
        clock: ports.Clock,
    ) -> None:
        self.table = table
        self.directory = directory
        self.clock = clock
        self.events = events_module.EventLog(table=table, clock=clock)
        self.sessions: dict[str, sessions.Session] = {}
        self.sequence = 0
        self.last_reached_at = float("-inf")
        self.scanned_at = float("-inf")
        self.listeners: list[Callable[[], None]] = []
        self.event_listeners: list[Callable[[events_module.Event], None]] = []
        self.rescan_listeners: list[Callable[[], None]] = []

    def known(self) -> tuple[sessions.Session, ...]:
        """Returns the sessions that count for majorities."""
        return tuple(filter(self.may_act, self.sessions.values()))

    def live(self) -> tuple[sessions.Session, ...]:
        """Returns the live sessions whose hosts are not known to be gone."""
        return tuple(
            session
            for session in self.sessions.values()
            if session.state is sessions.SessionState.LIVE
            and self.directory.host_gone_since(session.host_id) is None
        )

    def is_inactive(self, session_id: str) -> bool:
        """Returns whether a session ended, lapsed, or lost its host."""
        session = self.sessions.get(session_id)
        if session is None or not session.active:
            return True
        return self.directory.host_gone_since(session.host_id) is not None

    def may_act(self, session: sessions.Session) -> bool:
        """Returns whether a session may still act: it counts for majorities.

        A lapsed session counts until its host is gone or runs a newer session,
        because its process may only be paused.
        """
        if session.state is sessions.SessionState.ENDED:
            return False
        if self.directory.host_gone_since(session.host_id) is not None:
            return False
        if session.state is not sessions.SessionState.LAPSED:
            return True
        return self.directory.is_host_listed(
            session.host_id
        ) and not self._is_superseded(session)

    def is_replaced(self, session: sessions.Session) -> bool:
        """Returns whether a session lapsed and its host runs a newer one."""
        lapsed = session.state is sessions.SessionState.LAPSED
        return lapsed and self._is_superseded(session)

    def put(self, session: sessions.Session) -> None:
        """Stores a session that this node has just written."""
        self.record_contact()
        self.sessions[session.session_id] = session

    async def follow(self) -> None:
        """Applies the new membership events.

        Raises:
            MembershipUnavailableError: the table did not answer.
        """
        head = await self.events.head()
        self.record_contact()
        while self.sequence < head:
            batch = await self.events.read_after(self.sequence)
            if not batch or batch[0].sequence > self.sequence + 1:
                await self.resync()
                return
            await self._apply(batch)
        if self._scan_is_due():
            await self.refresh()

    async def resync(self) -> None:
        """Reads all sessions and continues from the newest event.

        Raises:
            MembershipUnavailableError: the table did not answer.
        """
        head = await self.events.head()
        await self.refresh()
        self.sequence = head
        for listener in self.rescan_listeners:
            listener()

    async def refresh(self) -> None:
        """Reads all sessions, so that applied revisions are up to date.

        Raises:
            MembershipUnavailableError: the table did not answer.
        """
        self.sessions = await self.scan()
        self.scanned_at = self.clock.monotonic()
        self.notify()

    async def read(self, session_id: str) -> sessions.Session | None:
        """Reads one session's row and stores it.

        Raises:
            MembershipUnavailableError: the table did not answer.
        """
        try:
            row = await self.table.get(sessions.SESSIONS_TABLE, session_id)
        except port_errors.TableError as error:
            raise errors.MembershipUnavailableError(
                f"can't read session {session_id}; will retry: {error}"
            ) from error
        self.record_contact()
        if row is None:
            self.sessions.pop(session_id, None)
            return None
        session = sessions.decode(row)
        self.sessions[session_id] = session
        return session

    async def scan(self) -> dict[str, sessions.Session]:
        """Reads all sessions without storing them.

        Raises:
            MembershipUnavailableError: the table did not answer.
        """
        found: dict[str, sessions.Session] = {}
        after = ""
        while True:
            try:
                rows = await self.table.scan(
                    sessions.SESSIONS_TABLE, after=after, limit=PAGE_ROWS
                )
            except port_errors.TableError as error:
                raise errors.MembershipUnavailableError(
                    f"can't read the sessions; will retry: {error}"
                ) from error
            self.record_contact()
            found.update((row.key, sessions.decode(row)) for row in rows)
            if len(rows) < PAGE_ROWS:
                return found
            after = rows[-1].key

    def record_contact(self) -> None:
        """Records that the table has just answered."""
        self.last_reached_at = self.clock.monotonic()

    def notify(self) -> None:
        """Notifies the listeners that a session changed."""
        for listener in self.listeners:
            listener()

    async def _apply(self, batch: tuple[events_module.Event, ...]) -> None:
        changed = {
            event.subject
            for event in batch
            if event.kind is not events_module.EventKind.TAKEOVER
        }
        if len(changed) > SCAN_MIN_CHANGES:
            await self.refresh()
        else:
            for session_id in changed:
                await self.read(session_id)
        self.sequence = batch[-1].sequence
        for event in batch:
            for listener in self.event_listeners:
                listener(event)
        self.notify()

    def _scan_is_due(self) -> bool:
        period = max(
            MIN_SCAN_INTERVAL, SCAN_INTERVAL_PER_SESSION * len(self.sessions)
        )
        elapsed = self.clock.monotonic() - self.scanned_at
        return elapsed >= period.total_seconds()

    def _is_superseded(self, session: sessions.Session) -> bool:
        return any(
            other.host_id == session.host_id
            and other.joined_sequence > session.joined_sequence
            for other in self.sessions.values()
        )
