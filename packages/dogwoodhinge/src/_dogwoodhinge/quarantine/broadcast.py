"""Broadcasts quarantine records to live peers."""

import asyncio
import datetime
from typing import final

from _dogwoodhinge import errors
from _dogwoodhinge.dispatch import collaborators
from _dogwoodhinge.peer import peer_pb2
from _dogwoodhinge.quarantine import records
from dogwoodhinge import ports

SEND_TIMEOUT = datetime.timedelta(seconds=1)
MAX_CONCURRENT_SENDS = 32
# Per poll interval; peers read further records from the table.
MAX_SUSPECTS_SENT = 8


@final
class QuarantineBroadcaster:
    """Sends records to all live peers, and limits those of suspects.

    Attributes:
        suspect_count: suspects since the last `reset_suspect_limit`, with
            those above the limit.
    """

    def __init__(
        self,
        *,
        membership: collaborators.Membership,
        peer_client: collaborators.PeerClient,
        clock: ports.Clock,
    ) -> None:
        self.membership = membership
        self.peer_client = peer_client
        self.clock = clock
        self.suspect_count = 0

    def reset_suspect_limit(self) -> None:
        """Allows another `MAX_SUSPECTS_SENT` suspects to be broadcast."""
        self.suspect_count = 0

    async def broadcast(self, record: records.QuarantineRecord) -> None:
        """Sends a record and waits until every peer has answered or timed out.

        The loss of an availability zone makes every request there a suspect.
        Suspects above the limit are not sent; peers read them from the table.
        """
        convicted = record.verdict is records.Verdict.CONVICTED
        if not convicted:
            self.suspect_count += 1
            if self.suspect_count > MAX_SUSPECTS_SENT:
                return
        message = peer_pb2.Conviction(
            fingerprint=record.fingerprint,
            customer=record.customer,
            engine_id=record.engine_id,
            convicted_at_ms=int(self.clock.now().timestamp() * 1_000)
            if convicted
            else 0,
        )
        semaphore = asyncio.Semaphore(MAX_CONCURRENT_SENDS)
        await asyncio.gather(
            *(
                self._send(peer.peer_address, message, semaphore)
                for peer in self.membership.peers()
            )
        )

    async def _send(
        self,
        address: str,
        message: peer_pb2.Conviction,
        semaphore: asyncio.Semaphore,
    ) -> None:
        async with semaphore:
            try:
                await self.peer_client.call(
                    address, "ReportConviction", message, timeout=SEND_TIMEOUT
                )
            except errors.PeerError:
                pass  # the peer reads the record from the table
