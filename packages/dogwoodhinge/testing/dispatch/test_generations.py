"""Tests of `_dogwoodhinge.dispatch.generations` and `engine_run`."""

from collections.abc import AsyncIterator, Callable
import contextlib
import datetime
import json

import pytest

from _dogwoodhinge import errors
from _dogwoodhinge.dispatch import errors as dispatch_errors
from _dogwoodhinge.dispatch import generation_requests
from _dogwoodhinge.dispatch import generations as generations_lib
from _dogwoodhinge.dispatch import grants as grants_lib
from _dogwoodhinge.peer import peer_pb2
from dogwoodhinge import models
from dogwoodhinge_lab import dispatch_fakes

Fault = dispatch_fakes.StreamFault
MakeRequest = Callable[..., generation_requests.GenerationRequest]
WHOLE = dispatch_fakes.text_of(dispatch_fakes.DEFAULT_TOKENS)


async def read(
    generations: generations_lib.Generations,
    request: generation_requests.GenerationRequest,
    into: list[bytes],
) -> None:
    async with contextlib.aclosing(generations.run(request)) as events:
        async for data in events:
            into.append(data)


def text(events: list[bytes]) -> str:
    return "".join(json.loads(e)["choices"][0]["text"] for e in events)


@pytest.mark.parametrize(
    "faults",
    [
        pytest.param([Fault.END_EARLY], id="truncated"),
        pytest.param([Fault.BROKEN], id="connection reset"),
        pytest.param([Fault.SILENT], id="silent connection"),
        pytest.param([Fault.FOREIGN], id="foreign chunk"),
        pytest.param([Fault.GAP], id="tokens missing"),
        pytest.param([Fault.MISSING_BEFORE_END], id="missing before the end"),
        pytest.param([Fault.BROKEN, Fault.REPEATED], id="resume repeats"),
        pytest.param([Fault.BROKEN, Fault.STALE_FENCE], id="owner changed"),
        pytest.param([Fault.BROKEN, Fault.UNREACHABLE], id="no route"),
        pytest.param([Fault.BROKEN, Fault.OUTCOME_UNKNOWN], id="lost again"),
        pytest.param([Fault.BROKEN] * 2, id="progress between breaks"),
    ],
)
async def test_broken_stream_is_resumed_to_completion(
    generations: generations_lib.Generations,
    cluster: dispatch_fakes.FakeCluster,
    make_request: MakeRequest,
    faults: list[Fault],
) -> None:
    engine = cluster.engines["engine-1"]
    engine.plan(*faults)
    events: list[bytes] = []
    await read(generations, make_request(), events)
    await generations.settle()
    assert text(events) == WHOLE
    assert engine.starts == ["request-1"]
    assert [r.offset for r in engine.requests][0] == 0
    assert all(r.offset for r in engine.requests[1:])
    assert [(r.started, r.completed) for r in cluster.releases] == [
        (True, True)
    ]


@pytest.mark.parametrize(
    ("fault", "lost"),
    [
        pytest.param(Fault.UNREACHABLE, True, id="unreachable"),
        pytest.param(Fault.UNAVAILABLE, False, id="503"),
        pytest.param(Fault.LEAVING, False, id="leaving"),
        pytest.param(Fault.NOT_LOADED, False, id="adapter not loaded"),
        pytest.param(Fault.STALE_FENCE, False, id="stale fence"),
    ],
)
async def test_refusal_before_output_is_retried_with_a_new_grant(
    generations: generations_lib.Generations,
    cluster: dispatch_fakes.FakeCluster,
    make_request: MakeRequest,
    fault: Fault,
    lost: bool,
) -> None:
    cluster.engines["engine-1"].plan(fault)
    events: list[bytes] = []
    await read(generations, make_request(), events)
    await generations.settle()
    assert text(events) == WHOLE
    assert len(cluster.admits) == 2
    assert cluster.admits[1].request_id == "request-1-2"
    assert cluster.releases[0].started is False
    assert cluster.releases[0].engine_failed is lost


async def test_engine_that_reports_leaving_gets_no_more_requests(
    generations: generations_lib.Generations,
    cluster: dispatch_fakes.FakeCluster,
    make_request: MakeRequest,
) -> None:
    """The endpoint list is updated late, so the directory needs the report."""
    cluster.engines["engine-1"].plan(Fault.LEAVING)
    await read(generations, make_request(), [])
    await generations.settle()
    assert not cluster.is_usable("engine-1")


async def test_engine_that_wants_a_pause_is_reported_with_its_length(
    generations: generations_lib.Generations,
    cluster: dispatch_fakes.FakeCluster,
    make_request: MakeRequest,
) -> None:
    """Regression: the next requests were sent to it in its pause."""
    cluster.engines["engine-1"].plan(Fault.PAUSED)
    await read(generations, make_request(), [])
    await generations.settle()
    pause = datetime.timedelta(seconds=2)
    assert cluster.pauses == [("engine-1", pause)]


