"""Membership and ownership of several nodes over fakes, in one process.

The services are the product's own; the table, the list of hosts, the engines
and the calls between the nodes are fakes on one manual clock.
"""

import asyncio
import dataclasses
import datetime
import random
from typing import Any, final

from _dogwoodhinge import decisions
from _dogwoodhinge import errors as node_errors
from _dogwoodhinge import settings as settings_module
from _dogwoodhinge.membership import directory
from _dogwoodhinge.membership import isolation
from _dogwoodhinge.membership import membership
from _dogwoodhinge.membership import sessions
from _dogwoodhinge.ownership import ownership
from _dogwoodhinge.ownership import recovery as recovery_module
from _dogwoodhinge.peer import client
from _dogwoodhinge.peer import peer_pb2
from dogwoodhinge import errors
from dogwoodhinge import models
from dogwoodhinge import ports
from dogwoodhinge_lab import manual_clock
from dogwoodhinge_lab import memory_table

START_STEP_SECONDS = 0.04
ZONES = ("zone-a", "zone-b", "zone-c", "zone-d")


@final
@dataclasses.dataclass(slots=True)
class DriftingClock:
    """A host's clock that runs fast (`rate` above 1) or slow.

    Attributes:
        running: cleared while the process is paused: no sleep ends then,
            though the clock itself goes on.
    """

    base: manual_clock.ManualClock
    rate: float = 1.0
    running: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    def now(self) -> datetime.datetime:
        """Returns the time of day, UTC."""
        return self.base.now()

    def monotonic(self) -> float:
        """Returns seconds as this clock counts them."""
        return self.base.monotonic() * self.rate

    async def sleep(self, delay: datetime.timedelta) -> None:
        """Returns after `delay` of this clock's seconds."""
        await self.base.sleep(delay / self.rate)
        await self.running.wait()


@final
@dataclasses.dataclass(slots=True)
class NodeTable:
    """The table as one node reaches it.

    Attributes:
        cut: nothing reaches the table.
        read_only: commits fail.
        answers_lost: commits take effect, their answers don't come back.
        delay: time until the answer of a commit comes back.
        pause_before: the process is paused at its next commit, not sent yet.
        pause_after: the process is paused at its next commit, not answered.
        bytes_written: of the rows written through it.
    """

    table: memory_table.MemoryTable
    clock: DriftingClock
    cut: bool = False
    read_only: bool = False
    delay: datetime.timedelta = datetime.timedelta()
    pause_before: bool = False
    pause_after: bool = False
    answers_lost: bool = False
    reads: int = 0
    commits: int = 0
    bytes_read: int = 0
    bytes_written: int = 0

    async def get(self, table: str, key: str) -> models.Row | None:
        """Reads one row."""
        self._reach()
        self.reads += 1
        row = await self.table.get(table, key)
        self.bytes_read += len(row.value) if row else 0
        return row

    async def scan(
        self, table: str, *, prefix: str = "", after: str = "", limit: int = 100
    ) -> tuple[models.Row, ...]:
        """Reads rows in the order of their keys."""
        self._reach()
        self.reads += 1
        rows = await self.table.scan(
            table, prefix=prefix, after=after, limit=limit
        )
        self.bytes_read += sum(len(row.value) for row in rows)
        return rows

    async def commit(self, transaction: models.Transaction) -> None:
        """Carries out a transaction."""
        if self.pause_before:
            self.pause_before = False
            await self._pause()
        self._reach()
        if self.read_only:
            raise errors.TableUnavailableError("the table is read-only")
        self.commits += 1
        self.bytes_written += sum(
            len(write.value or b"") for write in transaction.writes
        )
        await self.table.commit(transaction)
        if self.pause_after:
            self.pause_after = False
            await self._pause()
        if self.delay:
            await self.clock.sleep(self.delay)
        if self.answers_lost:
            raise errors.TableOutcomeUnknownError("the answer was lost")

    async def close(self) -> None:
        """Does nothing."""

    async def _pause(self) -> None:
        self.clock.running.clear()
        await self.clock.running.wait()

    def _reach(self) -> None:
        if self.cut:
            raise errors.TableUnavailableError("cut off from the table")


@final
@dataclasses.dataclass(slots=True)
class FakeHostList:
    """A list of hosts that tests change."""

    clock: ports.Clock
    endpoints: dict[str, models.Endpoint] = dataclasses.field(
        default_factory=dict
    )
    failing: bool = False

    async def fetch(self) -> models.HostListing:
        """Reads the list."""
        if self.failing:
            raise errors.HostListError("the list is switched off")
        return models.HostListing(
            tuple(self.endpoints.values()), self.clock.monotonic()
        )

    async def close(self) -> None:
        """Does nothing."""


