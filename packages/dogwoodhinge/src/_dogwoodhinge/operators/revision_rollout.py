"""The rollout of a configuration revision across nodes."""

from collections.abc import Iterable
import dataclasses
from typing import final

from _dogwoodhinge.operators import dependencies

LAPSED = "lapsed"


@final
@dataclasses.dataclass(frozen=True, slots=True)
class NodeRevision:
    """The configuration revision in force on a node."""

    host_id: str
    session_id: str
    state: str
    applied_revision: int


@final
@dataclasses.dataclass(frozen=True, slots=True)
class RevisionRollout:
    """On which nodes a revision is in force.

    Attributes:
        revision: the requested revision.
        applied: serving nodes with this revision or a newer one in force.
        lagging: serving nodes with an older revision.
        lapsed: nodes whose lease has expired; they do not serve, and apply
            the newest revision before they serve again.
    """

    revision: int
    applied: tuple[NodeRevision, ...]
    lagging: tuple[NodeRevision, ...]
    lapsed: tuple[NodeRevision, ...]

    @property
    def in_force(self) -> bool:
        """True if every serving node has the revision in force."""
        return bool(self.applied) and not self.lagging

    def summary(self) -> str:
        """Returns a one-line summary for an operator."""
        total = len(self.applied) + len(self.lagging)
        parts = [f"in force on {len(self.applied)} of {total}"]
        parts.extend(
            f"{node.host_id} lags at {node.applied_revision}"
            for node in self.lagging
        )
        parts.extend(
            f"{node.host_id} does not serve (lease lapsed)"
            for node in self.lapsed
        )
        return ", ".join(parts)


def measure_rollout(
    revision: int,
    sessions: Iterable[dependencies.Session],
    *,
    self_id: str,
    self_revision: int,
) -> RevisionRollout:
    """Groups the sessions by whether they have a revision in force.

    Args:
        revision: the requested revision.
        sessions: sessions that did not end cleanly.
        self_id: id of this node's session.
        self_revision: revision in force on this node; the row of its session
            can be older.
    """
    applied: list[NodeRevision] = []
    lagging: list[NodeRevision] = []
    lapsed: list[NodeRevision] = []
    all_sessions = list(sessions)
    serving_hosts = {s.host_id for s in all_sessions if str(s.state) != LAPSED}
    for session in all_sessions:
        if str(session.state) == LAPSED and session.host_id in serving_hosts:
            continue  # the host has a newer session
        is_self = session.session_id == self_id
        node = NodeRevision(
            host_id=session.host_id,
            session_id=session.session_id,
            state=str(session.state),
            applied_revision=self_revision
            if is_self
            else session.applied_revision,
        )
        if node.state == LAPSED:
            lapsed.append(node)
        elif node.applied_revision >= revision:
            applied.append(node)
        else:
            lagging.append(node)
    return RevisionRollout(
        revision, tuple(applied), tuple(lagging), tuple(lapsed)
    )
