"""Random interleavings of operators, lost replies and a reader of the log.

Each step of a schedule lists the operator whose pending table call continues,
what happens to that call, and whether a delayed commit arrives. A reader reads
the log after each step. The outcomes reported to the operators must match the
log at the end.
"""

import asyncio
import dataclasses
import datetime
import enum
from typing import Any

import hypothesis
from hypothesis import strategies

from _dogwoodhinge import errors
from _dogwoodhinge.config import contract as contract_lib
from _dogwoodhinge.config import log as log_lib
from _dogwoodhinge.config import records
from dogwoodhinge import errors as public_errors
from dogwoodhinge import models
from dogwoodhinge_lab import config_nodes
from dogwoodhinge_lab import manual_clock
from dogwoodhinge_lab import memory_table

CUSTOMERS = ("aduelas", "aduelas", "easelpoint")  # One for each operator.
CHANGES_PER_OPERATOR = 2
MIN_STEPS = 30
MAX_STEPS = 120
RETRY_DELAY = datetime.timedelta(milliseconds=100)


class CallOutcome(enum.Enum):
    """What happens to a pending call."""

    SUCCESS = "good"
    ANSWER_LOST = "answer lost"
    LATE = "arrives late, answer lost"
    LOST = "never arrives"
    UNAVAILABLE = "refused, the table is down"


@dataclasses.dataclass(frozen=True)
class Step:
    """One step of a schedule."""

    operator: int
    call_outcome: CallOutcome
    deliver_late: bool


class SteppedTable:
    """Table whose calls wait until the schedule releases them."""

    def __init__(self, table: memory_table.MemoryTable) -> None:
        self.table = table
        self.pending_call: asyncio.Future[CallOutcome] | None = None
        self.late: list[models.Transaction] = []

    async def get(self, table: str, key: str) -> models.Row | None:
        await self._wait()
        return await self.table.get(table, key)

    async def scan(self, *args: Any, **kwargs: Any) -> tuple[models.Row, ...]:
        await self._wait()
        return await self.table.scan(*args, **kwargs)

    async def commit(self, transaction: models.Transaction) -> None:
        call_outcome = await self._wait()
        if call_outcome is CallOutcome.LATE:
            self.late.append(transaction)
        if call_outcome in (CallOutcome.SUCCESS, CallOutcome.ANSWER_LOST):
            await self.table.commit(transaction)
        if call_outcome is not CallOutcome.SUCCESS:
            raise public_errors.TableOutcomeUnknownError("no answer")

    async def close(self) -> None:
        pass

    def release(self, call_outcome: CallOutcome) -> None:
        if self.pending_call is not None and not self.pending_call.done():
            self.pending_call.set_result(call_outcome)

    def deliver_late(self) -> None:
        if not self.late:
            return
        try:
            self.table.apply(self.late.pop())
        except public_errors.TableConflictError:
            pass

    async def _wait(self) -> CallOutcome:
        self.pending_call = asyncio.get_running_loop().create_future()
        call_outcome = await self.pending_call
        if call_outcome is CallOutcome.UNAVAILABLE:
            raise public_errors.TableUnavailableError("the table is down")
        return call_outcome


@dataclasses.dataclass
class ReportedOutcome:
    """The outcome of a change as reported to the operator."""

    change_id: str
    base: int
    revision: int = 0
    unknown: bool = False


class Operator:
    """Puts the contract of one customer several times."""

    def __init__(
        self, log: log_lib.ConfigLog, name: str, customer: str
    ) -> None:
        self.log = log
        self.name = name
        self.customer = customer
        self.outcomes: list[ReportedOutcome] = []

    async def run(self) -> None:
        for number in range(CHANGES_PER_OPERATOR):
            try:
                base = await self.log.customer_revision(self.customer)
            except errors.ConfigUnavailableError:
                continue
            outcome = ReportedOutcome(f"change-{self.name}-{number}", base)
            self.outcomes.append(outcome)
            try:
                outcome.revision = await self.log.append(
                    make_draft(outcome.change_id, self.customer),
                    expected_revision=base,
                )
            except errors.ConfigOutcomeUnknownError:
                outcome.unknown = True
            except errors.ConfigError:
                pass  # Reports that nothing was changed.


