"""Sends a request to one engine once and classifies the outcome."""

import asyncio
import collections
from collections.abc import AsyncGenerator, Awaitable, Callable
import contextlib
import dataclasses
import datetime
import enum
import functools
from typing import TypeAlias, TypeVar, final

import h11

from _dogwoodhinge.fleet import announcements as announcements_lib
from _dogwoodhinge.fleet import answers as answers_lib
from _dogwoodhinge.fleet import engines as engines_lib
from _dogwoodhinge.fleet import health as health_lib
from _dogwoodhinge.gateway import codec as codec_lib
from _dogwoodhinge.gateway import errors
from _dogwoodhinge.gateway import requests
from _dogwoodhinge.http1 import connection as connection_lib
from _dogwoodhinge.http1 import errors as http_errors
from _dogwoodhinge.http1 import memory_budget
from _dogwoodhinge.http1 import pool as pool_lib

_T = TypeVar("_T")

# Secures another engine for the request on a connection that receives no data.
# Returns False if that fails, or if data has arrived meanwhile.
PrepareSwitch: TypeAlias = Callable[
    [connection_lib.Connection], Awaitable[bool]
]

# Responses to earlier requests that are skipped on one connection before the
# outcome counts as unknown.
MAX_STALE_RESPONSES = 3

# The body of a rejection is read up to this size and time, so that its
# connection can be used again.
MAX_REJECTION_BODY_BYTES = 64 * 1024
REJECTION_BODY_TIMEOUT = datetime.timedelta(milliseconds=200)

SILENCE_CHECK_INTERVAL = datetime.timedelta(milliseconds=150)

# Time between two attempts to find another engine for a request whose engine
# does not respond; each of them may ask the leader for an adapter slot.
SWITCH_RETRY_INTERVAL = datetime.timedelta(milliseconds=500)

# A timer that fires later than this shows that this node itself was held up. It
# then reads for RECHECK_TIMEOUT what has arrived in the meantime.
MAX_TIMER_DELAY = datetime.timedelta(milliseconds=200)
RECHECK_TIMEOUT = datetime.timedelta(milliseconds=150)

# An engine that sent data within this time is up. A failed connect then does
# not count as an unreachable engine.
RECENT_ACTIVITY_WINDOW = datetime.timedelta(milliseconds=500)

# Statuses that tell the caller that the request did not run. A response with
# one of them is not forwarded unless the engine confirms it in a header.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})

# Errors are answered sooner than what they stand for, and show no pace.
FIRST_ERROR_STATUS = 400

STATUSES_WITHOUT_BODY = frozenset({204, 304})

# Ends of a connection that come from the engine's host.
ENDED_BY_ENGINE = frozenset({"peer_closed", "peer_reset"})


class IncompleteResponseError(errors.OutcomeUnknownError):
    """A response ended before it was complete."""

    engine_end = "broke_off"


class SilentEngineError(errors.OutcomeUnknownError):
    """An engine sends no data on any of its connections."""

    engine_end = "left_silent"


class LostResponseError(errors.OutcomeUnknownError):
    """An engine has responded to later requests, but not to this one."""

    engine_end = "left_overtaken"


def record_failure(
    engine: engines_lib.Engine,
    error: errors.GatewayError,
    now: float,
    *,
    needs_adapter: bool = False,
) -> None:
    """Records the failure of a request in the health of its engine.

    Failed connects are recorded by `Sender.open`. It is no failure of an
    engine if the adapter that the request needs is not loaded.
    """
    if isinstance(error, errors.NotRunError):
        if error.misdirected:
            if not needs_adapter:
                engine.health.record_failure(
                    health_lib.Failure.WRONG_ENGINE, now
                )
        elif not error.unreachable:
            engine.health.record_failure(health_lib.Failure.OVERLOADED, now)
    elif isinstance(error, SilentEngineError):
        engine.health.record_failure(health_lib.Failure.NO_RESPONSE, now)
    elif isinstance(error, LostResponseError):
        engine.health.record_failure(health_lib.Failure.LOST_RESPONSE, now)
    else:
        engine.health.record_failure(health_lib.Failure.BROKEN_RESPONSE, now)


def _check_takes_work(engine: engines_lib.Engine, now: float) -> None:
    """Rejects an engine that has left or paused since it was selected.

    Raises:
        NotRunError: the engine accepts no more requests, or none for now.
    """
    if not engine.accepts_requests:
        raise errors.NotRunError(
            f"{engine.engine_id} left before the request was sent",
            unreachable=True,
            sent=False,
        )
    others = max(0, engine.running - 1)
    if engine.pause.opens_at(others, now) > now:
        raise errors.NotRunError(
            f"{engine.engine_id} wants no requests now", paused=True, sent=False
        )


