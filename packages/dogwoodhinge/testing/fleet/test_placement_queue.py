"""Tests of the placement queue: requests that wait at the leader."""

import asyncio
import dataclasses
import random

import pytest

from _dogwoodhinge.fleet import adapter_slots as adapter_slots_lib
from _dogwoodhinge.fleet import models
from _dogwoodhinge.fleet import placement_queue


def make_request(
    name: str, *, target: float = 0.0, max_wait: float = 1.0
) -> adapter_slots_lib.PlacementRequest:
    return adapter_slots_lib.PlacementRequest(
        key=models.AdapterKey("base", name),
        version=0,
        seconds_to_target=target,
        max_wait_seconds=max_wait,
    )


class FakeSlots:
    """Adapter slots that a test frees explicitly."""

    def __init__(self) -> None:
        self.free = 0
        self.loaded: list[str] = []
        self.held: set[str] = set()
        self.load_fails = False
        self.may_load = asyncio.Event()
        self.may_load.set()
        self.find_calls = 0

    def find(
        self, request: adapter_slots_lib.PlacementRequest, now: float
    ) -> adapter_slots_lib.Assignment | adapter_slots_lib.NoFreeSlot:
        """Assigns a free slot."""
        self.find_calls += 1
        if request.key.adapter in self.held:
            return adapter_slots_lib.Assignment(
                engine_id="e1", version=0, ready_at=now
            )
        if not self.free:
            return adapter_slots_lib.NoFreeSlot()
        self.free -= 1
        self.held.add(request.key.adapter)
        return adapter_slots_lib.Assignment(
            engine_id="e1", version=0, ready_at=now, new=True
        )

    async def load(
        self,
        assignment: adapter_slots_lib.Assignment,
        request: adapter_slots_lib.PlacementRequest,
    ) -> adapter_slots_lib.Assignment:
        """Records the load of an adapter."""
        await self.may_load.wait()
        if self.load_fails:
            raise placement_queue.NoFreeSlotError(placement_queue.REPLY_TIMEOUT)
        self.loaded.append(request.key.adapter)
        return assignment


@pytest.fixture
def adapter_slots() -> FakeSlots:
    return FakeSlots()


@pytest.fixture
def queue(adapter_slots: FakeSlots) -> placement_queue.PlacementQueue:
    return placement_queue.PlacementQueue(
        find=adapter_slots.find,
        load=adapter_slots.load,
        is_held=lambda request: request.key.adapter in adapter_slots.held,
        lead_time=lambda now: 0.3,
        rng=random.Random(1),
    )


async def test_slots_are_assigned_in_queue_order(
    queue: placement_queue.PlacementQueue, adapter_slots: FakeSlots
) -> None:
    requests = [make_request("late"), make_request("on_time", target=0.5)]
    tasks = [asyncio.create_task(queue.wait(request)) for request in requests]
    await asyncio.sleep(0.05)
    adapter_slots.free = 1
    await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    assert adapter_slots.loaded == ["on_time"]
    adapter_slots.free = 1
    await asyncio.gather(*tasks)
    assert adapter_slots.loaded == ["on_time", "late"]
    assert not queue.has_waiters


async def test_request_that_may_not_wait_is_rejected_at_once(
    queue: placement_queue.PlacementQueue,
) -> None:
    with pytest.raises(placement_queue.NoFreeSlotError) as caught:
        await queue.wait(make_request("a1", max_wait=0.0))
    assert caught.value.final


async def test_request_is_answered_at_the_reply_timeout(
    queue: placement_queue.PlacementQueue,
) -> None:
    """The bounded wait lets an entry node notice a leader that is gone."""
    with pytest.raises(placement_queue.NoFreeSlotError) as caught:
        await queue.wait(make_request("a1", max_wait=60.0))
    assert not caught.value.final
    assert not queue.has_waiters


async def test_rejection_at_the_end_of_the_wait_is_final(
    queue: placement_queue.PlacementQueue,
) -> None:
    with pytest.raises(placement_queue.NoFreeSlotError) as caught:
        await queue.wait(make_request("a1", max_wait=0.05))
    assert caught.value.final


