"""Slopes of sessions, ownership rows and the exchange during an outage.

The services run over fakes on a manual clock, so that the CPU time is their
own; calls of the table and of peers are measured with the platform's slopes.
"""

import gc
import statistics
import time
import tracemalloc

from _dogwoodhinge.membership import sessions
from _dogwoodhinge.ownership import records
from dogwoodhinge_lab import slope
from dogwoodhinge_lab import small_cluster

SIZES = (7, 40, 80, 160)
SETTLE_SECONDS = 60
OUTAGE_SETTLE_SECONDS = 15
MEASURED_SECONDS = 20
OUTAGE_SECONDS = 20
KEPT_ROWS = 2_000


async def measure() -> list[slope.Slope]:
    """Measures all slopes of this module."""
    found = [
        slope.Slope("value of a session row", _session_row_bytes(), "bytes"),
        slope.Slope("memory of a session", _session_memory(), "bytes"),
        slope.Slope("memory of an owner record", _record_memory(), "bytes"),
    ]
    for size in SIZES:
        found.extend(await _measure_size(size))
    return found


async def _measure_size(size: int) -> list[slope.Slope]:
    cluster = small_cluster.SmallCluster()
    for index in range(2 * size):
        zone = small_cluster.ZONES[index % len(small_cluster.ZONES)]
        cluster.add_engine(f"engine-{index}", checks_fencing=True, zone=zone)
    await cluster.start(size)
    await cluster.advance(SETTLE_SECONDS)
    quiet = await _measure_quiet(cluster, size)
    outage = await _measure_outage(cluster, size)
    await cluster.stop()
    return [*quiet, *outage]


async def _measure_quiet(
    cluster: small_cluster.SmallCluster, size: int
) -> list[slope.Slope]:
    before = _count(cluster)
    began = time.process_time()
    await cluster.advance(MEASURED_SECONDS)
    cpu = time.process_time() - began
    node_seconds = size * MEASURED_SECONDS
    reads, commits, read, written = (
        (after - earlier) / node_seconds
        for after, earlier in zip(_count(cluster), before, strict=True)
    )
    at = f"at {size} nodes, a node-second:"
    return [
        slope.Slope(f"{at} table reads", reads, "calls"),
        slope.Slope(f"{at} table transactions", commits, "calls"),
        slope.Slope(f"{at} values read", read, "bytes"),
        slope.Slope(f"{at} values written", written, "bytes"),
        slope.Slope(
            f"{at} membership and ownership",
            cpu / node_seconds * slope.MICROSECONDS,
            "us of CPU",
        ),
    ]


async def _measure_outage(
    cluster: small_cluster.SmallCluster, size: int
) -> list[slope.Slope]:
    for node in cluster.nodes.values():
        node.table.cut = True
    await cluster.advance(OUTAGE_SETTLE_SECONDS)
    for node in cluster.nodes.values():
        node.bytes_sent = 0
        node.calls = 0
    began = time.process_time()
    ages: list[float] = []
    for _ in range(OUTAGE_SECONDS):
        await cluster.advance(1)
        ages.extend(_majority_age(node) for node in cluster.nodes.values())
    cpu = time.process_time() - began
    node_seconds = size * OUTAGE_SECONDS
    sent = sum(node.bytes_sent for node in cluster.nodes.values())
    calls = sum(node.calls for node in cluster.nodes.values())
    at = f"at {size} nodes in an outage,"
    return [
        slope.Slope(f"{at} a node-second: calls", calls / node_seconds, ""),
        slope.Slope(
            f"{at} a node-second: messages sent", sent / node_seconds, "bytes"
        ),
        slope.Slope(
            f"{at} a node-second",
            cpu / node_seconds * slope.MICROSECONDS,
            "us of CPU",
        ),
        slope.Slope(
            f"{at} age of a majority's words, median",
            statistics.median(ages),
            "s",
        ),
        slope.Slope(f"{at} age of a majority's words, max", max(ages), "s"),
    ]


def _majority_age(node: small_cluster.Node) -> float:
    """Returns the age that the words of a strict majority do not exceed."""
    now = node.clock.monotonic()
    ages = sorted(
        now - word.reported_at
        for session_id, word in node.isolation.latest_reports.items()
        if session_id != node.membership.self_id
    )
    others = len(node.membership.voter_ids) // 2  # and this node itself
    return ages[others - 1] if len(ages) >= others else float("inf")


def _count(
    cluster: small_cluster.SmallCluster,
) -> tuple[int, int, int, int]:
    tables = [node.table for node in cluster.nodes.values()]
    return (
        sum(table.reads for table in tables),
        sum(table.commits for table in tables),
        sum(table.bytes_read for table in tables),
        sum(table.bytes_written for table in tables),
    )


def _example(index: int) -> sessions.Session:
    return sessions.Session(
        session_id=f"{index:08x}",
        host_id=f"host-{index:04d}",
        peer_address=f"10.0.{index // 250}.{index % 250}:8082",
        caller_address=f"10.0.{index // 250}.{index % 250}:8080",
        operator_address=f"10.0.{index // 250}.{index % 250}:8081",
        zone="zone-a",
        region="region-1",
        applied_revision=100_000 + index,
        joined_sequence=100_000 + index,
        known_sequence=100_000 + index,
        version=100_000 + index,
    )


def _session_row_bytes() -> int:
    return len(sessions.encode(_example(1)))


def _session_memory() -> float:
    gc.collect()
    tracemalloc.start()
    kept = {index: _example(index) for index in range(KEPT_ROWS)}
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return size / len(kept)


def _record_memory() -> float:
    gc.collect()
    tracemalloc.start()
    kept = {
        f"engine-{index}": records.OwnerRecord(
            f"engine-{index}", f"{index:08x}", 1_000 + index, 1_000 + index
        )
        for index in range(KEPT_ROWS)
    }
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return size / len(kept)