def _answers_request(
    head: requests.ResponseHead,
    request: requests.Request,
    connection: connection_lib.Connection,
    *,
    repeatable: bool,
) -> bool | None:
    """Returns whether a response belongs to the request sent last.

    Faulty engines send a response once more, late, on a connection that is in
    use again.

    Returns:
        None if that is unknown: a rejection without an id, on a connection
        that has carried an earlier request. It counts as the response if the
        request may run more than once.
    """
    if head.request_id is not None:
        return head.request_id == request.request_id
    if not (head.not_run or head.misdirected):
        return False
    return True if repeatable or connection.message_number == 1 else None


def _is_from(
    engine: engines_lib.Engine,
    request: requests.Request,
    head: requests.ResponseHead,
) -> bool:
    """Returns whether a response comes from the engine it was sent to.

    A misdirected request has reached another engine at the same address,
    unless the right engine lacks the adapter.
    """
    if head.responder is not None:
        return head.responder == engine.engine_id
    needs_adapter = request.adapter is not None and request.adapter.adapter
    return not head.misdirected or bool(needs_adapter)


async def _read_within(
    timeout: float | None,
    connection: connection_lib.Connection,
    read: Callable[[], Awaitable[_T]],
) -> _T:
    """Reads from an engine, for longer if this node itself was held up.

    Args:
        timeout: seconds to wait; None for no limit.
        connection: the connection that is read.
        read: reads the next message part; may be cancelled and called again.

    Raises:
        TimeoutError: nothing arrived in time.
    """
    if timeout is None:
        return await read()
    loop = asyncio.get_running_loop()
    due = loop.time() + timeout
    try:
        async with asyncio.timeout_at(due):
            return await read()
    except TimeoutError:
        on_time = loop.time() < due + MAX_TIMER_DELAY.total_seconds()
        if on_time and not connection.readable:
            raise
    async with asyncio.timeout(RECHECK_TIMEOUT.total_seconds()):
        return await read()


async def _data_arrives_first(
    connection: connection_lib.Connection, prepare_switch: PrepareSwitch
) -> bool:
    """Waits for data or until a switch to another engine is prepared.

    Returns:
        Whether to go on reading from this connection.
    """
    prepared = asyncio.ensure_future(prepare_switch(connection))
    readable = asyncio.ensure_future(connection.wait_readable())
    try:
        await asyncio.wait(
            {prepared, readable}, return_when=asyncio.FIRST_COMPLETED
        )
        return not (prepared.done() and prepared.result())
    finally:
        for task in (prepared, readable):
            task.cancel()
        await asyncio.gather(prepared, readable, return_exceptions=True)


class BodyFraming(enum.StrEnum):
    """What marks the end of a response's body."""

    NONE = "none"
    LENGTH = "length"
    CHUNKS = "chunks"
    CLOSE = "close"


class ResponseEnd(enum.StrEnum):
    """How an engine's response ended, for logs and metrics."""

    COMPLETE = "complete"
    BROKE_OFF = "broke_off"
    IN_EVENT = "in_event"
    LEFT = "left"


def _body_framing(head: h11.Response) -> BodyFraming:
    names = {name for name, _ in head.headers}
    if head.status_code in STATUSES_WITHOUT_BODY:
        return BodyFraming.NONE
    if b"transfer-encoding" in names:
        return BodyFraming.CHUNKS
    if b"content-length" in names:
        return BodyFraming.LENGTH
    return BodyFraming.CLOSE


