"""Collects the node's metrics for `/metrics`."""

import resource
from typing import TYPE_CHECKING, final

from _dogwoodhinge import metrics

if TYPE_CHECKING:
    from _dogwoodhinge import node as node_lib

KIB = 1_024


@final
class NodeSamples:
    """Reads metrics from the node's components."""

    def __init__(self, node: "node_lib.Node") -> None:
        self.node = node

    def read(self) -> list[metrics.Sample]:
        """Returns all samples."""
        return [
            *self._process(),
            *self._state(),
            *self._decisions(),
            *self._responses(),
            *self._engines(),
            *self._callers(),
        ]

    def _callers(self) -> list[metrics.Sample]:
        deps = self.node.caller_deps
        limit = deps.connection_limit
        return [
            metrics.Sample(
                "dogwoodhinge_body_bytes",
                "memory that requests hold: heads, bodies and answers",
                deps.request_memory.budget.held_bytes,
            ),
            *(
                metrics.Sample(
                    "dogwoodhinge_bodies_refused_total",
                    "requests refused while their bodies were read",
                    count,
                    {"reason": reason},
                    is_counter=True,
                )
                for reason, count in deps.body_reader.refused.items()
            ),
            *(
                metrics.Sample(
                    "dogwoodhinge_requests_given_up_total",
                    "requests given up since too much was held",
                    count,
                    {"stage": stage},
                    is_counter=True,
                )
                for stage, count in deps.request_memory.given_up.items()
            ),
            *(
                metrics.Sample(
                    "dogwoodhinge_connections_given_up_total",
                    "connections closed because callers have too many",
                    count,
                    {"reason": reason},
                    is_counter=True,
                )
                for reason, count in (
                    ("replaced", limit.replaced),
                    ("dropped", limit.dropped),
                )
            ),
        ]

    def _process(self) -> list[metrics.Sample]:
        usage = resource.getrusage(resource.RUSAGE_SELF)
        return [
            metrics.Sample(
                "dogwoodhinge_cpu_seconds_total",
                "processor time used",
                usage.ru_utime + usage.ru_stime,
                is_counter=True,
            ),
            metrics.Sample(
                "dogwoodhinge_peak_resident_bytes",
                "largest resident size so far",
                usage.ru_maxrss * KIB,
            ),
            metrics.Sample(
                "dogwoodhinge_peer_received_bytes_total",
                "bytes of peer messages received",
                self.node.peer.bytes_in,
                is_counter=True,
            ),
            metrics.Sample(
                "dogwoodhinge_peer_sent_bytes_total",
                "bytes of peer messages sent",
                self.node.peer.bytes_out,
                is_counter=True,
            ),
        ]

    def _state(self) -> list[metrics.Sample]:
        node = self.node
        return [
            metrics.Sample(
                "dogwoodhinge_ready",
                "1 while the node takes new work",
                float(not node.unready_reasons()),
            ),
            metrics.Sample(
                "dogwoodhinge_config_revision",
                "revision in force here",
                node.components.view.revision,
            ),
            metrics.Sample(
                "dogwoodhinge_live_sessions",
                "sessions known to live",
                len(node.components.membership.live()),
            ),
            metrics.Sample(
                "dogwoodhinge_grants_held",
                "grants that requests hold here",
                len(node.components.grants.held()),
            ),
            metrics.Sample(
                "dogwoodhinge_requests_running",
                "requests being served",
                node.request_tracker.running,
            ),
        ]

    def _decisions(self) -> list[metrics.Sample]:
        return [
            metrics.Sample(
                "dogwoodhinge_decisions_total",
                "decisions by kind",
                count,
                labels={"kind": kind},
                is_counter=True,
            )
            for kind, count in self.node.components.decisions.counts.items()
        ]

    def _responses(self) -> list[metrics.Sample]:
        return [
            metrics.Sample(
                "dogwoodhinge_answers_total",
                "answers to callers by path and status",
                count,
                labels={"path": path, "status": str(status)},
                is_counter=True,
            )
            for (
                path,
                status,
            ), count in self.node.request_tracker.finished.items()
        ]

    def _engines(self) -> list[metrics.Sample]:
        samples = []
        for status in self.node.components.registry.status():
            labels = {"engine": status.engine_id}
            for name, text, value in (
                ("residents", "adapters in slots", status.residents),
                ("granted", "open grants", status.granted),
                ("waiting", "requests in the queue", status.waiting),
                ("slow", "1 while it is held to be slow", status.is_slow),
                ("token", "fencing token", status.token),
            ):
                samples.append(
                    metrics.Sample(
                        f"dogwoodhinge_engine_{name}", text, value, labels
                    )
                )
        return samples
