"""The lifecycle of a node: starts, drains and stops its components."""

import asyncio
from typing import final

from absl import logging
from aiohttp import web

from _dogwoodhinge import components as components_lib
from _dogwoodhinge import injection
from _dogwoodhinge import kernel as kernel_lib
from _dogwoodhinge import listeners as listeners_lib
from _dogwoodhinge import metrics as metrics_lib
from _dogwoodhinge import node_metrics
from _dogwoodhinge import settings as settings_lib
from _dogwoodhinge.callers import app as caller_app
from _dogwoodhinge.callers import body_reader as body_reader_lib
from _dogwoodhinge.callers import connection_limit as connection_limit_lib
from _dogwoodhinge.callers import request_memory as request_memory_lib
from _dogwoodhinge.config import guard
from _dogwoodhinge.operators import app as operator_app
from _dogwoodhinge.peer import server as peer_server
from dogwoodhinge import ports

SETTLE_TIMEOUT_SECONDS = 10.0
METRICS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"


@final
class Node:
    """One node, which starts and stops its components in order.

    Raises (on construction):
        SettingsError: a port can't be bound or a file can't be read.
        KernelError: no plug-in handles the value of a setting.
    """

    def __init__(
        self,
        *,
        settings: settings_lib.Settings,
        secrets: components_lib.Secrets,
        kernel: kernel_lib.Kernel,
        clock: ports.Clock,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.draining = False
        self.sockets = listeners_lib.bind(settings)
        self.components = components_lib.Components(
            settings=settings,
            secrets=secrets,
            kernel=kernel,
            clock=clock,
            addresses=self.sockets.addresses(),
        )
        self._build_ports()

    def _build_ports(self) -> None:
        components = self.components
        request_memory = request_memory_lib.RequestMemory(
            self.settings.max_held_body_bytes
        )
        self.caller_deps = caller_app.Dependencies(
            contracts=components.view,
            quotas=components.quotas,
            generations=components.generations,
            plain_calls=components.plain_calls,
            may_serve=self.may_serve,
            unready_reason=lambda: ", ".join(self.unready_reasons()),
            clock=self.clock,
            settings=self.settings,
            decisions=components.decisions,
            body_reader=body_reader_lib.BodyReader(
                self.settings, request_memory
            ),
            request_memory=request_memory,
            connection_limit=connection_limit_lib.ConnectionLimit(
                self.settings.max_connections
            ),
        )
        self.request_tracker = self.caller_deps.request_tracker
        self.peer = peer_server.PeerServer(
            key=components.secrets.peer_key,
            admission=components.registry,
            hand_overs=components.ownership,
            grants=components.grants,
            reachability=components.isolation,
            quota=components.quota_home,
            permits=components.permit_home,
            changes=components.view,
            convictions=components.quarantine,
            decisions=components.decisions,
        )
        self.metrics = metrics_lib.Metrics()
        self.metrics.add_source(node_metrics.NodeSamples(self).read)
        self.listeners = listeners_lib.Listeners(
            sockets=self.sockets,
            settings=self.settings,
            caller=caller_app.build_runner(caller_app.build(self.caller_deps)),
            connection_limit=self.caller_deps.connection_limit,
            operator=web.AppRunner(self._operator_app(), access_log=None),
            peer=self.peer,
        )

    def _operator_app(self) -> web.Application:
        components = self.components
        app = operator_app.build(
            operator_app.Dependencies(
                operator_key=components.secrets.operator_key,
                host_id=self.settings.host_id,
                log=components.log,
                view=components.view,
                guard=guard.AcceptanceGuard(
                    majority_renewed=components.membership.majority_renewed,
                    clock=self.clock,
                ),
                membership=components.membership,
                peer_client=components.peer_client,
                decisions=components.decisions,
                clock=self.clock,
                endpoints=lambda: tuple(
                    components.directory.endpoints.values()
                ),
                engines=components.registry.status,
                isolation=lambda: str(components.isolation.status),
                readiness=self.readiness,
                is_live=lambda: True,
                metrics=self._handle_scrape,
            )
        )
        if self.settings.enable_injection:
            app.router.add_put("/v1/injection", _arm_injection)
        return app

    # Lifecycle.

    async def start(self) -> None:
        """Starts all components; the node becomes ready some seconds later."""
        await self.listeners.open_operator()
        await self.listeners.open_peer()
        for service in self.components.services:
            await service.start()
        self.components.membership.listeners.append(self._update_peer_session)
        self._update_peer_session()
        await self.listeners.open_caller()

    async def drain(self) -> None:
        """Drains the node without aborting a running request.

        The node reports itself as not ready, waits until the load balancer
        has noticed, and stops accepting connections. It then hands its engines
        over to their next owners while the open streams finish.
        """
        self.draining = True
        await injection.reach(injection.Step.DRAIN)
        await self.components.membership.start_drain()
        await self.clock.sleep(self.settings.seconds("drain_notice"))
        await self.listeners.stop_accepting_callers()
        await self.components.ownership.hand_over_all()
        await self.request_tracker.wait_idle()
        await self._settle_with_timeout()

    async def _settle_with_timeout(self) -> None:
        """Waits a bounded time for pending releases and outcome records.

        An engine owner detects a lost release from the engine's reports, and
        an intent without a recorded outcome is reported as unknown.
        """
        try:
            async with asyncio.timeout(SETTLE_TIMEOUT_SECONDS):
                await self.components.settle()
        except TimeoutError:
            logging.warning(
                "stopping with undelivered releases or outcome records; "
                "engine owners detect lost releases from engine reports, and "
                "intents without an outcome are reported as unknown"
            )

    async def stop(self) -> None:
        """Stops all components and closes the ports."""
        await self.components.membership.end()
        for service in reversed(self.components.services):
            await service.stop()
        await self.listeners.close()
        self.components.peer_client.close()
        await self.components.platform.close()

    # State.

    def unready_reasons(self) -> tuple[str, ...]:
        """Returns the reasons why the node is not ready."""
        reasons = []
        if self.draining:
            reasons.append("draining")
        if not self.components.view.loaded:
            reasons.append("no configuration yet")
        if not self.components.membership.joined:
            reasons.append("no session yet")
        if not self.components.isolation.may_serve():
            reasons.append("isolated")
        return tuple(reasons)

    def readiness(self) -> operator_app.Readiness:
        """Returns whether the node accepts new requests, and if not, why."""
        reasons = self.unready_reasons()
        return operator_app.Readiness(not reasons, reasons)

    def may_serve(self) -> bool:
        """Returns whether the local configuration is known to be in force."""
        return (
            self.components.view.loaded
            and self.components.isolation.may_serve()
        )

    def _update_peer_session(self) -> None:
        self.components.peer_client.session_id = (
            self.components.membership.self_id
        )

    async def _handle_scrape(self, request: web.Request) -> web.Response:
        del request
        return web.Response(
            body=self.metrics.render(),
            headers={"Content-Type": METRICS_CONTENT_TYPE},
        )


async def _arm_injection(request: web.Request) -> web.Response:
    injection.arm_all(await request.text())
    return web.Response(status=204)
