"""Tests of `_dogwoodhinge.quarantine.quarantine` on engines that nodes share.

`testing/dispatch/test_quarantine.py` tests it on engines with an owner.
"""

from collections.abc import Callable
import datetime

import pytest

from _dogwoodhinge import errors
from _dogwoodhinge.quarantine import quarantine as quarantine_lib
from _dogwoodhinge.quarantine import record_view
from _dogwoodhinge.quarantine import records
from _dogwoodhinge.quarantine import rules
from dogwoodhinge_lab import dispatch_fakes
from dogwoodhinge_lab import memory_table

UNKNOWN = rules.ClaimEnd.UNKNOWN
SURVIVED = rules.ClaimEnd.SURVIVED
NOT_SENT = rules.ClaimEnd.NOT_SENT

MakeQuarantine = Callable[[], quarantine_lib.Quarantine]


@pytest.fixture
def clock() -> dispatch_fakes.EagerClock:
    return dispatch_fakes.EagerClock()


@pytest.fixture
def table() -> memory_table.MemoryTable:
    return memory_table.MemoryTable()


@pytest.fixture
def events() -> list[str]:
    return []


@pytest.fixture
def make_quarantine(
    clock: dispatch_fakes.EagerClock,
    table: memory_table.MemoryTable,
    events: list[str],
) -> MakeQuarantine:
    """Makes the quarantine of one more node at the same table."""

    def make() -> quarantine_lib.Quarantine:
        return quarantine_lib.Quarantine(
            table=table,
            policy=rules.SHARED_ENGINES,
            clock=clock,
            report=lambda record, *, request_id: None,
            report_event=lambda event, fields: events.append(event),
        )

    return make


@pytest.fixture
def node(make_quarantine: MakeQuarantine) -> quarantine_lib.Quarantine:
    return make_quarantine()


def crash(
    node: quarantine_lib.Quarantine,
    *engines: str,
    fingerprint: str = "f1",
    customer: str = "c1",
    claim: str = "",
) -> None:
    for engine in engines:
        node.record_crash(
            fingerprint, customer=customer, engine_id=engine, claim=claim
        )


def rows(table: memory_table.MemoryTable) -> list[tuple[str, bytes | None]]:
    return [(row.key, row.value) for row in table.rows.values()]


async def test_claim_is_needed_from_the_second_crash_on(
    node: quarantine_lib.Quarantine,
) -> None:
    assert not node.needs_claim("f1")
    crash(node, "e1")
    assert not node.needs_claim("f1")
    crash(node, "e2")
    assert node.needs_claim("f1")


async def test_one_node_at_a_time_runs_a_suspect(
    make_quarantine: MakeQuarantine, table: memory_table.MemoryTable
) -> None:
    first, second = make_quarantine(), make_quarantine()
    crash(first, "e1", "e2")
    await first.flush()
    second.apply_snapshot(rows(table))
    assert await first.claim("f1", "a1", engine_id="e3")
    with pytest.raises(errors.RefusedError, match="still in progress"):
        await second.claim("f1", "a2", engine_id="e4")
    first.record_claim_end("f1", "a1", engine_id="e3", end=UNKNOWN)
    await first.flush()
    assert await second.claim("f1", "a2", engine_id="e3")


async def test_one_suspect_at_a_time_runs_on_an_engine(
    make_quarantine: MakeQuarantine,
) -> None:
    first, second = make_quarantine(), make_quarantine()
    crash(first, "e1", "e2")
    crash(second, "e1", "e2", fingerprint="f2")
    assert await first.claim("f1", "a1", engine_id="e3")
    with pytest.raises(quarantine_lib.EngineReservedError):
        await second.claim("f2", "b1", engine_id="e3")
    assert await second.claim("f2", "b2", engine_id="e4")


@pytest.mark.parametrize("seconds", [2, None], ids=["known", "unknown"])
async def test_claim_of_a_node_that_was_lost_is_abandoned(
    make_quarantine: MakeQuarantine,
    table: memory_table.MemoryTable,
    clock: dispatch_fakes.EagerClock,
    seconds: int | None,
) -> None:
    """An innocent popular request was rejected long after its run had ended."""
    lost, node = make_quarantine(), make_quarantine()
    crash(lost, "e1", "e2")
    lifetime = rules.SHARED_ENGINES.claim_lifetime
    longest_run = seconds and datetime.timedelta(seconds=seconds)
    await lost.claim("f1", "a1", engine_id="e3", longest_run=longest_run)
    node.apply_snapshot(rows(table))
    with pytest.raises(errors.RefusedError):
        await node.claim("f1", "a2", engine_id="e3")
    clock.seconds += seconds or lifetime.total_seconds()
    assert await node.claim("f1", "a2", engine_id="e3")


