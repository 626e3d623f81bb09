"""Tests of access to the order lease's row through peers."""

import asyncio
import dataclasses
import datetime
import socket

from grpclib import server as grpc_server
import pytest

from _dogwoodhinge.fleet import fleet_grpc
from _dogwoodhinge.fleet import fleet_pb2
from _dogwoodhinge.fleet import lease_relay
from _dogwoodhinge.fleet import order_lease
from _dogwoodhinge.fleet import revisions
from dogwoodhinge import errors

RECORD = order_lease.Record(node="n1", address="n1:1", token=4)
FIRST = revisions.Revision(0, 0)


def at(number: int, *, era: int = 0) -> revisions.Revision:
    """Returns a revision."""
    return revisions.Revision(era, number)


@dataclasses.dataclass
class FakeTable:
    """A table that raises `error`, if set, or else serves the row."""

    error: errors.TableError | None = None
    record: order_lease.Record | None = None
    revision: int = 0
    era: int = 0
    calls: int = 0

    async def read(self) -> order_lease.Row:
        """Reads the row."""
        self.calls += 1
        if self.error is not None:
            raise self.error
        return order_lease.Row(
            self.record, revisions.Revision(self.era, self.revision)
        )

    async def write(
        self, record: order_lease.Record, *, revision: revisions.Revision
    ) -> revisions.Revision:
        """Writes the row."""
        self.calls += 1
        if self.error is not None:
            raise self.error
        if revision.number != self.revision:
            raise errors.TableConflictError("changed")
        self.record, self.revision = record, revision.number + 1
        return revisions.Revision(self.era, self.revision)


def make_era(
    lines: list[tuple[str, dict[str, object]]] | None = None,
) -> revisions.StoreEra:
    """Returns a node's knowledge of the era, and the lines that it logs."""
    kept = [] if lines is None else lines
    return revisions.StoreEra(
        report=lambda event, fields: kept.append((event, fields))
    )


class Peer(fleet_grpc.FleetBase):
    """A peer that only relays lease calls."""

    def __init__(self, table: FakeTable) -> None:
        self.table = table
        self.store_era = make_era()

    async def RelayLease(self, stream: grpc_server.Stream) -> None:  # noqa: N802
        """Relays one call."""
        call = await stream.recv_message()
        await stream.send_message(
            await lease_relay.handle_call(
                self.table, call, store_era=self.store_era
            )
        )

    async def Place(self, stream: grpc_server.Stream) -> None:  # noqa: N802
        """Not called in these tests."""

    async def Sync(self, stream: grpc_server.Stream) -> None:  # noqa: N802
        """Not called in these tests."""

    async def TakeSecondSend(  # noqa: N802
        self, stream: grpc_server.Stream
    ) -> None:
        """Not called in these tests."""

    async def TakeQuota(  # noqa: N802
        self, stream: grpc_server.Stream
    ) -> None:
        """Not called in these tests."""

    async def Pace(  # noqa: N802
        self, stream: grpc_server.Stream
    ) -> None:
        """Not called in these tests."""


@dataclasses.dataclass
class Bench:
    """A node that can't reach the table, and a peer that can."""

    direct: FakeTable
    peer_table: FakeTable
    relayed: lease_relay.RelayedLeaseTable
    server: grpc_server.Server
    peer: Peer


@pytest.fixture
async def bench(monkeypatch: pytest.MonkeyPatch):  # noqa: ANN201
    # These tests are about what is made of a reply, not about how long one is
    # waited for: a test process that stands still gets it late.
    monkeypatch.setattr(
        lease_relay, "RELAY_TIMEOUT", datetime.timedelta(seconds=10)
    )
    peer_table = FakeTable()
    peer = Peer(peer_table)
    server = grpc_server.Server([peer])
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port = probe.getsockname()[1]
    await server.start("127.0.0.1", port)
    direct = FakeTable(errors.TableUnavailableError("cut off"))
    relayed = lease_relay.RelayedLeaseTable(
        direct=direct,
        peers=lambda: (f"127.0.0.1:{port}",),
        store_era=make_era(),
        report=lambda event, fields: None,
    )
    yield Bench(direct, peer_table, relayed, server, peer)
    server.close()
    await server.wait_closed()


async def test_peer_writes_for_a_node_that_cannot_reach_the_table(
    bench: Bench,
) -> None:
    assert await bench.relayed.write(RECORD, revision=FIRST) == at(1)
    assert bench.peer_table.record == RECORD
    assert await bench.relayed.read() == order_lease.Row(RECORD, at(1))


async def test_missing_row_is_read_as_none(bench: Bench) -> None:
    assert await bench.relayed.read() == order_lease.Row(None, FIRST)


async def test_conflict_at_a_peer_raises_a_conflict(bench: Bench) -> None:
    bench.peer_table.revision = 9
    with pytest.raises(errors.TableConflictError):
        await bench.relayed.write(RECORD, revision=FIRST)


