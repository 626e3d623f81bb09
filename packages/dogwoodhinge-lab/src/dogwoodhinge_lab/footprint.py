"""Measures what a node at rest costs against its limits: `make footprint`.

Seven nodes serve nine engines that nobody uses. CPU and memory are those of
the node processes. Bytes are those that the stand-ins exchanged with the
nodes, heads included, and those that the nodes count as peer messages, each
at both of its ends; TCP and HTTP/2 framing are left out.
"""

import asyncio
import dataclasses
import os
import re
import statistics
import sys
import types
from typing import final

from dogwoodhinge_lab import fleet
from dogwoodhinge_lab import fleet_members
from dogwoodhinge_lab import fleet_shape
from dogwoodhinge_lab import slope

NODES = 7
DESCRIPTION_ENGINES = 5
YARD_ENGINES = 4
REST_SECONDS = 30.0
WARM_UP_SECONDS = 5.0
SETTLE_SECONDS = 60.0

# docs/operators.md says to start a node so. The lab's ports are plain HTTP, so
# no authority is needed.
ENVIRONMENT = types.MappingProxyType(
    {"PYTHONOPTIMIZE": "2", "SSL_CERT_FILE": os.devnull}
)

CPU_LIMIT_PERCENT = 4.9
RSS_LIMIT_BYTES = 64e6
TRAFFIC_LIMIT_BYTES = 9e3

PEER_BYTES = re.compile(
    r"^dogwoodhinge_peer\w*bytes\w*(?:\{[^}]*\})? (\S+)$", re.MULTILINE
)


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Reading:
    """Counters of all nodes at one time.

    Attributes:
        cpu_seconds: by host id.
        outside_bytes: exchanged with the stand-ins, of all nodes.
        peer_bytes: messages that the nodes' servers received and sent.
    """

    cpu_seconds: dict[str, float]
    outside_bytes: int
    peer_bytes: float


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """A figure and its limit."""

    name: str
    value: float
    limit: float
    unit: str

    @property
    def passes(self) -> bool:
        """Tells whether the limit is kept."""
        return self.value <= self.limit

    def __str__(self) -> str:
        verdict = "pass" if self.passes else "miss"
        return (
            f"footprint {self.name}: {self.value:.2f} {self.unit}, limit "
            f"{self.limit:g} {self.unit}: {verdict}"
        )


async def measure(seconds: float = REST_SECONDS) -> list[Line]:
    """Measures a fleet at rest.

    Args:
        seconds: time over which CPU and bytes are counted.
    """
    async with fleet.Fleet(_shape()) as running:
        await running.apply_contract()
        await running.settle(SETTLE_SECONDS)
        await asyncio.sleep(WARM_UP_SECONDS)
        before = await _read(running)
        await asyncio.sleep(seconds)
        after = await _read(running)
        rss = [
            slope.process_rss_bytes(node.process.pid)
            for node in running.running_nodes()
        ]
    return _lines(before, after, rss, seconds)


def _shape() -> fleet_shape.Shape:
    engines = [
        fleet_shape.EngineShape(
            engine_id=f"{role}-{number}",
            role=role,
            zone=fleet_shape.ZONES[number % len(fleet_shape.ZONES)],
        )
        for role, count in (
            ("description", DESCRIPTION_ENGINES),
            ("yard", YARD_ENGINES),
        )
        for number in range(count)
    ]
    return fleet_shape.Shape(
        nodes=NODES, engines=tuple(engines), environment=dict(ENVIRONMENT)
    )


async def _read(running: fleet.Fleet) -> Reading:
    nodes = running.running_nodes()
    traffic = [await standin.traffic() for standin in running.standins.values()]
    return Reading(
        cpu_seconds={
            node.host_id: slope.process_cpu_seconds(node.process.pid)
            for node in nodes
        },
        outside_bytes=sum(t["bytes_in"] + t["bytes_out"] for t in traffic),
        peer_bytes=sum([await _peer_bytes(node) for node in nodes]),
    )


async def _peer_bytes(node: fleet_members.FleetNode) -> float:
    return sum(
        float(value) for value in PEER_BYTES.findall(await node.metrics())
    )


def _lines(
    before: Reading, after: Reading, rss: list[int], seconds: float
) -> list[Line]:
    cpu = [
        (after.cpu_seconds[name] - before.cpu_seconds[name]) / seconds * 1e2
        for name in before.cpu_seconds
    ]
    outside = after.outside_bytes - before.outside_bytes
    peers = 2 * (after.peer_bytes - before.peer_bytes)
    a_node = (outside + peers) / NODES / seconds
    megabyte = 1e6
    return [
        Line(
            "memory at rest, largest node",
            max(rss) / megabyte,
            RSS_LIMIT_BYTES / megabyte,
            "MB",
        ),
        Line(
            "CPU at rest, mean of the nodes",
            statistics.mean(cpu),
            CPU_LIMIT_PERCENT,
            "% of a core",
        ),
        Line(
            "CPU at rest, largest node",
            max(cpu),
            CPU_LIMIT_PERCENT,
            "% of a core",
        ),
        Line(
            "control bytes at rest, mean of the nodes",
            a_node / 1e3,
            TRAFFIC_LIMIT_BYTES / 1e3,
            "KB/s",
        ),
    ]


def main() -> int:
    """Prints the lines; returns 1 when a limit is missed."""
    variables = " ".join(f"{k}={v}" for k, v in ENVIRONMENT.items())
    print(f"footprint nodes started with {variables}")
    lines = asyncio.run(measure())
    for line in lines:
        print(line)
    return 0 if all(line.passes for line in lines) else 1


if __name__ == "__main__":
    sys.exit(main())
