"""Decides the priority with which an engine admits a request.

Load pattern: short prompts behind long ones; live requests beside deferrable
ones, when the engines have requests waiting or too little memory.

The rank of a request goes first. Within a rank, a short prompt that is read
first delays a long one by milliseconds; behind a long one it may miss its
latency target. A request that has waited for its adapter is admitted before
those of its rank that have just arrived.
"""

from collections.abc import Sequence

# An engine admits the lowest value first.
LOWEST_PRIORITY = 9

# Maximum prompt tokens of each size, the smallest first. The largest prompt of
# a size takes about four times as long to read as the largest of the previous
# one.
SIZE_MAX_PROMPT_TOKENS = (700, 2_800, 11_000)

# Priorities that the sizes and the boost of one rank take up.
LEVELS = len(SIZE_MAX_PROMPT_TOKENS) + 2

# The value of a boosted request where all requests have the same rank.
ONLY_RANK_FIRST_PRIORITY = 1

# A request with a prompt up to this size gets a higher priority once less than
# this time is left to its latency target. A request that waited for its adapter
# has then used about half of the usual target of 0.5 s.
BOOST_SECONDS = 0.3
BOOST_MAX_TOKENS = 2_800


def priority(
    prompt_tokens: int,
    *,
    time_to_target: float,
    rank: int = 0,
    ranks: Sequence[int] = (),
) -> int:
    """Returns the priority of a request on its engine; the lowest goes first.

    Args:
        prompt_tokens: number of tokens in the prompt.
        time_to_target: seconds until the latency target is missed.
        rank: rank of the request, 0 is the highest.
        ranks: the ranks that requests of the configuration in force may have,
            in ascending order.
    """
    level = _level(prompt_tokens, time_to_target=time_to_target)
    if len(ranks) < 2:
        return ONLY_RANK_FIRST_PRIORITY + level
    lower_ranks = sum(other < rank for other in ranks)
    first = lower_ranks * (LOWEST_PRIORITY + 1) // len(ranks)
    end = (lower_ranks + 1) * (LOWEST_PRIORITY + 1) // len(ranks)
    last = min(LOWEST_PRIORITY, max(first, end - 1))
    return min(first + level, last)


def _level(prompt_tokens: int, *, time_to_target: float) -> int:
    """Returns the place among requests of the same rank, from 0."""
    if 0 < time_to_target < BOOST_SECONDS and prompt_tokens <= BOOST_MAX_TOKENS:
        return 0
    for level, token_limit in enumerate(SIZE_MAX_PROMPT_TOKENS, start=1):
        if prompt_tokens <= token_limit:
            return level
    return LEVELS - 1
