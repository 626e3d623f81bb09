"""Rows of the quarantine table: requests in flight at an engine crash.

A record is about the content of a request, or about a part that the prompts of
several requests share; its fingerprint says which.
"""

import dataclasses
import enum
import hashlib
from typing import final

import pydantic

from dogwoodhinge import errors

TABLE = "quarantine"

# Key prefix of the rows that reserve an engine for one suspect.
RESERVATION_PREFIX = "engine/"
KEY_DIGEST_BYTES = 16

# Prefix of the fingerprints of parts of prompts; those of contents are digests.
PART_PREFIX = "part/"

# Contents that are named in the record of a part, the first ones.
MAX_NAMED_CONTENTS = 4


class InvalidRecordError(errors.DogwoodhingeError):
    """The value of a row is no record of the quarantine."""


class Verdict(enum.StrEnum):
    """Quarantine state of a request.

    Attributes:
        SUSPECT: was in flight when an engine crashed.
        RERUNNING: a suspect that is being retried under a claim.
        CONVICTED: crashes engines and is rejected.
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
        fingerprint: digest of the request.
        customer: customer or caller that sent it.
        engines: the engines that crashed while it was in flight, in order,
            since it last ran to completion.
        cleared_engines: those that crashed before.
        contents: of a part: fingerprints of the different requests in flight
            at these crashes.
        proven: of a part: whether it ran to completion some time before.
        claim: ID of the attempt that retries the request, else empty.
        claim_seconds: time after which the claim counts as abandoned.
        reruns: claims so far, without those whose attempt did not run.
        claim_crashes: of a part: crashes under these claims.
    """

    fingerprint: str
    verdict: Verdict
    customer: str
    engines: tuple[str, ...] = ()
    cleared_engines: tuple[str, ...] = ()
    contents: tuple[str, ...] = ()
    proven: bool = False
    claim: str = ""
    claim_seconds: float = 0.0
    reruns: int = 0
    claim_crashes: int = 0

    @property
    def engine_id(self) -> str:
        """Engine of the latest crash."""
        return self.engines[-1] if self.engines else ""

    @property
    def is_part(self) -> bool:
        """True if the record is about a part of prompts."""
        return is_part(self.fingerprint)


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Reservation:
    """An engine that runs no other suspect until the claim ends.

    Attributes:
        engine_id: the engine.
        claim: the claim.
        claim_seconds: time after which the claim counts as abandoned.
    """

    engine_id: str
    claim: str
    claim_seconds: float


def is_part(fingerprint: str) -> bool:
    """Returns whether a fingerprint is that of a part of prompts."""
    return fingerprint.startswith(PART_PREFIX)


RECORDS = pydantic.TypeAdapter(QuarantineRecord)
RESERVATIONS = pydantic.TypeAdapter(Reservation)


def encode(record: QuarantineRecord) -> bytes:
    """Encodes a record as the value of a row."""
    return RECORDS.dump_json(record)


def decode(value: bytes) -> QuarantineRecord:
    """Decodes the value of a row.

    Raises:
        InvalidRecordError: the value is no record.
    """
    try:
        return RECORDS.validate_json(value)
    except pydantic.ValidationError as error:
        raise InvalidRecordError(f"no quarantine record: {error}") from error


def encode_reservation(reservation: Reservation) -> bytes:
    """Encodes the reservation of an engine as the value of a row."""
    return RESERVATIONS.dump_json(reservation)


def decode_reservation(value: bytes) -> Reservation:
    """Decodes the reservation of an engine.

    Raises:
        InvalidRecordError: the value is no reservation.
    """
    try:
        return RESERVATIONS.validate_json(value)
    except pydantic.ValidationError as error:
        raise InvalidRecordError(
            f"no reservation of an engine: {error}"
        ) from error


def reservation_key(engine_id: str) -> str:
    """Returns the key of the row that reserves an engine.

    IDs of engines may be as long as the longest key of a table.
    """
    digest = hashlib.blake2b(engine_id.encode(), digest_size=KEY_DIGEST_BYTES)
    return f"{RESERVATION_PREFIX}{digest.hexdigest()}"
