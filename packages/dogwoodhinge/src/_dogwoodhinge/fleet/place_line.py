"""Queues placement requests without a free slot, and serves them in order."""

import asyncio
from collections.abc import Callable, Coroutine
import datetime
import random
from typing import Any, final

from _dogwoodhinge.fleet import places as places_lib
from _dogwoodhinge.fleet import waiting
from dogwoodhinge import errors

# Slots become free when nodes report, about every 100 ms, and when loads
# finish.
SERVE_INTERVAL = datetime.timedelta(milliseconds=20)

# Bounds the wait for a reply, so that the requesting node notices a leader that
# is gone. A repeated request keeps its rank in the queue.
REPLY_TIMEOUT = datetime.timedelta(milliseconds=400)

FindSlot = Callable[
    [places_lib.Want, float], "places_lib.Seat | places_lib.NoRoom"
]
LoadAdapter = Callable[
    [places_lib.Seat, places_lib.Want], Coroutine[Any, Any, places_lib.Seat]
]


class NoRoomError(errors.DogwoodhingeError):
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
class PlaceLine:
    """The placement requests that wait at the leader."""

    def __init__(
        self,
        *,
        find: FindSlot,
        load: LoadAdapter,
        lead: Callable[[float], float],
        draw: random.Random,
    ) -> None:
        self.find = find
        self.load = load
        self.lead = lead
        self.draw = draw
        self.line = waiting.WaitingLine()
        self.wishes: dict[
            waiting.Waiter,
            tuple[places_lib.Want, asyncio.Future[places_lib.Seat]],
        ] = {}
        self.serving: asyncio.Task[None] | None = None
        self.loads: set[asyncio.Task[None]] = set()

    @property
    def waits(self) -> bool:
        """True if a request is waiting."""
        return bool(self.wishes)

    async def wait(self, request: places_lib.Want) -> places_lib.Seat:
        """Waits until a request is assigned a slot, in queue order.

        Raises:
            NoRoomError: no slot became free in time.
        """
        loop = asyncio.get_running_loop()
        now = loop.time()
        waiter = waiting.Waiter(
            now + request.seconds_to_target, now + request.patience_seconds
        )
        if self.line.is_hopeless(waiter, now, lead=self.lead(now)):
            raise self._rejection(now)
        future: asyncio.Future[places_lib.Seat] = loop.create_future()
        self.line.join(waiter, now)
        self.wishes[waiter] = (request, future)
        self._start_serving()
        wait = min(waiter.leave_at - now, REPLY_TIMEOUT.total_seconds())
        try:
            await asyncio.wait({future}, timeout=wait)
            if waiter in self.wishes:
                now = loop.time()
                raise self._rejection(now, final=now >= waiter.leave_at)
            # Its load is in flight, or has finished.
            return await future
        finally:
            self._remove(waiter)
            future.cancel()

    def note_given(self) -> None:
        """Records that a slot was assigned without queueing."""
        self.line.note_given(asyncio.get_running_loop().time())

    def _rejection(self, now: float, *, final: bool = True) -> NoRoomError:
        seconds = self.line.retry_delay_seconds(now, self.draw.random())
        return NoRoomError(datetime.timedelta(seconds=seconds), final=final)

    def _remove(self, waiter: waiting.Waiter) -> None:
        self.line.leave(waiter)
        self.wishes.pop(waiter, None)

    def _start_serving(self) -> None:
        if self.serving is None or self.serving.done():
            self.serving = asyncio.ensure_future(self._serve())

    async def _serve(self) -> None:
        while self.wishes:
            self._serve_once(asyncio.get_running_loop().time())
            await asyncio.sleep(SERVE_INTERVAL.total_seconds())

    def _serve_once(self, now: float) -> None:
        """Assigns the free slots in queue order.

        If a request that needs a new slot finds none, the other requests that
        may use the same engines would find none either and are skipped.
        """
        exhausted: set[tuple[str, frozenset[str]]] = set()
        for waiter in self.line.in_order(now, lead=self.lead(now)):
            request, future = self.wishes[waiter]
            eligibility = (request.key.model, request.avoid)
            if eligibility in exhausted:
                continue
            found = self.find(request, now)
            if isinstance(found, places_lib.NoRoom):
                exhausted.add(eligibility)
                continue
            self._remove(waiter)
            if found.new:
                self.line.note_given(now)
                self._start_load(found, request, future)
            elif not future.done():
                future.set_result(found)

    def _start_load(
        self,
        assignment: places_lib.Seat,
        request: places_lib.Want,
        future: asyncio.Future[places_lib.Seat],
    ) -> None:
        # The load continues even if the requesting node stops waiting.
        task = asyncio.ensure_future(self._load(assignment, request, future))
        self.loads.add(task)
        task.add_done_callback(self.loads.discard)

    async def _load(
        self,
        assignment: places_lib.Seat,
        request: places_lib.Want,
        future: asyncio.Future[places_lib.Seat],
    ) -> None:
        try:
            loaded = await self.load(assignment, request)
        except NoRoomError as error:
            if not future.done():
                future.set_exception(error)
            return
        if not future.done():
            future.set_result(loaded)
