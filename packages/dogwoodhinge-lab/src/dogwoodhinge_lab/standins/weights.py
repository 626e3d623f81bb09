"""Stand-in of the weight store: S3 reads, a rate limit and crowding."""

import asyncio
import fnmatch
from typing import final

from absl import flags
from aiohttp import web

from dogwoodhinge import models
from dogwoodhinge_lab.standins import server

LOAD_SECONDS = 0.25
WEIGHTS_SIZE_BYTES = 1_000


class Faults(server.Faults):
    """Faults of the weight store.

    Attributes:
        missing: patterns of `adapter/version` that are not there.
        failing: patterns whose reads fail after their time.
        slow_factor: makes each load so many times longer.
    """

    missing: tuple[str, ...] = ()
    failing: tuple[str, ...] = ()
    slow_factor: float = 1.0


@final
class WeightsStandin(server.Standin[Faults]):
    """Holds every adapter and version that is not switched off.

    Attributes:
        width: rate and crowding.
        in_flight: loads under way.
        load_seconds: time of a load while the store is not crowded.
    """

    def __init__(
        self, width: models.StoreWidth, *, load_seconds: float = LOAD_SECONDS
    ) -> None:
        super().__init__(Faults())
        self.width = width
        self.load_seconds = load_seconds
        self.in_flight = 0
        self.next_start = 0.0
        self.app.router.add_get("/{bucket}/{name}/{version}", self._get)

    async def _get(self, request: web.Request) -> web.Response:
        name = f"{request.match_info['name']}/{request.match_info['version']}"
        if _matches(self.faults.missing, name):
            raise web.HTTPNotFound
        if request.method == "HEAD":
            return _weights()
        await self._load(name)
        if _matches(self.faults.failing, name):
            raise web.HTTPInternalServerError
        return _weights()

    async def _load(self, name: str) -> None:
        self.in_flight += 1
        self.record("load", name=name, in_flight=self.in_flight)
        try:
            await self._wait_for_rate()
            crowding = max(1.0, self.in_flight / self.width.crowded_from)
            factor = crowding * self.faults.slow_factor
            await asyncio.sleep(self.load_seconds * factor)
        finally:
            self.in_flight -= 1

    async def _wait_for_rate(self) -> None:
        """Starts loads at the sustained rate, with a burst of full speed."""
        now = asyncio.get_running_loop().time()
        interval = 1 / self.width.loads_per_second
        burst = interval * self.width.full_speed
        self.next_start = max(self.next_start, now - burst) + interval
        await asyncio.sleep(max(0.0, self.next_start - now))


def _matches(patterns: tuple[str, ...], name: str) -> bool:
    return any(fnmatch.fnmatchcase(name, pattern) for pattern in patterns)


def _weights() -> web.Response:
    return web.Response(body=bytes(WEIGHTS_SIZE_BYTES))


def _make(values: flags.FlagValues) -> WeightsStandin:
    width = models.StoreWidth(
        values.full_speed, values.crowded_from, values.loads_per_second
    )
    return WeightsStandin(width)


if __name__ == "__main__":
    flags.DEFINE_integer("full_speed", 2, "loads at once at full speed")
    flags.DEFINE_integer("crowded_from", 16, "loads in flight that crowd it")
    flags.DEFINE_float("loads_per_second", 3.0, "sustained rate")
    server.run(_make)
