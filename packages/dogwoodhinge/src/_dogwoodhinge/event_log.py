"""Writes structured log lines to standard output without blocking the node.

Lines are queued in a bounded buffer while the reader of standard output is
slow. When the buffer is full, further lines are dropped and counted, and the
count is logged once there is space. The lines of one event are rate limited
per second, so that a flood of one event does not displace the others.
"""

import asyncio
import collections
from collections.abc import Callable
import os
from typing import Protocol, final

import orjson

from dogwoodhinge import ports

MAX_BUFFERED_BYTES = 512 * 1024  # a few seconds of lines at full load

# Per event. Each request logs one line, and a node serves about ten requests
# per second, at most a few hundred.
MAX_LINES_PER_SECOND = 400


# Has the signature of `Events.write`.
EventReporter = Callable[[str, dict[str, object]], None]


class Events(Protocol):
    """A sink for structured events."""

    def write(self, event: str, fields: dict[str, object]) -> None:
        """Logs one event.

        Args:
            event: name of the event, in snake case.
            fields: inputs, their age or version, and the outcome.
        """


@final
class EventLog:
    """Writes events as JSON lines to a file descriptor.

    Attributes:
        dropped: number of lines that were not written.
    """

    def __init__(self, *, node: str, clock: ports.Clock, fd: int = 1) -> None:
        self.node = node
        self.clock = clock
        self.fd = fd
        self.buffer: collections.deque[bytes] = collections.deque()
        self.buffered_bytes = 0
        self.dropped = 0
        self.unreported_drops = 0
        self.current_second = 0
        self.lines_this_second: collections.Counter[str] = collections.Counter()
        self.awaits_writable = False

    def open(self) -> None:
        """Sets the file descriptor to non-blocking mode."""
        os.set_blocking(self.fd, False)

    def write(self, event: str, fields: dict[str, object]) -> None:
        """Logs one event."""
        if not self._within_rate(event):
            self._drop()
            return
        line = self._format(event, fields)
        if self.buffered_bytes + len(line) > MAX_BUFFERED_BYTES:
            self._drop()
            return
        if self.unreported_drops:
            count, self.unreported_drops = self.unreported_drops, 0
            self._append(self._format("lines_dropped", {"count": count}))
        self._append(line)
        if not self.awaits_writable:
            self.flush()

    def flush(self) -> None:
        """Writes until the descriptor would block; the rest stays buffered."""
        while self.buffer:
            try:
                written = os.write(self.fd, self.buffer[0])
            except BlockingIOError:
                self._wait_until_writable()
                return
            except OSError:
                # The reader has closed the pipe; the error can't be logged.
                self._drop_all()
                return
            self.buffered_bytes -= written
            if written < len(self.buffer[0]):
                self.buffer[0] = self.buffer[0][written:]
                self._wait_until_writable()
                return
            self.buffer.popleft()

    def _wait_until_writable(self) -> None:
        try:
            loop = asyncio.get_running_loop()
            if not self.awaits_writable:
                loop.add_writer(self.fd, self._on_writable)
                self.awaits_writable = True
        except (RuntimeError, OSError, NotImplementedError):
            # The event loop can't watch this descriptor (or there is no loop);
            # the next line retries the write.
            self.awaits_writable = False

    def _on_writable(self) -> None:
        asyncio.get_running_loop().remove_writer(self.fd)
        self.awaits_writable = False
        self.flush()

    def _within_rate(self, event: str) -> bool:
        second = int(self.clock.monotonic())
        if second != self.current_second:
            self.current_second = second
            self.lines_this_second.clear()
        self.lines_this_second[event] += 1
        return self.lines_this_second[event] <= MAX_LINES_PER_SECOND

    def _format(self, event: str, fields: dict[str, object]) -> bytes:
        members = {
            "time": self.clock.now(),
            "node": self.node,
            "event": event,
            **fields,
        }
        return orjson.dumps(
            members, option=orjson.OPT_APPEND_NEWLINE, default=str
        )

    def _append(self, line: bytes) -> None:
        self.buffer.append(line)
        self.buffered_bytes += len(line)

    def _drop(self) -> None:
        self.dropped += 1
        self.unreported_drops += 1

    def _drop_all(self) -> None:
        self.dropped += len(self.buffer)
        self.unreported_drops += len(self.buffer)
        self.buffer.clear()
        self.buffered_bytes = 0
