"""Detects failed owners by probes, before their sessions lapse.

Used only for engines that check fencing tokens. For these, a false positive
only causes an unnecessary change of owner.
"""

import asyncio
from collections.abc import Collection
import datetime
from typing import final

from _dogwoodhinge import errors as node_errors
from _dogwoodhinge.membership import errors as membership_errors
from _dogwoodhinge.membership import membership as membership_module
from _dogwoodhinge.membership import sessions
from _dogwoodhinge.membership import watcher
from _dogwoodhinge.peer import client
from _dogwoodhinge.peer import peer_pb2
from dogwoodhinge import ports

PROBE_TIMEOUT = datetime.timedelta(seconds=1)
MISSED_PROBES_LIMIT = 2  # consecutive
# Unless it refuses connections, an unresponsive session is suspected only once
# its row has also stayed unchanged for this many renewal intervals.
MISSED_RENEWALS_LIMIT = 2


@final
class FailureDetector:
    """Probes the owners whose engines this node would take over.

    Attributes:
        missed: consecutive failed probes by session.
        refused: sessions whose last probe had its connection refused.
        unchanged_rows: since when the row of an unresponsive session has
            shown the same version.
    """

    def __init__(
        self,
        *,
        membership: membership_module.Membership,
        peer_client: client.PeerClient,
        clock: ports.Clock,
        renew_interval: datetime.timedelta,
    ) -> None:
        self.membership = membership
        self.peer_client = peer_client
        self.clock = clock
        self.renew_interval = renew_interval
        self.missed: dict[str, int] = {}
        self.refused: set[str] = set()
        self.unchanged_rows: dict[str, watcher.UnchangedRow] = {}

    async def probe(self, probed: Collection[sessions.Session]) -> None:
        """Probes sessions once, concurrently; drops the state of all others."""
        wanted_ids = {session.session_id for session in probed}
        for session_id in self.missed.keys() - wanted_ids:
            self._reset(session_id)
        await asyncio.gather(*(self._probe_one(s) for s in probed))

    def is_suspected(self, session_id: str) -> bool:
        """Returns whether a session is suspected to have failed."""
        if self.missed.get(session_id, 0) < MISSED_PROBES_LIMIT:
            return False
        if session_id in self.refused:
            return True
        unchanged = self.unchanged_rows.get(session_id)
        if unchanged is None:
            return False
        limit = MISSED_RENEWALS_LIMIT * self.renew_interval.total_seconds()
        return self.clock.monotonic() - unchanged.since >= limit

    async def _probe_one(self, session: sessions.Session) -> None:
        request = peer_pb2.Reachability(session_id=self.membership.self_id)
        try:
            await self.peer_client.call(
                session.peer_address,
                "ExchangeReachability",
                request,
                timeout=PROBE_TIMEOUT,
            )
        except node_errors.PeerError as error:
            self._record_miss(session.session_id, error)
            await self._read_session_row(session.session_id)
        else:
            self._reset(session.session_id)

    def _record_miss(
        self, session_id: str, error: node_errors.PeerError
    ) -> None:
        self.missed[session_id] = self.missed.get(session_id, 0) + 1
        if isinstance(error.__cause__, ConnectionRefusedError):
            self.refused.add(session_id)
        else:
            self.refused.discard(session_id)

    async def _read_session_row(self, session_id: str) -> None:
        """Records since when the session's row has been unchanged."""
        try:
            session = await self.membership.read_session(session_id)
        except membership_errors.MembershipUnavailableError:
            self.unchanged_rows.pop(session_id, None)
            return
        if session is None:
            return
        unchanged = self.unchanged_rows.get(session_id)
        if unchanged is None or unchanged.version != session.version:
            self.unchanged_rows[session_id] = watcher.UnchangedRow(
                session.version, self.clock.monotonic()
            )

    def _reset(self, session_id: str) -> None:
        self.missed.pop(session_id, None)
        self.refused.discard(session_id)
        self.unchanged_rows.pop(session_id, None)
