"""Forwards generations: event streams from engines to callers.

Load patterns: engines that die, fall silent or are taken away in the middle of
their streams; adapters that have to be loaded first. Only whole events of
resumable streams are passed on, so that another engine can go on behind the
last one.
"""

import asyncio
from collections.abc import Awaitable, Callable
import datetime
from typing import final

from _dogwoodhinge.fleet import engines as engines_lib
from _dogwoodhinge.fleet import health as health_lib
from _dogwoodhinge.gateway import call as call_lib
from _dogwoodhinge.gateway import errors
from _dogwoodhinge.gateway import event_stream
from _dogwoodhinge.gateway import plain
from _dogwoodhinge.gateway import requests
from _dogwoodhinge.gateway import seats as seats_lib
from _dogwoodhinge.gateway import second_sends as second_sends_lib
from _dogwoodhinge.gateway import sender as sender_lib
from _dogwoodhinge.http1 import server

# A resumable stream that pauses for so long goes on elsewhere: callers leave
# after two seconds, and a new engine needs some hundred milliseconds.
STREAM_PAUSE_LIMIT = datetime.timedelta(milliseconds=1_100)

# The most prompt tokens of each urgency, from the first one on; each step is
# about four times as long to read as the one before.
FIRST_URGENCY = 2
URGENCY_TOKENS = (700, 2_800, 11_000)

# A request that has used half of a usual target of 0.5 s, for a load.
HURRY_SECONDS = 0.3
HURRY_TOKENS = 2_800

# A stream that broke off waits for a place so long, and goes before all that
# have not begun: callers leave two seconds after the last event.
RESUME_PATIENCE = datetime.timedelta(milliseconds=900)

# Adapters that an engine turned out not to hold are looked for this often.
MAX_MISDIRECTED = 3


@final
class StreamForwarder:
    """Serves routes whose answers are event streams."""

    def __init__(
        self,
        *,
        sender: sender_lib.Sender,
        seats: seats_lib.SeatFinder,
        budget: second_sends_lib.SecondSends,
    ) -> None:
        self.sender = sender
        self.seats = seats
        self.budget = budget

    async def forward(self, call: call_lib.Call, reply: server.Reply) -> None:
        """Streams an answer, over more than one engine if need be.

        Raises:
            RefusedError: not run.
            OutcomeUnknownError: it may have run; nothing was passed on.
        """
        relay = Relay(call, reply)
        misdirected = 0
        absent_from = ""
        while True:
            found = await self._find(call, relay, absent_from)
            absent_from = ""
            try:
                await self._run(call, relay, found)
                return
            except errors.NotRunError as error:
                call.note(f"not_run {found.engine.engine_id}: {error}")
                if error.unreachable:
                    call.note_unreached(found.engine.engine_id)
                    continue
                if error.misdirected:
                    misdirected += 1
                    absent_from = self._note_misdirected(call, found.engine)
                if (
                    misdirected > MAX_MISDIRECTED
                    or not await call.may_send_again(
                        self.budget, same_engine=error.misdirected
                    )
                ):
                    raise errors.RefusedError(
                        "engine_refused",
                        retry_after=seats_lib.RETRY_WITHOUT_ENGINE,
                    ) from error
            except errors.OutcomeUnknownError as error:
                call.may_have_run = True
                call.note(f"broken {found.engine.engine_id}: {error}")
                if not call.route.resumable or not await call.may_send_again(
                    self.budget
                ):
                    raise

    async def _find(
        self, call: call_lib.Call, relay: "Relay", absent_from: str
    ) -> seats_lib.Found:
        assert call.request.adapter is not None
        time = call.deadline - call.received_at
        target_at = call.target_at
        wait_until = call.received_at + time * seats_lib.WAIT_FOR_PLACE
        if relay.reply.begun:
            target_at = call.deadline
            now = asyncio.get_running_loop().time()
            resume_until = now + RESUME_PATIENCE.total_seconds()
            wait_until = min(call.deadline, max(wait_until, resume_until))
        found = await self.seats.find(
            call.service,
            call.request.adapter,
            avoid=call.to_avoid,
            absent_from=absent_from,
            prompt_tokens=call.request.prompt_tokens,
            target_at=target_at,
            wait_until=wait_until,
        )
        call.found_by = found.found_by
        call.adapter_version = found.version or 0
        return found

    def _note_misdirected(
        self, call: call_lib.Call, engine: engines_lib.Engine
    ) -> str:
        """Returns the engine if it may only have lost the adapter."""
        key = call.request.adapter
        assert key is not None
        if not key.adapter:
            call.note_unreached(engine.engine_id)
            return ""
        call.tried.pop()
        engine.holdings.pop(key, None)
        return engine.engine_id

    async def _run(
        self, call: call_lib.Call, relay: "Relay", found: seats_lib.Found
    ) -> None:
        engine = found.engine
        loop = asyncio.get_running_loop()
        unread = Unread(engine, call.request.prompt_tokens)
        call.tried.append(engine.engine_id)
        call.sent_at = loop.time()
        engine.running += 1
        try:
            opened = await self.sender.open(
                engine,
                call.request,
                requests.Demand(
                    engine_id=engine.engine_id,
                    wait_seconds=max(0.001, call.time_left()),
                    urgency=urgency(
                        call.request.prompt_tokens,
                        time_to_target=call.time_to_target(),
                    ),
                    adapter_version=found.version,
                    resume_after=relay.last_event_id,
                ),
                repeatable=call.route.resumable,
                may_leave=lambda: self._may_leave(call, engine),
            )
            try:
                unread.end()
                await relay.pass_on(
                    opened,
                    may_leave=lambda: self._has_place_elsewhere(
                        call, relay, engine
                    ),
                )
            finally:
                opened.close()
            if opened.head.status >= 500:
                engine.health.note_failure(
                    health_lib.Failure.ERROR, loop.time()
                )
            else:
                engine.health.note_success(loop.time())
        except errors.GatewayError as error:
            sender_lib.note_failure(
                engine,
                error,
                loop.time(),
                needs_adapter=bool(
                    call.request.adapter and call.request.adapter.adapter
                ),
            )
            raise
        finally:
            engine.running -= 1
            unread.end()

    def _may_leave(
        self, call: call_lib.Call, engine: engines_lib.Engine
    ) -> bool:
        """Tells whether a silent engine may be left for another one."""
        now = asyncio.get_running_loop().time()
        others = [
            other
            for other in self.seats.directory.serving(call.service)
            if other is not engine and not other.health.to_be_avoided(now)
        ]
        return (
            call.may_try_another
            and bool(others)
            and self.budget.left(call.service, now) >= 1
        )

    async def _has_place_elsewhere(
        self, call: call_lib.Call, relay: "Relay", engine: engines_lib.Engine
    ) -> bool:
        """Tells whether a stream that pauses can go on at another engine.

        Its own engine may have set it aside for more urgent requests; to leave
        it for nothing would end the stream sooner than need be.
        """
        if not self._may_leave(call, engine):
            return False
        try:
            await self._find(call, relay, absent_from="")
        except errors.RefusedError as error:
            call.note(f"kept {engine.engine_id}: {error.reason}")
            return False
        return True


