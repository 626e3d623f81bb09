"""Admission replies that reject or redirect a request."""

import datetime
import math

from _dogwoodhinge.peer import peer_pb2

OWNER_CHANGED = "another node owns the engine; look up its owner again"
MIN_RETRY_AFTER_SECONDS = 0.1


def milliseconds(duration: datetime.timedelta) -> int:
    """Returns a duration in whole milliseconds."""
    return round(duration / datetime.timedelta(milliseconds=1))


def reject(reason: str, retry_after: float) -> peer_pb2.AdmitReply:
    """Returns the reply that rejects a request that has not run.

    Args:
        reason: a short sentence.
        retry_after: seconds after which a retry may succeed, 0 if none can.
    """
    if retry_after > 0:
        retry_after = max(retry_after, MIN_RETRY_AFTER_SECONDS)
    return peer_pb2.AdmitReply(
        refusal=peer_pb2.Refusal(
            reason=reason, retry_after_ms=math.ceil(1_000 * retry_after)
        )
    )


def redirect(engine_id: str, reason: str) -> peer_pb2.AdmitReply:
    """Returns the reply that redirects a request to an engine.

    A redirect to the same engine asks the entry node to look up its owner.
    """
    return peer_pb2.AdmitReply(
        redirect=peer_pb2.Redirect(engine_id=engine_id, reason=reason)
    )
