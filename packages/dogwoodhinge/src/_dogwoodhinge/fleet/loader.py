"""Carries out placement decisions: one order after the other an engine.

Every order states how many orders the engine has accepted so far. One that
got no answer may still be carried out seconds later; as soon as another one is
accepted, the engine refuses it.
"""

import asyncio
from collections.abc import Callable
import datetime
from typing import final

from _dogwoodhinge import event_log
from _dogwoodhinge.fleet import models
from _dogwoodhinge.fleet import orders as orders_lib
from _dogwoodhinge.fleet import placement as placement_lib
from _dogwoodhinge.fleet import places as places_lib
from dogwoodhinge import errors

# After a conflict the engine's report is asked for; it lags behind by some
# hundred milliseconds, so it is read once the last order is older than this.
REPORT_LAG = datetime.timedelta(milliseconds=350)

# Sends of an order whose answers are lost; the engine carries out at most one
# of them, see above.
SENDS = 3

# A conflict may concern one adapter, on which an earlier order is still under
# way: its runs have to end. So many in a row mean that the engine has accepted
# other orders than known here.
CONFLICTS_TO_DOUBT = 3


def _residents(
    report: models.EngineReport,
) -> dict[models.AdapterKey, int]:
    return {
        models.AdapterKey(model.name, adapter): version
        for model in report.models.values()
        for adapter, version in model.adapters.items()
    }


class OrderFailedError(errors.DogwoodhingeError):
    """An order was not accepted; the engine's state is read anew."""


@final
class EngineLine:
    """What is known of one engine for ordering.

    Attributes:
        orders_accepted: orders that the engine has accepted since its start.
        in_doubt: the engine's state has to be read before the next order.
        last_order_at: loop time of the last send.
        given_up_at: `orders_accepted` when an order without an answer was
            given up; it may still be carried out while that holds.
        conflicts: conflicts since the last order that was accepted.
    """

    def __init__(self, entry: models.EngineEntry) -> None:
        self.entry = entry
        self.orders_accepted = entry.orders_accepted
        self.lock = asyncio.Lock()
        self.in_doubt = True
        self.last_order_at = 0.0
        self.given_up_at: int | None = None
        self.conflicts = 0


