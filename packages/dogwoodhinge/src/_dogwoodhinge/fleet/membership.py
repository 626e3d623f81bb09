"""Keeps this node in touch with the owner, or makes it the owner."""

import asyncio
from collections.abc import Mapping
import datetime
import random
from typing import final

import mode

from _dogwoodhinge import event_log
from _dogwoodhinge import supervision
from _dogwoodhinge.fleet import engines as engines_lib
from _dogwoodhinge.fleet import fleet_pb2
from _dogwoodhinge.fleet import models
from _dogwoodhinge.fleet import order_lease as order_lease_lib
from _dogwoodhinge.fleet import owner as owner_lib
from _dogwoodhinge.fleet import owner_link as owner_link_lib
from dogwoodhinge import errors

# A few exchanges within the time in which an adapter stays protected after
# its last reported use.
SYNC_EVERY = datetime.timedelta(milliseconds=250)

# While places are short, an adapter whose requests have ended should make way
# at once; its place is held for one exchange longer than needed.
SYNC_WHEN_SHORT = datetime.timedelta(milliseconds=100)
SHORT_FOR = datetime.timedelta(seconds=1)

# Exchanges of many nodes keep the owner busy; above this many nodes each
# exchanges less often.
NODES_AT_FULL_RATE = 40

# Between two reads of the lease row while the owner is not reached. Each read
# is a priced call to the platform, made only then; hosts that take the lease
# over last read less often where there are many.
LOOK_EVERY = datetime.timedelta(milliseconds=500)

# The row is read when it may be taken over, spread out by this much, so that
# the first node to take it is seen by most others at their first read.
TAKE_SPREAD = datetime.timedelta(milliseconds=250)

# Failed exchanges after which the row is read.
FAILURES_BEFORE_LOOK = 1

# The longest pause of a renewal task between two looks at its work.
RENEW_RETRY = datetime.timedelta(milliseconds=150)


@final
class UseCounter:
    """What this node uses; the counts begun are taken at each exchange."""

    def __init__(
        self,
        *,
        active: Mapping[models.AdapterKey, int],
        begun: dict[models.AdapterKey, int],
        requests: dict[str, int],
        directory: engines_lib.Directory,
    ) -> None:
        self.active = active
        self.begun = begun
        self.requests = requests
        self.directory = directory

    def take(self, now: float) -> fleet_pb2.SyncRequest:
        """Returns a report and starts to count anew."""
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
        )

    def give_back(self, request: fleet_pb2.SyncRequest) -> None:
        """Counts again what could not be reported."""
        for use in request.adapters:
            if use.begun:
                key = models.AdapterKey(use.model, use.adapter)
                self.begun[key] = self.begun.get(key, 0) + use.begun
        for service in request.services:
            count = self.requests.get(service.service, 0) + service.begun
            self.requests[service.service] = count


@final
class Membership(mode.Service):
    """Exchanges with the owner; takes the lease when there is none."""

    def __init__(
        self,
        *,
        lease: order_lease_lib.OrderLease,
        link: owner_link_lib.OwnerLink,
        uses: UseCounter,
        draw: random.Random,
        report: event_log.Report,
    ) -> None:
        super().__init__()
        self.draw = draw
        self.lease = lease
        self.link = link
        self.uses = uses
        self.report = report
        self.failures = 0
        self.leaving = False

    async def leave(self) -> None:
        """Gives the lease up, if it is held, and takes it no more."""
        self.leaving = True
        try:
            await self.lease.give_up()
        except errors.TableError as error:
            self.report("order_lease_kept", {"reason": str(error)})

    @mode.Service.task
    async def _renew(self) -> None:
        await supervision.repeat(self, self._renew_once, report=self.report)

    async def _renew_once(self) -> float:
        if not self.lease.is_mine or self.leaving:
            return RENEW_RETRY.total_seconds()
        loop = asyncio.get_running_loop()
        begun = loop.time()
        try:
            await self.lease.renew()
        except errors.TableError as error:
            self.report("order_lease_unrenewed", {"reason": str(error)})
            return RENEW_RETRY.total_seconds()
        # Counted from the begin, as the right is: a slow store must not make
        # renewals rarer.
        rest = order_lease_lib.RENEW_EVERY.total_seconds()
        return max(0.0, rest - (loop.time() - begun))

    @mode.Service.task
    async def _exchange(self) -> None:
        await supervision.repeat(self, self._exchange_step, report=self.report)

    async def _exchange_step(self) -> float:
        await self._exchange_once()
        if not self._is_led():
            before = self.link.address()
            await self._look()
            if self.link.address() not in ("", before):
                return 0.0
        return self._pause()

    def _is_led(self) -> bool:
        """Tells whether a node that may give orders is reached."""
        return (
            self.failures < FAILURES_BEFORE_LOOK
            and bool(self.link.address())
            and self.link.owner_may_order
        )

    def _pause(self) -> float:
        scale = max(1.0, self.link.nodes / NODES_AT_FULL_RATE)
        if not self._is_led():
            if not self.lease.reluctance:
                scale = 1.0
            return self._pause_of_look(LOOK_EVERY.total_seconds() * scale)
        now = asyncio.get_running_loop().time()
        short = now - self.link.no_room_at < SHORT_FOR.total_seconds()
        pause = SYNC_WHEN_SHORT if short else SYNC_EVERY
        return pause.total_seconds() * scale

    def _pause_of_look(self, longest: float) -> float:
        """Returns the seconds until the row is to be read again."""
        rest = self.lease.seconds_to_free()
        if not 0 < rest < longest:
            return longest
        spread = TAKE_SPREAD.total_seconds()
        if self.lease.reluctance:
            # Another node comes first; this one only has to see it.
            rest += spread
        return rest + self.draw.uniform(0, spread)

    async def _exchange_once(self) -> None:
        if not self.link.address():
            self.failures = FAILURES_BEFORE_LOOK
            return
        request = self.uses.take(asyncio.get_running_loop().time())
        try:
            await self.link.sync(request)
        except owner_link_lib.OwnerUnreachableError as error:
            self.uses.give_back(request)
            self.failures += 1
            if self.failures == FAILURES_BEFORE_LOOK:
                self.report("owner_lost", {"reason": str(error)})
        except owner_lib.NotOwnerError:
            self.uses.give_back(request)
            self.failures = FAILURES_BEFORE_LOOK
        else:
            self.lease.note_seen(self.link.lease_revision)
            if self.failures >= FAILURES_BEFORE_LOOK:
                self.report("owner_reached", {"token": self.lease.token})
            self.failures = 0

    async def _look(self) -> None:
        if self.lease.is_mine:
            return
        try:
            if self.leaving:
                await self.lease.refresh()
            else:
                await self.lease.try_take()
        except errors.TableError as error:
            self.report("order_lease_unread", {"reason": str(error)})