def urgency(prompt_tokens: int, *, time_to_target: float) -> int:
    """Returns the urgency of a request at its engine.

    A short prompt that is read first delays a long one by milliseconds; the
    other way round it may miss its latency target. One that has waited for
    its adapter goes before those that have just come.

    Args:
        prompt_tokens: size of the prompt.
        time_to_target: seconds until an answer would be late.
    """
    if 0 < time_to_target < HURRY_SECONDS and prompt_tokens <= HURRY_TOKENS:
        return FIRST_URGENCY - 1
    for level, most in enumerate(URGENCY_TOKENS, start=FIRST_URGENCY):
        if prompt_tokens <= most:
            return level
    return FIRST_URGENCY + len(URGENCY_TOKENS)


@final
class Unread:
    """Counts a prompt as unread until its engine answers."""

    def __init__(self, engine: engines_lib.Engine, tokens: int) -> None:
        self.engine = engine
        self.tokens = tokens
        engine.unread_tokens += tokens

    def end(self) -> None:
        """Counts it no longer."""
        self.engine.unread_tokens -= self.tokens
        self.tokens = 0


@final
class Relay:
    """The caller's side of one stream.

    Attributes:
        last_event_id: the last event that the caller has been sent.
    """

    def __init__(self, call: call_lib.Call, reply: server.Reply) -> None:
        self.call = call
        self.reply = reply
        self.last_event_id = call.request.resume_after

    async def pass_on(
        self,
        opened: sender_lib.OpenAnswer,
        *,
        may_leave: Callable[[], Awaitable[bool]],
    ) -> None:
        """Passes one engine's answer on.

        Args:
            opened: the answer.
            may_leave: tells whether a silent engine may be left.

        Raises:
            OutcomeUnknownError: the answer broke off.
        """
        head = opened.head
        plain.check_answer(head)
        if head.status != 200:
            await self._pass_failure(opened)
            return
        if self.call.route.resumable:
            await self._pass_events(opened, may_leave)
        else:
            await self._pass_bytes(opened)
        self.reply.finish()

    async def _pass_failure(self, opened: sender_lib.OpenAnswer) -> None:
        if self.reply.begun:
            raise errors.OutcomeUnknownError(
                f"status {opened.head.status} instead of the rest of a stream"
            )
        body = [chunk async for chunk in opened.chunks()]
        if self.call.route.resumable and self.call.may_try_another:
            raise errors.OutcomeUnknownError(f"status {opened.head.status}")
        self.reply.answer(
            opened.head.status, list(opened.head.headers), b"".join(body)
        )

    async def _pass_events(
        self,
        opened: sender_lib.OpenAnswer,
        may_leave: Callable[[], Awaitable[bool]],
    ) -> None:
        splitter = event_stream.EventSplitter()
        chunks = opened.chunks(
            silence_limit=STREAM_PAUSE_LIMIT, may_leave=may_leave
        )
        async for chunk in chunks:
            for event in splitter.feed(chunk):
                self._begin(opened.head)
                await self.reply.write(event.data)
                self.call.note_event()
                if event.event_id is not None:
                    self.last_event_id = event.event_id
        if splitter.rest:
            raise sender_lib.BrokenAnswerError(
                "the stream ended inside an event"
            )
        self._begin(opened.head)

    async def _pass_bytes(self, opened: sender_lib.OpenAnswer) -> None:
        async for chunk in opened.chunks():
            self._begin(opened.head)
            self.call.note_event()
            await self.reply.write(chunk)
        self._begin(opened.head)

    def _begin(self, head: requests.AnswerHead) -> None:
        if self.reply.begun:
            return
        self.call.first_byte_at = asyncio.get_running_loop().time()
        # The length of one engine's answer is not that of a resumed one, so
        # streams are always sent in chunks.
        self.reply.begin(head.status, list(head.headers), reason=head.reason)
