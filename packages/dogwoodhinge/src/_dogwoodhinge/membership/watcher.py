"""Lapses the sessions of nodes that stopped renewing."""

import dataclasses
from typing import final

from _dogwoodhinge import decisions as decisions_module
from _dogwoodhinge import settings as settings_module
from _dogwoodhinge.membership import errors
from _dogwoodhinge.membership import events as events_module
from _dogwoodhinge.membership import lease
from _dogwoodhinge.membership import own_session as own_session_module
from _dogwoodhinge.membership import rendezvous
from _dogwoodhinge.membership import roster as roster_module
from _dogwoodhinge.membership import sessions
from dogwoodhinge import errors as port_errors
from dogwoodhinge import ports

WATCHERS_PER_SESSION = 3  # a watcher may fail together with the session


@final
@dataclasses.dataclass(frozen=True, slots=True)
class UnchangedRow:
    """Version of a row, and since when it is unchanged, monotonic."""

    version: int
    since: float


@final
class Watcher:
    """Reads the rows of a few sessions once in each renewal interval.

    Attributes:
        unchanged_rows: last version change of the watched sessions, by id.
    """

    def __init__(
        self,
        *,
        roster: roster_module.Roster,
        own: own_session_module.OwnSession,
        clock: ports.Clock,
        settings: settings_module.Settings,
        decisions: decisions_module.DecisionLog,
    ) -> None:
        self.roster = roster
        self.own = own
        self.clock = clock
        self.settings = settings
        self.decisions = decisions
        self.unchanged_rows: dict[str, UnchangedRow] = {}

    async def watch(self) -> None:
        """Reads each watched session; lapses those that stopped renewing.

        Raises:
            MembershipUnavailableError: the table did not answer.
        """
        watched_ids = self.watched_ids()
        for session_id in self.unchanged_rows.keys() - watched_ids:
            del self.unchanged_rows[session_id]
        for session_id in watched_ids:
            await self._watch_one(session_id)

    def watched_ids(self) -> set[str]:
        """Returns the ids of the sessions that this node watches.

        The active sessions form a ring in which each is watched by the ones
        that follow it, so that every node watches the same number of sessions.
        """
        active = {s.session_id for s in self.roster.known() if s.active}
        ring = rendezvous.rank("watch", active)
        own_id = self.own.current.session_id
        if own_id not in active:
            return set()
        own_index = ring.index(own_id)
        offsets = range(1, min(WATCHERS_PER_SESSION, len(ring) - 1) + 1)
        return {ring[own_index - offset] for offset in offsets}

    async def _watch_one(self, session_id: str) -> None:
        session = await self.roster.read(session_id)
        if session is None or not session.active:
            self.unchanged_rows.pop(session_id, None)
            return
        now = self.clock.monotonic()
        seen = self.unchanged_rows.get(session_id)
        if seen is None or seen.version != session.version:
            self.unchanged_rows[session_id] = UnchangedRow(session.version, now)
            return
        # While this node could not renew, the other nodes may not have been
        # able to either: an outage of the table must not lapse sessions.
        unchanged_seconds = now - max(seen.since, self.own.renewing_since)
        limit = lease.lapse_timeout(self.settings.seconds("session_ttl"))
        if (
            self.own.holds_lease()
            and unchanged_seconds >= limit.total_seconds()
        ):
            await self._lapse(session, unchanged_seconds)

    async def _lapse(
        self, session: sessions.Session, unchanged_seconds: float
    ) -> None:
        lapsed = dataclasses.replace(
            session,
            state=sessions.SessionState.LAPSED,
            version=session.version + 1,
        )
        event = events_module.Event(
            events_module.EventKind.LAPSE, session.session_id
        )
        write = sessions.make_write(lapsed, expected=session.version)
        try:
            await self.roster.events.commit(event, write)
        except (
            errors.MembershipConflictError,
            port_errors.TableOutcomeUnknownError,
        ):
            return  # the next call of `watch` reads the row again
        self.roster.put(lapsed)
        self.decisions.record(
            decisions_module.Decision(
                kind="lapse",
                chosen=session.name,
                reason=f"no renewal for {unchanged_seconds:.1f} s",
            )
        )
        self.roster.notify()
