"""Tells the end of an engine from the end of a connection to it.

Load patterns: engines that reset single connections, lose answers or break them
off, and links that are cut or reset, while the engine runs on; engines that
leave as planned. None of these shows that the engine has ended. It has if it
closed the connection with a request in flight and now refuses connections.
"""

import asyncio
import datetime
import enum
from typing import final

from _dogwoodhinge.fleet import engines as engines_lib
from _dogwoodhinge.gateway import sender as sender_lib
from _dogwoodhinge.http1 import connection as connection_lib
from _dogwoodhinge.http1 import errors as http_errors
from _dogwoodhinge.http1 import pool as pool_lib

# The connections of an engine that ends are lost within this time of each
# other.
CONNECTIONS_END_WITHIN = datetime.timedelta(milliseconds=3)

# An engine that is just ending may still accept a connection, which it then
# loses within this time.
SECOND_LOOK_DELAY = datetime.timedelta(milliseconds=60)
MAX_LOOKS = 3

# How long an engine counts as ended after a look.
ENDED_LIFETIME = datetime.timedelta(seconds=1)

# A request that may be retried waits this long for the result.
MAX_WAIT = datetime.timedelta(milliseconds=40)

Incarnation = tuple[str, int]


class EngineState(enum.Enum):
    """What a look at an engine shows."""

    ENDED = "ended"
    LEFT = "left"  # ended after it was leaving, or gone from the list
    RUNS = "runs"
    UNKNOWN = "unknown"  # no response


@final
class EngineEnds:
    """Looks at engines that have ended a connection.

    Attributes:
        looks: the looks in progress, and recent ones that showed an end, by
            incarnation.
    """

    def __init__(self, sender: sender_lib.Sender) -> None:
        self.sender = sender
        self.looks: dict[Incarnation, asyncio.Task[EngineState]] = {}

    def look(self, engine: engines_lib.Engine) -> asyncio.Task[EngineState]:
        """Starts to find out whether an engine has ended."""
        incarnation = engine.entry.incarnation
        found = self.looks.get(incarnation)
        if found is None:
            found = asyncio.ensure_future(self._look(engine))
            self.looks[incarnation] = found
            found.add_done_callback(
                lambda look: self._finish(incarnation, look)
            )
        return found

    def _finish(
        self, incarnation: Incarnation, look: asyncio.Task[EngineState]
    ) -> None:
        ended = (
            not look.cancelled()
            and look.exception() is None
            and look.result() in (EngineState.ENDED, EngineState.LEFT)
        )
        # The other requests that were in flight need no look of their own. An
        # engine that was only down for a while is looked at again.
        delay = ENDED_LIFETIME.total_seconds() if ended else 0.0
        asyncio.get_running_loop().call_later(
            delay, self.looks.pop, incarnation, None
        )

    async def _look(self, engine: engines_lib.Engine) -> EngineState:
        pool = self.sender.find_pool(engine)
        if pool is not None:
            return await self._look_through(pool, engine)
        pool = pool_lib.ConnectionPool(
            host=engine.entry.host, port=engine.entry.port, limit=1
        )
        try:
            return await self._look_through(pool, engine)
        finally:
            pool.close()

    async def _look_through(
        self, pool: pool_lib.ConnectionPool, engine: engines_lib.Engine
    ) -> EngineState:
        for _ in range(MAX_LOOKS):
            await asyncio.sleep(CONNECTIONS_END_WITHIN.total_seconds())
            if pool.has_open_connection:
                return EngineState.RUNS
            try:
                opened = await pool.probe()
            except http_errors.ConnectError as error:
                if not error.refused:
                    return EngineState.UNKNOWN
                return (
                    EngineState.ENDED
                    if engine.accepts_requests
                    else EngineState.LEFT
                )
            if await _stays_open(opened):
                return EngineState.RUNS
        return EngineState.UNKNOWN


async def _stays_open(connection: connection_lib.Connection) -> bool:
    try:
        async with asyncio.timeout(SECOND_LOOK_DELAY.total_seconds()):
            await connection.lost.wait()
    except TimeoutError:
        return True
    return False
