"""Tests of `_dogwoodhinge.event_stream`."""

import itertools

import hypothesis
from hypothesis import strategies
import pytest

from _dogwoodhinge import event_stream


def event(number: int) -> bytes:
    """Returns one event."""
    return b"id: %d\ndata: piece\n\n" % number


LINE_ENDS = [
    pytest.param(b"\n", id="lf"),
    pytest.param(b"\r\n", id="crlf"),
    pytest.param(b"\r", id="cr"),
]


@pytest.mark.parametrize("line_end", LINE_ENDS)
@hypothesis.given(
    count=strategies.integers(0, 8),
    cuts=strategies.lists(strategies.integers(0, 200), max_size=10),
)
def test_events_do_not_depend_on_the_chunks_received(
    line_end: bytes, count: int, cuts: list[int]
) -> None:
    whole = b"".join(event(number) for number in range(count))
    data = whole.replace(b"\n", line_end) + b"id: 9"
    splitter = event_stream.EventSplitter()
    found = []
    edges = [0, *sorted(min(cut, len(data)) for cut in cuts), len(data)]
    for start, end in zip(edges, edges[1:], strict=False):
        found += splitter.feed(data[start:end])
    assert b"".join(e.data for e in found) + splitter.buffer == data
    assert [e.event_id for e in found] == [str(n) for n in range(count)]
    ends = itertools.accumulate(len(e.data) for e in found)
    whole_ends = itertools.accumulate(
        len(event(n).replace(b"\n", line_end)) for n in range(count)
    )
    for end, whole_end in zip(ends, whole_ends, strict=True):
        # The LF of a split CRLF begins the next event.
        split = line_end == b"\r\n" and whole_end - 1 in edges
        assert end == whole_end - split


def test_event_without_an_id_has_none() -> None:
    splitter = event_stream.EventSplitter()
    (found,) = splitter.feed(b"data: x\n\n")
    assert found.event_id is None


def test_end_of_an_event_may_be_split() -> None:
    splitter = event_stream.EventSplitter()
    assert not list(splitter.feed(b"data: x\n"))
    (found,) = splitter.feed(b"\nid: 2")
    assert found.data == b"data: x\n\n"
    assert splitter.buffer == b"id: 2"


def track(data: bytes, cuts: list[int]) -> event_stream.EventTracker:
    """Returns a tracker that got the parts of `data` between `cuts`."""
    tracker = event_stream.EventTracker()
    edges = [0, *sorted(min(cut, len(data)) for cut in cuts), len(data)]
    for start, end in zip(edges, edges[1:], strict=False):
        tracker.feed(data[start:end])
    return tracker


@pytest.mark.parametrize("line_end", LINE_ENDS)
@hypothesis.given(
    stop=strategies.integers(0, 60),
    cuts=strategies.lists(strategies.integers(0, 60), max_size=8),
)
def test_tracker_tells_a_stream_that_ends_in_an_event(
    line_end: bytes, stop: int, cuts: list[int]
) -> None:
    events = [
        b"id: 1" + line_end + b"data: a" + line_end * 2,
        b": note" + line_end + b"id: 2" + line_end + b"data" + line_end * 2,
    ]
    whole = b"".join(events)
    data = whole[:stop]
    tracker = track(data, cuts)
    # A comment is not part of an event.
    note_end = len(events[0]) + len(b": note" + line_end)
    ends = (0, len(events[0]), note_end, len(whole))
    assert tracker.unfinished == (len(data) not in ends)
    if not tracker.unfinished:
        assert tracker.has_event == bool(data)


@pytest.mark.parametrize(
    ("data", "has_event", "unfinished"),
    [
        pytest.param(b"", False, False, id="nothing"),
        pytest.param(b"\n\n", False, False, id="empty lines"),
        pytest.param(b": ping\n\n", False, False, id="comment"),
        pytest.param(b"data: a\n\n: pi", True, True, id="part of a comment"),
        pytest.param(b"data: a\n\n: ping\n", True, False, id="comment line"),
        pytest.param(b"data: a\n\n\n", True, False, id="third empty line"),
        pytest.param(b"data: a\n\r\n", True, False, id="mixed line ends"),
        pytest.param(b"data: a\r\r\ndata", True, True, id="cr, then crlf"),
        pytest.param(b"d", False, True, id="first byte"),
    ],
)
def test_tracker_tells_events_from_comments(
    data: bytes, *, has_event: bool, unfinished: bool
) -> None:
    for size in range(1, len(data) + 2):
        tracker = track(data, list(range(0, len(data), size)))
        assert tracker.has_event == has_event
        assert tracker.unfinished == unfinished


def test_long_events_fail_once_all_take_too_much_memory() -> None:
    """Short ones, which sound engines send, do not."""
    unfinished = event_stream.UnfinishedEvents()
    count = event_stream.MAX_UNFINISHED_BYTES // event_stream.MAX_EVENT_BYTES
    for _ in range(count):
        unfinished.resize(0, event_stream.MAX_EVENT_BYTES)
    unfinished.resize(0, event_stream.SHORT_EVENT_BYTES)
    with pytest.raises(event_stream.EventTooLongError, match="while all"):
        unfinished.resize(0, event_stream.SHORT_EVENT_BYTES + 1)


def test_ended_streams_take_no_memory() -> None:
    unfinished = event_stream.UnfinishedEvents()
    for size in (1_000, event_stream.MAX_EVENT_BYTES):
        unfinished.resize(0, size)
        unfinished.resize(size, 0)
    assert unfinished.total_bytes == 0


def test_single_event_has_its_own_limit() -> None:
    unfinished = event_stream.UnfinishedEvents()
    too_long = event_stream.MAX_EVENT_BYTES + 1
    with pytest.raises(event_stream.EventTooLongError):
        unfinished.resize(0, too_long)
    unfinished.resize(too_long, 0)
    assert unfinished.total_bytes == 0
