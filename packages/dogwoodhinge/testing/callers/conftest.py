"""Fixtures: the callers' application over a fake engine and service."""

from collections.abc import AsyncIterator
import dataclasses
import socket
from typing import final

import pytest

from _dogwoodhinge import clock as clock_lib
from _dogwoodhinge import listeners
from _dogwoodhinge.callers import app as app_lib
from _dogwoodhinge.callers import body_reader as body_reader_lib
from _dogwoodhinge.callers import connection_limit as connection_limit_lib
from _dogwoodhinge.callers import request_memory as request_memory_lib
from _dogwoodhinge.callers import request_tracker as request_tracker_lib
from _dogwoodhinge.config import contract as contract_lib
from _dogwoodhinge.dispatch import generations as generations_lib
from _dogwoodhinge.dispatch import plain_calls as plain_calls_lib
from dogwoodhinge_lab import dispatch_fakes
from dogwoodhinge_lab import dispatch_node
from dogwoodhinge_lab import memory_table

API_KEY = "key-of-aduelas"
MAX_BODY_BYTES = 2_000
MAX_HELD_BODY_BYTES = 400_000
MAX_CONNECTIONS = 20
BODY_PAUSE_SECONDS = 1.0


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class Harness:
    """A running application and the fakes that it calls."""

    url: str
    key: str
    cluster: dispatch_fakes.FakeCluster
    engine: dispatch_fakes.FakeEngine
    service: dispatch_fakes.FakeService
    table: memory_table.MemoryTable
    quotas: dispatch_fakes.FakeQuotas
    generations: generations_lib.Generations
    plain_calls: plain_calls_lib.PlainCalls
    contract: contract_lib.Contract
    body_reader: body_reader_lib.BodyReader
    request_memory: request_memory_lib.RequestMemory
    connection_limit: connection_limit_lib.ConnectionLimit
    request_tracker: request_tracker_lib.RequestTracker = dataclasses.field(
        default_factory=request_tracker_lib.RequestTracker
    )
    serving: bool = True
    unready_reason: str = ""

    def contract_for_key(self, api_key: str) -> contract_lib.Contract | None:
        return self.contract if self.contract.accepts_key(api_key) else None


@pytest.fixture
def contract() -> contract_lib.Contract:
    return contract_lib.Contract.model_validate(
        {
            "customer": "aduelas",
            "api_keys": (
                {"id": "main", "sha256": contract_lib.hash_key(API_KEY)},
            ),
            "limits": {
                "requests_per_second": 10.0,
                "concurrency": 10,
                "max_output_tokens": 100,
            },
            "adapters": (
                {
                    "name": "staves",
                    "versions": ("v1", "v2"),
                    "role": "description",
                },
            ),
            "services": (
                {
                    "name": "booking",
                    "operations": (
                        {"name": "reserve", "path": "/reserve"},
                        {
                            "name": "lookup",
                            "path": "/lookup",
                            "method": "GET",
                            "idempotent": True,
                        },
                    ),
                },
            ),
        }
    )


@pytest.fixture
async def harness(contract: contract_lib.Contract) -> AsyncIterator[Harness]:
    clock = clock_lib.SystemClock()
    cluster = dispatch_fakes.FakeCluster()
    engine = cluster.add_engine("engine-1")
    endpoint = dispatch_fakes.service_endpoint(1)
    cluster.service_endpoints.append(endpoint)
    service = dispatch_fakes.FakeService(endpoint)
    table = memory_table.MemoryTable()
    node = dispatch_node.make_node(
        cluster=cluster,
        table=table,
        clock=clock,
        services={endpoint.endpoint_id: service},
        settings=dispatch_node.make_settings(
            max_body_bytes=MAX_BODY_BYTES,
            max_held_body_bytes=MAX_HELD_BODY_BYTES,
            body_pause_seconds=BODY_PAUSE_SECONDS,
        ),
    )
    request_memory = request_memory_lib.RequestMemory(MAX_HELD_BODY_BYTES)
    harness = Harness(
        url="",
        key=API_KEY,
        cluster=cluster,
        engine=engine,
        service=service,
        table=table,
        quotas=dispatch_fakes.FakeQuotas(),
        generations=node.generations,
        plain_calls=node.plain_calls,
        contract=contract,
        body_reader=body_reader_lib.BodyReader(node.settings, request_memory),
        request_memory=request_memory,
        connection_limit=connection_limit_lib.ConnectionLimit(MAX_CONNECTIONS),
    )
    app = app_lib.build(
        app_lib.Dependencies(
            contracts=harness,
            quotas=harness.quotas,
            generations=node.generations,
            plain_calls=node.plain_calls,
            may_serve=lambda: harness.serving,
            unready_reason=lambda: harness.unready_reason,
            clock=clock,
            settings=node.settings,
            decisions=node.decisions,
            request_tracker=harness.request_tracker,
            body_reader=harness.body_reader,
            request_memory=harness.request_memory,
            connection_limit=harness.connection_limit,
        )
    )
    runner = app_lib.build_runner(app)
    await runner.setup()
    listening = socket.create_server(("127.0.0.1", 0))
    await listeners.LimitedSite(
        runner, listening, connection_limit=harness.connection_limit
    ).start()
    host, port = listening.getsockname()[:2]
    harness.url = f"http://{host}:{port}"
    yield harness
    await runner.cleanup()
    await node.settle()
