"""Tests of `_dogwoodhinge.event_log`."""

import asyncio
import json
import os

import pytest

from _dogwoodhinge import event_log
from dogwoodhinge_lab import manual_clock


@pytest.fixture
def clock() -> manual_clock.ManualClock:
    return manual_clock.ManualClock()


@pytest.fixture
def pipe():  # noqa: ANN201
    read_end, write_end = os.pipe()
    yield read_end, write_end
    os.close(read_end)
    os.close(write_end)


def read_bytes(fd: int) -> bytes:
    """Reads the bytes written so far."""
    os.set_blocking(fd, False)
    data = b""
    while True:
        try:
            part = os.read(fd, 65536)
        except BlockingIOError:
            return data
        if not part:
            return data
        data += part


def read_lines(fd: int) -> list[dict[str, object]]:
    """Reads the lines written so far as JSON objects."""
    return [json.loads(line) for line in read_bytes(fd).splitlines()]


def test_line_carries_its_node_and_fields(
    clock: manual_clock.ManualClock, pipe: tuple[int, int]
) -> None:
    log = event_log.EventLog(node="n1", clock=clock, fd=pipe[1])
    log.write("engine_gone", {"engine": "e1"})
    (line,) = read_lines(pipe[0])
    assert (line["node"], line["event"], line["engine"]) == (
        "n1",
        "engine_gone",
        "e1",
    )


async def test_slow_reader_never_blocks_and_dropped_lines_are_reported(
    clock: manual_clock.ManualClock,
    pipe: tuple[int, int],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(event_log, "MAX_BUFFERED_BYTES", 4_096)
    monkeypatch.setattr(event_log, "MAX_LINES_PER_SECOND", 1_000_000)
    log = event_log.EventLog(node="n1", clock=clock, fd=pipe[1])
    log.open()
    for number in range(5_000):
        log.write("request", {"number": number, "padding": "x" * 50})
    assert log.dropped > 0
    assert log.buffered_bytes <= 4_096
    data = read_bytes(pipe[0])
    await asyncio.sleep(0.05)
    log.write("request", {"number": 5_000})
    await asyncio.sleep(0.05)
    data += read_bytes(pipe[0])
    lines = [json.loads(line) for line in data.splitlines()]
    lost = [line for line in lines if line["event"] == "lines_dropped"]
    assert [line["count"] for line in lost] == [log.dropped]
    kept = [line for line in lines if line["event"] == "request"]
    assert len(kept) + log.dropped == 5_001


def test_flood_of_one_event_does_not_drop_others(
    clock: manual_clock.ManualClock, pipe: tuple[int, int]
) -> None:
    log = event_log.EventLog(node="n1", clock=clock, fd=pipe[1])
    for _ in range(event_log.MAX_LINES_PER_SECOND + 50):
        log.write("request", {})
    log.write("engine_gone", {})
    lines = read_lines(pipe[0])
    assert log.dropped == 50
    assert lines[-1]["event"] == "engine_gone"


def test_closed_reader_raises_no_error(
    clock: manual_clock.ManualClock,
) -> None:
    read_end, write_end = os.pipe()
    os.close(read_end)
    log = event_log.EventLog(node="n1", clock=clock, fd=write_end)
    log.write("request", {})
    assert log.dropped == 1
    os.close(write_end)