@pytest.mark.parametrize(
    "fault",
    [
        pytest.param(Fault.OUTCOME_UNKNOWN, id="no answer"),
        pytest.param(Fault.SILENT, id="silent"),
        pytest.param(Fault.BROKEN, id="reset"),
    ],
)
async def test_failure_before_output_reconnects_to_the_run(
    generations: generations_lib.Generations,
    cluster: dispatch_fakes.FakeCluster,
    make_request: MakeRequest,
    fault: Fault,
) -> None:
    engine = cluster.engines["engine-1"]
    engine.plan(fault, at=0)
    events: list[bytes] = []
    await read(generations, make_request(), events)
    await generations.settle()
    assert text(events) == WHOLE
    assert engine.starts == ["request-1"]
    assert engine.cancelled == []


async def test_run_that_cannot_be_reconnected_is_cancelled_and_retried(
    generations: generations_lib.Generations,
    cluster: dispatch_fakes.FakeCluster,
    make_request: MakeRequest,
) -> None:
    engine = cluster.engines["engine-1"]
    engine.plan(*[Fault.BROKEN] * 3, at=0)
    events: list[bytes] = []
    await read(generations, make_request(), events)
    await generations.settle()
    assert text(events) == WHOLE
    assert engine.starts == ["request-1", "request-1-2"]
    assert engine.cancelled == ["request-1"]


async def test_refused_reconnect_reports_an_unknown_outcome(
    generations: generations_lib.Generations,
    cluster: dispatch_fakes.FakeCluster,
    make_request: MakeRequest,
) -> None:
    faults = [Fault.OUTCOME_UNKNOWN, Fault.UNAVAILABLE]
    cluster.engines["engine-1"].plan(*faults * 8)
    with pytest.raises(errors.OutcomeUnknownError):
        await read(generations, make_request(), [])
    await generations.settle()
    assert len(cluster.releases) == len(cluster.admits)


@pytest.mark.parametrize(
    "faults",
    [
        pytest.param([Fault.BROKEN, Fault.REFUSED], id="refused"),
        pytest.param([Fault.BROKEN] + [Fault.UNREACHABLE] * 3, id="gone"),
        pytest.param([Fault.CRASH], id="crash"),
        pytest.param([Fault.CRASH_AND_RESTART, Fault.REFUSED], id="empty"),
    ],
)
async def test_failed_run_is_never_continued_by_another(
    generations: generations_lib.Generations,
    cluster: dispatch_fakes.FakeCluster,
    make_request: MakeRequest,
    faults: list[Fault],
) -> None:
    cluster.engines["engine-1"].plan(*faults)
    events: list[bytes] = []
    with pytest.raises(
        errors.OutcomeUnknownError, match="could not be resumed"
    ):
        await read(generations, make_request(), events)
    await generations.settle()
    assert text(events) == dispatch_fakes.text_of(2)
    assert len(cluster.admits) == 1
    assert len(cluster.releases) == 1


async def test_closed_stream_cancels_the_run_before_the_release(
    generations: generations_lib.Generations,
    cluster: dispatch_fakes.FakeCluster,
    make_request: MakeRequest,
) -> None:
    engine = cluster.engines["engine-1"]
    events = generations.run(make_request())
    await anext(events)
    await events.aclose()
    assert cluster.releases == []
    await generations.settle()
    assert engine.cancelled == ["request-1"]
    assert [(r.started, r.completed) for r in cluster.releases] == [
        (True, True)
    ]


async def test_run_is_released_as_not_completed_if_the_cancel_fails(
    generations: generations_lib.Generations,
    cluster: dispatch_fakes.FakeCluster,
    make_request: MakeRequest,
) -> None:
    events = generations.run(make_request())
    await anext(events)
    cluster.engines["engine-1"].up = False
    await events.aclose()
    await generations.settle()
    assert [(r.started, r.completed) for r in cluster.releases] == [
        (True, False)
    ]


async def test_refusal_after_a_failed_run_reports_an_unknown_outcome(
    generations: generations_lib.Generations,
    cluster: dispatch_fakes.FakeCluster,
    make_request: MakeRequest,
) -> None:
    cluster.engines["engine-1"].plan(*[Fault.OUTCOME_UNKNOWN] * 3)
    first = peer_pb2.AdmitRequest(
        request_id="request-1",
        engine_id="engine-1",
        session_id=cluster.self_id,
    )
    refusal = peer_pb2.Refusal(reason="full", retry_after_ms=100)
    cluster.replies.append(peer_pb2.AdmitReply(grant=cluster.make_grant(first)))
    cluster.replies.extend([peer_pb2.AdmitReply(refusal=refusal)] * 2)
    with pytest.raises(errors.OutcomeUnknownError):
        await read(generations, make_request(), [])
    await generations.settle()


