"""Tests of `_dogwoodhinge.limits.load_permits` and `permit_home`."""

import asyncio
from collections.abc import Callable
import datetime
from typing import Any

import pytest

from _dogwoodhinge.peer import peer_pb2

SLACK = datetime.timedelta(seconds=10)


def lease_request(
    permit_id: str, waiting: int = 1
) -> peer_pb2.LeaseLoadPermitRequest:
    return peer_pb2.LeaseLoadPermitRequest(
        store="store", permit_id=permit_id, waiting=waiting
    )


@pytest.fixture
def group(
    make_group: Callable[..., Any], make_contract: Callable[..., Any]
) -> Any:
    return make_group(7, make_contract())


async def test_store_width_is_enforced_over_all_nodes(group: Any) -> None:
    await group.advance(5)
    tasks = [
        asyncio.ensure_future(node.permits.acquire(waiting=1, slack=SLACK))
        for node in group.alive()
    ]
    await group.advance(3)
    acquired = [task for task in tasks if task.done()]
    assert len(acquired) == 2
    async with acquired[0].result():
        pass
    await group.advance(3)
    assert sum(task.done() for task in tasks) == 3
    for task in tasks:
        task.cancel()


async def test_repeated_lease_gives_the_same_permit(group: Any) -> None:
    home = group.nodes["node-0"].permit_home
    await group.advance(5)
    assert home.lease(lease_request("a")).granted
    assert home.lease(lease_request("a")).granted
    assert home.lease(lease_request("b")).granted
    assert not home.lease(lease_request("c")).granted


async def test_load_with_more_waiting_requests_goes_first(group: Any) -> None:
    home = group.nodes["node-0"].permit_home
    await group.advance(5)
    home.lease(lease_request("a"))
    home.lease(lease_request("b"))
    home.lease(lease_request("little", waiting=1))
    home.lease(lease_request("much", waiting=9))
    home.release_permit("a")
    await group.advance(1)
    assert not home.lease(lease_request("little", waiting=1)).granted
    assert home.lease(lease_request("much", waiting=9)).granted


async def test_lost_permit_expires(group: Any) -> None:
    home = group.nodes["node-0"].permit_home
    await group.advance(5)
    home.lease(lease_request("a"))
    home.lease(lease_request("b"))
    await group.advance(21)
    assert home.lease(lease_request("c")).granted


@pytest.mark.parametrize("free", [0, 1], ids=["waiting", "just granted"])
async def test_cancelled_load_leaves_no_state_behind(
    group: Any, free: int
) -> None:
    await group.advance(5)
    home_name = group.home_of(group.nodes["node-0"].permits.store)
    home = group.nodes[home_name].permit_home
    other = next(name for name in group.nodes if name != home_name)
    permits = group.nodes[other].permits
    for number in range(2 - free):
        home.lease(lease_request(f"other-{number}"))
    task = asyncio.ensure_future(permits.acquire(waiting=1, slack=SLACK))
    # The home has replied, but the reply has not been delivered yet.
    await asyncio.sleep(0)
    assert len(home.active) == 2
    assert not task.done()
    task.cancel()
    await group.advance(0.1)
    assert len(home.active) == 2 - free
    assert home.pending_loads == {}


async def test_local_share_is_used_when_home_is_dead(group: Any) -> None:
    permits = group.nodes["node-0"].permits
    home = group.home_of(permits.store)
    others = [name for name in group.nodes if name != home]
    group.kill(home)
    task = asyncio.ensure_future(
        group.nodes[others[0]].permits.acquire(waiting=1, slack=SLACK)
    )
    await group.advance(4)
    async with task.result():
        pass
    again = asyncio.ensure_future(
        group.nodes[others[0]].permits.acquire(waiting=1, slack=SLACK)
    )
    await group.advance(1)
    assert not again.done()
    await group.advance(3)
    assert again.done()


async def test_permit_can_be_released_after_home_dies(group: Any) -> None:
    permits = group.nodes["node-0"].permits
    home = group.home_of(permits.store)
    holder = next(name for name in group.nodes if name != home)
    await group.advance(5)
    permit = await group.nodes[holder].permits.acquire(waiting=1, slack=SLACK)
    group.kill(home)
    async with permit:
        group.expire_session(home)
