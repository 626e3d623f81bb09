"""Tests of `_dogwoodhinge.config.view`."""

from collections.abc import Awaitable, Callable
import dataclasses
import datetime
from typing import Any

import pytest

from _dogwoodhinge.config import peer_source
from _dogwoodhinge.config import records
from _dogwoodhinge.config import view as view_lib
from _dogwoodhinge.peer import peer_pb2
from dogwoodhinge_lab import config_nodes
from dogwoodhinge_lab import manual_clock
from dogwoodhinge_lab import memory_table

SECOND = datetime.timedelta(seconds=1)
TABLE_DOWN = memory_table.Fault.UNAVAILABLE

MakeDraft = Callable[..., records.ChangeDraft]
Cluster = config_nodes.ConfigCluster
Put = Callable[[int], Awaitable[None]]


@pytest.fixture
def put(cluster: Cluster, make_draft: MakeDraft) -> Put:
    """Appends changes, each of a new customer, up to a revision."""
    log = cluster.make_log()

    async def put_up_to(revision: int) -> None:
        for number in range(await log.head() + 1, revision + 1):
            draft = make_draft(str(number), f"customer-{number}")
            await log.append(draft, expected_revision=0)

    return put_up_to


@pytest.fixture
def own_table() -> memory_table.MemoryTable:
    """A table for one node only, separate from that of the other nodes."""
    return memory_table.MemoryTable()


async def test_applies_changes_in_order(cluster: Cluster, put: Put) -> None:
    view = cluster.add("node-1").view
    revisions: list[int] = []
    view.listeners.append(revisions.append)
    await view.poll()
    assert view.loaded  # An empty configuration counts as loaded.
    await put(3)
    await view.poll()
    assert view.revision == view.head_revision == 3
    assert revisions == [3]
    contract = view.contract_for_key("key-customer-2")
    assert contract is not None
    assert contract.customer == "customer-2"
    assert [c.customer for c in view.contracts()] == [
        f"customer-{n}" for n in (1, 2, 3)
    ]


async def test_change_is_in_force_within_two_polls(
    cluster: Cluster,
    put: Put,
    clock: manual_clock.ManualClock,
) -> None:
    views = [cluster.add(f"node-{n}").view for n in range(7)]
    for view in views:
        await view.start()
    await clock.advance(SECOND)
    await put(1)
    await clock.advance(2 * SECOND)
    assert [view.revision for view in views] == [1] * 7
    for view in views:
        await view.stop()


async def test_known_newer_revision_triggers_early_poll(
    cluster: Cluster,
    put: Put,
    clock: manual_clock.ManualClock,
) -> None:
    view = cluster.add("node-1").view
    await view.start()
    await clock.advance(datetime.timedelta(0))
    await put(1)
    view.observe_revision(1)
    await clock.advance(datetime.timedelta(0))
    assert view.revision == 1
    await view.stop()


async def test_new_node_starts_from_snapshot_and_later_changes(
    cluster: Cluster,
    put: Put,
    table: memory_table.MemoryTable,
) -> None:
    await put(5)
    first = cluster.add("node-1").view
    await first.poll()
    await first.config_log.snapshots.write(first.applied.make_snapshot())
    await put(7)
    for revision in (1, 2):  # Trimmed from the table.
        del table.rows[records.TABLE, records.Keys.change(revision)]
    second = cluster.add("node-2").view
    await second.poll()
    assert second.revision == 7
    assert len(second.contracts()) == 7


async def test_truncated_snapshot_is_skipped(
    cluster: Cluster, put: Put
) -> None:
    first = cluster.add("node-1").view
    await put(2)
    await first.poll()
    await first.config_log.snapshots.write(first.applied.make_snapshot())
    await put(4)
    await first.poll()
    await first.config_log.snapshots.write(first.applied.make_snapshot())
    newest = max(cluster.objects.data)
    cluster.objects.data[newest] = cluster.objects.data[newest][:-20]
    snapshot = await first.config_log.snapshots.newest()
    assert snapshot is not None
    assert snapshot.revision == 2


async def test_snapshot_is_written_every_hundred_revisions(
    cluster: Cluster, make_draft: MakeDraft
) -> None:
    view = cluster.add("node-1").view
    interval = view_lib.SNAPSHOT_INTERVAL_REVISIONS
    for number in range(1, 2 * interval + 1):
        draft = make_draft(str(number), f"customer-{number}")
        await view.config_log.append(draft, expected_revision=0)
        await view.poll()
    revisions = [int(key.split("/")[-1][:20]) for key in cluster.objects.data]
    assert revisions == [interval, 2 * interval]


async def test_fetches_changes_from_peer_that_reaches_the_table(
    cluster: Cluster,
    put: Put,
    own_table: memory_table.MemoryTable,
    clock: manual_clock.ManualClock,
) -> None:
    own_table.fault = TABLE_DOWN
    disconnected = cluster.add("node-1", table=own_table).view
    connected = cluster.add("node-2").view
    await put(150)  # More than a page.
    await connected.poll()
    await clock.advance(SECOND)
    await disconnected.poll()
    assert disconnected.revision == 150
    assert disconnected.loaded
    latest = clock.monotonic() - peer_source.HEAD_MAX_AGE.total_seconds()
    assert disconnected.last_fresh_at == latest


