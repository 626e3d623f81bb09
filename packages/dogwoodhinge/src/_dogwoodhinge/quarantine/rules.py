"""State transitions of quarantine records.

Each transition may be applied again to its own result, since a write whose
response was lost is repeated.
"""

import dataclasses
import datetime
import enum
from typing import final

from _dogwoodhinge.quarantine import records

SAME_CRASH_WINDOW = datetime.timedelta(seconds=10)
SUSPECT_LIFETIME = datetime.timedelta(minutes=10)
CONVICTION_LIFETIME = datetime.timedelta(hours=1)

# Covers reports of crashes that happened before the request was cleared.
CLEARED_LIFETIME = datetime.timedelta(minutes=1)

# Crashes of one request that are named in its record, the latest ones.
MAX_NAMED_ENGINES = 8


class ClaimEnd(enum.Enum):
    """How a claimed retry ended that showed neither a crash nor a good run."""

    NOT_SENT = "not_sent"
    SURVIVED = "survived"  # the engine rejected it, or failed without a crash
    UNKNOWN = "unknown"


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Policy:
    """How many crashes restrict a request.

    Attributes:
        free_crashes: crashes up to which a suspect runs without a claim.
        convicting_crashes: crashes that convict a suspect although none of
            them was under a claim; None if these never convict.
        counted_crashes: crashes from which on each claim counts whose attempt
            has reached an engine, also if the engine did not run it.
        max_reruns: counted claims without a good end after which a request is
            rejected for `CONVICTION_LIFETIME`; None for no limit.
        probation: how long a convicted request is rejected before it may be
            claimed once more, by the number of claims before the last one.
        claim_lifetime: longest time after which a claim counts as abandoned.
        min_contents: different requests at these crashes from which on a
            suspect is restricted.
        convicting_claims: counted claims from which on a crash under a claim
            convicts.
        unshown_probation: how long a suspect is rejected whose claims are used
            up although none ended with a crash; None to treat it like others.
        spares_proven: whether a suspect that ran to completion before is only
            convicted by its last claim, and claims of it count only if they
            end with a crash.
    """

    free_crashes: int
    convicting_crashes: int | None
    counted_crashes: int
    max_reruns: int | None
    probation: tuple[datetime.timedelta, ...]
    claim_lifetime: datetime.timedelta
    min_contents: int = 0
    convicting_claims: int = 1
    spares_proven: bool = False
    unshown_probation: datetime.timedelta | None = None

    def is_restricted(self, record: records.QuarantineRecord) -> bool:
        """Returns whether a suspect may run only under a claim."""
        return (
            len(record.engines) > self.free_crashes
            and len(record.contents) >= self.min_contents
        )

    def convicts(self, record: records.QuarantineRecord) -> bool:
        """Returns whether one more crash under its claim convicts a suspect."""
        limit = self.convicting_claims
        if self.spares_proven and record.proven and self.max_reruns is not None:
            limit = self.max_reruns
        return record.reruns >= limit

    def is_unshown(self, record: records.QuarantineRecord) -> bool:
        """Returns whether no crash under a claim speaks against a suspect."""
        return self.unshown_probation is not None and not record.claim_crashes

    def rejection_period(
        self, record: records.QuarantineRecord
    ) -> datetime.timedelta:
        """Returns how long a convicted suspect is rejected."""
        if self.unshown_probation is not None and self.is_unshown(record):
            return self.unshown_probation
        if 0 < record.reruns <= len(self.probation):
            return self.probation[record.reruns - 1]
        return CONVICTION_LIFETIME


# The owner of an engine runs one suspect at a time there, so that a second
# crash points to the request.
OWNED_ENGINES = Policy(
    free_crashes=0,
    convicting_crashes=2,
    counted_crashes=2,
    max_reruns=None,
    probation=(),
    claim_lifetime=SUSPECT_LIFETIME,
)

# Nodes share the engines, and all requests beside the cause of a crash are
# suspects. They continue elsewhere at once; the few that were in flight at a
# second crash are separated from each other. An innocent request beside several
# causes is convicted nevertheless, so that verdicts are tried again.
SHARED_ENGINES = Policy(
    free_crashes=1,
    convicting_crashes=None,
    counted_crashes=3,
    max_reruns=3,
    # Engines that crashed need some seconds until they serve as before.
    probation=(datetime.timedelta(minutes=1), datetime.timedelta(minutes=10)),
    claim_lifetime=datetime.timedelta(seconds=30),
)

