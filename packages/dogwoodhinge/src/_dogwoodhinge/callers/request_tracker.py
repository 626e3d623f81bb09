"""Counts the requests in progress, so that a drain can wait for them."""

import asyncio
import collections
from collections.abc import Iterator
import contextlib
from typing import final


@final
class RequestTracker:
    """Counts requests in progress and finished requests.

    Attributes:
        running: number of requests in progress.
        finished: number of finished requests, by (path pattern, status).
        idle: set while no request is in progress.
    """

    def __init__(self) -> None:
        self.running = 0
        self.finished: collections.Counter[tuple[str, int]] = (
            collections.Counter()
        )
        self.idle = asyncio.Event()
        self.idle.set()

    @contextlib.contextmanager
    def request(self) -> Iterator[None]:
        """Counts a request as in progress inside the `with` block."""
        self.running += 1
        self.idle.clear()
        try:
            yield
        finally:
            self.running -= 1
            if not self.running:
                self.idle.set()

    def count_finished(self, path_pattern: str, status: int) -> None:
        """Counts a finished request by path pattern and status."""
        self.finished[path_pattern, status] += 1

    async def wait_idle(self) -> None:
        """Waits until no request is in progress."""
        await self.idle.wait()
