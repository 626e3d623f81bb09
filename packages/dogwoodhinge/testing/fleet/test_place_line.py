"""Tests of `_dogwoodhinge.fleet.place_line`: waiting at the owner."""

import asyncio
import random

import pytest

from _dogwoodhinge.fleet import models
from _dogwoodhinge.fleet import place_line
from _dogwoodhinge.fleet import places as places_lib


def want(
    name: str, *, target: float = 0.0, patience: float = 1.0
) -> places_lib.Want:
    return places_lib.Want(
        key=models.AdapterKey("base", name),
        version=0,
        seconds_to_target=target,
        patience_seconds=patience,
    )


class FakePlaces:
    """Places that become free when a test says so."""

    def __init__(self) -> None:
        self.free = 0
        self.loaded: list[str] = []
        self.load_fails = False
        self.may_load = asyncio.Event()
        self.may_load.set()
        self.finds = 0

    def find(
        self, want: places_lib.Want, now: float
    ) -> places_lib.Seat | places_lib.NoRoom:
        """Takes a free place."""
        self.finds += 1
        if not self.free:
            return places_lib.NoRoom()
        self.free -= 1
        return places_lib.Seat(
            engine_id="e1", version=0, ready_at=now, new=True
        )

    async def load(
        self, seat: places_lib.Seat, want: places_lib.Want
    ) -> places_lib.Seat:
        """Loads an adapter."""
        await self.may_load.wait()
        if self.load_fails:
            raise place_line.NoRoomError(place_line.LONGEST_WAIT)
        self.loaded.append(want.key.adapter)
        return seat


@pytest.fixture
def places() -> FakePlaces:
    return FakePlaces()


@pytest.fixture
def line(places: FakePlaces) -> place_line.PlaceLine:
    return place_line.PlaceLine(
        find=places.find,
        load=places.load,
        lead=lambda now: 0.3,
        draw=random.Random(1),
    )


async def test_places_are_given_in_order(
    line: place_line.PlaceLine, places: FakePlaces
) -> None:
    wishes = [want("late"), want("on_time", target=0.5)]
    tasks = [asyncio.create_task(line.wait(wish)) for wish in wishes]
    await asyncio.sleep(0.05)
    places.free = 1
    await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    assert places.loaded == ["on_time"]
    places.free = 1
    await asyncio.gather(*tasks)
    assert places.loaded == ["on_time", "late"]
    assert not line.waits


async def test_wish_without_patience_is_refused_at_once(
    line: place_line.PlaceLine,
) -> None:
    with pytest.raises(place_line.NoRoomError) as caught:
        await line.wait(want("a1", patience=0.0))
    assert caught.value.final


async def test_wish_is_answered_in_time_to_notice_a_dead_owner(
    line: place_line.PlaceLine,
) -> None:
    with pytest.raises(place_line.NoRoomError) as caught:
        await line.wait(want("a1", patience=60.0))
    assert not caught.value.final
    assert not line.waits


async def test_patience_that_runs_out_is_final(
    line: place_line.PlaceLine,
) -> None:
    with pytest.raises(place_line.NoRoomError) as caught:
        await line.wait(want("a1", patience=0.05))
    assert caught.value.final


async def test_load_under_way_is_waited_for(
    line: place_line.PlaceLine, places: FakePlaces
) -> None:
    """The wish had its place; it was refused while its order was sent."""
    places.free = 1
    places.may_load.clear()
    waiting = asyncio.create_task(line.wait(want("a1", patience=0.1)))
    await asyncio.sleep(0.2)
    places.may_load.set()
    assert (await waiting).engine_id == "e1"


async def test_load_goes_on_when_its_asker_leaves(
    line: place_line.PlaceLine, places: FakePlaces
) -> None:
    places.free = 1
    places.may_load.clear()
    waiting = asyncio.create_task(line.wait(want("a1")))
    await asyncio.sleep(0.05)
    waiting.cancel()
    await asyncio.gather(waiting, return_exceptions=True)
    places.may_load.set()
    await asyncio.sleep(0)
    await asyncio.gather(*line.loads)
    assert places.loaded == ["a1"]


async def test_failed_load_is_told_to_its_asker(
    line: place_line.PlaceLine, places: FakePlaces
) -> None:
    places.free = 1
    places.load_fails = True
    with pytest.raises(place_line.NoRoomError):
        await line.wait(want("a1"))


async def test_one_look_a_round_for_wishes_with_the_same_reach(
    line: place_line.PlaceLine, places: FakePlaces
) -> None:
    tasks = [
        asyncio.create_task(line.wait(want(f"a{number}", patience=0.09)))
        for number in range(40)
    ]
    await asyncio.gather(*tasks, return_exceptions=True)
    assert places.finds < 10
