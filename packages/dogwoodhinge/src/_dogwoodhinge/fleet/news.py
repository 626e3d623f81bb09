"""Spares nodes from following tables that the owner follows for them.

Load pattern: many nodes, each of which would ask the platform's store about
once a second for rows that change with every heartbeat of every engine, and all
at once for each change of the operator. The owner follows closely and tells,
with each exchange, the rows that matter and that the node lacks. A node asks
the store itself when it can't be told them, now and then anyway, and closely
again as soon as the owner's word is old.
"""

import collections
from collections.abc import Callable
import dataclasses
import datetime
from typing import final

# The owner's word may be this old, counted from its last answer of the store.
# With the way of a request to the store it stays below the 2 s in which an
# endpoint that leaves must be known.
MAX_AGE = datetime.timedelta(seconds=1.4)

# Rows kept for other nodes; a burst of declared versions has some dozens.
MAX_ROWS = 500

# The most that one exchange tells: at 80 nodes and 100 Mbit/s all are told
# within a twentieth of a second. Nodes read larger rows by themselves.
MAX_TOLD_BYTES = 8_000


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """A row that changed.

    Attributes:
        value: None when it was removed.
        revision: of the table, once the row is taken over.
    """

    key: str
    value: bytes | None
    revision: int


@final
@dataclasses.dataclass(frozen=True, slots=True)
class News:
    """What is known of a table.

    Attributes:
        revision: of the last change that matters.
        read_at: loop time at which the table was read last.
    """

    revision: int
    read_at: float


@final
class RowLog:
    """The last rows that mattered.

    Attributes:
        begin: every change behind this revision is in the log.
    """

    def __init__(self) -> None:
        self.begin: int | None = None
        self.rows: collections.deque[Row] = collections.deque()

    def restart(self, revision: int) -> None:
        """Forgets all rows; what comes is known from a revision on."""
        self.begin = revision
        self.rows.clear()

    def add(self, rows: list[Row]) -> None:
        """Adds rows that follow those before."""
        self.rows.extend(rows)
        while len(self.rows) > MAX_ROWS:
            self.begin = self.rows.popleft().revision

    def since(self, revision: int) -> list[Row] | None:
        """Returns later rows; None when some can't be told."""
        if self.begin is None or revision < self.begin:
            return None
        rows = [row for row in self.rows if row.revision > revision]
        size = sum(len(row.key) + len(row.value or b"") for row in rows)
        return rows if size <= MAX_TOLD_BYTES else None


@final
class TableNews:
    """The owner's word on each table, or this node's own.

    Attributes:
        own: by table, what this node's own feed has seen.
        told: by table, what the owner told.
        followed: by table, the revision up to which this node has taken over
            all that matters, by itself or as told.
        takers: by table, what takes over rows that the owner told.
    """

    def __init__(self, *, is_owner: Callable[[], bool]) -> None:
        self.is_owner = is_owner
        self.own: dict[str, News] = {}
        self.told: dict[str, News] = {}
        self.followed: dict[str, int] = {}
        self.logs: dict[str, RowLog] = {}
        self.takers: dict[str, Callable[[list[Row]], None]] = {}

    def note_own(
        self, table: str, revision: int, now: float, *, rows: list[Row] | None
    ) -> None:
        """Notes an answer of the store.

        Args:
            table: the table.
            revision: up to which it was read.
            now: loop time.
            rows: those that matter; None when they are not all there is to
                know, so that others have to read the table.
        """
        known = self.own.get(table)
        self.followed[table] = max(revision, self.followed.get(table, 0))
        log = self.logs.setdefault(table, RowLog())
        if rows is None:
            log.restart(revision)
        else:
            log.add(rows)
        if known is not None and rows == []:
            revision = known.revision
        self.own[table] = News(revision, now)

    def note_told(
        self,
        table: str,
        revision: int,
        read_at: float,
        rows: list[Row] | None,
    ) -> None:
        """Notes the owner's word, and takes over what this node lacks.

        Args:
            table: the table.
            revision: of the last change that matters.
            read_at: loop time at which the owner read the table.
            rows: all changes that this node lacks; None when the owner can't
                tell them.
        """
        self.told[table] = News(revision, read_at)
        followed = self.followed.get(table)
        if rows is None or followed is None or revision <= followed:
            return
        taker = self.takers.get(table)
        if taker is not None:
            taker(rows)
            self.logs.setdefault(table, RowLog()).add(rows)
            self.followed[table] = revision

    def covers(self, table: str, now: float) -> bool:
        """Tells whether the owner's word says that nothing is missing."""
        told = self.told.get(table)
        followed = self.followed.get(table)
        if told is None or followed is None or self.is_owner():
            return False
        fresh = now - told.read_at < MAX_AGE.total_seconds()
        return fresh and told.revision <= followed
