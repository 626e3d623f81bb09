"""Limits the engines that one request can crash to two.

A request that was in flight when an engine crashed is a suspect. Its record is
written to the table and sent to every live peer before the caller gets an
answer or the request is retried, so that every node recognizes a resend. A
suspect is retried only under a claim, which a single attempt gets by a
conditional write. The retry either clears the suspect or, by a second crash,
convicts it: all nodes reject a convicted request until its record expires.

Peers get messages only about crashes. A node that missed a message reads the
record from the table within `POLL_INTERVAL`.
"""

from collections.abc import Callable
import datetime
from typing import final
import uuid

import mode

from _dogwoodhinge import decisions as decisions_lib
from _dogwoodhinge import errors
from _dogwoodhinge.dispatch import collaborators
from _dogwoodhinge.dispatch import quarantine_broadcast
from _dogwoodhinge.dispatch import quarantine_records as records
from _dogwoodhinge.dispatch import quarantine_rules as rules
from _dogwoodhinge.peer import peer_pb2
from dogwoodhinge import errors as public_errors
from dogwoodhinge import models
from dogwoodhinge import ports

CLAIM_RETRY_AFTER = datetime.timedelta(seconds=5)
POLL_INTERVAL = datetime.timedelta(seconds=5)
MAX_WRITE_ATTEMPTS = 4
PAGE_ROWS = 100
MAX_CACHED_RECORDS = 4_000  # about 1 MB


