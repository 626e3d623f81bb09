"""Tests of when the owner's word on a table is relied upon."""

import pytest

from _dogwoodhinge.fleet import news

OLD = news.MAX_AGE.total_seconds() + 0.1


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
    known = news.TableNews(is_owner=lambda: is_owner)
    known.note_told("servers", revision, 10.0)
    assert known.covers("servers", 5, 10.0 + age) is covered


def test_table_that_the_owner_never_spoke_of_is_not_covered() -> None:
    known = news.TableNews(is_owner=lambda: False)
    assert not known.covers("servers", 5, 0.0)


def test_answer_without_a_change_that_matters_keeps_the_revision() -> None:
    known = news.TableNews(is_owner=lambda: True)
    known.note_own("servers", 7, 1.0)
    known.note_own("servers", None, 2.0)
    assert known.own["servers"] == news.News(7, 2.0)
