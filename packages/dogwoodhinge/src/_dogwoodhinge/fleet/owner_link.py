"""An entry node's side of the exchange with the owner."""

import asyncio
from collections.abc import Awaitable, Callable
import datetime
import math
from typing import TypeVar, final

from grpclib import client as grpc_client

from _dogwoodhinge import event_log
from _dogwoodhinge.fleet import engines as engines_lib
from _dogwoodhinge.fleet import fleet_grpc
from _dogwoodhinge.fleet import fleet_pb2
from _dogwoodhinge.fleet import fleet_server
from _dogwoodhinge.fleet import models
from _dogwoodhinge.fleet import news as news_lib
from _dogwoodhinge.fleet import owner as owner_lib
from _dogwoodhinge.fleet import peer_channels
from _dogwoodhinge.fleet import place_line
from _dogwoodhinge.fleet import places as places_lib

# A call crosses one zone border, may wait for its turn, and then for two orders
# to one engine.
PLACE_TIMEOUT = datetime.timedelta(milliseconds=900)
SYNC_TIMEOUT = datetime.timedelta(milliseconds=400)

# After a refusal by the owner, or none of its answers, second sends are not
# asked for: as long as an exchange takes to bring new ones.
ASK_PAUSE = datetime.timedelta(milliseconds=250)

Reply = TypeVar("Reply")


class OwnerUnreachableError(owner_lib.NotOwnerError):
    """The owner did not answer."""


def _decode_rows(news: fleet_pb2.TableNews) -> list[news_lib.Row] | None:
    if not news.complete:
        return None
    return [
        news_lib.Row(row.key, None if row.removed else row.value, news.revision)
        for row in news.rows
    ]


