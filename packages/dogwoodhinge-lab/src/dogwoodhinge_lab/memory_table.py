"""A table service in memory, with faults that tests switch."""

import dataclasses
import enum
from typing import final

from dogwoodhinge import errors
from dogwoodhinge import models

MAX_ACTIONS = 100


class Fault(enum.StrEnum):
    """What happens to a call."""

    NONE = "none"
    UNAVAILABLE = "unavailable"
    ANSWER_LOST = "answer_lost"
    LOST_BEFORE = "lost_before"


@final
@dataclasses.dataclass(slots=True)
class MemoryTable:
    """Implements `ports.TableService`; several nodes may share one.

    Attributes:
        rows: by (table, key).
        done: transactions carried out, by id.
        fault: what happens to every call until it is set back.
        commit_faults: what happens to the next commits, one each; used up
            before `fault`.
        reads: calls of `get` and `scan`.
        commits: calls of `commit`.
    """

    rows: dict[tuple[str, str], models.Row] = dataclasses.field(
        default_factory=dict
    )
    done: dict[str, models.Transaction] = dataclasses.field(
        default_factory=dict
    )
    fault: Fault = Fault.NONE
    commit_faults: list[Fault] = dataclasses.field(default_factory=list)
    reads: int = 0
    commits: int = 0

    async def get(self, table: str, key: str) -> models.Row | None:
        """Reads one row."""
        self._begin_read()
        return self.rows.get((table, key))

    async def scan(
        self, table: str, *, prefix: str = "", after: str = "", limit: int = 100
    ) -> tuple[models.Row, ...]:
        """Reads rows in the order of their keys."""
        self._begin_read()
        keys = sorted(
            key
            for row_table, key in self.rows
            if row_table == table and key.startswith(prefix) and key > after
        )
        return tuple(self.rows[table, key] for key in keys[:limit])

    async def commit(self, transaction: models.Transaction) -> None:
        """Carries out a transaction, or fails as the faults say."""
        self.commits += 1
        fault = self.commit_faults.pop(0) if self.commit_faults else self.fault
        if fault is Fault.UNAVAILABLE:
            raise errors.TableUnavailableError("the table is switched off")
        if fault is Fault.LOST_BEFORE:
            raise errors.TableOutcomeUnknownError("the request was lost")
        self.apply(transaction)
        if fault is Fault.ANSWER_LOST:
            raise errors.TableOutcomeUnknownError("the answer was lost")

    async def close(self) -> None:
        """Does nothing: the rows stay for the next client."""

    def apply(self, transaction: models.Transaction) -> None:
        """Carries out a transaction, once for each id.

        Raises:
            TableConflictError: a check did not hold; nothing was written.
        """
        if transaction.transaction_id in self.done:
            return
        _require_distinct(transaction)
        failed = self._failed_checks(transaction)
        if failed:
            raise errors.TableConflictError(
                f"the rows {failed} have other versions", keys=failed
            )
        for write in transaction.writes:
            self._write(write)
        self.done[transaction.transaction_id] = transaction

    def _begin_read(self) -> None:
        self.reads += 1
        if self.fault is not Fault.NONE:
            raise errors.TableUnavailableError("the table is switched off")

    def _failed_checks(
        self, transaction: models.Transaction
    ) -> tuple[tuple[str, str], ...]:
        expected = [(c.table, c.key, c.version) for c in transaction.checks]
        expected.extend(
            (write.table, write.key, write.expected)
            for write in transaction.writes
            if write.expected is not None
        )
        return tuple(
            (table, key)
            for table, key, version in expected
            if self._version(table, key) != version
        )

    def _version(self, table: str, key: str) -> int:
        row = self.rows.get((table, key))
        return models.ABSENT if row is None else row.version

    def _write(self, write: models.Write) -> None:
        if write.value is None:
            self.rows.pop((write.table, write.key), None)
            return
        self.rows[write.table, write.key] = models.Row(
            write.table, write.key, write.value, write.version
        )


def _require_distinct(transaction: models.Transaction) -> None:
    names = [(action.table, action.key) for action in transaction.checks]
    names.extend((action.table, action.key) for action in transaction.writes)
    if len(names) > MAX_ACTIONS:
        raise ValueError(f"{len(names)} actions; at most {MAX_ACTIONS}")
    if len(set(names)) < len(names):
        raise ValueError("a transaction may name each row once")
