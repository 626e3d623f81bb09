"""Stand-in of a plain service: keeps pallets and spots reserved."""

import asyncio
import json
from typing import Any, final

from absl import flags
from aiohttp import web

from dogwoodhinge_lab.standins import server


class Faults(server.Faults):
    """Faults of the service.

    Attributes:
        lose_next: next calls that take effect unanswered.
        drop_next: next calls dropped before any effect.
        work_ms: time a call takes.
    """

    lose_next: int = 0
    drop_next: int = 0
    work_ms: float = 0.0


@final
class ServiceStandin(server.Standin[Faults]):
    """Runs `POST /reserve` and the like (each run counts) and `/lookup`.

    It checks no idempotency key: a call that comes twice runs twice, and the
    records show it.

    Attributes:
        runs: calls run so far, the number in each answer.
    """

    def __init__(self) -> None:
        super().__init__(Faults())
        self.runs = 0
        self.app.router.add_route("*", "/{operation:.+}", self._call)

    async def _call(self, request: web.Request) -> web.Response:
        body = await request.read()
        if self.faults.drop_next:
            self.faults.drop_next -= 1
            self.record("dropped", key=_key(request))
            server.drop_connection(request)
            return web.Response()
        await asyncio.sleep(self.faults.work_ms / 1e3)
        answer = self._run(request, body)
        if self.faults.lose_next:
            self.faults.lose_next -= 1
            server.drop_connection(request)
        return answer

    def _run(self, request: web.Request, body: bytes) -> web.Response:
        self.runs += 1
        operation = request.match_info["operation"]
        self.record(
            "run",
            operation=operation,
            key=_key(request),
            call_id=request.headers.get("X-Request-Id", ""),
            body=body.decode(errors="replace"),
            run=self.runs,
        )
        return web.json_response(
            {"operation": operation, "run": self.runs, "body": _echo(body)}
        )


def _key(request: web.Request) -> str:
    return request.headers.get("Idempotency-Key", "")


def _echo(body: bytes) -> Any:
    try:
        return json.loads(body) if body else None
    except ValueError:
        return None


def _make(values: flags.FlagValues) -> ServiceStandin:
    del values
    return ServiceStandin()


if __name__ == "__main__":
    server.run(_make)
