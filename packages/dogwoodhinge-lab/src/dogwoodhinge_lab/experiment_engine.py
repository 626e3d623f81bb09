"""Small fakes of an engine and a weight store for the measurements."""

import asyncio
from collections.abc import AsyncIterator
import dataclasses
import datetime
from typing import final

from dogwoodhinge import errors
from dogwoodhinge import models

LOAD_SECONDS = 0.25
STEP_SECONDS = 0.012
STEP_SECONDS_A_REQUEST = 0.000_5
STEP_SECONDS_AN_ADAPTER = 0.001
STEP_SECONDS_A_PROMPT_TOKEN = 0.000_04
REPORTS_KEPT = 200
REPORT_INTERVAL_SECONDS = 0.1


@final
class ExperimentStore:
    """A rate-limited weight store.

    Loads share the width: up to `full_speed` at once each takes
    `LOAD_SECONDS`, beyond that in proportion longer, and beyond
    `crowded_from` in proportion longer again. Starts are held to
    `loads_per_second` in the order in which they come.
    """

    def __init__(self, width: models.StoreWidth) -> None:
        self.name = "weights"
        self.width = width
        self.in_flight = 0
        self.loads = 0
        self.next_start = 0.0

    async def find(
        self, adapter: models.AdapterVersion
    ) -> models.AdapterWeights | None:
        """Finds every adapter."""
        return models.AdapterWeights(adapter, f"s3://{adapter}", 1, self.name)

    async def close(self) -> None:
        """Does nothing."""

    async def transfer(self) -> None:
        """Carries one adapter's weights."""
        self.in_flight += 1
        self.loads += 1
        try:
            await self._wait_for_start()
            done = 0.0
            while done < 1.0:
                part = 0.25
                await asyncio.sleep(part * self._seconds())
                done += part
        finally:
            self.in_flight -= 1

    async def _wait_for_start(self) -> None:
        now = asyncio.get_running_loop().time()
        interval = 1.0 / self.width.loads_per_second
        burst = interval * (self.width.full_speed - 1)
        start = max(now, self.next_start - burst)
        self.next_start = max(self.next_start, now) + interval
        await asyncio.sleep(start - now)

    def _seconds(self) -> float:
        shared = max(1.0, self.in_flight / self.width.full_speed)
        crowded = max(1.0, self.in_flight / self.width.crowded_from)
        return LOAD_SECONDS * shared * crowded


@final
@dataclasses.dataclass(slots=True, eq=False)
class Generation:
    """A request at an engine."""

    request_id: str
    adapter: models.AdapterVersion
    prompt_tokens: int
    tokens_left: int
    done: asyncio.Future[None]
    first_token_at: float | None = None


