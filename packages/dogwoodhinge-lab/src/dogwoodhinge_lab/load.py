"""Sends a workload to the caller ports of nodes, in real time.

Open loop: jobs are sent when the workload says, however many are under way,
and latency counts from that time, so that a slow system is not spared work.
Either name running nodes with `--callers`, or let the tool start a fleet of
the workload's shape with stand-ins for the platform.
"""

import asyncio
import collections
from collections.abc import Iterable, Sequence
import dataclasses
import os
import pathlib
import random
from typing import Any, final

from absl import app
from absl import flags

from dogwoodhinge import models
from dogwoodhinge_lab import fleet as fleet_lib
from dogwoodhinge_lab import fleet_clients
from dogwoodhinge_lab import fleet_shape
from dogwoodhinge_lab import measure_figures
from dogwoodhinge_lab import workload as workload_lib

WORKLOADS = pathlib.Path(__file__).parents[2] / "workloads"
MILLISECONDS = 1_000
IN_FORCE_SECONDS = 3.0
REFUSED = (429, 503)

WORKLOAD = flags.DEFINE_string("workload", "aduelas", "workload file to send")
LOAD_SEED = flags.DEFINE_integer("load_seed", 1, "seed of the arrivals")
LOAD_SECONDS = flags.DEFINE_float(
    "load_seconds", 30.0, "how long jobs are sent", lower_bound=1
)
RATE_FACTOR = flags.DEFINE_float(
    "rate_factor", 1.0, "times the workload's rate", lower_bound=0.01
)
CALLERS = flags.DEFINE_list(
    "callers", [], "base URLs of nodes; none: start a fleet"
)
API_KEY = flags.DEFINE_string(
    "api_key_variable",
    "",
    "environment variable that holds the API key; none: the fleet's",
)


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Sent:
    """What became of one request.

    Attributes:
        kind: `short`, `long` or the operation of a plain service.
        latency: seconds from the scheduled time to the whole answer.
        late: seconds by which the tool sent it too late.
        status: HTTP status, 0 without one.
        run: what a problem says of whether the work ran.
        whole: the whole answer came.
        in_time: it came within the deadline.
    """

    kind: str
    latency: float
    late: float
    status: int
    run: str
    whole: bool
    in_time: bool


@final
class LoadTool:
    """Sends jobs and calls to nodes in turn, as a balancer would.

    Attributes:
        sent: one entry a request that has ended.
    """

    def __init__(
        self, *, caller: fleet_clients.Caller, urls: Sequence[str], seed: int
    ) -> None:
        self.caller = caller
        self.urls = urls
        self.balancer = random.Random(f"{seed} balancer")
        self.sent: list[Sent] = []

    async def send_all(
        self,
        jobs: Iterable[workload_lib.Job],
        calls: Iterable[workload_lib.Call],
    ) -> None:
        """Sends everything at its time and waits for the ends."""
        begin = asyncio.get_running_loop().time()
        tasks = [
            *(self._send_job(job, begin, self._url()) for job in jobs),
            *(self._send_call(call, begin, self._url()) for call in calls),
        ]
        await asyncio.gather(*tasks)

    def _url(self) -> str:
        return self.balancer.choice(self.urls)

    async def _send_job(
        self, job: workload_lib.Job, begin: float, url: str
    ) -> None:
        late = await _wait_until(begin + job.at)
        answer = await self.caller.complete(
            url,
            fleet_clients.Completion(
                model=f"{job.role}-{job.adapter}@{workload_lib.VERSION}",
                prompt="word" * job.prompt_tokens,
                max_tokens=job.output_tokens,
                deadline_ms=round(job.deadline_seconds * MILLISECONDS),
            ),
        )
        kind = "long" if job.is_long else "short"
        self._note(kind, begin + job.at, late, answer, job.deadline_seconds)

    async def _send_call(
        self, call: workload_lib.Call, begin: float, url: str
    ) -> None:
        late = await _wait_until(begin + call.at)
        key = "" if call.service.idempotent else f"key-{call.number}"
        answer = await self.caller.call(
            url,
            fleet_clients.ServiceCall(
                service=call.service.name,
                operation=call.service.operation,
                key=key,
                body={"number": call.number},
            ),
        )
        self._note(call.service.operation, begin + call.at, late, answer, 20.0)

    def _note(
        self,
        kind: str,
        scheduled_at: float,
        late: float,
        answer: fleet_clients.CallerAnswer,
        deadline_seconds: float,
    ) -> None:
        latency = asyncio.get_running_loop().time() - scheduled_at
        self.sent.append(
            Sent(
                kind=kind,
                latency=latency,
                late=late,
                status=answer.status,
                run=answer.run or answer.error,
                whole=answer.whole,
                in_time=answer.whole and latency <= deadline_seconds,
            )
        )


