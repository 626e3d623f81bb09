"""Keeps a request that crashes engines from being sent to further ones.

Load pattern: a request that crashes each engine that begins to run it, and that
comes again and again at any node. Beside it, innocent requests are in flight on
each engine that it crashes, and popular ones on all of them.

After its first crash a request is retried as usual. After the second one, each
further send needs a claim, which separates the suspects of a crash from each
other: one run of a request at a time, and one suspect to an engine, over all
nodes. A claimed run that crashes its engine convicts the request.
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
from _dogwoodhinge.gateway import sender as sender_lib
from _dogwoodhinge.quarantine import quarantine as quarantine_lib
from _dogwoodhinge.quarantine import rules

QUARANTINED = "quarantined"
RERUN_IN_PROGRESS = "rerun_in_progress"

# Most requests end within this time, and with them their claims.
RERUN_RETRY_DELAY = datetime.timedelta(seconds=1)


# Time for the look at an engine after the last moment of a run, and for the
# write that ends the claim.
CLAIM_MARGIN = datetime.timedelta(seconds=1)


@final
@dataclasses.dataclass(slots=True)
class Run:
    """One send of a request to an engine.

    Attributes:
        fingerprint: the fingerprint that was claimed; empty if it runs without
            a claim.
        claim: id of the claim.
    """

    engine: engines_lib.Engine
    fingerprint: str = ""
    claim: str = ""


@final
class Suspects:
    """Checks sends against the quarantine, and reports their results to it.

    Attributes:
        looks: the looks at engines whose results are not reported yet.
        rejected: number of rejected requests, by reason.
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
        self.rejected: collections.Counter[str] = collections.Counter()

    def check(self, call: call_lib.Call) -> None:
        """Rejects a convicted request.

        Raises:
            RequestRejectedError: the request is convicted.
        """
        if not self.quarantine.cached_records:
            return
        try:
            for fingerprint in call.fingerprints:
                self.quarantine.needs_claim(fingerprint)
        except node_errors.QuarantinedError as error:
            raise self._rejection(call, error) from error

    async def begin(
        self, call: call_lib.Call, engine: engines_lib.Engine
    ) -> Run:
        """Checks a send to an engine, and claims it if necessary.

        Raises:
            NotRunError: another suspect runs on the engine.
            RequestRejectedError: the request must not run now.
        """
        self.check(call)
        claimed = self._fingerprint_to_claim(call)
        engine_name = _name(engine)
        if not claimed:
            if engine_name in self.quarantine.reservations and any(
                map(self.quarantine.find, call.fingerprints)
            ):
                raise errors.NotRunError(
                    f"another suspect runs on {engine.engine_id}",
                    unreachable=True,
                    sent=False,
                )
            return Run(engine)
        call.claims += 1
        claim = f"{call.request.request_id}/{call.claims}"
        try:
            held = await self.quarantine.claim(
                claimed,
                claim,
                engine_id=engine_name,
                longest_run=datetime.timedelta(
                    seconds=call.gateway_timeout_at
                    - asyncio.get_running_loop().time()
                )
                + CLAIM_MARGIN,
            )
        except quarantine_lib.EngineReservedError as error:
            raise errors.NotRunError(
                str(error), unreachable=True, sent=False
            ) from error
        except node_errors.QuarantinedError as error:
            raise self._rejection(call, error) from error
        except node_errors.RefusedError as error:
            self._log_rejection(call, RERUN_IN_PROGRESS, str(error))
            raise errors.RequestRejectedError(
                RERUN_IN_PROGRESS, retry_after=RERUN_RETRY_DELAY
            ) from error
        if not held:
            return Run(engine)
        call.add_step(f"claimed {engine.engine_id}")
        self.report(
            "quarantine_claimed",
            {
                "request": call.request.request_id,
                "content": claimed,
                "engine": engine_name,
            },
        )
        return Run(engine, claimed, claim)

    def record_response(
        self, call: call_lib.Call, run: Run, *, succeeded: bool
    ) -> None:
        """Records a complete response: the engine survived the request.

        Args:
            call: the request.
            run: the send.
            succeeded: whether the request ran to a good end. A failure may mean
                that it did not really run.
        """
        if succeeded and self.quarantine.cached_records:
            for fingerprint in call.fingerprints:
                self.quarantine.record_success(
                    fingerprint, request_id=call.request.request_id
                )
        self._end_claim(run, rules.ClaimEnd.SURVIVED)

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
            for fingerprint in call.fingerprints:
                self.quarantine.record_crash(
                    fingerprint,
                    customer=call.request.raw.caller_address,
                    engine_id=_name(run.engine),
                    # The claim is on one of them; the others are not on
                    # probation, so that it alone may convict.
                    claim=run.claim if fingerprint == run.fingerprint else "",
                    request_id=call.request.request_id,
                )
        self._end_claim(run, rules.ClaimEnd.UNKNOWN)
        return ended

    def _fingerprint_to_claim(self, call: call_lib.Call) -> str:
        if not self.quarantine.cached_records:
            return ""
        return next(
            (f for f in call.fingerprints if self.quarantine.needs_claim(f)),
            "",
        )

    def _end_claim(self, run: Run, end: rules.ClaimEnd) -> None:
        if not run.claim:
            return
        self.quarantine.record_claim_end(
            run.fingerprint, run.claim, engine_id=_name(run.engine), end=end
        )
        run.claim = ""

    def _rejection(
        self, call: call_lib.Call, error: node_errors.QuarantinedError
    ) -> errors.RequestRejectedError:
        self._log_rejection(call, QUARANTINED, str(error))
        return errors.RequestRejectedError(
            QUARANTINED, retry_after=error.retry_after, final=True
        )

    def _log_rejection(
        self, call: call_lib.Call, reason: str, detail: str
    ) -> None:
        self.rejected[reason] += 1
        found = map(self.quarantine.find, call.fingerprints)
        records = [record for record in found if record is not None]
        self.report(
            "quarantine_rejected",
            {
                "request": call.request.request_id,
                "content": call.fingerprints[0],
                "reason": reason,
                "detail": detail,
                "engines": records[0].engines if records else (),
            },
        )


def _name(engine: engines_lib.Engine) -> str:
    """Returns the name of one start of an engine."""
    engine_id, born_ms = engine.entry.incarnation
    return f"{engine_id}@{born_ms}"
