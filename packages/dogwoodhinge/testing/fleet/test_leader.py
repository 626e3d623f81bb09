"""Tests of the leader and of the nodes that call it."""

import asyncio
from collections.abc import AsyncIterator, Callable
import dataclasses
import datetime
import random
import socket

from grpclib import server as grpc_server
import pytest

from _dogwoodhinge import clock
from _dogwoodhinge.fleet import adapter_slots as adapter_slots_lib
from _dogwoodhinge.fleet import announcements
from _dogwoodhinge.fleet import engines
from _dogwoodhinge.fleet import fleet_pb2
from _dogwoodhinge.fleet import fleet_server
from _dogwoodhinge.fleet import leader as leader_lib
from _dogwoodhinge.fleet import leader_client
from _dogwoodhinge.fleet import listing
from _dogwoodhinge.fleet import load_times
from _dogwoodhinge.fleet import loader
from _dogwoodhinge.fleet import membership
from _dogwoodhinge.fleet import models
from _dogwoodhinge.fleet import order_lease
from _dogwoodhinge.fleet import placement_queue
from _dogwoodhinge.fleet import quota_ledger
from _dogwoodhinge.fleet import revisions
from _dogwoodhinge.fleet import shared_retry_budget
from _dogwoodhinge.fleet import table_updates
from _dogwoodhinge.quarantine import quarantine
from _dogwoodhinge.quarantine import rules
from dogwoodhinge_lab import fleet_fakes
from dogwoodhinge_lab import memory_table

KEY = models.AdapterKey("base", "a1")
OTHER = models.AdapterKey("base", "a2")

ENGINE_CLASS = models.EngineClass(
    request_slots=8,
    memory_tokens=100_000,
    weights_mb=66,
    adapter_places=1,
    loads_per_second=5,
    base_models={
        "base": models.BaseModel(
            name="base", size_mb=60, load_time=datetime.timedelta(seconds=1)
        )
    },
)
CONFIGURATION = models.Configuration(
    version=1,
    routes=(),
    services={
        "llm": models.Service(
            name="llm", connection_limit=10, engine=ENGINE_CLASS
        )
    },
    limits=models.CallerLimits(
        head_bytes=1,
        body_bytes=1,
        head_timeout=datetime.timedelta(seconds=1),
        idle_timeout=datetime.timedelta(seconds=1),
    ),
)


def entry(*, model: bool = True) -> models.EngineEntry:
    """Returns an engine's entry in the endpoint list."""
    held = models.HeldModel(name="base", version=1, adapters={})
    return models.EngineEntry(
        engine_id="e1",
        service="llm",
        host="127.0.0.1",
        port=1,
        zone="z1",
        slots=8,
        leaving=False,
        born_ms=1,
        orders_accepted=0,
        models={"base": held} if model else {},
    )


@dataclasses.dataclass
class Node:
    """The fleet components of one node; its peers are reached over loopback."""

    lease: order_lease.OrderLease
    leader: leader_lib.Leader
    leader_client: leader_client.LeaderClient
    membership: membership.Membership
    directory: engines.Directory
    server: grpc_server.Server
    port: int
    begun: dict[models.AdapterKey, int]
    requests: dict[str, int]
    events: list[tuple[str, dict[str, object]]]

    async def start(self) -> None:
        """Opens the peer port and starts the services."""
        await self.server.start("127.0.0.1", self.port)
        await self.leader.start()
        await self.membership.start()

    async def stop(self) -> None:
        """Stops the node without releasing its lease, as a kill does."""
        await self.membership.stop()
        await self.leader.stop()
        await self.leader_client.close()
        self.server.close()
        await self.server.wait_closed()


