"""Tests of `engine_scheduling.registry` and the modules it uses."""

import asyncio
from collections.abc import Callable
from typing import Any

import pytest

from _dogwoodhinge.engine_scheduling import tuning
from _dogwoodhinge.peer import peer_pb2
from _dogwoodhinge.routing import candidates
from dogwoodhinge import errors
from dogwoodhinge import models

REPORT_LAG_SECONDS = 2.0
START_WITHIN_SECONDS = 5.0


def adapter(name: str) -> models.AdapterVersion:
    return models.AdapterVersion(name, "1")


def unloads(engine: Any) -> list[str]:
    return [order[1] for order in engine.orders if order[0] == "unload"]


async def test_request_waits_for_load_and_is_granted(harness: Any) -> None:
    engine = await harness.adopt()
    grant = await harness.grant("red")
    assert engine.orders == [("load", "red@1", 7)]
    assert (grant.adapter, grant.version, grant.token) == ("red", "1", 7)


async def test_adapter_with_open_grant_is_not_evicted(harness: Any) -> None:
    engine = await harness.adopt()
    red = await harness.grant("red")
    await harness.grant("green")
    blue = harness.submit("blue")
    await harness.advance(1)
    assert not blue.done()
    assert unloads(engine) == []
    await harness.release(red)
    await harness.advance(1)
    assert unloads(engine) == ["red@1"]
    assert (await blue).grant.adapter == "blue"


async def test_adapter_of_unmatched_running_request_is_not_evicted(
    harness: Any,
) -> None:
    engine = await harness.adopt()
    for name in ("red", "green"):
        await harness.release(await harness.grant(name))
    engine.running = [
        models.RunningRequest("somebody", adapter(name))
        for name in ("red", "green")
    ]
    await harness.advance(1.5)
    blue = harness.submit("blue")
    await harness.advance(2)
    assert unloads(engine) == []
    engine.running = engine.running[1:]
    await harness.advance(2)
    assert unloads(engine) == ["red@1"]
    await blue


async def test_stale_report_of_ended_request_does_not_pin(harness: Any) -> None:
    engine = await harness.adopt()
    red = await harness.grant("red")
    await harness.release(await harness.grant("green"))
    await harness.release(red)
    engine.running = [models.RunningRequest(red.request_id, adapter("red"))]
    await harness.advance(1.5)
    await harness.grant("blue")
    assert len(unloads(engine)) == 1


async def test_broken_stream_pins_until_report_omits_it(
    harness: Any,
) -> None:
    engine = await harness.adopt()
    green = await harness.grant("green")
    red = await harness.grant("red")
    engine.running = [
        models.RunningRequest(red.request_id, adapter("red")),
        models.RunningRequest(green.request_id, adapter("green")),
    ]
    await harness.release(red, completed=False)
    blue = harness.submit("blue")
    await harness.advance(10)
    assert unloads(engine) == []
    engine.running = engine.running[1:]
    await harness.advance(REPORT_LAG_SECONDS + 2)
    assert unloads(engine) == ["red@1"]
    await blue


async def test_grant_with_lost_release_is_closed_by_report(
    harness: Any,
) -> None:
    await harness.adopt()
    await harness.grant("red")
    await harness.advance(START_WITHIN_SECONDS + REPORT_LAG_SECONDS - 0.5)
    assert harness.registry.status()[0].granted == 1
    await harness.advance(2)
    assert harness.registry.status()[0].granted == 0


async def test_grant_stays_open_while_engine_queues_requests(
    harness: Any,
) -> None:
    engine = await harness.adopt()
    await harness.grant("red")
    engine.waiting = 1
    await harness.advance(30)
    assert harness.registry.status()[0].granted == 1


async def test_stale_report_does_not_restore_evicted_adapter(
    harness: Any,
) -> None:
    engine = await harness.adopt()
    for name in ("red", "green"):
        await harness.release(await harness.grant(name))
    await harness.advance(0.8)
    await harness.release(await harness.grant("blue"))
    (evicted,) = unloads(engine)
    before = list(engine.residents)
    engine.age = 0.5
    engine.residents = [adapter("red"), adapter("green")]
    await harness.advance(0.3)
    engine.residents = before
    slots = harness.registry.owners["engine-1"].slots
    assert slots.is_resident(adapter("blue"))
    assert not slots.has_slot(models.AdapterVersion.parse(evicted))


