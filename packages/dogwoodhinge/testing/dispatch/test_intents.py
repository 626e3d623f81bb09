"""Tests of `_dogwoodhinge.dispatch.intents`."""

import dataclasses
import datetime
from unittest import mock

import pytest

from _dogwoodhinge.dispatch import errors as dispatch_errors
from _dogwoodhinge.dispatch import intent_records as records
from _dogwoodhinge.dispatch import intents as intents_lib
from dogwoodhinge import errors as public_errors
from dogwoodhinge import models
from dogwoodhinge_lab import dispatch_fakes
from dogwoodhinge_lab import memory_table

Fault = memory_table.Fault
ANSWER = models.PlainAnswer(201, b"booked", "text/plain")
REQUEST = intents_lib.IntentRequest(
    customer="aduelas",
    operation="booking/reserve",
    idempotency_key="k1",
    digest="d1",
    time_left=datetime.timedelta(seconds=30),
)


async def begin(intents: intents_lib.Intents) -> intents_lib.IntentAttempt:
    attempt = await intents.begin(REQUEST)
    assert isinstance(attempt, intents_lib.IntentAttempt)
    return attempt


@pytest.mark.parametrize(
    "faults",
    [
        pytest.param([Fault.ANSWER_LOST], id="answer lost"),
        pytest.param([Fault.LOST_BEFORE], id="request lost"),
        pytest.param([Fault.LOST_BEFORE, Fault.ANSWER_LOST], id="both"),
    ],
)
async def test_insert_with_lost_reply_is_read_back(
    intents: intents_lib.Intents,
    table: memory_table.MemoryTable,
    faults: list[Fault],
) -> None:
    table.commit_faults.extend(faults)
    attempt = await begin(intents)
    with pytest.raises(dispatch_errors.InProgressError):
        await intents.begin(REQUEST)
    await intents.record_answer(attempt, ANSWER)
    await intents.settle()
    assert await intents.begin(REQUEST) == ANSWER


async def test_insert_with_unknown_outcome_is_recorded_as_not_run(
    intents: intents_lib.Intents, table: memory_table.MemoryTable
) -> None:
    """A row whose attempt was rejected must not block its key."""
    table.commit_faults.append(Fault.ANSWER_LOST)
    table.commit_faults.extend([Fault.LOST_BEFORE] * 3)
    unavailable = mock.AsyncMock(
        side_effect=public_errors.TableUnavailableError()
    )
    with (
        mock.patch.object(memory_table.MemoryTable, "get", unavailable),
        pytest.raises(dispatch_errors.IntentsUnavailableError),
    ):
        await intents.begin(REQUEST)
    await intents.settle()
    await begin(intents)


async def test_table_outage_rejects_the_call(
    intents: intents_lib.Intents, table: memory_table.MemoryTable
) -> None:
    table.fault = Fault.UNAVAILABLE
    with pytest.raises(dispatch_errors.IntentsUnavailableError):
        await intents.begin(REQUEST)
    assert table.rows == {}


async def test_key_with_another_body_is_rejected(
    intents: intents_lib.Intents,
) -> None:
    await begin(intents)
    other = dataclasses.replace(REQUEST, digest="d2")
    with pytest.raises(dispatch_errors.KeyReusedError):
        await intents.begin(other)


@pytest.mark.parametrize(
    "other",
    [
        pytest.param({"customer": "easelpoint"}, id="customer"),
        pytest.param({"operation": "booking/release"}, id="operation"),
        pytest.param({"idempotency_key": "k2"}, id="key"),
    ],
)
async def test_keys_are_scoped(
    intents: intents_lib.Intents, other: dict[str, str]
) -> None:
    await begin(intents)
    scoped = dataclasses.replace(REQUEST, **other)
    assert isinstance(await intents.begin(scoped), intents_lib.IntentAttempt)


