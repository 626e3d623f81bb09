"""One measured cost, and helpers that measure it."""

import asyncio
from collections.abc import Awaitable, Callable
import dataclasses
import os
import pathlib
import time
from typing import final

WARM_UP_CALLS = 50
CPU_CALLS = 400
BYTE_CALLS = 20
MICROSECONDS = 1e6


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Slope:
    """A cost of one more of something.

    Attributes:
        name: what is counted, e.g. `table read`.
        value: its cost.
        unit: e.g. `us of CPU`, `bytes`.
    """

    name: str
    value: float
    unit: str

    def __str__(self) -> str:
        return f"slope {self.name}: {self.value:.1f} {self.unit}"


async def cpu_microseconds(
    call: Callable[[], Awaitable[object]], *, calls: int
) -> float:
    """Returns this process's CPU time a call, one call after another."""
    for _ in range(WARM_UP_CALLS):
        await call()
    begin = time.process_time()
    for _ in range(calls):
        await call()
    return (time.process_time() - begin) / calls * MICROSECONDS


def process_cpu_seconds(pid: int) -> float:
    """Returns the CPU time that a process has used so far."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / os.sysconf("SC_CLK_TCK")


def process_rss_bytes(pid: int) -> int:
    """Returns the resident memory of a process."""
    pages = pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1]
    return int(pages) * os.sysconf("SC_PAGE_SIZE")


@final
class ByteRelay:
    """Passes TCP connections on and counts their payload bytes.

    Attributes:
        address: `127.0.0.1:port` once started.
        bytes_passed: bytes of both directions.
    """

    def __init__(self, target: str) -> None:
        self.target = target
        self.address = ""
        self.bytes_passed = 0
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> str:
        """Starts to listen and returns the address."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        return self.address

    async def stop(self) -> None:
        """Stops listening and drops the connections."""
        assert self.server is not None
        self.server.close()
        for task in list(self.tasks):
            task.cancel()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, _, port = self.target.rpartition(":")
        onward = await asyncio.open_connection(host, int(port))
        for source, sink in ((reader, onward[1]), (onward[0], writer)):
            task = asyncio.create_task(self._pump(source, sink))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _pump(
        self, source: asyncio.StreamReader, sink: asyncio.StreamWriter
    ) -> None:
        while data := await source.read(65_536):
            self.bytes_passed += len(data)
            sink.write(data)
        sink.close()


async def bytes_per_call(
    relay: ByteRelay, call: Callable[[], Awaitable[object]], *, calls: int
) -> float:
    """Returns the payload bytes a call, connections already open."""
    for _ in range(3):
        await call()
    begin = relay.bytes_passed
    for _ in range(calls):
        await call()
    return (relay.bytes_passed - begin) / calls


async def cpu_and_bytes(
    name: str,
    direct: Callable[[], Awaitable[object]],
    relayed: Callable[[], Awaitable[object]],
    relay: ByteRelay,
) -> list[Slope]:
    """Measures a call's CPU, and its bytes through a relay.

    Args:
        name: name of the slopes.
        direct: makes the call.
        relayed: makes the same call through `relay`.
        relay: counts the bytes.
    """
    cpu = await cpu_microseconds(direct, calls=CPU_CALLS)
    size = await bytes_per_call(relay, relayed, calls=BYTE_CALLS)
    return [
        Slope(name, cpu, "us of CPU"),
        Slope(name, size, "bytes, both ways"),
    ]
