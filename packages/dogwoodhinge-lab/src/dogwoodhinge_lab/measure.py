"""`make measure`: this design and the baselines side by side.

Runs on virtual time (see `experiment_time`): waits are skipped, computation
takes no time. One line a measure, workload and baseline, medians over seeds.
"""

from collections.abc import Callable, Sequence
import dataclasses
import math
import multiprocessing
import pathlib
import statistics
import time
from typing import final

from absl import app
from absl import flags

from dogwoodhinge_lab import experiment
from dogwoodhinge_lab import experiment_nodes
from dogwoodhinge_lab import measure_figures as figures
from dogwoodhinge_lab import plots
from dogwoodhinge_lab import workload as workload_lib

WORKLOADS = pathlib.Path(__file__).parents[2] / "workloads"
BASELINES = ("random", "least-load", "rendezvous")
SYSTEMS = (experiment_nodes.OURS, *BASELINES)
SCENARIOS = {
    "calm": experiment.Scenario(),
    "no_long": experiment.Scenario(long_jobs=False),
    "crest": experiment.Scenario(swings=True),
    "slowed_1": experiment.Scenario(slowed=1),
    "slowed_2": experiment.Scenario(slowed=2),
    "slowed_3": experiment.Scenario(slowed=3),
    "flood": experiment.Scenario(flood=True),
}

SEEDS = flags.DEFINE_integer("seeds", 5, "seeds, from 1 on", lower_bound=1)
JOBS = flags.DEFINE_integer("jobs", 3, "runs at once", lower_bound=1)
ONLY = flags.DEFINE_list(
    "workloads", ["aduelas", "easelpoint"], "workload files to run"
)
PLOTS = flags.DEFINE_string(
    "plots", "docs/plots", "directory for the plots; empty for none"
)


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Cell:
    """One run."""

    workload: str
    system: str
    scenario: str
    seed: int


Runs = dict[Cell, experiment.RunResult]


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Measure:
    """A figure of one system and seed.

    Attributes:
        figure: works it out of the runs of a workload, system and seed, by
            scenario.
        higher_is_better: which way is better.
    """

    name: str
    figure: Callable[[dict[str, experiment.RunResult]], float]
    higher_is_better: bool


def measures(workload: workload_lib.Workload) -> list[Measure]:
    """Lists the measures in the order of the lines."""
    return [
        Measure(
            "load_stall_share", lambda r: figures.stall_share(r["crest"]), False
        ),
        Measure(
            "load_stall_seconds",
            lambda r: figures.stall_seconds(r["crest"]),
            False,
        ),
        Measure(
            "batch_requests_a_step",
            lambda r: figures.requests_a_step(r["crest"]),
            True,
        ),
        Measure(
            "batch_adapters_a_step",
            lambda r: figures.adapters_a_step(r["crest"]),
            False,
        ),
        Measure(
            "batch_requests_an_adapter",
            lambda r: figures.requests_an_adapter(r["crest"]),
            True,
        ),
        Measure(
            "batch_tokens_a_busy_second",
            lambda r: figures.tokens_a_busy_second(r["crest"]),
            True,
        ),
        Measure(
            "crest_in_time",
            lambda r: figures.crest_share(workload, r["crest"]),
            True,
        ),
        Measure(
            "head_of_line_p99",
            lambda r: _ratio(r["calm"], r["no_long"], figures.P99),
            False,
        ),
        *(
            Measure(
                f"slowed_{count}_{name}",
                lambda r, count=count, part=part: _ratio(  # type: ignore[misc]
                    r[f"slowed_{count}"], r["calm"], part
                ),
                False,
            )
            for count in (1, 2, 3)
            for name, part in (("p99", figures.P99), ("p999", figures.P999))
        ),
        *(
            Measure(
                f"slowed_{count}_p99_seconds",
                lambda r, count=count: figures.short_latency(  # type: ignore[misc]
                    r[f"slowed_{count}"], figures.P99
                ),
                False,
            )
            for count in (1, 2, 3)
        ),
        Measure(
            "flood_others_p99",
            lambda r: _ratio(r["flood"], r["calm"], figures.P99),
            False,
        ),
        Measure(
            "calm_p99_seconds",
            lambda r: figures.short_latency(r["calm"], figures.P99),
            False,
        ),
        Measure(
            "goodput_share", lambda r: figures.in_time_share(r["crest"]), True
        ),
        Measure(
            "refused_share", lambda r: figures.refused_share(r["crest"]), False
        ),
        Measure("loads", lambda r: r["crest"].loads, False),
    ]


