"""Sends a request to one engine once, and tells apart what came of it."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
import datetime
from typing import final

import h11

from _dogwoodhinge.fleet import choice
from _dogwoodhinge.fleet import engines as engines_lib
from _dogwoodhinge.fleet import health as health_lib
from _dogwoodhinge.gateway import codec as codec_lib
from _dogwoodhinge.gateway import errors
from _dogwoodhinge.gateway import requests
from _dogwoodhinge.http1 import connection as connection_lib
from _dogwoodhinge.http1 import errors as http_errors
from _dogwoodhinge.http1 import pool as pool_lib

# Late answers to other requests that are read past on one connection.
MAX_FOREIGN_ANSWERS = 3

# An engine whose requests bring nothing for this long, though all of them are
# under way, is taken to be silent; at full load a running request brings an
# event every 60 ms.
SILENCE_LIMIT = datetime.timedelta(milliseconds=700)
SILENCE_CHECK = datetime.timedelta(milliseconds=150)

# An engine that brought bytes within this time is up; a connection that could
# not be opened says little then.
ALIVE_WITHIN = datetime.timedelta(milliseconds=500)

# A request is taken to have lost its answer when requests sent so much later
# to the same engine have been answered, and it has waited for so long itself.
OVERTAKEN_BY = datetime.timedelta(milliseconds=250)
LOST_AFTER = datetime.timedelta(milliseconds=700)

# Statuses that promise that nothing has run; an engine's answer with one of
# them, but without its own word for it, must not be passed on.
PROMISING_STATUSES = frozenset({408, 421, 429, 503})


class BrokenAnswerError(errors.OutcomeUnknownError):
    """An answer ended before its end."""


class SilentEngineError(errors.OutcomeUnknownError):
    """An engine brings nothing on any of its connections."""


class LostAnswerError(errors.OutcomeUnknownError):
    """An engine has answered later requests, but not this one."""


def note_failure(
    engine: engines_lib.Engine,
    error: errors.GatewayError,
    now: float,
    *,
    needs_adapter: bool = False,
) -> None:
    """Judges an engine by how a request to it failed.

    Failed connects are judged where they are made. An engine without the
    adapter that a request needs has not failed.
    """
    if isinstance(error, errors.NotRunError):
        if error.misdirected:
            if not needs_adapter:
                engine.health.note_failure(health_lib.Failure.ANOTHER, now)
        elif not error.unreachable:
            engine.health.note_failure(health_lib.Failure.SHED, now)
    elif isinstance(error, SilentEngineError):
        engine.health.note_failure(health_lib.Failure.SILENT, now)
    elif isinstance(error, LostAnswerError):
        engine.health.note_failure(health_lib.Failure.LOST_ANSWER, now)
    else:
        engine.health.note_failure(health_lib.Failure.BROKEN_ANSWER, now)


def _check_takes_work(engine: engines_lib.Engine) -> None:
    """Rejects an engine that left since it was chosen.

    Raises:
        NotRunError: it takes no more work.
    """
    if not engine.takes_work:
        raise errors.NotRunError(
            f"{engine.engine_id} left before it was asked", unreachable=True
        )


@final
class Line:
    """The connections to one incarnation of an engine.

    Attributes:
        last_byte_at: loop time at which any of them brought bytes.
        answered: by urgency, the loop time at which the latest request that
            has been answered was sent.
    """

    def __init__(self, pool: pool_lib.ConnectionPool, now: float) -> None:
        self.pool = pool
        self.last_byte_at = now
        self.answered: dict[int, float] = {}

    def note_answered(self, urgency: int, sent_at: float) -> None:
        """Notes that a request was answered."""
        latest = self.answered.get(urgency, sent_at)
        self.answered[urgency] = max(latest, sent_at)

    def overtaken_by(self, urgency: int, sent_at: float) -> float:
        """Returns how much later a request was sent that has been answered.

        Only requests that are no more urgent count: those that are go first.
        """
        later = (
            answered - sent_at
            for level, answered in self.answered.items()
            if level >= urgency
        )
        return max(later, default=0.0)


@final
class OpenAnswer:
    """An engine's answer whose head has arrived."""

    def __init__(
        self,
        *,
        head: requests.AnswerHead,
        line: Line,
        connection: connection_lib.Connection,
    ) -> None:
        self.head = head
        self.line = line
        self.connection = connection
        self.complete = False

    async def chunks(
        self,
        *,
        silence_limit: datetime.timedelta | None = None,
        may_leave: Callable[[], Awaitable[bool]] | None = None,
    ) -> AsyncIterator[bytes]:
        """Yields the body as it arrives.

        Args:
            silence_limit: the longest pause; None for any.
            may_leave: asked after a pause, while the engine is waited for;
                None when it may be left at once.

        Raises:
            BrokenAnswerError: it ended early.
            SilentEngineError: the pause was too long.
        """
        loop = asyncio.get_running_loop()
        limit = None
        if silence_limit is not None:
            limit = silence_limit.total_seconds()
        while True:
            try:
                async with asyncio.timeout(limit):
                    event = await self.connection.next_event()
            except TimeoutError as error:
                if may_leave is not None and await self._goes_on(may_leave()):
                    continue
                raise SilentEngineError("the engine fell silent") from error
            except http_errors.HttpError as error:
                raise BrokenAnswerError(str(error)) from error
            self.line.last_byte_at = loop.time()
            if isinstance(event, h11.Data):
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self.complete = True
                return
            else:
                raise BrokenAnswerError("the answer ended early")

    async def _goes_on(self, leaving: Awaitable[bool]) -> bool:
        """Waits for bytes, or for the word that the engine may be left."""
        asking = asyncio.ensure_future(leaving)
        reading = asyncio.ensure_future(self.connection.wait_readable())
        try:
            await asyncio.wait(
                {asking, reading}, return_when=asyncio.FIRST_COMPLETED
            )
            return reading.done() or not asking.result()
        finally:
            for task in (asking, reading):
                task.cancel()
            await asyncio.gather(asking, reading, return_exceptions=True)

    def close(self) -> None:
        """Keeps the connection if the answer was read whole."""
        if self.complete and not self.head.closing:
            if self.head.keep_alive_seconds is not None:
                self.line.pool.note_keep_alive(self.head.keep_alive_seconds)
            self.line.pool.release(self.connection)
        else:
            self.line.pool.discard(self.connection)


