"""The dispatch of one node over fakes, wired as a node wires it."""

import dataclasses
from typing import final

from _dogwoodhinge import decisions as decisions_lib
from _dogwoodhinge import settings as settings_lib
from _dogwoodhinge.dispatch import admission as admission_lib
from _dogwoodhinge.dispatch import crash_decisions
from _dogwoodhinge.dispatch import generations as generations_lib
from _dogwoodhinge.dispatch import grants as grants_lib
from _dogwoodhinge.dispatch import intents as intents_lib
from _dogwoodhinge.dispatch import plain_calls as plain_calls_lib
from _dogwoodhinge.quarantine import broadcast
from _dogwoodhinge.quarantine import quarantine as quarantine_lib
from _dogwoodhinge.quarantine import rules as quarantine_rules
from dogwoodhinge import models
from dogwoodhinge import ports
from dogwoodhinge_lab import dispatch_fakes

GAP_SECONDS = 0.05


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DispatchNode:
    """One node's dispatch."""

    cluster: dispatch_fakes.FakeCluster
    settings: settings_lib.Settings
    decisions: decisions_lib.DecisionLog
    grants: grants_lib.GrantStore
    admission: admission_lib.Admission
    quarantine: quarantine_lib.Quarantine
    generations: generations_lib.Generations
    intents: intents_lib.Intents
    plain_calls: plain_calls_lib.PlainCalls

    async def settle(self) -> None:
        """Returns when nothing goes on in the background."""
        await self.generations.settle()
        await self.plain_calls.settle()


def make_settings(**changes: object) -> settings_lib.Settings:
    """Returns settings with short gaps, for a node without a platform."""
    values = {
        "host_id": "host-1",
        "table_url": "memory://table",
        "object_store_url": "memory://objects",
        "weight_store_url": "memory://weights",
        "host_list_url": "memory://hosts",
        "gap_seconds": GAP_SECONDS,
    }
    return settings_lib.Settings.model_validate(values | changes)


def make_node(
    *,
    cluster: dispatch_fakes.FakeCluster,
    table: ports.TableService,
    clock: ports.Clock,
    services: dict[str, dispatch_fakes.FakeService] | None = None,
    settings: settings_lib.Settings | None = None,
) -> DispatchNode:
    """Wires a node whose neighbours are all in `cluster`.

    Args:
        cluster: engines, owners, sessions and endpoints.
        table: the table service; several nodes may share one.
        clock: the clock.
        services: clients of plain services by endpoint.
        settings: the settings, if not those of `make_settings`.
    """
    settings = settings or make_settings()
    known_services = services or {}
    decisions = decisions_lib.DecisionLog(node=cluster.self_id, clock=clock)
    grants = grants_lib.GrantStore(
        clock=clock, session_id=lambda: cluster.self_id
    )
    admission = admission_lib.Admission(
        router=cluster,
        ownership=cluster,
        membership=cluster,
        registry=cluster,
        peer_client=cluster,
        grants=grants,
        clock=clock,
        settings=settings,
        decisions=decisions,
    )
    quarantine = quarantine_lib.Quarantine(
        table=table,
        policy=quarantine_rules.OWNED_ENGINES,
        clock=clock,
        report=crash_decisions.CrashDecisions(decisions),
        report_event=crash_decisions.log_event,
        broadcaster=broadcast.QuarantineBroadcaster(
            membership=cluster,
            peer_client=cluster,
            clock=clock,
        ),
    )
    intents = intents_lib.Intents(
        table=table, membership=cluster, clock=clock, settings=settings
    )

    def open_service_client(endpoint: models.Endpoint) -> ports.PlainService:
        return known_services[endpoint.endpoint_id]

    return DispatchNode(
        cluster=cluster,
        settings=settings,
        decisions=decisions,
        grants=grants,
        admission=admission,
        quarantine=quarantine,
        generations=generations_lib.Generations(
            admission=admission,
            grants=grants,
            quarantine=quarantine,
            directory=cluster,
            open_engine_client=cluster.open_engine_client,
            clock=clock,
            settings=settings,
            decisions=decisions,
        ),
        intents=intents,
        plain_calls=plain_calls_lib.PlainCalls(
            intents=intents,
            directory=cluster,
            open_service_client=open_service_client,
            clock=clock,
            settings=settings,
            decisions=decisions,
        ),
    )
