"""Tests of `_dogwoodhinge.fleet.usage`: sums kept beside the reports."""

import random

import pytest

from _dogwoodhinge.fleet import engines
from _dogwoodhinge.fleet import usage

OWN = "n0"
ENGINES = [f"e{number}" for number in range(4)]
NODES = [f"n{number}" for number in range(5)]


def some_work(draw: random.Random) -> engines.Work:
    """Returns what may run on an engine."""
    return engines.Work(draw.randrange(3), draw.randrange(500))


def random_use(node: str, draw: random.Random) -> usage.Use:
    """Returns a report on some engines."""
    return usage.Use(
        node=node,
        active={},
        begun={},
        work={
            engine: draw.choice((usage.NOTHING, some_work(draw)))
            for engine in draw.sample(ENGINES, 2)
        },
        penalties={
            engine: draw.choice((0.0, 0.3, 2.0))
            for engine in draw.sample(ENGINES, 2)
        },
    )


def summed_work(found: usage.Usage, engine: str) -> engines.Work:
    """Adds the work of all reports up."""
    total = engines.Work()
    for report in found.reports.values():
        total += report.use.work.get(engine, usage.NOTHING)
    return total


def second_worst(found: usage.Usage, engine: str, own: float) -> float:
    """Goes through all reports for the worst judgement that two share."""
    judged = [own] + [
        report.use.penalties.get(engine, 0.0)
        for node, report in found.reports.items()
        if node != OWN
    ]
    judged.sort(reverse=True)
    return judged[1] if len(judged) > 1 else judged[0]


@pytest.mark.parametrize("seed", range(5))
def test_sums_are_those_of_the_reports(seed: int) -> None:
    draw = random.Random(seed)
    found = usage.Usage()
    for step in range(200):
        node = draw.choice(NODES)
        if draw.random() < 0.2:
            found.forget(node)
        else:
            found.take(random_use(node, draw), float(step))
        own = draw.choice((0.0, 0.3, 1.0))
        for engine in ENGINES:
            work = found.work.get(engine, usage.NOTHING)
            assert work == summed_work(found, engine)
            penalty = found.penalty(engine, own=own, own_node=OWN)
            assert penalty == second_worst(found, engine, own)


def test_silent_nodes_are_named_and_the_latest_come_first() -> None:
    found = usage.Usage()
    draw = random.Random(1)
    for at, node in enumerate(NODES):
        found.take(random_use(node, draw), float(at))
    assert found.silent_since(2.0) == ["n0", "n1"]
    assert found.latest() == ["n4", "n3", "n2", "n1", "n0"]


def test_engine_without_work_is_forgotten_by_both_nodes() -> None:
    # Two nodes hold something against an idle engine. The first one to be
    # forgotten took the engine's sum along, and the other's exchange failed.
    found = usage.Usage()
    for node in NODES[:2]:
        found.take(
            usage.Use(
                node=node,
                active={},
                begun={},
                work={"e0": usage.NOTHING},
                penalties={"e0": 1.0},
            ),
            0.0,
        )
    found.forget("n0")
    found.forget("n1")
    assert not found.work
    assert not found.penalties