def main(argv: Sequence[str]) -> None:
    """Runs everything and prints the lines."""
    del argv
    began = time.monotonic()
    workloads = {
        name: workload_lib.load(WORKLOADS / f"{name}.yaml")
        for name in ONLY.value
    }
    cells = [
        Cell(workload, system, scenario, seed)
        for workload in workloads
        for system in SYSTEMS
        for scenario in SCENARIOS
        for seed in range(1, SEEDS.value + 1)
    ]
    with multiprocessing.Pool(JOBS.value) as pool:
        results = pool.map(run_cell, cells, chunksize=1)
    runs = dict(zip(cells, results, strict=True))
    table = {}
    for name, workload in workloads.items():
        values = collect(workload, runs, SEEDS.value)
        table[name] = values
        for line in lines(workload, values):
            print(line)
        for foresight in (True, False):
            print(
                bound_line(workload, values, SEEDS.value, foresight=foresight)
            )
    if PLOTS.value:
        plots.draw(table, pathlib.Path(PLOTS.value))
    print(
        f"{len(cells)} runs on virtual time, seeds 1 to {SEEDS.value}, in "
        f"{time.monotonic() - began:.0f} s"
    )


def run_cell(cell: Cell) -> experiment.RunResult:
    """Runs one cell; in a process of the pool."""
    workload = workload_lib.load(WORKLOADS / f"{cell.workload}.yaml")
    return experiment.run(
        workload, cell.system, SCENARIOS[cell.scenario], cell.seed
    )


Values = dict[str, dict[str, list[float]]]


def collect(workload: workload_lib.Workload, runs: Runs, seeds: int) -> Values:
    """Returns the values by measure and system, one a seed."""
    values: Values = {}
    for measure in measures(workload):
        values[measure.name] = {
            system: [
                measure.figure(
                    {
                        scenario: runs[
                            Cell(workload.name, system, scenario, seed)
                        ]
                        for scenario in SCENARIOS
                    }
                )
                for seed in range(1, seeds + 1)
            ]
            for system in SYSTEMS
        }
    return values


def lines(workload: workload_lib.Workload, values: Values) -> list[str]:
    """Formats one line a measure and baseline; `best` marks the best one."""
    found = []
    for measure in measures(workload):
        by_system = values[measure.name]
        ours = by_system[experiment_nodes.OURS]
        best = best_baseline(measure, by_system)
        for baseline in BASELINES:
            theirs = statistics.median(by_system[baseline])
            own = statistics.median(ours)
            ratio = own / theirs if theirs else math.nan
            mark = " best" if baseline == best else ""
            found.append(
                f"{measure.name} {workload.name} "
                f"baseline={baseline}:{theirs:.4g} ours={own:.4g} "
                f"ratio={ratio:.3f} spread={min(ours):.4g}..{max(ours):.4g} "
                f"baseline_spread={min(by_system[baseline]):.4g}.."
                f"{max(by_system[baseline]):.4g}{mark}"
            )
    return found


def best_baseline(measure: Measure, values: dict[str, list[float]]) -> str:
    """Names the baseline with the best median."""
    pick = max if measure.higher_is_better else min
    return pick(BASELINES, key=lambda name: statistics.median(values[name]))


def bound_line(
    workload: workload_lib.Workload,
    values: Values,
    seeds: int,
    *,
    foresight: bool,
) -> str:
    """Formats an offline bound of the crest beside the share reached."""
    scenario = SCENARIOS["crest"]
    bounds = [
        figures.crest_bound(
            workload,
            experiment.draw_jobs(workload, scenario, seed),
            foresight=foresight,
        )
        for seed in range(1, seeds + 1)
    ]
    ours = values["crest_in_time"][experiment_nodes.OURS]
    shares = [own / bound for own, bound in zip(ours, bounds, strict=True)]
    name = "with" if foresight else "without"
    return (
        f"crest_in_time_of_bound_{name}_foresight {workload.name} "
        f"bound={statistics.median(bounds):.4g} "
        f"ours={statistics.median(ours):.4g} "
        f"ratio={statistics.median(shares):.3f}"
    )


def _ratio(
    run: experiment.RunResult, reference: experiment.RunResult, part: float
) -> float:
    return figures.short_latency(run, part) / figures.short_latency(
        reference, part
    )


if __name__ == "__main__":
    app.run(main)
