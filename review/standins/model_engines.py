"""A stand-in for the platform's model engines, with adapters and orders.

It replies to orders as PROTOCOL.md says: one count of accepted orders, which
`precondition` has to equal; a load of an adapter takes a place from its order
on; four adapters may be on their way; reports lag. An order may be left without
a reply and carried out later, when its precondition is checked. An engine that
is ordered to load more than it has places for crashes, and is recorded.
"""

import asyncio
from collections.abc import Callable
import json
import time
from typing import Any, final

import platform_standins as standins

MODEL = "m0"
SERVICE = "stave-llm"
PLACES = 18  # SYSTEM.md: "18 places for adapters"
ADAPTER_LOAD_SECONDS = 0.25
DISK_LOAD_SECONDS = 0.78  # diskLoadS; a restart preserves the disk
MAX_ON_THEIR_WAY = 4
REPORT_LAG_SECONDS = 0.3
EVENT_SECONDS = 0.015
EVENTS = 2

IS_LATE = Callable[["ModelEngine", dict[str, Any]], float]


@final
class ModelEngine:
    """One engine, across its restarts under one id.

    Attributes:
        sequence: orders accepted since its start.
        late_seconds: returns the delay of an order that is left without a
            reply; 0 for an order that is answered.
        overfilled: loads that were ordered without a free place.
    """

    def __init__(
        self,
        engine_id: str,
        *,
        store: standins.Store,
        record: standins.Record,
        late_seconds: IS_LATE,
    ) -> None:
        self.engine_id = engine_id
        self.store = store
        self.record = record
        self.late_seconds = late_seconds
        self.overfilled: list[str] = []
        self.has_model = True  # "the busy models are placed on many engines"
        self.server = standins.HttpServer(self._handle)
        self.port = 0
        self.up = False
        self.tasks: set[asyncio.Task[None]] = set()
        self._reset()

    def _reset(self) -> None:
        self.born = time.time_ns() // 1_000_000
        self.sequence = 0
        self.busy = False
        self.resident: set[str] = set()
        self.pending: set[str] = set()
        self.unloading: set[str] = set()
        self.running: dict[str, int] = {}
        self.last_unload_at = 0
        self.states: list[tuple[float, dict[str, Any]]] = []
        self._snapshot()

    async def start(self) -> None:
        """Listens, on the same port each time, and begins to beat."""
        await self.server.start(port=self.port)
        self.port = self.server.port
        self.up = True
        self._spawn(self._beat(self.born))

    def _spawn(self, coroutine: Any) -> None:
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def stop(self) -> None:
        """Ends the engine for good."""
        self.up = False
        for task in tuple(self.tasks):
            task.cancel()
        self.server.stop()

    async def crash(self, seconds: float) -> None:
        """Crashes, and starts empty under the same id after some seconds."""
        self.record.write("crash", engine=self.engine_id)
        self.up = False
        self.server.stop()
        await asyncio.sleep(seconds)
        self.has_model = False
        self._reset()
        self.server = standins.HttpServer(self._handle)
        await self.start()
        self.record.write("back", engine=self.engine_id, born=self.born)

    def _snapshot(self) -> None:
        state = {
            "stage": "colocated",
            "models": self._models(),
            "busy": self.busy,
            "sequence": self.sequence,
            "waiting": 0,
            "running": sum(self.running.values()),
            "kvCacheUsed": 0,
            "kvCacheTotal": 249_868,
            "handles": 0,
            "pending": [f"{MODEL}/{name}@1" for name in sorted(self.pending)],
            "born": self.born,
        }
        self.states.append((time.monotonic(), state))
        del self.states[:-200]

    def _models(self) -> list[dict[str, Any]]:
        if not self.has_model:
            return []
        held = [f"{name}@1" for name in sorted(self.resident)]
        return [{"name": MODEL, "version": 1, "adapters": held}]

    async def _beat(self, born: int) -> None:
        while self.up and self.born == born:
            self.store.put(
                "servers",
                self.engine_id,
                {
                    "service": SERVICE,
                    "address": f"127.0.0.1:{self.port}",
                    "zone": "z1",
                    "version": "v1",
                    "slots": 64,
                    "state": "ready",
                    "coldRemainingMs": 0,
                    "stage": "colocated",
                    "models": self._models(),
                    "sequence": self.sequence,
                    "born": born,
                },
            )
            await asyncio.sleep(standins.HEARTBEAT_SECONDS)

    async def _handle(
        self, request: standins.Request, connection: standins.Connection
    ) -> bool:
        expected = request.headers.get("expected-instance", self.engine_id)
        attempt = request.headers.get("attempt-id", "")
        if expected != self.engine_id:
            answer = self._misdirected(attempt)
        elif request.path == "/report":
            answer = standins.json_response("200 OK", self._report())
        elif request.path == "/order":
            reply = await self._order(json.loads(request.body))
            if reply == 0:
                return False
            answer = standins.response(f"{reply} Order")
        else:
            return await self._run(request, attempt, connection)
        await connection.write(answer)
        return True

    def _misdirected(self, attempt: str) -> bytes:
        return standins.response(
            "421 Misdirected Request",
            Attempt_Id=attempt,
            Instance_Id=self.engine_id,
        )

    def _report(self) -> dict[str, Any]:
        at = time.monotonic() - REPORT_LAG_SECONDS
        old = [state for since, state in self.states if since <= at]
        return old[-1] if old else self.states[0][1]

    async def _order(self, order: dict[str, Any]) -> int:
        late = self.late_seconds(self, order)
        self._write("order", order, late=f"{late:.1f}")
        if not late:
            return self._execute(order)
        self._spawn(self._execute_late(order, late))
        await asyncio.sleep(0.5)  # the sender has stopped waiting by then
        return 0

    async def _execute_late(self, order: dict[str, Any], late: float) -> None:
        await asyncio.sleep(late)
        if self.up:
            reply = self._execute(order)
            self._write("carried_out_late", order, reply=reply)

    def _write(
        self, event: str, order: dict[str, Any], **fields: object
    ) -> None:
        self.record.write(
            event,
            engine=self.engine_id,
            what=order["operation"],
            adapter=order.get("adapter", ""),
            precondition=order.get("precondition"),
            sequence=self.sequence,
            places=len(self.resident | self.pending | self.unloading),
            **fields,
        )

    def _execute(self, order: dict[str, Any]) -> int:
        name = order.get("adapter", "")
        loads = order["operation"] == "loading"
        fits = order.get("precondition", self.sequence) == self.sequence
        if not name:
            return self._load_model(fits=fits) if loads else 400
        if loads and name in self.resident | self.pending:
            self._write("already_holds", order)
            return 200
        if loads and len(self.pending) >= MAX_ON_THEIR_WAY:
            return 409
        if not fits or (not loads and self.unloading):
            return 409
        if not loads and name not in self.resident:
            self._write("not_there", order)
            return 200
        self.sequence += 1
        reply = self._load(name) if loads else self._unload(name)
        self._snapshot()
        return reply

    def _load_model(self, *, fits: bool) -> int:
        if self.has_model:
            return 200
        if self.busy or not fits:
            return 409
        self.sequence += 1
        self.busy = True
        self._snapshot()
        self._spawn(self._finish_model(self.born))
        return 202

    async def _finish_model(self, born: int) -> None:
        await asyncio.sleep(DISK_LOAD_SECONDS)
        if self.born == born:
            self.busy = False
            self.has_model = True
            self._snapshot()

    def _load(self, name: str) -> int:
        taken = self.resident | self.pending | self.unloading
        if len(taken) >= PLACES:
            self.overfilled.append(name)
            self.record.write(
                "LIMIT",
                engine=self.engine_id,
                adapter=name,
                taken=len(taken),
                running=sum(self.running.values()),
            )
            self.up = False
            self.server.stop()  # it crashes
            return 0
        self.pending.add(name)
        self._spawn(self._finish_load(name, self.born))
        return 202

    async def _finish_load(self, name: str, born: int) -> None:
        await asyncio.sleep(ADAPTER_LOAD_SECONDS)
        if self.born == born:
            self.pending.discard(name)
            self.resident.add(name)
            self._snapshot()

    def _unload(self, name: str) -> int:
        self.last_unload_at = self.sequence
        self.resident.discard(name)
        if not self.running.get(name):
            return 200
        self.unloading.add(name)
        return 202

    async def _run(
        self,
        request: standins.Request,
        attempt: str,
        connection: standins.Connection,
    ) -> bool:
        name = request.headers.get("model", "").partition("/")[2]
        if name not in self.resident:
            await connection.write(self._misdirected(attempt))
            return True
        born = self.born
        self.running[name] = self.running.get(name, 0) + 1
        await connection.write(
            (
                f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\n"
                f"Response-Signature: sig.{attempt}\r\n"
                "Content-Type: text/event-stream\r\n"
                "Transfer-Encoding: chunked\r\n\r\n"
            ).encode()
        )
        for number in range(1, EVENTS + 1):
            await asyncio.sleep(EVENT_SECONDS)
            data = b"id: %d\ndata: %s\n\n" % (number, attempt.encode())
            await connection.write(b"%x\r\n%b\r\n" % (len(data), data))
        await connection.write(b"0\r\n\r\n")
        if self.born == born:
            self.running[name] -= 1
            if name in self.unloading and not self.running[name]:
                self.unloading.discard(name)
                self._snapshot()
        return True


def configuration() -> dict[str, object]:
    """Returns a configuration with one service of model engines."""
    found = standins.configuration(
        1,
        [
            standins.plain_route(
                "describe",
                "streaming",
                SERVICE,
                timeoutMs=6000,
                targetLatencyMs=500,
                targetGapMs=250,
                resumable=True,
                sticky=True,
            )
        ],
        [SERVICE],
    )
    engine = {
        "slots": 64,
        "kvCacheTokens": 249_868,
        "weightsSizeMb": 66_600.0,
        "adapterSlots": PLACES,
        "loadsPerS": 3.2,
        "models": [
            {
                "name": MODEL,
                "weightsSizeMb": 65_100.0,
                "loadTimeS": 1.9,
                "adapters": 3000,
                "adapterSizeMb": 12.0,
                "warmUpS": 0.6,
                "diskLoadS": 0.78,
            }
        ],
    }
    services: Any = found["services"]
    services[0].update(engine=engine, connectionLimit=360)
    return found