@final
@dataclasses.dataclass(slots=True)
class FakeEngine:
    """An engine's control side: fence and load report.

    Attributes:
        fence: highest token seen; stays 0 when it checks none.
        running: requests in the batch.
    """

    endpoint: models.Endpoint
    fence: int = 0
    epoch: str = "1"
    residents: tuple[models.AdapterVersion, ...] = ()
    running: tuple[models.RunningRequest, ...] = ()
    age: datetime.timedelta = datetime.timedelta()
    failing: bool = False

    async def raise_fence(self, token: int) -> None:
        """Refuses lower tokens from now on."""
        self._answer()
        if token < self.fence:
            raise errors.StaleFenceError(f"fence is {self.fence}", status=409)
        self.fence = token

    async def report(self) -> models.EngineReport:
        """Returns the load report."""
        self._answer()
        return models.EngineReport(
            engine_id=self.endpoint.endpoint_id,
            epoch=self.epoch,
            age=self.age,
            residents=self.residents,
            running=self.running,
            waiting=0,
            fence=self.fence,
        )

    def _answer(self) -> None:
        if self.failing:
            raise errors.EngineUnreachableError("the engine is switched off")


@final
@dataclasses.dataclass(slots=True)
class FakeAdopter:
    """Notes what is adopted, and with which state it was dropped.

    Attributes:
        drop_event: when set, drops end only once it is.
    """

    adopted: dict[str, int] = dataclasses.field(default_factory=dict)
    recoveries: dict[str, recovery_module.Recovery] = dataclasses.field(
        default_factory=dict
    )
    state: recovery_module.OwnedState = recovery_module.OwnedState()
    drop_event: asyncio.Event | None = None

    async def adopt(
        self,
        endpoint: models.Endpoint,
        token: int,
        recovery: recovery_module.Recovery,
    ) -> None:
        """Notes an engine."""
        self.adopted[endpoint.endpoint_id] = token
        self.recoveries[endpoint.endpoint_id] = recovery

    async def drop(self, engine_id: str) -> recovery_module.OwnedState:
        """Forgets an engine."""
        self.adopted.pop(engine_id, None)
        if self.drop_event:
            await self.drop_event.wait()
        return self.state


@final
@dataclasses.dataclass(slots=True)
class FakeView:
    """A configuration view that is never fresh by itself."""

    last_fresh_at: float = float("-inf")


class Node:
    """One node's services over the fakes.

    Attributes:
        killed: its process is gone: calls to it are refused.
        grants: what it answers when asked for grants.
        min_tokens: lowest token that it accepts, by engine.
    """

    def __init__(
        self, cluster: "SmallCluster", host_id: str, zone: str, rate: float
    ) -> None:
        self.cluster = cluster
        self.host_id = host_id
        self.clock = DriftingClock(cluster.clock, rate)
        self.clock.running.set()
        self.table = NodeTable(cluster.table, self.clock)
        self.settings = settings_module.Settings(
            host_id=host_id,
            zone=zone,
            table_url="memory://table",
            object_store_url="memory://objects",
            weight_store_url="memory://weights",
            host_list_url="memory://hosts",
        )
        self.killed = False
        self.grants: list[peer_pb2.Grant] = []
        self.min_tokens: dict[str, int] = {}
        self.calls = 0
        self.bytes_sent = 0
        self.random = random.Random(host_id)
        self.decisions = decisions.DecisionLog(node=host_id, clock=self.clock)
        self.directory = directory.EndpointDirectory(
            host_list=cluster.hosts, clock=self.clock, settings=self.settings
        )
        self.membership = membership.Membership(
            table=self.table,
            directory=self.directory,
            clock=self.clock,
            settings=self.settings,
            addresses=sessions.Addresses(
                peer=host_id, caller=host_id, operator=host_id
            ),
            applied_revision=lambda: 0,
            decisions=self.decisions,
            make_session_id=lambda: f"{self.random.getrandbits(32):08x}",
        )
        peer_client: Any = FakePeerClient(self)
        self.isolation = isolation.Isolation(
            membership=self.membership,
            view=FakeView(),
            peer_client=peer_client,
            clock=self.clock,
            settings=self.settings,
            decisions=self.decisions,
        )
        self.isolation.random = self.random
        self.membership.roster.events.rng = self.random
        self.adopter = FakeAdopter()
        self.ownership = ownership.Ownership(
            table=self.table,
            membership=self.membership,
            directory=self.directory,
            isolation=self.isolation,
            peer_client=peer_client,
            clock=self.clock,
            settings=self.settings,
            decisions=self.decisions,
            adopter=self.adopter,
            open_engine_client=cluster.open_engine_client,
        )

    async def start(self) -> None:
        """Starts the services a little apart, so that no periods coincide."""
        for service in (
            self.directory,
            self.membership,
            self.isolation,
            self.ownership,
        ):
            await service.start()
            await self.cluster.advance(START_STEP_SECONDS)

    async def stop(self) -> None:
        """Ends the services as a kill would: nothing is handed over."""
        self.killed = True
        self.resume()
        self.table.cut = True
        for service in (
            self.ownership,
            self.isolation,
            self.membership,
            self.directory,
        ):
            await service.stop()

    @property
    def paused(self) -> bool:
        """The process is stopped: calls to it time out."""
        return not self.clock.running.is_set()

    def pause(self) -> None:
        """Stops the process, as SIGSTOP would."""
        self.clock.running.clear()

    def resume(self) -> None:
        """Lets the process go on."""
        self.clock.running.set()

    async def serve(self, method: str, request: Any) -> Any:
        """Answers a call."""
        if method == "ExchangeReachability":
            return await self.isolation.exchange(request)
        if method == "HandOver":
            return await self.ownership.accept_hand_over(request)
        if method == "ListGrants":
            self.min_tokens[request.engine_id] = request.token
            held = [g for g in self.grants if g.engine_id == request.engine_id]
            return peer_pb2.ListGrantsReply(grants=held)
        raise NotImplementedError(method)


