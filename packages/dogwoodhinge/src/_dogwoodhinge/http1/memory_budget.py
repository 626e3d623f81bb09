"""Decides what a process may hold for its peers, and who is given up first.

Load pattern: callers that send many requests ahead and leave the answers
unread; many that send a part of a request; endpoints that do not read.
"""

from collections.abc import Collection, Iterable
import dataclasses
import enum
from typing import final

MEBIBYTE = 1024 * 1024

# A process without connections takes this much. Half of the rest may be held;
# the other half covers copies and free pages between them.
PROCESS_BYTES = 80 * MEBIBYTE
HELD_SHARE = 0.5
MIN_LIMIT_BYTES = 8 * MEBIBYTE

# What a connection takes without data: its socket, parser and task.
CONNECTION_BYTES = 24 * 1024

# A body exists twice while it is sent to an endpoint that does not read.
BODY_COPIES = 2

# Holdings with longer bodies together may take LARGE_SHARE, so that there is
# room for ordinary requests.
SMALL_BODY_BYTES = 64 * 1024
LARGE_SHARE = 0.75

# Once the limit is exceeded, this share of it is kept, so that the next
# decision comes later.
KEPT_SHARE = 0.875

# Above this share, callers may not send requests ahead.
PRESSED_SHARE = 0.75


def limit_bytes(memory_bytes: int) -> int:
    """Returns how much a process with this memory may hold for its peers."""
    held = int((memory_bytes - PROCESS_BYTES) * HELD_SHARE)
    return max(MIN_LIMIT_BYTES, held)


class Stage(enum.IntEnum):
    """What a connection does, in the order in which it is given up.

    Attributes:
        BEHIND: its caller does not read, or sends requests ahead.
        READING: a part of a request has arrived.
        IDLE: it waits for a request.
        RUNNING: a request is served.
        ENDPOINT: it leads to an endpoint.
    """

    BEHIND = 0
    READING = 1
    IDLE = 2
    RUNNING = 3
    ENDPOINT = 4


# Giving up these holdings would end work whose caller does nothing wrong.
KEPT_STAGES = frozenset({Stage.RUNNING, Stage.ENDPOINT})


@final
@dataclasses.dataclass(slots=True, eq=False)
class Holding:
    """What is held for one connection.

    Attributes:
        stage: what the connection does.
        received: bytes received and not consumed yet.
        head: bytes of the head of its current request.
        body: bytes of the body of its current request.
        kept: bytes of a response that are not queued yet.
        queued: bytes queued for the peer.
        body_copies: how many times the body exists while its request runs.
        progress_at: loop time at which data was last received.
        counted: whether a budget counts it.
        counted_total: `total_bytes` as counted last.
        counted_large: `large_bytes` as counted last.
    """

    stage: Stage = Stage.IDLE
    received: int = 0
    head: int = 0
    body: int = 0
    kept: int = 0
    queued: int = 0
    body_copies: int = BODY_COPIES
    progress_at: float = 0.0
    counted: bool = False
    counted_total: int = 0
    counted_large: int = 0

    @property
    def total_bytes(self) -> int:
        """All that is held."""
        return (
            CONNECTION_BYTES
            + self.received
            + self.head
            + self.body * self.body_copies
            + self.kept
            + self.queued
        )

    @property
    def large_bytes(self) -> int:
        """What counts toward the share for long bodies."""
        if self.body <= SMALL_BODY_BYTES:
            return 0
        return self.body * self.body_copies


@final
class MemoryBudget:
    """The memory that all connections of a process share.

    Attributes:
        limit_bytes: how much may be held.
        held_bytes: how much is held.
        large_bytes: how much of it for long bodies.
    """

    def __init__(self, limit: int) -> None:
        self.limit_bytes = limit
        self.held_bytes = 0
        self.large_bytes = 0

    def add(self, holding: Holding) -> None:
        """Begins to count a connection."""
        holding.counted = True
        self.update(holding)

    def remove(self, holding: Holding) -> None:
        """Stops counting a connection."""
        holding.counted = False
        self.held_bytes -= holding.counted_total
        self.large_bytes -= holding.counted_large
        holding.counted_total = holding.counted_large = 0

    def update(self, holding: Holding) -> None:
        """Counts a changed holding."""
        if not holding.counted:
            return
        total, large = holding.total_bytes, holding.large_bytes
        self.held_bytes += total - holding.counted_total
        self.large_bytes += large - holding.counted_large
        holding.counted_total, holding.counted_large = total, large

    @property
    def pressed(self) -> bool:
        """True if callers may not send requests ahead."""
        return self.held_bytes > self.limit_bytes * PRESSED_SHARE

    @property
    def exceeded(self) -> bool:
        """True if holdings have to be given up."""
        return (
            self.held_bytes > self.limit_bytes
            or self.large_bytes > self.limit_bytes * LARGE_SHARE
        )

    def choose(self, among: Collection[Holding]) -> list[Holding]:
        """Returns the holdings to give up, most expendable first.

        Those whose callers do not read come first, the largest of them before
        others: an ordinary request is small. Of the parts of requests, those
        with long bodies that stand still go first if long bodies take too much.
        Requests in progress whose callers read are kept.

        Args:
            among: the holdings of callers.
        """
        if not self.exceeded:
            return []
        chosen: list[Holding] = []
        target = self.limit_bytes * KEPT_SHARE
        held, large = self.held_bytes, self.large_bytes
        if large > self.limit_bytes * LARGE_SHARE:
            stalled = sorted(
                (h for h in _expendable(among) if h.large_bytes),
                key=lambda h: (h.stage, h.progress_at),
            )
            for holding in stalled:
                if large <= self.limit_bytes * LARGE_SHARE:
                    break
                chosen.append(holding)
                held -= holding.total_bytes
                large -= holding.large_bytes
        if held <= self.limit_bytes:
            return chosen
        given_up = set(chosen)
        rest = sorted(
            (h for h in _expendable(among) if h not in given_up),
            key=_give_up_order,
        )
        for holding in rest:
            if held <= target:
                break
            chosen.append(holding)
            held -= holding.total_bytes
        return chosen

    def choose_connection(self, among: Collection[Holding]) -> Holding | None:
        """Returns the connection to close for a new one, if there is any.

        Idle connections go first, the oldest before others; then those that
        have received nothing for the longest time.
        """
        return min(
            _expendable(among),
            key=lambda h: (h.stage is not Stage.IDLE, h.progress_at),
            default=None,
        )


def _expendable(among: Iterable[Holding]) -> list[Holding]:
    return [h for h in among if h.counted and h.stage not in KEPT_STAGES]


def _give_up_order(holding: Holding) -> tuple[bool, int, int, float]:
    """Idle connections hold next to nothing, so they go last."""
    return (
        holding.stage is Stage.IDLE,
        -holding.total_bytes,
        holding.stage,
        holding.progress_at,
    )
