"""Calls of plain services, at most once unless they are idempotent."""

import asyncio
from collections.abc import Callable
import dataclasses
import datetime
import hashlib
import json
import random
from typing import final

from _dogwoodhinge import decisions as decisions_lib
from _dogwoodhinge import errors
from _dogwoodhinge import injection
from _dogwoodhinge import settings as settings_lib
from _dogwoodhinge.config import contract as contract_lib
from _dogwoodhinge.dispatch import background
from _dogwoodhinge.dispatch import collaborators
from _dogwoodhinge.dispatch import intent_records
from _dogwoodhinge.dispatch import intents as intents_lib
from dogwoodhinge import errors as public_errors
from dogwoodhinge import models
from dogwoodhinge import ports

MAX_ENDPOINTS_TRIED = 2
NO_ENDPOINT_RETRY_AFTER = datetime.timedelta(seconds=2)


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PlainCallRequest:
    """A caller's call, checked against the contract.

    Attributes:
        request_id: ID that the node gave it.
        query: query string with its `?`, or empty.
        end_by: monotonic second at which it is abandoned.
    """

    request_id: str
    customer: str
    service: str
    operation: contract_lib.Operation
    query: str
    body: bytes
    content_type: str
    idempotency_key: str
    end_by: float


@final
@dataclasses.dataclass(frozen=True, slots=True)
class PlainResult:
    """An answer, and whether it was recorded by an earlier call."""

    answer: models.PlainAnswer
    replayed: bool = False


