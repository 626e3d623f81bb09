"""Keeps long prompts apart from the streams of short ones.

Load pattern: one prompt in fifty is ten times as long as the others. Engines
read prompts in pieces between the tokens of running requests; a piece takes
several times as long as a step without one, so that while a long prompt is read
the streams beside it pause for longer than their callers accept.

A few engines take the long prompts. It is a preference: a place there, or
elsewhere, is better than none.
"""

from collections.abc import Iterable
import functools
import zlib

# Reading so many takes a tenth of a second at the sheets' 38.4 tokens a
# millisecond, as long as a stream needs for an event or two.
LONG_TOKENS = 6_000

# One engine of so many takes the long prompts, which are a third of all tokens
# that are read, while reading takes half of the engines' time at a crest.
ENGINES_FOR_ONE_APART = 6

# With fewer engines, one is needed for everything.
FEWEST_ENGINES = 4

# Costs of the wrong engine, in engine loads. A long prompt may wait for another
# one, since its callers expect its reading to take as long; a short one goes
# where long ones are read rather than to an engine that is nearly full.
LONG_ELSEWHERE_COST = 2.0
SHORT_APART_COST = 0.7


def is_long(prompt_tokens: int) -> bool:
    """Tells whether a prompt holds up the streams beside it."""
    return prompt_tokens >= LONG_TOKENS


def cost(prompt_tokens: int, engine_id: str, apart: frozenset[str]) -> float:
    """Returns what an engine costs by the length of a prompt.

    Args:
        prompt_tokens: of the request.
        engine_id: the engine.
        apart: the engines for long prompts; empty when there are too few.
    """
    if is_long(prompt_tokens):
        wrong = bool(apart) and engine_id not in apart
        return LONG_ELSEWHERE_COST if wrong else 0.0
    return SHORT_APART_COST if engine_id in apart else 0.0


def engines_apart(engine_ids: Iterable[str]) -> frozenset[str]:
    """Returns the engines for long prompts; the same on all nodes.

    Args:
        engine_ids: the engines that may be used.
    """
    return _engines_apart(tuple(engine_ids))


@functools.lru_cache(maxsize=32)
def _engines_apart(engine_ids: tuple[str, ...]) -> frozenset[str]:
    if len(engine_ids) < FEWEST_ENGINES:
        return frozenset()
    count = -(-len(engine_ids) // ENGINES_FOR_ONE_APART)
    ranked = sorted(engine_ids, key=lambda e: (zlib.crc32(e.encode()), e))
    return frozenset(ranked[:count])
