"""Tests of the table updates that the leader sends to the other nodes."""

import datetime
import math

import pytest

from _dogwoodhinge.fleet import fleet_pb2
from _dogwoodhinge.fleet import fleet_server
from _dogwoodhinge.fleet import leader_client
from _dogwoodhinge.fleet import revisions
from _dogwoodhinge.fleet import table_updates

KNOWN_WITHIN = datetime.timedelta(seconds=2)
OLD = (KNOWN_WITHIN - table_updates.READ_MARGIN).total_seconds() + 0.1
TABLE = "servers"


def at(number: int, *, era: int = 0) -> revisions.Revision:
    return revisions.Revision(era, number)


def row(
    key: str, revision: int, *, size: int = 1, era: int = 0
) -> table_updates.Row:
    return table_updates.Row(key, b"x" * size, at(revision, era=era))


def make_era() -> revisions.StoreEra:
    return revisions.StoreEra(report=lambda event, fields: None)


def follower(
    *, revision: int = 5, leading: bool = False
) -> table_updates.TableUpdates:
    """Returns the table updates of a node that has read the table once."""
    known = table_updates.TableUpdates(
        is_leader=lambda: leading,
        known_within=lambda: KNOWN_WITHIN,
        store_era=make_era(),
    )
    known.record_read(TABLE, at(revision), 0.0, rows=None)
    return known


@pytest.mark.parametrize(
    ("revision", "age", "leading", "cause"),
    [
        (5, 0.2, False, None),
        (6, 0.2, False, table_updates.ReadCause.BEHIND),
        (5, OLD, False, table_updates.ReadCause.OUTDATED),
        (5, 0.2, True, table_updates.ReadCause.LEADER),
    ],
    ids=["covered", "change_missing", "update_too_old", "is_the_leader"],
)
def test_recent_update_from_the_leader_covers_a_table(
    revision: int,
    age: float,
    leading: bool,
    cause: table_updates.ReadCause | None,
) -> None:
    known = follower(leading=leading)
    known.apply_update(TABLE, at(revision), 10.0, None)
    assert known.read_cause(TABLE, 10.0 + age) is cause


@pytest.mark.parametrize(
    ("early", "age", "cause"),
    [
        (True, 0.5, None),
        (True, 1.1, table_updates.ReadCause.UNREAD),
        (False, 1.1, None),
    ],
    ids=["soon", "later", "not_asked_for"],
)
def test_table_that_the_leader_can_not_read_is_read_sooner(
    early: bool, age: float, cause: table_updates.ReadCause | None
) -> None:
    """The store may refuse the leader alone."""
    known = follower()
    known.apply_update(TABLE, at(5), 10.0, None, unread=True)
    found = known.read_cause(TABLE, 10.0 + age, reads_early=early)
    assert found is cause


def test_table_is_not_confirmed_while_changes_are_put_off() -> None:
    """Guards against nodes that trust a leader which keeps an endpoint."""
    known = follower(leading=True)
    known.record_read(TABLE, at(6), 2.0, rows=[], complete=False)
    assert known.local_states[TABLE] == table_updates.TableState(at(5), 0.0)
    assert known.confirmed_at(TABLE) == 0.0
    known.record_read(TABLE, at(7), 3.0, rows=[])
    assert known.confirmed_at(TABLE) == 3.0


def test_changes_read_while_some_are_put_off_make_other_nodes_read() -> None:
    """Guards against nodes that never learn of what their leader puts off.

    They read on from the newest revision that the leader has told them.
    """
    leading, other = follower(leading=True), follower()
    other.row_handlers[TABLE] = lambda rows: None

    def sync() -> None:
        request = fleet_pb2.SyncRequest(
            known=fleet_server.encode_known(other, 3.0)
        )
        news = fleet_server.encode_updates(leading, request, 3.0)
        leader_client.apply_updates(other, news, 3.0)

    leading.record_read(TABLE, at(7), 1.0, rows=[row("e2", 7)], complete=False)
    sync()
    assert other.applied[TABLE] == at(5)
    leading.record_read(TABLE, at(8), 2.0, rows=[])
    sync()
    assert other.applied[TABLE] == at(5)
    assert other.read_cause(TABLE, 3.0) is table_updates.ReadCause.BEHIND


