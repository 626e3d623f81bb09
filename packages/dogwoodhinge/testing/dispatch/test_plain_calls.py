"""Tests of `_dogwoodhinge.dispatch.plain_calls`."""

import asyncio
import collections
import contextvars
import dataclasses
import datetime
from typing import final
from unittest import mock

import hypothesis
from hypothesis import strategies
import pytest

from _dogwoodhinge import errors
from _dogwoodhinge import injection
from _dogwoodhinge.config import contract as contract_lib
from _dogwoodhinge.dispatch import errors as dispatch_errors
from _dogwoodhinge.dispatch import intents as intents_lib
from _dogwoodhinge.dispatch import plain_calls as plain_calls_lib
from dogwoodhinge import errors as public_errors
from dogwoodhinge import models
from dogwoodhinge_lab import dispatch_fakes
from dogwoodhinge_lab import dispatch_node
from dogwoodhinge_lab import manual_clock
from dogwoodhinge_lab import memory_table

ServiceFault = dispatch_fakes.ServiceFault
RESERVE = contract_lib.Operation(name="reserve", path="/reserve")
LOOKUP = contract_lib.Operation(name="lookup", path="/lookup", idempotent=True)
CURRENT_NODE = contextvars.ContextVar("current_node", default=-1)
NODES = 3
NOT_RUN_ERRORS = (
    errors.NotRunError,
    dispatch_errors.KeyReusedError,
    dispatch_errors.IntentsUnavailableError,
)


def plain_request(
    operation: contract_lib.Operation,
    *,
    request_id: str = "r1",
    key: str = "k1",
    end_by: float = 1_010.0,
) -> plain_calls_lib.PlainCallRequest:
    return plain_calls_lib.PlainCallRequest(
        request_id=request_id,
        customer="aduelas",
        service="booking",
        operation=operation,
        query="",
        body=b"{}",
        content_type="application/json",
        idempotency_key=key,
        end_by=end_by,
    )


def runs(services: dict[str, dispatch_fakes.FakeService]) -> int:
    return sum(len(service.runs) for service in services.values())


@pytest.mark.parametrize(
    ("operation", "fault", "expected_runs"),
    [
        pytest.param(
            RESERVE, ServiceFault.UNREACHABLE, 1, id="reserve, no route"
        ),
        pytest.param(
            LOOKUP, ServiceFault.UNREACHABLE, 1, id="lookup, no route"
        ),
        pytest.param(LOOKUP, ServiceFault.LOST_BEFORE, 1, id="lookup, lost"),
        pytest.param(LOOKUP, ServiceFault.LOST_AFTER, 2, id="lookup, doubled"),
    ],
)
async def test_second_endpoint_is_tried_if_safe(
    plain_calls: plain_calls_lib.PlainCalls,
    services: dict[str, dispatch_fakes.FakeService],
    operation: contract_lib.Operation,
    fault: ServiceFault,
    expected_runs: int,
) -> None:
    services["service-0"].faults.append(fault)
    result = await plain_calls.call(plain_request(operation))
    assert result.answer.status == 201
    assert runs(services) == expected_runs


@pytest.mark.parametrize(
    "fault", [ServiceFault.LOST_BEFORE, ServiceFault.LOST_AFTER]
)
async def test_reservation_of_unknown_outcome_is_never_repeated(
    plain_calls: plain_calls_lib.PlainCalls,
    services: dict[str, dispatch_fakes.FakeService],
    fault: ServiceFault,
) -> None:
    services["service-0"].faults.append(fault)
    with pytest.raises(errors.OutcomeUnknownError):
        await plain_calls.call(plain_request(RESERVE))
    for _ in range(3):
        with pytest.raises(dispatch_errors.PastOutcomeUnknownError):
            await plain_calls.call(plain_request(RESERVE))
    assert runs(services) <= 1


async def test_pause_past_the_deadline_does_not_dispatch(
    plain_calls: plain_calls_lib.PlainCalls,
    services: dict[str, dispatch_fakes.FakeService],
    clock: dispatch_fakes.EagerClock,
) -> None:
    async def pause() -> None:
        clock.seconds += 60

    injection.arm(injection.Step.INTENT, pause)
    try:
        with pytest.raises(errors.NotRunError, match="deadline"):
            await plain_calls.call(plain_request(RESERVE))
    finally:
        injection.disarm_all()
    assert runs(services) == 0
    later = clock.monotonic() + 10
    await plain_calls.call(plain_request(RESERVE, end_by=later))
    assert runs(services) == 1


