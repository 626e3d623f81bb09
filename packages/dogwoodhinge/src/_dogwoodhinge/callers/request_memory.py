"""Counts what the requests of callers hold, and gives some of them up.

Load pattern: callers that we don't control send many requests ahead, with long
bodies or heads, and leave long answers unread.

A request counts from its first byte of body until its answer has been passed to
the kernel. Beyond the limit, answers that are not read are dropped with their
connections, and bodies that are being read are refused.
"""

import collections
from collections.abc import Callable
import functools
from typing import final

from absl import logging
from aiohttp import web

from _dogwoodhinge import errors
from _dogwoodhinge.http1 import memory_budget

HOLDING = web.RequestKey("request_holding", memory_budget.Holding)

# The parsed heads of a request and of what its connection has sent ahead.
HEADS_BYTES = 64 * 1024

# A body exists as parsed members, as the body for the engine and in the
# connection to it.
BODY_COPIES = 3

# An answer exists as events or text, as bytes and in the caller's connection.
ANSWER_COPIES = 3

# Answers up to this size are not refused: there is always room for them.
SMALL_ANSWER_BYTES = 64 * 1024


@final
class RequestMemory:
    """What all requests of a node's callers hold.

    Attributes:
        budget: the memory that they share.
        given_up: number of requests given up, by stage.
    """

    def __init__(self, limit: int) -> None:
        self.budget = memory_budget.MemoryBudget(limit)
        self.given_up: collections.Counter[str] = collections.Counter()
        self._ends: dict[memory_budget.Holding, Callable[[], None]] = {}

    def begin(self, request: web.Request) -> memory_budget.Holding:
        """Begins to count a request, whose body is read next."""
        holding = memory_budget.Holding(
            stage=memory_budget.Stage.READING,
            head=HEADS_BYTES,
            body_copies=BODY_COPIES,
        )
        request[HOLDING] = holding
        self.budget.add(holding)
        return holding

    def set_end(
        self, holding: memory_budget.Holding, end: Callable[[], None] | None
    ) -> None:
        """Sets how a request is given up; None while it must not be."""
        if end is None:
            self._ends.pop(holding, None)
        else:
            self._ends[holding] = end

    def hold_answer(self, request: web.Request, size: int) -> None:
        """Counts an answer that is being collected.

        Args:
            request: the request.
            size: bytes of it so far.

        Raises:
            OutcomeUnknownError: there is no room for the rest of it.
        """
        holding = request.get(HOLDING)
        if holding is None:
            return
        holding.kept = size * ANSWER_COPIES
        self.budget.update(holding)
        if not self.budget.exceeded:
            return
        self.relieve()
        if self.budget.exceeded and size > SMALL_ANSWER_BYTES:
            self.given_up["collecting"] += 1
            raise errors.OutcomeUnknownError(
                f"no memory for a response of more than {size} bytes; request "
                "fewer tokens or a stream"
            )

    def hold_call(self, request: web.Request) -> Callable[[], None]:
        """Counts the body of a call, which goes on if its caller leaves.

        Returns:
            Stops counting it; called when the call has ended.
        """
        holding = request[HOLDING]
        call = memory_budget.Holding(
            stage=memory_budget.Stage.RUNNING,
            body=holding.body,
            body_copies=BODY_COPIES,
        )
        holding.body = 0
        self.budget.update(holding)
        self.budget.add(call)
        return functools.partial(self.budget.remove, call)

    def begin_answer(self, request: web.Request, size: int) -> None:
        """Counts a whole answer until its caller has read it.

        Args:
            request: the request, whose work has ended.
            size: bytes of the answer's body.
        """
        holding = request.get(HOLDING)
        transport = request.transport
        if holding is None or transport is None:
            return
        holding.stage = memory_budget.Stage.BEHIND
        holding.body = 0
        holding.kept = size * ANSWER_COPIES
        self.set_end(holding, transport.abort)
        self.budget.update(holding)
        self.relieve()

    def end(self, request: web.Request) -> None:
        """Stops counting a request."""
        holding = request.pop(HOLDING, None)
        if holding is not None:
            self.set_end(holding, None)
            self.budget.remove(holding)

    def relieve(self) -> None:
        """Gives up requests while too much is held."""
        for holding in self.budget.choose(self._ends):
            end = self._ends.pop(holding)
            self.budget.remove(holding)
            self.given_up[holding.stage.name.lower()] += 1
            logging.warning(
                "request given up while %s: %d of %d bytes held",
                holding.stage.name.lower(),
                self.budget.held_bytes,
                self.budget.limit_bytes,
            )
            end()