@final
class PlainCalls:
    """Calls plain services; a non-idempotent call needs an intent."""

    def __init__(
        self,
        *,
        intents: intents_lib.Intents,
        directory: collaborators.Directory,
        open_service_client: Callable[[models.Endpoint], ports.PlainService],
        clock: ports.Clock,
        settings: settings_lib.Settings,
        decisions: decisions_lib.DecisionLog,
        seed: int | None = None,
    ) -> None:
        self.intents = intents
        self.directory = directory
        self.open_service_client = open_service_client
        self.clock = clock
        self.settings = settings
        self.decisions = decisions
        self.rng = random.Random(seed)
        self.background = background.BackgroundTasks()

    async def call(
        self,
        request: PlainCallRequest,
        *,
        on_end: Callable[[], None] = lambda: None,
    ) -> PlainResult:
        """Makes a call and returns the service's answer, whatever its status.

        If this coroutine is cancelled, the call continues until its outcome is
        recorded.

        Args:
            request: the call.
            on_end: called when the call has ended, even if no caller waits
                for it any longer.

        Raises:
            NotRunError: the call provably did not run.
            OutcomeUnknownError: the call may have run.
            IntentError: the call can't run under its idempotency key.
        """
        call_task = self.background.start(
            self._perform(request), name=f"call {request.request_id}"
        )
        call_task.add_done_callback(lambda _: on_end())
        return await asyncio.shield(call_task)

    async def settle(self) -> None:
        """Waits until every call has ended and is recorded."""
        await self.background.settle()
        await self.intents.settle()

    async def _perform(self, request: PlainCallRequest) -> PlainResult:
        if request.operation.idempotent:
            return PlainResult(await self._send(request, request.end_by))
        attempt = await self.intents.begin(self._intent(request))
        if isinstance(attempt, models.PlainAnswer):
            self._record_decision(
                request, "replay", "the idempotency key has a recorded answer"
            )
            return PlainResult(attempt, replayed=True)
        return PlainResult(await self._send_under_intent(request, attempt))

    async def _send_under_intent(
        self, request: PlainCallRequest, attempt: intents_lib.IntentAttempt
    ) -> models.PlainAnswer:
        """Sends a call under an intent and records its outcome."""
        try:
            await injection.reach(injection.Step.INTENT)
            answer = await self._send(request, attempt.dispatch_by)
        except errors.NotRunError:
            await self.intents.record_state(
                attempt, intent_records.IntentState.NOT_RUN
            )
            raise
        except BaseException:
            await self.intents.record_state(
                attempt, intent_records.IntentState.UNKNOWN
            )
            raise
        await injection.reach(injection.Step.RECORD)
        await self.intents.record_answer(attempt, answer)
        return answer

    async def _send(
        self, request: PlainCallRequest, dispatch_by: float
    ) -> models.PlainAnswer:
        """Tries endpoints; a second one only if the call may be repeated."""
        may_have_run = False
        reason = "no usable endpoint"
        for endpoint in self._endpoints_by_preference(request.service)[
            :MAX_ENDPOINTS_TRIED
        ]:
            await injection.reach(injection.Step.DISPATCH)
            remaining_s = (
                min(dispatch_by, request.end_by) - self.clock.monotonic()
            )
            if remaining_s <= 0:
                reason = "the deadline passed before the call was sent"
                break
            self._record_decision(
                request, endpoint.endpoint_id, "usable endpoint"
            )
            try:
                answer = await self._call(request, endpoint, remaining_s)
            except public_errors.PlainServiceUnreachableError as error:
                self.directory.report_unreachable(endpoint.endpoint_id)
                reason = str(error)
                continue
            except public_errors.PlainServiceError as error:
                self._check_repeatable(request, error)
                may_have_run = True
                reason = str(error)
                continue
            self.directory.report_reachable(endpoint.endpoint_id)
            return answer
        self._record_decision(request, "give up", reason)
        if may_have_run:
            raise errors.OutcomeUnknownError(
                f"service {request.service} failed and may have run the call: "
                f"{reason}"
            )
        raise errors.NotRunError(
            f"service {request.service} was not called: {reason}"
        )

    async def _call(
        self,
        request: PlainCallRequest,
        endpoint: models.Endpoint,
        remaining_s: float,
    ) -> models.PlainAnswer:
        service = self.open_service_client(endpoint)
        call = models.PlainCall(
            call_id=request.request_id,
            method=request.operation.method,
            path=request.operation.path + request.query,
            body=request.body,
            content_type=request.content_type,
            idempotency_key=request.idempotency_key,
        )
        return await service.call(
            call, timeout=datetime.timedelta(seconds=remaining_s)
        )

    def _check_repeatable(
        self,
        request: PlainCallRequest,
        error: public_errors.PlainServiceError,
    ) -> None:
        if request.operation.idempotent:
            return
        self._record_decision(request, "give up", str(error))
        raise errors.OutcomeUnknownError(
            f"service {request.service} failed and may have run the call "
            f"({error}); the call is not retried"
        ) from error

    def _endpoints_by_preference(self, service: str) -> list[models.Endpoint]:
        """Returns usable endpoints in random order, this zone's first."""
        usable = [
            endpoint
            for endpoint in self.directory.services(service)
            if self.directory.is_usable(endpoint.endpoint_id)
        ]
        self.rng.shuffle(usable)
        return sorted(usable, key=lambda e: e.zone != self.settings.zone)

    def _intent(self, request: PlainCallRequest) -> intents_lib.IntentRequest:
        remaining_s = max(request.end_by - self.clock.monotonic(), 0.0)
        return intents_lib.IntentRequest(
            customer=request.customer,
            operation=f"{request.service}/{request.operation.name}",
            idempotency_key=request.idempotency_key,
            digest=_digest(request),
            time_left=datetime.timedelta(seconds=remaining_s),
        )

    def _record_decision(
        self, request: PlainCallRequest, chosen: str, reason: str
    ) -> None:
        self.decisions.record(
            decisions_lib.Decision(
                kind="plain_call",
                chosen=chosen,
                reason=reason,
                request_id=request.request_id,
                customer=request.customer,
            )
        )


def _digest(request: PlainCallRequest) -> str:
    """Returns the digest of the query, content type and body of a call."""
    head = json.dumps([request.query, request.content_type])
    return hashlib.sha256(head.encode() + request.body).hexdigest()
