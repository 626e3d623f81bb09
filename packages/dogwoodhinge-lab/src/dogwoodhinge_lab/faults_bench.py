"""Steady traffic on a fleet, and its judgement."""

import asyncio
from collections.abc import Sequence
import contextlib
import itertools
from typing import final

import aiohttp

from dogwoodhinge_lab import faults_traffic
from dogwoodhinge_lab import faults_world
from dogwoodhinge_lab import fleet as fleet_lib
from dogwoodhinge_lab import fleet_members
from dogwoodhinge_lab import oracles

ADAPTERS = 4
SEND_SECONDS = 0.1
FINISH_SECONDS = 30.0


@final
class Bench:
    """A fleet under steady traffic through its ready nodes.

    Attributes:
        fleet: the fleet.
        traffic: what was sent.
        ready: base URLs for callers of the nodes that were ready last.
    """

    def __init__(self, fleet: fleet_lib.Fleet) -> None:
        self.fleet = fleet
        self.traffic = faults_traffic.Traffic(fleet.caller, lambda: self.ready)
        self.ready: list[str] = []
        self.tasks: list[asyncio.Task[None]] = []

    async def follow_readiness(self) -> None:
        """Does what the platform's balancer does, until cancelled."""
        while True:
            self.ready = [
                node.caller_url
                for node in self.fleet.running_nodes()
                if await _is_ready(node)
            ]
            await asyncio.sleep(SEND_SECONDS)

    async def send_steadily(self) -> None:
        """Sends generations and calls in turn until cancelled."""
        for number in itertools.count():
            await asyncio.sleep(SEND_SECONDS)
            if not self.ready:
                continue
            url = self.ready[number % len(self.ready)]
            model = f"description-{number % ADAPTERS}@v1"
            self.traffic.start(self.traffic.generate(url, model))
            self.traffic.start(self.traffic.call(url, faults_world.SERVICE))

    async def begin(self) -> None:
        """Waits for the fleet and starts the traffic."""
        await self.fleet.apply_contract()
        await self.fleet.settle()
        self.tasks = [
            asyncio.create_task(self.follow_readiness()),
            asyncio.create_task(self.send_steadily()),
        ]

    async def finish(self) -> list[str]:
        """Ends the traffic and judges it."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        breaches = []
        if not await self.traffic.finish(FINISH_SECONDS):
            breaches.append("a request was not answered in time")
        engines = await self.records(list(self.fleet.engines))
        services = await self.records(
            list(self.fleet.shape.service_endpoints())
        )
        generations, calls = self.traffic.generations, self.traffic.calls
        for found in (
            oracles.whole_answers(generations, engines),
            oracles.partial_answers(generations, engines),
            oracles.not_run_is_true(generations, calls, engines, services),
            oracles.at_most_once(calls, services),
            oracles.answered_calls_ran(calls, services),
            oracles.no_eviction_in_use(engines),
            oracles.one_run_each(engines),
        ):
            breaches.extend(found)
        return breaches

    async def records(self, names: Sequence[str]) -> dict[str, oracles.Records]:
        """Returns the records of some stand-ins."""
        return {
            name: await self.fleet.standins[name].records() for name in names
        }

    def all_whole(self) -> list[str]:
        """Every request so far was answered whole."""
        answers = [item.answer for item in self.traffic.generations]
        answers.extend(item.answer for item in self.traffic.calls)
        return [
            f"not whole: {answer.status} {answer.problem.get('detail', '')} "
            f"{answer.error}"
            for answer in answers
            if not answer.whole
        ]


async def _is_ready(node: fleet_members.FleetNode) -> bool:
    with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError):
        return await node.is_ready()
    return False
