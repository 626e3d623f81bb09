"""Nodes of one process for the measurements: real code, small fakes.

The calls between the nodes go straight to the handlers after the time that
the network would take; nothing is sent and nothing serialised.
"""

import asyncio
import dataclasses
import datetime
from typing import Any, Protocol, final

from _dogwoodhinge import decisions as decisions_lib
from _dogwoodhinge import kernel as kernel_lib
from _dogwoodhinge import settings as settings_lib
from _dogwoodhinge.config import contract as contract_lib
from _dogwoodhinge.dispatch import admission as admission_lib
from _dogwoodhinge.dispatch import grants as grants_lib
from _dogwoodhinge.engine_scheduling import baseline_placement
from _dogwoodhinge.engine_scheduling import policies as owner_policies
from _dogwoodhinge.engine_scheduling import registry as registry_lib
from _dogwoodhinge.limits import load_permits
from _dogwoodhinge.limits import permit_home
from _dogwoodhinge.limits import quota
from _dogwoodhinge.limits import quota_home
from _dogwoodhinge.peer import peer_pb2
from _dogwoodhinge.routing import policies as routing_policies
from _dogwoodhinge.routing import router as router_lib
from dogwoodhinge import errors
from dogwoodhinge import models
from dogwoodhinge_lab import experiment_engine
from dogwoodhinge_lab import experiment_time
from dogwoodhinge_lab import workload as workload_lib

SAME_ZONE_SECONDS = 0.000_2
OTHER_ZONE_SECONDS = 0.001
OURS = "owner"


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Session:
    """A node's session; its peer address is its name."""

    session_id: str
    zone: str
    state: str = "live"

    @property
    def peer_address(self) -> str:
        """Name of the node."""
        return self.session_id


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Membership:
    """One node's view of the sessions."""

    self_id: str
    sessions: tuple[Session, ...]

    def live(self) -> tuple[Session, ...]:
        """Returns all sessions."""
        return self.sessions

    def peers(self) -> tuple[Session, ...]:
        """Returns the other sessions."""
        return tuple(s for s in self.sessions if s.session_id != self.self_id)

    def session(self, session_id: str) -> Session | None:
        """Returns a session by its name."""
        for session in self.sessions:
            if session.session_id == session_id:
                return session
        return None


@final
class Directory:
    """The engines, all of them live."""

    def __init__(self, endpoints: tuple[models.Endpoint, ...]) -> None:
        self.endpoints = {e.endpoint_id: e for e in endpoints}
        self.by_role: dict[str | None, list[models.Endpoint]] = {
            None: list(endpoints)
        }
        for endpoint in endpoints:
            self.by_role.setdefault(endpoint.role, []).append(endpoint)

    def engines(self, role: str | None = None) -> list[models.Endpoint]:
        """Returns the engines of a role."""
        return self.by_role.get(role, [])

    def get(self, endpoint_id: str) -> models.Endpoint | None:
        """Returns an engine."""
        return self.endpoints.get(endpoint_id)

    def is_usable(self, endpoint_id: str) -> bool:
        """Tells whether the engine is known."""
        return endpoint_id in self.endpoints


@final
@dataclasses.dataclass(frozen=True, slots=True)
class OwnerRecord:
    """Who owns an engine."""

    engine_id: str
    session_id: str
    token: int = 1


@final
class Ownership:
    """Ownership that never moves."""

    def __init__(self, owners: dict[str, OwnerRecord]) -> None:
        self.owners = owners

    def owner(self, engine_id: str) -> OwnerRecord | None:
        """Returns an engine's owner."""
        return self.owners.get(engine_id)

    def invalidate(self, engine_id: str) -> None:
        """Does nothing."""

    def check_order(self, engine_id: str, token: int) -> None:
        """Allows every order."""


@final
class NothingToRecover:
    """A takeover of an engine that was never owned."""

    grants: tuple[peer_pb2.Grant, ...] = ()
    residents: tuple[models.AdapterVersion, ...] = ()
    pinned = False

    async def wait_complete(self) -> None:
        """Returns at once."""


@final
class QuietLog(decisions_lib.DecisionLog):
    """Takes decisions and drops them; a run makes hundreds of thousands."""

    def record(self, decision: decisions_lib.Decision) -> None:
        """Drops a decision."""


