"""Tests of plain services over HTTP, against raw connections."""

import asyncio
from collections.abc import AsyncIterator
import datetime

import pytest

from _dogwoodhinge.platform import http_service
from dogwoodhinge import models

TIMEOUT = datetime.timedelta(seconds=2)

REFUSAL = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 4\r\n\r\nbusy"
SUCCESS = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"


class RepeatingService:
    """Refuses the first call, and writes that refusal again on each connection.

    Attributes:
        calls: number of calls received.
        port: port that it listens on.
    """

    def __init__(self) -> None:
        self.calls = 0
        self.port = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one connection until it is closed."""
        refused = False
        try:
            while True:
                await reader.readuntil(b"\r\n\r\n")
                self.calls += 1
                if refused:
                    writer.write(REFUSAL)
                writer.write(SUCCESS if self.calls > 1 else REFUSAL)
                refused = self.calls == 1
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


@pytest.fixture
async def repeating_service() -> AsyncIterator[RepeatingService]:
    service = RepeatingService()
    server = await asyncio.start_server(service.serve, "127.0.0.1", 0)
    service.port = server.sockets[0].getsockname()[1]
    yield service
    server.close()


async def test_late_copy_of_a_refusal_is_no_answer_to_the_next_call(
    repeating_service: RepeatingService,
) -> None:
    """Each call has a connection of its own, so the copy reaches nobody."""
    client = http_service.HttpService(
        models.Endpoint(
            "s-1",
            models.EndpointKind.SERVICE,
            f"http://127.0.0.1:{repeating_service.port}",
        )
    )
    statuses = []
    for number in range(2):
        call = models.PlainCall(
            call_id=f"c{number}",
            method="GET",
            path="/x",
            body=b"",
            content_type="text/plain",
            idempotency_key="",
        )
        answer = await client.call(call, timeout=TIMEOUT)
        statuses.append(answer.status)
    await client.close()
    assert statuses == [503, 200]
