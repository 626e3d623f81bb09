"""Situations of the fault matrix that are no step of one path.

Each starts a fleet of its own, brings its fault about under traffic, and
returns the breaches of the promises.
"""

import asyncio
from collections.abc import Awaitable, Callable
import itertools

from dogwoodhinge_lab import faults_bench
from dogwoodhinge_lab import faults_operators
from dogwoodhinge_lab import fleet as fleet_lib
from dogwoodhinge_lab import fleet_clients
from dogwoodhinge_lab import fleet_members
from dogwoodhinge_lab import fleet_process
from dogwoodhinge_lab import fleet_shape
from dogwoodhinge_lab import oracles

LIST_LAG_SECONDS = 1.0
FEW_SECONDS = 3.0
OUTAGE_SECONDS = 9.0  # three leases
IN_FORCE_SECONDS = 19.0
READY_SECONDS = 20.0
MARKER = "poison"
ALLOWED_CRASHES = 2
RESENDS = 8
STATUS_UNPROCESSABLE = 422

LIMIT_RATE = 20.0
LIMIT_BURST = 6
FLOOD_SECONDS = 8.0
HOME_AWAY_SECONDS = 6.0  # lease and the watchers' margin

Situation = Callable[[], Awaitable[list[str]]]


def _shape(
    *, engines: int = 1, service_copies: int = 1, nodes: int = 3
) -> fleet_shape.Shape:
    return fleet_shape.Shape(
        nodes=nodes,
        engines=tuple(
            fleet_shape.EngineShape(
                engine_id=f"engine-{number + 1}",
                slots=faults_bench.ADAPTERS,
                batch=16,
            )
            for number in range(engines)
        ),
        service_copies=service_copies,
        settings=dict(fleet_shape.QUICK_SETTINGS),
    )


async def leaving_endpoints() -> list[str]:
    """An engine and a plain service leave; the list shows it late."""
    shape = _shape(engines=2, service_copies=2)
    async with fleet_lib.Fleet(shape) as fleet:
        bench = faults_bench.Bench(fleet)
        await bench.begin()
        await asyncio.sleep(2.0)
        await fleet.standins["hosts"].set_faults(lag_seconds=LIST_LAG_SECONDS)
        leaving = ("engine-1", "yard")
        fleet.leaving.update(leaving)
        await fleet.publish_hosts()
        await asyncio.sleep(LIST_LAG_SECONDS + FEW_SECONDS)
        before = await bench.records(leaving)
        await asyncio.sleep(3.0)
        breaches = await bench.finish()
        after = await bench.records(leaving)
        for name in leaving:
            if not before[name]:
                breaches.append(f"{name} had no work before it left")
            breaches.extend(
                oracles.no_work_after(after[name], (), len(before[name]))
            )
        return breaches + bench.all_whole()


async def crashing_request() -> list[str]:
    """One request crashes each engine that runs it, and is sent again."""
    async with fleet_lib.Fleet(_shape(engines=3)) as fleet:
        bench = faults_bench.Bench(fleet)
        await fleet.apply_contract()
        await fleet.settle()
        engines = list(fleet.engines)
        for name in engines:
            await fleet.standins[name].set_faults(crash_marker=MARKER)
        answers = []
        for number in range(RESENDS):
            nodes = fleet.running_nodes()
            url = nodes[number % len(nodes)].caller_url
            answers.append(
                await bench.traffic.generate(
                    url, "description-0@v1", prompt=MARKER
                )
            )
        records = await bench.records(engines)
        breaches = oracles.crashes_bounded(records, allowed=ALLOWED_CRASHES)
        if answers[-1].status != STATUS_UNPROCESSABLE:
            breaches.append(f"the last resend got {answers[-1]}")
        for node in fleet.running_nodes():
            await fleet_clients.poll_until(
                lambda node=node: _generates(bench, node),
                what=f"{node.host_id} serves others",
                seconds=READY_SECONDS,
            )
        return breaches


async def _generates(
    bench: faults_bench.Bench, node: fleet_members.FleetNode
) -> bool:
    answer = await bench.traffic.generate(
        node.caller_url, "description-1@v1", max_tokens=2
    )
    return answer.whole


async def rolling_restart() -> list[str]:
    """Every node is replaced under traffic, one after another."""
    async with fleet_lib.Fleet(_shape()) as fleet:
        bench = faults_bench.Bench(fleet)
        await bench.begin()
        breaches = []
        for node in list(fleet.nodes.values()):
            await fleet.start_node()
            await fleet.settle()
            node.process.terminate()
            code = await node.process.wait()
            if code:
                breaches.append(f"{node.host_id} ended with exit code {code}")
            del fleet.nodes[node.host_id]
            await fleet.publish_hosts()
            await fleet.settle()
        breaches.extend(await bench.finish())
        return breaches + bench.all_whole()


