"""The node's three ports: callers, operators and peers."""

import asyncio
import dataclasses
import socket
import ssl
from typing import final

from aiohttp import web
from grpclib import server as grpc_server

from _dogwoodhinge import errors
from _dogwoodhinge import settings as settings_lib
from _dogwoodhinge import tls
from _dogwoodhinge.callers import connection_limit as connection_limit_lib
from _dogwoodhinge.callers import paced_connection
from _dogwoodhinge.membership import sessions
from _dogwoodhinge.peer import server as peer_server

BACKLOG = 1_024
CLOSE_TIMEOUT_SECONDS = 2.0


@final
@dataclasses.dataclass(frozen=True, slots=True)
class BoundSockets:
    """Sockets that are bound before startup, so that ports are known."""

    caller: socket.socket
    operator: socket.socket
    peer: socket.socket

    def addresses(self) -> sessions.Addresses:
        """Returns the addresses that the node listens on."""
        return sessions.Addresses(
            peer=_address(self.peer),
            caller=_address(self.caller),
            operator=_address(self.operator),
        )


def bind(settings: settings_lib.Settings) -> BoundSockets:
    """Binds the three sockets.

    Raises:
        SettingsError: an address or port can't be bound.
    """
    return BoundSockets(
        caller=_bind(settings.address, settings.caller_port, "caller"),
        operator=_bind(settings.address, settings.operator_port, "operator"),
        peer=_bind(settings.address, settings.peer_port, "peer"),
    )


@final
class Listeners:
    """Serves the three ports.

    The peer port opens before the caller port and closes last, because peers
    call a node while it joins and while it drains.
    """

    def __init__(
        self,
        *,
        sockets: BoundSockets,
        settings: settings_lib.Settings,
        caller: web.AppRunner,
        operator: web.AppRunner,
        peer: peer_server.PeerServer,
        connection_limit: connection_limit_lib.ConnectionLimit,
    ) -> None:
        self.connection_limit = connection_limit
        self.sockets = sockets
        self.caller = caller
        self.operator = operator
        self.peer = grpc_server.Server([peer])
        self.peer_tls = tls.peer_server_context(settings)
        self.http_tls = tls.http_context(settings)

    async def open_peer(self) -> None:
        """Starts serving peers."""
        await self.peer.start(sock=self.sockets.peer, ssl=self.peer_tls)

    async def open_operator(self) -> None:
        """Starts serving operators, health probes and metric scrapes."""
        await _open(self.operator, self.sockets.operator, self.http_tls)

    async def open_caller(self) -> None:
        """Starts serving callers."""
        await self.caller.setup()
        site = LimitedSite(
            self.caller,
            self.sockets.caller,
            ssl_context=self.http_tls,
            connection_limit=self.connection_limit,
        )
        await site.start()

    async def stop_accepting_callers(self) -> None:
        """Stops accepting caller connections; open ones continue."""
        for site in list(self.caller.sites):
            await site.stop()

    async def close(self) -> None:
        """Closes all ports."""
        await self.caller.cleanup()
        await self.operator.cleanup()
        self.peer.close()
        try:
            async with asyncio.timeout(CLOSE_TIMEOUT_SECONDS):
                await self.peer.wait_closed()
        except TimeoutError:
            pass  # A peer keeps its connection open; the process exits anyway.


@final
class LimitedSite(web.SockSite):
    """Serves a socket with a limit on its connections."""

    def __init__(
        self,
        runner: web.AppRunner,
        listening: socket.socket,
        *,
        connection_limit: connection_limit_lib.ConnectionLimit,
        ssl_context: ssl.SSLContext | None = None,
    ) -> None:
        super().__init__(
            runner, listening, ssl_context=ssl_context, backlog=BACKLOG
        )
        self.connection_limit = connection_limit

    async def start(self) -> None:
        """Starts accepting."""
        await web.BaseSite.start(self)
        self._server = await asyncio.get_running_loop().create_server(
            self._make_protocol,
            sock=self._sock,
            ssl=self._ssl_context,
            backlog=self._backlog,
        )

    def _make_protocol(self) -> asyncio.BaseProtocol:
        server = self._runner.server
        assert server is not None
        if self.connection_limit.make_room(server.connections):
            return paced_connection.PacedConnection(server())
        return connection_limit_lib.DroppedConnection()


async def _open(
    runner: web.AppRunner,
    listening: socket.socket,
    context: ssl.SSLContext | None,
) -> None:
    await runner.setup()
    site = web.SockSite(runner, listening, ssl_context=context, backlog=BACKLOG)
    await site.start()


def _bind(address: str, port: int, name: str) -> socket.socket:
    # asyncio sets TCP_NODELAY only on sockets created with IPPROTO_TCP.
    bound = socket.socket(
        socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP
    )
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        bound.bind((address, port))
        bound.listen(BACKLOG)
    except OSError as error:
        bound.close()
        raise errors.SettingsError(
            f"--{name}_port={port}: {error.strerror} on --address={address!r}; "
            "use a free port, or 0 to let the system choose one"
        ) from error
    return bound


def _address(bound: socket.socket) -> str:
    host, port = bound.getsockname()[:2]
    return f"{host}:{port}"
