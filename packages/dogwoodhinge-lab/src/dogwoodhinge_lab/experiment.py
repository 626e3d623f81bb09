"""One run of a workload against one system, on virtual time."""

import asyncio
import dataclasses
import random
from typing import final

from absl import logging

from _dogwoodhinge import errors
from dogwoodhinge import models
from dogwoodhinge_lab import experiment_nodes
from dogwoodhinge_lab import experiment_time
from dogwoodhinge_lab import workload as workload_lib

SLOW_FACTOR = 4.0
SLOW_REPORT_LAG_SECONDS = 3.0
SLOW_AFTER_SECONDS = 10.0
FLOOD_CUSTOMER = "flood"
FLOOD_FACTOR = 2.0
FLOOD_LIMIT_PART = 0.15
FLOOD_ADAPTERS = 5


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Scenario:
    """What is different from the plain workload.

    Attributes:
        swings: the demand rises as the workload says.
        long_jobs: the workload's long jobs are sent.
        slowed: engines slowed, the first of each role in turn, while all
            reports are late.
        flood: one more customer sends twice as much as all others together;
            its contract allows `FLOOD_LIMIT_PART` of the others' rate.
    """

    swings: bool = False
    long_jobs: bool = True
    slowed: int = 0
    flood: bool = False


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class Outcome:
    """What became of a job.

    Attributes:
        latency: seconds from the scheduled send time to the last token; None
            when refused or given up.
        first_token: seconds to the first token.
        stall: seconds that it waited on a load; for a job that reached no
            engine by its deadline, all its time.
        refused: refused, not run.
    """

    job: workload_lib.Job
    latency: float | None = None
    first_token: float | None = None
    stall: float = 0.0
    refused: bool = False

    def in_time(self) -> bool:
        """Tells whether the whole answer came within the deadline."""
        return (
            self.latency is not None
            and self.latency <= self.job.deadline_seconds
        )


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RunResult:
    """What a run recorded in its measured time.

    Attributes:
        outcomes: one for each job sent in the measured time.
        loads: loads that the store carried.
        steps: steps of all engines.
        step_requests: requests summed over the steps.
        step_adapters: distinct adapters summed over the steps.
        refused_unloads: orders to evict an adapter in use.
        busy_seconds: time that all engines spent in steps.
    """

    outcomes: list[Outcome]
    loads: float
    steps: float
    step_requests: float
    step_adapters: float
    refused_unloads: float
    busy_seconds: float


def run(
    workload: workload_lib.Workload,
    system: str,
    scenario: Scenario,
    seed: int,
) -> RunResult:
    """Runs a workload to its end."""
    logging.set_verbosity(logging.ERROR)
    return experiment_time.run(_run(workload, system, scenario, seed))


async def _run(
    workload: workload_lib.Workload,
    system: str,
    scenario: Scenario,
    seed: int,
) -> RunResult:
    parts, nodes = experiment_nodes.build(workload, system)
    watching = [
        asyncio.ensure_future(engine.watch())
        for engine in parts.engines.values()
    ]
    for node in nodes.values():
        await node.start()
    slowing = asyncio.ensure_future(_slow(parts, scenario.slowed))
    jobs = draw_jobs(workload, scenario, seed)
    _add_flood_contract(parts)
    choices = random.Random(f"{seed} balancer")
    names = list(nodes)
    outcomes = [Outcome(job=job) for job in jobs]
    served = [
        asyncio.ensure_future(
            _send(parts, nodes[choices.choice(names)], outcome)
        )
        for outcome in outcomes
    ]
    await asyncio.sleep(workload.warm_up_seconds)
    before = _count(parts)
    await asyncio.sleep(workload.measured_seconds)
    after = _count(parts)
    await asyncio.gather(*served)
    for task in [*watching, slowing]:
        task.cancel()
    for node in nodes.values():
        await node.stop()
    counts = [late - early for early, late in zip(before, after, strict=True)]
    return RunResult(
        outcomes=[
            outcome
            for outcome in outcomes
            if outcome.job.at >= workload.warm_up_seconds
        ],
        loads=counts[0],
        steps=counts[1],
        step_requests=counts[2],
        step_adapters=counts[3],
        refused_unloads=counts[4],
        busy_seconds=counts[5],
    )


