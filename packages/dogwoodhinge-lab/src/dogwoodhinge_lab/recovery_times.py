"""Measures how long the system takes to recover and to spread a change.

    python -m dogwoodhinge_lab.recovery_times [NAME ...] [--trials=N]

The nodes run with the default settings. Each measure has a target; a line for
each tells the median and the largest of its trials.
"""

import asyncio
from collections.abc import Awaitable, Callable
import dataclasses
import functools
import itertools
import statistics
import sys
from typing import final

from absl import app
from absl import flags

from dogwoodhinge_lab import faults_operators
from dogwoodhinge_lab import fleet as fleet_lib
from dogwoodhinge_lab import fleet_clients
from dogwoodhinge_lab import fleet_members
from dogwoodhinge_lab import fleet_process
from dogwoodhinge_lab import fleet_shape

NODES = 4
CHECKING = "checking"
IGNORING = "ignoring"
DEFAULT_TRIALS = 20
DEFAULT_FLEETS = 4
GIVE_UP_SECONDS = 90.0
OWNER_LASTS_SECONDS = 4.0
TABLE_SLOW_MS = 300.0
SEND_SECONDS = 0.05
WATCH_LEAVING_SECONDS = 6.0

TAKEOVER_TARGET_SECONDS = 20.0
CHANGE_TARGET_SECONDS = 19.0
LEAVING_TARGET_SECONDS = 5.0

Trial = Callable[["fleet_lib.Fleet"], Awaitable[float]]


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Measure:
    """Something that is timed, and the time it may take."""

    name: str
    trial: Trial
    target_seconds: float


async def takeover(fleet: fleet_lib.Fleet, engine_id: str, how: str) -> float:
    """Kills or pauses an engine's owner; times the takeover."""
    owner = await _lasting_owner(fleet, engine_id)
    begin = _now()
    if how == "kill":
        await owner.process.kill()
    else:
        owner.process.pause()

    async def taken() -> bool:
        others = [n for n in fleet.running_nodes() if n is not owner]
        for node in others:
            if engine_id in await node.owned_engines():
                return True
        return False

    await fleet_clients.poll_until(
        taken, what="the takeover", seconds=GIVE_UP_SECONDS
    )
    spent = _now() - begin
    if how == "kill":
        await _replace(fleet, owner)
    else:
        owner.process.resume()
    await fleet.settle(GIVE_UP_SECONDS)
    return spent


async def change(fleet: fleet_lib.Fleet, trouble: str) -> float:
    """Changes the contract; times it until it is in force everywhere."""
    victim, *others = fleet.running_nodes()
    table = fleet.standins["table"]
    if trouble == "killed":
        await victim.process.kill()
    elif trouble == "cut":
        await table.set_faults(cut=[victim.host_id])
    elif trouble == "slow":
        await table.set_faults(slow_ms=TABLE_SLOW_MS)
    begin = _now()
    revision = await _change_until_accepted(fleet, others[0])

    async def in_force() -> bool:
        revisions = [
            (await node.status())["configuration"]["revision"]
            for node in fleet.running_nodes()
        ]
        return min(revisions) >= revision

    await fleet_clients.poll_until(
        in_force, what="the change in force", seconds=GIVE_UP_SECONDS
    )
    spent = _now() - begin
    await table.set_faults(cut=[], slow_ms=0.0)
    if trouble == "killed":
        await _replace(fleet, victim)
    await fleet.settle(GIVE_UP_SECONDS)
    return spent


async def _change_until_accepted(
    fleet: fleet_lib.Fleet, node: fleet_members.FleetNode
) -> int:
    """Changes the contract as a patient operator does, told to come back."""
    operators = faults_operators.Operators(fleet)
    end = _now() + GIVE_UP_SECONDS
    while _now() < end:
        expected = await operators.revision()
        change = await operators.change(node, expected)
        if change.revision:
            return change.revision
        await asyncio.sleep(1.0)
    raise fleet_process.FleetError(f"never accepted: {operators.changes[-1]}")


async def leaving(fleet: fleet_lib.Fleet) -> float:
    """Marks an engine as leaving under traffic; times its last new work."""
    sending = asyncio.create_task(_send_steadily(fleet))
    await asyncio.sleep(1.0)
    fleet.leaving.add(CHECKING)
    await fleet.publish_hosts()
    begin = _now()
    last = begin
    engine = fleet.standins[CHECKING]
    count = len(await engine.records("generate"))
    while _now() < begin + WATCH_LEAVING_SECONDS:
        found = len(await engine.records("generate"))
        if found > count:
            last = _now()
        count = found
        await asyncio.sleep(SEND_SECONDS)
    sending.cancel()
    await asyncio.gather(sending, return_exceptions=True)
    fleet.leaving.clear()
    await fleet.publish_hosts()
    await fleet.settle(GIVE_UP_SECONDS)
    return last - begin


