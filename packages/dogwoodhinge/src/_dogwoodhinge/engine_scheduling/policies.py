"""Built-in queue and eviction policies, registered as a plug-in."""

from collections.abc import Sequence
import datetime
import math
from typing import final

from _dogwoodhinge.engine_scheduling import adapter_slots
from _dogwoodhinge.engine_scheduling import policy
from _dogwoodhinge.engine_scheduling import request_queue
from _dogwoodhinge.engine_scheduling import tuning
from dogwoodhinge import hookimpl as hookimpl_lib
from dogwoodhinge import models

MAX_TRACKED_DEMANDS = 4_000
OVERDUE_RANK = 0.0
IN_TIME_RANK = 1.0


@final
class DeadlinePolicy:
    """Ranks by slack, fairness between customers and the running batch.

    Requests that waited longer than `Tuning.wait_bound` precede the others
    of their priority.
    """

    def rank(
        self, queued: request_queue.QueuedRequest, view: policy.QueueView
    ) -> tuple[float, ...]:
        """See `policy.QueuePolicy`."""
        weights = view.tuning
        slack = queued.deadline_at - view.now - queued.expected_seconds
        ahead = queued.virtual_start - view.virtual_time
        score = weights.slack_weight * slack + weights.fairness_weight * ahead
        waited = view.now - queued.arrived_at
        if waited > weights.wait_bound.total_seconds():
            return (queued.request.priority, OVERDUE_RANK, score)
        if queued.adapter in view.batch_adapters:
            score -= weights.batch_bonus_seconds
        return (queued.request.priority, IN_TIME_RANK, score)


@final
class FifoPolicy:
    """Ranks by priority, then by arrival."""

    def rank(
        self, queued: request_queue.QueuedRequest, view: policy.QueueView
    ) -> tuple[float, ...]:
        """See `policy.QueuePolicy`."""
        del view
        return (queued.request.priority, queued.arrived_at)


@final
class LeastWorthPolicy:
    """Evicts the resident adapter with the lowest decayed demand.

    Load times are not compared, because all adapters of a deployment take
    about the same time to load.

    Attributes:
        half_life: half-life of the demand.
        demands: (demand, monotonic time of its last update) by adapter.
    """

    def __init__(self, half_life: datetime.timedelta) -> None:
        self.half_life = half_life
        self.demands: dict[models.AdapterVersion, tuple[float, float]] = {}

    def note_demand(self, adapter: models.AdapterVersion, now: float) -> None:
        """See `policy.EvictionPolicy`."""
        demand = self.decayed_demand(adapter, now)
        self.demands.pop(adapter, None)
        self.demands[adapter] = (demand + 1.0, now)
        while len(self.demands) > MAX_TRACKED_DEMANDS:
            del self.demands[next(iter(self.demands))]

    def decayed_demand(
        self, adapter: models.AdapterVersion, now: float
    ) -> float:
        """Returns the decayed number of requests for an adapter."""
        demand, at = self.demands.get(adapter, (0.0, now))
        return demand * math.exp2((at - now) / self.half_life.total_seconds())

    def choose(
        self, candidates: Sequence[adapter_slots.AdapterSlot], now: float
    ) -> models.AdapterVersion | None:
        """See `policy.EvictionPolicy`."""
        least = min(
            candidates,
            key=lambda slot: (
                self.decayed_demand(slot.adapter, now),
                slot.used_at,
            ),
            default=None,
        )
        return None if least is None else least.adapter


@final
class LruPolicy:
    """Evicts the least recently used adapter."""

    def note_demand(self, adapter: models.AdapterVersion, now: float) -> None:
        """See `policy.EvictionPolicy`."""

    def choose(
        self, candidates: Sequence[adapter_slots.AdapterSlot], now: float
    ) -> models.AdapterVersion | None:
        """See `policy.EvictionPolicy`."""
        del now
        oldest = min(candidates, key=lambda slot: slot.used_at, default=None)
        return None if oldest is None else oldest.adapter


@hookimpl_lib.hookimpl
def make_queue_policy(name: str) -> policy.QueuePolicy | None:
    """Creates the `deadline` or `fifo` policy."""
    if name == "deadline":
        return DeadlinePolicy()
    if name == "fifo":
        return FifoPolicy()
    return None


@hookimpl_lib.hookimpl
def make_eviction_policy(name: str) -> policy.EvictionPolicy | None:
    """Creates the `least-worth` or `lru` policy."""
    if name == "least-worth":
        return LeastWorthPolicy(tuning.Tuning().demand_half_life)
    if name == "lru":
        return LruPolicy()
    return None
