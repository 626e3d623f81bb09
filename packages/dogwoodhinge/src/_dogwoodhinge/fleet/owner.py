"""The node that gives the orders: answers peers and keeps engines in shape."""

import asyncio
import collections
from collections.abc import Callable, Coroutine
import dataclasses
import datetime
import math
import random
from typing import final

import mode

from _dogwoodhinge import event_log
from _dogwoodhinge import supervision
from _dogwoodhinge.fleet import base_models as base_models_lib
from _dogwoodhinge.fleet import engines as engines_lib
from _dogwoodhinge.fleet import health as health_lib
from _dogwoodhinge.fleet import loader as loader_lib
from _dogwoodhinge.fleet import models
from _dogwoodhinge.fleet import order_lease as order_lease_lib
from _dogwoodhinge.fleet import orders as orders_lib
from _dogwoodhinge.fleet import place_line as place_line_lib
from _dogwoodhinge.fleet import placement as placement_lib
from _dogwoodhinge.fleet import places as places_lib
from _dogwoodhinge.fleet import shared_sends as shared_sends_lib
from _dogwoodhinge.fleet import usage as usage_lib
from dogwoodhinge import errors

# A node that reports nothing for so long has left or is cut off; its use of
# adapters no longer protects them.
NODE_SILENCE = datetime.timedelta(seconds=2.5)

TEND_EVERY = datetime.timedelta(milliseconds=150)

# An adapter that was in use when its unload was ordered, or that a request did
# not find, is looked after once the engine's report, which lags behind, can
# show where it is.
SETTLE_AFTER = datetime.timedelta(milliseconds=600)

# Between two attempts to read the state of an engine that does not answer.
READ_AGAIN_AFTER = datetime.timedelta(milliseconds=500)

# Wishes without a place come in crowds; one line tells of all within this time.
REFUSED_LOG_EVERY = datetime.timedelta(milliseconds=100)

# From the end of a load to the first event: the way, and the reading of a short
# prompt at usual load.
FIRST_EVENT_SECONDS = 0.08

# An order that comes between two others of the same engine waits for them.
RETRY_SOON = datetime.timedelta(milliseconds=200)


class NotOwnerError(errors.DogwoodhingeError):
    """Another node gives the orders."""