async def _send_steadily(fleet: fleet_lib.Fleet) -> None:
    tasks = set()
    for number in itertools.count():
        nodes = fleet.running_nodes()
        wanted = fleet_clients.Completion(
            model=f"description-{number % 4}@v1",
            prompt=f"steady-{number}",
            max_tokens=2,
        )
        url = nodes[number % len(nodes)].caller_url
        task = asyncio.create_task(fleet.caller.complete(url, wanted))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(SEND_SECONDS)


async def _lasting_owner(
    fleet: fleet_lib.Fleet, engine_id: str
) -> fleet_members.FleetNode:
    while True:
        owner = await fleet.owner_of(engine_id)
        await asyncio.sleep(OWNER_LASTS_SECONDS)
        if owner is not None and await fleet.owner_of(engine_id) is owner:
            return owner


async def _replace(
    fleet: fleet_lib.Fleet, node: fleet_members.FleetNode
) -> None:
    del fleet.nodes[node.host_id]
    await fleet.start_node()


def _now() -> float:
    return asyncio.get_running_loop().time()


def measures() -> list[Measure]:
    """Returns everything that is timed."""
    found = [
        Measure(
            f"takeover after {how}, engine {engine_id} fencing",
            functools.partial(takeover, engine_id=engine_id, how=how),
            TAKEOVER_TARGET_SECONDS,
        )
        for how in ("kill", "pause")
        for engine_id in (CHECKING, IGNORING)
    ]
    found.extend(
        Measure(
            f"change in force, {name}",
            functools.partial(change, trouble=trouble),
            CHANGE_TARGET_SECONDS,
        )
        for trouble, name in (
            ("none", "all well"),
            ("killed", "one node killed"),
            ("cut", "one node cut off from the table"),
            ("slow", "table slow"),
        )
    )
    found.append(
        Measure(
            "leaving engine's last new work", leaving, LEAVING_TARGET_SECONDS
        )
    )
    return found


async def run(measure: Measure, trials: int) -> list[float]:
    """Times one measure on a fleet of its own."""
    shape = fleet_shape.Shape(
        nodes=NODES,
        engines=(
            fleet_shape.EngineShape(engine_id=CHECKING),
            fleet_shape.EngineShape(engine_id=IGNORING, checks_fencing=False),
        ),
    )
    async with fleet_lib.Fleet(shape) as fleet:
        await fleet.apply_contract()
        await fleet.settle(GIVE_UP_SECONDS)
        return [await measure.trial(fleet) for _ in range(trials)]


def describe(measure: Measure, times: list[float]) -> str:
    """Returns the line of a measure."""
    verdict = "pass" if max(times) <= measure.target_seconds else "miss"
    return (
        f"time {measure.name}: p50 {statistics.median(times):.2f} s, max "
        f"{max(times):.2f} s, {len(times)} trials, target "
        f"{measure.target_seconds:g} s: {verdict}"
    )


async def run_all(names: list[str], trials: int, fleets: int) -> int:
    """Times the named measures, all without names; returns the exit code."""
    bound = asyncio.Semaphore(fleets)
    chosen = [
        measure
        for measure in measures()
        if not names or any(name in measure.name for name in names)
    ]

    async def one(measure: Measure) -> bool:
        async with bound:
            try:
                times = await run(measure, trials)
            except Exception as error:  # the other measures go on
                print(f"failed {measure.name}: {error!r}")
                return False
        print(describe(measure, times))
        sys.stdout.flush()
        return max(times) <= measure.target_seconds

    passed = await asyncio.gather(*(one(measure) for measure in chosen))
    return 0 if all(passed) else 1


def main(argv: list[str]) -> None:
    """Times everything and exits with the verdict."""
    values = flags.FLAGS
    sys.exit(asyncio.run(run_all(argv[1:], values.trials, values.fleets)))


if __name__ == "__main__":
    flags.DEFINE_integer("trials", DEFAULT_TRIALS, "trials of each measure")
    flags.DEFINE_integer("fleets", DEFAULT_FLEETS, "fleets at once")
    app.run(main)
