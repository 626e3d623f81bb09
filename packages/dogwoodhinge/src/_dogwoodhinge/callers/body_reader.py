"""Reads request bodies within the memory that all of them share.

Load pattern: callers that we don't control send many long bodies at once, or
the beginnings of bodies whose rest does not come.
"""

import asyncio
import collections
import contextlib
import datetime
import functools
from typing import final

from absl import logging
from aiohttp import web

from _dogwoodhinge import settings as settings_lib
from _dogwoodhinge.callers import paced_connection
from _dogwoodhinge.callers import problems
from _dogwoodhinge.callers import request_memory as request_memory_lib
from _dogwoodhinge.http1 import memory_budget

RETRY_DELAY = datetime.timedelta(seconds=1)


@final
class BodyReader:
    """Reads bodies, which count until their requests end.

    Attributes:
        request_memory: what all requests hold.
        refused: number of requests refused, by reason.
    """

    def __init__(
        self,
        settings: settings_lib.Settings,
        request_memory: request_memory_lib.RequestMemory,
    ) -> None:
        self.max_body_bytes = settings.max_body_bytes
        self.max_pause = datetime.timedelta(seconds=settings.body_pause_seconds)
        self.request_memory = request_memory
        self.refused: collections.Counter[str] = collections.Counter()

    async def read(self, request: web.Request) -> bytes:
        """Reads a body; it counts until its request ends.

        Raises:
            ProblemError: the body is too long (413), stopped coming (408), or
                there is no memory for it (503).
        """
        holding = self.request_memory.begin(request)
        parts: list[bytes] = []
        try:
            with _read_body(request):
                while part := await self._read_part(request, holding):
                    parts.append(part)
        finally:
            self.request_memory.set_end(holding, None)
        holding.stage = memory_budget.Stage.RUNNING
        self.request_memory.budget.update(holding)
        return b"".join(parts)

    async def _read_part(
        self, request: web.Request, holding: memory_budget.Holding
    ) -> bytes:
        loop = asyncio.get_running_loop()
        holding.progress_at = loop.time()
        pause_ends = loop.time() + self.max_pause.total_seconds()
        try:
            async with asyncio.timeout_at(pause_ends) as timeout:
                self.request_memory.set_end(
                    holding, functools.partial(_expire, timeout)
                )
                part = await request.content.readany()
        except TimeoutError as error:
            if loop.time() >= pause_ends:
                raise self._refuse(
                    "body_paused", problems.body_paused()
                ) from error
            raise self._refuse(
                "no_memory", problems.no_memory(RETRY_DELAY)
            ) from error
        # A request that is given up here is refused below.
        self.request_memory.set_end(holding, _nothing)
        holding.body += len(part)
        if holding.body > self.max_body_bytes:
            raise problems.too_large(self.max_body_bytes)
        self.request_memory.budget.update(holding)
        self.request_memory.relieve()
        if not holding.counted:
            raise self._refuse("no_memory", problems.no_memory(RETRY_DELAY))
        return part

    def _refuse(
        self, reason: str, error: problems.ProblemError
    ) -> problems.ProblemError:
        self.refused[reason] += 1
        logging.warning(
            "request body refused: %s; %d of %d bytes held",
            reason,
            self.request_memory.budget.held_bytes,
            self.request_memory.budget.limit_bytes,
        )
        return error


def _expire(timeout: asyncio.Timeout) -> None:
    if not timeout.expired():
        timeout.reschedule(asyncio.get_running_loop().time())


def _nothing() -> None:
    pass


def _read_body(
    request: web.Request,
) -> contextlib.AbstractContextManager[None]:
    """Returns a context in which the connection reads a body."""
    connection = paced_connection.of_request(request)
    if connection is None or request.content.is_eof():
        return contextlib.nullcontext()
    length = request.content_length or 0
    return connection.body(lambda: length - request.content.total_bytes)
