"""Tests of `_dogwoodhinge.stall_monitor`."""

import asyncio
from collections.abc import AsyncIterator
import time

import pytest

from _dogwoodhinge import stall_monitor as stall_monitor_lib

Lines = list[tuple[str, dict[str, object]]]


@pytest.fixture
def lines() -> Lines:
    return []


@pytest.fixture
async def monitor(
    lines: Lines,
) -> AsyncIterator[stall_monitor_lib.StallMonitor]:
    found = stall_monitor_lib.StallMonitor(
        report=lambda event, fields: lines.append((event, fields))
    )
    await found.start()
    await asyncio.sleep(0.05)
    yield found
    await found.stop()


async def test_stall_of_the_event_loop_is_reported_with_its_length(
    monitor: stall_monitor_lib.StallMonitor, lines: Lines
) -> None:
    time.sleep(1.0)  # noqa: ASYNC251 - stalls the event loop
    async with asyncio.timeout(5):
        while not lines:
            await asyncio.sleep(0.01)
    ((event, fields),) = lines
    assert event == "node_stalled"
    assert 700 <= int(str(fields["ms"])) <= 1_100
    assert monitor.stalled_seconds == pytest.approx(0.9, abs=0.2)


async def test_running_event_loop_is_not_reported(
    monitor: stall_monitor_lib.StallMonitor, lines: Lines
) -> None:
    await asyncio.sleep(0.6)
    assert lines == []
    assert monitor.stalled_seconds == 0.0
