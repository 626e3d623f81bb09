"""Replays arrivals at the wait queue on virtual time."""

import collections
from collections.abc import Iterable
import dataclasses
import heapq
import random

from _dogwoodhinge.fleet import wait_order
from _dogwoodhinge.fleet import wait_queue

STEP_SECONDS = 0.02
LEAD_SECONDS = 0.33


@dataclasses.dataclass(frozen=True)
class Kind:
    """A kind of request.

    Attributes:
        rank: its priority, 0 is the highest.
        rate: requests a second.
        target: seconds until its first event is late.
        max_wait: seconds for which it waits for a slot.
        organisation: of its callers.
    """

    rank: int
    rate: float
    target: float
    max_wait: float
    organisation: str = ""


@dataclasses.dataclass
class Served:
    """What became of the requests of a kind.

    Attributes:
        asked: number of requests.
        on_time: served within their target.
        late: served after it.
        rejected: turned away for good, after having waited for `held` seconds
            at most.
        returned: attempts after a rejection.
    """

    asked: int = 0
    on_time: int = 0
    late: int = 0
    rejected: int = 0
    held: float = 0.0
    returned: int = 0

    @property
    def share(self) -> float:
        """Fraction of the requests that were served."""
        return (self.on_time + self.late) / max(1, self.asked)

    @property
    def on_time_share(self) -> float:
        """Fraction of the requests that were served on time."""
        return self.on_time / max(1, self.asked)


def replay(
    kinds: dict[str, Kind],
    *,
    slots_per_second: float,
    seconds: float = 8.0,
    ranked: bool = True,
    max_returns: int = 0,
    seed: int = 1,
) -> dict[str, Served]:
    """Plays requests that need a slot each.

    Args:
        kinds: the kinds of requests, by name.
        slots_per_second: rate at which slots become free.
        seconds: time for which requests arrive.
        ranked: whether the queue is told the ranks and organisations.
        max_returns: how often a rejected caller returns, as told.
        seed: of the arrivals.
    """
    queue = wait_queue.WaitQueue()
    served: dict[str, Served] = collections.defaultdict(Served)
    waiting: dict[wait_order.Waiter, tuple[float, str, int]] = {}
    draw = random.Random(seed)
    arrivals = [(at, n, 0) for at, n in _arrivals(kinds, seconds, draw)]
    heapq.heapify(arrivals)
    now = free = 0.0

    def reject(name: str, at: float, rank: int, returns: int) -> None:
        served[name].held = max(served[name].held, now - at)
        queue.record_rejection(now, rank=rank)
        return_at = now + queue.retry_delay_seconds(now, draw.random())
        queue.record_return(return_at)
        if returns < max_returns:
            heapq.heappush(arrivals, (return_at, name, returns + 1))
        else:
            served[name].rejected += 1

    while arrivals or waiting:
        now += STEP_SECONDS
        free = min(free + slots_per_second * STEP_SECONDS, 4.0)
        while arrivals and arrivals[0][0] <= now:
            at, name, returns = heapq.heappop(arrivals)
            kind = kinds[name]
            served[name].asked += not returns
            served[name].returned += bool(returns)
            waiter = wait_order.Waiter(
                at + kind.target,
                at + kind.max_wait,
                rank=kind.rank if ranked else 0,
                organisation=kind.organisation if ranked else "",
            )
            if queue.will_time_out(waiter, now, lead_time=LEAD_SECONDS):
                reject(name, at, waiter.rank, returns)
                continue
            queue.join(waiter, now, lead_time=LEAD_SECONDS)
            waiting[waiter] = (at, name, returns)
        for waiter in queue.in_order(now, lead_time=LEAD_SECONDS):
            at, name, returns = waiting[waiter]
            if free >= 1:
                free -= 1
                queue.record_assignment(
                    now, rank=waiter.rank, organisation=waiter.organisation
                )
                if not returns and now + LEAD_SECONDS <= waiter.target_at:
                    served[name].on_time += 1
                else:
                    served[name].late += 1
            elif now >= waiter.wait_until:
                reject(name, at, waiter.rank, returns)
            else:
                continue
            queue.leave(waiter)
            del waiting[waiter]
        for waiter in queue.find_hopeless(now, lead_time=LEAD_SECONDS):
            at, name, returns = waiting.pop(waiter)
            reject(name, at, waiter.rank, returns)
            queue.leave(waiter)
    return served


def _arrivals(
    kinds: dict[str, Kind], seconds: float, draw: random.Random
) -> Iterable[tuple[float, str]]:
    for name, kind in kinds.items():
        at = draw.expovariate(kind.rate)
        while at < seconds:
            yield at, name
            at += draw.expovariate(kind.rate)
