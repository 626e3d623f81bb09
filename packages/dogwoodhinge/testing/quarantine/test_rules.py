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
    period = rules.SHARED_ENGINES.rejection_period(reruns)
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
