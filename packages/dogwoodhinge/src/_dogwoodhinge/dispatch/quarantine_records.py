"""Rows of the table `quarantine`: requests in flight at an engine crash."""

import dataclasses
import enum
import json
from typing import final

TABLE = "quarantine"


class Verdict(enum.StrEnum):
    """Quarantine state of a request.

    Attributes:
        SUSPECT: was in flight when an engine crashed.
        RERUNNING: a suspect that is being retried.
        CONVICTED: crashed a second engine and is rejected.
        CLEARED: a suspect that later ran to completion.
    """

    SUSPECT = "suspect"
    RERUNNING = "rerunning"
    CONVICTED = "convicted"
    CLEARED = "cleared"


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class QuarantineRecord:
    """Quarantine state of a request that was in flight at an engine crash.

    Attributes:
        fingerprint: digest of adapter, version and body.
        engine_id: engine of the latest crash.
        crashed_at_ms: Unix time of that crash.
        claim: ID of the attempt that retries the request, else empty.
        expires_at_ms: Unix time from which the record is ignored.
    """

    fingerprint: str
    verdict: Verdict
    customer: str
    engine_id: str
    crashed_at_ms: int
    expires_at_ms: int
    claim: str = ""


def encode(record: QuarantineRecord) -> bytes:
    """Encodes a record as the value of a row."""
    return json.dumps(
        dataclasses.asdict(record), separators=(",", ":")
    ).encode()


def decode(value: bytes) -> QuarantineRecord:
    """Decodes the value of a row."""
    members = json.loads(value)
    members["verdict"] = Verdict(members["verdict"])
    return QuarantineRecord(**members)
