"""Reads and writes the rows of the quarantine table."""

from collections.abc import Iterable
from typing import Protocol, final
import uuid

from _dogwoodhinge.quarantine import records
from dogwoodhinge import models
from dogwoodhinge import ports

PAGE_ROWS = 100
MAX_SINGLE_READS = 2  # the rows of more keys are read with the whole table


class Table(Protocol):
    """The part of `ports.TableService` that holds the records."""

    async def get(self, table: str, key: str) -> models.Row | None:
        """Reads one row."""

    async def scan(
        self, table: str, *, prefix: str = "", after: str = "", limit: int = 100
    ) -> tuple[models.Row, ...]:
        """Reads rows in key order."""

    async def commit(self, transaction: models.Transaction) -> None:
        """Writes rows if they have the expected versions."""


@final
class RecordTable:
    """The rows of the quarantine."""

    def __init__(self, *, table: Table, clock: ports.Clock) -> None:
        self.table = table
        self.clock = clock

    async def get(self, key: str) -> models.Row | None:
        """Reads one row.

        Raises:
            TableUnavailableError: the table did not answer.
        """
        return await self.table.get(records.TABLE, key)

    async def read_all(self) -> list[models.Row]:
        """Reads all rows.

        Raises:
            TableUnavailableError: the table did not answer.
        """
        rows: list[models.Row] = []
        after = ""
        while True:
            page = await self.table.scan(
                records.TABLE, after=after, limit=PAGE_ROWS
            )
            rows += page
            if len(page) < PAGE_ROWS:
                return rows
            after = page[-1].key

    async def read(self, keys: list[str]) -> dict[str, models.Row]:
        """Reads the rows with some keys, as far as they exist.

        Raises:
            TableUnavailableError: the table did not answer.
        """
        if len(keys) > MAX_SINGLE_READS:
            wanted = set(keys)
            return {
                row.key: row
                for row in await self.read_all()
                if row.key in wanted
            }
        found = [await self.get(key) for key in keys]
        return {row.key: row for row in found if row is not None}

    def write(
        self, key: str, value: bytes | None, row: models.Row | None
    ) -> models.Write:
        """Returns the write of a row that still is as it was read.

        Args:
            key: the key.
            value: the new value; None to remove the row.
            row: the row as it was read; None if there was none.
        """
        version = models.ABSENT if row is None else row.version
        now_ms = int(self.clock.now().timestamp() * 1_000)
        return models.Write(
            table=records.TABLE,
            key=key,
            value=value,
            # Versions increase with time: a row that was deleted and inserted
            # again never has a version that an earlier writer expects.
            version=max(version + 1, now_ms),
            expected=version,
        )

    async def commit(self, writes: Iterable[models.Write]) -> None:
        """Commits writes in one transaction.

        Raises:
            TableConflictError: a row has changed; nothing was written.
            TableUnavailableError: nothing was written.
            TableOutcomeUnknownError: the rows may have been written.
        """
        transaction = models.Transaction(uuid.uuid4().hex, writes=tuple(writes))
        if transaction.writes:
            await self.table.commit(transaction)
