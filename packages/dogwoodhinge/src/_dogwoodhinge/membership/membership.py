"""This node's session and the sessions of all other nodes."""

from collections.abc import Awaitable, Callable
from typing import final

from absl import logging
import mode

from _dogwoodhinge import decisions as decisions_module
from _dogwoodhinge import settings as settings_module
from _dogwoodhinge.membership import directory as directory_module
from _dogwoodhinge.membership import errors
from _dogwoodhinge.membership import events as events_module
from _dogwoodhinge.membership import majority
from _dogwoodhinge.membership import own_session as own_session_module
from _dogwoodhinge.membership import roster as roster_module
from _dogwoodhinge.membership import sessions
from _dogwoodhinge.membership import watcher
from dogwoodhinge import ports

EARLY_RENEWAL_MAX_SESSIONS = (
    32  # with more, one new session's vote rarely matters
)
WARNING_INTERVAL_SECONDS = 10.0
COUNT_TIMEOUT_INTERVALS = (
    1.5  # a healthy node renews within this many intervals
)
SCANS_PER_RENEWAL = 4


@final
class Membership(mode.Service):
    """Renews this node's session and tracks the sessions of the others.

    Attributes:
        roster: the sessions as last read.
        own_session: writes this node's row.
        watcher: lapses the sessions of nodes that stopped renewing.
    """

    def __init__(
        self,
        *,
        table: ports.TableService,
        directory: directory_module.EndpointDirectory,
        clock: ports.Clock,
        settings: settings_module.Settings,
        addresses: sessions.Addresses,
        applied_revision: Callable[[], int],
        decisions: decisions_module.DecisionLog,
        make_session_id: Callable[[], str] = sessions.make_session_id,
    ) -> None:
        super().__init__()
        self.directory = directory
        self.clock = clock
        self.settings = settings
        self.roster = roster_module.Roster(
            table=table, directory=directory, clock=clock
        )
        self.own_session = own_session_module.OwnSession(
            table=table,
            roster=self.roster,
            clock=clock,
            settings=settings,
            addresses=addresses,
            applied_revision=applied_revision,
            decisions=decisions,
            make_session_id=make_session_id,
        )
        self.watcher = watcher.Watcher(
            roster=self.roster,
            own=self.own_session,
            clock=clock,
            settings=settings,
            decisions=decisions,
        )

    @property
    def own(self) -> sessions.Session:
        """This node's session, as its row was last written."""
        return self.own_session.current

    @property
    def self_id(self) -> str:
        """The id of this node's session."""
        return self.own_session.current.session_id

    @property
    def joined(self) -> bool:
        """True if this node's session is in the table, as far as is known."""
        return self.own_session.joined

    @property
    def renewed_at(self) -> float:
        """Start of the last successful renewal, monotonic."""
        return self.own_session.renewed_at

    @property
    def voter_ids(self) -> frozenset[str]:
        """Ids of the sessions known at the last renewal."""
        return self.own_session.voter_ids

    @property
    def last_reached_at(self) -> float:
        """When the table last answered, monotonic."""
        return self.roster.last_reached_at

    @property
    def events(self) -> events_module.EventLog:
        """The log of membership events."""
        return self.roster.events

    @property
    def listeners(self) -> list[Callable[[], None]]:
        """Callbacks that are called after each change of the sessions."""
        return self.roster.listeners

    async def on_start(self) -> None:
        """Joins; if the table doesn't answer, the renewal task retries."""
        await _warn_on_failure(
            self.own_session.join(), "can't join the cluster yet; will retry"
        )

    def known(self) -> tuple[sessions.Session, ...]:
        """Returns the sessions that count for majorities."""
        return self.roster.known()

    def live(self) -> tuple[sessions.Session, ...]:
        """Returns the live sessions, including this node's."""
        return self.roster.live()

    def peers(self) -> tuple[sessions.Session, ...]:
        """Returns the live sessions of other nodes."""
        return tuple(
            session
            for session in self.roster.live()
            if session.session_id != self.self_id
        )

    def session(self, session_id: str) -> sessions.Session | None:
        """Returns a session as last read; None when it is unknown."""
        return self.roster.sessions.get(session_id)

    def is_inactive(self, session_id: str) -> bool:
        """Returns whether a session ended, lapsed, or lost its host."""
        return self.roster.is_inactive(session_id)

    def holds_lease(self) -> bool:
        """Returns whether this node's session lease is valid now."""
        return self.own_session.holds_lease()

    async def read_session(self, session_id: str) -> sessions.Session | None:
        """Reads one session's row into the roster.

        Raises:
            MembershipUnavailableError: the table did not answer.
        """
        return await self.roster.read(session_id)

    async def refresh(self) -> None:
        """Reads all sessions, so that applied revisions are up to date.

        Raises:
            MembershipUnavailableError: the table did not answer.
        """
        await self.roster.refresh()

    async def majority_renewed(self) -> bool:
        """Returns whether a strict majority renewed after this call began.

        Cached rows are not used: the rows are scanned until enough versions
        have increased, for at most one and a half renewal intervals. Each
        session that was not seen to renew must be outvoted by the sessions
        that it knew itself, as it decides by those while it is cut off.
        """
        period = self.settings.seconds("renew")
        timeout = COUNT_TIMEOUT_INTERVALS * period.total_seconds()
        began_at = self.clock.monotonic()
        try:
            before = await self.roster.scan()
            while self.clock.monotonic() - began_at < timeout:
                await self.clock.sleep(period / SCANS_PER_RENEWAL)
                now = await self.roster.scan()
                voters = tuple(filter(self.roster.may_act, now.values()))
                replaced = tuple(filter(self.roster.is_replaced, now.values()))
                if majority.has_renewal_majority(
                    voters, before, counting_id=self.self_id, replaced=replaced
                ):
                    return True
        except errors.MembershipUnavailableError:
            return False
        return False

    async def start_drain(self) -> None:
        """Marks this node's session as draining: it is assigned no engines."""
        await _warn_on_failure(
            self.own_session.leave(
                sessions.SessionState.DRAINING, events_module.EventKind.DRAIN
            ),
            "can't mark this node's session as draining",
        )

    async def end(self) -> None:
        """Ends this node's session and stops its renewal."""
        self.own_session.closing = True
        await _warn_on_failure(
            self.own_session.leave(
                sessions.SessionState.ENDED, events_module.EventKind.END
            ),
            "can't end this node's session; it will lapse",
        )
        self.own_session.joined = False

    @mode.Service.task
    async def _renew_loop(self) -> None:
        while not self.should_stop:
            await self.clock.sleep(self.settings.seconds("renew"))
            if self.own_session.closing:
                return
            if self.joined:
                renewal = self.own_session.renew()
            else:
                renewal = self.own_session.join()
            await _warn_on_failure(
                renewal, "can't renew this node's session; will retry"
            )

    @mode.Service.task
    async def _poll_events(self) -> None:
        while not self.should_stop:
            await self.clock.sleep(self.settings.seconds("config_poll"))
            await _warn_on_failure(
                self.follow(), "can't read membership events; will retry"
            )

    @mode.Service.task
    async def _watch_loop(self) -> None:
        while not self.should_stop:
            await self.clock.sleep(self.settings.seconds("renew"))
            await _warn_on_failure(
                self.watcher.watch(), "can't check other sessions; will retry"
            )

    async def follow(self) -> None:
        """Applies new events; begins a new session if this one was lapsed.

        Raises:
            MembershipUnavailableError: the table did not answer.
        """
        await self.roster.follow()
        await self.own_session.check()
        if self._is_early_renewal_due():
            await self.own_session.renew()

    def _is_early_renewal_due(self) -> bool:
        """Returns whether to renew early because another session joined.

        A node that is cut off can be outvoted only by sessions that its row
        covers (`known_sequence`). With few sessions, one that joined after the
        last renewal can decide the count: if the node were cut off before its
        next renewal, all changes would stop until its host is gone.
        """
        known = self.roster.known()
        if not self.joined or len(known) > EARLY_RENEWAL_MAX_SESSIONS:
            return False
        recorded_sequence = self.own.known_sequence
        return any(
            session.joined_sequence > recorded_sequence
            for session in known
            if session.session_id != self.self_id
        )


async def _warn_on_failure(action: Awaitable[None], message: str) -> None:
    """Awaits an action and logs its failure; the caller retries it later."""
    try:
        await action
    except errors.MembershipError as error:
        logging.log_every_n_seconds(
            logging.WARNING, f"{message}: %s", WARNING_INTERVAL_SECONDS, error
        )
