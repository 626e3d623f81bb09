"""Tests of the ownership of engines."""

import asyncio

import pytest

from _dogwoodhinge import errors as node_errors
from _dogwoodhinge import injection
from _dogwoodhinge.ownership import recovery
from _dogwoodhinge.peer import peer_pb2
from dogwoodhinge import models
from dogwoodhinge_lab import small_cluster

ADAPTER = models.AdapterVersion("barrels", "3")
FENCING = [
    pytest.param(True, id="fenced_engine"),
    pytest.param(False, id="engine_without_fencing"),
]


def add_engines(
    cluster: small_cluster.SmallCluster, count: int, *, checks_fencing: bool
) -> None:
    for index in range(count):
        cluster.add_engine(
            f"engine-{index}",
            checks_fencing=checks_fencing,
            zone=small_cluster.ZONES[index % 4],
        )


async def start_owned(
    cluster: small_cluster.SmallCluster,
    *,
    nodes: int = 3,
    engines: int = 1,
    checks_fencing: bool,
) -> small_cluster.Node:
    """Starts nodes and engines; returns the owner of engine-0."""
    add_engines(cluster, engines, checks_fencing=checks_fencing)
    await cluster.start(nodes)
    await cluster.advance(60)
    return owner_of(cluster, "engine-0")


def owner_of(
    cluster: small_cluster.SmallCluster, engine_id: str
) -> small_cluster.Node:
    (owner,) = cluster.owners()[engine_id]
    return cluster.nodes[owner]


def successor_of(
    cluster: small_cluster.SmallCluster, owner: small_cluster.Node
) -> small_cluster.Node:
    """Returns the node that takes over engine-0 if its owner fails."""
    successor = owner.ownership.ranking.best(
        cluster.engines["engine-0"].endpoint, excluding=owner.membership.self_id
    )
    assert successor
    return cluster.nodes[successor.host_id]


def token_of(node: small_cluster.Node, engine_id: str = "engine-0") -> int:
    return node.ownership.owned()[engine_id]


def grant_on(node: small_cluster.Node, request_id: str) -> peer_pb2.Grant:
    return peer_pb2.Grant(
        grant_id=request_id,
        request_id=request_id,
        engine_id="engine-0",
        adapter=ADAPTER.adapter,
        version=ADAPTER.version,
        session_id=node.membership.self_id,
    )


async def wait_until_owned(
    cluster: small_cluster.SmallCluster, limit_seconds: int
) -> int:
    """Advances until each engine has one owner; returns the seconds taken."""
    for second in range(limit_seconds):
        if all(len(owners) == 1 for owners in cluster.owners().values()):
            return second
        await cluster.advance(1)
    return limit_seconds


async def test_each_engine_gets_one_owner_in_its_zone(
    cluster: small_cluster.SmallCluster,
) -> None:
    add_engines(cluster, 9, checks_fencing=True)
    await cluster.start(7)
    assert await wait_until_owned(cluster, 30) < 10
    await cluster.advance(30)
    for engine_id in cluster.owners():
        zone = cluster.engines[engine_id].endpoint.zone
        assert owner_of(cluster, engine_id).settings.zone == zone


@pytest.mark.parametrize("checks_fencing", FENCING)
async def test_takes_over_after_a_kill(
    cluster: small_cluster.SmallCluster, checks_fencing: bool
) -> None:
    owner = await start_owned(
        cluster, nodes=7, engines=9, checks_fencing=checks_fencing
    )
    token = token_of(owner)
    await owner.stop()
    assert await wait_until_owned(cluster, 60) <= (5 if checks_fencing else 26)
    new_token = token_of(owner_of(cluster, "engine-0"))
    assert new_token > token
    if checks_fencing:
        assert cluster.engines["engine-0"].fence == new_token


@pytest.mark.parametrize("checks_fencing", FENCING)
async def test_paused_owner_sends_no_orders_after_it_resumes(
    cluster: small_cluster.SmallCluster, checks_fencing: bool
) -> None:
    owner = await start_owned(cluster, checks_fencing=checks_fencing)
    token = token_of(owner)
    owner.pause()
    await cluster.advance(40)
    # Right after the pause, before any other task of the process has run.
    if checks_fencing:
        assert cluster.engines["engine-0"].fence > token
    else:
        with pytest.raises(node_errors.OwnershipError):
            owner.ownership.check_order("engine-0", token)
    owner.resume()
    await cluster.advance(3)
    with pytest.raises(node_errors.OwnershipError):
        owner.ownership.check_order("engine-0", token)
    assert len(cluster.owners()["engine-0"]) == 1


