"""Tests of the order in which waiting requests get slots."""

import pytest

from _dogwoodhinge.fleet import models
from _dogwoodhinge.fleet import wait_order

LEAD_SECONDS = 0.3

LIVE = wait_order.Waiter(target_at=0.5, wait_until=1.0, rank=0)
LATE = wait_order.Waiter(target_at=0.1, wait_until=1.5, rank=0)
REVIEW = wait_order.Waiter(target_at=0.6, wait_until=1.0, rank=1)
DEFERRABLE = wait_order.Waiter(target_at=2.0, wait_until=2.0, rank=2)
DUE = wait_order.Waiter(target_at=0.6, wait_until=0.6, rank=2)
LATE_DEFERRABLE = wait_order.Waiter(target_at=0.1, wait_until=0.5, rank=2)


@pytest.mark.parametrize(
    ("front", "behind"),
    [
        pytest.param(LIVE, REVIEW, id="rank_goes_first"),
        pytest.param(LATE, DEFERRABLE, id="deferrable_gives_way_to_late"),
        pytest.param(DUE, LATE, id="due_goes_before_late"),
        pytest.param(LIVE, DUE, id="live_goes_before_due"),
        pytest.param(LATE, LATE_DEFERRABLE, id="rank_counts_for_late"),
    ],
)
def test_front_is_served_first(
    front: wait_order.Waiter, behind: wait_order.Waiter
) -> None:
    for waiters in ([front, behind], [behind, front]):
        order = wait_order.in_order(waiters, 0.0, lead_time=LEAD_SECONDS)
        assert order == [front, behind]


def test_deferrable_request_waits_for_none_if_it_is_the_most_urgent() -> None:
    order = wait_order.in_order(
        [LATE_DEFERRABLE, DEFERRABLE], 0.0, lead_time=LEAD_SECONDS
    )
    assert order == [DEFERRABLE, LATE_DEFERRABLE]


def test_rank_that_is_behind_is_served_like_the_first() -> None:
    order = wait_order.in_order(
        [LIVE, DEFERRABLE],
        0.0,
        lead_time=LEAD_SECONDS,
        ranks_behind=frozenset({2}),
    )
    assert order == [DEFERRABLE, LIVE]


def record(
    shares: wait_order.ServedShares, rank: int, served: int, rejected: int
) -> None:
    for _ in range(served):
        shares.record(rank, 0.0, served=True)
    for _ in range(rejected):
        shares.record(rank, 0.0, served=False)


@pytest.mark.parametrize(
    ("served", "rejected", "behind"),
    [
        pytest.param(0, 10, frozenset({2}), id="none_is_served"),
        pytest.param(5, 5, frozenset({2}), id="half_is_served"),
        pytest.param(9, 1, frozenset(), id="nearly_all_are_served"),
        pytest.param(0, 3, frozenset(), id="too_few_to_tell"),
    ],
)
def test_rank_served_much_less_often_than_all_is_behind(
    served: int, rejected: int, behind: frozenset[int]
) -> None:
    shares = wait_order.ServedShares()
    record(shares, 0, 100, 0)
    record(shares, 2, served, rejected)
    assert shares.ranks_behind(0.0) == behind


def test_old_outcomes_are_forgotten() -> None:
    shares = wait_order.ServedShares()
    record(shares, 0, 100, 0)
    record(shares, 2, 0, 10)
    assert shares.ranks_behind(1.0) == {2}
    assert not shares.ranks_behind(30.0)


def test_adapter_that_more_requests_wait_for_goes_first() -> None:
    popular, rare = (models.AdapterKey("base", name) for name in ("a1", "a2"))
    waiters = [
        wait_order.Waiter(0.7, 1.0, adapter=rare),
        wait_order.Waiter(0.5, 1.0, adapter=popular),
        wait_order.Waiter(0.6, 1.0, adapter=popular),
    ]
    order = wait_order.in_order(waiters, 0.0, lead_time=LEAD_SECONDS)
    assert order == [waiters[2], waiters[1], waiters[0]]
