"""Tests of `_dogwoodhinge.http1.memory_budget`."""

import pytest

from _dogwoodhinge.http1 import memory_budget

Stage = memory_budget.Stage
Holding = memory_budget.Holding

KB = 1024
LIMIT = 1000 * KB


def holding(stage: Stage, **sizes: float) -> Holding:
    """Returns a holding; sizes are in kB, `progress_at` in seconds."""
    progress_at = sizes.pop("progress_at", 0.0)
    return Holding(
        stage=stage,
        progress_at=progress_at,
        **{name: int(size * KB) for name, size in sizes.items()},
    )


def budget_of(holdings: list[Holding]) -> memory_budget.MemoryBudget:
    """Returns a budget of LIMIT that counts all of the holdings."""
    budget = memory_budget.MemoryBudget(LIMIT)
    for found in holdings:
        budget.add(found)
    return budget


@pytest.mark.parametrize(
    ("holdings", "given_up"),
    [
        ([holding(Stage.READING, received=100)] * 1, []),
        (
            [
                holding(Stage.READING, received=10),
                holding(Stage.BEHIND, queued=600),
                holding(Stage.BEHIND, queued=400),
            ],
            [1],
        ),
        (
            [
                holding(Stage.RUNNING, body=30, received=0),
                holding(Stage.RUNNING, kept=900),
                holding(Stage.READING, received=16),
            ],
            [2],
        ),
        (
            [
                holding(Stage.ENDPOINT, queued=990),
                holding(Stage.BEHIND, queued=20),
                holding(Stage.IDLE),
            ],
            [1, 2],
        ),
        (
            [
                holding(Stage.READING, body=200, progress_at=2),
                holding(Stage.READING, body=190, progress_at=1),
                holding(Stage.RUNNING, body=60),
            ],
            [1],
        ),
        (
            [
                holding(Stage.RUNNING, body=200),
                holding(Stage.RUNNING, body=170),
                holding(Stage.READING, body=65, progress_at=3),
                holding(Stage.READING, body=1),
            ],
            [2],
        ),
    ],
    ids=[
        "room_left",
        "largest_unread_answer",
        "newest_request_if_all_others_run",
        "idle_last",
        "long_body_that_stands_still",
        "long_body_without_a_share",
    ],
)
def test_expendable_holdings_are_given_up(
    holdings: list[Holding], given_up: list[int]
) -> None:
    budget = budget_of(holdings)
    chosen = budget.choose(holdings)
    assert [holdings.index(found) for found in chosen] == given_up


def test_idle_connections_are_kept_while_others_hold_more() -> None:
    idle = [holding(Stage.IDLE) for _ in range(10)]
    behind = [holding(Stage.BEHIND, queued=100) for _ in range(10)]
    budget = budget_of([*idle, *behind])
    assert set(budget.choose([*idle, *behind])) <= set(behind)


def test_decision_leaves_room_for_more() -> None:
    holdings = [holding(Stage.BEHIND, queued=40) for _ in range(20)]
    budget = budget_of(holdings)
    for found in budget.choose(holdings):
        budget.remove(found)
    assert budget.held_bytes <= LIMIT * memory_budget.KEPT_SHARE


def test_what_is_not_counted_is_not_given_up_again() -> None:
    holdings = [holding(Stage.BEHIND, queued=2_000) for _ in range(2)]
    budget = budget_of(holdings)
    budget.remove(holdings[0])
    assert budget.choose(holdings) == [holdings[1]]


def test_changes_are_counted() -> None:
    changed = holding(Stage.READING)
    budget = budget_of([changed])
    empty = budget.held_bytes
    changed.body = 100 * KB
    budget.update(changed)
    assert budget.held_bytes == empty + 200 * KB
    assert budget.large_bytes == 200 * KB
    changed.body = 0
    budget.update(changed)
    assert (budget.held_bytes, budget.large_bytes) == (empty, 0)
    budget.remove(changed)
    budget.remove(changed)
    assert budget.held_bytes == 0


@pytest.mark.parametrize(
    ("holdings", "closed"),
    [
        ([], None),
        ([holding(Stage.RUNNING), holding(Stage.ENDPOINT)], None),
        (
            [
                holding(Stage.BEHIND, queued=90),
                holding(Stage.IDLE, progress_at=5),
                holding(Stage.IDLE, progress_at=4),
            ],
            2,
        ),
        (
            [
                holding(Stage.RUNNING),
                holding(Stage.READING, received=9, progress_at=3),
                holding(Stage.BEHIND, queued=9, progress_at=4),
            ],
            1,
        ),
    ],
    ids=["none", "all_in_use", "oldest_idle", "oldest_that_stands_still"],
)
def test_connection_is_closed_for_a_new_one(
    holdings: list[Holding], closed: int | None
) -> None:
    chosen = budget_of(holdings).choose_connection(holdings)
    assert chosen == (None if closed is None else holdings[closed])


@pytest.mark.parametrize("memory_mb", [0, 60, 160, 300])
def test_limit_leaves_the_process_its_own_memory(memory_mb: int) -> None:
    limit = memory_budget.limit_bytes(memory_mb * memory_budget.MEBIBYTE)
    assert limit >= memory_budget.MIN_LIMIT_BYTES
    if memory_mb > 100:
        own = memory_budget.PROCESS_BYTES
        assert own + limit < memory_mb * memory_budget.MEBIBYTE
