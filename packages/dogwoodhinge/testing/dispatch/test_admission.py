"""Tests of `_dogwoodhinge.dispatch.admission`."""

import asyncio
import datetime
from typing import Any

import pytest

from _dogwoodhinge import errors
from _dogwoodhinge.dispatch import admission as admission_lib
from _dogwoodhinge.dispatch import errors as dispatch_errors
from _dogwoodhinge.dispatch import grants as grants_lib
from _dogwoodhinge.dispatch import releases
from _dogwoodhinge.peer import peer_pb2
from dogwoodhinge import models
from dogwoodhinge_lab import dispatch_fakes

PEER = "10.0.0.2:8082"


def request(clock: dispatch_fakes.EagerClock) -> admission_lib.AdmissionRequest:
    return admission_lib.AdmissionRequest(
        request_id="request-1",
        customer="aduelas",
        adapter=models.AdapterVersion("staves", "v1"),
        role="description",
        start_by=clock.monotonic() + 60,
        answer_by=clock.monotonic() + 90,
        prompt_tokens=1,
        max_tokens=1,
        priority=1,
        weight=1.0,
    )


def set_peer_owner(
    cluster: dispatch_fakes.FakeCluster, engine_id: str, token: int = 1
) -> None:
    cluster.sessions["peer"] = dispatch_fakes.FakeSession("peer", PEER)
    cluster.owners[engine_id] = dispatch_fakes.FakeOwner(
        engine_id, "peer", token
    )


def refusal(retry_after_ms: int) -> peer_pb2.AdmitReply:
    return peer_pb2.AdmitReply(
        refusal=peer_pb2.Refusal(reason="full", retry_after_ms=retry_after_ms)
    )


async def test_own_engine_is_admitted_without_a_peer_call(
    admission: admission_lib.Admission,
    cluster: dispatch_fakes.FakeCluster,
    grants: grants_lib.GrantStore,
    clock: dispatch_fakes.EagerClock,
) -> None:
    grant = await admission.admit(request(clock))
    assert grant.engine_id == "engine-1"
    assert [held.grant for held in grants.held()] == [grant]
    assert cluster.calls == []


async def test_admit_is_sent_to_the_peer_that_owns_the_engine(
    admission: admission_lib.Admission,
    cluster: dispatch_fakes.FakeCluster,
    clock: dispatch_fakes.EagerClock,
) -> None:
    set_peer_owner(cluster, "engine-1")
    cluster.on_call = lambda address, method, message: peer_pb2.AdmitReply(
        grant=cluster.make_grant(message)
    )
    grant = await admission.admit(request(clock))
    address, method, message = cluster.calls[0]
    assert (address, method) == (PEER, "Admit")
    assert message.session_id == cluster.self_id
    assert message.deadline_ms == 90_000
    assert grant.engine_id == "engine-1"


@pytest.mark.parametrize(
    "reply",
    [
        pytest.param(errors.OwnershipError("lost"), id="ownership lost"),
        pytest.param(refusal(500), id="refused"),
        pytest.param(
            peer_pb2.AdmitReply(
                redirect=peer_pb2.Redirect(engine_id="engine-2")
            ),
            id="redirect",
        ),
        pytest.param(
            peer_pb2.AdmitReply(
                redirect=peer_pb2.Redirect(engine_id="engine-1")
            ),
            id="not the owner",
        ),
    ],
)
async def test_next_candidate_is_tried(
    admission: admission_lib.Admission,
    cluster: dispatch_fakes.FakeCluster,
    clock: dispatch_fakes.EagerClock,
    reply: Any,
) -> None:
    cluster.replies.append(reply)
    grant = await admission.admit(request(clock))
    assert grant.engine_id == "engine-2"


async def test_unreachable_peer_is_skipped(
    admission: admission_lib.Admission,
    cluster: dispatch_fakes.FakeCluster,
    clock: dispatch_fakes.EagerClock,
) -> None:
    set_peer_owner(cluster, "engine-1")
    grant = await admission.admit(request(clock))
    assert grant.engine_id == "engine-2"
    assert cluster.invalidated == ["engine-1"]


