"""Queues placement requests without a free slot, and serves them in order."""

import asyncio
import collections
from collections.abc import Awaitable, Callable
import datetime
import math
import random
from typing import final

from _dogwoodhinge.fleet import adapter_slots as adapter_slots_lib
from _dogwoodhinge.fleet import wait_order
from _dogwoodhinge.fleet import wait_queue
from dogwoodhinge import errors

# Slots become free when nodes report, about every 100 ms, and when loads
# finish.
SERVE_INTERVAL = datetime.timedelta(milliseconds=20)

# Slots are short for this long after a request had to wait.
SHORTAGE_DURATION = datetime.timedelta(seconds=1)

# Bounds the wait for a reply, so that the requesting node notices a leader that
# is gone. A repeated request keeps its rank in the queue.
REPLY_TIMEOUT = datetime.timedelta(milliseconds=400)

FindSlot = Callable[
    [adapter_slots_lib.PlacementRequest, float],
    "adapter_slots_lib.Assignment | adapter_slots_lib.NoFreeSlot",
]
LoadAdapter = Callable[
    [adapter_slots_lib.Assignment, adapter_slots_lib.PlacementRequest],
    Awaitable[adapter_slots_lib.Assignment],
]


class NoFreeSlotError(errors.DogwoodhingeError):
    """No engine has a free slot for the adapter.

    Attributes:
        retry_after: delay after which a slot may be free.
        final: no slot becomes free while the request may wait.
    """

    def __init__(
        self, retry_after: datetime.timedelta, *, final: bool = False
    ) -> None:
        super().__init__(
            "no engine has a free slot for the adapter; retry later"
        )
        self.retry_after = retry_after
        self.final = final


