"""Tests of `_dogwoodhinge.peer.compact`."""

import pytest

from _dogwoodhinge.peer import compact
from _dogwoodhinge.peer import peer_pb2

REQUEST = peer_pb2.AdmitRequest(
    request_id="request-1",
    engine_id="engine-1",
    adapter="staves",
    version="v1",
    session_id="host-1/1",
)
GRANT = peer_pb2.Grant(
    grant_id="grant-1",
    request_id="request-1",
    engine_id="engine-1",
    adapter="staves",
    version="v1",
    session_id="host-1/1",
    token=7,
    start_within_ms=5_000,
)
OTHER_ENGINE = peer_pb2.Grant()
OTHER_ENGINE.CopyFrom(GRANT)
OTHER_ENGINE.engine_id = "engine-2"


@pytest.mark.parametrize(
    "reply",
    [
        pytest.param(peer_pb2.AdmitReply(grant=GRANT), id="grant"),
        pytest.param(
            peer_pb2.AdmitReply(grant=OTHER_ENGINE), id="another engine"
        ),
        pytest.param(
            peer_pb2.AdmitReply(refusal=peer_pb2.Refusal(reason="full")),
            id="refusal",
        ),
        pytest.param(
            peer_pb2.AdmitReply(
                redirect=peer_pb2.Redirect(engine_id="engine-2")
            ),
            id="redirect",
        ),
    ],
)
def test_restored_reply_is_the_same(reply: peer_pb2.AdmitReply) -> None:
    before = peer_pb2.AdmitReply()
    before.CopyFrom(reply)
    stripped = compact.strip_grant(reply, REQUEST)
    sent = peer_pb2.AdmitReply.FromString(stripped.SerializeToString())
    assert compact.restore_grant(sent, REQUEST) == before
    assert reply == before  # the engine owner's own copy is unchanged


def test_stripped_grant_is_less_than_half_as_large() -> None:
    reply = peer_pb2.AdmitReply(grant=GRANT)
    stripped = compact.strip_grant(reply, REQUEST)
    assert stripped.ByteSize() * 2 < reply.ByteSize()
