"""Keeps requests that crash engines from being sent to further ones.

Load patterns: a request that crashes each engine that begins to run it, and
that comes again and again at any node; prompts that are new each time but for
one part, under which each engine crashes. Beside them, innocent requests are in
flight on each engine that crashes, and popular ones on all of them.

After its first crash a request is retried as usual. After the second one, each
further send needs a claim, which separates the suspects of a crash from each
other: one run of a request at a time, and one suspect to an engine, over all
nodes. A claimed run that crashes its engine convicts the request.

A part of prompts that was in flight at the crashes of several engines, under
different requests, and has not run to completion since, needs such claims too.
A request runs under a claim on one suspect if possible, so that its end says
something about that one.
"""

import asyncio
import collections
import dataclasses
import datetime
from typing import final

from _dogwoodhinge import errors as node_errors
from _dogwoodhinge import event_log
from _dogwoodhinge.fleet import engines as engines_lib
from _dogwoodhinge.gateway import call as call_lib
from _dogwoodhinge.gateway import engine_ends as engine_ends_lib
from _dogwoodhinge.gateway import errors
from _dogwoodhinge.gateway import prompt_parts
from _dogwoodhinge.gateway import sender as sender_lib
from _dogwoodhinge.quarantine import quarantine as quarantine_lib
from _dogwoodhinge.quarantine import records
from _dogwoodhinge.quarantine import rules

QUARANTINED = "quarantined"
RERUN_IN_PROGRESS = "rerun_in_progress"
SUSPECTS_TRIED_APART = "suspects_tried_apart"

# Most requests end within this time, and with them their claims.
RERUN_RETRY_DELAY = datetime.timedelta(seconds=1)

# Time for the look at an engine after the last moment of a run, and for the
# write that ends the claim.
CLAIM_MARGIN = datetime.timedelta(seconds=1)

# A part that has just succeeded here is no suspect of a crash if it succeeds
# once more within SUCCESS_WAIT.
RECENT_SUCCESS = datetime.timedelta(seconds=2)
SUCCESS_WAIT = datetime.timedelta(seconds=1)

# Engines crash as they begin to answer. A prompt whose answer began earlier is
# not the cause.
BEGIN_WINDOW = datetime.timedelta(seconds=1)

# An answer that ends with its connection is held back until it is known whether
# the engine has ended: at first while an engine that ends loses its other
# connections, and then for the look at it.
CONNECTIONS_END_WAIT = datetime.timedelta(milliseconds=17)
MAX_END_WAIT = datetime.timedelta(milliseconds=100)

# Such an answer counts as a success if the engine still runs after this time.
SUCCESS_CONFIRMATION_DELAY = datetime.timedelta(milliseconds=250)


@final
@dataclasses.dataclass(slots=True)
class Run:
    """One send of a request to an engine.

    Attributes:
        suspects: the fingerprints that were claimed; empty if it runs without
            a claim.
        claim: id of the claim.
        others: further suspects of the request, which need no claim.
        unframed: whether its answer ended with the connection.
        began_at: loop time of the first event of its answer; None without one,
            or for an answer that is not streamed.
    """

    engine: engines_lib.Engine
    suspects: tuple[str, ...] = ()
    claim: str = ""
    others: tuple[str, ...] = ()
    unframed: bool = False
    began_at: float | None = None

    def blame(
        self, suspect: str, sound_parts: prompt_parts.SoundParts
    ) -> rules.ClaimBlame:
        """Returns what a crash under the claim says about a suspect.

        Of several suspects, those that ran to completion before are less
        likely to be the cause.
        """
        suspects = (*self.suspects, *self.others)
        if len(suspects) == 1:
            return rules.SOLE_BLAME
        doubtful = [s for s in suspects if s not in sound_parts]
        return rules.ClaimBlame(
            sole=False, counted=not doubtful or suspect in doubtful
        )


