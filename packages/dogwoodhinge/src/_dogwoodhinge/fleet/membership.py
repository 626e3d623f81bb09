"""Syncs this node with the leader, or makes it the leader."""

import asyncio
from collections.abc import Iterable, Mapping
import datetime
import random
from typing import Protocol, final

import mode

from _dogwoodhinge import event_log
from _dogwoodhinge import supervision
from _dogwoodhinge.fleet import engines as engines_lib
from _dogwoodhinge.fleet import fleet_pb2
from _dogwoodhinge.fleet import leader as leader_lib
from _dogwoodhinge.fleet import leader_client as leader_client_lib
from _dogwoodhinge.fleet import models
from _dogwoodhinge.fleet import order_lease as order_lease_lib
from _dogwoodhinge.fleet import quota_ledger
from _dogwoodhinge.fleet import quota_messages
from dogwoodhinge import errors

# Several syncs fit into the time for which an adapter stays protected from
# eviction after its last reported use.
SYNC_INTERVAL = datetime.timedelta(milliseconds=250)

# While adapter slots are short, an adapter whose requests have ended should be
# evictable at once; its slot stays occupied until the next sync.
SHORTAGE_SYNC_INTERVAL = datetime.timedelta(milliseconds=100)
SHORTAGE_DURATION = datetime.timedelta(seconds=1)

# The syncs of many nodes load the leader; with more nodes than this, each node
# syncs less often.
NODES_AT_FULL_RATE = 40

# Between two reads of the lease row while the leader can't be reached. Each is
# a billed call to the platform, made only in that state; hosts that acquire the
# lease last read less often if there are many nodes.
LEASE_READ_INTERVAL = datetime.timedelta(milliseconds=500)

# Jitter of the reads around the time at which the lease becomes free, so that
# most nodes see the new holder in their first read.
TAKEOVER_JITTER = datetime.timedelta(milliseconds=250)

# Failed syncs after which the lease row is read.
FAILURES_BEFORE_LEASE_READ = 1

# Between two checks of the renewal task while there is nothing to renew, and
# after a failed renewal.
RENEW_POLL_INTERVAL = datetime.timedelta(milliseconds=150)


class QuotaReporter(Protocol):
    """Reports on the organisations' quotas with each sync."""

    def report(self, now: float) -> list[quota_ledger.QuotaUse]:
        """Returns what to report and resets the demand."""

    def restore(
        self, organisations: Iterable[tuple[str, float]], now: float
    ) -> None:
        """Adds the demand of an undelivered report back."""

    def apply(
        self,
        grants: list[quota_ledger.QuotaGrant],
        *,
        began_at: float,
        now: float,
    ) -> None:
        """Adds what the leader granted to a report sent at `began_at`."""


@final
class UsageCounter:
    """Collects this node's use of adapters and engines for the leader.

    The counts of begun requests are reset at each sync.
    """

    def __init__(
        self,
        *,
        active: Mapping[models.AdapterKey, int],
        begun: dict[models.AdapterKey, int],
        requests: dict[str, int],
        directory: engines_lib.Directory,
        quotas: QuotaReporter,
    ) -> None:
        self.quotas = quotas
        self.active = active
        self.begun = begun
        self.requests = requests
        self.directory = directory

    def collect(self, now: float) -> fleet_pb2.SyncRequest:
        """Returns a report and resets the counts of begun requests."""
        begun = dict(self.begun)
        self.begun.clear()
        requests = dict(self.requests)
        self.requests.clear()
        return fleet_pb2.SyncRequest(
            adapters=[
                fleet_pb2.AdapterUse(
                    model=key.model,
                    adapter=key.adapter,
                    active=self.active.get(key, 0),
                    begun=begun.get(key, 0),
                )
                for key in self.active.keys() | begun.keys()
            ],
            engines=[
                fleet_pb2.EngineUse(
                    engine_id=engine.engine_id,
                    running=engine.running,
                    unread_tokens=engine.unread_tokens,
                    penalty_percent=int(engine.health.current(now) * 100),
                )
                for engine in self.directory.engines.values()
                if engine.running or engine.health.current(now) > 0.05
            ],
            services=[
                fleet_pb2.ServiceUse(service=service, begun=count)
                for service, count in requests.items()
            ],
            quotas=map(quota_messages.encode_use, self.quotas.report(now)),
        )

    def restore(self, request: fleet_pb2.SyncRequest, now: float) -> None:
        """Adds the counts of an undelivered report back."""
        for use in request.adapters:
            if use.begun:
                key = models.AdapterKey(use.model, use.adapter)
                self.begun[key] = self.begun.get(key, 0) + use.begun
        for service in request.services:
            count = self.requests.get(service.service, 0) + service.begun
            self.requests[service.service] = count
        self.quotas.restore(
            ((use.organisation, use.asked) for use in request.quotas), now
        )


