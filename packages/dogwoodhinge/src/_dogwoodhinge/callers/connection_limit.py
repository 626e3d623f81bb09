"""Limits the connections of callers, so that descriptors never run out.

Load pattern: more callers than descriptors, many of which send nothing, or the
beginning of a request whose rest does not come.
"""

import asyncio
from collections.abc import Iterator, Sequence
import contextlib
from typing import Protocol, TypeVar, final

from absl import logging


class Connection(Protocol):
    """A caller's connection; implemented by `web.RequestHandler`."""

    transport: asyncio.Transport | None

    def force_close(self) -> None:
        """Closes the connection."""


_ConnectionT = TypeVar("_ConnectionT", bound=Connection)


@final
class ConnectionLimit:
    """Decides which connection is closed for a new one.

    Attributes:
        limit: how many may be open.
        busy: connections with a request in progress.
        replaced: number of connections closed for new ones.
        dropped: number of new connections closed at once.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.busy: set[object] = set()
        self.replaced = 0
        self.dropped = 0

    @contextlib.contextmanager
    def request(self, connection: object) -> Iterator[None]:
        """Counts a connection as busy inside the `with` block."""
        self.busy.add(connection)
        try:
            yield
        finally:
            self.busy.discard(connection)

    def make_room(self, connections: Sequence[_ConnectionT]) -> bool:
        """Makes room for one more, closing the oldest without a request.

        Args:
            connections: the connections so far, oldest first.

        Returns:
            False if there is no room, as all have requests.
        """
        is_open = [c for c in connections if c.transport is not None]
        if len(is_open) < self.limit:
            return True
        oldest = next((c for c in is_open if c not in self.busy), None)
        if oldest is None:
            self.dropped += 1
            logging.warning("connection dropped: all %d in use", self.limit)
            return False
        oldest.force_close()
        self.replaced += 1
        logging.warning("oldest of %d connections closed", self.limit)
        return True


@final
class DroppedConnection(asyncio.Protocol):
    """A connection that is closed before anything of it is read."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Closes the connection."""
        if isinstance(transport, asyncio.WriteTransport):
            transport.abort()
