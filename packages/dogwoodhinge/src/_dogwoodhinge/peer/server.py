"""gRPC server for peers: authenticates calls and passes them to handlers."""

import hmac
from typing import Any, Protocol

import grpclib
from grpclib import const
from grpclib import server

from _dogwoodhinge.peer import compact
from _dogwoodhinge.peer import peer_grpc
from _dogwoodhinge.peer import peer_pb2

KEY_HEADER = "x-dogwoodhinge-key"
SESSION_HEADER = "x-dogwoodhinge-session"
REVISION_HEADER = "x-dogwoodhinge-revision"


class AdmissionHandler(Protocol):
    """Admission by the engine owner.

    Implemented by `engine_scheduling.registry`.
    """

    async def admit(
        self, request: peer_pb2.AdmitRequest
    ) -> peer_pb2.AdmitReply:
        """Queues a request until it is granted, rejected or redirected."""

    async def release(
        self, request: peer_pb2.ReleaseRequest
    ) -> peer_pb2.ReleaseReply:
        """Ends a grant."""


class HandOverHandler(Protocol):
    """Handover of engines between owners; implemented by `ownership`."""

    async def accept_hand_over(
        self, request: peer_pb2.HandOverRequest
    ) -> peer_pb2.HandOverReply:
        """Accepts the state of an engine from an owner that is draining."""


class GrantHandler(Protocol):
    """Grants of the entry node; implemented by `dispatch.grants`."""

    async def list_grants(
        self, request: peer_pb2.ListGrantsRequest
    ) -> peer_pb2.ListGrantsReply:
        """Lists the grants that this node holds on an engine."""


class ReachabilityHandler(Protocol):
    """Reachability of the table; implemented by `membership.isolation`."""

    async def exchange(
        self, request: peer_pb2.Reachability
    ) -> peer_pb2.Reachability:
        """Merges a peer's reachability ages and returns those of this node."""


class QuotaHandler(Protocol):
    """Leases of customers' limits; implemented by `limits.quota_home`."""

    async def lease_quota(
        self, request: peer_pb2.LeaseQuotaRequest
    ) -> peer_pb2.LeaseQuotaReply:
        """Leases a share of a customer's limit."""


class PermitHandler(Protocol):
    """Leases of load permits; implemented by `limits.permit_home`."""

    async def lease_permit(
        self, request: peer_pb2.LeaseLoadPermitRequest
    ) -> peer_pb2.LeaseLoadPermitReply:
        """Leases a permit for one adapter load."""

    async def return_permit(
        self, request: peer_pb2.ReturnLoadPermitRequest
    ) -> None:
        """Ends the lease of a permit."""


class ChangeHandler(Protocol):
    """Reads of the configuration log; implemented by `config.view`."""

    async def fetch_changes(
        self, request: peer_pb2.FetchChangesRequest
    ) -> peer_pb2.FetchChangesReply:
        """Lists the changes after a revision."""

    def observe_revision(self, revision: int) -> None:
        """Handles a head revision that a peer has reported."""


class ConvictionHandler(Protocol):
    """Requests that crash engines; implemented by `quarantine.quarantine`."""

    async def receive_conviction(self, conviction: peer_pb2.Conviction) -> None:
        """Handles the quarantine record of a suspect or convicted request."""


class ExplainHandler(Protocol):
    """The decision log."""

    def explain(self, request_id: str) -> list[str]:
        """Returns the stored log lines of a request."""


