"""Tests of the budget for sends beyond the first."""

import datetime

import pytest

from _dogwoodhinge.gateway import second_sends

WINDOW = datetime.timedelta(seconds=10)


def make(*, extra: float = 0.0, nodes: int = 4) -> second_sends.SecondSends:
    """Returns a budget."""
    return second_sends.SecondSends(
        ratio=0.2, extra=extra, window=WINDOW, nodes=lambda: nodes
    )


def spend(budget: second_sends.SecondSends, now: float) -> int:
    """Takes all that is left."""
    taken = 0
    while budget.take("app", now):
        taken += 1
    return taken


def test_engines_that_fail_everything_get_a_bounded_number_more() -> None:
    budget = make()
    for _ in range(100):
        budget.note_request("app", 0.0)
    assert spend(budget, 0.0) <= 0.2 * 100


def test_all_nodes_together_keep_to_the_extra() -> None:
    nodes = [make(extra=54, nodes=7) for _ in range(7)]
    assert 0 < sum(spend(node, 0.0) for node in nodes) <= 54


def test_many_nodes_keep_to_the_extra_from_their_start() -> None:
    """Each of 83 nodes took the part of one of eight: BUDGET was broken."""
    unknown = make(extra=206, nodes=0)
    assert spend(unknown, 0.0) == 0
    nodes = [make(extra=206, nodes=83) for _ in range(83)]
    assert 0 < sum(spend(node, 0.0) for node in nodes) <= 206


def test_cut_off_nodes_still_share_the_extra() -> None:
    nodes = 8
    budget = second_sends.SecondSends(
        ratio=0.2, extra=100, window=WINDOW, nodes=lambda: nodes
    )
    before = budget.left("app", 0.0)
    nodes = 2
    assert budget.left("app", 9.0) == before
    assert budget.left("app", 11.0) > before


def test_spent_budget_returns_with_time() -> None:
    budget = make(extra=40)
    taken = spend(budget, 0.0)
    assert spend(budget, 9.9) == 0
    assert spend(budget, 10.1) == taken


@pytest.mark.parametrize("offset", [0.0, 3.0, 7.5], ids=str)
def test_every_window_keeps_to_the_ratio(offset: float) -> None:
    budget = make()
    sends = []
    for step in range(400):
        now = step * 0.1
        budget.note_request("app", now)
        if budget.take("app", now):
            sends.append(now)
    in_window = [t for t in sends if offset <= t < offset + 10]
    assert len(in_window) <= 0.2 * 100


def test_services_have_budgets_of_their_own() -> None:
    budget = make(extra=40)
    spend(budget, 0.0)
    assert budget.take("llm", 0.0)
