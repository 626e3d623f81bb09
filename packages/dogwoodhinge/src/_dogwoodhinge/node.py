"""The lifecycle of a node: starts, drains and stops its components."""

import asyncio
from typing import final

from absl import logging
from aiohttp import web

from _dogwoodhinge import injection
from _dogwoodhinge import kernel as kernel_lib
from _dogwoodhinge import listeners as listeners_lib
from _dogwoodhinge import metrics as metrics_lib
from _dogwoodhinge import node_metrics
from _dogwoodhinge import parts as parts_lib
from _dogwoodhinge import settings as settings_lib
from _dogwoodhinge.callers import app as caller_app
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
        secrets: parts_lib.Secrets,
        kernel: kernel_lib.Kernel,
        clock: ports.Clock,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.draining = False
        self.sockets = listeners_lib.bind(settings)
        self.parts = parts_lib.Components(
            settings=settings,
            secrets=secrets,
            kernel=kernel,
            clock=clock,
            addresses=self.sockets.addresses(),
        )
        self._build_ports()

    def _build_ports(self) -> None:
        parts = self.parts
        self.caller_deps = caller_app.Dependencies(
            contracts=parts.view,
            quotas=parts.quotas,
            generations=parts.generations,
            plain_calls=parts.plain_calls,
            may_serve=self.may_serve,
            unready_reason=lambda: ", ".join(self.unready_reasons()),
            clock=self.clock,
            settings=self.settings,
            decisions=parts.decisions,
        )
        self.request_tracker = self.caller_deps.request_tracker
        self.peer = peer_server.PeerServer(
            key=parts.secrets.peer_key,
            admission=parts.registry,
            hand_overs=parts.ownership,
            grants=parts.grants,
            reachability=parts.isolation,
            quota=parts.quota_home,
            permits=parts.permit_home,
            changes=parts.view,
            convictions=parts.quarantine,
            decisions=parts.decisions,
        )
        self.metrics = metrics_lib.Metrics()
        self.metrics.add_source(node_metrics.NodeSamples(self).read)
        self.listeners = listeners_lib.Listeners(
            sockets=self.sockets,
            settings=self.settings,
            caller=caller_app.build_runner(caller_app.build(self.caller_deps)),
            operator=web.AppRunner(self._operator_app(), access_log=None),
            peer=self.peer,
        )

    def _operator_app(self) -> web.Application:
        parts = self.parts
        app = operator_app.build(
            operator_app.Dependencies(
                operator_key=parts.secrets.operator_key,
                host_id=self.settings.host_id,
                log=parts.log,
                view=parts.view,
                guard=guard.AcceptanceGuard(
                    majority_renewed=parts.membership.majority_renewed,
                    clock=self.clock,
                ),
                membership=parts.membership,
                peer_client=parts.peer_client,
                decisions=parts.decisions,
                clock=self.clock,
                endpoints=lambda: tuple(parts.directory.endpoints.values()),
                engines=parts.registry.status,
                isolation=lambda: str(parts.isolation.status),
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
        for service in self.parts.services:
            await service.start()
        self.parts.membership.listeners.append(self._update_peer_session)
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
        await self.parts.membership.start_drain()
        await self.clock.sleep(self.settings.seconds("drain_notice"))
        await self.listeners.stop_accepting_callers()
        await self.parts.ownership.hand_over_all()
        await self.request_tracker.wait_idle()
        await self._settle_with_timeout()

    async def _settle_with_timeout(self) -> None:
        """Waits a bounded time for pending releases and outcome records.

        An engine owner detects a lost release from the engine's reports, and
        an intent without a recorded outcome is reported as unknown.
        """
        try:
            async with asyncio.timeout(SETTLE_TIMEOUT_SECONDS):
                await self.parts.settle()
        except TimeoutError:
            logging.warning(
                "stopping with undelivered releases or outcome records; "
                "engine owners detect lost releases from engine reports, and "
                "intents without an outcome are reported as unknown"
            )

    async def stop(self) -> None:
        """Stops all components and closes the ports."""
        await self.parts.membership.end()
        for service in reversed(self.parts.services):
            await service.stop()
        await self.listeners.close()
        self.parts.peer_client.close()
        await self.parts.platform.close()

    # State.

    def unready_reasons(self) -> tuple[str, ...]:
        """Returns the reasons why the node is not ready."""
        reasons = []
        if self.draining:
            reasons.append("draining")
        if not self.parts.view.loaded:
            reasons.append("no configuration yet")
        if not self.parts.membership.joined:
            reasons.append("no session yet")
        if not self.parts.isolation.may_serve():
            reasons.append("isolated")
        return tuple(reasons)

    def readiness(self) -> operator_app.Readiness:
        """Returns whether the node accepts new requests, and if not, why."""
        reasons = self.unready_reasons()
        return operator_app.Readiness(not reasons, reasons)

    def may_serve(self) -> bool:
        """Returns whether the local configuration is known to be in force."""
        return self.parts.view.loaded and self.parts.isolation.may_serve()

    def _update_peer_session(self) -> None:
        self.parts.peer_client.session_id = self.parts.membership.self_id

    async def _handle_scrape(self, request: web.Request) -> web.Response:
        del request
        return web.Response(
            body=self.metrics.render(),
            headers={"Content-Type": METRICS_CONTENT_TYPE},
        )


async def _arm_injection(request: web.Request) -> web.Response:
    injection.arm_all(await request.text())
    return web.Response(status=204)