@pytest.mark.parametrize("checks_fencing", FENCING)
async def test_a_new_session_permits_no_orders_of_the_old_one(
    cluster: small_cluster.SmallCluster, checks_fencing: bool
) -> None:
    """A slow drop of one engine must not keep the others permitted.

    All engines are lost with the session, not one after another.
    """
    owner = await start_owned(
        cluster, nodes=2, engines=8, checks_fencing=checks_fencing
    )
    tokens = dict(owner.ownership.owned())
    assert len(tokens) > 1
    old_id = owner.membership.self_id
    owner.adopter.drop_event = asyncio.Event()
    owner.pause()
    await cluster.advance(40)
    owner.resume()
    for _ in range(20):
        await cluster.advance(0.1)
        if owner.membership.self_id == old_id:
            continue
        for engine_id, token in tokens.items():
            with pytest.raises(node_errors.OwnershipError):
                owner.ownership.check_order(engine_id, token)
    owner.adopter.drop_event.set()
    assert owner.membership.self_id != old_id


@pytest.mark.parametrize(
    "step", [injection.Step.TAKEOVER, injection.Step.RECOVER]
)
async def test_engine_gets_an_owner_when_one_node_hangs(
    cluster: small_cluster.SmallCluster, step: injection.Step
) -> None:
    owner = await start_owned(cluster, nodes=5, checks_fencing=True)
    hung: list[int] = []

    async def hang_first() -> None:
        if not hung:
            hung.append(1)
            await injection.hang()

    injection.arm(step, hang_first)
    await owner.stop()
    await cluster.advance(40)
    injection.disarm_all()
    assert hung
    assert len(cluster.owners()["engine-0"]) == 1


@pytest.mark.parametrize("checks_fencing", FENCING)
@pytest.mark.parametrize("pause", ["pause_before", "pause_after"])
async def test_successor_paused_at_its_takeover(
    cluster: small_cluster.SmallCluster, pause: str, checks_fencing: bool
) -> None:
    """It resumes after another node took over, and must not act as the owner.

    Later the other node may hand it the engine over, under a newer token.
    """
    owner = await start_owned(cluster, nodes=5, checks_fencing=checks_fencing)
    successor = successor_of(cluster, owner)

    async def pause_successor() -> None:
        injection.disarm_all()
        setattr(successor.table, pause, True)

    injection.arm(injection.Step.TAKEOVER, pause_successor)
    await owner.stop()
    await cluster.advance(90)
    assert successor.paused
    token = token_of(owner_of(cluster, "engine-0"))
    successor.resume()
    for _ in range(100):
        assert successor.ownership.owned().get("engine-0", token + 1) > token
        assert len(cluster.owners()["engine-0"]) <= 1
        await cluster.advance(0.1)


async def test_racing_takeovers_leave_one_owner(
    cluster: small_cluster.SmallCluster, monkeypatch: pytest.MonkeyPatch
) -> None:
    owner = await start_owned(cluster, nodes=6, checks_fencing=True)
    others = [n for n in cluster.nodes.values() if n is not owner]
    for node in others:
        monkeypatch.setattr(node.ownership.unowned, "_is_turn", lambda *_: True)
    token = token_of(owner)
    await owner.stop()
    await cluster.advance(40)
    assert len(cluster.owners()["engine-0"]) == 1
    assert token_of(owner_of(cluster, "engine-0")) == token + 1


@pytest.mark.parametrize("checks_fencing", FENCING)
async def test_joining_node_gets_a_share_of_the_engines(
    cluster: small_cluster.SmallCluster, checks_fencing: bool
) -> None:
    await start_owned(
        cluster, nodes=1, engines=12, checks_fencing=checks_fencing
    )
    await cluster.add_node("newcomer").start()
    await cluster.advance(60)
    newcomer = cluster.nodes["newcomer"].ownership.owned()
    assert 2 <= len(newcomer) <= 10
    assert all(len(owners) == 1 for owners in cluster.owners().values())


