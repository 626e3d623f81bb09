"""An entry node's calls to the leader."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable
import datetime
import math
from typing import TypeVar, final

from grpclib import client as grpc_client

from _dogwoodhinge import event_log
from _dogwoodhinge import grpc_calls
from _dogwoodhinge.fleet import adapter_slots as adapter_slots_lib
from _dogwoodhinge.fleet import engines as engines_lib
from _dogwoodhinge.fleet import fleet_grpc
from _dogwoodhinge.fleet import fleet_pb2
from _dogwoodhinge.fleet import fleet_server
from _dogwoodhinge.fleet import leader as leader_lib
from _dogwoodhinge.fleet import models
from _dogwoodhinge.fleet import peer_channels
from _dogwoodhinge.fleet import placement_queue
from _dogwoodhinge.fleet import quota_ledger
from _dogwoodhinge.fleet import quota_messages
from _dogwoodhinge.fleet import revisions
from _dogwoodhinge.fleet import table_updates as table_updates_lib

# A call crosses one zone boundary and may wait in the placement queue, and then
# for two orders to one engine.
PLACEMENT_TIMEOUT = datetime.timedelta(milliseconds=900)
SYNC_TIMEOUT = datetime.timedelta(milliseconds=400)
QUOTA_TIMEOUT = datetime.timedelta(milliseconds=150)
PACE_TIMEOUT = datetime.timedelta(milliseconds=100)

# After the leader has rejected a retry or has not responded, no retries are
# requested for this time, in which a sync can make new ones available.
RETRY_GRANT_DELAY = datetime.timedelta(milliseconds=250)

Reply = TypeVar("Reply")


class LeaderUnreachableError(leader_lib.NotLeaderError):
    """The leader did not respond."""


def _decode_rows(
    update: fleet_pb2.TableNews,
) -> list[table_updates_lib.Row] | None:
    if not update.complete:
        return None
    return [
        table_updates_lib.Row(
            row.key,
            None if row.removed else row.value,
            revisions.Revision(update.era, update.revision),
        )
        for row in update.rows
    ]


def apply_updates(
    updates: table_updates_lib.TableUpdates,
    news: Iterable[fleet_pb2.TableNews],
    at: float,
) -> None:
    """Applies what the leader has sent about the tables.

    Args:
        updates: this node's table updates.
        news: the leader's messages.
        at: loop time that the ages in them count from.
    """
    for update in news:
        responded_at = None
        if update.HasField("response_age_ms"):
            responded_at = at - update.response_age_ms / 1000
        updates.apply_update(
            update.table,
            revisions.Revision(update.era, update.revision),
            at - update.age_ms / 1000,
            _decode_rows(update),
            unread=update.unread,
            responded_at=responded_at,
        )


@final
class LeaderClient:
    """Calls the leader, in this process or on another node.

    Attributes:
        local: serves the calls if this node is the leader.
        address: returns `ip:port` of the leader; empty if it is unknown.
        nodes: number of participating nodes, from the last sync.
        peers: addresses of some of them.
        lease_revision: revision of the order lease's row, from the last sync.
        leader_may_order: whether the leader could send orders at the last
            sync.
        slot_shortage_at: loop time at which adapter slots were last known to
            be short.
        retries_allowed_from: by service, loop time from which retries may be
            requested again.
    """

    def __init__(
        self,
        *,
        node: str,
        own_address: str,
        local: fleet_server.FleetServer,
        directory: engines_lib.Directory,
        address: Callable[[], str],
        report: event_log.EventReporter,
    ) -> None:
        self.report = report
        self.node = node
        self.own_address = own_address
        self.local = local
        self.directory = directory
        self.address = address
        self.channel: grpc_client.Channel | None = None
        self.channel_address = ""
        self.known_change = 0
        self.known_token = 0
        self.nodes = 0
        self.peers: tuple[str, ...] = ()
        self.lease_revision = revisions.Revision(0, 0)
        self.leader_may_order = True
        self.slot_shortage_at = -math.inf
        self.retries_allowed_from: dict[str, float] = {}

    async def place(
        self,
        placement_request: adapter_slots_lib.PlacementRequest,
        *,
        timeout: datetime.timedelta = PLACEMENT_TIMEOUT,
    ) -> adapter_slots_lib.Assignment:
        """Requests an engine for an adapter.

        Raises:
            NotLeaderError: no leader is known, or the node called is not the
                leader.
            LeaderUnreachableError: the leader did not respond.
            NoFreeSlotError: no engine has a free slot now.
        """
        request = fleet_pb2.PlaceRequest(
            model=placement_request.key.model,
            adapter=placement_request.key.adapter,
            version=placement_request.version,
            avoid=sorted(placement_request.avoid),
            absent_from=placement_request.absent_from,
            prompt_tokens=placement_request.prompt_tokens,
            target_in_ms=max(
                0, round(placement_request.seconds_to_target * 1000)
            ),
            patience_ms=max(
                0, round(placement_request.max_wait_seconds * 1000)
            ),
            node=self.node,
            rank=placement_request.rank,
            organisation=placement_request.organisation,
        )
        if self._is_local():
            reply = await self.local.place(request)
        else:
            reply = await self._call(lambda stub: stub.Place(request), timeout)
        if reply.not_owner:
            raise leader_lib.NotLeaderError("the leader has changed")
        now = asyncio.get_running_loop().time()
        if reply.places_short or not reply.engine_id:
            self.slot_shortage_at = now
        if not reply.engine_id:
            raise placement_queue.NoFreeSlotError(
                datetime.timedelta(milliseconds=reply.retry_after_ms),
                final=reply.final,
            )
        return adapter_slots_lib.Assignment(
            engine_id=reply.engine_id,
            version=reply.version,
            ready_at=now + reply.ready_in_ms / 1000,
        )

    async def take_retry(self, service: str) -> bool:
        """Requests a retry beyond this node's own share of the budget.

        Returns False if the leader can't be reached.
        """
        now = asyncio.get_running_loop().time()
        if now < self.retries_allowed_from.get(service, -math.inf):
            return False
        request = fleet_pb2.SecondSendRequest(service=service)
        try:
            if self._is_local():
                reply = self.local.take_retry(request)
            else:
                reply = await self._call(
                    lambda stub: stub.TakeSecondSend(request), SYNC_TIMEOUT
                )
        except leader_lib.NotLeaderError as error:
            reply = fleet_pb2.SecondSendReply(not_owner=True)
            self.report("second_send_unasked", {"reason": str(error)})
        if not reply.granted:
            self.retries_allowed_from[service] = (
                now + RETRY_GRANT_DELAY.total_seconds()
            )
        return reply.granted

    async def reserve_prefill(
        self,
        engine_id: str,
        tokens: int,
        *,
        tokens_per_second: float,
        longest_delay: float,
    ) -> float:
        """Reserves the next turn of an engine for a prompt.

        See `prefill_schedule.PrefillSchedule.reserve`.

        Returns:
            Seconds until the prompt may be sent.

        Raises:
            NotLeaderError: no leader is known, or the node called is not the
                leader.
            LeaderUnreachableError: the leader did not respond.
        """
        request = fleet_pb2.PaceRequest(
            engine_id=engine_id,
            tokens=tokens,
            tokens_per_second=max(1, round(tokens_per_second)),
            longest_delay_ms=max(0, round(longest_delay * 1000)),
        )
        if self._is_local():
            reply = self.local.reserve_prefill(request)
        else:
            reply = await self._call(
                lambda stub: stub.Pace(request),
                PACE_TIMEOUT,
                keep_channel=True,
            )
        if reply.not_owner:
            raise leader_lib.NotLeaderError("the leader has changed")
        return reply.delay_ms / 1000

    async def exchange_quota(
        self, use: quota_ledger.QuotaUse
    ) -> quota_ledger.QuotaGrant | None:
        """Requests credit for requests that wait for it.

        Returns:
            None if the leader knows no quota for the organisation.

        Raises:
            NotLeaderError: no leader is known, or the node called is not the
                leader.
            LeaderUnreachableError: the leader did not respond.
        """
        request = fleet_pb2.QuotaCall(
            node=self.node, use=quota_messages.encode_use(use)
        )
        if self._is_local():
            reply = self.local.take_quota(request)
        else:
            reply = await self._call(
                lambda stub: stub.TakeQuota(request),
                QUOTA_TIMEOUT,
                keep_channel=True,
            )
        if reply.not_owner:
            raise leader_lib.NotLeaderError("the leader has changed")
        if not reply.HasField("grant"):
            return None
        return quota_messages.decode_grant(reply.grant)

    async def sync(
        self, request: fleet_pb2.SyncRequest
    ) -> list[quota_ledger.QuotaGrant]:
        """Reports this node's use and applies the changes since the last sync.

        Returns:
            What the leader grants out of the organisations' quotas.

        Raises:
            NotLeaderError: the node called is not the leader.
            LeaderUnreachableError: the leader did not respond.
        """
        request.node = self.node
        request.token = self.known_token
        request.known_change = self.known_change
        request.store_era = self.local.store_era.current or 0
        request.leaving.extend(fleet_server.encode_leaving(self.directory))
        request.quarantine.extend(self.local.encode_quarantine())
        request.unread.extend(self.local.updates.unread)
        began_at = asyncio.get_running_loop().time()
        request.known.extend(
            fleet_server.encode_known(self.local.updates, began_at)
        )
        if self._is_local():
            reply = self.local.sync(request)
        else:
            reply = await self._call(
                lambda stub: stub.Sync(request), SYNC_TIMEOUT
            )
        self.local.store_era.observe_peer(reply.store_era, source="sync_reply")
        if reply.not_owner:
            raise leader_lib.NotLeaderError("the leader has changed")
        self._apply(request, reply, began_at)
        return [quota_messages.decode_grant(grant) for grant in reply.quotas]

    async def close(self) -> None:
        """Closes the connection to the leader."""
        self._drop_channel()

    def _apply(
        self,
        request: fleet_pb2.SyncRequest,
        reply: fleet_pb2.SyncReply,
        began_at: float,
    ) -> None:
        now = asyncio.get_running_loop().time()
        self.known_token = reply.token
        self.known_change = reply.last_change
        self.nodes = reply.nodes
        self.lease_revision = revisions.Revision(
            reply.lease_era, reply.lease_revision
        )
        self.leader_may_order = reply.may_order
        # The reply may have been on its way since the request was sent.
        apply_updates(self.local.updates, reply.news, began_at)
        self.peers = tuple(
            peer for peer in reply.peers if peer != self.own_address
        )
        if reply.complete:
            for engine in self.directory.engines.values():
                engine.held_adapters = {}
        self.local.record_leaving(reply.leaving)
        self.local.receive_quarantine(reply.quarantine, write=False)
        for change in reply.changes:
            key = models.AdapterKey(change.model, change.adapter)
            if change.gone:
                self.directory.remove_adapter(change.engine_id, key)
                continue
            self.directory.set_adapter(
                change.engine_id,
                key,
                engines_lib.HeldAdapter(
                    change.version, now + change.ready_in_ms / 1000
                ),
            )
        own = {use.engine_id: use for use in request.engines}
        total = {use.engine_id: use for use in reply.engines}
        empty_use = fleet_pb2.EngineUse()
        for engine_id, engine in self.directory.engines.items():
            all_nodes = total.get(engine_id, empty_use)
            this_node = own.get(engine_id, empty_use)
            engine.running_elsewhere = max(
                0, all_nodes.running - this_node.running
            )
            engine.unread_tokens_elsewhere = max(
                0, all_nodes.unread_tokens - this_node.unread_tokens
            )

    def _is_local(self) -> bool:
        return self.address() == self.own_address

    async def _call(
        self,
        call: Callable[[fleet_grpc.FleetStub], Awaitable[Reply]],
        timeout: datetime.timedelta,
        *,
        keep_channel: bool = False,
    ) -> Reply:
        address = self.address()
        if not address:
            raise leader_lib.NotLeaderError(
                "no leader: the order lease names no address"
            )
        stub = fleet_grpc.FleetStub(self._channel_to(address))
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                return await grpc_calls.run(call(stub))
        except peer_channels.CALL_ERRORS as error:
            # A dead connection is noticed only here; the next call opens a new
            # one. Calls with a short timeout leave that to the others, which
            # would be cancelled with the connection.
            if not keep_channel:
                self._drop_channel()
            raise LeaderUnreachableError(
                f"leader {address}: {str(error) or 'timed out'}"
            ) from error

    def _channel_to(self, address: str) -> grpc_client.Channel:
        if self.channel is None or self.channel_address != address:
            self._drop_channel()
            self.channel = peer_channels.open_channel(address)
            self.channel_address = address
        return self.channel

    def _drop_channel(self) -> None:
        if self.channel is not None:
            self.channel.close()
            self.channel = None
