"""Chooses the engine for a request.

Load patterns: a wave of short and long prompts over engines of unequal speed;
one engine that fails or is slow among sound ones.

Each engine is scored by what waits and runs there for each slot, by its
penalty, and by the availability zone; the lowest score wins. Ties are broken
by a draw, so that nodes that see the same figures do not all choose the same
engine.
"""

from collections.abc import Iterable
import random

from _dogwoodhinge.fleet import engines as engines_lib

# A penalty of one weighs as much as so many full engines.
PENALTY_WEIGHT = 2.0

# Crossing zones costs about a millisecond each way, of tens for an answer.
OTHER_ZONE = 0.02

# Differences below this are noise of late figures.
TIE_SPREAD = 0.02


def score(engine: engines_lib.Engine, zone: str, now: float) -> float:
    """Returns the cost of sending a request to an engine; lower is better."""
    result = engine.load
    result += PENALTY_WEIGHT * engine.health.current(now)
    if engine.entry.zone != zone:
        result += OTHER_ZONE
    return result


def choose(
    candidates: Iterable[engines_lib.Engine],
    *,
    zone: str,
    now: float,
    draw: random.Random,
) -> engines_lib.Engine | None:
    """Returns the best candidate; None when there is none."""
    return min(
        candidates,
        key=lambda engine: (
            score(engine, zone, now) + draw.random() * TIE_SPREAD
        ),
        default=None,
    )
