"""Executes placement decisions, with one order at a time per engine.

Each order states how many orders the engine has accepted so far. An order
without a reply may still be executed seconds later; once the engine has
accepted another order, it rejects the earlier one. A conflict has several
causes, so it does not tell whether an order without a reply was executed: only
the engine's report does.
"""

import asyncio
from collections.abc import Callable
import datetime
from typing import final

from _dogwoodhinge import event_log
from _dogwoodhinge.fleet import adapter_slots as adapter_slots_lib
from _dogwoodhinge.fleet import late_orders as late_orders_lib
from _dogwoodhinge.fleet import models
from _dogwoodhinge.fleet import orders as orders_lib
from _dogwoodhinge.fleet import placement as placement_lib
from dogwoodhinge import errors

# Minimum age of the last order when an engine's report is read: the report lags
# behind the engine's state by a few hundred milliseconds.
REPORT_LAG = datetime.timedelta(milliseconds=350)

# Attempts to send an order whose replies are lost. The engine executes at most
# one of them, because all state the same number of accepted orders.
MAX_SEND_ATTEMPTS = 3

# A conflict may concern a single adapter with an earlier order that is still in
# progress, until the adapter's requests end. This many conflicts in a row mean
# that the engine has accepted orders that are unknown here.
CONFLICTS_BEFORE_REFRESH = 3


def _residents(
    report: models.EngineReport,
) -> dict[models.AdapterKey, int]:
    return {
        models.AdapterKey(model.name, adapter): version
        for model in report.models.values()
        for adapter, version in model.adapters.items()
    }


class OrderFailedError(errors.DogwoodhingeError):
    """An order was not accepted by the engine, or could not be sent."""


@final
class EngineOrderState:
    """What the loader knows about one engine.

    Attributes:
        entry: the engine's latest entry in the list of endpoints.
        orders_accepted: orders that the engine has accepted since its start.
        lock: held while orders are sent or the state is read.
        needs_refresh: the engine's state must be read before the next order.
        last_order_at: loop time at which an order was last sent.
        abandoned_at_count: `orders_accepted` when an order was left without a
            reply; the order may still be executed while the engine's count
            stays the same.
        conflicts: conflicts since the last accepted order.
        reported: the largest number of accepted orders in a report.
    """

    def __init__(self, entry: models.EngineEntry) -> None:
        self.entry = entry
        self.orders_accepted = entry.orders_accepted
        self.lock = asyncio.Lock()
        self.needs_refresh = True
        self.last_order_at = 0.0
        self.abandoned_at_count: int | None = None
        self.conflicts = 0
        self.reported = 0


