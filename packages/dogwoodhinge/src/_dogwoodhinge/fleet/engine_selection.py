"""Chooses the engine for a request.

Load patterns: a burst of short prompts with a few very long ones among them;
one failing or slow engine among healthy ones; many nodes whose views of the
engines are equally old.

An engine is rated by the time until it answers: the wait for a place in its
batch, its prompts that await prefill, and the request's own, at the pace that
was learned of it. Running requests, failures and another availability zone add
to that; the lowest score wins. The prefill of a long prompt delays every other
request on the engine, so tokens weigh more than requests.

Of many engines only two are compared, drawn at random. Nodes learn of each
other's requests some hundred milliseconds late: if each chose the best engine
of all, they would all choose the same one until then.
"""

from collections.abc import Iterable, Mapping, Sequence
import random
import types

from _dogwoodhinge.fleet import engines as engines_lib

# Prefill speed assumed for every engine. The deployments' data sheets state
# 38.4 tokens per millisecond; the difference is reserved for the tokens that
# running requests generate at the same time.
PREFILL_TOKENS_PER_SECOND = 32_000

# Prefill backlog that weighs as much as a full batch.
FULL_BACKLOG_SECONDS = 0.4

# What a health penalty of 1 adds to a score.
PENALTY_SECONDS = 0.8

# Crossing zones adds about a millisecond each way, and the traffic is priced.
CROSS_ZONE_SECONDS = 0.008

NOTHING_HELD: Mapping[str, int] = types.MappingProxyType({})

# Engines that are compared for one request.
COMPARED_ENGINES = 2

# Share of a service's engines that answer, below which those that do not are
# used as well.
MIN_ANSWERING_SHARE = 0.5

# Smaller score differences are noise, because the load reports lag behind.
TIE_BREAK_SECONDS = 0.008


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


def first_event_seconds(
    engine: engines_lib.Engine, now: float, *, prompt_tokens: int = 0
) -> float:
    """Returns the expected seconds until an engine answers a request.

    Args:
        engine: the engine.
        now: loop time.
        prompt_tokens: tokens of the request's prompt that it has to read.
    """
    work = engine.work
    pace = engine.pace
    slots = max(1, engine.entry.slots)
    ahead = max(0, work.running + 1 - slots)
    wait = ahead / slots * pace.service.run_seconds + pace.service.base_seconds
    return pace.slowness(now) * wait + pace.reading_seconds(
        work.unread_tokens + prompt_tokens, now
    )


def score(
    engine: engines_lib.Engine,
    zone: str,
    now: float,
    *,
    prompt_tokens: int = 0,
) -> float:
    """Returns the cost of sending a request to an engine; lower is better.

    Args:
        engine: the engine.
        zone: availability zone of this node.
        now: loop time.
        prompt_tokens: tokens of the request's prompt that it has to read.

    Returns:
        Seconds: the expected time until it answers, and what stands for the
        delay of others and for the risk.
    """
    result = first_event_seconds(engine, now, prompt_tokens=prompt_tokens)
    share = engine.work.running / max(1, engine.entry.slots)
    result += FULL_BACKLOG_SECONDS * share * engine.pace.slowness(now)
    result += PENALTY_SECONDS * engine.health.current(now)
    if engine.entry.zone != zone:
        result += CROSS_ZONE_SECONDS
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
    prompt_tokens: int = 0,
    held_tokens: Mapping[str, int] = NOTHING_HELD,
) -> engines_lib.Engine | None:
    """Returns the best of a few candidates, or None without any.

    Candidates that failed lately are used if there are no others. Besides the
    two that are drawn, the one that holds most of the prompt is compared.

    Args:
        candidates: the engines.
        zone: availability zone of this node.
        now: loop time.
        rng: draws the two.
        prompt_tokens: tokens of the request's prompt.
        held_tokens: by engine, how many of them it need not read.
    """
    known = list(candidates)
    sound = [e for e in known if not e.health.should_avoid(now)] or known
    compared = sound
    if len(sound) > COMPARED_ENGINES:
        compared = rng.sample(sound, COMPARED_ENGINES)
        holder = max(sound, key=lambda e: held_tokens.get(e.engine_id, 0))
        if held_tokens.get(holder.engine_id, 0) and holder not in compared:
            compared.append(holder)
    return min(
        compared,
        key=lambda engine: (
            score(
                engine,
                zone,
                now,
                prompt_tokens=prompt_tokens
                - held_tokens.get(engine.engine_id, 0),
            )
            + rng.random() * TIE_BREAK_SECONDS
        ),
        default=None,
    )
