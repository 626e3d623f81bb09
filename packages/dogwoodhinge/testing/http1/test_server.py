"""Tests of `_dogwoodhinge.http1.server`."""

import asyncio
from collections.abc import AsyncIterator, Callable
import contextlib
import dataclasses
import datetime
import socket
import struct
import sys
import time

import h11
import pytest

from _dogwoodhinge.http1 import connection as connection_lib
from _dogwoodhinge.http1 import errors as http_errors
from _dogwoodhinge.http1 import server as server_lib

REQUEST = b"GET /%d HTTP/1.1\r\nHost: example\r\n\r\n"
POST = b"POST /1 HTTP/1.1\r\nHost: example\r\nContent-Length: 4\r\n\r\n"

SHORT_LIMITS = server_lib.Limits(
    head_timeout=datetime.timedelta(seconds=0.1),
    idle_timeout=datetime.timedelta(seconds=0.1),
)

# Exceeds the socket buffers of the kernel for a caller that does not read.
LARGE_BODY = b"x" * (64 * 1024 * 1024)


class ServerHarness:
    """A server on loopback that records the targets of its requests."""

    def __init__(self) -> None:
        self.targets: list[bytes] = []
        self.body = b"done"
        self.may_begin = asyncio.Event()
        self.may_begin.set()
        self.may_finish = asyncio.Event()
        self.may_finish.set()
        self.limits = server_lib.Limits()
        self.server = server_lib.Server(
            handler=self.handle,
            limits=lambda: self.limits,
            report=self.report,
        )
        self.events: list[tuple[str, dict[str, object]]] = []
        self.respond = self.answer

    def report(self, event: str, fields: dict[str, object]) -> None:
        """Records a log event."""
        self.events.append((event, fields))

    async def handle(
        self, request: server_lib.RawRequest, reply: server_lib.Reply
    ) -> None:
        """Responds as the test demands, by default as `answer` does."""
        self.targets.append(request.target)
        await self.respond(reply)

    async def answer(self, reply: server_lib.Reply) -> None:
        """Responds as soon as `may_begin` and `may_finish` are set."""
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

    async def closed(self) -> None:
        """Waits until no connection is served any more."""
        async with asyncio.timeout(5):
            while self.server.tasks:
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


REQUEST_1_0 = b"GET /%d HTTP/1.0\r\nHost: example\r\n\r\n"


@pytest.mark.parametrize("error", [None, ValueError()], ids=["stop", "error"])
async def test_http_1_0_caller_sees_no_end_of_an_interrupted_response(
    harness: ServerHarness, error: Exception | None
) -> None:
    """Regression: the connection was closed as after a whole response."""

    async def interrupt(reply: server_lib.Reply) -> None:
        reply.begin(200, [])
        await reply.write(b"part")
        if error is not None:
            raise error
        await asyncio.Event().wait()

    harness.respond = interrupt
    reader, writer = await harness.connect()
    writer.write(REQUEST_1_0 % 1)
    async with asyncio.timeout(5):
        if error is None:
            await reader.readuntil(b"part")
            await harness.server.close()
        with pytest.raises(ConnectionResetError):
            await reader.read()
    writer.close()


# Serves one response that never ends; prints its port.
ENDLESS_SERVER = """
import asyncio
from _dogwoodhinge.http1 import server as server_lib

async def handle(request, reply):
    reply.begin(200, [])
    await reply.write(b"part")
    await asyncio.Event().wait()

async def main():
    server = server_lib.Server(
        handler=handle,
        limits=server_lib.Limits,
        report=lambda event, fields: None,
    )
    await server.listen("127.0.0.1", 0)
    print(server.listener.sockets[0].getsockname()[1], flush=True)
    await asyncio.Event().wait()

asyncio.run(main())
"""


async def test_http_1_0_caller_sees_a_reset_when_the_process_is_killed() -> (
    None
):
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-c", ENDLESS_SERVER, stdout=asyncio.subprocess.PIPE
    )
    assert process.stdout is not None
    async with asyncio.timeout(30):
        port = int(await process.stdout.readline())
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(REQUEST_1_0 % 1)
        await reader.readuntil(b"part")
        process.kill()
        await process.wait()
        with pytest.raises(ConnectionResetError):
            await reader.read()
    writer.close()


