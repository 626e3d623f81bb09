"""Load patterns for `replay`: requests over time, and engines that go dark."""

from collections.abc import Callable, Iterator
import dataclasses
import math
import random
from typing import final

from dogwoodhinge_lab import replay_ways as ways

ADAPTERS = 3_000
ZIPF = 1.2

# Share of long prompts, and sizes of both kinds in tokens.
LONG_SHARE = 0.02
LONG_TOKENS = 9_000
SHORT_TOKENS = 650

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


PATTERNS = (
    Pattern("calm", _calm),
    Pattern("wave", _wave, behind=ways.PLAIN),
    Pattern("burst", _burst, behind=ways.PLAIN),
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
        behind=(ways.ASKS_AGAIN, *ways.PLAIN),
        target=CREST_SHARE,
    ),
)
