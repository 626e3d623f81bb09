"""Accesses the row of the order lease through peers.

Load pattern: the leader loses its connection to the platform's store while all
other nodes reach it. Without a relay it would have to stop, and no adapter
could be loaded until another node has waited for the lease to expire. A peer
forwards the leader's conditional writes; the holder of the lease stays the
same. A peer that knows of a newer era of the store refuses a write whose
condition is of an earlier one, which might fit the row by chance.
"""

import asyncio
from collections.abc import Callable, Sequence
import datetime
from typing import final

from _dogwoodhinge import event_log
from _dogwoodhinge import grpc_calls
from _dogwoodhinge.fleet import fleet_grpc
from _dogwoodhinge.fleet import fleet_pb2
from _dogwoodhinge.fleet import order_lease
from _dogwoodhinge.fleet import peer_channels
from _dogwoodhinge.fleet import revisions
from dogwoodhinge import errors

# Delay after a failure before this node's own connection is tried again. Calls
# go to peers in the meantime, so that they do not wait for a timeout first.
DIRECT_RETRY_DELAY = datetime.timedelta(seconds=1.5)

RELAY_TIMEOUT = datetime.timedelta(milliseconds=400)

# Peers that are tried for one call.
MAX_PEERS_TRIED = 2


Outcome = fleet_pb2.LeaseAnswer.Outcome


def encode(record: order_lease.Record | None) -> fleet_pb2.LeaseRecord | None:
    """Encodes a record as a message; returns None for None."""
    if record is None:
        return None
    return fleet_pb2.LeaseRecord(
        node=record.node,
        address=record.address,
        token=record.token,
        era=record.era,
    )


def decode(record: fleet_pb2.LeaseRecord) -> order_lease.Record:
    """Decodes a record from its message."""
    return order_lease.Record(
        node=record.node,
        address=record.address,
        token=record.token,
        era=record.era,
    )


async def handle_call(
    table: order_lease.LeaseTable,
    call: fleet_pb2.LeaseCall,
    *,
    store_era: revisions.StoreEra,
) -> fleet_pb2.LeaseAnswer:
    """Executes a peer's call on this node's own connection."""
    is_current = store_era.observe_peer(call.era, source="lease_call")
    if call.HasField("record") and not is_current:
        return fleet_pb2.LeaseAnswer(
            outcome=Outcome.CONFLICT, era=store_era.current
        )
    try:
        if not call.HasField("record"):
            row = await table.read()
            return fleet_pb2.LeaseAnswer(
                outcome=Outcome.DONE,
                record=encode(row.record),
                revision=row.revision.number,
                era=row.revision.era,
            )
        revision = await table.write(
            decode(call.record),
            revision=revisions.Revision(call.era, call.revision),
        )
    except errors.TableConflictError:
        return fleet_pb2.LeaseAnswer(outcome=Outcome.CONFLICT)
    except errors.TableOutcomeUnknownError:
        return fleet_pb2.LeaseAnswer(outcome=Outcome.UNKNOWN)
    except errors.TableError:
        return fleet_pb2.LeaseAnswer(outcome=Outcome.UNAVAILABLE)
    return fleet_pb2.LeaseAnswer(
        outcome=Outcome.DONE, revision=revision.number, era=revision.era
    )


@final
class RelayedLeaseTable:
    """The lease row, over this node's own connection or through a peer.

    Implements `order_lease.LeaseTable`.

    Attributes:
        peers: returns addresses of peers, in order of preference.
    """

    def __init__(
        self,
        *,
        direct: order_lease.LeaseTable,
        peers: Callable[[], Sequence[str]],
        store_era: revisions.StoreEra,
        report: event_log.EventReporter,
    ) -> None:
        self.direct = direct
        self.peers = peers
        self.store_era = store_era
        self.report = report
        self.direct_failed_at: float | None = None

    async def read(self) -> order_lease.Row:
        """Reads the row."""
        if self._should_try_direct():
            try:
                row = await self.direct.read()
            except errors.TableUnavailableError as error:
                self._record_failure(error)
            else:
                self.direct_failed_at = None
                return row
        response = await self._call_peers(
            fleet_pb2.LeaseCall(era=self.store_era.current or 0)
        )
        if not self.store_era.observe_peer(response.era, source="lease_answer"):
            raise errors.TableUnavailableError(
                f"the peer's row is of the earlier era {response.era}"
            )
        record = (
            decode(response.record) if response.HasField("record") else None
        )
        return order_lease.Row(
            record, revisions.Revision(response.era, response.revision)
        )

    async def write(
        self, record: order_lease.Record, *, revision: revisions.Revision
    ) -> revisions.Revision:
        """Replaces the row if it still has `revision`."""
        if self._should_try_direct():
            try:
                written = await self.direct.write(record, revision=revision)
            except errors.TableUnavailableError as error:
                self._record_failure(error)
            except errors.TableOutcomeUnknownError as error:
                self._record_failure(error)
                raise
            else:
                self.direct_failed_at = None
                return written
        response = await self._call_peers(
            fleet_pb2.LeaseCall(
                record=encode(record),
                revision=revision.number,
                era=revision.era,
            )
        )
        self.store_era.observe_peer(response.era, source="lease_answer")
        if response.era != revision.era:
            raise errors.TableOutcomeUnknownError(
                f"the row was written in era {response.era}, on a condition of "
                f"era {revision.era}"
            )
        return revisions.Revision(response.era, response.revision)

    def _should_try_direct(self) -> bool:
        if self.direct_failed_at is None or not self.peers():
            return True
        now = asyncio.get_running_loop().time()
        return now - self.direct_failed_at > DIRECT_RETRY_DELAY.total_seconds()

    def _record_failure(self, error: errors.TableError) -> None:
        if self.direct_failed_at is None:
            self.report("lease_relay_begun", {"reason": str(error)})
        self.direct_failed_at = asyncio.get_running_loop().time()

    async def _call_peers(
        self, call: fleet_pb2.LeaseCall
    ) -> fleet_pb2.LeaseAnswer:
        reason = "no peer address is known to relay the lease call"
        for peer in self.peers()[:MAX_PEERS_TRIED]:
            try:
                response = await _call_peer(peer, call)
            except _NoResponseError as error:
                reason = str(error)
                if call.HasField("record"):
                    raise errors.TableOutcomeUnknownError(reason) from error
                continue
            if response.outcome == Outcome.DONE:
                return response
            if response.outcome == Outcome.CONFLICT:
                self.store_era.observe_peer(response.era, source="lease_answer")
                raise errors.TableConflictError(
                    f"{peer}: the lease row is not at revision {call.revision}"
                )
            if response.outcome == Outcome.UNKNOWN:
                raise errors.TableOutcomeUnknownError(
                    f"{peer}: the table did not respond; the outcome is unknown"
                )
            reason = f"{peer}: the table is unavailable there too"
        raise errors.TableUnavailableError(reason)


class _NoResponseError(errors.DogwoodhingeError):
    """A peer did not respond to a relayed call."""


async def _call_peer(
    peer: str, call: fleet_pb2.LeaseCall
) -> fleet_pb2.LeaseAnswer:
    # Calls are made only while the store is unreachable, so the channel is not
    # kept open.
    channel = peer_channels.open_channel(peer)
    try:
        async with asyncio.timeout(RELAY_TIMEOUT.total_seconds()):
            stub = fleet_grpc.FleetStub(channel)
            return await grpc_calls.run(stub.RelayLease(call))
    except peer_channels.CALL_ERRORS as error:
        raise _NoResponseError(
            f"{peer}: {str(error) or 'timed out'}"
        ) from error
    finally:
        channel.close()
