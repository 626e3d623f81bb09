"""Tests of `_dogwoodhinge.gateway.prompt_parts`."""

import asyncio

import pytest

from _dogwoodhinge.gateway import prompt_parts
from _dogwoodhinge.quarantine import records


@pytest.mark.parametrize(
    ("shared_parts", "expected"),
    [
        pytest.param((), (), id="none"),
        pytest.param(("a1", "b2"), ("part/a1", "part/b2"), id="plain"),
        pytest.param(("a1", "a1"), ("part/a1",), id="repeated"),
    ],
)
def test_fingerprints_name_each_part(
    shared_parts: tuple[str, ...], expected: tuple[str, ...]
) -> None:
    assert prompt_parts.fingerprints(shared_parts) == expected


@pytest.mark.parametrize("part_id", ["a b", "x" * 10_000, "\u00e9", "~a1", "/"])
def test_odd_id_has_a_short_fingerprint_of_its_own(part_id: str) -> None:
    (found,) = prompt_parts.fingerprints((part_id,))
    assert records.is_part(found)
    assert len(found) < 100
    assert prompt_parts.fingerprints((part_id + "x",)) != (found,)


def test_parts_beyond_the_limit_count_as_one() -> None:
    ids = tuple(f"{n:x}" for n in range(5_000))
    found = prompt_parts.fingerprints(ids)
    assert len(found) == prompt_parts.MAX_PARTS
    assert prompt_parts.fingerprints(ids[:-1])[:-1] == found[:-1]
    assert prompt_parts.fingerprints(ids[:-1])[-1] != found[-1]


async def test_popular_parts_stay_among_many_others() -> None:
    sound = prompt_parts.SoundParts()
    for number in range(3 * prompt_parts.MAX_SOUND_PARTS):
        sound.add([f"part/{number}"])
        if number % 100 == 0:
            sound.add(["part/popular"])
    assert "part/popular" in sound
    assert "part/0" not in sound
    assert len(sound.succeeded_at) == prompt_parts.MAX_SOUND_PARTS


async def test_success_counts_from_its_time_on() -> None:
    sound = prompt_parts.SoundParts()
    before = asyncio.get_running_loop().time() - 1
    sound.add(["part/a"])
    after = asyncio.get_running_loop().time() + 1
    assert sound.succeeded_since("part/a", before)
    assert not sound.succeeded_since("part/a", after)
    assert not sound.succeeded_since("part/b", before)


@pytest.mark.parametrize(
    ("waited", "expected"),
    [
        pytest.param(0.0, False, id="at once"),
        pytest.param(1.9, False, id="before the wait is over"),
        pytest.param(2.1, True, id="after it"),
        pytest.param(40.0, False, id="a wait of an earlier crash"),
    ],
)
async def test_suspects_are_claimed_together_after_a_wait(
    waited: float, expected: bool
) -> None:
    sole_claims = prompt_parts.SoleClaims()
    now = asyncio.get_running_loop().time()
    sole_claims.waiting_since = {"a": now - waited, "b": now - waited}
    assert sole_claims.may_claim_together(["a", "b"]) is expected


async def test_waiting_suspects_are_bounded() -> None:
    sole_claims = prompt_parts.SoleClaims()
    for number in range(3 * prompt_parts.MAX_WAITING_SUSPECTS):
        sole_claims.may_claim_together([f"{number}", "x"])
    limit = prompt_parts.MAX_WAITING_SUSPECTS + 2
    assert len(sole_claims.waiting_since) <= limit
