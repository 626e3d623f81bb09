"""Tracks endpoints by the list of hosts and this node's own observations.

The list is updated with a delay. An endpoint receives no new work as soon as
the list marks it as leaving, the endpoint itself reports that it is leaving,
or calls to it fail.
"""

from collections.abc import Callable
import dataclasses
import datetime
import random
from typing import final

from absl import logging
import mode

from _dogwoodhinge import settings as settings_module
from dogwoodhinge import errors as port_errors
from dogwoodhinge import models
from dogwoodhinge import ports

MISSED_READS_UNTIL_GONE = 3  # consecutive reads of the list
MIN_PROBE_DELAY = datetime.timedelta(seconds=1)
MAX_PROBE_DELAY = datetime.timedelta(seconds=30)
BACKOFF_FACTOR = 2
LEAVING_TIMEOUT = datetime.timedelta(
    seconds=60
)  # exceeds the delay of the list
GONE_RETENTION_SECONDS = 3_600.0


@final
@dataclasses.dataclass(slots=True)
class Observation:
    """This node's observations of one endpoint.

    Attributes:
        failures: consecutive calls that could not reach the endpoint.
        hidden_until: the endpoint is unreachable; it receives no work before
            this time, monotonic.
        paused_until: the endpoint wants no requests until then.
        leaving_until: the endpoint reported that it is leaving; ignored after
            this time, as the list should be up to date by then, monotonic.
    """

    failures: int = 0
    hidden_until: float = 0.0
    leaving_until: float = 0.0
    paused_until: float = 0.0


