"""Tests of `_dogwoodhinge.gateway.event_stream`."""

import hypothesis
from hypothesis import strategies

from _dogwoodhinge.gateway import event_stream


def event(number: int) -> bytes:
    """Returns one event."""
    return b"id: %d\ndata: piece\n\n" % number


@hypothesis.given(
    strategies.integers(0, 8),
    strategies.lists(strategies.integers(0, 200), max_size=10),
)
def test_events_do_not_depend_on_the_chunks_received(
    count: int, cuts: list[int]
) -> None:
    data = b"".join(event(number) for number in range(count)) + b"id: 9"
    splitter = event_stream.EventSplitter()
    found = []
    edges = [0, *sorted(min(cut, len(data)) for cut in cuts), len(data)]
    for start, end in zip(edges, edges[1:], strict=False):
        found += splitter.feed(data[start:end])
    assert [e.data for e in found] == [event(n) for n in range(count)]
    assert [e.event_id for e in found] == [str(n) for n in range(count)]
    assert splitter.buffer == b"id: 9"


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
