"""List of hosts over Prometheus HTTP service discovery.

The response is a JSON list of target groups. Each group has `targets` with one
`address:port` and `labels` with the fields of `models.Endpoint`. The body is
compressed, and transferred only if its `ETag` has changed.
"""

import datetime
import json
from typing import Any, final

from _dogwoodhinge.platform import errors as platform_errors
from _dogwoodhinge.platform import http_client
from dogwoodhinge import errors
from dogwoodhinge import hookimpl
from dogwoodhinge import models
from dogwoodhinge import ports

SCHEME = "sd"
CALL_TIMEOUT = datetime.timedelta(seconds=2)
MAX_LIST_BYTES = 16 * 1024 * 1024
STATUS_OK = 200
STATUS_NOT_MODIFIED = 304


@hookimpl.hookimpl
def open_host_list(url: str, clock: ports.Clock) -> ports.HostList | None:
    """Opens `sd+http(s)://host:port/path`."""
    http_url = http_client.split_scheme(url, SCHEME)
    return None if http_url is None else HttpSd(http_url, clock)


@final
class HttpSd:
    """Implements `ports.HostList`."""

    def __init__(self, url: str, clock: ports.Clock) -> None:
        self.client = http_client.HttpClient(url)
        self.clock = clock
        self.etag = ""
        self.endpoints: tuple[models.Endpoint, ...] = ()

    async def fetch(self) -> models.HostListing:
        """Fetches the list; an unchanged one transfers a few hundred bytes."""
        headers = {"If-None-Match": self.etag} if self.etag else {}
        request = http_client.Request(method="GET", path="", headers=headers)
        try:
            response = await self.client.exchange(
                request, timeout=CALL_TIMEOUT, max_body_bytes=MAX_LIST_BYTES
            )
        except platform_errors.ExchangeError as error:
            raise errors.HostListError(str(error)) from error
        if response.status == STATUS_OK:
            self.endpoints = _parse(response.body)
            self.etag = response.headers.get("ETag", "")
        elif response.status != STATUS_NOT_MODIFIED or not self.etag:
            raise errors.HostListError(
                f"the server of the host list answered with status "
                f"{response.status}"
            )
        return models.HostListing(self.endpoints, self.clock.monotonic())

    async def close(self) -> None:
        """Closes the connections."""
        await self.client.close()


def _parse(body: bytes) -> tuple[models.Endpoint, ...]:
    try:
        groups = json.loads(body)
        return tuple(
            _to_endpoint(target, group["labels"])
            for group in groups
            for target in group["targets"]
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise errors.HostListError(
            f"the host list can't be parsed: {error!r}"
        ) from error


def _to_endpoint(target: str, labels: dict[str, Any]) -> models.Endpoint:
    scheme = labels.get("__scheme__", "http")
    return models.Endpoint(
        endpoint_id=labels["endpoint_id"],
        kind=models.EndpointKind(labels["kind"]),
        url=f"{scheme}://{target}",
        role=labels.get("role", ""),
        zone=labels.get("zone", ""),
        region=labels.get("region", ""),
        base_model=labels.get("base_model", ""),
        slots=int(labels.get("slots", 0)),
        batch=int(labels.get("batch", 0)),
        checks_fencing=labels.get("checks_fencing") == "true",
        state=models.HostState(labels.get("state", "live")),
    )