@final
class Sender:
    """Sends requests to engines and plain endpoints."""

    def __init__(
        self,
        *,
        codec: codec_lib.Codec,
        connections_per_node: Callable[[str], int],
    ) -> None:
        self.codec = codec
        self.connections_per_node = connections_per_node
        self.lines: dict[tuple[str, int], Line] = {}

    async def open(
        self,
        engine: engines_lib.Engine,
        request: requests.Request,
        demand: requests.Demand,
        *,
        repeatable: bool,
        may_leave: Callable[[], bool] | None = None,
    ) -> OpenAnswer:
        """Sends a request and reads the head of the answer.

        Args:
            engine: where to.
            request: the caller's request.
            demand: what is asked of the engine.
            repeatable: it may run more than once.
            may_leave: asked when the engine brings nothing on any connection;
                without it, the engine's answer is waited for.

        Raises:
            NotRunError: the engine did not run it.
            OutcomeUnknownError: it may have run.
        """
        now = asyncio.get_running_loop().time()
        _check_takes_work(engine)
        line = self._line(engine, now)
        try:
            connection = await line.pool.acquire(fresh_only=not repeatable)
        except http_errors.PoolFullError as error:
            raise errors.NotRunError(str(error)) from error
        except http_errors.ConnectError as error:
            engine.health.note_failure(self._connect_failure(line), now)
            raise errors.NotRunError(str(error), unreachable=True) from error
        try:
            _check_takes_work(engine)
            return await self._exchange(
                engine, line, connection, request, demand, may_leave
            )
        except BaseException:
            if connection in line.pool.in_use:
                line.pool.discard(connection)
            raise

    def _connect_failure(self, line: Line) -> health_lib.Failure:
        """Judges a failed connect: a lost packet, or an engine that is down."""
        silence = asyncio.get_running_loop().time() - line.last_byte_at
        if line.pool.in_use and silence < ALIVE_WITHIN.total_seconds():
            return health_lib.Failure.UNCONNECTED
        return health_lib.Failure.UNREACHABLE

    def forget_engine(self, engine: engines_lib.Engine) -> None:
        """Closes the kept connections to an engine that is gone."""
        line = self.lines.pop(engine.entry.incarnation, None)
        if line is not None:
            line.pool.close()

    def _line(self, engine: engines_lib.Engine, now: float) -> Line:
        entry = engine.entry
        line = self.lines.get(entry.incarnation)
        if line is None:
            pool = pool_lib.ConnectionPool(
                host=entry.host, port=entry.port, limit=1
            )
            line = Line(pool, now)
            self.lines[entry.incarnation] = line
        line.pool.limit = self.connections_per_node(entry.service)
        if not line.pool.in_use:
            line.last_byte_at = now
        return line

    async def _exchange(
        self,
        engine: engines_lib.Engine,
        line: Line,
        connection: connection_lib.Connection,
        request: requests.Request,
        demand: requests.Demand,
        may_leave: Callable[[], bool] | None,
    ) -> OpenAnswer:
        head = h11.Request(
            method=request.raw.method,
            target=request.raw.target,
            headers=self.codec.encode_demand(request, demand),
        )
        events: list[h11.Event] = [head]
        if request.raw.body:
            events.append(h11.Data(data=request.raw.body))
        events.append(h11.EndOfMessage())
        try:
            connection.send(*events)
        except http_errors.HttpError as error:
            raise errors.NotRunError(str(error), unreachable=True) from error
        for _ in range(MAX_FOREIGN_ANSWERS):
            answer = await self._read_head(
                engine, line, connection, demand, may_leave
            )
            decoded = self.codec.decode_answer(answer)
            opened = OpenAnswer(head=decoded, line=line, connection=connection)
            if decoded.not_run or decoded.misdirected:
                await self._end_refused(opened)
                raise errors.NotRunError(
                    f"{engine.engine_id} answered {decoded.status}",
                    misdirected=decoded.misdirected,
                )
            if decoded.request_id == request.request_id:
                return opened
            await self._read_past(opened)
            if not connection.expect_next_answer(head):
                break
        raise errors.OutcomeUnknownError("the engine answered another request")

    async def _read_head(
        self,
        engine: engines_lib.Engine,
        line: Line,
        connection: connection_lib.Connection,
        demand: requests.Demand,
        may_leave: Callable[[], bool] | None,
    ) -> h11.Response:
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        urgency = demand.urgency or 0
        pause = None if may_leave is None else SILENCE_CHECK.total_seconds()
        while True:
            try:
                async with asyncio.timeout(pause):
                    head = await self._next_response(connection)
            except TimeoutError as error:
                reason = self._reason_to_leave(engine, line, urgency, sent_at)
                if reason is None or may_leave is None or not may_leave():
                    continue
                raise reason from error
            line.last_byte_at = loop.time()
            line.note_answered(urgency, sent_at)
            return head

    def _reason_to_leave(
        self,
        engine: engines_lib.Engine,
        line: Line,
        urgency: int,
        sent_at: float,
    ) -> errors.OutcomeUnknownError | None:
        """Tells why an answer need not be waited for any longer."""
        now = asyncio.get_running_loop().time()
        backlog = choice.backlog_seconds(engine.work)
        silence = now - line.last_byte_at
        if silence > SILENCE_LIMIT.total_seconds() + backlog:
            return SilentEngineError("the engine is silent")
        overtaken = line.overtaken_by(urgency, sent_at)
        if (
            overtaken > OVERTAKEN_BY.total_seconds()
            and now - sent_at > LOST_AFTER.total_seconds() + backlog
        ):
            return LostAnswerError("later requests have been answered")
        return None

    async def _next_response(
        self, connection: connection_lib.Connection
    ) -> h11.Response:
        try:
            while True:
                event = await connection.next_event()
                if isinstance(event, h11.Response):
                    return event
                if not isinstance(event, h11.InformationalResponse):
                    raise errors.OutcomeUnknownError("no answer came")
        except http_errors.HttpError as error:
            raise errors.OutcomeUnknownError(str(error)) from error

    async def _end_refused(self, opened: OpenAnswer) -> None:
        try:
            async for _ in opened.chunks(silence_limit=SILENCE_LIMIT):
                pass
        except errors.OutcomeUnknownError:
            # The refusal itself was complete; only its connection is spoilt.
            opened.complete = False
        opened.close()

    async def _read_past(self, opened: OpenAnswer) -> None:
        async for _ in opened.chunks(silence_limit=SILENCE_LIMIT):
            pass
