"""HTTP client that separates unsent requests from incomplete responses.

A component on the network path may lose the state of a connection. That
connection then never delivers another byte, while new connections work.
Therefore a timeout discards the whole connection pool, idle connections are
closed after `KEEPALIVE_SECONDS`, and calls that must not be repeated open a
new connection each.
"""

import asyncio
from collections.abc import AsyncIterator, Mapping
import contextlib
import dataclasses
import datetime
import select
import socket
from typing import cast, final
import urllib.parse

from absl import logging
import aiohttp

from _dogwoodhinge.platform import errors

# What a connection buffers of a response whose caller does not read: there may
# be as many of them as callers.
READ_BUFFER_BYTES = 16 * 1024

CONNECT_TIMEOUT = datetime.timedelta(seconds=2)
KEEPALIVE_SECONDS = 10.0
POOL_SIZE = 64

# Limit for the bodies of responses, unless a caller states another one.
MAX_BODY_BYTES = 4 * 1024 * 1024

# The body of an error is read up to this size and time: its status counts, also
# if the body does not end.
MAX_ERROR_BYTES = 64 * 1024
ERROR_BODY_TIMEOUT = datetime.timedelta(seconds=1)

# RFC 9110, section 15; the library accepts others.
FINAL_STATUSES = range(200, 600)

# A reset that follows the end of a response arrives within this time.
END_WAIT = datetime.timedelta(milliseconds=20)

# aiohttp raises these before it writes any byte of the request.
NOT_SENT_ERRORS = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
    aiohttp.InvalidURL,
)


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Request:
    """An HTTP request.

    Attributes:
        method: HTTP method, e.g. `GET`.
        path: path and query, appended to the base URL.
        body: request body, empty for none.
        headers: headers in addition to those that aiohttp sets.
        new_connection: opens a connection for this request alone. A request
            lost on a dead pooled connection raises IncompleteResponseError
            although the server never received it; a new connection avoids
            this.
    """

    method: str
    path: str
    body: bytes = b""
    headers: Mapping[str, str] = dataclasses.field(default_factory=dict)
    new_connection: bool = False


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """A complete HTTP response.

    Attributes:
        framed: whether a length or chunks marked the end of the body; without
            them, the server closed the connection there.
    """

    status: int
    headers: Mapping[str, str]
    body: bytes
    framed: bool = True

    @property
    def content_type(self) -> str:
        """Media type with its parameters."""
        return self.headers.get("Content-Type", "application/octet-stream")


