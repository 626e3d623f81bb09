"""A pool of connections to one endpoint, limited in number and age."""

import asyncio
import collections
import datetime
import functools
from typing import final

import h11

from _dogwoodhinge.http1 import connection as connection_lib
from _dogwoodhinge.http1 import errors
from _dogwoodhinge.http1 import memory_budget

# A connection opens in a few milliseconds, also to other availability zones. A
# lost SYN packet is only sent again after one second; it is faster to use
# another endpoint.
CONNECT_TIMEOUT = datetime.timedelta(milliseconds=400)

# Assumed for endpoints that do not announce their limit for idle connections.
DEFAULT_IDLE_LIMIT = datetime.timedelta(seconds=4)

# Endpoints announce their idle limit in whole seconds, so the actual limit may
# be up to one second shorter.
IDLE_LIMIT_ROUNDING = datetime.timedelta(seconds=1)

# Requests that must not run twice only use connections that were idle for less
# than this. If the endpoint is just closing a connection, the outcome of a
# request on it is unknown.
FRESH_IDLE_LIMIT = datetime.timedelta(seconds=1)

MAX_RESPONSE_HEAD_BYTES = 32 * 1024

# A connection on which more requests were rejected is closed, since it has to
# remember their ids.
MAX_REJECTED_IDS = 256


@final
class ConnectionPool:
    """Connections to one address.

    Attributes:
        limit: connections that may be open at once.
        memory: counts what is held for the endpoint; None not to count it.
    """

    def __init__(
        self,
        *,
        host: str,
        port: int,
        limit: int,
        memory: memory_budget.MemoryBudget | None = None,
    ) -> None:
        self.memory = memory
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
        self,
        *,
        fresh_only: bool = False,
        request_id: str = "",
    ) -> connection_lib.Connection:
        """Returns a connection without a request in progress.

        Args:
            fresh_only: whether to reuse only connections that were idle for
                less than FRESH_IDLE_LIMIT.
            request_id: id of the request that it is for, which is not sent
                again on a connection on which it was rejected.

        Raises:
            ConnectError: no connection could be opened.
            PoolFullError: all connections are in use.
        """
        idle_connection = self._take_idle(
            fresh_only=fresh_only, request_id=request_id
        )
        if idle_connection is not None:
            self.in_use.add(idle_connection)
            return idle_connection
        if len(self.in_use) + len(self.idle) + self.connecting >= self.limit:
            if not self.idle:
                raise errors.PoolFullError(
                    f"all {self.limit} connections to {self.host}:{self.port} "
                    "are in use"
                )
            self.idle.popleft().close()
        self.connecting += 1
        try:
            new_connection = await self._open()
        finally:
            self.connecting -= 1
        self.in_use.add(new_connection)
        return new_connection

    @property
    def has_open_connection(self) -> bool:
        """True if the endpoint has not ended all connections."""
        return any(
            not connection.lost.is_set()
            for connection in (*self.in_use, *self.idle)
        )

    async def probe(self) -> connection_lib.Connection:
        """Opens a connection and keeps it for the next request.

        Raises:
            ConnectError: no connection could be opened.
        """
        self.connecting += 1
        try:
            new_connection = await self._open()
        finally:
            self.connecting -= 1
        if self.closed:
            new_connection.close()
            return new_connection
        new_connection.idle_since = asyncio.get_running_loop().time()
        new_connection.pooled = True
        self.idle.append(new_connection)
        return new_connection

    def release(self, connection: connection_lib.Connection) -> None:
        """Returns a connection to the pool, or closes it if it is unusable."""
        self.in_use.discard(connection)
        if (
            self.closed
            or connection.unread_bytes
            or not connection.all_sent
            or len(connection.rejected_ids) >= MAX_REJECTED_IDS
            or not connection.start_next_message()
        ):
            connection.close()
            return
        connection.idle_since = asyncio.get_running_loop().time()
        connection.pooled = True
        self.idle.append(connection)

    def discard(self, connection: connection_lib.Connection) -> None:
        """Aborts a connection whose state is unknown."""
        self.in_use.discard(connection)
        connection.abort()

    def set_idle_limit(self, seconds: int) -> None:
        """Sets the idle limit that the endpoint announces."""
        self.idle_limit = datetime.timedelta(seconds=seconds)

    def close(self) -> None:
        """Closes idle connections; the others close when released."""
        self.closed = True
        self.close_idle()

    def close_idle(self) -> None:
        """Closes idle connections."""
        while self.idle:
            self.idle.popleft().close()

    def _take_idle(
        self, *, fresh_only: bool, request_id: str
    ) -> connection_lib.Connection | None:
        skipped: list[connection_lib.Connection] = []
        try:
            while True:
                found = self._take_latest_idle(fresh_only=fresh_only)
                if found is None or request_id not in found.rejected_ids:
                    return found
                skipped.append(found)
        finally:
            for connection in reversed(skipped):
                connection.pooled = True
                self.idle.append(connection)

    def _take_latest_idle(
        self, *, fresh_only: bool
    ) -> connection_lib.Connection | None:
        max_idle = max(
            self.idle_limit - IDLE_LIMIT_ROUNDING,
            IDLE_LIMIT_ROUNDING / 2,
        )
        if fresh_only:
            max_idle = min(max_idle, FRESH_IDLE_LIMIT)
        now = asyncio.get_running_loop().time()
        while self.idle:
            # The most recently used first, so that the others expire.
            idle_connection = self.idle.pop()
            if idle_connection.lost.is_set() or idle_connection.unread_bytes:
                idle_connection.abort()
                continue
            if now - idle_connection.idle_since > max_idle.total_seconds():
                if fresh_only:
                    self.idle.append(idle_connection)
                    return None
                idle_connection.close()
                continue
            idle_connection.pooled = False
            return idle_connection
        return None

    async def _open(self) -> connection_lib.Connection:
        loop = asyncio.get_running_loop()
        make_connection = functools.partial(
            connection_lib.Connection,
            role=h11.CLIENT,
            max_head_bytes=MAX_RESPONSE_HEAD_BYTES,
            memory=self.memory,
        )
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT.total_seconds()):
                _, new_connection = await loop.create_connection(
                    make_connection, self.host, self.port
                )
        except (OSError, ValueError, OverflowError) as error:
            # The latter two mean that no such address can exist.
            raise errors.ConnectError(
                f"could not connect to {self.host}:{self.port}: "
                f"{str(error) or 'timed out'}",
                refused=isinstance(error, ConnectionRefusedError),
            ) from error
        return new_connection
