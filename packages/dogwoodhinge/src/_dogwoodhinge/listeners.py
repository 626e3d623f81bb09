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
    ) -> None:
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
        await _open(self.caller, self.sockets.caller, self.http_tls)

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