def test_first_read_with_changes_put_off_tells_others_nothing() -> None:
    known = table_updates.TableUpdates(
        is_leader=lambda: True,
        known_within=lambda: KNOWN_WITHIN,
        store_era=make_era(),
    )
    known.record_read(TABLE, at(5), 1.0, rows=None, complete=False)
    assert known.local_states == {}


def test_leader_passes_on_the_last_response_to_any_node() -> None:
    """Each node tells only of its own responses, so that none gets younger."""
    leading, reader, other = follower(leading=True), follower(), follower()
    heard: list[float] = []
    other.response_handlers[TABLE] = heard.append
    leading.record_response(TABLE, 1.0)
    reader.record_response(TABLE, 4.0)
    request = fleet_pb2.SyncRequest(
        known=fleet_server.encode_known(reader, 5.0)
    )
    fleet_server.record_responses(leading, request.known, 5.0)
    assert leading.last_response(TABLE) == 4.0
    news = fleet_server.encode_updates(leading, fleet_pb2.SyncRequest(), 6.0)
    leader_client.apply_updates(other, news, 6.0)
    assert heard == [4.0]
    (own,) = fleet_server.encode_known(other, 6.0)
    assert not own.HasField("response_age_ms")


def test_table_without_an_update_from_the_leader_is_not_covered() -> None:
    cause = follower().read_cause(TABLE, 0.0)
    assert cause is table_updates.ReadCause.FIRST


def test_table_that_was_never_read_is_not_covered() -> None:
    known = table_updates.TableUpdates(
        is_leader=lambda: False,
        known_within=lambda: KNOWN_WITHIN,
        store_era=make_era(),
    )
    known.apply_update(TABLE, at(5), 10.0, [])
    assert known.read_cause(TABLE, 10.0) is table_updates.ReadCause.FIRST


def test_response_without_relevant_changes_keeps_the_revision() -> None:
    known = follower(revision=7, leading=True)
    known.record_read(TABLE, at(9), 2.0, rows=[])
    assert known.local_states[TABLE] == table_updates.TableState(at(7), 2.0)


def test_rows_from_the_leader_are_applied_once() -> None:
    """Guards against all 83 nodes reading the store at once per change."""
    known = follower()
    taken: list[table_updates.Row] = []
    known.row_handlers[TABLE] = taken.extend
    for _ in range(2):
        known.apply_update(TABLE, at(6), 10.0, [row("e1", 6)])
    assert taken == [row("e1", 6)]
    assert known.read_cause(TABLE, 10.1) is None


def test_update_older_than_own_read_is_ignored() -> None:
    known = follower(revision=9)
    taken: list[table_updates.Row] = []
    known.row_handlers[TABLE] = taken.extend
    known.apply_update(TABLE, at(6), 10.0, [row("e1", 6)])
    assert taken == []
    assert known.applied[TABLE] == at(9)


def test_node_can_pass_on_received_rows_once_it_leads() -> None:
    known = follower()
    known.row_handlers[TABLE] = lambda rows: None
    known.apply_update(TABLE, at(6), 10.0, [row("e1", 6)])
    assert known.logs[TABLE].since(at(5)) == [row("e1", 6)]


@pytest.mark.parametrize(
    ("asked", "keys"),
    [(5, ["a", "b"]), (6, ["b"]), (7, []), (4, None)],
    ids=["all", "some", "none", "before_the_log"],
)
def test_log_returns_the_rows_after_a_revision(
    asked: int, keys: list[str] | None
) -> None:
    log = table_updates.RowLog()
    log.restart(at(5))
    log.add([row("a", 6), row("b", 7)])
    rows = log.since(at(asked))
    assert (rows if rows is None else [r.key for r in rows]) == keys


