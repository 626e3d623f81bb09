"""Updates an engine's estimates and health from completed requests."""

from typing import final

from _dogwoodhinge import decisions as decisions_lib
from _dogwoodhinge.engine_scheduling import forecast as forecast_lib
from _dogwoodhinge.engine_scheduling import grants as grants_lib
from _dogwoodhinge.engine_scheduling import health as health_lib
from _dogwoodhinge.peer import peer_pb2
from dogwoodhinge import models


@final
class CompletionObserver:
    """Updates the estimates and the health of one engine.

    Attributes:
        health: detects whether the engine is slow.
    """

    def __init__(
        self,
        *,
        endpoint: models.Endpoint,
        token: int,
        forecast: forecast_lib.Forecast,
        decisions: decisions_lib.DecisionLog,
    ) -> None:
        self.endpoint = endpoint
        self.token = token
        self.forecast = forecast
        self.decisions = decisions
        self.health = health_lib.EngineHealth()

    def record_completion(
        self, grant: grants_lib.OpenGrant, release: peer_pb2.ReleaseRequest
    ) -> None:
        """Processes a request that the engine completed."""
        gap_seconds = release.mean_gap_ms / 1_000
        self.forecast.estimator.learn(
            grant.adapter,
            output_tokens=release.output_tokens,
            gap_seconds=gap_seconds,
            max_tokens=grant.max_tokens,
        )
        changed = self.health.observe(
            gap_seconds=gap_seconds,
            fill=self.forecast.occupied_request_slots()
            / self.forecast.request_slots,
        )
        if changed:
            self._record_change()

    def _record_change(self) -> None:
        self.decisions.record(
            decisions_lib.Decision(
                kind="health",
                chosen="slow" if self.health.is_slow else "usual",
                reason="the time between tokens is "
                f"{self.health.slowdown():.2f} times its baseline",
                engine_id=self.endpoint.endpoint_id,
                token=self.token,
            )
        )
