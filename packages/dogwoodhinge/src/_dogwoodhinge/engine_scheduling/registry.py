"""The engines that this node owns: takeover, admission and hand-over."""

from collections.abc import Callable
import dataclasses
import datetime
from typing import final

import mode

from _dogwoodhinge import decisions as decisions_lib
from _dogwoodhinge import injection
from _dogwoodhinge import kernel as kernel_lib
from _dogwoodhinge import settings as settings_lib
from _dogwoodhinge.engine_scheduling import adapter_slots
from _dogwoodhinge.engine_scheduling import collaborators
from _dogwoodhinge.engine_scheduling import engine_orders
from _dogwoodhinge.engine_scheduling import engine_owner
from _dogwoodhinge.engine_scheduling import policy_factory
from _dogwoodhinge.engine_scheduling import redirects
from _dogwoodhinge.engine_scheduling import replica_hints
from _dogwoodhinge.engine_scheduling import replies
from _dogwoodhinge.engine_scheduling import tuning as tuning_lib
from _dogwoodhinge.peer import peer_pb2
from dogwoodhinge import models
from dogwoodhinge import ports

UNUSABLE_ENGINE_RETRY_DELAY = datetime.timedelta(seconds=2)


@final
@dataclasses.dataclass(frozen=True, slots=True)
class OwnedState:
    """State that an owner hands over to its successor.

    Attributes:
        grants: open grants.
        residents: adapters in the engine's adapter slots.
    """

    grants: tuple[peer_pb2.Grant, ...]
    residents: tuple[models.AdapterVersion, ...]


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EngineStatus:
    """Status of an owned engine, for operators.

    Attributes:
        engine_id: the engine.
        token: fencing token.
        residents: number of resident adapters.
        loading: loads in flight.
        granted: open grants.
        waiting: queued requests.
        expected_wait: expected seconds until a new request would start.
        is_slow: the engine receives fewer requests.
        frozen: evictions are frozen until the takeover is complete.
    """

    engine_id: str
    token: int
    residents: int
    loading: int
    granted: int
    waiting: int
    expected_wait: float
    is_slow: bool
    frozen: bool


