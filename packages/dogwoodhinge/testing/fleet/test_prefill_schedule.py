"""Tests of the turns in which engines get their prompts."""

import random

import pytest

from _dogwoodhinge.fleet import prefill_schedule

# An engine of the quote desk, as its sheet states.
STEP_SECONDS = 0.0105
TOKENS_PER_SECOND = 19_200
CHUNK_TOKENS = 2_048
STEPS_PER_EVENT = 3
ALLOWED_PAUSE_SECONDS = 0.3
TARGET_SECONDS = 0.8

PACE = 0.8 * TOKENS_PER_SECOND


def burst(rng: random.Random) -> list[tuple[float, int]]:
    """Returns times and lengths of the prompts for one engine, in clumps.

    They take up 40% of the time of the engine on average.
    """
    prompts = []
    at = 0.0
    while at < 60.0:
        at += rng.expovariate(4.0)
        prompts += [
            (at, min(4_000, int(rng.lognormvariate(6.6, 0.8))))
            for _ in range(rng.randint(1, 3))
        ]
    return prompts


def play(prompts: list[tuple[float, int]]) -> tuple[float, float]:
    """Plays the steps of an engine that always has streams running.

    Args:
        prompts: times at which prompts arrive at the engine, and their tokens.

    Returns:
        Share of the time in events that come later than callers allow, and
        mean seconds from the arrival of a prompt until it is read.
    """
    waiting: list[list[float]] = []
    coming = sorted(prompts)
    now = paused = read_seconds = 0.0
    while coming or waiting:
        began = now
        for _ in range(STEPS_PER_EVENT):
            while coming and coming[0][0] <= now:
                waiting.append(list(coming.pop(0)))
            room = float(CHUNK_TOKENS)
            while waiting and room > 0:
                part = min(room, waiting[0][1])
                room -= part
                waiting[0][1] -= part
                if waiting[0][1] <= 0:
                    read_seconds += now - waiting.pop(0)[0]
            now += STEP_SECONDS + (CHUNK_TOKENS - room) / TOKENS_PER_SECOND
        if now - began > ALLOWED_PAUSE_SECONDS:
            paused += now - began
    return paused / now, read_seconds / len(prompts)


def in_turn(prompts: list[tuple[float, int]]) -> list[tuple[float, int]]:
    """Returns the prompts with the times at which they are sent in turn."""
    schedule = prefill_schedule.PrefillSchedule()
    return [
        (
            at
            + schedule.reserve(
                "e1",
                tokens,
                tokens_per_second=PACE,
                longest_delay=TARGET_SECONDS - 0.1 - tokens / TOKENS_PER_SECOND,
                now=at,
            ),
            tokens,
        )
        for at, tokens in prompts
    ]


@pytest.mark.parametrize("seed", range(4))
def test_streams_pause_less_when_prompts_come_in_turn(seed: int) -> None:
    """Regression: half of all streams were late by a pause under prompts.

    Load pattern: clumps of prompts from many nodes for one engine.
    """
    prompts = burst(random.Random(seed))
    paused_before, _ = play(prompts)
    paused_after, _ = play(in_turn(prompts))
    assert paused_before > 0.05
    assert paused_after < paused_before / 2


def test_prompt_is_sent_at_once_to_an_idle_engine() -> None:
    schedule = prefill_schedule.PrefillSchedule()
    delay = schedule.reserve(
        "e1", 1_000, tokens_per_second=PACE, longest_delay=1.0, now=5.0
    )
    assert delay == 0.0


@pytest.mark.parametrize(
    ("longest_delay", "delay"), [(1.0, 0.5), (0.2, 0.0), (-1.0, 0.0)]
)
def test_prompt_waits_for_those_before_it_or_not_at_all(
    longest_delay: float, delay: float
) -> None:
    schedule = prefill_schedule.PrefillSchedule()
    for engine_id in ("e1", "e2"):
        schedule.reserve(
            engine_id,
            500,
            tokens_per_second=1_000,
            longest_delay=1.0,
            now=5.0,
        )
    assert schedule.reserve(
        "e1",
        500,
        tokens_per_second=1_000,
        longest_delay=longest_delay,
        now=5.0,
    ) == pytest.approx(delay)
