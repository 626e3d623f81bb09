"""Parses an engine's event stream and checks each chunk's request id."""

from collections.abc import AsyncIterator, Iterator
import json
from typing import Any, Protocol, final

from _dogwoodhinge import event_stream
from dogwoodhinge import errors
from dogwoodhinge import models

MAX_EVENT_BYTES = 1_000_000
END_MARKER = b"[DONE]"
DATA_FIELD = b"data:"

# Prefixes that engines add to the request id that they were given.
ID_PREFIXES = ("", "cmpl-", "chatcmpl-")


class ByteReader(Protocol):
    """The body of an HTTP response."""

    async def readany(self) -> bytes:
        """Returns the bytes received so far; empty at the end."""


@final
class TokenStreamReader:
    """Reader of the event stream of one request.

    Attributes:
        request_id: id of the request; chunks with another id are errors.
        offset: tokens received so far.
        accepted: the engine has accepted the request.
    """

    def __init__(self, request_id: str, offset: int) -> None:
        self.request_id = request_id
        self.offset = offset
        self.accepted = False
        self.ids = frozenset(prefix + request_id for prefix in ID_PREFIXES)

    async def read(self, body: ByteReader) -> AsyncIterator[models.StreamChunk]:
        """Yields the chunks, the last of which is the end marker.

        Raises:
            StreamBrokenError: the body ends early, skips or repeats tokens,
                or reports an error.
            ForeignChunkError: a chunk belongs to another request.
        """
        splitter = event_stream.EventSplitter()
        while True:
            data = await body.readany()
            if not data:
                raise self._stream_error(
                    "the stream ended without its end marker"
                )
            events = [event.data for event in splitter.feed(data)]
            if len(splitter.buffer) > MAX_EVENT_BYTES:
                raise self._stream_error(
                    f"an event is larger than {MAX_EVENT_BYTES} bytes"
                )
            for event in _event_data(events):
                if event == END_MARKER:
                    yield models.StreamChunk(
                        self.request_id, self.offset, b"", end=True
                    )
                    return
                yield self._chunk(event)

    def _chunk(self, event: bytes) -> models.StreamChunk:
        try:
            members: dict[str, Any] = json.loads(event)
        except ValueError as error:
            raise self._stream_error("an event is not JSON") from error
        if "error" in members:
            raise self._stream_error(f"the engine reports {members['error']!r}")
        if members.get("id") not in self.ids:
            raise errors.ForeignChunkError(
                f"a chunk of {members.get('id')!r} arrived on the stream of "
                f"{self.request_id!r}; drop the connection and resume"
            )
        expected = self.offset + members.get("tokens", 1)
        if members.get("offset", expected) != expected:
            raise self._stream_error(
                f"token offset {members['offset']} follows {self.offset}"
            )
        self.offset = expected
        return models.StreamChunk(self.request_id, expected, event)

    def _stream_error(self, problem: str) -> errors.StreamBrokenError:
        return errors.StreamBrokenError(
            f"{problem} after {self.offset} tokens of {self.request_id!r}",
            offset=self.offset,
        )


def _event_data(events: list[bytes]) -> Iterator[bytes]:
    """Yields the data of each event; skips comments and other fields."""
    for event in events:
        lines = [
            line[len(DATA_FIELD) :].strip()
            for line in event.splitlines()
            if line.startswith(DATA_FIELD)
        ]
        if lines:
            yield b"\n".join(lines)
