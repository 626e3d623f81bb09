"""Forwards requests to plain services, whose responses are not streamed.

Load patterns: a service with few slots whose endpoints fail occasionally;
endpoints that turn slow, or that stop responding, while others are full.

A response is buffered before it is forwarded, so that an idempotent request can
still be sent to another endpoint if the response is interrupted. An endpoint
that is slow is waited for while another one is tried: the other one may refuse
the request, and the slow one may still be the first to respond.
"""

import asyncio
from collections.abc import AsyncIterator, Coroutine
import dataclasses
import functools
import math
import random
from typing import Any, final

from _dogwoodhinge.fleet import engine_selection
from _dogwoodhinge.fleet import engines as engines_lib
from _dogwoodhinge.fleet import health as health_lib
from _dogwoodhinge.gateway import call as call_lib
from _dogwoodhinge.gateway import engine_finder
from _dogwoodhinge.gateway import errors
from _dogwoodhinge.gateway import pause_queue as pause_queue_lib
from _dogwoodhinge.gateway import requests
from _dogwoodhinge.gateway import retry_budget as retry_budget_lib
from _dogwoodhinge.gateway import sender as sender_lib
from _dogwoodhinge.gateway import suspects as suspects_lib
from _dogwoodhinge.http1 import server

# Longer responses are forwarded while they arrive.
MAX_BUFFERED_RESPONSE_BYTES = 256 * 1024

# An idempotent request is also sent to another endpoint if there is no response
# after this fraction of the remaining time, which is several times as long as
# nearly all requests take.
SLOW_FRACTION = 0.25

# Remaining time, in seconds, below which no other endpoint is tried: a response
# takes tens of milliseconds.
MIN_SECONDS_TO_RETRY = 0.05


@final
@dataclasses.dataclass(frozen=True, slots=True)
class FetchedResponse:
    """A response whose beginning, or whole, has been read.

    Attributes:
        run: the send that it responds to.
        response: the response.
        parts: what has been read of the body.
        rest: what has not been read.
    """

    run: suspects_lib.Run
    response: sender_lib.OpenResponse
    parts: list[bytes]
    rest: AsyncIterator[bytes]

    @property
    def engine(self) -> engines_lib.Engine:
        """The endpoint."""
        return self.run.engine

    @property
    def failed(self) -> bool:
        """True if the endpoint responded with a server error."""
        return self.response.head.status >= 500


@final
class Attempt:
    """One send of a request to an endpoint.

    Attributes:
        slow: whether the endpoint has been found slow to respond.
    """

    def __init__(
        self,
        engine: engines_lib.Engine,
        fetching: Coroutine[Any, Any, FetchedResponse],
    ) -> None:
        self.engine = engine
        self.task = asyncio.ensure_future(fetching)
        self.slow = False
        engine.running += 1

    def close(self) -> None:
        """Ends the attempt; must be called once."""
        self.engine.running -= 1
        if self.task.cancel() or self.task.cancelled():
            return
        if self.task.exception() is None:
            self.task.result().response.close()