@final
class OpenResponse:
    """An engine's response whose head has arrived.

    Attributes:
        complete: whether the body has ended as its framing says.
        end: how the response has ended; `LEFT` until it has.
    """

    def __init__(
        self,
        *,
        head: requests.ResponseHead,
        framing: BodyFraming,
        engine: engines_lib.Engine,
        exchange: answers_lib.Exchange,
        pool: pool_lib.ConnectionPool,
        connection: connection_lib.Connection,
        ends: collections.Counter[tuple[BodyFraming, ResponseEnd]],
    ) -> None:
        self.head = head
        self.framing = framing
        self.engine = engine
        self.exchange = exchange
        self.pool = pool
        self.connection = connection
        self.complete = False
        self.end = ResponseEnd.LEFT
        self.ends = ends

    async def chunks(
        self,
        *,
        silence_timeout: datetime.timedelta | None = None,
        prepare_switch: PrepareSwitch | None = None,
    ) -> AsyncGenerator[bytes, None]:
        """Yields the body as it arrives.

        Args:
            silence_timeout: longest time without data; None for no limit.
            prepare_switch: called after the timeout, while data is still
                awaited; returns whether another engine is ready for the
                request. None if the response ends at the timeout.

        Raises:
            IncompleteResponseError: the response ended early.
            SilentEngineError: no data arrived within the timeout.
        """
        loop = asyncio.get_running_loop()
        limit = None
        if silence_timeout is not None:
            limit = silence_timeout.total_seconds()
        while True:
            try:
                event = await _read_within(
                    limit, self.connection, self.connection.next_event
                )
            except TimeoutError as error:
                if prepare_switch is not None and await _data_arrives_first(
                    self.connection, prepare_switch
                ):
                    continue
                raise SilentEngineError(
                    f"no data from the engine for {limit} s"
                ) from error
            except http_errors.HttpError as error:
                self.end = ResponseEnd.BROKE_OFF
                raise IncompleteResponseError(str(error)) from error
            self.engine.answers.record_data(loop.time())
            if isinstance(event, h11.Data):
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self.complete = True
                self.end = ResponseEnd.COMPLETE
                return
            else:
                self.end = ResponseEnd.BROKE_OFF
                raise IncompleteResponseError("the response ended early")

    @property
    def ended_by_engine(self) -> bool:
        """True if the engine has closed or reset the connection."""
        return self.connection.end_reason in ENDED_BY_ENGINE

    def close(self) -> None:
        """Returns the connection to the pool if the response is complete."""
        self.ends[self.framing, self.end] += 1
        now = asyncio.get_running_loop().time()
        self.engine.answers.end(self.exchange, now)
        if self.complete and self.head.status < FIRST_ERROR_STATUS:
            seconds = now - self.exchange.sent_at
            self.engine.pace.service.record_run(seconds)
        if self.complete and not self.head.closing:
            if self.head.keep_alive_seconds is not None:
                self.pool.set_idle_limit(self.head.keep_alive_seconds)
            self.pool.release(self.connection)
        else:
            self.pool.discard(self.connection)


def _connect_failure(
    engine: engines_lib.Engine, pool: pool_lib.ConnectionPool, now: float
) -> health_lib.Failure:
    """Classifies a failed connect as a lost packet or an engine down."""
    silence = engine.answers.quiet_seconds(now)
    if pool.in_use and silence < RECENT_ACTIVITY_WINDOW.total_seconds():
        return health_lib.Failure.CONNECT_FAILED
    return health_lib.Failure.UNREACHABLE


def _record_pace(
    engine: engines_lib.Engine, exchange: answers_lib.Exchange, now: float
) -> None:
    seconds = now - exchange.sent_at
    if exchange.whole:
        engine.pace.service.record_whole(seconds)
    else:
        engine.pace.record_answer(exchange.unread_tokens, seconds, now)


def _switch_reason(
    engine: engines_lib.Engine, exchange: answers_lib.Exchange, now: float
) -> errors.OutcomeUnknownError | None:
    """Returns the error with which to stop waiting, None to go on."""
    if engine.answers.is_silent(exchange, now):
        return SilentEngineError("no data on any connection to the engine")
    if engine.answers.is_lost(exchange, now):
        return LostResponseError("responses to later requests have arrived")
    return None