def draw_jobs(
    workload: workload_lib.Workload, scenario: Scenario, seed: int
) -> list[workload_lib.Job]:
    """Draws the jobs of a run."""
    source = workload_lib.JobSource(
        workload,
        seed=seed,
        with_swings=scenario.swings,
        with_long_jobs=scenario.long_jobs,
    )
    jobs = list(source.jobs())
    if scenario.flood:
        jobs.extend(_flood_jobs(workload, seed, len(jobs)))
    return jobs


def _flood_jobs(
    workload: workload_lib.Workload, seed: int, first: int
) -> list[workload_lib.Job]:
    draws = random.Random(f"{seed} flood")
    rate = FLOOD_FACTOR * workload.requests_per_second
    at = workload.warm_up_seconds
    end = at + workload.measured_seconds
    jobs: list[workload_lib.Job] = []
    while True:
        at += draws.expovariate(rate)
        if at >= end:
            return jobs
        role = draws.choice(workload.roles)
        number = draws.randrange(FLOOD_ADAPTERS)
        jobs.append(
            workload_lib.Job(
                number=first + len(jobs),
                at=at,
                role=role.name,
                adapter=f"flood-{role.name}-{number}",
                customer=FLOOD_CUSTOMER,
                prompt_tokens=workload.prompts.short_tokens,
                output_tokens=round(role.output_tokens),
                max_tokens=workload_lib.SHORT_MAX_TOKENS,
                deadline_seconds=workload.deadline_seconds,
                is_long=False,
            )
        )


def _add_flood_contract(parts: experiment_nodes.Parts) -> None:
    model = next(iter(parts.contracts.values()))
    rate = FLOOD_LIMIT_PART * parts.workload.requests_per_second
    limits = model.limits.model_copy(
        update={"requests_per_second": rate, "burst": max(1, round(rate))}
    )
    parts.contracts[FLOOD_CUSTOMER] = model.model_copy(
        update={"customer": FLOOD_CUSTOMER, "limits": limits}
    )


async def _send(
    parts: experiment_nodes.Parts,
    node: experiment_nodes.Node,
    outcome: Outcome,
) -> None:
    job = outcome.job
    loop = asyncio.get_running_loop()
    await asyncio.sleep(job.at - loop.time())
    try:
        # The caller goes away when its deadline has passed.
        async with asyncio.timeout_at(job.at + job.deadline_seconds):
            answer = await node.serve(job)
    except errors.RefusedError:
        outcome.refused = True
        return
    except TimeoutError:
        if not _reached_engine(parts, job):
            outcome.stall = job.deadline_seconds
        return
    outcome.latency = loop.time() - job.at
    first_at = answer.generation.first_token_at or loop.time()
    outcome.first_token = first_at - job.at
    adapter = models.AdapterVersion(job.adapter, workload_lib.VERSION)
    resident_since = answer.engine.resident_since.get(adapter, 0.0)
    outcome.stall = max(0.0, resident_since - job.at)


def _reached_engine(
    parts: experiment_nodes.Parts, job: workload_lib.Job
) -> bool:
    return any(job.number in engine.seen for engine in parts.engines.values())


async def _slow(parts: experiment_nodes.Parts, count: int) -> None:
    if not count:
        return
    await asyncio.sleep(parts.workload.warm_up_seconds + SLOW_AFTER_SECONDS)
    for engine in parts.engines.values():
        engine.report_lag = SLOW_REPORT_LAG_SECONDS
    for name in slowed_engines(parts, count):
        parts.engines[name].slow_factor = SLOW_FACTOR


def slowed_engines(parts: experiment_nodes.Parts, count: int) -> list[str]:
    """Names the engines that are slowed: of each role in turn."""
    roles = parts.workload.roles
    return [
        f"{roles[n % len(roles)].name}-{n // len(roles)}" for n in range(count)
    ]


def _count(parts: experiment_nodes.Parts) -> tuple[float, ...]:
    engines = parts.engines.values()
    return (
        parts.store.loads,
        sum(engine.steps for engine in engines),
        sum(engine.step_requests for engine in engines),
        sum(engine.step_adapters for engine in engines),
        sum(engine.refused_unloads for engine in engines),
        sum(engine.busy_seconds for engine in engines),
    )
