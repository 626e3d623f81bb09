"""Reports the end of grants to the owners of their engines."""

import dataclasses
import datetime
from typing import final

from _dogwoodhinge import errors
from _dogwoodhinge import injection
from _dogwoodhinge.dispatch import collaborators
from _dogwoodhinge.dispatch import grants as grants_lib
from _dogwoodhinge.peer import peer_pb2
from dogwoodhinge import ports

RELEASE_CALL_TIMEOUT = datetime.timedelta(seconds=2)
MIN_RELEASE_RETRY_DELAY = datetime.timedelta(milliseconds=100)
MAX_RELEASE_RETRY_DELAY = datetime.timedelta(seconds=2)
REQUIRED_UNKNOWN_REPLIES = 2
RELEASE_TOTAL_TIMEOUT = datetime.timedelta(minutes=10)


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReleaseResult:
    """How the run under a grant ended.

    Attributes:
        started: whether the engine may have started the run.
        completed: whether the engine is known to have ended the run. While
            `started` and not `completed`, the adapter may still be in use.
        engine_failed: whether the engine was unreachable or broke the stream.
        first_token: time to the first token, None without one.
        mean_gap: mean time between tokens.
        output_tokens: number of tokens received.
    """

    started: bool = False
    completed: bool = False
    engine_failed: bool = False
    first_token: datetime.timedelta | None = None
    mean_gap: datetime.timedelta = datetime.timedelta()
    output_tokens: int = 0


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Delivery:
    """Outcome of one attempt to send a release.

    Attributes:
        token: fencing token of the owner that received it.
        known: whether the owner knew the grant.
        delivered: whether an owner received it.
    """

    token: int
    known: bool
    delivered: bool = True


NOT_DELIVERED = Delivery(0, known=False, delivered=False)


@final
class Releases:
    """Sends releases until the owner of the engine acknowledges them."""

    def __init__(
        self,
        *,
        ownership: collaborators.Ownership,
        membership: collaborators.Membership,
        registry: collaborators.Registry,
        peer_client: collaborators.PeerClient,
        grants: grants_lib.GrantStore,
        clock: ports.Clock,
    ) -> None:
        self.ownership = ownership
        self.membership = membership
        self.registry = registry
        self.peer_client = peer_client
        self.grants = grants
        self.clock = clock

    async def release(
        self, grant: peer_pb2.Grant, result: ReleaseResult
    ) -> None:
        """Releases a grant; returns when the engine's owner has confirmed.

        A new owner that listed this node's grants must receive the release
        too; the engine's minimum token shows that there is such an owner. A
        node that does not know the grant may no longer be the owner, so the
        owner is looked up once more.
        """
        await injection.reach(injection.Step.RELEASE)
        message = _release_message(grant, result)
        give_up_at = (
            self.clock.monotonic() + RELEASE_TOTAL_TIMEOUT.total_seconds()
        )
        delay = MIN_RELEASE_RETRY_DELAY
        unknown = 0
        while self.clock.monotonic() < give_up_at:
            delivery = await self._deliver(message)
            unknown += delivery.delivered and not delivery.known
            if self._is_acknowledged(grant, delivery, unknown):
                break
            self.ownership.invalidate(grant.engine_id)
            await self.clock.sleep(delay)
            delay = min(2 * delay, MAX_RELEASE_RETRY_DELAY)
        self.grants.remove(grant.grant_id)

    def _is_acknowledged(
        self, grant: peer_pb2.Grant, delivery: Delivery, unknown: int
    ) -> bool:
        if not delivery.delivered:
            return False
        if delivery.token < self.grants.min_token(grant.engine_id):
            return False
        return delivery.known or unknown >= REQUIRED_UNKNOWN_REPLIES

    async def _deliver(self, message: peer_pb2.ReleaseRequest) -> Delivery:
        """Sends a release once, to the owner cached on this node."""
        owner = self.ownership.owner(message.engine_id)
        if owner is None:
            return NOT_DELIVERED
        try:
            if owner.session_id == self.membership.self_id:
                reply = await self.registry.release(message)
                return Delivery(owner.token, reply.known)
            session = self.membership.session(owner.session_id)
            if session is None:
                return NOT_DELIVERED
            reply = await self.peer_client.call(
                session.peer_address,
                "Release",
                message,
                timeout=RELEASE_CALL_TIMEOUT,
            )
        except (errors.PeerError, errors.OwnershipError):
            return NOT_DELIVERED
        return Delivery(owner.token, reply.known)


def _release_message(
    grant: peer_pb2.Grant, result: ReleaseResult
) -> peer_pb2.ReleaseRequest:
    return peer_pb2.ReleaseRequest(
        grant_id=grant.grant_id,
        engine_id=grant.engine_id,
        started=result.started,
        completed=result.completed,
        engine_failed=result.engine_failed,
        first_token_ms=grants_lib.to_ms(
            result.first_token or datetime.timedelta()
        ),
        mean_gap_ms=grants_lib.to_ms(result.mean_gap),
        output_tokens=result.output_tokens,
    )
