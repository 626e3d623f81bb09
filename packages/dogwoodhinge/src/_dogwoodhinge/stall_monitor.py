"""Reports when the process did not run for a while.

A process that does not run reads no data. Its timeouts then expire although
its peers have responded in time.
"""

import asyncio
import datetime
from typing import final

import mode

from _dogwoodhinge import event_log
from _dogwoodhinge import supervision

CHECK_INTERVAL = datetime.timedelta(milliseconds=250)

# Well below the shortest timeout for engines, which is 0.7 s.
MIN_STALL = datetime.timedelta(milliseconds=200)


@final
class StallMonitor(mode.Service):
    """Checks how late its timer fires.

    Attributes:
        stalled_seconds: total time of all reported stalls.
    """

    def __init__(self, *, report: event_log.EventReporter) -> None:
        super().__init__()
        self.report = report
        self.stalled_seconds = 0.0
        self._due: float | None = None

    @mode.Service.task
    async def _watch(self) -> None:
        await supervision.repeat(self, self._check, report=self.report)

    async def _check(self) -> float:
        now = asyncio.get_running_loop().time()
        interval = CHECK_INTERVAL.total_seconds()
        stall = 0.0 if self._due is None else now - self._due
        self._due = now + interval
        if stall >= MIN_STALL.total_seconds():
            self.stalled_seconds += stall
            self.report("node_stalled", {"ms": int(stall * 1000)})
        return interval