async def test_claim_with_lost_reply_counts_once(
    node: quarantine_lib.Quarantine, table: memory_table.MemoryTable
) -> None:
    crash(node, "e1", "e2")
    await node.flush()
    table.commit_faults.append(memory_table.Fault.ANSWER_LOST)
    assert await node.claim("f1", "a1", engine_id="e3")
    assert node.cached_records["f1"].reruns == 1


async def test_claims_without_a_known_end_are_limited(
    node: quarantine_lib.Quarantine,
) -> None:
    """An end that no node could see must not be repeated for ever."""
    crash(node, "e1", "e2")
    for number in range(3):
        assert await node.claim("f1", f"a{number}", engine_id="e3")
        node.record_claim_end("f1", f"a{number}", engine_id="e3", end=UNKNOWN)
        await node.flush()
    with pytest.raises(errors.QuarantinedError):
        await node.claim("f1", "a9", engine_id="e3")


async def test_claim_whose_attempt_did_not_run_does_not_count(
    node: quarantine_lib.Quarantine,
) -> None:
    crash(node, "e1", "e2")
    for number in range(5):
        assert await node.claim("f1", f"a{number}", engine_id="e3")
        node.record_claim_end("f1", f"a{number}", engine_id="e3", end=SURVIVED)
        await node.flush()
    assert node.cached_records["f1"].reruns == 0


async def test_rejected_claims_count_once_three_engines_have_crashed(
    node: quarantine_lib.Quarantine,
) -> None:
    """Full or failing engines were sent such a request without a limit."""
    crash(node, "e1", "e2", "e3")
    for number in range(3):
        assert await node.claim("f1", f"a{number}", engine_id="e4")
        node.record_claim_end(
            "f1",
            f"a{number}",
            engine_id="e4",
            end=SURVIVED,
        )
        await node.flush()
    with pytest.raises(errors.QuarantinedError):
        await node.claim("f1", "a9", engine_id="e4")


async def test_claim_that_was_not_sent_does_not_count(
    node: quarantine_lib.Quarantine,
) -> None:
    crash(node, "e1", "e2", "e3")
    for number in range(5):
        assert await node.claim("f1", f"a{number}", engine_id="e4")
        node.record_claim_end(
            "f1",
            f"a{number}",
            engine_id="e4",
            end=NOT_SENT,
        )
        await node.flush()
    assert node.cached_records["f1"].reruns == 0


async def test_convicted_request_gets_three_claims_in_all(
    node: quarantine_lib.Quarantine, clock: dispatch_fakes.EagerClock
) -> None:
    crash(node, "e1", "e2")
    claims = 0
    for _ in range(200):
        try:
            claimed = await node.claim("f1", f"a{claims}", engine_id="e3")
        except errors.QuarantinedError as error:
            clock.seconds += min(15, error.retry_after.total_seconds())
            continue
        assert claimed
        crash(node, f"x{claims}", claim=f"a{claims}")
        node.record_claim_end("f1", f"a{claims}", engine_id="e3", end=UNKNOWN)
        await node.flush()
        claims += 1
    assert claims == 3


async def test_success_clears_a_convicted_request_on_all_nodes(
    make_quarantine: MakeQuarantine, table: memory_table.MemoryTable
) -> None:
    first, second = make_quarantine(), make_quarantine()
    crash(first, "e1", "e2")
    await first.claim("f1", "a1", engine_id="e3")
    crash(first, "e3", claim="a1")
    await first.flush()
    second.apply_snapshot(rows(table))
    with pytest.raises(errors.QuarantinedError):
        second.needs_claim("f1")
    second.record_success("f1")
    await second.flush()
    first.apply_snapshot(rows(table))
    assert not first.needs_claim("f1")


async def test_crashes_seen_by_two_nodes_add_up(
    make_quarantine: MakeQuarantine, table: memory_table.MemoryTable
) -> None:
    first, second = make_quarantine(), make_quarantine()
    crash(first, "e1")
    crash(second, "e2")
    await first.flush()
    await second.flush()
    first.apply_snapshot(rows(table))
    assert first.needs_claim("f1")
    assert second.needs_claim("f1")


