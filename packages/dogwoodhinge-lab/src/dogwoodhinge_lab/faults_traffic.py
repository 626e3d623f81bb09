"""What callers send during a cell, and what they got."""

import asyncio
from collections.abc import Callable, Sequence
from typing import Any, final
import uuid

from dogwoodhinge_lab import fleet_clients
from dogwoodhinge_lab import oracles

STATUS_TOO_MANY = 429
RESENDS = 4
RESEND_PAUSE_SECONDS = 0.5

Urls = Callable[[], Sequence[str]]


@final
class Traffic:
    """Sends requests and keeps each with its answer.

    Attributes:
        caller: the customer's client.
        urls: tells the nodes that take requests now.
        generations: those answered so far.
        calls: likewise; a call sent again is there each time.
        tasks: requests under way.
    """

    def __init__(self, caller: fleet_clients.Caller, urls: Urls) -> None:
        self.caller = caller
        self.urls = urls
        self.generations: list[oracles.GenerationSent] = []
        self.calls: list[oracles.CallSent] = []
        self.tasks: set[asyncio.Task[Any]] = set()

    def start(self, work: Any) -> asyncio.Task[Any]:
        """Runs a request beside others."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        return task

    async def finish(self, seconds: float) -> bool:
        """Waits for the requests under way; tells whether all ended."""
        if not self.tasks:
            return True
        _, late = await asyncio.wait(self.tasks, timeout=seconds)
        for task in late:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.tasks.clear()
        return not late

    async def generate(
        self,
        url: str,
        model: str,
        *,
        max_tokens: int = 30,
        deadline_ms: int = 20_000,
        prompt: str = "",
    ) -> fleet_clients.CallerAnswer:
        """Sends one generation; its prompt is unique unless given."""
        wanted = fleet_clients.Completion(
            model=model,
            prompt=prompt or uuid.uuid4().hex,
            max_tokens=max_tokens,
            deadline_ms=deadline_ms,
        )
        answer = await self.caller.complete(url, wanted)
        self.generations.append(oracles.GenerationSent(wanted, answer))
        return answer

    async def call(
        self, url: str, service: str, *, key: str = "", resend: bool = True
    ) -> fleet_clients.CallerAnswer:
        """Sends a non-idempotent call, and again while it is unanswered."""
        wanted = fleet_clients.ServiceCall(
            service=service,
            operation="reserve",
            key=key or uuid.uuid4().hex,
            body={"lot": 7},
        )
        answer = await self._send_call(url, wanted)
        for attempt in range(RESENDS if resend else 0):
            if answer.whole:
                break
            await asyncio.sleep(RESEND_PAUSE_SECONDS)
            urls = self.urls()
            if urls:
                answer = await self._send_call(
                    urls[attempt % len(urls)], wanted
                )
        return answer

    async def _send_call(
        self, url: str, wanted: fleet_clients.ServiceCall
    ) -> fleet_clients.CallerAnswer:
        answer = await self.caller.call(url, wanted)
        self.calls.append(oracles.CallSent(wanted, answer))
        return answer
