"""Replays load patterns against the placement decisions, in virtual time.

A small engine fake has what the deployments' sheets state: places for
adapters, slots, the time of a load, the speed at which prompts are read. For
each pattern one line is printed: the share of requests whose first event is
on time, for the decisions as they are, for the same without a line in which
requests wait for a place, and for two plain ways.
"""

import collections
from collections.abc import Callable, Iterator
import dataclasses
import functools
import heapq
import itertools
import math
import random
import sys
from typing import Protocol, final

from _dogwoodhinge.fleet import engines as engines_lib
from _dogwoodhinge.fleet import models
from _dogwoodhinge.fleet import placement as placement_lib
from _dogwoodhinge.fleet import places as places_lib
from _dogwoodhinge.fleet import waiting

# From the sheets of today's deployments.
ENGINES = 5
PLACES = 18
SLOTS = 64
LOAD_SECONDS = 0.25
MEMORY_LOAD_SECONDS = 0.025
READ_TOKENS_PER_SECOND = 38_400
TARGET_SECONDS = 0.5
ADAPTERS = 3_000
ZIPF = 1.2
REPORT_SECONDS = 0.25

# Share of long prompts, and sizes of both kinds in tokens.
LONG_SHARE = 0.02
LONG_TOKENS = 9_000
SHORT_TOKENS = 650
GENERATE_SECONDS = 0.4

# Without a line, a request that finds no place asks again after this time. It
# may wait as long either way.
ASK_AGAIN_SECONDS = 0.1
MAX_ASKS = 15
SERVE_LINE_SECONDS = 0.02