async def test_refusal_has_the_shortest_retry_after(
    admission: admission_lib.Admission,
    cluster: dispatch_fakes.FakeCluster,
    clock: dispatch_fakes.EagerClock,
) -> None:
    cluster.replies.extend([refusal(900), refusal(400)])
    began_at = clock.monotonic()
    with pytest.raises(errors.RefusedError) as caught:
        await admission.admit(request(clock))
    assert caught.value.retry_after == datetime.timedelta(milliseconds=400)
    assert clock.monotonic() == began_at


async def test_refusal_without_retry_after_is_final(
    admission: admission_lib.Admission,
    cluster: dispatch_fakes.FakeCluster,
    clock: dispatch_fakes.EagerClock,
) -> None:
    cluster.replies.extend([refusal(0), refusal(0)])
    with pytest.raises(dispatch_errors.UnservableRequestError):
        await admission.admit(request(clock))


async def test_refusal_with_retry_after_is_preferred(
    admission: admission_lib.Admission,
    cluster: dispatch_fakes.FakeCluster,
    clock: dispatch_fakes.EagerClock,
) -> None:
    cluster.replies.extend([refusal(0), refusal(400)])
    with pytest.raises(errors.RefusedError) as caught:
        await admission.admit(request(clock))
    assert caught.value.retry_after == datetime.timedelta(milliseconds=400)


async def test_wait_for_a_missing_owner_times_out(
    admission: admission_lib.Admission,
    cluster: dispatch_fakes.FakeCluster,
    clock: dispatch_fakes.EagerClock,
) -> None:
    cluster.owners.clear()
    began_at = clock.monotonic()
    with pytest.raises(errors.RefusedError, match="no owner"):
        await admission.admit(request(clock))
    waited = datetime.timedelta(seconds=clock.monotonic() - began_at)
    assert waited <= admission_lib.OWNER_WAIT_TIMEOUT


async def test_wait_for_the_next_owner_starts_when_an_owner_is_lost(
    admission: admission_lib.Admission,
    cluster: dispatch_fakes.FakeCluster,
    clock: dispatch_fakes.EagerClock,
) -> None:
    """Regression: a request that had waited in a queue was refused at once."""
    cluster.owners.clear()
    set_peer_owner(cluster, "engine-1")

    def hand_over(address: str, method: str, message: Any) -> None:
        cluster.owners.clear()
        clock.seconds += admission_lib.OWNER_WAIT_TIMEOUT.total_seconds() - 0.3
        cluster.on_call = lambda address, method, message: peer_pb2.AdmitReply(
            grant=cluster.make_grant(message)
        )
        asyncio.get_running_loop().call_soon(take_over_later)
        raise errors.OwnershipError("handed over")

    def take_over_later() -> None:
        if clock.seconds < lost_at + 1.0:
            asyncio.get_running_loop().call_soon(take_over_later)
        else:
            set_peer_owner(cluster, "engine-1", token=2)

    lost_at = (
        clock.seconds + admission_lib.OWNER_WAIT_TIMEOUT.total_seconds() - 0.3
    )
    cluster.on_call = hand_over
    grant = await admission.admit(request(clock))
    assert grant.engine_id == "engine-1"
    assert clock.seconds >= lost_at + 1.0


async def test_grant_of_a_cancelled_caller_is_released(
    admission: admission_lib.Admission,
    cluster: dispatch_fakes.FakeCluster,
    grants: grants_lib.GrantStore,
    clock: dispatch_fakes.EagerClock,
) -> None:
    admit_task = asyncio.create_task(admission.admit(request(clock)))
    await asyncio.sleep(0)
    admit_task.cancel()
    await asyncio.gather(admit_task, return_exceptions=True)
    await admission.settle()
    assert [r.started for r in cluster.releases] == [False]
    assert grants.held() == ()