@pytest.mark.parametrize(
    "fault",
    [memory_table.Fault.UNAVAILABLE, memory_table.Fault.ANSWER_LOST],
)
async def test_crashes_of_an_outage_are_written_later(
    node: quarantine_lib.Quarantine,
    table: memory_table.MemoryTable,
    fault: memory_table.Fault,
) -> None:
    table.fault = fault
    crash(node, "e1", "e2")
    with pytest.raises(quarantine_lib.public_errors.TableError):
        await node.flush()
    assert node.needs_claim("f1")
    table.fault = memory_table.Fault.NONE
    await node.flush()
    (row,) = table.rows.values()
    assert records.decode(row.value).engines == ("e1", "e2")
    assert node.unwritten() == []


async def test_crashes_of_a_node_without_the_table_reach_it_through_a_peer(
    make_quarantine: MakeQuarantine, table: memory_table.MemoryTable
) -> None:
    cut_off, leader = make_quarantine(), make_quarantine()
    crash(cut_off, "e1", "e2")
    for record in cut_off.unwritten():
        leader.receive(record.fingerprint, records.encode(record), write=True)
    await leader.flush()
    assert leader.needs_claim("f1")
    assert len(table.rows) == 1


async def test_suspects_of_one_crash_are_written_together(
    node: quarantine_lib.Quarantine, table: memory_table.MemoryTable
) -> None:
    for number in range(60):
        crash(node, "e1", fingerprint=f"f{number}")
    await node.flush()
    assert len(table.rows) == 60
    assert table.commits == 2
    assert max(len(done.writes) for done in table.done.values()) <= 45


async def test_expired_rows_are_removed(
    node: quarantine_lib.Quarantine,
    table: memory_table.MemoryTable,
    clock: dispatch_fakes.EagerClock,
) -> None:
    crash(node, "e1")
    await node.flush()
    clock.seconds += rules.SUSPECT_LIFETIME.total_seconds()
    await node.remove_expired()
    assert table.rows == {}
    assert node.cached_records == {}


async def test_lifetime_does_not_depend_on_the_time_of_day(
    node: quarantine_lib.Quarantine,
    clock: dispatch_fakes.EagerClock,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    crash(node, "e1", "e2")
    later = clock.now() + 3 * rules.CONVICTION_LIFETIME
    monkeypatch.setattr(clock, "now", lambda: later)
    assert node.needs_claim("f1")


async def test_caller_with_many_records_displaces_no_others(
    node: quarantine_lib.Quarantine,
) -> None:
    crash(node, "e1", "e2", fingerprint="other", customer="quiet")
    for number in range(2 * record_view.MAX_RECORDS):
        crash(node, "e1", fingerprint=f"f{number}", customer="loud")
    assert len(node.cached_records) <= record_view.MAX_RECORDS
    assert len(node.unwritten_changes) <= record_view.MAX_RECORDS
    assert node.needs_claim("other")


async def test_unreadable_row_is_logged_and_names_no_request(
    node: quarantine_lib.Quarantine, events: list[str]
) -> None:
    node.apply_snapshot([("f1", b"odd"), ("engine/e1", b"odd")])
    assert events == ["quarantine_row_unreadable"] * 2
    assert node.cached_records == {}


async def test_part_whose_claims_showed_nothing_is_soon_tried_again(
    node: quarantine_lib.Quarantine, clock: dispatch_fakes.EagerClock
) -> None:
    """Engines that were loading rejected a sound part for an hour."""
    for number in range(4):
        node.record_crash(
            "part/p", customer="c", engine_id=f"e{number}", content=f"x{number}"
        )
    for number in range(3):
        assert await node.claim("part/p", f"a{number}", engine_id="e9")
        node.record_claim_end(
            "part/p", f"a{number}", engine_id="e9", end=SURVIVED
        )
        await node.flush()
    with pytest.raises(errors.QuarantinedError) as rejection:
        await node.claim("part/p", "a3", engine_id="e9")
    assert rejection.value.retry_after.total_seconds() <= 10
    clock.seconds += 11
    assert await node.claim("part/p", "a4", engine_id="e9")
    node.record_success("part/p")
    await node.flush()
    assert node.find("part/p") is None
