"""Finds the events in a stream of server-sent events."""

from collections.abc import Iterator
import dataclasses
import re
from typing import final

# A response fails if one of its events is longer.
MAX_EVENT_BYTES = 1024 * 1024

# The unfinished events of all streams together. Above it, those fail that are
# longer than SHORT_EVENT_BYTES: a sound engine's events are much shorter.
MAX_UNFINISHED_BYTES = 24 * 1024 * 1024
SHORT_EVENT_BYTES = 32 * 1024

# An empty line begins where one line end follows another; CRLF is a single one.
EMPTY_LINE_STARTS = (b"\n\n", b"\n\r", b"\r\r")
MAX_EMPTY_LINE_BYTES = 3
EMPTY_LINE = re.compile(rb"\n\n|\n\r\n?|\r\r\n?")

# The beginning of a line that is not a comment.
FIELD = re.compile(rb"(?:\A|[\r\n])[^:\r\n]")
COMMENT = b":"


@final
@dataclasses.dataclass(frozen=True, slots=True)
class StreamEvent:
    """One complete event, or comments, up to an empty line.

    Attributes:
        data: the bytes as received, with the empty line at the end.
        event_id: the event's id; None if it has none.
    """

    data: bytes
    event_id: str | None


class EventTooLongError(ValueError):
    """An event exceeds its limit, or the share that it has of the memory."""


@final
class UnfinishedEvents:
    """The memory that unfinished events take, over all streams.

    Load pattern: faulty engines that send events without end on hundreds of
    streams at once.

    Attributes:
        total_bytes: size of all unfinished events.
    """

    def __init__(self) -> None:
        self.total_bytes = 0

    def resize(self, before: int, now: int) -> None:
        """Records the size of one stream's unfinished event.

        Args:
            before: its size when it was recorded last, in bytes.
            now: its size now, in bytes; 0 once the stream has ended.

        Raises:
            EventTooLongError: the stream must end; its size is recorded.
        """
        self.total_bytes += now - before
        if now > MAX_EVENT_BYTES:
            raise EventTooLongError(f"an event exceeds {MAX_EVENT_BYTES} bytes")
        if now > SHORT_EVENT_BYTES and self.total_bytes > MAX_UNFINISHED_BYTES:
            raise EventTooLongError(
                f"an event exceeds {SHORT_EVENT_BYTES} bytes while all"
                f" unfinished ones exceed {MAX_UNFINISHED_BYTES} bytes"
            )


@final
class EventTracker:
    """Tells where in an event a stream ends, whatever its line ends are.

    Lines may end with LF, CRLF or CR. The state does not grow with the length
    of an event.

    Attributes:
        has_event: whether an event has ended; comments do not count.
    """

    def __init__(self) -> None:
        self.has_event = False
        # What was received since the last empty line, shortened to one line
        # that stands for all and the last byte.
        self._rest = b""
        self._last_byte = b""
        self._uses_crlf = False

    def feed(self, data: bytes) -> None:
        """Follows the next part of the stream."""
        self._follow_line_ends(data)
        rest = self._rest + data
        last = max(rest.rfind(start) for start in EMPTY_LINE_STARTS)
        empty_line = EMPTY_LINE.match(rest, last) if last >= 0 else None
        if empty_line is not None:
            end = empty_line.end()
            if not self.has_event:
                self.has_event = FIELD.search(rest, 0, end) is not None
            rest = rest[end:]
        if FIELD.search(rest):
            rest = b"data" + rest[-1:]
        elif COMMENT in rest:
            rest = COMMENT + rest[-1:]
        else:
            rest = rest[-1:]
        self._rest = rest

    def _follow_line_ends(self, data: bytes) -> None:
        """Records whether the last line end before a final CR is a CRLF."""
        recent = self._last_byte + data
        last = max(recent.rfind(b"\n"), recent.rfind(b"\r", 0, -1))
        if last > 0:
            self._uses_crlf = recent[last - 1 : last + 1] == b"\r\n"
        elif last == 0 and recent.startswith(b"\r"):
            self._uses_crlf = False
        self._last_byte = recent[-1:]

    @property
    def unfinished(self) -> bool:
        """True inside an event, a line or the end of a line."""
        if self._uses_crlf and self._last_byte == b"\r":
            return True
        if FIELD.search(self._rest):
            return True
        return bool(self._rest) and not self._rest.endswith((b"\r", b"\n"))


@final
class EventSplitter:
    """Buffers received bytes until an event is complete.

    Attributes:
        buffer: bytes received since the last empty line.
    """

    def __init__(self) -> None:
        self.buffer = bytearray()

    def feed(self, data: bytes) -> Iterator[StreamEvent]:
        """Yields what `data` completes, up to each empty line."""
        # An empty line may be split between two parts.
        search_from = max(0, len(self.buffer) - MAX_EMPTY_LINE_BYTES + 1)
        self.buffer += data
        start = 0
        while True:
            empty_line = EMPTY_LINE.search(self.buffer, search_from)
            if empty_line is None:
                break
            event = bytes(self.buffer[start : empty_line.end()])
            start = search_from = empty_line.end()
            yield StreamEvent(event, _event_id(event))
        del self.buffer[:start]


def _event_id(event: bytes) -> str | None:
    for line in event.splitlines():
        if line.startswith(b"id:"):
            return line[3:].strip().decode("latin-1")
    return None
