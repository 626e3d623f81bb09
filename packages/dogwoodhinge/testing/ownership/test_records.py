"""Tests of the ownership rows."""

import pytest

from _dogwoodhinge.membership import events
from _dogwoodhinge.ownership import errors
from _dogwoodhinge.ownership import records
from dogwoodhinge_lab import manual_clock
from dogwoodhinge_lab import memory_table
from dogwoodhinge_lab import small_cluster

FAULT = memory_table.Fault


@pytest.fixture
def table() -> memory_table.MemoryTable:
    return memory_table.MemoryTable()


@pytest.fixture
def owners(table: memory_table.MemoryTable) -> records.OwnerTable:
    log = events.EventLog(table=table, clock=manual_clock.ManualClock())
    return records.OwnerTable(table=table, event_log=log)


async def test_token_increases_with_each_change(
    owners: records.OwnerTable,
) -> None:
    first = await owners.change(None, engine_id="e", session_id="one")
    second = await owners.change(first, engine_id="e", session_id="two")
    assert (first.token, second.token) == (1, 2)
    assert await owners.read("e") == second
    assert await owners.read_all() == {"e": second}


async def test_event_carries_the_row(owners: records.OwnerTable) -> None:
    written = await owners.change(None, engine_id="e", session_id="one")
    (event,) = await owners.event_log.read_after(0)
    assert records.decode_event(event) == written


async def test_change_based_on_an_outdated_row_fails(
    owners: records.OwnerTable,
) -> None:
    first = await owners.change(None, engine_id="e", session_id="one")
    second = await owners.change(first, engine_id="e", session_id="two")
    with pytest.raises(errors.TakeoverLostError):
        await owners.change(first, engine_id="e", session_id="three")
    assert await owners.read("e") == second


@pytest.mark.parametrize(
    ("fault", "in_force"),
    [
        pytest.param(FAULT.ANSWER_LOST, True, id="answer_lost"),
        pytest.param(FAULT.LOST_BEFORE, False, id="lost_before_its_effect"),
    ],
)
async def test_unknown_outcome_is_resolved_by_reading_back(
    owners: records.OwnerTable,
    table: memory_table.MemoryTable,
    fault: memory_table.Fault,
    in_force: bool,
) -> None:
    table.commit_faults = [fault]
    if in_force:
        await owners.change(None, engine_id="e", session_id="one")
    else:
        with pytest.raises(errors.TakeoverLostError):
            await owners.change(None, engine_id="e", session_id="one")
    assert (await owners.read("e") is not None) is in_force


async def test_nodes_do_not_read_rows_after_a_takeover(
    cluster: small_cluster.SmallCluster,
) -> None:
    """Nodes take the new row from the takeover event.

    Reading the row on each event would cost 6 reads per node and second.
    """
    cluster.add_engine("engine-0", checks_fencing=True)
    await cluster.start(3)
    await cluster.advance(10)
    owners = cluster.nodes["node-0"].ownership.owner_table
    before = cluster.nodes["node-1"].table.reads
    for index in range(20):
        await owners.change(None, engine_id=f"e{index}", session_id="one")
    await cluster.advance(1)
    reads = cluster.nodes["node-1"].table.reads - before
    assert cluster.nodes["node-1"].ownership.cache.records.keys() >= {
        "e0",
        "e19",
    }
    assert reads <= 5
