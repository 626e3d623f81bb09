"""Forwards event streams, and the answers of engines in one piece.

Load patterns: engines that crash, stop sending or are removed in the middle of
a stream; adapters that have to be loaded first. Resumable streams are forwarded
in whole events only, so that another engine can continue after the last one.
Answers in one piece are held back while another engine may still replace them.
"""

import asyncio
import collections
from collections.abc import Awaitable, Callable
import dataclasses
import datetime
import functools
from typing import TypeAlias, final

from _dogwoodhinge import event_stream
from _dogwoodhinge.fleet import engine_selection
from _dogwoodhinge.fleet import engines as engines_lib
from _dogwoodhinge.fleet import health as health_lib
from _dogwoodhinge.gateway import call as call_lib
from _dogwoodhinge.gateway import dispatch_priority
from _dogwoodhinge.gateway import engine_finder as engine_finder_lib
from _dogwoodhinge.gateway import errors
from _dogwoodhinge.gateway import plain
from _dogwoodhinge.gateway import prefill_pacing as prefill_pacing_lib
from _dogwoodhinge.gateway import requests
from _dogwoodhinge.gateway import retry_budget as retry_budget_lib
from _dogwoodhinge.gateway import sender as sender_lib
from _dogwoodhinge.gateway import suspects as suspects_lib
from _dogwoodhinge.http1 import connection as connection_lib
from _dogwoodhinge.http1 import server

# Checks that a response that has ended did not end with its engine.
ConfirmEnd: TypeAlias = Callable[[sender_lib.OpenResponse], Awaitable[None]]

# A resumable stream that pauses for this long is continued on another engine:
# callers disconnect after two seconds, and the new engine needs some hundred
# milliseconds.
STREAM_PAUSE_TIMEOUT = datetime.timedelta(milliseconds=1_100)

# An interrupted stream waits this long for an adapter slot and is placed before
# all requests that have not started: callers disconnect two seconds after the
# last event.
RESUME_TIMEOUT = datetime.timedelta(milliseconds=900)
HIGHEST_RANK = 0

# Retries that are reserved before an engine that does not respond is left, to
# return to it if the next engine does not run the request.
RETURN_RETRIES = 1

# A request whose adapter is being loaded waits this long for a retry: callers
# disconnect after two seconds without an event.
RETRY_WAIT = datetime.timedelta(seconds=1)
RETRY_WAIT_INTERVAL = datetime.timedelta(milliseconds=100)

# How often a request is sent again after the engine did not hold the adapter.
MAX_MISDIRECTED_RETRIES = 3


