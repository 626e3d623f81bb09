"""The leader, which places adapters and sends all orders to the engines."""

import asyncio
import collections
from collections.abc import Callable, Coroutine
import dataclasses
import datetime
import functools
import math
import random
from typing import final

import mode

from _dogwoodhinge import event_log
from _dogwoodhinge import supervision
from _dogwoodhinge.fleet import adapter_slots as adapter_slots_lib
from _dogwoodhinge.fleet import base_models as base_models_lib
from _dogwoodhinge.fleet import engines as engines_lib
from _dogwoodhinge.fleet import fair_shares
from _dogwoodhinge.fleet import health as health_lib
from _dogwoodhinge.fleet import late_orders as late_orders_lib
from _dogwoodhinge.fleet import loader as loader_lib
from _dogwoodhinge.fleet import models
from _dogwoodhinge.fleet import order_lease as order_lease_lib
from _dogwoodhinge.fleet import orders as orders_lib
from _dogwoodhinge.fleet import placement as placement_lib
from _dogwoodhinge.fleet import placement_queue as placement_queue_lib
from _dogwoodhinge.fleet import prefill_schedule as prefill_schedule_lib
from _dogwoodhinge.fleet import shared_retry_budget as shared_retry_budget_lib
from _dogwoodhinge.fleet import usage as usage_lib
from dogwoodhinge import errors

# A node without a report for this long has left or is unreachable; its use of
# adapters no longer protects them from eviction.
NODE_REPORT_TIMEOUT = datetime.timedelta(seconds=2.5)

MAINTENANCE_INTERVAL = datetime.timedelta(milliseconds=150)

# Delay before the leader checks an adapter that was in use when its unload was
# ordered, or that a request did not find: by then the engine's delayed report
# shows the adapter's state.
SETTLE_DELAY = datetime.timedelta(milliseconds=600)

# Between two attempts to read the state of an engine that does not respond.
STATE_READ_RETRY_DELAY = datetime.timedelta(milliseconds=500)

# Hundreds of placement requests a second ask for the same engines.
CANDIDATES_LIFETIME = datetime.timedelta(milliseconds=20)

# Rejected placement requests come in bursts; one log line covers all of them
# within this time.
REJECTION_LOG_INTERVAL = datetime.timedelta(milliseconds=100)

# From the end of a load to the first event: network latency, and the prefill of
# a short prompt at usual load.
FIRST_EVENT_DELAY_SECONDS = 0.08

# Before a retry after a failed load. Orders to one engine are sent one after
# another, so an order waits for those ahead of it.
FAILED_ORDER_RETRY_DELAY = datetime.timedelta(milliseconds=200)


class NotLeaderError(errors.DogwoodhingeError):
    """This node is not the leader."""


