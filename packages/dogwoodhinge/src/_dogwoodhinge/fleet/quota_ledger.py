"""The leader's ledger of the organisations' quotas, which hosts share.

Load pattern: one organisation's requests arrive at many hosts, evenly or at two
of 75, and at times ask for several times its quota. All hosts together may
serve no more than the quota allows, also those that the leader can't reach, and
what lies inside the quota should not be refused because it arrived at the wrong
host.

An organisation has one bucket, which is refilled at its rate. Hosts hold credit
out of it: with each report the leader tops up their credit, in proportion to
what they were asked lately, and a host whose credit doesn't suffice for a
request asks for more. Credit that a host holds still counts as part of the
bucket, so that no distribution of it exceeds what the bucket allows.

A host that loses the leader goes on at its share of the rate for
`SHARE_LIFETIME`. The leader keeps the shares of silent hosts free for that
time. A new leader begins with an empty bucket, so that neither a change of the
leader nor a restart of all hosts is worth a burst.
"""

from collections.abc import Callable
import dataclasses
import datetime
import math
from typing import final

from _dogwoodhinge.fleet import models

# How long a host may spend its share without a leader.
SHARE_LIFETIME = datetime.timedelta(seconds=6)

# A host without a report for this long is assumed to spend its share.
SILENT_AFTER = datetime.timedelta(seconds=2.5)

# A host is asked for an adapter's worth of requests unevenly; its demand is an
# average over about this time.
DEMAND_TIME = datetime.timedelta(seconds=2)

# Part of the bucket that hosts hold as credit. The rest is for requests that
# are larger than the credit of the host at which they arrive.
HELD_FRACTION = 0.75

# Part of the credit that is divided evenly, for hosts that were asked little.
EVEN_FRACTION = 0.5

# Fractions of what may be sent beyond a quota: for the bucket, since the credit
# that hosts hold is not always where it is needed, and for one request that is
# larger than what is left. The rest is for hosts without a leader.
BUCKET_SLACK_FRACTION = 0.5
DEBT_SLACK_FRACTION = 0.25

# Between a new leader's start and its first refill; by then most hosts have
# reported to it and spend their shares no more.
FIRST_REFILL_DELAY = datetime.timedelta(milliseconds=500)

# Before a host asks again that got less than it wanted.
MIN_ROOM_DELAY = datetime.timedelta(milliseconds=100)

SWEEP_INTERVAL = datetime.timedelta(seconds=1)


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class QuotaBounds:
    """What all hosts together may send beyond each quota.

    Attributes:
        window: any window of this length must keep to the bound.
        overage: fraction of the quota in a window.
        tolerance: amount in a window, in the unit of the quota.
    """

    window: datetime.timedelta
    overage: float = 0.0
    tolerance: float = 0.0

    def slack(self, quota: models.Quota) -> float:
        """Returns what may be sent beyond a quota in one window."""
        allowed = quota.per_second * self.window.total_seconds() + quota.burst
        return allowed * self.overage + self.tolerance

    def limit(self, quota: models.Quota) -> float:
        """Returns what may be sent in one window."""
        allowed = quota.per_second * self.window.total_seconds() + quota.burst
        return allowed + self.slack(quota)


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class QuotaUse:
    """A host's report on one organisation.

    Attributes:
        asked: what callers asked of the host since its last report, also what
            it refused.
        held: credit that the host holds; negative after a time without a
            leader.
        wanted: what requests need that wait for the leader's reply.
        request: what a typical request costs.
    """

    organisation: str
    asked: float
    held: float
    wanted: float = 0.0
    request: float = 0.0


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class QuotaGrant:
    """The leader's reply to a report.

    Attributes:
        granted: credit for the host; negative if it has to return some.
        share: fraction of the rate that the host may spend without a leader.
        room_in: time after which refused callers may come back; 0 if there is
            room.
    """

    organisation: str
    granted: float
    share: float
    room_in: datetime.timedelta = datetime.timedelta(0)


@final
@dataclasses.dataclass(slots=True)
class HostAccount:
    """What the leader knows of one host's use of a quota."""

    reported_at: float
    held: float = 0.0
    demand: float = 0.0
    share: float = 0.0


