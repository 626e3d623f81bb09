"""Tells a crash of an engine from a lost connection, by the report's epoch."""

import asyncio
import dataclasses
import datetime
import math
from typing import final

from absl import logging

from _dogwoodhinge.dispatch import background
from dogwoodhinge import errors as public_errors
from dogwoodhinge import ports

# A little more than the engine's client allows a report, so that the client
# gives up its silent connections.
EPOCH_TIMEOUT = datetime.timedelta(seconds=1.2)

# The second read goes over a new connection: kept ones may have fallen silent
# while the engine runs on.
READS = 2

EPOCH_LIFETIME = datetime.timedelta(minutes=10)


@final
@dataclasses.dataclass(frozen=True, slots=True)
class KnownEpoch:
    """An engine's epoch, and when it was read in monotonic seconds."""

    epoch: str
    read_at: float


@final
class CrashWatch:
    """Knows the epochs of engines that this node dispatches to.

    Attributes:
        epochs: newest epoch read, by engine.
        crashed_at: when a crash was noticed last, by engine, in monotonic
            seconds.
    """

    def __init__(self, *, clock: ports.Clock) -> None:
        self.clock = clock
        self.epochs: dict[str, KnownEpoch] = {}
        self.crashed_at: dict[str, float] = {}
        self.background = background.Background()

    async def prepare(self, engine: ports.Engine) -> None:
        """Knows the engine's epoch before a dispatch: a crash changes it."""
        engine_id = engine.endpoint.endpoint_id
        known = self.epochs.get(engine_id)
        if known is None:
            await self._read(engine)
            return
        now = self.clock.monotonic()
        if now - known.read_at >= EPOCH_LIFETIME.total_seconds():
            self.epochs[engine_id] = KnownEpoch(known.epoch, now)
            self.background.spawn(
                self._read(engine), name=f"epoch of {engine_id}"
            )

    async def has_crashed(self, engine: ports.Engine, *, since: float) -> bool:
        """Tells whether an engine is gone, or has restarted.

        Args:
            engine: the engine.
            since: begin of the run that was lost, monotonic seconds.
        """
        engine_id = engine.endpoint.endpoint_id
        if not await self._read(engine):
            self.crashed_at[engine_id] = self.clock.monotonic()
        return self.crashed_at.get(engine_id, -math.inf) >= since

    async def _read(self, engine: ports.Engine) -> bool:
        """Reads the epoch; returns whether the engine answered."""
        for _ in range(READS):
            try:
                async with asyncio.timeout(EPOCH_TIMEOUT.total_seconds()):
                    report = await engine.report()
            except public_errors.EngineUnreachableError:
                return False
            except (public_errors.EngineError, TimeoutError) as error:
                logging.info(
                    "no report of %s: %r", engine.endpoint.endpoint_id, error
                )
                continue
            self._take_epoch(engine.endpoint.endpoint_id, report.epoch)
            return True
        return False

    def _take_epoch(self, engine_id: str, epoch: str) -> None:
        now = self.clock.monotonic()
        known = self.epochs.get(engine_id)
        if known is not None and known.epoch != epoch:
            self.crashed_at[engine_id] = now
        self.epochs[engine_id] = KnownEpoch(epoch, now)
