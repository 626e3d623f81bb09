"""Passes an engine to an agreed successor, with its grants and residents."""

import dataclasses
import datetime
from typing import final

from absl import logging

from _dogwoodhinge import decisions as decisions_module
from _dogwoodhinge import errors as node_errors
from _dogwoodhinge import injection
from _dogwoodhinge.membership import membership as membership_module
from _dogwoodhinge.membership import sessions
from _dogwoodhinge.ownership import adoption
from _dogwoodhinge.ownership import records
from _dogwoodhinge.ownership import recovery
from _dogwoodhinge.peer import client
from _dogwoodhinge.peer import peer_pb2
from dogwoodhinge import models
from dogwoodhinge import ports

# A peer answers within milliseconds; rebalancing can wait for the next round.
ANSWER_TIMEOUT = datetime.timedelta(milliseconds=500)

SEND_TIMEOUT = datetime.timedelta(seconds=2)
WAIT_PERIOD = datetime.timedelta(milliseconds=200)
WAIT_ROUNDS = 10
KEPT_SECONDS = 30.0


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Kept:
    """A message that came before the row that it belongs to was read."""

    request: peer_pb2.HandOverRequest
    at: float


class Handover:
    """Sends and receives the state of engines that change their owner."""

    def __init__(
        self,
        *,
        owner_table: records.OwnerTable,
        membership: membership_module.Membership,
        peer_client: client.PeerClient,
        clock: ports.Clock,
        decisions: decisions_module.DecisionLog,
        adopter: recovery.Adopter,
    ) -> None:
        self.owner_table = owner_table
        self.membership = membership
        self.peer_client = peer_client
        self.clock = clock
        self.decisions = decisions
        self.adopter = adopter
        self.kept: dict[str, Kept] = {}

    async def hand_over(
        self,
        held: adoption.HeldEngine,
        record: records.OwnerRecord | None,
        successor: sessions.Session,
        reason: str,
    ) -> records.OwnerRecord | None:
        """Stops the orders, then names the successor, then sends the state.

        Returns:
            The new row; None when the change did not take effect, or may not
            have.
        """
        await injection.reach(injection.Step.HAND_OVER)
        engine_id = held.endpoint.endpoint_id
        held.recovery.abandon()
        state = await self.adopter.drop(engine_id)
        try:
            changed = await self.owner_table.change(
                record,
                engine_id=engine_id,
                session_id=successor.session_id,
                handed_over=not held.recovery.pinned,
            )
        except node_errors.OwnershipError as error:
            logging.warning(
                "engine %s is not handed over: %s", engine_id, error
            )
            return None
        self.decisions.record(
            decisions_module.Decision(
                kind="hand_over",
                chosen=successor.name,
                reason=reason,
                engine_id=engine_id,
                token=changed.token,
            )
        )
        if changed.handed_over:
            await self._send(held, state, successor)
        return changed

    async def answers(self, peer: sessions.Session) -> bool:
        """Tells whether a peer can be reached, by a call that changes nothing.

        A dead node's session lasts for some seconds.
        """
        try:
            await self.peer_client.call(
                peer.peer_address,
                "ListGrants",
                peer_pb2.ListGrantsRequest(),
                timeout=ANSWER_TIMEOUT,
            )
        except node_errors.PeerError as error:
            logging.info("%s takes over nothing: %s", peer.name, error)
            return False
        return True

    def keep(self, request: peer_pb2.HandOverRequest) -> None:
        """Keeps a message until the row that names this node is read."""
        now = self.clock.monotonic()
        self.kept[request.engine_id] = Kept(request, now)
        for engine_id, kept in list(self.kept.items()):
            if now - kept.at > KEPT_SECONDS:
                del self.kept[engine_id]

    async def receive(
        self, record: records.OwnerRecord
    ) -> recovery.OwnedState | None:
        """Returns the state that belongs to a row; None when it got lost."""
        if not record.handed_over:
            return None
        for _ in range(WAIT_ROUNDS):
            kept = self.kept.get(record.engine_id)
            if kept is not None and kept.request.token == record.token - 1:
                del self.kept[record.engine_id]
                return _state_of(kept.request)
            await self.clock.sleep(WAIT_PERIOD)
        return None

    async def _send(
        self,
        held: adoption.HeldEngine,
        state: recovery.OwnedState,
        successor: sessions.Session,
    ) -> None:
        request = peer_pb2.HandOverRequest(
            engine_id=held.endpoint.endpoint_id,
            token=held.token,
            grants=state.grants,
            residents=[
                peer_pb2.AdapterVersion(
                    adapter=resident.adapter, version=resident.version
                )
                for resident in state.residents
            ],
        )
        try:
            await self.peer_client.call(
                successor.peer_address,
                "HandOver",
                request,
                timeout=SEND_TIMEOUT,
            )
        except node_errors.PeerError as error:
            logging.info("the successor recovers by itself: %s", error)


def _state_of(request: peer_pb2.HandOverRequest) -> recovery.OwnedState:
    return recovery.OwnedState(
        grants=tuple(request.grants),
        residents=tuple(
            models.AdapterVersion(resident.adapter, resident.version)
            for resident in request.residents
        ),
    )