async def test_request_waits_for_its_load_in_flight(
    queue: placement_queue.PlacementQueue, adapter_slots: FakeSlots
) -> None:
    """Guards against a rejection while the load order is being sent."""
    adapter_slots.free = 1
    adapter_slots.may_load.clear()
    task = asyncio.create_task(queue.wait(make_request("a1", max_wait=0.1)))
    await asyncio.sleep(0.2)
    adapter_slots.may_load.set()
    assert (await task).engine_id == "e1"


async def test_load_continues_when_its_request_is_cancelled(
    queue: placement_queue.PlacementQueue, adapter_slots: FakeSlots
) -> None:
    adapter_slots.free = 1
    adapter_slots.may_load.clear()
    task = asyncio.create_task(queue.wait(make_request("a1")))
    await asyncio.sleep(0.05)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    adapter_slots.may_load.set()
    await asyncio.sleep(0)
    await asyncio.gather(*queue.loads)
    assert adapter_slots.loaded == ["a1"]


async def test_failed_load_is_reported_to_the_request(
    queue: placement_queue.PlacementQueue, adapter_slots: FakeSlots
) -> None:
    adapter_slots.free = 1
    adapter_slots.load_fails = True
    with pytest.raises(placement_queue.NoFreeSlotError):
        await queue.wait(make_request("a1"))


async def test_requests_for_the_same_engines_share_one_search(
    queue: placement_queue.PlacementQueue, adapter_slots: FakeSlots
) -> None:
    tasks = [
        asyncio.create_task(
            queue.wait(make_request(f"a{number}", max_wait=0.09))
        )
        for number in range(40)
    ]
    await asyncio.gather(*tasks, return_exceptions=True)
    assert adapter_slots.find_calls < 10


async def test_outcomes_are_counted_by_rank_and_organisation(
    queue: placement_queue.PlacementQueue, adapter_slots: FakeSlots
) -> None:
    requests = [
        dataclasses.replace(
            make_request("a1", max_wait=0.2), rank=2, organisation="acme"
        ),
        dataclasses.replace(make_request("a2", target=0.9), rank=0),
    ]
    tasks = [asyncio.create_task(queue.wait(request)) for request in requests]
    await asyncio.sleep(0.05)
    assert queue.waiting_by_rank() == {0: 1, 2: 1}
    adapter_slots.free = 1
    await asyncio.gather(*tasks, return_exceptions=True)
    assert queue.given == {(0, ""): 1}
    assert queue.rejected == {(2, "acme"): 1}


async def test_requests_of_one_adapter_go_together_with_one_load(
    queue: placement_queue.PlacementQueue, adapter_slots: FakeSlots
) -> None:
    """Regression: the later ones were skipped once slots had run out.

    The one with more time left is served before those of another adapter, so
    that the slots have run out when it is the turn of the last one.
    """
    requests = [
        make_request("a1", target=0.9),
        make_request("a1", target=0.7),
        make_request("a2", target=0.8),
        make_request("a1"),
    ]
    tasks = [asyncio.create_task(queue.wait(request)) for request in requests]
    await asyncio.sleep(0.05)
    adapter_slots.free = 1
    await asyncio.sleep(0.1)
    assert [task.done() for task in tasks] == [True, True, False, True]
    assert adapter_slots.loaded == ["a1"]
    tasks[2].cancel()


async def test_slots_stay_short_for_a_while_after_a_request_waited(
    queue: placement_queue.PlacementQueue,
) -> None:
    """Nodes report more often meanwhile, so that slots become free sooner.

    Regression: since hopeless requests are rejected at once, nobody may wait at
    the height of a crest.
    """
    assert not queue.is_short()
    with pytest.raises(placement_queue.NoFreeSlotError):
        await queue.wait(make_request("a1", max_wait=0.0))
    assert not queue.has_waiters
    assert queue.is_short()
