"""Leads a node through its life: start, drain, stop; and its three ports."""

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

SETTLE_SECONDS = 10.0
METRICS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"


@final
class Node:
    """One node: all its parts, started and stopped in order.

    Raises (when made):
        SettingsError: a port can't be had or a file can't be read.
        KernelError: no plug-in serves what a setting asks for.
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
        self.parts = parts_lib.Parts(
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
                metrics=self._answer_scrape,
            )
        )
        if self.settings.enable_injection:
            app.router.add_put("/v1/injection", _arm_injection)
        return app

    # Life.

    async def start(self) -> None:
        """Starts all parts; the node is ready some seconds later."""
        await self.listeners.open_operator()
        await self.listeners.open_peer()
        for service in self.parts.services:
            await service.start()
        self.parts.membership.listeners.append(self._note_session)
        self._note_session()
        await self.listeners.open_caller()

    async def drain(self) -> None:
        """Leaves without cutting a request off.

        Unready first, then no new connections once the balancer has seen it,
        then the engines go to their successors while the streams end.
        """
        self.draining = True
        await injection.reach(injection.Step.DRAIN)
        await self.parts.membership.start_drain()
        await self.clock.sleep(self.settings.seconds("drain_notice"))
        await self.listeners.refuse_callers()
        await self.parts.ownership.hand_over_all()
        await self.request_tracker.wait_idle()
        await self._settle_in_time()

    async def _settle_in_time(self) -> None:
        """Waits for releases and records, but not for ever.

        An owner learns of a lost release from the engine's reports, and an
        intent without an outcome is answered as unknown.
        """
        try:
            async with asyncio.timeout(SETTLE_SECONDS):
                await self.parts.settle()
        except TimeoutError:
            logging.warning(
                "the node leaves with releases or records undelivered; their "
                "owners and the intents' next askers find out by themselves"
            )

    async def stop(self) -> None:
        """Stops all self.parts."""
        await self.parts.membership.end()
        for service in reversed(self.parts.services):
            await service.stop()
        await self.listeners.close()
        self.parts.peer_client.close()
        await self.parts.platform.close()

    # State.

    def unready_reasons(self) -> tuple[str, ...]:
        """Tells why the balancer should send nothing here."""
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
        """Tells whether the node takes new work."""
        reasons = self.unready_reasons()
        return operator_app.Readiness(not reasons, reasons)

    def may_serve(self) -> bool:
        """Tells whether the configuration here is known to be in force."""
        return self.parts.view.loaded and self.parts.isolation.may_serve()

    def _note_session(self) -> None:
        self.parts.peer_client.session_id = self.parts.membership.self_id

    async def _answer_scrape(self, request: web.Request) -> web.Response:
        del request
        return web.Response(
            body=self.metrics.render(),
            headers={"Content-Type": METRICS_CONTENT_TYPE},
        )


async def _arm_injection(request: web.Request) -> web.Response:
    injection.arm_all(await request.text())
    return web.Response(status=204)
