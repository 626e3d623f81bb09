"""An HTTP/1.1 server for the connections of callers."""

import asyncio
import collections
from collections.abc import Awaitable, Callable
import dataclasses
import datetime
import traceback
from typing import final
import weakref

import h11

from _dogwoodhinge import event_log
from _dogwoodhinge.http1 import connection as connection_lib
from _dogwoodhinge.http1 import connection_watch
from _dogwoodhinge.http1 import errors
from _dogwoodhinge.http1 import headers as headers_lib
from _dogwoodhinge.http1 import memory_budget

Header = headers_lib.Header

# Used until the configuration with the operator's limits is loaded.
DEFAULT_HEAD_BYTES = 16 * 1024

# After a response that is sent before the end of the request body, the rest of
# the body is read and discarded, up to this size and time. Closing a connection
# with unread data resets it, and the caller could lose the response.
LINGER_BYTES = 256 * 1024
LINGER_TIMEOUT = datetime.timedelta(seconds=1)

# Longer paths are truncated in log lines.
MAX_LOGGED_PATH_BYTES = 100

# Callers send their first request as soon as they are connected. Connections
# that were accepted just before the listener closes are kept for this time.
FIRST_REQUEST_DELAY = datetime.timedelta(milliseconds=100)

# Connections that may wait to be accepted; as many may be accepted at once.
DEFAULT_BACKLOG = 512

# Limit for what is held for callers where the settings name no memory.
DEFAULT_HELD_BYTES = 96 * 1024 * 1024

# Sent with a refusal because too much is held: callers that are behind are
# given up first, so the next request finds room.
REFUSED_RETRY_SECONDS = 1


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Limits:
    """Size limits and timeouts for the requests of callers.

    Attributes:
        head_bytes: maximum size of the request line and the headers.
        body_bytes: maximum size of a body.
        head_timeout: time that a head may take, added to `idle_timeout`.
        idle_timeout: time between two requests, and between two parts of a
            body.
    """

    head_bytes: int = DEFAULT_HEAD_BYTES
    body_bytes: int = 4 * 1024 * 1024
    head_timeout: datetime.timedelta = datetime.timedelta(seconds=3)
    idle_timeout: datetime.timedelta = datetime.timedelta(seconds=15)


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RawRequest:
    """A request as received.

    Attributes:
        method: the method, as sent.
        target: path and query, as sent.
        headers: names and values, as sent and in order.
        body: the complete body, without transfer coding.
        received_at: loop time at which the head was read.
        caller_address: IP address that the connection comes from; empty if
            unknown.
    """

    method: bytes
    target: bytes
    headers: headers_lib.PackedHeaders
    body: bytes
    received_at: float
    caller_address: str = ""

    def header(self, name: bytes) -> bytes | None:
        """Returns the first value of a header; `name` is in lower case."""
        return self.headers.first(name)


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RequestHead:
    """The head of a request, without what its parser keeps of it."""

    method: bytes
    target: bytes
    headers: headers_lib.PackedHeaders

    @property
    def size(self) -> int:
        """Bytes that it takes."""
        return len(self.method) + len(self.target) + self.headers.size


@final
class Reply:
    """Sends the response to one request.

    Attributes:
        close_after: whether the response announces that the connection
            closes after it; decided when the head is queued.
        begun: whether the head has been queued.
        finished: whether the complete response has been queued.
        status: the status of the response; 0 before the head.
        sent_bytes: bytes of the body queued so far.
    """

    def __init__(
        self,
        connection: connection_lib.Connection,
        *,
        must_close: Callable[[], bool],
    ) -> None:
        self.connection = connection
        self.must_close = must_close
        self.close_after = False
        self.begun = False
        self.finished = False
        self.status = 0
        self.sent_bytes = 0
        self._ends_with_close = False

    def begin(
        self, status: int, headers: list[Header], *, reason: bytes = b""
    ) -> None:
        """Queues the head of the response."""
        self.close_after = self.must_close()
        if self.close_after:
            headers = [*headers, (b"Connection", b"close")]
        self.connection.send(
            h11.Response(status_code=status, headers=headers, reason=reason)
        )
        self.status = status
        self.begun = True
        # Without framing, only a close marks the end of the body.
        self._ends_with_close = (
            self.connection.parser.their_http_version == b"1.0"
            and not any(
                name.lower() == b"content-length" for name, _ in headers
            )
        )
        if self._ends_with_close:
            self.connection.set_reset_on_close(enabled=True)

    async def write(self, data: bytes) -> None:
        """Queues a part of the body and waits for buffer space."""
        self.sent_bytes += len(data)
        self.connection.send(h11.Data(data=data))
        await self.connection.drain()

    def finish(self) -> None:
        """Marks the body as complete."""
        self.connection.send(h11.EndOfMessage())
        self.finished = True
        if self._ends_with_close:
            self.connection.set_reset_on_close(enabled=False)

    def hold(self, size: int) -> None:
        """Counts a response that is in memory until the caller has read it.

        Args:
            size: its size in bytes.
        """
        self.connection.hold_response(size)

    def answer(
        self, status: int, headers: list[Header], body: bytes = b""
    ) -> None:
        """Queues a complete response."""
        self.begin(status, [*headers, (b"Content-Length", b"%d" % len(body))])
        if body:
            self.sent_bytes += len(body)
            self.connection.send(h11.Data(data=body))
        self.finish()

    def break_off(self) -> None:
        """Ends the connection, so that the response is not complete."""
        if self._ends_with_close:
            self.connection.reset_peer()
        else:
            self.connection.close()

    def connection_fields(self) -> dict[str, object]:
        """Returns the log fields of the caller's connection."""
        return _connection_fields(self.connection)


