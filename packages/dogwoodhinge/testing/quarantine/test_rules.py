"""Tests of `_dogwoodhinge.quarantine.rules`."""

from typing import Any

import pytest

from _dogwoodhinge.quarantine import records
from _dogwoodhinge.quarantine import rules

SUSPECT = records.Verdict.SUSPECT
RERUNNING = records.Verdict.RERUNNING
CONVICTED = records.Verdict.CONVICTED
CLEARED = records.Verdict.CLEARED


def record(
    verdict: records.Verdict, *engines: str, **changes: Any
) -> records.QuarantineRecord:
    """Returns a record of the request `f`."""
    return records.QuarantineRecord(
        fingerprint="f",
        verdict=verdict,
        customer="c",
        engines=engines,
        **changes,
    )


def cleared(*engines: str) -> records.QuarantineRecord:
    """Returns the record of a request that has survived some crashes."""
    return record(CLEARED, cleared_engines=engines)


def after(
    old: records.QuarantineRecord | None,
    engine: str,
    *,
    claim: str = "",
    policy: rules.Policy = rules.SHARED_ENGINES,
) -> records.QuarantineRecord:
    crash = rules.suspect("f", customer="c", engine_id=engine)
    return rules.after_crash(old, crash=crash, claim=claim, policy=policy)


@pytest.mark.parametrize(
    ("old", "claim", "expected"),
    [
        pytest.param(None, "", record(SUSPECT, "e9"), id="first"),
        pytest.param(
            record(SUSPECT, "e1"), "", record(SUSPECT, "e1", "e9"), id="second"
        ),
        pytest.param(
            record(SUSPECT, "e1", "e9"),
            "",
            record(SUSPECT, "e1", "e9"),
            id="reported twice",
        ),
        pytest.param(
            record(RERUNNING, "e1", "e2", claim="a", reruns=1),
            "a",
            record(CONVICTED, "e1", "e2", "e9", reruns=1),
            id="under the claim",
        ),
        pytest.param(
            record(RERUNNING, "e1", "e2", claim="a", reruns=1),
            "",
            record(RERUNNING, "e1", "e2", "e9", claim="a", reruns=1),
            id="beside the claim",
        ),
        pytest.param(
            cleared("e1", "e2"),
            "a",
            record(SUSPECT, "e9", cleared_engines=("e1", "e2")),
            id="under a claim that no longer holds",
        ),
        pytest.param(cleared("e9"), "", cleared("e9"), id="before it"),
        pytest.param(
            cleared("e1"),
            "",
            record(SUSPECT, "e9", cleared_engines=("e1",)),
            id="after it",
        ),
    ],
)
def test_record_after_a_crash_of_a_shared_engine(
    old: records.QuarantineRecord | None,
    claim: str,
    expected: records.QuarantineRecord,
) -> None:
    updated = after(old, "e9", claim=claim)
    assert updated == expected
    assert after(updated, "e9") == expected  # a write may be repeated


def test_crashes_without_a_claim_convict_on_owned_engines_only() -> None:
    first = after(None, "e1")
    owned = after(first, "e2", policy=rules.OWNED_ENGINES)
    assert owned.verdict is CONVICTED
    assert after(first, "e2").verdict is SUSPECT


@pytest.mark.parametrize(
    ("one", "other", "expected"),
    [
        pytest.param(
            record(SUSPECT, "e1"),
            record(SUSPECT, "e2"),
            {"e1", "e2"},
            id="two crashes",
        ),
        pytest.param(
            record(SUSPECT, "e1"),
            record(SUSPECT, "e1"),
            {"e1"},
            id="the same crash",
        ),
        pytest.param(
            record(SUSPECT, "e1"), cleared("e1"), CLEARED, id="cleared"
        ),
        pytest.param(
            record(SUSPECT, "e1", "e2"),
            cleared("e1"),
            {"e2"},
            id="a crash since",
        ),
        pytest.param(
            record(CONVICTED, "e1", "e2", "e3"),
            record(SUSPECT, "e4"),
            CONVICTED,
            id="convicted",
        ),
        pytest.param(
            record(CONVICTED, "e1", "e2"),
            cleared("e1", "e2"),
            CLEARED,
            id="ran to completion after all",
        ),
    ],
)
def test_records_of_two_nodes_are_merged(
    one: records.QuarantineRecord,
    other: records.QuarantineRecord,
    expected: object,
) -> None:
    for old, new in ((one, other), (other, one)):
        found = rules.merged(old, new)
        if isinstance(expected, set):
            assert found.verdict is SUSPECT
            assert set(found.engines) == expected
        else:
            assert found.verdict is expected
        assert rules.merged(found, new) == found


def test_named_engines_are_limited() -> None:
    found: records.QuarantineRecord | None = None
    for number in range(100):
        found = after(found, f"e{number}")
    assert found is not None
    assert len(found.engines) == rules.MAX_NAMED_ENGINES


@pytest.mark.parametrize(
    ("reruns", "seconds"), [(0, 3600), (1, 60), (2, 600), (3, 3600), (9, 3600)]
)
def test_rejection_grows_with_each_claim(reruns: int, seconds: int) -> None:
    period = rules.SHARED_ENGINES.rejection_period(
        record(CONVICTED, reruns=reruns)
    )
    assert period.total_seconds() == seconds


def test_records_survive_encoding() -> None:
    original = record(RERUNNING, "e1", "e2", claim="a", reruns=2)
    assert records.decode(records.encode(original)) == original


