"""Runs generations, from admission to the release of the grant."""

import asyncio
from collections.abc import AsyncGenerator, Callable
import contextlib
import dataclasses
import datetime
from typing import final

from _dogwoodhinge import decisions as decisions_lib
from _dogwoodhinge import errors
from _dogwoodhinge import settings as settings_lib
from _dogwoodhinge.dispatch import admission as admission_lib
from _dogwoodhinge.dispatch import background
from _dogwoodhinge.dispatch import collaborators
from _dogwoodhinge.dispatch import crashes
from _dogwoodhinge.dispatch import engine_run
from _dogwoodhinge.dispatch import errors as dispatch_errors
from _dogwoodhinge.dispatch import generation_requests
from _dogwoodhinge.dispatch import grants as grants_lib
from _dogwoodhinge.peer import peer_pb2
from _dogwoodhinge.quarantine import quarantine as quarantine_lib
from dogwoodhinge import errors as public_errors
from dogwoodhinge import models
from dogwoodhinge import ports

MAX_ATTEMPTS = 4
MAX_RECONNECTS = 2
RETRY_DELAY = datetime.timedelta(milliseconds=50)
MAX_CANCEL_ATTEMPTS = 3
CANCEL_RETRY_DELAY = datetime.timedelta(milliseconds=500)


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class Progress:
    """Progress of a generation over its attempts.

    Attributes:
        attempt: number of the current attempt, from 1.
        may_have_run: whether an earlier attempt may have run.
        suspect: whether it runs under a claim of the quarantine.
        output_complete: whether all of the output was forwarded.
        finish_tasks: tasks that cancel the attempts and release their grants.
    """

    attempt: int = 0
    may_have_run: bool = False
    suspect: bool = False
    output_complete: bool = False
    finish_tasks: list[asyncio.Task[None]] = dataclasses.field(
        default_factory=list
    )


