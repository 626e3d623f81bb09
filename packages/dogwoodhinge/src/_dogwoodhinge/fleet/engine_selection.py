"""Chooses the engine for a request.

Load patterns: a burst of short prompts with a few very long ones among them;
one failing or slow engine among healthy ones.

The score of an engine adds up its running requests per batch slot, its prompt
tokens that await prefill, its health penalty, and a cost for another
availability zone; the lowest score wins. The prefill of a long prompt delays
every other request on the engine, so tokens weigh more than requests. A random
term breaks ties, so that nodes with the same view of the fleet do not all
choose the same engine.
"""

from collections.abc import Iterable, Sequence
import random

from _dogwoodhinge.fleet import engines as engines_lib

# Prefill speed assumed for every engine. The deployments' data sheets state
# 38.4 tokens per millisecond; the difference is reserved for the tokens that
# running requests generate at the same time.
PREFILL_TOKENS_PER_SECOND = 32_000

# Prefill backlog that weighs as much as a full batch.
FULL_BACKLOG_SECONDS = 0.4

# Load, in full batches, that a health penalty of 1 weighs as much as.
PENALTY_WEIGHT = 2.0

# Crossing zones adds about a millisecond each way, and a response takes tens of
# milliseconds.
CROSS_ZONE_COST = 0.02

# Share of a service's engines that answer, below which those that do not are
# used as well.
MIN_ANSWERING_SHARE = 0.5

# Smaller score differences are noise, because the load reports lag behind.
TIE_BREAK_RANGE = 0.02


def prefill_backlog_seconds(work: engines_lib.Work) -> float:
    """Returns the seconds that an engine needs to prefill its backlog."""
    return work.unread_tokens / PREFILL_TOKENS_PER_SECOND


def load(work: engines_lib.Work, request_slots: int) -> float:
    """Returns the load of an engine; at 1 and above, requests are queued."""
    return (
        work.running / max(1, request_slots)
        + prefill_backlog_seconds(work) / FULL_BACKLOG_SECONDS
    )


def load_after_seconds(
    work: engines_lib.Work, request_slots: int, seconds: float
) -> float:
    """Returns the load that is left once prompts were read for a while.

    Load pattern: clumps of prompts, which are read within some hundred
    milliseconds, on engines whose running requests last for seconds.

    Args:
        work: requests in flight on the engine.
        request_slots: requests that it runs at once.
        seconds: time for which it reads prompts.
    """
    backlog = max(0.0, prefill_backlog_seconds(work) - seconds)
    return work.running / max(1, request_slots) + backlog / FULL_BACKLOG_SECONDS


def score(engine: engines_lib.Engine, zone: str, now: float) -> float:
    """Returns the cost of sending a request to an engine; lower is better."""
    result = load(engine.work, engine.entry.slots)
    result += PENALTY_WEIGHT * engine.health.current(now)
    if engine.entry.zone != zone:
        result += CROSS_ZONE_COST
    return result


def answering(
    engines: Sequence[engines_lib.Engine], now: float
) -> Sequence[engines_lib.Engine]:
    """Returns the engines that answer, as far as this node has seen.

    If most of a service's engines do not answer, the fault is more likely to
    lie with this node's own links, and all are returned.

    Args:
        engines: the engines of one service.
        now: loop time.
    """
    found = [engine for engine in engines if engine.answers.may_send(now)]
    if len(found) < len(engines) * MIN_ANSWERING_SHARE:
        return engines
    return found


def choose(
    candidates: Iterable[engines_lib.Engine],
    *,
    zone: str,
    now: float,
    rng: random.Random,
) -> engines_lib.Engine | None:
    """Returns the candidate with the lowest score, or None without any."""
    return min(
        candidates,
        key=lambda engine: (
            score(engine, zone, now) + rng.random() * TIE_BREAK_RANGE
        ),
        default=None,
    )
