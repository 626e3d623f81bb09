"""A fleet that the fault matrix uses for one cell after another."""

import asyncio
import contextlib
import pathlib
import shutil
from typing import Any, final

import aiohttp

from dogwoodhinge_lab import faults_matrix
from dogwoodhinge_lab import fleet as fleet_lib
from dogwoodhinge_lab import fleet_clients
from dogwoodhinge_lab import fleet_members
from dogwoodhinge_lab import fleet_shape
from dogwoodhinge_lab import oracles

NODES = 3
ENGINE = "engine-1"
SERVICE = "yard"
SETTLE_SECONDS = 40.0

NO_FAULTS: dict[str, dict[str, Any]] = {
    "table": {
        "outage": "",
        "cut": (),
        "lose_answers": (),
        "slow_ms": 0.0,
        "lose_next": 0,
        "drop_next": 0,
    },
    ENGINE: {
        "outage": "",
        "fail_loads": 0,
        "report_lag_seconds": 0.0,
        "event_gap": 0,
        "stream_fault_count": 0,
        "slow_factor": 1.0,
    },
    SERVICE: {"outage": "", "lose_next": 0, "drop_next": 0},
}


@final
class World:
    """The fleet, and what the cells need to know of it.

    Attributes:
        fleet: three nodes, one engine with two slots, one plain service.
        held: host ids of nodes that must stay stopped for now.
    """

    def __init__(self, engine: faults_matrix.EngineKind) -> None:
        shape = fleet_shape.Shape(
            nodes=NODES,
            engines=(
                fleet_shape.EngineShape(
                    engine_id=ENGINE,
                    slots=2,
                    batch=16,
                    checks_fencing=engine is faults_matrix.EngineKind.CHECKS,
                ),
            ),
            services=(SERVICE,),
            settings={
                **fleet_shape.QUICK_SETTINGS,
                "enable_injection": "true",
            },
        )
        self.fleet = fleet_lib.Fleet(shape)
        self.held: set[str] = set()
        self.seen: dict[str, int] = {}

    async def start(self) -> None:
        """Starts the fleet and puts the contract in force."""
        await self.fleet.__aenter__()
        await self.fleet.apply_contract()
        await self.fleet.settle(SETTLE_SECONDS)

    async def stop(self) -> None:
        """Stops all processes."""
        await self.fleet.__aexit__(None, None, None)

    async def heal(self) -> None:
        """Switches every fault off."""
        for name, faults in NO_FAULTS.items():
            await self.fleet.standins[name].set_faults(**faults)

    async def prepare(self) -> None:
        """Brings the fleet back to three settled nodes without faults."""
        await self.heal()
        self.held.clear()
        await self.drop_dead_hosts()
        while len(self.fleet.nodes) < NODES:
            await self.fleet.start_node()
        await self.fleet.publish_hosts()
        await self.fleet.settle(SETTLE_SECONDS)
        self.seen = {
            name: len(await self.fleet.standins[name].records())
            for name in (ENGINE, SERVICE)
        }

    async def drop_dead_hosts(self) -> None:
        """Takes hosts whose nodes have ended off the list of hosts."""
        for host_id, node in list(self.fleet.nodes.items()):
            if node.process.exit_code is not None:
                del self.fleet.nodes[host_id]
        await self.fleet.publish_hosts()

    async def records(self, name: str) -> oracles.Records:
        """Returns a stand-in's records since `prepare`."""
        found = await self.fleet.standins[name].records()
        return found[self.seen[name] :]

    def copy_logs(self, directory: pathlib.Path) -> None:
        """Copies what the nodes wrote to standard error."""
        directory.mkdir(parents=True, exist_ok=True)
        for path in self.fleet.directory.glob("*.log"):
            shutil.copy(path, directory)

    def caller_urls(self) -> list[str]:
        """Returns the nodes that take requests: running and not stopped."""
        return [
            node.caller_url
            for node in self.fleet.running_nodes()
            if not node.is_stopped
        ]

    async def wait_stopped(
        self, nodes: list[fleet_members.FleetNode], seconds: float
    ) -> fleet_members.FleetNode:
        """Waits until one of the nodes is stopped at its step.

        Raises:
            TimeoutError: none reached it.
        """

        async def first() -> fleet_members.FleetNode | None:
            return next((node for node in nodes if node.is_stopped), None)

        found: fleet_members.FleetNode = await fleet_clients.poll_until(
            first, what="a node stopped at the step", seconds=seconds
        )
        return found

    async def keep_others_running(self) -> None:
        """Lets every stopped node go on but the held ones, until cancelled."""
        while True:
            for node in self.fleet.running_nodes():
                if node.host_id not in self.held and node.is_stopped:
                    node.process.resume()
            await asyncio.sleep(0.05)

    async def session_gone(self, host_id: str) -> bool:
        """Tells whether another node sees no live session of a host."""
        for node in self.fleet.running_nodes():
            if node.host_id == host_id or node.is_stopped:
                continue
            with contextlib.suppress(aiohttp.ClientError, OSError):
                status = await node.status()
                return not any(
                    session["host_id"] == host_id and session["state"] == "live"
                    for session in status["sessions"]
                )
        return False