# The plan for two years: the first token in time for 95 of 100 requests. At a
# crest beyond the places that are left, 0.7 of a calm day's share.
TARGET_SHARE = 0.95
CREST_SHARE = 0.7


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A request for an adapter."""

    at: float
    adapter: int
    tokens: int


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Pattern:
    """A load to replay.

    Attributes:
        arrivals: makes the requests.
        dark: engines that take nothing between two times.
        behind: ways that fall behind the decisions, which answer this load.
        target: share that has to be on time.
    """

    name: str
    arrivals: Callable[[random.Random], Iterator[Arrival]]
    dark: tuple[tuple[int, float, float], ...] = ()
    behind: tuple[str, ...] = ()
    target: float = TARGET_SHARE


class Way(Protocol):
    """Decides where requests run."""

    def place(
        self, adapter: int, tokens: int, usable: list[int], now: float
    ) -> tuple[int, float] | None:
        """Returns the engine and the seconds that a load takes; or None."""

    def holds(self, adapter: int) -> bool:
        """Tells whether an engine has an adapter, or soon will."""

    def begin(self, engine: int, adapter: int, tokens: int) -> None:
        """Notes that a request begins on an engine."""

    def read(self, engine: int, tokens: int) -> None:
        """Notes that a prompt has been read."""

    def end(self, engine: int, adapter: int) -> None:
        """Notes that a request has ended."""

    def report(self, now: float) -> None:
        """Exchanges what is known, some times a second."""


@final
class Ours:
    """The decisions as they are."""

    def __init__(self) -> None:
        self.placement = placement_lib.Placement()
        self.active: dict[models.AdapterKey, int] = {}
        self.begun: dict[models.AdapterKey, int] = {}
        self.ready: dict[tuple[int, int], float] = {}
        self.work = [engines_lib.Work() for _ in range(ENGINES)]
        self.reported = list(self.work)
        for engine in range(ENGINES):
            self.placement.set_engine(
                str(engine),
                capacity=PLACES,
                residents={},
                pending={},
                in_memory=(),
                now=0.0,
            )

    def place(
        self, adapter: int, tokens: int, usable: list[int], now: float
    ) -> tuple[int, float] | None:
        """Places by `Placement.find`."""
        key = _key(adapter)
        candidates = [
            places_lib.Candidate(str(e), PLACES, SLOTS, self.reported[e], 0.0)
            for e in usable
        ]
        seat = self.placement.find(
            key, 0, candidates, avoid=(), prompt_tokens=tokens, now=now
        )
        if isinstance(seat, places_lib.NoRoom):
            return None
        engine = int(seat.engine_id)
        ready_at = seat.ready_at
        if seat.new:
            place = self.placement.complete(seat.engine_id, key, at=now)
            stored = place is not None and place.from_store
            load = LOAD_SECONDS if stored else MEMORY_LOAD_SECONDS
            self.ready[engine, adapter] = now + load
            ready_at = place.ready_at if place is not None else ready_at
        # A request that comes too early is refused, and tries again.
        while ready_at < self.ready[engine, adapter]:
            self.placement.note_absent(seat.engine_id, key, ready_at)
            ready_at += placement_lib.TOO_EARLY_PAUSE_SECONDS
        return engine, max(0.0, ready_at - now)

    def holds(self, adapter: int) -> bool:
        """Asks the placement."""
        return self.placement.is_held(_key(adapter), 0, avoid=())

    def begin(self, engine: int, adapter: int, tokens: int) -> None:
        """Counts a request."""
        key = _key(adapter)
        self.active[key] = self.active.get(key, 0) + 1
        self.begun[key] = self.begun.get(key, 0) + 1
        self.work[engine] += engines_lib.Work(1, tokens)

    def read(self, engine: int, tokens: int) -> None:
        """Counts a prompt as read."""
        self.work[engine] += engines_lib.Work(0, -tokens)

    def end(self, engine: int, adapter: int) -> None:
        """Counts a request no longer."""
        key = _key(adapter)
        self.active[key] -= 1
        if not self.active[key]:
            del self.active[key]
        self.work[engine] += engines_lib.Work(-1, 0)

    def report(self, now: float) -> None:
        """Passes the counts on."""
        self.placement.note_active("node", self.active, self.begun, now)
        self.begun.clear()
        self.reported = list(self.work)


@final
class Plain:
    """Least requests by the last report, and the least recently used goes."""

    def __init__(self, *, hashed: bool = False) -> None:
        self.hashed = hashed
        self.used: list[dict[int, float]] = [{} for _ in range(ENGINES)]
        self.in_use: list[dict[int, int]] = [{} for _ in range(ENGINES)]
        self.loading: list[collections.deque[float]] = [
            collections.deque() for _ in range(ENGINES)
        ]
        self.ready: dict[tuple[int, int], float] = {}
        self.running = [0] * ENGINES
        self.reported = [0] * ENGINES

    def place(
        self, adapter: int, tokens: int, usable: list[int], now: float
    ) -> tuple[int, float] | None:
        """Places where the fewest requests run, or by hash."""
        for engine in usable:
            if adapter in self.used[engine]:
                self.used[engine][adapter] = now
                return engine, max(0.0, self.ready[engine, adapter] - now)
        if self.hashed:
            engine = usable[hash((adapter, len(usable))) % len(usable)]
        else:
            engine = min(usable, key=lambda e: self.reported[e])
        held = self.used[engine]
        loading = self.loading[engine]
        while loading and loading[0] <= now:
            loading.popleft()
        if len(loading) >= placement_lib.MAX_LOADING:
            return None
        if len(held) >= PLACES:
            idle = [a for a in held if not self.in_use[engine].get(a)]
            if not idle:
                return None
            del held[min(idle, key=lambda a: held[a])]
        held[adapter] = now
        loading.append(now + LOAD_SECONDS)
        self.ready[engine, adapter] = now + LOAD_SECONDS
        return engine, LOAD_SECONDS

    def holds(self, adapter: int) -> bool:
        """Looks on all engines."""
        return any(adapter in used for used in self.used)

    def begin(self, engine: int, adapter: int, tokens: int) -> None:
        """Counts a request."""
        self.running[engine] += 1
        in_use = self.in_use[engine]
        in_use[adapter] = in_use.get(adapter, 0) + 1

    def read(self, engine: int, tokens: int) -> None:
        """Takes no notice of prompts."""

    def end(self, engine: int, adapter: int) -> None:
        """Counts a request no longer."""
        self.running[engine] -= 1
        self.in_use[engine][adapter] -= 1

    def report(self, now: float) -> None:
        """Passes the counts on."""
        self.reported = list(self.running)


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
    pattern: Pattern, way: Way, *, seed: int, in_line: bool = False
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
    free_at = [0.0] * ENGINES
    line = waiting.WaitingLine()
    waiters: dict[waiting.Waiter, Arrival] = {}

    def at(time: float, step: Callable[[float], None]) -> None:
        heapq.heappush(events, (time, next(order), step))

    def usable(now: float) -> list[int]:
        dark = {e for e, start, end in pattern.dark if start <= now < end}
        return [engine for engine in range(ENGINES) if engine not in dark]

    def place(request: Arrival, now: float) -> bool:
        placed = way.place(request.adapter, request.tokens, usable(now), now)
        if placed is None:
            return False
        engine, load = placed
        way.begin(engine, request.adapter, request.tokens)
        at(now + load, lambda t: run(request, engine, t))
        return True

    def ask(request: Arrival, asks: int, now: float) -> None:
        if in_line and waiters and not way.holds(request.adapter):
            join(request, now)
        elif place(request, now):
            line.note_given(now)
        elif in_line:
            join(request, now)
        elif asks < MAX_ASKS:
            at(
                now + ASK_AGAIN_SECONDS,
                lambda t: ask(request, asks + 1, t),
            )
        else:
            result.refused += 1

    def join(request: Arrival, now: float) -> None:
        waiter = waiting.Waiter(
            request.at + TARGET_SECONDS,
            request.at + ASK_AGAIN_SECONDS * MAX_ASKS,
        )
        if line.is_hopeless(waiter, now, lead=LOAD_SECONDS):
            result.refused += 1
            return
        if not waiters:
            at(now + SERVE_LINE_SECONDS, serve)
        line.join(waiter, now)
        waiters[waiter] = request

    def serve(now: float) -> None:
        full = False
        for waiter in line.in_order(now, lead=LOAD_SECONDS):
            if not full and place(waiters[waiter], now):
                line.note_given(now)
            elif now >= waiter.leave_at:
                result.refused += 1
            else:
                full = True
                continue
            line.leave(waiter)
            del waiters[waiter]
        if waiters:
            at(now + SERVE_LINE_SECONDS, serve)

    def run(request: Arrival, engine: int, now: float) -> None:
        start = max(now, free_at[engine])
        first = start + request.tokens / READ_TOKENS_PER_SECOND
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


def _key(adapter: int) -> models.AdapterKey:
    return models.AdapterKey("base", f"a{adapter}")


def _zipf(draw: random.Random) -> int:
    # The inverse of the distribution's integral; close enough to its sum.
    power = 1 - ZIPF
    top = (ADAPTERS**power - 1) * draw.random() + 1
    return int(top ** (1 / power))


def _requests(
    draw: random.Random,
    *,
    rate: Callable[[float], float],
    adapter: Callable[[float], int],
    seconds: float = 20.0,
) -> Iterator[Arrival]:
    now = 0.0
    while now < seconds:
        now += draw.expovariate(rate(now))
        long = draw.random() < LONG_SHARE
        yield Arrival(now, adapter(now), LONG_TOKENS if long else SHORT_TOKENS)


def _calm(draw: random.Random) -> Iterator[Arrival]:
    return _requests(draw, rate=lambda t: 50, adapter=lambda t: _zipf(draw))


def _wave(draw: random.Random) -> Iterator[Arrival]:
    return _requests(
        draw,
        rate=lambda t: 75 * (1 + 0.55 * math.sin(t * math.tau / 15)),
        adapter=lambda t: _zipf(draw),
    )


def _burst(draw: random.Random) -> Iterator[Arrival]:
    return _requests(
        draw,
        rate=lambda t: 130 if 8 < t < 12 else 60,
        adapter=lambda t: _zipf(draw),
    )


def _rare(draw: random.Random) -> Iterator[Arrival]:
    def adapter(now: float) -> int:
        if 8 < now < 12 and draw.random() < 0.4:
            return draw.randrange(100, ADAPTERS)
        return _zipf(draw)

    return _requests(draw, rate=lambda t: 60, adapter=adapter)


def _shift(draw: random.Random) -> Iterator[Arrival]:
    return _requests(
        draw,
        rate=lambda t: 60,
        adapter=lambda t: (_zipf(draw) + 37 * int(t / 3)) % ADAPTERS,
    )


def _crest(draw: random.Random) -> Iterator[Arrival]:
    return _requests(
        draw,
        rate=lambda t: 110 if 6 < t < 14 else 60,
        adapter=lambda t: (_zipf(draw) + 37 * int(t / 3)) % ADAPTERS,
    )


PLAIN_WAYS = ("least_requests", "hashed")

PATTERNS = (
    Pattern("calm", _calm),
    Pattern("wave", _wave, behind=PLAIN_WAYS),
    Pattern("burst", _burst, behind=PLAIN_WAYS),
    Pattern("rare_adapters", _rare),
    Pattern("demand_moves", _shift),
    Pattern(
        "engines_dark",
        _calm,
        dark=((0, 8, 12), (1, 8, 12)),
    ),
    Pattern(
        "crest_dark",
        _crest,
        dark=((0, 6, 14), (1, 6, 14)),
        behind=("asks_again", *PLAIN_WAYS),
        target=CREST_SHARE,
    ),
)

OURS = "ours"
WAYS: dict[str, Callable[[], Way]] = {
    OURS: Ours,
    "asks_again": Ours,
    "least_requests": Plain,
    "hashed": lambda: Plain(hashed=True),
}

SEEDS = (1, 2, 3, 4, 5, 6, 7, 8)


def mean_share(pattern: Pattern, way: str) -> float:
    """Returns the mean share on time over the seeds."""
    shares = [
        replay(pattern, WAYS[way](), seed=seed, in_line=way == OURS).share
        for seed in SEEDS
    ]
    return sum(shares) / len(shares)


def main() -> int:
    """Prints one line for each pattern."""
    print(f"{'pattern':<16}" + "".join(f"{name:>16}" for name in WAYS))
    for pattern in PATTERNS:
        shares = [mean_share(pattern, name) for name in WAYS]
        cells = "".join(f"{share:>16.3f}" for share in shares)
        print(f"{pattern.name:<16}{cells}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
