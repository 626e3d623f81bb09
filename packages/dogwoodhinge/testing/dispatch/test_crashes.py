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
def watch() -> crashes.CrashWatch:
    return crashes.CrashWatch(clock=dispatch_fakes.EagerClock())


async def _silence() -> None:
    await asyncio.Event().wait()


async def _lose_answer() -> None:
    raise errors.EngineError("gave no whole answer")


async def _refuse_connection() -> None:
    raise errors.EngineUnreachableError("connection refused")


def fail_reports(
    engine: dispatch_fakes.FakeEngine,
    monkeypatch: pytest.MonkeyPatch,
    *failures: Any,
) -> None:
    """Makes the next reports fail, one way each."""
    planned = collections.deque(failures)
    report = engine.report

    async def fail_or_report() -> models.EngineReport:
        if planned:
            await planned.popleft()()
        return await report()

    monkeypatch.setattr(engine, "report", fail_or_report)


@pytest.mark.parametrize(
    "failure",
    [
        pytest.param(_silence, id="silent"),
        pytest.param(_lose_answer, id="answer_lost"),
    ],
)
async def test_a_silent_connection_is_no_crash(
    engine: dispatch_fakes.FakeEngine,
    watch: crashes.CrashWatch,
    monkeypatch: pytest.MonkeyPatch,
    failure: Any,
) -> None:
    """Kept connections fell silent; the engine ran on.

    The report was asked for over one of them. Its request was made a suspect
    and the only engine was hidden, so the next ones were refused.
    """
    monkeypatch.setattr(crashes, "EPOCH_TIMEOUT", crashes.EPOCH_TIMEOUT / 100)
    await watch.prepare(engine)
    fail_reports(engine, monkeypatch, failure)
    assert not await watch.has_crashed(engine, since=0.0)


async def test_an_engine_that_stays_silent_has_crashed(
    engine: dispatch_fakes.FakeEngine,
    watch: crashes.CrashWatch,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(crashes, "EPOCH_TIMEOUT", crashes.EPOCH_TIMEOUT / 100)
    await watch.prepare(engine)
    fail_reports(engine, monkeypatch, *[_silence] * 5)
    assert await watch.has_crashed(engine, since=0.0)


async def test_an_engine_that_can_not_be_reached_has_crashed(
    engine: dispatch_fakes.FakeEngine,
    watch: crashes.CrashWatch,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    await watch.prepare(engine)
    fail_reports(engine, monkeypatch, _refuse_connection)
    assert await watch.has_crashed(engine, since=0.0)


async def test_another_epoch_is_a_crash(
    engine: dispatch_fakes.FakeEngine, watch: crashes.CrashWatch
) -> None:
    engine.restarts = True
    await watch.prepare(engine)
    engine.crash()
    assert await watch.has_crashed(engine, since=0.0)