@final
class Loader:
    """Sends the orders of the leader to the engines.

    Attributes:
        order_states: state of each engine, by its id.
        late_orders: loads without a reply, also those to earlier starts.
        may_order: returns whether this node may give orders; called right
            before each order is sent.
        token: returns the fencing token of this node.
        orders_sent: number of sent orders, retries included.
        orders_failed: number of sent orders without success.
    """

    def __init__(
        self,
        *,
        orders: orders_lib.EngineOrderClient,
        placement: placement_lib.Placement,
        may_order: Callable[[], bool],
        token: Callable[[], int],
        report: event_log.EventReporter,
    ) -> None:
        self.orders = orders
        self.placement = placement
        self.may_order = may_order
        self.token = token
        self.report = report
        self.order_states: dict[str, EngineOrderState] = {}
        self.late_orders = late_orders_lib.LateOrders()
        self.orders_sent = 0
        self.orders_failed = 0

    async def read_state(
        self, entry: models.EngineEntry, *, capacity: int
    ) -> None:
        """Reads an engine's state, before orders are sent to it.

        Raises:
            EngineError: no report was received.
        """
        state = self.order_states.get(entry.engine_id)
        if state is None or state.entry.incarnation != entry.incarnation:
            state = EngineOrderState(entry)
            self.order_states[entry.engine_id] = state
        state.entry = entry
        async with state.lock:
            await self._read_state(state, capacity)

    async def _read_state(self, state: EngineOrderState, capacity: int) -> None:
        loop = asyncio.get_running_loop()
        age = loop.time() - state.last_order_at
        rest = REPORT_LAG.total_seconds() - age
        if rest > 0:
            await asyncio.sleep(rest)
        found = await self._fetch_report(state)
        if self.order_states.get(state.entry.engine_id) is not state:
            return  # the engine left or restarted in the meantime
        state.orders_accepted = found.orders_accepted
        state.conflicts = 0
        state.needs_refresh = False
        residents = _residents(found)
        engine_id = state.entry.engine_id
        self.placement.set_engine(
            engine_id,
            capacity=capacity,
            residents=residents,
            pending=found.pending,
            in_memory=found.in_memory,
            now=loop.time(),
        )
        self.report(
            "engine_state_read",
            {
                "engine": engine_id,
                "orders_accepted": found.orders_accepted,
                "residents": len(residents),
                "pending": len(found.pending),
                "in_memory": len(found.in_memory),
                "models": ",".join(found.models),
                "late_loads": len(self.late_orders.sent.get(engine_id, ())),
                "reserved": self.reserved_slots(engine_id, loop.time()),
            },
        )

    async def _fetch_report(
        self, state: EngineOrderState
    ) -> models.EngineReport:
        """Reads the report of one start of an engine.

        An engine may have restarted under its id, and a faulty one may send an
        earlier report once more.

        Raises:
            EngineError: no report was received, or one of another start or of
                an earlier time than the latest one.
        """
        entry = state.entry
        loop = asyncio.get_running_loop()
        lists_all_orders = (
            loop.time() - state.last_order_at >= REPORT_LAG.total_seconds()
        )
        found = await self.orders.report(entry)
        if found.born_ms != entry.born_ms and found.born_ms and entry.born_ms:
            raise errors.EngineError(
                f"engine {entry.engine_id} has reported the start at"
                f" {found.born_ms} ms, expected {entry.born_ms} ms"
            )
        if found.orders_accepted < state.reported:
            raise errors.EngineError(
                f"engine {entry.engine_id} has reported"
                f" {found.orders_accepted} orders after {state.reported}"
            )
        state.reported = found.orders_accepted
        if lists_all_orders:
            self.late_orders.record_count(entry, found.orders_accepted)
        return found

    async def load(
        self, assignment: adapter_slots_lib.Assignment, key: models.AdapterKey
    ) -> None:
        """Orders the load, and an unload if needed, of a new assignment.

        Raises:
            OrderFailedError: the adapter is not being loaded.
        """
        state = self.order_states.get(assignment.engine_id)
        if state is None:
            raise OrderFailedError(
                f"engine {assignment.engine_id} is not known to this node"
            )
        loop = asyncio.get_running_loop()
        async with state.lock:
            if (
                state.needs_refresh
                or self.order_states.get(assignment.engine_id) is not state
            ):
                raise OrderFailedError(
                    f"the state of engine {assignment.engine_id} is being read"
                )
            if not self.placement.is_reserved(assignment, key):
                self._keep_evicted_slot(assignment)
                raise OrderFailedError(
                    f"the reservation for {key} on engine"
                    f" {assignment.engine_id} was discarded"
                )
            unloads = await self._is_resident(state, assignment)
            if assignment.evict is not None and unloads:
                await self._evict(state, assignment.evict)
            order = orders_lib.Order(
                orders_lib.Operation.LOAD, key, assignment.version
            )
            await self._send(state, order, follows_unload=unloads)
            self.placement.confirm_order(
                assignment.engine_id,
                key,
                at=loop.time(),
                order_number=state.orders_accepted,
            )

    def _keep_evicted_slot(
        self, assignment: adapter_slots_lib.Assignment
    ) -> None:
        """Keeps the slot of an adapter that was to be evicted, but was not."""
        key, engine_id = assignment.evict, assignment.engine_id
        if key is not None and not self.placement.has_slot(engine_id, key):
            now = asyncio.get_running_loop().time()
            self.placement.record_unconfirmed(engine_id, key, now)

    async def reconcile(self, engine_id: str) -> None:
        """Reconciles unsettled slots with the engine's report.

        Raises:
            EngineError: no report was received.
        """
        state = self.order_states.get(engine_id)
        if state is None:
            return
        loop = asyncio.get_running_loop()
        before = loop.time() - REPORT_LAG.total_seconds()
        known = state.orders_accepted
        found = await self._fetch_report(state)
        if found.orders_accepted != state.orders_accepted:
            # With recent orders the report may be older than them.
            if state.last_order_at < before and found.orders_accepted != known:
                state.needs_refresh = True
            return
        residents = _residents(found)
        if not self.placement.has_slots_for(
            engine_id, residents.keys() | found.pending
        ):
            # Not ordered by this node: the engine has executed a late order of
            # the previous leader.
            state.needs_refresh = True
            return
        self.placement.reconcile(
            engine_id,
            residents,
            found.pending.keys(),
            before=before,
            now=loop.time(),
        )

    def reserved_slots(self, engine_id: str, now: float) -> int:
        """Returns the slots to leave free for orders to earlier starts."""
        state = self.order_states.get(engine_id)
        if state is None:
            return 0
        return self.late_orders.reserved_slots(
            state.entry, state.orders_accepted, now
        )

    def late_models(self, engine_id: str, now: float) -> frozenset[str]:
        """Returns the base models that an engine may still load."""
        state = self.order_states.get(engine_id)
        if state is None:
            return frozenset()
        return self.late_orders.late_models(
            state.entry, state.orders_accepted, now
        )

    async def load_model(self, engine_id: str, model: str) -> bool:
        """Orders an engine without a base model to load one.

        Returns:
            False if no load is in flight.
        """
        state = self.order_states[engine_id]
        async with state.lock:
            if state.needs_refresh or not self.may_order():
                return False
            try:
                if await self._has_model(state):
                    return True
                self.orders_sent += 1
                state.last_order_at = asyncio.get_running_loop().time()
                reply = await self._send_once(
                    state,
                    orders_lib.Order(
                        orders_lib.Operation.LOAD, models.AdapterKey(model, "")
                    ),
                )
            except (errors.EngineError, OrderFailedError) as error:
                state.needs_refresh = True
                if isinstance(error, errors.EngineOutcomeUnknownError):
                    state.abandoned_at_count = state.orders_accepted
                self.report(
                    "model_load_failed",
                    {"engine": engine_id, "reason": str(error)},
                )
                return False
            if reply is orders_lib.OrderReply.ACCEPTED:
                state.orders_accepted += 1
            else:
                state.needs_refresh = True
            self.report(
                "model_load_ordered",
                {"engine": engine_id, "model": model, "reply": reply.value},
            )
            return reply is orders_lib.OrderReply.ACCEPTED

    async def _has_model(self, state: EngineOrderState) -> bool:
        """Returns whether an engine holds or is loading a base model.

        The list of endpoints may be older than an order whose reply was lost
        or that the previous leader gave, and a second model may exceed the
        engine's memory.

        Raises:
            EngineError: no report was received.
            OrderFailedError: the engine's state must be read again.
        """
        found = await self._fetch_report(state)
        if found.orders_accepted != state.orders_accepted:
            raise OrderFailedError(
                f"the engine has accepted {found.orders_accepted} orders,"
                f" expected {state.orders_accepted}"
            )
        return found.busy or bool(found.models)

    async def _is_resident(
        self,
        state: EngineOrderState,
        assignment: adapter_slots_lib.Assignment,
    ) -> bool:
        """Returns whether the adapter to evict is on the engine.

        An engine confirms the unload of an adapter that is still on its way,
        and the adapter takes its slot all the same. A load may take longer
        than estimated, so that only the engine tells.

        Raises:
            OrderFailedError: it is on its way, or the engine does not tell.
        """
        key, slot = assignment.evict, assignment.evicted_slot
        if key is None or slot is None:
            return False
        if slot.state is adapter_slots_lib.SlotState.RESIDENT:
            return True
        engine_id = state.entry.engine_id
        loop = asyncio.get_running_loop()
        try:
            found = await self._fetch_report(state)
        except errors.EngineError as error:
            state.needs_refresh = True
            self.placement.record_unconfirmed(engine_id, key, loop.time())
            raise OrderFailedError(
                f"engine {engine_id} does not tell whether it holds {key}"
            ) from error
        residents = _residents(found)
        self.placement.confirm_residents(
            engine_id, residents.keys(), orders_accepted=found.orders_accepted
        )
        lists_all_orders = (
            loop.time() - state.last_order_at >= REPORT_LAG.total_seconds()
        )
        if lists_all_orders and found.orders_accepted != state.orders_accepted:
            state.needs_refresh = True
            self.placement.record_unconfirmed(engine_id, key, loop.time())
            raise OrderFailedError(
                f"engine {engine_id} has accepted {found.orders_accepted}"
                f" orders, expected {state.orders_accepted}"
            )
        if found.orders_accepted >= slot.order_number:
            if key in residents:
                return True
            may_still_load = (
                key in found.pending
                or not lists_all_orders
                or state.abandoned_at_count == state.orders_accepted
            )
            if not may_still_load:
                return False
        self.placement.return_slot(engine_id, key, slot, loop.time())
        self.report(
            "eviction_postponed",
            {
                "engine": engine_id,
                "adapter": str(key),
                "pending": key in found.pending,
                "load_age_ms": int((loop.time() - slot.ordered_at) * 1000),
            },
        )
        raise OrderFailedError(f"adapter {key} is still on its way")

    async def _evict(
        self, state: EngineOrderState, key: models.AdapterKey
    ) -> None:
        """Unloads an adapter whose slot was assigned to another.

        Raises:
            OrderFailedError: the adapter still takes the slot.
        """
        try:
            reply = await self._send(
                state, orders_lib.Order(orders_lib.Operation.UNLOAD, key)
            )
        except OrderFailedError:
            if not self.placement.has_slot(state.entry.engine_id, key):
                state.needs_refresh = True
                self.placement.record_unconfirmed(
                    state.entry.engine_id,
                    key,
                    asyncio.get_running_loop().time(),
                )
            raise
        if reply is orders_lib.OrderReply.ACCEPTED:
            # Its requests are still running, so the slot is not free yet.
            now = asyncio.get_running_loop().time()
            self.placement.record_unloading(state.entry.engine_id, key, now)
            raise OrderFailedError(f"adapter {key} is still in use")

    async def _send(
        self,
        state: EngineOrderState,
        order: orders_lib.Order,
        *,
        follows_unload: bool = False,
    ) -> orders_lib.OrderReply:
        """Sends an order until there is a reply.

        Args:
            state: the engine.
            order: the order.
            follows_unload: whether the last accepted order was an unload. The
                engine does not count it if its adapter was absent already, and
                its reply does not tell.

        Raises:
            OrderFailedError: the engine does not carry it out.
        """
        for attempt in range(MAX_SEND_ATTEMPTS):
            if not self.may_order():
                if attempt:
                    state.needs_refresh = True
                raise OrderFailedError("this node may not give orders any more")
            self.orders_sent += 1
            state.last_order_at = asyncio.get_running_loop().time()
            try:
                reply = await self._send_once(state, order)
            except errors.EngineOutcomeUnknownError as error:
                self._record_failure(state, order, str(error), attempt)
                state.abandoned_at_count = state.orders_accepted
                continue
            except errors.EngineError as error:
                self._record_failure(state, order, str(error), attempt)
                state.needs_refresh = True
                break
            if reply in (
                orders_lib.OrderReply.ACCEPTED,
                orders_lib.OrderReply.DONE,
            ):
                state.orders_accepted += 1
                state.conflicts = 0
                return reply
            self._record_failure(state, order, reply.value, attempt)
            if self._is_adapter_conflict(state, reply):
                if follows_unload and await self._send_uncounted(state, order):
                    return orders_lib.OrderReply.ACCEPTED
                self._handle_adapter_conflict(state, order)
                break
            state.needs_refresh = True
            break
        else:
            state.needs_refresh = True
        raise OrderFailedError(
            f"engine {state.entry.engine_id} did not accept the order"
        )

    def _is_adapter_conflict(
        self, state: EngineOrderState, reply: orders_lib.OrderReply
    ) -> bool:
        """Returns whether a conflict concerns the adapter, not the count.

        It may concern the count while an order without a reply may be executed.
        """
        return (
            reply is orders_lib.OrderReply.CONFLICT
            and state.abandoned_at_count != state.orders_accepted
        )

    async def _send_uncounted(
        self, state: EngineOrderState, order: orders_lib.Order
    ) -> bool:
        """Sends an order as if the unload before it had not been counted.

        Returns:
            Whether the engine accepted it.
        """
        if not self.may_order():
            return False
        self.orders_sent += 1
        state.orders_accepted -= 1
        try:
            reply = await self._send_once(state, order)
        except errors.EngineError as error:
            self._record_failure(state, order, str(error), 1)
            # It may still be executed, at this count.
            state.abandoned_at_count = state.orders_accepted
            state.needs_refresh = True
            return False
        state.orders_accepted += 1
        state.last_order_at = asyncio.get_running_loop().time()
        if reply is orders_lib.OrderReply.ACCEPTED:
            state.conflicts = 0
            return True
        self._record_failure(state, order, reply.value, 1)
        return False

    def _handle_adapter_conflict(
        self, state: EngineOrderState, order: orders_lib.Order
    ) -> None:
        now = asyncio.get_running_loop().time()
        is_load = order.operation is orders_lib.Operation.LOAD
        engine_id = state.entry.engine_id
        if is_load and self.placement.record_rejected_load(engine_id, now):
            return
        self._mark_unconfirmed(state, order.key)

    def _mark_unconfirmed(
        self, state: EngineOrderState, key: models.AdapterKey
    ) -> None:
        state.conflicts += 1
        if state.conflicts >= CONFLICTS_BEFORE_REFRESH:
            state.needs_refresh = True
        now = asyncio.get_running_loop().time()
        self.placement.record_unconfirmed(state.entry.engine_id, key, now)

    async def _send_once(
        self, state: EngineOrderState, order: orders_lib.Order
    ) -> orders_lib.OrderReply:
        entry = state.entry
        # Without a reply, also if the task is cancelled, it stays recorded.
        load = self.late_orders.record_sent(
            entry,
            order,
            orders_accepted=state.orders_accepted,
            now=asyncio.get_running_loop().time(),
        )
        try:
            reply = await self.orders.send(
                entry,
                order,
                orders_accepted=state.orders_accepted,
                token=self.token(),
            )
        except errors.EngineUnreachableError:
            self.late_orders.record_reply(entry.engine_id, load)
            raise
        self.late_orders.record_reply(entry.engine_id, load)
        return reply

    def _record_failure(
        self,
        state: EngineOrderState,
        order: orders_lib.Order,
        reason: str,
        attempt: int,
    ) -> None:
        self.orders_failed += 1
        self.report(
            "order_failed",
            {
                "engine": state.entry.engine_id,
                "adapter": str(order.key),
                "operation": order.operation.value,
                "orders_accepted": state.orders_accepted,
                "reason": reason,
                "attempt": attempt,
            },
        )