async def test_adapter_is_reloaded_after_engine_restart(harness: Any) -> None:
    engine = await harness.adopt()
    await harness.release(await harness.grant("red"))
    await harness.advance(1)
    engine.epoch = "epoch-2"
    engine.residents = []
    await harness.advance(2)
    assert harness.registry.status()[0].residents == 0
    await harness.grant("red")
    assert [order[0] for order in engine.orders] == ["load", "load"]


async def test_load_completed_after_restart_waits_for_report(
    harness: Any,
) -> None:
    engine = await harness.adopt()
    await harness.advance(1)
    engine.gate = asyncio.Event()
    admission = harness.submit("red")
    await harness.settle()
    engine.epoch = "epoch-2"
    await harness.advance(1.5)
    engine.gate.set()
    await harness.settle()
    assert not admission.done()
    await harness.advance(1.5)
    assert (await admission).grant.adapter == "red"


@pytest.mark.parametrize(
    ("error", "waits_for_report"),
    [
        pytest.param(errors.EngineUnreachableError("x"), False, id="not run"),
        pytest.param(errors.EngineOutcomeUnknownError("x"), True, id="unknown"),
    ],
)
async def test_failed_load_is_retried(
    harness: Any, error: Exception, waits_for_report: bool
) -> None:
    engine = await harness.adopt()
    engine.load_errors = [error]
    admission = harness.submit("red")
    await harness.settle()
    assert not admission.done()
    slots = harness.registry.owners["engine-1"].slots
    assert slots.has_slot(adapter("red")) == waits_for_report
    await harness.advance(3)
    assert (await admission).grant.adapter == "red"


async def test_load_without_queued_request_is_not_ordered(harness: Any) -> None:
    engine = await harness.adopt()
    harness.permits.gate = asyncio.Event()
    cancelled = harness.submit("red")
    remaining = harness.submit("green")
    await harness.settle()
    cancelled.cancel()
    await harness.advance(0.2)
    harness.permits.gate.set()
    assert (await remaining).grant.adapter == "green"
    assert engine.orders == [("load", "green@1", 7)]


async def test_request_is_rejected_after_repeated_load_failures(
    harness: Any,
) -> None:
    engine = await harness.adopt()
    engine.load_errors = [errors.EngineRefusedError("x", status=500)] * 9
    admission = harness.submit("red")
    await harness.advance(5)
    refusal = (await admission).refusal
    assert "load failed" in refusal.reason
    assert refusal.retry_after_ms > 0


async def test_unknown_version_is_rejected_immediately(harness: Any) -> None:
    await harness.adopt()
    admission = harness.submit("red", version="absent")
    await harness.settle()
    assert "no red@absent" in (await admission).refusal.reason


async def test_eviction_with_unknown_outcome_keeps_the_slot(
    harness: Any,
) -> None:
    engine = await harness.adopt()
    for name in ("red", "green"):
        await harness.release(await harness.grant(name))
    engine.unload_errors = [errors.EngineOutcomeUnknownError("x")]
    blue = harness.submit("blue")
    await harness.settle()
    owner = harness.registry.owners["engine-1"]
    assert owner.slots.free_count() == 0
    assert len(owner.slots.residents()) == 1
    assert not blue.done()
    await harness.advance(2)
    assert (await blue).grant.adapter == "blue"


async def test_no_order_is_sent_without_ownership(harness: Any) -> None:
    engine = await harness.adopt()
    harness.ownership.lost = True
    admission = harness.submit("red")
    await harness.advance(1)
    assert engine.orders == []
    harness.ownership.lost = False
    await harness.advance(1)
    assert (await admission).grant.adapter == "red"


async def test_repeated_call_returns_grant_with_time_left(harness: Any) -> None:
    await harness.adopt()
    request = harness.request("red")
    first = await harness.registry.admit(request)
    await harness.advance(2)
    repeated = await harness.registry.admit(request)
    assert repeated.grant.grant_id == first.grant.grant_id
    assert repeated.grant.start_within_ms == 3_000
    assert harness.registry.status()[0].granted == 1


