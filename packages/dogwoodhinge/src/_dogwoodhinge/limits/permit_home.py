"""The load permit home: shares a weight store's load rate among nodes."""

import dataclasses
import datetime
import math
from typing import final

from _dogwoodhinge.limits import buckets
from _dogwoodhinge.peer import peer_pb2
from dogwoodhinge import models
from dogwoodhinge import ports

PERMIT_LIFETIME = datetime.timedelta(seconds=20)
# A load that does not renew its request within this time was abandoned.
PENDING_LOAD_LIFETIME = datetime.timedelta(seconds=2)
MIN_RETRY_DELAY = datetime.timedelta(milliseconds=30)
MAX_RETRY_DELAY = datetime.timedelta(seconds=1)


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class PendingLoad:
    """A load that waits for a permit.

    Attributes:
        waiting: number of requests that wait for the load.
        first_requested_at: when its permit was first requested, monotonic.
        last_requested_at: when its permit was last requested, monotonic.
        slack: seconds until the earliest deadline of these requests.
    """

    waiting: int
    first_requested_at: float
    last_requested_at: float
    slack: float

    def priority(self, now: float) -> float:
        """Returns the load's priority; the highest gets the next permit."""
        return max(1, self.waiting) * (1.0 + now - self.first_requested_at)


@final
class PermitHome:
    """Grants the load permits of one weight store.

    Attributes:
        width: the store's capacity for loads.
        active: expiry times by permit id, monotonic.
        pending_loads: waiting loads by permit id.
        bucket: limits loads to the store's sustained rate.
    """

    def __init__(self, *, width: models.StoreWidth, clock: ports.Clock) -> None:
        self.width = width
        self.clock = clock
        self.active: dict[str, float] = {}
        self.pending_loads: dict[str, PendingLoad] = {}
        self.bucket = buckets.TokenBucket(
            rate=width.loads_per_second,
            burst=width.full_speed,
            empty_at=clock.monotonic(),
        )

    async def lease_permit(
        self, request: peer_pb2.LeaseLoadPermitRequest
    ) -> peer_pb2.LeaseLoadPermitReply:
        """Leases a permit; idempotent for a permit id."""
        return self.lease(request)

    async def return_permit(
        self, request: peer_pb2.ReturnLoadPermitRequest
    ) -> None:
        """Releases a returned permit; idempotent."""
        self.release_permit(request.permit_id)

    def lease(
        self, request: peer_pb2.LeaseLoadPermitRequest
    ) -> peer_pb2.LeaseLoadPermitReply:
        """See `lease_permit`."""
        now = self.clock.monotonic()
        self._remove_expired(now)
        if request.permit_id in self.active:
            return _make_granted_reply(self.active[request.permit_id] - now)
        self._update_pending_load(request, now)
        position = self._position(request.permit_id, now)
        free = self.width.full_speed - len(self.active)
        if position < free and self.bucket.take(1, now) >= 1:
            del self.pending_loads[request.permit_id]
            lifetime = PERMIT_LIFETIME.total_seconds()
            self.active[request.permit_id] = now + lifetime
            return _make_granted_reply(lifetime)
        seconds = (position + 1 - free) / self.width.loads_per_second
        seconds = max(seconds, self.bucket.seconds_until(1.0, now))
        seconds = min(seconds, MAX_RETRY_DELAY.total_seconds())
        seconds = max(seconds, MIN_RETRY_DELAY.total_seconds())
        return peer_pb2.LeaseLoadPermitReply(
            retry_after_ms=math.ceil(1_000 * seconds)
        )

    def release_permit(self, permit_id: str) -> None:
        """See `return_permit`."""
        self.active.pop(permit_id, None)
        self.pending_loads.pop(permit_id, None)

    def _update_pending_load(
        self, request: peer_pb2.LeaseLoadPermitRequest, now: float
    ) -> None:
        pending_load = self.pending_loads.get(request.permit_id)
        if pending_load is None:
            pending_load = PendingLoad(
                waiting=0,
                first_requested_at=now,
                last_requested_at=now,
                slack=0.0,
            )
            self.pending_loads[request.permit_id] = pending_load
        pending_load.waiting = request.waiting
        pending_load.slack = request.slack_ms / 1_000
        pending_load.last_requested_at = now

    def _position(self, permit_id: str, now: float) -> int:
        own = self.pending_loads[permit_id].priority(now)
        return sum(
            other.priority(now) > own
            for other_id, other in self.pending_loads.items()
            if other_id != permit_id
        )

    def _remove_expired(self, now: float) -> None:
        for permit_id in list(self.active):
            if self.active[permit_id] <= now:
                del self.active[permit_id]
        oldest = now - PENDING_LOAD_LIFETIME.total_seconds()
        for permit_id in list(self.pending_loads):
            if self.pending_loads[permit_id].last_requested_at < oldest:
                del self.pending_loads[permit_id]


def _make_granted_reply(seconds: float) -> peer_pb2.LeaseLoadPermitReply:
    return peer_pb2.LeaseLoadPermitReply(
        granted=True, lifetime_ms=math.floor(1_000 * seconds)
    )
