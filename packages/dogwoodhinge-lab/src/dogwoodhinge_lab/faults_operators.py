"""What operators change during a cell, and what became of it."""

import asyncio
from collections.abc import Sequence
import dataclasses
from typing import Any, final
import uuid

import aiohttp

from dogwoodhinge_lab import fleet as fleet_lib
from dogwoodhinge_lab import fleet_clients
from dogwoodhinge_lab import fleet_members
from dogwoodhinge_lab import fleet_shape

IN_FORCE_SECONDS = 19.0
RESENDS = 6
RESEND_PAUSE_SECONDS = 0.7
SAMPLE_SECONDS = 0.1
NOT_APPLIED = "no"


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Change:
    """A change of the contract and what its operator was told.

    Attributes:
        change_id: the same each time that it is sent.
        status: HTTP status of the last answer, 0 without one.
        applied: what a refusal says of its effect.
        revision: revision that it got, 0 when it was not accepted.
        certain: no earlier try of it was left without a certain answer.
    """

    change_id: str
    status: int
    applied: str = ""
    revision: int = 0
    certain: bool = True


@final
class Operators:
    """Changes the customer's contract and watches it come into force.

    Attributes:
        changes: those sent.
        revisions: by session, the revisions seen in force.
    """

    def __init__(self, fleet: fleet_lib.Fleet) -> None:
        self.fleet = fleet
        self.changes: list[Change] = []
        self.revisions: dict[str, list[int]] = {}
        self.marks = 0

    async def revision(self) -> int:
        """Returns the revision of the customer's contract.

        A stopped node is not asked: it would answer when its cell is over.
        """
        for node in self.fleet.running_nodes():
            if node.is_stopped:
                continue
            try:
                found = await node.control.get(
                    f"{node.operator_url}/v1/contracts/{fleet_shape.CUSTOMER}"
                )
            except (aiohttp.ClientError, TimeoutError, OSError):
                continue
            return int(found["revision"])
        return 0

    async def change(
        self, node: fleet_members.FleetNode, expected: int
    ) -> Change:
        """Changes the contract, sending it again while unanswered."""
        self.marks += 1
        document = self.fleet.shape.default_contract()
        document["weight"] = 1.0 + self.marks
        change_id = uuid.uuid4().hex
        certain = True
        found = Change(change_id=change_id, status=0)
        nodes: Sequence[fleet_members.FleetNode] = [node]
        for attempt in range(RESENDS):
            target = nodes[attempt % len(nodes)]
            found = await _put(target, document, change_id, expected)
            found = dataclasses.replace(found, certain=certain)
            if found.revision or found.applied == NOT_APPLIED:
                break
            certain = False
            await asyncio.sleep(RESEND_PAUSE_SECONDS)
            nodes = self.fleet.running_nodes() or nodes
        self.changes.append(found)
        return found

    async def watch(self) -> None:
        """Samples the revisions in force until cancelled."""
        while True:
            for node in self.fleet.running_nodes():
                try:
                    async with asyncio.timeout(SAMPLE_SECONDS):
                        status = await node.status()
                except (aiohttp.ClientError, TimeoutError, OSError):
                    continue
                seen = self.revisions.setdefault(status["session_id"], [])
                seen.append(status["configuration"]["revision"])
            await asyncio.sleep(SAMPLE_SECONDS)

    async def judge(self) -> list[str]:
        """Returns the breaches of what operators were promised."""
        breaches = await self._judge_history()
        try:
            await fleet_clients.poll_until(
                self._agree,
                what="one revision in force on all nodes",
                seconds=IN_FORCE_SECONDS,
            )
        except TimeoutError as error:
            breaches.append(str(error))
        return breaches

    async def _judge_history(self) -> list[str]:
        history = await self._history()
        ids = [change["change_id"] for change in history]
        breaches = []
        for change in self.changes:
            count = ids.count(change.change_id)
            if change.revision and count != 1:
                breaches.append(
                    f"the accepted change of revision {change.revision} is "
                    f"{count} times in the history"
                )
            refused = change.applied == NOT_APPLIED and change.certain
            if refused and count:
                breaches.append("a change refused as not applied is in force")
        return breaches

    async def _history(self) -> list[dict[str, Any]]:
        node = self.fleet.running_nodes()[0]
        changes: list[dict[str, Any]] = []
        while True:
            after = changes[-1]["revision"] if changes else 0
            page = await node.control.get(
                f"{node.operator_url}/v1/contracts/"
                f"{fleet_shape.CUSTOMER}/history?after={after}"
            )
            if not page["changes"]:
                return changes
            changes.extend(page["changes"])

    async def _agree(self) -> bool:
        accepted = max((c.revision for c in self.changes), default=0)
        revisions = set()
        for node in self.fleet.running_nodes():
            status = await node.status()
            revisions.add(status["configuration"]["revision"])
        return len(revisions) == 1 and max(revisions) >= accepted


async def _put(
    node: fleet_members.FleetNode,
    document: dict[str, Any],
    change_id: str,
    expected: int,
) -> Change:
    try:
        status, answer = await node.control.put(
            f"{node.operator_url}/v1/contracts/{fleet_shape.CUSTOMER}",
            document,
            {
                "If-Match": f'"{expected}"',
                "Idempotency-Key": change_id,
                "X-Operator": "lab",
            },
        )
    except (aiohttp.ClientError, TimeoutError, OSError):
        return Change(change_id=change_id, status=0)
    members = answer or {}
    return Change(
        change_id=change_id,
        status=status,
        applied=str(members.get("applied", "")),
        revision=int(members.get("revision", 0)) if status < 300 else 0,
    )
