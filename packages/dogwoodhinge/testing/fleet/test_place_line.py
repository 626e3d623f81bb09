"""Tests of the placement queue: requests that wait at the leader."""

import asyncio
import random

import pytest

from _dogwoodhinge.fleet import models
from _dogwoodhinge.fleet import place_line
from _dogwoodhinge.fleet import places as places_lib


def make_request(
    name: str, *, target: float = 0.0, max_wait: float = 1.0
) -> places_lib.Want:
    return places_lib.Want(
        key=models.AdapterKey("base", name),
        version=0,
        seconds_to_target=target,
        patience_seconds=max_wait,
    )


class FakeSlots:
    """Adapter slots that a test frees explicitly."""

    def __init__(self) -> None:
        self.free = 0
        self.loaded: list[str] = []
        self.load_fails = False
        self.may_load = asyncio.Event()
        self.may_load.set()
        self.find_calls = 0

    def find(
        self, request: places_lib.Want, now: float
    ) -> places_lib.Seat | places_lib.NoRoom:
        """Assigns a free slot."""
        self.find_calls += 1
        if not self.free:
            return places_lib.NoRoom()
        self.free -= 1
        return places_lib.Seat(
            engine_id="e1", version=0, ready_at=now, new=True
        )

    async def load(
        self, assignment: places_lib.Seat, request: places_lib.Want
    ) -> places_lib.Seat:
        """Records the load of an adapter."""
        await self.may_load.wait()
        if self.load_fails:
            raise place_line.NoRoomError(place_line.REPLY_TIMEOUT)
        self.loaded.append(request.key.adapter)
        return assignment


@pytest.fixture
def places() -> FakeSlots:
    return FakeSlots()


@pytest.fixture
def queue(places: FakeSlots) -> place_line.PlaceLine:
    return place_line.PlaceLine(
        find=places.find,
        load=places.load,
        lead=lambda now: 0.3,
        draw=random.Random(1),
    )


async def test_slots_are_assigned_in_queue_order(
    queue: place_line.PlaceLine, places: FakeSlots
) -> None:
    requests = [make_request("late"), make_request("on_time", target=0.5)]
    tasks = [asyncio.create_task(queue.wait(request)) for request in requests]
    await asyncio.sleep(0.05)
    places.free = 1
    await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    assert places.loaded == ["on_time"]
    places.free = 1
    await asyncio.gather(*tasks)
    assert places.loaded == ["on_time", "late"]
    assert not queue.waits


async def test_request_that_may_not_wait_is_rejected_at_once(
    queue: place_line.PlaceLine,
) -> None:
    with pytest.raises(place_line.NoRoomError) as caught:
        await queue.wait(make_request("a1", max_wait=0.0))
    assert caught.value.final


async def test_request_is_answered_at_the_reply_timeout(
    queue: place_line.PlaceLine,
) -> None:
    """The bounded wait lets an entry node notice a leader that is gone."""
    with pytest.raises(place_line.NoRoomError) as caught:
        await queue.wait(make_request("a1", max_wait=60.0))
    assert not caught.value.final
    assert not queue.waits


async def test_rejection_at_the_end_of_the_wait_is_final(
    queue: place_line.PlaceLine,
) -> None:
    with pytest.raises(place_line.NoRoomError) as caught:
        await queue.wait(make_request("a1", max_wait=0.05))
    assert caught.value.final


async def test_request_waits_for_its_load_in_flight(
    queue: place_line.PlaceLine, places: FakeSlots
) -> None:
    """Guards against a rejection while the load order is being sent."""
    places.free = 1
    places.may_load.clear()
    task = asyncio.create_task(queue.wait(make_request("a1", max_wait=0.1)))
    await asyncio.sleep(0.2)
    places.may_load.set()
    assert (await task).engine_id == "e1"


async def test_load_continues_when_its_request_is_cancelled(
    queue: place_line.PlaceLine, places: FakeSlots
) -> None:
    places.free = 1
    places.may_load.clear()
    task = asyncio.create_task(queue.wait(make_request("a1")))
    await asyncio.sleep(0.05)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    places.may_load.set()
    await asyncio.sleep(0)
    await asyncio.gather(*queue.loads)
    assert places.loaded == ["a1"]


async def test_failed_load_is_reported_to_the_request(
    queue: place_line.PlaceLine, places: FakeSlots
) -> None:
    places.free = 1
    places.load_fails = True
    with pytest.raises(place_line.NoRoomError):
        await queue.wait(make_request("a1"))


async def test_requests_for_the_same_engines_share_one_search(
    queue: place_line.PlaceLine, places: FakeSlots
) -> None:
    tasks = [
        asyncio.create_task(
            queue.wait(make_request(f"a{number}", max_wait=0.09))
        )
        for number in range(40)
    ]
    await asyncio.gather(*tasks, return_exceptions=True)
    assert places.find_calls < 10
