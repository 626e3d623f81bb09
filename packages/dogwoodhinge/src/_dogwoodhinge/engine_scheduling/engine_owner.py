"""The session that schedules one engine's requests and adapter loads."""

import asyncio
from collections.abc import Sequence
import math
from typing import final

import mode

from _dogwoodhinge import decisions as decisions_lib
from _dogwoodhinge.engine_scheduling import collaborators
from _dogwoodhinge.engine_scheduling import engine_orders
from _dogwoodhinge.engine_scheduling import grants as grants_lib
from _dogwoodhinge.engine_scheduling import policy
from _dogwoodhinge.engine_scheduling import replica_hints
from _dogwoodhinge.engine_scheduling import scheduler as scheduler_lib
from _dogwoodhinge.engine_scheduling import tuning as tuning_lib
from _dogwoodhinge.peer import peer_pb2
from dogwoodhinge import errors as public_errors
from dogwoodhinge import models
from dogwoodhinge import ports


@final
class EngineOwner(mode.Service):
    """Schedules one engine for as long as its fencing token is valid.

    Attributes:
        engine: client of the engine.
        token: fencing token of this ownership.
        loader: sends load and evict orders.
        slots: adapter slots of the engine.
        scheduler: queues and grants requests.
        last_report_at: when the newest processed report was taken.
        evictions_frozen_until: evictions stay frozen until a report is
            processed that was taken at or after this time.
    """

    def __init__(
        self,
        *,
        engine: ports.Engine,
        token: int,
        loader: engine_orders.Loader,
        queue_policy: policy.QueuePolicy,
        popular_adapters: replica_hints.PopularAdapters,
        clock: ports.Clock,
        timing: tuning_lib.Timing,
        tuning: tuning_lib.Tuning,
        decisions: decisions_lib.DecisionLog,
    ) -> None:
        super().__init__()
        self.engine = engine
        self.endpoint = engine.endpoint
        self.token = token
        self.loader = loader
        self.slots = loader.slots
        self.clock = clock
        self.timing = timing
        self.decisions = decisions
        self.scheduler = scheduler_lib.Scheduler(
            endpoint=engine.endpoint,
            token=token,
            loader=loader,
            queue_policy=queue_policy,
            popular_adapters=popular_adapters,
            spawn=self.add_future,
            clock=clock,
            timing=timing,
            tuning=tuning,
            decisions=decisions,
        )
        self.last_report_at = -math.inf
        self.evictions_frozen_until = -math.inf

    def restore_state(self, recovery: collaborators.Recovery) -> None:
        """Restores the state recovered so far; call before `start`."""
        self.slots.restore(recovery.residents, now=self.clock.monotonic())
        self.add_recovered_grants(recovery.grants)
        if recovery.pinned:
            self.slots.evictions_frozen = True
            self.evictions_frozen_until = math.inf

    async def finish_recovery(self, recovery: collaborators.Recovery) -> None:
        """Unfreezes evictions once all possible grant holders answered.

        Requests of crashed entry nodes appear only in the engine's reports,
        so evictions stay frozen until a report that is taken at least the
        report lag after the recovery completed.
        """
        await recovery.wait_complete()
        self.add_recovered_grants(recovery.grants)
        now = self.clock.monotonic()
        self.evictions_frozen_until = (
            now + self.timing.report_lag.total_seconds()
        )

    def add_recovered_grants(self, grants: Sequence[peer_pb2.Grant]) -> None:
        """Adds open grants that a previous owner gave."""
        now = self.clock.monotonic()
        lag = self.timing.report_lag.total_seconds()
        for grant in grants:
            adapter = models.AdapterVersion(grant.adapter, grant.version)
            self.scheduler.grant_table.add(
                grants_lib.OpenGrant(
                    grant=grant,
                    adapter=adapter,
                    customer="",
                    granted_at=now,
                    closable_from=now + grant.start_within_ms / 1_000 + lag,
                )
            )
            self.slots.pin(adapter, grant.grant_id, now)

    @mode.Service.task
    async def _poll_reports(self) -> None:
        while not self.should_stop:
            await self.poll_report()
            await self.clock.sleep(self.timing.report_poll)

    async def poll_report(self) -> None:
        """Fetches the engine's report and applies it."""
        asked_at = self.clock.monotonic()
        try:
            async with asyncio.timeout(
                self.timing.order_timeout.total_seconds()
            ):
                report = await self.engine.report()
        except (TimeoutError, public_errors.EngineError) as error:
            self.log.info(
                "cannot fetch the report of engine %s: %r", self.endpoint, error
            )
            return
        self.apply_report(report, asked_at=asked_at)

    def apply_report(
        self, report: models.EngineReport, *, asked_at: float
    ) -> None:
        """Updates the adapter slots and the grants from a report.

        Args:
            report: the report.
            asked_at: when it was requested; it was taken `report.age` or
                longer before that.
        """
        taken_at = asked_at - report.age.total_seconds()
        if taken_at < self.last_report_at:
            return  # a newer report was already applied
        self.last_report_at = taken_at
        if report.epoch != self.loader.epoch:
            self._record_restart(report.epoch)
        grant_table = self.scheduler.grant_table
        if not report.waiting:
            # Reports do not list the requests in the engine's own queue, so an
            # absent request has ended only if that queue is empty.
            for grant in grant_table.pop_finished(
                report.running, taken_at=taken_at
            ):
                self.scheduler.unpin(grant)
        unmatched = grant_table.unmatched(report.running)
        self.scheduler.forecast.unmatched_running = len(unmatched)
        self.slots.unmatched_adapters = frozenset(
            request.adapter for request in unmatched
        )
        self.slots.reconcile(
            report.residents,
            taken_at=taken_at,
            now=self.clock.monotonic(),
            epoch=report.epoch,
        )
        if taken_at >= self.evictions_frozen_until:
            self.slots.evictions_frozen = False
        self.scheduler.schedule()

    def _record_restart(self, epoch: str) -> None:
        before, self.loader.epoch = self.loader.epoch, epoch
        if not before:
            return
        self.decisions.record(
            decisions_lib.Decision(
                kind="engine_restart",
                chosen=epoch,
                reason=f"the engine restarted; its previous epoch was {before}",
                engine_id=self.endpoint.endpoint_id,
                token=self.token,
            )
        )

    async def on_stop(self) -> None:
        """Redirects the queued requests and cancels loads in flight.

        The engine's client stays open; streams of this node may still use it.
        """
        self.scheduler.close()
