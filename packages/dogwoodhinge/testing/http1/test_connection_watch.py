"""Tests of `_dogwoodhinge.http1.connection_watch`, over real connections."""

import asyncio
from collections.abc import AsyncIterator, Callable
import contextlib
import datetime
import socket
import struct

import pytest

from _dogwoodhinge.http1 import connection as connection_lib
from _dogwoodhinge.http1 import memory_budget
from _dogwoodhinge.http1 import server as server_lib

POST = b"POST /%d HTTP/1.1\r\nHost: example\r\nContent-Length: %d\r\n\r\n%b"
LONG_ANSWER = b"x" * (8 * 1024 * 1024)  # exceeds the buffers of the kernel
GONE_SECONDS = 0.5
MEBIBYTE = 1024 * 1024


def post(number: int, body_bytes: int) -> bytes:
    """Returns a request with a body."""
    return POST % (number, body_bytes, b"x" * body_bytes)


class Harness:
    """A server whose handler waits, or answers at once.

    Attributes:
        turns: turns of the event loop that each request takes.
    """

    def __init__(self, server: Callable[..., server_lib.Server]) -> None:
        self.targets: list[bytes] = []
        self.cancelled: list[bytes] = []
        self.answer = b"done"
        self.waits = False
        self.turns = 0
        self.events: list[str] = []
        self.server = server(
            handler=self.handle,
            limits=server_lib.Limits,
            report=lambda event, fields: self.events.append(event),
        )

    async def handle(
        self, request: server_lib.RawRequest, reply: server_lib.Reply
    ) -> None:
        """Answers, unless it has to wait for ever."""
        self.targets.append(request.target)
        try:
            if self.waits:
                await asyncio.sleep(3600)
            for _ in range(self.turns):
                await asyncio.sleep(0)
        except asyncio.CancelledError:
            self.cancelled.append(request.target)
            raise
        reply.answer(200, [], self.answer)

    async def connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Opens a caller's connection."""
        assert self.server.listener is not None
        port = self.server.listener.sockets[0].getsockname()[1]
        return await asyncio.open_connection("127.0.0.1", port)

    def connections(self) -> list[connection_lib.Connection]:
        """Returns the open connections."""
        return list(self.server.watch.open.values())


async def until(condition: Callable[[], object]) -> None:
    """Waits for a condition."""
    async with asyncio.timeout(5):
        while not condition():
            await asyncio.sleep(0.005)


@contextlib.asynccontextmanager
async def running(**settings: object) -> AsyncIterator[Harness]:
    """Runs a server with these settings."""
    harness = Harness(
        lambda **usual: server_lib.Server(**usual, **settings)  # type: ignore[arg-type]
    )
    await harness.server.listen("127.0.0.1", 0)
    try:
        yield harness
    finally:
        await harness.server.close()


def leave(writer: asyncio.StreamWriter, *, reset: bool) -> None:
    """Closes a connection with a close or a reset."""
    raw = writer.get_extra_info("socket")
    raw.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", int(reset), 0)
    )
    writer.transport.abort()


@pytest.mark.parametrize("reset", [False, True], ids=["close", "reset"])
async def test_caller_that_has_sent_much_ahead_is_missed(reset: bool) -> None:
    """Its connection is not read, and its close stands behind its requests."""
    async with running() as harness:
        harness.waits = True
        _, writer = await harness.connect()
        for number in range(6):
            writer.write(post(number, 30_000))
        await until(lambda: harness.targets)
        await until(lambda: harness.connections()[0].reading_paused)
        await asyncio.sleep(0.05)
        leave(writer, reset=reset)
        async with asyncio.timeout(GONE_SECONDS):
            while not harness.cancelled:
                await asyncio.sleep(0.005)
        assert harness.targets == harness.cancelled == [b"/0"]


async def test_requests_sent_ahead_are_not_read_without_bound() -> None:
    """Regression: 750 requests left 33 MB in the parser's buffer."""
    bound = connection_lib.MAX_UNPARSED_BYTES + connection_lib.READ_BYTES
    most = 0
    async with running() as harness:
        harness.turns = 4
        reader, writer = await harness.connect()
        for number in range(750):
            writer.write(post(number, 30_000))
        while len(harness.targets) < 750:
            for connection in harness.connections():
                most = max(most, connection.parser.unparsed_bytes)
            await asyncio.sleep(0)
        async with asyncio.timeout(5):
            for _ in range(750):
                assert await reader.readuntil(b"\r\n\r\ndone")
        writer.close()
    assert 0 < most <= bound