@final
class HttpClient:
    """Sends requests to one server.

    Attributes:
        base_url: scheme, host, port and path prefix, no trailing slash.
        bytes_out: total size of the request bodies sent.
        bytes_in: total size of the response bodies received.
    """

    def __init__(
        self,
        base_url: str,
        *,
        connect_timeout: datetime.timedelta = CONNECT_TIMEOUT,
    ) -> None:
        self.base_url = base_url.rstrip("/")
        self.connect_timeout = connect_timeout
        self.pool: _ConnectionPool | None = None
        self.bytes_out = 0
        self.bytes_in = 0

    async def exchange(
        self,
        request: Request,
        *,
        timeout: datetime.timedelta,
        max_body_bytes: int = MAX_BODY_BYTES,
    ) -> Response:
        """Sends a request once and reads the complete response.

        Args:
            request: request to send.
            timeout: limit from the start of connecting to the last byte.
            max_body_bytes: maximum size of the response's body.

        Raises:
            RequestNotSentError: the connection failed.
            IncompleteResponseError: the server may have processed the
                request; its response was not received, or exceeds the limit.
        """
        async with self.open(request, timeout=timeout) as response:
            framed = _is_framed(response)
            if framed:
                body = await self.read(response, max_bytes=max_body_bytes)
            else:
                body = await self._read_unframed(response, max_body_bytes)
        return Response(response.status, response.headers, body, framed)

    @contextlib.asynccontextmanager
    async def open(
        self,
        request: Request,
        *,
        timeout: datetime.timedelta | None = None,
        read_timeout: datetime.timedelta | None = None,
    ) -> AsyncIterator[aiohttp.ClientResponse]:
        """Sends a request and yields the response after its headers.

        Args:
            request: request to send.
            timeout: limit on the whole exchange, None for no limit.
            read_timeout: limit between two reads of the response, None for no
                limit.

        Raises:
            RequestNotSentError: the connection failed.
            IncompleteResponseError: the connection failed after that, which
                includes the time in which the caller reads the body.
        """
        pool = (
            _ConnectionPool(limit=1)
            if request.new_connection
            else self._shared_pool()
        )
        pool.active_exchanges += 1
        self.bytes_out += len(request.body)
        try:
            async with pool.session.request(
                request.method,
                self.base_url + request.path,
                data=request.body or None,
                headers=request.headers,
                timeout=self._client_timeout(timeout, read_timeout),
                allow_redirects=False,
            ) as response:
                if response.status not in FINAL_STATUSES:
                    raise errors.IncompleteResponseError(
                        f"{response.status} is no status of a response"
                    )
                yield response
        except NOT_SENT_ERRORS as error:
            raise errors.RequestNotSentError(
                f"can't connect to {self.base_url}: {error!r}"
            ) from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            if isinstance(error, TimeoutError):
                self._discard_pool(pool)
            raise errors.IncompleteResponseError(
                f"no complete response to {request.method} "
                f"{self.base_url}{request.path}: {error!r}"
            ) from error
        finally:
            pool.active_exchanges -= 1
            if pool is not self.pool and not pool.active_exchanges:
                await pool.session.close()

    async def read(
        self, response: aiohttp.ClientResponse, *, max_bytes: int
    ) -> bytes:
        """Reads the whole response body; call it inside `open`.

        Raises:
            IncompleteResponseError: the body exceeds `max_bytes`.
        """
        body = bytearray()
        while data := await response.content.readany():
            self.bytes_in += len(data)
            body += data
            if len(body) > max_bytes:
                raise errors.IncompleteResponseError(
                    f"the response of {self.base_url} exceeds {max_bytes} bytes"
                )
        return bytes(body)

    async def _read_unframed(
        self, response: aiohttp.ClientResponse, max_bytes: int
    ) -> bytes:
        """Reads a body that ends with its connection.

        A server that breaks off may close the connection before it resets it,
        and one that ends closes it too.

        Raises:
            IncompleteResponseError: the connection was reset, or the server
                has ended; or the body is too long.
        """
        closed = _closed_future(response)
        opened = _duplicate_socket(response)
        try:
            body = await self.read(response, max_bytes=max_bytes)
            await asyncio.sleep(END_WAIT.total_seconds())
            if closed is not None and closed.done():
                # The library takes a reset for the end of the body.
                closed.result()
            if opened is not None and _is_reset(opened):
                raise errors.IncompleteResponseError(
                    f"{self.base_url} reset the connection after its response"
                )
        finally:
            if opened is not None:
                opened.close()
        await self._check_server_runs()
        return body

    async def _check_server_runs(self) -> None:
        url = urllib.parse.urlsplit(self.base_url)
        port = url.port or (443 if url.scheme == "https" else 80)
        try:
            async with asyncio.timeout(self.connect_timeout.total_seconds()):
                _, writer = await asyncio.open_connection(url.hostname, port)
        except ConnectionRefusedError as error:
            raise errors.IncompleteResponseError(
                f"{self.base_url} ended with its response"
            ) from error
        except (OSError, TimeoutError) as error:
            logging.warning(
                "unknown whether %s ended with its response: %r",
                self.base_url,
                error,
            )
            return
        writer.close()

    async def read_error(self, response: aiohttp.ClientResponse) -> bytes:
        """Reads the body of an error; empty if it is too long or too late."""
        try:
            async with asyncio.timeout(ERROR_BODY_TIMEOUT.total_seconds()):
                return await self.read(response, max_bytes=MAX_ERROR_BYTES)
        except (TimeoutError, errors.IncompleteResponseError) as error:
            logging.warning(
                "the body of an error with status %d of %s is ignored: %r",
                response.status,
                self.base_url,
                error,
            )
            return b""

    async def close(self) -> None:
        """Closes the pooled connections; a later request opens new ones."""
        pool, self.pool = self.pool, None
        if pool is not None:
            await pool.session.close()

    def _client_timeout(
        self,
        timeout: datetime.timedelta | None,
        read_timeout: datetime.timedelta | None,
    ) -> aiohttp.ClientTimeout:
        connect = self.connect_timeout
        if timeout is not None:
            connect = min(connect, timeout)
        return aiohttp.ClientTimeout(
            total=None if timeout is None else timeout.total_seconds(),
            sock_connect=connect.total_seconds(),
            sock_read=None
            if read_timeout is None
            else read_timeout.total_seconds(),
        )

    def _shared_pool(self) -> "_ConnectionPool":
        if self.pool is None:
            self.pool = _ConnectionPool(limit=POOL_SIZE)
        return self.pool

    def _discard_pool(self, pool: "_ConnectionPool") -> None:
        """Stops using a pool; its last active exchange closes it."""
        if pool is self.pool:
            self.pool = None


def _is_framed(response: aiohttp.ClientResponse) -> bool:
    headers = response.headers
    return "Content-Length" in headers or "Transfer-Encoding" in headers


def _duplicate_socket(
    response: aiohttp.ClientResponse,
) -> socket.socket | None:
    """Returns the socket of a response, to look at once the library closed it.

    None if the connection has ended.
    """
    connection = response.connection
    transport = None if connection is None else connection.transport
    opened = None if transport is None else transport.get_extra_info("socket")
    if opened is None or opened.fileno() < 0:
        return None
    return cast(socket.socket, opened.dup())


def _is_reset(opened: socket.socket) -> bool:
    poll = select.poll()
    poll.register(opened, 0)
    return bool(poll.poll(0))


def _closed_future(
    response: aiohttp.ClientResponse,
) -> asyncio.Future[None] | None:
    """Returns the future that ends with the connection of a response.

    It fails if the connection is reset. None if the body has already ended.
    """
    connection = response.connection
    protocol = None if connection is None else connection.protocol
    closed = None if protocol is None else protocol.closed
    if closed is not None:
        closed.add_done_callback(_retrieve_exception)
    return closed


def _retrieve_exception(future: asyncio.Future[None]) -> None:
    """Keeps the loop from logging a failure that the caller may not need."""
    if not future.cancelled():
        future.exception()


@final
class _ConnectionPool:
    """A connection pool and the number of its active exchanges."""

    def __init__(self, *, limit: int) -> None:
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=limit, keepalive_timeout=KEEPALIVE_SECONDS
            ),
            read_bufsize=READ_BUFFER_BYTES,
        )
        self.active_exchanges = 0


def split_scheme(url: str, name: str) -> str | None:
    """Returns the HTTP URL in `name+http://...`, None for other schemes.

    Args:
        url: URL from the settings, e.g. `sd+http://10.0.0.5:9003/hosts`.
        name: first part of the scheme, e.g. `sd`.
    """
    prefix, separator, rest = url.partition("+")
    if not separator or prefix != name:
        return None
    if urllib.parse.urlsplit(rest).scheme not in ("http", "https"):
        return None
    return rest
