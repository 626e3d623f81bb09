"""Runs a call at most once for each idempotency key.

An attempt claims its key by a conditional write before the dispatch and
records the outcome afterwards. Another attempt may run only if the key has no
row, or if the previous attempt has recorded `not_run` in it.
"""

import asyncio
import dataclasses
import datetime
from typing import final
import uuid

import mode

from _dogwoodhinge import settings as settings_lib
from _dogwoodhinge.dispatch import background
from _dogwoodhinge.dispatch import collaborators
from _dogwoodhinge.dispatch import errors as dispatch_errors
from _dogwoodhinge.dispatch import intent_records as records
from _dogwoodhinge.dispatch import write_batches
from dogwoodhinge import errors as public_errors
from dogwoodhinge import models
from dogwoodhinge import ports

RETENTION = datetime.timedelta(hours=24)
OUTCOME_MARGIN = datetime.timedelta(seconds=5)
MIN_RETRY_AFTER = datetime.timedelta(seconds=1)
MAX_RETRY_AFTER = datetime.timedelta(seconds=10)
MAX_BEGIN_ATTEMPTS = 5
RECORD_WAIT_TIMEOUT = datetime.timedelta(milliseconds=500)
RECORD_INITIAL_DELAY = datetime.timedelta(milliseconds=200)
RECORD_MAX_DELAY = datetime.timedelta(seconds=5)
RECORD_RETRY_TIMEOUT = datetime.timedelta(minutes=10)
SWEEP_INTERVAL = datetime.timedelta(seconds=1)
SWEEP_PAGE_ROWS = 100
SESSION_ENDED = "ended"


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class IntentRequest:
    """A request to run a call under an idempotency key.

    Attributes:
        operation: service and operation; keys of other operations are
            independent.
        digest: hex digest of everything that is sent to the service.
        time_left: time until the caller's deadline.
    """

    customer: str
    operation: str
    idempotency_key: str
    digest: str
    time_left: datetime.timedelta


@final
@dataclasses.dataclass(frozen=True, slots=True)
class IntentAttempt:
    """An attempt that holds its idempotency key and may dispatch once.

    Attributes:
        key: key of the row.
        version: version of the row.
        record: content of the row.
        dispatch_by: time from which no dispatch is allowed, in monotonic
            seconds.
    """

    key: str
    version: int
    record: records.IntentRecord
    dispatch_by: float


