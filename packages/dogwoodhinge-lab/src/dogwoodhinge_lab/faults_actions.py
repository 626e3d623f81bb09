"""Brings a fault about while the victim is stopped at its step."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import final

from dogwoodhinge_lab import faults_matrix
from dogwoodhinge_lab import faults_operators
from dogwoodhinge_lab import faults_world
from dogwoodhinge_lab import fleet_clients
from dogwoodhinge_lab import fleet_members

LAPSE_SECONDS = 20.0
ENGINE_AWAY_SECONDS = 1.0
TABLE_DOWN_SECONDS = 5.0  # longer than a lease
TABLE_SLOW_MS = 700.0
TABLE_SLOW_SECONDS = 4.0
REPORT_LAG_SECONDS = 2.0
LATE_SECONDS = 3.0
FAILED_LOADS = 2
SPOILT_STREAMS = 2

Fault = faults_matrix.Fault
Hold = Callable[[], Awaitable[None]]


@final
class Actions:
    """Strikes one victim with faults.

    Attributes:
        killed: the victim was killed.
    """

    def __init__(
        self,
        world: faults_world.World,
        operators: faults_operators.Operators,
        victim: fleet_members.FleetNode,
    ) -> None:
        self.world = world
        self.operators = operators
        self.victim = victim
        self.killed = False

    async def strike(self, faults: tuple[Fault, ...]) -> None:
        """Brings all faults about, resumes the victim and ends them again."""
        for fault in faults:
            await self._begin(fault)
        if not self.killed:
            self.world.held.discard(self.victim.host_id)
            self.victim.process.resume()
        await asyncio.sleep(max(_HOLD_SECONDS.get(f, 0.0) for f in faults))
        await self.world.heal()

    async def _begin(self, fault: Fault) -> None:
        begin: dict[Fault, Hold] = {
            Fault.KILL: self._kill,
            Fault.PAUSE: self._wait_for_lapse,
            Fault.CUT: self._cut,
            Fault.SILENT: self._silence,
            Fault.TABLE_DOWN: self._take_table_down,
            Fault.TABLE_SLOW: self._slow_table,
            Fault.ANSWER_LOST: self._lose_answer,
            Fault.ENGINE_CRASH: self._crash_engine,
            Fault.ENGINE_RESTART: self._restart_engine,
            Fault.LOAD_FAILURE: self._fail_loads,
            Fault.LATE_EVENTS: self._delay_reports,
            Fault.STREAM_TRUNCATED: self._truncate_streams,
            Fault.FOREIGN_CHUNK: self._mix_streams_up,
            Fault.OPERATORS_RACING: self._race,
        }
        await begin[fault]()

    async def _kill(self) -> None:
        self.killed = True
        await self.victim.process.kill()

    async def _wait_for_lapse(self) -> None:
        async def gone() -> bool:
            return await self.world.session_gone(self.victim.host_id)

        await fleet_clients.poll_until(
            gone, what="the lapse of the paused session", seconds=LAPSE_SECONDS
        )

    async def _cut(self) -> None:
        await self._table(cut=(self.victim.host_id,))

    async def _silence(self) -> None:
        for name in self.world.fleet.standins:
            await self.world.fleet.standins[name].set_faults(silence_open=True)

    async def _take_table_down(self) -> None:
        await self._table(outage="drop")

    async def _slow_table(self) -> None:
        await self._table(slow_ms=TABLE_SLOW_MS)

    async def _lose_answer(self) -> None:
        await self._table(lose_next=1)

    async def _crash_engine(self) -> None:
        engine = self.world.fleet.standins[faults_world.ENGINE]
        await engine.set_faults(restart=True, outage="drop")
        self.away = asyncio.create_task(self._return_engine())

    async def _return_engine(self) -> None:
        await asyncio.sleep(ENGINE_AWAY_SECONDS)
        engine = self.world.fleet.standins[faults_world.ENGINE]
        await engine.set_faults(outage="")

    async def _restart_engine(self) -> None:
        engine = self.world.fleet.standins[faults_world.ENGINE]
        await engine.set_faults(restart=True)

    async def _fail_loads(self) -> None:
        engine = self.world.fleet.standins[faults_world.ENGINE]
        await engine.set_faults(fail_loads=FAILED_LOADS)

    async def _delay_reports(self) -> None:
        engine = self.world.fleet.standins[faults_world.ENGINE]
        await engine.set_faults(
            report_lag_seconds=REPORT_LAG_SECONDS, event_gap=3
        )

    async def _truncate_streams(self) -> None:
        await self._spoil_streams("truncate")

    async def _mix_streams_up(self) -> None:
        await self._spoil_streams("foreign")

    async def _spoil_streams(self, fault: str) -> None:
        engine = self.world.fleet.standins[faults_world.ENGINE]
        await engine.set_faults(
            stream_fault=fault, stream_fault_count=SPOILT_STREAMS
        )

    async def _race(self) -> None:
        nodes = [
            node
            for node in self.world.fleet.running_nodes()
            if not node.is_stopped
        ]
        expected = await self.operators.revision()
        await asyncio.gather(
            *(self.operators.change(node, expected) for node in nodes)
        )

    async def _table(self, **faults: object) -> None:
        await self.world.fleet.standins["table"].set_faults(**faults)


_HOLD_SECONDS = {
    Fault.CUT: TABLE_DOWN_SECONDS,
    Fault.TABLE_DOWN: TABLE_DOWN_SECONDS,
    Fault.TABLE_SLOW: TABLE_SLOW_SECONDS,
    Fault.ENGINE_CRASH: ENGINE_AWAY_SECONDS,
    Fault.LATE_EVENTS: LATE_SECONDS,
    Fault.ANSWER_LOST: 1.0,
    Fault.LOAD_FAILURE: 1.0,
    Fault.STREAM_TRUNCATED: 2.0,
    Fault.FOREIGN_CHUNK: 2.0,
}
