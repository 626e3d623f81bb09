"""Slopes of the owner's, the limits' and the router's state and time.

Each slope is the growth between two sizes, so that what a part takes at rest
falls out. The owner's and the router's times leave out their decision lines,
which have a slope of their own.
"""

import asyncio
from collections.abc import Callable
import dataclasses
import datetime
import functools
import gc
import time
import tracemalloc
from typing import Any

from absl import logging

from _dogwoodhinge import decisions as decisions_lib
from _dogwoodhinge.config import contract as contract_lib
from _dogwoodhinge.engine_scheduling import estimator
from _dogwoodhinge.engine_scheduling import policies
from _dogwoodhinge.engine_scheduling import tuning
from _dogwoodhinge.limits import quota_home
from _dogwoodhinge.peer import peer_pb2
from _dogwoodhinge.routing import hints
from _dogwoodhinge.routing import policies as routing_policies
from _dogwoodhinge.routing import router as router_lib
from dogwoodhinge import models
from dogwoodhinge_lab import experiment_nodes
from dogwoodhinge_lab import experiment_time
from dogwoodhinge_lab import slope
from dogwoodhinge_lab import workload as workload_lib

SMALL = 200
LARGE = 1_200
CALLS = 2_000
ENGINE_ID = "writing-0"
LONG_DEADLINE_MS = 3_600_000


def measure() -> list[slope.Slope]:
    """Measures every slope."""
    logging.set_verbosity(logging.ERROR)
    return [
        slope.Slope("owner_adapter_history", _bytes_each(_histories), "bytes"),
        slope.Slope("owner_adapter_demand", _bytes_each(_demands), "bytes"),
        slope.Slope("entry_popular_adapter_hint", _bytes_each(_hints), "bytes"),
        slope.Slope("limit_home_customer", _bytes_each(_customers), "bytes"),
        slope.Slope(
            "owner_open_grant", _async_bytes_each(_open_grants), "bytes"
        ),
        slope.Slope(
            "owner_queued_request", _async_bytes_each(_queued), "bytes"
        ),
        slope.Slope("owner_grant_cpu", _grant_microseconds(), "us of CPU"),
        slope.Slope("entry_route_cpu", _route_microseconds(), "us of CPU"),
        slope.Slope("limit_lease_cpu", _lease_microseconds(), "us of CPU"),
        slope.Slope("decision_line_cpu", _decision_microseconds(), "us of CPU"),
        *_message_sizes(),
    ]


def _bytes_each(build: Callable[[int], Any]) -> float:
    sizes = [
        _traced(functools.partial(build, count)) for count in (SMALL, LARGE)
    ]
    return (sizes[1] - sizes[0]) / (LARGE - SMALL)


def _traced(build: Callable[[], Any]) -> int:
    gc.collect()
    tracemalloc.start()
    kept = build()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return size


def _adapter(number: int) -> models.AdapterVersion:
    return models.AdapterVersion(f"adapter-{number:05d}", "1")


def _histories(count: int) -> estimator.Estimator:
    made = estimator.Estimator()
    for number in range(count):
        made.learn(
            _adapter(number), output_tokens=99, gap_seconds=0.03, max_tokens=200
        )
    return made


def _demands(count: int) -> policies.LeastWorthPolicy:
    made = policies.LeastWorthPolicy(tuning.Tuning().demand_half_life)
    for number in range(count):
        made.note_demand(_adapter(number), float(number))
    return made


def _hints(count: int) -> hints.Hints:
    made = hints.Hints()
    for number in range(count):
        made.record_candidates(_adapter(number), 4, float(number))
    return made


def _contract(customer: str) -> contract_lib.Contract:
    return contract_lib.Contract(
        customer=customer,
        api_keys=(contract_lib.ApiKey(id="key", sha256="0" * 64),),
        limits=contract_lib.Limits(
            requests_per_second=1_000.0, burst=1_000, concurrency=1_000
        ),
    )


def _lease_request(customer: str) -> peer_pb2.LeaseQuotaRequest:
    return peer_pb2.LeaseQuotaRequest(
        customer=customer,
        session_id="host-1/0123456789abcdef",
        wanted_requests=4,
        running=2,
        wanted_concurrency=4,
    )


class _StillClock:
    """Stands still: leases are measured outside of any loop."""

    def now(self) -> datetime.datetime:
        return experiment_time.START

    def monotonic(self) -> float:
        return 100.0

    async def sleep(self, delay: datetime.timedelta) -> None:
        raise NotImplementedError


def _customers(count: int) -> quota_home.QuotaHome:
    contract = _contract("customer")
    home = quota_home.QuotaHome(
        contract=lambda name: contract.model_copy(update={"customer": name}),
        clock=_StillClock(),
    )
    home.sessions_changed_at = 0.0
    for number in range(count):
        home.lease(_lease_request(f"customer-{number:05d}"))
    return home


def _lease_microseconds() -> float:
    contract = _contract("customer")
    home = quota_home.QuotaHome(
        contract=lambda name: contract, clock=_StillClock()
    )
    request = _lease_request("customer")
    return _microseconds_each(lambda: home.lease(request))


def _microseconds_each(call: Callable[[], Any]) -> float:
    began = time.process_time()
    for _ in range(CALLS):
        call()
    return (time.process_time() - began) / CALLS * 1e6


