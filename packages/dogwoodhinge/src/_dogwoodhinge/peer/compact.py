"""Omits from replies the fields that repeat fields of the request."""

from _dogwoodhinge.peer import peer_pb2

# Fields of a grant that have the same names and values as in the request.
REPEATED_MEMBERS = (
    "request_id",
    "engine_id",
    "adapter",
    "version",
    "session_id",
)


def strip_grant(
    reply: peer_pb2.AdmitReply, request: peer_pb2.AdmitRequest
) -> peer_pb2.AdmitReply:
    """Returns the reply without the fields that repeat the request's."""
    if reply.WhichOneof("outcome") != "grant":
        return reply
    stripped = peer_pb2.AdmitReply()
    stripped.CopyFrom(reply)
    for name in REPEATED_MEMBERS:
        if getattr(reply.grant, name) == getattr(request, name):
            stripped.grant.ClearField(name)
    return stripped


def restore_grant(
    reply: peer_pb2.AdmitReply, request: peer_pb2.AdmitRequest
) -> peer_pb2.AdmitReply:
    """Sets the fields that `strip_grant` omitted, in place."""
    if reply.WhichOneof("outcome") != "grant":
        return reply
    for name in REPEATED_MEMBERS:
        if not getattr(reply.grant, name):
            setattr(reply.grant, name, getattr(request, name))
    return reply
