"""Property test: at most one session may order an engine without fencing."""

import asyncio
import dataclasses

import hypothesis
from hypothesis import strategies

from _dogwoodhinge import errors as node_errors
from dogwoodhinge_lab import small_cluster

NODES = 5
STEP_SECONDS = 0.5
ENGINES = ("engine-0", "engine-1", "engine-2")


@dataclasses.dataclass
class Oracle:
    """Checks at every step that at most one node may order an engine.

    An order may take effect until `order_timeout` after it was permitted,
    unless its sender has dropped the engine, which ends its orders.

    Attributes:
        permitted: when an order was last permitted, by host and engine.
    """

    cluster: small_cluster.SmallCluster
    permitted: dict[tuple[str, str], float] = dataclasses.field(
        default_factory=dict
    )

    def check(self) -> None:
        self._remove_dropped()
        for node in self.cluster.nodes.values():
            for engine_id in ENGINES:
                self._check_engine(node, engine_id)

    def _remove_dropped(self) -> None:
        for host_id, engine_id in tuple(self.permitted):
            if engine_id not in self.cluster.nodes[host_id].ownership.owned():
                del self.permitted[host_id, engine_id]

    def _check_engine(self, node: small_cluster.Node, engine_id: str) -> None:
        if node.killed or node.paused or not _may_order(node, engine_id):
            return
        now = self.cluster.clock.monotonic()
        order_seconds = node.settings.order_timeout_seconds
        for other in self.cluster.nodes.values():
            last = self.permitted.get((other.host_id, engine_id))
            if other is node or last is None:
                continue
            assert now - last > order_seconds, (
                f"{other.host_id} and {node.host_id} may both order "
                f"{engine_id} at {now}"
            )
        self.permitted[node.host_id, engine_id] = now


def _may_order(node: small_cluster.Node, engine_id: str) -> bool:
    token = node.ownership.owned().get(engine_id)
    if token is None:
        return False
    try:
        node.ownership.check_order(engine_id, token)
    except node_errors.OwnershipError:
        return False
    return True


@dataclasses.dataclass(frozen=True)
class Fault:
    """A fault on some nodes, and the seconds until the next fault."""

    kind: str
    nodes: tuple[int, ...]
    seconds: float


FAULTS = strategies.lists(
    strategies.builds(
        Fault,
        kind=strategies.sampled_from(
            (
                "pause",
                "pause_before",
                "pause_after",
                "resume",
                "cut",
                "heal",
                "lose",
                "split",
                "join",
                "kill",
            )
        ),
        nodes=strategies.lists(
            strategies.integers(0, NODES - 1), min_size=1, unique=True
        ).map(tuple),
        seconds=strategies.sampled_from((0.5, 2.0, 4.0, 7.5, 12.0, 20.0)),
    ),
    min_size=1,
    max_size=8,
)
RATES = strategies.lists(
    strategies.sampled_from((0.99, 1.0, 1.01)), min_size=NODES, max_size=NODES
)


async def apply_fault(
    cluster: small_cluster.SmallCluster, fault: Fault
) -> None:
    """Applies a fault to the cluster."""
    chosen = [cluster.nodes[f"node-{index}"] for index in fault.nodes]
    names = {node.host_id for node in chosen}
    if fault.kind == "join":
        count = len(cluster.nodes)
        if count < 2 * NODES:
            await cluster.add_node(f"node-{count}").start()
        return
    if fault.kind == "split":
        cluster.cuts = {
            (one, other)
            for one in cluster.nodes
            for other in cluster.nodes
            if (one in names) != (other in names)
        }
        return
    for node in chosen:
        if fault.kind == "pause":
            node.pause()
        elif fault.kind == "resume":
            node.resume()
        elif fault.kind in ("pause_before", "pause_after"):
            setattr(node.table, fault.kind, True)
        elif fault.kind == "cut":
            node.table.cut = True
        elif fault.kind == "lose":
            node.table.answers_lost = not node.table.answers_lost
        elif fault.kind == "kill" and not node.killed:
            await node.stop()
            del cluster.hosts.endpoints[node.host_id]
        elif fault.kind == "heal" and not node.killed:
            node.table.cut = False
            cluster.cuts = set()


async def run(faults: list[Fault], rates: list[float]) -> None:
    """Applies the faults in order and checks every step."""
    cluster = small_cluster.SmallCluster()
    for engine_id in ENGINES:
        cluster.add_engine(engine_id, checks_fencing=False)
    for index, rate in enumerate(rates):
        await cluster.add_node(f"node-{index}", rate=rate).start()
    oracle = Oracle(cluster)
    try:
        for fault in [Fault("resume", (0,), 6.0), *faults]:
            await apply_fault(cluster, fault)
            for _ in range(int(fault.seconds / STEP_SECONDS)):
                oracle.check()
                await cluster.advance(STEP_SECONDS)
        oracle.check()
    finally:
        for node in cluster.nodes.values():
            node.resume()
        await cluster.stop()


@hypothesis.settings(
    derandomize=True,
    max_examples=25,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
@hypothesis.given(faults=FAULTS, rates=RATES)
@hypothesis.example(
    # The new owner must wait not only until peer reports have expired, but
    # also for the last order that such a report permitted.
    faults=[
        Fault("cut", (0,), 20.0),
        Fault("cut", (4, 1), 20.0),
        Fault("heal", (2, 0, 4, 3), 20.0),
    ],
    rates=[1.0, 0.99, 1.0, 1.0, 0.99],
)
@hypothesis.example(
    # The majority consists of sessions that the disconnected owner does not
    # know.
    faults=[
        Fault("cut", (4, 3, 0, 1), 0.5),
        Fault("heal", (0,), 7.5),
        Fault("lose", (1,), 12.0),
        Fault("join", (3, 4), 2.0),
        Fault("join", (3, 2, 1), 4.0),
        Fault("cut", (1,), 7.5),
    ],
    rates=[1.0, 1.0, 1.01, 1.0, 0.99],
)
def test_no_two_sessions_may_order_an_engine(
    faults: list[Fault], rates: list[float]
) -> None:
    asyncio.run(run(faults, rates))