async def test_cancelled_call_does_not_cancel_its_repetition(
    harness: Any,
) -> None:
    engine = await harness.adopt()
    engine.gate = asyncio.Event()
    request = harness.request("red")
    broken, repeated = (
        asyncio.ensure_future(harness.registry.admit(request)) for _ in range(2)
    )
    await harness.settle()
    broken.cancel()
    await harness.settle()
    engine.gate.set()
    assert (await repeated).grant.adapter == "red"


async def test_grant_past_its_start_deadline_is_not_reused(
    harness: Any,
) -> None:
    await harness.adopt()
    request = harness.request("red")
    first = await harness.registry.admit(request)
    await harness.advance(START_WITHIN_SECONDS)
    repeated = await harness.registry.admit(request)
    assert repeated.grant.grant_id != first.grant.grant_id


async def test_unreachable_deadline_is_rejected_immediately(
    harness: Any,
) -> None:
    await harness.adopt()
    admission = harness.submit("red", deadline_ms=100)
    await harness.settle()
    reply = await admission
    assert "deadline" in reply.refusal.reason
    assert reply.refusal.retry_after_ms > 0


async def test_queued_request_is_rejected_once_its_deadline_is_unreachable(
    make_harness: Callable[..., Any],
) -> None:
    harness = make_harness(batch=1, slots=1)
    async with harness.registry:
        await harness.adopt()
        await harness.grant("red")
        late = harness.submit("red", deadline_ms=8_000)
        await harness.advance(1)
        assert not late.done()
        await harness.advance(6)
        assert "no longer" in (await late).refusal.reason


async def test_suspect_requests_do_not_run_concurrently(harness: Any) -> None:
    await harness.adopt()
    first = await harness.grant("red", suspect=True)
    second = harness.submit("red", suspect=True)
    await harness.grant("red")
    assert not second.done()
    await harness.release(first)
    await harness.settle()
    assert second.done()


async def test_long_requests_leave_batch_slots_for_short_ones(
    harness: Any,
) -> None:
    await harness.adopt()
    long_requests = [harness.submit("red", max_tokens=1_500) for _ in range(4)]
    await harness.settle()
    assert sum(task.done() for task in long_requests) == 3
    await harness.grant("red")


async def test_flood_of_one_customer_does_not_starve_another(
    make_harness: Callable[..., Any],
) -> None:
    harness = make_harness(batch=1, slots=1)
    async with harness.registry:
        await harness.adopt()
        running = await harness.grant("red", customer="flood")
        flood = [harness.submit("red", customer="flood") for _ in range(20)]
        await harness.settle()
        other = harness.submit("red", customer="other")
        await harness.settle()
        served = 0
        while not other.done():
            await harness.release(running)
            await harness.settle()
            served += 1
            done = [task for task in flood if task.done()]
            if done and not other.done():
                running = done[-1].result().grant
                flood = [task for task in flood if not task.done()]
        assert served <= 2


async def test_not_owned_engine_redirects_to_its_owner(harness: Any) -> None:
    reply = await harness.registry.admit(harness.request("red"))
    assert reply.redirect.engine_id == "engine-1"


async def test_unusable_engine_redirects_to_another(
    make_harness: Callable[..., Any],
) -> None:
    harness = make_harness(engines=2)
    async with harness.registry:
        await harness.adopt()
        harness.directory.unusable.add("engine-1")
        reply = await harness.registry.admit(harness.request("red"))
        assert reply.redirect.engine_id == "engine-2"


async def test_unusable_engine_without_another_rejects(harness: Any) -> None:
    engine = await harness.adopt()
    harness.directory.unusable.add("engine-1")
    reply = await harness.registry.admit(harness.request("red"))
    assert reply.refusal.retry_after_ms > 0
    assert engine.orders == []


