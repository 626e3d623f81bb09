"""gRPC server for the calls of peers."""

import asyncio
from collections.abc import Iterable
import math
from typing import TypeAlias, final

from grpclib import server as grpc_server

from _dogwoodhinge.fleet import adapter_slots as adapter_slots_lib
from _dogwoodhinge.fleet import announcements as announcements_lib
from _dogwoodhinge.fleet import engines as engines_lib
from _dogwoodhinge.fleet import fleet_grpc
from _dogwoodhinge.fleet import fleet_pb2
from _dogwoodhinge.fleet import leader as leader_lib
from _dogwoodhinge.fleet import lease_relay
from _dogwoodhinge.fleet import models
from _dogwoodhinge.fleet import order_lease
from _dogwoodhinge.fleet import placement_queue
from _dogwoodhinge.fleet import quota_ledger as quota_ledger_lib
from _dogwoodhinge.fleet import quota_messages
from _dogwoodhinge.fleet import revisions
from _dogwoodhinge.fleet import table_updates as table_updates_lib
from _dogwoodhinge.fleet import usage as usage_lib
from _dogwoodhinge.quarantine import quarantine as quarantine_lib
from _dogwoodhinge.quarantine import records as quarantine_records

PlacementStream: TypeAlias = grpc_server.Stream[
    fleet_pb2.PlaceRequest, fleet_pb2.PlaceReply
]
SyncStream: TypeAlias = grpc_server.Stream[
    fleet_pb2.SyncRequest, fleet_pb2.SyncReply
]
RetryStream: TypeAlias = grpc_server.Stream[
    fleet_pb2.SecondSendRequest, fleet_pb2.SecondSendReply
]
PaceStream: TypeAlias = grpc_server.Stream[
    fleet_pb2.PaceRequest, fleet_pb2.PaceReply
]
QuotaStream: TypeAlias = grpc_server.Stream[
    fleet_pb2.QuotaCall, fleet_pb2.QuotaAnswer
]
LeaseStream: TypeAlias = grpc_server.Stream[
    fleet_pb2.LeaseCall, fleet_pb2.LeaseAnswer
]

# Peers that each node knows, for use while it can't reach the store.
MAX_PEERS_SENT = 5


