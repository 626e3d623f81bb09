"""Admits requests on this node within the customers' limits."""

import asyncio
import dataclasses
import datetime
import math
from typing import final

import mode

from _dogwoodhinge import decisions as decisions_lib
from _dogwoodhinge import errors
from _dogwoodhinge import settings as settings_lib
from _dogwoodhinge.config import contract as contract_lib
from _dogwoodhinge.limits import buckets
from _dogwoodhinge.limits import collaborators
from _dogwoodhinge.limits import quota_home
from _dogwoodhinge.peer import peer_pb2
from dogwoodhinge import ports

CALL_TIMEOUT = datetime.timedelta(milliseconds=300)
TOKEN_LIFETIME = quota_home.SHORT_LIFETIME
LOCAL_SHARE_LIFETIME = datetime.timedelta(seconds=1)
IDLE_TIMEOUT = datetime.timedelta(seconds=10)
RENEW_INTERVAL = datetime.timedelta(milliseconds=400)
DEMAND_SMOOTHING = 0.3  # weight of the newest sample in the moving average
# A call in flight may have been sent before this request was counted, so the
# request may need a second one.
HOME_CALLS_PER_REQUEST = 2
MIN_RETRY_SECONDS = 0.05


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class CustomerLease:
    """This node's lease on one customer's limits.

    Attributes:
        contract: the customer's contract.
        running: ids of running requests.
        tokens: requests that may be admitted until `tokens_expire_at`.
        concurrency: requests that may run at once until `expires_at`.
        retry_at: the home grants nothing before this time.
        demand: requests per second, moving average.
        home_call: the call to the home in flight, if any.
        waiting: requests that wait for the home's reply.
        fallback: the local share, while the home is unreachable.
        used_at: time of the last request, monotonic seconds.
    """

    contract: contract_lib.Contract
    running: set[str] = dataclasses.field(default_factory=set)
    tokens: float = 0.0
    tokens_expire_at: float = -math.inf
    concurrency: int = 0
    expires_at: float = -math.inf
    retry_at: float = -math.inf
    demand: float = 0.0
    home_call: asyncio.Future[None] | None = None
    waiting: int = 0
    fallback: buckets.TokenBucket | None = None
    used_at: float = 0.0


@final
class QuotaTicket:
    """Counts an admitted request against its customer's concurrency."""

    __slots__ = ("lease", "request_id")

    def __init__(self, lease: CustomerLease, request_id: str) -> None:
        self.lease = lease
        self.request_id = request_id

    def release(self) -> None:
        """Ends the count of the request; idempotent."""
        self.lease.running.discard(self.request_id)


