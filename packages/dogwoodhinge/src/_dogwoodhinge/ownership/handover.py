"""Hands an engine over to a successor, with its grants and residents."""

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

# Peers reply within milliseconds, and rebalancing can wait for the next round.
REACHABILITY_TIMEOUT = datetime.timedelta(milliseconds=500)

SEND_TIMEOUT = datetime.timedelta(seconds=2)
STATE_POLL_INTERVAL = datetime.timedelta(milliseconds=200)
STATE_POLL_ATTEMPTS = 10
PENDING_LIFETIME_SECONDS = 30.0


@final
@dataclasses.dataclass(frozen=True, slots=True)
class PendingHandOver:
    """A hand-over message whose ownership row has not been read yet.

    Attributes:
        request: the message.
        received_at: when it arrived, monotonic.
    """

    request: peer_pb2.HandOverRequest
    received_at: float


class Handover:
    """Sends and receives the state of engines that change their owner.

    Attributes:
        pending: received messages by engine.
    """

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
        self.pending: dict[str, PendingHandOver] = {}

    async def hand_over(
        self,
        held: adoption.HeldEngine,
        record: records.OwnerRecord | None,
        successor: sessions.Session,
        reason: str,
    ) -> records.OwnerRecord | None:
        """Stops the orders, writes the successor's row, then sends the state.

        Returns:
            The new row; None if the change failed or its outcome is unknown.
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
                "could not hand over engine %s: %s", engine_id, error
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

    async def is_reachable(self, peer: sessions.Session) -> bool:
        """Returns whether a peer responds to a call without side effects.

        The session of a failed node stays live for some seconds.
        """
        try:
            await self.peer_client.call(
                peer.peer_address,
                "ListGrants",
                peer_pb2.ListGrantsRequest(),
                timeout=REACHABILITY_TIMEOUT,
            )
        except node_errors.PeerError as error:
            logging.info(
                "%s is unreachable; not handing over an engine to it: %s",
                peer.name,
                error,
            )
            return False
        return True

    def add_pending(self, request: peer_pb2.HandOverRequest) -> None:
        """Stores a message until the row that names this node is read."""
        now = self.clock.monotonic()
        self.pending[request.engine_id] = PendingHandOver(request, now)
        for engine_id, entry in list(self.pending.items()):
            if now - entry.received_at > PENDING_LIFETIME_SECONDS:
                del self.pending[engine_id]

    async def wait_for_state(
        self, record: records.OwnerRecord
    ) -> recovery.OwnedState | None:
        """Waits for the state that belongs to a row.

        Returns:
            The state; None if the row was not handed over or the message did
            not arrive in time.
        """
        if not record.handed_over:
            return None
        for _ in range(STATE_POLL_ATTEMPTS):
            entry = self.pending.get(record.engine_id)
            if entry is not None and entry.request.token == record.token - 1:
                del self.pending[record.engine_id]
                return _decode_state(entry.request)
            await self.clock.sleep(STATE_POLL_INTERVAL)
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
            logging.info(
                "hand-over message not delivered; the successor recovers the "
                "state itself: %s",
                error,
            )


def _decode_state(request: peer_pb2.HandOverRequest) -> recovery.OwnedState:
    return recovery.OwnedState(
        grants=tuple(request.grants),
        residents=tuple(
            models.AdapterVersion(resident.adapter, resident.version)
            for resident in request.residents
        ),
    )
