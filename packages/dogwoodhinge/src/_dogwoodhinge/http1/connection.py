"""One HTTP/1.1 connection: a socket, its parser and back pressure.

General HTTP clients send some requests again by themselves and rewrite paths
and headers. Here h11 only parses and frames; what is sent, and how often, is
decided by the caller.
"""

import asyncio
import contextlib
import socket
from typing import TypeAlias, cast, final

import h11

from _dogwoodhinge.http1 import errors

# Reading stops above this many unparsed bytes, so that a peer that sends
# faster than its data is passed on fills its own buffers, not this node's.
MAX_UNPARSED_BYTES = 128 * 1024

# A peer that acknowledges nothing for so long is gone; the kernel's own limit
# is about a quarter of an hour.
UNACKNOWLEDGED_TIMEOUT_MS = 4_000

MessageEvent: TypeAlias = (
    h11.Request
    | h11.InformationalResponse
    | h11.Response
    | h11.Data
    | h11.EndOfMessage
    | h11.ConnectionClosed
)


@final
class Connection(asyncio.Protocol):
    """A client's or a server's end of a connection.

    Attributes:
        lost: set once the peer has closed or reset the connection, or it was
            aborted here.
        reset: the connection ended by a reset rather than by a close.
        idle_since: loop time of the last use, for pools.
    """

    def __init__(
        self,
        *,
        role: type[h11.CLIENT] | type[h11.SERVER],
        max_head_bytes: int,
    ) -> None:
        self.role = role
        self.max_head_bytes = max_head_bytes
        self.parser = self._new_parser()
        self.transport: asyncio.Transport | None = None
        self.lost = asyncio.Event()
        self.reset = False
        self.eof = False
        self.idle_since = 0.0
        self.unparsed = 0
        self._eof_fed = False
        self._ended = asyncio.Event()
        self._readable = asyncio.Event()
        self._writable = asyncio.Event()
        self._writable.set()
        self._reading_paused = False
        self._on_lost: asyncio.Task[None] | None = None

    def _new_parser(self) -> h11.Connection:
        return h11.Connection(
            self.role, max_incomplete_event_size=self.max_head_bytes
        )

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport and bounds silence of the peer."""
        self.transport = cast(asyncio.Transport, transport)
        raw = transport.get_extra_info("socket")
        if raw is not None:
            # Not every kernel and test transport knows the option.
            with contextlib.suppress(OSError):
                raw.setsockopt(
                    socket.IPPROTO_TCP,
                    socket.TCP_USER_TIMEOUT,
                    UNACKNOWLEDGED_TIMEOUT_MS,
                )

    def data_received(self, data: bytes) -> None:
        """Hands bytes to the parser."""
        self.parser.receive_data(data)
        self.unparsed += len(data)
        if self.unparsed > MAX_UNPARSED_BYTES and not self._reading_paused:
            self._pause_reading()
        self._readable.set()

    def eof_received(self) -> bool:
        """Notes that the peer will send no more."""
        self.eof = True
        self._mark_lost()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Notes the end of the connection."""
        self.reset = self.reset or (exc is not None and not self.eof)
        self._ended.set()
        self._mark_lost()

    def pause_writing(self) -> None:
        """Makes `drain` wait."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Lets `drain` go on."""
        self._writable.set()

    # Use by one task

    async def next_event(self) -> MessageEvent:
        """Returns the next event of the message that is being read.

        Raises:
            ConnectionLostError: the connection ended before the message did.
            ProtocolError: what arrived is no HTTP.
        """
        while True:
            event = self._parse()
            if event is not h11.NEED_DATA and event is not h11.PAUSED:
                return cast(MessageEvent, event)
            if self.eof and not self.reset and not self._eof_fed:
                self._eof_fed = True
                self._feed_eof()
                continue
            if self.lost.is_set():
                raise errors.ConnectionLostError(
                    "the peer reset the connection"
                    if self.reset
                    else "the peer closed the connection"
                )
            self._readable.clear()
            self._resume_reading()
            await self._readable.wait()

    async def wait_readable(self) -> None:
        """Waits until bytes arrive or the connection ends."""
        await self._readable.wait()

    def send(self, *events: h11.Event) -> None:
        """Queues events for sending; `drain` waits until there is room.

        Raises:
            ConnectionLostError: the connection has ended.
        """
        if self.transport is None or self.transport.is_closing():
            raise errors.ConnectionLostError("the connection has ended")
        try:
            parts = [self.parser.send(event) or b"" for event in events]
        except h11.LocalProtocolError as error:
            raise errors.ProtocolError(str(error)) from error
        self.transport.write(b"".join(parts))

    async def drain(self) -> None:
        """Waits until the peer has taken enough of what was sent."""
        await self._writable.wait()
        if self.transport is None or self.transport.is_closing():
            raise errors.ConnectionLostError("the connection has ended")

    async def wait_until_sent(self) -> None:
        """Waits until a closed connection has sent what was queued."""
        if not self.all_sent:
            await self._ended.wait()

    def start_next_message(self) -> bool:
        """Makes ready for another request; False when there can be none."""
        if self.lost.is_set() or self.parser.our_state is not h11.DONE:
            return False
        if self.parser.their_state is not h11.DONE:
            return False
        self.parser.start_next_cycle()
        self.unparsed = 0
        return True

    def expect_next_answer(self, request: h11.Request) -> bool:
        """Reads on behind an answer that belongs to another request.

        An answer that arrives late stands where the next one is expected.
        Once it has been read whole, the answer to `request` may follow.

        Returns:
            False when nothing can follow.
        """
        if self.parser.their_state is not h11.DONE or self.lost.is_set():
            return False
        rest, closed = self.parser.trailing_data
        if closed:
            return False
        self.parser = self._new_parser()
        # Only the method matters for reading; the body was sent long ago.
        again = h11.Request(
            method=request.method, target=b"/", headers=[(b"Host", b"")]
        )
        self.parser.send(again)
        self.parser.send(h11.EndOfMessage())
        self.unparsed = len(rest)
        if rest:
            self.parser.receive_data(rest)
        return True

    @property
    def unread_bytes(self) -> bool:
        """Tells whether bytes wait that no message has asked for."""
        return bool(self.parser.trailing_data[0])

    @property
    def received_while_idle(self) -> bool:
        """Tells whether bytes came though no request was under way."""
        return self.unparsed > 0

    @property
    def all_sent(self) -> bool:
        """Tells whether the kernel has taken everything that was sent."""
        return (
            self.transport is None
            or self.transport.get_write_buffer_size() == 0
        )

    def close(self) -> None:
        """Closes once everything queued has been sent."""
        if self.transport is not None:
            self.transport.close()
        self._mark_lost()

    def abort(self) -> None:
        """Drops the connection at once; the peer sees a broken message."""
        if self.transport is not None:
            self.transport.abort()
        self._mark_lost()

    def cancel_when_lost(self, task: asyncio.Task[None] | None) -> None:
        """Cancels `task` when the peer leaves; None ends that."""
        self._on_lost = task
        if task is not None and self.lost.is_set():
            task.cancel()
        # A request is read whole before it is served, so whatever arrives now
        # is the peer's close; without reading it would not be seen.
        self._resume_reading()

    def _parse(self) -> object:
        try:
            event = self.parser.next_event()
        except h11.RemoteProtocolError as error:
            if self.lost.is_set():
                raise errors.ConnectionLostError(
                    "the connection ended inside a message"
                ) from error
            raise errors.ProtocolError(
                str(error), status=error.error_status_hint
            ) from error
        if isinstance(event, h11.Data):
            self.unparsed = max(0, self.unparsed - len(event.data))
        elif isinstance(event, h11.EndOfMessage) or event is h11.NEED_DATA:
            self.unparsed = 0
        return event

    def _feed_eof(self) -> None:
        with contextlib.suppress(h11.RemoteProtocolError):
            self.parser.receive_data(b"")

    def _mark_lost(self) -> None:
        self.lost.set()
        self._readable.set()
        self._writable.set()
        if self._on_lost is not None:
            self._on_lost.cancel()
            self._on_lost = None

    def _pause_reading(self) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.pause_reading()
            self._reading_paused = True

    def _resume_reading(self) -> None:
        if self._reading_paused and self.transport is not None:
            self._reading_paused = False
            if not self.transport.is_closing():
                self.transport.resume_reading()
