"""Tests of `_dogwoodhinge.engine_scheduling.replica_hints`."""

from _dogwoodhinge.engine_scheduling import replica_hints
from _dogwoodhinge.engine_scheduling import tuning
from dogwoodhinge import models

RED = models.AdapterVersion("red", "1")
DEFAULT_REPLICAS = 2


def test_replica_count_rises_stepwise_and_falls() -> None:
    popular_adapters = replica_hints.PopularAdapters(
        default_replicas=DEFAULT_REPLICAS, tuning=tuning.Tuning()
    )
    found = [
        popular_adapters.hinted_replicas(RED, batch_fraction=0.8, now=now)
        for now in (0, 0.5, 1, 2)
    ]
    assert found == [0, 0, 3, 4]
    assert (
        popular_adapters.hinted_replicas(RED, batch_fraction=0.05, now=3) == 4
    )
    assert (
        popular_adapters.hinted_replicas(RED, batch_fraction=0.05, now=13) == 3
    )
    assert (
        popular_adapters.hinted_replicas(RED, batch_fraction=0.05, now=24) == 0
    )
    assert popular_adapters.replica_counts == {}


def test_low_demand_keeps_no_state() -> None:
    popular_adapters = replica_hints.PopularAdapters(
        default_replicas=DEFAULT_REPLICAS, tuning=tuning.Tuning()
    )
    assert popular_adapters.hinted_replicas(RED, batch_fraction=0.1, now=0) == 0
    assert popular_adapters.replica_counts == {}
