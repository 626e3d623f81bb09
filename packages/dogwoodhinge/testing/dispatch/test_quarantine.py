"""Tests of `_dogwoodhinge.dispatch.quarantine`."""

from collections.abc import Callable
import contextlib

import pytest

from _dogwoodhinge import errors
from _dogwoodhinge.dispatch import generation_requests
from _dogwoodhinge.dispatch import generations as generations_lib
from _dogwoodhinge.peer import peer_pb2
from _dogwoodhinge.quarantine import quarantine as quarantine_lib
from _dogwoodhinge.quarantine import records
from _dogwoodhinge.quarantine import rules as quarantine_rules
from dogwoodhinge_lab import dispatch_fakes
from dogwoodhinge_lab import dispatch_node
from dogwoodhinge_lab import memory_table

MakeRequest = Callable[..., generation_requests.GenerationRequest]
CRASHING_BODY = b'{"prompt": "poison"}'


async def report(
    quarantine: quarantine_lib.Quarantine, engine_id: str, claim: str = ""
) -> bool:
    return await quarantine.report_crash(
        "f1", customer="aduelas", engine_id=engine_id, claim=claim
    )


def verdicts(table: memory_table.MemoryTable) -> list[records.Verdict]:
    return [records.decode(row.value).verdict for row in table.rows.values()]


async def test_unknown_request_reads_no_table(
    quarantine: quarantine_lib.Quarantine, table: memory_table.MemoryTable
) -> None:
    assert not await quarantine.claim("f1", "a1")
    assert table.reads == 0


async def test_suspect_is_retried_once(
    quarantine: quarantine_lib.Quarantine,
) -> None:
    assert not await report(quarantine, "engine-1")
    assert await quarantine.claim("f1", "a1")
    with pytest.raises(errors.RefusedError, match="still in progress"):
        await quarantine.claim("f1", "a2")


async def test_cleared_suspect_needs_no_claim(
    quarantine: quarantine_lib.Quarantine, table: memory_table.MemoryTable
) -> None:
    await report(quarantine, "engine-1")
    await quarantine.claim("f1", "a1")
    await quarantine.clear("f1", "a1")
    assert verdicts(table) == [records.Verdict.CLEARED]
    assert not await quarantine.claim("f1", "a2")
    assert not await report(quarantine, "engine-2")


async def test_released_claim_may_be_taken_again(
    quarantine: quarantine_lib.Quarantine,
) -> None:
    await report(quarantine, "engine-1")
    await quarantine.claim("f1", "a1")
    await quarantine.release_claim("f1", "a1")
    assert await quarantine.claim("f1", "a2")


async def test_crash_reported_twice_does_not_convict(
    quarantine: quarantine_lib.Quarantine,
) -> None:
    assert not await report(quarantine, "engine-1")
    assert not await report(quarantine, "engine-1")


@pytest.mark.parametrize(
    ("second", "claim"),
    [
        pytest.param("engine-2", "", id="another engine"),
        pytest.param("engine-1", "a1", id="the claimed run"),
    ],
)
async def test_second_crash_convicts(
    quarantine: quarantine_lib.Quarantine,
    clock: dispatch_fakes.EagerClock,
    second: str,
    claim: str,
) -> None:
    await report(quarantine, "engine-1")
    if claim:
        await quarantine.claim("f1", claim)
    assert await report(quarantine, second, claim)
    with pytest.raises(errors.QuarantinedError, match="crashed two engines"):
        await quarantine.claim("f1", "a9")
    clock.seconds += quarantine_rules.CONVICTION_LIFETIME.total_seconds()
    assert not await quarantine.claim("f1", "a9")


async def test_table_outage_blocks_the_claim(
    quarantine: quarantine_lib.Quarantine, table: memory_table.MemoryTable
) -> None:
    table.fault = memory_table.Fault.UNAVAILABLE
    await report(quarantine, "engine-1")
    with pytest.raises(errors.RefusedError, match="table is unavailable"):
        await quarantine.claim("f1", "a1")


async def test_second_crash_during_table_outage_does_not_convict(
    quarantine: quarantine_lib.Quarantine, table: memory_table.MemoryTable
) -> None:
    """A node that loses its network connection loses all engines at once."""
    table.fault = memory_table.Fault.UNAVAILABLE
    assert not await report(quarantine, "engine-1")
    assert not await report(quarantine, "engine-2")
    with pytest.raises(errors.RefusedError):
        await quarantine.claim("f1", "a1")


@pytest.mark.parametrize("polled", [False, True])
async def test_suspect_of_a_table_outage_is_written_later(
    quarantine: quarantine_lib.Quarantine,
    table: memory_table.MemoryTable,
    polled: bool,
) -> None:
    table.fault = memory_table.Fault.UNAVAILABLE
    await report(quarantine, "engine-1")
    table.fault = memory_table.Fault.NONE
    if polled:
        await quarantine.poll()
    assert await quarantine.claim("f1", "a1")
    assert await report(quarantine, "engine-2", claim="a1")


async def test_claim_with_lost_reply_is_read_back(
    quarantine: quarantine_lib.Quarantine, table: memory_table.MemoryTable
) -> None:
    await report(quarantine, "engine-1")
    table.commit_faults.append(memory_table.Fault.ANSWER_LOST)
    assert await quarantine.claim("f1", "a1")


