"""Tests of `_dogwoodhinge.http1.server`."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import dataclasses
import datetime
import time

import pytest

from _dogwoodhinge.http1 import connection as connection_lib
from _dogwoodhinge.http1 import server as server_lib

REQUEST = b"GET /%d HTTP/1.1\r\nHost: example\r\n\r\n"
POST = b"POST /1 HTTP/1.1\r\nHost: example\r\nContent-Length: 4\r\n\r\n"

SHORT_LIMITS = server_lib.Limits(
    head_timeout=datetime.timedelta(seconds=0.1),
    idle_timeout=datetime.timedelta(seconds=0.1),
)

# Exceeds the socket buffers of the kernel for a caller that does not read.
LARGE_BODY = b"x" * (64 * 1024 * 1024)


def stall_event_loop() -> None:
    """Lets the next turn find data and timeouts of `SHORT_LIMITS` together."""
    time.sleep(0.3)


class ServerHarness:
    """A server on loopback that records the targets of its requests."""

    def __init__(self) -> None:
        self.targets: list[bytes] = []
        self.events: list[tuple[str, dict[str, object]]] = []
        self.body = b"done"
        self.may_begin = asyncio.Event()
        self.may_begin.set()
        self.may_finish = asyncio.Event()
        self.may_finish.set()
        self.limits = server_lib.Limits()
        self.server = server_lib.Server(
            handler=self.handle,
            limits=lambda: self.limits,
            report=lambda event, fields: self.events.append((event, fields)),
        )

    async def handle(
        self, request: server_lib.RawRequest, reply: server_lib.Reply
    ) -> None:
        """Responds as soon as `may_begin` and `may_finish` are set."""
        self.targets.append(request.target)
        await self.may_begin.wait()
        if self.may_finish.is_set():
            reply.answer(200, [], self.body)
            return
        reply.begin(200, [(b"Content-Length", b"%d" % len(self.body))])
        await self.may_finish.wait()
        await reply.write(self.body)
        reply.finish()

    async def wait_for_target(self) -> None:
        """Waits until a request has reached the handler."""
        async with asyncio.timeout(5):
            while not self.targets:
                await asyncio.sleep(0.001)

    async def connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Opens a caller's connection."""
        assert self.server.listener is not None
        port = self.server.listener.sockets[0].getsockname()[1]
        return await asyncio.open_connection("127.0.0.1", port)

    async def idle_connection(self) -> connection_lib.Connection:
        """Returns a connection once one is idle."""
        async with asyncio.timeout(5):
            while not self.server.idle:
                await asyncio.sleep(0.001)
        return next(iter(self.server.idle))


@pytest.fixture
async def harness() -> AsyncIterator[ServerHarness]:
    found = ServerHarness()
    await found.server.listen("127.0.0.1", 0)
    yield found
    await found.server.close()


async def test_request_received_before_the_shutdown_is_answered(
    harness: ServerHarness,
) -> None:
    """A connection is not closed as idle if a request has arrived on it.

    The request arrived just before the shutdown signal was handled, and the
    connection's task had not read it yet. The request ran, but its connection
    was already closed (LOST violation).
    """
    reader, writer = await harness.connect()
    connection = await harness.idle_connection()
    connection.data_received(REQUEST % 1)
    harness.server.leave()
    harness.server.close_idle()
    async with asyncio.timeout(5):
        answer = await reader.read()
    writer.close()
    assert harness.targets == [b"/1"]
    assert b"connection: close" in answer.lower()
    assert answer.endswith(b"done")


async def test_unread_request_at_shutdown_is_answered(
    harness: ServerHarness,
) -> None:
    """A request that the kernel has received must not be reset as idle."""
    reader, writer = await harness.connect()
    await harness.idle_connection()
    writer.write(REQUEST % 1)  # sends at once; the server has no turn to read
    harness.server.leave()
    harness.server.close_idle()
    async with asyncio.timeout(5):
        answer = await reader.read()
    writer.close()
    assert b"connection: close" in answer.lower()
    assert answer.endswith(b"done")


