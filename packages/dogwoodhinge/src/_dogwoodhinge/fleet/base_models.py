"""Decides which engine loads which base model.

Load pattern: engines that restart or join without a base model under high load.
The weight store allows a few loads per second; above that rate it slows all of
them down.
"""

import collections
from collections.abc import Iterable, Mapping
import dataclasses
from typing import final

from _dogwoodhinge.fleet import models

# Duration of a load at full speed; times the store's rate, it gives the number
# of loads that can run concurrently at full speed. The data sheets state 0.44
# to 0.63 s. More concurrent loads would slow all of them down in proportion.
FULL_SPEED_LOAD_SECONDS = 0.5

# A load that takes longer than this multiple of its nominal time, without the
# engine listing the model, is ordered again.
LOAD_TIMEOUT_FACTOR = 2.5


@final
@dataclasses.dataclass(frozen=True, slots=True)
class EmptyEngine:
    """An engine without a base model.

    Attributes:
        late_models: base models that it may load by an order to an earlier
            start. Another one beside them may exceed its memory.
    """

    engine_id: str
    service: str
    late_models: frozenset[str] = frozenset()


@final
class BaseModelLoads:
    """Limits the rate of base model loads over all engines.

    Attributes:
        started: loop times at which the last second's loads were ordered.
        in_flight: by engine, the loop time after which its load counts as
            lost.
    """

    def __init__(self) -> None:
        self.started: collections.deque[float] = collections.deque()
        self.in_flight: dict[str, float] = {}

    def choose(
        self,
        empty: Iterable[EmptyEngine],
        *,
        engine_class: models.EngineClass,
        copies: Mapping[str, int],
        now: float,
    ) -> list[tuple[str, str]]:
        """Returns the engines that should load now, each with its model.

        Prefers the models that the fewest engines hold.

        Args:
            empty: engines without a base model.
            engine_class: the class of these engines.
            copies: number of engines that hold each base model.
            now: loop time.
        """
        self._expire(now)
        chosen: list[tuple[str, str]] = []
        counts = collections.Counter(copies)
        for engine in empty:
            if engine.engine_id in self.in_flight:
                continue
            if not self._can_start(engine_class.loads_per_second, now):
                break
            fitting = [
                model
                for model in engine_class.base_models.values()
                if model.size_mb <= engine_class.weights_mb
            ]
            if not fitting:
                break
            if engine.late_models:
                fitting = [m for m in fitting if {m.name} == engine.late_models]
                if not fitting:
                    continue
            model = min(fitting, key=lambda m: (counts[m.name], m.name))
            counts[model.name] += 1
            timeout = model.load_time.total_seconds() * LOAD_TIMEOUT_FACTOR
            self.in_flight[engine.engine_id] = now + timeout
            self.started.append(now)
            chosen.append((engine.engine_id, model.name))
        return chosen

    def record_load_end(self, engine_id: str) -> None:
        """Records that an engine lists a model, or that its load failed."""
        self.in_flight.pop(engine_id, None)

    def _can_start(self, loads_per_second: float, now: float) -> bool:
        recent = sum(now - start < 1.0 for start in self.started)
        at_once = max(1, round(loads_per_second * FULL_SPEED_LOAD_SECONDS))
        return len(self.in_flight) < at_once and recent < max(
            1, int(loads_per_second)
        )

    def _expire(self, now: float) -> None:
        while self.started and now - self.started[0] > 1.0:
            self.started.popleft()
        for engine_id, until in tuple(self.in_flight.items()):
            if now > until:
                del self.in_flight[engine_id]
