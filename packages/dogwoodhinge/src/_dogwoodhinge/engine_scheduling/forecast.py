"""Estimates wait and run times on one engine."""

from typing import final

from _dogwoodhinge.engine_scheduling import adapter_slots as slots_lib
from _dogwoodhinge.engine_scheduling import estimator as estimator_lib
from _dogwoodhinge.engine_scheduling import grants as grants_lib
from _dogwoodhinge.engine_scheduling import load_history
from _dogwoodhinge.engine_scheduling import request_queue as queue_lib
from _dogwoodhinge.peer import peer_pb2
from dogwoodhinge import models
from dogwoodhinge import ports


@final
class Forecast:
    """Estimates times on one engine from its queue and open grants.

    Attributes:
        request_slots: batch slots of the engine.
        estimator: estimates the run times of requests.
        unmatched_running: running requests of the last report that match no
            known grant.
    """

    def __init__(
        self,
        *,
        request_slots: int,
        queue: queue_lib.RequestQueue,
        grant_table: grants_lib.GrantTable,
        slots: slots_lib.SlotTable,
        load_interval: load_history.LoadInterval,
        clock: ports.Clock,
    ) -> None:
        self.request_slots = request_slots
        self.queue = queue
        self.grant_table = grant_table
        self.slots = slots
        self.load_interval = load_interval
        self.clock = clock
        self.estimator = estimator_lib.Estimator()
        self.unmatched_running = 0

    def expected_run_seconds(self, request: peer_pb2.AdmitRequest) -> float:
        """Returns the expected run time of a request."""
        run_estimate = self.estimator.estimate(
            models.AdapterVersion(request.adapter, request.version),
            prompt_tokens=request.prompt_tokens,
            max_tokens=request.max_tokens,
        )
        return run_estimate.seconds

    def lateness(self, request: peer_pb2.AdmitRequest) -> float:
        """Returns by how many seconds a request would miss its deadline.

        Negative if it would meet the deadline.
        """
        adapter = models.AdapterVersion(request.adapter, request.version)
        wait = max(self.expected_wait(), self.expected_load_wait(adapter))
        needed = wait + self.expected_run_seconds(request)
        return needed - request.deadline_ms / 1_000

    def expected_wait(self) -> float:
        """Returns the expected seconds until a new request would start."""
        resident_seconds = sum(
            queued.expected_seconds
            for queued in self.queue.waiting.values()
            if self.slots.is_resident(queued.adapter)
        )
        if (
            self.occupied_request_slots() < self.request_slots
            and not resident_seconds
        ):
            return 0.0
        return (
            resident_seconds + self._mean_remaining_seconds()
        ) / self.request_slots

    def _mean_remaining_seconds(self) -> float:
        """Returns the mean expected time left of the open grants."""
        if not self.grant_table.open_grants:
            return 0.0
        now = self.clock.monotonic()
        remaining = sum(
            max(0.0, grant.granted_at + grant.expected_seconds - now)
            for grant in self.grant_table.open_grants.values()
        )
        return remaining / len(self.grant_table.open_grants)

    def expected_load_wait(self, adapter: models.AdapterVersion) -> float:
        """Returns the expected seconds until an adapter is resident."""
        if self.slots.is_resident(adapter):
            return 0.0
        queued_adapters = {
            queued.adapter
            for queued in self.queue.waiting.values()
            if not self.slots.is_resident(queued.adapter)
        }
        load_interval = self.load_interval.seconds()
        if adapter in queued_adapters:
            # One load, in flight or planned, serves all requests for it.
            return load_interval
        return (len(queued_adapters) + 1) * load_interval

    def occupied_request_slots(self) -> int:
        """Returns the number of batch slots in use."""
        return len(self.grant_table.open_grants) + self.unmatched_running