async def test_deadline_ends_a_run(
    generations: generations_lib.Generations,
    cluster: dispatch_fakes.FakeCluster,
    clock: dispatch_fakes.EagerClock,
    make_request: MakeRequest,
) -> None:
    events = generations.run(make_request(end_by=clock.monotonic() + 1))
    await anext(events)
    clock.seconds += 2
    with pytest.raises(dispatch_errors.DeadlinePassedError):
        await anext(events)
    await generations.settle()
    assert cluster.engines["engine-1"].cancelled == ["request-1"]


async def test_late_dispatch_is_not_run(
    generations: generations_lib.Generations,
    cluster: dispatch_fakes.FakeCluster,
    grants: grants_lib.GrantStore,
    make_request: MakeRequest,
) -> None:
    """A node paused between grant and dispatch must not dispatch late."""
    request = make_request()
    progress = generations_lib.Progress(attempt=1)
    run = await generations._admit_attempt(request, progress)  # noqa: SLF001
    generations.clock.seconds += 6  # type: ignore[attr-defined]
    with pytest.raises(errors.NotRunError, match="in time"):
        await anext(run.chunks())
    assert cluster.engines["engine-1"].starts == []


async def test_resume_uses_the_token_of_the_new_owner(
    generations: generations_lib.Generations,
    cluster: dispatch_fakes.FakeCluster,
    grants: grants_lib.GrantStore,
    make_request: MakeRequest,
) -> None:
    engine = cluster.engines["engine-1"]
    engine.plan(Fault.BROKEN)
    events = generations.run(make_request())
    await anext(events)
    await grants.list_grants(
        peer_pb2.ListGrantsRequest(engine_id="engine-1", token=7)
    )
    cluster.owners["engine-1"] = dispatch_fakes.FakeOwner(
        "engine-1", cluster.self_id, 7
    )
    async for _ in events:
        pass
    await generations.settle()
    assert [request.token for request in engine.requests] == [1, 7]


@pytest.mark.parametrize(
    ("counts", "whole"),
    [
        pytest.param([1, 2, 3], True, id="counted"),
        pytest.param([1, 1, 3], False, id="one is missing"),
    ],
)
async def test_event_of_several_tokens_must_count_them(
    generations: generations_lib.Generations,
    cluster: dispatch_fakes.FakeCluster,
    make_request: MakeRequest,
    counts: list[int],
    whole: bool,
) -> None:
    async def open_stream(
        request: models.EngineRequest,
    ) -> AsyncIterator[models.StreamChunk]:
        for offset, count in zip((1, 3, 6), counts, strict=True):
            data = json.dumps({"tokens": count}).encode()
            yield models.StreamChunk(request.request_id, offset, data)
        yield models.StreamChunk(request.request_id, 6, b"", end=True)

    engine = cluster.engines["engine-1"]
    engine.open_stream = open_stream  # type: ignore[method-assign]
    events: list[bytes] = []
    if whole:
        await read(generations, make_request(), events)
    else:
        with pytest.raises(errors.OutcomeUnknownError, match="are missing"):
            await read(generations, make_request(), events)
    await generations.settle()
    assert len(events) == (3 if whole else 1)


async def test_endless_events_before_the_first_token_are_bounded(
    generations: generations_lib.Generations,
    cluster: dispatch_fakes.FakeCluster,
    make_request: MakeRequest,
) -> None:
    """Regression: a node kept all of them until the request's deadline."""
    data = json.dumps({"tokens": 0, "padding": "x" * 65_536}).encode()
    sent = 0

    async def open_stream(
        request: models.EngineRequest,
    ) -> AsyncIterator[models.StreamChunk]:
        nonlocal sent
        for _ in range(1_000):
            sent += 1
            yield models.StreamChunk(request.request_id, 0, data)

    for engine in cluster.engines.values():
        engine.open_stream = open_stream  # type: ignore[method-assign]
    events: list[bytes] = []
    with pytest.raises(errors.DispatchError):
        await read(generations, make_request(), events)
    await generations.settle()
    assert events == []
    assert sent < 500


async def test_engine_that_leaves_after_the_grant_gets_no_request(
    generations: generations_lib.Generations,
    cluster: dispatch_fakes.FakeCluster,
    make_request: MakeRequest,
) -> None:
    admit = cluster.admit

    async def admit_and_leave(
        request: peer_pb2.AdmitRequest,
    ) -> peer_pb2.AdmitReply:
        reply = await admit(request)
        cluster.unusable.add("engine-1")
        return reply

    cluster.admit = admit_and_leave  # type: ignore[method-assign]
    events: list[bytes] = []
    await read(generations, make_request(), events)
    await generations.settle()
    assert text(events) == WHOLE
    assert cluster.engines["engine-1"].starts == []
    assert [release.started for release in cluster.releases] == [False, True]