def test_log_is_bounded_and_reports_dropped_rows() -> None:
    log = table_updates.RowLog()
    log.restart(at(0))
    log.add([row("a", n) for n in range(1, table_updates.MAX_ROWS + 3)])
    assert len(log.rows) == table_updates.MAX_ROWS
    assert log.since(at(1)) is None
    assert log.since(at(2)) is not None


def test_rows_above_the_size_limit_are_not_returned() -> None:
    log = table_updates.RowLog()
    log.restart(at(5))
    log.add([row("config", 6, size=table_updates.MAX_UPDATE_BYTES)])
    assert log.since(at(5)) is None


def test_change_without_a_row_makes_other_nodes_read() -> None:
    """An endpoint still missing after an outage is removed without a row."""
    known = follower(leading=True)
    known.record_read(TABLE, at(8), 1.0, rows=None)
    assert known.logs[TABLE].since(at(5)) is None
    assert known.local_states[TABLE].revision == at(8)


@pytest.mark.parametrize(
    ("within", "nodes"), [(2, 7), (3, 87), (4, 195), (4, 320)]
)
def test_nodes_of_a_large_fleet_stay_covered_between_two_syncs(
    within: int, nodes: int
) -> None:
    """Regression: at 195 nodes each one read the store about once a second.

    Load pattern: many nodes, each of which syncs less often. Right before its
    next sync, the information of a node is as old as a sync interval and the
    leader's own interval of reading the store together.
    """
    sync_interval = 0.25 * max(1.0, nodes / 40)
    leader_age = 1.1
    known = table_updates.TableUpdates(
        is_leader=lambda: False,
        known_within=lambda: datetime.timedelta(seconds=within),
        store_era=make_era(),
    )
    known.record_read(TABLE, at(5), 0.0, rows=None)
    known.apply_update(TABLE, at(5), 10.0, None)
    age = leader_age + sync_interval
    assert known.read_cause(TABLE, 10.0 + age) is None


def test_table_is_confirmed_by_own_reads_and_by_the_leader() -> None:
    known = table_updates.TableUpdates(
        is_leader=lambda: False,
        known_within=lambda: KNOWN_WITHIN,
        store_era=make_era(),
    )
    assert known.confirmed_at(TABLE) == -math.inf
    known.apply_update(TABLE, at(5), 1.0, [])
    assert known.confirmed_at(TABLE) == -math.inf
    known.record_read(TABLE, at(5), 2.0, rows=None)
    assert known.confirmed_at(TABLE) == 2.0
    known.apply_update(TABLE, at(5), 3.0, [])
    assert known.confirmed_at(TABLE) == 3.0
    known.row_handlers[TABLE] = lambda rows: None
    known.apply_update(TABLE, at(6), 4.0, None)
    assert known.confirmed_at(TABLE) == 3.0
    known.apply_update(TABLE, at(6), 5.0, [row("e1", 6)])
    assert known.confirmed_at(TABLE) == 5.0


def test_large_rows_are_sent_to_nodes_that_cannot_read_the_store() -> None:
    """A node that the store turned away kept keys that were withdrawn."""
    log = table_updates.RowLog()
    log.restart(at(4))
    large = row("config", 5, size=table_updates.MAX_UPDATE_BYTES + 1)
    log.add([large])
    assert log.since(at(4)) is None
    assert log.since(at(4), max_bytes=table_updates.MAX_UNREAD_BYTES) == [large]
    huge = row("config", 6, size=table_updates.MAX_UNREAD_BYTES + 1)
    log.add([huge])
    assert log.since(at(4), max_bytes=table_updates.MAX_UNREAD_BYTES) is None


def leader_of_era(
    era: int, lines: list[tuple[str, object]] | None = None
) -> table_updates.TableUpdates:
    """Returns the updates of a node that has read the table in an era."""
    kept = [] if lines is None else lines
    known = follower()
    known.store_era = revisions.StoreEra(
        report=lambda event, fields: kept.append((event, fields.get("source")))
    )
    known.store_era.observe(era, source="store")
    known.record_read(TABLE, at(5, era=era), 0.0, rows=None)
    return known