async def test_rebalancing_moves_one_engine_at_a_time(
    cluster: small_cluster.SmallCluster,
) -> None:
    await start_owned(cluster, nodes=1, engines=12, checks_fencing=True)
    await cluster.add_node("newcomer").start()
    before = 0
    for _ in range(40):
        await cluster.advance(1)
        owned = len(cluster.nodes["newcomer"].ownership.owned())
        assert owned <= before + 1
        before = owned


async def test_rebalancing_does_not_hand_over_to_a_failed_node(
    cluster: small_cluster.SmallCluster,
) -> None:
    """A failed node's session stays live for some seconds.

    A hand-over to it would leave the engine without an owner for 2 seconds.
    """
    await start_owned(cluster, nodes=1, engines=12, checks_fencing=True)
    newcomer = cluster.add_node("newcomer")
    await newcomer.start()
    owned = 0
    while not owned:
        await cluster.advance(0.1)
        owned = len(newcomer.ownership.owned())
    await newcomer.stop()
    owner = next(n for n in cluster.nodes.values() if n is not newcomer)
    kept = owner.ownership.owned().keys()
    await cluster.advance(3.5)
    assert owner.ownership.owned().keys() >= kept


async def test_rebalancing_does_not_trigger_shutdown_steps(
    cluster: small_cluster.SmallCluster,
) -> None:
    """Handing over to a new node must not reach the DRAIN injection step.

    Otherwise a fault armed for a shutdown stops a node that only rebalances,
    before the request under test has begun to stream.
    """
    reached: list[injection.Step] = []

    async def record_drain() -> None:
        reached.append(injection.Step.DRAIN)

    async def record_hand_over() -> None:
        reached.append(injection.Step.HAND_OVER)

    await start_owned(cluster, nodes=1, engines=12, checks_fencing=True)
    injection.arm(injection.Step.DRAIN, record_drain)
    injection.arm(injection.Step.HAND_OVER, record_hand_over)
    await cluster.add_node("newcomer").start()
    await cluster.advance(60)
    injection.disarm_all()
    assert set(reached) == {injection.Step.HAND_OVER}


@pytest.mark.parametrize("checks_fencing", FENCING)
async def test_drain_hands_over_grants_and_residents(
    cluster: small_cluster.SmallCluster, checks_fencing: bool
) -> None:
    owner = await start_owned(cluster, checks_fencing=checks_fencing)
    grant = grant_on(owner, "request-1")
    owner.adopter.state = recovery.OwnedState((grant,), (ADAPTER,))
    await owner.membership.start_drain()
    await owner.ownership.hand_over_all()
    await cluster.advance(3)
    successor = owner_of(cluster, "engine-0")
    assert successor is not owner
    state = successor.adopter.recoveries["engine-0"]
    assert state.grants == (grant,)
    assert state.residents == (ADAPTER,)
    assert not state.pinned


async def test_successor_recovers_when_the_hand_over_is_lost(
    cluster: small_cluster.SmallCluster,
) -> None:
    owner = await start_owned(cluster, checks_fencing=True)
    grant = grant_on(owner, "request-1")
    owner.grants.append(grant)
    cluster.cuts = {(owner.host_id, name) for name in cluster.nodes}
    await owner.membership.start_drain()
    draining = asyncio.create_task(owner.ownership.hand_over_all())
    await cluster.advance(10)
    await draining
    successor = owner_of(cluster, "engine-0")
    assert successor is not owner
    assert successor.adopter.recoveries["engine-0"].grants == (grant,)


async def test_engine_keeps_one_owner_when_the_table_fails_during_a_hand_over(
    cluster: small_cluster.SmallCluster,
) -> None:
    owner = await start_owned(cluster, checks_fencing=True)
    other = next(n for n in cluster.nodes.values() if n is not owner)
    owner.table.read_only = True
    await owner.ownership._hand_over(  # noqa: SLF001
        "engine-0", other.membership.own, "test"
    )
    owner.table.read_only = False
    await cluster.advance(5)
    assert len(cluster.owners()["engine-0"]) == 1


