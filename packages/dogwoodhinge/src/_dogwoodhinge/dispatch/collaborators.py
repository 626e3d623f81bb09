"""Protocols of the node's other components that dispatch uses."""

from collections.abc import Sequence
import datetime
from typing import Any, Protocol

from _dogwoodhinge.peer import peer_pb2
from dogwoodhinge import models


class Candidate(Protocol):
    """An engine that may run a request."""

    @property
    def engine_id(self) -> str:
        """ID of the engine."""

    @property
    def score(self) -> float:
        """Rank of the candidate; higher is better."""


class Router(Protocol):
    """Chooses candidate engines; implemented by `routing.router`."""

    def candidates(
        self,
        adapter: models.AdapterVersion,
        role: str,
        *,
        request_id: str,
    ) -> Sequence[Candidate]:
        """Returns candidate engines, best first."""

    def learn(
        self,
        adapter: models.AdapterVersion,
        engine_id: str,
        reply: peer_pb2.AdmitReply,
    ) -> None:
        """Updates the router's state from the hints in an owner's reply."""


class OwnerRecord(Protocol):
    """The owner of an engine."""

    @property
    def session_id(self) -> str:
        """ID of the owner's session."""

    @property
    def token(self) -> int:
        """The owner's fencing token."""


class Ownership(Protocol):
    """Owners of engines; implemented by `ownership.ownership`."""

    def owner(self, engine_id: str) -> OwnerRecord | None:
        """Returns the owner as cached on this node, None if unknown."""

    def invalidate(self, engine_id: str) -> None:
        """Drops a cached owner that is out of date."""


class Session(Protocol):
    """A node's session."""

    @property
    def session_id(self) -> str:
        """ID of the session."""

    @property
    def peer_address(self) -> str:
        """IP address and port for calls between nodes."""

    @property
    def state(self) -> str:
        """`live`, `draining`, `ended` or `lapsed`."""


class Membership(Protocol):
    """Sessions of the nodes; implemented by `membership.membership`."""

    @property
    def self_id(self) -> str:
        """ID of this node's session."""

    def session(self, session_id: str) -> Session | None:
        """Returns a session, None if this node does not know it."""

    def peers(self) -> Sequence[Session]:
        """Returns the other live sessions."""


class Registry(Protocol):
    """Owners of the engines of this node.

    Implemented by `engine_scheduling.registry`.
    """

    async def admit(
        self, request: peer_pb2.AdmitRequest
    ) -> peer_pb2.AdmitReply:
        """Queues a request until it is granted, refused or redirected."""

    async def release(
        self, request: peer_pb2.ReleaseRequest
    ) -> peer_pb2.ReleaseReply:
        """Ends a grant."""


class Directory(Protocol):
    """Known endpoints; implemented by `membership.directory`."""

    def services(self, name: str) -> Sequence[models.Endpoint]:
        """Returns the live endpoints of a plain service."""

    def get(self, endpoint_id: str) -> models.Endpoint | None:
        """Returns an endpoint, whatever its state; None if unknown."""

    def is_usable(self, endpoint_id: str) -> bool:
        """Returns whether an endpoint accepts new requests."""

    def report_unreachable(self, endpoint_id: str) -> None:
        """Records that an endpoint could not be reached."""

    def report_leaving(self, endpoint_id: str) -> None:
        """Records that an endpoint reported that it accepts no new requests."""

    def report_paused(
        self, endpoint_id: str, duration: datetime.timedelta
    ) -> None:
        """Records that an endpoint wants no requests for some time."""

    def report_reachable(self, endpoint_id: str) -> None:
        """Records that an endpoint answered."""


class PeerClient(Protocol):
    """Calls to peers; implemented by `peer.client`."""

    async def call(
        self,
        address: str,
        method: str,
        request: Any,
        *,
        timeout: datetime.timedelta = ...,
    ) -> Any:
        """Makes one call and returns the reply."""
