"""Tests of `_dogwoodhinge.supervision`."""

import asyncio

import mode

from _dogwoodhinge import supervision


class Worker(mode.Service):
    """Fails at its first step."""

    def __init__(self) -> None:
        super().__init__()
        self.steps = 0
        self.reports: list[tuple[str, dict[str, object]]] = []

    @mode.Service.task
    async def _work(self) -> None:
        await supervision.repeat(self, self._step, report=self._report)

    async def _step(self) -> float:
        self.steps += 1
        if self.steps == 1:
            raise KeyError("unexpected")
        return 0.001

    def _report(self, event: str, fields: dict[str, object]) -> None:
        self.reports.append((event, fields))


async def test_step_that_raises_is_reported_and_repeated() -> None:
    """A mode service ends silently when one of its tasks raises."""
    worker = Worker()
    await worker.start()
    async with asyncio.timeout(5):
        while worker.steps < 3:
            await asyncio.sleep(0.01)
    await worker.stop()
    ((event, fields),) = worker.reports
    assert event == "step_failed"
    assert "KeyError" in str(fields["error"])
    assert "_step" in str(fields["traceback"])
