"""Renders metrics for `/metrics` in the Prometheus text format."""

from collections.abc import Callable
import dataclasses
from typing import final

import aioprometheus
from aioprometheus import collectors
from aioprometheus import formats


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """The value of a metric at the time of a scrape.

    Attributes:
        name: name of the metric, which ends in its unit.
        help: one-line description.
        labels: label names and values.
        value: the value.
        is_counter: True for a counter, False for a gauge.
    """

    name: str
    help: str
    value: float
    labels: dict[str, str] = dataclasses.field(default_factory=dict)
    is_counter: bool = False


SampleSource = Callable[[], list[Sample]]


class Metrics:
    """Collects samples from the node's components at each scrape.

    The components count in plain numbers, so that an increment costs one
    addition; the library only formats them.
    """

    def __init__(self) -> None:
        self.sources: list[SampleSource] = []

    def add_source(self, source: SampleSource) -> None:
        """Registers a source that is read at every scrape."""
        self.sources.append(source)

    def render(self) -> bytes:
        """Returns all samples in the text format."""
        registry = aioprometheus.Registry()
        collectors_by_name: dict[str, collectors.Collector] = {}
        for source in self.sources:
            for sample in source():
                collector = collectors_by_name.get(sample.name)
                if collector is None:
                    collector = _new_collector(sample, registry)
                    collectors_by_name[sample.name] = collector
                collector.set_value(sample.labels, sample.value)
        return formats.text.TextFormatter().marshall(registry)


def _new_collector(
    sample: Sample, registry: aioprometheus.Registry
) -> collectors.Collector:
    kind = aioprometheus.Counter if sample.is_counter else aioprometheus.Gauge
    return kind(sample.name, sample.help, registry=registry)