@final
class PlainForwarder:
    """Serves routes whose responses are not event streams."""

    def __init__(
        self,
        *,
        sender: sender_lib.Sender,
        directory: engines_lib.Directory,
        budget: retry_budget_lib.RetryBudget,
        pause_queue: pause_queue_lib.PauseQueue,
        zone: str,
        rng: random.Random,
        suspects: suspects_lib.Suspects,
    ) -> None:
        self.sender = sender
        self.suspects = suspects
        self.directory = directory
        self.budget = budget
        self.pause_queue = pause_queue
        self.zone = zone
        self.rng = rng

    async def forward(self, call: call_lib.Call, reply: server.Reply) -> None:
        """Gets a response from an endpoint and forwards it to the caller.

        Raises:
            RequestRejectedError: the request did not run.
            OutcomeUnknownError: the request may have run.
        """
        attempts: list[Attempt] = []
        try:
            fetched = await self._fetch(call, attempts)
            for attempt in tuple(attempts):
                if attempt.engine is not fetched.engine:
                    attempts.remove(attempt)
                    attempt.close()
            await self._relay(call, fetched, reply)
        finally:
            for attempt in attempts:
                attempt.close()

    async def _fetch(
        self, call: call_lib.Call, attempts: list[Attempt]
    ) -> FetchedResponse:
        """Returns a response, a failure only if no endpoint succeeds.

        Args:
            call: the request.
            attempts: the attempts in progress. Those that are left when this
                returns have to be closed.

        Raises:
            RequestRejectedError: the request did not run.
            OutcomeUnknownError: the request may have run.
        """
        may_send = True
        failure: FetchedResponse | None = None
        error: errors.GatewayError | None = None
        while True:
            engine = None
            if may_send:
                engine = await self._next_endpoint(
                    call, may_wait=not attempts and failure is None
                )
            run = None
            if engine is not None:
                try:
                    run = await self.suspects.begin(call, engine)
                except errors.NotRunError as reserved:
                    call.add_step(f"not_run {engine.engine_id}: {reserved}")
                    call.unreachable_engines.add(engine.engine_id)
                    error = error or reserved
                    continue
                except errors.RequestRejectedError as rejection:
                    error = rejection
                    may_send = False
            if run is not None:
                call.tried_engines.append(run.engine.engine_id)
                attempts.append(
                    Attempt(run.engine, self._fetch_from(call, run))
                )
            elif not attempts:
                if failure is not None:
                    return failure
                if error is None or isinstance(error, errors.NotRunError):
                    raise _rejection(error) from error
                raise error
            attempt = await self._next_ended(call, attempts)
            if attempt is None:
                may_send = await self._may_send_beside(call, attempts)
                continue
            try:
                fetched = attempt.task.result()
            except errors.GatewayError as attempt_error:
                error = attempt_error
                attempts.remove(attempt)
                attempt.close()
                may_send = await self._may_send_after(
                    attempt_error, attempt.engine, call, attempts
                )
                continue
            if not fetched.response.complete:
                return fetched
            attempts.remove(attempt)
            attempt.close()
            if not fetched.failed:
                return fetched
            failure = fetched
            call.may_have_run = True
            call.add_step(
                f"error {attempt.engine.engine_id}: "
                f"{fetched.response.head.status}"
            )
            may_send = call.route.repeatable and await self._may_retry(
                call, attempts
            )

    def _must_wait_for_pauses(self, call: call_lib.Call) -> bool:
        """Returns whether there are endpoints, and all want a pause."""
        now = asyncio.get_running_loop().time()
        opens_at = self.directory.opens_at(
            call.service, now, avoid=call.excluded_engines
        )
        return now < opens_at < math.inf

    async def _next_endpoint(
        self, call: call_lib.Call, *, may_wait: bool
    ) -> engines_lib.Engine | None:
        """Returns the endpoint that gets the request next, if there is one.

        Args:
            call: the request.
            may_wait: whether to wait while all endpoints want a pause.

        Raises:
            RequestRejectedError: their pauses are too long for the request.
        """
        if may_wait and self._must_wait_for_pauses(call):
            await self.pause_queue.wait(
                call.service,
                opens_at=functools.partial(
                    self.directory.opens_at,
                    call.service,
                    avoid=call.excluded_engines,
                ),
                wait_until=call.pause_wait_until,
            )
        if call.retry_due:
            if self._choose(call) is None:
                return None
            if not await call.acquire_retry(self.budget, same_engine=True):
                return None
            call.retry_due = False
        return self._choose(call)

    async def _next_ended(
        self, call: call_lib.Call, attempts: list[Attempt]
    ) -> Attempt | None:
        """Waits for an attempt to end.

        Returns:
            The attempt, or None if the request may be sent to one more
            endpoint because those in progress are slow.
        """
        wait = None
        time_left = call.time_left()
        if (
            call.route.repeatable
            and call.may_try_another_engine
            and time_left > MIN_SECONDS_TO_RETRY
        ):
            wait = time_left * SLOW_FRACTION
        ended, _ = await asyncio.wait(
            {attempt.task for attempt in attempts},
            timeout=wait,
            return_when=asyncio.FIRST_COMPLETED,
        )
        return next((a for a in attempts if a.task in ended), None)

    async def _may_send_beside(
        self, call: call_lib.Call, attempts: list[Attempt]
    ) -> bool:
        """Returns whether to send a slow request to one more endpoint."""
        now = asyncio.get_running_loop().time()
        latest = attempts[-1]
        if not latest.slow:
            latest.slow = True
            latest.engine.health.record_failure(health_lib.Failure.ERROR, now)
            call.add_step(f"slow {latest.engine.engine_id}")
        other = self._choose(call)
        return (
            other is not None
            and other.answers.may_send(now)
            and not other.health.should_avoid(now)
            and await self._may_retry(call, attempts)
        )

    async def _may_send_after(
        self,
        error: errors.GatewayError,
        engine: engines_lib.Engine,
        call: call_lib.Call,
        attempts: list[Attempt],
    ) -> bool:
        """Returns whether to send the request again after a failed attempt."""
        if isinstance(error, errors.NotRunError):
            call.add_step(f"not_run {engine.engine_id}: {error}")
            if error.unreachable:
                call.mark_unreachable(engine.engine_id)
                return not attempts
            if error.paused:
                call.put_off(engine.engine_id, sent=error.sent)
                return not attempts
            return await self._may_retry(call, attempts)
        call.may_have_run = True
        if isinstance(error, errors.OutcomeUnknownError):
            call.engine_end = error.engine_end
        call.add_step(f"unknown {engine.engine_id}: {error}")
        return call.route.repeatable and await self._may_retry(call, attempts)

    async def _may_retry(
        self, call: call_lib.Call, attempts: list[Attempt]
    ) -> bool:
        """Takes a retry, unless no endpoint is left or an attempt ends."""
        if self._choose(call) is None:
            call.add_step("no_retry endpoints")
            return False
        in_progress = {attempt.task for attempt in attempts}
        acquiring = asyncio.ensure_future(call.acquire_retry(self.budget))
        try:
            await asyncio.wait(
                {acquiring, *in_progress},
                return_when=asyncio.FIRST_COMPLETED,
            )
            if any(task.done() for task in in_progress):
                return False
            return acquiring.result()
        finally:
            acquiring.cancel()

    def _choose(self, call: call_lib.Call) -> engines_lib.Engine | None:
        now = asyncio.get_running_loop().time()
        serving = self.directory.accepting(call.service, now)
        excluded = call.excluded_engines
        untried = [e for e in serving if e.engine_id not in excluded]
        answering = engine_selection.answering(serving, now)
        return engine_selection.choose(
            [e for e in answering if e.engine_id not in excluded] or untried,
            zone=self.zone,
            now=now,
            rng=self.rng,
        )

    async def _fetch_from(
        self, call: call_lib.Call, run: suspects_lib.Run
    ) -> FetchedResponse:
        """Sends the request to an endpoint and buffers its response."""
        try:
            fetched = await self._exchange(call, run)
        except BaseException as error:
            await self.suspects.record_failure(call, run, error)
            raise
        if fetched.response.complete:
            self._record_response(call, fetched)
        return fetched

    async def _exchange(
        self, call: call_lib.Call, run: suspects_lib.Run
    ) -> FetchedResponse:
        engine = run.engine
        try:
            response = await self.sender.open(
                engine,
                call.request,
                requests.DispatchParameters(
                    engine_id=engine.engine_id,
                    wait_seconds=max(0.001, call.time_left()),
                    resume_after=call.request.resume_after,
                ),
                repeatable=call.route.repeatable,
                record_send=lambda: call.list_ages.append(
                    self.directory.list_age(asyncio.get_running_loop().time())
                ),
            )
            try:
                check_response(response.head)
                parts, rest = await read_beginning(response)
                fetched = FetchedResponse(run, response, parts, rest)
                if response.complete:
                    await self.suspects.confirm_end(run, response)
                    check_not_reset(response)
            except BaseException as error:
                if isinstance(error, errors.OutcomeUnknownError):
                    error.ended_by_engine = response.ended_by_engine
                call.record_response_end(response.framing, response.connection)
                response.close()
                raise
        except errors.GatewayError as error:
            now = asyncio.get_running_loop().time()
            sender_lib.record_failure(engine, error, now)
            raise
        if response.complete:
            call.record_response_end(response.framing, response.connection)
        return fetched

    def _record_response(
        self, call: call_lib.Call, fetched: FetchedResponse
    ) -> None:
        """Records a complete response in the state of its endpoint."""
        now = asyncio.get_running_loop().time()
        health = fetched.engine.health
        if fetched.failed:
            health.record_failure(health_lib.Failure.ERROR, now)
        else:
            health.record_success(now)
        self.suspects.record_response(
            call,
            fetched.run,
            succeeded=not fetched.failed,
            prompt_answered=fetched.response.head.status < 300,
        )

    async def _relay(
        self,
        call: call_lib.Call,
        fetched: FetchedResponse,
        reply: server.Reply,
    ) -> None:
        head = fetched.response.head
        if fetched.response.complete:
            length = sum(len(part) for part in fetched.parts)
            self._begin(call, head, reply, length=length)
        else:
            self._begin(call, head, reply)
        reply.hold(sum(len(part) for part in fetched.parts))
        for part in fetched.parts:
            await reply.write(part)
        if not fetched.response.complete:
            try:
                async for chunk in fetched.rest:
                    await reply.write(chunk)
                await self.suspects.confirm_end(fetched.run, fetched.response)
                check_not_reset(fetched.response)
            except BaseException as error:
                if isinstance(error, errors.GatewayError):
                    now = asyncio.get_running_loop().time()
                    sender_lib.record_failure(fetched.engine, error, now)
                if isinstance(error, errors.OutcomeUnknownError):
                    error.ended_by_engine = fetched.response.ended_by_engine
                await self.suspects.record_failure(call, fetched.run, error)
                raise
            finally:
                call.record_response_end(
                    fetched.response.framing, fetched.response.connection
                )
            self._record_response(call, fetched)
        reply.finish()

    def _begin(
        self,
        call: call_lib.Call,
        head: requests.ResponseHead,
        reply: server.Reply,
        *,
        length: int | None = None,
    ) -> None:
        call.first_byte_at = asyncio.get_running_loop().time()
        headers = list(head.headers)
        if length is not None:
            headers.append((b"Content-Length", b"%d" % length))
        reply.begin(head.status, headers, reason=head.reason)


