"""Keeps requests that crash engines from crashing further ones.

A request that was in flight when an engine crashed is a suspect, and so may be
the parts that its prompt shares with others. After the crashes that its
`rules.Policy` allows, it is retried only under a claim, which a single attempt
gets by a conditional write; the same write may reserve the engine, so that no
other suspect runs there. The retry either clears the suspect or, by a crash,
convicts it: all nodes reject a convicted request until it may be claimed again
or its record expires.

Records are rows of a table, by fingerprint. A node that may
wait writes a crash before it answers (`report_crash`). One that may not applies
changes to its own view at once and writes them in the background; a change that
could not be written yet can be passed to peers (`unwritten`, `receive`). Times
are steady: each node counts the lifetime of a record since it learned of it.
"""

import asyncio
from collections.abc import Callable, Iterable
import dataclasses
import datetime
import functools
from typing import Protocol, final

import mode

from _dogwoodhinge import errors
from _dogwoodhinge import event_log
from _dogwoodhinge import supervision
from _dogwoodhinge.peer import peer_pb2
from _dogwoodhinge.quarantine import broadcast
from _dogwoodhinge.quarantine import record_table
from _dogwoodhinge.quarantine import record_view
from _dogwoodhinge.quarantine import records
from _dogwoodhinge.quarantine import rules
from dogwoodhinge import errors as public_errors
from dogwoodhinge import models
from dogwoodhinge import ports

CLAIM_RETRY_AFTER = datetime.timedelta(seconds=5)
POLL_INTERVAL = datetime.timedelta(seconds=5)
MAX_WRITE_ATTEMPTS = 4

# A crash makes suspects of all requests in flight; their rows are written
# together.
WRITE_DELAY = datetime.timedelta(milliseconds=20)
WRITE_RETRY_DELAY = datetime.timedelta(milliseconds=300)
MAX_BATCH_RECORDS = 30
MAX_BATCH_ENGINES = 15
MAX_UNWRITTEN_SENT = 64

Change = Callable[
    [records.QuarantineRecord | None], records.QuarantineRecord | None
]


class Reporter(Protocol):
    """Logs that a record has changed."""

    def __call__(
        self, record: records.QuarantineRecord, *, request_id: str
    ) -> None:
        """Logs a record.

        Args:
            record: the record after the change.
            request_id: the request that it was changed for; empty if the change
                came from another node.
        """


class EngineReservedError(errors.RefusedError):
    """Another suspect runs on the engine."""


class ClaimUnavailableError(errors.RefusedError):
    """A suspect can't be claimed because the table is unavailable."""


