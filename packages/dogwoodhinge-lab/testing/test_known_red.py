"""Tests of the list of known failures."""

import pathlib

import pytest

from dogwoodhinge_lab import faults
from dogwoodhinge_lab import known_red


@pytest.fixture
def path(tmp_path: pathlib.Path) -> pathlib.Path:
    return tmp_path / "KNOWN-RED.txt"


def test_file_that_is_not_there_has_no_entries(path: pathlib.Path) -> None:
    assert known_red.load(path) == {}


def test_entries_are_found_by_their_test(path: pathlib.Path) -> None:
    path.write_text("# comment\n\na/b | make x | slow | 8\n")
    assert known_red.load(path) == {"a/b": "a/b | make x | slow | 8"}


@pytest.mark.parametrize(
    "line", ["a/b", "a/b | make x | slow", "a/b || slow | 8"]
)
def test_entry_without_its_four_parts_is_rejected(
    path: pathlib.Path, line: str
) -> None:
    path.write_text(line)
    with pytest.raises(ValueError, match="issue"):
        known_red.load(path)


@pytest.mark.parametrize(
    ("failed", "code"),
    [([], 0), (["a"], 0), (["b"], 1), (["a", "b"], 1)],
    ids=["none", "known", "unknown", "both"],
)
def test_only_listed_failures_are_passed_over(
    failed: list[str], code: int
) -> None:
    results = [
        faults.Result(name, ["broken"] if name in failed else [], 1.0)
        for name in ("a", "b", "c")
    ]
    assert faults.judge(results, {"a": "a | make a | slow | 8"}) == code
