"""Tests of the order of waiting requests and of their early rejection."""

import dataclasses

import pytest

from _dogwoodhinge.fleet import wait_order
from _dogwoodhinge.fleet import wait_queue
from dogwoodhinge_lab import queue_replay

LEAD_SECONDS = 0.3


def queue_of(
    *waiters: wait_order.Waiter, since: float = 0.0
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
    late = wait_order.Waiter(target_at=0.1, wait_until=1.5)
    soon = wait_order.Waiter(target_at=0.6, wait_until=5.0)
    later = wait_order.Waiter(target_at=0.9, wait_until=2.0)
    queue = queue_of(late, soon, later)
    assert queue.in_order(0.0, lead_time=LEAD_SECONDS) == [later, soon, late]


def test_late_requests_are_ordered_by_their_remaining_wait() -> None:
    patient = wait_order.Waiter(target_at=0.0, wait_until=5.0)
    impatient = wait_order.Waiter(target_at=0.0, wait_until=1.0)
    queue = queue_of(patient, impatient)
    assert queue.in_order(0.5, lead_time=LEAD_SECONDS) == [impatient, patient]


def test_no_request_is_rejected_before_the_rate_is_known() -> None:
    queue = queue_of(*[wait_order.Waiter(0.0, 9.0) for _ in range(50)])
    fresh = wait_order.Waiter(target_at=1.0, wait_until=2.0)
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
    queue = queue_of(*[wait_order.Waiter(0.0, 9.0) for _ in range(others)])
    record_assignments(queue, assignments, until=2.0)
    late = wait_order.Waiter(target_at=2.1, wait_until=3.5)
    assert queue.will_time_out(late, 2.0, lead_time=LEAD_SECONDS) is times_out


def test_request_that_can_meet_its_target_joins_a_long_queue() -> None:
    queue = queue_of(*[wait_order.Waiter(0.0, 9.0) for _ in range(100)])
    record_assignments(queue, 20, until=2.0)
    fresh = wait_order.Waiter(target_at=2.5, wait_until=3.5)
    assert not queue.will_time_out(fresh, 2.0, lead_time=LEAD_SECONDS)


def test_request_with_an_expired_wait_is_rejected() -> None:
    queue = queue_of()
    assert queue.will_time_out(
        wait_order.Waiter(9.0, 0.0), 0.0, lead_time=LEAD_SECONDS
    )


def test_retry_delay_is_the_time_to_drain_the_queue() -> None:
    queue = queue_of(*[wait_order.Waiter(0.0, 9.0) for _ in range(19)])
    record_assignments(queue, 20, until=2.0)
    assert queue.retry_delay_seconds(2.0, 0.0) == pytest.approx(1.0)
    assert queue.retry_delay_seconds(2.0, 1.0) == pytest.approx(1.5)


def test_empty_queue_resets_the_time_since_it_filled() -> None:
    waiter = wait_order.Waiter(0.0, 9.0)
    queue = queue_of(waiter)
    queue.leave(waiter)
    assert queue.nonempty_since is None


LIVE = queue_replay.Kind(rank=0, rate=110, target=0.5, max_wait=1.0)
REVIEW = queue_replay.Kind(rank=1, rate=5, target=0.8, max_wait=1.0)
DEFERRABLE = queue_replay.Kind(rank=2, rate=50, target=2.0, max_wait=2.0)
CREST = {"live": LIVE, "review": REVIEW, "deferrable": DEFERRABLE}


def test_crest_of_live_and_deferrable_requests() -> None:
    """Load pattern: slots for four fifths of what is asked.

    Deferrable requests have more time left than live ones and were all served
    on time, at the cost of a third of the live ones.
    """
    without = queue_replay.replay(CREST, slots_per_second=130, ranked=False)
    ranked = queue_replay.replay(CREST, slots_per_second=130)
    assert without["live"].on_time_share < 0.75
    assert without["deferrable"].share > 0.95
    assert ranked["live"].on_time_share > 0.85
    assert ranked["deferrable"].share > 0.5


def test_no_rank_starves_under_more_live_requests_than_slots() -> None:
    kinds = {**CREST, "live": dataclasses.replace(LIVE, rate=200)}
    served = queue_replay.replay(kinds, slots_per_second=130)
    everything = queue_replay.Served(
        asked=sum(kind.asked for kind in served.values()),
        on_time=sum(kind.on_time for kind in served.values()),
        late=sum(kind.late for kind in served.values()),
    )
    for kind in served.values():
        assert kind.share > everything.share / 2


def test_requests_of_one_rank_are_served_as_without_ranks() -> None:
    kinds = {
        name: dataclasses.replace(kind, rank=3) for name, kind in CREST.items()
    }
    assert queue_replay.replay(
        kinds, slots_per_second=130
    ) == queue_replay.replay(kinds, slots_per_second=130, ranked=False)


def test_room_for_all_rejects_nobody() -> None:
    served = queue_replay.replay(CREST, slots_per_second=200)
    assert not any(kind.rejected for kind in served.values())


def test_hopeless_requests_are_rejected_while_they_wait() -> None:
    """Regression: late requests waited for a second and were then rejected."""
    kinds = {"live": dataclasses.replace(LIVE, rate=200)}
    served = queue_replay.replay(kinds, slots_per_second=100)["live"]
    assert served.on_time_share > 0.45
    assert served.held < 0.5


@pytest.mark.parametrize(
    ("seconds", "served"),
    [
        pytest.param(1.0, 0.97, id="short_crest"),
        pytest.param(2.0, 0.95, id="longer_crest"),
        pytest.param(8.0, 0.8, id="crest_longer_than_any_delay"),
    ],
)
def test_rejected_requests_return_when_there_is_room(
    seconds: float, served: float
) -> None:
    """Load pattern: a crest with two thirds of the slots that are asked for.

    Told to return once the queue had drained, callers met the same crest, were
    rejected again and displaced new requests.
    """
    live = dataclasses.replace(LIVE, rate=180)
    found = queue_replay.replay(
        {"live": live}, slots_per_second=130, seconds=seconds, max_returns=1
    )["live"]
    assert found.share > served


def test_requests_rejected_together_return_one_after_another() -> None:
    queue = queue_of(*[wait_order.Waiter(0.0, 9.0) for _ in range(4)])
    record_assignments(queue, 20, until=2.0)
    delays = []
    for _ in range(40):
        delays.append(queue.retry_delay_seconds(2.0, 0.5))
        queue.record_return(2.0 + delays[-1])
    assert delays == sorted(delays)
    assert delays[10] - delays[0] == pytest.approx(10 / 20 * 1.25)
    assert delays[-1] <= wait_queue.MAX_RETRY_SECONDS


def test_room_of_engines_that_come_back_counts_at_once() -> None:
    """Regression: requests were rejected that the returned engines could serve.

    Load pattern: most engines are lost, and return a second later.
    """
    queue = queue_of(*[wait_order.Waiter(0.0, 9.0) for _ in range(40)])
    record_assignments(queue, 10, until=1.9)
    late = wait_order.Waiter(target_at=2.1, wait_until=2.6)
    queue.join(late, 1.9)
    for waiter in list(queue.waiters - {late})[:30]:
        waiter.wait_until = 2.5
    assert late in queue.find_hopeless(2.0, lead_time=LEAD_SECONDS)
    for number in range(20):
        queue.record_assignment(1.9 + number * 0.005)
    assert late not in queue.find_hopeless(2.0, lead_time=LEAD_SECONDS)
