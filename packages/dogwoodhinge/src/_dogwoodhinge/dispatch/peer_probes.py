"""Detects peers whose connection became unresponsive during a long call.

An admission call may validly wait in the engine owner's queue for a long time,
so its own time-out would detect an unresponsive connection too late.
"""

import datetime
import math
from typing import final

from _dogwoodhinge import errors
from _dogwoodhinge.dispatch import background
from _dogwoodhinge.dispatch import collaborators
from _dogwoodhinge.peer import peer_pb2
from dogwoodhinge import ports

PROBE_INTERVAL = datetime.timedelta(seconds=1)
PROBE_TIMEOUT = datetime.timedelta(seconds=2)


@final
class PeerProber:
    """Probes peers; all calls that wait on a peer share its probes.

    Attributes:
        probed_at: start of the latest probe, by address, in monotonic
            seconds.
        failed_at: end of the latest failed probe, by address, in monotonic
            seconds.
    """

    def __init__(
        self, *, peer_client: collaborators.PeerClient, clock: ports.Clock
    ) -> None:
        self.peer_client = peer_client
        self.clock = clock
        self.probed_at: dict[str, float] = {}
        self.failed_at: dict[str, float] = {}
        self.background = background.BackgroundTasks()

    def start_probe(self, address: str) -> None:
        """Starts a probe unless one was started within `PROBE_INTERVAL`."""
        now = self.clock.monotonic()
        since = now - self.probed_at.get(address, -math.inf)
        if since < PROBE_INTERVAL.total_seconds():
            return
        self.probed_at[address] = now
        self.background.spawn(self._probe(address), name=f"probe {address}")

    def has_failed(self, address: str, *, since: float) -> bool:
        """Returns whether a probe failed after `since`, monotonic seconds."""
        return self.failed_at.get(address, -math.inf) > since

    async def _probe(self, address: str) -> None:
        """Lists the grants of no engine: a cheap call without side effects."""
        try:
            await self.peer_client.call(
                address,
                "ListGrants",
                peer_pb2.ListGrantsRequest(),
                timeout=PROBE_TIMEOUT,
            )
        except errors.PeerError:
            self.failed_at[address] = self.clock.monotonic()