def make(
    name: str,
    table: fleet_fakes.FakeLeaseTable,
    orders: fleet_fakes.FakeOrders,
    *,
    min_order_gap: float = 0.3,
) -> Node:
    """Returns a node on a free port, which is not started yet."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port = probe.getsockname()[1]
    events: list[tuple[str, dict[str, object]]] = []

    def report(event: str, fields: dict[str, object]) -> None:
        events.append((event, fields))

    address = f"127.0.0.1:{port}"
    lease = order_lease.OrderLease(
        table=table,
        node=f"{name}@127.0.0.1",
        address=address,
        min_order_gap=datetime.timedelta(seconds=min_order_gap),
        clock=order_lease.BootClock(),
        report=report,
    )
    directory = engines.Directory()
    leader = leader_lib.Leader(
        lease=lease,
        orders=orders,
        directory=directory,
        configuration=lambda: CONFIGURATION,
        shared_retry_budget=shared_retry_budget.SharedRetryBudget(
            ratio=0.2, extra=0.0, window=datetime.timedelta(seconds=10)
        ),
        report=report,
    )
    store_era = revisions.StoreEra(report=report)
    store_era.on_change.append(lease.enter_era)
    known = table_updates.TableUpdates(
        is_leader=lambda: lease.is_held_here,
        known_within=lambda: datetime.timedelta(seconds=2),
        store_era=store_era,
    )
    local = fleet_server.FleetServer(
        leader,
        table,
        known,
        announcements.Announcements(
            listing=listing.EndpointListing(directory=directory, report=report),
            report=report,
        ),
        quarantine.Quarantine(
            table=memory_table.MemoryTable(),
            policy=rules.SHARED_ENGINES,
            clock=clock.SystemClock(),
            report=lambda record, *, request_id: None,
            report_event=report,
        ),
        quota_ledger.QuotaLedger(
            configuration=lambda: CONFIGURATION,
            bounds=lambda: quota_ledger.QuotaBounds(
                window=datetime.timedelta(seconds=8)
            ),
        ),
        store_era=store_era,
    )
    client = leader_client.LeaderClient(
        node=f"{name}@127.0.0.1",
        own_address=address,
        local=local,
        directory=directory,
        address=lambda: lease.record.address if lease.record else "",
        report=report,
    )
    begun: dict[models.AdapterKey, int] = {}
    requests: dict[str, int] = {}
    usage_counter = membership.UsageCounter(
        active={},
        begun=begun,
        requests=requests,
        directory=directory,
        quotas=fleet_fakes.NoQuotas(),
    )
    member = membership.Membership(
        lease=lease,
        leader_client=client,
        usage_counter=usage_counter,
        rng=random.Random(1),
        report=report,
    )
    server = grpc_server.Server([local])
    return Node(
        lease,
        leader,
        client,
        member,
        directory,
        server,
        port,
        begun,
        requests,
        events,
    )


async def until(condition: Callable[[], object]) -> None:
    """Waits until a condition holds."""
    async with asyncio.timeout(15):
        while not condition():
            await asyncio.sleep(0.01)


@pytest.fixture
def table() -> fleet_fakes.FakeLeaseTable:
    return fleet_fakes.FakeLeaseTable()


@pytest.fixture
def orders() -> fleet_fakes.FakeOrders:
    return fleet_fakes.FakeOrders()


@pytest.fixture
async def node(
    table: fleet_fakes.FakeLeaseTable, orders: fleet_fakes.FakeOrders
) -> AsyncIterator[Node]:
    created = make("n1", table, orders)
    created.directory.update(entry(), now=0.0)
    await created.start()
    yield created
    await created.stop()


@pytest.fixture
async def other(
    table: fleet_fakes.FakeLeaseTable, orders: fleet_fakes.FakeOrders
) -> AsyncIterator[Node]:
    """A node that joins after the first one has become the leader."""
    created = make("n2", table, orders)
    created.directory.update(entry(), now=0.0)
    await until(lambda: table.record)
    await created.start()
    yield created
    await created.stop()


async def place_at_leader(node: Node) -> adapter_slots_lib.Assignment:
    """Requests a place for KEY until there is a leader.

    A process that stands still loses its right to give orders until it has
    renewed the lease; entry nodes ask again as well.
    """
    request = adapter_slots_lib.PlacementRequest(key=KEY, version=0)
    async with asyncio.timeout(15):
        while True:
            try:
                return await node.leader_client.place(request)
            except leader_lib.NotLeaderError:
                await asyncio.sleep(0.01)


async def wait_for_engine_state(node: Node) -> None:
    """Waits until the leader has read the engine's state."""
    await until(
        lambda: any(
            not line.needs_refresh
            for line in node.leader.loader.order_states.values()
        )
    )


