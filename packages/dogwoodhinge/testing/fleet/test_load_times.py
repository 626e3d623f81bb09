"""Tests of `_dogwoodhinge.fleet.load_times`."""

import pytest

from _dogwoodhinge.fleet import load_times
from _dogwoodhinge.fleet import placement

# One load in so many may turn out to have been expected too early.
LOADS_AN_EARLY_ONE = 30


def play(
    times: load_times.LoadTimes,
    truth: float,
    *,
    loads: int,
    every: float,
    begin: float = 0.0,
) -> int:
    """Orders loads at a steady pace; returns how many were early.

    A request that comes too early tries again after a moment.
    """
    waiting: list[tuple[float, float, float, int]] = []
    early = 0
    for number in range(loads):
        now = begin + number * every
        for load in [w for w in waiting if w[0] <= now]:
            waiting.remove(load)
            ready_at, ordered_at, expected, on_way = load
            if ready_at - ordered_at < truth:
                early += ready_at == ordered_at + expected
                times.note_early(
                    ordered_at, expected=expected, on_way=on_way, now=ready_at
                )
                again_at = ready_at + placement.TOO_EARLY_PAUSE_SECONDS
                waiting.append((again_at, ordered_at, expected, on_way))
        expected = times.expected(now)
        on_way = times.on_way(now)
        waiting.append((now + expected, now, expected, on_way))
        times.note_ordered(now)
    return early


def test_steady_loads_are_seldom_expected_too_early() -> None:
    """One in eight was: the estimate fell until requests were refused."""
    times = load_times.LoadTimes()
    play(times, 0.25, loads=300, every=0.06)
    early = play(times, 0.25, loads=1500, every=0.06, begin=18.0)
    assert early <= 1500 / LOADS_AN_EARLY_ONE


def test_steady_loads_are_not_waited_for_much_longer_than_they_take() -> None:
    times = load_times.LoadTimes()
    play(times, 0.25, loads=1500, every=0.06)
    assert times.expected(90.0) <= 0.25 * 1.15


def test_crowd_that_has_passed_does_not_prolong_later_loads() -> None:
    times = load_times.LoadTimes()
    play(times, 0.25, loads=200, every=0.06)
    play(times, 0.6, loads=100, every=0.02, begin=12.0)
    play(times, 0.25, loads=200, every=0.06, begin=14.0)
    assert times.expected(26.0) <= 0.25 * 1.15


def test_one_load_that_never_came_shows_nothing_lasting() -> None:
    times = load_times.LoadTimes()
    for _ in range(10):
        times.note_early(0.0, expected=0.26, on_way=0, now=0.33)
    for _ in range(200):
        times.note_ordered(1.0)
    assert times.expected(1.5) < 0.26


def test_load_from_memory_takes_a_part() -> None:
    times = load_times.LoadTimes()
    part = times.expected(0.0, from_store=False) / times.expected(0.0)
    assert part == pytest.approx(load_times.MEMORY_LOAD_FACTOR)
