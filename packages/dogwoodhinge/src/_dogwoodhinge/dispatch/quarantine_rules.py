"""State transitions of quarantine records."""

import dataclasses
import datetime

from _dogwoodhinge.dispatch import grants
from _dogwoodhinge.dispatch import quarantine_records as records

SAME_CRASH_WINDOW = datetime.timedelta(seconds=10)
SUSPECT_LIFETIME = datetime.timedelta(minutes=10)
CONVICTION_LIFETIME = datetime.timedelta(hours=1)


def suspect(
    fingerprint: str, *, customer: str, engine_id: str, now_ms: int
) -> records.QuarantineRecord:
    """Returns the record of a request that was in flight at a crash."""
    return records.QuarantineRecord(
        fingerprint=fingerprint,
        verdict=records.Verdict.SUSPECT,
        customer=customer,
        engine_id=engine_id,
        crashed_at_ms=now_ms,
        expires_at_ms=now_ms + grants.to_ms(SUSPECT_LIFETIME),
    )


def after_crash(
    old: records.QuarantineRecord | None,
    crash: records.QuarantineRecord,
    *,
    claim: str,
) -> records.QuarantineRecord:
    """Returns the record of a request after an engine crash.

    A crash convicts a request that ran under a claim, and a suspect whose
    earlier crash was another one.

    Args:
        old: record before the crash.
        crash: record of a suspect for this crash.
        claim: claim that the request ran under, empty without one.
    """
    if old is not None and old.verdict is records.Verdict.CONVICTED:
        return old
    if claim:
        return convicted(crash)
    if old is None or old.verdict is records.Verdict.CLEARED:
        return crash
    return old if _is_same_crash(old, crash) else convicted(crash)


def convicted(crash: records.QuarantineRecord) -> records.QuarantineRecord:
    """Returns the record of a request that crashed a second engine."""
    lifetime_ms = grants.to_ms(CONVICTION_LIFETIME)
    return dataclasses.replace(
        crash,
        verdict=records.Verdict.CONVICTED,
        claim="",
        expires_at_ms=crash.crashed_at_ms + lifetime_ms,
    )


def claimed(
    record: records.QuarantineRecord, claim: str
) -> records.QuarantineRecord:
    """Returns the record of a suspect that is retried."""
    return dataclasses.replace(
        record, verdict=records.Verdict.RERUNNING, claim=claim
    )


def claim_released(
    record: records.QuarantineRecord,
) -> records.QuarantineRecord:
    """Returns the record of a suspect whose claimed retry did not run."""
    return dataclasses.replace(
        record, verdict=records.Verdict.SUSPECT, claim=""
    )


def cleared(record: records.QuarantineRecord) -> records.QuarantineRecord:
    """Returns the record of a suspect that ran to completion.

    The record is stored, not deleted: a missing row means that the suspect was
    not written to the table.
    """
    return dataclasses.replace(
        record, verdict=records.Verdict.CLEARED, claim=""
    )


def _is_same_crash(
    old: records.QuarantineRecord, new: records.QuarantineRecord
) -> bool:
    """Returns whether two reports are of the same crash.

    Several nodes may detect one crash at different times.
    """
    difference_ms = abs(new.crashed_at_ms - old.crashed_at_ms)
    return old.engine_id == new.engine_id and difference_ms < grants.to_ms(
        SAME_CRASH_WINDOW
    )