@final
class Leader(mode.Service):
    """Places adapters and base models while this node holds the order lease.

    Attributes:
        leading: whether this node acts as the leader.
        leading_since: loop time from which it does.
        state_reads: reads of engine states in flight, by engine.
        loads: load orders in flight, by engine and adapter.
        rejected: placement requests rejected since the last log line.
        prefill_schedule: when each engine may get its next prompt.
        candidates: engines that may load adapters of a model.
        candidates_of: the model, and the loop time at which they were found.
    """

    def __init__(
        self,
        *,
        lease: order_lease_lib.OrderLease,
        orders: orders_lib.EngineOrderClient,
        directory: engines_lib.Directory,
        configuration: Callable[[], models.Configuration | None],
        shared_retry_budget: shared_retry_budget_lib.SharedRetryBudget,
        report: event_log.EventReporter,
    ) -> None:
        super().__init__()
        self.lease = lease
        self.directory = directory
        self.shared_retry_budget = shared_retry_budget
        self.configuration = configuration
        self.report = report
        self.placement = placement_lib.Placement()
        self.loader = loader_lib.Loader(
            orders=orders,
            placement=self.placement,
            may_order=lease.may_order,
            token=lambda: lease.token,
            report=report,
        )
        self.base_models = base_models_lib.BaseModelLoads()
        self.usage = usage_lib.Usage()
        self.state_reads: dict[str, asyncio.Task[None]] = {}
        self.placement_queue = placement_queue_lib.PlacementQueue(
            find=self._find,
            load=self._load_of,
            is_held=self._is_held,
            lead_time=self._expected_delay,
            rng=random.Random(),
        )
        self.prefill_schedule = prefill_schedule_lib.PrefillSchedule()
        self.candidates: list[adapter_slots_lib.Candidate] = []
        self.candidates_of: tuple[str, float] = ("", -math.inf)
        self.rejected = 0
        self.rejection_logged_at = -math.inf
        self.loads: dict[
            tuple[str, models.AdapterKey],
            asyncio.Task[adapter_slots_lib.Assignment],
        ] = {}
        self.leading = False
        self.leading_since = -math.inf

    # Calls of peers.

    async def place(
        self, request: adapter_slots_lib.PlacementRequest
    ) -> adapter_slots_lib.Assignment:
        """Finds an engine for an adapter and orders its load if necessary.

        While other requests wait for a slot, a request that needs a new slot
        waits in the queue behind them.

        Raises:
            NotLeaderError: this node is not the leader.
            NoFreeSlotError: no slot became free while the request could wait.
        """
        if not self.lease.may_order():
            raise NotLeaderError("this node does not hold the order lease")
        now = asyncio.get_running_loop().time()
        if request.absent_from:
            self.placement.record_absent(request.absent_from, request.key, now)
        if request.version > self.placement.newest.get(request.key, 0):
            self.placement.declare(request.key, request.version)
        if self.placement_queue.has_waiters and not self._is_held(request):
            return await self._wait(request)
        result = self._find(request, now)
        if isinstance(result, adapter_slots_lib.NoFreeSlot):
            return await self._wait(request)
        if result.new:
            self.placement_queue.record_assignment(request)
        if result.new or not result.ordered:
            return await asyncio.shield(self._load_of(result, request))
        return result

    def _find(
        self, request: adapter_slots_lib.PlacementRequest, now: float
    ) -> adapter_slots_lib.Assignment | adapter_slots_lib.NoFreeSlot:
        model, found_at = self.candidates_of
        if (
            model != request.key.model
            or now - found_at >= CANDIDATES_LIFETIME.total_seconds()
        ):
            self.candidates_of = request.key.model, now
            self.candidates = self._candidates(request.key.model, now)
        found = self.placement.find(
            request.key,
            request.version,
            self.candidates,
            avoid=request.avoid,
            prompt_tokens=request.prompt_tokens,
            now=now,
        )
        if request.node and isinstance(found, adapter_slots_lib.Assignment):
            self.placement.record_assigned_use(request.node, request.key)
        return found

    def _is_held(self, request: adapter_slots_lib.PlacementRequest) -> bool:
        return self.placement.is_held(
            request.key, request.version, avoid=request.avoid
        )

    def _expected_delay(self, now: float) -> float:
        """Returns the expected seconds from assignment to first event."""
        return (
            self.placement.load_times.expected(now) + FIRST_EVENT_DELAY_SECONDS
        )

    async def _wait(
        self, request: adapter_slots_lib.PlacementRequest
    ) -> adapter_slots_lib.Assignment:
        try:
            return await self.placement_queue.wait(request)
        except placement_queue_lib.NoFreeSlotError as error:
            if error.final:
                self._report_rejection(request, error.retry_after)
            raise

    def _report_rejection(
        self,
        request: adapter_slots_lib.PlacementRequest,
        retry_after: datetime.timedelta,
    ) -> None:
        now = asyncio.get_running_loop().time()
        self.rejected += 1
        if (
            now - self.rejection_logged_at
            < REJECTION_LOG_INTERVAL.total_seconds()
        ):
            return
        self.report(
            "place_refused",
            {
                "adapter": str(request.key),
                "version": request.version,
                "rank": request.rank,
                "organisation": request.organisation,
                "avoid": ",".join(request.avoid),
                "patience_ms": int(request.max_wait_seconds * 1000),
                "waiting": len(self.placement_queue.queued_requests),
                "waiting_by_rank": {
                    str(rank): count
                    for rank, count in sorted(
                        self.placement_queue.waiting_by_rank().items()
                    )
                },
                "ranks_behind": sorted(
                    self.placement_queue.queue.shares.ranks_behind(now)
                ),
                "places_a_second": round(
                    self.placement_queue.queue.assignment_rate(now), 1
                ),
                "retry_after_ms": int(retry_after.total_seconds() * 1000),
                "count": self.rejected,
                "engines": self._count_engines(request.key.model, now),
                "closed": self.placement.count_closed(self.candidates, now),
                "places": self.placement.count_slots(now),
            },
        )
        self.rejected = 0
        self.rejection_logged_at = now

    async def _load(
        self,
        assignment: adapter_slots_lib.Assignment,
        request: adapter_slots_lib.PlacementRequest,
    ) -> adapter_slots_lib.Assignment:
        key = request.key
        loop = asyncio.get_running_loop()
        decided_at = loop.time()
        try:
            await self.loader.load(assignment, key)
        except loader_lib.OrderFailedError as error:
            self.placement.cancel_reservation(assignment, key, loop.time())
            order_state = self.loader.order_states.get(assignment.engine_id)
            if order_state is not None and order_state.needs_refresh:
                self._schedule_read(assignment.engine_id)
            raise placement_queue_lib.NoFreeSlotError(
                FAILED_ORDER_RETRY_DELAY
            ) from error
        engine = self.placement.engines.get(assignment.engine_id)
        if engine is None:
            # It left while the order was in flight.
            raise placement_queue_lib.NoFreeSlotError(FAILED_ORDER_RETRY_DELAY)
        slot = engine.adapter_slots.get(key)
        ready_at = assignment.ready_at if slot is None else slot.ready_at
        order_state = self.loader.order_states.get(assignment.engine_id)
        self.report(
            "adapter_load_ordered",
            {
                "adapter": str(key),
                "version": assignment.version,
                "engine": assignment.engine_id,
                "evicted": str(assignment.evict or ""),
                "ordering_ms": int((loop.time() - decided_at) * 1000),
                "ready_in_ms": int((ready_at - loop.time()) * 1000),
                "token": self.lease.token,
                "slots_taken": len(engine.adapter_slots),
                "slots": engine.capacity,
                "loading": engine.loading(loop.time()),
                "orders_accepted": None
                if order_state is None
                else order_state.orders_accepted,
            },
        )
        return dataclasses.replace(assignment, ready_at=ready_at)

    def _load_of(
        self,
        assignment: adapter_slots_lib.Assignment,
        request: adapter_slots_lib.PlacementRequest,
    ) -> asyncio.Future[adapter_slots_lib.Assignment]:
        """Starts the load of a new assignment, or joins the one in flight."""
        if assignment.new:
            return self._start_load(assignment, request)
        in_flight = self.loads.get((assignment.engine_id, request.key))
        if in_flight is not None:
            return in_flight
        failed = asyncio.get_running_loop().create_future()
        failed.set_exception(
            placement_queue_lib.NoFreeSlotError(FAILED_ORDER_RETRY_DELAY)
        )
        return failed

    def _start_load(
        self,
        assignment: adapter_slots_lib.Assignment,
        request: adapter_slots_lib.PlacementRequest,
    ) -> asyncio.Task[adapter_slots_lib.Assignment]:
        # The caller may be cancelled, but the slots must still be updated. Not
        # `add_future`: a failed order would end the service there.
        task = asyncio.ensure_future(self._load(assignment, request))
        slot = (assignment.engine_id, request.key)
        self.loads[slot] = task
        task.add_done_callback(functools.partial(self._finish_load, slot))
        return task

    def _finish_load(
        self,
        slot: tuple[str, models.AdapterKey],
        task: asyncio.Task[adapter_slots_lib.Assignment],
    ) -> None:
        if self.loads.get(slot) is task:
            del self.loads[slot]
        if not task.cancelled():
            # Marks the exception as retrieved: the caller, if it still waits,
            # gets it too, and it is logged already.
            task.exception()

    def record_use(self, use: usage_lib.NodeUse) -> None:
        """Records a node's report.

        Raises:
            NotLeaderError: this node is not the leader.
        """
        if not self.lease.is_held_here:
            raise NotLeaderError("this node does not hold the order lease")
        now = asyncio.get_running_loop().time()
        self.usage.record(use, now)
        for service, count in use.requests.items():
            self.shared_retry_budget.note_requests(service, count, now)
        self.placement.record_node_use(use.node, use.active, use.begun, now)

    def take_retry(self, service: str) -> bool:
        """Takes a retry from the shared part of the budget.

        Raises:
            NotLeaderError: this node is not the leader.
        """
        if not self.lease.is_held_here or not self.leading:
            raise NotLeaderError("this node does not hold the order lease")
        now = asyncio.get_running_loop().time()
        return self.shared_retry_budget.take(service, now)

    def peers(self, limit: int) -> list[str]:
        """Returns addresses of the nodes with the most recent reports."""
        # Peers listen on the same port on all hosts.
        _, _, port = self.lease.address.rpartition(":")
        hosts = [name.rpartition("@")[2] for name in self.usage.recent_nodes()]
        return [f"{host}:{port}" for host in hosts[:limit]]

    # Background tasks.

    @mode.Service.task
    async def _maintain(self) -> None:
        await supervision.repeat(self, self._maintain_once, report=self.report)

    async def _maintain_once(self) -> float:
        if self.lease.is_held_here:
            if not self.leading:
                self.leading = True
                self.leading_since = asyncio.get_running_loop().time()
                self.shared_retry_budget.restart(self.leading_since)
                self.report("placement_started", {"token": self.lease.token})
            self._drop_silent_nodes()
            self._update_weights()
            self._track_engines()
            await self._load_base_models()
        elif self.leading:
            self._step_down()
        return MAINTENANCE_INTERVAL.total_seconds()

    def _step_down(self) -> None:
        self.leading = False
        now = asyncio.get_running_loop().time()
        for engine_id in tuple(self.placement.engines):
            self.placement.drop_engine(engine_id, now)
        self.loader.order_states.clear()
        self.usage = usage_lib.Usage()
        self.report("placement_stopped", {"token": self.lease.token})

    def _update_weights(self) -> None:
        configuration = self.configuration()
        if configuration is not None:
            self.placement_queue.queue.slot_use.weights = fair_shares.weights(
                configuration.organisations or ()
            )

    def _drop_silent_nodes(self) -> None:
        now = asyncio.get_running_loop().time()
        for name in self.usage.nodes_silent_since(
            now - NODE_REPORT_TIMEOUT.total_seconds()
        ):
            self.usage.remove_node(name)
            self.placement.drop_node(name)

    def _track_engines(self) -> None:
        now = asyncio.get_running_loop().time()
        current = {e.engine_id: e for e in self._model_engines()}
        moved: dict[str, list[models.AdapterKey]] = {}
        for engine_id, order_state in tuple(self.loader.order_states.items()):
            engine = current.get(engine_id)
            if (
                engine is None
                or engine.entry.incarnation != order_state.entry.incarnation
            ):
                del self.loader.order_states[engine_id]
                wanted = self.placement.sole_popular_adapters(engine_id, now)
                self.placement.drop_engine(engine_id, now)
                self.prefill_schedule.forget(engine_id)
                if engine_id in self.directory.engines:
                    moved[engine_id] = wanted
                self.base_models.record_load_end(engine_id)
        for engine_id in current:
            known = self.loader.order_states.get(engine_id)
            self._confirm_residents(current[engine_id].entry)
            if current[engine_id].pause.is_active(now):
                continue  # it wants no reports and orders either
            if known is None or known.needs_refresh:
                self._schedule_read(engine_id)
            elif self.placement.has_unsettled_slots(
                engine_id, now - SETTLE_DELAY.total_seconds()
            ):
                self._start_read(engine_id, self._settle_engine(engine_id))

        for engine_id, adapters in moved.items():
            self._relocate(engine_id, adapters, now)

    def _confirm_residents(self, entry: models.EngineEntry) -> None:
        self.placement.confirm_residents(
            entry.engine_id,
            [
                models.AdapterKey(model.name, adapter)
                for model in entry.models.values()
                for adapter in model.adapters
            ],
            orders_accepted=entry.orders_accepted,
        )

    def _relocate(
        self, engine_id: str, adapters: list[models.AdapterKey], now: float
    ) -> None:
        """Loads the adapters of a leaving engine before they are missed.

        Load pattern: the engines of a service are replaced one after the
        other under load, each with a full set of popular adapters. Requests
        that already wait for a slot come first.
        """
        if self.placement_queue.has_waiters:
            return
        loaded = []
        for key in adapters:
            request = adapter_slots_lib.PlacementRequest(
                key=key,
                version=self.placement.newest.get(key, 0),
                avoid=frozenset({engine_id}),
                absent_from="",
                prompt_tokens=0,
                seconds_to_target=0.0,
                max_wait_seconds=0.0,
            )
            result = self._find(request, now)
            if isinstance(result, adapter_slots_lib.NoFreeSlot):
                break
            if result.new:
                self._start_load(result, request)
                loaded.append(str(key))
        if loaded:
            self.report(
                "adapters_relocated",
                {"engine": engine_id, "adapters": loaded},
            )

    def _schedule_read(self, engine_id: str) -> None:
        if engine_id not in self.state_reads:
            self._start_read(engine_id, self._read_state(engine_id))

    def _start_read(
        self, engine_id: str, read: Coroutine[None, None, None]
    ) -> None:
        if engine_id in self.state_reads:
            read.close()
            return
        task = asyncio.ensure_future(read)
        self.state_reads[engine_id] = task
        task.add_done_callback(lambda _: self.state_reads.pop(engine_id, None))

    async def _read_state(self, engine_id: str) -> None:
        engine = self.directory.engines.get(engine_id)
        engine_class = None if engine is None else self._engine_class(engine)
        if engine is None or engine_class is None:
            return
        try:
            await self.loader.read_state(
                engine.entry, capacity=engine_class.adapter_places
            )
        except errors.EngineError as error:
            self.report(
                "engine_state_unread",
                {"engine": engine_id, "reason": str(error)},
            )
            await asyncio.sleep(STATE_READ_RETRY_DELAY.total_seconds())

    async def _settle_engine(self, engine_id: str) -> None:
        try:
            await self.loader.reconcile(engine_id)
        except errors.EngineError as error:
            self.report(
                "engine_state_unread",
                {"engine": engine_id, "reason": str(error)},
            )
        # Requests that delay the unload of an adapter may run for seconds.
        await asyncio.sleep(STATE_READ_RETRY_DELAY.total_seconds())

    async def _load_base_models(self) -> None:
        now = asyncio.get_running_loop().time()
        by_service: dict[str, list[engines_lib.Engine]] = {}
        for engine in self._model_engines():
            if engine.entry.models:
                self.base_models.record_load_end(engine.engine_id)
            by_service.setdefault(engine.entry.service, []).append(engine)
        for engines in by_service.values():
            engine_class = self._engine_class(engines[0])
            if engine_class is None:
                continue
            copies: dict[str, int] = {}
            for engine in engines:
                for name in engine.entry.models:
                    copies[name] = copies.get(name, 0) + 1
            empty = [
                base_models_lib.EmptyEngine(
                    e.engine_id,
                    e.entry.service,
                    self.loader.late_models(e.engine_id, now),
                )
                for e in engines
                if not e.entry.models
                and e.engine_id in self.loader.order_states
                and not self.loader.order_states[e.engine_id].needs_refresh
            ]
            chosen = self.base_models.choose(
                empty, engine_class=engine_class, copies=copies, now=now
            )
            # An engine that does not respond must not delay the others.
            await asyncio.gather(
                *(self._load_base_model(*choice) for choice in chosen)
            )

    async def _load_base_model(self, engine_id: str, model: str) -> None:
        if not await self.loader.load_model(engine_id, model):
            self.base_models.record_load_end(engine_id)

    def _candidates(
        self, model: str, now: float
    ) -> list[adapter_slots_lib.Candidate]:
        candidates = []
        for engine in self._model_engines():
            engine_class = self._engine_class(engine)
            penalty = self._penalty(engine, now)
            if engine_class is None or self._unusable_reason(
                engine, model, penalty
            ):
                continue
            slots = self._usable_slots(engine, engine_class, now)
            keeps_one_free = slots > 1 and self._may_have_unknown_late_order(
                engine, now
            )
            candidates.append(
                adapter_slots_lib.Candidate(
                    engine.engine_id,
                    slots,
                    engine.entry.slots,
                    self.usage.work.get(engine.engine_id, usage_lib.NO_WORK),
                    penalty,
                    kept_free=1 if keeps_one_free else 0,
                )
            )
        return candidates

    def _usable_slots(
        self,
        engine: engines_lib.Engine,
        engine_class: models.EngineClass,
        now: float,
    ) -> int:
        """Returns the adapter slots of an engine that may be filled."""
        slots = engine_class.adapter_capacity(engine.entry.models)
        return max(0, slots - self.loader.reserved_slots(engine.engine_id, now))

    def _may_have_unknown_late_order(
        self, engine: engines_lib.Engine, now: float
    ) -> bool:
        """Returns whether an order of the previous leader may be executed.

        That concerns engines that have started since its last orders, since
        they may have had the same id before. A node that has just started
        itself cannot tell which ones have.
        """
        delay = late_orders_lib.MAX_ORDER_DELAY.total_seconds()
        return (
            self.lease.token > 1
            and now < self.leading_since + delay
            and engine.listed_at > self.leading_since - delay
        )

    def _unusable_reason(
        self, engine: engines_lib.Engine, model: str, penalty: float
    ) -> str:
        """Returns why an engine can't load adapters; empty if it can."""
        order_state = self.loader.order_states.get(engine.engine_id)
        if order_state is None or order_state.needs_refresh:
            return "state_unread"
        if not engine.holds_model(model):
            return "without_model"
        if penalty > health_lib.AVOID_ABOVE_PENALTY:
            return "failing"
        if engine.pause.is_active(asyncio.get_running_loop().time()):
            return "paused"
        return ""

    def _penalty(self, engine: engines_lib.Engine, now: float) -> float:
        return self.usage.penalty(
            engine.engine_id,
            own=engine.health.current(now),
            own_node=self.lease.node,
        )

    def _count_engines(self, model: str, now: float) -> dict[str, int]:
        """Counts the engines by why they can't load adapters, or as usable."""
        return collections.Counter(
            self._unusable_reason(engine, model, self._penalty(engine, now))
            or "usable"
            for engine in self._model_engines()
        )

    def _model_engines(self) -> list[engines_lib.Engine]:
        return [
            engine
            for engine in self.directory.engines.values()
            if not engine.leaving and self._engine_class(engine) is not None
        ]

    def _engine_class(
        self, engine: engines_lib.Engine
    ) -> models.EngineClass | None:
        configuration = self.configuration()
        if configuration is None:
            return None
        service = configuration.services.get(engine.entry.service)
        return None if service is None else service.engine
