"""Tests of `_dogwoodhinge.engine_scheduling.health`."""

import pytest

from _dogwoodhinge.engine_scheduling import health as health_lib

EMPTY, FULL = 0.1, 0.9


def observe(
    health: health_lib.EngineHealth, count: int, *, gap: float, fill: float
) -> None:
    for _ in range(count):
        health.observe(gap_seconds=gap, fill=fill)


@pytest.fixture
def health() -> health_lib.EngineHealth:
    engine_health = health_lib.EngineHealth()
    observe(engine_health, 20, gap=0.014, fill=EMPTY)
    return engine_health


def test_full_batch_is_not_slow(health: health_lib.EngineHealth) -> None:
    observe(health, 20, gap=0.036, fill=FULL)
    assert not health.is_slow
    observe(health, 20, gap=0.014, fill=EMPTY)
    observe(health, 20, gap=0.036, fill=FULL)
    assert not health.is_slow


@pytest.mark.parametrize(
    ("gap", "fill"),
    [
        pytest.param(0.056, EMPTY, id="same fill level"),
        pytest.param(0.112, FULL, id="higher fill level"),
    ],
)
def test_slow_engine_is_detected_and_recovers(
    health: health_lib.EngineHealth, gap: float, fill: float
) -> None:
    observe(health, 3, gap=gap, fill=fill)
    assert health.is_slow
    assert health.slowdown() > health_lib.SLOW_FACTOR
    observe(health, 8, gap=0.014, fill=EMPTY)
    assert not health.is_slow
    assert health.accepts_request(0.0)


def test_long_slowdown_does_not_change_the_baseline(
    health: health_lib.EngineHealth,
) -> None:
    observe(health, 500, gap=0.056, fill=EMPTY)
    assert health.is_slow


def test_probe_interval_grows(health: health_lib.EngineHealth) -> None:
    observe(health, 5, gap=0.056, fill=EMPTY)
    probes = [
        second
        for second in range(1, 50)
        if health.accepts_request(float(second))
    ]
    assert probes == [2, 6, 14, 30, 46]