@final
class DirectPeers:
    """Calls the handlers of other nodes after the network's time."""

    def __init__(self, name: str, nodes: dict[str, "Node"]) -> None:
        self.name = name
        self.nodes = nodes

    async def call(
        self,
        address: str,
        method: str,
        request: Any,
        *,
        timeout: datetime.timedelta = datetime.timedelta(seconds=2),
    ) -> Any:
        """Makes one call."""
        del timeout
        node = self.nodes[address]
        delay = network_seconds(self.nodes[self.name].zone, node.zone)
        await asyncio.sleep(delay)
        reply = await node.handle(method, request)
        await asyncio.sleep(delay)
        return reply


class Served(Protocol):
    """Where and how a job was served."""

    generation: experiment_engine.Generation
    engine: experiment_engine.ExperimentEngine


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """Implements `Served`."""

    generation: experiment_engine.Generation
    engine: experiment_engine.ExperimentEngine


class Node(Protocol):
    """A node that serves jobs."""

    zone: str

    async def start(self) -> None:
        """Starts the node's tasks."""

    async def stop(self) -> None:
        """Stops them."""

    async def serve(self, job: workload_lib.Job) -> Answer:
        """Serves a job; raises `RefusedError`."""

    async def handle(self, method: str, request: Any) -> Any:
        """Answers a peer."""


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Parts:
    """What all nodes of a run share."""

    workload: workload_lib.Workload
    settings: settings_lib.Settings
    clock: experiment_time.LoopClock
    store: experiment_engine.ExperimentStore
    engines: dict[str, experiment_engine.ExperimentEngine]
    directory: Directory
    ownership: Ownership
    sessions: tuple[Session, ...]
    contracts: dict[str, contract_lib.Contract]
    nodes: dict[str, Node]

    def decisions(self, name: str) -> QuietLog:
        """Makes a node's decision log."""
        return QuietLog(node=name, clock=self.clock)

    def open_engine(
        self, endpoint: models.Endpoint
    ) -> experiment_engine.ExperimentEngine:
        """Returns the one fake of an engine."""
        return self.engines[endpoint.endpoint_id]


