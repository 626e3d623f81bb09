"""Tests of `_dogwoodhinge.membership.majority`."""

import asyncio

import pytest

from _dogwoodhinge.membership import majority
from _dogwoodhinge.membership import sessions
from dogwoodhinge_lab import small_cluster

STATE = sessions.SessionState
SETTLE_SECONDS = 10.0
LAPSE_SECONDS = 30.0
COUNT_SECONDS = 5.0


def make(
    name: str,
    joined: int,
    *,
    known: int = 10,
    version: int = 1,
    state: STATE = STATE.LIVE,
) -> sessions.Session:
    return sessions.Session(
        session_id=name,
        host_id=f"host-of-{name}",
        peer_address="",
        caller_address="",
        operator_address="",
        zone="zone-a",
        region="region-1",
        state=state,
        applied_revision=0,
        version=version,
        joined_sequence=joined,
        known_sequence=known,
    )


SILENT = make("silent", 1, known=3)
OLD = make("old", 2, state=STATE.LAPSED)
RENEWED = make("renewed", 3, version=2)
REJOINED = make("rejoined", 9, version=2)
BEFORE = {
    session.session_id: session
    for session in (SILENT, OLD, make("renewed", 3), make("rejoined", 9))
}


@pytest.mark.parametrize(
    ("replaced", "expected"),
    [
        pytest.param((OLD,), True, id="replaced_session_counts_against"),
        pytest.param((), False, id="half_of_the_known_sessions"),
    ],
)
def test_replaced_session_supports_no_cut_off_session(
    replaced: tuple[sessions.Session, ...], expected: bool
) -> None:
    voters = (SILENT, RENEWED, REJOINED)
    counted = majority.has_renewal_majority(
        voters, BEFORE, counting_id="rejoined", replaced=replaced
    )
    assert counted is expected


async def test_rejoined_node_may_take_over_from_a_failed_one(
    cluster: small_cluster.SmallCluster,
) -> None:
    """A rejoined node and one other must outvote a failed node.

    When they could not, an engine without fencing had no owner until the list
    of hosts no longer had the failed node.
    """
    await cluster.start(3)
    await cluster.advance(SETTLE_SECONDS)
    await cluster.nodes["node-0"].stop()
    cluster.nodes["node-1"].pause()
    await cluster.advance(LAPSE_SECONDS)
    cluster.nodes["node-1"].resume()
    await cluster.advance(SETTLE_SECONDS)
    counting = asyncio.create_task(
        cluster.nodes["node-1"].membership.majority_renewed()
    )
    await cluster.advance(COUNT_SECONDS)
    assert counting.done()
    assert counting.result()
