"""Decides which engine loads which base model.

Load pattern: engines that restart empty or join empty while callers press; the
weight store allows few loads a second and slows all of them down beyond.
"""

import collections
from collections.abc import Iterable, Mapping
import dataclasses
from typing import final

from _dogwoodhinge.fleet import models

# Seconds of the store's rate that run at full speed together: the sheets state
# 0.44 to 0.63. More would slow all of them down in proportion.
FULL_SPEED_SECONDS = 0.5

# A load that the engine does not show by then is ordered again.
LOAD_PATIENCE_FACTOR = 2.5


@final
@dataclasses.dataclass(frozen=True, slots=True)
class EmptyEngine:
    """An engine without a base model."""

    engine_id: str
    service: str


@final
class BaseModelLoads:
    """Paces loads of base models over all engines."""

    def __init__(self) -> None:
        self.started: collections.deque[float] = collections.deque()
        self.under_way: dict[str, float] = {}

    def choose(
        self,
        empty: Iterable[EmptyEngine],
        *,
        engine_class: models.EngineClass,
        copies: Mapping[str, int],
        now: float,
    ) -> list[tuple[str, str]]:
        """Returns the engines to load now, each with the model to load.

        Args:
            empty: engines without a base model.
            engine_class: what these engines have.
            copies: engines that hold each base model.
            now: loop time.
        """
        self._forget(now)
        chosen: list[tuple[str, str]] = []
        counts = collections.Counter(copies)
        for engine in empty:
            if engine.engine_id in self.under_way:
                continue
            if not self._may_start(engine_class.loads_per_second, now):
                break
            fitting = [
                model
                for model in engine_class.base_models.values()
                if model.size_mb <= engine_class.weights_mb
            ]
            if not fitting:
                break
            model = min(fitting, key=lambda m: (counts[m.name], m.name))
            counts[model.name] += 1
            patience = model.load_time.total_seconds() * LOAD_PATIENCE_FACTOR
            self.under_way[engine.engine_id] = now + patience
            self.started.append(now)
            chosen.append((engine.engine_id, model.name))
        return chosen

    def note_ended(self, engine_id: str) -> None:
        """Notes that an engine shows its model, or did not take the order."""
        self.under_way.pop(engine_id, None)

    def _may_start(self, loads_per_second: float, now: float) -> bool:
        recent = sum(now - start < 1.0 for start in self.started)
        at_once = max(1, round(loads_per_second * FULL_SPEED_SECONDS))
        return len(self.under_way) < at_once and recent < max(
            1, int(loads_per_second)
        )

    def _forget(self, now: float) -> None:
        while self.started and now - self.started[0] > 1.0:
            self.started.popleft()
        for engine_id, until in tuple(self.under_way.items()):
            if now > until:
                del self.under_way[engine_id]
