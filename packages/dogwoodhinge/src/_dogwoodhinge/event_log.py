"""Structured log lines on standard output that never block the node.

Lines wait in a bounded buffer while the reader of standard output is slow.
When it is full, further lines are dropped and counted, and the count is
written once there is room. Repeated lines of one kind are bounded for each
second, so that a flood can't hide what else happens.
"""

import asyncio
import collections
from collections.abc import Callable
import os
from typing import Protocol, final

import orjson

from dogwoodhinge import ports

MAX_BUFFERED_BYTES = 512 * 1024  # some seconds of lines at full load

# Lines of one kind a second; a request has one line, and a node of today
# serves some ten requests a second, at most some hundreds.
MAX_LINES_PER_SECOND = 400


# Takes an event and its fields, as `Events.write` does.
Report = Callable[[str, dict[str, object]], None]


class Events(Protocol):
    """Takes what happened."""

    def write(self, event: str, fields: dict[str, object]) -> None:
        """Logs one event.

        Args:
            event: what happened, in snake case.
            fields: its inputs, their age or version, and the outcome.
        """


@final
class EventLog:
    """Writes events as JSON lines to a file descriptor.

    Attributes:
        dropped: lines that were not written.
    """

    def __init__(self, *, node: str, clock: ports.Clock, fd: int = 1) -> None:
        self.node = node
        self.clock = clock
        self.fd = fd
        self.buffer: collections.deque[bytes] = collections.deque()
        self.buffered = 0
        self.dropped = 0
        self.unreported = 0
        self.second = 0
        self.counts: collections.Counter[str] = collections.Counter()
        self.waiting = False

    def open(self) -> None:
        """Makes writes to the descriptor return at once."""
        os.set_blocking(self.fd, False)

    def write(self, event: str, fields: dict[str, object]) -> None:
        """Logs one event."""
        if not self._within_rate(event):
            self._drop()
            return
        line = self._format(event, fields)
        if self.buffered + len(line) > MAX_BUFFERED_BYTES:
            self._drop()
            return
        if self.unreported:
            count, self.unreported = self.unreported, 0
            self._append(self._format("lines_dropped", {"count": count}))
        self._append(line)
        if not self.waiting:
            self.flush()

    def flush(self) -> None:
        """Writes what the descriptor takes; the rest waits for it."""
        while self.buffer:
            try:
                written = os.write(self.fd, self.buffer[0])
            except BlockingIOError:
                self._wait()
                return
            except OSError:
                # Nobody reads any more; there is nowhere to tell it.
                self._drop_all()
                return
            self.buffered -= written
            if written < len(self.buffer[0]):
                self.buffer[0] = self.buffer[0][written:]
                self._wait()
                return
            self.buffer.popleft()

    def _wait(self) -> None:
        try:
            loop = asyncio.get_running_loop()
            if not self.waiting:
                loop.add_writer(self.fd, self._resume)
                self.waiting = True
        except (RuntimeError, OSError, NotImplementedError):
            # Descriptors that can't be waited for are tried again with the
            # next line.
            self.waiting = False

    def _resume(self) -> None:
        asyncio.get_running_loop().remove_writer(self.fd)
        self.waiting = False
        self.flush()

    def _within_rate(self, event: str) -> bool:
        second = int(self.clock.monotonic())
        if second != self.second:
            self.second = second
            self.counts.clear()
        self.counts[event] += 1
        return self.counts[event] <= MAX_LINES_PER_SECOND

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
        self.buffered += len(line)

    def _drop(self) -> None:
        self.dropped += 1
        self.unreported += 1

    def _drop_all(self) -> None:
        self.dropped += len(self.buffer)
        self.unreported += len(self.buffer)
        self.buffer.clear()
        self.buffered = 0