@final
class FaultyTable:
    """A table with faults; lost transactions may be applied later."""

    def __init__(self) -> None:
        self.inner = memory_table.MemoryTable()
        self.fault = "none"
        self.delayed: collections.deque[models.Transaction] = (
            collections.deque()
        )

    async def get(self, table: str, key: str) -> models.Row | None:
        if self.fault == "down":
            raise public_errors.TableUnavailableError("down")
        return await self.inner.get(table, key)

    async def scan(
        self, table: str, *, prefix: str = "", after: str = "", limit: int = 100
    ) -> tuple[models.Row, ...]:
        return await self.inner.scan(
            table, prefix=prefix, after=after, limit=limit
        )

    async def close(self) -> None:
        await self.inner.close()

    async def commit(self, transaction: models.Transaction) -> None:
        if self.fault == "down":
            raise public_errors.TableUnavailableError("down")
        if self.fault == "late":
            self.delayed.append(transaction)
            raise public_errors.TableOutcomeUnknownError("late")
        await self.inner.commit(transaction)
        if self.fault == "answer_lost":
            raise public_errors.TableOutcomeUnknownError("answer lost")

    def apply_late(self) -> None:
        while self.delayed:
            try:
                self.inner.apply(self.delayed.popleft())
            except public_errors.TableConflictError:
                pass


@final
@dataclasses.dataclass(slots=True)
class SentCall:
    """A call that was sent, and the task that awaits its answer."""

    request: plain_calls_lib.PlainCallRequest
    task: asyncio.Task[plain_calls_lib.PlainResult]


@final
class ThreeNodeSystem:
    """Three nodes that share one service and one table."""

    def __init__(self) -> None:
        self.clock = manual_clock.ManualClock()
        self.table = FaultyTable()
        self.cluster = dispatch_fakes.FakeCluster()
        endpoint = dispatch_fakes.service_endpoint(0)
        self.cluster.service_endpoints.append(endpoint)
        self.service = dispatch_fakes.FakeService(endpoint)
        self.gates = [asyncio.Event() for _ in range(NODES)]
        self.sent_calls: list[SentCall] = []
        for gate in self.gates:
            gate.set()
        self.nodes = [self.make_node(n) for n in range(NODES)]

    def make_node(self, number: int) -> plain_calls_lib.PlainCalls:
        cluster = dispatch_fakes.FakeCluster(f"session-{number}")
        cluster.sessions = self.cluster.sessions
        cluster.sessions[cluster.self_id] = dispatch_fakes.FakeSession(
            cluster.self_id, ""
        )
        cluster.service_endpoints = self.cluster.service_endpoints
        return dispatch_node.make_node(
            cluster=cluster,
            table=self.table,
            clock=self.clock,
            services={self.service.endpoint.endpoint_id: self.service},
        ).plain_calls

    async def perform(self, action: tuple[str, int]) -> None:
        """Carries out one action of a schedule."""
        name, number = action
        node = number % NODES
        self.cluster.unusable.clear()
        match name:
            case "send":
                self.send(node)
            case "send and wait":
                self.send(node)
                await self.clock.advance(datetime.timedelta(milliseconds=10))
            case "pause":
                self.gates[node].clear()
            case "wake":
                self.gates[node].set()
            case "pause and lapse":
                self.gates[node].clear()
                self.set_session(node, "lapsed")
            case "table":
                modes = ("none", "down", "late", "answer_lost")
                self.table.fault = modes[number % len(modes)]
            case "apply_late":
                self.table.apply_late()
            case "service":
                faults = tuple(ServiceFault)
                self.service.faults.append(faults[number % len(faults)])
            case "advance":
                delay = datetime.timedelta(milliseconds=10**number)
                await self.clock.advance(delay)
        await manual_clock.settle()

    def send(self, node: int) -> None:
        request = plain_request(
            RESERVE,
            request_id=f"r{len(self.sent_calls)}",
            end_by=self.clock.monotonic() + 10,
        )
        token = CURRENT_NODE.set(node)
        task = asyncio.ensure_future(self.nodes[node].call(request))
        CURRENT_NODE.reset(token)
        self.sent_calls.append(SentCall(request, task))

    def set_session(self, node: int, state: str) -> None:
        name = f"session-{node}"
        self.cluster.sessions[name] = dispatch_fakes.FakeSession(
            name, "", state
        )

    async def wait_for_gate(self) -> None:
        node = CURRENT_NODE.get()
        if node >= 0:
            await self.gates[node].wait()

    async def run(self, schedule: list[tuple[str, int]]) -> None:
        """Runs a schedule, ends all faults and checks the outcome."""
        injection.arm(injection.Step.INTENT, self.wait_for_gate)
        injection.arm(injection.Step.DISPATCH, self.wait_for_gate)
        try:
            for action in schedule:
                await self.perform(action)
            self.table.fault = "none"
            self.table.apply_late()
            for gate in self.gates:
                gate.set()
            for _ in range(20):
                await self.clock.advance(datetime.timedelta(seconds=60))
        finally:
            injection.disarm_all()
        self.check()

    def check(self) -> None:
        """Checks the service's runs against the answers that callers got."""
        ran = [call.call_id for call in self.service.runs]
        assert len(ran) <= 1, f"the key ran {len(ran)} times"
        for sent in self.sent_calls:
            assert sent.task.done()
            error = sent.task.exception()
            if error is None:
                body = sent.task.result().answer.body.decode()
                assert body == f"ran {ran[0]}"
            elif isinstance(error, NOT_RUN_ERRORS):
                assert sent.request.request_id not in ran, "reported as not run"


