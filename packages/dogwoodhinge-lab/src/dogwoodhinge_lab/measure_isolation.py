"""Compares going on by peers' word with plain freezing, at seven nodes.

Prints the share of node-seconds in which nodes may serve, and in which they
may place, over a table outage or a cut; run it as a module.
"""

import asyncio
import dataclasses
from typing import final

from dogwoodhinge_lab import small_cluster

NODES = 7
SETTLE_SECONDS = 30
FAULT_SECONDS = 120
CUTS = (7, 1, 3, 4)


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Shares:
    """Shares of the node-seconds of a fault."""

    serving: float
    placing: float


async def measure(*, cut: int, exchange_enabled: bool) -> Shares:
    """Cuts nodes off from the table for two minutes.

    Args:
        cut: how many of the seven.
        exchange_enabled: False freezes every node that can't reach the table.
    """
    cluster = small_cluster.SmallCluster()
    await cluster.start(NODES)
    for node in cluster.nodes.values():
        node.isolation.exchange_enabled = exchange_enabled
    await cluster.advance(SETTLE_SECONDS)
    cluster.cut_table(*(f"node-{index}" for index in range(cut)))
    serving = placing = 0
    for _ in range(FAULT_SECONDS):
        await cluster.advance(1)
        for node in cluster.nodes.values():
            serving += node.isolation.may_serve()
            placing += node.isolation.may_place()
    await cluster.stop()
    node_seconds = NODES * FAULT_SECONDS
    return Shares(serving / node_seconds, placing / node_seconds)


async def main() -> None:
    """Prints a line for each cut."""
    for cut in CUTS:
        plain = await measure(cut=cut, exchange_enabled=False)
        ours = await measure(cut=cut, exchange_enabled=True)
        print(
            f"measure isolation cut={cut}/{NODES} "
            f"serving plain={plain.serving:.3f} exchange={ours.serving:.3f} "
            f"placing plain={plain.placing:.3f} exchange={ours.placing:.3f}"
        )


if __name__ == "__main__":
    asyncio.run(main())
