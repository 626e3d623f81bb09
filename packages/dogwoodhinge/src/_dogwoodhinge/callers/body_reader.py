"""Reads request bodies within the memory that all of them share.

Load pattern: callers that we don't control send many long bodies at once, or
the beginnings of bodies whose rest does not come.
"""

import asyncio
import collections
import datetime
from typing import final

from absl import logging
from aiohttp import web

from _dogwoodhinge import settings as settings_lib
from _dogwoodhinge.callers import problems
from _dogwoodhinge.http1 import memory_budget

HOLDING = web.RequestKey("body_holding", memory_budget.Holding)
RETRY_DELAY = datetime.timedelta(seconds=1)


@final
class BodyReader:
    """Reads bodies, and counts them until their requests end.

    Attributes:
        memory: what all bodies take.
        refused: number of requests refused, by reason.
    """

    def __init__(self, settings: settings_lib.Settings) -> None:
        self.max_body_bytes = settings.max_body_bytes
        self.max_pause = datetime.timedelta(seconds=settings.body_pause_seconds)
        self.memory = memory_budget.MemoryBudget(settings.max_held_body_bytes)
        self.refused: collections.Counter[str] = collections.Counter()
        self._reading: dict[memory_budget.Holding, asyncio.Timeout] = {}

    async def read(self, request: web.Request) -> bytes:
        """Reads a body; it counts until `release`.

        Raises:
            ProblemError: the body is too long (413), stopped coming (408), or
                there is no memory for it (503).
        """
        holding = memory_budget.Holding(stage=memory_budget.Stage.READING)
        request[HOLDING] = holding
        self.memory.add(holding)
        parts: list[bytes] = []
        try:
            while True:
                part = await self._read_part(request, holding)
                if not part:
                    break
                parts.append(part)
        finally:
            self._reading.pop(holding, None)
        holding.stage = memory_budget.Stage.RUNNING
        self.memory.update(holding)
        return b"".join(parts)

    def release(self, request: web.Request) -> None:
        """Stops counting the body of a request that has ended."""
        holding = request.pop(HOLDING, None)
        if holding is not None:
            self.memory.remove(holding)

    async def _read_part(
        self, request: web.Request, holding: memory_budget.Holding
    ) -> bytes:
        loop = asyncio.get_running_loop()
        holding.progress_at = loop.time()
        pause_ends = loop.time() + self.max_pause.total_seconds()
        try:
            async with asyncio.timeout_at(pause_ends) as timeout:
                self._reading[holding] = timeout
                part = await request.content.readany()
        except TimeoutError as error:
            if loop.time() >= pause_ends:
                raise self._refuse(
                    "body_paused", problems.body_paused()
                ) from error
            raise self._refuse(
                "no_memory", problems.no_memory(RETRY_DELAY)
            ) from error
        holding.body += len(part)
        if holding.body > self.max_body_bytes:
            raise problems.too_large(self.max_body_bytes)
        self.memory.update(holding)
        if self.memory.exceeded:
            self._relieve()
            if not holding.counted:
                raise self._refuse("no_memory", problems.no_memory(RETRY_DELAY))
        return part

    def _relieve(self) -> None:
        """Gives up bodies that are being read; requests that run are kept."""
        now = asyncio.get_running_loop().time()
        for holding in self.memory.choose(self._reading):
            self.memory.remove(holding)
            timeout = self._reading.pop(holding)
            if timeout.when() is not None and not timeout.expired():
                timeout.reschedule(now)

    def _refuse(
        self, reason: str, error: problems.ProblemError
    ) -> problems.ProblemError:
        self.refused[reason] += 1
        logging.warning(
            "request body refused: %s; %d of %d bytes held",
            reason,
            self.memory.held_bytes,
            self.memory.limit_bytes,
        )
        return error