class PeerServer(peer_grpc.PeerBase):
    """Serves the peer protocol.

    Attributes:
        bytes_in: bytes of the messages received.
        bytes_out: bytes of the messages sent.
    """

    def __init__(
        self,
        *,
        key: str,
        admission: AdmissionHandler,
        hand_overs: HandOverHandler,
        grants: GrantHandler,
        reachability: ReachabilityHandler,
        quota: QuotaHandler,
        permits: PermitHandler,
        changes: ChangeHandler,
        convictions: ConvictionHandler,
        decisions: ExplainHandler,
    ) -> None:
        self.key = key
        self.admission = admission
        self.hand_overs = hand_overs
        self.grants = grants
        self.reachability = reachability
        self.quota = quota
        self.permits = permits
        self.changes = changes
        self.convictions = convictions
        self.decisions = decisions
        self.bytes_in = 0
        self.bytes_out = 0

    async def _receive(self, stream: server.Stream) -> Any:
        metadata = stream.metadata or {}
        peer_key = str(metadata.get(KEY_HEADER, ""))
        if not hmac.compare_digest(peer_key, self.key):
            raise grpclib.GRPCError(
                const.Status.UNAUTHENTICATED, "invalid peer key"
            )
        request = await stream.recv_message()
        if request is None:
            raise grpclib.GRPCError(
                const.Status.INVALID_ARGUMENT, "the request message is missing"
            )
        self.bytes_in += request.ByteSize()
        self.changes.observe_revision(int(metadata.get(REVISION_HEADER, 0)))
        return request

    async def _send(self, stream: server.Stream, reply: Any) -> None:
        self.bytes_out += reply.ByteSize()
        await stream.send_message(reply)

    async def Admit(self, stream: server.Stream) -> None:  # noqa: N802
        """Serves `Admit`."""
        request = await self._receive(stream)
        reply = await self.admission.admit(request)
        await self._send(stream, compact.strip_grant(reply, request))

    async def Release(self, stream: server.Stream) -> None:  # noqa: N802
        """Serves `Release`."""
        request = await self._receive(stream)
        await self._send(stream, await self.admission.release(request))

    async def ListGrants(self, stream: server.Stream) -> None:  # noqa: N802
        """Serves `ListGrants`."""
        request = await self._receive(stream)
        await self._send(stream, await self.grants.list_grants(request))

    async def HandOver(self, stream: server.Stream) -> None:  # noqa: N802
        """Serves `HandOver`."""
        request = await self._receive(stream)
        reply = await self.hand_overs.accept_hand_over(request)
        await self._send(stream, reply)

    async def ExchangeReachability(  # noqa: N802
        self, stream: server.Stream
    ) -> None:
        """Serves `ExchangeReachability`."""
        request = await self._receive(stream)
        await self._send(stream, await self.reachability.exchange(request))

    async def LeaseQuota(self, stream: server.Stream) -> None:  # noqa: N802
        """Serves `LeaseQuota`."""
        request = await self._receive(stream)
        await self._send(stream, await self.quota.lease_quota(request))

    async def LeaseLoadPermit(  # noqa: N802
        self, stream: server.Stream
    ) -> None:
        """Serves `LeaseLoadPermit`."""
        request = await self._receive(stream)
        await self._send(stream, await self.permits.lease_permit(request))

    async def ReturnLoadPermit(  # noqa: N802
        self, stream: server.Stream
    ) -> None:
        """Serves `ReturnLoadPermit`."""
        request = await self._receive(stream)
        await self.permits.return_permit(request)
        await self._send(stream, peer_pb2.Empty())

    async def FetchChanges(self, stream: server.Stream) -> None:  # noqa: N802
        """Serves `FetchChanges`."""
        request = await self._receive(stream)
        await self._send(stream, await self.changes.fetch_changes(request))

    async def Explain(self, stream: server.Stream) -> None:  # noqa: N802
        """Serves `Explain`."""
        request = await self._receive(stream)
        lines = self.decisions.explain(request.request_id)
        await self._send(stream, peer_pb2.ExplainReply(lines=lines))

    async def ReportConviction(  # noqa: N802
        self, stream: server.Stream
    ) -> None:
        """Serves `ReportConviction`."""
        request = await self._receive(stream)
        await self.convictions.receive_conviction(request)
        await self._send(stream, peer_pb2.Empty())
