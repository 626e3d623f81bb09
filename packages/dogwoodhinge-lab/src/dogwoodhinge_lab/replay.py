"""Replays load patterns against the placement decisions, in virtual time.

A small engine fake has what the deployments' sheets state: places for
adapters, slots, the time of a load, the speed at which prompts are read. For
each pattern one line is printed: the share of requests whose first event is
on time, for the decisions as they are, for the same without a line in which
requests wait for a place, and for two plain ways.
"""

from collections.abc import Callable
import dataclasses
import functools
import heapq
import itertools
import random
import sys
from typing import final

from _dogwoodhinge.fleet import wait_order
from _dogwoodhinge.fleet import wait_queue
from dogwoodhinge_lab import replay_patterns as patterns
from dogwoodhinge_lab import replay_ways as ways

PREFILL_TOKENS_PER_SECOND = 38_400  # as the sheets state
TARGET_SECONDS = 0.5
REPORT_SECONDS = 0.25
GENERATE_SECONDS = 0.4

# Without a line, a request that finds no place asks again after this time. It
# may wait as long either way.
ASK_AGAIN_SECONDS = 0.1
MAX_ASKS = 15
SERVE_LINE_SECONDS = 0.02

SEEDS = (1, 2, 3, 4, 5, 6, 7, 8)


@final
@dataclasses.dataclass(slots=True)
class Result:
    """How a pattern went."""

    asked: int = 0
    on_time: int = 0
    refused: int = 0

    @property
    def share(self) -> float:
        """Share of the requests whose first event was on time."""
        return self.on_time / max(1, self.asked)


def replay(
    pattern: patterns.Pattern,
    way: ways.Way,
    *,
    seed: int,
    in_line: bool = False,
) -> Result:
    """Plays one pattern.

    Args:
        pattern: the load.
        way: decides where requests run.
        seed: of the load.
        in_line: requests without a place wait in line for one.
    """
    result = Result()
    order = itertools.count()
    events: list[tuple[float, int, Callable[[float], None]]] = []
    free_at = [0.0] * ways.ENGINES
    line = wait_queue.WaitQueue()
    waiters: dict[wait_order.Waiter, patterns.Arrival] = {}

    def at(time: float, step: Callable[[float], None]) -> None:
        heapq.heappush(events, (time, next(order), step))

    def usable(now: float) -> list[int]:
        dark = {e for e, start, end in pattern.dark if start <= now < end}
        return [engine for engine in range(ways.ENGINES) if engine not in dark]

    def place(request: patterns.Arrival, now: float) -> bool:
        placed = way.place(request.adapter, request.tokens, usable(now), now)
        if placed is None:
            return False
        engine, load = placed
        way.begin(engine, request.adapter, request.tokens)
        at(now + load, lambda t: run(request, engine, t))
        return True

    def ask(request: patterns.Arrival, asks: int, now: float) -> None:
        if in_line and waiters and not way.holds(request.adapter):
            join(request, now)
        elif place(request, now):
            line.record_assignment(now)
        elif in_line:
            join(request, now)
        elif asks < MAX_ASKS:
            at(
                now + ASK_AGAIN_SECONDS,
                lambda t: ask(request, asks + 1, t),
            )
        else:
            result.refused += 1

    def join(request: patterns.Arrival, now: float) -> None:
        waiter = wait_order.Waiter(
            request.at + TARGET_SECONDS,
            request.at + ASK_AGAIN_SECONDS * MAX_ASKS,
        )
        if line.will_time_out(waiter, now, lead_time=ways.LOAD_SECONDS):
            result.refused += 1
            return
        if not waiters:
            at(now + SERVE_LINE_SECONDS, serve)
        line.join(waiter, now)
        waiters[waiter] = request

    def serve(now: float) -> None:
        full = False
        for waiter in line.in_order(now, lead_time=ways.LOAD_SECONDS):
            if not full and place(waiters[waiter], now):
                line.record_assignment(now)
            elif now >= waiter.wait_until:
                result.refused += 1
            else:
                full = True
                continue
            line.leave(waiter)
            del waiters[waiter]
        if waiters:
            at(now + SERVE_LINE_SECONDS, serve)

    def run(request: patterns.Arrival, engine: int, now: float) -> None:
        start = max(now, free_at[engine])
        first = start + request.tokens / PREFILL_TOKENS_PER_SECOND
        free_at[engine] = first
        at(first, lambda t: way.read(engine, request.tokens))
        result.on_time += first - request.at <= TARGET_SECONDS
        at(
            first + GENERATE_SECONDS,
            lambda t: way.end(engine, request.adapter),
        )

    arrivals = list(pattern.arrivals(random.Random(seed)))
    result.asked = len(arrivals)
    for arrival in arrivals:
        at(arrival.at, functools.partial(ask, arrival, 0))
    for step in range(int(arrivals[-1].at / REPORT_SECONDS) + 1):
        at(step * REPORT_SECONDS, way.report)
    while events:
        now, _, step_at = heapq.heappop(events)
        step_at(now)
    return result


def mean_share(pattern: patterns.Pattern, way: str) -> float:
    """Returns the mean share on time over the seeds."""
    shares = [
        replay(
            pattern, ways.WAYS[way](), seed=seed, in_line=way == ways.OURS
        ).share
        for seed in SEEDS
    ]
    return sum(shares) / len(shares)


def main() -> int:
    """Prints one line for each pattern."""
    print(f"{'pattern':<16}" + "".join(f"{name:>16}" for name in ways.WAYS))
    for pattern in patterns.PATTERNS:
        shares = [mean_share(pattern, name) for name in ways.WAYS]
        cells = "".join(f"{share:>16.3f}" for share in shares)
        print(f"{pattern.name:<16}{cells}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
