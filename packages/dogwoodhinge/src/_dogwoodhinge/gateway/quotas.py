"""Admits requests within the quotas of their organisations.

Load pattern: an organisation asks for several times its quota, at all hosts or
at a few, in requests of very different sizes. What is beyond the quota is
refused at once, before it waits for anything, so that it takes no room from
others; what is inside is served wherever it arrives.

A host spends credit that the leader grants it, see `fleet.quota_ledger`. If the
credit does not suffice for a request, the leader is asked for more, once for
all requests that wait for its reply. A host without a leader spends its share
of the rate, and after a time a small part of an even share.
"""

import asyncio
from collections.abc import Callable, Iterable
import datetime
import math
from typing import Protocol, final

from _dogwoodhinge.fleet import leader as leader_lib
from _dogwoodhinge.fleet import models
from _dogwoodhinge.fleet import quota_ledger
from dogwoodhinge import errors

# An organisation without a request for this long is forgotten, and its credit
# returns to the leader.
IDLE_TIMEOUT = datetime.timedelta(seconds=30)

# Between two attempts to ask the leader, after one that brought nothing.
ASK_AGAIN_DELAY = datetime.timedelta(milliseconds=500)

# What all hosts without a leader may spend beyond their shares in a window, as
# a fraction of what may be sent beyond a quota: as an overdraft, or at a rate
# once their shares have expired.
LEADERLESS_SLACK_FRACTION = 0.25

# What a host whose share has expired saves up of that rate.
MAX_SAVED_TIME = datetime.timedelta(seconds=1)

# Weight of the newest request in the typical cost of one.
COST_SMOOTHING = 0.1

# A reply to one request may come too late for another that joined the call.
EXCHANGES_PER_REQUEST = 2

MIN_RETRY_AFTER = datetime.timedelta(milliseconds=50)
UNKNOWN_RETRY_AFTER = datetime.timedelta(seconds=1)


class QuotaExceededError(errors.DogwoodhingeError):
    """A request lies beyond its organisation's quota.

    Attributes:
        retry_after: delay after which there may be room.
    """

    def __init__(self, retry_after: datetime.timedelta) -> None:
        super().__init__(
            f"the quota has no room for {retry_after.total_seconds():.2f} s"
        )
        self.retry_after = retry_after


class QuotaUnknownError(errors.DogwoodhingeError):
    """This node has not reached a leader yet and has no share of a quota."""


class LedgerClient(Protocol):
    """Reports to the leader's ledger."""

    async def exchange_quota(
        self, use: quota_ledger.QuotaUse
    ) -> quota_ledger.QuotaGrant | None:
        """Reports one organisation's use and returns what is granted.

        Returns:
            None if the leader knows no quota for the organisation.

        Raises:
            NotLeaderError: no leader can be reached.
        """


@final
class Credit:
    """What this node may spend of one organisation's quota.

    Attributes:
        held: credit; negative after spending the share without a leader.
        asked: what callers asked since the last report.
        log_request: moving average of the logarithm of a request's cost; a few
            very large ones do not change what is typical.
        waiting: what requests need that wait for the leader.
        share: fraction of the rate that this node may spend by itself.
        exchanged_at: loop time at which the last exchange began.
        accrued_at: loop time up to which the share was spent or given up.
        leaderless: whether the last exchange failed.
        ask_from: loop time from which the leader may be asked again.
        room_at: loop time at which there may be room again.
        used_at: loop time of the last request.
        exchange: the call in flight, if any.
    """

    def __init__(self, quota: models.Quota, now: float) -> None:
        self.quota = quota
        self.held = 0.0
        self.asked = 0.0
        self.log_request: float | None = None
        self.waiting = 0.0
        self.share = 0.0
        self.exchanged_at = -math.inf
        self.accrued_at = now
        self.leaderless = False
        self.ask_from = -math.inf
        self.room_at = -math.inf
        self.used_at = now
        self.exchange: asyncio.Future[None] | None = None

    def record_request(self, cost: float) -> None:
        """Records what a caller asks."""
        self.asked += cost
        log_cost = math.log(max(1.0, cost))
        if self.log_request is None:
            self.log_request = log_cost
        self.log_request += COST_SMOOTHING * (log_cost - self.log_request)

    @property
    def request(self) -> float:
        """Typical cost of a request; 0 if there was none."""
        return 0.0 if self.log_request is None else math.exp(self.log_request)

    def take(self, cost: float, *, overdraft: float = 0.0) -> bool:
        """Spends credit, if it suffices."""
        if self.held + overdraft < cost:
            return False
        self.held -= cost
        return True

    def apply(
        self, grant: quota_ledger.QuotaGrant, *, began_at: float, now: float
    ) -> None:
        """Adds what the leader granted to a report sent at `began_at`."""
        self.held += grant.granted
        self.share = grant.share
        self.exchanged_at = began_at
        self.accrued_at = now
        self.leaderless = False
        self.room_at = now + grant.room_in.total_seconds()

    def accrue(self, expired_rate: float, now: float) -> None:
        """Adds this node's share of the rate; called without a leader.

        Args:
            expired_rate: what the node may spend per second without a share.
            now: loop time.
        """
        self.leaderless = True
        rate = self.own_rate(expired_rate, now)
        elapsed = max(0.0, now - self.accrued_at)
        self.accrued_at = now
        self.held += rate * elapsed
        if self._has_expired(now):
            saved = rate * MAX_SAVED_TIME.total_seconds()
            self.held = min(self.held, saved)

    def own_rate(self, expired_rate: float, now: float) -> float:
        """Returns what this node may spend per second without a leader."""
        if self._has_expired(now):
            return expired_rate
        return self.share * self.quota.per_second

    def _has_expired(self, now: float) -> bool:
        lifetime = quota_ledger.SHARE_LIFETIME.total_seconds()
        return now - self.exchanged_at >= lifetime


