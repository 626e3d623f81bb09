"""Tests of `_dogwoodhinge.peer.client` against `peer.server`."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
import datetime
import socket
from unittest import mock

from grpclib import server as grpc_server
import pytest

from _dogwoodhinge import errors
from _dogwoodhinge.peer import client
from _dogwoodhinge.peer import peer_pb2
from _dogwoodhinge.peer import server

KEY = "a key of the fleet"
SHORT_TIMEOUT = datetime.timedelta(milliseconds=200)


class FakeChanges:
    def __init__(self) -> None:
        self.revisions: list[int] = []

    async def fetch_changes(
        self, request: peer_pb2.FetchChangesRequest
    ) -> peer_pb2.FetchChangesReply:
        return peer_pb2.FetchChangesReply(
            head_revision=request.after_revision + 1
        )

    def observe_revision(self, revision: int) -> None:
        self.revisions.append(revision)


class FakeAdmission:
    def __init__(self) -> None:
        self.admit: Callable[..., Awaitable[object]] = self.wait_forever
        self.called = asyncio.Event()

    async def wait_forever(self, request: peer_pb2.AdmitRequest) -> object:
        self.called.set()
        return await asyncio.Event().wait()


@pytest.fixture
def changes() -> FakeChanges:
    return FakeChanges()


@pytest.fixture
def admission() -> FakeAdmission:
    return FakeAdmission()


@pytest.fixture
async def address(
    changes: FakeChanges, admission: FakeAdmission
) -> AsyncIterator[str]:
    handler = mock.Mock()
    peer = server.PeerServer(
        key=KEY,
        admission=admission,  # type: ignore[arg-type]
        hand_overs=handler,
        grants=handler,
        reachability=handler,
        quota=handler,
        permits=handler,
        changes=changes,
        convictions=handler,
        decisions=handler,
    )
    listener = grpc_server.Server([peer])
    bound = socket.create_server(("127.0.0.1", 0))
    port = bound.getsockname()[1]
    await listener.start(sock=bound)
    yield f"127.0.0.1:{port}"
    listener.close()
    await listener.wait_closed()


@pytest.fixture
async def peers() -> AsyncIterator[client.PeerClient]:
    peer_client = client.PeerClient(key=KEY, revision=lambda: 7)
    yield peer_client
    peer_client.close()


async def test_call_carries_the_known_revision(
    address: str, peers: client.PeerClient, changes: FakeChanges
) -> None:
    request = peer_pb2.FetchChangesRequest(after_revision=3)
    reply = await peers.call(address, "FetchChanges", request)
    assert reply.head_revision == 4
    assert changes.revisions == [7]


async def test_wrong_key_is_rejected_before_the_handler(
    address: str, changes: FakeChanges
) -> None:
    unauthorized = client.PeerClient(key="another key", revision=lambda: 99)
    with pytest.raises(errors.PeerUnreachableError, match="invalid peer key"):
        await unauthorized.call(
            address, "FetchChanges", peer_pb2.FetchChangesRequest()
        )
    unauthorized.close()
    assert changes.revisions == []


async def test_closed_port_is_unreachable(
    peers: client.PeerClient,
) -> None:
    with socket.create_server(("127.0.0.1", 0)) as closed:
        port = closed.getsockname()[1]
    with pytest.raises(errors.PeerUnreachableError):
        await peers.call(
            f"127.0.0.1:{port}", "Release", peer_pb2.ReleaseRequest()
        )


async def test_unanswered_call_has_unknown_outcome(
    address: str, peers: client.PeerClient, admission: FakeAdmission
) -> None:
    with pytest.raises(errors.PeerOutcomeUnknownError):
        await peers.call(
            address, "Admit", peer_pb2.AdmitRequest(), timeout=SHORT_TIMEOUT
        )
    assert admission.called.is_set()
    reply = await peers.call(
        address, "FetchChanges", peer_pb2.FetchChangesRequest()
    )
    assert reply.head_revision == 1


async def test_timeout_around_an_unanswered_call_expires(
    address: str, peers: client.PeerClient
) -> None:
    """Regression: the call left the task of its caller marked as cancelled."""

    async def call_and_wait() -> None:
        async with asyncio.timeout(0.5):
            with pytest.raises(errors.PeerOutcomeUnknownError):
                await peers.call(
                    address,
                    "Admit",
                    peer_pb2.AdmitRequest(),
                    timeout=SHORT_TIMEOUT,
                )
            await asyncio.sleep(5.0)

    with pytest.raises(TimeoutError):
        await asyncio.create_task(call_and_wait())


async def test_cancelled_caller_cancels_the_handler(
    address: str, peers: client.PeerClient, admission: FakeAdmission
) -> None:
    cancelled = asyncio.Event()

    async def wait(request: peer_pb2.AdmitRequest) -> object:
        admission.called.set()
        try:
            return await asyncio.Event().wait()
        except asyncio.CancelledError:
            cancelled.set()
            raise

    admission.admit = wait
    call = asyncio.create_task(
        peers.call(address, "Admit", peer_pb2.AdmitRequest())
    )
    await admission.called.wait()
    call.cancel()
    async with asyncio.timeout(5):
        await cancelled.wait()
