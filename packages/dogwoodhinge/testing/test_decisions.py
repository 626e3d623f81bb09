"""Tests of `_dogwoodhinge.decisions`."""

import json

import pytest

from _dogwoodhinge import clock
from _dogwoodhinge import decisions


@pytest.fixture
def log() -> decisions.DecisionLog:
    return decisions.DecisionLog(node="host-1", clock=clock.SystemClock())


def test_lines_of_a_request_are_kept_in_order(
    log: decisions.DecisionLog,
) -> None:
    for request_id, kind in [("r1", "route"), ("r2", "route"), ("r1", "grant")]:
        log.record(
            decisions.Decision(
                kind=kind,
                chosen="engine-1",
                reason="resident",
                request_id=request_id,
                alternatives=(decisions.Alternative("engine-2", 0.25),),
            )
        )
    lines = [json.loads(line) for line in log.explain("r1")]
    assert [line["decision"] for line in lines] == ["route", "grant"]
    assert lines[0]["alternatives"] == {"engine-2": 0.25}
    assert lines[0]["node"] == "host-1"
    assert log.counts == {"route": 2, "grant": 1}


@pytest.mark.parametrize(
    ("value", "text"),
    [
        ("engine-1", "key=engine-1"),
        ("two words", 'key="two words"'),
        ('a"b', 'key="a\\"b"'),
        ("", 'key=""'),
        (3, "key=3"),
    ],
    ids=["plain", "blank", "quote", "empty", "number"],
)
def test_pairs_are_quoted_where_ambiguous(value: object, text: str) -> None:
    assert decisions.format_pairs({"key": value}) == text