@final
class Intents(mode.Service):
    """Claims idempotency keys for calls and stores the outcomes."""

    def __init__(
        self,
        *,
        table: ports.TableService,
        membership: collaborators.Membership,
        clock: ports.Clock,
        settings: settings_lib.Settings,
    ) -> None:
        super().__init__()
        self.table = table
        self.membership = membership
        self.clock = clock
        self.settings = settings
        self.batches = write_batches.WriteBatches(table=table, clock=clock)
        self.background = background.BackgroundTasks()
        self.sweep_cursor = ""

    async def begin(
        self, request: IntentRequest
    ) -> IntentAttempt | models.PlainAnswer:
        """Claims a key, or returns the answer that is stored under it.

        Raises:
            KeyReusedError: the key was used for another request.
            InProgressError: another attempt may still be running.
            PastOutcomeUnknownError: another attempt may have run.
            AnswerTooLargeError: another attempt ran; its answer was too large
                to store.
            IntentsUnavailableError: the claim could not be written to the
                table; the call was not run.
        """
        attempt = self._new_attempt(request)
        may_be_written = False
        version = models.ABSENT
        try:
            for _ in range(MAX_BEGIN_ATTEMPTS):
                attempt = dataclasses.replace(
                    attempt, version=max(attempt.version, version + 1)
                )
                try:
                    await self._write(attempt, expected=version)
                    return attempt
                except public_errors.TableOutcomeUnknownError:
                    may_be_written = True
                except public_errors.TableConflictError:
                    pass
                row = await self.table.get(records.TABLE, attempt.key)
                if row is None:
                    version = models.ABSENT
                    continue
                found = records.decode(row.value)
                if found.attempt_id == attempt.record.attempt_id:
                    return dataclasses.replace(attempt, version=row.version)
                answer = self._resolve_existing(found, request)
                if answer is not None:
                    return answer
                version = row.version
        except public_errors.TableError as error:
            if may_be_written:
                self._record_not_run(attempt)
            raise _intents_unavailable() from error
        if may_be_written:
            self._record_not_run(attempt)
        raise _intents_unavailable()

    async def record_answer(
        self, attempt: IntentAttempt, answer: models.PlainAnswer
    ) -> None:
        """Records the answer.

        Returns after `RECORD_WAIT_TIMEOUT` at the latest; the write then
        continues in the background.
        """
        await self._record_outcome(
            attempt, records.with_answer(attempt.record, answer)
        )

    async def record_state(
        self, attempt: IntentAttempt, state: records.IntentState
    ) -> None:
        """Records the final state of an attempt that got no answer."""
        await self._record_outcome(
            attempt, dataclasses.replace(attempt.record, state=state)
        )

    async def settle(self) -> None:
        """Waits until every outcome is recorded or its retries have ended."""
        await self.background.settle()
        await self.batches.settle()

    async def sweep(self) -> None:
        """Reads one page of rows and deletes the expired ones."""
        rows = await self.table.scan(
            records.TABLE, after=self.sweep_cursor, limit=SWEEP_PAGE_ROWS
        )
        self.sweep_cursor = rows[-1].key if len(rows) == SWEEP_PAGE_ROWS else ""
        now_ms = records.to_unix_ms(self.clock.now())
        writes = tuple(
            models.Write(
                records.TABLE, row.key, None, row.version + 1, row.version
            )
            for row in rows
            if records.decode(row.value).expires_ms <= now_ms
        )
        if writes:
            await self.table.commit(
                models.Transaction(uuid.uuid4().hex, writes=writes)
            )

    @mode.Service.task
    async def _sweep_periodically(self) -> None:
        while not self.should_stop:
            await self.clock.sleep(SWEEP_INTERVAL)
            if not self._is_sweeper():
                continue
            try:
                await self.sweep()
            except public_errors.TableError:
                pass  # the next sweep retries

    def _is_sweeper(self) -> bool:
        """Returns whether this node deletes expired rows.

        Only the node with the lowest session ID does. Two nodes that sweep at
        the same time do no harm: the deletes are conditional.
        """
        others = (peer.session_id for peer in self.membership.peers())
        return self.membership.self_id <= min(
            others, default=self.membership.self_id
        )

    def _new_attempt(self, request: IntentRequest) -> IntentAttempt:
        now = self.clock.now()
        record = records.IntentRecord(
            digest=request.digest,
            attempt_id=uuid.uuid4().hex,
            session_id=self.membership.self_id,
            state=records.IntentState.PENDING,
            deadline_ms=records.to_unix_ms(now + request.time_left),
            expires_ms=records.to_unix_ms(now + RETENTION),
        )
        return IntentAttempt(
            key=records.row_key(
                request.customer, request.operation, request.idempotency_key
            ),
            # Versions increase with time: a row that was deleted and inserted
            # again never has the version that an earlier attempt expects.
            version=records.to_unix_ms(now),
            record=record,
            dispatch_by=self.clock.monotonic()
            + request.time_left.total_seconds(),
        )

    def _resolve_existing(
        self, found: records.IntentRecord, request: IntentRequest
    ) -> models.PlainAnswer | None:
        """Returns the stored answer, or None if the key may be claimed."""
        if found.digest != request.digest:
            raise dispatch_errors.KeyReusedError(
                "the Idempotency-Key was used for a different request; send "
                "this request with a new key"
            )
        if found.state is records.IntentState.NOT_RUN:
            return None
        if found.state is records.IntentState.PENDING:
            raise self._pending_error(found)
        if found.answer is None:
            raise _past_outcome_unknown()
        if not found.body_kept:
            raise dispatch_errors.AnswerTooLargeError(
                f"the service answered with status {found.answer.status}, but "
                "the answer was too large to store; query the service for the "
                "result",
                status=found.answer.status,
            )
        return found.answer

    def _pending_error(
        self, found: records.IntentRecord
    ) -> dispatch_errors.IntentError:
        """Returns the error for a key whose attempt has no recorded outcome.

        A node whose session has lapsed may only be paused and may still
        dispatch. A caller that gets "outcome unknown" checks the result and
        may send the call with a new key, so that error is returned only once
        the first attempt can no longer dispatch: its session has ended, or its
        deadline and `OUTCOME_MARGIN` have passed.
        """
        session = self.membership.session(found.session_id)
        dispatch_end_ms = (
            found.deadline_ms + OUTCOME_MARGIN // records.MILLISECOND
        )
        remaining_ms = dispatch_end_ms - records.to_unix_ms(self.clock.now())
        ended = session is not None and session.state == SESSION_ENDED
        if ended or remaining_ms <= 0:
            return _past_outcome_unknown()
        retry_after = min(remaining_ms * records.MILLISECOND, MAX_RETRY_AFTER)
        return dispatch_errors.InProgressError(
            "a call with this key is in progress; retry with the same key to "
            "get its answer",
            retry_after=max(retry_after, MIN_RETRY_AFTER),
        )

    async def _write(self, attempt: IntentAttempt, *, expected: int) -> None:
        await self.batches.commit(
            models.Write(
                table=records.TABLE,
                key=attempt.key,
                value=records.encode(attempt.record),
                version=attempt.version,
                expected=expected,
            )
        )

    async def _record_outcome(
        self, attempt: IntentAttempt, record: records.IntentRecord
    ) -> None:
        recording = self.background.start(
            self._write_outcome_with_retries(attempt, record),
            name=f"record of {attempt.key}",
        )
        await asyncio.wait(
            {recording}, timeout=RECORD_WAIT_TIMEOUT.total_seconds()
        )

    def _record_not_run(self, attempt: IntentAttempt) -> None:
        """Records `not_run` for an attempt that may hold its key.

        The attempt's claim had an unknown outcome and the attempt is never
        dispatched, so the key must stay usable.
        """
        record = dataclasses.replace(
            attempt.record, state=records.IntentState.NOT_RUN
        )
        self.background.spawn(
            self._write_outcome_with_retries(attempt, record),
            name=f"record {attempt.key} as not run",
        )

    async def _write_outcome_with_retries(
        self, attempt: IntentAttempt, record: records.IntentRecord
    ) -> None:
        """Retries until the outcome is stored or another attempt has the row.

        Stops after `RECORD_RETRY_TIMEOUT`.
        """
        give_up_at = (
            self.clock.monotonic() + RECORD_RETRY_TIMEOUT.total_seconds()
        )
        delay = RECORD_INITIAL_DELAY
        outcome = dataclasses.replace(
            attempt, version=attempt.version + 1, record=record
        )
        while not await self._try_write_outcome(outcome):
            if self.clock.monotonic() >= give_up_at:
                return
            await self.clock.sleep(delay)
            delay = min(2 * delay, RECORD_MAX_DELAY)

    async def _try_write_outcome(self, outcome: IntentAttempt) -> bool:
        """Returns whether the outcome is stored or another attempt has the row.

        Either way, no further write is needed.
        """
        try:
            await self._write(outcome, expected=outcome.version - 1)
            return True
        except public_errors.TableError:
            pass  # the row shows whether the write was applied
        try:
            row = await self.table.get(records.TABLE, outcome.key)
        except public_errors.TableError:
            return False
        if row is None:
            return False  # the insert may still be applied
        found = records.decode(row.value)
        if found.attempt_id != outcome.record.attempt_id:
            return True
        return found.state is outcome.record.state


def _intents_unavailable() -> dispatch_errors.IntentsUnavailableError:
    return dispatch_errors.IntentsUnavailableError(
        "the idempotency key could not be recorded in the table, so the call "
        "was not run; retry with the same key"
    )


def _past_outcome_unknown() -> dispatch_errors.PastOutcomeUnknownError:
    return dispatch_errors.PastOutcomeUnknownError(
        "an earlier call with this key may have run and is not repeated; query "
        "the service for its result, and use a new key if it did not run"
    )
