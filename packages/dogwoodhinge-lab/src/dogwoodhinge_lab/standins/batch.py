"""The batch of the engine stand-in: one token a step for each request."""

import asyncio
import collections
import dataclasses
import hashlib
import itertools
from typing import Any, final

from dogwoodhinge_lab import generation

PREFIX_LENGTH = 256  # characters of a prompt that the prefix cache keys on


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Speed:
    """How fast the engine is.

    Attributes:
        step_ms: a step of one request.
        request_share: growth of a step for each further request.
        adapter_share: growth of a step for each further adapter.
        prefill_ms: time to read a thousand characters of a prompt.
        cached_share: part of that time when the prefix is cached.
        cached_prefixes: prefixes that the cache holds.
    """

    step_ms: float = 10.0
    request_share: float = 0.02
    adapter_share: float = 0.1
    prefill_ms: float = 20.0
    cached_share: float = 0.2
    cached_prefixes: int = 200


@final
class Generation:
    """A request and the tokens made for it so far."""

    def __init__(
        self, request_id: str, model: str, body: dict[str, Any], priority: int
    ) -> None:
        self.request_id = request_id
        self.model = model
        self.prompt = generation.prompt_of(body)
        self.max_tokens = generation.max_tokens_of(body)
        self.priority = priority
        self.tokens: list[str] = []
        self.done = False
        self.failure = ""
        self.ready_at = 0.0
        self.finished_at = 0.0
        self.changed = asyncio.Event()

    def add_token(self) -> None:
        """Makes the next token."""
        index = len(self.tokens)
        self.tokens.append(
            generation.token(self.request_id, self.model, self.prompt, index)
        )
        self.done = len(self.tokens) >= self.max_tokens
        self._notify()

    def stop(self, failure: str = "") -> None:
        """Ends the generation early."""
        self.done = True
        self.failure = failure
        self._notify()

    def _notify(self) -> None:
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()


@final
class Batch:
    """Runs generations side by side, the most urgent first.

    Attributes:
        size: requests that run at once.
        slow_factor: makes each step so many times longer.
        running: the batch.
        waiting: (priority, order, generation), most urgent first.
        known: generations by request id, also finished ones for a while.
        steps: steps taken.
        stepped: sum of the batch sizes over all steps.
        adapters_stepped: sum of the numbers of adapters over all steps.
    """

    def __init__(
        self, size: int, speed: Speed, *, retain_seconds: float
    ) -> None:
        self.size = size
        self.speed = speed
        self.retain_seconds = retain_seconds
        self.slow_factor = 1.0
        self.running: list[Generation] = []
        self.waiting: list[tuple[int, int, Generation]] = []
        self.known: dict[str, Generation] = {}
        self.prefixes: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self.order = itertools.count()
        self.work = asyncio.Event()
        self.steps = 0
        self.stepped = 0
        self.adapters_stepped = 0

    def submit(self, item: Generation) -> None:
        """Queues a generation."""
        self.known[item.request_id] = item
        self.waiting.append((item.priority, next(self.order), item))
        self.waiting.sort()
        self.work.set()

    def cancel(self, request_id: str) -> bool:
        """Stops a generation; tells whether it was known."""
        item = self.known.get(request_id)
        if item is None:
            return False
        item.stop("cancelled")
        return True

    def uses(self, model: str) -> int:
        """Returns how many unfinished generations use an adapter."""
        items = [*self.running, *(item for _, _, item in self.waiting)]
        return sum(1 for item in items if item.model == model and not item.done)

    def clear(self) -> None:
        """Forgets everything, as a crash does."""
        for item in self.known.values():
            item.stop("the engine crashed")
        self.running.clear()
        self.waiting.clear()
        self.known.clear()
        self.prefixes.clear()

    async def run(self) -> None:
        """Takes steps while there is work."""
        while True:
            await self.work.wait()
            self._admit()
            if not self.running:
                self.work.clear()
                continue
            await asyncio.sleep(self._step_seconds())
            self._step()

    def _admit(self) -> None:
        now = asyncio.get_running_loop().time()
        while self.waiting and len(self.running) < self.size:
            _, _, item = self.waiting.pop(0)
            if item.done:
                continue
            item.ready_at = now + self._prefill_seconds(item.prompt)
            self.running.append(item)

    def _prefill_seconds(self, prompt: str) -> float:
        prefix = hashlib.sha256(prompt[:PREFIX_LENGTH].encode()).hexdigest()
        seconds = self.speed.prefill_ms / 1e3 * len(prompt) / 1e3
        if prefix in self.prefixes:
            seconds *= self.speed.cached_share
        self.prefixes[prefix] = None
        self.prefixes.move_to_end(prefix)
        if len(self.prefixes) > self.speed.cached_prefixes:
            self.prefixes.popitem(last=False)
        return seconds * self.slow_factor

    def _step_seconds(self) -> float:
        adapters = len({item.model for item in self.running})
        growth = (
            1.0
            + self.speed.request_share * (len(self.running) - 1)
            + self.speed.adapter_share * (adapters - 1)
        )
        self.steps += 1
        self.stepped += len(self.running)
        self.adapters_stepped += adapters
        return self.speed.step_ms / 1e3 * growth * self.slow_factor

    def _step(self) -> None:
        now = asyncio.get_running_loop().time()
        for item in self.running:
            if not item.done and now >= item.ready_at:
                item.add_token()
            if item.done:
                item.finished_at = now
        self.running = [item for item in self.running if not item.done]
        self._forget_finished(now)

    def _forget_finished(self, now: float) -> None:
        oldest = now - self.retain_seconds
        old = [
            name
            for name, item in self.known.items()
            if item.done and item.finished_at < oldest
        ]
        for name in old:
            del self.known[name]