@final
class EndpointDirectory(mode.Service):
    """Polls the list of hosts and returns the endpoints that accept work.

    When the list can't be read, or is empty, the last one stays in use. An
    endpoint that is missing from one or two reads is kept; one that is missing
    from `MISSED_READS_UNTIL_GONE` consecutive reads is gone.

    Attributes:
        listing: the last list that was read; None before the first read.
        listeners: called after each change.
    """

    def __init__(
        self,
        *,
        host_list: ports.HostList,
        clock: ports.Clock,
        settings: settings_module.Settings,
    ) -> None:
        super().__init__()
        self.host_list = host_list
        self.clock = clock
        self.settings = settings
        self.listing: models.HostListing | None = None
        self.endpoints: dict[str, models.Endpoint] = {}
        self.missed_reads: dict[str, int] = {}
        self.gone_at: dict[str, float] = {}
        self.observations: dict[str, Observation] = {}
        self.listeners: list[Callable[[], None]] = []
        self.rng = random.Random()

    async def on_start(self) -> None:
        """Reads the list once, so that it is available when the node starts."""
        await self.refresh()

    @mode.Service.task
    async def _poll(self) -> None:
        while not self.should_stop:
            await self.clock.sleep(self.settings.seconds("host_poll"))
            await self.refresh()

    async def refresh(self) -> bool:
        """Reads the list; returns False if the last one stays in use."""
        try:
            listing = await self.host_list.fetch()
        except port_errors.HostListError as error:
            logging.warning(
                "can't read the list of hosts; using the last one: %s",
                error,
            )
            return False
        if not listing.endpoints and self.endpoints:
            logging.warning("the list of hosts is empty; using the last one")
            return False
        self.listing = listing
        if self._update(listing.endpoints):
            self._notify()
        return True

    def engines(self, role: str | None = None) -> tuple[models.Endpoint, ...]:
        """Returns the live engines.

        Args:
            role: only engines of this role; None for all roles.
        """
        return tuple(
            endpoint
            for endpoint in self.endpoints.values()
            if endpoint.kind is models.EndpointKind.ENGINE
            and role in (None, endpoint.role)
            and self._is_live(endpoint)
        )

    def services(self, name: str) -> tuple[models.Endpoint, ...]:
        """Returns the live endpoints of a plain service."""
        return tuple(
            endpoint
            for endpoint in self.endpoints.values()
            if endpoint.kind is models.EndpointKind.SERVICE
            and endpoint.role == name
            and self._is_live(endpoint)
        )

    def get(self, endpoint_id: str) -> models.Endpoint | None:
        """Returns an endpoint in any state; None when it is gone."""
        return self.endpoints.get(endpoint_id)

    def is_usable(self, endpoint_id: str) -> bool:
        """Returns whether new work may be sent to an endpoint."""
        endpoint = self.endpoints.get(endpoint_id)
        if endpoint is None or not self._is_live(endpoint):
            return False
        observation = self.observations.get(endpoint_id)
        return observation is None or self.clock.monotonic() >= max(
            observation.hidden_until, observation.paused_until
        )

    def is_host_listed(self, host_id: str) -> bool:
        """Returns whether a node's host is in the list, live or leaving."""
        endpoint = self.endpoints.get(host_id)
        return (
            endpoint is not None and endpoint.kind is models.EndpointKind.NODE
        )

    def host_gone_since(self, host_id: str) -> float | None:
        """Returns when a host that had been listed was found to be gone.

        None when the host is listed, or when this node never saw it in the
        list.
        """
        return self.gone_at.get(host_id)

    def report_unreachable(self, endpoint_id: str) -> None:
        """Hides an endpoint with exponential backoff and jitter."""
        observation = self._observe(endpoint_id)
        was_usable = self.clock.monotonic() >= observation.hidden_until
        delay = min(
            MIN_PROBE_DELAY * BACKOFF_FACTOR ** min(observation.failures, 10),
            MAX_PROBE_DELAY,
        )
        observation.failures += 1
        jitter_factor = 0.5 + self.rng.random()
        observation.hidden_until = (
            self.clock.monotonic() + delay.total_seconds() * jitter_factor
        )
        if was_usable:
            self._notify()

    def report_leaving(self, endpoint_id: str) -> None:
        """Hides an endpoint that is leaving before the list shows it.

        If the list still has the endpoint as live after `LEAVING_TIMEOUT`,
        the endpoint is used again.
        """
        now = self.clock.monotonic()
        observation = self._observe(endpoint_id)
        was_live = now >= observation.leaving_until
        observation.leaving_until = now + LEAVING_TIMEOUT.total_seconds()
        if was_live:
            self._notify()

    def report_paused(
        self, endpoint_id: str, duration: datetime.timedelta
    ) -> None:
        """Hides an endpoint that wants no requests for some time.

        The latest end of several pauses holds.
        """
        now = self.clock.monotonic()
        observation = self._observe(endpoint_id)
        was_open = now >= observation.paused_until
        observation.paused_until = max(
            observation.paused_until, now + duration.total_seconds()
        )
        if was_open:
            self._notify()

    def report_reachable(self, endpoint_id: str) -> None:
        """Resets the backoff of an endpoint that answered."""
        observation = self.observations.get(endpoint_id)
        if observation is None or not observation.failures:
            return
        observation.failures = 0
        observation.hidden_until = 0.0
        self._notify()

    def _is_live(self, endpoint: models.Endpoint) -> bool:
        if endpoint.state is models.HostState.LEAVING:
            return False
        observation = self.observations.get(endpoint.endpoint_id)
        return (
            observation is None
            or self.clock.monotonic() >= observation.leaving_until
        )

    def _observe(self, endpoint_id: str) -> Observation:
        return self.observations.setdefault(endpoint_id, Observation())

    def _update(self, listed: tuple[models.Endpoint, ...]) -> bool:
        before = dict(self.endpoints)
        listed_by_id = {endpoint.endpoint_id: endpoint for endpoint in listed}
        for endpoint_id, endpoint in listed_by_id.items():
            self.missed_reads.pop(endpoint_id, None)
            self.gone_at.pop(endpoint_id, None)
            previous = before.get(endpoint_id)
            if previous is not None and previous.url != endpoint.url:
                self.observations.pop(endpoint_id, None)
            self.endpoints[endpoint_id] = endpoint
        for endpoint_id in before.keys() - listed_by_id.keys():
            self._record_missed_read(endpoint_id)
        return self.endpoints != before

    def _record_missed_read(self, endpoint_id: str) -> None:
        missed_reads = self.missed_reads.get(endpoint_id, 0) + 1
        if missed_reads < MISSED_READS_UNTIL_GONE:
            self.missed_reads[endpoint_id] = missed_reads
            return
        self.missed_reads.pop(endpoint_id, None)
        self.observations.pop(endpoint_id, None)
        del self.endpoints[endpoint_id]
        now = self.clock.monotonic()
        self.gone_at[endpoint_id] = now
        for old, gone_at in list(self.gone_at.items()):
            if now - gone_at > GONE_RETENTION_SECONDS:
                del self.gone_at[old]

    def _notify(self) -> None:
        for listener in self.listeners:
            listener()
