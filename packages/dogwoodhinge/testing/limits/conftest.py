"""Fixtures of nodes that share limits, with peer calls that can fail."""

import asyncio
from collections.abc import Callable
import dataclasses
import datetime
from typing import Any

import pytest

from _dogwoodhinge import decisions
from _dogwoodhinge import errors
from _dogwoodhinge import settings as settings_lib
from _dogwoodhinge.config import contract as contract_lib
from _dogwoodhinge.limits import collaborators
from _dogwoodhinge.limits import load_permits
from _dogwoodhinge.limits import permit_home
from _dogwoodhinge.limits import quota
from _dogwoodhinge.limits import quota_home
from dogwoodhinge import models
from dogwoodhinge_lab import manual_clock

WIDTH = models.StoreWidth(full_speed=2, crowded_from=16, loads_per_second=3.0)


@dataclasses.dataclass(frozen=True)
class FakeSession:
    session_id: str
    peer_address: str


@dataclasses.dataclass
class FakeMembership:
    """One node's view of the sessions; all nodes share the list."""

    self_id: str
    sessions: list[FakeSession]

    def live(self) -> list[FakeSession]:
        return self.sessions


@dataclasses.dataclass
class Node:
    membership: FakeMembership
    home: quota_home.QuotaHome
    quotas: quota.Quotas
    permit_home: permit_home.PermitHome
    permits: load_permits.LoadPermits


@dataclasses.dataclass
class Group:
    """Nodes that call each other directly unless the callee is dead.

    Attributes:
        dead: addresses whose calls fail.
        answered: set when a call has been handled.
        reply_gate: replies are delivered only while it is set.
        calls: number of peer calls.
        requests: number of requests made by `acquire_on_each`.
    """

    clock: manual_clock.ManualClock
    nodes: dict[str, Node]
    sessions: list[FakeSession]
    contracts: dict[str, contract_lib.Contract]
    dead: set[str]
    answered: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    reply_gate: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    calls: int = 0
    requests: int = 0

    async def call(
        self,
        address: str,
        method: str,
        request: Any,
        *,
        timeout: datetime.timedelta,
    ) -> Any:
        del timeout
        self.calls += 1
        if address in self.dead:
            raise errors.PeerUnreachableError(f"{address} is dead")
        reply = await self._handle(self.nodes[address], method, request)
        self.answered.set()
        # Deliver the reply in a later turn of the event loop.
        await asyncio.sleep(0)
        await self.reply_gate.wait()
        return reply

    async def _handle(self, node: Node, method: str, request: Any) -> Any:
        if method == "LeaseQuota":
            return await node.home.lease_quota(request)
        if method == "LeaseLoadPermit":
            return await node.permit_home.lease_permit(request)
        return await node.permit_home.return_permit(request)

    def home_of(self, key: str) -> str:
        outsider = FakeMembership("", self.sessions)
        home = collaborators.home_of(key, outsider)
        assert home is not None
        return home.session_id

    def kill(self, name: str) -> None:
        self.dead.add(name)

    def expire_session(self, name: str) -> None:
        """Removes the session of a dead node, as if it lapsed."""
        self.sessions[:] = [s for s in self.sessions if s.session_id != name]
        for node in self.nodes.values():
            node.quotas._check_sessions()

    def alive(self) -> list[Node]:
        return [
            node for name, node in self.nodes.items() if name not in self.dead
        ]

    async def advance(self, seconds: float) -> None:
        await self.clock.advance(datetime.timedelta(seconds=seconds))

    async def acquire_on_each(
        self, contract: contract_lib.Contract, times: int = 1
    ) -> list[quota.QuotaTicket]:
        """Sends `times` requests on each live node; returns the tickets."""
        tickets = []
        for node in self.alive():
            for _ in range(times):
                self.requests += 1
                request_id = f"request-{self.requests}"
                try:
                    ticket = await node.quotas.acquire(contract, request_id)
                except errors.LimitExceededError:
                    continue
                tickets.append(ticket)
        return tickets


@pytest.fixture
def make_contract() -> Callable[..., contract_lib.Contract]:
    def make(**limits: Any) -> contract_lib.Contract:
        values = {
            "requests_per_second": 10.0,
            "burst": 10,
            "concurrency": 1_000,
            **limits,
        }
        return contract_lib.Contract(
            customer="customer-1",
            api_keys=(contract_lib.ApiKey(id="key", sha256="0" * 64),),
            limits=contract_lib.Limits.model_validate(values),
        )

    return make


@pytest.fixture
def make_group() -> Callable[..., Group]:
    def make(size: int, contract: contract_lib.Contract) -> Group:
        clock = manual_clock.ManualClock()
        settings = settings_lib.Settings(
            host_id="host-1",
            table_url="dynamodb+http://127.0.0.1:1",
            object_store_url="s3+http://127.0.0.1:1/objects",
            weight_store_url="s3+http://127.0.0.1:1/weights",
            host_list_url="sd+http://127.0.0.1:1/hosts",
        )
        names = [f"node-{number}" for number in range(size)]
        sessions = [FakeSession(name, name) for name in names]
        group = Group(clock, {}, sessions, {contract.customer: contract}, set())
        group.reply_gate.set()
        for name in names:
            membership = FakeMembership(name, sessions)
            home = quota_home.QuotaHome(
                contract=group.contracts.get, clock=clock
            )
            store_permit_home = permit_home.PermitHome(width=WIDTH, clock=clock)
            group.nodes[name] = Node(
                membership,
                home,
                quota.Quotas(
                    membership=membership,
                    home=home,
                    peer_client=group,
                    clock=clock,
                    settings=settings,
                    decisions=decisions.DecisionLog(node=name, clock=clock),
                ),
                store_permit_home,
                load_permits.LoadPermits(
                    membership=membership,
                    home=store_permit_home,
                    peer_client=group,
                    clock=clock,
                    settings=settings,
                    width=WIDTH,
                ),
            )
            group.nodes[name].quotas._check_sessions()
        return group

    return make
