"""The system's clock."""

import asyncio
import datetime
import time
from typing import final


@final
class SystemClock:
    """Clock of the operating system."""

    def now(self) -> datetime.datetime:
        """Returns the current time in UTC."""
        return datetime.datetime.now(datetime.UTC)

    def monotonic(self) -> float:
        """Returns a monotonic time in seconds."""
        return time.monotonic()

    async def sleep(self, delay: datetime.timedelta) -> None:
        """Waits for `delay`."""
        await asyncio.sleep(delay.total_seconds())
