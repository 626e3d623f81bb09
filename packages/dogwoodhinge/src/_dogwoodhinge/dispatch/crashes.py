"""Distinguishes engine crashes from lost connections by the engine's epoch."""

import asyncio
import dataclasses
import datetime
import math
from typing import final

from absl import logging

from _dogwoodhinge.dispatch import background
from dogwoodhinge import errors as public_errors
from dogwoodhinge import ports

# Slightly longer than the engine client's own time-out for a report, so that
# the client times out first and drops its unresponsive connections.
EPOCH_TIMEOUT = datetime.timedelta(seconds=1.2)

# The second attempt uses a new connection: a pooled connection may have become
# unresponsive while the engine is still running.
EPOCH_READ_ATTEMPTS = 2

EPOCH_LIFETIME = datetime.timedelta(minutes=10)


@final
@dataclasses.dataclass(frozen=True, slots=True)
class KnownEpoch:
    """An engine's epoch and the time of the read, in monotonic seconds."""

    epoch: str
    read_at: float


@final
class CrashDetector:
    """Detects crashes of the engines that this node dispatches to.

    Attributes:
        epochs: latest epoch read, by engine ID.
        crashed_at: time of the latest detected crash, by engine ID, in
            monotonic seconds.
    """

    def __init__(self, *, clock: ports.Clock) -> None:
        self.clock = clock
        self.epochs: dict[str, KnownEpoch] = {}
        self.crashed_at: dict[str, float] = {}
        self.background = background.BackgroundTasks()

    async def ensure_epoch(self, engine: ports.Engine) -> None:
        """Makes sure that an epoch to compare with is known before a dispatch.

        An engine gets a new epoch when it restarts after a crash. An epoch
        older than `EPOCH_LIFETIME` is refreshed in the background.
        """
        engine_id = engine.endpoint.endpoint_id
        known = self.epochs.get(engine_id)
        if known is None:
            await self._read_epoch(engine)
            return
        now = self.clock.monotonic()
        if now - known.read_at >= EPOCH_LIFETIME.total_seconds():
            self.epochs[engine_id] = KnownEpoch(known.epoch, now)
            self.background.spawn(
                self._read_epoch(engine), name=f"epoch of {engine_id}"
            )

    async def has_crashed(self, engine: ports.Engine, *, since: float) -> bool:
        """Returns whether an engine is unreachable or has restarted.

        Args:
            engine: the engine.
            since: start of the interrupted run, in monotonic seconds.
        """
        engine_id = engine.endpoint.endpoint_id
        if not await self._read_epoch(engine):
            self.crashed_at[engine_id] = self.clock.monotonic()
        return self.crashed_at.get(engine_id, -math.inf) >= since

    async def _read_epoch(self, engine: ports.Engine) -> bool:
        """Reads the epoch and returns whether the engine responded."""
        for _ in range(EPOCH_READ_ATTEMPTS):
            try:
                async with asyncio.timeout(EPOCH_TIMEOUT.total_seconds()):
                    report = await engine.report()
            except public_errors.EngineUnreachableError:
                return False
            except (public_errors.EngineError, TimeoutError) as error:
                logging.info(
                    "could not read the report of engine %s: %r",
                    engine.endpoint.endpoint_id,
                    error,
                )
                continue
            self._record_epoch(engine.endpoint.endpoint_id, report.epoch)
            return True
        return False

    def _record_epoch(self, engine_id: str, epoch: str) -> None:
        now = self.clock.monotonic()
        known = self.epochs.get(engine_id)
        if known is not None and known.epoch != epoch:
            self.crashed_at[engine_id] = now
        self.epochs[engine_id] = KnownEpoch(epoch, now)
