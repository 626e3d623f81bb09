"""Splits a stream of server-sent events into events."""

from collections.abc import Iterator
import dataclasses
from typing import final

END_OF_EVENT = b"\n\n"

# A response fails if one of its events is longer.
MAX_EVENT_BYTES = 1024 * 1024


@final
@dataclasses.dataclass(frozen=True, slots=True)
class StreamEvent:
    """One complete event.

    Attributes:
        data: the bytes as received, with the empty line at the end.
        event_id: the event's id; None if it has none.
    """

    data: bytes
    event_id: str | None


@final
class EventSplitter:
    """Buffers received bytes until an event is complete.

    Attributes:
        buffer: bytes of an event that is not complete.
    """

    def __init__(self) -> None:
        self.buffer = bytearray()

    def feed(self, data: bytes) -> Iterator[StreamEvent]:
        """Yields the events that `data` completes."""
        # The end of an event may be split between two parts.
        search_from = max(0, len(self.buffer) - len(END_OF_EVENT) + 1)
        self.buffer += data
        start = 0
        while True:
            end = self.buffer.find(END_OF_EVENT, search_from)
            if end < 0:
                break
            end += len(END_OF_EVENT)
            event = bytes(self.buffer[start:end])
            start = search_from = end
            yield StreamEvent(event, _event_id(event))
        del self.buffer[:start]


def _event_id(event: bytes) -> str | None:
    for line in event.split(b"\n"):
        if line.startswith(b"id:"):
            return line[3:].strip().decode("latin-1")
    return None
