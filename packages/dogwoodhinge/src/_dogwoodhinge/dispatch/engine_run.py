"""One run of a generation on one engine, with resumption of its stream."""

import asyncio
import collections
from collections.abc import AsyncGenerator, AsyncIterator
import contextlib
import dataclasses
import datetime
import json
from typing import final

from _dogwoodhinge import errors
from _dogwoodhinge import injection
from _dogwoodhinge.dispatch import errors as dispatch_errors
from _dogwoodhinge.dispatch import grants as grants_lib
from _dogwoodhinge.dispatch import releases
from _dogwoodhinge.peer import peer_pb2
from dogwoodhinge import errors as public_errors
from dogwoodhinge import models
from dogwoodhinge import ports

MAX_RESUMES_WITHOUT_PROGRESS = 3
RESUME_DELAY = datetime.timedelta(milliseconds=200)
# An engine may queue and prefill a request before the first token.
FIRST_TOKEN_TIMEOUT_FACTOR = 3

# Events before the first token are buffered up to this size.
MAX_BYTES_BEFORE_TOKEN = 1024 * 1024


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RunRequest:
    """A request to an engine and its time limits.

    Attributes:
        request_id: ID of the attempt; the engine repeats it in every chunk.
        end_by: monotonic second at which the run is abandoned; may be
            infinite.
        max_silence: longest wait for the next chunk; a connection without
            data for longer is closed.
        suspect: whether it runs under a claim of the quarantine.
    """

    request_id: str
    adapter: models.AdapterVersion
    path: str
    body: bytes
    priority: int
    end_by: float
    max_silence: datetime.timedelta
    suspect: bool = False


