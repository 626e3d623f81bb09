"""Spares nodes from following tables that the owner follows for them.

Load pattern: many nodes, each of which would ask the platform's store about
once a second for rows that change with every heartbeat of every engine. The
owner follows closely and tells, with each exchange, the revision of the last
change that matters. A node asks the store itself when it lacks that change,
now and then anyway, and closely again as soon as the owner's word is old.
"""

from collections.abc import Callable
import dataclasses
import datetime
from typing import final

# The owner's word may be this old, counted from its last answer of the store.
# With the way of a request to the store it stays below the 2 s in which an
# endpoint that leaves must be known.
MAX_AGE = datetime.timedelta(seconds=1.4)


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
class TableNews:
    """The owner's word on each table, or this node's own.

    Attributes:
        own: by table, what this node's own feed has seen.
        told: by table, what the owner told.
    """

    def __init__(self, *, is_owner: Callable[[], bool]) -> None:
        self.is_owner = is_owner
        self.own: dict[str, News] = {}
        self.told: dict[str, News] = {}

    def note_own(self, table: str, revision: int | None, now: float) -> None:
        """Notes an answer of the store; None: nothing new that matters."""
        known = self.own.get(table)
        if revision is None:
            revision = known.revision if known else 0
        self.own[table] = News(revision, now)

    def note_told(self, table: str, revision: int, read_at: float) -> None:
        """Notes the owner's word."""
        self.told[table] = News(revision, read_at)

    def covers(self, table: str, after: int, now: float) -> bool:
        """Tells whether the owner's word says that nothing is missing.

        Args:
            table: the table.
            after: the revision up to which this node has followed it.
            now: loop time.
        """
        told = self.told.get(table)
        if told is None or self.is_owner():
            return False
        fresh = now - told.read_at < MAX_AGE.total_seconds()
        return fresh and told.revision <= after
