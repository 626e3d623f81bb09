"""Batches conditional writes of a few milliseconds into one transaction."""

import asyncio
import dataclasses
import datetime
from typing import final
import uuid

from _dogwoodhinge.dispatch import background
from dogwoodhinge import errors as public_errors
from dogwoodhinge import models
from dogwoodhinge import ports

BATCH_DELAY = datetime.timedelta(milliseconds=5)
MAX_BATCH_WRITES = 25


@final
@dataclasses.dataclass(frozen=True, slots=True)
class PendingWrite:
    """A write and the future on which its caller waits."""

    write: models.Write
    done: asyncio.Future[None]


@final
class WriteBatches:
    """Batches writes to different rows; a conflict fails only its own write."""

    def __init__(
        self, *, table: ports.TableService, clock: ports.Clock
    ) -> None:
        self.table = table
        self.clock = clock
        self.pending: dict[str, PendingWrite] = {}
        self.background = background.BackgroundTasks()

    async def commit(self, write: models.Write) -> None:
        """Commits a write, together with other pending writes.

        Raises:
            TableConflictError: the row has another version than expected.
            TableUnavailableError: the write was not applied.
            TableOutcomeUnknownError: the write may have been applied.
        """
        name = f"{write.table}/{write.key}"
        if name in self.pending or len(self.pending) >= MAX_BATCH_WRITES:
            self._flush()
        if not self.pending:
            self.background.spawn(self._flush_later(), name="batch of writes")
        done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.pending[name] = PendingWrite(write, done)
        await done

    async def settle(self) -> None:
        """Waits until no write is in progress."""
        await self.background.settle()

    async def _flush_later(self) -> None:
        await self.clock.sleep(BATCH_DELAY)
        self._flush()

    def _flush(self) -> None:
        batch = list(self.pending.values())
        self.pending.clear()
        if batch:
            self.background.spawn(self._commit(batch), name="commit of writes")

    async def _commit(self, batch: list[PendingWrite]) -> None:
        transaction = models.Transaction(
            uuid.uuid4().hex, writes=tuple(item.write for item in batch)
        )
        try:
            await self.table.commit(transaction)
        except public_errors.TableConflictError as error:
            await self._retry_without_conflicts(batch, error)
        except public_errors.TableError as error:
            _set_error(batch, error)
        except BaseException:
            _set_error(
                batch,
                public_errors.TableOutcomeUnknownError(
                    "the commit was interrupted"
                ),
            )
            raise
        else:
            for item in batch:
                _set_committed(item)

    async def _retry_without_conflicts(
        self, batch: list[PendingWrite], error: public_errors.TableConflictError
    ) -> None:
        """Fails the writes in conflict and commits the others again."""
        if len(batch) == 1:
            _set_error(batch, error)
            return
        failed = [
            i for i in batch if (i.write.table, i.write.key) in error.keys
        ]
        if not failed:
            for item in batch:
                await self._commit([item])
            return
        _set_error(failed, error)
        others = [item for item in batch if item not in failed]
        if others:
            await self._commit(others)


def _set_committed(item: PendingWrite) -> None:
    if not item.done.done():
        item.done.set_result(None)


def _set_error(
    batch: list[PendingWrite], error: public_errors.TableError
) -> None:
    for item in batch:
        if not item.done.done():
            item.done.set_exception(error)
