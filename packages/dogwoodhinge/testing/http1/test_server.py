"""Tests of the server of callers' connections."""

import asyncio
from collections.abc import AsyncIterator
import contextlib

import pytest

from _dogwoodhinge.http1 import connection as connection_lib
from _dogwoodhinge.http1 import server as server_lib

REQUEST = b"GET /%d HTTP/1.1\r\nHost: example\r\n\r\n"
POST = b"POST /1 HTTP/1.1\r\nHost: example\r\nContent-Length: 4\r\n\r\n"

# More than the kernel keeps for a caller that does not read.
LARGE_ANSWER = b"x" * (64 * 1024 * 1024)


class Site:
    """A server on loopback that notes what it was asked for."""

    def __init__(self) -> None:
        self.targets: list[bytes] = []
        self.body = b"done"
        self.server = server_lib.Server(
            handler=self.handle,
            limits=server_lib.Limits,
            report=lambda event, fields: None,
        )

    async def handle(
        self, request: server_lib.RawRequest, reply: server_lib.Reply
    ) -> None:
        """Answers at once."""
        self.targets.append(request.target)
        reply.answer(200, [], self.body)

    async def connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Opens a caller's connection."""
        assert self.server.listener is not None
        port = self.server.listener.sockets[0].getsockname()[1]
        return await asyncio.open_connection("127.0.0.1", port)

    async def idle_connection(self) -> connection_lib.Connection:
        """Waits until one connection is idle."""
        async with asyncio.timeout(5):
            while not self.server.idle:
                await asyncio.sleep(0.001)
        return next(iter(self.server.idle))


@pytest.fixture
async def site() -> AsyncIterator[Site]:
    found = Site()
    await found.server.listen("127.0.0.1", 0)
    yield found
    await found.server.close()


async def test_request_that_arrived_before_the_close_is_answered(
    site: Site,
) -> None:
    """LOST: its connection was closed, and it was passed on all the same.

    It was parsed in the moment in which the signal to end was taken, before
    the connection's task had seen it.
    """
    reader, writer = await site.connect()
    connection = await site.idle_connection()
    connection.data_received(REQUEST % 1)
    site.server.leave()
    site.server.close_idle()
    async with asyncio.timeout(5):
        answer = await reader.read()
    writer.close()
    assert site.targets == [b"/1"]
    assert b"connection: close" in answer.lower()
    assert answer.endswith(b"done")


async def test_request_on_a_connection_that_is_closed_is_not_run(
    site: Site,
) -> None:
    _, writer = await site.connect()
    connection = await site.idle_connection()
    connection.data_received(REQUEST % 1)
    connection.close()
    async with asyncio.timeout(5):
        while site.server.tasks:
            await asyncio.sleep(0.001)
    writer.close()
    assert site.targets == []


async def test_idle_connections_end_when_the_node_leaves(site: Site) -> None:
    reader, writer = await site.connect()
    await site.idle_connection()
    site.server.leave()
    site.server.close_idle()
    async with asyncio.timeout(5):
        assert await reader.read() == b""
    writer.close()


async def test_server_is_not_quiet_while_a_body_arrives(site: Site) -> None:
    reader, writer = await site.connect()
    await site.idle_connection()
    writer.write(POST)
    async with asyncio.timeout(5):
        while not site.server.active:
            await asyncio.sleep(0.001)
        assert not site.server.quiet.is_set()
        site.server.leave()
        site.server.close_idle()
        writer.write(b"body")
        answer = await reader.read()
        await site.server.quiet.wait()
    writer.close()
    assert answer.endswith(b"done")


async def test_answers_are_waited_for_until_the_kernel_has_them(
    site: Site,
) -> None:
    """A process that ended earlier would cut off a caller that reads slowly."""
    site.body = LARGE_ANSWER
    reader, writer = await site.connect()
    writer.write(REQUEST % 1)
    site.server.leave()
    async with asyncio.timeout(5):
        while not site.targets:
            await asyncio.sleep(0.001)
        await site.server.quiet.wait()
    waiting = asyncio.create_task(site.server.wait_until_sent())
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(0.1):
            await asyncio.shield(waiting)
    assert not waiting.done()
    async with asyncio.timeout(30):
        answer = await reader.read()
        await waiting
    writer.close()
    assert len(answer) > len(LARGE_ANSWER)