async def table_outage_for_all() -> list[str]:
    """The table is away for three leases: work goes on, changes do not."""
    async with fleet_lib.Fleet(_shape()) as fleet:
        bench = faults_bench.Bench(fleet)
        await fleet.apply_contract()
        await fleet.settle()
        await _generates(bench, fleet.running_nodes()[0])
        await fleet.standins["table"].set_faults(outage="drop")
        end = asyncio.get_running_loop().time() + OUTAGE_SECONDS
        breaches = []
        while asyncio.get_running_loop().time() < end:
            for node in fleet.running_nodes():
                if not await _generates(bench, node):
                    breaches.append(f"{node.host_id} refused in the outage")
            await asyncio.sleep(0.5)
        try:
            await fleet.apply_contract(revision=1)
            breaches.append("a change was accepted in the outage")
        except fleet_process.FleetError:
            pass
        await fleet.standins["table"].set_faults(outage="")
        await fleet.settle()
        return breaches + await bench.finish()


async def one_node_cut_off() -> list[str]:
    """The table drops one of three nodes, which its peers keep up to date."""
    async with fleet_lib.Fleet(_shape()) as fleet:
        bench = faults_bench.Bench(fleet)
        await bench.begin()
        cut, *others = fleet.running_nodes()
        await fleet.standins["table"].set_faults(cut=[cut.host_id])
        await asyncio.sleep(OUTAGE_SECONDS)
        revision = await _change(fleet, others[0])

        async def in_force() -> bool:
            status = await cut.status()
            return bool(status["configuration"]["revision"] >= revision)

        await fleet_clients.poll_until(
            in_force,
            what="the change in force on the node cut off",
            seconds=IN_FORCE_SECONDS,
        )
        breaches = [
            f"{node.host_id} turned unready"
            for node in others
            if not await node.is_ready()
        ]
        await fleet.standins["table"].set_faults(cut=[])
        await fleet.settle()
        return breaches + await bench.finish()


async def _change(fleet: fleet_lib.Fleet, node: fleet_members.FleetNode) -> int:
    """Changes the contract through one node; returns the revision."""
    operators = faults_operators.Operators(fleet)
    change = await operators.change(node, await operators.revision())
    if not change.revision:
        raise fleet_process.FleetError(f"not accepted: {change}")
    return change.revision


async def limit_home_dies() -> list[str]:
    """A customer floods all nodes while a node, maybe its home, is killed."""
    async with fleet_lib.Fleet(_shape()) as fleet:
        bench = faults_bench.Bench(fleet)
        contract = fleet.shape.default_contract()
        contract["limits"] = {
            "requests_per_second": LIMIT_RATE,
            "burst": LIMIT_BURST,
            "concurrency": 1_000,
        }
        await fleet.apply_contract(contract)
        await fleet.settle()
        begin = asyncio.get_running_loop().time()
        flood = asyncio.create_task(_flood(bench))
        await asyncio.sleep(FLOOD_SECONDS / 2)
        await fleet.running_nodes()[0].process.kill()
        await asyncio.sleep(FLOOD_SECONDS / 2)
        flood.cancel()
        lasted = asyncio.get_running_loop().time() - begin
        breaches = await bench.finish()
        admitted = sum(1 for g in bench.traffic.generations if g.answer.whole)
        nodes = fleet.shape.nodes
        share = nodes * max(1.0, LIMIT_BURST / nodes)
        away = min(HOME_AWAY_SECONDS, FLOOD_SECONDS / 2)
        most = LIMIT_BURST + LIMIT_RATE * lasted + share + LIMIT_RATE * away
        if admitted > most:
            breaches.append(f"{admitted} requests admitted, {most:.0f} allowed")
        if admitted < LIMIT_RATE:
            breaches.append(f"only {admitted} requests admitted")
        return breaches


async def _flood(bench: faults_bench.Bench) -> None:
    for number in itertools.count():
        await asyncio.sleep(0.02)
        nodes = bench.fleet.running_nodes()
        url = nodes[number % len(nodes)].caller_url
        bench.traffic.start(
            bench.traffic.generate(url, "description-0@v1", max_tokens=1)
        )


SITUATIONS: dict[str, Situation] = {
    "leaving_endpoints": leaving_endpoints,
    "crashing_request": crashing_request,
    "rolling_restart": rolling_restart,
    "table_outage_for_all": table_outage_for_all,
    "one_node_cut_off": one_node_cut_off,
    "limit_home_dies": limit_home_dies,
}
