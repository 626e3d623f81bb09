"""Tests of `_dogwoodhinge.callers.connection_limit`."""

import asyncio
from collections.abc import Sequence
import dataclasses
from typing import cast

import pytest

from _dogwoodhinge.callers import connection_limit as connection_limit_lib

TRANSPORT = cast(asyncio.Transport, object())


@dataclasses.dataclass(eq=False)
class FakeConnection:
    """A connection that records whether it was closed."""

    transport: asyncio.Transport | None = TRANSPORT

    def force_close(self) -> None:
        """Closes the connection."""
        self.transport = None


@pytest.mark.parametrize(
    ("is_open", "busy", "admitted", "closed"),
    [
        ([True], [], True, []),
        ([True, True], [], True, [0]),
        ([True, True], [0], True, [1]),
        ([True, True], [0, 1], False, []),
        ([False, True], [], True, []),
    ],
    ids=["room", "oldest", "oldest_without_a_request", "all_busy", "ended"],
)
def test_oldest_connection_without_a_request_is_closed(
    is_open: Sequence[bool],
    busy: Sequence[int],
    admitted: bool,
    closed: Sequence[int],
) -> None:
    limit = connection_limit_lib.ConnectionLimit(2)
    connections = [FakeConnection(TRANSPORT if o else None) for o in is_open]
    for number in busy:
        limit.busy.add(connections[number])
    before = [c.transport for c in connections]
    assert limit.make_room(connections) is admitted
    changed = [
        number
        for number, found in enumerate(connections)
        if found.transport is not before[number]
    ]
    assert changed == closed