async def test_later_suspect_report_does_not_revoke_a_conviction(
    quarantine: quarantine_lib.Quarantine,
) -> None:
    for convicted_at_ms in (5, 0):
        await quarantine.receive_conviction(
            peer_pb2.Conviction(
                fingerprint="f1", convicted_at_ms=convicted_at_ms
            )
        )
    with pytest.raises(errors.QuarantinedError):
        await quarantine.claim("f1", "a1")


async def test_suspect_missing_from_the_table_stays_a_suspect(
    quarantine: quarantine_lib.Quarantine, table: memory_table.MemoryTable
) -> None:
    """The peer that reports the suspect may be unable to reach the table."""
    await quarantine.receive_conviction(peer_pb2.Conviction(fingerprint="f1"))
    assert await quarantine.claim("f1", "a1")
    assert verdicts(table) == [records.Verdict.RERUNNING]


async def test_cleared_suspect_is_read_from_the_table(
    quarantine: quarantine_lib.Quarantine,
    node: dispatch_node.DispatchNode,
    table: memory_table.MemoryTable,
    clock: dispatch_fakes.EagerClock,
) -> None:
    other = dispatch_node.make_node(
        cluster=node.cluster, table=table, clock=clock
    ).quarantine
    await other.receive_conviction(peer_pb2.Conviction(fingerprint="f1"))
    await report(quarantine, "engine-1")
    await quarantine.claim("f1", "a1")
    await quarantine.clear("f1", "a1")
    assert not await other.claim("f1", "a2")


async def test_poll_reads_records_missed_by_broadcast(
    quarantine: quarantine_lib.Quarantine,
    table: memory_table.MemoryTable,
    clock: dispatch_fakes.EagerClock,
) -> None:
    await report(quarantine, "engine-1")
    quarantine.cached_records.clear()
    await quarantine.poll()
    assert quarantine.cached_records["f1"].verdict is records.Verdict.SUSPECT
    clock.seconds += quarantine_rules.SUSPECT_LIFETIME.total_seconds()
    await quarantine.poll()
    assert table.rows == {}
    assert quarantine.cached_records == {}


@pytest.fixture
def nodes(
    table: memory_table.MemoryTable, clock: dispatch_fakes.EagerClock
) -> list[dispatch_node.DispatchNode]:
    """Three entry nodes with the same six engines and no calls between them."""
    shared = dispatch_fakes.FakeCluster()
    for number in range(6):
        shared.add_engine(f"engine-{number}").crashes_on = b"poison"
    made = []
    for number in range(3):
        cluster = dispatch_fakes.FakeCluster(f"session-{number}")
        cluster.engines = shared.engines
        cluster.owners = {
            name: dispatch_fakes.FakeOwner(name, cluster.self_id, 1)
            for name in shared.engines
        }
        cluster.unusable = shared.unusable
        made.append(
            dispatch_node.make_node(cluster=cluster, table=table, clock=clock)
        )
    return made


@pytest.mark.parametrize("restarts", [False, True])
async def test_bad_request_crashes_at_most_two_engines_across_nodes(
    nodes: list[dispatch_node.DispatchNode],
    make_request: MakeRequest,
    restarts: bool,
) -> None:
    engines = list(nodes[0].cluster.engines.values())
    for engine in engines:
        engine.restarts = restarts
    outcomes = []
    for number in range(9):
        node = nodes[number % 3]
        await node.quarantine.poll()
        request = make_request(request_id=f"r{number}", body=CRASHING_BODY)
        try:
            async with contextlib.aclosing(
                node.generations.run(request)
            ) as events:
                async for _ in events:
                    pass
        except (errors.AdmissionError, errors.DispatchError) as error:
            outcomes.append(type(error).__name__)
        await node.settle()
    assert sum(engine.crashes for engine in engines) == 2
    assert outcomes == ["ConvictedInRunError"] + ["QuarantinedError"] * 8


async def test_harmless_request_is_cleared_by_its_retry(
    generations: generations_lib.Generations,
    cluster: dispatch_fakes.FakeCluster,
    table: memory_table.MemoryTable,
    make_request: MakeRequest,
) -> None:
    cluster.engines["engine-1"].plan(dispatch_fakes.StreamFault.CRASH, at=0)
    async with contextlib.aclosing(generations.run(make_request())) as events:
        assert len([data async for data in events]) == 6
    await generations.settle()
    assert [request.suspect for request in cluster.admits] == [False, True]
    assert verdicts(table) == [records.Verdict.CLEARED]


async def test_request_that_never_ran_is_no_suspect(
    generations: generations_lib.Generations,
    cluster: dispatch_fakes.FakeCluster,
    quarantine: quarantine_lib.Quarantine,
    make_request: MakeRequest,
) -> None:
    """A request that no engine accepted can't have caused their crashes."""
    for engine in cluster.engines.values():
        engine.up = False
    with pytest.raises(errors.AdmissionError):
        await anext(generations.run(make_request()))
    await generations.settle()
    assert quarantine.cached_records == {}


async def test_suspect_keeps_its_claim_on_another_engine(
    generations: generations_lib.Generations,
    cluster: dispatch_fakes.FakeCluster,
    quarantine: quarantine_lib.Quarantine,
    table: memory_table.MemoryTable,
    make_request: MakeRequest,
) -> None:
    await report(quarantine, "engine-9")
    faults = dispatch_fakes.StreamFault
    cluster.engines["engine-1"].plan(faults.UNAVAILABLE)
    async with contextlib.aclosing(generations.run(make_request())) as events:
        assert len([data async for data in events]) == 6
    await generations.settle()
    assert [request.suspect for request in cluster.admits] == [True, True]
    assert verdicts(table) == [records.Verdict.CLEARED]