@final
class OwnerRegistry(mode.Service):
    """Handles admission for the engines that this node owns.

    Attributes:
        owners: engine owners by engine id.
        early_hand_overs: hand-overs received before the adoption of their
            engine, by engine id.
        ownership: checks orders; the node sets it after construction.
        policies: creates the policies of each engine.
    """

    ownership: collaborators.OrderCheck

    def __init__(
        self,
        *,
        kernel: kernel_lib.Kernel,
        directory: collaborators.Directory,
        weights: ports.WeightStore,
        permits: collaborators.LoadPermits,
        clock: ports.Clock,
        settings: settings_lib.Settings,
        decisions: decisions_lib.DecisionLog,
        tuning: tuning_lib.Tuning | None = None,
        open_engine: Callable[[models.Endpoint], ports.Engine] | None = None,
    ) -> None:
        super().__init__()
        self.open_engine = open_engine or kernel.open_engine
        self.directory = directory
        self.weights = weights
        self.permits = permits
        self.clock = clock
        self.decisions = decisions
        self.tuning = tuning or tuning_lib.Tuning()
        self.timing = tuning_lib.Timing.from_settings(settings)
        self.policies: policy_factory.PolicyFactory = (
            policy_factory.KernelPolicyFactory(kernel, settings)
        )
        self.candidate_count = settings.candidates
        self.redirects = redirects.RedirectRule(
            directory=directory,
            tuning=self.tuning,
            candidate_count=settings.candidates,
        )
        self.owners: dict[str, engine_owner.EngineOwner] = {}
        self.early_hand_overs: dict[str, peer_pb2.HandOverRequest] = {}

    # Ownership (`ownership.Adopter`).

    async def adopt(
        self,
        endpoint: models.Endpoint,
        token: int,
        recovery: collaborators.Recovery,
    ) -> None:
        """Starts an owner for an engine."""
        await self.drop(endpoint.endpoint_id)
        owner = self._make_owner(endpoint, token)
        owner.restore_state(recovery)
        hand_over = self.early_hand_overs.pop(endpoint.endpoint_id, None)
        if hand_over is not None and hand_over.token < token:
            owner.add_recovered_grants(hand_over.grants)
        self.owners[endpoint.endpoint_id] = owner
        await owner.start()
        owner.add_future(owner.finish_recovery(recovery))

    async def drop(self, engine_id: str) -> OwnedState:
        """Stops the owner of an engine; returns the state for its successor."""
        owner = self.owners.pop(engine_id, None)
        if owner is None:
            return OwnedState((), ())
        await owner.stop()
        grants = owner.scheduler.grant_table.open_grants.values()
        return OwnedState(
            tuple(grant.grant for grant in grants), owner.slots.residents()
        )

    def _make_owner(
        self, endpoint: models.Endpoint, token: int
    ) -> engine_owner.EngineOwner:
        engine = self.open_engine(endpoint)
        loader = engine_orders.Loader(
            engine=engine,
            token=token,
            slots=adapter_slots.SlotTable(max(1, endpoint.slots)),
            ownership=self.ownership,
            weights=self.weights,
            permits=self.permits,
            eviction=self.policies.eviction_policy(),
            clock=self.clock,
            timing=self.timing,
            decisions=self.decisions,
        )
        return engine_owner.EngineOwner(
            engine=engine,
            token=token,
            loader=loader,
            queue_policy=self.policies.queue_policy(),
            popular_adapters=replica_hints.PopularAdapters(
                default_replicas=self.candidate_count, tuning=self.tuning
            ),
            clock=self.clock,
            timing=self.timing,
            tuning=self.tuning,
            decisions=self.decisions,
        )

    async def on_stop(self) -> None:
        """Stops all owners."""
        for engine_id in list(self.owners):
            await self.drop(engine_id)

    # Admission (`peer.server.AdmissionHandler`).

    async def admit(
        self, request: peer_pb2.AdmitRequest
    ) -> peer_pb2.AdmitReply:
        """Queues a request until it is granted, rejected or redirected."""
        owner = self.owners.get(request.engine_id)
        if owner is None:
            return replies.redirect(request.engine_id, replies.OWNER_CHANGED)
        target = self.redirects.find_target(
            owner, request, self.clock.monotonic()
        )
        if target is None:
            if not self.directory.is_usable(request.engine_id):
                return owner.scheduler.reject(
                    request,
                    "the engine is leaving or unreachable, and no other "
                    "engine of its role is usable",
                    UNUSABLE_ENGINE_RETRY_DELAY.total_seconds(),
                )
            return await self._queue(owner, request)
        self.decisions.record(
            decisions_lib.Decision(
                kind="redirect",
                chosen=target.engine_id,
                reason=target.reason,
                request_id=request.request_id,
                customer=request.customer,
                engine_id=request.engine_id,
                adapter=f"{request.adapter}@{request.version}",
                token=owner.token,
            )
        )
        return replies.redirect(target.engine_id, target.reason)

    async def _queue(
        self,
        owner: engine_owner.EngineOwner,
        request: peer_pb2.AdmitRequest,
    ) -> peer_pb2.AdmitReply:
        reply = await owner.scheduler.admit(request)
        if reply.HasField("grant"):
            await injection.reach(injection.Step.GRANT)
        return reply

    async def release(
        self, request: peer_pb2.ReleaseRequest
    ) -> peer_pb2.ReleaseReply:
        """Closes a grant; idempotent."""
        owner = self.owners.get(request.engine_id)
        known = owner is not None and owner.scheduler.release(request)
        return peer_pb2.ReleaseReply(known=known)

    async def accept_hand_over(
        self, request: peer_pb2.HandOverRequest
    ) -> peer_pb2.HandOverReply:
        """Accepts the open grants of an engine from its previous owner."""
        owner = self.owners.get(request.engine_id)
        if owner is None:
            self.early_hand_overs[request.engine_id] = request
            return peer_pb2.HandOverReply(accepted=True)
        if owner.token <= request.token:
            return peer_pb2.HandOverReply(accepted=False)
        owner.add_recovered_grants(request.grants)
        return peer_pb2.HandOverReply(accepted=True)

    def status(self) -> tuple[EngineStatus, ...]:
        """Returns the status of each owned engine."""
        return tuple(_status_of(owner) for owner in self.owners.values())


def _status_of(owner: engine_owner.EngineOwner) -> EngineStatus:
    return EngineStatus(
        engine_id=owner.endpoint.endpoint_id,
        token=owner.token,
        residents=len(owner.slots.residents()),
        loading=owner.slots.loading_count(),
        granted=len(owner.scheduler.grant_table.open_grants),
        waiting=len(owner.scheduler.queue),
        expected_wait=owner.scheduler.forecast.expected_wait(),
        is_slow=owner.scheduler.completion_observer.health.is_slow,
        frozen=owner.slots.evictions_frozen,
    )
