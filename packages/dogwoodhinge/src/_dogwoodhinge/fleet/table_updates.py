"""Table updates that the leader passes on, so that nodes poll the store less.

Load pattern: many nodes, each of which would poll the platform's store about
once a second for rows that change with every heartbeat of every engine, and all
at the same time after each change by the operator. The leader polls the tables
frequently and sends each node, with every sync, the relevant rows that the node
lacks. A node reads the store itself when the leader can't send these rows, from
time to time in any case, and frequently again once the leader's information is
older than `max_age`. That age follows from the time within which the deployment
wants changes known: with hundreds of nodes, which sync less often each, a
shorter one would make all of them read the store all the time.

Load pattern: the store refuses the leader and serves all others. Nodes then
read the list of endpoints themselves sooner. What the leader puts off, since it
may have missed an outage, it does not count as read, so that the others decide
for themselves.

Revisions of different eras of the store are not compared: a node reads each
table itself once in each era, and passes on and applies only updates of the
era in which it has read the table.
"""

import collections
from collections.abc import Callable
import dataclasses
import datetime
import enum
import math
from typing import final

from _dogwoodhinge.fleet import revisions

# Time for a node's own read of the store, retries included, once the leader's
# information is too old.
READ_MARGIN = datetime.timedelta(milliseconds=600)

# Age of the leader's information from which nodes read a table themselves while
# the leader can't. An outage of the store in which entries of endpoints lapse
# is longer, so that each node has noticed it itself.
LEADER_UNREAD_AGE = datetime.timedelta(seconds=1)

# Rows kept for other nodes; a burst of declared versions has several dozen.
MAX_ROWS = 500

# Maximum size of the rows in one sync: at 80 nodes and 100 Mbit/s all nodes
# have them within 50 ms. Nodes read larger updates from the store.
MAX_UPDATE_BYTES = 8_000

# The same for a node that can't read the store; there are few of them.
MAX_UNREAD_BYTES = 1_000_000


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """A changed row.

    Attributes:
        value: the new value; None if the row was removed.
        revision: revision of the table that includes the change.
    """

    key: str
    value: bytes | None
    revision: revisions.Revision


@final
@dataclasses.dataclass(frozen=True, slots=True)
class TableState:
    """How recently a table was read, and up to which change.

    Attributes:
        revision: revision of the last relevant change.
        read_at: loop time up to which no relevant change is missing.
        unread: whether the last attempt to read the table has failed.
    """

    revision: revisions.Revision
    read_at: float
    unread: bool = False


class ReadCause(enum.StrEnum):
    """Why a node reads a table itself."""

    LEADER = "leader"
    FIRST = "first"
    OUTDATED = "outdated"  # the leader's information is too old
    UNREAD = "unread"  # the leader can't read the table
    BEHIND = "behind"  # the leader could not send all rows
    INTERVAL = "interval"  # from time to time, in any case
    DUE = "due"  # an endpoint that is missing may be removed
    ERA = "era"  # the store has come back from an older copy


@final
class RowLog:
    """A bounded log of the last relevant row changes of a table.

    Attributes:
        begin: the log contains every change after this revision; None before
            the first restart.
    """

    def __init__(self) -> None:
        self.begin: revisions.Revision | None = None
        self.rows: collections.deque[Row] = collections.deque()

    def restart(self, revision: revisions.Revision) -> None:
        """Clears the log; it is complete from `revision` on."""
        self.begin = revision
        self.rows.clear()

    def add(self, rows: list[Row]) -> None:
        """Appends rows, newer than those already in the log."""
        self.rows.extend(rows)
        while len(self.rows) > MAX_ROWS:
            self.begin = self.rows.popleft().revision

    def since(
        self,
        revision: revisions.Revision,
        *,
        max_bytes: int = MAX_UPDATE_BYTES,
    ) -> list[Row] | None:
        """Returns the rows after `revision`.

        Returns None if some are no longer in the log, if they are larger than
        `max_bytes`, or if the log is of another era.
        """
        if (
            self.begin is None
            or self.begin.era != revision.era
            or self.begin.is_after(revision)
        ):
            return None
        rows = [row for row in self.rows if row.revision.is_after(revision)]
        size = sum(len(row.key) + len(row.value or b"") for row in rows)
        return rows if size <= max_bytes else None


