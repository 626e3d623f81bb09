"""Loads that a later start of their engine may still execute.

Failure pattern: an order gets no reply and is executed seconds later. The
engine checks the number of accepted orders that the order states. While it runs
on, that number only fits while the engine has room for the load. Once it has
restarted under its id, it counts anew: the number may fit again when all slots
are taken.
"""

import dataclasses
import datetime
from typing import final

from _dogwoodhinge.fleet import models
from _dogwoodhinge.fleet import orders as orders_lib

# Orders without a reply are executed within this time after they were sent, or
# not at all.
MAX_ORDER_DELAY = datetime.timedelta(seconds=15)


@final
@dataclasses.dataclass(slots=True, eq=False)
class SentLoad:
    """A load that was sent and has no reply yet, or never gets one.

    Attributes:
        key: the adapter, or the base model.
        orders_accepted: number of accepted orders that it states.
        sent_at: loop time.
        born_ms: the start of the engine that it was sent to; None if its number
            was ahead of that of the engine.
    """

    key: models.AdapterKey
    orders_accepted: int
    sent_at: float
    born_ms: int | None


@final
class LateOrders:
    """The loads without a reply, by id of their engine.

    They outlive the start of the engine that they were sent to.
    """

    def __init__(self) -> None:
        self.sent: dict[str, list[SentLoad]] = {}

    def record_sent(
        self,
        entry: models.EngineEntry,
        order: orders_lib.Order,
        *,
        orders_accepted: int,
        now: float,
    ) -> SentLoad | None:
        """Records a load before it is sent; returns None for an unload."""
        if order.operation is not orders_lib.Operation.LOAD:
            return None
        load = SentLoad(order.key, orders_accepted, now, entry.born_ms)
        self._expire(now)
        self.sent.setdefault(entry.engine_id, []).append(load)
        return load

    def record_reply(self, engine_id: str, load: SentLoad | None) -> None:
        """Records that a load has its reply, or has not been sent."""
        if load is None:
            return
        known = self.sent.get(engine_id, [])
        if load in known:
            known.remove(load)

    def record_count(self, entry: models.EngineEntry, accepted: int) -> None:
        """Records the number of accepted orders that an engine reports.

        A load that states a larger one may be executed when the engine has come
        that far, whether it has room or not.
        """
        for load in self.sent.get(entry.engine_id, ()):
            if (
                load.born_ms == entry.born_ms
                and load.orders_accepted > accepted
            ):
                load.born_ms = None

    def reserved_slots(
        self, entry: models.EngineEntry, accepted: int, now: float
    ) -> int:
        """Returns the number of slots to leave free for late adapter loads.

        Args:
            entry: the engine.
            accepted: number of orders that it has accepted since its start. Of
                the loads that state the same number, it executes one.
            now: loop time.
        """
        return len(
            {
                load.orders_accepted
                for load in self._executable(entry, accepted, now)
                if load.key.adapter
            }
        )

    def late_models(
        self, entry: models.EngineEntry, accepted: int, now: float
    ) -> frozenset[str]:
        """Returns the base models that the engine may still load."""
        return frozenset(
            load.key.model
            for load in self._executable(entry, accepted, now)
            if not load.key.adapter
        )

    def _executable(
        self, entry: models.EngineEntry, accepted: int, now: float
    ) -> list[SentLoad]:
        return [
            load
            for load in self.sent.get(entry.engine_id, ())
            if load.born_ms != entry.born_ms
            and load.orders_accepted >= accepted
            and now - load.sent_at <= MAX_ORDER_DELAY.total_seconds()
        ]

    def _expire(self, now: float) -> None:
        for engine_id, loads in tuple(self.sent.items()):
            loads[:] = [
                load
                for load in loads
                if now - load.sent_at <= MAX_ORDER_DELAY.total_seconds()
            ]
            if not loads:
                del self.sent[engine_id]