@final
class Suspects:
    """Checks sends against the quarantine, and reports their results to it.

    Attributes:
        looks: the looks at engines whose results are not reported yet.
        recordings: responses without framing that are not recorded yet.
        rejected: number of rejected requests, by reason.
        sound_parts: the parts of prompts that succeeded here lately.
        unframed_ends: number of answers that ended with their connection,
            by what a look at the engine showed.
    """

    def __init__(
        self,
        *,
        quarantine: quarantine_lib.Quarantine,
        sender: sender_lib.Sender,
        report: event_log.EventReporter,
    ) -> None:
        self.quarantine = quarantine
        self.engine_ends = engine_ends_lib.EngineEnds(sender)
        self.report = report
        self.looks: set[asyncio.Task[bool]] = set()
        self.recordings: set[asyncio.Task[None]] = set()
        self.rejected: collections.Counter[str] = collections.Counter()
        self.sound_parts = prompt_parts.SoundParts()
        self.sole_claims = prompt_parts.SoleClaims()
        self.unframed_ends: collections.Counter[engine_ends_lib.EngineState] = (
            collections.Counter()
        )

    def check(self, call: call_lib.Call) -> None:
        """Rejects a request that is convicted, or a part of whose prompt is.

        Raises:
            RequestRejectedError: the request or a part is convicted, or a run
                under a claim is in progress.
        """
        self._check_claims(call, self._suspects(call))

    def _check_claims(
        self, call: call_lib.Call, suspects: tuple[str, ...]
    ) -> None:
        """Rejects a request of which a suspect is known to run elsewhere."""
        for suspect in suspects:
            if self.quarantine.is_claimed(suspect):
                detail = "the only run of a suspect is in progress"
                raise self._rerun_rejection(call, detail, suspect)

    async def begin(
        self, call: call_lib.Call, engine: engines_lib.Engine
    ) -> Run:
        """Checks a send to an engine, and claims it if necessary.

        Raises:
            NotRunError: another suspect runs on the engine.
            RequestRejectedError: the request must not run now.
        """
        suspects = self._suspects(call)
        engine_name = _name(engine)
        if not suspects:
            if engine_name in self.quarantine.reservations and any(
                map(
                    self.quarantine.find,
                    (*call.fingerprints, *call.part_fingerprints),
                )
            ):
                raise errors.NotRunError(
                    f"another suspect runs on {engine.engine_id}",
                    unreachable=True,
                    sent=False,
                )
            return Run(engine)
        self._check_claims(call, suspects)
        others = self._other_suspects(call, suspects)
        if len(suspects) + len(others) > 1 and not self._may_claim_together(
            suspects, others
        ):
            detail = "several suspects, which are tried apart first"
            self._log_rejection(
                call, SUSPECTS_TRIED_APART, detail, (*suspects, *others)
            )
            raise errors.RequestRejectedError(
                SUSPECTS_TRIED_APART, retry_after=RERUN_RETRY_DELAY
            )
        call.claims += 1
        run = Run(
            engine,
            claim=f"{call.request.request_id}/{call.claims}",
            others=others,
        )
        try:
            for suspect in suspects:
                await self._claim(call, run, suspect)
        except BaseException:
            self._end_claim(run, rules.ClaimEnd.NOT_SENT)
            raise
        if not run.suspects:
            return Run(engine)
        call.add_step(f"claimed {engine.engine_id}")
        self.report(
            "quarantine_claimed",
            {
                "request": call.request.request_id,
                "content": call.fingerprints[0],
                "suspects": run.suspects,
                "engine": engine_name,
            },
        )
        return run

    def _other_suspects(
        self, call: call_lib.Call, suspects: tuple[str, ...]
    ) -> tuple[str, ...]:
        """Returns what else of a request may be the cause of a crash.

        Beside a content alone, parts don't matter: all requests with this
        content have them.
        """
        if not any(map(records.is_part, suspects)):
            return ()
        return tuple(
            fingerprint
            for fingerprint in (*call.fingerprints[:1], *call.part_fingerprints)
            if fingerprint not in suspects and self.quarantine.find(fingerprint)
        )

    def _may_claim_together(
        self, suspects: tuple[str, ...], others: tuple[str, ...]
    ) -> bool:
        """Returns whether a request with several suspects may run.

        The last claim of each is kept for a request with no other suspect.

        Args:
            suspects: the suspects that need a claim.
            others: those that don't.
        """
        for suspect in suspects:
            record = self.quarantine.find(suspect)
            limit = self.quarantine.policy_of(suspect).max_reruns
            if (
                record is not None
                and limit is not None
                and record.reruns >= limit - 1
            ):
                return False
        return self.sole_claims.may_claim_together((*suspects, *others))

    async def _claim(self, call: call_lib.Call, run: Run, suspect: str) -> None:
        """Claims a suspect for a run, unless it was cleared meanwhile."""
        time_left = call.gateway_timeout_at - asyncio.get_running_loop().time()
        try:
            held = await self.quarantine.claim(
                suspect,
                run.claim,
                engine_id=_name(run.engine),
                longest_run=datetime.timedelta(seconds=time_left)
                + CLAIM_MARGIN,
                proven=suspect in self.sound_parts,
            )
        except quarantine_lib.EngineReservedError as error:
            raise errors.NotRunError(
                str(error), unreachable=True, sent=False
            ) from error
        except node_errors.QuarantinedError as error:
            raise self._rejection(call, error, suspect) from error
        except node_errors.RefusedError as error:
            if (
                isinstance(error, quarantine_lib.ClaimUnavailableError)
                and suspect in self.sound_parts
            ):
                # Popular parts are in flight at each crash; without the table,
                # nothing else could clear them.
                call.add_step(f"unclaimed {suspect}")
                return
            raise self._rerun_rejection(call, str(error), suspect) from error
        if held:
            run.suspects = (*run.suspects, suspect)

    def record_response(
        self,
        call: call_lib.Call,
        run: Run,
        *,
        succeeded: bool,
        prompt_answered: bool,
    ) -> None:
        """Records a complete response: the engine survived the request.

        Args:
            call: the request.
            run: the send.
            succeeded: whether the request ran to a good end. A failure may mean
                that it did not really run.
            prompt_answered: whether the engine wrote an answer on the prompt,
                rather than the end of one that another engine wrote.
        """
        if run.unframed:
            recording = asyncio.ensure_future(
                self._record_unframed_response(
                    call,
                    run,
                    succeeded=succeeded,
                    prompt_answered=prompt_answered,
                )
            )
            self.recordings.add(recording)
            recording.add_done_callback(self.recordings.discard)
            return
        if succeeded:
            self._record_success(call, prompt_answered=prompt_answered)
        self._end_claim(run, rules.ClaimEnd.SURVIVED)

    def _record_success(
        self, call: call_lib.Call, *, prompt_answered: bool
    ) -> None:
        survivors = call.fingerprints
        if prompt_answered:
            survivors += call.part_fingerprints
            self.sound_parts.add(call.part_fingerprints)
        if self.quarantine.cached_records:
            for fingerprint in survivors:
                self.quarantine.record_success(
                    fingerprint, request_id=call.request.request_id
                )

    async def _record_unframed_response(
        self,
        call: call_lib.Call,
        run: Run,
        *,
        succeeded: bool,
        prompt_answered: bool,
    ) -> None:
        """Records a response without framing once its engine has survived it.

        What an engine that crashes leaves of such a response looks complete.
        """
        await asyncio.sleep(SUCCESS_CONFIRMATION_DELAY.total_seconds())
        state = await asyncio.shield(self.engine_ends.look(run.engine))
        if state is engine_ends_lib.EngineState.ENDED:
            self._record_crash(call, run)
        elif succeeded and state is engine_ends_lib.EngineState.RUNS:
            self._record_success(call, prompt_answered=prompt_answered)
        self._end_claim(run, rules.ClaimEnd.SURVIVED)

    async def confirm_end(
        self, run: Run, response: sender_lib.OpenResponse
    ) -> None:
        """Checks that an answer without framing did not end with its engine.

        The end of its connection completes such an answer, and is all that an
        engine that crashes leaves of it. A reset after the answer to a request
        with a body may mean that the engine has not read that body.

        Raises:
            IncompleteResponseError: the engine has ended, or has reset the
                connection.
        """
        if response.framing is not sender_lib.BodyFraming.CLOSE:
            return
        run.unframed = True
        await asyncio.sleep(CONNECTIONS_END_WAIT.total_seconds())
        if response.connection.sent_body and response.connection.is_reset():
            response.complete = False
            response.end = sender_lib.ResponseEnd.BROKE_OFF
            raise sender_lib.IncompleteResponseError(
                "the engine reset the connection after its answer"
            )
        look = self.engine_ends.look(run.engine)
        await asyncio.wait({look}, timeout=MAX_END_WAIT.total_seconds())
        state = engine_ends_lib.EngineState.UNKNOWN
        if look.done():
            state = look.result()
        self.unframed_ends[state] += 1
        if state in (
            engine_ends_lib.EngineState.ENDED,
            engine_ends_lib.EngineState.LEFT,
        ):
            response.complete = False
            response.end = sender_lib.ResponseEnd.BROKE_OFF
            raise sender_lib.IncompleteResponseError(
                "the engine ended with its answer"
            )

    async def record_failure(
        self, call: call_lib.Call, run: Run, error: BaseException
    ) -> None:
        """Records that a send ended without a complete response.

        Returns once it is known whether the engine has ended, or soon.
        """
        if isinstance(error, errors.NotRunError):
            self._end_claim(
                run,
                rules.ClaimEnd.SURVIVED
                if error.reached_engine
                else rules.ClaimEnd.NOT_SENT,
            )
            return
        if (
            not isinstance(error, errors.OutcomeUnknownError)
            or not error.ended_by_engine
        ):
            self._end_claim(run, rules.ClaimEnd.UNKNOWN)
            return
        look = asyncio.ensure_future(self._look(call, run))
        self.looks.add(look)
        look.add_done_callback(self.looks.discard)
        await asyncio.wait(
            {look}, timeout=engine_ends_lib.MAX_WAIT.total_seconds()
        )

    async def _look(self, call: call_lib.Call, run: Run) -> bool:
        """Reports a crash if the engine has ended; returns whether it has."""
        state = await asyncio.shield(self.engine_ends.look(run.engine))
        ended = state is engine_ends_lib.EngineState.ENDED
        self.report(
            "engine_ended_connection",
            {
                "request": call.request.request_id,
                "content": call.fingerprints[0],
                "parts": call.logged_parts,
                "engine": _name(run.engine),
                "state": state.value,
                "claimed": bool(run.claim),
            },
        )
        if ended:
            self._record_crash(call, run)
        self._end_claim(run, rules.ClaimEnd.UNKNOWN)
        return ended

    def _record_crash(self, call: call_lib.Call, run: Run) -> None:
        """Records that an engine ended under a request."""
        for fingerprint in call.fingerprints:
            self.quarantine.record_crash(
                fingerprint,
                customer=call.request.raw.caller_address,
                engine_id=_name(run.engine),
                # Others than the claimed ones are not on probation.
                claim=run.claim if fingerprint in run.suspects else "",
                request_id=call.request.request_id,
                blame=run.blame(fingerprint, self.sound_parts),
            )
        self._blame_parts(call, run)

    def _blame_parts(self, call: call_lib.Call, run: Run) -> None:
        """Reports the parts of a prompt that may have crashed an engine."""
        claimed = [part for part in run.suspects if records.is_part(part)]
        if claimed:  # explain the crash
            for part in (*claimed, *filter(records.is_part, run.others)):
                self._blame_part(call, run, part)
            return
        if not run.claim and self.quarantine.is_reserved(_name(run.engine)):
            return  # another run on the engine explains it
        loop = asyncio.get_running_loop()
        now = loop.time()
        if (
            run.began_at is not None
            and now - run.began_at > BEGIN_WINDOW.total_seconds()
        ):
            return
        recently = now - RECENT_SUCCESS.total_seconds()
        for part in call.part_fingerprints:
            if self.sound_parts.succeeded_since(part, recently):
                loop.call_later(
                    SUCCESS_WAIT.total_seconds(),
                    self._blame_part_unless_sound,
                    call,
                    run,
                    part,
                    now,
                )
            else:
                self._blame_part(call, run, part)

    def _blame_part_unless_sound(
        self, call: call_lib.Call, run: Run, part: str, crashed_at: float
    ) -> None:
        if not self.sound_parts.succeeded_since(part, crashed_at):
            self._blame_part(call, run, part)

    def _blame_part(self, call: call_lib.Call, run: Run, part: str) -> None:
        self.quarantine.record_crash(
            part,
            customer=call.request.raw.caller_address,
            engine_id=_name(run.engine),
            claim=run.claim if part in run.suspects else "",
            request_id=call.request.request_id,
            content=call.fingerprints[0],
            proven=part in self.sound_parts,
            blame=run.blame(part, self.sound_parts),
        )

    def _suspects(self, call: call_lib.Call) -> tuple[str, ...]:
        """Returns what of a request may run only under a claim.

        Raises:
            RequestRejectedError: the request or a part is convicted.
        """
        if not self.quarantine.cached_records:
            return ()
        return (
            # One claim on the content serves with and without its query.
            *self._restricted(call, call.fingerprints)[:1],
            *self._restricted(call, call.part_fingerprints),
        )

    def _restricted(
        self, call: call_lib.Call, fingerprints: tuple[str, ...]
    ) -> list[str]:
        found = []
        for fingerprint in fingerprints:
            try:
                if self.quarantine.needs_claim(fingerprint):
                    found.append(fingerprint)
            except node_errors.QuarantinedError as error:
                raise self._rejection(call, error, fingerprint) from error
        return found

    def _end_claim(self, run: Run, end: rules.ClaimEnd) -> None:
        for suspect in run.suspects:
            self.quarantine.record_claim_end(
                suspect, run.claim, engine_id=_name(run.engine), end=end
            )
        run.suspects = ()
        run.claim = ""

    def _rejection(
        self,
        call: call_lib.Call,
        error: node_errors.QuarantinedError,
        suspect: str,
    ) -> errors.RequestRejectedError:
        self._log_rejection(call, QUARANTINED, str(error), (suspect,))
        return errors.RequestRejectedError(
            QUARANTINED, retry_after=error.retry_after, final=True
        )

    def _rerun_rejection(
        self, call: call_lib.Call, detail: str, suspect: str
    ) -> errors.RequestRejectedError:
        self._log_rejection(call, RERUN_IN_PROGRESS, detail, (suspect,))
        return errors.RequestRejectedError(
            RERUN_IN_PROGRESS, retry_after=RERUN_RETRY_DELAY
        )

    def _log_rejection(
        self,
        call: call_lib.Call,
        reason: str,
        detail: str,
        suspects: tuple[str, ...],
    ) -> None:
        self.rejected[reason] += 1
        found = map(self.quarantine.find, suspects)
        known = [record for record in found if record is not None]
        self.report(
            "quarantine_rejected",
            {
                "request": call.request.request_id,
                "content": call.fingerprints[0],
                "suspects": suspects,
                "reason": reason,
                "detail": detail,
                "engines": known[0].engines if known else (),
            },
        )


def _name(engine: engines_lib.Engine) -> str:
    """Returns the name of one start of an engine."""
    engine_id, born_ms = engine.entry.incarnation
    return f"{engine_id}@{born_ms}"
