"""Tests of `_dogwoodhinge.dispatch.crashes`."""

import asyncio
import collections
from typing import Any

import pytest

from _dogwoodhinge.dispatch import crashes
from dogwoodhinge import errors
from dogwoodhinge import models
from dogwoodhinge_lab import dispatch_fakes


@pytest.fixture
def engine() -> dispatch_fakes.FakeEngine:
    endpoint = models.Endpoint(
        endpoint_id="engine-1",
        kind=models.EndpointKind.ENGINE,
        url="http://127.0.0.1:1",
        role="description",
        zone="zone-a",
    )
    return dispatch_fakes.FakeEngine(endpoint)


@pytest.fixture
def detector() -> crashes.CrashDetector:
    return crashes.CrashDetector(clock=dispatch_fakes.EagerClock())


async def _never_answer() -> None:
    await asyncio.Event().wait()


async def _lose_answer() -> None:
    raise errors.EngineError("the answer is incomplete")


async def _refuse_connection() -> None:
    raise errors.EngineUnreachableError("connection refused")


def fail_reports(
    engine: dispatch_fakes.FakeEngine,
    monkeypatch: pytest.MonkeyPatch,
    *failures: Any,
) -> None:
    """Makes the next reports fail, each with its own failure."""
    remaining_failures = collections.deque(failures)
    report = engine.report

    async def fail_or_report() -> models.EngineReport:
        if remaining_failures:
            await remaining_failures.popleft()()
        return await report()

    monkeypatch.setattr(engine, "report", fail_or_report)


@pytest.mark.parametrize(
    "failure",
    [
        pytest.param(_never_answer, id="silent"),
        pytest.param(_lose_answer, id="answer_lost"),
    ],
)
async def test_unresponsive_connection_is_no_crash(
    engine: dispatch_fakes.FakeEngine,
    detector: crashes.CrashDetector,
    monkeypatch: pytest.MonkeyPatch,
    failure: Any,
) -> None:
    """A report over an unresponsive connection must not count as a crash.

    Pooled connections became unresponsive while the engine was running. When
    the report used one of them, the request became a suspect, the only engine
    was taken out of use, and the following requests were rejected.
    """
    monkeypatch.setattr(crashes, "EPOCH_TIMEOUT", crashes.EPOCH_TIMEOUT / 100)
    await detector.ensure_epoch(engine)
    fail_reports(engine, monkeypatch, failure)
    assert not await detector.has_crashed(engine, since=0.0)


async def test_engine_that_never_answers_has_crashed(
    engine: dispatch_fakes.FakeEngine,
    detector: crashes.CrashDetector,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(crashes, "EPOCH_TIMEOUT", crashes.EPOCH_TIMEOUT / 100)
    await detector.ensure_epoch(engine)
    fail_reports(engine, monkeypatch, *[_never_answer] * 5)
    assert await detector.has_crashed(engine, since=0.0)


async def test_unreachable_engine_has_crashed(
    engine: dispatch_fakes.FakeEngine,
    detector: crashes.CrashDetector,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    await detector.ensure_epoch(engine)
    fail_reports(engine, monkeypatch, _refuse_connection)
    assert await detector.has_crashed(engine, since=0.0)


async def test_changed_epoch_is_a_crash(
    engine: dispatch_fakes.FakeEngine, detector: crashes.CrashDetector
) -> None:
    engine.restarts = True
    await detector.ensure_epoch(engine)
    engine.crash()
    assert await detector.has_crashed(engine, since=0.0)
