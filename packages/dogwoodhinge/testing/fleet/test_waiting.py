"""Tests of `_dogwoodhinge.fleet.waiting`: who gets the next place."""

import pytest

from _dogwoodhinge.fleet import waiting

LEAD = 0.3


def line_of(
    *waiters: waiting.Waiter, since: float = 0.0
) -> waiting.WaitingLine:
    line = waiting.WaitingLine()
    for waiter in waiters:
        line.join(waiter, since)
    return line


def give(line: waiting.WaitingLine, count: int, *, until: float) -> None:
    """Gives so many places in the last second."""
    for number in range(count):
        line.note_given(until - 0.99 + 0.99 * number / count)


def test_who_can_still_be_on_time_goes_first() -> None:
    """A caller who was late already was served, and one on time became late.

    Who has most time left goes first: else all get their places too late.
    """
    late = waiting.Waiter(target_at=0.1, leave_at=1.5)
    soon = waiting.Waiter(target_at=0.6, leave_at=5.0)
    later = waiting.Waiter(target_at=0.9, leave_at=2.0)
    line = line_of(late, soon, later)
    assert line.in_order(0.0, lead=LEAD) == [later, soon, late]


def test_late_ones_go_by_the_time_that_they_have_left() -> None:
    patient = waiting.Waiter(target_at=0.0, leave_at=5.0)
    hasty = waiting.Waiter(target_at=0.0, leave_at=1.0)
    line = line_of(patient, hasty)
    assert line.in_order(0.5, lead=LEAD) == [hasty, patient]


def test_nobody_is_turned_away_before_the_pace_is_known() -> None:
    line = line_of(*[waiting.Waiter(0.0, 9.0) for _ in range(50)])
    fresh = waiting.Waiter(target_at=1.0, leave_at=2.0)
    assert not line.is_hopeless(fresh, 0.5, lead=LEAD)


@pytest.mark.parametrize(
    ("others", "places", "hopeless"),
    [
        pytest.param(50, 20, True, id="long_line"),
        pytest.param(20, 20, False, id="line_that_moves"),
        pytest.param(3, 0, False, id="short_line_without_pace"),
    ],
)
def test_late_one_is_turned_away_by_the_pace(
    others: int, places: int, hopeless: bool
) -> None:
    line = line_of(*[waiting.Waiter(0.0, 9.0) for _ in range(others)])
    give(line, places, until=2.0)
    late = waiting.Waiter(target_at=2.1, leave_at=3.5)
    assert line.is_hopeless(late, 2.0, lead=LEAD) is hopeless


def test_one_that_can_be_on_time_passes_a_long_line() -> None:
    line = line_of(*[waiting.Waiter(0.0, 9.0) for _ in range(100)])
    give(line, 20, until=2.0)
    fresh = waiting.Waiter(target_at=2.5, leave_at=3.5)
    assert not line.is_hopeless(fresh, 2.0, lead=LEAD)


def test_one_without_patience_does_not_wait() -> None:
    line = line_of()
    assert line.is_hopeless(waiting.Waiter(9.0, 0.0), 0.0, lead=LEAD)


def test_retry_after_is_when_the_line_will_be_worked_off() -> None:
    line = line_of(*[waiting.Waiter(0.0, 9.0) for _ in range(19)])
    give(line, 20, until=2.0)
    assert line.retry_seconds(2.0, 0.0) == pytest.approx(1.0)
    assert line.retry_seconds(2.0, 1.0) == pytest.approx(1.5)


def test_an_empty_line_forgets_how_long_it_stood() -> None:
    waiter = waiting.Waiter(0.0, 9.0)
    line = line_of(waiter)
    line.leave(waiter)
    assert line.waited_since is None
