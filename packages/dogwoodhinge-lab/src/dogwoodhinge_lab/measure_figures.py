"""Figures worked out of runs."""

import collections
from collections.abc import Iterable, Sequence
import math
import statistics

from dogwoodhinge_lab import experiment
from dogwoodhinge_lab import experiment_engine
from dogwoodhinge_lab import workload as workload_lib

P99 = 0.99
P999 = 0.999


def percentile(values: Iterable[float], part: float) -> float:
    """Returns the nearest-rank percentile; NaN of nothing."""
    ordered = sorted(values)
    if not ordered:
        return math.nan
    return ordered[max(0, math.ceil(part * len(ordered)) - 1)]


def short_latency(result: experiment.RunResult, part: float) -> float:
    """Returns a percentile of short jobs' latency.

    A job that was refused or not answered counts with its deadline, so that
    refusing does not look fast.
    """
    return percentile(
        (
            outcome.job.deadline_seconds
            if outcome.latency is None
            else outcome.latency
            for outcome in result.outcomes
            if not outcome.job.is_long
            and outcome.job.customer != experiment.FLOOD_CUSTOMER
        ),
        part,
    )


def stall_share(result: experiment.RunResult) -> float:
    """Returns the part of the jobs that waited on a load."""
    return statistics.mean(outcome.stall > 0 for outcome in result.outcomes)


def stall_seconds(result: experiment.RunResult) -> float:
    """Returns the mean time that a job waited on a load."""
    return statistics.mean(outcome.stall for outcome in result.outcomes)


def requests_a_step(result: experiment.RunResult) -> float:
    """Returns the mean requests of a batch step."""
    return result.step_requests / max(1, result.steps)


def adapters_a_step(result: experiment.RunResult) -> float:
    """Returns the mean distinct adapters of a batch step."""
    return result.step_adapters / max(1, result.steps)


def requests_an_adapter(result: experiment.RunResult) -> float:
    """Returns the mean requests that share an adapter in a step."""
    return result.step_requests / max(1, result.step_adapters)


def tokens_a_busy_second(result: experiment.RunResult) -> float:
    """Returns the tokens made in a second of an engine's steps."""
    return result.step_requests / result.busy_seconds


def in_time_share(result: experiment.RunResult) -> float:
    """Returns the part of all jobs answered within their deadline."""
    return statistics.mean(outcome.in_time() for outcome in result.outcomes)


def refused_share(result: experiment.RunResult) -> float:
    """Returns the part of all jobs that were refused."""
    return statistics.mean(outcome.refused for outcome in result.outcomes)


def crest_share(
    workload: workload_lib.Workload, result: experiment.RunResult
) -> float:
    """Returns the part of the swings' jobs answered within the deadline."""
    return statistics.mean(
        outcome.in_time()
        for outcome in result.outcomes
        if _in_swing(workload, outcome.job)
    )


def crest_bound(
    workload: workload_lib.Workload,
    jobs: Sequence[workload_lib.Job],
    *,
    foresight: bool,
) -> float:
    """Returns a share that no way of serving the swings can exceed.

    The jobs that come in a swing and want to end by their deadlines are
    limited twice: by the tokens that a role's engines make in that time with
    full batches of one adapter, the shortest jobs first; and by the adapters
    that are in the slots or can be loaded at the store's rate until then,
    those with the most jobs first. All else that runs is left out, so the
    bound is above what can be had.

    Args:
        workload: the workload.
        jobs: all jobs of a run, warm-up included.
        foresight: the slots hold the adapters that are best for the swing
            when it begins; without it, those with the most jobs before it.
    """
    crest = [job for job in jobs if _in_swing(workload, job)]
    if not crest:
        return math.nan
    begin = min(job.at for job in crest)
    known = crest if foresight else [job for job in jobs if job.at < begin]
    seconds = max(swing.seconds for swing in workload.swings)
    seconds += workload.deadline_seconds
    by_tokens = sum(
        _served_by_tokens(
            role, [job for job in crest if job.role == role.name], seconds
        )
        for role in workload.roles
    )
    by_loads = _served_by_loads(
        workload, crest, _best_residents(workload, known), seconds
    )
    return min(by_tokens, by_loads) / len(crest)


def _best_residents(
    workload: workload_lib.Workload, jobs: Iterable[workload_lib.Job]
) -> frozenset[str]:
    """Returns the adapters with the most jobs, as many as there are slots."""
    found: set[str] = set()
    counts = collections.Counter((job.role, job.adapter) for job in jobs)
    for role in workload.roles:
        ordered = [
            adapter
            for (name, adapter), _ in counts.most_common()
            if name == role.name
        ]
        found.update(ordered[: role.engines * role.slots])
    return frozenset(found)


def _served_by_tokens(
    role: workload_lib.Role, jobs: list[workload_lib.Job], seconds: float
) -> int:
    step = (
        experiment_engine.STEP_SECONDS
        + experiment_engine.STEP_SECONDS_A_REQUEST * role.batch
        + experiment_engine.STEP_SECONDS_AN_ADAPTER
    )
    left = role.engines * role.batch * seconds / step
    served = 0
    for tokens in sorted(job.output_tokens for job in jobs):
        left -= tokens
        if left < 0:
            break
        served += 1
    return served


def _served_by_loads(
    workload: workload_lib.Workload,
    jobs: Iterable[workload_lib.Job],
    residents: frozenset[str],
    seconds: float,
) -> int:
    counts = collections.Counter(job.adapter for job in jobs)
    loads = workload.store.full_speed + math.floor(
        workload.store.loads_per_second * seconds
    )
    served = sum(counts[adapter] for adapter in residents)
    cold = [
        count
        for adapter, count in counts.most_common()
        if adapter not in residents
    ]
    return served + sum(cold[:loads])


def _in_swing(workload: workload_lib.Workload, job: workload_lib.Job) -> bool:
    since = job.at - workload.warm_up_seconds
    return any(
        0 <= since - swing.start_seconds < swing.seconds
        for swing in workload.swings
    )