async def test_half_received_head_at_shutdown_is_answered(
    harness: ServerHarness,
) -> None:
    reader, writer = await harness.connect()
    connection = await harness.idle_connection()
    request = REQUEST % 1
    writer.write(request[:20])
    async with asyncio.timeout(5):
        while not connection.unread_bytes:
            await asyncio.sleep(0.001)
        await asyncio.sleep(0.01)  # the parser asks for more data
        harness.server.leave()
        harness.server.close_idle()
        writer.write(request[20:])
        answer = await reader.read()
    writer.close()
    assert answer.endswith(b"done")


async def test_request_on_a_closed_connection_is_not_run(
    harness: ServerHarness,
) -> None:
    _, writer = await harness.connect()
    connection = await harness.idle_connection()
    connection.data_received(REQUEST % 1)
    connection.close()
    async with asyncio.timeout(5):
        while harness.server.tasks:
            await asyncio.sleep(0.001)
    writer.close()
    assert harness.targets == []


async def test_idle_connections_close_on_shutdown(
    harness: ServerHarness,
) -> None:
    reader, writer = await harness.connect()
    await harness.idle_connection()
    harness.server.leave()
    harness.server.close_idle()
    async with asyncio.timeout(5):
        assert await reader.read() == b""
    writer.close()


async def test_server_waits_for_a_request_body_on_shutdown(
    harness: ServerHarness,
) -> None:
    reader, writer = await harness.connect()
    await harness.idle_connection()
    writer.write(POST)
    async with asyncio.timeout(5):
        while not harness.server.active:
            await asyncio.sleep(0.001)
        harness.server.leave()
        draining = asyncio.create_task(harness.server.drain())
        await asyncio.sleep(0.1)
        assert not draining.done()
        writer.write(b"body")
        answer = await reader.read()
        await draining
    writer.close()
    assert answer.endswith(b"done")


async def test_shutdown_waits_until_the_kernel_has_all_responses(
    harness: ServerHarness,
) -> None:
    """A process that exits earlier truncates the responses of slow callers."""
    harness.body = LARGE_BODY
    reader, writer = await harness.connect()
    writer.write(REQUEST % 1)
    harness.server.leave()
    async with asyncio.timeout(5):
        while not harness.targets or harness.server.tasks:
            await asyncio.sleep(0.001)
    waiting = asyncio.create_task(harness.server.wait_until_sent())
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(0.1):
            await asyncio.shield(waiting)
    assert not waiting.done()
    async with asyncio.timeout(30):
        answer = await reader.read()
        await waiting
    writer.close()
    assert len(answer) > len(LARGE_BODY)


async def test_caller_connected_as_the_listener_closes_is_served(
    harness: ServerHarness,
) -> None:
    reader, writer = await harness.connect()
    await harness.idle_connection()
    harness.server.leave()
    closing = asyncio.create_task(harness.server.close_listener())
    await asyncio.sleep(server_lib.FIRST_REQUEST_DELAY.total_seconds() / 2)
    writer.write(REQUEST % 1)
    async with asyncio.timeout(5):
        answer = await reader.read()
        await closing
        await harness.server.drain()
    writer.close()
    assert answer.endswith(b"done")


async def test_drain_closes_connections_without_a_request(
    harness: ServerHarness,
) -> None:
    reader, writer = await harness.connect()
    await harness.idle_connection()
    harness.server.leave()
    async with asyncio.timeout(5):
        await harness.server.drain()
        assert await reader.read() == b""
    writer.close()


async def test_response_begun_during_shutdown_announces_the_close(
    harness: ServerHarness,
) -> None:
    """A caller that is not told sends its next request into the close."""
    harness.may_begin.clear()
    reader, writer = await harness.connect()
    writer.write(REQUEST % 1)
    await harness.wait_for_target()
    harness.server.leave()
    harness.may_begin.set()
    async with asyncio.timeout(5):
        answer = await reader.read()
    writer.close()
    assert b"connection: close" in answer.lower()
    assert answer.endswith(b"done")


