"""Tests of the division of slots among organisations."""

import dataclasses

import pytest

from _dogwoodhinge.fleet import fair_shares
from _dogwoodhinge.fleet import models
from dogwoodhinge_lab import queue_replay

USUAL = queue_replay.Kind(rank=0, rate=30, target=0.5, max_wait=1.0)
ORGANISATIONS = {
    name: dataclasses.replace(USUAL, organisation=name) for name in "abcd"
}


def organisation(
    name: str,
    per_second: float | None,
    unit: models.QuotaUnit = models.QuotaUnit.REQUESTS,
) -> models.Organisation:
    quota = None
    if per_second is not None:
        quota = models.Quota(unit=unit, per_second=per_second, burst=1)
    return models.Organisation(name=name, quota=quota)


def take_turns(use: fair_shares.SlotUse, waiting: str, now: float = 0.0) -> str:
    return "".join(
        use.in_turn(list(waiting), now, organisation_of=lambda name: name)
    )


def test_organisations_take_turns() -> None:
    assert take_turns(fair_shares.SlotUse(), "aaabbc") == "abcaba"


def test_recent_slots_count() -> None:
    use = fair_shares.SlotUse()
    use.record("a", 0.0)
    use.record("a", 0.0)
    assert take_turns(use, "aabb") == "bbaa"
    assert take_turns(use, "aabb", now=60.0) == "abab"


def test_weights_decide_the_shares() -> None:
    use = fair_shares.SlotUse()
    use.weights = {"a": 3.0, "b": 1.0}
    assert take_turns(use, "aaaaaabb")[:4].count("a") == 3


def test_one_organisation_keeps_its_order() -> None:
    use = fair_shares.SlotUse()
    items = [3, 1, 2]
    assert use.in_turn(items, 0.0, organisation_of=lambda _: "a") == items


@pytest.mark.parametrize(
    ("organisations", "expected"),
    [
        pytest.param(
            [("a", 30.0), ("b", 10.0)], {"a": 1.5, "b": 0.5}, id="two"
        ),
        pytest.param([("a", 30.0), ("b", None)], {"a": 1.0}, id="no_quota"),
        pytest.param([("a", 0.0), ("b", 0.0)], {}, id="nothing_allowed"),
    ],
)
def test_weights_follow_the_quotas(
    organisations: list[tuple[str, float | None]], expected: dict[str, float]
) -> None:
    assert (
        fair_shares.weights(organisation(*pair) for pair in organisations)
        == expected
    )


def test_quotas_of_different_units_are_not_compared() -> None:
    tokens = models.QuotaUnit.TOKENS
    found = fair_shares.weights(
        [organisation("a", 5.0), organisation("b", 90_000.0, tokens)]
    )
    assert found == {"a": 1.0, "b": 1.0}


def test_organisation_that_sends_seven_times_its_usual_pays_itself() -> None:
    """Load pattern: slots for all that is usual, and one organisation's surge.

    Without shares, all organisations lose the same part of their requests.
    """
    kinds = {**ORGANISATIONS, "a": dataclasses.replace(USUAL, rate=210)}
    kinds["a"] = dataclasses.replace(kinds["a"], organisation="a")
    without = queue_replay.replay(kinds, slots_per_second=130, ranked=False)
    shared = queue_replay.replay(kinds, slots_per_second=130)
    for name in "bcd":
        assert without[name].on_time_share < 0.6
        assert shared[name].on_time_share > 0.9
    # It gets what the others leave: 40 of its 210 requests a second.
    assert shared["a"].share > 0.15


def test_what_one_organisation_leaves_goes_to_the_others() -> None:
    kinds = {
        "a": dataclasses.replace(ORGANISATIONS["a"], rate=100),
        "b": dataclasses.replace(ORGANISATIONS["b"], rate=10),
    }
    served = queue_replay.replay(kinds, slots_per_second=100)
    assert served["a"].share > 0.85
    assert served["b"].share > 0.95