@final
class ExperimentEngine:
    """An engine that batches continuously.

    A step gives each request of the batch one token. Its time grows with the
    requests, with the distinct adapters and with the prompts that join.

    Attributes:
        slow_factor: makes each step so many times longer.
        report_lag: age of the load report, seconds.
        resident_since: when an adapter became resident.
        seen: numbers of the jobs that arrived, read off their request ids.
        busy_seconds: time spent in steps.
        steps: steps so far.
        step_requests: requests summed over the steps.
        step_adapters: distinct adapters summed over the steps.
        refused_unloads: orders to evict an adapter in use.
    """

    def __init__(
        self, endpoint: models.Endpoint, store: ExperimentStore
    ) -> None:
        self.endpoint = endpoint
        self.store = store
        self.slow_factor = 1.0
        self.report_lag = 0.5
        self.resident_since: dict[models.AdapterVersion, float] = {}
        self.loading: dict[models.AdapterVersion, asyncio.Future[None]] = {}
        self.running: list[Generation] = []
        self.waiting: list[Generation] = []
        self.reports: list[tuple[float, models.EngineReport]] = []
        self.stepping: asyncio.Task[None] | None = None
        self.seen: set[int] = set()
        self.busy_seconds = 0.0
        self.steps = 0
        self.step_requests = 0
        self.step_adapters = 0
        self.refused_unloads = 0

    async def load(self, weights: models.AdapterWeights, *, token: int) -> None:
        """Loads an adapter; a second order waits for the first."""
        del token
        adapter = weights.adapter
        if adapter in self.resident_since:
            return
        under_way = self.loading.get(adapter)
        if under_way is not None:
            await asyncio.shield(under_way)
            return
        taken = len(self.resident_since) + len(self.loading)
        if taken >= self.endpoint.slots:
            raise errors.EngineRefusedError("no slot is free", status=409)
        done = asyncio.get_running_loop().create_future()
        self.loading[adapter] = done
        try:
            await self.store.transfer()
            self.resident_since[adapter] = asyncio.get_running_loop().time()
        finally:
            del self.loading[adapter]
            done.set_result(None)

    async def unload(
        self, adapter: models.AdapterVersion, *, token: int
    ) -> None:
        """Evicts an adapter that nothing uses."""
        del token
        if any(
            generation.adapter == adapter
            for generation in [*self.running, *self.waiting]
        ):
            self.refused_unloads += 1
            raise errors.EngineRefusedError("adapter in use", status=409)
        self.resident_since.pop(adapter, None)

    async def raise_fence(self, token: int) -> None:
        """Does nothing: the measurements move no ownership."""
        del token

    async def report(self) -> models.EngineReport:
        """Returns a report that is `report_lag` old."""
        now = asyncio.get_running_loop().time()
        at = now - self.report_lag
        for taken_at, report in reversed(self.reports):
            if taken_at <= at:
                age = datetime.timedelta(seconds=now - taken_at)
                return dataclasses.replace(report, age=age)
        return self._snapshot()

    async def watch(self) -> None:
        """Takes the snapshots that reports are made of."""
        while True:
            now = asyncio.get_running_loop().time()
            self.reports.append((now, self._snapshot()))
            del self.reports[:-REPORTS_KEPT]
            await asyncio.sleep(REPORT_INTERVAL_SECONDS)

    def open_stream(
        self, request: models.EngineRequest
    ) -> AsyncIterator[models.StreamChunk]:
        """Not used: `generate` spares the events between the tokens."""
        raise NotImplementedError

    async def generate(
        self,
        request_id: str,
        adapter: models.AdapterVersion,
        *,
        prompt_tokens: int,
        output_tokens: int,
    ) -> Generation:
        """Runs a request to its end; cancelling it takes it out.

        Raises:
            AdapterNotLoadedError: not run.
        """
        if adapter not in self.resident_since:
            raise errors.AdapterNotLoadedError("adapter_not_loaded", status=404)
        generation = Generation(
            request_id,
            adapter,
            prompt_tokens,
            output_tokens,
            asyncio.get_running_loop().create_future(),
        )
        self.seen.add(int(request_id.rpartition("-")[2]))
        self.waiting.append(generation)
        if self.stepping is None or self.stepping.done():
            self.stepping = asyncio.ensure_future(self._step_on())
        try:
            await generation.done
        except asyncio.CancelledError:
            for place in (self.waiting, self.running):
                if generation in place:
                    place.remove(generation)
            raise
        return generation

    async def cancel(self, request_id: str) -> None:
        """Does nothing: callers cancel `generate`."""
        del request_id

    async def close(self) -> None:
        """Does nothing: the engine outlives its clients."""

    async def _step_on(self) -> None:
        while self.running or self.waiting:
            joined = self.waiting[: self.endpoint.batch - len(self.running)]
            del self.waiting[: len(joined)]
            self.running.extend(joined)
            seconds = self._step_seconds(joined)
            await asyncio.sleep(seconds)
            self.busy_seconds += seconds
            self._count_step()
            self._give_tokens()

    def _step_seconds(self, joined: list[Generation]) -> float:
        adapters = {generation.adapter for generation in self.running}
        prompts = sum(generation.prompt_tokens for generation in joined)
        seconds = (
            STEP_SECONDS
            + STEP_SECONDS_A_REQUEST * len(self.running)
            + STEP_SECONDS_AN_ADAPTER * len(adapters)
            + STEP_SECONDS_A_PROMPT_TOKEN * prompts
        )
        return seconds * self.slow_factor

    def _count_step(self) -> None:
        if not self.running:
            return
        self.steps += 1
        self.step_requests += len(self.running)
        self.step_adapters += len(
            {generation.adapter for generation in self.running}
        )

    def _give_tokens(self) -> None:
        now = asyncio.get_running_loop().time()
        left = []
        for generation in self.running:
            if generation.first_token_at is None:
                generation.first_token_at = now
            generation.tokens_left -= 1
            if generation.tokens_left > 0:
                left.append(generation)
            elif not generation.done.done():
                generation.done.set_result(None)
        self.running = left

    def _snapshot(self) -> models.EngineReport:
        return models.EngineReport(
            engine_id=self.endpoint.endpoint_id,
            epoch="epoch-1",
            age=datetime.timedelta(),
            residents=tuple(self.resident_since),
            running=tuple(
                models.RunningRequest(generation.request_id, generation.adapter)
                for generation in self.running
            ),
            waiting=len(self.waiting),
        )