async def test_first_node_becomes_leader_and_loads_requested_adapter(
    node: Node, orders: fleet_fakes.FakeOrders
) -> None:
    await wait_for_engine_state(node)
    assignment = await node.leader_client.place(
        adapter_slots_lib.PlacementRequest(key=KEY, version=0)
    )
    assert assignment.engine_id == "e1"
    assert orders.residents == {KEY}


async def test_failed_order_does_not_stop_the_leader(
    node: Node, orders: fleet_fakes.FakeOrders
) -> None:
    """Regression: `mode` stopped the service at the first failed order."""
    await wait_for_engine_state(node)
    orders.lose.extend([False] * loader.MAX_SEND_ATTEMPTS)
    with pytest.raises(placement_queue.NoFreeSlotError):
        await node.leader_client.place(
            adapter_slots_lib.PlacementRequest(key=KEY, version=0)
        )
    await wait_for_engine_state(node)
    assert not node.leader.should_stop
    assert await node.leader_client.place(
        adapter_slots_lib.PlacementRequest(key=KEY, version=0)
    )


async def test_failed_order_is_recorded_after_its_caller_was_cancelled(
    node: Node, orders: fleet_fakes.FakeOrders
) -> None:
    """Regression: the slot stayed reserved for a load that had failed.

    Requests were then sent to an engine without the adapter.
    """
    await wait_for_engine_state(node)
    orders.lose.extend([False] * loader.MAX_SEND_ATTEMPTS)
    place_task = asyncio.create_task(
        node.leader.place(
            adapter_slots_lib.PlacementRequest(key=KEY, version=0)
        )
    )
    await asyncio.sleep(0)
    place_task.cancel()
    await asyncio.gather(place_task, return_exceptions=True)
    await until(
        lambda: node.leader.loader.orders_failed >= loader.MAX_SEND_ATTEMPTS
    )
    await until(lambda: not node.leader.loads)
    assert KEY not in node.leader.placement.engines["e1"].adapter_slots