@final
class FleetServer(fleet_grpc.FleetBase):
    """Serves peers; most calls need this node to be the leader."""

    def __init__(
        self,
        leader: leader_lib.Leader,
        lease_table: order_lease.LeaseTable,
        updates: table_updates_lib.TableUpdates,
        announcements: announcements_lib.Announcements,
        quarantine: quarantine_lib.Quarantine,
        quota_ledger: quota_ledger_lib.QuotaLedger,
        *,
        store_era: revisions.StoreEra,
    ) -> None:
        self.quota_ledger = quota_ledger
        self.store_era = store_era
        self.quarantine = quarantine
        self.leader = leader
        self.lease_table = lease_table
        self.updates = updates
        self.announcements = announcements

    async def Place(
        self,
        stream: PlacementStream,
    ) -> None:
        """Handles a placement request."""
        request = await stream.recv_message()
        if request is not None:
            await stream.send_message(await self.place(request))

    async def Sync(
        self,
        stream: SyncStream,
    ) -> None:
        """Handles a sync of an entry node."""
        request = await stream.recv_message()
        if request is not None:
            await stream.send_message(self.sync(request))

    async def TakeSecondSend(
        self,
        stream: RetryStream,
    ) -> None:
        """Handles a request for a retry."""
        request = await stream.recv_message()
        if request is not None:
            await stream.send_message(self.take_retry(request))

    async def Pace(
        self,
        stream: PaceStream,
    ) -> None:
        """Handles the reservation of a turn of an engine for a prompt."""
        request = await stream.recv_message()
        if request is not None:
            await stream.send_message(self.reserve_prefill(request))

    async def TakeQuota(
        self,
        stream: QuotaStream,
    ) -> None:
        """Handles a request for credit."""
        request = await stream.recv_message()
        if request is not None:
            await stream.send_message(self.take_quota(request))

    async def RelayLease(
        self,
        stream: LeaseStream,
    ) -> None:
        """Reads or writes the row of the order lease for a peer."""
        request = await stream.recv_message()
        if request is not None:
            answer = await lease_relay.handle_call(
                self.lease_table, request, store_era=self.store_era
            )
            await stream.send_message(answer)

    async def place(
        self, request: fleet_pb2.PlaceRequest
    ) -> fleet_pb2.PlaceReply:
        """Finds an engine for one placement request, loading if necessary."""
        placement_request = adapter_slots_lib.PlacementRequest(
            key=models.AdapterKey(request.model, request.adapter),
            version=request.version,
            avoid=frozenset(request.avoid),
            absent_from=request.absent_from,
            prompt_tokens=request.prompt_tokens,
            seconds_to_target=request.target_in_ms / 1000,
            max_wait_seconds=request.patience_ms / 1000,
            node=request.node,
            rank=request.rank,
            organisation=request.organisation,
        )
        try:
            assignment = await self.leader.place(placement_request)
        except leader_lib.NotLeaderError:
            return fleet_pb2.PlaceReply(not_owner=True)
        except placement_queue.NoFreeSlotError as error:
            retry_after = error.retry_after.total_seconds()
            return fleet_pb2.PlaceReply(
                retry_after_ms=int(retry_after * 1000), final=error.final
            )
        return fleet_pb2.PlaceReply(
            engine_id=assignment.engine_id,
            version=assignment.version,
            ready_in_ms=_milliseconds_until(
                assignment.ready_at, asyncio.get_running_loop().time()
            ),
            places_short=self.leader.placement_queue.is_short(),
        )

    def take_retry(
        self, request: fleet_pb2.SecondSendRequest
    ) -> fleet_pb2.SecondSendReply:
        """Grants one retry from the shared budget, or rejects it."""
        try:
            granted = self.leader.take_retry(request.service)
        except leader_lib.NotLeaderError:
            return fleet_pb2.SecondSendReply(not_owner=True)
        return fleet_pb2.SecondSendReply(granted=granted)

    def take_quota(self, request: fleet_pb2.QuotaCall) -> fleet_pb2.QuotaAnswer:
        """Grants credit out of an organisation's quota."""
        if not self.leader.lease.is_held_here:
            return fleet_pb2.QuotaAnswer(not_owner=True)
        (grant,) = self._grant_quotas(request.node, [request.use]) or (None,)
        return fleet_pb2.QuotaAnswer(grant=grant)

    def _grant_quotas(
        self, node: str, uses: Iterable[fleet_pb2.QuotaUse]
    ) -> list[fleet_pb2.QuotaGrant]:
        now = asyncio.get_running_loop().time()
        lease = self.leader.lease
        self.quota_ledger.lead(lease.token, now, sole_leader=lease.may_order())
        grants = (
            self.quota_ledger.exchange(
                node, quota_messages.decode_use(use), now
            )
            for use in uses
        )
        return [
            quota_messages.encode_grant(grant)
            for grant in grants
            if grant is not None
        ]

    def reserve_prefill(
        self, request: fleet_pb2.PaceRequest
    ) -> fleet_pb2.PaceReply:
        """Reserves a turn of an engine for one prompt."""
        if not self.leader.leading:
            return fleet_pb2.PaceReply(not_owner=True)
        delay = self.leader.prefill_schedule.reserve(
            request.engine_id,
            request.tokens,
            tokens_per_second=max(1, request.tokens_per_second),
            longest_delay=request.longest_delay_ms / 1000,
            now=asyncio.get_running_loop().time(),
        )
        return fleet_pb2.PaceReply(delay_ms=round(delay * 1000))

    def sync(self, request: fleet_pb2.SyncRequest) -> fleet_pb2.SyncReply:
        """Records a node's use and returns what has changed."""
        self.store_era.observe_peer(request.store_era, source="sync_request")
        use = usage_lib.NodeUse(
            node=request.node,
            active={
                models.AdapterKey(a.model, a.adapter): a.active
                for a in request.adapters
                if a.active
            },
            begun={
                models.AdapterKey(a.model, a.adapter): a.begun
                for a in request.adapters
                if a.begun
            },
            work={
                e.engine_id: engines_lib.Work(e.running, e.unread_tokens)
                for e in request.engines
            },
            penalties={
                e.engine_id: e.penalty_percent / 100 for e in request.engines
            },
            requests={s.service: s.begun for s in request.services},
        )
        try:
            self.leader.record_use(use)
        except leader_lib.NotLeaderError:
            return fleet_pb2.SyncReply(
                not_owner=True, store_era=self.store_era.current or 0
            )
        now = asyncio.get_running_loop().time()
        self.record_leaving(request.leaving)
        self.receive_quarantine(request.quarantine, write=True)
        record_responses(self.updates, request.known, now)
        placement = self.leader.placement
        token = self.leader.lease.token
        changes = None
        if request.token == token:
            changes = placement.changes_since(request.known_change)
        complete = changes is None
        lease_revision = self.leader.lease.revision or revisions.Revision(
            self.store_era.current or 0, 0
        )
        if changes is None:
            changes = placement.all_slots()
        return fleet_pb2.SyncReply(
            token=token,
            last_change=placement.last_change,
            complete=complete,
            changes=[_encode_change(change, now) for change in changes],
            engines=[
                fleet_pb2.EngineUse(
                    engine_id=engine_id,
                    running=work.running,
                    unread_tokens=work.unread_tokens,
                )
                for engine_id, work in self.leader.usage.work.items()
            ],
            nodes=len(self.leader.usage.reports),
            peers=self.leader.peers(MAX_PEERS_SENT),
            lease_revision=lease_revision.number,
            lease_era=lease_revision.era,
            store_era=self.store_era.current or 0,
            may_order=self.leader.lease.may_order(),
            news=encode_updates(self.updates, request, now),
            leaving=encode_leaving(self.leader.directory),
            quarantine=self.encode_quarantine(),
            quotas=self._grant_quotas(request.node, request.quotas),
        )

    def record_leaving(
        self, leaving: Iterable[fleet_pb2.LeavingEngine]
    ) -> None:
        """Records engines that have told a peer that they are leaving."""
        for engine in leaving:
            self.announcements.record_leaving(
                (engine.engine_id, engine.born_ms),
                source=announcements_lib.Source.PEER,
            )

    def encode_quarantine(self) -> list[fleet_pb2.TableRow]:
        """Returns the quarantine's records that this node has not written."""
        return [
            fleet_pb2.TableRow(
                key=record.fingerprint, value=quarantine_records.encode(record)
            )
            for record in self.quarantine.unwritten()
        ]

    def receive_quarantine(
        self, rows: Iterable[fleet_pb2.TableRow], *, write: bool
    ) -> None:
        """Applies the quarantine's records that a peer has not written.

        Args:
            rows: the records.
            write: whether to write them from here.
        """
        for row in rows:
            self.quarantine.receive(row.key, row.value, write=write)