@final
class OwnerNode:
    """A node of this design."""

    def __init__(self, session: Session, parts: Parts) -> None:
        self.parts = parts
        self.name = session.session_id
        self.zone = session.zone
        clock, settings = parts.clock, parts.settings
        decisions = parts.decisions(self.name)
        membership = Membership(self.name, parts.sessions)
        peers = DirectPeers(self.name, parts.nodes)
        kernel = kernel_lib.Kernel(clock=clock)
        kernel.manager.register(owner_policies)
        self.quota_home = quota_home.QuotaHome(
            contract=parts.contracts.get, clock=clock
        )
        self.quotas = quota.Quotas(
            membership=membership,
            home=self.quota_home,
            peer_client=peers,
            clock=clock,
            settings=settings,
            decisions=decisions,
        )
        self.permit_home = permit_home.PermitHome(
            width=parts.store.width, clock=clock
        )
        permits = load_permits.LoadPermits(
            membership=membership,
            home=self.permit_home,
            peer_client=peers,
            clock=clock,
            settings=settings,
            width=parts.store.width,
        )
        self.registry = registry_lib.OwnerRegistry(
            kernel=kernel,
            directory=parts.directory,
            weights=parts.store,
            permits=permits,
            clock=clock,
            settings=settings,
            decisions=decisions,
            open_engine=parts.open_engine,
        )
        self.registry.ownership = parts.ownership
        self.grants = grants_lib.GrantStore(clock=clock)
        self.admission = admission_lib.Admission(
            router=router_lib.Router(
                directory=parts.directory,
                policy=routing_policies.OwnerPolicy(),
                clock=clock,
                settings=settings,
                decisions=decisions,
            ),
            ownership=parts.ownership,
            membership=membership,
            registry=self.registry,
            peer_client=peers,
            grants=self.grants,
            clock=clock,
            settings=settings,
            decisions=decisions,
        )

    async def start(self) -> None:
        """Starts the services and adopts this node's engines."""
        await self.registry.start()
        await self.quotas.start()
        for engine_id, record in self.parts.ownership.owners.items():
            if record.session_id == self.name:
                endpoint = self.parts.directory.endpoints[engine_id]
                await self.registry.adopt(
                    endpoint, record.token, NothingToRecover()
                )

    async def stop(self) -> None:
        """Stops the services."""
        await self.quotas.stop()
        await self.registry.stop()

    async def serve(self, job: workload_lib.Job) -> Answer:
        """Serves a job as the caller paths do.

        Raises:
            RefusedError: not run.
        """
        clock = self.parts.clock
        contract = self.parts.contracts[job.customer]
        request_id = f"{self.name}-{job.number}"
        adapter = models.AdapterVersion(job.adapter, workload_lib.VERSION)
        ticket = await self.quotas.acquire(contract, request_id)
        try:
            grant = await self.admission.admit(
                admission_lib.AdmissionRequest(
                    request_id=request_id,
                    customer=job.customer,
                    adapter=adapter,
                    role=job.role,
                    start_by=job.at + job.deadline_seconds,
                    answer_by=job.at + job.deadline_seconds,
                    prompt_tokens=job.prompt_tokens,
                    max_tokens=job.max_tokens,
                    priority=1,
                    weight=contract.weight,
                )
            )
            engine = self.parts.engines[grant.engine_id]
            result = admission_lib.ReleaseResult(started=True)
            began_at = clock.monotonic()
            try:
                self.grants.check_dispatch(grant.grant_id)
                delay = network_seconds(self.zone, engine.endpoint.zone)
                await asyncio.sleep(delay)
                generation = await engine.generate(
                    request_id,
                    adapter,
                    prompt_tokens=job.prompt_tokens,
                    output_tokens=job.output_tokens,
                )
                await asyncio.sleep(delay)
                result = _result(generation, job, began_at, clock.monotonic())
            finally:
                self.admission.release_in_background(grant, result)
            return Answer(generation, engine)
        finally:
            ticket.release()

    async def handle(self, method: str, request: Any) -> Any:
        """Answers a peer."""
        match method:
            case "Admit":
                return await self.registry.admit(request)
            case "Release":
                return await self.registry.release(request)
            case "LeaseQuota":
                return await self.quota_home.lease_quota(request)
            case "LeaseLoadPermit":
                return await self.permit_home.lease_permit(request)
            case "ReturnLoadPermit":
                return await self.permit_home.return_permit(request)
        raise NotImplementedError(method)


