"""Fixture of a small cluster on a manual clock."""

from collections.abc import AsyncIterator

import pytest

from dogwoodhinge_lab import small_cluster


@pytest.fixture
async def cluster() -> AsyncIterator[small_cluster.SmallCluster]:
    """Yields an empty cluster and stops its nodes afterwards."""
    made = small_cluster.SmallCluster()
    yield made
    await made.stop()