@final
class Owner(mode.Service):
    """Leads placement while the lease is held."""

    def __init__(
        self,
        *,
        lease: order_lease_lib.OrderLease,
        orders: orders_lib.EngineOrders,
        directory: engines_lib.Directory,
        configuration: Callable[[], models.Configuration | None],
        shared_sends: shared_sends_lib.SharedSends,
        report: event_log.Report,
    ) -> None:
        super().__init__()
        self.lease = lease
        self.directory = directory
        self.shared_sends = shared_sends
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
        self.reading: dict[str, asyncio.Task[None]] = {}
        self.line = place_line_lib.PlaceLine(
            find=self._find,
            load=self._load,
            lead=self._lead,
            draw=random.Random(),
        )
        self.refused = 0
        self.refused_logged_at = -math.inf
        self.loads: set[asyncio.Task[places_lib.Seat]] = set()
        self.leading = False

    # Calls of peers

    async def place(self, want: places_lib.Want) -> places_lib.Seat:
        """Finds a place for an adapter and orders its load.

        While others wait for a place, a new one is had in its turn only.

        Raises:
            NotOwnerError: this node gives no orders.
            NoRoomError: there was no place while it may wait.
        """
        if not self.lease.may_order():
            raise NotOwnerError("this node does not hold the order lease")
        now = asyncio.get_running_loop().time()
        if want.absent_from:
            self.placement.note_absent(want.absent_from, want.key, now)
        if want.version > self.placement.newest.get(want.key, 0):
            self.placement.declare(want.key, want.version)
        if self.line.waits and not self.placement.is_held(
            want.key, want.version, avoid=want.avoid
        ):
            return await self._wait(want)
        found = self._find(want, now)
        if isinstance(found, places_lib.NoRoom):
            return await self._wait(want)
        if found.new:
            self.line.note_given()
            return await asyncio.shield(self._start_load(found, want))
        return found

    def _find(
        self, want: places_lib.Want, now: float
    ) -> places_lib.Seat | places_lib.NoRoom:
        return self.placement.find(
            want.key,
            want.version,
            self._candidates(want.key.model, now),
            avoid=want.avoid,
            prompt_tokens=want.prompt_tokens,
            now=now,
        )

    def _lead(self, now: float) -> float:
        """Returns the seconds from a place to the first event."""
        return self.placement.load_times.expected(now) + FIRST_EVENT_SECONDS

    async def _wait(self, want: places_lib.Want) -> places_lib.Seat:
        try:
            return await self.line.wait(want)
        except place_line_lib.NoRoomError as error:
            if error.final:
                self._note_refused(want, error.retry_after)
            raise

    def _note_refused(
        self, want: places_lib.Want, retry_after: datetime.timedelta
    ) -> None:
        now = asyncio.get_running_loop().time()
        self.refused += 1
        if now - self.refused_logged_at < REFUSED_LOG_EVERY.total_seconds():
            return
        self.report(
            "place_refused",
            {
                "adapter": str(want.key),
                "version": want.version,
                "avoid": ",".join(want.avoid),
                "patience_ms": int(want.patience_seconds * 1000),
                "waiting": len(self.line.wishes),
                "places_a_second": round(self.line.line.pace(now), 1),
                "retry_after_ms": int(retry_after.total_seconds() * 1000),
                "count": self.refused,
                "engines": self._count_engines(want.key.model, now),
                "places": self.placement.count_places(now),
            },
        )
        self.refused = 0
        self.refused_logged_at = now

    async def _load(
        self, seat: places_lib.Seat, want: places_lib.Want
    ) -> places_lib.Seat:
        key = want.key
        loop = asyncio.get_running_loop()
        decided_at = loop.time()
        try:
            await self.loader.load(seat, key)
        except loader_lib.OrderFailedError as error:
            self.placement.undo(seat.engine_id, key, loop.time())
            line = self.loader.lines.get(seat.engine_id)
            if line is not None and line.in_doubt:
                self._read_soon(seat.engine_id)
            raise place_line_lib.NoRoomError(RETRY_SOON) from error
        engine = self.placement.engines.get(seat.engine_id)
        if engine is None:
            # It left while the order was on its way.
            raise place_line_lib.NoRoomError(RETRY_SOON)
        place = engine.places.get(key)
        ready_at = seat.ready_at if place is None else place.ready_at
        self.report(
            "adapter_load_ordered",
            {
                "adapter": str(key),
                "version": seat.version,
                "engine": seat.engine_id,
                "evicted": str(seat.evict or ""),
                "ordering_ms": int((loop.time() - decided_at) * 1000),
                "ready_in_ms": int((ready_at - loop.time()) * 1000),
                "token": self.lease.token,
            },
        )
        return dataclasses.replace(seat, ready_at=ready_at)

    def _start_load(
        self, seat: places_lib.Seat, want: places_lib.Want
    ) -> asyncio.Task[places_lib.Seat]:
        # The asker may leave; the places must stay right all the same. Not
        # `add_future`: a failed order there would end the service.
        task = asyncio.ensure_future(self._load(seat, want))
        self.loads.add(task)
        task.add_done_callback(self._end_load)
        return task

    def _end_load(self, task: asyncio.Task[places_lib.Seat]) -> None:
        self.loads.discard(task)
        if not task.cancelled():
            # Told to the asker, if it is still there, and logged already.
            task.exception()

    def take_use(self, use: usage_lib.Use) -> None:
        """Takes a node's report.

        Raises:
            NotOwnerError: this node gives no orders.
        """
        if not self.lease.is_mine:
            raise NotOwnerError("this node does not hold the order lease")
        now = asyncio.get_running_loop().time()
        self.usage.take(use, now)
        for service, count in use.requests.items():
            self.shared_sends.note_requests(service, count, now)
        self.placement.note_active(use.node, use.active, use.begun, now)

    def take_second_send(self, service: str) -> bool:
        """Takes a second send from the shared part of the budget.

        Raises:
            NotOwnerError: this node gives no orders.
        """
        if not self.lease.is_mine or not self.leading:
            raise NotOwnerError("this node does not hold the order lease")
        now = asyncio.get_running_loop().time()
        return self.shared_sends.take(service, now)

    def peers(self, most: int) -> list[str]:
        """Returns addresses of the nodes that reported last."""
        # Peers listen on the same port on all hosts.
        _, _, port = self.lease.address.rpartition(":")
        hosts = [name.rpartition("@")[2] for name in self.usage.latest()]
        return [f"{host}:{port}" for host in hosts[:most]]

    # Own work

    @mode.Service.task
    async def _tend(self) -> None:
        await supervision.repeat(self, self._tend_once, report=self.report)

    async def _tend_once(self) -> float:
        if self.lease.is_mine:
            if not self.leading:
                self.leading = True
                self.shared_sends.restart(asyncio.get_running_loop().time())
                self.report("placement_started", {"token": self.lease.token})
            self._forget_nodes()
            self._follow_engines()
            await self._load_base_models()
        elif self.leading:
            self._stop_leading()
        return TEND_EVERY.total_seconds()

    def _stop_leading(self) -> None:
        self.leading = False
        now = asyncio.get_running_loop().time()
        for engine_id in tuple(self.placement.engines):
            self.placement.drop_engine(engine_id, now)
        self.loader.lines.clear()
        self.usage = usage_lib.Usage()
        self.report("placement_stopped", {"token": self.lease.token})

    def _forget_nodes(self) -> None:
        now = asyncio.get_running_loop().time()
        for name in self.usage.silent_since(now - NODE_SILENCE.total_seconds()):
            self.usage.forget(name)
            self.placement.drop_node(name)

    def _follow_engines(self) -> None:
        now = asyncio.get_running_loop().time()
        current = {e.engine_id: e for e in self._model_engines()}
        for engine_id, line in tuple(self.loader.lines.items()):
            engine = current.get(engine_id)
            if (
                engine is None
                or engine.entry.incarnation != line.entry.incarnation
            ):
                del self.loader.lines[engine_id]
                self.placement.drop_engine(engine_id, now)
                self.base_models.note_ended(engine_id)
        for engine_id in current:
            known = self.loader.lines.get(engine_id)
            if known is None or known.in_doubt:
                self._read_soon(engine_id)
            elif self.placement.is_unsettled(
                engine_id, now - SETTLE_AFTER.total_seconds()
            ):
                self._start_reading(engine_id, self._settle(engine_id))

    def _read_soon(self, engine_id: str) -> None:
        if engine_id not in self.reading:
            self._start_reading(engine_id, self._read(engine_id))

    def _start_reading(
        self, engine_id: str, work: Coroutine[None, None, None]
    ) -> None:
        if engine_id in self.reading:
            work.close()
            return
        task = asyncio.ensure_future(work)
        self.reading[engine_id] = task
        task.add_done_callback(lambda _: self.reading.pop(engine_id, None))

    async def _read(self, engine_id: str) -> None:
        engine = self.directory.engines.get(engine_id)
        engine_class = None if engine is None else self._class_of(engine)
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
            await asyncio.sleep(READ_AGAIN_AFTER.total_seconds())

    async def _settle(self, engine_id: str) -> None:
        try:
            await self.loader.settle(engine_id)
        except errors.EngineError as error:
            self.report(
                "engine_state_unread",
                {"engine": engine_id, "reason": str(error)},
            )
        # Runs that hold an adapter up may take seconds.
        await asyncio.sleep(READ_AGAIN_AFTER.total_seconds())

    async def _load_base_models(self) -> None:
        now = asyncio.get_running_loop().time()
        by_service: dict[str, list[engines_lib.Engine]] = {}
        for engine in self._model_engines():
            if engine.entry.models:
                self.base_models.note_ended(engine.engine_id)
            by_service.setdefault(engine.entry.service, []).append(engine)
        for engines in by_service.values():
            engine_class = self._class_of(engines[0])
            if engine_class is None:
                continue
            copies: dict[str, int] = {}
            for engine in engines:
                for name in engine.entry.models:
                    copies[name] = copies.get(name, 0) + 1
            empty = [
                base_models_lib.EmptyEngine(e.engine_id, e.entry.service)
                for e in engines
                if not e.entry.models
                and e.engine_id in self.loader.lines
                and not self.loader.lines[e.engine_id].in_doubt
            ]
            chosen = self.base_models.choose(
                empty, engine_class=engine_class, copies=copies, now=now
            )
            # An engine that does not answer must not hold up the others.
            await asyncio.gather(
                *(self._load_base_model(*choice) for choice in chosen)
            )

    async def _load_base_model(self, engine_id: str, model: str) -> None:
        if not await self.loader.load_model(engine_id, model):
            self.base_models.note_ended(engine_id)

    def _candidates(self, model: str, now: float) -> list[places_lib.Candidate]:
        found = []
        for engine in self._model_engines():
            engine_class = self._class_of(engine)
            penalty = self._penalty(engine, now)
            if engine_class is None or self._why_unusable(
                engine, model, penalty
            ):
                continue
            found.append(
                places_lib.Candidate(
                    engine.engine_id,
                    engine_class.places_beside(engine.entry.models),
                    engine.entry.slots,
                    self.usage.work.get(engine.engine_id, usage_lib.NOTHING),
                    penalty,
                )
            )
        return found

    def _why_unusable(
        self, engine: engines_lib.Engine, model: str, penalty: float
    ) -> str:
        """Tells why an engine can load no adapter; empty when it can."""
        line = self.loader.lines.get(engine.engine_id)
        if line is None or line.in_doubt:
            return "state_unread"
        if not engine.holds_model(model):
            return "without_model"
        if penalty > health_lib.AVOID_ABOVE:
            return "failing"
        return ""

    def _penalty(self, engine: engines_lib.Engine, now: float) -> float:
        return self.usage.penalty(
            engine.engine_id,
            own=engine.health.current(now),
            own_node=self.lease.node,
        )

    def _count_engines(self, model: str, now: float) -> dict[str, int]:
        """Returns how many engines can load adapters, or why they can't."""
        return collections.Counter(
            self._why_unusable(engine, model, self._penalty(engine, now))
            or "usable"
            for engine in self._model_engines()
        )

    def _model_engines(self) -> list[engines_lib.Engine]:
        return [
            engine
            for engine in self.directory.engines.values()
            if not engine.leaving and self._class_of(engine) is not None
        ]

    def _class_of(
        self, engine: engines_lib.Engine
    ) -> models.EngineClass | None:
        configuration = self.configuration()
        if configuration is None:
            return None
        service = configuration.services.get(engine.entry.service)
        return None if service is None else service.engine
