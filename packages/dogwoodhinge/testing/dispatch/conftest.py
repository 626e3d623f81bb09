"""Fixtures for the dispatch of one node, built on fakes."""

from collections.abc import Callable
import math

import pytest

from _dogwoodhinge.dispatch import admission as admission_lib
from _dogwoodhinge.dispatch import generation_requests
from _dogwoodhinge.dispatch import generations as generations_lib
from _dogwoodhinge.dispatch import grants as grants_lib
from _dogwoodhinge.dispatch import intents as intents_lib
from _dogwoodhinge.dispatch import plain_calls as plain_calls_lib
from _dogwoodhinge.quarantine import quarantine as quarantine_lib
from dogwoodhinge import models
from dogwoodhinge_lab import dispatch_fakes
from dogwoodhinge_lab import dispatch_node
from dogwoodhinge_lab import memory_table

ADAPTER = models.AdapterVersion("staves", "v1")
MakeRequest = Callable[..., generation_requests.GenerationRequest]


@pytest.fixture
def clock() -> dispatch_fakes.EagerClock:
    return dispatch_fakes.EagerClock()


@pytest.fixture
def table() -> memory_table.MemoryTable:
    return memory_table.MemoryTable()


@pytest.fixture
def cluster() -> dispatch_fakes.FakeCluster:
    cluster = dispatch_fakes.FakeCluster()
    cluster.add_engine("engine-1")
    cluster.add_engine("engine-2")
    return cluster


@pytest.fixture
def services(
    cluster: dispatch_fakes.FakeCluster,
) -> dict[str, dispatch_fakes.FakeService]:
    """Two endpoints of the service `booking`, one in the node's zone."""
    made = {}
    for number, zone in enumerate(("zone-a", "zone-b")):
        endpoint = dispatch_fakes.service_endpoint(number, zone=zone)
        cluster.service_endpoints.append(endpoint)
        made[endpoint.endpoint_id] = dispatch_fakes.FakeService(endpoint)
    return made


@pytest.fixture
def node(
    cluster: dispatch_fakes.FakeCluster,
    table: memory_table.MemoryTable,
    clock: dispatch_fakes.EagerClock,
    services: dict[str, dispatch_fakes.FakeService],
) -> dispatch_node.DispatchNode:
    return dispatch_node.make_node(
        cluster=cluster, table=table, clock=clock, services=services
    )


@pytest.fixture
def grants(node: dispatch_node.DispatchNode) -> grants_lib.GrantStore:
    return node.grants


@pytest.fixture
def admission(node: dispatch_node.DispatchNode) -> admission_lib.Admission:
    return node.admission


@pytest.fixture
def quarantine(
    node: dispatch_node.DispatchNode,
) -> quarantine_lib.Quarantine:
    return node.quarantine


@pytest.fixture
def generations(
    node: dispatch_node.DispatchNode,
) -> generations_lib.Generations:
    return node.generations


@pytest.fixture
def intents(node: dispatch_node.DispatchNode) -> intents_lib.Intents:
    return node.intents


@pytest.fixture
def plain_calls(
    node: dispatch_node.DispatchNode,
) -> plain_calls_lib.PlainCalls:
    return node.plain_calls


@pytest.fixture
def make_request(clock: dispatch_fakes.EagerClock) -> MakeRequest:
    def make(
        *,
        request_id: str = "request-1",
        body: bytes = b"{}",
        fingerprint: str = "f1",
        end_by: float = math.inf,
    ) -> generation_requests.GenerationRequest:
        return generation_requests.GenerationRequest(
            request_id=request_id,
            customer="aduelas",
            adapter=ADAPTER,
            role="description",
            priority=1,
            weight=1.0,
            path="/v1/completions",
            body=body,
            prompt_tokens=10,
            max_tokens=20,
            fingerprint=fingerprint,
            start_by=clock.monotonic() + 60,
            end_by=end_by,
        )

    return make
