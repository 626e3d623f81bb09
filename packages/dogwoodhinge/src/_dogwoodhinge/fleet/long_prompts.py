"""Keeps long prompts away from most streams.

Load pattern: one prompt in fifty is ten times as long as the others. Engines
read prompts in pieces between the tokens of running requests; a piece takes
several times as long as a step without one, so that while a long prompt is read
the streams beside it pause for longer than their callers accept.

A few engines take the long prompts, one after the other, beside what else runs
there. It is a preference: a place elsewhere is better than none.
"""

from collections.abc import Iterable
import functools
import zlib

# Beside prompts of 6,000 to 12,000 tokens a third of the streams paused for too
# long, beside shorter ones a tenth.
LONG_TOKENS = 6_000

# One engine of so many takes the long prompts: they are a quarter of all tokens
# that are read, and reading takes a third of the engines' time.
ENGINES_FOR_ONE_APART = 6

# With fewer engines, one is needed for everything.
FEWEST_ENGINES = 4

# Cost of another engine, in engine loads: a long prompt may wait for two
# others, since callers expect its first event half a second later.
ELSEWHERE_COST = 2.0


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
    if not apart or not is_long(prompt_tokens) or engine_id in apart:
        return 0.0
    return ELSEWHERE_COST


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