class FakePeerClient:
    """Calls the other nodes of a small cluster."""

    def __init__(self, node: Node) -> None:
        self.node = node

    async def call(
        self,
        address: str,
        method: str,
        request: Any,
        *,
        timeout: datetime.timedelta = client.DEFAULT_TIMEOUT,
    ) -> Any:
        """Makes one call, unless a fault stops it."""
        cluster = self.node.cluster
        target = cluster.nodes[address]
        self.node.calls += 1
        self.node.bytes_sent += request.ByteSize()
        if target.killed:
            raise node_errors.PeerUnreachableError(
                f"{address} refuses connections"
            ) from ConnectionRefusedError()
        if target.paused or (self.node.host_id, address) in cluster.cuts:
            await self.node.clock.sleep(timeout)
            raise node_errors.PeerOutcomeUnknownError(
                f"{address} did not answer {method}"
            )
        reply = await target.serve(method, request)
        target.bytes_sent += reply.ByteSize()
        return reply


class SmallCluster:
    """Nodes and engines that share one clock, table and list of hosts.

    Attributes:
        cuts: (from, to) pairs of hosts between which calls are lost.
    """

    def __init__(self) -> None:
        self.clock = manual_clock.ManualClock()
        self.table = memory_table.MemoryTable()
        self.hosts = FakeHostList(self.clock)
        self.nodes: dict[str, Node] = {}
        self.engines: dict[str, FakeEngine] = {}
        self.cuts: set[tuple[str, str]] = set()

    def add_engine(
        self, engine_id: str, *, checks_fencing: bool, zone: str = ZONES[0]
    ) -> FakeEngine:
        """Adds an engine to the list of hosts."""
        endpoint = models.Endpoint(
            endpoint_id=engine_id,
            kind=models.EndpointKind.ENGINE,
            url=f"http://{engine_id}",
            zone=zone,
            region="region-1",
            checks_fencing=checks_fencing,
        )
        self.hosts.endpoints[engine_id] = endpoint
        self.engines[engine_id] = FakeEngine(endpoint)
        return self.engines[engine_id]

    def open_engine_client(self, endpoint: models.Endpoint) -> Any:
        """Returns the engine behind an endpoint."""
        return self.engines[endpoint.endpoint_id]

    def add_node(
        self, host_id: str, *, zone: str = ZONES[0], rate: float = 1.0
    ) -> Node:
        """Adds a node to the list of hosts, without starting it."""
        self.hosts.endpoints[host_id] = models.Endpoint(
            endpoint_id=host_id,
            kind=models.EndpointKind.NODE,
            url=f"http://{host_id}",
            zone=zone,
        )
        self.nodes[host_id] = Node(self, host_id, zone, rate)
        return self.nodes[host_id]

    async def start(self, count: int) -> None:
        """Adds and starts nodes `node-0`, `node-1` and so on."""
        for index in range(count):
            zone = ZONES[index % len(ZONES)]
            await self.add_node(f"node-{index}", zone=zone).start()

    async def advance(self, seconds: float) -> None:
        """Moves the clock."""
        await self.clock.advance(datetime.timedelta(seconds=seconds))

    async def stop(self) -> None:
        """Stops all nodes."""
        for node in self.nodes.values():
            if not node.killed:
                await node.stop()

    def cut_table(self, *host_ids: str) -> None:
        """Cuts nodes off from the table."""
        for host_id in host_ids:
            self.nodes[host_id].table.cut = True

    def owners(self) -> dict[str, set[str]]:
        """Returns which nodes hold each engine."""
        found: dict[str, set[str]] = {key: set() for key in self.engines}
        for node in self.nodes.values():
            if not node.killed:
                for engine_id in node.ownership.owned():
                    found[engine_id].add(node.host_id)
        return found
