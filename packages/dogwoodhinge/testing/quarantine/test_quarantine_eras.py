"""Tests of the quarantine when its table comes back from an older copy."""

from collections.abc import Callable

import pytest

from _dogwoodhinge.quarantine import quarantine as quarantine_lib
from _dogwoodhinge.quarantine import records
from _dogwoodhinge.quarantine import rules
from dogwoodhinge_lab import dispatch_fakes
from dogwoodhinge_lab import memory_table

CONVICTED = records.Verdict.CONVICTED
SUSPECT = records.Verdict.SUSPECT
CLEARED = records.Verdict.CLEARED
RERUNNING = records.Verdict.RERUNNING

Make = Callable[[], quarantine_lib.Quarantine]


@pytest.fixture
def table() -> memory_table.MemoryTable:
    return memory_table.MemoryTable()


@pytest.fixture
def events() -> list[tuple[str, dict[str, object]]]:
    return []


@pytest.fixture
def make(
    table: memory_table.MemoryTable,
    events: list[tuple[str, dict[str, object]]],
) -> Make:
    """Makes the quarantine of one more node at the same table."""
    clock = dispatch_fakes.EagerClock()
    return lambda: quarantine_lib.Quarantine(
        table=table,
        policy=rules.SHARED_ENGINES,
        clock=clock,
        report=lambda record, *, request_id: None,
        report_event=lambda event, fields: events.append((event, fields)),
    )


def read(
    node: quarantine_lib.Quarantine,
    table: memory_table.MemoryTable,
    *,
    copied: bool = False,
) -> None:
    """Applies all rows, as those of a copy or not."""
    rows = [(row.key, row.value) for row in table.rows.values()]
    if copied:
        node.apply_copy(rows)
    else:
        node.apply_snapshot(rows)


def verdicts(table: memory_table.MemoryTable) -> dict[str, records.Verdict]:
    """Returns the verdicts in the table, without reservations."""
    return {
        row.key: records.decode(row.value).verdict
        for row in table.rows.values()
        if not row.key.startswith(records.RESERVATION_PREFIX)
    }


async def convict(node: quarantine_lib.Quarantine) -> None:
    """Convicts a request by crashes, one of them under a claim."""
    for engine in ("e1", "e2"):
        node.record_crash("f1", customer="c1", engine_id=engine)
    await node.flush()
    assert await node.claim("f1", "a1", engine_id="e3")
    node.record_crash("f1", customer="c1", engine_id="e3", claim="a1")
    await node.flush()


async def test_lost_conviction_is_written_again_once(
    make: Make,
    table: memory_table.MemoryTable,
    events: list[tuple[str, dict[str, object]]],
) -> None:
    nodes = [make() for _ in range(3)]
    copied = dict(table.rows)
    await convict(nodes[0])
    for node in nodes[1:]:
        read(node, table)
    assert verdicts(table) == {"f1": CONVICTED}
    table.rows = copied
    for node in nodes:
        read(node, table, copied=True)
    commits = table.commits
    for node in nodes:
        await node.flush()
        assert node.find("f1") is not None
    assert verdicts(table) == {"f1": CONVICTED}
    assert table.commits == commits + 1
    written_again = [f for e, f in events if e == "quarantine_written_again"]
    assert written_again == [{"records": 1}] * 3


async def test_cleared_conviction_does_not_come_back(
    make: Make, table: memory_table.MemoryTable
) -> None:
    node, other = make(), make()
    await convict(node)
    read(other, table)
    copied = dict(table.rows)
    node.record_success("f1")
    await node.flush()
    assert verdicts(table) == {"f1": CLEARED}
    table.rows = copied
    read(node, table, copied=True)
    assert node.find("f1") is None
    await node.flush()
    assert verdicts(table) == {"f1": CLEARED}
    read(other, table)
    assert other.find("f1") is None


async def test_copy_may_hold_more_than_a_node_that_was_cut_off(
    make: Make, table: memory_table.MemoryTable
) -> None:
    node, other = make(), make()
    node.record_crash("f1", customer="c1", engine_id="e1")
    await node.flush()
    await convict(other)
    read(node, table, copied=True)
    await node.flush()
    assert verdicts(table) == {"f1": CONVICTED}
    record = node.find("f1")
    assert record is not None
    assert record.verdict is CONVICTED


async def test_claim_that_the_copy_lacks_is_still_held(
    make: Make, table: memory_table.MemoryTable
) -> None:
    """Otherwise another attempt would run the suspect at the same time."""
    node = make()
    for engine in ("e1", "e2"):
        node.record_crash("f1", customer="c1", engine_id=engine)
    await node.flush()
    copied = dict(table.rows)
    assert await node.claim("f1", "a1", engine_id="e3")
    table.rows = copied
    read(node, table, copied=True)
    await node.flush()
    assert verdicts(table) == {"f1": RERUNNING}


async def test_record_that_the_copy_holds_is_not_written_again(
    make: Make, table: memory_table.MemoryTable
) -> None:
    node = make()
    await convict(node)
    before = dict(table.rows)
    read(node, table, copied=True)
    await node.flush()
    assert table.rows == before
    assert not node.unwritten_changes


async def test_crash_that_was_not_written_yet_counts_once(
    make: Make, table: memory_table.MemoryTable
) -> None:
    node = make()
    node.record_crash("f1", customer="c1", engine_id="e1")
    await node.flush()
    node.record_crash("f1", customer="c1", engine_id="e2")
    read(node, table, copied=True)
    await node.flush()
    (row,) = table.rows.values()
    assert records.decode(row.value).engines == ("e1", "e2")
