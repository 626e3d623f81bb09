"""Reaches the row of the order lease through peers.

Load pattern: the node that gives the orders is cut off from the platform's
store, while all others reach it. Without help it would have to stop, and
absent adapters could not be loaded until another node has waited it out.
A peer passes its conditional writes on; who holds the lease does not change.
"""

import asyncio
from collections.abc import Callable, Sequence
import datetime
from typing import final

from _dogwoodhinge import event_log
from _dogwoodhinge.fleet import fleet_grpc
from _dogwoodhinge.fleet import fleet_pb2
from _dogwoodhinge.fleet import order_lease
from _dogwoodhinge.fleet import peer_channels
from dogwoodhinge import errors

# After a failure the own connection to the store is tried again so late;
# meanwhile peers are asked first, to save the time-out.
DIRECT_AGAIN_AFTER = datetime.timedelta(seconds=1.5)

RELAY_TIMEOUT = datetime.timedelta(milliseconds=400)

# Peers that are asked for one call.
MAX_PEERS_ASKED = 2


Outcome = fleet_pb2.LeaseAnswer.Outcome


def encode(record: order_lease.Record | None) -> fleet_pb2.LeaseRecord | None:
    """Encodes a record; None stays None."""
    if record is None:
        return None
    return fleet_pb2.LeaseRecord(
        node=record.node, address=record.address, token=record.token
    )


def decode(record: fleet_pb2.LeaseRecord) -> order_lease.Record:
    """Decodes a record."""
    return order_lease.Record(
        node=record.node, address=record.address, token=record.token
    )


async def answer(
    table: order_lease.LeaseTable, call: fleet_pb2.LeaseCall
) -> fleet_pb2.LeaseAnswer:
    """Carries out a peer's call on this node's own connection."""
    try:
        if not call.HasField("record"):
            row = await table.read()
            return fleet_pb2.LeaseAnswer(
                outcome=Outcome.DONE,
                record=encode(row.record),
                revision=row.revision,
            )
        revision = await table.write(
            decode(call.record), revision=call.revision
        )
    except errors.TableConflictError:
        return fleet_pb2.LeaseAnswer(outcome=Outcome.CONFLICT)
    except errors.TableOutcomeUnknownError:
        return fleet_pb2.LeaseAnswer(outcome=Outcome.UNKNOWN)
    except errors.TableError:
        return fleet_pb2.LeaseAnswer(outcome=Outcome.UNAVAILABLE)
    return fleet_pb2.LeaseAnswer(outcome=Outcome.DONE, revision=revision)


@final
class RelayedLease:
    """The row, by this node's own connection or by a peer's.

    Implements `order_lease.LeaseTable`.

    Attributes:
        peers: addresses of peers, most useful first.
    """

    def __init__(
        self,
        *,
        direct: order_lease.LeaseTable,
        peers: Callable[[], Sequence[str]],
        report: event_log.Report,
    ) -> None:
        self.direct = direct
        self.peers = peers
        self.report = report
        self.direct_failed_at: float | None = None

    async def read(self) -> order_lease.Row:
        """Reads the row."""
        if self._direct_is_due():
            try:
                row = await self.direct.read()
            except errors.TableUnavailableError as error:
                self._note_failure(error)
            else:
                self.direct_failed_at = None
                return row
        found = await self._ask_peers(fleet_pb2.LeaseCall())
        record = decode(found.record) if found.HasField("record") else None
        return order_lease.Row(record, found.revision)

    async def write(self, record: order_lease.Record, *, revision: int) -> int:
        """Replaces the row if it still has `revision`."""
        if self._direct_is_due():
            try:
                written = await self.direct.write(record, revision=revision)
            except errors.TableUnavailableError as error:
                self._note_failure(error)
            except errors.TableOutcomeUnknownError as error:
                self._note_failure(error)
                raise
            else:
                self.direct_failed_at = None
                return written
        found = await self._ask_peers(
            fleet_pb2.LeaseCall(record=encode(record), revision=revision)
        )
        return found.revision

    def _direct_is_due(self) -> bool:
        if self.direct_failed_at is None or not self.peers():
            return True
        now = asyncio.get_running_loop().time()
        return now - self.direct_failed_at > DIRECT_AGAIN_AFTER.total_seconds()

    def _note_failure(self, error: errors.TableError) -> None:
        if self.direct_failed_at is None:
            self.report("lease_relay_begun", {"reason": str(error)})
        self.direct_failed_at = asyncio.get_running_loop().time()

    async def _ask_peers(
        self, call: fleet_pb2.LeaseCall
    ) -> fleet_pb2.LeaseAnswer:
        reason = "no peer is known"
        for peer in self.peers()[:MAX_PEERS_ASKED]:
            try:
                found = await _ask(peer, call)
            except _NoAnswerError as error:
                reason = str(error)
                if call.HasField("record"):
                    raise errors.TableOutcomeUnknownError(reason) from error
                continue
            if found.outcome == Outcome.DONE:
                return found
            if found.outcome == Outcome.CONFLICT:
                raise errors.TableConflictError("the row has changed")
            if found.outcome == Outcome.UNKNOWN:
                raise errors.TableOutcomeUnknownError(
                    f"{peer} got no answer from the table"
                )
            reason = f"{peer} can't reach the table either"
        raise errors.TableUnavailableError(reason)


class _NoAnswerError(errors.DogwoodhingeError):
    """A peer did not answer."""


async def _ask(peer: str, call: fleet_pb2.LeaseCall) -> fleet_pb2.LeaseAnswer:
    # Calls come only during a cut, so no connection is kept.
    channel = peer_channels.to(peer)
    try:
        async with asyncio.timeout(RELAY_TIMEOUT.total_seconds()):
            return await fleet_grpc.FleetStub(channel).RelayLease(call)
    except peer_channels.CALL_ERRORS as error:
        raise _NoAnswerError(f"{peer}: {error or 'timed out'}") from error
    finally:
        channel.close()