def _caller_address(connection: connection_lib.Connection) -> str:
    if connection.transport is None:
        return ""
    peer = connection.transport.get_extra_info("peername")
    return peer[0] if peer else ""


def _connection_fields(
    connection: connection_lib.Connection,
) -> dict[str, object]:
    """Returns the address, the request's number and the state."""
    peer = None
    if connection.transport is not None:
        peer = connection.transport.get_extra_info("peername")
    return {
        "caller": f"{peer[0]}:{peer[1]}" if peer else "",
        "connection_request": connection.message_number,
        "caller_connection": connection.end_reason or "open",
    }


def _pack_head(head: h11.Request) -> RequestHead:
    return RequestHead(
        method=bytes(head.method),
        target=bytes(head.target),
        headers=headers_lib.PackedHeaders(
            (bytes(name), bytes(value))
            for name, value in head.headers.raw_items()
        ),
    )


def _check_framing(head: RequestHead) -> None:
    """Rejects requests whose framing is ambiguous (request smuggling).

    Raises:
        ProtocolError: there are both Content-Length and Transfer-Encoding.
    """
    if (
        head.headers.first(b"content-length") is not None
        and head.headers.first(b"transfer-encoding") is not None
    ):
        raise errors.ProtocolError(
            "request has both Content-Length and Transfer-Encoding"
        )


async def _next_event(
    connection: connection_lib.Connection, deadline: float
) -> connection_lib.MessageEvent:
    """Returns the next event of a request.

    Args:
        connection: the caller's connection.
        deadline: loop time by which the event must be received.

    Raises:
        ConnectionLostError: the connection ended before the message did.
        ProtocolError: the received bytes are not valid HTTP.
        TimeoutError: the event was not received in time.
    """
    may_have_arrived = True
    while True:
        try:
            async with asyncio.timeout_at(deadline):
                return await connection.next_event()
        except TimeoutError:
            # The event may have been received in the turn of the event loop
            # in which the timeout expired, or in which it was delivered.
            if not (may_have_arrived or connection.readable):
                raise
            may_have_arrived = False


Handler = Callable[[RawRequest, Reply], Awaitable[None]]