@final
class Generations:
    """Runs generations and streams their events.

    Until the first token a generation may be retried on another engine. After
    it, the generation is resumed on the same engine or fails, so that the
    output never mixes the text of two runs.
    """

    def __init__(
        self,
        *,
        admission: admission_lib.Admission,
        grants: grants_lib.GrantStore,
        quarantine: quarantine_lib.Quarantine,
        directory: collaborators.Directory,
        open_engine_client: Callable[[models.Endpoint], ports.Engine],
        clock: ports.Clock,
        settings: settings_lib.Settings,
        decisions: decisions_lib.DecisionLog,
    ) -> None:
        self.admission = admission
        self.grants = grants
        self.quarantine = quarantine
        self.directory = directory
        self.open_engine_client = open_engine_client
        self.clock = clock
        self.settings = settings
        self.decisions = decisions
        self.crashes = crashes.CrashDetector(clock=clock)
        self.background = background.BackgroundTasks()

    async def run(
        self, request: generation_requests.GenerationRequest
    ) -> AsyncGenerator[bytes, None]:
        """Yields the JSON of each event; returns once the output is complete.

        Raises:
            RefusedError: it was not admitted and not run.
            QuarantinedError: it crashed two engines.
            NotRunError: no engine ran it.
            OutcomeUnknownError: an engine may have run it; the events
                yielded so far are incomplete.
        """
        progress = Progress()
        try:
            async with contextlib.aclosing(
                self._run_attempts(request, progress)
            ) as events:
                async for data in events:
                    yield data
        finally:
            if progress.suspect:
                self.background.spawn(
                    self._end_claim(request, progress),
                    name=f"end claim of {request.request_id}",
                )

    async def settle(self) -> None:
        """Waits until every run has ended and its grant is released."""
        await self.background.settle()
        await self.crashes.background.settle()
        await self.admission.settle()

    async def _run_attempts(
        self, request: generation_requests.GenerationRequest, progress: Progress
    ) -> AsyncGenerator[bytes, None]:
        """Runs attempts until one completes or no retry is allowed."""
        while True:
            progress.attempt += 1
            run = await self._admit_attempt(request, progress)
            try:
                async with contextlib.aclosing(
                    self._read_run(request, run)
                ) as events:
                    async for data in events:
                        yield data
                progress.output_complete = True
                return
            except errors.DispatchError as error:
                self._check_retryable(request, progress, run, error)
            finally:
                progress.finish_tasks.append(
                    self.background.start(
                        self._finish(request, run),
                        name=f"finish {run.request.request_id}",
                    )
                )
            await self.clock.sleep(RETRY_DELAY)

    async def _admit_attempt(
        self, request: generation_requests.GenerationRequest, progress: Progress
    ) -> engine_run.EngineRun:
        """Obtains a grant and returns its run, which is not dispatched yet."""
        attempt_id = generation_requests.attempt_id(
            request.request_id, progress.attempt
        )
        try:
            progress.suspect |= await self.quarantine.claim(
                request.fingerprint, request.request_id
            )
            grant = await self.admission.admit(
                generation_requests.to_admission_request(
                    request, attempt_id, suspect=progress.suspect
                )
            )
        except errors.AdmissionError as error:
            if progress.may_have_run:
                raise _to_outcome_unknown(error) from error
            raise
        return self._make_run(
            request, attempt_id, grant, suspect=progress.suspect
        )

    async def _read_run(
        self,
        request: generation_requests.GenerationRequest,
        run: engine_run.EngineRun,
    ) -> AsyncGenerator[bytes, None]:
        """Reads a run; reconnects to it on a failure before the first token."""
        if run.engine is not None:
            await self.crashes.ensure_epoch(run.engine)
        while True:
            try:
                async with contextlib.aclosing(run.chunks()) as events:
                    async for data in events:
                        yield data
                return
            except dispatch_errors.DeadlinePassedError:
                raise
            except errors.OutcomeUnknownError:
                await self._report_crash(request, run)
                if run.offset or run.crash_reported:
                    raise
                if run.connections > MAX_RECONNECTS:
                    raise
            await self.clock.sleep(RETRY_DELAY)

    def _check_retryable(
        self,
        request: generation_requests.GenerationRequest,
        progress: Progress,
        run: engine_run.EngineRun,
        error: errors.DispatchError,
    ) -> None:
        """Raises if no further attempt is allowed."""
        if not isinstance(error, errors.NotRunError):
            progress.may_have_run = True
        elif run.leaving:
            self.directory.report_leaving(run.grant.engine_id)
        elif run.pause:
            self.directory.report_paused(run.grant.engine_id, run.pause)
        elif run.engine_failed:
            self.directory.report_unreachable(run.grant.engine_id)
        if self._may_retry(request, run, progress.attempt, error):
            return
        if progress.may_have_run and isinstance(error, errors.NotRunError):
            raise _to_outcome_unknown(error) from error
        raise error

    def _make_run(
        self,
        request: generation_requests.GenerationRequest,
        attempt_id: str,
        grant: peer_pb2.Grant,
        *,
        suspect: bool,
    ) -> engine_run.EngineRun:
        self._record_decision(
            request, "dispatch", grant.engine_id, "granted", grant
        )
        return engine_run.EngineRun(
            engine=self._usable_engine(grant.engine_id),
            grant=grant,
            grants=self.grants,
            request=engine_run.RunRequest(
                request_id=attempt_id,
                adapter=request.adapter,
                path=request.path,
                body=request.body,
                priority=request.priority,
                end_by=request.end_by,
                max_silence=self.settings.seconds("gap"),
                suspect=suspect,
            ),
            clock=self.clock,
        )

    def _usable_engine(self, engine_id: str) -> ports.Engine | None:
        """Returns the engine's client, None if it accepts no new requests."""
        endpoint = self.directory.get(engine_id)
        if endpoint is None or not self.directory.is_usable(engine_id):
            return None
        return self.open_engine_client(endpoint)

    def _may_retry(
        self,
        request: generation_requests.GenerationRequest,
        run: engine_run.EngineRun,
        attempt: int,
        error: errors.DispatchError,
    ) -> bool:
        if run.offset or attempt >= MAX_ATTEMPTS:
            return False
        if isinstance(error, dispatch_errors.DeadlinePassedError):
            return False
        if self.clock.monotonic() >= request.start_by:
            return False
        self._record_decision(
            request,
            "retry",
            generation_requests.attempt_id(request.request_id, attempt + 1),
            str(error),
            run.grant,
        )
        return True

    async def _report_crash(
        self,
        request: generation_requests.GenerationRequest,
        run: engine_run.EngineRun,
    ) -> None:
        """Reports a crash to the quarantine before the caller gets the error.

        Raises:
            ConvictedInRunError: it is the request's second crash.
        """
        if run.engine is None or not run.engine_failed or not run.started:
            return
        if run.crash_reported or not await self.crashes.has_crashed(
            run.engine, since=run.began_at
        ):
            return
        self.directory.report_unreachable(run.grant.engine_id)
        claim = request.request_id if run.request.suspect else ""
        convicted = await self.quarantine.report_crash(
            request.fingerprint,
            customer=request.customer,
            engine_id=run.grant.engine_id,
            claim=claim,
        )
        run.crash_reported = True
        if convicted:
            raise dispatch_errors.ConvictedInRunError(
                "this request crashed two engines and is not run again; "
                "change its content"
            )

    async def _finish(
        self,
        request: generation_requests.GenerationRequest,
        run: engine_run.EngineRun,
    ) -> None:
        """Cancels a run that has not completed, then releases its grant."""
        if run.started and not run.completed:
            run.completed = await self._cancel(run)
            if not run.completed:
                run.engine_failed = True
        if run.output_complete:
            self.directory.report_reachable(run.grant.engine_id)
        self.admission.release_in_background(run.grant, run.result())
        with contextlib.suppress(dispatch_errors.ConvictedInRunError):
            await self._report_crash(request, run)

    async def _cancel(self, run: engine_run.EngineRun) -> bool:
        """Cancels a run; returns whether it is known to have ended."""
        if run.engine is None:
            return True
        for attempt in range(MAX_CANCEL_ATTEMPTS):
            if attempt:
                await self.clock.sleep(CANCEL_RETRY_DELAY)
            try:
                await run.engine.cancel(run.request.request_id)
            except public_errors.EngineError:
                continue
            return True
        return False

    async def _end_claim(
        self, request: generation_requests.GenerationRequest, progress: Progress
    ) -> None:
        """Ends the quarantine claim after all attempts have finished."""
        if progress.finish_tasks:
            await asyncio.wait(progress.finish_tasks)
        quarantine = self.quarantine
        end = (
            quarantine.clear
            if progress.output_complete
            else quarantine.release_claim
        )
        try:
            await end(request.fingerprint, request.request_id)
        except public_errors.TableError:
            pass  # the claim expires with its record

    def _record_decision(
        self,
        request: generation_requests.GenerationRequest,
        kind: str,
        chosen: str,
        reason: str,
        grant: peer_pb2.Grant,
    ) -> None:
        self.decisions.record(
            decisions_lib.Decision(
                kind=kind,
                chosen=chosen,
                reason=reason,
                request_id=request.request_id,
                customer=request.customer,
                engine_id=grant.engine_id,
                adapter=str(request.adapter),
                token=grant.token,
            )
        )


def _to_outcome_unknown(error: errors.NodeError) -> errors.NodeError:
    """Converts the rejection of a retry: an earlier attempt may have run."""
    if isinstance(error, errors.QuarantinedError):
        return dispatch_errors.ConvictedInRunError(str(error))
    return errors.OutcomeUnknownError(
        f"an engine failed and the request could not be retried: {error}"
    )
