"""Stand-in of the list of hosts: Prometheus HTTP service discovery."""

import asyncio
import dataclasses
import hashlib
import json
from typing import Any, final
import urllib.parse

from absl import flags
from aiohttp import web

from dogwoodhinge import models
from dogwoodhinge_lab.standins import server

COMPRESSED_FROM_BYTES = 1_000


class Faults(server.Faults):
    """Faults of the list.

    Attributes:
        lag_seconds: how old the list is that callers see.
        garbled: answer with something that is no list.
    """

    lag_seconds: float = 0.0
    garbled: bool = False


@final
class HostsStandin(server.Standin[Faults]):
    """Lists endpoints; `PUT /control/endpoints` replaces them.

    Attributes:
        history: (time, body) of each state of the list, oldest first.
    """

    def __init__(self) -> None:
        super().__init__(Faults())
        self.history: list[tuple[float, bytes]] = [(0.0, b"[]")]
        self.app.router.add_get("/hosts", self._get)
        self.app.router.add_put("/control/endpoints", self._put)

    def set_endpoints(self, endpoints: list[models.Endpoint]) -> None:
        """Replaces the list; callers see it after the lag."""
        groups = [_to_group(endpoint) for endpoint in endpoints]
        now = asyncio.get_running_loop().time()
        self.history.append((now, json.dumps(groups).encode()))

    async def _get(self, request: web.Request) -> web.Response:
        if self.faults.garbled:
            return web.Response(text="<html>")
        body = self._visible()
        etag = hashlib.sha256(body).hexdigest()[:16]
        if request.headers.get("If-None-Match", "").strip('"') == etag:
            return web.Response(status=304, headers={"ETag": f'"{etag}"'})
        response = web.Response(
            body=body,
            content_type="application/json",
            headers={"ETag": f'"{etag}"'},
        )
        if len(body) >= COMPRESSED_FROM_BYTES:
            response.enable_compression()
        return response

    def _visible(self) -> bytes:
        now = asyncio.get_running_loop().time()
        seen = now - self.faults.lag_seconds
        bodies = [body for time, body in self.history if time <= seen]
        return bodies[-1] if bodies else self.history[0][1]

    async def _put(self, request: web.Request) -> web.Response:
        entries: list[dict[str, Any]] = await request.json()
        self.set_endpoints([models.Endpoint(**entry) for entry in entries])
        return web.json_response(len(entries))


def _to_group(endpoint: models.Endpoint) -> dict[str, Any]:
    labels = {
        field.name: _to_label(getattr(endpoint, field.name))
        for field in dataclasses.fields(endpoint)
        if field.name != "url"
    }
    url = urllib.parse.urlsplit(endpoint.url)
    labels["__scheme__"] = url.scheme
    return {"targets": [url.netloc], "labels": labels}


def _to_label(value: object) -> str:
    return str(value).lower() if isinstance(value, bool) else str(value)


def _make(values: flags.FlagValues) -> HostsStandin:
    del values
    return HostsStandin()


if __name__ == "__main__":
    server.run(_make)
