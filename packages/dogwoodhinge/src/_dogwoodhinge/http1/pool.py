"""Kept connections to one endpoint, bounded in number and age."""

import asyncio
import collections
import datetime
import functools
from typing import final

import h11

from _dogwoodhinge.http1 import connection as connection_lib
from _dogwoodhinge.http1 import errors

# A connection opens in a few milliseconds, to other zones too. A lost opening
# packet is sent again after one second; another endpoint is found sooner.
CONNECT_TIMEOUT = datetime.timedelta(milliseconds=400)

# An endpoint that names no time for idle connections is taken to close them
# after this long.
DEFAULT_IDLE_LIMIT = datetime.timedelta(seconds=4)

# Endpoints tell their idle limit in whole seconds, so it may be up to one
# second less than what they say.
IDLE_LIMIT_ROUNDING = datetime.timedelta(seconds=1)

# Work that must not run twice goes only to connections used within this time:
# one that the endpoint is just closing leaves the outcome unknown.
FRESH_LIMIT = datetime.timedelta(seconds=1)

MAX_ANSWER_HEAD_BYTES = 32 * 1024


@final
class ConnectionPool:
    """Connections to one address.

    Attributes:
        limit: connections that may be open at once.
    """

    def __init__(self, *, host: str, port: int, limit: int) -> None:
        self.host = host
        self.port = port
        self.limit = limit
        self.in_use: set[connection_lib.Connection] = set()
        self.idle: collections.deque[connection_lib.Connection] = (
            collections.deque()
        )
        self.connecting = 0
        self.idle_limit = DEFAULT_IDLE_LIMIT
        self.closed = False

    async def acquire(
        self, *, fresh_only: bool = False
    ) -> connection_lib.Connection:
        """Returns a connection on which nothing is under way.

        Args:
            fresh_only: take no connection that was idle for long.

        Raises:
            ConnectError: none could be opened.
            PoolFullError: all are in use.
        """
        found = self._take_idle(fresh_only=fresh_only)
        if found is not None:
            self.in_use.add(found)
            return found
        if len(self.in_use) + len(self.idle) + self.connecting >= self.limit:
            if not self.idle:
                raise errors.PoolFullError(
                    f"all {self.limit} connections to {self.host}:{self.port} "
                    "are in use"
                )
            self.idle.popleft().close()
        self.connecting += 1
        try:
            opened = await self._open()
        finally:
            self.connecting -= 1
        self.in_use.add(opened)
        return opened

    def release(self, used: connection_lib.Connection) -> None:
        """Keeps a connection for the next request, if it is fit for one."""
        self.in_use.discard(used)
        if (
            self.closed
            or used.unread_bytes
            or not used.all_sent
            or not used.start_next_message()
        ):
            used.close()
            return
        used.idle_since = asyncio.get_running_loop().time()
        self.idle.append(used)

    def discard(self, used: connection_lib.Connection) -> None:
        """Drops a connection whose state is not known."""
        self.in_use.discard(used)
        used.abort()

    def note_keep_alive(self, seconds: int) -> None:
        """Takes the idle limit that the endpoint states."""
        self.idle_limit = datetime.timedelta(seconds=seconds)

    def close(self) -> None:
        """Closes idle connections; those in use end with their request."""
        self.closed = True
        while self.idle:
            self.idle.popleft().close()

    def _take_idle(
        self, *, fresh_only: bool
    ) -> connection_lib.Connection | None:
        usable = max(
            self.idle_limit - IDLE_LIMIT_ROUNDING,
            IDLE_LIMIT_ROUNDING / 2,
        )
        if fresh_only:
            usable = min(usable, FRESH_LIMIT)
        now = asyncio.get_running_loop().time()
        while self.idle:
            # The newest first: the others age and are closed.
            found = self.idle.pop()
            if found.lost.is_set() or found.received_while_idle:
                found.abort()
                continue
            if now - found.idle_since > usable.total_seconds():
                if fresh_only:
                    self.idle.append(found)
                    return None
                found.close()
                continue
            return found
        return None

    async def _open(self) -> connection_lib.Connection:
        loop = asyncio.get_running_loop()
        make = functools.partial(
            connection_lib.Connection,
            role=h11.CLIENT,
            max_head_bytes=MAX_ANSWER_HEAD_BYTES,
        )
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT.total_seconds()):
                _, opened = await loop.create_connection(
                    make, self.host, self.port
                )
        except (OSError, TimeoutError) as error:
            raise errors.ConnectError(
                f"no connection to {self.host}:{self.port}: "
                f"{error or 'timed out'}"
            ) from error
        return opened