async def test_new_node_is_not_loaded_when_no_peer_is_fresh(
    cluster: Cluster,
    put: Put,
    table: memory_table.MemoryTable,
    clock: manual_clock.ManualClock,
) -> None:
    """A node that starts in an outage must not serve a stale configuration."""
    await put(2)
    old = cluster.add("node-1").view
    await old.poll()
    table.fault = TABLE_DOWN
    await clock.advance(peer_source.HEAD_MAX_AGE + SECOND)
    new = cluster.add("node-2").view
    await new.poll()
    assert new.revision == 2
    assert not new.loaded
    assert new.last_fresh_at == float("-inf")
    table.fault = memory_table.Fault.NONE
    await new.poll()
    assert new.loaded


async def test_node_behind_the_known_head_is_not_fresh(
    cluster: Cluster,
    put: Put,
    own_table: memory_table.MemoryTable,
) -> None:
    own_table.fault = TABLE_DOWN
    disconnected = cluster.add("node-1", table=own_table).view
    connected = cluster.add("node-2").view
    await put(1)
    await connected.poll()
    disconnected.observe_revision(2)
    await disconnected.poll()
    assert disconnected.revision == 1
    assert not disconnected.loaded


def reverse_changes(
    reply: peer_pb2.FetchChangesReply,
) -> peer_pb2.FetchChangesReply:
    changes = list(reply.changes)
    del reply.changes[:]
    reply.changes.extend(reversed(changes))
    return reply


def drop_second_change(
    reply: peer_pb2.FetchChangesReply,
) -> peer_pb2.FetchChangesReply:
    del reply.changes[1]
    return reply


def truncate_first_change(
    reply: peer_pb2.FetchChangesReply,
) -> peer_pb2.FetchChangesReply:
    reply.changes[0].body = reply.changes[0].body[:-9]
    return reply


@pytest.mark.parametrize(
    "change_reply",
    [
        pytest.param(reverse_changes, id="out of order"),
        pytest.param(drop_second_change, id="gap"),
        pytest.param(truncate_first_change, id="truncated"),
    ],
)
async def test_invalid_reply_of_a_peer_is_not_applied(
    change_reply: Any,
    cluster: Cluster,
    put: Put,
    own_table: memory_table.MemoryTable,
) -> None:
    own_table.fault = TABLE_DOWN
    disconnected = cluster.add("node-1", table=own_table).view
    connected = cluster.add("node-2").view
    await put(3)
    await connected.poll()
    cluster.change_reply = change_reply
    await disconnected.poll()
    assert disconnected.revision == 0
    assert not disconnected.loaded


async def test_revision_never_decreases(
    cluster: Cluster,
    put: Put,
    table: memory_table.MemoryTable,
    own_table: memory_table.MemoryTable,
) -> None:
    """A table reset to an older state, or an older peer, reverts no change."""
    behind = cluster.add("node-2", table=own_table).view
    await put(1)
    own_table.rows.update(table.rows)
    await behind.poll()
    view = cluster.add("node-1").view
    await put(3)
    await view.poll()
    fresh_at = view.last_fresh_at
    table.rows.clear()
    table.rows.update(own_table.rows)
    await view.poll()
    assert view.revision == 3
    table.fault = TABLE_DOWN
    await view.poll()
    assert view.revision == 3
    assert view.last_fresh_at == fresh_at


async def test_falls_back_to_snapshot_when_peer_dropped_the_changes(
    cluster: Cluster,
    put: Put,
    own_table: memory_table.MemoryTable,
) -> None:
    own_table.fault = TABLE_DOWN
    connected = cluster.add("node-2").view
    await put(3)
    await connected.poll()
    await connected.config_log.snapshots.write(
        connected.applied.make_snapshot()
    )
    connected.recent.clear()
    await put(4)
    await connected.poll()
    disconnected = cluster.add("node-1", table=own_table).view
    await disconnected.poll()
    assert disconnected.revision == 4
    assert disconnected.loaded


async def test_poll_continues_when_no_peer_replies(
    cluster: Cluster, table: memory_table.MemoryTable
) -> None:
    table.fault = TABLE_DOWN
    view = cluster.add("node-1").view
    for host_id in ("node-2", "node-3", "node-4"):
        cluster.add(host_id)
        cluster.cut_off.add(host_id)
    await view.poll()
    assert cluster.calls["FetchChanges"] == peer_source.PEERS_PER_POLL
    assert not view.loaded


async def test_own_change_reaches_peers_when_the_table_fails(
    cluster: Cluster,
    make_draft: MakeDraft,
    table: memory_table.MemoryTable,
    clock: manual_clock.ManualClock,
) -> None:
    """The table fails right after the commit, before any node has polled."""
    views = [cluster.add(f"node-{n}").view for n in range(3)]
    for view in views:
        await view.poll()
    await views[0].config_log.append(make_draft("1"), expected_revision=0)
    table.fault = TABLE_DOWN
    await clock.advance(peer_source.HEAD_MAX_AGE + SECOND)
    for view in views:
        await view.poll()
    assert [view.revision for view in views] == [1, 1, 1]


async def test_node_that_stays_behind_stops_serving(
    cluster: Cluster,
    put: Put,
    table: memory_table.MemoryTable,
    clock: manual_clock.ManualClock,
) -> None:
    """A change that can't be decoded must not keep an old contract in force."""
    view = cluster.add("node-1").view
    await put(1)
    await view.poll()
    await put(2)
    name = (records.TABLE, records.Keys.change(2))
    good = table.rows[name]
    table.rows[name] = dataclasses.replace(good, value=b"{}")
    await view.poll()
    await clock.advance(view_lib.MAX_LAG)
    await view.poll()
    assert view.loaded
    await clock.advance(SECOND)
    assert not view.loaded
    table.rows[name] = good
    await view.poll()
    assert view.loaded
    assert view.revision == 2