@final
class OwnerLink:
    """Calls the owner, here or on another node.

    Attributes:
        address: where the owner is, as `ip:port`; empty when unknown.
        nodes: nodes that take part, from the last exchange.
        peers: addresses of some of them.
        lease_revision: of the order lease's row, as the owner told it.
        owner_may_order: the owner's right counted at the last exchange.
        no_room_at: loop time at which places were last known to be short.
        second_sends_from: by service, loop time from which second sends may be
            asked for.
    """

    def __init__(
        self,
        *,
        node: str,
        own_address: str,
        local: fleet_server.FleetServer,
        directory: engines_lib.Directory,
        address: Callable[[], str],
        report: event_log.Report,
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
        self.lease_revision = 0
        self.owner_may_order = True
        self.no_room_at = -math.inf
        self.second_sends_from: dict[str, float] = {}

    async def place(
        self,
        want: places_lib.Want,
        *,
        timeout: datetime.timedelta = PLACE_TIMEOUT,
    ) -> places_lib.Seat:
        """Asks for a place for an adapter.

        Raises:
            NotOwnerError: nobody gives orders now, as far as known here.
            OwnerUnreachableError: the owner did not answer.
            NoRoomError: no engine can take it now.
        """
        request = fleet_pb2.PlaceRequest(
            model=want.key.model,
            adapter=want.key.adapter,
            version=want.version,
            avoid=sorted(want.avoid),
            absent_from=want.absent_from,
            prompt_tokens=want.prompt_tokens,
            target_in_ms=max(0, round(want.seconds_to_target * 1000)),
            patience_ms=max(0, round(want.patience_seconds * 1000)),
        )
        if self._is_local():
            reply = await self.local.place(request)
        else:
            reply = await self._call(lambda stub: stub.Place(request), timeout)
        if reply.not_owner:
            raise owner_lib.NotOwnerError("the owner has changed")
        now = asyncio.get_running_loop().time()
        if reply.places_short or not reply.engine_id:
            self.no_room_at = now
        if not reply.engine_id:
            raise place_line.NoRoomError(
                datetime.timedelta(milliseconds=reply.retry_after_ms),
                final=reply.final,
            )
        return places_lib.Seat(
            engine_id=reply.engine_id,
            version=reply.version,
            ready_at=now + reply.ready_in_ms / 1000,
        )

    async def take_second_send(self, service: str) -> bool:
        """Asks for a second send beyond this node's own part.

        An owner that can't be reached grants none.
        """
        now = asyncio.get_running_loop().time()
        if now < self.second_sends_from.get(service, -math.inf):
            return False
        request = fleet_pb2.SecondSendRequest(service=service)
        try:
            if self._is_local():
                reply = self.local.take_second_send(request)
            else:
                reply = await self._call(
                    lambda stub: stub.TakeSecondSend(request), SYNC_TIMEOUT
                )
        except owner_lib.NotOwnerError as error:
            reply = fleet_pb2.SecondSendReply(not_owner=True)
            self.report("second_send_unasked", {"reason": str(error)})
        if not reply.granted:
            self.second_sends_from[service] = now + ASK_PAUSE.total_seconds()
        return reply.granted

    async def sync(self, request: fleet_pb2.SyncRequest) -> None:
        """Reports use and takes over what has changed.

        Raises:
            NotOwnerError: the node asked gives no orders.
            OwnerUnreachableError: the owner did not answer.
        """
        request.node = self.node
        request.token = self.known_token
        request.known_change = self.known_change
        request.known.extend(
            fleet_pb2.TableNews(table=table, revision=revision)
            for table, revision in self.local.news.followed.items()
        )
        if self._is_local():
            reply = self.local.sync(request)
        else:
            reply = await self._call(
                lambda stub: stub.Sync(request), SYNC_TIMEOUT
            )
        if reply.not_owner:
            raise owner_lib.NotOwnerError("the owner has changed")
        self._apply(request, reply)

    async def close(self) -> None:
        """Closes the connection."""
        self._drop_channel()

    def _apply(
        self, request: fleet_pb2.SyncRequest, reply: fleet_pb2.SyncReply
    ) -> None:
        now = asyncio.get_running_loop().time()
        self.known_token = reply.token
        self.known_change = reply.last_change
        self.nodes = reply.nodes
        self.lease_revision = reply.lease_revision
        self.owner_may_order = reply.may_order
        for news in reply.news:
            self.local.news.note_told(
                news.table,
                news.revision,
                now - news.age_ms / 1000,
                _decode_rows(news),
            )
        self.peers = tuple(
            peer for peer in reply.peers if peer != self.own_address
        )
        if reply.complete:
            for engine in self.directory.engines.values():
                engine.holdings = {}
        for change in reply.changes:
            key = models.AdapterKey(change.model, change.adapter)
            if change.gone:
                self.directory.drop_holding(change.engine_id, key)
                continue
            self.directory.set_holding(
                change.engine_id,
                key,
                engines_lib.Holding(
                    change.version, now + change.ready_in_ms / 1000
                ),
            )
        own = {use.engine_id: use for use in request.engines}
        total = {use.engine_id: use for use in reply.engines}
        nothing = fleet_pb2.EngineUse()
        for engine_id, engine in self.directory.engines.items():
            all_nodes = total.get(engine_id, nothing)
            this_node = own.get(engine_id, nothing)
            engine.running_elsewhere = max(
                0, all_nodes.running - this_node.running
            )
            engine.unread_elsewhere = max(
                0, all_nodes.unread_tokens - this_node.unread_tokens
            )

    def _is_local(self) -> bool:
        return self.address() == self.own_address

    async def _call(
        self,
        call: Callable[[fleet_grpc.FleetStub], Awaitable[Reply]],
        timeout: datetime.timedelta,
    ) -> Reply:
        address = self.address()
        if not address:
            raise owner_lib.NotOwnerError("no node gives orders now")
        stub = fleet_grpc.FleetStub(self._channel_to(address))
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                return await call(stub)
        except peer_channels.CALL_ERRORS as error:
            # A silent connection shows only here; the next call opens anew.
            self._drop_channel()
            raise OwnerUnreachableError(
                f"{address}: {error or 'timed out'}"
            ) from error

    def _channel_to(self, address: str) -> grpc_client.Channel:
        if self.channel is None or self.channel_address != address:
            self._drop_channel()
            self.channel = peer_channels.to(address)
            self.channel_address = address
        return self.channel

    def _drop_channel(self) -> None:
        if self.channel is not None:
            self.channel.close()
            self.channel = None
