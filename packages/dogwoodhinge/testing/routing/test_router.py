"""Tests of `_dogwoodhinge.routing.router` and its policies."""

import collections
import datetime
from typing import Any

import pytest

from _dogwoodhinge import decisions
from _dogwoodhinge import settings as settings_lib
from _dogwoodhinge.peer import peer_pb2
from _dogwoodhinge.routing import policies
from _dogwoodhinge.routing import router as router_lib
from dogwoodhinge import models
from dogwoodhinge_lab import manual_clock

ADAPTER = models.AdapterVersion("red", "1")
ENGINES = 5


class FakeDirectory:
    def __init__(self) -> None:
        self.unusable: set[str] = set()
        self.endpoints = [
            models.Endpoint(
                f"engine-{number}",
                models.EndpointKind.ENGINE,
                "http://127.0.0.1:1",
                role="writing",
            )
            for number in range(ENGINES)
        ]

    def engines(self, role: str | None = None) -> list[models.Endpoint]:
        return self.endpoints if role in (None, "writing") else []

    def get(self, endpoint_id: str) -> models.Endpoint | None:
        return next(
            (e for e in self.endpoints if e.endpoint_id == endpoint_id), None
        )

    def is_usable(self, endpoint_id: str) -> bool:
        return endpoint_id not in self.unusable


class RouterHarness:
    def __init__(self, policy: Any) -> None:
        self.clock = manual_clock.ManualClock()
        self.directory = FakeDirectory()
        self.decisions = decisions.DecisionLog(node="node-1", clock=self.clock)
        self.requests = 0
        self.router = router_lib.Router(
            directory=self.directory,
            policy=policy,
            clock=self.clock,
            settings=settings_lib.Settings(
                host_id="host-1",
                table_url="dynamodb+http://127.0.0.1:1",
                object_store_url="s3+http://127.0.0.1:1/objects",
                weight_store_url="s3+http://127.0.0.1:1/weights",
                host_list_url="sd+http://127.0.0.1:1/hosts",
            ),
            decisions=self.decisions,
        )

    def route(self, adapter: models.AdapterVersion = ADAPTER) -> list[str]:
        self.requests += 1
        found = self.router.candidates(
            adapter, "writing", request_id=f"request-{self.requests}"
        )
        return [candidate.engine_id for candidate in found]

    def learn(self, engine_id: str, **reply: Any) -> None:
        self.router.learn(ADAPTER, engine_id, peer_pb2.AdmitReply(**reply))

    async def advance(self, seconds: float) -> None:
        await self.clock.advance(datetime.timedelta(seconds=seconds))


@pytest.fixture
def harness() -> RouterHarness:
    return RouterHarness(policies.OwnerPolicy())


def test_adapter_is_routed_to_its_first_candidates(
    harness: RouterHarness,
) -> None:
    first = harness.route()
    assert len(first) == 2
    assert all(harness.route() == first for _ in range(10))


def test_unusable_engine_is_no_candidate(harness: RouterHarness) -> None:
    first = harness.route()
    harness.directory.unusable.add(first[0])
    assert harness.route()[0] == first[1]


def test_no_usable_engine_is_logged_as_refused(harness: RouterHarness) -> None:
    harness.directory.unusable.update(
        endpoint.endpoint_id for endpoint in harness.directory.endpoints
    )
    assert harness.route() == []
    assert '"chosen":"refuse"' in harness.decisions.explain("request-1")[0]


async def test_busy_engine_is_ranked_last_until_the_wait_decays(
    harness: RouterHarness,
) -> None:
    first = harness.route()
    harness.learn(first[0], refusal=peer_pb2.Refusal(retry_after_ms=3_000))
    assert harness.route() == [first[1], first[0]]
    await harness.advance(10)
    assert harness.route() == first


async def test_wait_is_measured_until_the_grant(
    harness: RouterHarness,
) -> None:
    first = harness.route()
    await harness.advance(8)
    grant = peer_pb2.Grant(request_id="request-1")
    harness.learn(first[0], grant=grant)
    waits = harness.router.hints.wait(first[0], harness.clock.monotonic())
    assert waits == pytest.approx(0.3 * 8)


async def test_popular_adapter_uses_more_engines_until_the_hint_expires(
    harness: RouterHarness,
) -> None:
    first = harness.route()
    harness.learn(
        first[0],
        grant=peer_pb2.Grant(request_id="unknown"),
        candidates_hint=4,
        hint_lifetime_ms=5_000,
    )
    counts = collections.Counter(harness.route()[0] for _ in range(400))
    assert len(counts) == 4
    assert min(counts.values()) > 60
    await harness.advance(6)
    assert harness.route() == first


def test_decision_line_contains_the_scores(harness: RouterHarness) -> None:
    first = harness.route()
    (line,) = harness.decisions.explain("request-1")
    assert f'"chosen":"{first[0]}"' in line
    assert f'"{first[1]}":-0.25' in line


@pytest.mark.parametrize(
    ("policy", "same_engine"),
    [
        pytest.param(policies.RandomPolicy(), False, id="random"),
        pytest.param(policies.RendezvousPolicy(), True, id="rendezvous"),
    ],
)
def test_baseline_policies(policy: Any, same_engine: bool) -> None:
    harness = RouterHarness(policy)
    chosen = {harness.route()[0] for _ in range(50)}
    assert (len(chosen) == 1) == same_engine


def test_least_load_uses_the_reports() -> None:
    harness = RouterHarness(policies.LeastLoadPolicy())
    harness.router.loads = {f"engine-{n}": 9 - n for n in range(ENGINES)}
    assert harness.route()[0] == "engine-4"


def test_stored_hints_and_requests_are_bounded(harness: RouterHarness) -> None:
    for number in range(5_000):
        adapter = models.AdapterVersion(f"adapter-{number}", "1")
        harness.router.hints.record_candidates(adapter, 3, 0.0)
        harness.route(adapter)
    assert len(harness.router.hints.adapters) <= 4_000
    assert len(harness.router.asked_at) <= 4_000
