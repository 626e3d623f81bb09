"""Grants held by this node, and the minimum fencing tokens of the engines."""

from collections.abc import Callable
import dataclasses
import datetime
from typing import final

from _dogwoodhinge import errors
from _dogwoodhinge.peer import peer_pb2
from dogwoodhinge import ports

MILLISECONDS_PER_SECOND = 1_000
MILLISECOND = datetime.timedelta(milliseconds=1)


@final
@dataclasses.dataclass(frozen=True, slots=True)
class HeldGrant:
    """A grant and the monotonic second before which it must be dispatched."""

    grant: peer_pb2.Grant
    start_by: float


@final
class GrantStore:
    """Holds grants from admission until their release is delivered.

    A new owner lists the grants of its engine and sends its fencing token.
    From that reply on, the token is the engine's minimum: grants with a lower
    token are neither added nor dispatched, because they were missing from the
    reply or the new owner has fenced them off. Runs that have started continue.

    Attributes:
        session_id: returns the ID of this node's session; None if the node
            has no sessions.
        min_tokens: lowest fencing token allowed, by engine.
        grants: held grants by ID.
    """

    def __init__(
        self,
        *,
        clock: ports.Clock,
        session_id: Callable[[], str] | None = None,
    ) -> None:
        self.clock = clock
        self.session_id = session_id
        self.min_tokens: dict[str, int] = {}
        self.grants: dict[str, HeldGrant] = {}

    def add(self, grant: peer_pb2.Grant) -> HeldGrant:
        """Adds a grant.

        Raises:
            NotRunError: a newer owner of the engine has listed its grants.
        """
        self._check_min_token(grant)
        within_s = grant.start_within_ms / MILLISECONDS_PER_SECOND
        held = HeldGrant(grant, self.clock.monotonic() + within_s)
        self.grants[grant.grant_id] = held
        return held

    def check_dispatch(self, grant_id: str) -> None:
        """Checks right before the dispatch that the grant is still valid.

        Raises:
            NotRunError: the grant is not held or too old, a newer owner has
                listed its grants, or the session of the grant has lapsed.
        """
        held = self.grants.get(grant_id)
        if held is None:
            raise errors.NotRunError(
                f"grant {grant_id} is not held by this node"
            )
        if self.clock.monotonic() >= held.start_by:
            raise errors.NotRunError(
                f"grant {grant_id} was not dispatched in time; request another"
            )
        self._check_session(held.grant)
        self._check_min_token(held.grant)

    def remove(self, grant_id: str) -> None:
        """Removes a grant whose release was delivered."""
        self.grants.pop(grant_id, None)

    def held(self) -> tuple[HeldGrant, ...]:
        """Returns all held grants."""
        return tuple(self.grants.values())

    def min_token(self, engine_id: str) -> int:
        """Returns the lowest fencing token allowed for an engine."""
        return self.min_tokens.get(engine_id, 0)

    def token_for_resume(self, grant: peer_pb2.Grant) -> int:
        """Returns the fencing token with which a started run is resumed.

        A new owner has listed the run's grant, so its token applies to the
        run.
        """
        return max(grant.token, self.min_token(grant.engine_id))

    async def list_grants(
        self, request: peer_pb2.ListGrantsRequest
    ) -> peer_pb2.ListGrantsReply:
        """Returns an engine's grants and raises its minimum token.

        A request without a token is a probe and does not change the minimum.
        """
        if request.token > self.min_token(request.engine_id):
            self.min_tokens[request.engine_id] = request.token
        found = [
            held.grant
            for held in self.grants.values()
            if held.grant.engine_id == request.engine_id
        ]
        return peer_pb2.ListGrantsReply(grants=found)

    def _check_session(self, grant: peer_pb2.Grant) -> None:
        """Raises if the session of a grant has lapsed.

        Owners discard the grants of lapsed sessions.
        """
        if self.session_id is None:
            return
        if grant.session_id != self.session_id():
            raise errors.NotRunError(
                f"grant {grant.grant_id} belongs to session "
                f"{grant.session_id}, which has lapsed; request another"
            )

    def _check_min_token(self, grant: peer_pb2.Grant) -> None:
        min_token = self.min_token(grant.engine_id)
        if grant.token < min_token:
            raise errors.NotRunError(
                f"grant {grant.grant_id} has token {grant.token}, but the "
                f"owner of {grant.engine_id} has token {min_token}; request "
                "another grant from the new owner"
            )


def to_ms(duration: datetime.timedelta) -> int:
    """Returns whole milliseconds, the unit of messages between nodes."""
    return duration // MILLISECOND
