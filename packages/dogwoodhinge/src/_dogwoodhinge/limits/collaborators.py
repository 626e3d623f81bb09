"""Interfaces of the other components that the limits depend on."""

from collections.abc import Sequence
import datetime
from typing import Any, Protocol

from _dogwoodhinge.routing import candidates


class Session(Protocol):
    """A node's session; `membership.sessions` provides it."""

    @property
    def session_id(self) -> str:
        """Id of the session."""

    @property
    def peer_address(self) -> str:
        """IP address and peer port."""


class Membership(Protocol):
    """The live sessions; `membership.membership` provides them."""

    @property
    def self_id(self) -> str:
        """Id of this node's session."""

    def live(self) -> Sequence[Session]:
        """Returns the live sessions, including this node's."""


class PeerCaller(Protocol):
    """Calls peers; `peer.client` provides it."""

    async def call(
        self,
        address: str,
        method: str,
        request: Any,
        *,
        timeout: datetime.timedelta,
    ) -> Any:
        """Makes one call; raises `PeerError` on failure."""


def home_of(key: str, membership: Membership) -> Session | None:
    """Returns the home session of a key; None if it is this node's."""
    sessions = {session.session_id: session for session in membership.live()}
    ranked = candidates.rank(key, sessions)
    if not ranked or ranked[0] == membership.self_id:
        return None
    return sessions[ranked[0]]


def count_live_sessions(membership: Membership) -> int:
    """Returns the number of live sessions, at least 1 for this node."""
    return max(1, len(membership.live()))
