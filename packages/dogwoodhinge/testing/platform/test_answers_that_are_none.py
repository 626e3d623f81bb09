"""Tests of answers that break off beside an upload, or have no valid status.

The server is a raw connection; the client is the one of the product's own path.
"""

import asyncio
import datetime
import itertools
import socket
import struct

import pytest

from _dogwoodhinge.platform import errors
from _dogwoodhinge.platform import http_client

TIMEOUT = datetime.timedelta(seconds=5)

# Exceeds the socket buffers of the kernel if the server does not read it.
UPLOAD = b"u" * (8 * 1024 * 1024)

FRAMINGS = {
    "length": b"Content-Length: 1000\r\n",
    "chunks": b"Transfer-Encoding: chunked\r\n",
    "none": b"",
}
PART = {"length": b"part", "chunks": b"4\r\npart\r\n", "none": b"part"}
WHOLE = {
    "length": b"Content-Length: 4\r\n\r\npart",
    "chunks": b"Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n\r\n",
    "none": b"\r\npart",
}


class Server:
    """A server that answers before or after it has read the upload."""

    def __init__(
        self, answer: bytes, *, end: str, reads: bool, stops: bool = False
    ) -> None:
        self.answer = answer
        self.end = end
        self.reads = reads
        self.stops = stops
        self.connections = 0
        self.server: asyncio.Server | None = None

    async def exchange(self, upload: bytes) -> http_client.Response:
        """Sends a request and returns the response."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        client = http_client.HttpClient(f"http://127.0.0.1:{port}")
        request = http_client.Request(
            method="POST", path="/x", body=upload, new_connection=True
        )
        try:
            return await client.exchange(request, timeout=TIMEOUT)
        finally:
            await client.close()
            self.server.close()
            async with asyncio.timeout(TIMEOUT.total_seconds()):
                while self.connections:
                    await asyncio.sleep(0.01)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one connection."""
        self.connections += 1
        try:
            await self._answer(reader, writer)
            writer.close()
            await writer.wait_closed()
        except (ConnectionError, asyncio.IncompleteReadError):
            writer.close()
        finally:
            self.connections -= 1

    async def _answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = await reader.read(65_536)
        if not head:
            return
        if self.reads and UPLOAD[:1] in head.partition(b"\r\n\r\n")[2]:
            rest = len(UPLOAD) - len(head.partition(b"\r\n\r\n")[2])
            await reader.readexactly(rest)
        writer.write(self.answer)
        await asyncio.sleep(0.05)
        if self.stops and self.server is not None:
            self.server.close()
        if self.end == "close_then_reset":
            writer.write_eof()
            await asyncio.sleep(0)
        if self.end != "close":
            writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
            writer.transport.abort()


@pytest.mark.parametrize(
    ("framing", "end", "reads"),
    [
        cell
        for cell in itertools.product(
            FRAMINGS, ("reset", "close", "close_then_reset"), (True, False)
        )
        # All that is sent before the close is the whole answer.
        if cell != ("none", "close", True)
    ],
)
async def test_answer_that_breaks_off_beside_an_upload_is_not_complete(
    framing: str, end: str, reads: bool
) -> None:
    head = b"HTTP/1.1 200 OK\r\n" + FRAMINGS[framing] + b"\r\n"
    server = Server(head + PART[framing], end=end, reads=reads)
    with pytest.raises(errors.IncompleteResponseError):
        await server.exchange(UPLOAD)


async def test_answer_that_ends_with_its_server_is_not_complete() -> None:
    server = Server(
        b"HTTP/1.1 200 OK\r\n" + WHOLE["none"],
        end="close",
        reads=True,
        stops=True,
    )
    with pytest.raises(errors.IncompleteResponseError):
        await server.exchange(UPLOAD)


@pytest.mark.parametrize("framing", WHOLE)
async def test_whole_answer_to_an_upload_is_complete(framing: str) -> None:
    server = Server(
        b"HTTP/1.1 200 OK\r\n" + WHOLE[framing], end="close", reads=True
    )
    response = await server.exchange(UPLOAD)
    assert (response.status, response.body) == (200, b"part")


@pytest.mark.parametrize(
    "status",
    [
        b"000 None",
        b"099 Low",
        b"600 High",
        b"999 High",
        b"+20 Plus",
        b"-20 Minus",
        b"-200 OK",
        b"2x0 OK",
        b"abc",
        b"20 OK",
        b"2000 OK",
        b"0200 OK",
        b"",
    ],
    ids=repr,
)
async def test_answer_without_a_valid_status_is_none(status: bytes) -> None:
    server = Server(
        b"HTTP/1.1 " + status + b"\r\n" + WHOLE["length"],
        end="close",
        reads=False,
    )
    with pytest.raises(errors.IncompleteResponseError):
        await server.exchange(b"")
