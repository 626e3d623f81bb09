"""A cache with one client per endpoint, shared by the whole node."""

from typing import Protocol

from dogwoodhinge import models
from dogwoodhinge import ports


class EndpointOpener(Protocol):
    """Creates clients; implemented by the kernel through the plug-ins."""

    def open_engine(self, endpoint: models.Endpoint) -> ports.Engine:
        """Creates the client of an engine."""

    def open_plain_service(
        self, endpoint: models.Endpoint
    ) -> ports.PlainService:
        """Creates the client of a plain service."""


class EndpointClients:
    """Caches the clients of endpoints.

    If the URL of an endpoint changes, the endpoint gets a new client; the old
    one stays open until `close`.
    """

    def __init__(self, *, opener: EndpointOpener) -> None:
        self.opener = opener
        self.engines: dict[str, ports.Engine] = {}
        self.services: dict[str, ports.PlainService] = {}
        self.retired: list[ports.Engine | ports.PlainService] = []

    def open_engine(self, endpoint: models.Endpoint) -> ports.Engine:
        """Returns the cached or a new client of an engine."""
        cached = self.engines.get(endpoint.endpoint_id)
        if cached is not None and cached.endpoint.url == endpoint.url:
            return cached
        if cached is not None:
            self.retired.append(cached)
        opened = self.opener.open_engine(endpoint)
        self.engines[endpoint.endpoint_id] = opened
        return opened

    def open_plain_service(
        self, endpoint: models.Endpoint
    ) -> ports.PlainService:
        """Returns the cached or a new client of a plain service."""
        cached = self.services.get(endpoint.endpoint_id)
        if cached is not None and cached.endpoint.url == endpoint.url:
            return cached
        if cached is not None:
            self.retired.append(cached)
        opened = self.opener.open_plain_service(endpoint)
        self.services[endpoint.endpoint_id] = opened
        return opened

    async def close(self) -> None:
        """Closes all clients, including replaced ones."""
        clients = [
            *self.engines.values(),
            *self.services.values(),
            *self.retired,
        ]
        self.engines.clear()
        self.services.clear()
        self.retired.clear()
        for client in clients:
            await client.close()