async def test_next_request_waits_until_the_answer_is_read() -> None:
    async with running() as harness:
        harness.answer = LONG_ANSWER
        reader, writer = await harness.connect()
        writer.write(post(1, 10) + post(2, 10))
        await until(lambda: harness.targets)
        await asyncio.sleep(0.2)
        assert harness.targets == [b"/1"]
        async with asyncio.timeout(5):
            for _ in range(2):
                await reader.readuntil(b"\r\n\r\n")
                await reader.readexactly(len(LONG_ANSWER))
        assert harness.targets == [b"/1", b"/2"]
        writer.close()


async def test_long_body_that_stands_still_is_refused_for_another() -> None:
    memory = memory_budget.MemoryBudget(8 * MEBIBYTE)
    async with running(memory=memory) as harness:
        first_reader, first = await harness.connect()
        first.write(post(1, 2 * MEBIBYTE)[:-1])
        await until(lambda: memory.large_bytes > 3 * MEBIBYTE)
        reader, second = await harness.connect()
        second.write(post(2, 2 * MEBIBYTE))
        async with asyncio.timeout(5):
            assert (await reader.readline()).split()[1] == b"200"
            refusal = await first_reader.readuntil(b"\r\n\r\n")
        assert refusal.split()[1] == b"503"
        assert b"retry-after: 1" in refusal.lower()
        assert b"connection: close" in refusal.lower()
        assert harness.targets == [b"/2"]
        assert "memory_relieved" in harness.events
        assert harness.server.watch.given_up["refused"] == 1
        first.close()
        second.close()


async def test_unread_answer_makes_room_for_an_ordinary_request() -> None:
    memory = memory_budget.MemoryBudget(4 * MEBIBYTE)
    async with running(memory=memory) as harness:
        harness.answer = LONG_ANSWER
        _, unread = await harness.connect()
        unread.write(post(1, 10))
        await until(lambda: harness.server.watch.given_up["closed"])
        harness.answer = b"done"
        reader, writer = await harness.connect()
        writer.write(post(2, 10))
        async with asyncio.timeout(5):
            assert (await reader.readline()).split()[1] == b"200"
        await until(lambda: memory.held_bytes < MEBIBYTE)
        unread.close()
        writer.close()


async def test_answer_that_stays_unread_ends_its_connection() -> None:
    timeout = datetime.timedelta(seconds=0.2)
    async with running(unread_timeout=timeout) as harness:
        harness.answer = LONG_ANSWER
        _, writer = await harness.connect()
        writer.write(post(1, 10))
        await until(lambda: harness.server.watch.given_up["unread"])
        await until(lambda: not harness.connections())
        assert "response_unread" in harness.events
        writer.close()


async def test_oldest_idle_connection_is_closed_for_a_new_one() -> None:
    async with running(max_connections=2) as harness:
        opened = []
        for number in range(3):
            reader, writer = await harness.connect()
            writer.write(post(number, 10))
            async with asyncio.timeout(5):
                await reader.readuntil(b"done")
            opened.append((reader, writer))
        async with asyncio.timeout(5):
            assert await opened[0][0].read() == b""
        assert harness.server.watch.given_up == {"replaced": 1}
        assert len(harness.connections()) == 2
        for _, writer in opened:
            writer.close()


async def test_connection_is_dropped_if_all_others_are_in_use() -> None:
    async with running(max_connections=1) as harness:
        harness.waits = True
        _, first = await harness.connect()
        first.write(post(1, 10))
        await until(lambda: harness.targets)
        reader, second = await harness.connect()
        async with asyncio.timeout(5):
            with contextlib.suppress(ConnectionError):
                assert await reader.read() == b""
        assert harness.server.watch.given_up == {"not_accepted": 1}
        assert not harness.cancelled
        first.close()
        second.close()
