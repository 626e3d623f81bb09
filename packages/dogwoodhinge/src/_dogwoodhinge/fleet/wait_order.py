"""Decides in which order waiting requests get adapter slots.

Load pattern: callers compete for too few slots at times. Live requests, which
have little time, arrive beside deferrable ones, which may wait for seconds;
each is served sooner or later if the one does not take the room that the other
needs now.

The order is, from the front:

1. requests whose first event can still be on time and that have no time to
   wait, or that no more urgent request waits beside;
2. requests that will be late;
3. deferrable requests: less urgent than another one that waits, and with time
   left to wait.

Within each, the rank goes first. Requests of one rank are served in turns of
their organisations, see `fair_shares`. Those of one organisation that can be on
time go in the order of how many of them wait for their adapter, since one slot
serves all of these; then the one with the most time left goes first: if each
got its slot at the last moment, none would be on time at peak load. Late
requests are ordered by how long they may keep waiting.

A rank of which a much smaller part is served than of all requests is treated
like the most urgent one until it has caught up, so that none starves.
"""

import collections
from collections.abc import Iterable
import dataclasses
import datetime
import itertools
from typing import final

from _dogwoodhinge.fleet import fair_shares
from _dogwoodhinge.fleet import models

# Time for which a prompt waits behind the prefill of others, in addition to the
# adapter load and its own prefill; most wait less than this at peak load.
PREFILL_WAIT_SECONDS = 0.05

# A deferrable request stops giving way once it has less than this time to get
# its slot and be on time: a few slots become free within it even after engines
# were lost.
DEFERRAL_SECONDS = 0.4

# A rank is behind if less than this fraction of the served share of all
# requests is served of it. The rank decides who waits, and only to a small part
# who is turned away.
MIN_SERVED_FRACTION = 0.75

# Served and rejected requests count less with time.
OUTCOME_HALF_LIFE = datetime.timedelta(seconds=4)

# Fewer outcomes of a rank say little about its share.
MIN_OUTCOMES = 4.0


@final
@dataclasses.dataclass(eq=False, slots=True)
class Waiter:
    """A request in the wait queue; times are loop times.

    Attributes:
        target_at: latest time at which its first event meets the target.
        wait_until: latest time until which it may wait for a slot.
        rank: its priority, 0 is the highest.
        organisation: of its caller; empty if none.
        adapter: what the slot is for; None if only this request is for it.
    """

    target_at: float
    wait_until: float
    rank: int = 0
    organisation: str = ""
    adapter: models.AdapterKey | None = None


@final
@dataclasses.dataclass(slots=True)
class Outcomes:
    """Decayed counts of requests that have left the queue.

    Attributes:
        served: requests that got a slot.
        rejected: requests that were rejected for good.
    """

    served: float = 0.0
    rejected: float = 0.0

    @property
    def total(self) -> float:
        """Number of requests that were served or rejected."""
        return self.served + self.rejected

    @property
    def served_share(self) -> float:
        """Fraction of the requests that were served; 1 without any."""
        return self.served / self.total if self.total else 1.0


@final
class ServedShares:
    """Which part of the requests of each rank is served.

    Attributes:
        by_rank: outcomes of recent requests, by rank.
        decayed_at: loop time up to which they have decayed.
    """

    def __init__(self) -> None:
        self.by_rank: dict[int, Outcomes] = {}
        self.decayed_at = 0.0

    def record(self, rank: int, now: float, *, served: bool) -> None:
        """Records the outcome of a request that needed a slot."""
        self._decay(now)
        outcomes = self.by_rank.setdefault(rank, Outcomes())
        if served:
            outcomes.served += 1
        else:
            outcomes.rejected += 1

    def ranks_behind(self, now: float) -> frozenset[int]:
        """Returns the ranks that are served much less often than all."""
        self._decay(now)
        total = sum(outcomes.total for outcomes in self.by_rank.values())
        if not total:
            return frozenset()
        served = sum(outcomes.served for outcomes in self.by_rank.values())
        return frozenset(
            rank
            for rank, outcomes in self.by_rank.items()
            if outcomes.total >= MIN_OUTCOMES
            and outcomes.served_share < MIN_SERVED_FRACTION * served / total
        )

    def _decay(self, now: float) -> None:
        half_lives = (now - self.decayed_at) / OUTCOME_HALF_LIFE.total_seconds()
        if half_lives <= 0:
            return
        factor = 0.5**half_lives
        for outcomes in self.by_rank.values():
            outcomes.served *= factor
            outcomes.rejected *= factor
        self.decayed_at = now


def is_late(waiter: Waiter, now: float, *, lead_time: float) -> bool:
    """Returns whether a first event after a slot now would miss the target.

    Args:
        waiter: the waiting request.
        now: loop time.
        lead_time: seconds from a slot's assignment to the first event.
    """
    return _time_to_wait(waiter, now, lead_time) < 0


def in_order(
    waiters: Iterable[Waiter],
    now: float,
    *,
    lead_time: float,
    ranks_behind: frozenset[int] = frozenset(),
    slot_use: fair_shares.SlotUse | None = None,
) -> list[Waiter]:
    """Returns waiting requests in the order in which they are served.

    Args:
        waiters: the waiting requests.
        now: loop time.
        lead_time: seconds from a slot's assignment to the first event.
        ranks_behind: ranks that are treated like the most urgent one.
        slot_use: what the organisations have used; None if they do not count.
    """
    waiting = list(waiters)
    if not waiting:
        return []
    first_rank = min(waiter.rank for waiter in waiting)
    on_time = collections.Counter(
        waiter.adapter
        for waiter in waiting
        if waiter.adapter is not None
        and not is_late(waiter, now, lead_time=lead_time)
    )

    def position(waiter: Waiter) -> tuple[int, int, float, float]:
        rank = first_rank if waiter.rank in ranks_behind else waiter.rank
        time_to_wait = _time_to_wait(waiter, now, lead_time)
        if time_to_wait < 0:
            return 1, rank, 0, waiter.wait_until
        deferrable = rank > first_rank and time_to_wait > DEFERRAL_SECONDS
        group = 2 if deferrable else 0
        sharing = on_time[waiter.adapter] if waiter.adapter else 1
        return group, rank, -sharing, -waiter.target_at

    if slot_use is None or len({w.organisation for w in waiting}) < 2:
        return sorted(waiting, key=position)
    positions = {waiter: position(waiter) for waiter in waiting}
    waiting.sort(key=positions.__getitem__)
    return [
        waiter
        for _, group in itertools.groupby(
            waiting, key=lambda w: positions[w][:2]
        )
        for waiter in slot_use.in_turn(
            list(group), now, organisation_of=lambda w: w.organisation
        )
    ]


def _time_to_wait(waiter: Waiter, now: float, lead_time: float) -> float:
    """Returns for how long a request could wait and be on time, in seconds."""
    return waiter.target_at - now - lead_time - PREFILL_WAIT_SECONDS