ACTIONS = strategies.one_of(
    strategies.tuples(
        strategies.sampled_from(["send", "send and wait"]),
        strategies.integers(0, 2),
    ),
    strategies.tuples(
        strategies.sampled_from(["pause", "pause and lapse", "wake"]),
        strategies.integers(0, 2),
    ),
    strategies.tuples(
        strategies.sampled_from(["table", "service"]),
        strategies.integers(0, 3),
    ),
    strategies.tuples(strategies.just("apply_late"), strategies.just(0)),
    strategies.tuples(strategies.just("advance"), strategies.integers(0, 4)),
)
SCHEDULES = strategies.lists(ACTIONS, min_size=4, max_size=25)


async def run_schedule(schedule: list[tuple[str, int]]) -> None:
    await ThreeNodeSystem().run(schedule)


@hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
@hypothesis.given(schedule=SCHEDULES)
def test_key_runs_at_most_once_over_all_nodes(
    schedule: list[tuple[str, int]],
) -> None:
    asyncio.run(run_schedule(schedule))


LATE = 2
ANSWER_LOST = 3
LOST_AFTER = 3


def allow_rerun(
    intents: intents_lib.Intents, found: object, request: object
) -> None:
    """Injected fault: another attempt may run under a pending key."""


@pytest.mark.parametrize(
    "schedule",
    [
        pytest.param(
            [("pause", 0), ("send", 0), ("advance", 2)]
            + [("pause and lapse", 0)]
            + [("send", 1), ("advance", 2)],
            id="paused holder",
        ),
        pytest.param(
            [("service", LOST_AFTER), ("send", 0), ("advance", 2)]
            + [("send", 1), ("advance", 2)],
            id="lost answer",
        ),
    ],
)
async def test_check_detects_a_second_run(
    schedule: list[tuple[str, int]],
) -> None:
    await run_schedule(schedule)
    with (
        mock.patch.object(
            intents_lib.Intents, "_resolve_existing", allow_rerun
        ),
        pytest.raises(AssertionError, match="ran 2 times"),
    ):
        await run_schedule(schedule)


async def test_late_insert_of_an_abandoned_attempt_runs_nothing() -> None:
    schedule = [("table", LATE), ("send", 0), ("advance", 3), ("table", 0)]
    await run_schedule(
        [*schedule, ("send", 1), ("apply_late", 0), ("advance", 2)]
    )


async def test_lost_record_leaves_no_second_run() -> None:
    schedule = [("pause", 0), ("send", 0), ("advance", 1)]
    schedule += [("table", ANSWER_LOST), ("wake", 0), ("advance", 1)]
    await run_schedule([*schedule, ("send", 1), ("send", 2)])
