"""Tests of `_dogwoodhinge.fleet.long_prompts`: engines for long prompts."""

import pytest

from _dogwoodhinge.fleet import engines
from _dogwoodhinge.fleet import long_prompts
from _dogwoodhinge.fleet import models
from _dogwoodhinge.fleet import placement as placement_lib
from _dogwoodhinge.fleet import places

KEY = models.AdapterKey("base", "a1")
IDS = [f"e{number}" for number in range(12)]


@pytest.mark.parametrize(
    ("count", "apart"),
    [(0, 0), (3, 0), (4, 1), (6, 1), (7, 2), (30, 5), (45, 8)],
    ids=str,
)
def test_one_engine_in_six_takes_long_prompts(count: int, apart: int) -> None:
    found = long_prompts.engines_apart(f"e{n}" for n in range(count))
    assert len(found) == apart


def test_all_nodes_choose_the_same_engines_in_any_order() -> None:
    found = long_prompts.engines_apart(IDS)
    assert found == long_prompts.engines_apart(reversed(IDS))


def test_engine_that_leaves_moves_no_other_long_engine() -> None:
    found = long_prompts.engines_apart(IDS)
    others = [e for e in IDS if e not in found]
    assert long_prompts.engines_apart(e for e in IDS if e != others[0]) == found


def find(placement: placement_lib.Placement, tokens: int, busy: int) -> str:
    """Places an adapter; the engines for long prompts run `busy` requests."""
    apart = long_prompts.engines_apart(IDS)
    candidates = [
        places.Candidate(e, 3, 8, engines.Work(busy if e in apart else 0), 0.0)
        for e in IDS
    ]
    seat = placement.find(
        KEY, 0, candidates, avoid=(), prompt_tokens=tokens, now=0.0
    )
    assert isinstance(seat, places.Seat)
    return seat.engine_id


@pytest.fixture
def placement() -> placement_lib.Placement:
    found = placement_lib.Placement()
    for engine_id in IDS:
        found.set_engine(
            engine_id,
            capacity=3,
            residents={},
            pending={},
            in_memory=(),
            now=0.0,
        )
    return found


def test_long_prompt_waits_for_others_of_its_kind(
    placement: placement_lib.Placement,
) -> None:
    apart = long_prompts.engines_apart(IDS)
    assert find(placement, long_prompts.LONG_TOKENS, busy=8) in apart


def test_long_prompt_goes_elsewhere_when_they_are_overloaded(
    placement: placement_lib.Placement,
) -> None:
    apart = long_prompts.engines_apart(IDS)
    assert find(placement, long_prompts.LONG_TOKENS, busy=24) not in apart


def test_short_prompt_goes_where_least_runs(
    placement: placement_lib.Placement,
) -> None:
    apart = long_prompts.engines_apart(IDS)
    assert find(placement, 600, busy=8) not in apart
