"""Rows of the table `intents`, which records calls that run at most once."""

import base64
import dataclasses
import datetime
import enum
import hashlib
import json
from typing import final

from dogwoodhinge import models

TABLE = "intents"
MAX_KEPT_BODY_BYTES = 64_000
MILLISECOND = datetime.timedelta(milliseconds=1)


class IntentState(enum.StrEnum):
    """State of the attempt that holds an idempotency key."""

    PENDING = "pending"
    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class IntentRecord:
    """The latest attempt under an idempotency key.

    Attributes:
        digest: hex digest of the request, to detect a key that is reused for
            another request.
        attempt_id: unique ID that the node generates for each attempt.
        session_id: session of the node that runs the attempt.
        deadline_ms: Unix time after which the attempt no longer dispatches.
        expires_ms: Unix time from which the row may be deleted.
        answer: the service's answer, None until the attempt is done.
        body_kept: False if the answer's body was too large to store.
    """

    digest: str
    attempt_id: str
    session_id: str
    state: IntentState
    deadline_ms: int
    expires_ms: int
    answer: models.PlainAnswer | None = None
    body_kept: bool = True


def row_key(customer: str, operation: str, idempotency_key: str) -> str:
    """Returns the row key of an idempotency key of a customer's operation."""
    scope = json.dumps([operation, idempotency_key])
    return f"{customer}/{hashlib.sha256(scope.encode()).hexdigest()}"


def with_answer(
    record: IntentRecord, answer: models.PlainAnswer
) -> IntentRecord:
    """Returns the record with the service's answer, without a large body."""
    body_kept = len(answer.body) <= MAX_KEPT_BODY_BYTES
    if not body_kept:
        answer = dataclasses.replace(answer, body=b"")
    return dataclasses.replace(
        record, state=IntentState.DONE, answer=answer, body_kept=body_kept
    )


def encode(record: IntentRecord) -> bytes:
    """Encodes a record as the value of a row."""
    members = {
        "digest": record.digest,
        "attempt_id": record.attempt_id,
        "session_id": record.session_id,
        "state": str(record.state),
        "deadline_ms": record.deadline_ms,
        "expires_ms": record.expires_ms,
        "kept": record.body_kept,
    }
    if record.answer is not None:
        body = base64.b64encode(record.answer.body).decode()
        members["status"] = record.answer.status
        members["content_type"] = record.answer.content_type
        members["body"] = body
    return json.dumps(members, separators=(",", ":")).encode()


def decode(value: bytes) -> IntentRecord:
    """Decodes the value of a row."""
    members = json.loads(value)
    answer = None
    if "status" in members:
        answer = models.PlainAnswer(
            members["status"],
            base64.b64decode(members["body"]),
            members["content_type"],
        )
    return IntentRecord(
        digest=members["digest"],
        attempt_id=members["attempt_id"],
        session_id=members["session_id"],
        state=IntentState(members["state"]),
        deadline_ms=members["deadline_ms"],
        expires_ms=members["expires_ms"],
        answer=answer,
        body_kept=members["kept"],
    )


def to_unix_ms(moment: datetime.datetime) -> int:
    """Returns the Unix time in milliseconds."""
    return int(moment.timestamp() * 1_000)
