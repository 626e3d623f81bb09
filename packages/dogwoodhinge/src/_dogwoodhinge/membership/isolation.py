"""Decides what a node may do while it can't reach the table.

A node continues only while it has recent reports that a strict majority of the
sessions it knew can't reach the table either: then no node can have changed
the table's rows. `docs/ownership.md` has the reasoning.
"""

import asyncio
from collections.abc import Iterable
import dataclasses
import datetime
import enum
import math
import random
from typing import Protocol, final

from absl import logging
import mode

from _dogwoodhinge import decisions as decisions_module
from _dogwoodhinge import errors as node_errors
from _dogwoodhinge import settings as settings_module
from _dogwoodhinge.membership import majority
from _dogwoodhinge.membership import membership as membership_module
from _dogwoodhinge.peer import client
from _dogwoodhinge.peer import peer_pb2
from dogwoodhinge import ports

MAX_STALENESS = datetime.timedelta(seconds=5)
EXCHANGE_DELAY = datetime.timedelta(seconds=2)
EXCHANGE_INTERVAL = datetime.timedelta(seconds=1)
EXCHANGE_TIMEOUT = datetime.timedelta(seconds=1)
MAX_REPORT_AGE = datetime.timedelta(seconds=5)
GONE_HOST_TIMEOUT = MAX_REPORT_AGE + 3 * EXCHANGE_INTERVAL
MAX_PEERS_PER_EXCHANGE = 6
MIN_PEERS_PER_EXCHANGE = 2  # with 1, reports exceed the age limit
ENTRIES_PER_EXCHANGE = 200  # bounds the size of the replies
MAX_REPLY_ENTRIES = 100  # the newest reports suffice for a majority
MAX_AGE_MS = 2**32 - 1


class IsolationStatus(enum.StrEnum):
    """A node's connection status with respect to the table."""

    CONNECTED = "connected"
    HOLDING = "holding"
    ISOLATED = "isolated"


class ConfigFreshness(Protocol):
    """The part of the configuration view that isolation uses."""

    last_fresh_at: float


@final
@dataclasses.dataclass(frozen=True, slots=True)
class ReachabilityReport:
    """A session's report on itself, in this node's monotonic time.

    Attributes:
        reported_at: lower bound of the time at which the session reported.
        reached_at: upper bound of the time at which the session had last
            reached the table when it reported.
    """

    reported_at: float
    reached_at: float


