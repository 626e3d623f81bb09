"""Fake ports, and a harness that runs an owner registry on them."""

import asyncio
from collections.abc import AsyncIterator, Callable
import dataclasses
import datetime

import pytest

from _dogwoodhinge import decisions
from _dogwoodhinge import errors
from _dogwoodhinge import kernel as kernel_lib
from _dogwoodhinge import settings as settings_lib
from _dogwoodhinge.engine_scheduling import policies
from _dogwoodhinge.engine_scheduling import registry as registry_lib
from _dogwoodhinge.engine_scheduling import tuning as tuning_lib
from _dogwoodhinge.peer import peer_pb2
from dogwoodhinge import models
from dogwoodhinge_lab import manual_clock


@dataclasses.dataclass
class FakeEngine:
    """Records orders and raises the configured errors, in order.

    Loads wait until `gate` is set, if there is one.
    """

    endpoint: models.Endpoint
    residents: list[models.AdapterVersion] = dataclasses.field(
        default_factory=list
    )
    running: list[models.RunningRequest] = dataclasses.field(
        default_factory=list
    )
    orders: list[tuple[str, str, int]] = dataclasses.field(default_factory=list)
    load_errors: list[Exception] = dataclasses.field(default_factory=list)
    unload_errors: list[Exception] = dataclasses.field(default_factory=list)
    gate: asyncio.Event | None = None
    epoch: str = "epoch-1"
    age: float = 0.0
    waiting: int = 0
    closed: bool = False

    async def load(self, weights: models.AdapterWeights, *, token: int) -> None:
        self.orders.append(("load", str(weights.adapter), token))
        if self.gate is not None:
            await self.gate.wait()
        if self.load_errors:
            raise self.load_errors.pop(0)
        self.residents.append(weights.adapter)

    async def unload(
        self, adapter: models.AdapterVersion, *, token: int
    ) -> None:
        self.orders.append(("unload", str(adapter), token))
        if self.unload_errors:
            raise self.unload_errors.pop(0)
        self.residents.remove(adapter)

    async def raise_fence(self, token: int) -> None:
        del token

    async def report(self) -> models.EngineReport:
        return models.EngineReport(
            engine_id=self.endpoint.endpoint_id,
            epoch=self.epoch,
            age=datetime.timedelta(seconds=self.age),
            residents=tuple(self.residents),
            running=tuple(self.running),
            waiting=self.waiting,
        )

    def open_stream(
        self, request: models.EngineRequest
    ) -> AsyncIterator[models.StreamChunk]:
        raise NotImplementedError

    async def cancel(self, request_id: str) -> None:
        del request_id

    async def close(self) -> None:
        self.closed = True


class FakeWeights:
    """Has every adapter version except `absent`."""

    name = "weights"
    width = models.StoreWidth(2, 16, 3.0)

    async def find(
        self, adapter: models.AdapterVersion
    ) -> models.AdapterWeights | None:
        if adapter.version == "absent":
            return None
        return models.AdapterWeights(adapter, f"s3://{adapter}", 1, self.name)

    async def close(self) -> None:
        pass


class FakePermit:
    async def __aenter__(self) -> None:
        pass

    async def __aexit__(self, *args: object) -> None:
        pass


@dataclasses.dataclass
class FakePermits:
    gate: asyncio.Event | None = None

    async def acquire(
        self, *, waiting: int, slack: datetime.timedelta
    ) -> FakePermit:
        del waiting, slack
        if self.gate is not None:
            await self.gate.wait()
        return FakePermit()


@dataclasses.dataclass
class FakeDirectory:
    endpoints: dict[str, models.Endpoint]
    unusable: set[str] = dataclasses.field(default_factory=set)

    def engines(self, role: str | None = None) -> list[models.Endpoint]:
        return [
            endpoint
            for endpoint in self.endpoints.values()
            if role in (None, endpoint.role)
        ]

    def get(self, endpoint_id: str) -> models.Endpoint | None:
        return self.endpoints.get(endpoint_id)

    def is_usable(self, endpoint_id: str) -> bool:
        return endpoint_id in self.endpoints.keys() - self.unusable


@dataclasses.dataclass
class FakeOwnership:
    lost: bool = False

    def check_order(self, engine_id: str, token: int) -> None:
        if self.lost:
            raise errors.OwnershipError(
                f"token {token} no longer owns {engine_id}"
            )


@dataclasses.dataclass
class FakeRecovery:
    grants: tuple[peer_pb2.Grant, ...] = ()
    residents: tuple[models.AdapterVersion, ...] = ()
    pinned: bool = False
    complete: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    async def wait_complete(self) -> None:
        await self.complete.wait()


