"""Keeps the wishes for which there is no place, and serves them in order."""

import asyncio
from collections.abc import Callable, Coroutine
import datetime
import random
from typing import Any, final

from _dogwoodhinge.fleet import places as places_lib
from _dogwoodhinge.fleet import waiting
from dogwoodhinge import errors

# Places become free when nodes report, every 100 ms or so, and when loads end.
SERVE_EVERY = datetime.timedelta(milliseconds=20)

# A wish is answered after this time at the latest, so that a node notices an
# owner that is gone; it keeps its rank when it is made again.
LONGEST_WAIT = datetime.timedelta(milliseconds=400)

Find = Callable[[places_lib.Want, float], "places_lib.Seat | places_lib.NoRoom"]
Load = Callable[
    [places_lib.Seat, places_lib.Want], Coroutine[Any, Any, places_lib.Seat]
]


class NoRoomError(errors.DogwoodhingeError):
    """No engine can take an adapter now.

    Attributes:
        retry_after: when a place may be had.
        final: there will be none while the asker can wait.
    """

    def __init__(
        self, retry_after: datetime.timedelta, *, final: bool = False
    ) -> None:
        super().__init__("no engine can take the adapter now")
        self.retry_after = retry_after
        self.final = final


@final
class PlaceLine:
    """The wishes that wait at the owner."""

    def __init__(
        self,
        *,
        find: Find,
        load: Load,
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
        """Tells whether anybody waits."""
        return bool(self.wishes)

    async def wait(self, want: places_lib.Want) -> places_lib.Seat:
        """Waits for a place in its turn.

        Raises:
            NoRoomError: none became free.
        """
        loop = asyncio.get_running_loop()
        now = loop.time()
        waiter = waiting.Waiter(
            now + want.seconds_to_target, now + want.patience_seconds
        )
        if self.line.is_hopeless(waiter, now, lead=self.lead(now)):
            raise self._turn_away(now)
        future: asyncio.Future[places_lib.Seat] = loop.create_future()
        self.line.join(waiter, now)
        self.wishes[waiter] = (want, future)
        self._begin_serving()
        wait = min(waiter.leave_at - now, LONGEST_WAIT.total_seconds())
        try:
            await asyncio.wait({future}, timeout=wait)
            if waiter in self.wishes:
                now = loop.time()
                raise self._turn_away(now, final=now >= waiter.leave_at)
            # Its load is under way, or done.
            return await future
        finally:
            self._forget(waiter)
            future.cancel()

    def note_given(self) -> None:
        """Notes that a place was given without a wait."""
        self.line.note_given(asyncio.get_running_loop().time())

    def _turn_away(self, now: float, *, final: bool = True) -> NoRoomError:
        seconds = self.line.retry_seconds(now, self.draw.random())
        return NoRoomError(datetime.timedelta(seconds=seconds), final=final)

    def _forget(self, waiter: waiting.Waiter) -> None:
        self.line.leave(waiter)
        self.wishes.pop(waiter, None)

    def _begin_serving(self) -> None:
        if self.serving is None or self.serving.done():
            self.serving = asyncio.ensure_future(self._serve())

    async def _serve(self) -> None:
        while self.wishes:
            self._serve_once(asyncio.get_running_loop().time())
            await asyncio.sleep(SERVE_EVERY.total_seconds())

    def _serve_once(self, now: float) -> None:
        """Gives out the places that are free, in order.

        Wishes that may use the same engines find a place or none together, as
        far as they need a new one.
        """
        without_room: set[tuple[str, frozenset[str]]] = set()
        for waiter in self.line.in_order(now, lead=self.lead(now)):
            want, future = self.wishes[waiter]
            reach = (want.key.model, want.avoid)
            if reach in without_room:
                continue
            found = self.find(want, now)
            if isinstance(found, places_lib.NoRoom):
                without_room.add(reach)
                continue
            self._forget(waiter)
            if found.new:
                self.line.note_given(now)
                self._start_load(found, want, future)
            elif not future.done():
                future.set_result(found)

    def _start_load(
        self,
        seat: places_lib.Seat,
        want: places_lib.Want,
        future: asyncio.Future[places_lib.Seat],
    ) -> None:
        # The asker may leave meanwhile; the load goes on.
        task = asyncio.ensure_future(self._load(seat, want, future))
        self.loads.add(task)
        task.add_done_callback(self.loads.discard)

    async def _load(
        self,
        seat: places_lib.Seat,
        want: places_lib.Want,
        future: asyncio.Future[places_lib.Seat],
    ) -> None:
        try:
            loaded = await self.load(seat, want)
        except NoRoomError as error:
            if not future.done():
                future.set_exception(error)
            return
        if not future.done():
            future.set_result(loaded)
