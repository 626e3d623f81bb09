"""Fixtures for the tests of the configuration."""

from collections.abc import Callable

import pytest

from _dogwoodhinge.config import contract as contract_lib
from _dogwoodhinge.config import records
from dogwoodhinge_lab import config_nodes
from dogwoodhinge_lab import manual_clock
from dogwoodhinge_lab import memory_table


@pytest.fixture
def clock() -> manual_clock.ManualClock:
    return manual_clock.ManualClock()


@pytest.fixture
def cluster(clock: manual_clock.ManualClock) -> config_nodes.ConfigCluster:
    return config_nodes.ConfigCluster(clock=clock)


@pytest.fixture
def table(cluster: config_nodes.ConfigCluster) -> memory_table.MemoryTable:
    return cluster.table


@pytest.fixture
def make_draft() -> Callable[..., records.ChangeDraft]:
    def make(
        change_id: str,
        customer: str = "aduelas",
        concurrency: int = 8,
        key: str = "",
    ) -> records.ChangeDraft:
        api_key = contract_lib.ApiKey(
            id="main", sha256=contract_lib.hash_key(key or f"key-{customer}")
        )
        contract = contract_lib.Contract(
            customer=customer,
            api_keys=(api_key,),
            limits=contract_lib.Limits(
                requests_per_second=10.0, concurrency=concurrency
            ),
        )
        return records.ChangeDraft(
            change_id=f"change-{change_id}",
            operator="rosa",
            kind=records.ChangeKind.PUT,
            customer=customer,
            contract=contract,
        )

    return make
