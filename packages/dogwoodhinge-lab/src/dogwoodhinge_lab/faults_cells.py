"""Runs one cell of the fault matrix and judges it."""

import asyncio
from collections.abc import Awaitable, Callable
import contextlib
from typing import final
import uuid

from _dogwoodhinge import injection
from dogwoodhinge_lab import faults_actions
from dogwoodhinge_lab import faults_matrix
from dogwoodhinge_lab import faults_operators
from dogwoodhinge_lab import faults_traffic
from dogwoodhinge_lab import faults_world
from dogwoodhinge_lab import fleet_clients
from dogwoodhinge_lab import fleet_members
from dogwoodhinge_lab import fleet_process
from dogwoodhinge_lab import oracles

REACH_SECONDS = 15.0
FINISH_SECONDS = 40.0
RECOVER_SECONDS = 25.0
EXIT_SECONDS = 40.0
HAND_OVER_SECONDS = 4.0  # longer than the pause between hand-overs
LONG_TOKENS = 250
TRIGGER_TOKENS = 40
SHUTDOWN_TOKENS = 300  # outlasts the balancer's notice and the hand-over
BUSY_MODEL = "description-busy@v1"

Victim = faults_matrix.Victim
Node = fleet_members.FleetNode
Trigger = Callable[[], Awaitable[object]]


async def run(world: faults_world.World, cell: faults_matrix.Cell) -> list[str]:
    """Runs a cell and returns its breaches; none means that it passed."""
    await world.prepare()
    cell_run = CellRun(world, cell)
    return await cell_run.run()