async def test_engine_that_leaves_during_an_order_is_not_assigned(
    node: Node, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Regression: requests for the engine waited until their call timed out."""
    await wait_for_engine_state(node)

    async def leave(
        assignment: adapter_slots_lib.Assignment, key: models.AdapterKey
    ) -> None:
        node.leader.placement.drop_engine(assignment.engine_id, 0.0)

    monkeypatch.setattr(node.leader.loader, "load", leave)
    with pytest.raises(placement_queue.NoFreeSlotError):
        await node.leader.place(
            adapter_slots_lib.PlacementRequest(key=KEY, version=0)
        )


async def test_engine_without_a_base_model_is_ordered_to_load_one(
    table: fleet_fakes.FakeLeaseTable, orders: fleet_fakes.FakeOrders
) -> None:
    node = make("n1", table, orders)
    orders.holds_model = False
    node.directory.update(entry(model=False), now=0.0)
    await node.start()
    await until(lambda: orders.sent)
    await node.stop()
    assert orders.sent[0][:2] == ("model", models.AdapterKey("base", ""))


async def test_other_nodes_call_the_leader_and_receive_its_placements(
    node: Node,
    table: fleet_fakes.FakeLeaseTable,
    orders: fleet_fakes.FakeOrders,
) -> None:
    await wait_for_engine_state(node)
    other = make("n2", table, orders)
    other.directory.update(entry(), now=0.0)
    await other.start()
    await until(lambda: other.leader_client.address())
    await place_at_leader(other)
    assert orders.residents == {KEY}
    await until(lambda: node.directory.holders("llm", KEY))
    await until(lambda: other.directory.holders("llm", KEY))
    await other.stop()


async def test_leader_grants_retries_for_reported_requests(
    node: Node, other: Node
) -> None:
    await until(
        lambda: node.leader.leading and other.leader_client.leader_may_order
    )
    await until(lambda: other.leader_client.nodes == 2)
    other.requests["app"] = 100
    await until(lambda: not other.requests)
    assert await other.leader_client.take_retry("app")
    assert not await other.leader_client.take_retry("llm")


async def test_unreachable_leader_grants_no_retry(
    node: Node, other: Node, unused_tcp_port: int
) -> None:
    other.leader_client.address = lambda: f"127.0.0.1:{unused_tcp_port}"
    assert not await other.leader_client.take_retry("app")
    assert "second_send_unasked" in [event for event, _ in other.events]


async def test_timeout_expires_after_the_connection_to_the_leader_was_lost(
    node: Node, other: Node
) -> None:
    """Regression (LOST): the request ended with a closed connection.

    The lost connection left the task of the request marked as cancelled, so its
    own timeout no longer raised TimeoutError.
    """

    async def close_soon(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await asyncio.sleep(0.1)
        writer.close()

    closing = await asyncio.start_server(close_soon, "127.0.0.1", 0)
    port = closing.sockets[0].getsockname()[1]
    other.leader_client.address = lambda: f"127.0.0.1:{port}"
    request = adapter_slots_lib.PlacementRequest(
        key=KEY, version=0, seconds_to_target=1.0, max_wait_seconds=1.0
    )

    async def wait_for_a_place() -> None:
        async with asyncio.timeout(1.0):
            with pytest.raises(leader_client.LeaderUnreachableError):
                await other.leader_client.place(request)
            await asyncio.sleep(5.0)

    async with closing:
        with pytest.raises(TimeoutError):
            await wait_for_a_place()


async def test_placement_queue_uses_measured_load_times(node: Node) -> None:
    """Regression: the estimated load time had fallen below the real one.

    Late requests were then treated as on time.
    """
    times = node.leader.placement.load_times
    for number in range(load_times.LOADS_TO_CONFIRM):
        times.record_early_request(
            float(number), expected=0.3, in_flight=0, now=number + 0.25
        )
    times.seconds = load_times.MIN_LOAD_SECONDS
    assert node.leader.placement_queue.lead_time(3.0) > 0.25
    assert node.leader.placement_queue.lead_time(60.0) < 0.25


def at(number: int, *, era: int = 0) -> revisions.Revision:
    """Returns a revision of a table."""
    return revisions.Revision(era, number)


async def test_rows_that_the_leader_reads_are_sent_to_the_others(
    node: Node,
    table: fleet_fakes.FakeLeaseTable,
    orders: fleet_fakes.FakeOrders,
) -> None:
    """Guards against one platform call per change by each of 83 nodes."""
    other = make("n2", table, orders)
    received_rows: list[table_updates.Row] = []
    known = other.leader_client.local.updates
    known.row_handlers["op"] = received_rows.extend
    await until(node.lease.may_order)
    now = asyncio.get_running_loop().time
    node.leader_client.local.updates.record_read("op", at(5), now(), rows=None)
    known.record_read("op", at(5), now(), rows=None)
    await other.start()
    rows = [
        table_updates.Row("config", b"{}", at(6)),
        table_updates.Row("gone", None, at(6)),
    ]
    node.leader_client.local.updates.record_read("op", at(6), now(), rows=rows)
    await until(lambda: received_rows)
    assert received_rows == rows
    assert known.read_cause("op", now()) is None
    await other.stop()


async def test_update_that_arrives_late_is_as_old_as_it_is(
    node: Node,
    table: fleet_fakes.FakeLeaseTable,
    orders: fleet_fakes.FakeOrders,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against nodes that trust a busy leader for longer than it says."""
    other = make("n2", table, orders)
    await wait_for_engine_state(node)
    loop = asyncio.get_running_loop()
    node.leader_client.local.updates.record_read(
        "op", at(5), loop.time(), rows=None
    )
    began_at = loop.time()

    async def call(*args: object, **options: object) -> fleet_pb2.SyncReply:
        reply = node.leader_client.local.sync(fleet_pb2.SyncRequest(node="n2"))
        monkeypatch.setattr(loop, "time", lambda: began_at + 0.35)
        return reply

    monkeypatch.setattr(other.leader_client, "_call", call)
    await other.leader_client.sync(fleet_pb2.SyncRequest())
    state = other.leader_client.local.updates.leader_states["op"]
    assert state.read_at <= began_at


HOUR = datetime.timedelta(hours=1)


@pytest.mark.parametrize("first", ["leader", "follower"])
async def test_era_that_one_node_sees_is_known_to_the_other(
    node: Node, other: Node, table: fleet_fakes.FakeLeaseTable, first: str
) -> None:
    """The other one has no reason to call the store, or can't reach it."""
    nodes = {"leader": node, "follower": other}
    # Afterwards nobody takes the lease within this test.
    node.lease.takeover_delay = other.lease.takeover_delay = HOUR
    await until(node.lease.may_order)
    await until(lambda: other.leader_client.nodes == 2)
    lines = node.events
    # The row of the copy is still that of the holder.
    for each in nodes.values():
        each.leader_client.local.store_era.observe(0, source="store")
    table.come_back_from(table.copy())
    table.down = True
    nodes[first].leader_client.local.store_era.observe(1, source="store")
    await until(
        lambda: all(
            each.leader_client.local.store_era.current == 1
            for each in nodes.values()
        )
    )
    assert not node.lease.is_held_here
    assert not other.lease.is_held_here
    lost = [fields for event, fields in lines if event == "order_lease_lost"]
    assert lost == [{"holder": "", "era": 1}]


async def test_another_node_takes_over_when_the_leader_dies(
    table: fleet_fakes.FakeLeaseTable, orders: fleet_fakes.FakeOrders
) -> None:
    first, second = make("n1", table, orders), make("n2", table, orders)
    for created in (first, second):
        created.directory.update(entry(), now=0.0)
    await first.start()
    await until(first.lease.may_order)
    await second.start()
    await until(lambda: second.leader_client.nodes == 2)
    await first.stop()
    await until(second.lease.may_order)
    await wait_for_engine_state(second)
    assert await second.leader_client.place(
        adapter_slots_lib.PlacementRequest(key=KEY, version=0)
    )
    assert second.lease.token == 2
    await second.stop()


async def test_reported_use_protects_an_adapter_from_eviction(
    node: Node, orders: fleet_fakes.FakeOrders
) -> None:
    await wait_for_engine_state(node)
    await node.leader_client.place(
        adapter_slots_lib.PlacementRequest(key=KEY, version=0)
    )
    request = fleet_pb2.SyncRequest(
        adapters=[fleet_pb2.AdapterUse(model="base", adapter="a1", active=1)]
    )
    await node.leader_client.sync(request)
    await asyncio.sleep(0.8)
    await node.leader_client.sync(request)
    with pytest.raises(placement_queue.NoFreeSlotError):
        await node.leader_client.place(
            adapter_slots_lib.PlacementRequest(key=OTHER, version=0)
        )
    assert orders.residents == {KEY}


async def test_node_that_is_not_the_leader_places_nothing(
    table: fleet_fakes.FakeLeaseTable, orders: fleet_fakes.FakeOrders
) -> None:
    node = make("n1", table, orders)
    with pytest.raises(leader_lib.NotLeaderError):
        await node.leader.place(
            adapter_slots_lib.PlacementRequest(key=KEY, version=0)
        )
    assert orders.sent == []


async def test_leaving_leader_releases_the_lease_for_good(
    node: Node, table: fleet_fakes.FakeLeaseTable
) -> None:
    await until(node.lease.may_order)
    await node.membership.leave()
    assert not node.lease.may_order()
    await asyncio.sleep(1.0)
    assert not node.lease.may_order()
    assert table.record is not None
    assert table.record.address == ""


def test_undelivered_use_is_counted_again() -> None:
    begun = {KEY: 3}
    requests = {"app": 5}
    counter = membership.UsageCounter(
        active={},
        begun=begun,
        requests=requests,
        directory=engines.Directory(),
        quotas=fleet_fakes.NoQuotas(),
    )
    request = counter.collect(0.0)
    assert (begun, requests) == ({}, {})
    begun[KEY] = 1
    requests["app"] = 2
    counter.restore(request, 0.0)
    assert (begun, requests) == ({KEY: 4}, {"app": 7})


async def test_leader_and_other_nodes_hear_of_a_leaving_engine(
    node: Node, other: Node
) -> None:
    """Regression: each node sent one request to find it out by itself."""
    await wait_for_engine_state(node)
    other.directory.engines["e1"].leaving = True  # heard in a response
    await until(lambda: node.directory.engines["e1"].leaving)
    reply = node.leader_client.local.sync(fleet_pb2.SyncRequest(node="n3"))
    assert [(e.engine_id, e.born_ms) for e in reply.leaving] == [("e1", 1)]
    with pytest.raises(placement_queue.NoFreeSlotError):
        await node.leader.place(
            adapter_slots_lib.PlacementRequest(key=KEY, version=0)
        )


async def test_old_hint_does_not_concern_the_next_start_of_an_engine(
    node: Node,
) -> None:
    node.leader_client.local.record_leaving(
        [fleet_pb2.LeavingEngine(engine_id="e1", born_ms=0)]
    )
    assert not node.directory.engines["e1"].leaving


async def test_popular_adapter_of_a_leaving_engine_is_loaded_elsewhere(
    node: Node, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Regression: the next request for it waited for the load.

    Load pattern: an engine with popular adapters leaves under load.
    """
    await wait_for_engine_state(node)
    await node.leader_client.place(
        adapter_slots_lib.PlacementRequest(key=KEY, version=0)
    )
    now = asyncio.get_running_loop().time()
    node.leader.placement.popularity.record_uses(KEY, 8.0, now)
    node.directory.update(dataclasses.replace(entry(), engine_id="e2"), now=0.0)
    await until(
        lambda: (
            len(node.leader.loader.order_states) == 2
            and not any(
                state.needs_refresh
                for state in node.leader.loader.order_states.values()
            )
        )
    )
    ordered: list[tuple[str, models.AdapterKey]] = []

    async def load(
        assignment: adapter_slots_lib.Assignment, key: models.AdapterKey
    ) -> None:
        ordered.append((assignment.engine_id, key))

    monkeypatch.setattr(node.leader.loader, "load", load)
    node.leader.placement.drop_engine("e2", now)
    node.leader.placement.set_engine(
        "e2", capacity=1, residents={}, pending={}, in_memory=(), now=now
    )
    node.directory.engines["e1"].leaving = True
    await until(lambda: ordered)
    assert ordered == [("e2", KEY)]


async def test_leader_orders_nothing_from_an_engine_that_wants_a_pause(
    node: Node, orders: fleet_fakes.FakeOrders
) -> None:
    await wait_for_engine_state(node)
    now = asyncio.get_running_loop().time()
    pause = datetime.timedelta(seconds=30)
    node.directory.engines["e1"].pause.extend(pause, now)
    with pytest.raises(placement_queue.NoFreeSlotError):
        await node.leader.place(
            adapter_slots_lib.PlacementRequest(key=KEY, version=0)
        )
    assert orders.sent == []


async def test_late_turn_for_a_prompt_keeps_the_channel_to_the_leader(
    node: Node, other: Node, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Regression: placement calls in flight were cancelled with it."""
    await wait_for_engine_state(node)
    await until(lambda: other.leader_client.nodes)
    channel = other.leader_client.channel
    assert channel is not None
    timeout = datetime.timedelta(0)
    monkeypatch.setattr(leader_client, "PACE_TIMEOUT", timeout)
    with pytest.raises(leader_client.LeaderUnreachableError):
        await other.leader_client.reserve_prefill(
            "e1", 100, tokens_per_second=1_000, longest_delay=1.0
        )
    assert other.leader_client.channel is channel


async def test_turns_for_prompts_are_given_by_the_leader(
    node: Node, other: Node
) -> None:
    await wait_for_engine_state(node)
    await until(lambda: node.leader.leading and other.leader_client.nodes)
    delays = [
        await asking.leader_client.reserve_prefill(
            "e1", 500, tokens_per_second=1_000, longest_delay=2.0
        )
        for asking in (node, other)
    ]
    assert delays[0] == 0.0
    assert 0.3 < delays[1] <= 0.5


@pytest.mark.parametrize(
    ("token", "leading_seconds", "listed_seconds", "expected"),
    [
        pytest.param(2, 1.0, 0.5, True, id="started_since"),
        pytest.param(2, 1.0, 10.0, True, id="started_shortly_before"),
        pytest.param(2, 1.0, 30.0, False, id="ran_before"),
        pytest.param(2, 30.0, 0.5, False, id="orders_are_too_old"),
        pytest.param(1, 1.0, 0.5, False, id="first_leader"),
    ],
)
async def test_new_leader_reckons_with_orders_of_the_previous_one(
    table: fleet_fakes.FakeLeaseTable,
    orders: fleet_fakes.FakeOrders,
    token: int,
    leading_seconds: float,
    listed_seconds: float,
    expected: bool,
) -> None:
    """Guards against a load that the previous leader sent to an earlier start.

    Times are the seconds since then.
    """
    node = make("n1", table, orders)
    now = asyncio.get_running_loop().time()
    node.lease.record = order_lease.Record(
        node="n1", address="127.0.0.1:1", token=token
    )
    node.leader.leading_since = now - leading_seconds
    engine = engines.Engine(entry(), listed_at=now - listed_seconds)
    found = node.leader._may_have_unknown_late_order(  # noqa: SLF001
        engine, now
    )
    assert found is expected


async def test_requests_for_an_adapter_share_the_order_in_flight(
    node: Node, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Regression: later ones were sent to the engine before its order was.

    The end of the load is known once the engine has accepted the order.
    """
    await wait_for_engine_state(node)
    accept = asyncio.Event()
    load = node.leader.loader.load

    async def load_late(
        assignment: adapter_slots_lib.Assignment, key: models.AdapterKey
    ) -> None:
        await accept.wait()
        await load(assignment, key)

    monkeypatch.setattr(node.leader.loader, "load", load_late)
    request = adapter_slots_lib.PlacementRequest(key=KEY, version=0)
    tasks = [asyncio.create_task(node.leader.place(request)) for _ in range(3)]
    done, _ = await asyncio.wait(tasks, timeout=0.1)
    assert not done
    accept.set()
    found = await asyncio.gather(*tasks)
    slot = node.leader.placement.engines["e1"].adapter_slots[KEY]
    assert {assignment.ready_at for assignment in found} == {slot.ready_at}


async def test_requests_that_share_an_order_learn_of_its_failure(
    node: Node, orders: fleet_fakes.FakeOrders
) -> None:
    await wait_for_engine_state(node)
    orders.lose.extend([False] * loader.MAX_SEND_ATTEMPTS)
    request = adapter_slots_lib.PlacementRequest(key=KEY, version=0)
    results = await asyncio.gather(
        *(node.leader.place(request) for _ in range(3)),
        return_exceptions=True,
    )
    assert {type(result) for result in results} == {
        placement_queue.NoFreeSlotError
    }


async def test_nodes_draw_credit_from_the_leader(
    node: Node, other: Node
) -> None:
    """A node asks the leader over the network, the leader asks itself."""
    quota = models.Quota(
        unit=models.QuotaUnit.REQUESTS, per_second=1_000, burst=1_000
    )
    configuration = dataclasses.replace(
        CONFIGURATION,
        organisations=(models.Organisation(name="acme", quota=quota),),
    )
    ledger = node.leader_client.local.quota_ledger
    ledger.configuration = lambda: configuration
    use = quota_ledger.QuotaUse(
        organisation="acme", asked=5, held=0, wanted=5, request=1
    )

    async def granted(member: Node) -> bool:
        try:
            grant = await member.leader_client.exchange_quota(use)
        except leader_lib.NotLeaderError:
            return False
        return grant is not None and grant.granted >= 5

    async with asyncio.timeout(10):
        for member in (node, other):
            while not await granted(member):
                await asyncio.sleep(0.05)
    unknown = dataclasses.replace(use, organisation="umbra")
    assert await other.leader_client.exchange_quota(unknown) is None


async def test_node_that_cannot_read_a_table_is_sent_its_large_rows(
    node: Node,
) -> None:
    await wait_for_engine_state(node)
    local = node.leader_client.local
    now = asyncio.get_running_loop().time()
    large = table_updates.Row(
        "config",
        b"x" * (table_updates.MAX_UPDATE_BYTES + 1),
        revisions.Revision(0, 5),
    )
    local.updates.record_read("op", revisions.Revision(0, 4), now, rows=None)
    local.updates.record_read("op", revisions.Revision(0, 5), now, rows=[large])
    known = [fleet_pb2.TableNews(table="op", revision=4)]
    replies = [
        local.sync(fleet_pb2.SyncRequest(node="n3", known=known, unread=unread))
        for unread in ([], ["op"])
    ]
    sent = [[len(row.value) for row in reply.news[0].rows] for reply in replies]
    assert sent == [[], [len(large.value or b"")]]
