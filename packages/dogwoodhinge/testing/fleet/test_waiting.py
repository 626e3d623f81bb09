"""Tests of the order of waiting requests and of their early rejection."""

import pytest

from _dogwoodhinge.fleet import waiting

LEAD_SECONDS = 0.3


def queue_of(
    *waiters: waiting.Waiter, since: float = 0.0
) -> waiting.WaitingLine:
    queue = waiting.WaitingLine()
    for waiter in waiters:
        queue.join(waiter, since)
    return queue


def record_assignments(
    queue: waiting.WaitingLine, count: int, *, until: float
) -> None:
    """Records `count` assignments within the last second."""
    for number in range(count):
        queue.note_given(until - 0.99 + 0.99 * number / count)


def test_requests_that_can_meet_their_target_are_served_first() -> None:
    """Guards against serving a late request while another one becomes late.

    The request with the most time left is served first, since otherwise all of
    them get their slots too late.
    """
    late = waiting.Waiter(target_at=0.1, leave_at=1.5)
    soon = waiting.Waiter(target_at=0.6, leave_at=5.0)
    later = waiting.Waiter(target_at=0.9, leave_at=2.0)
    queue = queue_of(late, soon, later)
    assert queue.in_order(0.0, lead=LEAD_SECONDS) == [later, soon, late]


def test_late_requests_are_ordered_by_their_remaining_wait() -> None:
    patient = waiting.Waiter(target_at=0.0, leave_at=5.0)
    impatient = waiting.Waiter(target_at=0.0, leave_at=1.0)
    queue = queue_of(patient, impatient)
    assert queue.in_order(0.5, lead=LEAD_SECONDS) == [impatient, patient]


def test_no_request_is_rejected_before_the_rate_is_known() -> None:
    queue = queue_of(*[waiting.Waiter(0.0, 9.0) for _ in range(50)])
    fresh = waiting.Waiter(target_at=1.0, leave_at=2.0)
    assert not queue.is_hopeless(fresh, 0.5, lead=LEAD_SECONDS)


@pytest.mark.parametrize(
    ("others", "assignments", "times_out"),
    [
        pytest.param(50, 20, True, id="long_queue"),
        pytest.param(20, 20, False, id="moving_queue"),
        pytest.param(3, 0, False, id="short_queue_without_assignments"),
    ],
)
def test_late_request_is_rejected_by_the_assignment_rate(
    others: int, assignments: int, times_out: bool
) -> None:
    queue = queue_of(*[waiting.Waiter(0.0, 9.0) for _ in range(others)])
    record_assignments(queue, assignments, until=2.0)
    late = waiting.Waiter(target_at=2.1, leave_at=3.5)
    assert queue.is_hopeless(late, 2.0, lead=LEAD_SECONDS) is times_out


def test_request_that_can_meet_its_target_joins_a_long_queue() -> None:
    queue = queue_of(*[waiting.Waiter(0.0, 9.0) for _ in range(100)])
    record_assignments(queue, 20, until=2.0)
    fresh = waiting.Waiter(target_at=2.5, leave_at=3.5)
    assert not queue.is_hopeless(fresh, 2.0, lead=LEAD_SECONDS)


def test_request_with_an_expired_wait_is_rejected() -> None:
    queue = queue_of()
    assert queue.is_hopeless(waiting.Waiter(9.0, 0.0), 0.0, lead=LEAD_SECONDS)


def test_retry_delay_is_the_time_to_drain_the_queue() -> None:
    queue = queue_of(*[waiting.Waiter(0.0, 9.0) for _ in range(19)])
    record_assignments(queue, 20, until=2.0)
    assert queue.retry_delay_seconds(2.0, 0.0) == pytest.approx(1.0)
    assert queue.retry_delay_seconds(2.0, 1.0) == pytest.approx(1.5)


def test_empty_queue_resets_the_time_since_it_filled() -> None:
    waiter = waiting.Waiter(0.0, 9.0)
    queue = queue_of(waiter)
    queue.leave(waiter)
    assert queue.nonempty_since is None