# Prompts of many requests share a part, and innocent parts are in flight at
# most crashes. A restricted part that is innocent holds up a whole route, so
# that parts need more evidence than requests: crashes under different requests,
# and two claims. Three claims in all may reach engines.
SHARED_PARTS = Policy(
    free_crashes=2,
    convicting_crashes=None,
    counted_crashes=1,
    max_reruns=3,
    probation=(datetime.timedelta(minutes=1), datetime.timedelta(minutes=1)),
    # A claim of a node that was lost holds up all prompts with the part.
    claim_lifetime=datetime.timedelta(seconds=5),
    min_contents=2,
    convicting_claims=2,
    spares_proven=True,
    # A part that all prompts of a route have may be rejected by engines a few
    # times while they load models and adapters.
    unshown_probation=datetime.timedelta(seconds=10),
)


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ClaimBlame:
    """What a crash under a claim says about one of the claimed suspects.

    Attributes:
        sole: whether the request had no other suspect.
        counted: whether the claim counts.
    """

    sole: bool = True
    counted: bool = True


SOLE_BLAME = ClaimBlame()


def suspect(
    fingerprint: str,
    *,
    customer: str,
    engine_id: str,
    content: str = "",
    proven: bool = False,
) -> records.QuarantineRecord:
    """Returns the record of a request or part in flight at a crash.

    Args:
        fingerprint: fingerprint of the request or part.
        customer: customer or caller that sent the request.
        engine_id: engine that crashed.
        content: of a part: fingerprint of the request.
        proven: of a part: whether it ran to completion before.
    """
    return records.QuarantineRecord(
        fingerprint=fingerprint,
        verdict=records.Verdict.SUSPECT,
        customer=customer,
        engines=(engine_id,),
        contents=(content,) if content else (),
        proven=proven,
    )


def after_crash(
    old: records.QuarantineRecord | None,
    *,
    crash: records.QuarantineRecord,
    claim: str,
    policy: Policy,
    repeated: bool = False,
    blame: ClaimBlame = SOLE_BLAME,
) -> records.QuarantineRecord:
    """Returns the record of a request or part after an engine crash.

    Args:
        old: record before the crash.
        crash: record of a suspect for this crash.
        claim: claim that the request ran under, empty without one. It convicts
            only while it holds: the request may have been cleared meanwhile.
        policy: which crashes convict.
        repeated: whether an engine that is named in `old` has crashed again,
            rather than being reported again.
        blame: what a crash under the claim says.
    """
    if old is not None and old.verdict is records.Verdict.CONVICTED:
        return old
    if claim and old is not None and old.claim == claim:
        crashed = _with_crash(old, crash, repeated=True)
        if policy.unshown_probation is not None and blame.counted:
            crashed = dataclasses.replace(
                crashed, claim_crashes=old.claim_crashes + 1
            )
        if blame.sole and policy.convicts(old):
            return convicted(crashed)
        return _unclaimed(crashed, counted=blame.counted)
    updated = _with_crash(old, crash, repeated=repeated)
    limit = policy.convicting_crashes
    if (
        limit is not None
        and updated.verdict is not records.Verdict.CLEARED
        and len(updated.engines) >= limit
    ):
        return convicted(updated)
    return updated


def _with_crash(
    old: records.QuarantineRecord | None,
    crash: records.QuarantineRecord,
    *,
    repeated: bool,
) -> records.QuarantineRecord:
    if old is None:
        return crash
    if crash.engine_id in old.cleared_engines and not repeated:
        return old
    if crash.engine_id in old.engines and not repeated:
        # Other requests with the same part were in flight there.
        return dataclasses.replace(
            old,
            contents=_contents(old, crash),
            proven=old.proven or crash.proven,
        )
    verdict = old.verdict
    if verdict is records.Verdict.CLEARED:
        verdict = records.Verdict.SUSPECT
    return dataclasses.replace(
        old,
        verdict=verdict,
        engines=_latest(*old.engines, crash.engine_id),
        contents=_contents(old, crash),
        proven=old.proven or crash.proven,
    )


def _contents(
    one: records.QuarantineRecord, other: records.QuarantineRecord
) -> tuple[str, ...]:
    """Returns the contents of two records, the earliest ones."""
    found = dict.fromkeys((*one.contents, *other.contents))
    return tuple(found)[: records.MAX_NAMED_CONTENTS]


def _latest(*engines: str) -> tuple[str, ...]:
    return engines[-MAX_NAMED_ENGINES:]