@final
class Membership(mode.Service):
    """Syncs with the leader; acquires the order lease if there is none."""

    def __init__(
        self,
        *,
        lease: order_lease_lib.OrderLease,
        leader_client: leader_client_lib.LeaderClient,
        usage_counter: UsageCounter,
        rng: random.Random,
        report: event_log.EventReporter,
    ) -> None:
        super().__init__()
        self.rng = rng
        self.lease = lease
        self.leader_client = leader_client
        self.usage_counter = usage_counter
        self.report = report
        self.failures = 0
        self.leaving = False

    async def leave(self) -> None:
        """Releases the order lease if it is held, and acquires it no more."""
        self.leaving = True
        try:
            await self.lease.release()
        except errors.TableError as error:
            self.report("order_lease_kept", {"reason": str(error)})

    @mode.Service.task
    async def _renew_lease(self) -> None:
        await supervision.repeat(self, self._renew_once, report=self.report)

    async def _renew_once(self) -> float:
        if not self.lease.is_held_here or self.leaving:
            return RENEW_POLL_INTERVAL.total_seconds()
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        try:
            await self.lease.renew()
        except errors.TableError as error:
            self.report("order_lease_unrenewed", {"reason": str(error)})
            return RENEW_POLL_INTERVAL.total_seconds()
        # Counted from the start of the renewal, as the lease is: a slow store
        # must not make renewals less frequent.
        interval = order_lease_lib.RENEW_INTERVAL.total_seconds()
        return max(0.0, interval - (loop.time() - started_at))

    @mode.Service.task
    async def _sync(self) -> None:
        await supervision.repeat(self, self._sync_step, report=self.report)

    async def _sync_step(self) -> float:
        await self._sync_once()
        if not self._has_leader():
            previous_address = self.leader_client.address()
            await self._read_lease()
            if self.leader_client.address() not in ("", previous_address):
                return 0.0
        return self._next_delay()

    def _has_leader(self) -> bool:
        """Returns whether a leader that may send orders is reachable."""
        return (
            self.failures < FAILURES_BEFORE_LEASE_READ
            and bool(self.leader_client.address())
            and self.leader_client.leader_may_order
        )

    def _next_delay(self) -> float:
        scale = max(1.0, self.leader_client.nodes / NODES_AT_FULL_RATE)
        if not self._has_leader():
            if not self.lease.extra_takeover_delay:
                scale = 1.0
            return self._lease_read_delay(
                LEASE_READ_INTERVAL.total_seconds() * scale
            )
        now = asyncio.get_running_loop().time()
        slots_short = (
            now - self.leader_client.slot_shortage_at
            < SHORTAGE_DURATION.total_seconds()
        )
        interval = SHORTAGE_SYNC_INTERVAL if slots_short else SYNC_INTERVAL
        return interval.total_seconds() * scale

    def _lease_read_delay(self, longest: float) -> float:
        """Returns the seconds until the lease row is read again."""
        delay = self.lease.seconds_until_free()
        if not 0 < delay < longest:
            return longest
        jitter = TAKEOVER_JITTER.total_seconds()
        if self.lease.extra_takeover_delay:
            # Another node acquires the lease first; this one only needs to see
            # the new holder.
            delay += jitter
        return delay + self.rng.uniform(0, jitter)

    async def _sync_once(self) -> None:
        if not self.leader_client.address():
            self.failures = FAILURES_BEFORE_LEASE_READ
            return
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        request = self.usage_counter.collect(began_at)
        try:
            grants = await self.leader_client.sync(request)
        except leader_client_lib.LeaderUnreachableError as error:
            self.usage_counter.restore(request, loop.time())
            self.failures += 1
            if self.failures == FAILURES_BEFORE_LEASE_READ:
                self.report("owner_lost", {"reason": str(error)})
        except leader_lib.NotLeaderError:
            self.usage_counter.restore(request, loop.time())
            self.failures = FAILURES_BEFORE_LEASE_READ
        else:
            self.usage_counter.quotas.apply(
                grants, began_at=began_at, now=loop.time()
            )
            self.lease.observe_revision(
                self.leader_client.lease_revision,
                token=self.leader_client.known_token,
            )
            if self.failures >= FAILURES_BEFORE_LEASE_READ:
                self.report("owner_reached", {"token": self.lease.token})
            self.failures = 0

    async def _read_lease(self) -> None:
        if self.lease.is_held_here:
            return
        try:
            if self.leaving:
                await self.lease.refresh()
            else:
                await self.lease.try_acquire()
        except errors.TableError as error:
            self.report("order_lease_unread", {"reason": str(error)})
