"""Interfaces of queue and eviction policies, implemented by plug-ins."""

from collections.abc import Sequence
import dataclasses
from typing import Protocol, final

from _dogwoodhinge.engine_scheduling import adapter_slots
from _dogwoodhinge.engine_scheduling import request_queue
from _dogwoodhinge.engine_scheduling import tuning
from dogwoodhinge import models


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class QueueView:
    """State of the queue and the batch for a queue policy.

    Attributes:
        now: monotonic seconds.
        virtual_time: highest start tag served so far; see `RequestQueue`.
        batch_adapters: adapters of the running batch.
        tuning: weights of the deployment.
    """

    now: float
    virtual_time: float
    batch_adapters: frozenset[models.AdapterVersion]
    tuning: tuning.Tuning


class QueuePolicy(Protocol):
    """Orders the requests that can start now."""

    def rank(
        self, queued: request_queue.QueuedRequest, view: QueueView
    ) -> tuple[float, ...]:
        """Returns the sort key of a request; the lowest key starts first.

        It is called only for requests whose adapter is resident. The owner
        itself enforces deadlines, the batch slots reserved for short requests
        and the limit on suspect requests.
        """


class EvictionPolicy(Protocol):
    """Selects the adapter to evict when an adapter slot is needed."""

    def note_demand(self, adapter: models.AdapterVersion, now: float) -> None:
        """Records a request for an adapter."""

    def choose(
        self, candidates: Sequence[adapter_slots.AdapterSlot], now: float
    ) -> models.AdapterVersion | None:
        """Returns the adapter to evict, None to evict none now.

        Args:
            candidates: resident adapters that are neither in use nor requested.
            now: monotonic seconds.
        """