@pytest.mark.parametrize(
    ("state", "error"),
    [
        ("ended", dispatch_errors.PastOutcomeUnknownError),
        ("lapsed", dispatch_errors.InProgressError),
        (None, dispatch_errors.InProgressError),
    ],
)
async def test_paused_holder_counts_as_in_progress(
    intents: intents_lib.Intents,
    cluster: dispatch_fakes.FakeCluster,
    state: str | None,
    error: type[dispatch_errors.IntentError],
) -> None:
    """A caller that gets "outcome unknown" too early books a second time."""
    await begin(intents)
    session = cluster.sessions.pop(cluster.self_id)
    if state is not None:
        cluster.sessions[cluster.self_id] = dataclasses.replace(
            session, state=state
        )
    with pytest.raises(error):
        await intents.begin(REQUEST)


async def test_outcome_is_unknown_past_the_deadline(
    intents: intents_lib.Intents, clock: dispatch_fakes.EagerClock
) -> None:
    await begin(intents)
    clock.seconds += 30
    with pytest.raises(dispatch_errors.InProgressError):
        await intents.begin(REQUEST)
    clock.seconds += intents_lib.OUTCOME_MARGIN.total_seconds()
    with pytest.raises(dispatch_errors.PastOutcomeUnknownError):
        await intents.begin(REQUEST)


async def test_key_of_a_call_that_did_not_run_is_reusable(
    intents: intents_lib.Intents,
) -> None:
    first = await begin(intents)
    await intents.record_state(first, records.IntentState.NOT_RUN)
    second = await begin(intents)
    assert second.record.attempt_id != first.record.attempt_id
    assert second.version > first.version


async def test_key_with_unknown_outcome_is_never_reusable(
    intents: intents_lib.Intents,
) -> None:
    attempt = await begin(intents)
    await intents.record_state(attempt, records.IntentState.UNKNOWN)
    with pytest.raises(dispatch_errors.PastOutcomeUnknownError):
        await intents.begin(REQUEST)


async def test_large_answer_is_not_kept(intents: intents_lib.Intents) -> None:
    attempt = await begin(intents)
    body = b"x" * (records.MAX_KEPT_BODY_BYTES + 1)
    await intents.record_answer(
        attempt, models.PlainAnswer(201, body, "text/plain")
    )
    with pytest.raises(dispatch_errors.AnswerTooLargeError) as caught:
        await intents.begin(REQUEST)
    assert caught.value.status == 201


@pytest.mark.parametrize(
    "faults",
    [
        pytest.param([Fault.UNAVAILABLE] * 5, id="table down"),
        pytest.param([Fault.ANSWER_LOST], id="answer lost"),
        pytest.param([Fault.LOST_BEFORE], id="request lost"),
    ],
)
async def test_outcome_is_recorded_in_the_background(
    intents: intents_lib.Intents,
    table: memory_table.MemoryTable,
    faults: list[Fault],
) -> None:
    attempt = await begin(intents)
    table.commit_faults.extend(faults)
    await intents.record_answer(attempt, ANSWER)
    await intents.settle()
    assert await intents.begin(REQUEST) == ANSWER


async def test_sweep_deletes_expired_rows(
    intents: intents_lib.Intents,
    table: memory_table.MemoryTable,
    clock: dispatch_fakes.EagerClock,
) -> None:
    attempt = await begin(intents)
    await intents.sweep()
    assert len(table.rows) == 1
    clock.seconds += intents_lib.RETENTION.total_seconds()
    await intents.sweep()
    assert table.rows == {}
    assert (await begin(intents)).version > attempt.version + 1


async def test_attempt_of_a_swept_row_never_overwrites_the_new_row(
    intents: intents_lib.Intents,
    table: memory_table.MemoryTable,
    clock: dispatch_fakes.EagerClock,
) -> None:
    first = await begin(intents)
    clock.seconds += intents_lib.RETENTION.total_seconds()
    await intents.sweep()
    second = await begin(intents)
    await intents.record_answer(first, ANSWER)
    await intents.settle()
    row = await table.get(records.TABLE, second.key)
    assert row is not None
    assert records.decode(row.value) == second.record


def test_one_node_sweeps(
    intents: intents_lib.Intents, cluster: dispatch_fakes.FakeCluster
) -> None:
    assert intents._is_sweeper()  # noqa: SLF001
    cluster.sessions["a"] = dispatch_fakes.FakeSession("a", "10.0.0.1:1")
    assert not intents._is_sweeper()  # noqa: SLF001
