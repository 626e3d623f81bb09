"""Slopes of peer calls, both sides in one process and counted together."""

import datetime
import functools
from typing import Any, final
import uuid

from grpclib import server as grpc_server

from _dogwoodhinge.peer import client as peer_client
from _dogwoodhinge.peer import peer_pb2
from _dogwoodhinge.peer import server as peer_server
from dogwoodhinge_lab import slope

NODES = 320


@final
class _Echo:
    """Handles the measured calls with ordinary replies."""

    async def admit(
        self, request: peer_pb2.AdmitRequest
    ) -> peer_pb2.AdmitReply:
        """Grants."""
        grant = peer_pb2.Grant(
            grant_id=request.request_id,
            request_id=request.request_id,
            engine_id=request.engine_id,
            adapter=request.adapter,
            version=request.version,
            token=7,
            session_id=request.session_id,
            start_within_ms=5_000,
        )
        return peer_pb2.AdmitReply(grant=grant)

    async def release(
        self, request: peer_pb2.ReleaseRequest
    ) -> peer_pb2.ReleaseReply:
        """Ends a grant."""
        del request
        return peer_pb2.ReleaseReply(known=True)

    async def lease_quota(
        self, request: peer_pb2.LeaseQuotaRequest
    ) -> peer_pb2.LeaseQuotaReply:
        """Leases a share."""
        del request
        return peer_pb2.LeaseQuotaReply(
            requests=5.0, concurrency=5, lifetime_ms=1_000
        )

    async def exchange(
        self, request: peer_pb2.Reachability
    ) -> peer_pb2.Reachability:
        """Answers with a vector as long as the one received."""
        return request

    def observe_revision(self, revision: int) -> None:
        """Does nothing."""


async def measure() -> list[slope.Slope]:
    """Measures all slopes of this module."""
    echo: Any = _Echo()
    peer = peer_server.PeerServer(
        key="key",
        admission=echo,
        hand_overs=echo,
        grants=echo,
        reachability=echo,
        quota=echo,
        permits=echo,
        changes=echo,
        convictions=echo,
        decisions=echo,
    )
    server = grpc_server.Server([peer])
    await server.start("127.0.0.1", 0)
    port = server._server.sockets[0].getsockname()[1]
    relay = slope.ByteRelay(f"127.0.0.1:{port}")
    await relay.start()
    client = peer_client.PeerClient(key="key", revision=lambda: 1_234)
    client.session_id = uuid.uuid4().hex
    found = []
    for name, method, request in _peer_calls():
        call = functools.partial(_call, client, method, request)
        found.extend(
            await slope.cpu_and_bytes(
                f"peer call {name}, both sides",
                functools.partial(call, f"127.0.0.1:{port}"),
                functools.partial(call, relay.address),
                relay,
            )
        )
    client.close()
    await relay.stop()
    server.close()
    await server.wait_closed()
    return found


async def _call(
    client: peer_client.PeerClient, method: str, request: Any, address: str
) -> None:
    timeout = datetime.timedelta(seconds=5)
    await client.call(address, method, request, timeout=timeout)


def _peer_calls() -> list[tuple[str, str, Any]]:
    name = uuid.uuid4().hex
    admit = peer_pb2.AdmitRequest(
        request_id=name,
        customer="aduelas",
        engine_id="engine-0007",
        adapter="lots-00007",
        version="v3",
        session_id=name,
        deadline_ms=30_000,
        prompt_tokens=400,
        max_tokens=500,
        priority=1,
        weight=1.0,
    )
    release = peer_pb2.ReleaseRequest(
        grant_id=name,
        engine_id="engine-0007",
        started=True,
        completed=True,
        first_token_ms=300,
        mean_gap_ms=39,
        output_tokens=500,
    )
    quota = peer_pb2.LeaseQuotaRequest(
        customer="aduelas",
        session_id=name,
        wanted_requests=5.0,
        running=3,
        wanted_concurrency=5,
    )
    return [
        ("Admit", "Admit", admit),
        ("Release", "Release", release),
        ("LeaseQuota", "LeaseQuota", quota),
        (
            "ExchangeReachability of 7",
            "ExchangeReachability",
            _reachability(7),
        ),
        (
            "ExchangeReachability of 320",
            "ExchangeReachability",
            _reachability(NODES),
        ),
    ]


def _reachability(sessions: int) -> peer_pb2.Reachability:
    ages = [
        peer_pb2.SessionAge(
            session_id=uuid.uuid4().hex,
            reached_ms_ago=500 + number,
            heard_ms_ago=2_000 + number,
        )
        for number in range(sessions)
    ]
    return peer_pb2.Reachability(session_id=uuid.uuid4().hex, ages=ages)
