"""Tests of the share of the retry budget that the leader grants."""

import datetime

import pytest

from _dogwoodhinge.fleet import shared_retry_budget

WINDOW = datetime.timedelta(seconds=10)


def make(*, extra: float = 0.0) -> shared_retry_budget.SharedRetryBudget:
    """Returns the budget of a node that leads since second 0."""
    return shared_retry_budget.SharedRetryBudget(
        ratio=0.2, extra=extra, window=WINDOW
    )


def spend(shared: shared_retry_budget.SharedRetryBudget, now: float) -> int:
    """Takes all remaining retries and returns their number."""
    taken = 0
    while shared.take("app", now):
        taken += 1
    return taken


def test_nothing_is_granted_without_requests() -> None:
    assert spend(make(), 20.0) == 0


def test_new_leader_grants_no_extra_for_one_window() -> None:
    """The previous leader may have granted the extra a moment ago."""
    shared = make(extra=100)
    shared.restart(100.0)
    assert spend(shared, 109.9) == 0
    assert 0 < spend(shared, 110.1) <= 100


def test_new_leader_counts_only_requests_reported_to_it() -> None:
    shared = make()
    shared.note_requests("app", 1_000, 20.0)
    shared.restart(21.0)
    assert spend(shared, 22.0) == 0


@pytest.mark.parametrize("offset", [0.0, 3.0, 7.5], ids=str)
def test_every_window_stays_within_the_shared_budget(offset: float) -> None:
    shared = make()
    grants = []
    for step in range(400):
        now = step * 0.1
        shared.note_requests("app", 10, now)
        grants += [now] * spend(shared, now)
    in_window = [t for t in grants if offset <= t < offset + 10]
    assert (
        len(in_window)
        <= shared_retry_budget.SHARED_RATIO_FRACTION * 0.2 * 1_010
    )


def test_services_have_separate_budgets() -> None:
    shared = make()
    shared.note_requests("app", 100, 20.0)
    assert not shared.take("llm", 20.0)
    assert shared.take("app", 20.0)


def test_old_reports_are_dropped_without_any_retry() -> None:
    """Tens of nodes report several times a second, for weeks."""
    shared = make()
    for step in range(1_000):
        shared.note_requests("app", 1, step * 0.1)
    assert len(shared.requests["app"]) <= 101