def _decision_microseconds() -> float:
    """Times a decision's record without the write of the log line."""
    log = decisions_lib.DecisionLog(node="host-1", clock=_StillClock())
    decision = decisions_lib.Decision(
        kind="grant",
        chosen="0" * 32,
        reason="waited 0.003 s, first of 4 eligible",
        request_id="request",
        customer="customer-00001",
        engine_id=ENGINE_ID,
        adapter="adapter-00001@1",
        token=7,
    )
    return _microseconds_each(lambda: log.record(decision))


def _workload(batch: int) -> workload_lib.Workload:
    return workload_lib.Workload(
        name="slopes",
        zones=("zone-a",),
        nodes=1,
        adapters=1,
        zipf_exponent=1.0,
        customers=1,
        requests_per_second=1,
        deadline_seconds=10,
        warm_up_seconds=0,
        measured_seconds=1,
        roles=(
            workload_lib.Role(
                name="writing",
                engines=1,
                slots=12,
                batch=batch,
                share=1,
                output_tokens=100,
            ),
        ),
        prompts=workload_lib.Prompts(
            short_tokens=1, long_tokens=1, long_share=0
        ),
        long_jobs=workload_lib.LongJobs(
            share=0, output_tokens=1, deadline_seconds=1
        ),
        swings=(),
        store=workload_lib.Store(
            full_speed=2, crowded_from=16, loads_per_second=3
        ),
        services=(),
    )


def _admit_request(number: int) -> peer_pb2.AdmitRequest:
    return peer_pb2.AdmitRequest(
        request_id=f"request-{number:032d}",
        customer="customer-00001",
        engine_id=ENGINE_ID,
        adapter="adapter-00001",
        version="1",
        session_id="host-1/0123456789abcdef",
        deadline_ms=LONG_DEADLINE_MS,
        prompt_tokens=200,
        max_tokens=256,
        priority=1,
        weight=1.0,
    )


async def _start_owner(batch: int) -> experiment_nodes.OwnerNode:
    _, nodes = experiment_nodes.build(_workload(batch), experiment_nodes.OURS)
    (node,) = nodes.values()
    assert isinstance(node, experiment_nodes.OwnerNode)
    await node.start()
    return node


def _async_bytes_each(build: Callable[[int], Any]) -> float:
    sizes = [
        experiment_time.run(_traced_async(build, count))
        for count in (SMALL, LARGE)
    ]
    return (sizes[1] - sizes[0]) / (LARGE - SMALL)


async def _traced_async(build: Callable[[int], Any], count: int) -> int:
    gc.collect()
    tracemalloc.start()
    kept = await build(count)
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return size


async def _open_grants(count: int) -> object:
    node = await _start_owner(batch=count)
    for number in range(count):
        await node.registry.admit(_admit_request(number))
    return node


async def _queued(count: int) -> object:
    node = await _start_owner(batch=1)
    tasks = [
        asyncio.ensure_future(node.registry.admit(_admit_request(number)))
        for number in range(count)
    ]
    await asyncio.sleep(1)
    return node, tasks


def _grant_microseconds() -> float:
    return experiment_time.run(_time_grants())


async def _time_grants() -> float:
    node = await _start_owner(batch=16)
    await node.registry.admit(_admit_request(-1))
    began = time.process_time()
    for number in range(CALLS):
        reply = await node.registry.admit(_admit_request(number))
        await node.registry.release(
            peer_pb2.ReleaseRequest(
                grant_id=reply.grant.grant_id,
                engine_id=ENGINE_ID,
                started=True,
                completed=True,
                first_token_ms=40,
                mean_gap_ms=20,
                output_tokens=100,
            )
        )
    return (time.process_time() - began) / CALLS * 1e6


def _route_microseconds() -> float:
    return experiment_time.run(_time_routes())


async def _time_routes() -> float:
    parts, _ = experiment_nodes.build(_workload(16), experiment_nodes.OURS)
    engines = tuple(
        dataclasses.replace(
            parts.directory.endpoints[ENGINE_ID], endpoint_id=f"engine-{n:03d}"
        )
        for n in range(300)
    )
    router = router_lib.Router(
        directory=experiment_nodes.Directory(engines),
        policy=routing_policies.OwnerPolicy(),
        clock=parts.clock,
        settings=parts.settings,
        decisions=parts.decisions("node-0"),
    )
    calls = iter(range(CALLS))
    return _microseconds_each(
        lambda: router.candidates(
            _adapter(next(calls) % 100), "writing", request_id="request"
        )
    )


def _message_sizes() -> list[slope.Slope]:
    request = _admit_request(1)
    grant = peer_pb2.Grant(
        grant_id="0" * 32,
        request_id=request.request_id,
        engine_id=ENGINE_ID,
        adapter="adapter-00001",
        version="1",
        token=1_000,
        session_id=request.session_id,
        start_within_ms=5_000,
    )
    release = peer_pb2.ReleaseRequest(
        grant_id="0" * 32,
        engine_id=ENGINE_ID,
        started=True,
        completed=True,
        first_token_ms=100,
        mean_gap_ms=30,
        output_tokens=100,
    )
    messages = {
        "admit_request": request,
        "admit_reply": peer_pb2.AdmitReply(grant=grant),
        "release_request": release,
        "lease_quota_request": _lease_request("customer-00001"),
    }
    return [
        slope.Slope(f"wire_{name}", message.ByteSize(), "bytes")
        for name, message in messages.items()
    ]
