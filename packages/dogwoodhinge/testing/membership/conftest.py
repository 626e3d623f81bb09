"""A small cluster on a manual clock."""

from collections.abc import AsyncIterator

import pytest

from dogwoodhinge_lab import small_cluster


@pytest.fixture
async def cluster() -> AsyncIterator[small_cluster.SmallCluster]:
    """An empty cluster; its nodes are stopped after the test."""
    made = small_cluster.SmallCluster()
    yield made
    await made.stop()