@final
class Server:
    """Serves connections, each of them in a task of its own.

    Attributes:
        limits: returns the current limits; called for each request.
        leaving: set once the server shuts down: responses begun from then on
            carry `Connection: close`.
        ahead_turn: held by the connection whose next request, which was sent
            ahead, is read.
        active: number of requests being read or served.
        memory: what is held for callers and endpoints.
        watch: the connections, and their bounds.
        connections: all connections, including closed ones that still have
            data to send.
        idle: connections that wait for a request.
        unanswered: number of requests that ended without a complete response,
            by stage (`reading` or `serving`) and reason: the `end_reason` of
            the connection, `open`, `cut_off` or `handler_error`.
    """

    def __init__(
        self,
        *,
        handler: Handler,
        limits: Callable[[], Limits],
        report: event_log.EventReporter,
        memory: memory_budget.MemoryBudget | None = None,
        max_connections: int = connection_watch.DEFAULT_MAX_CONNECTIONS,
        unread_timeout: datetime.timedelta = (
            connection_watch.DEFAULT_UNREAD_TIMEOUT
        ),
        backlog: int = DEFAULT_BACKLOG,
    ) -> None:
        """Creates a server that does not listen yet.

        Args:
            handler: answers requests.
            limits: returns the limits for callers.
            report: logs events.
            memory: what may be held for peers; shared by all of a process.
            max_connections: how many callers may be connected.
            unread_timeout: how long a complete response may stay unread.
            backlog: connections that may wait to be accepted.
        """
        self.handler = handler
        self.limits = limits
        self.report = report
        self.memory = memory or memory_budget.MemoryBudget(DEFAULT_HELD_BYTES)
        self.backlog = backlog
        self.watch = connection_watch.ConnectionWatch(
            memory=self.memory,
            max_connections=max_connections,
            unread_timeout=unread_timeout,
            report=report,
        )
        self.leaving = asyncio.Event()
        self.ahead_turn = asyncio.Lock()
        self.active = 0
        self.tasks: set[asyncio.Task[None]] = set()
        self.connections: weakref.WeakSet[connection_lib.Connection] = (
            weakref.WeakSet()
        )
        self.idle: set[connection_lib.Connection] = set()
        self.unanswered: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self.listener: asyncio.Server | None = None

    async def listen(self, host: str, port: int) -> None:
        """Starts to accept connections on an address."""
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(
            self._make_connection, host, port, backlog=self.backlog
        )

    def leave(self) -> None:
        """Makes connections close after their current request."""
        self.leaving.set()

    def close_idle(self) -> None:
        """Closes the connections without a request in progress.

        A connection that has received data stays open, also if only a part of
        the head has arrived or its task has not read it yet; its response
        carries `Connection: close`.
        """
        idle = tuple(self.idle)
        closed = 0
        for connection in idle:
            if not connection.has_received():
                connection.close()
                closed += 1
        self.report(
            "idle_connections_closed",
            {
                "closed": closed,
                "kept": len(idle) - closed,
                "active": self.active,
            },
        )

    @property
    def unsent(self) -> int:
        """Number of connections whose responses are not sent completely."""
        return sum(not found.all_sent for found in tuple(self.connections))

    async def close_listener(self) -> None:
        """Stops accepting; waits for the first requests of accepted callers."""
        self.stop_accepting()
        await asyncio.sleep(FIRST_REQUEST_DELAY.total_seconds())

    async def drain(self) -> None:
        """Closes idle connections; waits until all responses have been sent."""
        self.close_idle()
        while self.tasks:
            await asyncio.wait(self.tasks)
        await self.wait_until_sent()

    async def wait_until_sent(self) -> None:
        """Waits until all responses have been passed to the kernel."""
        for found in tuple(self.connections):
            await found.wait_until_sent()

    def stop_accepting(self) -> None:
        """Closes the listening socket."""
        if self.listener is not None:
            self.listener.close()

    async def close(self) -> None:
        """Stops accepting and aborts the remaining connections."""
        self.stop_accepting()
        for task in tuple(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def _make_connection(self) -> connection_lib.Connection:
        connection = connection_lib.Connection(
            role=h11.SERVER,
            max_head_bytes=self.limits().head_bytes,
            newest_max_head_bytes=lambda: self.limits().head_bytes,
            memory=self.memory,
            owner=self.watch,
        )
        if not self.watch.admit(connection):
            return connection
        self.connections.add(connection)
        task = asyncio.get_running_loop().create_task(self._serve(connection))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return connection

    async def _serve(self, connection: connection_lib.Connection) -> None:
        try:
            while await self._serve_one(connection):
                if connection.unread_bytes:
                    await self._wait_for_turn()
        except (errors.HttpError, TimeoutError) as error:
            # Callers may disconnect at any time. This is logged only if a
            # request was incomplete.
            if connection.message_bytes:
                self._report_unfinished(
                    connection, str(error) or "no data in time"
                )
        except asyncio.CancelledError:
            connection.abort()
            raise
        except Exception as error:
            self.report(
                "connection_failed",
                {
                    "error": f"{type(error).__name__}: {error}",
                    "traceback": traceback.format_exc(),
                    **_connection_fields(connection),
                },
            )
            connection.abort()
        finally:
            self.idle.discard(connection)
            connection.close()

    def _report_unfinished(
        self, connection: connection_lib.Connection, reason: str
    ) -> None:
        """Logs and counts a request that was not read completely."""
        fields = _connection_fields(connection)
        self.unanswered["reading", connection.end_reason or "open"] += 1
        self.report(
            "request_unfinished",
            {
                "reason": reason,
                "received_bytes": connection.message_bytes,
                **fields,
            },
        )

    def _report_not_run(
        self, connection: connection_lib.Connection, request: RawRequest
    ) -> None:
        """Logs and counts a request whose connection ended before it ran."""
        path = request.target.partition(b"?")[0][:MAX_LOGGED_PATH_BYTES]
        self.unanswered["reading", connection.end_reason] += 1
        self.report(
            "request_not_run",
            {
                "target": path.decode("latin-1"),
                **_connection_fields(connection),
            },
        )

    async def _wait_for_turn(self) -> None:
        """Waits until a request that was sent ahead may be read.

        Load pattern: hundreds of callers with many requests each in the
        buffers. In each turn of the event loop one of them is read, so that
        other callers do not wait for all of them.
        """
        async with self.ahead_turn:
            await asyncio.sleep(0)

    async def _serve_one(self, connection: connection_lib.Connection) -> bool:
        try:
            head = await self._read_head(connection)
        except errors.ProtocolError as error:
            await self._reject(connection, error.status)
            return False
        if head is None:
            return False
        self.active += 1
        try:
            return await self._serve_request(connection, head)
        finally:
            self.active -= 1
            connection.hold_head(0)

    async def _serve_request(
        self,
        connection: connection_lib.Connection,
        head: RequestHead,
    ) -> bool:
        request = await self._read_request(connection, head, self.limits())
        if request is None:
            return False
        reply = Reply(connection, must_close=self.leaving.is_set)
        task = asyncio.current_task()
        try:
            if connection.lost.is_set():
                # The response could not be delivered, so do not run it.
                self._report_not_run(connection, request)
                return False
            connection.cancel_when_lost(task)
            await self.handler(request, reply)
        except asyncio.CancelledError:
            if not reply.finished:
                reason = connection.end_reason or "cut_off"
                self.unanswered["serving", reason] += 1
            if not connection.lost.is_set():
                raise
            if task is not None:
                task.uncancel()
            return False
        except Exception:
            if not reply.finished:
                reason = connection.end_reason or "handler_error"
                self.unanswered["serving", reason] += 1
            raise
        finally:
            connection.cancel_when_lost(None)
            connection.hold_response(0)
            connection.hold_body(0)
        if not reply.finished:
            reply.break_off()
            self.unanswered["serving", connection.end_reason] += 1
            return False
        if reply.close_after:
            if connection.message_bytes:
                self._report_unfinished(
                    connection, "received after the last request"
                )
            return False
        if self.leaving.is_set() and not connection.has_received():
            return False
        if not connection.writable:
            await connection.drain()
        return connection.start_next_message()

    async def _read_request(
        self,
        connection: connection_lib.Connection,
        head: RequestHead,
        limits: Limits,
    ) -> RawRequest | None:
        received_at = asyncio.get_running_loop().time()
        connection.hold_head(head.size)
        try:
            _check_framing(head)
            body = await self._read_body(connection, limits)
        except errors.ProtocolError as error:
            await self._reject(connection, error.status)
            return None
        return RawRequest(
            method=head.method,
            target=head.target,
            headers=head.headers,
            body=body,
            received_at=received_at,
            caller_address=_caller_address(connection),
        )

    async def _read_head(
        self, connection: connection_lib.Connection
    ) -> RequestHead | None:
        self.idle.add(connection)
        began_at = asyncio.get_running_loop().time()
        try:
            event = None
            while event is None:
                limits = self.limits()
                wait = limits.idle_timeout + limits.head_timeout
                try:
                    event = await _next_event(
                        connection, began_at + wait.total_seconds()
                    )
                except TimeoutError:
                    # A newer configuration may allow longer idle times.
                    if self.limits() == limits:
                        raise
        finally:
            self.idle.discard(connection)
        return _pack_head(event) if isinstance(event, h11.Request) else None

    async def _read_body(
        self,
        connection: connection_lib.Connection,
        limits: Limits,
    ) -> bytes:
        if connection.parser.they_are_waiting_for_100_continue:
            connection.send(
                h11.InformationalResponse(status_code=100, headers=[])
            )
        loop = asyncio.get_running_loop()
        parts: list[bytes] = []
        size = 0
        try:
            # There is no limit on the total time of a body, only on the time
            # without data.
            while True:
                deadline = loop.time() + limits.idle_timeout.total_seconds()
                event = await _next_event(connection, deadline)
                if not isinstance(event, h11.Data):
                    break
                size += len(event.data)
                connection.hold_body(size)
                if size > limits.body_bytes:
                    raise errors.ProtocolError(
                        f"request body exceeds {limits.body_bytes} bytes",
                        status=413,
                    )
                parts.append(bytes(event.data))
        except BaseException:
            connection.hold_body(0)
            raise
        return b"".join(parts)

    async def _reject(
        self, connection: connection_lib.Connection, status: int
    ) -> None:
        self.report("request_rejected", {"status": status})
        reply = Reply(connection, must_close=lambda: True)
        headers: list[Header] = []
        if status == 503:
            headers.append((b"Retry-After", b"%d" % REFUSED_RETRY_SECONDS))
        try:
            reply.answer(status, headers)
        except (errors.HttpError, h11.LocalProtocolError):
            connection.abort()
            return
        read = 0
        try:
            async with asyncio.timeout(LINGER_TIMEOUT.total_seconds()):
                while read < LINGER_BYTES:
                    event = await connection.next_event()
                    if not isinstance(event, h11.Data):
                        return
                    read += len(event.data)
        except (errors.HttpError, TimeoutError):
            return
