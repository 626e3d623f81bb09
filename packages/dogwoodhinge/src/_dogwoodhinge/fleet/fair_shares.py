"""Divides adapter slots among organisations while slots are short.

Load pattern: many organisations, a few of them large; one sends several times
its usual amount for some seconds, within its quota.

Start-time fair queueing over the waiting requests: each organisation has used
the slots that it was recently given, divided by its weight, and its waiting
requests add to that one by one; the lowest sum goes next. So each organisation
gets its share as long as it asks for it, the others get what it leaves, and
what one asks for beyond its share waits behind the others.

Weights are the quotas of the configuration: what an organisation was promised.
"""

import collections
from collections.abc import Callable, Iterable, Mapping
import datetime
from typing import TypeVar, final

from _dogwoodhinge.fleet import models

# Slots that an organisation was given count less with time: about as long as a
# caller's attempts go on.
USE_HALF_LIFE = datetime.timedelta(seconds=4)

# Uses below this are forgotten.
MIN_USE = 0.01

Item = TypeVar("Item")


def weights(
    organisations: Iterable[models.Organisation],
) -> Mapping[str, float]:
    """Returns the weights of organisations, 1 on average.

    Those without a quota weigh 1. Quotas in requests and in tokens are
    compared with those of the same unit only.
    """
    known = [o for o in organisations if o.quota is not None]
    totals: dict[models.QuotaUnit, float] = collections.defaultdict(float)
    counts: collections.Counter[models.QuotaUnit] = collections.Counter()
    for organisation in known:
        assert organisation.quota is not None
        totals[organisation.quota.unit] += organisation.quota.per_second
        counts[organisation.quota.unit] += 1
    result = {}
    for organisation in known:
        quota = organisation.quota
        assert quota is not None
        if totals[quota.unit] > 0 and quota.per_second > 0:
            mean = totals[quota.unit] / counts[quota.unit]
            result[organisation.name] = quota.per_second / mean
    return result


@final
class SlotUse:
    """The slots that organisations were recently given.

    Attributes:
        given: decayed number of slots, by organisation.
        decayed_at: loop time up to which they have decayed.
        weights: weight of each organisation; 1 for others.
    """

    def __init__(self) -> None:
        self.given: dict[str, float] = {}
        self.decayed_at = 0.0
        self.weights: Mapping[str, float] = {}

    def record(self, organisation: str, now: float) -> None:
        """Records that an organisation was given a slot."""
        self._decay(now)
        self.given[organisation] = self.given.get(organisation, 0.0) + 1

    def used(self, now: float) -> Mapping[str, float]:
        """Returns the recent slots of each organisation, by its weight."""
        self._decay(now)
        return {
            name: count / self.weights.get(name, 1.0)
            for name, count in self.given.items()
        }

    def in_turn(
        self,
        items: list[Item],
        now: float,
        *,
        organisation_of: Callable[[Item], str],
    ) -> list[Item]:
        """Returns items in the order in which the organisations are due.

        Items of one organisation keep their order.

        Args:
            items: what waits.
            now: loop time.
            organisation_of: returns the organisation of an item.
        """
        names = [organisation_of(item) for item in items]
        if len(set(names)) < 2:
            return items
        used = dict(self.used(now))
        turns = []
        for name in names:
            turns.append(used.get(name, 0.0))
            used[name] = turns[-1] + 1 / self.weights.get(name, 1.0)
        order = sorted(range(len(items)), key=turns.__getitem__)
        return [items[number] for number in order]

    def _decay(self, now: float) -> None:
        half_lives = (now - self.decayed_at) / USE_HALF_LIFE.total_seconds()
        if half_lives <= 0:
            return
        factor = 0.5**half_lives
        self.given = {
            name: count * factor
            for name, count in self.given.items()
            if count * factor >= MIN_USE
        }
        self.decayed_at = now
