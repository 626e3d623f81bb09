"""Selects the adapters that an engine loads next."""

import asyncio
from collections.abc import Callable, Coroutine
import datetime
from typing import Any, final

from absl import logging

from _dogwoodhinge.engine_scheduling import engine_orders
from _dogwoodhinge.engine_scheduling import errors
from _dogwoodhinge.engine_scheduling import request_queue as queue_lib
from dogwoodhinge import models
from dogwoodhinge import ports

RETRY_DELAY = datetime.timedelta(milliseconds=100)

Spawn = Callable[[Coroutine[Any, Any, None]], asyncio.Future]


@final
class LoadPlanner:
    """Loads the adapters of queued requests, the most urgent first.

    Attributes:
        queue: the queued requests.
        loader: sends the orders.
        max_concurrent_loads: limit of the loads in flight.
        on_load_end: called after each load, successful or not.
        on_load_failure: called before `on_load_end` with the adapter and the
            reason.
        tasks: loads in flight by adapter.
    """

    def __init__(
        self,
        *,
        queue: queue_lib.RequestQueue,
        loader: engine_orders.Loader,
        max_concurrent_loads: int,
        spawn: Spawn,
        clock: ports.Clock,
        on_load_end: Callable[[], None],
        on_load_failure: Callable[[models.AdapterVersion, str], None],
    ) -> None:
        self.queue = queue
        self.loader = loader
        self.slots = loader.slots
        self.max_concurrent_loads = max_concurrent_loads
        self.spawn = spawn
        self.clock = clock
        self.on_load_end = on_load_end
        self.on_load_failure = on_load_failure
        self.tasks: dict[models.AdapterVersion, asyncio.Future] = {}

    def start_loads(self) -> None:
        """Starts the most urgent loads within the limit of concurrent loads."""
        groups = self.queue.by_adapter()
        self.loader.requested = frozenset(groups)
        self._cancel_unrequested()
        free_capacity = self.max_concurrent_loads - len(self.tasks)
        if free_capacity <= 0 or not groups:
            return
        due = [
            adapter
            for adapter in groups
            if not self.slots.has_slot(adapter)
            and adapter not in self.tasks
            and self.loader.failures.may_load(adapter)
        ]
        if not due or not self.loader.has_available_slot():
            return
        due.sort(key=lambda adapter: -self._load_urgency(groups[adapter]))
        for adapter in due[:free_capacity]:
            self._start_load(adapter, groups[adapter])

    def _load_urgency(self, group: list[queue_lib.QueuedRequest]) -> float:
        now = self.clock.monotonic()
        waited = now - min(queued.arrived_at for queued in group)
        return len(group) * (1.0 + waited)

    def _start_load(
        self,
        adapter: models.AdapterVersion,
        group: list[queue_lib.QueuedRequest],
    ) -> None:
        now = self.clock.monotonic()
        deadline_at = min(queued.deadline_at for queued in group)
        slack = datetime.timedelta(seconds=max(0.0, deadline_at - now))
        self.tasks[adapter] = self.spawn(self._load(adapter, len(group), slack))

    async def _load(
        self,
        adapter: models.AdapterVersion,
        waiting: int,
        slack: datetime.timedelta,
    ) -> None:
        try:
            await self.loader.load(adapter, waiting=waiting, slack=slack)
        except errors.LoadFailedError as error:
            self.on_load_failure(adapter, str(error))
        except engine_orders.RETRYABLE_ERRORS as error:
            logging.info("load of %s postponed: %s", adapter, error)
            await self.clock.sleep(RETRY_DELAY)
        finally:
            self.tasks.pop(adapter, None)
            self.on_load_end()

    def _cancel_unrequested(self) -> None:
        """Cancels loads that wait for a permit without a queued request."""
        for adapter in self.loader.awaiting_permit - self.loader.requested:
            self.tasks[adapter].cancel()

    def close(self) -> None:
        """Cancels the loads in flight."""
        for task in list(self.tasks.values()):
            task.cancel()