@final
class Loader:
    """Sends the orders of the node that may give them.

    Attributes:
        lines: engines by id.
        may_order: asked right before each order.
    """

    def __init__(
        self,
        *,
        orders: orders_lib.EngineOrders,
        placement: placement_lib.Placement,
        may_order: Callable[[], bool],
        token: Callable[[], int],
        report: event_log.Report,
    ) -> None:
        self.orders = orders
        self.placement = placement
        self.may_order = may_order
        self.token = token
        self.report = report
        self.lines: dict[str, EngineLine] = {}
        self.orders_sent = 0
        self.orders_failed = 0

    async def read_state(
        self, entry: models.EngineEntry, *, capacity: int
    ) -> None:
        """Reads what an engine holds, before orders are given to it.

        Raises:
            EngineError: no report arrived.
        """
        line = self.lines.get(entry.engine_id)
        if line is None or line.entry.incarnation != entry.incarnation:
            line = EngineLine(entry)
            self.lines[entry.engine_id] = line
        line.entry = entry
        async with line.lock:
            await self._read_state(line, capacity)

    async def _read_state(self, line: EngineLine, capacity: int) -> None:
        loop = asyncio.get_running_loop()
        age = loop.time() - line.last_order_at
        rest = REPORT_LAG.total_seconds() - age
        if rest > 0:
            await asyncio.sleep(rest)
        found = await self.orders.report(line.entry)
        if self.lines.get(line.entry.engine_id) is not line:
            return  # the engine left, or restarted, while it was asked
        line.orders_accepted = found.orders_accepted
        line.conflicts = 0
        line.in_doubt = False
        residents = _residents(found)
        self.placement.set_engine(
            line.entry.engine_id,
            capacity=capacity,
            residents=residents,
            pending=found.pending,
            in_memory=found.in_memory,
            now=loop.time(),
        )
        self.report(
            "engine_state_read",
            {
                "engine": line.entry.engine_id,
                "orders_accepted": found.orders_accepted,
                "residents": len(residents),
                "pending": len(found.pending),
                "in_memory": len(found.in_memory),
                "models": ",".join(found.models),
            },
        )

    async def load(self, seat: places_lib.Seat, key: models.AdapterKey) -> None:
        """Orders what a new seat asks for.

        Raises:
            OrderFailedError: the adapter is not on its way.
        """
        line = self.lines.get(seat.engine_id)
        if line is None:
            raise OrderFailedError("the engine is not known")
        loop = asyncio.get_running_loop()
        async with line.lock:
            if line.in_doubt or self.lines.get(seat.engine_id) is not line:
                raise OrderFailedError("the engine's state is being read")
            if not self.placement.is_reserved(seat, key):
                raise OrderFailedError("the engine's state was read anew")
            if seat.evict is not None:
                await self._make_way(line, seat.evict)
            order = orders_lib.Order(
                orders_lib.Operation.LOAD, key, seat.version
            )
            await self._send(line, order)
            self.placement.complete(seat.engine_id, key, at=loop.time())

    async def settle(self, engine_id: str) -> None:
        """Settles places that wait for the engine's report.

        Raises:
            EngineError: no report arrived.
        """
        line = self.lines.get(engine_id)
        if line is None:
            return
        loop = asyncio.get_running_loop()
        before = loop.time() - REPORT_LAG.total_seconds()
        known = line.orders_accepted
        found = await self.orders.report(line.entry)
        if line.last_order_at < before and found.orders_accepted != known:
            line.in_doubt = True
            return
        residents = _residents(found)
        if found.orders_accepted == line.orders_accepted and not (
            self.placement.knows(engine_id, residents.keys() | found.pending)
        ):
            # Not ordered here: an order of the owner before came late.
            line.in_doubt = True
            return
        self.placement.settle(
            engine_id,
            residents,
            found.pending.keys(),
            before=before,
            now=loop.time(),
        )

    async def load_model(self, engine_id: str, model: str) -> bool:
        """Orders a base model for an engine that has none.

        Returns:
            False when no load is under way.
        """
        line = self.lines[engine_id]
        async with line.lock:
            if line.in_doubt or not self.may_order():
                return False
            try:
                if await self._has_model(line):
                    return True
                self.orders_sent += 1
                reply = await self._send_once(
                    line,
                    orders_lib.Order(
                        orders_lib.Operation.LOAD, models.AdapterKey(model, "")
                    ),
                )
            except (errors.EngineError, OrderFailedError) as error:
                line.in_doubt = True
                self.report(
                    "model_load_failed",
                    {"engine": engine_id, "reason": str(error)},
                )
                return False
            line.last_order_at = asyncio.get_running_loop().time()
            if reply is orders_lib.OrderReply.ACCEPTED:
                line.orders_accepted += 1
            else:
                line.in_doubt = True
            self.report(
                "model_load_ordered",
                {"engine": engine_id, "model": model, "reply": reply.value},
            )
            return reply is orders_lib.OrderReply.ACCEPTED

    async def _has_model(self, line: EngineLine) -> bool:
        """Tells whether an engine has a base model, or soon will.

        The list of endpoints may be older than an order whose answer was lost
        or that the owner before gave; a second model may be too much.

        Raises:
            EngineError: no report arrived.
            OrderFailedError: its state has to be read anew.
        """
        found = await self.orders.report(line.entry)
        if found.orders_accepted != line.orders_accepted:
            raise OrderFailedError("the engine has accepted other orders")
        return found.busy or bool(found.models)

    async def _make_way(self, line: EngineLine, key: models.AdapterKey) -> None:
        """Unloads an adapter whose place was given away.

        Raises:
            OrderFailedError: its place is taken still.
        """
        try:
            reply = await self._send(
                line, orders_lib.Order(orders_lib.Operation.UNLOAD, key)
            )
        except OrderFailedError:
            if not self.placement.has_place(line.entry.engine_id, key):
                line.in_doubt = True
            raise
        if reply is orders_lib.OrderReply.ACCEPTED:
            # It still runs there, so its place is not free yet.
            now = asyncio.get_running_loop().time()
            self.placement.note_unloading(line.entry.engine_id, key, now)
            raise OrderFailedError(f"{key} is still in use")

    async def _send(
        self, line: EngineLine, order: orders_lib.Order
    ) -> orders_lib.OrderReply:
        for attempt in range(SENDS):
            if not self.may_order():
                raise OrderFailedError("this node may not order any more")
            self.orders_sent += 1
            line.last_order_at = asyncio.get_running_loop().time()
            try:
                reply = await self._send_once(line, order)
            except errors.EngineOutcomeUnknownError as error:
                self._note_failure(line, order, str(error), attempt)
                continue
            except errors.EngineError as error:
                self._note_failure(line, order, str(error), attempt)
                line.in_doubt = True
                break
            if reply in (
                orders_lib.OrderReply.ACCEPTED,
                orders_lib.OrderReply.DONE,
            ):
                line.orders_accepted += 1
                line.conflicts = 0
                return reply
            self._note_failure(line, order, reply.value, attempt)
            if self._was_carried_out(line, reply, attempt):
                line.orders_accepted += 1
                line.conflicts = 0
                # An unload may wait for runs; the lost answer told.
                return orders_lib.OrderReply.ACCEPTED
            if self._concerns_adapter(line, reply, attempt):
                self._hold_up(line, order.key)
                break
            line.in_doubt = True
            break
        else:
            line.given_up_at = line.orders_accepted
            line.in_doubt = True
        raise OrderFailedError("the engine did not accept the order")

    def _was_carried_out(
        self, line: EngineLine, reply: orders_lib.OrderReply, attempt: int
    ) -> bool:
        """Tells whether a conflict shows that an earlier send was accepted.

        Only this node gives orders, so the count can only have been raised by
        an earlier send of the same order, unless an older order without an
        answer is still open under the same count.
        """
        return (
            attempt > 0
            and reply is orders_lib.OrderReply.CONFLICT
            and line.given_up_at != line.orders_accepted
        )

    def _concerns_adapter(
        self, line: EngineLine, reply: orders_lib.OrderReply, attempt: int
    ) -> bool:
        """Tells whether a conflict is about the adapter, and not the count.

        It may be about the count while an order without an answer is open.
        """
        return (
            reply is orders_lib.OrderReply.CONFLICT
            and attempt == 0
            and line.given_up_at != line.orders_accepted
        )

    def _hold_up(self, line: EngineLine, key: models.AdapterKey) -> None:
        line.conflicts += 1
        if line.conflicts >= CONFLICTS_TO_DOUBT:
            line.in_doubt = True
        now = asyncio.get_running_loop().time()
        self.placement.note_held_up(line.entry.engine_id, key, now)

    async def _send_once(
        self, line: EngineLine, order: orders_lib.Order
    ) -> orders_lib.OrderReply:
        return await self.orders.send(
            line.entry,
            order,
            orders_accepted=line.orders_accepted,
            token=self.token(),
        )

    def _note_failure(
        self,
        line: EngineLine,
        order: orders_lib.Order,
        reason: str,
        attempt: int,
    ) -> None:
        self.orders_failed += 1
        self.report(
            "order_failed",
            {
                "engine": line.entry.engine_id,
                "adapter": str(order.key),
                "operation": order.operation.value,
                "orders_accepted": line.orders_accepted,
                "reason": reason,
                "attempt": attempt,
            },
        )
