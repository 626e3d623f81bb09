"""Tests of `_dogwoodhinge.dispatch.write_batches`."""

import asyncio
from typing import Any

import pytest

from _dogwoodhinge.dispatch import write_batches
from dogwoodhinge import errors
from dogwoodhinge import models
from dogwoodhinge_lab import dispatch_fakes
from dogwoodhinge_lab import memory_table


@pytest.fixture
def batches(
    table: memory_table.MemoryTable, clock: dispatch_fakes.EagerClock
) -> write_batches.WriteBatches:
    return write_batches.WriteBatches(table=table, clock=clock)


def insert(key: str) -> models.Write:
    return models.Write("intents", key, b"x", 1, expected=models.ABSENT)


async def commit_all(
    batches: write_batches.WriteBatches, *keys: str
) -> list[Any]:
    return await asyncio.gather(
        *(batches.commit(insert(key)) for key in keys), return_exceptions=True
    )


async def test_concurrent_writes_share_a_transaction(
    batches: write_batches.WriteBatches, table: memory_table.MemoryTable
) -> None:
    assert await commit_all(batches, "a", "b", "c") == [None] * 3
    assert table.commits == 1


async def test_conflict_fails_no_other_write(
    batches: write_batches.WriteBatches, table: memory_table.MemoryTable
) -> None:
    await commit_all(batches, "b")
    first, second, third = await commit_all(batches, "a", "b", "c")
    assert isinstance(second, errors.TableConflictError)
    assert first is third is None


async def test_writes_of_one_row_use_separate_transactions(
    batches: write_batches.WriteBatches, table: memory_table.MemoryTable
) -> None:
    first, second = await commit_all(batches, "a", "a")
    assert first is None
    assert isinstance(second, errors.TableConflictError)


async def test_transaction_size_is_bounded(
    batches: write_batches.WriteBatches, table: memory_table.MemoryTable
) -> None:
    keys = [f"k{number}" for number in range(60)]
    assert await commit_all(batches, *keys) == [None] * 60
    assert table.commits == 3


@pytest.mark.parametrize(
    ("fault", "kind"),
    [
        pytest.param(
            memory_table.Fault.UNAVAILABLE,
            errors.TableUnavailableError,
            id="unavailable",
        ),
        pytest.param(
            memory_table.Fault.ANSWER_LOST,
            errors.TableOutcomeUnknownError,
            id="answer lost",
        ),
    ],
)
async def test_failure_is_raised_to_every_caller(
    batches: write_batches.WriteBatches,
    table: memory_table.MemoryTable,
    fault: memory_table.Fault,
    kind: type[Exception],
) -> None:
    table.fault = fault
    results = await commit_all(batches, "a", "b")
    assert [type(result) for result in results] == [kind, kind]
