"""Logs each decision as one structured line and keeps recent ones."""

import collections
import dataclasses
import json
from typing import final

from absl import logging

from _dogwoodhinge import logs
from dogwoodhinge import ports

MAX_KEPT_DECISIONS = 4_000  # about 2 MB; older ones are in the log output


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Alternative:
    """An option that was considered; a higher score is better."""

    name: str
    score: float


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Decision:
    """A decision and its reason.

    Attributes:
        kind: what was decided, e.g. `route`, `grant`, `load`, `evict`,
            `limit`, `takeover`.
        chosen: name of the chosen option, or `refuse`.
        reason: a short sentence.
        request_id: the caller's request, if any.
        customer: the customer, if any.
        engine_id: the engine, if any.
        adapter: `adapter@version`.
        alternatives: the other options that were considered.
        revision: configuration revision in force at the decision.
        token: fencing token in force at the decision.
    """

    kind: str
    chosen: str
    reason: str
    request_id: str = ""
    customer: str = ""
    engine_id: str = ""
    adapter: str = ""
    alternatives: tuple[Alternative, ...] = ()
    revision: int = 0
    token: int = 0


class DecisionLog:
    """Writes decisions to the log and keeps the most recent in memory."""

    def __init__(
        self, *, node: str, clock: ports.Clock, json_lines: bool = False
    ) -> None:
        self.node = node
        self.clock = clock
        self.json_lines = json_lines
        self.lines: collections.deque[tuple[str, str]] = collections.deque(
            maxlen=MAX_KEPT_DECISIONS
        )
        self.counts: collections.Counter[str] = collections.Counter()

    def record(self, decision: Decision) -> None:
        """Logs a decision."""
        self.counts[decision.kind] += 1
        members = self._members(decision)
        line = json.dumps(members, separators=(",", ":"))
        self.lines.append((decision.request_id, line))
        text = line if self.json_lines else format_pairs(members)
        logging.info("%s", text, extra={logs.DECISION_ATTRIBUTE: True})

    def explain(self, request_id: str) -> list[str]:
        """Returns the JSON lines kept for a request, oldest first."""
        return [line for key, line in self.lines if key == request_id]

    def _members(self, decision: Decision) -> dict[str, object]:
        members: dict[str, object] = {
            "time": self.clock.now().isoformat(),
            "node": self.node,
            "decision": decision.kind,
        }
        for field in dataclasses.fields(decision):
            value = getattr(decision, field.name)
            if field.name == "kind" or not value:
                continue
            if field.name == "alternatives":
                value = {a.name: round(a.score, 4) for a in value}
            members[field.name] = value
        return members


def format_pairs(members: dict[str, object]) -> str:
    """Formats members as key=value; quotes values with spaces."""
    return " ".join(f"{key}={_quote(members[key])}" for key in members)


def _quote(value: object) -> str:
    if isinstance(value, str) and value and not set(value) & set(' "='):
        return value
    return json.dumps(value, separators=(",", ":"))
