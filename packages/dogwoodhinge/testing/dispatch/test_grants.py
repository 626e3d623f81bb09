"""Tests of `_dogwoodhinge.dispatch.grants`."""

import pytest

from _dogwoodhinge import errors
from _dogwoodhinge.dispatch import grants as grants_lib
from _dogwoodhinge.peer import peer_pb2
from dogwoodhinge_lab import dispatch_fakes


def grant(*, grant_id: str = "g1", token: int = 3) -> peer_pb2.Grant:
    return peer_pb2.Grant(
        grant_id=grant_id,
        engine_id="engine-1",
        token=token,
        session_id="session-1",
        start_within_ms=1_000,
    )


def ask(token: int, engine_id: str = "engine-1") -> peer_pb2.ListGrantsRequest:
    return peer_pb2.ListGrantsRequest(engine_id=engine_id, token=token)


async def test_new_owner_gets_only_the_grants_of_its_engine(
    grants: grants_lib.GrantStore,
) -> None:
    grants.add(grant())
    assert not (await grants.list_grants(ask(4, "engine-2"))).grants
    reply = await grants.list_grants(ask(4))
    assert [g.grant_id for g in reply.grants] == ["g1"]


async def test_grant_below_the_minimum_token_is_not_added(
    grants: grants_lib.GrantStore,
) -> None:
    """The old owner's reply may arrive after the new owner's listing."""
    await grants.list_grants(ask(4))
    with pytest.raises(errors.NotRunError, match="new owner"):
        grants.add(grant(token=3))
    grants.add(grant(token=4))


async def test_held_grant_is_not_dispatched_below_the_minimum_token(
    grants: grants_lib.GrantStore,
) -> None:
    grants.add(grant())
    await grants.list_grants(ask(4))
    with pytest.raises(errors.NotRunError):
        grants.check_dispatch("g1")


async def test_minimum_token_never_decreases(
    grants: grants_lib.GrantStore,
) -> None:
    await grants.list_grants(ask(4))
    await grants.list_grants(ask(2))
    assert grants.min_token("engine-1") == 4


@pytest.mark.parametrize(
    ("elapsed_s", "allowed"),
    [
        pytest.param(0.0, True, id="at once"),
        pytest.param(0.999, True, id="just in time"),
        pytest.param(1.0, False, id="too late"),
        pytest.param(60.0, False, id="paused"),
    ],
)
def test_dispatch_has_a_start_deadline(
    grants: grants_lib.GrantStore,
    clock: dispatch_fakes.EagerClock,
    elapsed_s: float,
    allowed: bool,
) -> None:
    grants.add(grant())
    clock.seconds += elapsed_s
    if allowed:
        grants.check_dispatch("g1")
        return
    with pytest.raises(errors.NotRunError, match="in time"):
        grants.check_dispatch("g1")


def test_grant_of_a_lapsed_session_is_not_dispatched(
    clock: dispatch_fakes.EagerClock,
) -> None:
    """A node resumes after a pause with a grant of its previous session."""
    grants = grants_lib.GrantStore(clock=clock, session_id=lambda: "session-2")
    grants.add(grant())
    with pytest.raises(errors.NotRunError, match="lapsed"):
        grants.check_dispatch("g1")


def test_removed_grant_is_not_dispatched(
    grants: grants_lib.GrantStore,
) -> None:
    grants.add(grant())
    grants.remove("g1")
    assert grants.held() == ()
    with pytest.raises(errors.NotRunError):
        grants.check_dispatch("g1")
