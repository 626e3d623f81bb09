"""What all stand-ins share: the server, its faults and its records."""

import asyncio
import base64
import binascii
from collections.abc import Callable
import json
import socket
import struct
import sys
import time
from typing import Any, Generic, Literal, TypeVar

from absl import app as absl_app
from absl import flags
from aiohttp import web
import pydantic

SHUTDOWN_SECONDS = 0.1
EVERYONE = "*"
MAX_BODY_BYTES = 10_000_000
RESET_DELAY_SECONDS = 0.05
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
HEADER_OVERHEAD_BYTES = 4  # colon, blank and line end of a header


class Faults(pydantic.BaseModel):
    """Faults that every stand-in has.

    Attributes:
        outage: refuse with 503, drop connections before any effect, or
            never answer.
        cut: clients whose connections are dropped; `*` for all.
        lose_answers: clients whose requests take effect unanswered.
        slow_ms: delay before each request.
        silence_open: once, the open connections fall silent for good; new
            ones work.
        unframed: responses have neither a length nor chunks; their connection
            is closed behind the whole body, or closed or reset behind the
            first half. Streams are left as they are.
    """

    model_config = pydantic.ConfigDict(extra="forbid", validate_assignment=True)

    outage: Literal["", "refuse", "drop", "hang"] = ""
    cut: tuple[str, ...] = ()
    lose_answers: tuple[str, ...] = ()
    slow_ms: float = 0.0
    silence_open: bool = False
    unframed: Literal["", "whole", "cut", "reset"] = ""


F = TypeVar("F", bound=Faults)


class Standin(Generic[F]):
    """A small HTTP server with faults; subclasses add routes.

    Attributes:
        faults: in force now.
        records: what happened here, oldest first.
        address: base URL once started.
        bytes_in: bytes received, heads included.
        bytes_out: bytes of the heads and bodies sent.
        requests: requests served, those of the control path left out.
    """

    def __init__(self, faults: F) -> None:
        self.faults = faults
        self.records: list[dict[str, Any]] = []
        self.address = ""
        self.bytes_in = 0
        self.bytes_out = 0
        self.requests = 0
        self.stopping = asyncio.Event()
        self.open_connections: set[web.RequestHandler] = set()
        self.silent_connections: set[web.RequestHandler] = set()
        self.app = web.Application(
            middlewares=[self._guard], client_max_size=MAX_BODY_BYTES
        )
        self.app.router.add_put("/control/faults", self._put_faults)
        self.app.router.add_get("/control/records", self._get_records)
        self.app.router.add_get("/control/traffic", self._get_traffic)
        self.runner = web.AppRunner(
            self.app, shutdown_timeout=SHUTDOWN_SECONDS, access_log=None
        )

    async def start(self, *, address: str = "127.0.0.1", port: int = 0) -> str:
        """Starts to listen and returns the base URL."""
        await self.runner.setup()
        site = web.TCPSite(self.runner, address, port)
        await site.start()
        host, port = self.runner.addresses[0][:2]
        self.address = f"http://{host}:{port}"
        return self.address

    async def stop(self) -> None:
        """Stops listening and drops the connections."""
        self.stopping.set()
        await self.runner.cleanup()

    def record(self, event: str, **members: Any) -> None:
        """Keeps a record of something that happened."""
        self.records.append({"event": event, "at": time.time(), **members})

    def set_faults(self, changes: dict[str, Any]) -> None:
        """Changes some faults and leaves the others."""
        values = self.faults.model_dump() | changes
        self.faults = type(self.faults).model_validate(values)
        if self.faults.silence_open:
            self.silent_connections.update(self.open_connections)
            self.faults.silence_open = False
        self.faults_changed()

    def faults_changed(self) -> None:
        """Lets subclasses act on faults that happen once."""

    async def fall_silent(self) -> None:
        """Blocks a connection's task until the stand-in stops.

        The event is the stand-in's own: the collector destroys tasks that
        wait on one that nothing else holds.

        Raises:
            HTTPServiceUnavailable: the stand-in stops.
        """
        await self.stopping.wait()
        raise web.HTTPServiceUnavailable

    def is_silent(self, request: web.Request) -> bool:
        """Tells whether the connection has fallen silent for good."""
        return request.protocol in self.silent_connections

    @web.middleware
    async def _guard(
        self, request: web.Request, handler: Any
    ) -> web.StreamResponse:
        if request.path.startswith("/control/"):
            return await handler(request)
        self._note_connection(request.protocol)
        self.requests += 1
        self.bytes_in += _request_size(request)
        client = client_name(request)
        await self._fail_before(request, client)
        response: web.StreamResponse = await handler(request)
        if _names(self.faults.lose_answers, client):
            drop_connection(request)
        elif self.faults.unframed and isinstance(response, web.Response):
            await _send_unframed(request, response, self.faults.unframed)
        self.bytes_out += _response_size(response)
        return response

    def _note_connection(self, protocol: web.RequestHandler) -> None:
        if protocol in self.open_connections:
            return
        closed = {p for p in self.open_connections if p.transport is None}
        self.open_connections -= closed
        self.silent_connections -= closed
        self.open_connections.add(protocol)

    async def _fail_before(self, request: web.Request, client: str) -> None:
        if self.is_silent(request) or self.faults.outage == "hang":
            await self.fall_silent()
        if self.faults.slow_ms:
            await asyncio.sleep(self.faults.slow_ms / 1e3)
        if self.faults.outage == "drop" or _names(self.faults.cut, client):
            drop_connection(request)
            raise web.HTTPServiceUnavailable
        if self.faults.outage == "refuse":
            raise web.HTTPServiceUnavailable(
                text=json.dumps({"__type": "ServiceUnavailable"})
            )

    async def _put_faults(self, request: web.Request) -> web.Response:
        try:
            self.set_faults(await request.json())
        except ValueError as error:
            return web.json_response({"error": str(error)}, status=400)
        return web.json_response(self.faults.model_dump())

    async def _get_records(self, request: web.Request) -> web.Response:
        del request
        return web.json_response(self.records)

    async def _get_traffic(self, request: web.Request) -> web.Response:
        del request
        return web.json_response(
            {
                "bytes_in": self.bytes_in,
                "bytes_out": self.bytes_out,
                "requests": self.requests,
            }
        )