@final
class Quotas(mode.Service):
    """Admits requests within the customers' limits.

    Attributes:
        home: this node's own limit home.
        leases: leases of customers with recent requests, by customer.
    """

    def __init__(
        self,
        *,
        membership: collaborators.Membership,
        home: quota_home.QuotaHome,
        peer_client: collaborators.PeerCaller,
        clock: ports.Clock,
        settings: settings_lib.Settings,
        decisions: decisions_lib.DecisionLog,
    ) -> None:
        super().__init__()
        del settings
        self.membership = membership
        self.home = home
        self.peer_client = peer_client
        self.clock = clock
        self.decisions = decisions
        self.leases: dict[str, CustomerLease] = {}
        self.known_sessions: frozenset[str] = frozenset()

    async def acquire(
        self, contract: contract_lib.Contract, request_id: str
    ) -> QuotaTicket:
        """Admits a request or rejects it without queueing.

        Raises:
            LimitExceededError: the customer's limits are used up.
        """
        self._check_sessions()
        now = self.clock.monotonic()
        lease = self._get_lease(contract, now)
        if self._try_admit(lease, request_id, now):
            return QuotaTicket(lease, request_id)
        for _ in range(HOME_CALLS_PER_REQUEST):
            if now < lease.retry_at:
                break
            await self._wait_for_home(lease)
            now = self.clock.monotonic()
            if self._try_admit(lease, request_id, now):
                return QuotaTicket(lease, request_id)
        retry_seconds = max(MIN_RETRY_SECONDS, lease.retry_at - now)
        raise self._reject(lease, request_id, retry_seconds)

    async def _wait_for_home(self, lease: CustomerLease) -> None:
        lease.waiting += 1
        try:
            await self._refresh_lease(lease)
        finally:
            lease.waiting -= 1

    def _get_lease(
        self, contract: contract_lib.Contract, now: float
    ) -> CustomerLease:
        lease = self.leases.get(contract.customer)
        if lease is None:
            lease = CustomerLease(contract=contract, used_at=now)
            self.leases[contract.customer] = lease
        lease.contract = contract
        elapsed = max(0.01, now - lease.used_at)
        lease.demand += DEMAND_SMOOTHING * (
            min(1.0 / elapsed, contract.limits.requests_per_second)
            - lease.demand
        )
        lease.used_at = now
        return lease

    def _try_admit(
        self, lease: CustomerLease, request_id: str, now: float
    ) -> bool:
        if lease.fallback is not None:
            return self._try_admit_locally(lease, request_id, now)
        if now >= lease.expires_at or len(lease.running) >= lease.concurrency:
            return False
        if now >= lease.tokens_expire_at or lease.tokens < 1:
            return False
        lease.tokens -= 1
        lease.running.add(request_id)
        return True

    def _try_admit_locally(
        self, lease: CustomerLease, request_id: str, now: float
    ) -> bool:
        if now >= lease.expires_at or lease.fallback is None:
            return False
        if len(lease.running) >= lease.concurrency:
            return False
        if lease.fallback.take(1, now) < 1:
            return False
        lease.running.add(request_id)
        return True

    async def _refresh_lease(self, lease: CustomerLease) -> None:
        if lease.home_call is None:
            lease.home_call = asyncio.ensure_future(self._request_lease(lease))
        await asyncio.shield(lease.home_call)

    async def _request_lease(self, lease: CustomerLease) -> None:
        try:
            # Yield so that requests of the same event loop turn are counted.
            await asyncio.sleep(0)
            request = self._make_request(lease)
            called_at = self.clock.monotonic()
            reply = await self._call_home(request)
        except errors.PeerError as error:
            self._use_local_share(lease, f"limit home unreachable: {error}")
        else:
            if reply.lifetime_ms:
                self._apply_reply(lease, reply, called_at)
            else:
                self._use_local_share(
                    lease, "limit home does not have the contract yet"
                )
        finally:
            lease.home_call = None

    def _make_request(self, lease: CustomerLease) -> peer_pb2.LeaseQuotaRequest:
        expected = lease.demand * TOKEN_LIFETIME.total_seconds() / 2
        wanted = lease.waiting + math.floor(expected) if lease.waiting else 0
        now = self.clock.monotonic()
        left = lease.tokens if now < lease.tokens_expire_at else 0.0
        return peer_pb2.LeaseQuotaRequest(
            customer=lease.contract.customer,
            session_id=self.membership.self_id,
            wanted_requests=max(0.0, wanted - left),
            running=len(lease.running),
            wanted_concurrency=max(wanted, math.floor(left)),
        )

    async def _call_home(
        self, request: peer_pb2.LeaseQuotaRequest
    ) -> peer_pb2.LeaseQuotaReply:
        home = collaborators.home_of(request.customer, self.membership)
        if home is None:
            return self.home.lease(request)
        return await self.peer_client.call(
            home.peer_address, "LeaseQuota", request, timeout=CALL_TIMEOUT
        )

    def _apply_reply(
        self,
        lease: CustomerLease,
        reply: peer_pb2.LeaseQuotaReply,
        called_at: float,
    ) -> None:
        # Lifetimes count from before the call, so the lease ends here before it
        # ends at the home.
        lease.fallback = None
        lease.concurrency = reply.concurrency
        lease.expires_at = called_at + reply.lifetime_ms / 1_000
        if called_at >= lease.tokens_expire_at:
            lease.tokens = 0.0
        if reply.requests:
            lease.tokens += reply.requests
            lease.tokens_expire_at = called_at + TOKEN_LIFETIME.total_seconds()
        lease.retry_at = called_at + reply.retry_after_ms / 1_000

    def _use_local_share(self, lease: CustomerLease, reason: str) -> None:
        now = self.clock.monotonic()
        nodes = collaborators.count_live_sessions(self.membership)
        limits = lease.contract.limits
        rate = limits.requests_per_second / nodes
        burst = max(1.0, limits.burst / nodes)
        if lease.fallback is None:
            lease.fallback = buckets.TokenBucket(
                rate=rate, burst=burst, empty_at=now - 1.0 / rate
            )
            self._record_decision(lease, "local share", reason, "")
        lease.concurrency = max(1, limits.concurrency // nodes)
        lease.expires_at = now + LOCAL_SHARE_LIFETIME.total_seconds()
        lease.retry_at = now + lease.fallback.seconds_until(1.0, now)

    def _check_sessions(self) -> None:
        sessions = frozenset(
            session.session_id for session in self.membership.live()
        )
        if sessions == self.known_sessions:
            return
        if self.known_sessions:
            self.home.handle_session_change(self._is_home)
        self.known_sessions = sessions

    def _is_home(self, customer: str) -> bool:
        return collaborators.home_of(customer, self.membership) is None

    @mode.Service.task
    async def _renew(self) -> None:
        while not self.should_stop:
            await self.clock.sleep(RENEW_INTERVAL)
            self._check_sessions()
            await self.renew_once()

    async def renew_once(self) -> None:
        """Renews leases with running requests and drops idle customers."""
        now = self.clock.monotonic()
        for customer, lease in list(self.leases.items()):
            if not lease.running:
                idle = now - lease.used_at > IDLE_TIMEOUT.total_seconds()
                if idle and lease.home_call is None:
                    del self.leases[customer]
                continue
            ends_soon = (
                lease.expires_at - now < 2 * RENEW_INTERVAL.total_seconds()
            )
            if ends_soon and lease.home_call is None:
                await self._refresh_lease(lease)

    def _reject(
        self, lease: CustomerLease, request_id: str, retry_seconds: float
    ) -> errors.LimitExceededError:
        limits = lease.contract.limits
        self._record_decision(
            lease,
            "refuse",
            f"limits are used up for {retry_seconds:.3f} s",
            request_id,
        )
        return errors.LimitExceededError(
            f"customer {lease.contract.customer} has used up its limits of "
            f"{limits.requests_per_second:g} requests per second and "
            f"{limits.concurrency} concurrent requests; retry in "
            f"{retry_seconds:.2f} s",
            retry_after=datetime.timedelta(seconds=retry_seconds),
        )

    def _record_decision(
        self, lease: CustomerLease, chosen: str, reason: str, request_id: str
    ) -> None:
        self.decisions.record(
            decisions_lib.Decision(
                kind="limit",
                chosen=chosen,
                reason=reason,
                request_id=request_id,
                customer=lease.contract.customer,
            )
        )