@final
class TableUpdates:
    """The state of each table, as read by this node and as sent by the leader.

    Attributes:
        local_states: by table, the state from this node's own reads.
        leader_states: by table, the state that the leader sent.
        applied: by table, the revision up to which this node has applied all
            relevant changes, from its own reads or from the leader.
        unread: tables that this node could not read at its last attempt.
        incomplete: tables of which this node has put off changes since it last
            told other nodes.
        confirmations: by table, the loop time at which it last missed none.
        row_handlers: by table, the callback that applies rows sent by the
            leader.
        responses: by table, the loop time of the store's last response to this
            node.
        peer_responses: by table, that of its last known response to any other
            node.
        response_handlers: by table, the callback that is called with the loop
            time of a response to another node.
        known_within: returns the time within which changes must be known.
    """

    def __init__(
        self,
        *,
        is_leader: Callable[[], bool],
        known_within: Callable[[], datetime.timedelta],
        store_era: revisions.StoreEra,
    ) -> None:
        self.store_era = store_era
        self.is_leader = is_leader
        self.known_within = known_within
        self.local_states: dict[str, TableState] = {}
        self.leader_states: dict[str, TableState] = {}
        self.unread: set[str] = set()
        self.incomplete: set[str] = set()
        self.confirmations: dict[str, float] = {}
        self.applied: dict[str, revisions.Revision] = {}
        self.logs: dict[str, RowLog] = {}
        self.row_handlers: dict[str, Callable[[list[Row]], None]] = {}
        self.responses: dict[str, float] = {}
        self.peer_responses: dict[str, float] = {}
        self.response_handlers: dict[str, Callable[[float], None]] = {}

    def record_response(self, table: str, at: float) -> None:
        """Records the loop time of a response of the store to this node."""
        self.responses[table] = at

    def record_peer_response(self, table: str, at: float) -> None:
        """Records the loop time of a response of the store to another node."""
        known = self.peer_responses.get(table, -math.inf)
        self.peer_responses[table] = max(at, known)
        handle = self.response_handlers.get(table)
        if handle is not None:
            handle(at)

    def last_response(self, table: str) -> float:
        """Returns the loop time of the last known response to any node.

        Minus infinity if none is known.
        """
        return max(
            self.responses.get(table, -math.inf),
            self.peer_responses.get(table, -math.inf),
        )

    def record_read(
        self,
        table: str,
        revision: revisions.Revision,
        read_at: float,
        *,
        rows: list[Row] | None,
        latest: revisions.Revision | None = None,
        complete: bool = True,
    ) -> None:
        """Records what this node has read of a table.

        Args:
            table: name of the table.
            revision: revision up to which it was read.
            read_at: loop time no later than the moment that the response
                describes.
            rows: the relevant changed rows; None if they do not describe every
                relevant change, so that other nodes have to read the table.
            latest: revision of the newest of several responses that `revision`
                stands for, if they are of different moments. A change between
                the two may have been seen already, and then shows no change in
                a later response.
            complete: whether all changes have been applied. While some are
                put off, other nodes are told of none that are read, and then
                have to read the table.
        """
        latest = latest or revision
        self.unread.discard(table)
        known = self.local_states.get(table)
        applied = self.applied.get(table)
        is_new_era = applied is None or applied.era != revision.era
        if applied is None or is_new_era or revision.is_after(applied):
            self.applied[table] = revision
        log = self.logs.setdefault(table, RowLog())
        if not complete:
            self.incomplete.add(table)
            return
        if table in self.incomplete:
            self.incomplete.remove(table)
            rows = None
        changed_at = latest
        if rows is None or is_new_era:
            log.restart(latest)
        else:
            log.add(rows)
        if known is not None and rows == [] and not is_new_era:
            changed_at = known.revision
        self.local_states[table] = TableState(changed_at, read_at)
        self._confirm(table, read_at)

    def is_overtaken(self, table: str, revision: revisions.Revision) -> bool:
        """Returns whether a table was applied up to a later revision.

        The leader's updates may arrive while the store answers this node.
        """
        applied = self.applied.get(table)
        return (
            applied is not None
            and applied.era == revision.era
            and applied.is_after(revision)
        )

    def apply_update(
        self,
        table: str,
        revision: revisions.Revision,
        read_at: float,
        rows: list[Row] | None,
        *,
        unread: bool = False,
        responded_at: float | None = None,
    ) -> None:
        """Records an update from the leader and applies the rows it contains.

        Args:
            table: name of the table.
            revision: revision of the last relevant change.
            read_at: loop time up to which the leader missed no change.
            rows: all relevant changes that this node lacks; None if the
                leader can't send them.
            unread: whether the leader's last attempt to read it has failed.
            responded_at: loop time of the store's last response to any node
                that the leader knows of; None if that is `read_at`.
        """
        if not self.store_era.observe_peer(revision.era, source="table_update"):
            return
        self.leader_states[table] = TableState(revision, read_at, unread)
        self.record_peer_response(
            table, read_at if responded_at is None else responded_at
        )
        applied = self.applied.get(table)
        if applied is None or applied.era != revision.era:
            return
        if not revision.is_after(applied):
            self._confirm(table, read_at)
            return
        if rows is None:
            return
        apply_rows = self.row_handlers.get(table)
        if apply_rows is not None:
            apply_rows(rows)
            self.logs.setdefault(table, RowLog()).add(rows)
            self.applied[table] = revision
            self._confirm(table, read_at)
            self._record_change(table, revision)

    def _record_change(self, table: str, revision: revisions.Revision) -> None:
        """Records a relevant change that the leader has sent.

        A poll does not count it once more, so that this node would later, as
        the leader, tell others that there was none.
        """
        known = self.local_states.get(table)
        if known is None or known.revision.era != revision.era:
            return
        if revision.is_after(known.revision):
            self.local_states[table] = TableState(revision, known.read_at)

    @property
    def max_age(self) -> datetime.timedelta:
        """Maximum age of the leader's information.

        It counts from the last response of the store to the leader.
        """
        return self.known_within() - READ_MARGIN

    def seconds_covered(self, table: str, now: float) -> float:
        """Returns for how long the leader's information is recent enough."""
        state = self.leader_states.get(table)
        if state is None:
            return 0.0
        return max(0.0, state.read_at + self.max_age.total_seconds() - now)

    def confirmed_at(self, table: str) -> float:
        """Returns the loop time at which this node last missed no change.

        Minus infinity if it has not read the table yet.
        """
        return self.confirmations.get(table, -math.inf)

    def _confirm(self, table: str, at: float) -> None:
        self.confirmations[table] = max(at, self.confirmed_at(table))

    def read_cause(
        self, table: str, now: float, *, reads_early: bool = False
    ) -> ReadCause | None:
        """Returns why this node has to read a table itself.

        Args:
            table: name of the table.
            now: loop time.
            reads_early: whether to read it soon when the leader can't.

        Returns:
            None if a recent update shows that no change is missing.
        """
        state = self.leader_states.get(table)
        applied = self.applied.get(table)
        if self.is_leader():
            return ReadCause.LEADER
        if state is None or applied is None:
            return ReadCause.FIRST
        if self.store_era.current not in (None, applied.era):
            return ReadCause.ERA
        if state.revision.era != applied.era:
            return ReadCause.OUTDATED
        age = now - state.read_at
        if age >= self.max_age.total_seconds():
            return ReadCause.OUTDATED
        is_early = reads_early and state.unread
        if is_early and age >= LEADER_UNREAD_AGE.total_seconds():
            return ReadCause.UNREAD
        is_behind = state.revision.is_after(applied)
        return ReadCause.BEHIND if is_behind else None
