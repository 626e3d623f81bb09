"""Stand-in of a model engine.

Speaks the protocol of docs/protocols.md. Left out: export and import of KV
cache, changes of role, and the cache events themselves (the report carries
only the number of the newest).
"""

import asyncio
import collections
import contextlib
import json
from typing import Any, Literal, final
import uuid

from absl import flags
import aiohttp
from aiohttp import web

from dogwoodhinge_lab.standins import batch as batch_lib
from dogwoodhinge_lab.standins import events as events_lib
from dogwoodhinge_lab.standins import server

RETAIN_SECONDS = 30.0
LOAD_TIMEOUT_SECONDS = 60.0
HEARTBEAT_SECONDS = 1.0
KEPT_REPORTS = 2_000


class Faults(server.Faults):
    """Faults of the engine.

    Attributes:
        crash_marker: a request whose body contains it crashes the engine;
            empty for none.
        leaving: new requests are refused, those that run go on.
        pause_value: Retry-After with which new requests are refused; empty
            for none.
        restart: once, come back empty with a new epoch.
        slow_factor: makes each step so many times longer.
        fail_loads: next loads that fail after their time.
        report_lag_seconds: age of the figures in the load report.
        event_gap: numbers of cache events that are skipped for each event.
        stream_fault: what happens to the next streams: fall silent, end
            without the marker, carry a chunk of another request, or leave
            a token out.
        stream_fault_after: tokens before that happens.
        stream_fault_count: streams that it happens to.
    """

    crash_marker: str = ""
    leaving: bool = False
    pause_value: str = ""
    restart: bool = False
    slow_factor: float = 1.0
    fail_loads: int = 0
    report_lag_seconds: float = 0.0
    event_gap: int = 0
    stream_fault: Literal["", "silent", "truncate", "foreign", "skip"] = ""
    stream_fault_after: int = 3
    stream_fault_count: int = 0


