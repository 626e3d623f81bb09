"""Chooses the engine for a request.

Load patterns: a wave of short prompts with a few very long ones among them;
one engine that fails or is slow among sound ones.

Each engine is scored by the requests that run there for each slot, by the
prompt tokens that wait to be read, by its penalty, and by the availability
zone; the lowest score wins. A long prompt holds up all others on its engine
while it is read, so tokens weigh more than requests. Ties are broken by a
draw, so that nodes that see the same figures do not all choose the same
engine.
"""

from collections.abc import Iterable
import random

from _dogwoodhinge.fleet import engines as engines_lib

# Speed at which engines read prompts: the deployments' sheets state 38.4; the
# rest is left for the tokens that running requests generate meanwhile.
READ_TOKENS_PER_SECOND = 32_000

# So many seconds of unread prompts weigh as much as a full engine.
FULL_BACKLOG_SECONDS = 0.4

# A penalty of one weighs as much as so many full engines.
PENALTY_WEIGHT = 2.0

# Crossing zones costs about a millisecond each way, of tens for an answer.
OTHER_ZONE = 0.02

# Differences below this are noise of late figures.
TIE_SPREAD = 0.02


def backlog_seconds(work: engines_lib.Work) -> float:
    """Returns the time in which an engine reads the prompts that wait."""
    return work.unread_tokens / READ_TOKENS_PER_SECOND


def load(work: engines_lib.Work, slots: int) -> float:
    """Returns how full an engine is; 1 and more mean that requests wait."""
    return (
        work.running / max(1, slots)
        + backlog_seconds(work) / FULL_BACKLOG_SECONDS
    )


def score(engine: engines_lib.Engine, zone: str, now: float) -> float:
    """Returns the cost of sending a request to an engine; lower is better."""
    result = load(engine.work, engine.entry.slots)
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