@final
class EngineRun:
    """Reads a run's stream, and resumes it on new connections.

    Attributes:
        grant: the grant that allows the run.
        offset: number of tokens forwarded so far.
        connections: number of connections opened so far.
        started: whether the engine may have started the run.
        output_complete: whether every token was forwarded.
        completed: whether the engine is known to have ended the run.
        engine_failed: whether the engine was unreachable or broke the stream.
        leaving: whether the engine reported that it accepts no new requests.
        pause: time for which the engine wants no requests; 0 for none.
        crash_reported: whether the engine's crash was reported to the
            quarantine.
    """

    def __init__(
        self,
        *,
        engine: ports.Engine | None,
        grant: peer_pb2.Grant,
        grants: grants_lib.GrantStore,
        request: RunRequest,
        clock: ports.Clock,
    ) -> None:
        self.engine = engine
        self.grant = grant
        self.grants = grants
        self.request = request
        self.clock = clock
        self.offset = 0
        self.connections = 0
        self.started = False
        self.output_complete = False
        self.completed = False
        self.engine_failed = False
        self.leaving = False
        self.pause = datetime.timedelta(0)
        self.crash_reported = False
        self.began_at = clock.monotonic()
        self.first_token_at: float | None = None
        self.last_token_at: float | None = None
        self.last_data = b""

    async def chunks(self) -> AsyncGenerator[bytes, None]:
        """Yields the JSON of each event; returns once the output is complete.

        A second call before the first token attaches to the run that may be
        in progress: engines identify a request by its ID.

        Raises:
            NotRunError: the engine did not run it.
            OutcomeUnknownError: the engine may have run it; the events
                yielded so far are incomplete.
        """
        engine = self.engine
        if engine is None:
            raise errors.NotRunError(
                f"engine {self.grant.engine_id} accepts no new requests"
            )
        if not self.connections:
            await injection.reach(injection.Step.DISPATCH)
            self.grants.check_dispatch(self.grant.grant_id)
        failures = 0
        while True:
            offset = self.offset
            try:
                async with contextlib.aclosing(
                    self._connection(engine)
                ) as events:
                    async for data in events:
                        yield data
                self.output_complete = True
                self.completed = True
                return
            except public_errors.EngineError as error:
                if self.offset > offset:
                    failures = 0
                failures += 1
                self._check_resumable(error, failures)
            await self.clock.sleep(RESUME_DELAY)

    def result(self) -> releases.ReleaseResult:
        """Returns the result that is reported to the engine's owner."""
        first_token = None
        mean_gap = datetime.timedelta()
        if self.first_token_at is not None and self.last_token_at is not None:
            first_token = datetime.timedelta(
                seconds=self.first_token_at - self.began_at
            )
            gaps = max(self.offset - 1, 1)
            mean_gap = datetime.timedelta(
                seconds=(self.last_token_at - self.first_token_at) / gaps
            )
        return releases.ReleaseResult(
            started=self.started,
            completed=self.completed,
            engine_failed=self.engine_failed,
            first_token=first_token,
            mean_gap=mean_gap,
            output_tokens=self.offset,
        )

    def _check_resumable(
        self, error: public_errors.EngineError, failures: int
    ) -> None:
        """Raises if the stream may not be resumed."""
        if self.offset == 0:
            raise self._error_before_output(error) from error
        self.engine_failed = True
        refused = isinstance(error, public_errors.EngineRefusedError)
        # A new owner raises the engine's fencing token before it contacts this
        # node, so the run may still be resumed with the newer token.
        fenced = isinstance(error, public_errors.StaleFenceError)
        if (refused and not fenced) or failures > MAX_RESUMES_WITHOUT_PROGRESS:
            raise errors.OutcomeUnknownError(
                f"the stream ended after {self.offset} tokens and could not "
                f"be resumed ({error}); send the request again"
            ) from error

    def _error_before_output(
        self, error: public_errors.EngineError
    ) -> errors.DispatchError:
        refused = isinstance(error, public_errors.EngineRefusedError)
        unreachable = isinstance(error, public_errors.EngineUnreachableError)
        first = self.connections == 1
        self.engine_failed = not (first and refused)
        self.leaving = isinstance(error, public_errors.EngineLeavingError)
        if isinstance(error, public_errors.EngineRefusedError):
            self.pause = error.pause
        if first and (refused or unreachable):
            self.started = False
            return errors.NotRunError(
                f"the engine did not accept the request: {error}"
            )
        return errors.OutcomeUnknownError(
            f"the stream failed before its first token: {error}"
        )

    async def _connection(
        self, engine: ports.Engine
    ) -> AsyncGenerator[bytes, None]:
        """Reads one connection from the current offset to the end marker."""
        stream = engine.open_stream(self._engine_request())
        self.started = True
        self.connections += 1
        resumed_at = self.offset
        buffered: collections.deque[bytes] = collections.deque()
        buffered_bytes = 0
        try:
            while True:
                chunk = await self._next_chunk(stream)
                if chunk.end:
                    break
                if self._is_duplicate(chunk, resumed_at):
                    continue
                self._check_missing_tokens(chunk)
                buffered.append(chunk.data)
                if not self.offset:
                    buffered_bytes += len(chunk.data)
                self._check_buffer(buffered_bytes)
                await self._advance(chunk)
                # Events before the first token are buffered: until that
                # token the request can still be retried on another engine.
                while buffered and self.offset:
                    self.last_data = buffered.popleft()
                    yield self.last_data
        finally:
            await _close(stream)
        await injection.reach(injection.Step.END)
        for data in buffered:
            yield data

    def _engine_request(self) -> models.EngineRequest:
        request = self.request
        return models.EngineRequest(
            request_id=request.request_id,
            adapter=request.adapter,
            path=request.path,
            body=request.body,
            token=self.grants.token_for_resume(self.grant),
            priority=request.priority,
            deadline=self._time_left(),
            offset=self.offset,
        )

    def _time_left(self) -> datetime.timedelta:
        remaining_s = self.request.end_by - self.clock.monotonic()
        bounded = min(remaining_s, datetime.timedelta(days=1).total_seconds())
        return datetime.timedelta(seconds=max(bounded, 0.0))

    async def _next_chunk(
        self, stream: AsyncIterator[models.StreamChunk]
    ) -> models.StreamChunk:
        time_left = self._time_left()
        if not time_left:
            raise dispatch_errors.DeadlinePassedError(
                "the deadline passed before the answer was complete; allow "
                "more time or request fewer tokens"
            )
        max_silence = self.request.max_silence
        if self.offset == 0:
            max_silence *= FIRST_TOKEN_TIMEOUT_FACTOR
        try:
            async with asyncio.timeout(
                min(max_silence, time_left).total_seconds()
            ):
                chunk = await anext(stream)
        except TimeoutError as error:
            raise public_errors.StreamBrokenError(
                "the stream timed out waiting for the next chunk",
                offset=self.offset,
            ) from error
        except StopAsyncIteration as error:
            raise public_errors.StreamBrokenError(
                "the stream ended without its end marker", offset=self.offset
            ) from error
        if chunk.request_id != self.request.request_id:
            raise public_errors.ForeignChunkError(
                f"received a chunk of another request: {chunk.request_id!r}"
            )
        if chunk.end and chunk.offset > self.offset:
            raise public_errors.StreamBrokenError(
                "tokens before the end marker are missing", offset=self.offset
            )
        return chunk

    def _is_duplicate(self, chunk: models.StreamChunk, resumed_at: int) -> bool:
        """Returns whether a resumed stream repeats a forwarded event."""
        if chunk.offset < self.offset:
            return True
        if resumed_at == 0 or chunk.offset > resumed_at:
            return False
        return chunk.data == self.last_data or _has_token(chunk.data)

    def _check_buffer(self, size: int) -> None:
        if size > MAX_BYTES_BEFORE_TOKEN:
            raise public_errors.StreamBrokenError(
                f"the engine sent more than {MAX_BYTES_BEFORE_TOKEN} bytes "
                "before the first token",
                offset=self.offset,
            )

    def _check_missing_tokens(self, chunk: models.StreamChunk) -> None:
        tokens = chunk.offset - self.offset
        if tokens > 1 and tokens != _token_count(chunk.data):
            raise public_errors.StreamBrokenError(
                f"tokens {self.offset} to {chunk.offset} are missing",
                offset=self.offset,
            )

    async def _advance(self, chunk: models.StreamChunk) -> None:
        if chunk.offset == self.offset:
            return
        first = self.offset == 0
        if first:
            await injection.reach(injection.Step.FIRST_TOKEN)
        else:
            await injection.reach(injection.Step.MID_STREAM)
        self.offset = chunk.offset
        self.last_token_at = self.clock.monotonic()
        if first:
            self.first_token_at = self.last_token_at


async def _close(stream: AsyncIterator[models.StreamChunk]) -> None:
    close = getattr(stream, "aclose", None)
    if close is not None:
        await close()


def _token_count(data: bytes) -> int:
    """Returns the number of tokens in an event, 1 without a `tokens` key."""
    try:
        return int(json.loads(data).get("tokens", 1))
    except (ValueError, TypeError, AttributeError):
        return 1


def _has_token(data: bytes) -> bool:
    """Returns whether an event has text, not only a finish reason or usage."""
    try:
        choices = json.loads(data).get("choices", [])
        return any(
            choice.get("text") or choice.get("delta", {}).get("content")
            for choice in choices
        )
    except (ValueError, AttributeError):
        return True