@final
class Sender:
    """Sends requests to engines and to endpoints of plain services.

    Attributes:
        response_ends: number of responses by their framing and end.
        stale_responses: number of responses that belonged to an earlier
            request on their connection.
    """

    def __init__(
        self,
        *,
        codec: codec_lib.Codec,
        connections_per_node: Callable[[str], int],
        announcements: announcements_lib.Announcements,
        memory: memory_budget.MemoryBudget | None = None,
    ) -> None:
        self.memory = memory
        self.response_ends: collections.Counter[
            tuple[BodyFraming, ResponseEnd]
        ] = collections.Counter()
        self.stale_responses = 0
        self.codec = codec
        self.connections_per_node = connections_per_node
        self.announcements = announcements
        self.pools: dict[tuple[str, int], pool_lib.ConnectionPool] = {}

    async def open(
        self,
        engine: engines_lib.Engine,
        request: requests.Request,
        parameters: requests.DispatchParameters,
        *,
        repeatable: bool,
        whole: bool = False,
        prepare_switch: PrepareSwitch | None = None,
        record_send: Callable[[], None] = lambda: None,
    ) -> OpenResponse:
        """Sends a request and reads the head of the response.

        Args:
            engine: the engine to send it to.
            request: the caller's request.
            parameters: the parameters for the engine.
            repeatable: whether the request may run more than once.
            whole: whether a generation is answered in one piece, so that the
                head of the response comes after its last token.
            prepare_switch: called when the engine is silent or the response
                counts as lost, while the response is still awaited; returns
                whether another engine is ready for the request. None to wait
                for the response without a limit.
            record_send: called when a connection is there and the request is
                about to be sent on it.

        Raises:
            NotRunError: the engine did not run the request.
            OutcomeUnknownError: the request may have run.
        """
        loop = asyncio.get_running_loop()
        now = loop.time()
        _check_takes_work(engine, now)
        pool = self._pool(engine)
        try:
            connection = await pool.acquire(
                fresh_only=not repeatable, request_id=request.request_id
            )
        except http_errors.PoolFullError as error:
            raise errors.NotRunError(str(error), unreachable=True) from error
        except http_errors.ConnectError as error:
            engine.health.record_failure(
                _connect_failure(engine, pool, loop.time()), now
            )
            raise errors.NotRunError(str(error), unreachable=True) from error
        unread_tokens = engine.work.unread_tokens
        exchange = engine.answers.begin(
            loop.time(),
            backlog=engine.pace.reading_seconds(unread_tokens, loop.time()),
            usual_seconds=engine.pace.service.whole_seconds
            if whole
            else engine.pace.service.base_seconds,
            priority=parameters.priority or 0,
            unread_tokens=unread_tokens,
            whole=whole,
        )
        try:
            _check_takes_work(engine, loop.time())
            record_send()
            return await self._exchange(
                engine,
                exchange,
                pool,
                connection,
                request,
                parameters,
                prepare_switch,
                repeatable=repeatable,
            )
        except BaseException as error:
            engine.answers.end(exchange, loop.time())
            if isinstance(error, errors.OutcomeUnknownError):
                error.ended_by_engine = connection.end_reason in ENDED_BY_ENGINE
            if connection in pool.in_use:
                pool.discard(connection)
            raise

    def find_pool(
        self, engine: engines_lib.Engine
    ) -> pool_lib.ConnectionPool | None:
        """Returns the connections to an engine; None if it is gone."""
        return self.pools.get(engine.entry.incarnation)

    def remove_engine(self, engine: engines_lib.Engine) -> None:
        """Closes the idle connections to an engine that is gone."""
        pool = self.pools.pop(engine.entry.incarnation, None)
        if pool is not None:
            pool.close()

    def _pool(self, engine: engines_lib.Engine) -> pool_lib.ConnectionPool:
        entry = engine.entry
        pool = self.pools.get(entry.incarnation)
        if pool is None:
            pool = pool_lib.ConnectionPool(
                host=entry.host, port=entry.port, limit=1, memory=self.memory
            )
            self.pools[entry.incarnation] = pool
        pool.limit = self.connections_per_node(entry.service)
        return pool

    async def _exchange(
        self,
        engine: engines_lib.Engine,
        exchange: answers_lib.Exchange,
        pool: pool_lib.ConnectionPool,
        connection: connection_lib.Connection,
        request: requests.Request,
        parameters: requests.DispatchParameters,
        prepare_switch: PrepareSwitch | None,
        *,
        repeatable: bool,
    ) -> OpenResponse:
        self._send(connection, request, parameters)
        for _ in range(MAX_STALE_RESPONSES):
            raw_head = await self._read_head(
                engine, exchange, connection, prepare_switch
            )
            decoded = self.codec.decode_response(raw_head)
            response = OpenResponse(
                head=decoded,
                framing=_body_framing(raw_head),
                engine=engine,
                exchange=exchange,
                pool=pool,
                connection=connection,
                ends=self.response_ends,
            )
            answers = _answers_request(
                decoded, request, connection, repeatable=repeatable
            )
            if answers:
                engine.answers.record_head(exchange)
            self._apply_announcement(engine, request, decoded, answers)
            if answers is None:
                raise errors.OutcomeUnknownError(
                    f"{engine.engine_id} answered {decoded.status} without a "
                    "request id on a used connection"
                )
            if answers and (decoded.not_run or decoded.misdirected):
                connection.rejected_ids.add(request.request_id)
                await self._drain_rejection(response)
                end = "" if response.complete else " with an incomplete body"
                raise errors.NotRunError(
                    f"{engine.engine_id} answered {decoded.status}{end}",
                    misdirected=decoded.misdirected,
                    paused=engine.pause.is_active(
                        asyncio.get_running_loop().time()
                    ),
                )
            if answers:
                if decoded.status < FIRST_ERROR_STATUS:
                    _record_pace(
                        engine, exchange, asyncio.get_running_loop().time()
                    )
                return response
            self.stale_responses += 1
            await self._drain_response(response, prepare_switch)
            if not connection.expect_next_response(request.raw.method):
                break
        raise errors.OutcomeUnknownError(
            "the engine responded to another request"
        )

    def _send(
        self,
        connection: connection_lib.Connection,
        request: requests.Request,
        parameters: requests.DispatchParameters,
    ) -> None:
        """Queues a request for an engine, and keeps nothing of it.

        Raises:
            NotRunError: the connection has ended.
        """
        events: list[h11.Event] = [
            h11.Request(
                method=request.raw.method,
                target=request.raw.target,
                headers=self.codec.encode_dispatch(request, parameters),
            )
        ]
        if request.raw.body:
            events.append(h11.Data(data=request.raw.body))
        events.append(h11.EndOfMessage())
        try:
            connection.send(*events)
        except http_errors.HttpError as error:
            raise errors.NotRunError(str(error), unreachable=True) from error

    def _apply_announcement(
        self,
        engine: engines_lib.Engine,
        request: requests.Request,
        head: requests.ResponseHead,
        answers: bool | None,
    ) -> None:
        if not _is_from(engine, request, head):
            return
        announcement = head.announcement
        if not answers:
            # A late copy of a rejection says nothing about the load now, but
            # an engine that was leaving then still is.
            announcement = dataclasses.replace(
                announcement, pause=datetime.timedelta(0)
            )
        self.announcements.apply(
            engine.entry,
            announcement,
            source=announcements_lib.Source.RESPONSE,
        )

    async def _read_head(
        self,
        engine: engines_lib.Engine,
        exchange: answers_lib.Exchange,
        connection: connection_lib.Connection,
        prepare_switch: PrepareSwitch | None,
    ) -> h11.Response:
        loop = asyncio.get_running_loop()
        check_interval = (
            None
            if prepare_switch is None
            else SILENCE_CHECK_INTERVAL.total_seconds()
        )
        while True:
            try:
                head = await _read_within(
                    check_interval,
                    connection,
                    functools.partial(self._next_response, connection),
                )
            except TimeoutError as error:
                reason = _switch_reason(engine, exchange, loop.time())
                if reason is None or prepare_switch is None:
                    continue
                if await _data_arrives_first(connection, prepare_switch):
                    check_interval = SWITCH_RETRY_INTERVAL.total_seconds()
                    continue
                raise reason from error
            engine.answers.record_data(loop.time())
            return head

    async def _next_response(
        self, connection: connection_lib.Connection
    ) -> h11.Response:
        try:
            while True:
                event = await connection.next_event()
                if isinstance(event, h11.Response):
                    return event
                if not isinstance(event, h11.InformationalResponse):
                    raise errors.OutcomeUnknownError(
                        "the connection closed before the response"
                    )
        except http_errors.HttpError as error:
            raise errors.OutcomeUnknownError(str(error)) from error

    async def _drain_rejection(self, response: OpenResponse) -> None:
        limit = REJECTION_BODY_TIMEOUT.total_seconds()
        size = 0
        try:
            async with (
                asyncio.timeout(limit),
                contextlib.aclosing(response.chunks()) as chunks,
            ):
                async for chunk in chunks:
                    size += len(chunk)
                    if size > MAX_REJECTION_BODY_BYTES:
                        break
        except (errors.OutcomeUnknownError, TimeoutError):
            # The head with the rejection is valid, but the connection cannot
            # be used again.
            response.complete = False
        response.close()

    async def _drain_response(
        self,
        response: OpenResponse,
        prepare_switch: PrepareSwitch | None,
    ) -> None:
        """Reads a response to another request; see `open` for the arguments."""
        limit = None if prepare_switch is None else answers_lib.SILENCE_TIMEOUT
        async for _ in response.chunks(
            silence_timeout=limit, prepare_switch=prepare_switch
        ):
            pass
