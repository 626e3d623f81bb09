"""State of one caller's request while this node forwards it."""

import asyncio
from collections.abc import Sequence
import datetime
import functools
from typing import final

from _dogwoodhinge.fleet import models
from _dogwoodhinge.gateway import content
from _dogwoodhinge.gateway import pause_queue
from _dogwoodhinge.gateway import prompt_parts
from _dogwoodhinge.gateway import requests
from _dogwoodhinge.gateway import retry_budget as retry_budget_lib
from _dogwoodhinge.http1 import connection as connection_lib

# The engine is given the remaining time and ends the request itself. This node
# times out later by this margin, so that the engine's response can arrive.
ENGINE_RESPONSE_MARGIN = datetime.timedelta(milliseconds=120)


# Time from the end of a wait to the first event, of most requests.
START_MARGIN = datetime.timedelta(milliseconds=700)

# Parts of a prompt that a log line names, and the length of each id.
MAX_LOGGED_PARTS = 8
MAX_LOGGED_PART_LENGTH = 40

MIN_CALLER_PATIENCE = datetime.timedelta(seconds=2)
CALLER_PATIENCE_TARGETS = 4
CALLER_PATIENCE_PAUSES = 8


@final
class Call:
    """Deadline, attempts and log fields of one request.

    Attributes:
        organisation: the organisation that the caller belongs to; None if the
            configuration or the route asks for no key.
        ranks: the ranks that requests of the configuration in force may have,
            in ascending order.
        deadline: loop time at which the timeout of the caller or of the
            route expires, whichever is earlier.
        tried_engines: engines that the request was sent to, in order.
        unreachable_engines: engines that could not be connected to.
        steps: attempts and failures, for the log line.
        turn_engine: the engine that gave it a turn; see `PrefillPacing`.
        retry_due: whether the next send is a retry that has not been taken
            from the budget yet.
        may_have_run: whether it was sent and no engine confirmed that it did
            not run.
        sent_at: loop time of the last send to an engine.
        list_ages: age of the endpoint list at each send to an engine, in
            seconds, in order.
        first_byte_at: loop time of the first byte to the caller.
        events: number of stream events or chunks forwarded.
        last_event_at: loop time of the last of them.
        run_began_at: loop time of the first of them from the current engine.
        longest_pause: longest time between two of them, in seconds.
        engine_end: how the last attempt without a valid response ended; see
            `errors.OutcomeUnknownError`.
        engine_framing: what marks the end of the last response's body; empty
            if no response began.
        engine_connection: what ended the connection of the last response;
            empty if it was open when the response ended.
        found_by: how the engine was selected; see `EngineSelection`.
        held_tokens: tokens of the prompt that it is expected to hold.
        claims: number of claims that it has asked for; see `suspects`.
    """

    def __init__(
        self,
        *,
        request: requests.Request,
        route: models.Route,
        service: str,
        config_version: int,
        organisation: models.Organisation | None = None,
        ranks: Sequence[int] = (),
    ) -> None:
        self.request = request
        self.organisation = organisation
        self.ranks = ranks
        self.route = route
        self.service = service
        self.config_version = config_version
        self.received_at = request.raw.received_at
        wait = route.timeout.total_seconds()
        if request.wait_seconds is not None:
            wait = min(wait, request.wait_seconds)
        self.deadline = self.received_at + wait
        self.tried_engines: list[str] = []
        self.unreachable_engines: set[str] = set()
        self.steps: list[str] = []
        self.turn_engine = ""
        self.retry_due = False
        self.may_have_run = False
        self.sent_at: float | None = None
        self.list_ages: list[float] = []
        self.first_byte_at: float | None = None
        self.events = 0
        self.longest_pause = 0.0
        self.last_event_at: float | None = None
        self.run_began_at: float | None = None
        self.engine_end = ""
        self.engine_framing = ""
        self.engine_connection = ""
        self.found_by = ""
        self.held_tokens = 0
        self.adapter_version = 0
        self.claims = 0

    @property
    def organisation_name(self) -> str:
        """Name of the caller's organisation; empty if there is none."""
        return "" if self.organisation is None else self.organisation.name

    @property
    def rank(self) -> int:
        """Priority of the request, 0 is the highest."""
        if self.organisation is not None:
            priority = self.organisation.priority
            if priority is not None:
                return priority
        return self.route.priority

    @functools.cached_property
    def fingerprints(self) -> tuple[str, ...]:
        """What identifies the request when it is sent again."""
        return content.fingerprints(self.request)

    @functools.cached_property
    def part_fingerprints(self) -> tuple[str, ...]:
        """The parts that its prompt shares with others."""
        return prompt_parts.fingerprints(self.request.shared_parts)

    @property
    def logged_parts(self) -> list[str]:
        """The shared parts of the prompt, shortened for log lines."""
        return [
            part[:MAX_LOGGED_PART_LENGTH]
            for part in self.request.shared_parts[:MAX_LOGGED_PARTS]
        ]

    @property
    def unread_tokens(self) -> int:
        """Tokens of the prompt that its engine is expected to read."""
        if self.request.adapter is None:
            return 0
        return max(0, self.request.prompt_tokens - self.held_tokens)

    def time_left(self) -> float:
        """Returns the seconds until the deadline."""
        return self.deadline - asyncio.get_running_loop().time()

    def time_to_target(self) -> float:
        """Returns the seconds until the latency target is missed."""
        return self.target_at - asyncio.get_running_loop().time()

    @property
    def target_at(self) -> float:
        """Loop time by which the first event is due."""
        return self.received_at + self.route.latency_target.total_seconds()

    @property
    def patience_ends_at(self) -> float:
        """Loop time at which the caller gives up without an answer.

        Callers of streams wait for two seconds, four latency targets or eight
        of the longest allowed pauses, whichever is longest, for an event.
        """
        if not self.route.streamed:
            return self.deadline
        waits = [
            MIN_CALLER_PATIENCE,
            self.route.latency_target * CALLER_PATIENCE_TARGETS,
        ]
        if self.route.longest_pause is not None:
            waits.append(self.route.longest_pause * CALLER_PATIENCE_PAUSES)
        return self.received_at + max(waits).total_seconds()

    @property
    def start_by(self) -> float:
        """Loop time by which it must be sent for its caller to wait."""
        return self.patience_ends_at - START_MARGIN.total_seconds()

    @property
    def gateway_timeout_at(self) -> float:
        """Loop time at which this node stops waiting for the engine."""
        return self.deadline + ENGINE_RESPONSE_MARGIN.total_seconds()

    @property
    def may_try_another_engine(self) -> bool:
        """True if the route allows sending to one more engine."""
        return len(set(self.tried_engines)) < self.route.max_engines

    @property
    def excluded_engines(self) -> set[str]:
        """Engines that must not be selected again for this request."""
        return self.unreachable_engines.union(self.tried_engines)

    async def acquire_retry(
        self, budget: retry_budget_lib.RetryBudget, *, same_engine: bool = False
    ) -> bool:
        """Takes a retry from the budget, if one is allowed.

        Args:
            budget: the retry budget.
            same_engine: whether the retry may go to the same engine, so that
                the route's limit on engines does not apply.

        Returns:
            Whether the request may be sent again.
        """
        now = asyncio.get_running_loop().time()
        if not (same_engine or self.may_try_another_engine):
            self.add_step("no_retry engines")
        elif self.time_left() <= 0:
            self.add_step("no_retry deadline")
        elif not await budget.take(self.service, now):
            self.add_step("no_retry budget")
        else:
            return True
        return False

    @property
    def pause_wait_until(self) -> float:
        """Loop time until which it may wait for engines that want a pause.

        The caller of a stream gives up before half of a long timeout is over.
        """
        time = self.deadline - self.received_at
        half = self.received_at + time * pause_queue.MAX_WAIT_FRACTION
        if not self.route.streamed:
            return half
        return min(half, self.start_by)

    def forget_try(self, engine_id: str) -> None:
        """Records that an engine did not run it and may be selected again."""
        latest_first = self.tried_engines[::-1]
        latest_first.remove(engine_id)
        self.tried_engines = latest_first[::-1]

    def put_off(self, engine_id: str, *, sent: bool) -> None:
        """Records that an engine wants no requests for a while.

        Args:
            engine_id: the engine, which did not run the request.
            sent: whether the request was sent to it.
        """
        self.forget_try(engine_id)
        self.retry_due = self.retry_due or sent

    def mark_unreachable(self, engine_id: str) -> None:
        """Records that nothing could be sent to an engine that was tried."""
        self.forget_try(engine_id)
        self.unreachable_engines.add(engine_id)

    def record_response_end(
        self, framing: str, connection: connection_lib.Connection
    ) -> None:
        """Records how an engine's response was framed and ended."""
        self.engine_framing = framing
        self.engine_connection = connection.end_reason

    def record_event(self) -> None:
        """Records that a stream event or chunk was forwarded."""
        now = asyncio.get_running_loop().time()
        if self.last_event_at is not None:
            pause = now - self.last_event_at
            self.longest_pause = max(self.longest_pause, pause)
        self.last_event_at = now
        if self.run_began_at is None:
            self.run_began_at = now
        self.events += 1

    def add_step(self, text: str) -> None:
        """Adds a step to the request's log line."""
        elapsed = asyncio.get_running_loop().time() - self.received_at
        self.steps.append(f"{int(elapsed * 1000)}:{text}")
