"""Plots of the measures, one picture a workload."""

from collections.abc import Mapping
import pathlib
import statistics

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402

COLUMNS = 3
INCHES = 2.6
DOTS_PER_INCH = 70
SHOWN = (
    "load_stall_share",
    "load_stall_seconds",
    "batch_tokens_a_busy_second",
    "crest_in_time",
    "calm_p99_seconds",
    "slowed_2_p99_seconds",
)


def draw(
    table: Mapping[str, Mapping[str, Mapping[str, list[float]]]],
    directory: pathlib.Path,
) -> None:
    """Draws the medians of the measures with their spread.

    Args:
        table: values by workload, measure and system, one a seed.
        directory: where `measure-WORKLOAD.png` goes.
    """
    directory.mkdir(parents=True, exist_ok=True)
    for workload, values in table.items():
        rows = -(-len(SHOWN) // COLUMNS)
        figure, axes = pyplot.subplots(
            rows, COLUMNS, figsize=(COLUMNS * INCHES * 1.3, rows * INCHES)
        )
        for axis, measure in zip(axes.flat, SHOWN, strict=True):
            _draw_bars(axis, measure, values[measure])
        figure.suptitle(workload)
        figure.tight_layout()
        figure.savefig(directory / f"measure-{workload}.png", dpi=DOTS_PER_INCH)
        pyplot.close(figure)


def _draw_bars(
    axis: pyplot.Axes, measure: str, values: Mapping[str, list[float]]
) -> None:
    medians = [statistics.median(found) for found in values.values()]
    lows = [
        median - min(found)
        for median, found in zip(medians, values.values(), strict=True)
    ]
    highs = [
        max(found) - median
        for median, found in zip(medians, values.values(), strict=True)
    ]
    axis.bar(list(values), medians, yerr=[lows, highs], capsize=3)
    axis.set_title(measure, fontsize=8)
    axis.tick_params(labelsize=6)
