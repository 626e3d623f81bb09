"""Learns how fast the engines of a service answer, each from its own answers.

Load pattern: engines of one service differ in speed, and some of them take
several times as long as usual for some seconds. A single speed that is assumed
for all of them sends each the same share of the work.

The engines of a service share an estimate of the speed at which prompts are
read and of the time that an answer takes besides. What a single engine took is
compared with that: most requests wait behind others, so the fast ones among the
latest show the pace, and few requests are enough. An engine without answers
lately counts as usual, so one that was slow gets work again.
"""

import collections
from collections.abc import Sequence
import datetime
import math
from typing import final

# Prompt tokens per second until enough prompts were timed.
INITIAL_TOKENS_PER_SECOND = 32_000.0

# Bounds of what is learned; a single odd answer must not decide.
MIN_TOKENS_PER_SECOND = 8_000.0
MAX_TOKENS_PER_SECOND = 100_000.0

# Time of an answer besides reading, until enough were timed.
INITIAL_BASE_SECONDS = 0.03

# Time for which a request stays at its engine, until enough have ended.
INITIAL_RUN_SECONDS = 1.0
MIN_RUN_SECONDS = 0.02

# Answers that are remembered of a service, and how many of them are needed.
SERVICE_ANSWERS = 120
MIN_SERVICE_ANSWERS = 20

# Shorter prompts show the speed of reading too inexactly.
MIN_TIMED_TOKENS = 500

# The fast answers show the pace: most wait behind others or share a step.
SPEED_QUANTILE = 0.85
BASE_QUANTILE = 0.25

# The time of an answer in one piece is that of its whole generation, which
# varies much; the slow ones show how long an engine may say nothing.
WHOLE_QUANTILE = 0.85

# Answers of one engine that are remembered, for how long, and the quantile of
# them that counts. Together with them it is assumed to have answered as usual
# this many times.
ENGINE_ANSWERS = 8
REMEMBERED_FOR = datetime.timedelta(seconds=5)
ENGINE_QUANTILE = 0.4
USUAL_ANSWERS = 1

# An engine counts as this much faster or slower than usual at most.
MIN_SLOWNESS = 0.5
MAX_SLOWNESS = 8.0


def _quantile(values: Sequence[float], share: float) -> float:
    return sorted(values)[int((len(values) - 1) * share)]


@final
class ServicePace:
    """What the engines of one service have in common.

    Attributes:
        speeds: prompt tokens per second of the latest long prompts.
        bases: seconds that the latest answers took besides reading.
        runs: seconds for which the latest requests stayed at their engines.
        ratios: what the latest answers took, in units of the expected time.
        wholes: seconds that the latest answers in one piece of its generations
            took.
        whole_seconds: time of a slow one among them; infinite until enough
            were timed.
    """

    def __init__(self) -> None:
        self.speeds: collections.deque[float] = collections.deque(
            maxlen=SERVICE_ANSWERS
        )
        self.bases: collections.deque[float] = collections.deque(
            maxlen=SERVICE_ANSWERS
        )
        self.runs: collections.deque[float] = collections.deque(
            maxlen=SERVICE_ANSWERS
        )
        self.ratios: collections.deque[float] = collections.deque(
            maxlen=SERVICE_ANSWERS
        )
        self.wholes: collections.deque[float] = collections.deque(
            maxlen=SERVICE_ANSWERS
        )
        self.whole_seconds = math.inf
        self.tokens_per_second = INITIAL_TOKENS_PER_SECOND
        self.base_seconds = INITIAL_BASE_SECONDS
        self.run_seconds = INITIAL_RUN_SECONDS
        self.usual_ratio = 1.0

    def record_answer(self, unread_tokens: int, seconds: float) -> float:
        """Records when an engine answered, and returns it in usual times.

        Args:
            unread_tokens: tokens of the prompt and of those before it.
            seconds: time from the send to the head of the response.
        """
        if seconds > 0 and unread_tokens >= MIN_TIMED_TOKENS:
            self.speeds.append(unread_tokens / seconds)
            if len(self.speeds) >= MIN_SERVICE_ANSWERS:
                speed = _quantile(self.speeds, SPEED_QUANTILE)
                self.tokens_per_second = min(
                    MAX_TOKENS_PER_SECOND, max(MIN_TOKENS_PER_SECOND, speed)
                )
        reading = unread_tokens / self.tokens_per_second
        self.bases.append(max(0.0, seconds - reading))
        if len(self.bases) >= MIN_SERVICE_ANSWERS:
            self.base_seconds = max(0.001, _quantile(self.bases, BASE_QUANTILE))
        ratio = seconds / (self.base_seconds + reading)
        self.ratios.append(ratio)
        if len(self.ratios) >= MIN_SERVICE_ANSWERS:
            self.usual_ratio = max(0.1, _quantile(self.ratios, ENGINE_QUANTILE))
        return ratio / self.usual_ratio

    def record_whole(self, seconds: float) -> None:
        """Records how long a generation took that was answered in one piece."""
        self.wholes.append(seconds)
        if len(self.wholes) >= MIN_SERVICE_ANSWERS:
            self.whole_seconds = _quantile(self.wholes, WHOLE_QUANTILE)

    def record_run(self, seconds: float) -> None:
        """Records for how long a request stayed at its engine."""
        self.runs.append(seconds)
        if len(self.runs) >= MIN_SERVICE_ANSWERS:
            self.run_seconds = max(MIN_RUN_SECONDS, _quantile(self.runs, 0.5))


@final
class EnginePace:
    """How fast one engine answers.

    Attributes:
        service: what it has in common with the others of its service.
        answers: the latest answers, as loop time and what they took in units
            of what its service usually takes.
    """

    def __init__(self, service: ServicePace) -> None:
        self.service = service
        self.answers: collections.deque[tuple[float, float]] = (
            collections.deque(maxlen=ENGINE_ANSWERS)
        )

    def record_answer(
        self, unread_tokens: int, seconds: float, now: float
    ) -> None:
        """Records when the engine answered a request.

        Args:
            unread_tokens: tokens of the prompt and of those before it.
            seconds: time from the send to the head of the response.
            now: loop time.
        """
        self.answers.append(
            (now, self.service.record_answer(unread_tokens, seconds))
        )

    def slowness(self, now: float) -> float:
        """Returns how many times the usual time the engine takes."""
        oldest = now - REMEMBERED_FOR.total_seconds()
        while self.answers and self.answers[0][0] < oldest:
            self.answers.popleft()
        if not self.answers:
            return 1.0
        known = [ratio for _, ratio in self.answers] + [1.0] * USUAL_ANSWERS
        return min(
            MAX_SLOWNESS, max(MIN_SLOWNESS, _quantile(known, ENGINE_QUANTILE))
        )

    def reading_seconds(self, tokens: int, now: float) -> float:
        """Returns how long the engine reads so many prompt tokens."""
        return tokens / self.service.tokens_per_second * self.slowness(now)