class Reader:
    """Follows the log and checks that it only grows."""

    def __init__(self, log: log_lib.ConfigLog) -> None:
        self.log = log
        self.changes_read: list[records.ChangeRecord] = []

    async def read(self) -> None:
        head = await self.log.head()
        changes = await self.log.read_after(len(self.changes_read), limit=100)
        self.changes_read.extend(changes)
        assert len(self.changes_read) == head


def make_draft(change_id: str, customer: str) -> records.ChangeDraft:
    key = contract_lib.ApiKey(id="k", sha256=contract_lib.hash_key(customer))
    limits = contract_lib.Limits(requests_per_second=1.0, concurrency=1)
    return records.ChangeDraft(
        change_id=change_id,
        operator="rosa",
        kind=records.ChangeKind.PUT,
        customer=customer,
        contract=contract_lib.Contract(
            customer=customer, api_keys=(key,), limits=limits
        ),
    )


async def run_schedule(schedule: list[Step]) -> None:
    clock = manual_clock.ManualClock()
    cluster = config_nodes.ConfigCluster(clock=clock)
    tables = [SteppedTable(cluster.table) for _ in CUSTOMERS]
    operators = [
        Operator(
            log_lib.ConfigLog(
                table=table, objects=cluster.objects, clock=clock
            ),
            str(number),
            customer,
        )
        for number, (customer, table) in enumerate(
            zip(CUSTOMERS, tables, strict=True)
        )
    ]
    reader = Reader(cluster.make_log())
    tasks = [asyncio.ensure_future(o.run()) for o in operators]
    for step in schedule:
        await manual_clock.settle(3)
        tables[step.operator].release(step.call_outcome)
        await clock.advance(RETRY_DELAY)
        if step.deliver_late:
            tables[step.operator].deliver_late()
        await reader.read()
    await finish_operators(tasks, tables, clock)
    for table in tables:
        while table.late:
            table.deliver_late()
    await reader.read()
    check_outcomes(
        reader.changes_read,
        [outcome for o in operators for outcome in o.outcomes],
    )


async def finish_operators(
    tasks: list[asyncio.Future[None]],
    tables: list[SteppedTable],
    clock: manual_clock.ManualClock,
) -> None:
    while not all(task.done() for task in tasks):
        for table in tables:
            table.release(CallOutcome.SUCCESS)
        await clock.advance(RETRY_DELAY)
    await asyncio.gather(*tasks)


def check_outcomes(
    changes: list[records.ChangeRecord], outcomes: list[ReportedOutcome]
) -> None:
    by_id = {change.change_id: change for change in changes}
    assert len(by_id) == len(changes), "a change took effect twice"
    assert [c.revision for c in changes] == list(range(1, len(changes) + 1))
    revisions = dict.fromkeys(CUSTOMERS, 0)
    for change in changes:
        base = revisions[change.customer]
        assert change.previous == base, (
            "a change was overwritten without a conflict"
        )
        revisions[change.customer] = change.revision
    for outcome in outcomes:
        found = by_id.get(outcome.change_id)
        if outcome.revision:
            assert found is not None, "reported as applied, but not in force"
            assert found.revision == outcome.revision
            assert found.previous == outcome.base
        elif not outcome.unknown:
            assert found is None, "reported as unchanged, but in force"


steps = strategies.builds(
    Step,
    operator=strategies.integers(0, len(CUSTOMERS) - 1),
    call_outcome=strategies.sampled_from(CallOutcome),
    deliver_late=strategies.sampled_from([False] * 5 + [True]),
)


@hypothesis.settings(
    derandomize=True, deadline=None, max_examples=200, database=None
)
@hypothesis.given(
    strategies.lists(steps, min_size=MIN_STEPS, max_size=MAX_STEPS)
)
def test_reported_outcomes_match_the_log(schedule: list[Step]) -> None:
    asyncio.run(run_schedule(schedule))
