"""Finds engines without a working owner that this node should take over."""

from collections.abc import Iterable, Mapping
import datetime
from typing import final

from _dogwoodhinge.membership import membership as membership_module
from _dogwoodhinge.membership import sessions
from _dogwoodhinge.ownership import failure_detection as detector_module
from _dogwoodhinge.ownership import owner_ranking as ranking_module
from _dogwoodhinge.ownership import records as records_module
from dogwoodhinge import models
from dogwoodhinge import ports

SETTLE_DELAY = datetime.timedelta(seconds=1)
# Each rank below the first waits this much longer before it takes over.
TAKEOVER_DELAY_PER_RANK = datetime.timedelta(seconds=3)


@final
class UnownedEngines:
    """Decides when this node should take over an engine.

    Attributes:
        joined_at: when this node's session joined, monotonic; None while it
            has not.
        unowned_since: when this node first saw that an engine needs an owner,
            monotonic, by engine.
    """

    def __init__(
        self,
        *,
        membership: membership_module.Membership,
        ranking: ranking_module.OwnerRanking,
        failure_detector: detector_module.FailureDetector,
        clock: ports.Clock,
    ) -> None:
        self.membership = membership
        self.ranking = ranking
        self.failure_detector = failure_detector
        self.clock = clock
        self.joined_at: float | None = None
        self.unowned_since: dict[str, float] = {}

    async def probe(
        self,
        engines: Iterable[models.Endpoint],
        records: Mapping[str, records_module.OwnerRecord],
    ) -> None:
        """Probes owners of fenced engines for which this node ranks next."""
        probed: dict[str, sessions.Session] = {}
        for endpoint in engines:
            record = records.get(endpoint.endpoint_id)
            if record is None or not endpoint.checks_fencing:
                continue
            owner = self._other_live_session(record.session_id)
            if owner is None:
                continue
            successor = self.ranking.best(endpoint, excluding=owner.session_id)
            if successor and successor.session_id == self.membership.self_id:
                probed[owner.session_id] = owner
        await self.failure_detector.probe(probed.values())

    def takeover_reason(
        self,
        endpoint: models.Endpoint,
        record: records_module.OwnerRecord | None,
    ) -> str:
        """Returns why this node should take over now; empty if not."""
        reason = self._unowned_reason(endpoint, record)
        if not reason:
            self.unowned_since.pop(endpoint.endpoint_id, None)
            return ""
        now = self.clock.monotonic()
        since = self.unowned_since.setdefault(endpoint.endpoint_id, now)
        previous_owner = record.session_id if record else ""
        return reason if self._is_turn(endpoint, previous_owner, since) else ""

    def _other_live_session(self, session_id: str) -> sessions.Session | None:
        """Returns another node's session; None if it is no longer live."""
        if session_id == self.membership.self_id:
            return None
        if self.membership.is_inactive(session_id):
            return None
        return self.membership.session(session_id)

    def _unowned_reason(
        self,
        endpoint: models.Endpoint,
        record: records_module.OwnerRecord | None,
    ) -> str:
        """Returns why an engine needs an owner; empty if it has one."""
        if record is None:
            return "the engine has no owner yet" if self._has_settled() else ""
        if self.membership.is_inactive(record.session_id):
            return "the owner's session ended, lapsed or lost its host"
        if endpoint.checks_fencing and self.failure_detector.is_suspected(
            record.session_id
        ):
            return "the owner does not respond to probes"
        return ""

    def _has_settled(self) -> bool:
        """Returns whether nodes that start together have had time to join."""
        if self.joined_at is None:
            return False
        elapsed = self.clock.monotonic() - self.joined_at
        return elapsed >= SETTLE_DELAY.total_seconds()

    def _is_turn(
        self, endpoint: models.Endpoint, previous_owner: str, since: float
    ) -> bool:
        """Returns whether this node's rank may take over yet.

        The best rank may at once, each further rank after another
        `TAKEOVER_DELAY_PER_RANK`.
        """
        waited = self.clock.monotonic() - since
        eligible = int(waited / TAKEOVER_DELAY_PER_RANK.total_seconds()) + 1
        ranked = self.ranking.ranked(endpoint, excluding=previous_owner)
        if eligible > len(ranked):
            ranked += self.ranking.ranked_remainder(
                endpoint, excluding=previous_owner
            )
        return self.membership.self_id in ranked[:eligible]
