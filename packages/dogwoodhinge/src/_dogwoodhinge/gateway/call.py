"""One caller's request on its way through this node."""

import asyncio
import datetime
from typing import final

from _dogwoodhinge.fleet import models
from _dogwoodhinge.gateway import requests
from _dogwoodhinge.gateway import second_sends as second_sends_lib

# The engine gets the time that is left and ends the request by itself; its
# answer needs a moment to arrive before this node gives up in its place.
ENGINE_ANSWER_MARGIN = datetime.timedelta(milliseconds=120)


@final
class Call:
    """What is known of a request, for its deadline and its log line.

    Attributes:
        deadline: loop time at which the caller or the route gives up.
        tried: engines that it was sent to, in order.
        unreached: engines that could not be connected to.
        may_have_run: it was sent, and no engine said that it did not run.
        sent_at: loop time of the last send to an engine.
        first_byte_at: loop time of the first byte to the caller.
        events: pieces of a stream that were passed on.
        longest_pause: seconds between two of them.
    """

    def __init__(
        self,
        *,
        request: requests.Request,
        route: models.Route,
        service: str,
        config_version: int,
    ) -> None:
        self.request = request
        self.route = route
        self.service = service
        self.config_version = config_version
        self.received_at = request.raw.received_at
        wait = route.timeout.total_seconds()
        if request.wait_seconds is not None:
            wait = min(wait, request.wait_seconds)
        self.deadline = self.received_at + wait
        self.tried: list[str] = []
        self.unreached: set[str] = set()
        self.notes: list[str] = []
        self.may_have_run = False
        self.sent_at: float | None = None
        self.first_byte_at: float | None = None
        self.events = 0
        self.longest_pause = 0.0
        self.last_event_at: float | None = None
        self.found_by = ""
        self.adapter_version = 0

    def time_left(self) -> float:
        """Returns the seconds until the deadline."""
        return self.deadline - asyncio.get_running_loop().time()

    def time_to_target(self) -> float:
        """Returns the seconds until the first event would be late."""
        return self.target_at - asyncio.get_running_loop().time()

    @property
    def target_at(self) -> float:
        """Loop time from which the first event is late."""
        return self.received_at + self.route.latency_target.total_seconds()

    @property
    def give_up_at(self) -> float:
        """Loop time at which this node answers in the engine's place."""
        return self.deadline + ENGINE_ANSWER_MARGIN.total_seconds()

    @property
    def may_try_another(self) -> bool:
        """Tells whether the route allows a further engine."""
        return len(set(self.tried)) < self.route.max_engines

    @property
    def to_avoid(self) -> set[str]:
        """Engines that are of no use for this request any more."""
        return self.unreached.union(self.tried)

    async def may_send_again(
        self, budget: second_sends_lib.SecondSends, *, same_engine: bool = False
    ) -> bool:
        """Takes a second send from the budget, if one is allowed.

        Args:
            budget: of second sends.
            same_engine: it goes to an engine that the route has allowed.
        """
        now = asyncio.get_running_loop().time()
        return (
            (same_engine or self.may_try_another)
            and self.time_left() > 0
            and await budget.take(self.service, now)
        )

    def note_unreached(self, engine_id: str) -> None:
        """Notes that nothing could be sent to the engine tried last."""
        self.tried.pop()
        self.unreached.add(engine_id)

    def note_event(self) -> None:
        """Notes that a piece of a stream was passed on."""
        now = asyncio.get_running_loop().time()
        if self.last_event_at is not None:
            pause = now - self.last_event_at
            self.longest_pause = max(self.longest_pause, pause)
        self.last_event_at = now
        self.events += 1

    def note(self, text: str) -> None:
        """Adds a step to the request's log line."""
        elapsed = asyncio.get_running_loop().time() - self.received_at
        self.notes.append(f"{int(elapsed * 1000)}:{text}")
