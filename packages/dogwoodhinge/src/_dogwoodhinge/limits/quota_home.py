"""The limit home: leases shares of the customers' limits to nodes."""

from collections.abc import Callable
import dataclasses
import datetime
import math
from typing import final

from _dogwoodhinge.config import contract as contract_lib
from _dogwoodhinge.limits import buckets
from _dogwoodhinge.peer import peer_pb2
from dogwoodhinge import ports

SHORT_LIFETIME = datetime.timedelta(seconds=1)
LONG_LIFETIME = datetime.timedelta(seconds=4)
# Above this fraction of the concurrency limit, leases are short so that unused
# concurrency returns soon.
SHORT_LEASE_THRESHOLD = 0.5
CONCURRENCY_RETRY = datetime.timedelta(seconds=0.5)
# Time whose tokens a new home grants in advance, so that a customer with a high
# rate is not rejected right after the home changes.
NEW_HOME_CREDIT = datetime.timedelta(milliseconds=20)
SWEEP_INTERVAL_CALLS = 1_000


@final
@dataclasses.dataclass(slots=True)
class Allowance:
    """Concurrency leased to a session until `expires_at`, monotonic."""

    concurrency: int
    expires_at: float


@final
@dataclasses.dataclass(slots=True)
class CustomerUsage:
    """The leased shares of one customer's limits."""

    bucket: buckets.TokenBucket
    allowances: dict[str, Allowance] = dataclasses.field(default_factory=dict)

    def leased_concurrency(self, now: float, *, excluding: str) -> int:
        """Returns the concurrency leased to all other sessions."""
        for session_id in list(self.allowances):
            if self.allowances[session_id].expires_at <= now:
                del self.allowances[session_id]
        return sum(
            allowance.concurrency
            for session_id, allowance in self.allowances.items()
            if session_id != excluding
        )


@final
class QuotaHome:
    """Leases shares of the limits of the customers whose home is this node.

    An idle customer has no state. Its bucket is assumed to have been empty
    `NEW_HOME_CREDIT` before `sessions_changed_at`, as this node became its home
    then or earlier, and to have been refilled since.

    Attributes:
        contract: looks up a customer's contract.
        usage_by_customer: usage of customers with recent requests.
        sessions_changed_at: when the set of live nodes last changed, monotonic.
    """

    def __init__(
        self,
        *,
        contract: Callable[[str], contract_lib.Contract | None],
        clock: ports.Clock,
    ) -> None:
        self.contract = contract
        self.clock = clock
        self.usage_by_customer: dict[str, CustomerUsage] = {}
        self.sessions_changed_at = clock.monotonic()
        self.calls = 0

    def handle_session_change(self, is_home: Callable[[str], bool]) -> None:
        """Drops the state of customers that now have another home.

        Args:
            is_home: returns whether this node is now a customer's home.
        """
        self.sessions_changed_at = self.clock.monotonic()
        for customer in list(self.usage_by_customer):
            if not is_home(customer):
                del self.usage_by_customer[customer]

    async def lease_quota(
        self, request: peer_pb2.LeaseQuotaRequest
    ) -> peer_pb2.LeaseQuotaReply:
        """Leases requests and concurrency to the calling session.

        A lifetime of 0 in the reply means that this node does not have the
        contract yet.
        """
        return self.lease(request)

    def lease(
        self, request: peer_pb2.LeaseQuotaRequest
    ) -> peer_pb2.LeaseQuotaReply:
        """See `lease_quota`."""
        now = self.clock.monotonic()
        contract = self.contract(request.customer)
        if contract is None:
            return peer_pb2.LeaseQuotaReply()
        usage = self._get_usage(contract, now)
        self._remove_idle(now)
        requests = usage.bucket.take(request.wanted_requests, now)
        concurrency, is_scarce = self._lease_concurrency(
            usage, contract.limits.concurrency, request, now
        )
        retry_after = datetime.timedelta()
        if requests < math.floor(request.wanted_requests):
            seconds = usage.bucket.seconds_until(1.0, now)
            retry_after = datetime.timedelta(seconds=seconds)
        elif concurrency <= request.running and request.wanted_concurrency:
            retry_after = CONCURRENCY_RETRY
        lifetime = SHORT_LIFETIME if is_scarce else LONG_LIFETIME
        return peer_pb2.LeaseQuotaReply(
            requests=requests,
            concurrency=concurrency,
            lifetime_ms=_milliseconds(lifetime),
            retry_after_ms=_milliseconds(retry_after),
        )

    def _get_usage(
        self, contract: contract_lib.Contract, now: float
    ) -> CustomerUsage:
        limits = contract.limits
        rate, burst = limits.requests_per_second, max(1, limits.burst)
        usage = self.usage_by_customer.get(contract.customer)
        if usage is None:
            bucket = buckets.TokenBucket(
                rate=rate,
                burst=burst,
                empty_at=self.sessions_changed_at
                - NEW_HOME_CREDIT.total_seconds(),
            )
            usage = CustomerUsage(bucket)
            self.usage_by_customer[contract.customer] = usage
        elif (usage.bucket.rate, usage.bucket.burst) != (rate, burst):
            usage.bucket.resize(rate=rate, burst=burst, now=now)
        return usage

    def _lease_concurrency(
        self,
        usage: CustomerUsage,
        limit: int,
        request: peer_pb2.LeaseQuotaRequest,
        now: float,
    ) -> tuple[int, bool]:
        others = usage.leased_concurrency(now, excluding=request.session_id)
        # Running requests can't be revoked.
        free = max(0, limit - others - request.running)
        leased = request.running + min(free, request.wanted_concurrency)
        is_scarce = others + leased > SHORT_LEASE_THRESHOLD * limit
        lifetime = SHORT_LIFETIME if is_scarce else LONG_LIFETIME
        if leased:
            usage.allowances[request.session_id] = Allowance(
                leased, now + lifetime.total_seconds()
            )
        else:
            usage.allowances.pop(request.session_id, None)
        return leased, is_scarce

    def _remove_idle(self, now: float) -> None:
        self.calls += 1
        if self.calls < SWEEP_INTERVAL_CALLS:
            return
        self.calls = 0
        for customer in list(self.usage_by_customer):
            usage = self.usage_by_customer[customer]
            idle = usage.bucket.refill(now) >= usage.bucket.burst
            full_since_change = (
                usage.bucket.rate * (now - self.sessions_changed_at)
                >= usage.bucket.burst
            )
            if (
                idle
                and full_since_change
                and not usage.leased_concurrency(now, excluding="")
            ):
                del self.usage_by_customer[customer]


def _milliseconds(duration: datetime.timedelta) -> int:
    return -(-duration // datetime.timedelta(milliseconds=1))
