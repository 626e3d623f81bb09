"""Tests of `_dogwoodhinge.http1.descriptor_shares`."""

import pytest

from _dogwoodhinge.http1 import descriptor_shares


@pytest.mark.parametrize("descriptors", [1, 200, 700, 4_100, 65_536])
def test_shares_are_below_the_limit(descriptors: int) -> None:
    shares = descriptor_shares.divide(descriptors)
    assert min(shares.callers, shares.endpoints, shares.backlog) >= 1
    if descriptors > descriptor_shares.RESERVED:
        total = shares.callers + shares.endpoints + shares.backlog
        assert total <= descriptors - descriptor_shares.RESERVED


def test_usual_host_accepts_as_many_at_once_as_before() -> None:
    shares = descriptor_shares.divide(4_100)
    assert shares.callers > 2_000
    assert shares.backlog > 500
