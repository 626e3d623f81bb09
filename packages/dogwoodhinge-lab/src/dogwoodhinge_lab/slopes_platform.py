"""Slopes of table, list of hosts and engine reports.

The stand-ins run as processes of their own, so that the CPU time is the
node's side alone.
"""

import contextlib
import functools
import gc
import json
import pathlib
import tempfile
import tracemalloc
from typing import Any, final
import uuid
import zlib

from _dogwoodhinge import clock as clock_lib
from _dogwoodhinge.platform import dynamo_table
from _dogwoodhinge.platform import http_sd
from _dogwoodhinge.platform import openai_engine
from dogwoodhinge import models
from dogwoodhinge_lab import fleet_clients
from dogwoodhinge_lab import fleet_process
from dogwoodhinge_lab import slope

TABLE_NAME = "slopes"
ROW_BYTES = 300
NODES = 320
ENGINES = 600
ENGINE_RESIDENTS = 32
ENGINE_RUNNING = 48  # 740,000 tokens/s at 39 ms a token on 600 engines


async def measure() -> list[slope.Slope]:
    """Measures all slopes of this module."""
    found = []
    with tempfile.TemporaryDirectory() as folder:
        directory = pathlib.Path(folder)
        found.extend(await _measure_table(directory))
        found.extend(await _measure_hosts(directory))
        found.extend(await _measure_report(directory))
    return found


@final
class _Standin:
    """A stand-in's process, with a relay that counts before it."""

    def __init__(
        self, process: fleet_process.FleetProcess, relay: slope.ByteRelay
    ) -> None:
        self.process = process
        self.relay = relay
        self.address = process.addresses["address"]
        self.relayed = f"http://{relay.address}"


@contextlib.asynccontextmanager
async def _standin(module: str, directory: pathlib.Path) -> Any:
    process = fleet_process.FleetProcess(
        module,
        f"dogwoodhinge_lab.standins.{module}",
        arguments=("--port=0",),
        directory=directory,
    )
    await process.start()
    relay = slope.ByteRelay(process.addresses["address"].partition("//")[2])
    await relay.start()
    try:
        yield _Standin(process, relay)
    finally:
        await relay.stop()
        await process.stop()


async def _measure_table(directory: pathlib.Path) -> list[slope.Slope]:
    found = []
    async with _standin("table", directory) as standin:
        direct = dynamo_table.DynamoTable(standin.address, "t")
        relayed = dynamo_table.DynamoTable(standin.relayed, "t")
        await direct.commit(_write("row"))
        for name, call in (
            ("table read", lambda table: table.get(TABLE_NAME, "row")),
            ("table read of no row", lambda table: table.get(TABLE_NAME, "x")),
            ("table write", lambda table: table.commit(_write("row"))),
            (
                "table write with a check",
                lambda table: table.commit(_write("other", check=True)),
            ),
        ):
            found.extend(
                await slope.cpu_and_bytes(
                    name,
                    functools.partial(call, direct),
                    functools.partial(call, relayed),
                    standin.relay,
                )
            )
        await direct.close()
        await relayed.close()
    return found


def _write(key: str, *, check: bool = False) -> models.Transaction:
    checks = (models.Check(TABLE_NAME, "row", 1),) if check else ()
    write = models.Write(TABLE_NAME, key, bytes(ROW_BYTES), 1)
    return models.Transaction(uuid.uuid4().hex, (write,), checks)


async def _measure_hosts(directory: pathlib.Path) -> list[slope.Slope]:
    found = []
    clock = clock_lib.SystemClock()
    async with _standin("hosts", directory) as standin:
        await _fill_hosts(standin.address)
        direct = http_sd.HttpSd(f"{standin.address}/hosts", clock)
        relayed = http_sd.HttpSd(f"{standin.relayed}/hosts", clock)
        found.extend(
            await slope.cpu_and_bytes(
                "host list of 920, unchanged",
                direct.fetch,
                relayed.fetch,
                standin.relay,
            )
        )

        found.append(await _endpoint_memory(direct))

        async def fetch_whole(hosts: http_sd.HttpSd) -> None:
            hosts.etag = ""
            await hosts.fetch()

        found.extend(
            await slope.cpu_and_bytes(
                "host list of 920, whole",
                lambda: fetch_whole(direct),
                lambda: fetch_whole(relayed),
                standin.relay,
            )
        )
        await direct.close()
        await relayed.close()
    return found


async def _endpoint_memory(hosts: http_sd.HttpSd) -> slope.Slope:
    hosts.etag = ""
    hosts.endpoints = ()
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    await hosts.fetch()
    gc.collect()
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return slope.Slope(
        "host list, an entry kept", used / (NODES + ENGINES), "bytes"
    )


async def _fill_hosts(address: str) -> None:
    entries = [
        {
            "endpoint_id": f"{kind}-{number:04}",
            "kind": kind,
            "url": f"http://10.{number % 10}.{number // 250}.{number % 250}:80",
            "role": "description" if kind == "engine" else "",
            "zone": f"zone-{number % 10}",
            "region": f"region-{number % 2}",
            "base_model": "base" if kind == "engine" else "",
            "slots": ENGINE_RESIDENTS if kind == "engine" else 0,
            "batch": ENGINE_RUNNING if kind == "engine" else 0,
        }
        for kind, count in (("node", NODES), ("engine", ENGINES))
        for number in range(count)
    ]
    control = fleet_clients.Control()
    await control.put(f"{address}/control/endpoints", entries)
    await control.close()


async def _measure_report(directory: pathlib.Path) -> list[slope.Slope]:
    report = {
        "epoch": uuid.uuid4().hex,
        "age_ms": 900.0,
        "residents": [f"lots-{n:05}@v3" for n in range(ENGINE_RESIDENTS)],
        "running": [
            {"request_id": uuid.uuid4().hex, "adapter": "lots-00007@v3"}
            for _ in range(ENGINE_RUNNING)
        ],
        "waiting": 3,
        "fence": 7,
        "event_sequence": 12_345,
    }
    found = []
    # The object stand-in serves the report, so that it is a full one.
    async with _standin("objects", directory) as standin:
        control = fleet_clients.Control()
        await control.put(f"{standin.address}/v1/load_report", report)
        await control.close()
        direct = _engine(standin.address)
        relayed = _engine(standin.relayed)
        found.extend(
            await slope.cpu_and_bytes(
                "engine report of 48 running",
                direct.report,
                relayed.report,
                standin.relay,
            )
        )
        await direct.close()
        await relayed.close()
    body = json.dumps(report).encode()
    found.append(slope.Slope("engine report, body", len(body), "bytes"))
    packed = len(zlib.compress(body))
    found.append(slope.Slope("engine report, deflated", packed, "bytes"))
    return found


def _engine(url: str) -> openai_engine.OpenAiEngine:
    endpoint = models.Endpoint("engine", models.EndpointKind.ENGINE, url)
    return openai_engine.OpenAiEngine(endpoint)