@final
class Isolation(mode.Service):
    """Asks peers whether they reach the table, while this node can't.

    Attributes:
        latest_reports: the newest report of each session.
        status: last computed status; for readiness and `status`.
        extension_ended_for: start of the renewal whose lease may no longer be
            extended beyond its expiry; placement stays suspended until a
            newer renewal.
        exchange_enabled: whether nodes exchange reports; False, for
            comparisons, suspends every node that can't reach the table.
    """

    def __init__(
        self,
        *,
        membership: membership_module.Membership,
        view: ConfigFreshness,
        peer_client: client.PeerClient,
        clock: ports.Clock,
        settings: settings_module.Settings,
        decisions: decisions_module.DecisionLog,
        exchange_enabled: bool = True,
    ) -> None:
        super().__init__()
        self.membership = membership
        self.view = view
        self.peer_client = peer_client
        self.clock = clock
        self.settings = settings
        self.decisions = decisions
        self.exchange_enabled = exchange_enabled
        self.latest_reports: dict[str, ReachabilityReport] = {}
        self.status = IsolationStatus.CONNECTED
        self.extension_ended_for: float | None = None
        self.random = random.Random()

    @mode.Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            await self.clock.sleep(EXCHANGE_INTERVAL)
            if self.exchange_enabled and self._is_exchange_due():
                await self.poll_peers()
            self.update_status()

    def may_serve(self) -> bool:
        """Returns whether requests may be served with the local config."""
        return self._compute_status() is not IsolationStatus.ISOLATED

    def may_place(self) -> bool:
        """Returns whether orders may be sent to an engine without fencing.

        True while the session's lease is valid, and after its expiry while a
        strict majority is known not to have reached the table since then.
        """
        if self.membership.holds_lease():
            return True
        renewed_at = self.membership.renewed_at
        if not self.membership.joined or self.extension_ended_for == renewed_at:
            return False
        ttl = self.settings.seconds("session_ttl").total_seconds()
        if self.is_majority_cut_off(renewed_at + ttl):
            return True
        self.extension_ended_for = renewed_at
        return False

    def is_majority_cut_off(self, since: float) -> bool:
        """Returns whether a strict majority is known to be cut off.

        Args:
            since: monotonic time; a session that reached the table later is
                not counted as cut off.
        """
        now = self.clock.monotonic()
        voter_ids = self._voter_ids()
        cut_off = sum(
            self._is_cut_off(session_id, since, now) for session_id in voter_ids
        )
        return majority.is_strict_majority(cut_off, len(voter_ids))

    async def exchange(
        self, request: peer_pb2.Reachability
    ) -> peer_pb2.Reachability:
        """Replies to a peer; with one entry while the table is reachable."""
        del request  # of unknown age, so its reports are ignored
        own = self._own_report()
        reports = {self.membership.self_id: own}
        if not self._is_within(own.reached_at, EXCHANGE_DELAY):
            reports.update(self._newest_reports())
        return self.encode(reports)

    async def poll_peers(self) -> None:
        """Asks a random sample of peers in parallel; merges their reports."""
        known = [
            session
            for session in self.membership.known()
            if session.session_id != self.membership.self_id
        ]
        affordable = ENTRIES_PER_EXCHANGE // (len(known) + 1)
        count = min(
            max(
                MIN_PEERS_PER_EXCHANGE, min(MAX_PEERS_PER_EXCHANGE, affordable)
            ),
            len(known),
        )
        chosen = self.random.sample(known, count)
        await asyncio.gather(
            *(self._poll_peer(session.peer_address) for session in chosen)
        )

    def update_status(self) -> None:
        """Computes the status and logs a change."""
        self.may_place()
        status = self._compute_status()
        if status is self.status:
            return
        self.decisions.record(
            decisions_module.Decision(
                kind="isolation",
                chosen=str(status),
                reason=f"was {self.status}; of {len(self._voter_ids())} "
                f"known sessions {self._count_cut_off()} are known to be cut "
                "off from the table",
            )
        )
        self.status = status

    async def _poll_peer(self, address: str) -> None:
        request = peer_pb2.Reachability(session_id=self.membership.self_id)
        asked_at = self.clock.monotonic()
        try:
            reply = await self.peer_client.call(
                address,
                "ExchangeReachability",
                request,
                timeout=EXCHANGE_TIMEOUT,
            )
        except node_errors.PeerError as error:
            logging.info("a peer did not report its reachability: %s", error)
            return
        self.merge_reports(reply.ages, asked_at=asked_at)

    def merge_reports(
        self, ages: Iterable[peer_pb2.SessionAge], *, asked_at: float
    ) -> None:
        """Keeps the reports of a reply that are newer than the known ones.

        Args:
            ages: entries of the reply.
            asked_at: when the request was sent, monotonic.
        """
        answered_at = self.clock.monotonic()
        for age in ages:
            report = ReachabilityReport(
                reported_at=asked_at - age.heard_ms_ago / 1_000,
                reached_at=answered_at - age.reached_ms_ago / 1_000,
            )
            known = self.latest_reports.get(age.session_id)
            if known is None or report.reported_at > known.reported_at:
                self.latest_reports[age.session_id] = report
        self._drop_expired()

    def _compute_status(self) -> IsolationStatus:
        fresh_at = max(self.membership.last_reached_at, self.view.last_fresh_at)
        if self._is_within(fresh_at, MAX_STALENESS):
            return IsolationStatus.CONNECTED
        since = fresh_at + MAX_STALENESS.total_seconds()
        if self.exchange_enabled and self.is_majority_cut_off(since):
            return IsolationStatus.HOLDING
        return IsolationStatus.ISOLATED

    def _voter_ids(self) -> list[str]:
        """Returns the ids of the sessions known at the last renewal.

        A session whose host is gone is left out only after its last report has
        expired, as it may have reached the table after that report.
        """
        now = self.clock.monotonic()
        counted = []
        for session_id in self.membership.voter_ids:
            session = self.membership.session(session_id)
            gone_at = None
            if session is not None:
                gone_at = self.membership.directory.host_gone_since(
                    session.host_id
                )
            if (
                gone_at is None
                or now - gone_at < GONE_HOST_TIMEOUT.total_seconds()
            ):
                counted.append(session_id)
        return counted

    def _is_cut_off(self, session_id: str, since: float, now: float) -> bool:
        if session_id == self.membership.self_id:
            return self.membership.last_reached_at <= since
        report = self.latest_reports.get(session_id)
        return (
            report is not None
            and now - report.reported_at <= MAX_REPORT_AGE.total_seconds()
            and report.reached_at <= since
        )

    def _count_cut_off(self) -> int:
        now = self.clock.monotonic()
        since = self.membership.last_reached_at + MAX_STALENESS.total_seconds()
        return sum(
            self._is_cut_off(session_id, since, now)
            for session_id in self._voter_ids()
        )

    def _newest_reports(self) -> dict[str, ReachabilityReport]:
        others = [
            item
            for item in self.latest_reports.items()
            if item[0] != self.membership.self_id
        ]
        others.sort(key=lambda item: item[1].reported_at, reverse=True)
        return dict(others[: MAX_REPLY_ENTRIES - 1])

    def _own_report(self) -> ReachabilityReport:
        return ReachabilityReport(
            self.clock.monotonic(), self.membership.last_reached_at
        )

    def _is_exchange_due(self) -> bool:
        return not self._is_within(
            self.membership.last_reached_at, EXCHANGE_DELAY
        )

    def _is_within(self, instant: float, limit: datetime.timedelta) -> bool:
        return self.clock.monotonic() - instant <= limit.total_seconds()

    def _drop_expired(self) -> None:
        oldest = self.clock.monotonic() - MAX_REPORT_AGE.total_seconds()
        self.latest_reports = {
            session_id: report
            for session_id, report in self.latest_reports.items()
            if report.reported_at >= oldest
        }

    def encode(
        self, reports: dict[str, ReachabilityReport]
    ) -> peer_pb2.Reachability:
        """Encodes reports as ages in milliseconds.

        The age of a report is rounded up, and the time since the table was
        reached is rounded down, so that a receiver never overestimates how
        recent a report is or how long its session has been cut off.
        """
        now = self.clock.monotonic()
        ages = [
            peer_pb2.SessionAge(
                session_id=session_id,
                heard_ms_ago=_to_ms(now - report.reported_at, up=True),
                reached_ms_ago=_to_ms(now - report.reached_at, up=False),
            )
            for session_id, report in reports.items()
        ]
        return peer_pb2.Reachability(
            session_id=self.membership.self_id, ages=ages
        )


def _to_ms(seconds: float, *, up: bool) -> int:
    if math.isinf(seconds):
        return MAX_AGE_MS
    milliseconds = seconds * 1_000
    whole = math.ceil(milliseconds) if up else math.floor(milliseconds)
    return max(0, min(MAX_AGE_MS, whole))
