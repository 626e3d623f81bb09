"""Tests of servers whose responses do not end, on the product's own path."""

import asyncio
from collections.abc import AsyncIterator, Callable
import contextlib
import datetime
import time
import tracemalloc

import pytest

from _dogwoodhinge.platform import errors as platform_errors
from _dogwoodhinge.platform import http_client
from _dogwoodhinge.platform import openai_engine
from dogwoodhinge import errors
from dogwoodhinge import models

TIMEOUT = datetime.timedelta(seconds=2)
SLACK_SECONDS = 1.0
MAX_FLOOD_BYTES = 48 * 1024 * 1024
MAX_GROWTH_BYTES = 2 * http_client.MAX_BODY_BYTES

BLOCK = b"x" * 65_536
CHUNKED = b"HTTP/1.1 %b\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunk(data: bytes) -> bytes:
    """Returns one chunk of a chunked body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


class EndlessServer:
    """Sends a head, and then blocks until the client closes.

    Attributes:
        pause_seconds: pause between two blocks.
        open_connections: connections that are not closed.
    """

    def __init__(
        self, head: bytes, block: bytes, *, pause_seconds: float = 0.0
    ) -> None:
        self.head = head
        self.block = block
        self.pause_seconds = pause_seconds
        self.open_connections = 0
        self.url = ""

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one connection."""
        self.open_connections += 1
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self.head)
            sent = 0
            while sent < MAX_FLOOD_BYTES and not reader.at_eof():
                writer.write(self.block)
                sent += len(self.block)
                await writer.drain()
                await asyncio.sleep(self.pause_seconds)
            await reader.read()
        self.open_connections -= 1
        writer.close()


@pytest.fixture
async def start() -> AsyncIterator[
    Callable[[EndlessServer], "asyncio.Future[None]"]
]:
    servers = []

    async def listen(endless: EndlessServer) -> None:
        server = await asyncio.start_server(endless.serve, "127.0.0.1", 0)
        servers.append(server)
        port = server.sockets[0].getsockname()[1]
        endless.url = f"http://127.0.0.1:{port}"

    yield listen  # type: ignore[misc]
    for server in servers:
        server.close()


@contextlib.asynccontextmanager
async def bounds(server: EndlessServer, seconds: float) -> AsyncIterator[None]:
    """Checks time, memory, and that the connection is closed."""
    tracemalloc.start()
    began = time.monotonic()
    try:
        yield
        elapsed = time.monotonic() - began
        _, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert elapsed < seconds + SLACK_SECONDS
    assert peak < MAX_GROWTH_BYTES
    async with asyncio.timeout(SLACK_SECONDS):
        while server.open_connections:
            await asyncio.sleep(0.01)


RESPONSES = {
    "chunks": (CHUNKED % b"200 OK", chunk(BLOCK), 0.0),
    "until_close": (b"HTTP/1.1 200 OK\r\n\r\n", BLOCK, 0.0),
    "length": (
        b"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
        BLOCK,
        0.0,
    ),
    "drip": (CHUNKED % b"200 OK", chunk(b"x"), 0.05),
    "headers": (b"HTTP/1.1 200 OK\r\n", b"X-Header: 1\r\n" * 1000, 0.0),
    "header": (b"HTTP/1.1 200 OK\r\nX: ", BLOCK, 0.0),
    "informational": (b"", b"HTTP/1.1 103 Hints\r\n\r\n" * 1000, 0.0),
    "trailers": (CHUNKED % b"200 OK" + b"0\r\n", b"X: 1\r\n" * 5000, 0.0),
    "garbage": (b"", BLOCK, 0.0),
}


@pytest.mark.parametrize(
    "response",
    [pytest.param(r, id=name) for name, r in RESPONSES.items()],
)
async def test_endless_response_is_incomplete(
    start: Callable[[EndlessServer], "asyncio.Future[None]"],
    response: tuple[bytes, bytes, float],
) -> None:
    """Regression: a node kept all of a body, up to 60 s long."""
    head, block, pause_seconds = response
    server = EndlessServer(head, block, pause_seconds=pause_seconds)
    await start(server)
    client = http_client.HttpClient(server.url)
    request = http_client.Request(method="GET", path="/x", new_connection=True)
    async with bounds(server, TIMEOUT.total_seconds()):
        with pytest.raises(platform_errors.IncompleteResponseError):
            await client.exchange(request, timeout=TIMEOUT)
    await client.close()


async def first_chunk(url: str) -> models.StreamChunk:
    """Opens a stream of an engine and reads its first chunk."""
    engine = openai_engine.OpenAiEngine(
        models.Endpoint("e-1", models.EndpointKind.ENGINE, url)
    )
    stream = engine.open_stream(
        models.EngineRequest(
            request_id="r1",
            adapter=models.AdapterVersion("base/a", "1"),
            path="/v1/completions",
            body=b"{}",
            token=1,
            priority=1,
            deadline=datetime.timedelta(seconds=30),
            offset=0,
        )
    )
    return await anext(stream)


@pytest.mark.parametrize(
    ("block", "pause_seconds"),
    [
        pytest.param(chunk(BLOCK), 0.0, id="flood"),
        pytest.param(chunk(b"x"), 0.05, id="drip"),
    ],
)
async def test_refusal_with_an_endless_body_is_a_refusal(
    start: Callable[[EndlessServer], "asyncio.Future[None]"],
    block: bytes,
    pause_seconds: float,
) -> None:
    """Regression: the node read on, and kept all that it read."""
    server = EndlessServer(
        CHUNKED % b"503 Service Unavailable", block, pause_seconds=pause_seconds
    )
    await start(server)
    seconds = http_client.ERROR_BODY_TIMEOUT.total_seconds()
    async with bounds(server, seconds):
        with pytest.raises(errors.EngineRefusedError):
            await first_chunk(server.url)


async def test_endless_event_breaks_a_stream(
    start: Callable[[EndlessServer], "asyncio.Future[None]"],
) -> None:
    server = EndlessServer(CHUNKED % b"200 OK" + chunk(b"data: "), chunk(BLOCK))
    await start(server)
    async with bounds(server, TIMEOUT.total_seconds()):
        with pytest.raises(errors.StreamBrokenError, match="larger than"):
            await first_chunk(server.url)


async def test_many_endless_responses_at_once(
    start: Callable[[EndlessServer], "asyncio.Future[None]"],
) -> None:
    """All engines of a node flood; each response has its own bound."""
    count = 20
    server = EndlessServer(CHUNKED % b"200 OK", chunk(BLOCK))
    await start(server)
    client = http_client.HttpClient(server.url)
    request = http_client.Request(method="GET", path="/x", new_connection=True)
    tracemalloc.start()
    try:
        results = await asyncio.gather(
            *(client.exchange(request, timeout=TIMEOUT) for _ in range(count)),
            return_exceptions=True,
        )
        _, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    for result in results:
        assert isinstance(result, platform_errors.IncompleteResponseError)
    assert peak < count * MAX_GROWTH_BYTES