@final
class Quarantine(mode.Service):
    """Tracks suspects and convicted requests, and grants claims to retry.

    Attributes:
        cached_records: records by fingerprint, from the table and from peers.
        unwritten: fingerprints of records that are not in the table yet.
    """

    def __init__(
        self,
        *,
        table: ports.TableService,
        membership: collaborators.Membership,
        peer_client: collaborators.PeerClient,
        clock: ports.Clock,
        decisions: decisions_lib.DecisionLog,
    ) -> None:
        super().__init__()
        self.table = table
        self.broadcaster = quarantine_broadcast.QuarantineBroadcaster(
            membership=membership, peer_client=peer_client
        )
        self.clock = clock
        self.decisions = decisions
        self.cached_records: dict[str, records.QuarantineRecord] = {}
        self.unwritten: set[str] = set()

    async def claim(self, fingerprint: str, attempt_id: str) -> bool:
        """Checks whether an attempt may run, and claims the run of a suspect.

        Returns:
            True if the attempt runs as a suspect and now holds the claim,
            which `clear` or `release_claim` ends.

        Raises:
            QuarantinedError: the request is convicted and must not run.
            RefusedError: the request is a suspect that must not run now.
        """
        found = self._cached_record(fingerprint)
        if found is None:
            return False
        if found.verdict is records.Verdict.CONVICTED:
            raise _convicted(found)
        try:
            return await self._update(
                fingerprint, lambda old: self._claimed(old, attempt_id)
            )
        except public_errors.TableError as error:
            raise errors.RefusedError(
                "the request was in flight when an engine crashed, and it "
                "can't be retried while the quarantine table is unavailable",
                retry_after=CLAIM_RETRY_AFTER,
            ) from error

    async def report_crash(
        self,
        fingerprint: str,
        *,
        customer: str,
        engine_id: str,
        claim: str = "",
    ) -> bool:
        """Records that a request was in flight when an engine crashed.

        Args:
            fingerprint: digest of the request.
            customer: customer that sent the request.
            engine_id: engine that crashed.
            claim: ID of the attempt if it ran as a suspect, else empty.

        Returns:
            Whether the request is now convicted.
        """
        crash = rules.suspect(
            fingerprint,
            customer=customer,
            engine_id=engine_id,
            now_ms=self._now_ms(),
        )
        try:
            await self._update(
                fingerprint,
                lambda old: rules.after_crash(old, crash, claim=claim),
            )
        except public_errors.TableError:
            self._record_crash_locally(crash, claim)
        record = self.cached_records[fingerprint]
        self._log_decision(record)
        await self.broadcaster.broadcast(record)
        return record.verdict is records.Verdict.CONVICTED

    def _record_crash_locally(
        self, crash: records.QuarantineRecord, claim: str
    ) -> None:
        """Caches the record of a crash until the table accepts writes again.

        While the table is unavailable, a second crash convicts a request only
        if it ran under a claim: a node that loses its network connection loses
        all engines at once, which looks like several crashes.
        """
        old = self._cached_record(crash.fingerprint)
        updated = rules.after_crash(old, crash, claim=claim)
        if updated.verdict is records.Verdict.CONVICTED and not claim:
            updated = old or crash
        self._cache(updated)
        self.unwritten.add(crash.fingerprint)

    async def clear(self, fingerprint: str, attempt_id: str) -> None:
        """Ends a claim and clears the suspect, which ran to completion."""
        await self._end_claim(fingerprint, attempt_id, cleared=True)

    async def release_claim(self, fingerprint: str, attempt_id: str) -> None:
        """Ends a claim of an attempt that did not run; it stays a suspect."""
        await self._end_claim(fingerprint, attempt_id, cleared=False)

    async def receive_conviction(self, conviction: peer_pb2.Conviction) -> None:
        """Caches a record sent by a peer; without a time, of a suspect."""
        convicted = bool(conviction.convicted_at_ms)
        found = self._cached_record(conviction.fingerprint)
        if found is not None and not convicted:
            return
        record = rules.suspect(
            conviction.fingerprint,
            customer=conviction.customer,
            engine_id=conviction.engine_id,
            now_ms=self._now_ms(),
        )
        self._cache(rules.convicted(record) if convicted else record)

    async def poll(self) -> None:
        """Writes missing records, reads the table, deletes expired rows."""
        self.broadcaster.reset_suspect_limit()
        for fingerprint in list(self.unwritten):
            await self._update(fingerprint, _unchanged)
        after = ""
        while True:
            rows = await self.table.scan(
                records.TABLE, after=after, limit=PAGE_ROWS
            )
            for row in rows:
                await self._apply_row(row)
            if len(rows) < PAGE_ROWS:
                return
            after = rows[-1].key

    @mode.Service.task
    async def _poll_periodically(self) -> None:
        while not self.should_stop:
            try:
                await self.poll()
            except public_errors.TableError:
                pass  # the cached records stay in use
            await self.clock.sleep(POLL_INTERVAL)

    async def _apply_row(self, row: models.Row) -> None:
        record = records.decode(row.value)
        if record.expires_at_ms > self._now_ms():
            self._cache(record)
            return
        if self.cached_records.get(record.fingerprint) == record:
            del self.cached_records[record.fingerprint]
        try:
            await self._write(row.key, None, row.version)
        except public_errors.TableError:
            pass  # the next poll of any node retries

    async def _end_claim(
        self, fingerprint: str, attempt_id: str, *, cleared: bool
    ) -> None:
        row = await self.table.get(records.TABLE, fingerprint)
        if row is None:
            return
        record = records.decode(row.value)
        if record.claim != attempt_id:
            return  # convicted in the meantime, or claimed by another attempt
        ended = (
            rules.cleared(record) if cleared else rules.claim_released(record)
        )
        await self._write(fingerprint, ended, row.version)
        self._cache(ended)

    async def _update(
        self,
        fingerprint: str,
        change: Callable[
            [records.QuarantineRecord | None],
            records.QuarantineRecord | None,
        ],
    ) -> bool:
        """Applies a change to a row, or drops the record if it returns None.

        If the table has no valid row, the cached record is used: it may not
        have been written to the table yet.

        Returns:
            Whether a record was written.

        Raises:
            TableError: the row may or may not have been changed.
        """
        for _ in range(MAX_WRITE_ATTEMPTS):
            row = await self.table.get(records.TABLE, fingerprint)
            old = None if row is None else records.decode(row.value)
            if old is None or old.expires_at_ms <= self._now_ms():
                old = self._cached_record(fingerprint)
            changed = change(old)
            if changed is None:
                self.cached_records.pop(fingerprint, None)
                self.unwritten.discard(fingerprint)
                return False
            version = models.ABSENT if row is None else row.version
            try:
                await self._write(fingerprint, changed, version)
            except (
                public_errors.TableConflictError,
                public_errors.TableOutcomeUnknownError,
            ):
                continue  # reads the current row and retries
            self._cache(changed)
            self.unwritten.discard(fingerprint)
            return True
        raise public_errors.TableOutcomeUnknownError(
            f"the quarantine record of request {fingerprint} could not be "
            "written: every attempt had a conflict or an unknown outcome"
        )

    def _claimed(
        self, old: records.QuarantineRecord | None, attempt_id: str
    ) -> records.QuarantineRecord | None:
        """Returns the record with a claim, or None if no claim is needed."""
        if old is None or old.verdict is records.Verdict.CLEARED:
            return None
        if old.verdict is records.Verdict.CONVICTED:
            self._cache(old)
            raise _convicted(old)
        if old.claim not in ("", attempt_id):
            raise errors.RefusedError(
                "the request was in flight when an engine crashed, and its "
                "only retry is still in progress",
                retry_after=CLAIM_RETRY_AFTER,
            )
        return rules.claimed(old, attempt_id)

    async def _write(
        self,
        fingerprint: str,
        record: records.QuarantineRecord | None,
        version: int,
    ) -> None:
        write = models.Write(
            table=records.TABLE,
            key=fingerprint,
            value=None if record is None else records.encode(record),
            # Versions increase with time: a row that was deleted and inserted
            # again never has a version that an earlier writer expects.
            version=max(version + 1, self._now_ms()),
            expected=version,
        )
        await self.table.commit(
            models.Transaction(uuid.uuid4().hex, writes=(write,))
        )

    def _cache(self, record: records.QuarantineRecord) -> None:
        self.cached_records.pop(record.fingerprint, None)
        if record.verdict is not records.Verdict.CLEARED:
            self.cached_records[record.fingerprint] = record
        while len(self.cached_records) > MAX_CACHED_RECORDS:
            del self.cached_records[next(iter(self.cached_records))]

    def _cached_record(
        self, fingerprint: str
    ) -> records.QuarantineRecord | None:
        record = self.cached_records.get(fingerprint)
        if record is not None and record.expires_at_ms <= self._now_ms():
            del self.cached_records[fingerprint]
            return None
        return record

    def _now_ms(self) -> int:
        return int(self.clock.now().timestamp() * 1_000)

    def _log_decision(self, record: records.QuarantineRecord) -> None:
        self.decisions.record(
            decisions_lib.Decision(
                kind="quarantine",
                chosen=str(record.verdict),
                reason=f"request {record.fingerprint[:16]} was in flight when "
                "the engine crashed",
                customer=record.customer,
                engine_id=record.engine_id,
            )
        )


def _unchanged(
    old: records.QuarantineRecord | None,
) -> records.QuarantineRecord | None:
    return old


def _convicted(record: records.QuarantineRecord) -> errors.QuarantinedError:
    return errors.QuarantinedError(
        "this request crashed two engines and is rejected until Unix time "
        f"{record.expires_at_ms // 1_000} unless its content is changed"
    )
