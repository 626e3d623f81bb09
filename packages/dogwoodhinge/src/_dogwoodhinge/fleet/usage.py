"""Aggregates the nodes' latest reports on their use of engines.

Load pattern: tens of nodes that report a few times a second, and hundreds of
placement decisions a second in between. Each report updates the sums, so that a
decision does not iterate over all nodes.
"""

from collections.abc import Mapping
import dataclasses
from typing import final

from _dogwoodhinge.fleet import engines as engines_lib
from _dogwoodhinge.fleet import models

NO_WORK = engines_lib.Work()


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NodeUse:
    """One node's use of adapters and engines.

    Attributes:
        node: name of the node.
        active: number of active requests, by adapter.
        begun: number of requests started since the last report, by adapter.
        work: active requests, by engine.
        penalties: the node's health penalties, by engine.
        requests: callers' requests since the last report, by service.
    """

    node: str
    active: Mapping[models.AdapterKey, int]
    begun: Mapping[models.AdapterKey, int]
    work: Mapping[str, engines_lib.Work]
    penalties: Mapping[str, float]
    requests: Mapping[str, int] = dataclasses.field(default_factory=dict)


@final
@dataclasses.dataclass(frozen=True, slots=True)
class NodeReport:
    """A node's latest report, and the loop time at which it arrived."""

    use: NodeUse
    at: float


@final
class Usage:
    """The latest reports of all nodes, and sums over them.

    Attributes:
        reports: latest report, by node.
        work: active requests of all nodes, by engine.
        penalties: penalties other than 0, by engine and node.
    """

    def __init__(self) -> None:
        self.reports: dict[str, NodeReport] = {}
        self.work: dict[str, engines_lib.Work] = {}
        self.penalties: dict[str, dict[str, float]] = {}

    def record(self, use: NodeUse, now: float) -> None:
        """Replaces the latest report of a node."""
        self.remove_node(use.node)
        self.reports[use.node] = NodeReport(use, now)
        for engine_id, work in use.work.items():
            self.work[engine_id] = self.work.get(engine_id, NO_WORK) + work
        for engine_id, penalty in use.penalties.items():
            if penalty:
                node_penalties = self.penalties.setdefault(engine_id, {})
                node_penalties[use.node] = penalty

    def remove_node(self, node: str) -> None:
        """Removes a node that has stopped reporting."""
        report = self.reports.pop(node, None)
        if report is None:
            return
        for engine_id, work in report.use.work.items():
            # An idle engine adds nothing to the sum, so the sum may already
            # have been removed.
            left = self.work.pop(engine_id, NO_WORK) - work
            if left != NO_WORK:
                self.work[engine_id] = left
        for engine_id, penalty in report.use.penalties.items():
            if penalty:
                del self.penalties[engine_id][node]
                if not self.penalties[engine_id]:
                    del self.penalties[engine_id]

    def nodes_silent_since(self, before: float) -> list[str]:
        """Returns the nodes whose latest report is older than a loop time."""
        return [n for n, report in self.reports.items() if report.at < before]

    def penalty(self, engine_id: str, *, own: float, own_node: str) -> float:
        """Returns the second highest penalty that nodes give an engine.

        One node alone cannot raise it; with no other node, its own penalty is
        returned.

        Args:
            engine_id: the engine.
            own: this node's current penalty for the engine.
            own_node: name of this node; its report is ignored.
        """
        if not self.reports.keys() - {own_node}:
            return own
        node_penalties = [own, 0.0]
        node_penalties += (
            penalty
            for node, penalty in self.penalties.get(engine_id, {}).items()
            if node != own_node
        )
        return sorted(node_penalties)[-2]

    def recent_nodes(self) -> list[str]:
        """Returns the nodes, the one with the most recent report first."""
        return sorted(self.reports, key=lambda n: -self.reports[n].at)
