"""Tests of the sums over the nodes' usage reports."""

import random

import pytest

from _dogwoodhinge.fleet import engines
from _dogwoodhinge.fleet import usage

OWN_NODE = "n0"
ENGINES = [f"e{number}" for number in range(4)]
NODES = [f"n{number}" for number in range(5)]


def some_work(rng: random.Random) -> engines.Work:
    """Returns random work for an engine."""
    return engines.Work(rng.randrange(3), rng.randrange(500))


def random_use(node: str, rng: random.Random) -> usage.NodeUse:
    """Returns a report on a random sample of the engines."""
    return usage.NodeUse(
        node=node,
        active={},
        begun={},
        work={
            engine: rng.choice((usage.NO_WORK, some_work(rng)))
            for engine in rng.sample(ENGINES, 2)
        },
        penalties={
            engine: rng.choice((0.0, 0.3, 2.0))
            for engine in rng.sample(ENGINES, 2)
        },
    )


def summed_work(found: usage.Usage, engine: str) -> engines.Work:
    """Sums the work of an engine over all reports."""
    total = engines.Work()
    for report in found.reports.values():
        total += report.use.work.get(engine, usage.NO_WORK)
    return total


def second_worst(found: usage.Usage, engine: str, own: float) -> float:
    """Returns the second highest penalty of an engine in all reports."""
    node_penalties = [own] + [
        report.use.penalties.get(engine, 0.0)
        for node, report in found.reports.items()
        if node != OWN_NODE
    ]
    node_penalties.sort(reverse=True)
    return node_penalties[1] if len(node_penalties) > 1 else node_penalties[0]


@pytest.mark.parametrize("seed", range(5))
def test_sums_match_the_reports(seed: int) -> None:
    rng = random.Random(seed)
    found = usage.Usage()
    for step in range(200):
        node = rng.choice(NODES)
        if rng.random() < 0.2:
            found.remove_node(node)
        else:
            found.record(random_use(node, rng), float(step))
        own = rng.choice((0.0, 0.3, 1.0))
        for engine in ENGINES:
            work = found.work.get(engine, usage.NO_WORK)
            assert work == summed_work(found, engine)
            penalty = found.penalty(engine, own=own, own_node=OWN_NODE)
            assert penalty == second_worst(found, engine, own)


def test_nodes_are_listed_by_the_time_of_their_latest_report() -> None:
    found = usage.Usage()
    rng = random.Random(1)
    for at, node in enumerate(NODES):
        found.record(random_use(node, rng), float(at))
    assert found.nodes_silent_since(2.0) == ["n0", "n1"]
    assert found.recent_nodes() == ["n4", "n3", "n2", "n1", "n0"]


def test_idle_engine_is_removed_with_each_node_that_reported_it() -> None:
    # Two nodes report a penalty for an idle engine. Removing the first node
    # also removed the engine's sum, and the report exchange of the second one
    # then failed.
    found = usage.Usage()
    for node in NODES[:2]:
        found.record(
            usage.NodeUse(
                node=node,
                active={},
                begun={},
                work={"e0": usage.NO_WORK},
                penalties={"e0": 1.0},
            ),
            0.0,
        )
    found.remove_node("n0")
    found.remove_node("n1")
    assert not found.work
    assert not found.penalties