async def test_next_request_after_an_unannounced_close_is_answered(
    harness: ServerHarness,
) -> None:
    """The response before it had begun before the shutdown."""
    harness.may_finish.clear()
    reader, writer = await harness.connect()
    writer.write(REQUEST % 1)
    await harness.wait_for_target()
    harness.server.leave()
    writer.write(REQUEST % 2)
    harness.may_finish.set()
    async with asyncio.timeout(5):
        answer = await reader.read()
    writer.close()
    assert harness.targets == [b"/1", b"/2"]
    assert answer.count(b"done") == 2
    assert answer.lower().count(b"connection: close") == 1


async def test_request_that_is_read_as_its_connection_expires_is_answered(
    harness: ServerHarness,
) -> None:
    """Regression: the timeout won although the request had been read."""
    harness.limits = SHORT_LIMITS
    reader, writer = await harness.connect()
    await harness.idle_connection()
    writer.write(REQUEST % 1)
    stall_event_loop()
    async with asyncio.timeout(5):
        answer = await reader.readexactly(len(b"HTTP/1.1 200"))
    writer.close()
    assert answer == b"HTTP/1.1 200"
    assert harness.targets == [b"/1"]


async def test_body_that_is_read_as_its_connection_expires_is_answered(
    harness: ServerHarness,
) -> None:
    harness.limits = SHORT_LIMITS
    reader, writer = await harness.connect()
    await harness.idle_connection()
    writer.write(POST)
    async with asyncio.timeout(5):
        while not harness.server.active:
            await asyncio.sleep(0.001)
    writer.write(b"body")
    stall_event_loop()
    async with asyncio.timeout(5):
        answer = await reader.readexactly(len(b"HTTP/1.1 200"))
    writer.close()
    assert answer == b"HTTP/1.1 200"


async def test_idle_connection_without_data_expires(
    harness: ServerHarness,
) -> None:
    harness.limits = SHORT_LIMITS
    reader, writer = await harness.connect()
    async with asyncio.timeout(5):
        assert await reader.read() == b""
    writer.close()


async def test_half_received_head_expires(harness: ServerHarness) -> None:
    harness.limits = SHORT_LIMITS
    reader, writer = await harness.connect()
    writer.write((REQUEST % 1)[:20])
    async with asyncio.timeout(5):
        assert await reader.read() == b""
    writer.close()


async def test_new_limits_apply_to_idle_connections(
    harness: ServerHarness,
) -> None:
    """Callers reuse connections, and send bodies, by the newest limits."""
    harness.limits = dataclasses.replace(SHORT_LIMITS, body_bytes=1)
    reader, writer = await harness.connect()
    await harness.idle_connection()
    harness.limits = server_lib.Limits()
    await asyncio.sleep(0.3)
    writer.write(POST + b"body")
    async with asyncio.timeout(5):
        answer = await reader.readexactly(len(b"HTTP/1.1 200"))
    writer.close()
    assert answer == b"HTTP/1.1 200"


@pytest.mark.parametrize(
    ("sent", "event"),
    [
        ((REQUEST % 1)[:20], "request_unfinished"),
        (POST, "request_unfinished"),
        (POST + b"bo", "request_unfinished"),
        (b"", None),
        (REQUEST % 1, None),
    ],
    ids=["half_head", "no_body", "half_body", "nothing", "complete"],
)
@pytest.mark.parametrize("closes", [True, False], ids=["closed", "expired"])
async def test_unfinished_request_is_logged(
    harness: ServerHarness, sent: bytes, event: str | None, closes: bool
) -> None:
    harness.limits = SHORT_LIMITS
    reader, writer = await harness.connect()
    await harness.idle_connection()
    writer.write(sent)
    async with asyncio.timeout(5):
        await asyncio.sleep(0.02)
        if closes:
            writer.close()
        while harness.server.tasks:
            await asyncio.sleep(0.001)
    writer.close()
    assert [name for name, _ in harness.events] == [event] * bool(event)
    assert all(fields["reason"] for _, fields in harness.events)
