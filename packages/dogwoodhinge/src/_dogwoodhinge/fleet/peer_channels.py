"""Connections to peers, and how calls over them fail."""

import grpclib
from grpclib import client as grpc_client
from grpclib import exceptions as grpc_exceptions

# A call that failed in one of these ways may have been carried out.
CALL_ERRORS = (
    OSError,
    TimeoutError,
    grpclib.GRPCError,
    grpc_exceptions.StreamTerminatedError,
)


def to(address: str) -> grpc_client.Channel:
    """Returns a channel, which connects with its first call.

    Args:
        address: `ip:port` of the peer.
    """
    host, _, port = address.rpartition(":")
    return grpc_client.Channel(host, int(port))
