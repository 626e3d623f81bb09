"""Creates the components of a node from its settings and connects them."""

from collections.abc import Sequence
import dataclasses
from typing import final

import mode

from _dogwoodhinge import decisions as decisions_lib
from _dogwoodhinge import endpoint_clients
from _dogwoodhinge import kernel as kernel_lib
from _dogwoodhinge import settings as settings_lib
from _dogwoodhinge import tls
from _dogwoodhinge.config import log as config_log
from _dogwoodhinge.config import view as config_view
from _dogwoodhinge.dispatch import admission as admission_lib
from _dogwoodhinge.dispatch import crash_decisions
from _dogwoodhinge.dispatch import generations as generations_lib
from _dogwoodhinge.dispatch import grants as grants_lib
from _dogwoodhinge.dispatch import intents as intents_lib
from _dogwoodhinge.dispatch import plain_calls as plain_calls_lib
from _dogwoodhinge.engine_scheduling import registry as registry_lib
from _dogwoodhinge.limits import load_permits
from _dogwoodhinge.limits import permit_home
from _dogwoodhinge.limits import quota
from _dogwoodhinge.limits import quota_home
from _dogwoodhinge.membership import directory as directory_lib
from _dogwoodhinge.membership import isolation as isolation_lib
from _dogwoodhinge.membership import membership as membership_lib
from _dogwoodhinge.membership import sessions
from _dogwoodhinge.ownership import ownership as ownership_lib
from _dogwoodhinge.peer import client as peer_client
from _dogwoodhinge.quarantine import broadcast
from _dogwoodhinge.quarantine import quarantine as quarantine_lib
from _dogwoodhinge.quarantine import rules as quarantine_rules
from _dogwoodhinge.routing import router as router_lib
from dogwoodhinge import models
from dogwoodhinge import ports


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Secrets:
    """Keys that are read from files or environment variables, never flags."""

    operator_key: str
    peer_key: str


@final
class Platform:
    """Clients of the external systems in the settings, opened by plug-ins."""

    def __init__(
        self,
        *,
        settings: settings_lib.Settings,
        kernel: kernel_lib.Kernel,
    ) -> None:
        width = models.StoreWidth(
            full_speed=settings.store_full_speed,
            crowded_from=settings.store_crowded_from,
            loads_per_second=settings.store_loads_per_second,
        )
        self.width = width
        self.table = kernel.open_table(settings.table_url)
        self.objects = kernel.open_object_store(settings.object_store_url)
        self.weights = kernel.open_weight_store(
            settings.weight_store_url, width
        )
        self.host_list = kernel.open_host_list(settings.host_list_url)
        self.endpoints = endpoint_clients.EndpointClients(opener=kernel)

    async def close(self) -> None:
        """Closes all connections."""
        await self.endpoints.close()
        for opened in (self.table, self.objects, self.weights, self.host_list):
            await opened.close()