@final
class CellRun:
    """One run of one cell."""

    def __init__(
        self, world: faults_world.World, cell: faults_matrix.Cell
    ) -> None:
        self.world = world
        self.cell = cell
        self.traffic = faults_traffic.Traffic(
            world.fleet.caller, world.caller_urls
        )
        self.operators = faults_operators.Operators(world.fleet)
        self.breaches: list[str] = []

    async def run(self) -> list[str]:
        """Runs the cell and returns its breaches."""
        beside = [
            asyncio.create_task(self.operators.watch()),
            asyncio.create_task(self.world.keep_others_running()),
        ]
        try:
            await self._drive()
            await self._recover()
            await self._judge()
        except (TimeoutError, fleet_process.FleetError) as error:
            self.breaches.append(str(error))
        finally:
            for task in beside:
                task.cancel()
            await asyncio.gather(*beside, return_exceptions=True)
        return self.breaches

    async def _drive(self) -> None:
        owner = await self._owner()
        if self._needs_lasting_owner():
            owner = await self._lasting_owner()
        others = [n for n in self.world.fleet.running_nodes() if n is not owner]
        entry, witness = others
        candidates = {
            Victim.ENTRY: [entry],
            Victim.OWNER: [owner],
            Victim.ANY: [entry],
            Victim.SUCCESSOR: others,
        }[self.cell.victim]
        if self.cell.path == "placement":
            # The engine may be handed over before the step is reached.
            candidates = [owner, *others]
        resident = await self._fill_slots(witness)
        self._start_background(witness, resident)
        for node in candidates:
            self.world.held.add(node.host_id)
            await node.arm(f"{self.cell.step}=stop")
        await self._trigger(owner, entry, witness)
        victim = await self.world.wait_stopped(candidates, REACH_SECONDS)
        self.world.held &= {victim.host_id}
        actions = faults_actions.Actions(self.world, self.operators, victim)
        await actions.strike(self.cell.faults)
        if not await self.traffic.finish(FINISH_SECONDS):
            self.breaches.append("a request was not answered in time")
        if actions.killed and self.cell.victim is Victim.SUCCESSOR:
            # Two of three hosts are dead: by the rules nobody takes over an
            # engine that ignores fencing until the list drops them.
            await self.world.drop_dead_hosts()
        if self.cell.path == "shutdown" and not actions.killed:
            await self._judge_exit(victim)

    def _needs_lasting_owner(self) -> bool:
        """Tells whether a hand-over before the trigger spoils the cell."""
        return (
            self.cell.victim is Victim.SUCCESSOR
            or self.cell.step == injection.Step.HAND_OVER
        )

    async def _owner(self) -> Node:
        async def find() -> Node | None:
            return await self.world.fleet.owner_of(faults_world.ENGINE)

        found: Node = await fleet_clients.poll_until(
            find, what="an owner of the engine", seconds=REACH_SECONDS
        )
        return found

    async def _lasting_owner(self) -> Node:
        """Returns the owner once no better ranked node takes over from it.

        An owner hands nothing over before it has recovered.
        """
        while True:
            owner: Node = await fleet_clients.poll_until(
                self._recovered_owner,
                what="an owner that has recovered the engine",
                seconds=REACH_SECONDS,
            )
            await asyncio.sleep(HAND_OVER_SECONDS)
            if await self._recovered_owner() is owner:
                return owner

    async def _recovered_owner(self) -> Node | None:
        for node in self.world.fleet.running_nodes():
            status = await node.status()
            for engine in status["engines"]:
                if engine["engine_id"] == faults_world.ENGINE:
                    return None if engine["frozen"] else node
        return None

    async def _fill_slots(self, witness: Node) -> list[str]:
        """Fills the engine's slots, so that a new adapter evicts one."""
        resident = [BUSY_MODEL, f"description-{uuid.uuid4().hex}@v1"]
        for model in resident:
            await self.traffic.generate(witness.caller_url, model, max_tokens=1)
        return resident

    def _start_background(self, witness: Node, resident: list[str]) -> None:
        """Keeps adapters in use; the owner's steps find all slots in use."""
        in_use = resident if self.cell.path == "placement" else resident[:1]
        for model in (*in_use, BUSY_MODEL):
            self.traffic.start(
                self.traffic.generate(
                    witness.caller_url, model, max_tokens=LONG_TOKENS
                )
            )
        self.traffic.start(
            self.traffic.call(witness.caller_url, faults_world.SERVICE)
        )

    async def _trigger(self, owner: Node, entry: Node, witness: Node) -> None:
        """Makes the victim reach its step."""
        match self.cell.path:
            case "generation" | "placement":
                self._start_generation(entry)
            case "call":
                self.traffic.start(
                    self.traffic.call(entry.caller_url, faults_world.SERVICE)
                )
            case "change":
                target = entry
                if self.cell.victim is Victim.ANY:
                    target = witness
                expected = await self.operators.revision()
                self.traffic.start(self.operators.change(target, expected))
            case "ownership":
                if self.cell.victim is Victim.SUCCESSOR:
                    await owner.process.kill()
            case "shutdown":
                self._start_generation(owner, SHUTDOWN_TOKENS)
                await self._wait_streaming()
                owner.process.terminate()

    def _start_generation(
        self, node: Node, max_tokens: int = TRIGGER_TOKENS
    ) -> None:
        self.traffic.start(
            self.traffic.generate(
                node.caller_url,
                f"description-{uuid.uuid4().hex}@v1",
                max_tokens=max_tokens,
            )
        )

    async def _wait_streaming(self) -> None:
        """Waits until the engine runs the stream of the leaving node."""

        async def begun() -> bool:
            records = await self.world.records(faults_world.ENGINE)
            wanted = [r for r in records if r["event"] == "generate"]
            return any(r["max_tokens"] == SHUTDOWN_TOKENS for r in wanted)

        await fleet_clients.poll_until(
            begun, what="a stream through the leaving node", seconds=10.0
        )

    async def _judge_exit(self, victim: Node) -> None:
        code = await victim.process.wait(EXIT_SECONDS)
        if code:
            self.breaches.append(f"the shutdown ended with exit code {code}")
        spared = {"engine_crash", "engine_restart"} & set(self.cell.faults)
        if spared:
            return
        self.breaches.extend(
            f"the shutdown cut off {item.wanted.prompt!r}: "
            f"{item.answer.status} {item.answer.error}{item.answer.problem}"
            for item in self.traffic.generations
            if not item.answer.whole
            and item.wanted.max_tokens == SHUTDOWN_TOKENS
        )

    async def _recover(self) -> None:
        """Every running node serves again, without a hand on it."""
        for node in self.world.fleet.running_nodes():
            await fleet_clients.poll_until(
                lambda node=node: self._serves(node),
                what=f"{node.host_id} serves again",
                seconds=RECOVER_SECONDS,
            )

    async def _serves(self, node: Node) -> bool:
        generated = await self.traffic.generate(
            node.caller_url, BUSY_MODEL, max_tokens=2, deadline_ms=8_000
        )
        called = await self.traffic.call(
            node.caller_url, faults_world.SERVICE, resend=False
        )
        return generated.whole and called.whole

    async def _judge(self) -> None:
        engines = {
            faults_world.ENGINE: await self.world.records(faults_world.ENGINE)
        }
        services = {
            faults_world.SERVICE: await self.world.records(faults_world.SERVICE)
        }
        generations = self.traffic.generations
        calls = self.traffic.calls
        for found in (
            oracles.whole_answers(generations, engines),
            oracles.partial_answers(generations, engines),
            oracles.not_run_is_true(generations, calls, engines, services),
            oracles.at_most_once(calls, services),
            oracles.answered_calls_ran(calls, services),
            oracles.no_eviction_in_use(engines),
            oracles.one_run_each(engines),
            oracles.revisions_never_fall(self.operators.revisions),
            await self.operators.judge(),
        ):
            self.breaches.extend(found)


def list_unanswered(cell_run: CellRun) -> list[str]:
    """Returns a line for each request without a whole answer."""
    lines = [
        f"generation {sent.wanted.model} {sent.wanted.prompt}: "
        f"{_describe_answer(sent.answer)}"
        for sent in cell_run.traffic.generations
        if not sent.answer.whole
    ]
    lines.extend(
        f"call {sent.wanted.key}: {_describe_answer(sent.answer)}"
        for sent in cell_run.traffic.calls
        if not sent.answer.whole
    )
    lines.extend(f"change {change}" for change in cell_run.operators.changes)
    return lines


def _describe_answer(answer: fleet_clients.CallerAnswer) -> str:
    detail = answer.problem.get("detail", "")
    return f"{answer.status} run={answer.run} {detail} {answer.error}"


def describe(breaches: list[str]) -> str:
    """Returns the breaches on one line."""
    return "; ".join(breach.replace("\n", " ")[:300] for breach in breaches)


async def close_quietly(world: faults_world.World) -> None:
    """Stops a fleet whatever became of it."""
    with contextlib.suppress(Exception):
        await world.stop()