@final
class LocalNode:
    """A node of a baseline: it decides alone by lagged reports."""

    def __init__(self, session: Session, parts: Parts, policy: str) -> None:
        self.parts = parts
        self.name = session.session_id
        self.zone = session.zone
        self.placement = baseline_placement.BaselinePlacement(
            router=router_lib.Router(
                directory=parts.directory,
                policy=_policy(policy),
                clock=parts.clock,
                settings=parts.settings,
                decisions=parts.decisions(self.name),
            ),
            weights=parts.store,
            directory=parts.directory,
            open_engine=parts.open_engine,
            clock=parts.clock,
            report_poll=parts.settings.seconds("report_poll"),
        )
        self.polling: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Starts to read reports."""
        self.polling = asyncio.ensure_future(self.placement.poll_reports())

    async def stop(self) -> None:
        """Stops reading reports."""
        if self.polling is not None:
            self.polling.cancel()

    async def serve(self, job: workload_lib.Job) -> Answer:
        """Serves a job wherever this node believes is best."""
        adapter = models.AdapterVersion(job.adapter, workload_lib.VERSION)
        request_id = f"{self.name}-{job.number}"
        view = await self.placement.place(
            adapter, job.role, request_id=request_id
        )
        engine = self.parts.engines[view.engine.endpoint.endpoint_id]
        delay = network_seconds(self.zone, engine.endpoint.zone)
        try:
            while True:
                await asyncio.sleep(delay)
                try:
                    generation = await engine.generate(
                        request_id,
                        adapter,
                        prompt_tokens=job.prompt_tokens,
                        output_tokens=job.output_tokens,
                    )
                except errors.AdapterNotLoadedError:
                    view.residents.discard(adapter)
                    await self.placement.ensure_loaded(view, adapter)
                    continue
                await asyncio.sleep(delay)
                return Answer(generation, engine)
        finally:
            self.placement.end(view, adapter)

    async def handle(self, method: str, request: Any) -> Any:
        """No node asks another."""
        raise NotImplementedError(method)


def network_seconds(zone: str, other: str) -> float:
    """Returns the one-way time between two zones."""
    return SAME_ZONE_SECONDS if zone == other else OTHER_ZONE_SECONDS


def build(
    workload: workload_lib.Workload, system: str
) -> tuple[Parts, dict[str, Node]]:
    """Builds the nodes, engines and store of a workload.

    Args:
        workload: the workload.
        system: `owner` for this design, or the name of a baseline's policy.
    """
    endpoints = tuple(_endpoints(workload))
    sessions = tuple(
        Session(f"node-{n}", workload.zones[n % len(workload.zones)])
        for n in range(workload.nodes)
    )
    store = experiment_engine.ExperimentStore(
        models.StoreWidth(**workload.store.model_dump())
    )
    owners = {
        endpoint.endpoint_id: OwnerRecord(
            endpoint.endpoint_id, sessions[n % len(sessions)].session_id
        )
        for n, endpoint in enumerate(endpoints)
    }
    nodes: dict[str, Node] = {}
    parts = Parts(
        workload=workload,
        settings=_settings(workload),
        clock=experiment_time.LoopClock(),
        store=store,
        engines={
            endpoint.endpoint_id: experiment_engine.ExperimentEngine(
                endpoint, store
            )
            for endpoint in endpoints
        },
        directory=Directory(endpoints),
        ownership=Ownership(owners),
        sessions=sessions,
        contracts=_contracts(workload),
        nodes=nodes,
    )
    for session in sessions:
        if system == OURS:
            nodes[session.session_id] = OwnerNode(session, parts)
        else:
            nodes[session.session_id] = LocalNode(session, parts, system)
    return parts, nodes


def _endpoints(workload: workload_lib.Workload) -> list[models.Endpoint]:
    endpoints: list[models.Endpoint] = []
    for role in workload.roles:
        for number in range(role.engines):
            zone = workload.zones[len(endpoints) % len(workload.zones)]
            endpoints.append(
                models.Endpoint(
                    f"{role.name}-{number}",
                    models.EndpointKind.ENGINE,
                    f"http://{role.name}-{number}",
                    role=role.name,
                    zone=zone,
                    slots=role.slots,
                    batch=role.batch,
                )
            )
    return endpoints


def _contracts(
    workload: workload_lib.Workload,
) -> dict[str, contract_lib.Contract]:
    rate = workload.requests_per_second
    return {
        f"customer-{n}": contract_lib.Contract(
            customer=f"customer-{n}",
            api_keys=(contract_lib.ApiKey(id="key", sha256="0" * 64),),
            limits=contract_lib.Limits(
                requests_per_second=rate,
                burst=round(5 * rate),
                concurrency=1_000,
            ),
        )
        for n in range(workload.customers)
    }


def _settings(workload: workload_lib.Workload) -> settings_lib.Settings:
    return settings_lib.Settings(
        host_id="measure",
        table_url="dynamodb+http://127.0.0.1:1",
        object_store_url="s3+http://127.0.0.1:1/objects",
        weight_store_url="s3+http://127.0.0.1:1/weights",
        host_list_url="sd+http://127.0.0.1:1/hosts",
        store_full_speed=workload.store.full_speed,
        store_crowded_from=workload.store.crowded_from,
        store_loads_per_second=workload.store.loads_per_second,
    )


def _policy(name: str) -> Any:
    made = routing_policies.make_routing_policy(name)
    if made is None:
        raise ValueError(f"no routing policy is called {name!r}")
    return made


def _result(
    generation: experiment_engine.Generation,
    job: workload_lib.Job,
    began_at: float,
    now: float,
) -> admission_lib.ReleaseResult:
    first_at = generation.first_token_at or now
    gaps = max(1, job.output_tokens - 1)
    return admission_lib.ReleaseResult(
        started=True,
        completed=True,
        first_token=datetime.timedelta(seconds=first_at - began_at),
        mean_gap=datetime.timedelta(seconds=(now - first_at) / gaps),
        output_tokens=job.output_tokens,
    )
