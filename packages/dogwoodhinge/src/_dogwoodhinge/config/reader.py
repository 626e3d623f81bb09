"""Reads the rows of the configuration log."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import datetime

import pydantic

from _dogwoodhinge import errors
from _dogwoodhinge.config import errors as config_errors
from _dogwoodhinge.config import records
from dogwoodhinge import errors as public_errors
from dogwoodhinge import models
from dogwoodhinge import ports

READ_TIMEOUT = datetime.timedelta(seconds=2)


class LogReader:
    """Reads the log; every read is consistent and has a timeout."""

    def __init__(self, *, table: ports.TableService) -> None:
        self.table = table

    async def head(self) -> int:
        """Returns the newest revision, 0 for an empty log.

        Raises:
            ConfigUnavailableError: the table can't be read.
        """
        return await self._row_version(records.HEAD_KEY)

    async def read_after(
        self, revision: int, *, limit: int
    ) -> tuple[records.ChangeRecord, ...]:
        """Returns the changes that follow a revision, without a gap.

        Raises:
            ChangeMissingError: a change is no longer in the log.
            ConfigUnavailableError: the table can't be read.
        """
        async with _bounded_read():
            rows = await self.table.scan(
                records.TABLE,
                prefix=records.CHANGE_PREFIX,
                after=records.Keys.change(revision),
                limit=limit,
            )
            changes = tuple(records.decode_change(row.value) for row in rows)
        require_contiguous(changes, after=revision)
        return changes

    async def change(self, revision: int) -> records.ChangeRecord | None:
        """Returns the change of a revision, None if there is none.

        Raises:
            ConfigUnavailableError: the table can't be read.
        """
        async with _bounded_read():
            key = records.Keys.change(revision)
            row = await self.table.get(records.TABLE, key)
            return None if row is None else records.decode_change(row.value)

    async def customer_revision(self, customer: str) -> int:
        """Returns the revision of a contract in force, 0 for none.

        Raises:
            ConfigUnavailableError: the table can't be read.
        """
        return await self._row_version(records.Keys.customer(customer))

    async def history(
        self, customer: str, *, after: int = 0, limit: int = 100
    ) -> tuple[records.ChangeSummary, ...]:
        """Returns summaries of a customer's changes, oldest first.

        Raises:
            ConfigUnavailableError: the table can't be read.
        """
        prefix = records.Keys.history(customer)
        after_key = records.Keys.history(customer, after) if after else ""
        async with _bounded_read():
            rows = await self.table.scan(
                records.TABLE, prefix=prefix, after=after_key, limit=limit
            )
            return tuple(
                records.ChangeSummary.model_validate_json(row.value)
                for row in rows
            )

    async def find_revision(self, draft: records.ChangeDraft) -> int:
        """Returns the revision of the change with the draft's id, 0 for none.

        Raises:
            ChangeIdReusedError: the id was used for different content.
            ConfigUnavailableError: the table can't be read.
        """
        async with _bounded_read():
            key = records.Keys.change_id(draft.change_id)
            row = await self.table.get(records.TABLE, key)
            if row is None:
                return 0
            id_row = records.ChangeIdRow.model_validate_json(row.value)
        if id_row.digest != draft.digest():
            raise config_errors.ChangeIdReusedError(
                f"change id {draft.change_id!r} was used for revision "
                f"{id_row.revision} with different content; choose a new id"
            )
        return id_row.revision

    async def customer_of_key(self, sha256: str) -> str:
        """Returns the customer that an API key belongs to, "" for none."""
        row = await self._get_row(records.Keys.api_key(sha256))
        return "" if row is None else row.value.decode()

    async def _row_version(self, key: str) -> int:
        row = await self._get_row(key)
        return models.ABSENT if row is None else row.version

    async def _get_row(self, key: str) -> models.Row | None:
        async with _bounded_read():
            return await self.table.get(records.TABLE, key)


def require_contiguous(
    changes: tuple[records.ChangeRecord, ...], *, after: int
) -> None:
    """Checks that changes follow a revision without a gap.

    Raises:
        ChangeMissingError: a change is missing or out of order.
    """
    for expected, change in enumerate(changes, start=after + 1):
        if change.revision != expected:
            raise config_errors.ChangeMissingError(
                f"change {expected} is missing from the log: {change.revision} "
                "was found in its position"
            )


@contextlib.asynccontextmanager
async def _bounded_read() -> AsyncIterator[None]:
    """Limits the time of a read and converts its errors."""
    try:
        async with asyncio.timeout(READ_TIMEOUT.total_seconds()):
            yield
    except (public_errors.TableError, TimeoutError) as error:
        raise errors.ConfigUnavailableError(
            f"reading the table failed: {str(error) or 'timed out'}"
        ) from error
    except pydantic.ValidationError as error:
        raise errors.ConfigUnavailableError(
            f"a row of the configuration log is invalid: {error}"
        ) from error
