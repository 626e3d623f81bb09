"""Fixtures: servers that the contract tests run against."""

from collections.abc import AsyncIterator

import pytest

from dogwoodhinge import models
from dogwoodhinge_lab import manual_clock
from dogwoodhinge_lab.standins import batch
from dogwoodhinge_lab.standins import engine
from dogwoodhinge_lab.standins import hosts
from dogwoodhinge_lab.standins import objects
from dogwoodhinge_lab.standins import service
from dogwoodhinge_lab.standins import table
from dogwoodhinge_lab.standins import weights

WIDTH = models.StoreWidth(
    full_speed=2, crowded_from=16, loads_per_second=1_000.0
)
FAST = batch.Speed(step_ms=2.0, prefill_ms=0.0)


@pytest.fixture
def clock() -> manual_clock.ManualClock:
    return manual_clock.ManualClock()


@pytest.fixture
async def table_standin() -> AsyncIterator[table.TableStandin]:
    standin = table.TableStandin()
    await standin.start()
    yield standin
    await standin.stop()


@pytest.fixture
async def objects_standin() -> AsyncIterator[objects.ObjectsStandin]:
    standin = objects.ObjectsStandin()
    await standin.start()
    yield standin
    await standin.stop()


@pytest.fixture
async def weights_standin() -> AsyncIterator[weights.WeightsStandin]:
    standin = weights.WeightsStandin(WIDTH, load_seconds=0.005)
    await standin.start()
    yield standin
    await standin.stop()


@pytest.fixture
async def hosts_standin() -> AsyncIterator[hosts.HostsStandin]:
    standin = hosts.HostsStandin()
    await standin.start()
    yield standin
    await standin.stop()


@pytest.fixture
async def service_standin() -> AsyncIterator[service.ServiceStandin]:
    standin = service.ServiceStandin()
    await standin.start()
    yield standin
    await standin.stop()


@pytest.fixture
async def engine_standin() -> AsyncIterator[engine.EngineStandin]:
    standin = engine.EngineStandin(slots=2, batch=2, speed=FAST)
    await standin.start()
    yield standin
    await standin.stop()


@pytest.fixture
async def closed_address() -> str:
    """Returns an address on which no server listens."""
    standin = objects.ObjectsStandin()
    address = await standin.start()
    await standin.stop()
    return address
