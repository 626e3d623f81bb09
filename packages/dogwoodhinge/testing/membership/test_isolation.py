"""Tests of what nodes may do while they can't reach the table."""

import asyncio

import pytest

from _dogwoodhinge.membership import isolation
from _dogwoodhinge.membership import sessions
from dogwoodhinge_lab import small_cluster

STATUS = isolation.IsolationStatus
SETTLED_SECONDS = 10
DETECT_SECONDS = 7  # staleness limit, one status update, one reply


async def start_seven(cluster: small_cluster.SmallCluster) -> None:
    await cluster.start(7)
    await cluster.advance(SETTLED_SECONDS)


def names(first: int, last: int) -> list[str]:
    return [f"node-{index}" for index in range(first, last)]


async def test_all_nodes_continue_if_none_reaches_the_table(
    cluster: small_cluster.SmallCluster,
) -> None:
    await start_seven(cluster)
    cluster.cut_table(*names(0, 7))
    for _ in range(60):
        await cluster.advance(1)
        for node in cluster.nodes.values():
            assert node.isolation.may_serve()
            assert node.isolation.may_place()


@pytest.mark.parametrize("fault", ["cut", "read_only"])
async def test_no_session_is_lapsed_after_an_outage(
    cluster: small_cluster.SmallCluster, fault: str
) -> None:
    """Watchers ignore a time in which they could not renew themselves."""
    await start_seven(cluster)
    for node in cluster.nodes.values():
        setattr(node.table, fault, True)
    await cluster.advance(61.5)
    for node in cluster.nodes.values():
        setattr(node.table, fault, False)
        await cluster.advance(0.9)
    await cluster.advance(30)
    states = {
        session.state
        for session in cluster.nodes[
            "node-0"
        ].membership.roster.sessions.values()
    }
    assert states == {sessions.SessionState.LIVE}


@pytest.mark.parametrize("count", [1, 3])
async def test_a_cut_off_minority_stops(
    cluster: small_cluster.SmallCluster, count: int
) -> None:
    await start_seven(cluster)
    cluster.cut_table(*names(0, count))
    await cluster.advance(SETTLED_SECONDS + DETECT_SECONDS)
    for index, node in enumerate(cluster.nodes.values()):
        assert node.isolation.may_serve() is (index >= count)
        assert node.isolation.may_place() is (index >= count)
    assert await _count(cluster, "node-6") is True


async def test_a_cut_off_majority_continues_and_stops_changes(
    cluster: small_cluster.SmallCluster,
) -> None:
    await start_seven(cluster)
    cluster.cut_table(*names(0, 4))
    for _ in range(60):
        await cluster.advance(1)
        for node in cluster.nodes.values():
            assert node.isolation.may_serve()
            assert node.isolation.may_place()
    assert await _count(cluster, "node-6") is False


async def test_exactly_half_is_no_majority_on_either_side(
    cluster: small_cluster.SmallCluster,
) -> None:
    await cluster.start(6)
    await cluster.advance(SETTLED_SECONDS)
    cluster.cut_table(*names(0, 3))
    await cluster.advance(SETTLED_SECONDS + DETECT_SECONDS)
    assert not cluster.nodes["node-0"].isolation.may_serve()
    assert not cluster.nodes["node-0"].isolation.may_place()
    assert await _count(cluster, "node-5") is False


async def test_sessions_that_joined_later_have_no_vote_against_the_cut_off(
    cluster: small_cluster.SmallCluster,
) -> None:
    """Four of seven are cut off and continue; later joins have no vote."""
    await start_seven(cluster)
    cluster.cut_table(*names(0, 4))
    await cluster.advance(DETECT_SECONDS)
    for index in range(7, 14):
        await cluster.add_node(f"node-{index}").start()
    await cluster.advance(SETTLED_SECONDS)
    assert cluster.nodes["node-0"].isolation.may_place()
    assert await _count(cluster, "node-6") is False


async def test_node_that_reaches_no_peer_is_isolated_within_seconds(
    cluster: small_cluster.SmallCluster,
) -> None:
    await start_seven(cluster)
    cluster.cut_table(*names(0, 7))
    cluster.cuts = {
        (one, other)
        for one in cluster.nodes
        for other in cluster.nodes
        if "node-0" in (one, other)
    }
    await cluster.advance(DETECT_SECONDS)
    assert cluster.nodes["node-0"].isolation.status is STATUS.ISOLATED
    assert cluster.nodes["node-1"].isolation.status is STATUS.HOLDING


async def test_suspended_placement_stays_suspended_until_a_renewal(
    cluster: small_cluster.SmallCluster,
) -> None:
    """A later outage of all nodes must not resume placement.

    The other nodes reached the table after the first node's lease expired.
    """
    await start_seven(cluster)
    cluster.cut_table("node-0")
    await cluster.advance(SETTLED_SECONDS + DETECT_SECONDS)
    cluster.cut_table(*names(1, 7))
    await cluster.advance(30)
    assert not cluster.nodes["node-0"].isolation.may_place()
    assert cluster.nodes["node-1"].isolation.may_place()


async def test_peers_that_reached_the_table_after_the_lease_do_not_count(
    cluster: small_cluster.SmallCluster,
) -> None:
    """Peers that are cut off again may have renewed in between."""
    await start_seven(cluster)
    cluster.cut_table(*names(0, 7))
    await cluster.advance(20)
    cut_off = cluster.nodes["node-0"].isolation
    assert cut_off.may_place()
    for name in names(1, 5):
        cluster.nodes[name].table.cut = False
    await cluster.advance(3)
    cluster.cut_table(*names(1, 5))
    await cluster.advance(isolation.MAX_REPORT_AGE.total_seconds() + 1)
    assert not cut_off.may_place()


async def test_report_of_a_gone_host_counts_until_it_expires(
    cluster: small_cluster.SmallCluster,
) -> None:
    """A host may have reached the table right before it was removed."""
    await start_seven(cluster)
    cluster.cut_table(*names(0, 7))
    await cluster.advance(20)
    isolation_ = cluster.nodes["node-0"].isolation
    for name in names(3, 7):
        await cluster.nodes[name].stop()
        del cluster.hosts.endpoints[name]
    suspended = []
    for _ in range(20):
        await cluster.advance(1)
        suspended.append(not isolation_.may_place())
    assert suspended[-1]


def test_age_of_a_report_is_rounded_up_and_time_since_contact_down(
    cluster: small_cluster.SmallCluster,
) -> None:
    node = cluster.add_node("node-0")
    now = node.clock.monotonic()
    report = isolation.ReachabilityReport(
        reported_at=now - 0.0014, reached_at=now - 0.0016
    )
    node.isolation.latest_reports["peer"] = report
    reply = node.isolation.encode({"peer": report})
    assert reply.ages[0].heard_ms_ago == 2
    assert reply.ages[0].reached_ms_ago == 1


async def _count(cluster: small_cluster.SmallCluster, name: str) -> bool:
    """Returns `majority_renewed` of a node while the clock advances."""
    counting = asyncio.create_task(
        cluster.nodes[name].membership.majority_renewed()
    )
    while not counting.done():
        await cluster.advance(0.25)
    return counting.result()
