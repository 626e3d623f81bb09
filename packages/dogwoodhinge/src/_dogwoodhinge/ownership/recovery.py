"""Restores an engine's state for its new owner before it may evict adapters.

The new owner reads the resident adapters and requests the open grants of
every session. A session that replies rejects lower tokens from then on. All
resident adapters stay pinned until every session has replied, or is no longer
live and its requests have ended.
"""

import asyncio
import dataclasses
import datetime
from typing import Protocol, final

from absl import logging

from _dogwoodhinge import errors as node_errors
from _dogwoodhinge import injection
from _dogwoodhinge.membership import membership as membership_module
from _dogwoodhinge.membership import sessions
from _dogwoodhinge.peer import client
from _dogwoodhinge.peer import peer_pb2
from dogwoodhinge import errors as port_errors
from dogwoodhinge import models
from dogwoodhinge import ports

MAX_CONCURRENT_CALLS = 16
RETRY_INTERVAL = datetime.timedelta(seconds=1)
LIST_GRANTS_TIMEOUT = datetime.timedelta(seconds=2)


@final
@dataclasses.dataclass(frozen=True, slots=True)
class OwnedState:
    """State of an engine that its owner passes on to the successor."""

    grants: tuple[peer_pb2.Grant, ...] = ()
    residents: tuple[models.AdapterVersion, ...] = ()


class Adopter(Protocol):
    """Runs the engines that this node owns.

    Implemented by `engine_scheduling.registry`.
    """

    async def adopt(
        self, endpoint: models.Endpoint, token: int, recovery: "Recovery"
    ) -> None:
        """Starts to send orders to an engine under a token."""

    async def drop(self, engine_id: str) -> OwnedState:
        """Stops the orders to an engine and waits for those in flight."""


@final
class Recovery:
    """Collects the state of one engine for its new owner.

    Attributes:
        token: the new owner's fencing token.
        grants: open grants that sessions have reported so far.
        residents: adapters in the engine's adapter slots, by its last report.
        pinned: whether all residents are pinned, so that loads use only free
            adapter slots.
        abandoned: whether the engine has another owner.
        complete: set once residents without a grant may be evicted.
    """

    def __init__(
        self,
        *,
        engine: ports.Engine,
        token: int,
        membership: membership_module.Membership,
        peer_client: client.PeerClient,
        clock: ports.Clock,
        report_lag: datetime.timedelta,
    ) -> None:
        self.engine = engine
        self.token = token
        self.membership = membership
        self.peer_client = peer_client
        self.clock = clock
        self.report_lag = report_lag
        self.grants: tuple[peer_pb2.Grant, ...] = ()
        self.residents: tuple[models.AdapterVersion, ...] = ()
        self.pinned = True
        self.abandoned = False
        self.complete = asyncio.Event()

    def restore(self, state: OwnedState) -> None:
        """Uses the previous owner's state instead of querying the sessions."""
        self.grants = state.grants
        self.residents = state.residents
        self._finish()

    def abandon(self) -> None:
        """Stops the recovery because the engine has another owner."""
        self.abandoned = True

    async def wait_complete(self) -> None:
        """Waits until residents without a grant may be evicted."""
        await self.complete.wait()

    async def read_residents(self) -> None:
        """Reads the resident adapters.

        Raises:
            EngineError: the engine did not answer.
        """
        self.residents = (await self.engine.report()).residents

    async def run(self) -> None:
        """Collects the grants, then waits for requests without a grant."""
        await injection.reach(injection.Step.RECOVER)
        await self._collect_grants()
        await self._wait_for_ungranted(self.clock.monotonic())
        if not self.abandoned:
            self._finish()

    async def _collect_grants(self) -> None:
        """Requests each session's grants until it replies or is not live."""
        pending = {s.session_id: s for s in self.membership.known()}
        while pending and not self.abandoned:
            for session_id in await self._request_in_batches(
                tuple(pending.values())
            ):
                del pending[session_id]
            for session_id in tuple(pending):
                if self.membership.is_inactive(session_id):
                    del pending[session_id]
            if pending:
                await self.clock.sleep(RETRY_INTERVAL)

    async def _request_in_batches(
        self, targets: tuple[sessions.Session, ...]
    ) -> set[str]:
        answered: set[str] = set()
        for start in range(0, len(targets), MAX_CONCURRENT_CALLS):
            part = targets[start : start + MAX_CONCURRENT_CALLS]
            results = await asyncio.gather(
                *(self._request_grants(s) for s in part)
            )
            answered |= {
                session.session_id
                for session, ok in zip(part, results, strict=True)
                if ok
            }
        return answered

    async def _request_grants(self, session: sessions.Session) -> bool:
        request = peer_pb2.ListGrantsRequest(
            engine_id=self.engine.endpoint.endpoint_id, token=self.token
        )
        try:
            reply = await self.peer_client.call(
                session.peer_address,
                "ListGrants",
                request,
                timeout=LIST_GRANTS_TIMEOUT,
            )
        except node_errors.PeerError as error:
            logging.info("%s did not list its grants: %s", session.name, error)
            return False
        self.grants = (*self.grants, *reply.grants)
        return True

    async def _wait_for_ungranted(self, cutoff: float) -> None:
        """Waits until all requests without a known grant have ended.

        Such requests remain from sessions that are no longer live, and from
        grants that ended while the sessions were queried.

        Args:
            cutoff: time after which no session that is no longer live has
                dispatched a request, monotonic.
        """
        granted = {grant.request_id for grant in self.grants}
        ungranted: set[str] = set()
        epoch = ""
        collecting = True
        while not self.abandoned:
            report = await self._wait_for_report(cutoff)
            if report is None:
                return
            running = {request.request_id for request in report.running}
            if epoch not in ("", report.epoch):
                return
            epoch = report.epoch
            self.residents = report.residents
            if collecting:
                ungranted |= running - granted
                collecting = report.waiting > 0
            ungranted &= running
            if not collecting and not ungranted:
                return
            await self.clock.sleep(RETRY_INTERVAL)

    async def _wait_for_report(
        self, cutoff: float
    ) -> models.EngineReport | None:
        """Returns a load report measured after `cutoff` plus the report lag."""
        min_measured_at = cutoff + self.report_lag.total_seconds()
        while not self.abandoned:
            requested_at = self.clock.monotonic()
            try:
                report = await self.engine.report()
            except port_errors.EngineError as error:
                logging.info(
                    "no load report for the recovery; retrying: %s", error
                )
            else:
                if requested_at - report.age.total_seconds() >= min_measured_at:
                    return report
            await self.clock.sleep(RETRY_INTERVAL)
        return None

    def _finish(self) -> None:
        self.pinned = False
        self.complete.set()
