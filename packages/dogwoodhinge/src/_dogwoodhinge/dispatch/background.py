"""Background tasks that may outlive the request that started them."""

import asyncio
from collections.abc import Coroutine
from typing import Any, final

from absl import logging


@final
class BackgroundTasks:
    """Holds references to running tasks, so that they aren't collected."""

    def __init__(self) -> None:
        self.tasks: set[asyncio.Task[Any]] = set()

    def spawn(self, work: Coroutine[Any, Any, Any], *, name: str) -> None:
        """Runs `work` in its own task and logs a failure.

        Cancelling the caller does not cancel the task.
        """
        task = self.start(work, name=name)
        task.add_done_callback(_log_failure)

    def start(
        self, work: Coroutine[Any, Any, Any], *, name: str
    ) -> asyncio.Task[Any]:
        """Starts `work` in its own task, for a caller that awaits it.

        The task keeps running if the caller stops waiting.
        """
        task = asyncio.get_running_loop().create_task(work, name=name)
        self.tasks.add(task)
        task.add_done_callback(self._forget)
        return task

    async def settle(self) -> None:
        """Waits until all tasks have ended."""
        while self.tasks:
            await asyncio.wait(set(self.tasks))

    def _forget(self, task: asyncio.Task[Any]) -> None:
        self.tasks.discard(task)
        if not task.cancelled():
            # Marks the exception as retrieved, so that asyncio does not log
            # it; a caller that awaits the task still gets it.
            task.exception()


def _log_failure(task: asyncio.Task[Any]) -> None:
    if not task.cancelled() and task.exception() is not None:
        logging.error(
            "background task %s failed: %r", task.get_name(), task.exception()
        )