@final
class Quotas:
    """This node's credit of all organisations with recent requests.

    Attributes:
        client: reports to the leader.
        bounds: returns what may be sent beyond each quota.
        nodes: returns the number of nodes, 0 if unknown.
        refused: number of requests refused, by organisation.
        asked_leader: number of exchanges for waiting requests.
    """

    def __init__(
        self,
        *,
        client: LedgerClient,
        bounds: Callable[[], quota_ledger.QuotaBounds],
        nodes: Callable[[], int],
    ) -> None:
        self.client = client
        self.bounds = bounds
        self.nodes = nodes
        self.credits: dict[str, Credit] = {}
        self.refused: dict[str, int] = {}
        self.asked_leader = 0

    async def admit(
        self, organisation: models.Organisation, stated_tokens: int | None
    ) -> float:
        """Admits a request.

        Args:
            organisation: of the caller.
            stated_tokens: size of the request; None if it does not say.

        Returns:
            What the request costs, for `give_back` if it is not run.

        Raises:
            QuotaExceededError: the request lies beyond the quota.
            QuotaUnknownError: no leader has granted this node anything yet.
        """
        quota = organisation.quota
        if quota is None:
            return 0.0
        cost = request_cost(quota, stated_tokens)
        loop = asyncio.get_running_loop()
        credit = self._credit(organisation.name, quota, loop.time())
        credit.record_request(cost)
        if credit.take(cost):
            return cost
        bounds = self.bounds()
        if cost > quota_ledger.largest_request(quota, bounds):
            raise self._refuse(organisation.name, bounds.window)
        for _ in range(EXCHANGES_PER_REQUEST):
            if loop.time() < credit.ask_from:
                break
            await self._ask(organisation.name, credit, cost)
            if credit.take(cost):
                return cost
        if credit.leaderless and credit.take(
            cost, overdraft=self._spare(quota)
        ):
            return cost
        raise self._no_room(organisation.name, credit, cost, loop.time())

    def give_back(self, organisation: models.Organisation, cost: float) -> None:
        """Returns what a request cost that was refused later on."""
        credit = self.credits.get(organisation.name)
        if credit is not None and cost:
            credit.held += cost

    def log_fields(self, organisation: str, now: float) -> dict[str, object]:
        """Returns the state of a quota for the log line of a request."""
        credit = self.credits.get(organisation)
        if credit is None:
            return {}
        fields: dict[str, object] = {
            "quota_held": round(credit.held),
            "quota_share": round(credit.share, 4),
        }
        if credit.exchanged_at > -math.inf:
            age = now - credit.exchanged_at
            fields["quota_age_ms"] = int(age * 1000)
        return fields

    def report(self, now: float) -> list[quota_ledger.QuotaUse]:
        """Returns what to report to the leader and resets the demand."""
        uses = []
        for name, credit in tuple(self.credits.items()):
            idle = now - credit.used_at >= IDLE_TIMEOUT.total_seconds()
            if idle and credit.exchange is None:
                del self.credits[name]
                continue
            uses.append(self._use(name, credit))
        return uses

    def restore(
        self, organisations: Iterable[tuple[str, float]], now: float
    ) -> None:
        """Adds the demand of an undelivered report back.

        Args:
            organisations: names, and what was asked.
            now: loop time.
        """
        for name, asked in organisations:
            credit = self.credits.get(name)
            if credit is not None:
                credit.asked += asked
                credit.accrue(self._expired_rate(credit.quota), now)

    def apply(
        self,
        grants: list[quota_ledger.QuotaGrant],
        *,
        began_at: float,
        now: float,
    ) -> None:
        """Adds what the leader granted to a report sent at `began_at`."""
        for grant in grants:
            credit = self.credits.get(grant.organisation)
            if credit is not None:
                credit.apply(grant, began_at=began_at, now=now)

    def _use(
        self, name: str, credit: Credit, *, wanted: float = 0.0
    ) -> quota_ledger.QuotaUse:
        use = quota_ledger.QuotaUse(
            organisation=name,
            asked=credit.asked,
            held=credit.held,
            wanted=wanted,
            request=credit.request,
        )
        credit.asked = 0.0
        return use

    def _spare(self, quota: models.Quota) -> float:
        """Returns what this node may spend in a window beyond its share."""
        nodes = self.nodes()
        if not nodes or not quota.per_second:
            return 0.0
        return self.bounds().slack(quota) * LEADERLESS_SLACK_FRACTION / nodes

    def _expired_rate(self, quota: models.Quota) -> float:
        return self._spare(quota) / self.bounds().window.total_seconds()

    def _credit(self, name: str, quota: models.Quota, now: float) -> Credit:
        credit = self.credits.get(name)
        if credit is None or credit.quota.unit is not quota.unit:
            credit = self.credits[name] = Credit(quota, now)
        credit.quota = quota
        credit.used_at = now
        return credit

    async def _ask(self, name: str, credit: Credit, cost: float) -> None:
        """Asks the leader for more, together with other requests."""
        credit.waiting += cost
        try:
            if credit.exchange is None:
                credit.exchange = asyncio.ensure_future(
                    self._exchange(name, credit)
                )
            await asyncio.shield(credit.exchange)
        finally:
            credit.waiting -= cost

    async def _exchange(self, name: str, credit: Credit) -> None:
        loop = asyncio.get_running_loop()
        try:
            # Requests of the same turn of the event loop are counted, too.
            await asyncio.sleep(0)
            began_at = loop.time()
            use = self._use(name, credit, wanted=credit.waiting)
            self.asked_leader += 1
            try:
                grant = await self.client.exchange_quota(use)
            except leader_lib.NotLeaderError:
                grant = None
            now = loop.time()
            if grant is None:
                self.restore([(name, use.asked)], now)
                credit.ask_from = now + ASK_AGAIN_DELAY.total_seconds()
                return
            credit.apply(grant, began_at=began_at, now=now)
            if credit.held < credit.waiting:
                credit.ask_from = (
                    now + min(ASK_AGAIN_DELAY, grant.room_in).total_seconds()
                )
        finally:
            credit.exchange = None

    def _no_room(
        self, name: str, credit: Credit, cost: float, now: float
    ) -> errors.DogwoodhingeError:
        room_in = credit.room_at - now
        if now >= credit.room_at:
            rate = credit.own_rate(self._expired_rate(credit.quota), now)
            if not rate and credit.exchanged_at == -math.inf:
                return QuotaUnknownError("no leader has granted a share yet")
            window = self.bounds().window.total_seconds()
            room_in = min(window, (cost - credit.held) / rate if rate else 1.0)
        return self._refuse(name, datetime.timedelta(seconds=room_in))

    def _refuse(
        self, name: str, retry_after: datetime.timedelta
    ) -> QuotaExceededError:
        self.refused[name] = self.refused.get(name, 0) + 1
        return QuotaExceededError(max(retry_after, MIN_RETRY_AFTER))


def request_cost(quota: models.Quota, stated_tokens: int | None) -> float:
    """Returns what a request counts against a quota."""
    if quota.unit is models.QuotaUnit.REQUESTS:
        return 1.0
    if stated_tokens is None:
        return quota.unsized_tokens
    return float(stated_tokens)
