"""Forwards requests to plain services, whose responses are not streamed.

Load pattern: a service with few slots whose endpoints fail occasionally. A
response is buffered before it is forwarded, so that an idempotent request can
still be sent to another endpoint if the response is interrupted.
"""

import asyncio
import random
from typing import final

from _dogwoodhinge.fleet import engine_selection
from _dogwoodhinge.fleet import engines as engines_lib
from _dogwoodhinge.fleet import health as health_lib
from _dogwoodhinge.gateway import call as call_lib
from _dogwoodhinge.gateway import engine_finder
from _dogwoodhinge.gateway import errors
from _dogwoodhinge.gateway import requests
from _dogwoodhinge.gateway import retry_budget as retry_budget_lib
from _dogwoodhinge.gateway import sender as sender_lib
from _dogwoodhinge.http1 import server

# Longer responses are forwarded while they arrive.
MAX_BUFFERED_RESPONSE_BYTES = 256 * 1024

# An idempotent request is sent to another endpoint if there is no response
# after this fraction of the remaining time, which is several times as long as
# nearly all requests take.
FIRST_ATTEMPT_FRACTION = 0.25


@final
class PlainForwarder:
    """Serves routes whose responses are not event streams."""

    def __init__(
        self,
        *,
        sender: sender_lib.Sender,
        directory: engines_lib.Directory,
        budget: retry_budget_lib.RetryBudget,
        zone: str,
        rng: random.Random,
    ) -> None:
        self.sender = sender
        self.directory = directory
        self.budget = budget
        self.zone = zone
        self.rng = rng

    async def forward(self, call: call_lib.Call, reply: server.Reply) -> None:
        """Gets a response from an endpoint and forwards it to the caller.

        Raises:
            RequestRejectedError: the request did not run.
            OutcomeUnknownError: the request may have run.
        """
        while True:
            engine = self._choose(call)
            if engine is None:
                raise errors.RequestRejectedError(
                    "no_endpoint",
                    retry_after=engine_finder.NO_ENGINE_RETRY_DELAY,
                )
            try:
                if await self._forward_to(call, engine, reply):
                    return
            except errors.NotRunError as error:
                call.add_step(f"not_run {engine.engine_id}: {error}")
                if error.unreachable:
                    call.mark_unreachable(engine.engine_id)
                elif not await call.acquire_retry(self.budget):
                    raise errors.RequestRejectedError(
                        "endpoint_refused",
                        retry_after=engine_finder.NO_ENGINE_RETRY_DELAY,
                    ) from error
            except errors.OutcomeUnknownError as error:
                call.may_have_run = True
                call.add_step(f"unknown {engine.engine_id}: {error}")
                if (
                    reply.begun
                    or not call.route.repeatable
                    or not await call.acquire_retry(self.budget)
                ):
                    raise

    def _choose(self, call: call_lib.Call) -> engines_lib.Engine | None:
        now = asyncio.get_running_loop().time()
        serving = self.directory.serving(call.service)
        untried = [
            e for e in serving if e.engine_id not in call.excluded_engines
        ]
        return engine_selection.choose(
            untried, zone=self.zone, now=now, rng=self.rng
        )

    async def _forward_to(
        self,
        call: call_lib.Call,
        engine: engines_lib.Engine,
        reply: server.Reply,
    ) -> bool:
        """Returns False if the request should go to another endpoint."""
        loop = asyncio.get_running_loop()
        call.tried_engines.append(engine.engine_id)
        engine.running += 1
        try:
            async with asyncio.timeout_at(
                self._attempt_deadline(call)
            ) as attempt:
                response = await self.sender.open(
                    engine,
                    call.request,
                    requests.DispatchParameters(
                        engine_id=engine.engine_id,
                        wait_seconds=max(0.001, call.time_left()),
                    ),
                    repeatable=call.route.repeatable,
                )
                return await self._relay_response(
                    call, engine, response, reply, attempt
                )
        except TimeoutError as error:
            engine.health.record_failure(health_lib.Failure.ERROR, loop.time())
            raise errors.OutcomeUnknownError("no response in time") from error
        except errors.GatewayError as error:
            sender_lib.record_failure(engine, error, loop.time())
            raise
        finally:
            engine.running -= 1

    def _attempt_deadline(self, call: call_lib.Call) -> float:
        if not call.route.repeatable or not call.may_try_another_engine:
            return call.gateway_timeout_at
        return asyncio.get_running_loop().time() + (
            call.time_left() * FIRST_ATTEMPT_FRACTION
        )

    async def _relay_response(
        self,
        call: call_lib.Call,
        engine: engines_lib.Engine,
        response: sender_lib.OpenResponse,
        reply: server.Reply,
        attempt: asyncio.Timeout,
    ) -> bool:
        try:
            return await self._copy_response(
                call, engine, response, reply, attempt
            )
        finally:
            response.close()

    async def _copy_response(
        self,
        call: call_lib.Call,
        engine: engines_lib.Engine,
        response: sender_lib.OpenResponse,
        reply: server.Reply,
        attempt: asyncio.Timeout,
    ) -> bool:
        loop = asyncio.get_running_loop()
        head = response.head
        check_response(head)
        buffered: list[bytes] = []
        size = 0
        async for chunk in response.chunks():
            size += len(chunk)
            if size <= MAX_BUFFERED_RESPONSE_BYTES:
                buffered.append(chunk)
                continue
            if not reply.begun:
                # A response that has begun can't come from another endpoint.
                attempt.reschedule(call.gateway_timeout_at)
                self._begin(call, head, reply)
                for part in buffered:
                    await reply.write(part)
            await reply.write(chunk)
        if head.status >= 500:
            engine.health.record_failure(health_lib.Failure.ERROR, loop.time())
            if (
                call.route.repeatable
                and not reply.begun
                and await call.acquire_retry(self.budget)
            ):
                call.add_step(f"error {engine.engine_id}: {head.status}")
                return False
        else:
            engine.health.record_success(loop.time())
        if not reply.begun:
            self._begin(call, head, reply, length=size)
            for part in buffered:
                await reply.write(part)
        reply.finish()
        return True

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