def summarize(sent: Sequence[Sent]) -> list[str]:
    """Returns one line a kind of request."""
    lines = []
    for kind in sorted({entry.kind for entry in sent}):
        own = [entry for entry in sent if entry.kind == kind]
        whole = [entry.latency for entry in own if entry.whole]
        refused = sum(entry.status in REFUSED for entry in own)
        failed = collections.Counter(
            f"{entry.status}:{entry.run}"
            for entry in own
            if not entry.whole and entry.status not in REFUSED
        )
        lines.append(
            f"load {kind} sent={len(own)} "
            f"in_time={sum(entry.in_time for entry in own) / len(own):.3f} "
            f"refused={refused} "
            f"failed={sum(failed.values())} {dict(failed) or ''} "
            f"p50={measure_figures.percentile(whole, 0.5):.3f}s "
            f"p99={measure_figures.percentile(whole, 0.99):.3f}s "
            f"sent_late_max={max(entry.late for entry in own):.3f}s"
        )
    return lines


def shape_of(workload: workload_lib.Workload) -> fleet_shape.Shape:
    """Returns the fleet that a workload describes."""
    engines: list[fleet_shape.EngineShape] = []
    for role in workload.roles:
        for number in range(role.engines):
            engines.append(
                fleet_shape.EngineShape(
                    engine_id=f"{role.name}-engine-{number}",
                    role=role.name,
                    zone=workload.zones[len(engines) % len(workload.zones)],
                    slots=role.slots,
                    batch=role.batch,
                )
            )
    names = dict.fromkeys(service.name for service in workload.services)
    return fleet_shape.Shape(
        nodes=workload.nodes,
        engines=tuple(engines),
        services=tuple(names),
        width=models.StoreWidth(**workload.store.model_dump()),
        separate_standins=True,
    )


def contract_of(
    workload: workload_lib.Workload, shape: fleet_shape.Shape
) -> dict[str, Any]:
    """Returns the one contract under which the fleet serves a workload."""
    contract = shape.default_contract()
    contract["services"] = [
        {
            "name": name,
            "operations": [
                {
                    "name": service.operation,
                    "path": service.path,
                    "idempotent": service.idempotent,
                }
                for service in workload.services
                if service.name == name
            ],
        }
        for name in shape.services
    ]
    return contract


def main(argv: Sequence[str]) -> None:
    """Sends a workload and prints what became of it."""
    del argv
    workload = workload_lib.load(WORKLOADS / f"{WORKLOAD.value}.yaml")
    workload = _scale(workload, RATE_FACTOR.value, LOAD_SECONDS.value)
    for line in asyncio.run(_run(workload)):
        print(line)


def _scale(
    workload: workload_lib.Workload, factor: float, seconds: float
) -> workload_lib.Workload:
    return workload.model_copy(
        update={
            "requests_per_second": factor * workload.requests_per_second,
            "warm_up_seconds": 0.0,
            "measured_seconds": seconds,
        }
    )


async def _run(workload: workload_lib.Workload) -> list[str]:
    if CALLERS.value:
        key = os.environ[API_KEY.value]
        return await _send(workload, CALLERS.value, key)
    shape = shape_of(workload)
    async with fleet_lib.Fleet(shape) as fleet:
        await fleet.apply_contract(contract_of(workload, shape))
        await fleet.settle()
        await asyncio.sleep(IN_FORCE_SECONDS)
        urls = [node.caller_url for node in fleet.running_nodes()]
        return await _send(workload, urls, fleet_shape.API_KEY)


async def _send(
    workload: workload_lib.Workload, urls: Sequence[str], api_key: str
) -> list[str]:
    source = workload_lib.JobSource(workload, seed=LOAD_SEED.value)
    caller = fleet_clients.Caller(api_key)
    tool = LoadTool(caller=caller, urls=urls, seed=LOAD_SEED.value)
    try:
        await tool.send_all(source.jobs(), source.calls())
    finally:
        await caller.close()
    return summarize(tool.sent)


async def _wait_until(due: float) -> float:
    """Waits until a time of the loop; returns how late it is."""
    loop = asyncio.get_running_loop()
    await asyncio.sleep(due - loop.time())
    return max(0.0, loop.time() - due)


if __name__ == "__main__":
    app.run(main)