@final
class QuotaAccount:
    """The bucket of one organisation.

    Attributes:
        level: credit that no host holds; negative after a request that was
            larger than it.
        refilled_at: loop time of the last refill.
        held: credit of all hosts.
        demand: what callers ask of all hosts, per second.
        silent_share: shares of the hosts that do not report.
    """

    def __init__(
        self, quota: models.Quota, bounds: QuotaBounds, *, refilled_at: float
    ) -> None:
        self.quota = quota
        self.bounds = bounds
        self.level = 0.0
        self.refilled_at = refilled_at
        self.hosts: dict[str, HostAccount] = {}
        self.held = 0.0
        self.demand = 0.0
        self.silent_share = 0.0

    @property
    def capacity(self) -> float:
        """Credit that exists at most, on hosts and in the bucket."""
        slack = self.bounds.slack(self.quota)
        return self.quota.burst + slack * BUCKET_SLACK_FRACTION

    @property
    def max_debt(self) -> float:
        """How far one request may exceed the bucket."""
        return self.bounds.slack(self.quota) * DEBT_SLACK_FRACTION

    def refill(self, now: float) -> None:
        """Adds what the rate has allowed since the last refill."""
        elapsed = max(0.0, now - self.refilled_at)
        self.refilled_at = max(now, self.refilled_at)
        rate = self.quota.per_second * max(0.0, 1 - self.silent_share)
        self.level += rate * elapsed
        self.level = min(self.level, self.capacity - self.held)

    def exchange(self, host: str, use: QuotaUse, now: float) -> QuotaGrant:
        """Records a report and grants credit."""
        self.refill(now)
        account = self._record(host, use, now)
        weight = self._weight(account)
        target = self.capacity * HELD_FRACTION * weight
        if target < use.request:
            # Too little for a request on each host would be held in vain.
            target = 0.0
        reserve = self.capacity * (1 - HELD_FRACTION)
        missing = max(0.0, use.wanted - use.held)
        covered = self._cover(missing, use.request)
        rest = target - max(0.0, use.held - use.wanted)
        if rest > 0:
            rest = min(rest, max(0.0, self.level - covered - reserve))
        granted = covered + rest
        self.level -= granted
        self.held += granted
        account.held += granted
        account.share = weight
        return QuotaGrant(
            organisation=use.organisation,
            granted=granted,
            share=weight,
            room_in=self._room_in(missing - covered, reserve),
        )

    def _cover(self, missing: float, request: float) -> float:
        """Returns how much waiting requests get of what they miss."""
        if missing <= 0 or self.level <= 0:
            return 0.0
        covered = min(missing, self.level + self.max_debt)
        # Less than one request needs would be held in vain.
        return 0.0 if covered < min(missing, request) else covered

    def _room_in(self, missing: float, reserve: float) -> datetime.timedelta:
        rate = self.quota.per_second
        if not rate:
            return self.bounds.window
        overload = max(0.0, self.demand / rate - 1)
        if missing <= 0 and (not overload or self.level > reserve):
            return datetime.timedelta(0)
        # Callers that come back all at once would find no room either: the
        # more is asked beyond the rate, the later they should.
        seconds = (missing - self.level - self.max_debt) / rate
        seconds = max(0.0, seconds) + overload
        return min(
            self.bounds.window,
            max(MIN_ROOM_DELAY, datetime.timedelta(seconds=seconds)),
        )

    def _record(self, host: str, use: QuotaUse, now: float) -> HostAccount:
        account = self.hosts.get(host)
        if account is None:
            account = self.hosts[host] = HostAccount(reported_at=now)
            # Its first report says nothing about the time before it.
            elapsed = DEMAND_TIME.total_seconds()
        else:
            elapsed = max(1e-3, now - account.reported_at)
        kept = math.exp(-elapsed / DEMAND_TIME.total_seconds())
        demand = account.demand * kept + use.asked / elapsed * (1 - kept)
        self.held += use.held - account.held
        self.demand += demand - account.demand
        account.held = use.held
        account.demand = demand
        account.reported_at = now
        return account

    def _weight(self, account: HostAccount) -> float:
        even = EVEN_FRACTION / len(self.hosts)
        if self.demand <= 0:
            return even
        return even + (1 - EVEN_FRACTION) * account.demand / self.demand

    def sweep(self, now: float, *, sole_leader: bool) -> None:
        """Drops hosts whose shares have expired, and renews the sums.

        Args:
            now: loop time.
            sole_leader: whether no other host may lead by now; otherwise the
                hosts that went silent may be served by another leader.
        """
        self.refill(now)
        if sole_leader:
            expired_at = now - SHARE_LIFETIME.total_seconds()
            for host, account in tuple(self.hosts.items()):
                if account.reported_at < expired_at:
                    del self.hosts[host]
        accounts = self.hosts.values()
        silent_at = now - SILENT_AFTER.total_seconds()
        self.held = sum(account.held for account in accounts)
        self.demand = sum(account.demand for account in accounts)
        self.silent_share = sum(
            account.share
            for account in accounts
            if account.reported_at < silent_at
        )


