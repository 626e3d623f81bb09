"""Splits an event stream into whole events."""

from collections.abc import Iterator
import dataclasses
from typing import final

END_OF_EVENT = b"\n\n"

MAX_EVENT_BYTES = 1024 * 1024


@final
@dataclasses.dataclass(frozen=True, slots=True)
class StreamEvent:
    """One whole event.

    Attributes:
        data: its bytes as they came, with the empty line at the end.
        event_id: None when it has none.
    """

    data: bytes
    event_id: str | None


@final
class EventSplitter:
    """Keeps the begin of an event until its end has arrived.

    Attributes:
        rest: bytes of an event that has not ended.
    """

    def __init__(self) -> None:
        self.rest = b""

    def feed(self, data: bytes) -> Iterator[StreamEvent]:
        """Yields the events that `data` completes."""
        self.rest += data
        while True:
            end = self.rest.find(END_OF_EVENT)
            if end < 0:
                return
            whole = self.rest[: end + len(END_OF_EVENT)]
            self.rest = self.rest[end + len(END_OF_EVENT) :]
            yield StreamEvent(whole, _event_id(whole))


def _event_id(event: bytes) -> str | None:
    for line in event.split(b"\n"):
        if line.startswith(b"id:"):
            return line[3:].strip().decode("latin-1")
    return None
