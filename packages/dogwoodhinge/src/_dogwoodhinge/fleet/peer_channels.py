"""gRPC channels to peers, and the errors that calls over them raise."""

import grpclib
from grpclib import client as grpc_client
from grpclib import exceptions as grpc_exceptions

# The peer may have executed a call that failed with one of these errors.
CALL_ERRORS = (
    OSError,
    TimeoutError,
    grpclib.GRPCError,
    grpc_exceptions.StreamTerminatedError,
)


def open_channel(address: str) -> grpc_client.Channel:
    """Returns a channel that connects on its first call.

    Args:
        address: `ip:port` of the peer.
    """
    host, _, port = address.rpartition(":")
    return grpc_client.Channel(host, int(port))
