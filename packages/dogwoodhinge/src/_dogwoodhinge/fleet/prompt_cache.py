"""Estimates which beginnings of prompts an engine still holds.

Load pattern: prompts begin with parts that they share with others, or with the
earlier turns of their session. An engine that has read these parts for the same
adapter reads only the rest, as long as it has kept them in its memory. All
nodes send to the same engines, and whatever runs there needs the memory too.

A node remembers what its own requests have made an engine read, in the order of
its last use, up to its share of the memory that is left beside what runs there.
Nothing is asked of the engines. An estimate that is too low costs a read that
was not needed; one that is too high, a wait at an engine that was not the best.
"""

from collections.abc import Callable, Sequence
import math
from typing import final

from _dogwoodhinge.fleet import engines as engines_lib
from _dogwoodhinge.fleet import held_parts
from _dogwoodhinge.fleet import models

# Tokens that a running request takes until enough requests are known, and the
# weight of the latest request in their mean.
INITIAL_REQUEST_TOKENS = 1_000.0
MEAN_WEIGHT = 0.02


@final
class PromptCache:
    """What this node expects the engines to hold.

    Attributes:
        memory_tokens: returns the memory of the engines of a service, in
            tokens; 0 if unknown.
        nodes: returns the number of nodes, which share that memory.
        enabled: whether anything is expected to be held.
        request_tokens: mean tokens of a request.
        prompt_tokens: tokens of all prompts that were answered.
        held_tokens: of these, the tokens that were expected to be held.
    """

    def __init__(
        self,
        *,
        memory_tokens: Callable[[str], int],
        nodes: Callable[[], int],
        enabled: bool = True,
    ) -> None:
        self.memory_tokens = memory_tokens
        self.nodes = nodes
        self.enabled = enabled
        self.request_tokens = INITIAL_REQUEST_TOKENS
        self.prompt_tokens = 0
        self.held_tokens = 0

    def room(self, engine: engines_lib.Engine) -> int:
        """Returns the tokens that an engine may hold for this node."""
        memory = self.memory_tokens(engine.entry.service)
        running = engine.work.running * self.request_tokens
        return int(max(0.0, memory - running) / max(1, self.nodes()))

    def expected(
        self,
        engine: engines_lib.Engine,
        key: models.AdapterKey,
        parts: Sequence[held_parts.PromptPart],
        now: float,
    ) -> int:
        """Returns how many tokens of a prompt an engine need not read."""
        if not self.enabled or not parts or not engine.held_parts.parts:
            return 0
        version, since = _loaded(engine, key)
        return engine.held_parts.expected(
            key,
            version,
            parts,
            since=since,
            room=self.room(engine),
            now=now,
        )

    def record(
        self,
        engine: engines_lib.Engine,
        key: models.AdapterKey,
        parts: Sequence[held_parts.PromptPart],
        *,
        prompt_tokens: int,
        expected_tokens: int,
        now: float,
    ) -> None:
        """Records that an engine has begun to answer a request.

        Args:
            engine: the engine.
            key: the adapter, or base model, of the request.
            parts: the parts of the prompt, in order.
            prompt_tokens: tokens of the whole prompt.
            expected_tokens: tokens that it was expected to hold.
            now: loop time.
        """
        self.prompt_tokens += prompt_tokens
        self.held_tokens += expected_tokens
        self.request_tokens += MEAN_WEIGHT * (
            prompt_tokens - self.request_tokens
        )
        if not self.enabled or not parts:
            return
        version, _ = _loaded(engine, key)
        engine.held_parts.record(
            key, version, parts, room=self.room(engine), now=now
        )


def _loaded(
    engine: engines_lib.Engine, key: models.AdapterKey
) -> tuple[int, float]:
    """Returns the version of an adapter on an engine, and since when."""
    held_adapter = engine.held_adapters.get(key)
    if held_adapter is None:
        return 0, math.inf if key.adapter else -math.inf
    return held_adapter.version, held_adapter.ready_at