@final
class StreamForwarder:
    """Serves streams of all services, and all requests to engines.

    Attributes:
        switching: by service, requests that an engine is being secured for.
        unfinished_events: what all streams buffer of unfinished events.
    """

    def __init__(
        self,
        *,
        sender: sender_lib.Sender,
        engine_finder: engine_finder_lib.EngineFinder,
        budget: retry_budget_lib.RetryBudget,
        prefill_pacing: prefill_pacing_lib.PrefillPacing,
        suspects: suspects_lib.Suspects,
    ) -> None:
        self.sender = sender
        self.suspects = suspects
        self.prefill_pacing = prefill_pacing
        self.engine_finder = engine_finder
        self.budget = budget
        self.switching: collections.Counter[str] = collections.Counter()
        self.unfinished_events = event_stream.UnfinishedEvents()

    async def forward(self, call: call_lib.Call, reply: server.Reply) -> None:
        """Forwards a response, from more than one engine if necessary.

        Raises:
            RequestRejectedError: the request did not run.
            OutcomeUnknownError: the request may have run.
        """
        relay = Relay(call, reply, self.unfinished_events)
        try:
            await self._forward_until_answered(call, relay)
        except (errors.RequestRejectedError, errors.OutcomeUnknownError):
            if not relay.answer_with_failure():
                raise
        finally:
            self._end_return_option(call, relay)
            self.prefill_pacing.record_stream(call)

    async def _forward_until_answered(
        self, call: call_lib.Call, relay: "Relay"
    ) -> None:
        misdirected = 0
        absent_from = ""
        selection: engine_finder_lib.EngineSelection | None = None
        while True:
            if selection is None:
                selection = await self._find_or_return(call, relay, absent_from)
            if call.retry_due:
                await self._acquire_due_retry(call)
            absent_from = ""
            try:
                await self._forward_to(call, relay, selection)
                return
            except errors.NotRunError as error:
                call.add_step(f"not_run {selection.engine.engine_id}: {error}")
                engine = selection.engine
                selection = None
                if error.paused:
                    call.put_off(engine.engine_id, sent=error.sent)
                    continue
                if error.unreachable:
                    call.mark_unreachable(engine.engine_id)
                    continue
                if error.misdirected:
                    misdirected += 1
                    absent_from = self._handle_misdirected(call, engine)
                if (
                    misdirected > MAX_MISDIRECTED_RETRIES
                    or not await self._acquire_retry(call, error)
                ):
                    selection = self._return_to_left_engine(call, relay)
                    if selection is None:
                        raise errors.RequestRejectedError(
                            "engine_refused",
                            retry_after=engine_finder_lib.NO_ENGINE_RETRY_DELAY,
                        ) from error
            except errors.OutcomeUnknownError as error:
                call.may_have_run = True
                call.engine_end = error.engine_end
                call.add_step(f"broken {selection.engine.engine_id}: {error}")
                selection = relay.take_prepared_selection()
                if selection is None and not (
                    relay.may_continue and await call.acquire_retry(self.budget)
                ):
                    selection = self._return_to_left_engine(call, relay)
                    if selection is None:
                        raise

    async def _acquire_retry(
        self, call: call_lib.Call, error: errors.NotRunError
    ) -> bool:
        """Takes a retry for a request that its engine has not run.

        Load pattern: many loads take longer than expected at the same time, so
        that their requests spend the budget. A request whose adapter is on its
        way waits a while until a retry is left.
        """
        loop = asyncio.get_running_loop()
        if error.misdirected:
            wait_until = min(
                self._placement_wait_until(call),
                loop.time() + RETRY_WAIT.total_seconds(),
            )
            while loop.time() < wait_until:
                if await self.budget.take(call.service, loop.time()):
                    return True
                await asyncio.sleep(RETRY_WAIT_INTERVAL.total_seconds())
        return await call.acquire_retry(
            self.budget, same_engine=error.misdirected
        )

    def _placement_wait_until(self, call: call_lib.Call) -> float:
        """Returns the loop time until which a request waits for a slot.

        Load pattern: routes whose timeouts are several times as long as their
        callers wait for a first event. A request that would still wait when its
        caller gives up is refused before, so that the caller can try again.
        """
        timeout = call.deadline - call.received_at
        share = timeout * engine_finder_lib.PLACEMENT_WAIT_FRACTION
        return min(call.received_at + share, call.start_by)

    async def _acquire_due_retry(self, call: call_lib.Call) -> None:
        """Takes the retry of a request that an engine has put off.

        Raises:
            RequestRejectedError: no retry is left.
        """
        if not await call.acquire_retry(self.budget, same_engine=True):
            raise errors.RequestRejectedError(
                "engine_refused",
                retry_after=engine_finder_lib.NO_ENGINE_RETRY_DELAY,
            )
        call.retry_due = False

    async def _find(
        self,
        call: call_lib.Call,
        relay: "Relay",
        absent_from: str,
        *,
        unanswered: bool = False,
    ) -> engine_finder_lib.EngineSelection:
        """Selects an engine.

        Args:
            call: the request.
            relay: the caller's side of its stream.
            absent_from: an engine that just reported that the adapter is not
                loaded; empty if there is none.
            unanswered: whether an engine has left the request unanswered. Its
                time for a place has passed by then.
        """
        target_at = call.target_at
        wait_until = self._placement_wait_until(call)
        if relay.reply.begun or unanswered:
            target_at = call.deadline
            now = asyncio.get_running_loop().time()
            resume_until = now + RESUME_TIMEOUT.total_seconds()
            wait_until = min(call.deadline, max(wait_until, resume_until))
        return await self.engine_finder.find(
            call.service,
            call.request.adapter,
            avoid=call.excluded_engines,
            absent_from=absent_from,
            prompt_tokens=call.request.prompt_tokens,
            target_at=target_at,
            wait_until=wait_until,
            pause_wait_until=wait_until
            if relay.reply.begun
            else call.pause_wait_until,
            rank=HIGHEST_RANK if relay.reply.begun else call.rank,
            organisation=call.organisation_name,
            prompt_parts=call.request.prompt_parts,
        )

    async def _find_or_return(
        self, call: call_lib.Call, relay: "Relay", absent_from: str
    ) -> engine_finder_lib.EngineSelection:
        """Selects an engine; the one that was left if there is no other."""
        try:
            return await self._find(call, relay, absent_from)
        except errors.RequestRejectedError:
            selection = self._return_to_left_engine(call, relay)
            if selection is None:
                raise
            return selection

    def _return_to_left_engine(
        self, call: call_lib.Call, relay: "Relay"
    ) -> engine_finder_lib.EngineSelection | None:
        """Returns the selection of the engine that was left, at most once.

        That engine did not fail: it was left because its response paused. The
        retry for the return was reserved before it was left.
        """
        selection = relay.left_selection
        if selection is None or not selection.engine.accepts_requests:
            return None
        relay.left_selection = None
        now = asyncio.get_running_loop().time()
        self.budget.take_reserved(call.service, now)
        call.add_step(f"returned {selection.engine.engine_id}")
        if call.request.adapter is None:
            return selection
        # A newer version may have been declared since the engine was selected.
        lowest = self.engine_finder.versions.lowest_allowed(
            call.request.adapter, now
        )
        return dataclasses.replace(selection, version=lowest or None)

    def _end_return_option(self, call: call_lib.Call, relay: "Relay") -> None:
        """Releases the retry for a return to the engine that was left."""
        if relay.left_selection is not None:
            relay.left_selection = None
            self.budget.release(call.service)

    def _handle_misdirected(
        self, call: call_lib.Call, engine: engines_lib.Engine
    ) -> str:
        """Returns the engine's id if only the adapter may be missing there."""
        key = call.request.adapter
        if key is None or not key.adapter:
            call.mark_unreachable(engine.engine_id)
            return ""
        call.tried_engines.pop()
        engine.held_adapters.pop(key, None)
        return engine.engine_id

    async def _forward_to(
        self,
        call: call_lib.Call,
        relay: "Relay",
        selection: engine_finder_lib.EngineSelection,
    ) -> None:
        engine_id = selection.engine.engine_id
        call.tried_engines.append(engine_id)
        try:
            run = await self.suspects.begin(call, selection.engine)
        except errors.RequestRejectedError:
            call.forget_try(engine_id)
            raise
        try:
            response = await self._exchange(call, relay, selection, run)
        except BaseException as error:
            await self.suspects.record_failure(call, run, error)
            raise
        self.suspects.record_response(
            call,
            run,
            succeeded=response.head.status < 500,
            prompt_answered=response.head.status == 200
            and (run.began_at is not None or not call.route.streamed),
        )

    async def _exchange(
        self,
        call: call_lib.Call,
        relay: "Relay",
        selection: engine_finder_lib.EngineSelection,
        run: suspects_lib.Run,
    ) -> sender_lib.OpenResponse:
        """Sends the request to an engine and forwards its whole response."""
        engine = selection.engine
        call.run_began_at = None
        loop = asyncio.get_running_loop()
        prepare_switch = None
        if call.route.repeatable:
            prepare_switch = functools.partial(
                self._prepare_switch, call, relay, selection
            )
        call.held_tokens = selection.held_tokens
        unread_prompt = UnreadPrompt(engine, call.unread_tokens)
        call.found_by = selection.found_by
        call.adapter_version = selection.version or 0
        engine.running += 1
        try:
            await self.prefill_pacing.wait_for_turn(
                call, engine, begun=relay.reply.begun
            )
            call.sent_at = loop.time()
            response = await self.sender.open(
                engine,
                call.request,
                requests.DispatchParameters(
                    engine_id=engine.engine_id,
                    wait_seconds=max(0.001, call.time_left()),
                    priority=_engine_priority(call),
                    adapter_version=selection.version,
                    resume_after=relay.last_event_id,
                ),
                repeatable=call.route.repeatable,
                whole=not call.route.streamed
                and call.request.adapter is not None,
                prepare_switch=prepare_switch,
                record_send=lambda: call.list_ages.append(
                    self.engine_finder.directory.list_age(loop.time())
                ),
            )
            try:
                unread_prompt.end()
                if call.route.streamed:
                    self.prefill_pacing.record_first_event(
                        call.service,
                        call.unread_tokens,
                        loop.time() - call.sent_at,
                    )
                if response.head.status == 200:
                    self._end_return_option(call, relay)
                    self._record_prompt(call, engine)
                await relay.relay_response(
                    response,
                    prepare_switch=prepare_switch,
                    confirm_end=functools.partial(
                        self.suspects.confirm_end, run
                    ),
                )
            except errors.OutcomeUnknownError as error:
                error.ended_by_engine = response.ended_by_engine
                raise
            finally:
                call.record_response_end(response.framing, response.connection)
                response.close()
            if response.head.status >= 500:
                engine.health.record_failure(
                    health_lib.Failure.ERROR, loop.time()
                )
            else:
                engine.health.record_success(loop.time())
            return response
        except errors.GatewayError as error:
            sender_lib.record_failure(
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
            unread_prompt.end()
            run.began_at = call.run_began_at

    def _record_prompt(
        self, call: call_lib.Call, engine: engines_lib.Engine
    ) -> None:
        if call.request.adapter is None:
            return
        self.engine_finder.prompt_cache.record(
            engine,
            call.request.adapter,
            call.request.prompt_parts,
            prompt_tokens=call.request.prompt_tokens,
            expected_tokens=call.held_tokens,
            now=asyncio.get_running_loop().time(),
        )

    def _may_switch_engine(
        self, call: call_lib.Call, engine: engines_lib.Engine
    ) -> bool:
        """Returns whether the request may be sent to another engine."""
        now = asyncio.get_running_loop().time()
        switches = 1 + self.switching[call.service]
        retries = switches * (1 + RETURN_RETRIES)
        return (
            self._has_other_engine(call, engine)
            and self.budget.left(call.service, now) >= retries
        )

    def _has_other_engine(
        self, call: call_lib.Call, engine: engines_lib.Engine
    ) -> bool:
        """Returns whether the route allows another engine, and one is sound."""
        now = asyncio.get_running_loop().time()
        return call.may_try_another_engine and any(
            other is not engine
            and other.answers.may_send(now)
            and not other.health.should_avoid(now)
            for other in self.engine_finder.directory.serving(call.service)
        )

    async def _prepare_switch(
        self,
        call: call_lib.Call,
        relay: "Relay",
        current: engine_finder_lib.EngineSelection,
        connection: connection_lib.Connection,
    ) -> bool:
        """Secures another engine for a request whose engine does not respond.

        The engine may have suspended the request for others of a higher
        priority. Leaving it without a slot and a retry elsewhere would only end
        the response early.

        Returns:
            Whether the request may leave its engine.
        """
        now = asyncio.get_running_loop().time()
        if not relay.reply.begun and not current.engine.answers.may_send(now):
            return await self._prepare_to_leave_silent(
                call, relay, current, connection
            )
        if not self._may_switch_engine(call, current.engine):
            return False
        self.switching[call.service] += 1
        try:
            selection = await self._find(call, relay, absent_from="")
        except errors.RequestRejectedError as error:
            call.add_step(f"kept {current.engine.engine_id}: {error.reason}")
            return False
        finally:
            self.switching[call.service] -= 1
        if connection.readable:
            return False
        now = asyncio.get_running_loop().time()
        if (
            relay.reply.begun
            and not current.engine.answers.sends_nothing(now)
            and _is_full(selection.engine)
        ):
            # A stream that waits in a queue there may as well wait here.
            call.add_step(f"kept {current.engine.engine_id}: engines_full")
            return False
        if not self.budget.take_local(
            call.service, now, reserve=RETURN_RETRIES
        ):
            call.add_step(f"kept {current.engine.engine_id}: no_retry_left")
            return False
        self._end_return_option(call, relay)
        relay.prepared_selection = selection
        relay.left_selection = current
        return True

    async def _prepare_to_leave_silent(
        self,
        call: call_lib.Call,
        relay: "Relay",
        current: engine_finder_lib.EngineSelection,
        connection: connection_lib.Connection,
    ) -> bool:
        """Secures another engine for a request that is left unanswered.

        Load pattern: an engine that holds many adapters answers nothing while
        all places are in use. The request will not return to it, so one retry
        is enough, from the budget of this node or of all nodes. The retry is
        taken first: without one, no adapter is loaded for the request.

        Returns:
            Whether the request may leave its engine.
        """
        if not self._has_other_engine(call, current.engine):
            return False
        if not relay.retry_secured:
            if not await call.acquire_retry(self.budget):
                return False
            relay.retry_secured = True
        try:
            selection = await self._find(
                call, relay, absent_from="", unanswered=True
            )
        except errors.RequestRejectedError as error:
            call.add_step(f"kept {current.engine.engine_id}: {error.reason}")
            return False
        if connection.readable:
            return False
        self._end_return_option(call, relay)
        relay.retry_secured = False
        relay.prepared_selection = selection
        return True


def _engine_priority(call: call_lib.Call) -> int | None:
    """Returns the priority of a generation; None for a plain service."""
    if call.request.adapter is None:
        return None
    return dispatch_priority.priority(
        call.request.prompt_tokens,
        time_to_target=call.time_to_target(),
        rank=call.rank,
        ranks=call.ranks,
    )


def _is_full(engine: engines_lib.Engine) -> bool:
    """Returns whether an engine queues further requests."""
    return engine_selection.load(engine.work, engine.entry.slots) >= 1


@final
class UnreadPrompt:
    """Counts a prompt as unread until its engine responds."""

    def __init__(self, engine: engines_lib.Engine, tokens: int) -> None:
        self.engine = engine
        self.tokens = tokens
        engine.unread_tokens += tokens

    def end(self) -> None:
        """Stops counting the prompt."""
        self.engine.unread_tokens -= self.tokens
        self.tokens = 0


@final
class Relay:
    """The caller's side of one response.

    Attributes:
        last_event_id: id of the last event sent to the caller.
        prepared_selection: the engine that continues when the current one is
            left, with its retry already taken.
        left_selection: the engine that was left although it had not failed;
            None once another engine has responded.
        retry_secured: whether a retry has been taken for a request that its
            engine leaves unanswered, and not been used yet.
        failure: the latest failure that an engine responded with, and its
            body, kept in case that no other engine responds.
        unfinished_events: what all streams buffer of unfinished events.
    """

    def __init__(
        self,
        call: call_lib.Call,
        reply: server.Reply,
        unfinished_events: event_stream.UnfinishedEvents,
    ) -> None:
        self.call = call
        self.reply = reply
        self.unfinished_events = unfinished_events
        self.last_event_id = call.request.resume_after
        self.prepared_selection: engine_finder_lib.EngineSelection | None = None
        self.left_selection: engine_finder_lib.EngineSelection | None = None
        self.retry_secured = False
        self.failure: tuple[requests.ResponseHead, bytes] | None = None

    def take_prepared_selection(
        self,
    ) -> engine_finder_lib.EngineSelection | None:
        """Returns the prepared selection, if any, and forgets it."""
        selection = self.prepared_selection
        self.prepared_selection = None
        return selection

    @property
    def may_continue(self) -> bool:
        """True if another engine may take over from one that has failed.

        An answer in one piece that has begun can't be continued.
        """
        return self.call.route.repeatable and (
            self.call.route.streamed or not self.reply.begun
        )

    async def relay_response(
        self,
        response: sender_lib.OpenResponse,
        *,
        prepare_switch: sender_lib.PrepareSwitch | None,
        confirm_end: ConfirmEnd,
    ) -> None:
        """Forwards one engine's response to the caller.

        Args:
            response: the engine's response.
            confirm_end: checks that the response did not end with its engine;
                called after its last byte.
            prepare_switch: called when the response pauses; returns whether
                another engine is ready. None to stay at this engine.

        Raises:
            OutcomeUnknownError: the response ended early or is invalid.
        """
        head = response.head
        plain.check_response(head)
        if not self.call.route.streamed and head.status < 500:
            await self._relay_whole(response, confirm_end)
            return
        if head.status != 200:
            await self._relay_failure(response, confirm_end)
            return
        if self.call.route.resumable:
            await self._relay_events(response, prepare_switch, confirm_end)
        else:
            await self._relay_bytes(response, confirm_end)
        self.reply.finish()

    async def _relay_failure(
        self, response: sender_lib.OpenResponse, confirm_end: ConfirmEnd
    ) -> None:
        if self.reply.begun:
            raise errors.OutcomeUnknownError(
                f"status {response.head.status} instead of the resumed stream"
            )
        buffered: list[bytes] = []
        size = 0
        async for chunk in response.chunks():
            size += len(chunk)
            buffered.append(chunk)
            if size <= plain.MAX_BUFFERED_RESPONSE_BYTES:
                continue
            self._check_failure_is_final(response.head)
            self._begin(response.head)
            for part in buffered:
                await self.reply.write(part)
            buffered.clear()
        await confirm_end(response)
        if size > plain.MAX_BUFFERED_RESPONSE_BYTES:
            self.reply.finish()
            return
        self.failure = (response.head, b"".join(buffered))
        self._check_failure_is_final(response.head)
        self.answer_with_failure()

    def answer_with_failure(self) -> bool:
        """Answers with the failure of an engine.

        Returns:
            False if no engine has responded with a failure, or if a response
            has begun.
        """
        if self.failure is None or self.reply.begun:
            return False
        head, body = self.failure
        self.reply.answer(head.status, list(head.headers), body)
        return True

    def _check_failure_is_final(self, head: requests.ResponseHead) -> None:
        """Raises OutcomeUnknownError if another engine may respond."""
        if self.call.route.repeatable and self.call.may_try_another_engine:
            raise errors.OutcomeUnknownError(f"status {head.status}")

    async def _relay_whole(
        self, response: sender_lib.OpenResponse, confirm_end: ConfirmEnd
    ) -> None:
        """Forwards a response that is no event stream.

        Raises:
            IncompleteResponseError: the engine broke it off.
        """
        parts, rest = await plain.read_beginning(response)
        size = sum(len(part) for part in parts)
        self.reply.hold(size)
        if response.complete:
            await confirm_end(response)
            plain.check_not_reset(response)
            self._begin(response.head, length=size)
        else:
            self._begin(response.head)
        for part in parts:
            await self.reply.write(part)
        if not response.complete:
            async for chunk in rest:
                await self.reply.write(chunk)
            await confirm_end(response)
            plain.check_not_reset(response)
        self.reply.finish()

    async def _relay_events(
        self,
        response: sender_lib.OpenResponse,
        prepare_switch: sender_lib.PrepareSwitch | None,
        confirm_end: ConfirmEnd,
    ) -> None:
        splitter = event_stream.EventSplitter()
        tracker = event_stream.EventTracker()
        chunks = response.chunks(
            silence_timeout=STREAM_PAUSE_TIMEOUT,
            prepare_switch=prepare_switch,
        )
        buffered = 0
        try:
            async for chunk in chunks:
                tracker.feed(chunk)
                for event in splitter.feed(chunk):
                    self._begin(response.head)
                    await self.reply.write(event.data)
                    self.call.record_event()
                    if event.event_id is not None:
                        self.last_event_id = event.event_id
                before, buffered = buffered, len(splitter.buffer)
                self.unfinished_events.resize(before, buffered)
        except event_stream.EventTooLongError as error:
            raise sender_lib.IncompleteResponseError(str(error)) from error
        finally:
            self.unfinished_events.resize(buffered, 0)
        self._check_stream_end(response, tracker)
        await confirm_end(response)
        self._begin(response.head)
        if splitter.buffer:
            # Comments and empty lines may follow the last event.
            await self.reply.write(bytes(splitter.buffer))

    async def _relay_bytes(
        self, response: sender_lib.OpenResponse, confirm_end: ConfirmEnd
    ) -> None:
        tracker = event_stream.EventTracker()
        async for chunk in response.chunks():
            self._begin(response.head)
            tracker.feed(chunk)
            self.call.record_event()
            await self.reply.write(chunk)
        self._check_stream_end(response, tracker)
        await confirm_end(response)
        self._begin(response.head)

    def _check_stream_end(
        self,
        response: sender_lib.OpenResponse,
        tracker: event_stream.EventTracker,
    ) -> None:
        """Checks the end of a stream whose framing says that it is complete.

        Raises:
            IncompleteResponseError: the stream ended inside an event, or the
                connection ended before the first event of a stream without
                framing.
        """
        if tracker.unfinished:
            response.end = sender_lib.ResponseEnd.IN_EVENT
            raise sender_lib.IncompleteResponseError(
                "the stream ended in the middle of an event"
            )
        # A caller that resumes may have received all events before. A stream
        # that this node resumes was broken off, so more is due.
        resumed_by_caller = (
            self.last_event_id is not None
            and self.last_event_id == self.call.request.resume_after
        )
        if (
            response.framing is sender_lib.BodyFraming.CLOSE
            and not tracker.has_event
            and not resumed_by_caller
        ):
            response.end = sender_lib.ResponseEnd.BROKE_OFF
            raise sender_lib.IncompleteResponseError(
                "the connection ended before the first event"
            )

    def _begin(
        self, head: requests.ResponseHead, *, length: int | None = None
    ) -> None:
        if self.reply.begun:
            return
        self.call.first_byte_at = asyncio.get_running_loop().time()
        headers = list(head.headers)
        # The length of one engine's response is not the length of a resumed
        # stream, so streams always use chunked encoding.
        if length is not None:
            headers.append((b"Content-Length", b"%d" % length))
        self.reply.begin(head.status, headers, reason=head.reason)
