"""This node's own session: join, renew, drain, end and rejoin."""

import asyncio
from collections.abc import Callable
import dataclasses
from typing import final

from _dogwoodhinge import decisions as decisions_module
from _dogwoodhinge import injection
from _dogwoodhinge import settings as settings_module
from _dogwoodhinge.membership import errors
from _dogwoodhinge.membership import events as events_module
from _dogwoodhinge.membership import lease
from _dogwoodhinge.membership import majority
from _dogwoodhinge.membership import roster as roster_module
from _dogwoodhinge.membership import sessions
from dogwoodhinge import errors as port_errors
from dogwoodhinge import ports

MAX_GAP_INTERVALS = 2  # a longer gap resets `renewing_since`


@final
class OwnSession:
    """Writes this node's session row.

    Attributes:
        current: the session as its row was last written.
        joined: whether the row is in the table, as far as this node knows.
        closing: whether the session has been ended; it is not renewed again.
        renewed_at: start of the last successful renewal, monotonic.
        renewing_since: start of the first renewal of the current series
            without a long gap, monotonic.
        voter_ids: ids of the sessions known when the last renewal was
            written; while the node can't reach the table, it decides by them
            what it may do.
    """

    def __init__(
        self,
        *,
        table: ports.TableService,
        roster: roster_module.Roster,
        clock: ports.Clock,
        settings: settings_module.Settings,
        addresses: sessions.Addresses,
        applied_revision: Callable[[], int],
        decisions: decisions_module.DecisionLog,
        make_session_id: Callable[[], str],
    ) -> None:
        self.table = table
        self.roster = roster
        self.clock = clock
        self.settings = settings
        self.addresses = addresses
        self.applied_revision = applied_revision
        self.decisions = decisions
        self.make_session_id = make_session_id
        self.join_lock = asyncio.Lock()
        self.current = self._new_session()
        self.joined = False
        self.closing = False
        self.renewed_at = float("-inf")
        self.renewing_since = float("-inf")
        self.voter_ids: frozenset[str] = frozenset()

    def holds_lease(self) -> bool:
        """Returns whether the session's lease is valid now."""
        return self.joined and lease.is_valid(
            renewed_at=self.renewed_at,
            now=self.clock.monotonic(),
            ttl=self.settings.seconds("session_ttl"),
        )

    async def join(self) -> None:
        """Begins a session, unless the node already has one.

        Raises:
            MembershipUnavailableError: the table did not answer.
        """
        async with self.join_lock:
            if self.joined or self.closing:
                return
            self.current = self._new_session()
            await self.roster.resync()
            while not await self._try_join():
                pass  # another event was committed in between
            self._record_decision("join", "the session was created")
            self.roster.notify()

    async def renew(self) -> None:
        """Renews the lease; replaces the session if it was lapsed.

        Raises:
            MembershipUnavailableError: the table did not answer.
        """
        await injection.reach(injection.Step.RENEW)
        started_at = self.clock.monotonic()
        renewal = dataclasses.replace(
            self.current,
            version=self.current.version + 1,
            known_sequence=self.roster.sequence,
            applied_revision=self.applied_revision(),
        )
        write = sessions.make_write(renewal, expected=self.current.version)
        try:
            await self.table.commit(majority.single_write_transaction(write))
        except port_errors.TableUnavailableError as error:
            raise errors.MembershipUnavailableError(str(error)) from error
        except (
            port_errors.TableConflictError,
            port_errors.TableOutcomeUnknownError,
        ):
            await self._resolve_renewal(renewal, started_at)
        else:
            self._record_renewal(renewal, started_at)

    async def check(self) -> None:
        """Begins a new session if the row, as last read, is no longer active.

        Raises:
            MembershipUnavailableError: the table did not answer.
        """
        if self.closing or not self.joined:
            return
        found = self.roster.sessions.get(self.current.session_id)
        if found is None or not found.active:
            await self._rejoin("a watcher marked the session as lapsed")

    async def leave(
        self, state: sessions.SessionState, kind: events_module.EventKind
    ) -> None:
        """Marks the session as draining or ended.

        Raises:
            MembershipUnavailableError: the table did not answer.
        """
        while self.joined:
            started_at = self.clock.monotonic()
            leaving = dataclasses.replace(
                self.current, state=state, version=self.current.version + 1
            )
            write = sessions.make_write(leaving, expected=self.current.version)
            event = events_module.Event(kind, leaving.session_id)
            try:
                await self.roster.events.commit(event, write)
            except (
                errors.MembershipConflictError,
                port_errors.TableOutcomeUnknownError,
            ):
                found = await self.roster.read(leaving.session_id)
                if found is None or not found.active:
                    return
                self.current = found
                if found.state is not state:
                    continue
            self._record_renewal(leaving, started_at)
            self._record_decision(str(kind), f"the session is {state}")
            self.roster.notify()
            return

    async def _try_join(self) -> bool:
        started_at = self.clock.monotonic()
        head = await self.roster.events.head()
        joining = dataclasses.replace(
            self.current,
            version=1,
            joined_sequence=head + 1,
            known_sequence=self.roster.sequence,
            applied_revision=self.applied_revision(),
        )
        event = events_module.Event(
            events_module.EventKind.JOIN, joining.session_id
        )
        write = sessions.make_write(joining, expected=0)
        try:
            await self.roster.events.commit(event, write, head=head)
        except errors.MembershipConflictError:
            return False
        except port_errors.TableOutcomeUnknownError as error:
            if await self.roster.read(joining.session_id) is None:
                raise errors.MembershipUnavailableError(
                    "lost the answer to the join of session "
                    f"{joining.session_id}; the join will be retried"
                ) from error
        self._record_renewal(joining, started_at)
        self.joined = True
        return True

    async def _resolve_renewal(
        self, renewal: sessions.Session, started_at: float
    ) -> None:
        """Reads the row back after an unknown outcome or a conflict."""
        found = await self.roster.read(renewal.session_id)
        if renewal.session_id != self.current.session_id:
            return  # a new session has replaced it
        if found is None or not found.active:
            await self._rejoin(
                "a watcher lapsed the session before its renewal"
            )
        elif found.version == renewal.version:
            self._record_renewal(found, started_at)
        else:
            self.current = found

    async def _rejoin(self, reason: str) -> None:
        """Gives up the lapsed session and begins a new one."""
        self.joined = False
        self.renewed_at = float("-inf")
        self._record_decision("lapse", reason)
        self.roster.notify()
        await self.join()

    def _record_renewal(
        self, session: sessions.Session, started_at: float
    ) -> None:
        if session.session_id != self.current.session_id:
            return  # a new session has replaced it
        self.current = session
        self.roster.put(session)
        max_gap = MAX_GAP_INTERVALS * self.settings.seconds("renew")
        if started_at - self.renewed_at > max_gap.total_seconds():
            self.renewing_since = started_at
        self.renewed_at = started_at
        self.voter_ids = frozenset(
            other.session_id
            for other in self.roster.known()
            if other.joined_sequence <= session.known_sequence
            or other.session_id == session.session_id
        )

    def _new_session(self) -> sessions.Session:
        return sessions.Session(
            session_id=self.make_session_id(),
            host_id=self.settings.host_id,
            peer_address=self.addresses.peer,
            caller_address=self.addresses.caller,
            operator_address=self.addresses.operator,
            zone=self.settings.zone,
            region=self.settings.region,
        )

    def _record_decision(self, kind: str, reason: str) -> None:
        self.decisions.record(
            decisions_module.Decision(
                kind=kind, chosen=self.current.name, reason=reason
            )
        )
