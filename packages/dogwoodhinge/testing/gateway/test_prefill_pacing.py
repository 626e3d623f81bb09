"""Tests of the decision when prompts are sent."""

import asyncio
import datetime
import types
from typing import Any

import pytest

from _dogwoodhinge.fleet import leader as leader_lib
from _dogwoodhinge.gateway import prefill_pacing

ALLOWED = datetime.timedelta(milliseconds=300)


class FakeLeaderClient:
    """Gives turns after a fixed delay; None if there is no leader."""

    def __init__(self, delay: float | None) -> None:
        self.delay = delay
        self.asked: list[dict[str, Any]] = []

    async def reserve_prefill(
        self, engine_id: str, tokens: int, **limits: float
    ) -> float:
        """Returns the delay."""
        self.asked.append({"engine": engine_id, "tokens": tokens, **limits})
        if self.delay is None:
            raise leader_lib.NotLeaderError("no leader")
        return self.delay


def make(delay: float | None) -> prefill_pacing.PrefillPacing:
    client: Any = FakeLeaderClient(delay)
    return prefill_pacing.PrefillPacing(client)


def call(**changes: Any) -> Any:
    """Returns the parts of a call that the decision reads."""
    steps: list[str] = []
    values = {
        "service": "llm",
        "events": 20,
        "longest_pause": 0.36,
        "turn_engine": "",
        "route": types.SimpleNamespace(longest_pause=ALLOWED),
        "unread_tokens": 1_000,
        "steps": steps,
        "add_step": steps.append,
        "time_to_target": lambda: 0.8,
        "time_left": lambda: 10.0,
    }
    return types.SimpleNamespace(**{**values, **changes})


ENGINE: Any = types.SimpleNamespace(engine_id="e1")


def asked(pacing: prefill_pacing.PrefillPacing) -> list[dict[str, Any]]:
    client: Any = pacing.leader_client
    return client.asked


async def wait(pacing: prefill_pacing.PrefillPacing, one: Any) -> float:
    """Waits for a turn and returns how long it took, in seconds."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    await pacing.wait_for_turn(one, ENGINE, begun=False)
    return loop.time() - began


async def test_prompt_waits_for_its_turn() -> None:
    pacing = make(0.05)
    one = call()
    assert await wait(pacing, one) >= 0.045
    assert one.steps == ["paced e1: 0.050"]


@pytest.mark.parametrize(
    ("pauses", "paced"),
    [
        ([0.36] * 3 + [0.1] * 12, True),
        ([0.36] * 1 + [0.1] * 12, False),
        ([0.1] * 5, True),
    ],
    ids=["many long pauses", "a single one", "few streams yet"],
)
async def test_prompts_are_paced_while_streams_may_pause_too_long(
    pauses: list[float], paced: bool
) -> None:
    pacing = make(0.0)
    for pause in pauses:
        pacing.record_stream(call(longest_pause=pause))
    await wait(pacing, call())
    assert bool(asked(pacing)) is paced


async def test_refused_prompt_does_not_wait_for_a_second_turn() -> None:
    pacing = make(0.0)
    one = call()
    for _ in range(2):
        await wait(pacing, one)
    assert len(asked(pacing)) == 1


async def test_prompts_are_sent_as_they_come_without_a_leader() -> None:
    pacing = make(None)
    for _ in range(2):
        assert await wait(pacing, call()) < 0.04
    assert len(asked(pacing)) == 1


def test_speed_is_that_of_the_fast_prompts() -> None:
    """Most prompts wait behind others, which the node does not see."""
    pacing = make(0.0)
    assert pacing.speed("llm") == prefill_pacing.INITIAL_SPEED
    for seconds in [0.05] * 3 + [0.2] * 12:
        pacing.record_first_event("llm", 1_000, seconds)
    pacing.record_first_event("llm", 10, 0.0001)
    assert pacing.speed("llm") == pytest.approx(20_000)


@pytest.mark.parametrize(
    ("time_to_target", "longest"), [(0.8, 0.6), (0.1, 0.5), (-3.0, 0.5)]
)
def test_prompt_may_wait_while_its_first_event_can_be_on_time(
    time_to_target: float, longest: float
) -> None:
    delay = prefill_pacing.longest_delay_seconds(time_to_target, 1_000, 10_000)
    assert delay == pytest.approx(longest)
