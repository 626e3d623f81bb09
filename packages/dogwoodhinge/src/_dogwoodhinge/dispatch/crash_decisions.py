"""Logs the quarantine of generations as decisions."""

from typing import final

from absl import logging

from _dogwoodhinge import decisions as decisions_lib
from _dogwoodhinge.quarantine import records


@final
class CrashDecisions:
    """Implements `quarantine.Reporter` on the decision log."""

    def __init__(self, decisions: decisions_lib.DecisionLog) -> None:
        self.decisions = decisions

    def __call__(
        self, record: records.QuarantineRecord, *, request_id: str
    ) -> None:
        """Logs the verdict on a request after a crash."""
        self.decisions.record(
            decisions_lib.Decision(
                kind="quarantine",
                chosen=str(record.verdict),
                reason=f"request {record.fingerprint[:16]} was in flight when "
                "the engine crashed",
                request_id=request_id,
                customer=record.customer,
                engine_id=record.engine_id,
            )
        )


def log_event(event: str, fields: dict[str, object]) -> None:
    """Logs a failure of the quarantine."""
    logging.info("%s: %s", event, fields)
