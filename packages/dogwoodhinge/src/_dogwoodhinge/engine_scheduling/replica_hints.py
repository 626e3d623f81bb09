"""Replica counts of popular adapters."""

import dataclasses
from typing import final

from _dogwoodhinge.engine_scheduling import tuning as tuning_lib
from dogwoodhinge import models


@final
@dataclasses.dataclass(slots=True)
class ReplicaCount:
    """Replica count of an adapter according to one engine's demand.

    Attributes:
        replicas: number of engines that should hold the adapter.
        changed_at: monotonic seconds.
    """

    replicas: int
    changed_at: float


@final
class PopularAdapters:
    """Raises an adapter's replica count while it fills much of the batch.

    Entry nodes distribute the requests for a hinted adapter evenly over its
    engines, so each engine sees the same share of the demand and arrives at
    the same replica count without coordination.

    Attributes:
        default_replicas: replica count of an adapter that is not popular.
        replica_counts: replica counts of popular adapters.
    """

    def __init__(
        self, *, default_replicas: int, tuning: tuning_lib.Tuning
    ) -> None:
        self.default_replicas = default_replicas
        self.tuning = tuning
        self.replica_counts: dict[models.AdapterVersion, ReplicaCount] = {}

    def hinted_replicas(
        self,
        adapter: models.AdapterVersion,
        *,
        batch_fraction: float,
        now: float,
    ) -> int:
        """Returns the replica count to send as a hint, 0 for the default.

        Args:
            adapter: adapter and version.
            batch_fraction: its granted and queued requests divided by the batch
                slots.
            now: monotonic seconds.
        """
        current = self.replica_counts.get(adapter)
        if current is None:
            if batch_fraction < self.tuning.popular_batch_fraction:
                return 0
            current = ReplicaCount(self.default_replicas, now)
            self.replica_counts[adapter] = current
        self._adjust(current, batch_fraction, now)
        if current.replicas <= self.default_replicas:
            if batch_fraction < self.tuning.popular_batch_fraction:
                del self.replica_counts[adapter]
            return 0
        return current.replicas

    def _adjust(
        self, current: ReplicaCount, batch_fraction: float, now: float
    ) -> None:
        since = now - current.changed_at
        rise_after = self.tuning.replica_step_interval.total_seconds()
        fall_after = self.tuning.hint_lifetime.total_seconds()
        if (
            batch_fraction >= self.tuning.popular_batch_fraction
            and since >= rise_after
        ):
            current.replicas += 1
            current.changed_at = now
        elif (
            batch_fraction < self.tuning.popular_batch_fraction / 4
            and since >= fall_after
        ):
            current.replicas -= 1
            current.changed_at = now
