"""Tests of revisions and of the era of the store that gave them."""

import operator

import pytest

from _dogwoodhinge.fleet import revisions


def at(number: int, *, era: int = 1) -> revisions.Revision:
    return revisions.Revision(era, number)


class Lines:
    """The events that were logged, with their fields."""

    def __init__(self) -> None:
        self.lines: list[tuple[str, dict[str, object]]] = []

    def __call__(self, event: str, fields: dict[str, object]) -> None:
        """Logs an event."""
        self.lines.append((event, fields))


@pytest.fixture
def lines() -> Lines:
    return Lines()


@pytest.fixture
def era(lines: Lines) -> revisions.StoreEra:
    return revisions.StoreEra(report=lines)


@pytest.mark.parametrize(
    ("one", "other", "after"),
    [(2, 1, True), (1, 1, False), (1, 2, False)],
    ids=["newer", "same", "older"],
)
def test_revisions_of_one_era_are_ordered(
    one: int, other: int, after: bool
) -> None:
    assert at(one).is_after(at(other)) is after


@pytest.mark.parametrize("other", [1, 5, 9], ids=["lower", "same", "higher"])
def test_revisions_of_two_eras_have_no_order(other: int) -> None:
    with pytest.raises(revisions.EraMismatchError):
        at(5, era=2).is_after(at(other, era=1))
    assert at(5, era=2) != at(5, era=1)


@pytest.mark.parametrize(
    "compare", [operator.lt, operator.le, operator.gt, operator.ge]
)
def test_operators_do_not_compare_revisions(compare: object) -> None:
    with pytest.raises(TypeError):
        compare(at(1), at(2))  # type: ignore[operator]


def test_first_era_is_no_change(era: revisions.StoreEra, lines: Lines) -> None:
    seen: list[int] = []
    era.on_change.append(seen.append)
    assert era.observe(4, source="store")
    assert (era.current, era.changes, seen, lines.lines) == (4, 0, [], [])


def test_new_era_is_logged_and_passed_on_once(
    era: revisions.StoreEra, lines: Lines
) -> None:
    seen: list[int] = []
    era.on_change.append(seen.append)
    era.observe(4, source="store")
    for _ in range(3):
        assert era.observe(5, source="store")
    assert seen == [5]
    assert lines.lines == [
        ("store_era_changed", {"era": 5, "before": 4, "source": "store"})
    ]


def test_earlier_era_is_refused_and_logged_once_per_source(
    era: revisions.StoreEra, lines: Lines
) -> None:
    era.observe(5, source="store")
    for _ in range(3):
        assert not era.observe(4, source="store")
        assert not era.observe_peer(4, source="sync_reply")
    assert [event for event, _ in lines.lines] == ["earlier_era_refused"] * 2
    assert era.current == 5


@pytest.mark.parametrize(
    ("current", "told", "accepted", "then"),
    [
        (None, 0, True, None),
        (None, 3, True, 3),
        (0, 0, True, 0),
        (3, 0, False, 3),
        (3, 4, True, 4),
    ],
    ids=["nobody_knows", "peer_knows", "no_header", "peer_behind", "new"],
)
def test_era_told_by_a_peer(
    era: revisions.StoreEra,
    current: int | None,
    told: int,
    accepted: bool,
    then: int | None,
) -> None:
    era.current = current
    assert era.observe_peer(told, source="sync_reply") is accepted
    assert era.current == then