async def test_slow_engine_receives_only_probes(
    make_harness: Callable[..., Any],
) -> None:
    harness = make_harness(engines=2)
    async with harness.registry:
        await harness.adopt()
        names = ("engine-1", "engine-2")
        adapter_name = next(
            name
            for name in map(str, range(99))
            if candidates.rank(f"{name}@1", names)[0] == "engine-1"
        )
        for gap in [20] * 10 + [100] * 5:
            grant = await harness.grant(adapter_name)
            await harness.release(grant, mean_gap_ms=gap, output_tokens=10)
            if harness.registry.status()[0].is_slow:
                break
        assert harness.registry.status()[0].is_slow
        for interval in (2.1, 4.1, 8.1, 16.1, 16.1):
            await harness.advance(interval)
            await harness.grant(adapter_name)
            reply = await harness.registry.admit(harness.request(adapter_name))
            assert reply.redirect.engine_id == "engine-2"


async def test_popular_adapter_gets_more_replicas(
    make_harness: Callable[..., Any],
) -> None:
    harness = make_harness(batch=1, slots=1)
    async with harness.registry:
        await harness.adopt()
        for _ in range(3):
            running = await harness.grant("red")
            reply = harness.submit("red")
            await harness.settle()
            await harness.advance(1.1)
            await harness.release(running)
            await harness.settle()
            await harness.release(reply.result().grant)
        assert reply.result().candidates_hint > 2
        assert reply.result().hint_lifetime_ms > 0


async def test_takeover_freezes_evictions_until_complete_and_reported(
    make_harness: Callable[..., Any], recovery: Any
) -> None:
    harness = make_harness(slots=1)
    async with harness.registry:
        known = recovery(residents=(adapter("red"),), pinned=True)
        harness.engines["engine-1"].residents = [adapter("red")]
        engine = await harness.adopt(recovery=known)
        blue = harness.submit("blue")
        await harness.advance(5)
        assert unloads(engine) == []
        held = peer_pb2.Grant(
            grant_id="g",
            request_id="r",
            engine_id="engine-1",
            adapter="red",
            version="1",
            start_within_ms=1_000,
        )
        known.grants = (held,)
        engine.running = [models.RunningRequest("r", adapter("red"))]
        known.complete.set()
        await harness.advance(10)
        assert unloads(engine) == []
        await harness.release(held)
        engine.running = []
        await harness.advance(1)
        assert unloads(engine) == ["red@1"]
        await blue


async def test_drop_returns_grants_and_redirects_queued_requests(
    make_harness: Callable[..., Any],
) -> None:
    harness = make_harness(batch=1)
    async with harness.registry:
        await harness.adopt()
        grant = await harness.grant("red")
        waiting = harness.submit("red")
        await harness.settle()
        state = await harness.registry.drop("engine-1")
        assert [held.grant_id for held in state.grants] == [grant.grant_id]
        assert state.residents == (adapter("red"),)
        assert (await waiting).redirect.engine_id == "engine-1"


async def test_drop_does_not_close_the_engine_client(harness: Any) -> None:
    engine = await harness.adopt()
    await harness.registry.drop("engine-1")
    assert not engine.closed


async def test_drop_cancels_an_incomplete_recovery(
    harness: Any, recovery: Any
) -> None:
    before = asyncio.all_tasks()
    await harness.adopt(recovery=recovery(pinned=True))
    await harness.registry.drop("engine-1")
    await harness.settle()
    assert asyncio.all_tasks() <= before


async def test_hand_over_before_and_after_adoption(harness: Any) -> None:
    held = peer_pb2.Grant(
        grant_id="g", request_id="r", adapter="red", version="1"
    )
    message = peer_pb2.HandOverRequest(
        engine_id="engine-1", token=6, grants=[held]
    )
    assert (await harness.registry.accept_hand_over(message)).accepted
    await harness.adopt(token=7)
    assert harness.registry.status()[0].granted == 1
    assert (await harness.registry.accept_hand_over(message)).accepted
    assert harness.registry.status()[0].granted == 1
    message.token = 7
    assert not (await harness.registry.accept_hand_over(message)).accepted


async def test_cancelled_request_leaves_the_queue(
    make_harness: Callable[..., Any],
) -> None:
    harness = make_harness(batch=1, tuning=tuning.Tuning(max_queue_length=1))
    async with harness.registry:
        await harness.adopt()
        await harness.grant("red")
        cancelled = harness.submit("red")
        await harness.settle()
        cancelled.cancel()
        await harness.settle()
        assert harness.registry.status()[0].waiting == 0