async def test_residents_are_pinned_until_every_session_has_answered(
    cluster: small_cluster.SmallCluster,
) -> None:
    owner = await start_owned(cluster, nodes=4, checks_fencing=True)
    silent = next(n for n in cluster.nodes.values() if n is not owner)
    cluster.engines["engine-0"].residents = (ADAPTER,)
    grant = grant_on(silent, "request-1")
    silent.grants.append(grant)
    cluster.cuts = {(name, silent.host_id) for name in cluster.nodes}
    await owner.stop()
    await cluster.advance(8)
    successor = owner_of(cluster, "engine-0")
    state = successor.adopter.recoveries["engine-0"]
    assert state.residents == (ADAPTER,)
    assert state.pinned
    cluster.cuts = set()
    await cluster.advance(20)
    assert not state.pinned
    assert grant in state.grants
    assert silent.min_tokens["engine-0"] == token_of(successor)


async def test_requests_of_a_failed_entry_node_stay_pinned_until_they_end(
    cluster: small_cluster.SmallCluster,
) -> None:
    owner = await start_owned(cluster, checks_fencing=True)
    engine = cluster.engines["engine-0"]
    engine.residents = (ADAPTER,)
    engine.running = (models.RunningRequest("request-1", ADAPTER),)
    await owner.stop()
    await cluster.advance(60)
    state = owner_of(cluster, "engine-0").adopter.recoveries["engine-0"]
    assert state.pinned
    engine.running = (models.RunningRequest("request-2", ADAPTER),)
    await cluster.advance(5)
    assert not state.pinned


async def test_report_from_before_the_failure_unpins_nothing(
    cluster: small_cluster.SmallCluster,
) -> None:
    owner = await start_owned(cluster, checks_fencing=True)
    engine = cluster.engines["engine-0"]
    engine.residents = (ADAPTER,)
    await owner.stop()
    for _ in range(40):
        engine.age += type(engine.age)(seconds=1)
        await cluster.advance(1)
    state = owner_of(cluster, "engine-0").adopter.recoveries["engine-0"]
    assert state.pinned


async def test_owner_is_read_again_after_invalidation(
    cluster: small_cluster.SmallCluster,
) -> None:
    await start_owned(cluster, checks_fencing=True)
    node = cluster.nodes["node-0"]
    record = node.ownership.cache.records.pop("engine-0")
    assert node.ownership.owner("engine-0") is None
    node.ownership.invalidate("engine-0")
    await cluster.advance(1)
    assert node.ownership.owner("engine-0") == record


async def test_engine_that_left_the_list_is_dropped(
    cluster: small_cluster.SmallCluster,
) -> None:
    owner = await start_owned(cluster, checks_fencing=True)
    del cluster.hosts.endpoints["engine-0"]
    await cluster.advance(6)
    assert not owner.ownership.owned()
    assert not owner.adopter.adopted


async def test_takeover_waits_for_an_engine_that_does_not_answer(
    cluster: small_cluster.SmallCluster,
) -> None:
    """No order is sent before the fence is raised."""
    owner = await start_owned(cluster, checks_fencing=True)
    engine = cluster.engines["engine-0"]
    engine.failing = True
    await owner.stop()
    await cluster.advance(20)
    assert cluster.owners()["engine-0"] == set()
    engine.failing = False
    await cluster.advance(3)
    assert engine.fence == token_of(owner_of(cluster, "engine-0"))


async def test_fence_is_raised_again_after_the_engine_restarted(
    cluster: small_cluster.SmallCluster,
) -> None:
    owner = await start_owned(cluster, checks_fencing=True)
    cluster.engines["engine-0"].fence = 0
    await cluster.advance(6)
    assert cluster.engines["engine-0"].fence == token_of(owner)


async def test_owner_drops_an_engine_that_has_seen_a_newer_owner(
    cluster: small_cluster.SmallCluster,
) -> None:
    owner = await start_owned(cluster, nodes=1, checks_fencing=True)
    owner.table.cut = True
    cluster.engines["engine-0"].fence = 99
    await cluster.advance(6)
    assert not owner.ownership.owned()
    assert not owner.adopter.adopted