def merged(
    old: records.QuarantineRecord | None, other: records.QuarantineRecord
) -> records.QuarantineRecord:
    """Returns a record with the crashes of two, except the cleared ones."""
    if old is None:
        return other
    cleared_engines = _union(old.cleared_engines, other.cleared_engines)
    engines = tuple(
        engine
        for engine in _union(old.engines, other.engines)
        if engine not in cleared_engines
    )
    convicting = any(
        record.verdict is records.Verdict.CONVICTED
        and not set(record.engines) & set(cleared_engines)
        for record in (old, other)
    )
    united = dataclasses.replace(
        old,
        engines=engines,
        cleared_engines=cleared_engines,
        contents=_contents(old, other),
        proven=old.proven or other.proven,
        reruns=max(old.reruns, other.reruns),
        claim_crashes=max(old.claim_crashes, other.claim_crashes),
    )
    if not engines and not convicting:
        return cleared(united)
    if convicting:
        return convicted(united)
    if old.verdict is records.Verdict.RERUNNING:
        return united
    return dataclasses.replace(
        united, verdict=records.Verdict.SUSPECT, claim=""
    )


def restored(
    old: records.QuarantineRecord | None, *, known: records.QuarantineRecord
) -> records.QuarantineRecord:
    """Returns the record of a table that came back from an older copy.

    Args:
        old: the record in the copy; None if there is none.
        known: the record as a node knows it, its claim included.
    """
    if old is None:
        return known
    united = merged(old, known)
    if known.claim and united.verdict is records.Verdict.SUSPECT:
        return dataclasses.replace(
            united,
            verdict=records.Verdict.RERUNNING,
            claim=known.claim,
            claim_seconds=known.claim_seconds,
        )
    return united


def _union(one: tuple[str, ...], other: tuple[str, ...]) -> tuple[str, ...]:
    return _latest(*one, *(engine for engine in other if engine not in one))


def convicted(record: records.QuarantineRecord) -> records.QuarantineRecord:
    """Returns the record of a request that crashes engines."""
    return dataclasses.replace(
        record, verdict=records.Verdict.CONVICTED, claim=""
    )


def claimed(
    record: records.QuarantineRecord,
    claim: str,
    *,
    seconds: float,
    proven: bool = False,
) -> records.QuarantineRecord:
    """Returns the record of a suspect that is retried.

    Args:
        record: the record.
        claim: ID of the attempt.
        seconds: time after which the claim counts as abandoned.
        proven: whether a part is known to have run to completion before.
    """
    if record.claim == claim:
        return record
    return dataclasses.replace(
        record,
        proven=record.proven or proven,
        verdict=records.Verdict.RERUNNING,
        claim=claim,
        claim_seconds=seconds,
        reruns=record.reruns + 1,
    )


def claim_released(
    record: records.QuarantineRecord,
    claim: str,
    *,
    end: ClaimEnd,
    policy: Policy,
) -> records.QuarantineRecord:
    """Returns the record of a suspect whose retry has ended.

    Args:
        record: the record.
        claim: the claim that ends; another one stays.
        end: how the retry ended.
        policy: which claims count.
    """
    if record.claim != claim:
        return record
    spared = policy.spares_proven and record.proven
    counts = not spared and (
        end is ClaimEnd.UNKNOWN
        or (
            end is ClaimEnd.SURVIVED
            and len(record.engines) >= policy.counted_crashes
        )
    )
    return _unclaimed(record, counted=counts)


def _unclaimed(
    record: records.QuarantineRecord, *, counted: bool
) -> records.QuarantineRecord:
    return dataclasses.replace(
        record,
        verdict=records.Verdict.SUSPECT,
        claim="",
        reruns=record.reruns if counted else record.reruns - 1,
    )


def cleared(
    record: records.QuarantineRecord,
) -> records.QuarantineRecord:
    """Returns the record of a suspect that ran to completion.

    The record is stored, not deleted: a missing row means that the suspect was
    not written to the table.
    """
    return dataclasses.replace(
        record,
        verdict=records.Verdict.CLEARED,
        engines=(),
        cleared_engines=_union(record.cleared_engines, record.engines),
        contents=(),
        proven=record.is_part,
        claim="",
        reruns=0,
        claim_crashes=0,
    )


def lifetime(verdict: records.Verdict) -> datetime.timedelta:
    """Returns how long a record is kept after its last change."""
    if verdict is records.Verdict.CONVICTED:
        return CONVICTION_LIFETIME
    if verdict is records.Verdict.CLEARED:
        return CLEARED_LIFETIME
    return SUSPECT_LIFETIME