async def test_release_is_sent_until_delivered(
    admission: admission_lib.Admission,
    cluster: dispatch_fakes.FakeCluster,
    grants: grants_lib.GrantStore,
    clock: dispatch_fakes.EagerClock,
) -> None:
    grant = await admission.admit(request(clock))
    set_peer_owner(cluster, "engine-1")
    answers = [
        errors.PeerUnreachableError("cut"),
        errors.PeerOutcomeUnknownError("lost"),
        peer_pb2.ReleaseReply(known=True),
    ]

    def answer(address: str, method: str, message: Any) -> Any:
        result = answers.pop(0)
        if isinstance(result, Exception):
            raise result
        return result

    cluster.on_call = answer
    await admission.release(grant, releases.ReleaseResult(started=True))
    assert answers == []
    assert grants.held() == ()


async def test_release_is_sent_to_a_new_owner_that_listed_the_grant(
    admission: admission_lib.Admission,
    cluster: dispatch_fakes.FakeCluster,
    grants: grants_lib.GrantStore,
    clock: dispatch_fakes.EagerClock,
) -> None:
    """The old owner gets the release after the new one listed the grant."""
    grant = await admission.admit(request(clock))
    await grants.list_grants(
        peer_pb2.ListGrantsRequest(engine_id="engine-1", token=2)
    )
    cluster.on_call = lambda *_: peer_pb2.ReleaseReply(known=True)
    invalidate = cluster.invalidate

    def learn_new_owner(engine_id: str) -> None:
        invalidate(engine_id)
        set_peer_owner(cluster, engine_id, token=2)

    cluster.invalidate = learn_new_owner  # type: ignore[method-assign]
    await admission.release(grant, releases.ReleaseResult())
    assert len(cluster.releases) == 1
    assert [method for _, method, _ in cluster.calls] == ["Release"]


async def test_release_unknown_to_a_former_owner_is_sent_to_the_new_one(
    admission: admission_lib.Admission,
    cluster: dispatch_fakes.FakeCluster,
    clock: dispatch_fakes.EagerClock,
) -> None:
    """A draining owner hands its grants over without listing this node's."""
    grant = await admission.admit(request(clock))
    set_peer_owner(cluster, "engine-1")
    replies = [
        peer_pb2.ReleaseReply(known=False),
        peer_pb2.ReleaseReply(known=True),
    ]
    cluster.on_call = lambda *_: replies.pop(0)
    await admission.release(grant, releases.ReleaseResult())
    assert replies == []
    assert cluster.invalidated == ["engine-1"]


@pytest.mark.parametrize("silent", [True, False])
async def test_peer_is_abandoned_only_if_its_probes_fail(
    admission: admission_lib.Admission,
    cluster: dispatch_fakes.FakeCluster,
    clock: dispatch_fakes.EagerClock,
    monkeypatch: pytest.MonkeyPatch,
    silent: bool,
) -> None:
    """A queued admission looks like a dead connection: neither sends data."""
    monkeypatch.setattr(
        admission_lib,
        "OWNER_CHECK_INTERVAL",
        datetime.timedelta(milliseconds=1),
    )
    set_peer_owner(cluster, "engine-1")
    probed = asyncio.Event()

    async def admit(message: Any) -> peer_pb2.AdmitReply:
        await (asyncio.Event() if silent else probed).wait()
        return peer_pb2.AdmitReply(grant=cluster.make_grant(message))

    async def probe() -> peer_pb2.ListGrantsReply:
        clock.seconds += 1
        probed.set()
        if silent:
            raise errors.PeerOutcomeUnknownError("no answer")
        return peer_pb2.ListGrantsReply()

    cluster.on_call = lambda _, method, message: (
        admit(message) if method == "Admit" else probe()
    )
    grant = await admission.admit(request(clock))
    assert grant.engine_id == ("engine-2" if silent else "engine-1")
    assert cluster.invalidated == (["engine-1"] if silent else [])
