"""Tests of the order of waiting requests and of their early rejection."""

import pytest

from _dogwoodhinge.fleet import wait_queue

LEAD_SECONDS = 0.3


def queue_of(
    *waiters: wait_queue.Waiter, since: float = 0.0
) -> wait_queue.WaitQueue:
    queue = wait_queue.WaitQueue()
    for waiter in waiters:
        queue.join(waiter, since)
    return queue


def record_assignments(
    queue: wait_queue.WaitQueue, count: int, *, until: float
) -> None:
    """Records `count` assignments within the last second."""
    for number in range(count):
        queue.record_assignment(until - 0.99 + 0.99 * number / count)


def test_requests_that_can_meet_their_target_are_served_first() -> None:
    """Guards against serving a late request while another one becomes late.

    The request with the most time left is served first, since otherwise all of
    them get their slots too late.
    """
    late = wait_queue.Waiter(target_at=0.1, wait_until=1.5)
    soon = wait_queue.Waiter(target_at=0.6, wait_until=5.0)
    later = wait_queue.Waiter(target_at=0.9, wait_until=2.0)
    queue = queue_of(late, soon, later)
    assert queue.in_order(0.0, lead_time=LEAD_SECONDS) == [later, soon, late]


def test_late_requests_are_ordered_by_their_remaining_wait() -> None:
    patient = wait_queue.Waiter(target_at=0.0, wait_until=5.0)
    impatient = wait_queue.Waiter(target_at=0.0, wait_until=1.0)
    queue = queue_of(patient, impatient)
    assert queue.in_order(0.5, lead_time=LEAD_SECONDS) == [impatient, patient]


def test_no_request_is_rejected_before_the_rate_is_known() -> None:
    queue = queue_of(*[wait_queue.Waiter(0.0, 9.0) for _ in range(50)])
    fresh = wait_queue.Waiter(target_at=1.0, wait_until=2.0)
    assert not queue.will_time_out(fresh, 0.5, lead_time=LEAD_SECONDS)


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
    queue = queue_of(*[wait_queue.Waiter(0.0, 9.0) for _ in range(others)])
    record_assignments(queue, assignments, until=2.0)
    late = wait_queue.Waiter(target_at=2.1, wait_until=3.5)
    assert queue.will_time_out(late, 2.0, lead_time=LEAD_SECONDS) is times_out


def test_request_that_can_meet_its_target_joins_a_long_queue() -> None:
    queue = queue_of(*[wait_queue.Waiter(0.0, 9.0) for _ in range(100)])
    record_assignments(queue, 20, until=2.0)
    fresh = wait_queue.Waiter(target_at=2.5, wait_until=3.5)
    assert not queue.will_time_out(fresh, 2.0, lead_time=LEAD_SECONDS)


def test_request_with_an_expired_wait_is_rejected() -> None:
    queue = queue_of()
    assert queue.will_time_out(
        wait_queue.Waiter(9.0, 0.0), 0.0, lead_time=LEAD_SECONDS
    )


def test_retry_delay_is_the_time_to_drain_the_queue() -> None:
    queue = queue_of(*[wait_queue.Waiter(0.0, 9.0) for _ in range(19)])
    record_assignments(queue, 20, until=2.0)
    assert queue.retry_delay_seconds(2.0, 0.0) == pytest.approx(1.0)
    assert queue.retry_delay_seconds(2.0, 1.0) == pytest.approx(1.5)


def test_empty_queue_resets_the_time_since_it_filled() -> None:
    waiter = wait_queue.Waiter(0.0, 9.0)
    queue = queue_of(waiter)
    queue.leave(waiter)
    assert queue.nonempty_since is None