@final
class EngineStandin(server.Standin[Faults]):
    """One engine.

    Attributes:
        engine_id: its name in the list of hosts.
        slots: adapters that it holds at once.
        checks_fencing: refuses orders with an old fencing token.
        epoch: drawn anew at each start.
        residents: loaded adapters, as `adapter@version`.
        loading: loads under way.
    """

    def __init__(
        self,
        *,
        engine_id: str = "engine",
        slots: int = 4,
        batch: int = 8,
        checks_fencing: bool = True,
        speed: batch_lib.Speed | None = None,
    ) -> None:
        super().__init__(Faults())
        self.engine_id = engine_id
        self.slots = slots
        self.checks_fencing = checks_fencing
        self.epoch = uuid.uuid4().hex
        self.fence = 0
        self.event_sequence = 0
        self.residents: set[str] = set()
        self.loading: set[str] = set()
        self.batch = batch_lib.Batch(
            batch,
            speed or batch_lib.Speed(),
            retain_seconds=RETAIN_SECONDS,
        )
        self.reports: collections.deque[tuple[float, dict[str, Any]]] = (
            collections.deque(maxlen=KEPT_REPORTS)
        )
        self.app.cleanup_ctx.append(self._background)
        router = self.app.router
        router.add_get("/v1/models", self._get_models)
        router.add_get("/v1/load_report", self._get_report)
        router.add_post("/v1/completions", self._generate)
        router.add_post("/v1/chat/completions", self._generate)
        router.add_post("/v1/load_lora_adapter", self._load)
        router.add_post("/v1/unload_lora_adapter", self._unload)
        router.add_post("/v1/fence", self._raise_fence)
        router.add_post("/v1/requests/{request_id}/cancel", self._cancel)

    def faults_changed(self) -> None:
        """Acts on the faults that happen once."""
        self.batch.slow_factor = self.faults.slow_factor
        if self.faults.restart:
            self.faults.restart = False
            self.crash()

    def crash(self) -> None:
        """Drops all connections and comes back empty."""
        self.record("crash", epoch=self.epoch)
        self.batch.clear()
        self.residents.clear()
        self.epoch = uuid.uuid4().hex
        self.fence = 0
        self.event_sequence = 0
        self.reports.clear()
        for protocol in list(self.open_connections):
            if protocol.transport is not None:
                protocol.transport.abort()

    async def _background(self, app: web.Application) -> Any:
        del app
        self.loads = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=LOAD_TIMEOUT_SECONDS),
            connector=aiohttp.TCPConnector(force_close=True),
        )
        stepping = asyncio.create_task(self.batch.run())
        yield
        stepping.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await stepping
        await self.loads.close()

    async def _get_models(self, request: web.Request) -> web.Response:
        del request
        data = [{"id": name, "object": "model"} for name in self.residents]
        return web.json_response({"object": "list", "data": data})

    async def _get_report(self, request: web.Request) -> web.Response:
        del request
        now = asyncio.get_running_loop().time()
        self._note_report(now)
        seen = now - self.faults.report_lag_seconds
        old = [entry for entry in self.reports if entry[0] <= seen]
        time, report = old[-1] if old else self.reports[0]
        age_ms = max(now - time, self.faults.report_lag_seconds) * 1e3
        return web.json_response(report | {"age_ms": age_ms})

    def _note_report(self, now: float) -> None:
        report = {
            "epoch": self.epoch,
            "residents": sorted(self.residents),
            "running": [
                {"request_id": item.request_id, "adapter": item.model}
                for item in self.batch.running
            ],
            "waiting": len(self.batch.waiting),
            "fence": self.fence,
            "event_sequence": self.event_sequence,
        }
        self.reports.append((now, report))

    async def _load(self, request: web.Request) -> web.Response:
        body = await request.json()
        name = body["lora_name"]
        self._check_fence(request, "load", name)
        self.record("load", adapter=name, token=_token(request))
        if name in self.residents:
            return web.json_response({"loaded": name})
        if len(self.residents | self.loading | {name}) > self.slots:
            raise _problem(web.HTTPBadRequest, "no_free_slot", name)
        epoch = self.epoch
        self.loading.add(name)
        try:
            loaded = await self._fetch(body["lora_path"])
        finally:
            self.loading.discard(name)
        if not loaded or epoch != self.epoch:
            self.record("load failed", adapter=name)
            raise _problem(web.HTTPServiceUnavailable, "load_failed", name)
        self.residents.add(name)
        self._note_event()
        self.record("loaded", adapter=name)
        return web.json_response({"loaded": name})

    async def _fetch(self, url: str) -> bool:
        try:
            async with self.loads.get(url) as response:
                await response.read()
                done = response.status == web.HTTPOk.status_code
        except (aiohttp.ClientError, TimeoutError, OSError):
            done = False
        if self.faults.fail_loads:
            self.faults.fail_loads -= 1
            return False
        return done

    async def _unload(self, request: web.Request) -> web.Response:
        body = await request.json()
        name = body["lora_name"]
        self._check_fence(request, "unload", name)
        used = self.batch.uses(name)
        self.record("unload", adapter=name, token=_token(request), used=used)
        if name not in self.residents:
            raise _problem(web.HTTPNotFound, "adapter_not_loaded", name)
        self.residents.discard(name)
        self._note_event()
        return web.json_response({"unloaded": name})

    def _note_event(self) -> None:
        self.event_sequence += 1 + self.faults.event_gap

    async def _raise_fence(self, request: web.Request) -> web.Response:
        token = int((await request.json())["token"])
        if self.checks_fencing:
            if token < self.fence:
                raise _problem(web.HTTPConflict, "stale_fence", str(token))
            self.fence = token
        self.record("fence", token=token)
        return web.json_response({"fence": self.fence})

    def _check_fence(self, request: web.Request, what: str, name: str) -> None:
        token = _token(request)
        if not self.checks_fencing or not token:
            return
        if token < self.fence:
            self.record("refused", order=what, name=name, token=token)
            raise _problem(web.HTTPConflict, "stale_fence", str(token))
        self.fence = token

    async def _cancel(self, request: web.Request) -> web.Response:
        request_id = request.match_info["request_id"]
        self.record("cancel", request_id=request_id)
        if not self.batch.cancel(request_id):
            raise _problem(web.HTTPNotFound, "unknown_request", request_id)
        return web.json_response({"cancelled": request_id})

    async def _generate(self, request: web.Request) -> web.StreamResponse:
        text = await request.text()
        item = self._find_or_submit(request, json.loads(text))
        if self.faults.crash_marker and self.faults.crash_marker in text:
            self.crash()
            return web.Response()
        return await self._stream(request, item)

    def _find_or_submit(
        self, request: web.Request, body: dict[str, Any]
    ) -> batch_lib.Generation:
        request_id = request.headers.get("X-Request-Id") or uuid.uuid4().hex
        if not body.get("stream"):
            raise _problem(web.HTTPBadRequest, "only_streams", request_id)
        known = self.batch.known.get(request_id)
        if known is not None:
            return known
        self._check_fence(request, "generate", request_id)
        if "X-Resume-Offset" in request.headers:
            raise _problem(web.HTTPNotFound, "unknown_request", request_id)
        model = body["model"]
        if self.faults.leaving:
            self.record("refused leaving", request_id=request_id)
            raise _problem(web.HTTPServiceUnavailable, "leaving", request_id)
        if self.faults.pause_value:
            self.record("refused pause", request_id=request_id)
            refusal = _problem(web.HTTPServiceUnavailable, "busy", request_id)
            refusal.headers["Retry-After"] = self.faults.pause_value
            raise refusal
        if model not in self.residents:
            raise _problem(web.HTTPNotFound, "adapter_not_loaded", model)
        priority = int(request.headers.get("X-Priority", "0"))
        item = batch_lib.Generation(request_id, model, body, priority)
        self.record(
            "generate",
            request_id=request_id,
            adapter=model,
            prompt=item.prompt,
            max_tokens=item.max_tokens,
        )
        self.batch.submit(item)
        return item

    async def _stream(
        self, request: web.Request, item: batch_lib.Generation
    ) -> web.StreamResponse:
        response = web.StreamResponse(
            headers={"Content-Type": "text/event-stream"}
        )
        await response.prepare(request)
        sent = int(request.headers.get("X-Resume-Offset", "0"))
        fault = self._take_stream_fault()
        fault_at = sent + self.faults.stream_fault_after
        chat = request.path.endswith("/chat/completions")
        with contextlib.suppress(ConnectionError):
            while True:
                if self.is_silent(request):
                    await self.fall_silent()
                for event in events_lib.tokens_after(item, sent, chat):
                    sent += 1
                    if fault and sent > fault_at:
                        if fault == "silent":
                            await self.fall_silent()
                        event = events_lib.spoil(fault, event)
                        fault = ""
                        if not event:
                            continue
                        if event == events_lib.END_STREAM:
                            return response
                    await response.write(event)
                if item.done and sent >= len(item.tokens):
                    break
                await self._wait_for_change(item, sent, response)
            await events_lib.write_end(response, item, chat)
        return response

    async def _wait_for_change(
        self,
        item: batch_lib.Generation,
        sent: int,
        response: web.StreamResponse,
    ) -> None:
        if item.done or sent < len(item.tokens):
            return
        try:
            async with asyncio.timeout(HEARTBEAT_SECONDS):
                await item.changed.wait()
        except TimeoutError:
            await response.write(b": waiting\n\n")

    def _take_stream_fault(self) -> str:
        if not self.faults.stream_fault_count:
            return ""
        self.faults.stream_fault_count -= 1
        return self.faults.stream_fault


def _token(request: web.Request) -> int:
    return int(request.headers.get("X-Fencing-Token", "0"))


def _problem(
    kind: type[web.HTTPError], code: str, detail: str
) -> web.HTTPError:
    return kind(
        text=json.dumps({"code": code, "detail": detail}),
        content_type="application/problem+json",
    )


def _make(values: flags.FlagValues) -> EngineStandin:
    return EngineStandin(
        engine_id=values.engine_id,
        slots=values.slots,
        batch=values.batch,
        checks_fencing=values.checks_fencing,
        speed=batch_lib.Speed(step_ms=values.step_ms),
    )


if __name__ == "__main__":
    flags.DEFINE_string("engine_id", "engine", "name in the list of hosts")
    flags.DEFINE_integer("slots", 4, "adapters held at once")
    flags.DEFINE_integer("batch", 8, "requests run at once")
    flags.DEFINE_boolean("checks_fencing", True, "refuse old fencing tokens")
    flags.DEFINE_float("step_ms", 10.0, "time of a step of one request")
    server.run(_make)
