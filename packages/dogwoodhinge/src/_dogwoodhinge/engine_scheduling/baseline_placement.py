"""Placement without engine owners: each node decides from stale reports.

This is the baseline for the experiments. Nodes learn about each other's
requests, loads and evictions only from the engines' reports.
"""

import asyncio
from collections.abc import Callable, Mapping
import datetime
from typing import final

from _dogwoodhinge import errors as node_errors
from _dogwoodhinge.engine_scheduling import collaborators
from _dogwoodhinge.routing import router as router_lib
from dogwoodhinge import errors
from dogwoodhinge import models
from dogwoodhinge import ports

ORDER_TOKEN = 0
RETRY_DELAY = datetime.timedelta(milliseconds=100)


@final
class EngineView:
    """State of an engine as one node knows it.

    Attributes:
        engine: the engine.
        report: the newest report.
        residents: adapters that are presumably resident.
        used_at: when this node last used an adapter.
        in_flight: number of this node's requests by adapter.
        loads: loads in flight by adapter.
    """

    def __init__(self, engine: ports.Engine) -> None:
        self.engine = engine
        self.report: models.EngineReport | None = None
        self.residents: set[models.AdapterVersion] = set()
        self.used_at: dict[models.AdapterVersion, float] = {}
        self.in_flight: dict[models.AdapterVersion, int] = {}
        self.loads: dict[models.AdapterVersion, asyncio.Future[None]] = {}

    def load(self) -> int:
        """Returns the number of reported requests and of this node's own."""
        own = sum(self.in_flight.values())
        if self.report is None:
            return own
        return len(self.report.running) + self.report.waiting + own

    def victims(self) -> list[models.AdapterVersion]:
        """Returns apparently idle adapters, least recently used first."""
        running = set()
        if self.report is not None:
            running = {request.adapter for request in self.report.running}
        idle = [
            adapter
            for adapter in self.residents
            if adapter not in running and not self.in_flight.get(adapter)
        ]
        return sorted(idle, key=lambda adapter: self.used_at.get(adapter, 0.0))


@final
class BaselinePlacement:
    """Selects engines and orders loads for the requests of one node."""

    def __init__(
        self,
        *,
        router: router_lib.Router,
        weights: ports.WeightStore,
        directory: collaborators.Directory,
        open_engine: Callable[[models.Endpoint], ports.Engine],
        clock: ports.Clock,
        report_poll: datetime.timedelta,
    ) -> None:
        self.router = router
        self.weights = weights
        self.clock = clock
        self.report_poll = report_poll
        self.views: Mapping[str, EngineView] = {
            endpoint.endpoint_id: EngineView(open_engine(endpoint))
            for endpoint in directory.engines()
        }
        self.load_semaphore = asyncio.Semaphore(weights.width.full_speed)

    async def poll_reports(self) -> None:
        """Fetches the reports of all engines periodically."""
        while True:
            for view in self.views.values():
                await self._poll(view)
            await self.clock.sleep(self.report_poll)

    async def place(
        self, adapter: models.AdapterVersion, role: str, *, request_id: str
    ) -> EngineView:
        """Selects an engine and loads the adapter there if necessary.

        Raises:
            RefusedError: no engine of the role is usable.
        """
        self.router.loads = {
            name: view.load() for name, view in self.views.items()
        }
        found = self.router.candidates(adapter, role, request_id=request_id)
        if not found:
            raise node_errors.RefusedError(
                f"no usable engine has the role {role}"
            )
        view = self.views[found[0].engine_id]
        view.in_flight[adapter] = view.in_flight.get(adapter, 0) + 1
        try:
            await self.ensure_loaded(view, adapter)
        except BaseException:
            self.end(view, adapter)
            raise
        return view

    def end(self, view: EngineView, adapter: models.AdapterVersion) -> None:
        """Records the end of a request returned by `place`."""
        view.in_flight[adapter] -= 1
        if not view.in_flight[adapter]:
            del view.in_flight[adapter]

    async def ensure_loaded(
        self, view: EngineView, adapter: models.AdapterVersion
    ) -> None:
        """Loads an adapter unless it is presumably resident."""
        view.used_at[adapter] = self.clock.monotonic()
        if adapter in view.residents:
            return
        if adapter not in view.loads:
            view.loads[adapter] = asyncio.ensure_future(
                self._load(view, adapter)
            )
        await asyncio.shield(view.loads[adapter])

    async def _load(
        self, view: EngineView, adapter: models.AdapterVersion
    ) -> None:
        weights = await self.weights.find(adapter)
        if weights is None:
            raise node_errors.RefusedError(f"the weight store has no {adapter}")
        try:
            while not await self._try_load(view, weights):
                await self.clock.sleep(RETRY_DELAY)
        finally:
            del view.loads[adapter]

    async def _try_load(
        self, view: EngineView, weights: models.AdapterWeights
    ) -> bool:
        async with self.load_semaphore:
            try:
                await view.engine.load(weights, token=ORDER_TOKEN)
                view.residents.add(weights.adapter)
                return True
            except errors.EngineError:
                pass
        for victim in view.victims():
            try:
                await view.engine.unload(victim, token=ORDER_TOKEN)
            except errors.EngineError:
                continue
            view.residents.discard(victim)
            return await self._try_load(view, weights)
        return False

    async def _poll(self, view: EngineView) -> None:
        try:
            view.report = await view.engine.report()
        except errors.EngineError:
            return
        view.residents = set(view.report.residents)