def encode_known(
    updates: table_updates_lib.TableUpdates, now: float
) -> list[fleet_pb2.TableNews]:
    """Returns what this node knows of each table, for the leader."""
    return [
        fleet_pb2.TableNews(
            table=table,
            revision=revision.number,
            era=revision.era,
            response_age_ms=_age_ms(
                updates.responses.get(table, -math.inf), now
            ),
        )
        for table, revision in updates.applied.items()
    ]


def record_responses(
    updates: table_updates_lib.TableUpdates,
    known: Iterable[fleet_pb2.TableNews],
    now: float,
) -> None:
    """Records when the store has responded to the sender of a request."""
    for table in known:
        if table.HasField("response_age_ms"):
            updates.record_peer_response(
                table.table, now - table.response_age_ms / 1000
            )


def encode_updates(
    updates: table_updates_lib.TableUpdates,
    request: fleet_pb2.SyncRequest,
    now: float,
) -> list[fleet_pb2.TableNews]:
    """Returns the state of each table, with the rows that a node lacks."""
    known = {
        table.table: revisions.Revision(table.era, table.revision)
        for table in request.known
    }
    encoded = []
    for table, state in updates.local_states.items():
        rows = None
        if table in known:
            rows = updates.logs[table].since(
                known[table],
                max_bytes=table_updates_lib.MAX_UNREAD_BYTES
                if table in request.unread
                else table_updates_lib.MAX_UPDATE_BYTES,
            )
        encoded.append(
            fleet_pb2.TableNews(
                table=table,
                revision=state.revision.number,
                era=state.revision.era,
                age_ms=_age_ms(state.read_at, now),
                unread=table in updates.unread,
                response_age_ms=_age_ms(updates.last_response(table), now),
                complete=rows is not None,
                rows=[_encode_row(row) for row in rows or ()],
            )
        )
    return encoded


def _age_ms(at: float, now: float) -> int | None:
    """Returns the milliseconds since a loop time, rounded up."""
    return max(0, math.ceil((now - at) * 1000)) if math.isfinite(at) else None


def encode_leaving(
    directory: engines_lib.Directory,
) -> list[fleet_pb2.LeavingEngine]:
    """Returns the engines whose own list entries do not say that they leave."""
    return [
        fleet_pb2.LeavingEngine(
            engine_id=engine.engine_id, born_ms=engine.entry.born_ms
        )
        for engine in directory.engines.values()
        if engine.leaving and not engine.entry.leaving
    ]


def _encode_row(row: table_updates_lib.Row) -> fleet_pb2.TableRow:
    return fleet_pb2.TableRow(
        key=row.key, value=row.value or b"", removed=row.value is None
    )


def _encode_change(
    change: adapter_slots_lib.SlotChange, now: float
) -> fleet_pb2.PlaceChange:
    return fleet_pb2.PlaceChange(
        engine_id=change.engine_id,
        model=change.key.model,
        adapter=change.key.adapter,
        gone=change.version is None,
        version=change.version or 0,
        ready_in_ms=_milliseconds_until(change.ready_at, now),
    )


def _milliseconds_until(at: float, now: float) -> int:
    return max(0, round((at - now) * 1000))