@final
class Components:
    """All components of a node except the servers on its ports.

    Raises (on construction):
        SettingsError: a file can't be read.
        KernelError: no plug-in handles the value of a setting.
    """

    def __init__(
        self,
        *,
        settings: settings_lib.Settings,
        secrets: Secrets,
        kernel: kernel_lib.Kernel,
        clock: ports.Clock,
        addresses: sessions.Addresses,
    ) -> None:
        self.settings = settings
        self.secrets = secrets
        self.kernel = kernel
        self.clock = clock
        self.addresses = addresses
        self.decisions = decisions_lib.DecisionLog(
            node=settings.host_id,
            clock=clock,
            json_lines=settings.log_format == "json",
        )
        self.platform = Platform(settings=settings, kernel=kernel)
        self._build_membership()
        self._build_engine_owner()
        self._build_entry_node()

    def _build_membership(self) -> None:
        self.peer_client = peer_client.PeerClient(
            key=self.secrets.peer_key,
            revision=lambda: self.view.head_revision,
            tls=tls.peer_client_context(self.settings),
        )
        self.directory = directory_lib.EndpointDirectory(
            host_list=self.platform.host_list,
            clock=self.clock,
            settings=self.settings,
        )
        self.log = config_log.ConfigLog(
            table=self.platform.table,
            objects=self.platform.objects,
            clock=self.clock,
        )
        self.view = config_view.ConfigView(
            log=self.log,
            clock=self.clock,
            settings=self.settings,
            peers=self.peer_addresses,
            peer_client=self.peer_client,
            decisions=self.decisions,
        )
        self.membership = membership_lib.Membership(
            table=self.platform.table,
            directory=self.directory,
            clock=self.clock,
            settings=self.settings,
            addresses=self.addresses,
            applied_revision=lambda: self.view.revision,
            decisions=self.decisions,
        )
        self.isolation = isolation_lib.Isolation(
            membership=self.membership,
            view=self.view,
            peer_client=self.peer_client,
            clock=self.clock,
            settings=self.settings,
            decisions=self.decisions,
        )

    def _build_engine_owner(self) -> None:
        width = self.platform.width
        self.permit_home = permit_home.PermitHome(width=width, clock=self.clock)
        self.registry = registry_lib.OwnerRegistry(
            kernel=self.kernel,
            directory=self.directory,
            weights=self.platform.weights,
            permits=load_permits.LoadPermits(
                membership=self.membership,
                home=self.permit_home,
                peer_client=self.peer_client,
                clock=self.clock,
                settings=self.settings,
                width=width,
            ),
            clock=self.clock,
            settings=self.settings,
            decisions=self.decisions,
            open_engine=self.platform.endpoints.open_engine,
        )
        self.ownership = ownership_lib.Ownership(
            table=self.platform.table,
            membership=self.membership,
            directory=self.directory,
            isolation=self.isolation,
            peer_client=self.peer_client,
            clock=self.clock,
            settings=self.settings,
            decisions=self.decisions,
            adopter=self.registry,
            open_engine_client=self.platform.endpoints.open_engine,
        )
        self.registry.ownership = self.ownership

    def _build_entry_node(self) -> None:
        self.quota_home = quota_home.QuotaHome(
            contract=self.view.contract, clock=self.clock
        )
        self.quotas = quota.Quotas(
            membership=self.membership,
            home=self.quota_home,
            peer_client=self.peer_client,
            clock=self.clock,
            settings=self.settings,
            decisions=self.decisions,
        )
        self.grants = grants_lib.GrantStore(
            clock=self.clock, session_id=lambda: self.membership.self_id
        )
        self.admission = admission_lib.Admission(
            router=router_lib.Router(
                directory=self.directory,
                policy=self.kernel.make_routing_policy(
                    self.settings.routing_policy
                ),
                clock=self.clock,
                settings=self.settings,
                decisions=self.decisions,
            ),
            ownership=self.ownership,
            membership=self.membership,
            registry=self.registry,
            peer_client=self.peer_client,
            grants=self.grants,
            clock=self.clock,
            settings=self.settings,
            decisions=self.decisions,
        )
        self._build_dispatch()

    def _build_dispatch(self) -> None:
        self.quarantine = quarantine_lib.Quarantine(
            table=self.platform.table,
            policy=quarantine_rules.OWNED_ENGINES,
            clock=self.clock,
            report=crash_decisions.CrashDecisions(self.decisions),
            report_event=crash_decisions.log_event,
            broadcaster=broadcast.QuarantineBroadcaster(
                membership=self.membership,
                peer_client=self.peer_client,
                clock=self.clock,
            ),
        )
        self.generations = generations_lib.Generations(
            admission=self.admission,
            grants=self.grants,
            quarantine=self.quarantine,
            directory=self.directory,
            open_engine_client=self.platform.endpoints.open_engine,
            clock=self.clock,
            settings=self.settings,
            decisions=self.decisions,
        )
        self.intents = intents_lib.Intents(
            table=self.platform.table,
            membership=self.membership,
            clock=self.clock,
            settings=self.settings,
        )
        self.plain_calls = plain_calls_lib.PlainCalls(
            intents=self.intents,
            directory=self.directory,
            open_service_client=self.platform.endpoints.open_plain_service,
            clock=self.clock,
            settings=self.settings,
            decisions=self.decisions,
        )

    @property
    def services(self) -> tuple[mode.Service, ...]:
        """The components that run as services, in start order."""
        return (
            self.directory,
            self.membership,
            self.view,
            self.isolation,
            self.registry,
            self.ownership,
            self.quotas,
            self.quarantine,
            self.intents,
        )

    async def settle(self) -> None:
        """Waits for background work that outlives the request it belongs to."""
        await self.generations.settle()
        await self.plain_calls.settle()
        await self.intents.settle()

    def peer_addresses(self) -> Sequence[str]:
        """Returns peer addresses, from the host list if no session is known."""
        peers = self.membership.peers()
        if peers:
            return [session.peer_address for session in peers]
        own = self.addresses.peer
        addresses = [
            endpoint.url.partition("://")[2]
            for endpoint in self.directory.endpoints.values()
            if endpoint.kind is models.EndpointKind.NODE
        ]
        return [address for address in addresses if address != own]
