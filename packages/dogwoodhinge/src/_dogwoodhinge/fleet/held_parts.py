"""Remembers which parts of prompts one engine has read for this node.

Load pattern: see `fleet.prompt_cache`. An engine keeps the parts that were used
last, for one version of one adapter, and needs all parts before one to use it.
"""

import collections
from collections.abc import Sequence
import dataclasses
import datetime
from typing import final

from _dogwoodhinge.fleet import models

# What was used longer ago counts as gone: the requests of other nodes may have
# taken its memory.
MAX_AGE = datetime.timedelta(seconds=20)

# Parts that are remembered of each engine: callers choose how many parts a
# prompt has, and how short they are.
MAX_PARTS = 400


@final
@dataclasses.dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt.

    Attributes:
        part_id: names its content.
        tokens: its length.
    """

    part_id: str
    tokens: int


@final
@dataclasses.dataclass(slots=True)
class _HeldPart:
    tokens: int
    read_at: float
    used_at: float


@final
class HeldParts:
    """The parts that one start of an engine has read for this node.

    Attributes:
        parts: by adapter, its version and part id, least recently used first.
        tokens: tokens of all parts.
    """

    def __init__(self) -> None:
        self.parts: collections.OrderedDict[
            tuple[models.AdapterKey, int, str], _HeldPart
        ] = collections.OrderedDict()
        self.tokens = 0

    def expected(
        self,
        key: models.AdapterKey,
        version: int,
        parts: Sequence[PromptPart],
        *,
        since: float,
        room: int,
        now: float,
    ) -> int:
        """Returns how many tokens at the beginning of a prompt are held.

        Args:
            key: the adapter, or base model, of the request.
            version: version of the adapter on the engine.
            parts: the parts of the prompt, in order.
            since: loop time of the load of the adapter; what was read for an
                earlier copy is gone.
            room: tokens that may be held.
            now: loop time.
        """
        self._yield_to(room)
        oldest = now - MAX_AGE.total_seconds()
        tokens = 0
        for part in parts:
            held = self.parts.get((key, version, part.part_id))
            if held is None or held.read_at < since or held.used_at < oldest:
                break
            tokens += held.tokens
        return tokens

    def record(
        self,
        key: models.AdapterKey,
        version: int,
        parts: Sequence[PromptPart],
        *,
        room: int,
        now: float,
    ) -> None:
        """Records that a prompt has been read."""
        # The first parts are needed for the use of all others, so they are the
        # last to go.
        for part in reversed(parts[:MAX_PARTS]):
            name = (key, version, part.part_id)
            held = self.parts.pop(name, None)
            if held is not None:
                self.tokens -= held.tokens
            self.parts[name] = _HeldPart(part.tokens, now, now)
            self.tokens += part.tokens
        self._yield_to(room)

    def _yield_to(self, room: int) -> None:
        while self.parts and (
            self.tokens > room or len(self.parts) > MAX_PARTS
        ):
            _, gone = self.parts.popitem(last=False)
            self.tokens -= gone.tokens
