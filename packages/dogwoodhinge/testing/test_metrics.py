"""Tests of `_dogwoodhinge.metrics`."""

from _dogwoodhinge import metrics


def test_sources_are_read_at_each_scrape() -> None:
    counts = {"route": 1}
    node_metrics = metrics.Metrics()

    def read() -> list[metrics.Sample]:
        return [
            metrics.Sample(
                "dogwoodhinge_decisions_total",
                "decisions by kind",
                value,
                labels={"kind": kind},
                is_counter=True,
            )
            for kind, value in counts.items()
        ]

    node_metrics.add_source(read)
    assert (
        b'dogwoodhinge_decisions_total{kind="route"} 1' in node_metrics.render()
    )
    counts["route"] = 2
    counts["evict"] = 5
    text = node_metrics.render()
    assert b'dogwoodhinge_decisions_total{kind="route"} 2' in text
    assert b'dogwoodhinge_decisions_total{kind="evict"} 5' in text
    assert text.count(b"# TYPE dogwoodhinge_decisions_total counter") == 1
