"""Tests of the priority with which engines admit requests."""

import itertools

import pytest

from _dogwoodhinge.gateway import dispatch_priority

SIZES = (100, 2_000, 5_000, 30_000)


@pytest.mark.parametrize(
    ("tokens", "time_to_target", "expected"),
    [
        pytest.param(700, 0.5, 2, id="short"),
        pytest.param(2_800, 0.5, 3, id="medium"),
        pytest.param(11_000, 0.5, 4, id="long"),
        pytest.param(11_001, 0.5, 5, id="very_long"),
        pytest.param(2_800, 0.29, 1, id="short_of_time"),
        pytest.param(2_801, 0.29, 4, id="long_and_short_of_time"),
        pytest.param(700, 0.0, 2, id="late"),
    ],
)
@pytest.mark.parametrize("ranks", [(), (0,), (3,)])
def test_requests_of_one_rank_are_ordered_by_size(
    tokens: int, time_to_target: float, expected: int, ranks: tuple[int, ...]
) -> None:
    assert (
        dispatch_priority.priority(
            tokens, time_to_target=time_to_target, rank=3, ranks=ranks
        )
        == expected
    )


@pytest.mark.parametrize(
    "ranks", [(0, 2), (0, 1, 2), (1, 4, 5, 9), tuple(range(10))], ids=str
)
def test_rank_goes_before_size(ranks: tuple[int, ...]) -> None:
    values = [
        [
            dispatch_priority.priority(
                tokens, time_to_target=left, rank=rank, ranks=ranks
            )
            for tokens, left in itertools.product(SIZES, (0.2, 0.5))
        ]
        for rank in ranks
    ]
    for urgent, deferrable in itertools.pairwise(values):
        assert max(urgent) < min(deferrable)
    assert min(values[0]) == 0
    assert max(values[-1]) == dispatch_priority.LOWEST_PRIORITY


def test_size_counts_within_a_rank() -> None:
    values = [
        dispatch_priority.priority(
            tokens, time_to_target=0.5, rank=2, ranks=(0, 1, 2)
        )
        for tokens in SIZES
    ]
    assert values == sorted(values)
    assert values[0] < values[-1]
