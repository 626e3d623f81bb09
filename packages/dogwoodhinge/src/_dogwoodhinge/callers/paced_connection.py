"""Reads a caller's connection no faster than its requests are served.

Load pattern: hundreds of callers that send many requests with many headers
ahead. aiohttp parses up to 32 of them on each connection, and reads 256 KB at
once; parsed, a short header takes some thirty times its size.
"""

import asyncio
from collections.abc import Callable, Iterator
import contextlib
import datetime
import select
from typing import Any, cast, final

from aiohttp import web

# Read at once while a request may begin, and while a body is read.
HEAD_BYTES = 2 * 1024
BODY_BYTES = 64 * 1024

# A request that was passed on begins within so many turns of the event loop,
# however long they take. Nothing more is read until then.
START_TURNS = 5

# Well under the time within which the work for a caller that has left ends.
WATCH_INTERVAL = datetime.timedelta(milliseconds=100)

# The peer has closed its side; Linux reports it also while data is unread.
PEER_CLOSED = getattr(select, "POLLRDHUP", 0)

# What is read is copied before another connection is read.
_read_buffer = memoryview(bytearray(BODY_BYTES))

_connections: dict[web.RequestHandler, "PacedConnection"] = {}


@final
class PacedTransport(asyncio.Transport):
    """A transport on which both sides may stop the reading."""

    def __init__(self, transport: asyncio.Transport) -> None:
        super().__init__()
        self.transport = transport
        self.paused_by_parser = False
        self.paused_by_pace = False

    def pause_reading(self) -> None:
        """Stops reading, on behalf of the parser."""
        self.paused_by_parser = True
        self.apply()

    def resume_reading(self) -> None:
        """Reads on, on behalf of the parser."""
        self.paused_by_parser = False
        self.apply()

    def apply(self) -> None:
        """Reads unless one of the sides has stopped it."""
        if self.transport.is_closing():
            return
        if self.paused_by_parser or self.paused_by_pace:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    def is_reading(self) -> bool:
        """Returns whether data is read."""
        return self.transport.is_reading()

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Returns what the transport knows of its socket."""
        return self.transport.get_extra_info(name, default)

    def is_closing(self) -> bool:
        """Returns whether the transport is being closed."""
        return self.transport.is_closing()

    def close(self) -> None:
        """Closes it once all data has been sent."""
        self.transport.close()

    def abort(self) -> None:
        """Closes it at once."""
        self.transport.abort()

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Queues data."""
        self.transport.write(data)

    def get_write_buffer_size(self) -> int:
        """Returns the bytes that are queued."""
        return self.transport.get_write_buffer_size()


@final
class PacedConnection(asyncio.BufferedProtocol):
    """Passes what a caller sends to aiohttp.

    Attributes:
        handler: serves the connection.
        ahead: what has been read beyond the request in progress.
    """

    def __init__(self, handler: web.RequestHandler) -> None:
        self.handler = handler
        self.transport: PacedTransport | None = None
        self.ahead = b""
        self._running = False
        self._turns_left = 0
        self._body: Callable[[], int] | None = None
        self._watch: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Connects the handler."""
        _connections[self.handler] = self
        self.transport = PacedTransport(cast(asyncio.Transport, transport))
        self.handler.connection_made(self.transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Disconnects the handler."""
        _connections.pop(self.handler, None)
        if self._watch is not None:
            self._watch.cancel()
        self.handler.connection_lost(exc)

    def pause_writing(self) -> None:
        """Tells the handler that the buffer is full."""
        self.handler.pause_writing()

    def resume_writing(self) -> None:
        """Tells the handler that the buffer has room."""
        self.handler.resume_writing()

    def eof_received(self) -> bool | None:
        """Tells the handler that nothing more comes."""
        self.handler.eof_received()
        return None

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns the buffer to read into: not far beyond a body."""
        size = HEAD_BYTES
        if self._body is not None:
            size = min(BODY_BYTES, max(HEAD_BYTES, self._body()))
        return _read_buffer[:size]

    def buffer_updated(self, nbytes: int) -> None:
        """Passes what has been read on, unless a request is in progress."""
        data = bytes(_read_buffer[:nbytes])
        if self._running and self._body is None:
            self.ahead += data
            self._pause()
            self._watch_end()
        else:
            self._feed(data)

    @contextlib.contextmanager
    def request(self) -> Iterator[None]:
        """Reads little more than its body while a request is served."""
        self._running = True
        if not self.ahead:
            # A close by the caller is seen by reading.
            self._resume()
        try:
            yield
        finally:
            self._running = False
            self._go_on_soon()

    @contextlib.contextmanager
    def body(self, left: Callable[[], int]) -> Iterator[None]:
        """Reads as fast as the handler does while a body is read.

        Args:
            left: returns the bytes of it that have not come; 0 if unknown.
        """
        self._body = left
        self._go_on()
        try:
            yield
        finally:
            self._body = None

    def _feed(self, data: bytes) -> None:
        self.handler.data_received(data)
        if self._body is None:
            self._pause()
            self._go_on_soon()

    def _go_on_soon(self) -> None:
        """Goes on unless a request that was passed on begins meanwhile."""
        if not self._turns_left:
            asyncio.get_running_loop().call_soon(self._count_turn)
        self._turns_left = START_TURNS

    def _count_turn(self) -> None:
        self._turns_left -= 1
        if self._turns_left:
            asyncio.get_running_loop().call_soon(self._count_turn)
        else:
            self._go_on()

    def _go_on(self) -> None:
        """Passes on what was read ahead, or reads on."""
        if self._running and self._body is None:
            return
        if self.ahead:
            ahead, self.ahead = self.ahead, b""
            self._feed(ahead)
        else:
            self._resume()

    def _watch_end(self) -> None:
        """Polls for the end of a connection that is not read."""
        if self._watch is None:
            self._watch = asyncio.get_running_loop().call_later(
                WATCH_INTERVAL.total_seconds(), self._check_end
            )

    def _check_end(self) -> None:
        self._watch = None
        if self.transport is None or not self._running or not self.ahead:
            return
        raw = self.transport.get_extra_info("socket")
        if raw is None or raw.fileno() < 0:
            return
        poll = select.poll()
        poll.register(raw.fileno(), PEER_CLOSED)
        if poll.poll(0):
            self.transport.abort()
        else:
            self._watch_end()

    def _pause(self) -> None:
        if self.transport is not None:
            self.transport.paused_by_pace = True
            self.transport.apply()

    def _resume(self) -> None:
        if self.transport is not None:
            self.transport.paused_by_pace = False
            self.transport.apply()


def of_request(request: web.Request) -> PacedConnection | None:
    """Returns the connection of a request; None if it is served otherwise."""
    return _connections.get(request.protocol)
