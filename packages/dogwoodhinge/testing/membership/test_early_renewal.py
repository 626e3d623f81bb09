"""Tests of the early renewal after another session joined."""

import asyncio

from dogwoodhinge_lab import small_cluster

POLLED_SECONDS = 1.5  # after one poll of the events, before a renewal
COUNT_SECONDS = 5.0


async def test_node_cut_off_right_after_the_start_does_not_stop_changes(
    cluster: small_cluster.SmallCluster,
) -> None:
    """A node whose row covers no other session could not be outvoted.

    Without the early renewal, the row of the first node covers no other.
    """
    await cluster.start(3)
    await cluster.advance(POLLED_SECONDS)
    cluster.cut_table("node-0")
    counting = asyncio.create_task(
        cluster.nodes["node-1"].membership.majority_renewed()
    )
    await cluster.advance(COUNT_SECONDS)
    assert counting.done()
    assert counting.result()


async def test_no_early_renewals_while_no_session_joins(
    cluster: small_cluster.SmallCluster,
) -> None:
    await cluster.start(3)
    await cluster.advance(10)
    table = cluster.nodes["node-0"].table
    before = table.commits
    await cluster.advance(30)
    assert table.commits - before == 10