async def test_write_with_unknown_outcome_is_not_relayed(
    bench: Bench,
) -> None:
    """The write may still take effect, so the row has to be read back first."""
    bench.direct.error = errors.TableOutcomeUnknownError("no answer")
    with pytest.raises(errors.TableOutcomeUnknownError):
        await bench.relayed.write(RECORD, revision=FIRST)
    assert bench.peer_table.calls == 0


async def test_peer_that_cannot_reach_the_table_raises_unavailable(
    bench: Bench,
) -> None:
    bench.peer_table.error = errors.TableUnavailableError("down")
    with pytest.raises(errors.TableUnavailableError):
        await bench.relayed.write(RECORD, revision=FIRST)


async def test_call_to_a_peer_that_does_not_answer_says_that_it_timed_out(
    bench: Bench, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(
        lease_relay, "RELAY_TIMEOUT", datetime.timedelta(milliseconds=50)
    )
    with socket.socket() as silent:
        silent.bind(("127.0.0.1", 0))
        silent.listen()
        bench.relayed.peers = lambda: (f"127.0.0.1:{silent.getsockname()[1]}",)
        with pytest.raises(errors.TableUnavailableError, match="timed out"):
            await bench.relayed.read()


async def test_write_through_unresponsive_peer_has_unknown_outcome(
    bench: Bench,
) -> None:
    bench.server.close()
    await bench.server.wait_closed()
    with pytest.raises(errors.TableOutcomeUnknownError):
        await bench.relayed.write(RECORD, revision=FIRST)
    with pytest.raises(errors.TableUnavailableError):
        await bench.relayed.read()


async def test_own_connection_is_not_tried_right_after_a_failure(
    bench: Bench,
) -> None:
    await bench.relayed.read()
    await bench.relayed.read()
    assert bench.direct.calls == 1


async def test_own_connection_is_used_while_it_works(bench: Bench) -> None:
    bench.direct.error = None
    await bench.relayed.write(RECORD, revision=FIRST)
    assert bench.direct.record == RECORD
    assert bench.peer_table.calls == 0


async def test_read_for_a_peer_without_the_table_is_unavailable() -> None:
    table = FakeTable(errors.TableUnavailableError("down"))
    answer = await lease_relay.handle_call(
        table, fleet_pb2.LeaseCall(), store_era=make_era()
    )
    assert answer.outcome == lease_relay.Outcome.UNAVAILABLE


async def test_timeout_around_a_call_to_a_peer_that_closes_expires(
    bench: Bench,
) -> None:
    """Regression: the call left the task of its caller marked as cancelled."""

    async def close_soon(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await asyncio.sleep(0.1)
        writer.close()

    async def read_and_wait() -> None:
        async with asyncio.timeout(0.5):
            with pytest.raises(errors.TableUnavailableError):
                await bench.relayed.read()
            await asyncio.sleep(5.0)

    async with await asyncio.start_server(close_soon, "127.0.0.1", 0) as peer:
        port = peer.sockets[0].getsockname()[1]
        bench.relayed.peers = lambda: (f"127.0.0.1:{port}",)
        with pytest.raises(TimeoutError):
            await asyncio.create_task(read_and_wait())


async def test_write_on_a_condition_of_an_earlier_era_is_refused(
    bench: Bench,
) -> None:
    """Its number may fit by chance, as revisions are given out again."""
    lines: list[tuple[str, dict[str, object]]] = []
    bench.peer.store_era = make_era(lines)
    bench.peer.store_era.observe(2, source="store")
    bench.peer_table.era = 2
    with pytest.raises(errors.TableConflictError):
        await bench.relayed.write(RECORD, revision=at(0, era=1))
    assert bench.peer_table.calls == 0
    assert [event for event, _ in lines] == ["earlier_era_refused"]
    assert bench.relayed.store_era.current == 2


async def test_peer_learns_of_an_era_from_a_lease_call(bench: Bench) -> None:
    bench.peer.store_era.observe(1, source="store")
    bench.relayed.store_era.observe(2, source="store")
    bench.peer_table.era = 2
    await bench.relayed.read()
    assert bench.peer.store_era.current == 2


async def test_row_that_a_peer_read_in_an_earlier_era_is_refused(
    bench: Bench,
) -> None:
    bench.relayed.store_era.observe(2, source="store")
    bench.peer_table.record, bench.peer_table.era = RECORD, 1
    with pytest.raises(errors.TableUnavailableError, match="earlier era"):
        await bench.relayed.read()


async def test_row_and_revision_carry_their_eras_through_a_peer(
    bench: Bench,
) -> None:
    bench.peer_table.era = 3
    record = RECORD.model_copy(update={"era": 3})
    assert await bench.relayed.write(record, revision=at(0, era=3)) == at(
        1, era=3
    )
    assert await bench.relayed.read() == order_lease.Row(record, at(1, era=3))


async def test_write_that_a_peer_makes_in_a_new_era_grants_nothing(
    bench: Bench,
) -> None:
    """The era began between the peer's call and the write."""
    bench.peer_table.era = 2
    with pytest.raises(errors.TableOutcomeUnknownError, match="era 2"):
        await bench.relayed.write(RECORD, revision=at(0, era=1))
    assert bench.relayed.store_era.current == 2
