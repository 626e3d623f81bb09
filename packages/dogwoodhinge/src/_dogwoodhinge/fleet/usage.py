"""What the nodes told last of their use of engines, summed up.

Load pattern: tens of nodes that report some times a second, and hundreds of
choices a second in between. Sums are kept with each report, so that a choice
does not go through all nodes.
"""

from collections.abc import Mapping
import dataclasses
from typing import final

from _dogwoodhinge.fleet import engines as engines_lib
from _dogwoodhinge.fleet import models

NOTHING = engines_lib.Work()


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Use:
    """What one node uses.

    Attributes:
        active: requests under way, by adapter.
        begun: requests begun since the last report.
        work: requests under way, by engine.
        penalties: the node's judgement of engines.
        requests: by service, callers' requests since the last report.
    """

    node: str
    active: Mapping[models.AdapterKey, int]
    begun: Mapping[models.AdapterKey, int]
    work: Mapping[str, engines_lib.Work]
    penalties: Mapping[str, float]
    requests: Mapping[str, int] = dataclasses.field(default_factory=dict)


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """A node's last report, and its loop time."""

    use: Use
    at: float


@final
class Usage:
    """The last reports of all nodes.

    Attributes:
        reports: by name of the node.
        work: requests of all nodes, by engine.
        penalties: by engine, those of nodes that hold something against it.
    """

    def __init__(self) -> None:
        self.reports: dict[str, Report] = {}
        self.work: dict[str, engines_lib.Work] = {}
        self.penalties: dict[str, dict[str, float]] = {}

    def take(self, use: Use, now: float) -> None:
        """Takes a node's report instead of its last one."""
        self.forget(use.node)
        self.reports[use.node] = Report(use, now)
        for engine_id, work in use.work.items():
            self.work[engine_id] = self.work.get(engine_id, NOTHING) + work
        for engine_id, penalty in use.penalties.items():
            if penalty:
                judged = self.penalties.setdefault(engine_id, {})
                judged[use.node] = penalty

    def forget(self, node: str) -> None:
        """Forgets a node that no longer reports."""
        report = self.reports.pop(node, None)
        if report is None:
            return
        for engine_id, work in report.use.work.items():
            # Reports of idle engines add nothing, so their sum may be gone.
            left = self.work.pop(engine_id, NOTHING) - work
            if left != NOTHING:
                self.work[engine_id] = left
        for engine_id, penalty in report.use.penalties.items():
            if penalty:
                del self.penalties[engine_id][node]
                if not self.penalties[engine_id]:
                    del self.penalties[engine_id]

    def silent_since(self, before: float) -> list[str]:
        """Returns the nodes whose last report is older."""
        return [n for n, report in self.reports.items() if report.at < before]

    def penalty(self, engine_id: str, *, own: float, own_node: str) -> float:
        """Returns the worst judgement of an engine that two nodes share.

        Args:
            engine_id: the engine.
            own: this node's judgement now; it counts alone without others.
            own_node: this node's name, whose report does not count.
        """
        if not self.reports.keys() - {own_node}:
            return own
        judged = [own, 0.0]
        judged += (
            penalty
            for node, penalty in self.penalties.get(engine_id, {}).items()
            if node != own_node
        )
        return sorted(judged)[-2]

    def latest(self) -> list[str]:
        """Returns the nodes, the one that reported last first."""
        return sorted(self.reports, key=lambda n: -self.reports[n].at)