@final
class QuotaLedger:
    """The buckets of all organisations whose requests were reported lately.

    Attributes:
        bounds: returns what may be sent beyond each quota.
        token: of the order lease under which this node leads.
    """

    def __init__(
        self,
        *,
        configuration: Callable[[], models.Configuration | None],
        bounds: Callable[[], QuotaBounds],
    ) -> None:
        self.configuration = configuration
        self.bounds = bounds
        self.token = 0
        self.leading_since = 0.0
        self.swept_at = 0.0
        self.accounts: dict[str, QuotaAccount] = {}
        self.indexed: models.Configuration | None = None
        self.quotas: dict[str, models.Quota] = {}

    def lead(self, token: int, now: float, *, sole_leader: bool) -> None:
        """Records that this node leads; called with each report of a host.

        Args:
            token: of the order lease; a new one begins with empty buckets.
            now: loop time.
            sole_leader: whether the order lease is valid.
        """
        if token != self.token:
            self.token = token
            self.leading_since = now
            self.accounts.clear()
        self._sweep(now, sole_leader=sole_leader)

    def exchange(
        self, host: str, use: QuotaUse, now: float
    ) -> QuotaGrant | None:
        """Records a host's report and grants credit.

        Returns:
            None if the organisation has no quota in the configuration of this
            node.
        """
        account = self._account(use.organisation, now)
        return None if account is None else account.exchange(host, use, now)

    def _account(self, organisation: str, now: float) -> QuotaAccount | None:
        quota = self._quota(organisation)
        if quota is None:
            self.accounts.pop(organisation, None)
            return None
        account = self.accounts.get(organisation)
        if account is None:
            # Nothing was asked since this node leads, or the bucket was full.
            first_refill = (
                self.leading_since + FIRST_REFILL_DELAY.total_seconds()
            )
            account = self.accounts[organisation] = QuotaAccount(
                quota, self.bounds(), refilled_at=first_refill
            )
        elif account.quota.unit is not quota.unit:
            account = self.accounts[organisation] = QuotaAccount(
                quota, self.bounds(), refilled_at=now
            )
        account.quota = quota
        account.bounds = self.bounds()
        return account

    def _quota(self, organisation: str) -> models.Quota | None:
        configuration = self.configuration()
        if configuration is not self.indexed:
            self.indexed = configuration
            organisations = configuration and configuration.organisations
            self.quotas = {
                o.name: o.quota for o in organisations or () if o.quota
            }
        return self.quotas.get(organisation)

    def _sweep(self, now: float, *, sole_leader: bool) -> None:
        if now - self.swept_at < SWEEP_INTERVAL.total_seconds():
            return
        self.swept_at = now
        for name, account in tuple(self.accounts.items()):
            account.sweep(now, sole_leader=sole_leader)
            full = account.level >= account.capacity
            if not account.hosts and full:
                del self.accounts[name]


def largest_request(quota: models.Quota, bounds: QuotaBounds) -> float:
    """Returns the size of the largest request that is ever admitted."""
    account = QuotaAccount(quota, bounds, refilled_at=0.0)
    return account.capacity + account.max_debt
