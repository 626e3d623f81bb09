"""Schedules the queued requests of one engine."""

import asyncio
import datetime
import math
from typing import final
import uuid

from _dogwoodhinge import decisions as decisions_lib
from _dogwoodhinge import injection
from _dogwoodhinge.engine_scheduling import admission
from _dogwoodhinge.engine_scheduling import completions
from _dogwoodhinge.engine_scheduling import engine_orders
from _dogwoodhinge.engine_scheduling import forecast as forecast_lib
from _dogwoodhinge.engine_scheduling import grants as grants_lib
from _dogwoodhinge.engine_scheduling import load_planner
from _dogwoodhinge.engine_scheduling import policy
from _dogwoodhinge.engine_scheduling import replica_hints
from _dogwoodhinge.engine_scheduling import replies
from _dogwoodhinge.engine_scheduling import request_queue as queue_lib
from _dogwoodhinge.engine_scheduling import tuning as tuning_lib
from _dogwoodhinge.peer import peer_pb2
from dogwoodhinge import models
from dogwoodhinge import ports

DEADLINE_SWEEP_INTERVAL = datetime.timedelta(milliseconds=100)


@final
class Scheduler:
    """Queues requests for one engine, grants them and closes the grants.

    Attributes:
        endpoint: the engine.
        request_slots: batch slots of the engine.
        token: fencing token of the ownership.
        slots: adapter slots of the engine.
        grant_table: open grants.
        queue: queued requests.
        loader: sends load and evict orders.
        admission_check: rejects requests that cannot be served in time.
        completion_observer: updates estimates and health.
        forecast: estimates wait and run times.
        planner: starts the loads.
        popular_adapters: adapters that need more replicas.
        sweep_running: the sweep for missed deadlines is running.
        accepting: False once the ownership ends.
    """

    def __init__(
        self,
        *,
        endpoint: models.Endpoint,
        token: int,
        loader: engine_orders.Loader,
        queue_policy: policy.QueuePolicy,
        popular_adapters: replica_hints.PopularAdapters,
        spawn: load_planner.Spawn,
        clock: ports.Clock,
        timing: tuning_lib.Timing,
        tuning: tuning_lib.Tuning,
        decisions: decisions_lib.DecisionLog,
    ) -> None:
        self.endpoint = endpoint
        self.request_slots = max(1, endpoint.batch)
        self.token = token
        self.loader = loader
        self.slots = loader.slots
        self.queue_policy = queue_policy
        self.spawn = spawn
        self.clock = clock
        self.timing = timing
        self.tuning = tuning
        self.decisions = decisions
        self.grant_table = grants_lib.GrantTable(timing.report_lag)
        self.queue = queue_lib.RequestQueue()
        self.forecast = forecast_lib.Forecast(
            request_slots=self.request_slots,
            queue=self.queue,
            grant_table=self.grant_table,
            slots=self.slots,
            load_interval=loader.load_interval,
            clock=clock,
        )
        self.admission_check = admission.AdmissionCheck(
            queue=self.queue,
            loader=loader,
            forecast=self.forecast,
            max_queue_length=tuning.max_queue_length,
            clock=clock,
        )
        self.completion_observer = completions.CompletionObserver(
            endpoint=endpoint,
            token=token,
            forecast=self.forecast,
            decisions=decisions,
        )
        self.planner = load_planner.LoadPlanner(
            queue=self.queue,
            loader=loader,
            max_concurrent_loads=tuning.max_concurrent_loads,
            spawn=spawn,
            clock=clock,
            on_load_end=self._on_load_end,
            on_load_failure=self._reject_waiting,
        )
        self.popular_adapters = popular_adapters
        self.sweep_running = False
        self.accepting = True

    # Admission.

    async def admit(
        self, request: peer_pb2.AdmitRequest
    ) -> peer_pb2.AdmitReply:
        """Waits until the request is granted, rejected or redirected."""
        await injection.reach(injection.Step.QUEUE)
        already_queued = self.queue.waiting.get(request.request_id)
        if already_queued is not None:
            return await self._wait_for_reply(already_queued)
        open_grant = self._find_open_grant(request)
        if open_grant is not None:
            return peer_pb2.AdmitReply(grant=open_grant)
        adapter = models.AdapterVersion(request.adapter, request.version)
        now = self.clock.monotonic()
        self.loader.eviction.note_demand(adapter, now)
        rejection = self.admission_check.rejection(request)
        if rejection is not None:
            return self.reject(request, rejection.reason, rejection.retry_after)
        queued = self._enqueue(request, adapter, now)
        self.schedule()
        return await self._wait_for_reply(queued)

    async def _wait_for_reply(
        self, queued: queue_lib.QueuedRequest
    ) -> peer_pb2.AdmitReply:
        queued.waiters += 1
        try:
            return await asyncio.shield(queued.reply)
        except asyncio.CancelledError:
            queued.waiters -= 1
            if not queued.waiters:
                self._abandon(queued)
            raise

    def _find_open_grant(
        self, request: peer_pb2.AdmitRequest
    ) -> peer_pb2.Grant | None:
        """Returns the open grant of a request whose reply was lost.

        Its `start_within_ms` is reduced to the time left, because the owner
        measures the start deadline from the first reply.
        """
        existing = self.grant_table.find_by_request(request.request_id)
        if existing is None or existing.grant.session_id != request.session_id:
            return None
        elapsed = self.clock.monotonic() - existing.granted_at
        left_ms = existing.grant.start_within_ms - math.ceil(1_000 * elapsed)
        if left_ms <= 0:
            return None
        grant = peer_pb2.Grant()
        grant.CopyFrom(existing.grant)
        grant.start_within_ms = left_ms
        return grant

    def _enqueue(
        self,
        request: peer_pb2.AdmitRequest,
        adapter: models.AdapterVersion,
        now: float,
    ) -> queue_lib.QueuedRequest:
        expected = self.forecast.expected_run_seconds(request)
        queued = queue_lib.QueuedRequest(
            request=request,
            adapter=adapter,
            arrived_at=now,
            deadline_at=now + request.deadline_ms / 1_000,
            expected_seconds=expected,
            is_long=expected >= self.tuning.long_request_seconds,
            virtual_start=self.queue.start_tag(
                request.customer, request.weight or 1.0, expected
            ),
            reply=asyncio.get_running_loop().create_future(),
        )
        self.queue.push(queued)
        return queued

    def _abandon(self, queued: queue_lib.QueuedRequest) -> None:
        # No caller waits for the reply, so a grant that was already given would
        # pin the adapter although its request never starts.
        self.queue.discard(queued)
        if not queued.reply.done() or queued.reply.cancelled():
            queued.reply.cancel()
            return
        reply = queued.reply.result()
        if reply.WhichOneof("outcome") == "grant":
            self.grant_table.defer_close(
                reply.grant.grant_id,
                self.clock.monotonic()
                + self.timing.start_within.total_seconds(),
            )

    # Scheduling.

    def schedule(self) -> None:
        """Grants all requests that can start, then starts the loads due."""
        while self._grant_next():
            pass
        self.planner.start_loads()
        self._ensure_sweep()

    def _grant_next(self) -> bool:
        if self.forecast.occupied_request_slots() >= self.request_slots:
            return False
        view = policy.QueueView(
            now=self.clock.monotonic(),
            virtual_time=self.queue.virtual_time,
            batch_adapters=self.grant_table.batch_adapters(),
            tuning=self.tuning,
        )
        long_requests_allowed = (
            self.grant_table.long_request_count() < self._long_request_slots()
        )
        suspect_running = self.grant_table.has_suspect()
        eligible = [
            queued
            for queued in self.queue.waiting.values()
            if self.slots.is_resident(queued.adapter)
            and (long_requests_allowed or not queued.is_long)
            and not (suspect_running and queued.request.suspect)
        ]
        if not eligible:
            return False
        chosen = min(
            eligible, key=lambda queued: self.queue_policy.rank(queued, view)
        )
        self._grant(chosen, len(eligible))
        return True

    def _long_request_slots(self) -> int:
        reserved = math.ceil(
            self.tuning.short_request_reserve * self.request_slots
        )
        return max(1, self.request_slots - reserved)

    def _grant(self, queued: queue_lib.QueuedRequest, eligible: int) -> None:
        now = self.clock.monotonic()
        start_within = self.timing.start_within.total_seconds()
        request = queued.request
        grant = peer_pb2.Grant(
            grant_id=uuid.uuid4().hex,
            request_id=request.request_id,
            engine_id=self.endpoint.endpoint_id,
            adapter=request.adapter,
            version=request.version,
            token=self.token,
            session_id=request.session_id,
            start_within_ms=round(1_000 * start_within),
        )
        self.grant_table.add(
            grants_lib.OpenGrant(
                grant=grant,
                adapter=queued.adapter,
                customer=request.customer,
                granted_at=now,
                closable_from=now
                + start_within
                + self.timing.report_lag.total_seconds(),
                expected_seconds=queued.expected_seconds,
                is_long=queued.is_long,
                suspect=request.suspect,
                max_tokens=request.max_tokens,
            )
        )
        self.slots.pin(queued.adapter, grant.grant_id, now)
        self.queue.mark_served(queued)
        self._record_grant(queued, grant, eligible)
        self._reply(queued, peer_pb2.AdmitReply(grant=grant))

    def _record_grant(
        self,
        queued: queue_lib.QueuedRequest,
        grant: peer_pb2.Grant,
        eligible: int,
    ) -> None:
        waited = self.clock.monotonic() - queued.arrived_at
        self.decisions.record(
            decisions_lib.Decision(
                kind="grant",
                chosen=grant.grant_id,
                reason=f"waited {waited:.3f} s, first of {eligible} eligible",
                request_id=grant.request_id,
                customer=queued.request.customer,
                engine_id=grant.engine_id,
                adapter=str(queued.adapter),
                token=self.token,
            )
        )

    def _reply(
        self, queued: queue_lib.QueuedRequest, reply: peer_pb2.AdmitReply
    ) -> None:
        replicas = self.popular_adapters.hinted_replicas(
            queued.adapter,
            batch_fraction=self._batch_fraction(queued.adapter),
            now=self.clock.monotonic(),
        )
        if replicas:
            reply.candidates_hint = replicas
            reply.hint_lifetime_ms = replies.milliseconds(
                self.tuning.hint_lifetime
            )
        if not queued.reply.done():
            queued.reply.set_result(reply)

    def _batch_fraction(self, adapter: models.AdapterVersion) -> float:
        requests = len(self.slots.pins.get(adapter, ()))
        requests += sum(
            queued.adapter == adapter for queued in self.queue.waiting.values()
        )
        return requests / self.request_slots

    def reject(
        self,
        request: peer_pb2.AdmitRequest,
        reason: str,
        retry_after: float,
    ) -> peer_pb2.AdmitReply:
        """Rejects a request and records the reason; see `replies.reject`."""
        self.decisions.record(
            decisions_lib.Decision(
                kind="grant",
                chosen="refuse",
                reason=reason,
                request_id=request.request_id,
                customer=request.customer,
                engine_id=self.endpoint.endpoint_id,
                adapter=f"{request.adapter}@{request.version}",
                token=self.token,
            )
        )
        return replies.reject(reason, retry_after)

    # Loads.

    def _on_load_end(self) -> None:
        if self.accepting:
            self.schedule()

    def _reject_waiting(
        self, adapter: models.AdapterVersion, reason: str
    ) -> None:
        failure = self.loader.failures.get(adapter)
        if failure is None:
            return
        reject_all = failure.permanent or failure.is_persistent
        for queued in self.queue:
            if queued.adapter != adapter:
                continue
            if reject_all or queued.deadline_at < failure.retry_at:
                retry_after = 0.0
                if not failure.permanent:
                    retry_after = failure.retry_at - self.clock.monotonic()
                self._reject_queued(queued, reason, retry_after)

    def _reject_queued(
        self,
        queued: queue_lib.QueuedRequest,
        reason: str,
        retry_after: float,
    ) -> None:
        self.queue.discard(queued)
        self._reply(queued, self.reject(queued.request, reason, retry_after))

    # Deadlines.

    def _ensure_sweep(self) -> None:
        if self.queue and self.accepting and not self.sweep_running:
            self.sweep_running = True
            self.spawn(self._sweep())

    async def _sweep(self) -> None:
        try:
            while self.queue and self.accepting:
                await self.clock.sleep(DEADLINE_SWEEP_INTERVAL)
                self._reject_late()
                self.schedule()
        finally:
            self.sweep_running = False

    def _reject_late(self) -> None:
        now = self.clock.monotonic()
        for queued in self.queue:
            lateness = now + queued.expected_seconds - queued.deadline_at
            if lateness > 0:
                self._reject_queued(
                    queued,
                    "the deadline can no longer be met",
                    self.forecast.expected_wait(),
                )

    # Releases.

    def release(self, request: peer_pb2.ReleaseRequest) -> bool:
        """Closes a grant; returns False if it is not open."""
        grant_id = request.grant_id
        open_grant = self.grant_table.open_grants.get(grant_id)
        if open_grant is None:
            return False
        if request.started and not request.completed:
            # The engine may keep running the request until it notices that the
            # connection is closed.
            self.grant_table.defer_close(grant_id, self.clock.monotonic())
            return True
        self.grant_table.close(grant_id, end_confirmed=request.completed)
        self.unpin(open_grant)
        if request.completed:
            self.completion_observer.record_completion(open_grant, request)
        self.schedule()
        return True

    def unpin(self, grant: grants_lib.OpenGrant) -> None:
        """Removes the pin of a grant that was closed."""
        self.slots.unpin(
            grant.adapter, grant.grant.grant_id, self.clock.monotonic()
        )

    def close(self) -> None:
        """Redirects queued requests to the next owner and cancels loads."""
        self.accepting = False
        for queued in self.queue:
            self.queue.discard(queued)
            self._reply(
                queued,
                replies.redirect(
                    self.endpoint.endpoint_id, replies.OWNER_CHANGED
                ),
            )
        self.planner.close()