async def test_http_1_0_caller_sees_the_end_of_a_whole_response(
    harness: ServerHarness,
) -> None:
    async def respond(reply: server_lib.Reply) -> None:
        reply.begin(200, [])
        await reply.write(LARGE_BODY)
        reply.finish()

    harness.respond = respond
    reader, writer = await harness.connect()
    writer.write(REQUEST_1_0 % 1)
    async with asyncio.timeout(30):
        answer = await reader.read()
    writer.close()
    assert answer.endswith(LARGE_BODY)


def reset(writer: asyncio.StreamWriter) -> None:
    """Closes a connection with a reset."""
    writer.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )
    writer.transport.abort()


@pytest.mark.parametrize(
    ("error", "end_reason"),
    [
        (None, "peer_closed"),
        (ConnectionResetError(), "peer_reset"),
        (TimeoutError(), "unacknowledged"),
        (OSError(), "network_error"),
    ],
    ids=["closed", "reset", "unacknowledged", "other"],
)
def test_connection_says_how_its_peer_ended_it(
    error: Exception | None, end_reason: str
) -> None:
    connection = connection_lib.Connection(
        role=h11.SERVER, max_head_bytes=1_000
    )
    connection.connection_lost(error)
    connection.close()
    assert connection.end_reason == end_reason


async def test_read_from_a_connection_closed_here_does_not_blame_the_peer() -> (
    None
):
    connection = connection_lib.Connection(
        role=h11.SERVER, max_head_bytes=1_000
    )
    connection.close()
    with pytest.raises(
        http_errors.ConnectionLostError, match="this node closed the connection"
    ):
        await connection.next_event()


async def test_connection_that_this_side_ended_says_so(
    harness: ServerHarness,
) -> None:
    _, writer = await harness.connect()
    connection = await harness.idle_connection()
    harness.server.close_idle()
    await harness.closed()
    writer.close()
    assert connection.end_reason == "closed_here"


@pytest.mark.parametrize(
    ("leave", "end_reason"),
    [
        (asyncio.StreamWriter.close, "peer_closed"),
        (reset, "peer_reset"),
    ],
    ids=["closed", "reset"],
)
@pytest.mark.parametrize(
    "received", [POST[:20], POST + b"bo"], ids=["head", "body"]
)
async def test_unfinished_request_is_reported_with_its_connection(
    harness: ServerHarness,
    received: bytes,
    leave: Callable[[asyncio.StreamWriter], None],
    end_reason: str,
) -> None:
    reader, writer = await harness.connect()
    host, port = writer.get_extra_info("sockname")
    writer.write(REQUEST % 1)
    await reader.readuntil(b"done")
    connection = await harness.idle_connection()
    writer.write(received)
    async with asyncio.timeout(5):
        while connection.message_bytes < len(received):
            await asyncio.sleep(0.001)
    await asyncio.sleep(0.01)
    leave(writer)
    await harness.closed()
    ((event, fields),) = harness.events
    assert event == "request_unfinished"
    assert fields["received_bytes"] == len(received)
    assert fields["caller"] == f"{host}:{port}"
    assert fields["caller_connection"] == end_reason
    assert fields["connection_request"] == 2
    assert harness.server.unanswered == {("reading", end_reason): 1}


async def test_connections_without_a_request_end_without_a_line(
    harness: ServerHarness,
) -> None:
    reader, writer = await harness.connect()
    writer.write(REQUEST % 1)
    await reader.readuntil(b"done")
    await harness.idle_connection()
    reset(writer)
    await harness.closed()
    assert harness.events == []
    assert not harness.server.unanswered


async def test_request_that_follows_the_last_response_is_reported(
    harness: ServerHarness,
) -> None:
    async def answer_late(reply: server_lib.Reply) -> None:
        harness.server.leave()
        await harness.answer(reply)

    harness.respond = answer_late
    _, writer = await harness.connect()
    writer.write(REQUEST % 1 + REQUEST % 2)
    await harness.closed()
    writer.close()
    assert harness.targets == [b"/1"]
    ((event, fields),) = harness.events
    assert event == "request_unfinished"
    assert fields["received_bytes"] == len(REQUEST % 2)
    assert harness.server.unanswered == {("reading", "open"): 1}


async def test_request_on_a_closed_connection_is_reported(
    harness: ServerHarness,
) -> None:
    _, writer = await harness.connect()
    connection = await harness.idle_connection()
    connection.data_received(REQUEST % 1)
    connection.close()
    await harness.closed()
    writer.close()
    ((event, fields),) = harness.events
    assert event == "request_not_run"
    assert fields["target"] == "/1"
    assert fields["caller_connection"] == "closed_here"
    assert harness.server.unanswered == {("reading", "closed_here"): 1}