def test_table_is_read_again_in_a_new_era() -> None:
    known = leader_of_era(1)
    known.apply_update(TABLE, at(5, era=1), 10.0, [])
    assert known.read_cause(TABLE, 10.1) is None
    known.store_era.observe(2, source="store")
    assert known.read_cause(TABLE, 10.1) is table_updates.ReadCause.ERA
    known.record_read(TABLE, at(3, era=2), 10.2, rows=None)
    assert known.applied[TABLE] == at(3, era=2)
    known.apply_update(TABLE, at(3, era=2), 10.3, [])
    assert known.read_cause(TABLE, 10.3) is None


def test_new_era_is_learned_from_an_update_of_the_leader() -> None:
    """Its rows are not applied to what was read in the earlier era."""
    known = leader_of_era(1)
    taken: list[table_updates.Row] = []
    known.row_handlers[TABLE] = taken.extend
    known.apply_update(TABLE, at(9, era=2), 10.0, [row("e1", 9, era=2)])
    assert known.store_era.current == 2
    assert taken == []
    assert known.read_cause(TABLE, 10.1) is table_updates.ReadCause.ERA


def test_update_of_an_earlier_era_is_refused_with_a_log_line() -> None:
    lines: list[tuple[str, object]] = []
    known = leader_of_era(2, lines)
    taken: list[table_updates.Row] = []
    known.row_handlers[TABLE] = taken.extend
    known.apply_update(TABLE, at(9, era=1), 10.0, [row("e1", 9, era=1)])
    assert taken == []
    assert TABLE not in known.leader_states
    assert lines == [("earlier_era_refused", "table_update")]


def test_leader_that_is_behind_covers_no_table() -> None:
    known = leader_of_era(1)
    known.apply_update(TABLE, at(5, era=1), 10.0, [])
    known.store_era.observe(2, source="store")
    known.record_read(TABLE, at(5, era=2), 10.0, rows=None)
    cause = known.read_cause(TABLE, 10.1)
    assert cause is table_updates.ReadCause.OUTDATED


def test_rows_of_an_earlier_era_are_not_passed_on() -> None:
    known = leader_of_era(1)
    known.record_read(TABLE, at(6, era=1), 1.0, rows=[row("e1", 6, era=1)])
    known.record_read(TABLE, at(6, era=2), 2.0, rows=[row("e2", 6, era=2)])
    assert known.logs[TABLE].since(at(5, era=1)) is None
    assert known.logs[TABLE].since(at(5, era=2)) is None
    assert known.logs[TABLE].since(at(6, era=2)) == []


def test_pages_of_several_moments_are_complete_from_the_last_one_on() -> None:
    """Regression: a change that a later page contained was not passed on."""
    known = follower(revision=5)
    known.record_read(TABLE, at(6), 11.0, rows=None, latest=at(9))
    known.record_read(TABLE, at(10), 12.0, rows=[])
    assert known.logs[TABLE].since(at(8)) is None
    assert known.logs[TABLE].since(at(9)) == []
    assert known.local_states[TABLE].revision == at(9)


def test_answer_that_the_leaders_updates_overtook_is_recognized() -> None:
    known = follower(revision=5)
    known.row_handlers[TABLE] = lambda rows: None
    known.apply_update(TABLE, at(7), 10.0, [row("e1", 7)])
    assert known.is_overtaken(TABLE, at(6))
    assert not known.is_overtaken(TABLE, at(7))
    assert not known.is_overtaken(TABLE, at(6, era=1))


def test_new_leader_tells_of_changes_that_the_one_before_sent() -> None:
    """Regression: it told of none, as its own polls showed no change."""
    known = follower(revision=5, leading=True)
    known.row_handlers[TABLE] = lambda rows: None
    known.apply_update(TABLE, at(7), 10.0, [row("e1", 7)])
    known.record_read(TABLE, at(9), 11.0, rows=[])
    assert known.local_states[TABLE] == table_updates.TableState(at(7), 11.0)
