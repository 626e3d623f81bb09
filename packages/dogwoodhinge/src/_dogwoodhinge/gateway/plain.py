"""Forwards requests to plain services: whole answers, one after another.

Load pattern: a service of few slots whose endpoints fail now and then. An
answer is read whole before it is passed on, so that an idempotent request can
still go to another endpoint when an answer breaks off.
"""

import asyncio
import random
from typing import final

from _dogwoodhinge.fleet import choice
from _dogwoodhinge.fleet import engines as engines_lib
from _dogwoodhinge.fleet import health as health_lib
from _dogwoodhinge.gateway import call as call_lib
from _dogwoodhinge.gateway import errors
from _dogwoodhinge.gateway import requests
from _dogwoodhinge.gateway import seats
from _dogwoodhinge.gateway import second_sends as second_sends_lib
from _dogwoodhinge.gateway import sender as sender_lib
from _dogwoodhinge.http1 import server

# Longer answers are passed on while they arrive.
MAX_WHOLE_ANSWER_BYTES = 256 * 1024

# An idempotent request leaves an endpoint that has not answered after this
# part of its time, for another one: several times the work of nearly all.
FIRST_TRY_PART = 0.25


@final
class PlainForwarder:
    """Serves routes whose answers are not event streams."""

    def __init__(
        self,
        *,
        sender: sender_lib.Sender,
        directory: engines_lib.Directory,
        budget: second_sends_lib.SecondSends,
        zone: str,
        draw: random.Random,
    ) -> None:
        self.sender = sender
        self.directory = directory
        self.budget = budget
        self.zone = zone
        self.draw = draw

    async def forward(self, call: call_lib.Call, reply: server.Reply) -> None:
        """Gets an answer and passes it on.

        Raises:
            RefusedError: not run.
            OutcomeUnknownError: it may have run.
        """
        while True:
            engine = self._choose(call)
            if engine is None:
                raise errors.RefusedError(
                    "no_endpoint", retry_after=seats.RETRY_WITHOUT_ENGINE
                )
            try:
                if await self._try(call, engine, reply):
                    return
            except errors.NotRunError as error:
                call.note(f"not_run {engine.engine_id}: {error}")
                if error.unreachable:
                    call.note_unreached(engine.engine_id)
                elif not await call.may_send_again(self.budget):
                    raise errors.RefusedError(
                        "endpoint_refused",
                        retry_after=seats.RETRY_WITHOUT_ENGINE,
                    ) from error
            except errors.OutcomeUnknownError as error:
                call.may_have_run = True
                call.note(f"unknown {engine.engine_id}: {error}")
                if not call.route.repeatable or not await call.may_send_again(
                    self.budget
                ):
                    raise

    def _choose(self, call: call_lib.Call) -> engines_lib.Engine | None:
        now = asyncio.get_running_loop().time()
        serving = self.directory.serving(call.service)
        untried = [e for e in serving if e.engine_id not in call.to_avoid]
        return choice.choose(untried, zone=self.zone, now=now, draw=self.draw)

    async def _try(
        self,
        call: call_lib.Call,
        engine: engines_lib.Engine,
        reply: server.Reply,
    ) -> bool:
        """Returns False when another endpoint should be asked."""
        loop = asyncio.get_running_loop()
        call.tried.append(engine.engine_id)
        engine.running += 1
        try:
            async with asyncio.timeout_at(self._try_until(call)):
                opened = await self.sender.open(
                    engine,
                    call.request,
                    requests.Demand(
                        engine_id=engine.engine_id,
                        wait_seconds=max(0.001, call.time_left()),
                    ),
                    repeatable=call.route.repeatable,
                )
                return await self._pass_on(call, engine, opened, reply)
        except TimeoutError as error:
            engine.health.note_failure(health_lib.Failure.ERROR, loop.time())
            raise errors.OutcomeUnknownError("no answer in time") from error
        except errors.GatewayError as error:
            sender_lib.note_failure(engine, error, loop.time())
            raise
        finally:
            engine.running -= 1

    def _try_until(self, call: call_lib.Call) -> float:
        if not call.route.repeatable or not call.may_try_another:
            return call.give_up_at
        return asyncio.get_running_loop().time() + (
            call.time_left() * FIRST_TRY_PART
        )

    async def _pass_on(
        self,
        call: call_lib.Call,
        engine: engines_lib.Engine,
        opened: sender_lib.OpenAnswer,
        reply: server.Reply,
    ) -> bool:
        try:
            return await self._read_and_send(call, engine, opened, reply)
        finally:
            opened.close()

    async def _read_and_send(
        self,
        call: call_lib.Call,
        engine: engines_lib.Engine,
        opened: sender_lib.OpenAnswer,
        reply: server.Reply,
    ) -> bool:
        loop = asyncio.get_running_loop()
        head = opened.head
        check_answer(head)
        whole: list[bytes] = []
        size = 0
        async for chunk in opened.chunks():
            size += len(chunk)
            if size <= MAX_WHOLE_ANSWER_BYTES:
                whole.append(chunk)
                continue
            if not reply.begun:
                self._begin(call, head, reply)
                for kept in whole:
                    await reply.write(kept)
            await reply.write(chunk)
        if head.status >= 500:
            engine.health.note_failure(health_lib.Failure.ERROR, loop.time())
            if (
                call.route.repeatable
                and not reply.begun
                and await call.may_send_again(self.budget)
            ):
                call.note(f"error {engine.engine_id}: {head.status}")
                return False
        else:
            engine.health.note_success(loop.time())
        if not reply.begun:
            self._begin(call, head, reply, length=size)
            for kept in whole:
                await reply.write(kept)
        reply.finish()
        return True

    def _begin(
        self,
        call: call_lib.Call,
        head: requests.AnswerHead,
        reply: server.Reply,
        *,
        length: int | None = None,
    ) -> None:
        call.first_byte_at = asyncio.get_running_loop().time()
        headers = list(head.headers)
        if length is not None:
            headers.append((b"Content-Length", b"%d" % length))
        reply.begin(head.status, headers, reason=head.reason)


def check_answer(head: requests.AnswerHead) -> None:
    """Rejects answers that must not be passed on as they are.

    Raises:
        OutcomeUnknownError: a success without the engine's signature, or a
            status that promises what the engine did not say.
    """
    if head.status < 300 and not head.signed:
        raise errors.OutcomeUnknownError("an answer without signature")
    if head.status in sender_lib.PROMISING_STATUSES:
        raise errors.OutcomeUnknownError(
            f"status {head.status} without the engine's word for it"
        )
