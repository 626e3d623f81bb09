"""Accepts changes only while a majority of the nodes can reach the table."""

from collections.abc import Awaitable, Callable
import datetime
from typing import final

from _dogwoodhinge.config import errors
from dogwoodhinge import ports

# A commit is sent, and its timeout expires, within this time after a majority
# of the sessions was confirmed as renewed. The isolation rules rely on it.
CONFIRMATION_TTL = datetime.timedelta(seconds=2)

# If a confirmation expires sooner than this, a new one is obtained before the
# commit.
MIN_COMMIT_TIME = datetime.timedelta(milliseconds=500)

# After a node was killed, all other nodes may be needed for a majority; a
# single late renewal must not cause the change to be rejected.
CONFIRM_ATTEMPTS = 2


@final
class AcceptanceGuard:
    """Confirms before each commit that a majority renews its sessions.

    Attributes:
        majority_renewed: watches the table and returns True once a strict
            majority of the sessions has renewed since the call began, False
            if that doesn't happen.
        confirmed_at: when `majority_renewed` last returned True, in monotonic
            seconds.
    """

    def __init__(
        self,
        *,
        majority_renewed: Callable[[], Awaitable[bool]],
        clock: ports.Clock,
    ) -> None:
        self.majority_renewed = majority_renewed
        self.clock = clock
        self.confirmed_at = float("-inf")

    async def confirm(self) -> datetime.timedelta:
        """Returns how long a commit that starts now may take.

        Raises:
            MajorityNotRenewedError: no change can be accepted now.
        """
        remaining = self._remaining_time()
        if remaining >= MIN_COMMIT_TIME:
            return remaining
        if not await self._check_majority():
            raise errors.MajorityNotRenewedError(
                "fewer than a majority of the nodes renew their sessions in "
                "the table, so no change is accepted; nothing was changed. "
                "Check dogwoodctl status and try again once more nodes reach "
                "the table"
            )
        self.confirmed_at = self.clock.monotonic()
        return CONFIRMATION_TTL

    async def _check_majority(self) -> bool:
        for _ in range(CONFIRM_ATTEMPTS):
            if await self.majority_renewed():
                return True
        return False

    def _remaining_time(self) -> datetime.timedelta:
        elapsed = self.clock.monotonic() - self.confirmed_at
        if elapsed > CONFIRMATION_TTL.total_seconds():
            return datetime.timedelta(0)
        return CONFIRMATION_TTL - datetime.timedelta(seconds=elapsed)
