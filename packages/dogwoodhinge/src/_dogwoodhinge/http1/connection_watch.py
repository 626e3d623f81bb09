"""Watches the connections of callers that fall behind, and gives them up.

Load pattern: callers that send more than is read, or that do not read their
responses. The event loop reports nothing about a connection that is not read,
so its end is polled for.
"""

import asyncio
import collections
import datetime
import select
from typing import final

from _dogwoodhinge import event_log
from _dogwoodhinge.http1 import connection as connection_lib
from _dogwoodhinge.http1 import memory_budget

# Well under the time within which the work for a caller that has left ends.
WATCH_INTERVAL = datetime.timedelta(milliseconds=100)

# After a decision that found nothing to give up, the next one comes later.
FRUITLESS_DELAY = datetime.timedelta(milliseconds=50)

# A caller may take this long to read a complete response.
DEFAULT_UNREAD_TIMEOUT = datetime.timedelta(seconds=30)

# Used where the settings name no limit.
DEFAULT_MAX_CONNECTIONS = 2_000

# The peer has closed its side; Linux reports it also while data is unread.
PEER_CLOSED = getattr(select, "POLLRDHUP", 0)


@final
class ConnectionWatch:
    """The connections of a server's callers, and their bounds.

    Attributes:
        memory: what the process holds for its peers.
        max_connections: how many callers may be connected.
        unread_timeout: how long a complete response may stay unread.
        open: connections that have not ended, by what is held for them.
        behind: those that are not read, or whose responses are not sent.
        given_up: number of connections given up, by reason.
    """

    def __init__(
        self,
        *,
        memory: memory_budget.MemoryBudget,
        max_connections: int,
        unread_timeout: datetime.timedelta,
        report: event_log.EventReporter,
    ) -> None:
        self.memory = memory
        self.max_connections = max_connections
        self.unread_timeout = unread_timeout
        self.report = report
        self.open: dict[memory_budget.Holding, connection_lib.Connection] = {}
        self.behind: set[connection_lib.Connection] = set()
        self.given_up: collections.Counter[str] = collections.Counter()
        self._timer: asyncio.TimerHandle | None = None
        self._relieve_from = 0.0

    def admit(self, connection: connection_lib.Connection) -> bool:
        """Takes a new connection, for which another one may be closed.

        Returns:
            False if there is no room; the connection is then dropped.
        """
        if len(self.open) >= self.max_connections and not self._make_room():
            self.given_up["not_accepted"] += 1
            self.report(
                "connection_not_accepted", {"connections": len(self.open)}
            )
            connection.abort()
            return False
        self.open[connection.holding] = connection
        return True

    def _make_room(self) -> bool:
        holding = self.memory.choose_connection(self.open)
        if holding is None:
            return False
        self.given_up["replaced"] += 1
        self.report(
            "connection_replaced",
            {
                "connections": len(self.open),
                "stage": holding.stage.name.lower(),
            },
        )
        connection = self.open.pop(holding)
        if holding.stage is memory_budget.Stage.IDLE:
            connection.close()
        else:
            connection.abort()
        return True

    def watch(self, connection: connection_lib.Connection) -> None:
        """See `connection.Owner`."""
        self.behind.add(connection)
        if self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(
                WATCH_INTERVAL.total_seconds(), self._check
            )

    def connection_ended(self, connection: connection_lib.Connection) -> None:
        """See `connection.Owner`."""
        self.open.pop(connection.holding, None)
        self.behind.discard(connection)

    def relieve(self) -> None:
        """See `connection.Owner`."""
        now = asyncio.get_running_loop().time()
        if now < self._relieve_from:
            return
        held = self.memory.held_bytes
        counts: collections.Counter[str] = collections.Counter()
        for holding in self.memory.choose(self.open):
            counts[self._give_up(self.open[holding])] += 1
        if not counts:
            self._relieve_from = now + FRUITLESS_DELAY.total_seconds()
            return
        self.given_up.update(counts)
        self.report(
            "memory_relieved",
            {
                "held_bytes": held,
                "limit_bytes": self.memory.limit_bytes,
                "connections": len(self.open),
                **counts,
            },
        )

    def _give_up(self, connection: connection_lib.Connection) -> str:
        stage = connection.holding.stage
        # It is not counted any more, so that it is given up only once.
        self.memory.remove(connection.holding)
        if stage is memory_budget.Stage.READING:
            connection.refuse()
            return "refused"
        connection.abort()
        return "closed"

    def _check(self) -> None:
        """Looks for callers that have left, or that do not read."""
        self._timer = None
        now = asyncio.get_running_loop().time()
        poll = select.poll()
        unread: dict[int, connection_lib.Connection] = {}
        for connection in tuple(self.behind):
            connection.count()
            if connection.reading_paused and connection.fileno() >= 0:
                unread[connection.fileno()] = connection
                poll.register(connection.fileno(), PEER_CLOSED)
            elif connection.all_sent:
                self.behind.discard(connection)
            self._check_unread(connection, now)
        for descriptor, _ in poll.poll(0) if unread else ():
            unread[descriptor].end_unread()
            self.behind.discard(unread[descriptor])
        if self.behind:
            self.watch(next(iter(self.behind)))

    def _check_unread(
        self, connection: connection_lib.Connection, now: float
    ) -> None:
        if connection.all_sent or connection.running:
            connection.unread_since = None
            return
        if connection.unread_since is None:
            connection.unread_since = now
        waited = now - connection.unread_since
        if waited > self.unread_timeout.total_seconds():
            self.given_up["unread"] += 1
            self.report(
                "response_unread", {"queued": connection.holding.queued}
            )
            connection.abort()