async def test_request_cut_off_by_the_server_is_counted(
    harness: ServerHarness,
) -> None:
    async def wait(reply: server_lib.Reply) -> None:
        await asyncio.sleep(60)

    harness.respond = wait
    _, writer = await harness.connect()
    writer.write(REQUEST % 1)
    async with asyncio.timeout(5):
        while not harness.targets:
            await asyncio.sleep(0.001)
    await harness.server.close()
    writer.close()
    assert harness.server.unanswered == {("serving", "cut_off"): 1}


async def test_request_left_by_its_caller_is_counted(
    harness: ServerHarness,
) -> None:
    async def wait(reply: server_lib.Reply) -> None:
        await asyncio.sleep(60)

    harness.respond = wait
    _, writer = await harness.connect()
    writer.write(REQUEST % 1)
    async with asyncio.timeout(5):
        while not harness.targets:
            await asyncio.sleep(0.001)
    reset(writer)
    await harness.closed()
    assert harness.server.unanswered == {("serving", "peer_reset"): 1}


async def test_broken_off_response_is_counted(harness: ServerHarness) -> None:
    async def break_off(reply: server_lib.Reply) -> None:
        reply.begin(200, [(b"Content-Length", b"9")])
        reply.break_off()

    harness.respond = break_off
    reader, writer = await harness.connect()
    writer.write(REQUEST % 1)
    await reader.read()
    await harness.closed()
    writer.close()
    assert harness.server.unanswered == {("serving", "closed_here"): 1}


async def test_error_of_the_handler_is_reported_with_its_connection(
    harness: ServerHarness,
) -> None:
    async def fail(reply: server_lib.Reply) -> None:
        raise ValueError("wrong")

    harness.respond = fail
    _, writer = await harness.connect()
    writer.write(REQUEST % 1)
    await harness.closed()
    writer.close()
    ((event, fields),) = harness.events
    assert event == "connection_failed"
    assert fields["error"] == "ValueError: wrong"
    assert fields["caller_connection"] == "open"
    assert harness.server.unanswered == {("serving", "handler_error"): 1}


async def test_closed_idle_connections_are_reported(
    harness: ServerHarness,
) -> None:
    writers = [(await harness.connect())[1] for _ in range(3)]
    async with asyncio.timeout(5):
        while len(harness.server.idle) < 3:
            await asyncio.sleep(0.001)
    (await harness.idle_connection()).data_received(REQUEST % 1)
    harness.server.close_idle()
    for writer in writers:
        writer.close()
    assert harness.events == [
        ("idle_connections_closed", {"closed": 2, "kept": 1, "active": 0})
    ]


def stall_event_loop() -> None:
    """Lets the next turn find data and timeouts of `SHORT_LIMITS` together."""
    time.sleep(0.3)


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


@pytest.mark.parametrize("turns", range(7))
async def test_request_received_as_its_timeout_expires_is_read(
    turns: int,
) -> None:
    """Regression: the connection was closed, though the request was complete.

    The timeout is delivered some turns of the event loop after it has expired,
    and the request was received in one of them.
    """
    connection = connection_lib.Connection(role=h11.SERVER, max_head_bytes=1000)
    now = asyncio.get_running_loop().time()
    reading = asyncio.create_task(server_lib._next_event(connection, now))
    for _ in range(turns):
        await asyncio.sleep(0)
    expired = reading.done()
    connection.data_received(REQUEST % 1)
    if expired:
        with pytest.raises(TimeoutError):
            await reading
    else:
        assert isinstance(await reading, h11.Request)


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


async def test_head_limit_of_an_open_connection_is_the_newest(
    harness: ServerHarness,
) -> None:
    """Heads that a newer configuration allows were rejected until a reconnect.

    The limit applies to heads that arrive in more than one part.
    """
    harness.limits = dataclasses.replace(SHORT_LIMITS, head_bytes=300)
    reader, writer = await harness.connect()
    await harness.idle_connection()
    harness.limits = server_lib.Limits()
    long_head = POST.replace(b"\r\n\r\n", b"\r\nX: " + b"y" * 900 + b"\r\n\r\n")
    for sent in (long_head[:600], long_head[600:] + b"body"):
        writer.write(sent)
        await asyncio.sleep(0.05)
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
