"""Acquires a permit from the load permit home before each load."""

import asyncio
import datetime
import types
from typing import final
import uuid

from absl import logging

from _dogwoodhinge import errors
from _dogwoodhinge import settings as settings_lib
from _dogwoodhinge.limits import buckets
from _dogwoodhinge.limits import collaborators
from _dogwoodhinge.limits import permit_home
from _dogwoodhinge.peer import peer_pb2
from dogwoodhinge import models
from dogwoodhinge import ports

CALL_TIMEOUT = datetime.timedelta(milliseconds=500)
# Loads per second; keeps every node able to load however many nodes share the
# store.
MIN_LOCAL_RATE = 0.05


@final
class LoadPermit:
    """A permit for one load; `async with` returns it at the end."""

    def __init__(self, permits: "LoadPermits", permit_id: str) -> None:
        self.permits = permits
        self.permit_id = permit_id

    async def __aenter__(self) -> "LoadPermit":
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        await self.permits.release_permit(self.permit_id)


@final
class LoadPermits:
    """Acquires permits from the store's home, or from the local share.

    Attributes:
        home: this node's own permit home.
        store: key that determines the store's home.
        pending_returns: returns in flight of permits of cancelled loads.
        local_bucket: the local share, used while the home is unreachable.
    """

    def __init__(
        self,
        *,
        membership: collaborators.Membership,
        home: permit_home.PermitHome,
        peer_client: collaborators.PeerCaller,
        clock: ports.Clock,
        settings: settings_lib.Settings,
        width: models.StoreWidth,
    ) -> None:
        self.membership = membership
        self.home = home
        self.peer_client = peer_client
        self.clock = clock
        self.width = width
        self.store = settings.weight_store_url
        self.pending_returns: set[asyncio.Future[None]] = set()
        self.local_bucket = buckets.TokenBucket(
            rate=self._local_rate(), burst=1.0, empty_at=clock.monotonic()
        )

    async def acquire(
        self, *, waiting: int, slack: datetime.timedelta
    ) -> LoadPermit:
        """Waits for a permit for one load.

        Args:
            waiting: number of requests that wait for the load.
            slack: time until the earliest deadline among them.
        """
        request = peer_pb2.LeaseLoadPermitRequest(
            store=self.store,
            session_id=self.membership.self_id,
            permit_id=uuid.uuid4().hex,
            waiting=waiting,
            slack_ms=round(1_000 * slack.total_seconds()),
        )
        try:
            await self._wait_for_grant(request)
        except asyncio.CancelledError:
            # The home may already have granted the permit, so return it.
            task = asyncio.ensure_future(self.release_permit(request.permit_id))
            self.pending_returns.add(task)
            task.add_done_callback(self.pending_returns.discard)
            raise
        return LoadPermit(self, request.permit_id)

    async def _wait_for_grant(
        self, request: peer_pb2.LeaseLoadPermitRequest
    ) -> None:
        while True:
            try:
                reply = await self._request_permit(request)
            except errors.PeerError as error:
                logging.warning(
                    "load permit home unreachable; using the local share: %s",
                    error,
                )
                if self._take_local_permit():
                    return
                await self.clock.sleep(permit_home.MAX_RETRY_DELAY)
                continue
            if reply.granted:
                return
            await self.clock.sleep(
                datetime.timedelta(milliseconds=reply.retry_after_ms)
            )

    async def release_permit(self, permit_id: str) -> None:
        """Returns a permit to the home; if that fails, the permit expires."""
        home = collaborators.home_of(self.store, self.membership)
        if home is None:
            self.home.release_permit(permit_id)
            return
        request = peer_pb2.ReturnLoadPermitRequest(
            store=self.store, permit_id=permit_id
        )
        try:
            await self.peer_client.call(
                home.peer_address,
                "ReturnLoadPermit",
                request,
                timeout=CALL_TIMEOUT,
            )
        except errors.PeerError as error:
            logging.warning(
                "load permit not returned; it will expire at its home: %s",
                error,
            )

    async def _request_permit(
        self, request: peer_pb2.LeaseLoadPermitRequest
    ) -> peer_pb2.LeaseLoadPermitReply:
        home = collaborators.home_of(self.store, self.membership)
        if home is None:
            return self.home.lease(request)
        return await self.peer_client.call(
            home.peer_address, "LeaseLoadPermit", request, timeout=CALL_TIMEOUT
        )

    def _take_local_permit(self) -> bool:
        now = self.clock.monotonic()
        self.local_bucket.resize(rate=self._local_rate(), burst=1.0, now=now)
        return self.local_bucket.take(1, now) >= 1

    def _local_rate(self) -> float:
        nodes = collaborators.count_live_sessions(self.membership)
        return max(MIN_LOCAL_RATE, self.width.loads_per_second / nodes)
