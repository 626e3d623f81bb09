"""Tests of sessions: join, renewal, lapse, drain and end."""

import asyncio
import datetime

import pytest

from _dogwoodhinge.membership import events
from _dogwoodhinge.membership import sessions
from dogwoodhinge_lab import memory_table
from dogwoodhinge_lab import small_cluster

STATE = sessions.SessionState
LAPSE_SECONDS = 9.2 + 3 + 3 + 1  # lease, phase, watch interval, poll


def states_seen_by(node: small_cluster.Node) -> dict[str, STATE]:
    return {
        session.host_id: session.state
        for session in sorted(
            node.membership.roster.sessions.values(),
            key=lambda s: s.joined_sequence,
        )
    }


async def test_all_nodes_see_all_sessions(
    cluster: small_cluster.SmallCluster,
) -> None:
    await cluster.start(7)
    await cluster.advance(2)
    for node in cluster.nodes.values():
        assert len(node.membership.live()) == 7
        assert len(node.membership.peers()) == 6


async def test_a_killed_node_is_lapsed_once(
    cluster: small_cluster.SmallCluster,
) -> None:
    await cluster.start(7)
    await cluster.advance(10)
    await cluster.nodes["node-3"].stop()
    await cluster.advance(LAPSE_SECONDS)
    for name, node in cluster.nodes.items():
        if name != "node-3":
            assert states_seen_by(node)["node-3"] is STATE.LAPSED
    log = events.EventLog(table=cluster.table, clock=cluster.clock)
    kinds = [event.kind for event in await log.read_after(0)]
    assert kinds.count(events.EventKind.LAPSE) == 1


async def test_a_paused_node_begins_a_new_session_after_it_was_lapsed(
    cluster: small_cluster.SmallCluster,
) -> None:
    await cluster.start(3)
    await cluster.advance(10)
    node = cluster.nodes["node-1"]
    old_id = node.membership.self_id
    node.pause()
    await cluster.advance(30)
    assert not node.membership.holds_lease()
    node.resume()
    await cluster.advance(5)
    assert node.membership.self_id != old_id
    assert node.membership.holds_lease()
    peer = cluster.nodes["node-0"].membership
    assert peer.is_inactive(old_id)
    assert not peer.is_inactive(node.membership.self_id)
    assert len(peer.known()) == 3


@pytest.mark.parametrize(
    "fault",
    [memory_table.Fault.ANSWER_LOST, memory_table.Fault.LOST_BEFORE],
    ids=lambda fault: str(fault),
)
async def test_renewal_continues_after_a_lost_answer(
    cluster: small_cluster.SmallCluster, fault: memory_table.Fault
) -> None:
    await cluster.start(1)
    node = cluster.nodes["node-0"]
    session_id = node.membership.self_id
    cluster.table.commit_faults = [fault]
    await cluster.advance(30)
    assert not cluster.table.commit_faults
    assert node.membership.self_id == session_id
    assert node.membership.holds_lease()


async def test_a_join_whose_answer_is_lost_takes_effect_once(
    cluster: small_cluster.SmallCluster,
) -> None:
    cluster.table.commit_faults = [memory_table.Fault.ANSWER_LOST]
    await cluster.start(1)
    await cluster.advance(10)
    assert len(cluster.nodes["node-0"].membership.roster.sessions) == 1


async def test_lease_counts_from_the_start_of_the_renewal(
    cluster: small_cluster.SmallCluster,
) -> None:
    await cluster.start(1)
    node = cluster.nodes["node-0"]
    node.table.cut = True
    elapsed = node.clock.monotonic() - node.membership.renewed_at
    await cluster.advance(8.9 - elapsed)
    assert node.membership.holds_lease()
    await cluster.advance(0.101)
    assert not node.membership.holds_lease()


async def test_slow_answer_shortens_the_lease(
    cluster: small_cluster.SmallCluster,
) -> None:
    await cluster.start(1)
    node = cluster.nodes["node-0"]
    node.table.delay = datetime.timedelta(seconds=2)
    began = node.membership.renewed_at
    await cluster.advance(5.1)
    assert node.membership.renewed_at == pytest.approx(began + 3)
    node.table.cut = True
    await cluster.advance(6.9)
    assert not node.membership.holds_lease()


async def test_joins_once_the_table_answers(
    cluster: small_cluster.SmallCluster,
) -> None:
    node = cluster.add_node("node-0")
    node.table.cut = True
    await node.start()
    await cluster.advance(10)
    assert not node.membership.holds_lease()
    node.table.cut = False
    await cluster.advance(4)
    assert node.membership.holds_lease()


async def test_drain_and_end_are_seen_by_the_others(
    cluster: small_cluster.SmallCluster,
) -> None:
    await cluster.start(3)
    leaving = cluster.nodes["node-1"].membership
    observer = cluster.nodes["node-0"]
    await leaving.start_drain()
    await cluster.advance(2)
    assert states_seen_by(observer)["node-1"] is STATE.DRAINING
    assert len(observer.membership.live()) == 2
    assert len(observer.membership.known()) == 3
    await leaving.end()
    await cluster.advance(2)
    assert states_seen_by(observer)["node-1"] is STATE.ENDED
    assert len(observer.membership.known()) == 2
    await cluster.advance(30)
    assert not leaving.holds_lease()


async def test_known_has_a_lapsed_session_while_its_host_is_listed(
    cluster: small_cluster.SmallCluster,
) -> None:
    await cluster.start(3)
    await cluster.nodes["node-2"].stop()
    await cluster.advance(30)
    membership = cluster.nodes["node-0"].membership
    assert len(membership.known()) == 3
    del cluster.hosts.endpoints["node-2"]
    await cluster.advance(5)
    assert len(membership.known()) == 2


async def test_a_node_that_misses_deleted_events_scans(
    cluster: small_cluster.SmallCluster, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(events, "MAX_EVENTS", 2)
    await cluster.start(1)
    first = cluster.nodes["node-0"]
    first.pause()
    for index in range(1, 6):
        await cluster.add_node(f"node-{index}").start()
    rescans: list[int] = []
    first.membership.roster.rescan_listeners.append(lambda: rescans.append(1))
    first.resume()
    await cluster.advance(3)
    assert rescans == [1]
    assert len(first.membership.live()) == 6
    assert first.membership.roster.sequence == 6


async def test_two_joins_at_once_both_take_effect(
    cluster: small_cluster.SmallCluster,
) -> None:
    nodes = [cluster.add_node(f"node-{index}") for index in range(5)]
    await asyncio.gather(*(node.start() for node in nodes))
    await cluster.advance(5)
    assert all(len(node.membership.live()) == 5 for node in nodes)
    assert nodes[0].membership.roster.sequence == 5
