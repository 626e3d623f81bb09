"""Runs gRPC calls so that they can't disable the timeouts of their caller."""

import asyncio
from collections.abc import Awaitable
from typing import TypeVar

_T = TypeVar("_T")


async def run(call: Awaitable[_T]) -> _T:
    """Runs a call in a task of its own and returns its reply.

    When a connection ends or a call times out, grpclib cancels the task that
    waits for the reply and raises another error there. Without a task of its
    own, the caller's task would stay marked as cancelled, and timeouts around
    the call would raise CancelledError in place of TimeoutError.
    """
    return await asyncio.ensure_future(call)