@dataclasses.dataclass
class RegistryHarness:
    """An owner registry with its fake dependencies and a manual clock."""

    clock: manual_clock.ManualClock
    registry: registry_lib.OwnerRegistry
    directory: FakeDirectory
    ownership: FakeOwnership
    permits: FakePermits
    engines: dict[str, FakeEngine]
    request_count: int = 0

    async def adopt(
        self,
        engine_id: str = "engine-1",
        *,
        token: int = 7,
        recovery: FakeRecovery | None = None,
    ) -> FakeEngine:
        if recovery is None:
            recovery = FakeRecovery()
            recovery.complete.set()
        endpoint = self.directory.endpoints[engine_id]
        await self.registry.adopt(endpoint, token, recovery)
        await self.settle()
        return self.engines[engine_id]

    def request(self, adapter: str, **members: object) -> peer_pb2.AdmitRequest:
        self.request_count += 1
        values: dict[str, object] = {
            "request_id": f"request-{self.request_count}",
            "customer": "customer-1",
            "engine_id": "engine-1",
            "adapter": adapter,
            "version": "1",
            "session_id": "session-1",
            "deadline_ms": 60_000,
            "prompt_tokens": 100,
            "max_tokens": 100,
            "weight": 1.0,
            **members,
        }
        return peer_pb2.AdmitRequest(**values)

    def submit(
        self, adapter: str, **members: object
    ) -> asyncio.Task[peer_pb2.AdmitReply]:
        request = self.request(adapter, **members)
        return asyncio.ensure_future(self.registry.admit(request))

    async def grant(self, adapter: str, **members: object) -> peer_pb2.Grant:
        task = self.submit(adapter, **members)
        await self.settle()
        reply = await task
        assert reply.WhichOneof("outcome") == "grant", reply
        return reply.grant

    async def release(
        self, grant: peer_pb2.Grant, **members: object
    ) -> peer_pb2.ReleaseReply:
        values: dict[str, object] = {
            "started": True,
            "completed": True,
            **members,
        }
        return await self.registry.release(
            peer_pb2.ReleaseRequest(
                grant_id=grant.grant_id, engine_id=grant.engine_id, **values
            )
        )

    async def settle(self) -> None:
        await self.clock.advance(datetime.timedelta())

    async def advance(self, seconds: float) -> None:
        await self.clock.advance(datetime.timedelta(seconds=seconds))


@pytest.fixture
def settings() -> settings_lib.Settings:
    return settings_lib.Settings(
        host_id="host-1",
        table_url="dynamodb+http://127.0.0.1:1",
        object_store_url="s3+http://127.0.0.1:1/objects",
        weight_store_url="s3+http://127.0.0.1:1/weights",
        host_list_url="sd+http://127.0.0.1:1/hosts",
    )


@pytest.fixture
def recovery() -> type[FakeRecovery]:
    return FakeRecovery


@pytest.fixture
def make_harness(
    settings: settings_lib.Settings,
) -> Callable[..., RegistryHarness]:
    def make(
        *,
        slots: int = 2,
        batch: int = 4,
        engines: int = 1,
        tuning: tuning_lib.Tuning | None = None,
    ) -> RegistryHarness:
        clock = manual_clock.ManualClock()
        endpoints = {
            f"engine-{number}": models.Endpoint(
                f"engine-{number}",
                models.EndpointKind.ENGINE,
                f"http://127.0.0.1:{number}",
                role="writing",
                slots=slots,
                batch=batch,
            )
            for number in range(1, engines + 1)
        }
        fakes = {
            name: FakeEngine(endpoint) for name, endpoint in endpoints.items()
        }
        kernel = kernel_lib.Kernel(clock=clock)
        kernel.manager.register(policies)
        directory = FakeDirectory(endpoints)
        permits = FakePermits()
        registry = registry_lib.OwnerRegistry(
            kernel=kernel,
            directory=directory,
            weights=FakeWeights(),
            permits=permits,
            clock=clock,
            settings=settings,
            decisions=decisions.DecisionLog(node="node-1", clock=clock),
            tuning=tuning,
            open_engine=lambda endpoint: fakes[endpoint.endpoint_id],
        )
        ownership = FakeOwnership()
        registry.ownership = ownership
        return RegistryHarness(
            clock, registry, directory, ownership, permits, fakes
        )

    return make


@pytest.fixture
async def harness(
    make_harness: Callable[..., RegistryHarness],
) -> AsyncIterator[RegistryHarness]:
    instance = make_harness()
    async with instance.registry:
        yield instance