def check_not_reset(response: sender_lib.OpenResponse) -> None:
    """Checks that no reset followed the end of a response without framing.

    Nothing in a plain response tells whether it is whole.

    Raises:
        IncompleteResponseError: the endpoint reset the connection.
    """
    if (
        response.framing is sender_lib.BodyFraming.CLOSE
        and response.connection.is_reset()
    ):
        response.complete = False
        response.end = sender_lib.ResponseEnd.BROKE_OFF
        raise sender_lib.IncompleteResponseError(
            "the endpoint reset the connection after its response"
        )


async def read_beginning(
    response: sender_lib.OpenResponse,
) -> tuple[list[bytes], AsyncIterator[bytes]]:
    """Reads a response until it ends or exceeds the buffer.

    Returns:
        What has been read of the body, and what reads the rest.
    """
    rest = response.chunks()
    parts: list[bytes] = []
    size = 0
    async for chunk in rest:
        parts.append(chunk)
        size += len(chunk)
        if size > MAX_BUFFERED_RESPONSE_BYTES:
            break
    return parts, rest


def _rejection(
    error: errors.NotRunError | None,
) -> errors.RequestRejectedError:
    """Returns the rejection of a request that no endpoint ran.

    Args:
        error: the error of the last attempt; None if there was none.
    """
    reason = "endpoint_refused"
    if error is None or error.unreachable:
        reason = "no_endpoint"
    return errors.RequestRejectedError(
        reason, retry_after=engine_finder.NO_ENGINE_RETRY_DELAY
    )


def check_response(head: requests.ResponseHead) -> None:
    """Rejects responses that must not be forwarded unchanged.

    Raises:
        OutcomeUnknownError: a success without the engine's signature, or a
            status that means "not run" without the header that confirms it.
    """
    if head.status < 300 and not head.signed:
        raise errors.OutcomeUnknownError(
            f"status {head.status} without a signature"
        )
    if head.status in sender_lib.NOT_RUN_STATUSES:
        raise errors.OutcomeUnknownError(
            f"status {head.status} without the header that confirms it"
        )
