"""Decides on this node when prompts are sent, so that they delay no streams.

Load pattern: see `fleet.prefill_schedule`. Whether streams pause for too long
under unread prompts depends on the speed of their engine and on the tokens in
an event, which no node is told. The pauses of the streams that a node forwards
show it, and the time to the first event shows how fast prompts are read. Until
then prompts are paced: a node often starts when callers return together.
"""

import asyncio
import collections
import datetime
from typing import final

from _dogwoodhinge.fleet import engines as engines_lib
from _dogwoodhinge.fleet import leader as leader_lib
from _dogwoodhinge.fleet import leader_client as leader_client_lib
from _dogwoodhinge.gateway import call as call_lib

# Streams and prompts whose times are remembered, by service.
REMEMBERED = 60
MIN_STREAMS = 10
MIN_PROMPTS = 10

# Prompt tokens per second that are assumed before enough prompts were timed; a
# slow engine.
INITIAL_SPEED = 16_000.0

# Prompts are paced if this share of the streams paused for longer than this
# fraction of what their route allows.
LONG_PAUSE_FRACTION = 0.8
LONG_PAUSE_SHARE = 0.15

# Shorter prompts show the speed of reading too inexactly.
MIN_TIMED_TOKENS = 500

# Most prompts wait behind others or share a step with them; the fast ones show
# the speed of the engine.
SPEED_QUANTILE = 0.85

# The pace leaves this share of the engine's time for steps without prompts.
PACE_FRACTION = 0.8

# Time from the turn of a prompt to its first event, besides its own prefill.
FIRST_EVENT_MARGIN_SECONDS = 0.1

# A prompt that will be late in any case waits up to this long, so that it does
# not delay the streams of others.
LONGEST_LATE_DELAY_SECONDS = 0.5

# A leader that has not answered is not asked for this time.
RETRY_DELAY = datetime.timedelta(seconds=1)


def longest_delay_seconds(
    time_to_target: float, tokens: int, tokens_per_second: float
) -> float:
    """Returns the seconds that a prompt may wait for its turn.

    Args:
        time_to_target: seconds until its first event would be late.
        tokens: length of the prompt.
        tokens_per_second: speed at which the engine reads prompts.
    """
    needed = tokens / tokens_per_second + FIRST_EVENT_MARGIN_SECONDS
    if needed >= time_to_target:
        return LONGEST_LATE_DELAY_SECONDS
    return time_to_target - needed


@final
class PrefillPacing:
    """Delays prompts while streams pause for too long.

    Attributes:
        pauses: by service, longest pauses of the latest streams, as fractions
            of what their routes allow.
        speeds: by service, prompt tokens per second until the first event.
        delayed_seconds: time for which prompts have waited.
        ask_again_at: loop time before which the leader is not asked.
    """

    def __init__(self, leader_client: leader_client_lib.LeaderClient) -> None:
        self.leader_client = leader_client
        self.pauses: dict[str, collections.deque[float]] = {}
        self.speeds: dict[str, collections.deque[float]] = {}
        self.delayed_seconds = 0.0
        self.ask_again_at = 0.0

    def record_stream(self, call: call_lib.Call) -> None:
        """Records the pauses of a stream that has ended."""
        allowed = call.route.longest_pause
        if allowed is None or call.events < 2:
            return
        pauses = self.pauses.setdefault(
            call.service, collections.deque(maxlen=REMEMBERED)
        )
        pauses.append(call.longest_pause / allowed.total_seconds())

    def record_first_event(
        self, service: str, tokens: int, seconds: float
    ) -> None:
        """Records how long an engine took to read a prompt."""
        if tokens < MIN_TIMED_TOKENS or seconds <= 0:
            return
        speeds = self.speeds.setdefault(
            service, collections.deque(maxlen=REMEMBERED)
        )
        speeds.append(tokens / seconds)

    def speed(self, service: str) -> float:
        """Returns the prompt tokens that an engine reads per second."""
        speeds = self.speeds.get(service, ())
        if len(speeds) < MIN_PROMPTS:
            return INITIAL_SPEED
        return sorted(speeds)[int(len(speeds) * SPEED_QUANTILE)]

    def streams_may_pause(self, service: str) -> bool:
        """Returns whether many streams pause too long, or few are known."""
        pauses = self.pauses.get(service, ())
        if len(pauses) < MIN_STREAMS:
            return True
        long_ones = sum(pause > LONG_PAUSE_FRACTION for pause in pauses)
        return long_ones >= LONG_PAUSE_SHARE * len(pauses)

    async def wait_for_turn(
        self, call: call_lib.Call, engine: engines_lib.Engine, *, begun: bool
    ) -> None:
        """Waits until an engine may get the prompt of a request.

        A request that the engine refused after its turn does not wait again.

        Args:
            call: the request.
            engine: the engine that it is sent to.
            begun: whether its stream has begun, so that it must not wait.
        """
        speed = self.speed(call.service)
        loop = asyncio.get_running_loop()
        if (
            loop.time() < self.ask_again_at
            or call.route.longest_pause is None
            or call.turn_engine == engine.engine_id
            or not self.streams_may_pause(call.service)
        ):
            return
        call.turn_engine = engine.engine_id
        tokens = call.unread_tokens
        longest = 0.0
        if not begun:
            longest = longest_delay_seconds(
                call.time_to_target(), tokens, speed
            )
        try:
            delay = await self.leader_client.reserve_prefill(
                engine.engine_id,
                tokens,
                tokens_per_second=speed * PACE_FRACTION,
                longest_delay=min(longest, max(0.0, call.time_left())),
            )
        except leader_lib.NotLeaderError as error:
            # Without a leader the prompts are sent as they come.
            call.add_step(f"not_paced {error}")
            self.ask_again_at = loop.time() + RETRY_DELAY.total_seconds()
            return
        if delay > 0:
            self.delayed_seconds += delay
            call.add_step(f"paced {engine.engine_id}: {delay:.3f}")
            await asyncio.sleep(delay)