@final
class PlacementQueue:
    """The placement requests that wait at the leader.

    Attributes:
        given: number of slots given, by rank and organisation.
        rejected: number of requests rejected for good, likewise.
        waited_at: loop time at which a request last had to wait.
    """

    def __init__(
        self,
        *,
        find: FindSlot,
        load: LoadAdapter,
        is_held: Callable[[adapter_slots_lib.PlacementRequest], bool],
        lead_time: Callable[[float], float],
        rng: random.Random,
    ) -> None:
        self.find = find
        self.load = load
        self.is_held = is_held
        self.lead_time = lead_time
        self.rng = rng
        self.queue = wait_queue.WaitQueue()
        self.queued_requests: dict[
            wait_order.Waiter,
            tuple[
                adapter_slots_lib.PlacementRequest,
                asyncio.Future[adapter_slots_lib.Assignment],
            ],
        ] = {}
        self.serving: asyncio.Task[None] | None = None
        self.loads: set[asyncio.Task[None]] = set()
        self.waited_at = -math.inf
        self.given: collections.Counter[tuple[int, str]] = collections.Counter()
        self.rejected: collections.Counter[tuple[int, str]] = (
            collections.Counter()
        )

    @property
    def has_waiters(self) -> bool:
        """True if a request is waiting."""
        return bool(self.queued_requests)

    def is_short(self) -> bool:
        """Returns whether slots are short, or were until just now."""
        now = asyncio.get_running_loop().time()
        return now - self.waited_at < SHORTAGE_DURATION.total_seconds()

    def waiting_by_rank(self) -> collections.Counter[int]:
        """Returns the number of waiting requests of each rank."""
        return collections.Counter(w.rank for w in self.queued_requests)

    async def wait(
        self, request: adapter_slots_lib.PlacementRequest
    ) -> adapter_slots_lib.Assignment:
        """Waits until a request is assigned a slot, in queue order.

        Raises:
            NoFreeSlotError: no slot became free in time.
        """
        loop = asyncio.get_running_loop()
        now = loop.time()
        self.waited_at = now
        waiter = wait_order.Waiter(
            now + request.seconds_to_target,
            now + request.max_wait_seconds,
            rank=request.rank,
            organisation=request.organisation,
            adapter=request.key,
        )
        lead_time = self.lead_time(now)
        if self.queue.will_time_out(waiter, now, lead_time=lead_time):
            raise self._reject(waiter, now)
        future: asyncio.Future[adapter_slots_lib.Assignment] = (
            loop.create_future()
        )
        self.queue.join(waiter, now, lead_time=lead_time)
        self.queued_requests[waiter] = (request, future)
        self._start_serving()
        wait = min(waiter.wait_until - now, REPLY_TIMEOUT.total_seconds())
        try:
            await asyncio.wait({future}, timeout=wait)
            if waiter in self.queued_requests:
                now = loop.time()
                if now >= waiter.wait_until:
                    raise self._reject(waiter, now)
                raise self._rejection(now, final=False)
            # Its load is in flight, or has finished.
            return await future
        finally:
            self._remove(waiter)
            future.cancel()

    def record_assignment(
        self, request: adapter_slots_lib.PlacementRequest
    ) -> None:
        """Records that a slot was assigned without queueing."""
        self._record_assignment(request, asyncio.get_running_loop().time())

    def _record_assignment(
        self, request: adapter_slots_lib.PlacementRequest, now: float
    ) -> None:
        self.queue.record_assignment(
            now, rank=request.rank, organisation=request.organisation
        )
        self.given[request.rank, request.organisation] += 1

    def _reject(self, waiter: wait_order.Waiter, now: float) -> NoFreeSlotError:
        self.queue.record_rejection(now, rank=waiter.rank)
        self.rejected[waiter.rank, waiter.organisation] += 1
        rejection = self._rejection(now, final=True)
        self.queue.record_return(now + rejection.retry_after.total_seconds())
        return rejection

    def _rejection(self, now: float, *, final: bool) -> NoFreeSlotError:
        seconds = self.queue.retry_delay_seconds(now, self.rng.random())
        return NoFreeSlotError(datetime.timedelta(seconds=seconds), final=final)

    def _remove(self, waiter: wait_order.Waiter) -> None:
        self.queue.leave(waiter)
        self.queued_requests.pop(waiter, None)

    def _start_serving(self) -> None:
        if self.serving is None or self.serving.done():
            self.serving = asyncio.ensure_future(self._serve())

    async def _serve(self) -> None:
        while self.queued_requests:
            self._serve_once(asyncio.get_running_loop().time())
            await asyncio.sleep(SERVE_INTERVAL.total_seconds())

    def _serve_once(self, now: float) -> None:
        """Assigns the free slots in queue order.

        If a request that needs a new slot finds none, the other requests that
        may use the same engines would find none either and are skipped, except
        those whose adapter is held or on its way by now.
        """
        exhausted: set[tuple[str, frozenset[str]]] = set()
        lead_time = self.lead_time(now)
        for waiter in self.queue.in_order(now, lead_time=lead_time):
            request, future = self.queued_requests[waiter]
            eligibility = (request.key.model, request.avoid)
            if eligibility in exhausted and not self.is_held(request):
                continue
            found = self.find(request, now)
            if isinstance(found, adapter_slots_lib.NoFreeSlot):
                exhausted.add(eligibility)
                continue
            self._remove(waiter)
            if found.new:
                self._record_assignment(request, now)
            if found.new or not found.ordered:
                self._await_load(found, request, future)
            elif not future.done():
                future.set_result(found)
        self._reject_hopeless(now, lead_time)

    def _reject_hopeless(self, now: float, lead_time: float) -> None:
        """Rejects the requests that cannot be served in time any more."""
        for waiter in self.queue.find_hopeless(now, lead_time=lead_time):
            _, future = self.queued_requests[waiter]
            if not future.done():
                future.set_exception(self._reject(waiter, now))
            self._remove(waiter)

    def _await_load(
        self,
        assignment: adapter_slots_lib.Assignment,
        request: adapter_slots_lib.PlacementRequest,
        future: asyncio.Future[adapter_slots_lib.Assignment],
    ) -> None:
        # The load continues even if the requesting node stops waiting.
        load = self.load(assignment, request)
        task = asyncio.ensure_future(self._forward(load, future))
        self.loads.add(task)
        task.add_done_callback(self.loads.discard)

    async def _forward(
        self,
        load: Awaitable[adapter_slots_lib.Assignment],
        future: asyncio.Future[adapter_slots_lib.Assignment],
    ) -> None:
        try:
            loaded = await load
        except NoFreeSlotError as error:
            if not future.done():
                future.set_exception(error)
            return
        if not future.done():
            future.set_result(loaded)
