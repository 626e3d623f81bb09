"""Slopes of a real node's process: a proxied request, a streamed token."""

import asyncio
import collections
import os

from dogwoodhinge_lab import fleet
from dogwoodhinge_lab import fleet_clients
from dogwoodhinge_lab import fleet_shape
from dogwoodhinge_lab import slope

ADAPTERS = 4
SHORT_REQUESTS = 400
LONG_REQUESTS = 60
LONG_TOKENS = 400
AT_ONCE = 24
IDLE_SECONDS = 10.0
STEP_MS = 4.0
SHAPE = fleet_shape.Shape(
    nodes=1,
    engines=(
        fleet_shape.EngineShape(
            engine_id="engine-1",
            slots=ADAPTERS,
            batch=AT_ONCE,
            step_ms=STEP_MS,
        ),
    ),
    separate_standins=True,
)


async def measure() -> list[slope.Slope]:
    """Measures all slopes of this module."""
    async with fleet.Fleet(SHAPE) as running:
        await running.apply_contract()
        await running.settle()
        node = running.running_nodes()[0]
        pid = node.process.pid
        await _send(running, requests=AT_ONCE, tokens=1)
        idle = await _idle_cpu(pid)
        short = await _cpu_of(running, pid, SHORT_REQUESTS, 1)
        long = await _cpu_of(running, pid, LONG_REQUESTS, LONG_TOKENS)
        rss = slope.process_rss_bytes(pid)
    a_token = (long - short) / (LONG_TOKENS - 1)
    return [
        slope.Slope("idle node", idle * 1e2, "% of a core"),
        slope.Slope(
            "proxied request of one token, owner on the same node",
            short,
            "us of CPU",
        ),
        slope.Slope("streamed token", a_token, "us of CPU"),
        slope.Slope("node after the requests", rss / 1e6, "MB"),
    ]


async def _idle_cpu(pid: int) -> float:
    begin = slope.process_cpu_seconds(pid)
    await asyncio.sleep(IDLE_SECONDS)
    return (slope.process_cpu_seconds(pid) - begin) / IDLE_SECONDS


async def _cpu_of(
    running: fleet.Fleet, pid: int, requests: int, tokens: int
) -> float:
    """Returns the node's CPU microseconds a request."""
    begin = slope.process_cpu_seconds(pid)
    await _send(running, requests=requests, tokens=tokens)
    spent = slope.process_cpu_seconds(pid) - begin
    return spent / requests * slope.MICROSECONDS


async def _send(running: fleet.Fleet, *, requests: int, tokens: int) -> None:
    bound = asyncio.Semaphore(AT_ONCE)
    url = running.running_nodes()[0].caller_url
    statuses: collections.Counter[int] = collections.Counter()

    async def one(number: int) -> None:
        wanted = fleet_clients.Completion(
            model=f"description-{number % ADAPTERS}@v1",
            prompt=f"{os.getpid()}-{tokens}-{number}",
            max_tokens=tokens,
        )
        async with bound:
            answer = await running.caller.complete(url, wanted)
        statuses[answer.status if answer.whole else -answer.status] += 1

    await asyncio.gather(*(one(number) for number in range(requests)))
    if set(statuses) != {fleet_clients.STATUS_OK}:
        raise RuntimeError(f"not all requests were answered: {statuses}")
