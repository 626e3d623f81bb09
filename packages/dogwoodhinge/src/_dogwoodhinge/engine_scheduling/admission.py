"""Rejects requests that an engine cannot serve in time."""

import dataclasses
from typing import final

from _dogwoodhinge.engine_scheduling import engine_orders
from _dogwoodhinge.engine_scheduling import forecast as forecast_lib
from _dogwoodhinge.engine_scheduling import request_queue as queue_lib
from _dogwoodhinge.peer import peer_pb2
from dogwoodhinge import models
from dogwoodhinge import ports


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Rejection:
    """Why a request is rejected.

    Attributes:
        reason: a short sentence.
        retry_after: seconds after which a retry may succeed, 0 if none can.
    """

    reason: str
    retry_after: float


@final
class AdmissionCheck:
    """Checks a request before it is queued."""

    def __init__(
        self,
        *,
        queue: queue_lib.RequestQueue,
        loader: engine_orders.Loader,
        forecast: forecast_lib.Forecast,
        max_queue_length: int,
        clock: ports.Clock,
    ) -> None:
        self.queue = queue
        self.loader = loader
        self.forecast = forecast
        self.max_queue_length = max_queue_length
        self.clock = clock

    def rejection(self, request: peer_pb2.AdmitRequest) -> Rejection | None:
        """Returns why a request is rejected, None if it may be queued."""
        adapter = models.AdapterVersion(request.adapter, request.version)
        if not self.loader.slots.is_resident(adapter):
            rejection = self._load_rejection(adapter)
            if rejection is not None:
                return rejection
        if len(self.queue) >= self.max_queue_length:
            return Rejection("the queue is full", self.forecast.expected_wait())
        late = self.forecast.lateness(request)
        if late > 0:
            return Rejection("the queue is too long for the deadline", late)
        return None

    def _load_rejection(
        self, adapter: models.AdapterVersion
    ) -> Rejection | None:
        failure = self.loader.failures.get(adapter)
        if failure is None or self.loader.failures.may_load(adapter):
            return None
        if failure.permanent:
            return Rejection(
                f"the weight store has no adapter version {adapter}", 0.0
            )
        if failure.is_persistent:
            retry_after = failure.retry_at - self.clock.monotonic()
            return Rejection(f"loads of {adapter} fail repeatedly", retry_after)
        return None
