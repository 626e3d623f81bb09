"""Tests of the pause that an engine asks for."""

import datetime
import math

import pytest

from _dogwoodhinge.fleet import pause as pause_lib
from _dogwoodhinge.gateway import pause_queue


def paused(*seconds: float, at: float = 100.0) -> pause_lib.Pause:
    """Returns a pause that was asked for several times at a loop time."""
    pause = pause_lib.Pause()
    for value in seconds:
        pause.extend(datetime.timedelta(seconds=value), at)
    return pause


def test_engine_without_a_pause_is_open() -> None:
    assert pause_lib.Pause().opens_at(500, 100.0) == 100.0


@pytest.mark.parametrize(
    ("seconds", "until"),
    [((2.5,), 102.5), ((3.0, 1.0), 103.0), ((1.0, 3.0), 103.0)],
    ids=["one", "shorter later", "longer later"],
)
def test_latest_end_holds(seconds: tuple[float, ...], until: float) -> None:
    assert paused(*seconds).until == until


def test_long_pause_is_cut() -> None:
    limit = pause_lib.MAX_PAUSE.total_seconds()
    assert paused(3600.0).until == 100.0 + limit


@pytest.mark.parametrize(
    ("running", "opens_at"),
    [(0, 101.0), (1, 101.1), (2, 101.2), (3, 101.2), (4, 101.3), (64, 101.7)],
)
def test_requests_at_once_double_after_the_end(
    running: int, opens_at: float
) -> None:
    """Load pattern: many requests have waited for the end of the pause."""
    assert paused(1.0).opens_at(running, 100.5) == pytest.approx(opens_at)


def test_limit_is_lifted_some_time_after_the_end() -> None:
    assert paused(1.0).opens_at(10_000, 102.0) == 102.0


@pytest.mark.parametrize(
    ("opens_in", "ahead", "time_left", "expected"),
    [
        (0.5, 0, 1.0, True),
        (1.5, 0, 1.0, False),
        (0.5, 31, 1.0, True),
        (0.6, 31, 1.0, False),
        (0.0, pause_queue.MAX_WAITERS, 60.0, False),
        (math.inf, 0, 60.0, False),
    ],
    ids=["in time", "late", "in turn", "turn late", "queue full", "no engine"],
)
def test_request_waits_only_if_its_turn_comes_in_time(
    opens_in: float, ahead: int, time_left: float, expected: bool
) -> None:
    """Load pattern: all engines want a pause while callers go on sending."""
    assert pause_queue.may_wait(opens_in, ahead, time_left) is expected
