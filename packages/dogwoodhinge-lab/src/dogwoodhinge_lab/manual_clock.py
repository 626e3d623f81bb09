"""A clock that tests move by hand."""

import asyncio
import datetime
import heapq
from typing import final

DEFAULT_START = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
MONOTONIC_START = 1_000.0
SETTLE_ROUNDS = 25  # a woken task may wake others through a few queues


@final
class ManualClock:
    """Implements `ports.Clock`; time stands still between `advance` calls."""

    def __init__(self, start: datetime.datetime = DEFAULT_START) -> None:
        self.start = start
        self.seconds = MONOTONIC_START
        self.sleepers: list[tuple[float, int, asyncio.Future[None]]] = []
        self.sleeps = 0

    def now(self) -> datetime.datetime:
        """Returns the time of day, UTC."""
        elapsed = self.seconds - MONOTONIC_START
        return self.start + datetime.timedelta(seconds=elapsed)

    def monotonic(self) -> float:
        """Returns the seconds that `advance` has moved to."""
        return self.seconds

    async def sleep(self, delay: datetime.timedelta) -> None:
        """Returns once `advance` has moved past `delay`."""
        if delay <= datetime.timedelta(0):
            await asyncio.sleep(0)
            return
        woken: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.sleeps += 1
        due = self.seconds + delay.total_seconds()
        heapq.heappush(self.sleepers, (due, self.sleeps, woken))
        await woken

    async def advance(self, delay: datetime.timedelta) -> None:
        """Moves time, waking sleepers in order, and lets the loop run.

        A sleeper that sleeps again wakes again within the same call, so that
        a periodic task runs as often as it would.
        """
        target = self.seconds + delay.total_seconds()
        await settle()
        while self.sleepers and self.sleepers[0][0] <= target:
            due, _, woken = heapq.heappop(self.sleepers)
            self.seconds = max(self.seconds, due)
            if woken.done():
                continue
            woken.set_result(None)
            await settle()
        self.seconds = target
        await settle()


async def settle(rounds: int = SETTLE_ROUNDS) -> None:
    """Lets tasks that are ready run."""
    for _ in range(rounds):
        await asyncio.sleep(0)
