"""An event loop whose time jumps to the next timer.

Runs the real asyncio code of the nodes with all waits skipped: a second of
the run lasts as long as its computation. Computation takes no time on this
clock, so figures say nothing of processor time.
"""

import asyncio
from collections.abc import Coroutine
import datetime
import selectors
from typing import Any, TypeVar, final

START = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)

T = TypeVar("T")


@final
class _JumpingSelector(selectors.SelectSelector):
    """Moves the time on in place of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.seconds = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is None:
            raise RuntimeError("the run waits for something that never comes")
        self.seconds += max(0.0, timeout)
        return super().select(0)


@final
class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop on virtual time."""

    def __init__(self) -> None:
        self.jumping = _JumpingSelector()
        super().__init__(self.jumping)

    def time(self) -> float:
        """Returns virtual seconds."""
        return self.jumping.seconds


@final
class LoopClock:
    """Implements `ports.Clock` by the time of the running loop."""

    def now(self) -> datetime.datetime:
        """Returns a time of day that moves with the loop."""
        return START + datetime.timedelta(seconds=self.monotonic())

    def monotonic(self) -> float:
        """Returns the loop's seconds."""
        return asyncio.get_running_loop().time()

    async def sleep(self, delay: datetime.timedelta) -> None:
        """Returns after `delay` of the loop's time."""
        await asyncio.sleep(delay.total_seconds())


def run(main: Coroutine[Any, Any, T]) -> T:
    """Runs a coroutine to its end on virtual time."""
    loop = VirtualLoop()
    asyncio.set_event_loop(loop)
    try:
        return loop.run_until_complete(main)
    finally:
        _cancel_all(loop)
        asyncio.set_event_loop(None)
        loop.close()


def _cancel_all(loop: asyncio.AbstractEventLoop) -> None:
    tasks = asyncio.all_tasks(loop)
    for task in tasks:
        task.cancel()
    loop.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))