def drop_connection(request: web.Request) -> None:
    """Resets the connection of a request."""
    if request.transport is not None:
        request.transport.abort()


async def _send_unframed(
    request: web.Request, response: web.Response, end: str
) -> None:
    """Sends a response without framing and ends its connection."""
    body = response.body if isinstance(response.body, bytes) else b""
    transport = request.transport
    if transport is None:
        return
    if end != "whole":
        body = body[: len(body) // 2]
    head = (
        f"HTTP/1.1 {response.status} {response.reason}\r\n"
        f"Content-Type: {response.content_type}\r\nConnection: close\r\n\r\n"
    )
    transport.write(head.encode() + body)
    if end == "reset":
        # The client reads the body before the reset drops it.
        await asyncio.sleep(RESET_DELAY_SECONDS)
        raw = transport.get_extra_info("socket")
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        transport.abort()
    else:
        transport.close()


def client_name(request: web.Request) -> str:
    """Returns the user name of the HTTP credentials, empty without."""
    scheme, _, text = request.headers.get("Authorization", "").partition(" ")
    if scheme != "Basic":
        return ""
    try:
        return base64.b64decode(text).decode().partition(":")[0]
    except (binascii.Error, UnicodeDecodeError):
        return ""


def run(make: Callable[[flags.FlagValues], Standin[Any]]) -> None:
    """Runs one stand-in as a program until it is stopped.

    Args:
        make: builds it from the parsed flags.
    """
    flags.DEFINE_integer("port", 0, "port; 0 picks one")

    def main(argv: list[str]) -> None:
        del argv
        asyncio.run(_serve(make))

    absl_app.run(main)


async def _serve(make: Callable[[flags.FlagValues], Standin[Any]]) -> None:
    standin = make(flags.FLAGS)
    address = await standin.start(port=flags.FLAGS.port)
    print(json.dumps({"address": address}))
    sys.stdout.flush()
    await asyncio.Event().wait()


def _names(names: tuple[str, ...], client: str) -> bool:
    return EVERYONE in names or client in names


def _request_size(request: web.Request) -> int:
    head = len(request.method) + len(request.raw_path) + len("  HTTP/1.1\r\n")
    return head + _headers_size(request.headers) + (request.content_length or 0)


def _response_size(response: web.StreamResponse) -> int:
    body = response.body if isinstance(response, web.Response) else None
    size = len(body) if isinstance(body, bytes) else 0
    return len("HTTP/1.1 200 OK\r\n") + _headers_size(response.headers) + size


def _headers_size(headers: Any) -> int:
    return sum(
        len(name) + len(value) + HEADER_OVERHEAD_BYTES
        for name, value in headers.items()
    )