@final
class Quarantine(mode.Service):
    """Tracks suspects and convicted requests, and grants claims to retry.

    Attributes:
        view: the records that this node knows, from the table and from peers.
        cached_records: the records of the view, by fingerprint.
        unwritten_changes: changes by fingerprint that are not in the table.
        ended_claims: engines to be freed, with the claim that reserved them.
        reservations: the reservation of each engine that has one, with the
            monotonic second at which this node learned of it.
    """

    def __init__(
        self,
        *,
        table: record_table.Table,
        policy: rules.Policy,
        part_policy: rules.Policy = rules.SHARED_PARTS,
        clock: ports.Clock,
        report: Reporter,
        report_event: event_log.EventReporter,
        broadcaster: broadcast.QuarantineBroadcaster | None = None,
        cleans: Callable[[], bool] = lambda: True,
    ) -> None:
        """Creates the quarantine of one node.

        Args:
            table: holds the records of all nodes.
            policy: how many crashes restrict a request.
            part_policy: how many crashes restrict a part of prompts.
            clock: the clock.
            report: logs changed records.
            report_event: logs failures.
            broadcaster: sends crashes to peers; None if the table's changes
                are followed (`apply_row`) rather than polled.
            cleans: returns whether this node removes expired rows.
        """
        super().__init__()
        self.table = record_table.RecordTable(table=table, clock=clock)
        self.policy = policy
        self.part_policy = part_policy
        self.clock = clock
        self.report = report
        self.report_event = report_event
        self.broadcaster = broadcaster
        self.cleans = cleans
        self.view = record_view.RecordView(clock)
        self.cached_records = self.view.records
        self.unwritten_changes: dict[str, list[Change]] = {}
        self.ended_claims: dict[str, str] = {}
        self.reservations: dict[str, tuple[records.Reservation, float]] = {}
        self.writing = asyncio.Lock()
        self.has_unwritten = asyncio.Event()

    def policy_of(self, fingerprint: str) -> rules.Policy:
        """Returns the policy for a request or a part of prompts."""
        is_part = records.is_part(fingerprint)
        return self.part_policy if is_part else self.policy

    def find(self, fingerprint: str) -> records.QuarantineRecord | None:
        """Returns the record of a suspect or convicted request."""
        return self.view.find(fingerprint)

    def needs_claim(self, fingerprint: str) -> bool:
        """Returns whether the next run of a request has to be claimed.

        Raises:
            QuarantinedError: the request is convicted and must not run.
        """
        record = self.find(fingerprint)
        if record is None:
            return False
        if record.verdict is records.Verdict.CONVICTED:
            self._check_probation(record)
            return True
        return self.policy_of(fingerprint).is_restricted(record)

    async def claim(
        self,
        fingerprint: str,
        attempt_id: str,
        *,
        engine_id: str = "",
        longest_run: datetime.timedelta | None = None,
        proven: bool = False,
    ) -> bool:
        """Checks whether an attempt may run, and claims the run of a suspect.

        Args:
            fingerprint: digest of the request.
            attempt_id: ID of the attempt.
            engine_id: engine to reserve; empty if its owner keeps suspects
                apart.
            longest_run: time after which the attempt has ended in any case;
                None if that is unknown. Then its claim, if the node is lost,
                counts as abandoned.
            proven: whether a part is known to have run to completion before.

        Returns:
            True if the attempt runs as a suspect and now holds the claim, which
            ends with its result.

        Raises:
            QuarantinedError: the request is convicted and must not run.
            EngineReservedError: another suspect runs on the engine.
            ClaimUnavailableError: the table is unavailable.
            RefusedError: the request is a suspect that must not run now.
        """
        if not self.needs_claim(fingerprint):
            return False
        lifetime = self.policy_of(fingerprint).claim_lifetime
        if longest_run is not None:
            lifetime = min(lifetime, longest_run)
        reservation = records.Reservation(
            engine_id=engine_id,
            claim=attempt_id,
            claim_seconds=lifetime.total_seconds(),
        )
        try:
            claimed = await self._update(
                fingerprint,
                lambda old: self._claimed(old, reservation, proven=proven),
                reservation=reservation,
            )
        except public_errors.TableError as error:
            raise ClaimUnavailableError(
                "the request was in flight when an engine crashed, and it "
                "can't be retried while the quarantine table is unavailable",
                retry_after=CLAIM_RETRY_AFTER,
            ) from error
        record = self.find(fingerprint)
        if record is not None and record.verdict is records.Verdict.CONVICTED:
            self.report(record, request_id=attempt_id)  # its claims are used up
            self._check_probation(record)
        return claimed

    def is_claimed(self, fingerprint: str) -> bool:
        """Returns whether the run of a suspect is known to be in progress."""
        record = self.find(fingerprint)
        return (
            record is not None
            and bool(record.claim)
            and self.view.age(fingerprint) < record.claim_seconds
        )

    def is_reserved(self, engine_id: str) -> bool:
        """Returns whether an engine is reserved for the run of a suspect."""
        known = self.reservations.get(engine_id)
        return known is not None and not self._is_abandoned(*known)

    # Results, written before they return.

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
            fingerprint, customer=customer, engine_id=engine_id
        )
        change = self._crash_change(crash, claim, policy=self.policy)
        try:
            await self._update(fingerprint, change)
        except public_errors.TableError as error:
            self._report_unavailable(error)
            self._record_crash_locally(crash, claim)
        record = self.cached_records[fingerprint]
        self.report(record, request_id=claim)
        if self.broadcaster is not None:
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
        policy = dataclasses.replace(self.policy, convicting_crashes=None)
        self._apply(
            crash.fingerprint, self._crash_change(crash, claim, policy=policy)
        )

    def _crash_change(
        self,
        crash: records.QuarantineRecord,
        claim: str,
        *,
        policy: rules.Policy,
    ) -> Change:
        window = rules.SAME_CRASH_WINDOW.total_seconds()
        repeated = (
            crash.fingerprint in self.cached_records
            and self.view.age(crash.fingerprint) >= window
        )
        return functools.partial(
            rules.after_crash,
            crash=crash,
            claim=claim,
            policy=policy,
            repeated=repeated,
        )

    async def clear(self, fingerprint: str, attempt_id: str) -> None:
        """Ends a claim and clears the suspect, which ran to completion."""
        await self._end_claim(fingerprint, attempt_id, cleared=True)

    async def release_claim(self, fingerprint: str, attempt_id: str) -> None:
        """Ends a claim of an attempt that did not run; it stays a suspect."""
        await self._end_claim(fingerprint, attempt_id, cleared=False)

    # Results, written in the background.

    def record_crash(
        self,
        fingerprint: str,
        *,
        customer: str,
        engine_id: str,
        claim: str = "",
        request_id: str = "",
        content: str = "",
        proven: bool = False,
        blame: rules.ClaimBlame = rules.SOLE_BLAME,
    ) -> None:
        """Records that a request or part was in flight at an engine crash.

        Args:
            fingerprint: fingerprint of the request or part.
            customer: customer or caller that sent the request.
            engine_id: engine that crashed.
            claim: the claim that it ran under; empty without one.
            request_id: ID of the attempt, for the log.
            content: of a part: fingerprint of the request.
            proven: of a part: whether it ran to completion before.
            blame: what a crash under the claim says.
        """
        crash = rules.suspect(
            fingerprint,
            customer=customer,
            engine_id=engine_id,
            content=content,
            proven=proven,
        )
        self._apply(
            fingerprint,
            functools.partial(
                rules.after_crash,
                crash=crash,
                claim=claim,
                policy=self.policy_of(fingerprint),
                blame=blame,
            ),
            request_id=request_id,
        )

    def record_success(self, fingerprint: str, *, request_id: str = "") -> None:
        """Clears a suspect or convicted request that ran to completion."""
        if self.find(fingerprint) is not None:
            self._apply(fingerprint, _cleared, request_id=request_id)

    def record_claim_end(
        self,
        fingerprint: str,
        claim: str,
        *,
        engine_id: str,
        end: rules.ClaimEnd,
    ) -> None:
        """Ends a claim and frees its engine.

        Args:
            fingerprint: digest of the request.
            claim: the claim.
            engine_id: the engine that it reserved.
            end: how the attempt ended.
        """
        self.ended_claims[engine_id] = claim
        self._apply(
            fingerprint,
            functools.partial(
                _released,
                claim=claim,
                end=end,
                policy=self.policy_of(fingerprint),
            ),
        )
        self.has_unwritten.set()

    def _apply(
        self, fingerprint: str, change: Change, *, request_id: str = ""
    ) -> None:
        """Applies a change to this node's view and leaves it to be written."""
        old = self.view.get(fingerprint)
        changed = change(old)
        if changed is None or changed == old:
            return
        self.view.put(changed)
        self.unwritten_changes.setdefault(fingerprint, []).append(change)
        if len(self.unwritten_changes) > record_view.MAX_RECORDS:
            del self.unwritten_changes[next(iter(self.unwritten_changes))]
        self.has_unwritten.set()
        if request_id:
            self.report(changed, request_id=request_id)

    # Records of other nodes.

    async def receive_conviction(self, conviction: peer_pb2.Conviction) -> None:
        """Caches a record sent by a peer; without a time, of a suspect."""
        record = rules.suspect(
            conviction.fingerprint,
            customer=conviction.customer,
            engine_id=conviction.engine_id,
        )
        if conviction.convicted_at_ms:
            self.view.put(rules.convicted(record))
        elif self.view.get(conviction.fingerprint) is None:
            self.view.put(record)

    def unwritten(self) -> list[records.QuarantineRecord]:
        """Returns records with changes that are not in the table yet."""
        found = map(self.cached_records.get, self.unwritten_changes)
        return [record for record in found if record][:MAX_UNWRITTEN_SENT]

    def receive(self, key: str, value: bytes, *, write: bool) -> None:
        """Applies a record that another node has not written yet.

        Args:
            key: the fingerprint.
            value: the encoded record.
            write: whether to write it to the table from here.
        """
        try:
            record = records.decode(value)
        except records.InvalidRecordError as error:
            self._report_unreadable(key, error)
            return
        merge = functools.partial(rules.merged, other=record)
        if write:
            self._apply(record.fingerprint, merge)
            return
        old = self.view.get(record.fingerprint)
        changed = merge(old)
        if changed != old:
            self.view.put(changed)

    def apply_row(self, key: str, value: bytes | None) -> None:
        """Applies a row of the table that has changed, or was removed."""
        try:
            if key.startswith(records.RESERVATION_PREFIX):
                self._apply_reservation(key, value)
            elif value is not None:
                self._apply_record(records.decode(value))
            elif key not in self.unwritten_changes:
                self.view.forget(key)
        except records.InvalidRecordError as error:
            self._report_unreadable(key, error)

    def apply_snapshot(self, rows: Iterable[tuple[str, bytes | None]]) -> None:
        """Applies all rows of the table."""
        present = set()
        for key, value in rows:
            present.add(key)
            self.apply_row(key, value)
        for fingerprint in self.cached_records.keys() - present:
            if fingerprint not in self.unwritten_changes:
                self.view.forget(fingerprint)

    def apply_copy(self, rows: Iterable[tuple[str, bytes | None]]) -> None:
        """Applies all rows of a table that came back from an older copy.

        What this node knows and the copy lacks is written again, by each node
        that knows it; what one has written is found there by the others.
        """
        copied = dict(rows)
        lacking = [
            known
            for fingerprint, known in self.cached_records.items()
            if not self.view.is_expired(fingerprint)
            and copied.get(fingerprint) != records.encode(known)
        ]
        for known in lacking:
            # Contains the changes that were not written yet.
            self.unwritten_changes[known.fingerprint] = [
                functools.partial(rules.restored, known=known)
            ]
        self.apply_snapshot(copied.items())
        if lacking:
            self.has_unwritten.set()
            self.report_event(
                "quarantine_written_again", {"records": len(lacking)}
            )

    def _apply_record(self, record: records.QuarantineRecord) -> None:
        changed = self._with_unwritten(record.fingerprint, record)
        if changed is not None:
            self.view.put(changed)

    def _apply_reservation(self, key: str, value: bytes | None) -> None:
        if value is None:
            for engine_id in tuple(self.reservations):
                if records.reservation_key(engine_id) == key:
                    del self.reservations[engine_id]
            return
        self._learn_reservation(records.decode_reservation(value))

    # The table.

    async def poll(self) -> None:
        """Writes missing records, reads the table, deletes expired rows."""
        if self.broadcaster is not None:
            self.broadcaster.reset_suspect_limit()
        await self.flush()
        for row in await self.table.read_all():
            self.apply_row(row.key, row.value)
        await self.remove_expired()

    @mode.Service.task
    async def _poll_periodically(self) -> None:
        while not self.should_stop and self.broadcaster is not None:
            try:
                await self.poll()
            except public_errors.TableError as error:
                self._report_unavailable(error)
            await self.clock.sleep(POLL_INTERVAL)

    @mode.Service.task
    async def _remove_periodically(self) -> None:
        await supervision.repeat(
            self, self._remove_once, report=self.report_event
        )

    async def _remove_once(self) -> float:
        if self.broadcaster is None and self.cleans():
            try:
                await self.remove_expired()
            except public_errors.TableError as error:
                self._report_unavailable(error)
        return POLL_INTERVAL.total_seconds()

    @mode.Service.task
    async def _write_periodically(self) -> None:
        await supervision.repeat(
            self, self._write_once, report=self.report_event
        )

    async def _write_once(self) -> float:
        await self.has_unwritten.wait()
        await self.clock.sleep(WRITE_DELAY)
        self.has_unwritten.clear()
        try:
            await self.flush()
        except public_errors.TableError as error:
            self._report_unavailable(error)
            return WRITE_RETRY_DELAY.total_seconds()
        finally:
            if self.unwritten_changes or self.ended_claims:
                self.has_unwritten.set()
        return 0.0

    def _report_unavailable(self, error: public_errors.TableError) -> None:
        self.report_event(
            "quarantine_table_unavailable",
            {"reason": str(error), "unwritten": len(self.unwritten_changes)},
        )

    def _report_unreadable(
        self, key: str, error: records.InvalidRecordError
    ) -> None:
        self.report_event(
            "quarantine_row_unreadable", {"key": key, "reason": str(error)}
        )

    async def flush(self) -> None:
        """Writes the changes that are not in the table yet.

        Raises:
            TableError: some may not have been written.
        """
        async with self.writing:
            while self.unwritten_changes or self.ended_claims:
                await self._write_batch(
                    list(self.unwritten_changes)[:MAX_BATCH_RECORDS],
                    dict([*self.ended_claims.items()][:MAX_BATCH_ENGINES]),
                )

    async def remove_expired(self) -> None:
        """Removes the rows of records and claims that have expired here.

        Raises:
            TableError: some may not have been removed.
        """
        expired = [
            fingerprint
            for fingerprint in self.view.expired()
            if fingerprint not in self.unwritten_changes
        ]
        for begin in range(0, len(expired), MAX_BATCH_RECORDS):
            batch = expired[begin : begin + MAX_BATCH_RECORDS]
            rows = await self.table.read(batch)
            await self.table.commit(
                self.table.write(row.key, None, row) for row in rows.values()
            )
            for fingerprint in batch:
                self.view.forget(fingerprint)
            self.view.evicted.difference_update(batch)
        for engine_id, known in tuple(self.reservations.items()):
            if self._is_abandoned(*known):
                self.ended_claims[engine_id] = known[0].claim
                self.has_unwritten.set()

    async def _write_batch(
        self, fingerprints: list[str], freed: dict[str, str]
    ) -> None:
        """Writes the changes of some records and frees some engines."""
        for _ in range(MAX_WRITE_ATTEMPTS):
            pending = {
                fingerprint: tuple(self.unwritten_changes[fingerprint])
                for fingerprint in fingerprints
                if fingerprint in self.unwritten_changes
            }
            cached = {f: self.cached_records.get(f) for f in pending}
            keys = {records.reservation_key(e): e for e in freed}
            rows = await self.table.read([*pending, *keys])
            written: dict[str, records.QuarantineRecord] = {}
            writes = []
            for fingerprint in pending:
                row = rows.get(fingerprint)
                old = self._decode(row)
                changed = self._with_unwritten(fingerprint, old)
                if changed is None:
                    continue
                written[fingerprint] = changed
                if changed != old:
                    writes.append(
                        self.table.write(
                            fingerprint, records.encode(changed), row
                        )
                    )
            for key, engine_id in keys.items():
                row = rows.get(key)
                if row is not None and _reserved_by(row) == freed[engine_id]:
                    writes.append(self.table.write(key, None, row))
            try:
                await self.table.commit(writes)
            except (
                public_errors.TableConflictError,
                public_errors.TableOutcomeUnknownError,
            ):
                continue  # reads the current rows and retries
            self._finish_batch(pending, cached, written, freed)
            return
        raise public_errors.TableOutcomeUnknownError(
            f"{len(fingerprints)} quarantine records could not be written: "
            "every attempt had a conflict or an unknown outcome"
        )

    def _finish_batch(
        self,
        pending: dict[str, tuple[Change, ...]],
        cached: dict[str, records.QuarantineRecord | None],
        written: dict[str, records.QuarantineRecord],
        freed: dict[str, str],
    ) -> None:
        for fingerprint, changes in pending.items():
            self._drop_written(fingerprint, changes)
            # A row that was read from the table meanwhile is newer.
            unchanged = (
                self.cached_records.get(fingerprint) is (cached[fingerprint])
            )
            if unchanged and fingerprint in written:
                self.view.put(written[fingerprint])
        for engine_id, claim in freed.items():
            if self.ended_claims.get(engine_id) == claim:
                del self.ended_claims[engine_id]
            known = self.reservations.get(engine_id)
            if known is not None and known[0].claim == claim:
                del self.reservations[engine_id]

    def _with_unwritten(
        self, fingerprint: str, record: records.QuarantineRecord | None
    ) -> records.QuarantineRecord | None:
        """Applies the changes that are not in the table yet."""
        for change in self.unwritten_changes.get(fingerprint, ()):
            record = change(record)
        return record

    def _drop_written(
        self, fingerprint: str, written: tuple[Change, ...]
    ) -> None:
        """Drops changes of a record that are in the table now."""
        left = [
            change
            for change in self.unwritten_changes.get(fingerprint, ())
            if not any(change is done for done in written)
        ]
        if left:
            self.unwritten_changes[fingerprint] = left
        else:
            self.unwritten_changes.pop(fingerprint, None)

    async def _end_claim(
        self, fingerprint: str, attempt_id: str, *, cleared: bool
    ) -> None:
        row = await self.table.get(fingerprint)
        record = self._decode(row)
        if row is None or record is None or record.claim != attempt_id:
            return  # convicted in the meantime, or claimed by another attempt
        ended = (
            rules.cleared(record)
            if cleared
            else rules.claim_released(
                record,
                attempt_id,
                end=rules.ClaimEnd.UNKNOWN,
                policy=self.policy,
            )
        )
        await self.table.commit(
            [self.table.write(fingerprint, records.encode(ended), row)]
        )
        self.view.put(ended)

    async def _update(
        self,
        fingerprint: str,
        change: Change,
        *,
        reservation: records.Reservation | None = None,
    ) -> bool:
        """Applies a change to a row, or drops the record if it returns None.

        If the table has no valid row, the cached record is used: it may not
        have been written to the table yet.

        Args:
            fingerprint: digest of the request.
            change: returns the new record.
            reservation: the claim that the change makes, and the engine to
                reserve in the same transaction, if it names one.

        Returns:
            Whether a record was written.

        Raises:
            TableError: the row may or may not have been changed.
        """
        for _ in range(MAX_WRITE_ATTEMPTS):
            row = await self.table.get(fingerprint)
            unwritten = tuple(self.unwritten_changes.get(fingerprint, ()))
            old = self._with_unwritten(fingerprint, self._decode(row))
            if old is None:
                old = self.view.get(fingerprint)
            changed = change(old)
            if changed is None:
                self.view.forget(fingerprint)
                self._drop_written(fingerprint, unwritten)
                return False
            writes = [
                self.table.write(fingerprint, records.encode(changed), row)
            ]
            if (
                reservation is not None
                and reservation.engine_id
                and changed.claim == reservation.claim
            ):
                writes.append(await self._reservation_write(reservation))
            try:
                await self.table.commit(writes)
            except (
                public_errors.TableConflictError,
                public_errors.TableOutcomeUnknownError,
            ):
                continue  # reads the current row and retries
            self.view.put(changed)
            self._drop_written(fingerprint, unwritten)
            if len(writes) > 1 and reservation is not None:
                self._learn_reservation(reservation)
            return True
        raise public_errors.TableOutcomeUnknownError(
            f"the quarantine record of request {fingerprint} could not be "
            "written: every attempt had a conflict or an unknown outcome"
        )

    async def _reservation_write(
        self, reservation: records.Reservation
    ) -> models.Write:
        key = records.reservation_key(reservation.engine_id)
        row = await self.table.get(key)
        if row is not None:
            self.apply_row(key, row.value)
            known = self.reservations.get(reservation.engine_id)
            if (
                known is not None
                and known[0].claim != reservation.claim
                and not self._is_abandoned(*known)
            ):
                raise EngineReservedError(
                    f"another suspect runs on engine {reservation.engine_id}",
                    retry_after=CLAIM_RETRY_AFTER,
                )
        value = records.encode_reservation(reservation)
        return self.table.write(key, value, row)

    def _learn_reservation(self, reservation: records.Reservation) -> None:
        known = self.reservations.get(reservation.engine_id)
        if known is None or known[0] != reservation:
            now = self.clock.monotonic()
            self.reservations[reservation.engine_id] = reservation, now

    def _is_abandoned(
        self, reservation: records.Reservation, since: float
    ) -> bool:
        age = self.clock.monotonic() - since
        return age >= reservation.claim_seconds

    def _claimed(
        self,
        old: records.QuarantineRecord | None,
        reservation: records.Reservation,
        *,
        proven: bool,
    ) -> records.QuarantineRecord | None:
        """Returns the record with a claim, or None if no claim is needed."""
        attempt_id = reservation.claim
        if old is None or old.verdict is records.Verdict.CLEARED:
            return None
        if old.verdict is records.Verdict.CONVICTED:
            self.view.put(old)
            self._check_probation(old)
        if old.claim not in ("", attempt_id) and not self._claim_ended(old):
            raise errors.RefusedError(
                "the request was in flight when an engine crashed, and its "
                "only retry is still in progress",
                retry_after=CLAIM_RETRY_AFTER,
            )
        policy = self.policy_of(old.fingerprint)
        tried_again = (
            old.verdict is records.Verdict.CONVICTED and policy.is_unshown(old)
        )
        if (
            policy.max_reruns is not None
            and old.claim != attempt_id
            and old.reruns >= policy.max_reruns
            and not tried_again
        ):
            return rules.convicted(old)
        return rules.claimed(
            old,
            attempt_id,
            seconds=reservation.claim_seconds,
            proven=proven,
        )

    def _claim_ended(self, record: records.QuarantineRecord) -> bool:
        """Returns whether a claim has outlasted its lifetime."""
        known = self.cached_records.get(record.fingerprint)
        if known is None or known.claim != record.claim:
            self.view.put(record)
        return self.view.age(record.fingerprint) >= record.claim_seconds

    def _decode(
        self, row: models.Row | None
    ) -> records.QuarantineRecord | None:
        """Returns the record of a row that is valid and has not expired."""
        if row is None:
            return None
        try:
            record = records.decode(row.value)
        except records.InvalidRecordError as error:
            self._report_unreadable(row.key, error)
            return None
        known = self.cached_records.get(record.fingerprint)
        if known == record and self.view.is_expired(record.fingerprint):
            return None
        return record

    def _check_probation(self, record: records.QuarantineRecord) -> None:
        """Raises QuarantinedError until a convicted request may be claimed."""
        age = self.view.age(record.fingerprint)
        policy = self.policy_of(record.fingerprint)
        period = policy.rejection_period(record)
        seconds = period.total_seconds() - age
        if seconds <= 0:
            return
        count = "two" if len(record.engines) <= 2 else str(len(record.engines))
        cause = "this request"
        if record.is_part:
            part = record.fingerprint.removeprefix(records.PART_PREFIX)
            cause = f"part {part} of the prompt"
        raise errors.QuarantinedError(
            f"{cause} crashed {count} engines and is rejected for another "
            f"{seconds:.0f} s unless its content is changed",
            retry_after=datetime.timedelta(seconds=seconds),
        )


def _cleared(
    old: records.QuarantineRecord | None,
) -> records.QuarantineRecord | None:
    return None if old is None else rules.cleared(old)


def _released(
    old: records.QuarantineRecord | None,
    *,
    claim: str,
    end: rules.ClaimEnd,
    policy: rules.Policy,
) -> records.QuarantineRecord | None:
    if old is None:
        return None
    return rules.claim_released(old, claim, end=end, policy=policy)


def _reserved_by(row: models.Row) -> str:
    """Returns the claim that reserves an engine; empty if unreadable."""
    try:
        return records.decode_reservation(row.value).claim
    except records.InvalidRecordError:
        return ""  # `apply_row` has logged it
