"""gRPC client for calls to peers, with one connection for each peer."""

import asyncio
from collections.abc import Callable
import datetime
import ssl
from typing import Any

import grpclib
from grpclib import client
from grpclib import const
from grpclib import exceptions

from _dogwoodhinge import errors
from _dogwoodhinge import grpc_calls
from _dogwoodhinge.peer import peer_grpc
from _dogwoodhinge.peer import server

DEFAULT_TIMEOUT = datetime.timedelta(seconds=2)
CONNECT_TIMEOUT = datetime.timedelta(seconds=1)

# Statuses with which a server rejects a call before its handler runs.
NOT_RUN_STATUSES = frozenset(
    {const.Status.UNAUTHENTICATED, const.Status.UNIMPLEMENTED}
)


class PeerClient:
    """Calls peers by address (`10.0.0.1:8082`).

    A connection is opened at the first call to its peer.

    Attributes:
        session_id: this node's session, sent with each call; empty until the
            session starts.
        revision: returns the configuration's head revision known to this node,
            which is sent with each call.
    """

    def __init__(
        self,
        *,
        key: str,
        revision: Callable[[], int],
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self.key = key
        self.tls = tls
        self.revision = revision
        self.session_id = ""
        self.channels: dict[str, client.Channel] = {}

    async def call(
        self,
        address: str,
        method: str,
        request: Any,
        *,
        timeout: datetime.timedelta = DEFAULT_TIMEOUT,
    ) -> Any:
        """Makes one call and returns the reply message.

        Args:
            address: IP address and peer port.
            method: name of a method of the `Peer` service, e.g. `Admit`.
            request: request message of the method.
            timeout: time limit of the call, including the connect.

        Raises:
            PeerUnreachableError: the peer did not run the call.
            PeerOutcomeUnknownError: the peer may have run the call.
        """
        channel = self._channel(address)
        await self._connect(address, channel, min(timeout, CONNECT_TIMEOUT))
        stub = getattr(peer_grpc.PeerStub(channel), method)
        metadata = {
            server.KEY_HEADER: self.key,
            server.REVISION_HEADER: str(self.revision()),
        }
        if self.session_id:
            metadata[server.SESSION_HEADER] = self.session_id
        try:
            return await grpc_calls.run(
                stub(
                    request, timeout=timeout.total_seconds(), metadata=metadata
                )
            )
        except grpclib.GRPCError as error:
            if error.status in NOT_RUN_STATUSES:
                raise errors.PeerUnreachableError(
                    f"peer {address} rejected {method}: {error.message}"
                ) from error
            raise errors.PeerOutcomeUnknownError(
                f"peer {address} failed in {method}: {error.status.name} "
                f"{error.message}"
            ) from error
        except (
            TimeoutError,
            OSError,
            exceptions.ProtocolError,
            exceptions.StreamTerminatedError,
        ) as error:
            self.disconnect(address)
            raise errors.PeerOutcomeUnknownError(
                f"peer {address} did not answer {method}: {error!r}"
            ) from error

    def disconnect(self, address: str) -> None:
        """Closes the connection to a peer; the next call opens a new one."""
        channel = self.channels.pop(address, None)
        if channel is not None:
            channel.close()

    def close(self) -> None:
        """Closes every connection."""
        for address in list(self.channels):
            self.disconnect(address)

    def _channel(self, address: str) -> client.Channel:
        channel = self.channels.get(address)
        if channel is None:
            host, _, port = address.rpartition(":")
            channel = client.Channel(host, int(port), ssl=self.tls)
            self.channels[address] = channel
        return channel

    async def _connect(
        self, address: str, channel: client.Channel, timeout: datetime.timedelta
    ) -> None:
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                await channel.__connect__()
        except (TimeoutError, OSError) as error:
            self.disconnect(address)
            raise errors.PeerUnreachableError(
                f"could not connect to peer {address}: {error!r}"
            ) from error
