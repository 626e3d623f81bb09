"""Latency histograms and other metrics of forwarded requests."""

from typing import final

import aioprometheus
from aioprometheus import formats

from _dogwoodhinge import metrics

# Bucket bounds in seconds. They cover the latency targets (0.125 to 1 s) and
# the longest deadlines (12 s).
LATENCY_BUCKETS = (
    0.01,
    0.025,
    0.05,
    0.1,
    0.15,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    12.0,
    float("inf"),
)


@final
class RequestMetrics:
    """The content of the metrics page.

    Histograms are updated when a request ends. Counters and gauges are read
    from their components when the page is requested. Label values come from
    fixed sets, never from callers.
    """

    def __init__(self) -> None:
        self.registry = aioprometheus.Registry()
        self.samples = metrics.Metrics()
        self.first_byte = self._histogram(
            "dogwoodhinge_first_byte_seconds",
            "From a request's first line to the first byte of its answer",
        )
        self.total = self._histogram(
            "dogwoodhinge_request_seconds",
            "From a request's first line to its end",
        )
        self.dispatch_wait = self._histogram(
            "dogwoodhinge_place_wait_seconds",
            "From a request's first line to its send to an engine",
        )

    def _histogram(self, name: str, help_text: str) -> aioprometheus.Histogram:
        return aioprometheus.Histogram(
            name, help_text, registry=self.registry, buckets=LATENCY_BUCKETS
        )

    def observe(
        self,
        *,
        kind: str,
        outcome: str,
        total: float,
        first_byte: float | None,
        dispatch_wait: float | None,
    ) -> None:
        """Records a request that has ended.

        Args:
            kind: the kind of the route.
            outcome: how the request ended.
            total: seconds from the request's first line to its end.
            first_byte: seconds to the first byte of the response; None if there
                was no response.
            dispatch_wait: seconds to the last send to an engine; None if the
                request was never sent.
        """
        labels = {"kind": kind, "outcome": outcome}
        self.total.observe(labels, total)
        if first_byte is not None:
            self.first_byte.observe(labels, first_byte)
        if dispatch_wait is not None:
            self.dispatch_wait.observe({"kind": kind}, dispatch_wait)

    def render(self) -> bytes:
        """Returns the page in the Prometheus text format."""
        histograms = formats.text.TextFormatter().marshall(self.registry)
        return histograms + self.samples.render()
