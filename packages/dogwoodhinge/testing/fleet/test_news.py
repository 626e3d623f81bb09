"""Tests of when the owner's word on a table is relied upon."""

import pytest

from _dogwoodhinge.fleet import news

OLD = news.MAX_AGE.total_seconds() + 0.1
TABLE = "servers"


def row(key: str, revision: int, *, size: int = 1) -> news.Row:
    return news.Row(key, b"x" * size, revision)


def follower(*, revision: int = 5, is_owner: bool = False) -> news.TableNews:
    """Returns a node that has read the table once."""
    known = news.TableNews(is_owner=lambda: is_owner)
    known.note_own(TABLE, revision, 0.0, rows=None)
    return known


@pytest.mark.parametrize(
    ("revision", "age", "is_owner", "covered"),
    [
        (5, 0.2, False, True),
        (6, 0.2, False, False),
        (5, OLD, False, False),
        (5, 0.2, True, False),
    ],
    ids=["covered", "change_missed", "old_word", "is_the_owner"],
)
def test_word_of_the_owner_covers_a_table(
    revision: int, age: float, is_owner: bool, covered: bool
) -> None:
    known = follower(is_owner=is_owner)
    known.note_told(TABLE, revision, 10.0, None)
    assert known.covers(TABLE, 10.0 + age) is covered


def test_table_that_the_owner_never_spoke_of_is_not_covered() -> None:
    assert not follower().covers(TABLE, 0.0)


def test_table_that_was_never_read_is_not_covered() -> None:
    known = news.TableNews(is_owner=lambda: False)
    known.note_told(TABLE, 5, 10.0, [])
    assert not known.covers(TABLE, 10.0)


def test_answer_without_a_change_that_matters_keeps_the_revision() -> None:
    known = follower(revision=7, is_owner=True)
    known.note_own(TABLE, 9, 2.0, rows=[])
    assert known.own[TABLE] == news.News(7, 2.0)


def test_rows_that_the_owner_tells_are_taken_over_once() -> None:
    """Load: each change made all 83 nodes ask the store at once."""
    known = follower()
    taken: list[news.Row] = []
    known.takers[TABLE] = taken.extend
    for _ in range(2):
        known.note_told(TABLE, 6, 10.0, [row("e1", 6)])
    assert taken == [row("e1", 6)]
    assert known.covers(TABLE, 10.1)


def test_word_older_than_what_was_read_changes_nothing() -> None:
    known = follower(revision=9)
    taken: list[news.Row] = []
    known.takers[TABLE] = taken.extend
    known.note_told(TABLE, 6, 10.0, [row("e1", 6)])
    assert taken == []
    assert known.followed[TABLE] == 9


def test_node_that_was_told_can_tell_others_when_it_gives_orders() -> None:
    known = follower()
    known.takers[TABLE] = lambda rows: None
    known.note_told(TABLE, 6, 10.0, [row("e1", 6)])
    assert known.logs[TABLE].since(5) == [row("e1", 6)]


@pytest.mark.parametrize(
    ("asked", "keys"),
    [(5, ["a", "b"]), (6, ["b"]), (7, []), (4, None)],
    ids=["all", "some", "none", "before_the_log"],
)
def test_log_tells_what_an_asker_lacks(
    asked: int, keys: list[str] | None
) -> None:
    log = news.RowLog()
    log.restart(5)
    log.add([row("a", 6), row("b", 7)])
    rows = log.since(asked)
    assert (rows if rows is None else [r.key for r in rows]) == keys


def test_log_is_bounded_and_says_what_it_dropped() -> None:
    log = news.RowLog()
    log.restart(0)
    log.add([row("a", n) for n in range(1, news.MAX_ROWS + 3)])
    assert len(log.rows) == news.MAX_ROWS
    assert log.since(1) is None
    assert log.since(2) is not None


def test_large_rows_are_left_to_the_asker() -> None:
    log = news.RowLog()
    log.restart(5)
    log.add([row("config", 6, size=news.MAX_TOLD_BYTES)])
    assert log.since(5) is None


def test_change_that_no_row_tells_makes_others_read() -> None:
    """An endpoint that stays missing after an outage is dropped by time."""
    known = follower(is_owner=True)
    known.note_own(TABLE, 8, 1.0, rows=None)
    assert known.logs[TABLE].since(5) is None
    assert known.own[TABLE].revision == 8