@pytest.mark.parametrize(
    "value", [b"", b"[]", b'{"fingerprint": 1}', b'{"verdict": "odd"}']
)
def test_unreadable_rows_are_rejected(value: bytes) -> None:
    with pytest.raises(records.InvalidRecordError):
        records.decode(value)


PART = "part/p"


def part(
    verdict: records.Verdict, *engines: str, **changes: Any
) -> records.QuarantineRecord:
    """Returns the record of a part of prompts."""
    return records.QuarantineRecord(
        fingerprint=PART,
        verdict=verdict,
        customer="c",
        engines=engines,
        **changes,
    )


def after_part_crash(
    old: records.QuarantineRecord | None,
    engine: str,
    content: str,
    **arguments: Any,
) -> records.QuarantineRecord:
    crash = rules.suspect(PART, customer="c", engine_id=engine, content=content)
    return rules.after_crash(
        old,
        crash=crash,
        policy=rules.SHARED_PARTS,
        **{"claim": "", **arguments},
    )


@pytest.mark.parametrize(
    ("crashes", "restricted"),
    [
        pytest.param([("e1", "x"), ("e2", "y")], False, id="two engines"),
        pytest.param(
            [("e1", "x"), ("e2", "x"), ("e3", "x"), ("e4", "x")],
            False,
            id="one request",
        ),
        pytest.param(
            [("e1", "x"), ("e1", "y"), ("e1", "z")], False, id="one engine"
        ),
        pytest.param(
            [("e1", "x"), ("e2", "x"), ("e3", "y")], True, id="three engines"
        ),
    ],
)
def test_part_is_restricted_after_crashes_under_different_requests(
    crashes: list[tuple[str, str]], restricted: bool
) -> None:
    record = None
    for engine, content in crashes:
        record = after_part_crash(record, engine, content)
    assert record is not None
    assert rules.SHARED_PARTS.is_restricted(record) is restricted


@pytest.mark.parametrize(
    ("reruns", "blame", "verdict", "left"),
    [
        pytest.param(1, rules.SOLE_BLAME, SUSPECT, 1, id="first"),
        pytest.param(2, rules.SOLE_BLAME, CONVICTED, 2, id="second"),
        pytest.param(
            2, rules.ClaimBlame(sole=False), SUSPECT, 2, id="beside another"
        ),
        pytest.param(
            2,
            rules.ClaimBlame(sole=False, counted=False),
            SUSPECT,
            1,
            id="beside a likelier one",
        ),
    ],
)
def test_crashes_under_two_claims_convict_a_part(
    reruns: int, blame: rules.ClaimBlame, verdict: records.Verdict, left: int
) -> None:
    claimed = part(RERUNNING, "e1", "e2", "e3", claim="a", reruns=reruns)
    found = after_part_crash(claimed, "e4", "x", claim="a", blame=blame)
    assert (found.verdict, found.reruns) == (verdict, left)
    assert found.claim == ""
    again = after_part_crash(found, "e4", "x", claim="a", blame=blame)
    assert again == found


@pytest.mark.parametrize("end", rules.ClaimEnd)
@pytest.mark.parametrize("proven", [False, True])
def test_claims_of_a_proven_part_count_only_with_a_crash(
    end: rules.ClaimEnd, proven: bool
) -> None:
    claimed = part(
        RERUNNING, "e1", "e2", "e3", claim="a", reruns=1, proven=proven
    )
    found = rules.claim_released(
        claimed, "a", end=end, policy=rules.SHARED_PARTS
    )
    counts = not proven and end is not rules.ClaimEnd.NOT_SENT
    assert found.reruns == int(counts)


def test_success_forgets_the_requests_under_a_part() -> None:
    record = part(SUSPECT, "e1", "e2", contents=("x", "y"))
    found = rules.cleared(record)
    assert (found.contents, found.proven) == ((), True)
    later = after_part_crash(found, "e3", "x")
    assert (later.engines, later.contents) == (("e3",), ("x",))


def test_merged_part_has_the_requests_of_both() -> None:
    one = part(SUSPECT, "e1", contents=("x",))
    other = part(SUSPECT, "e2", contents=("y",), proven=True)
    found = rules.merged(one, other)
    assert found.engines == ("e1", "e2")
    assert (found.contents, found.proven) == (("x", "y"), True)


@pytest.mark.parametrize(
    ("reruns", "verdict"),
    [
        pytest.param(2, SUSPECT, id="second claim"),
        pytest.param(3, CONVICTED, id="last claim"),
    ],
)
def test_part_that_ran_to_completion_before_is_convicted_by_its_last_claim(
    reruns: int, verdict: records.Verdict
) -> None:
    claimed = part(
        RERUNNING, "e1", "e2", "e3", claim="a", reruns=reruns, proven=True
    )
    found = after_part_crash(claimed, "e4", "x", claim="a")
    assert found.verdict is verdict


@pytest.mark.parametrize(
    ("claim_crashes", "reruns", "seconds"),
    [
        pytest.param(0, 3, 10, id="no crash under a claim"),
        pytest.param(1, 2, 60, id="crash under the second claim"),
        pytest.param(2, 3, 3600, id="crash under the last claim"),
    ],
)
def test_part_whose_claims_showed_nothing_is_rejected_for_seconds(
    claim_crashes: int, reruns: int, seconds: float
) -> None:
    record = part(CONVICTED, reruns=reruns, claim_crashes=claim_crashes)
    period = rules.SHARED_PARTS.rejection_period(record)
    assert period.total_seconds() == seconds
