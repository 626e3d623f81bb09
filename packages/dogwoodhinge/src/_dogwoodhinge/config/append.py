"""Appends one change to the log, also when replies of the table are lost."""

import asyncio
from collections.abc import Callable
import datetime
from typing import final
import uuid

from _dogwoodhinge import errors
from _dogwoodhinge import injection
from _dogwoodhinge.config import contract as contract_lib
from _dogwoodhinge.config import errors as config_errors
from _dogwoodhinge.config import guard as guard_lib
from _dogwoodhinge.config import reader as reader_lib
from _dogwoodhinge.config import records
from dogwoodhinge import errors as public_errors
from dogwoodhinge import ports

COMMIT_TIMEOUT = datetime.timedelta(seconds=2)

# An append takes several attempts when changes of other customers move the
# head or when replies of the table are lost.
APPEND_TIMEOUT = datetime.timedelta(seconds=8)
RETRY_DELAY = datetime.timedelta(milliseconds=100)

# Transaction ids are UUIDs of version 5 in this namespace.
_TRANSACTION_ID_NAMESPACE = uuid.UUID("4b0f3c52-6a7e-5d0f-9a53-0d6f8f7f2f61")


@final
class AppendOperation:
    """Appends one change, with retries.

    Attributes:
        unconfirmed: the change as it was sent if the reply to its commit was
            lost; it may still take effect. None otherwise.
    """

    def __init__(
        self,
        *,
        reader: reader_lib.LogReader,
        clock: ports.Clock,
        draft: records.ChangeDraft,
        expected_revision: int,
        guard: guard_lib.AcceptanceGuard | None,
        on_accepted: Callable[[records.ChangeRecord], None],
    ) -> None:
        """Initializes the operation; `run` carries it out.

        Args:
            reader: the log.
            clock: the clock.
            draft: the change that the operator requests.
            expected_revision: revision of the contract that the draft is
                based on, 0 for none.
            guard: checked before each commit; None for no check.
            on_accepted: called with the change once the table has confirmed
                its commit.
        """
        self.reader = reader
        self.clock = clock
        self.draft = draft
        self.expected_revision = expected_revision
        self.guard = guard
        self.on_accepted = on_accepted
        self.unconfirmed: records.ChangeRecord | None = None

    async def run(self) -> int:
        """Appends the change and returns its revision.

        Raises:
            ConfigError: see `log.ConfigLog.append`.
        """
        clock = self.clock
        deadline = clock.monotonic() + APPEND_TIMEOUT.total_seconds()
        while clock.monotonic() < deadline:
            try:
                revision = await self._attempt()
            except errors.ConfigUnavailableError as error:
                if self.unconfirmed is None:
                    raise
                if isinstance(error, config_errors.MajorityNotRenewedError):
                    break
                revision = 0
            if revision:
                return revision
            await clock.sleep(RETRY_DELAY)
        if self.unconfirmed is None:
            raise errors.ConfigUnavailableError(
                "other changes were committed first on every attempt; nothing "
                "was changed. Try again"
            )
        raise errors.ConfigOutcomeUnknownError(
            f"it is unknown whether change {self.draft.change_id} is in force: "
            "the table's reply was lost. Send it again with the same change "
            "id; it takes effect at most once"
        )

    async def _attempt(self) -> int:
        """Returns the revision, or 0 if another attempt is needed."""
        # The head is read before the change id: if the head has reached the
        # unconfirmed revision and the id is absent, the lost commit can no
        # longer take effect, because its condition on the head always fails.
        head = await self.reader.head()
        existing_revision = await self.reader.find_revision(self.draft)
        if existing_revision:
            return existing_revision
        if self.unconfirmed is None or head >= self.unconfirmed.revision:
            self.unconfirmed = None
            try:
                await self._check_preconditions()
            except errors.ConfigError:
                # The same change, sent through another node, may have been
                # committed since the first lookup; then it conflicts with
                # itself and has succeeded.
                existing_revision = await self.reader.find_revision(self.draft)
                if existing_revision:
                    return existing_revision
                raise
            record = self._make_record(head + 1)
        else:
            record = self.unconfirmed
        return await self._commit(record)

    async def _commit(self, record: records.ChangeRecord) -> int:
        transaction = records.plan_transaction(
            record,
            digest=self.draft.digest(),
            replaced=await self._read_replaced(),
            transaction_id=_transaction_id(record),
        )
        await injection.reach(injection.Step.COMMIT)
        commit_timeout = COMMIT_TIMEOUT
        if self.guard is not None:
            commit_timeout = await self.guard.confirm()
        try:
            async with asyncio.timeout(commit_timeout.total_seconds()):
                await self.reader.table.commit(transaction)
        except public_errors.TableConflictError:
            return 0
        except public_errors.TableUnavailableError as error:
            raise errors.ConfigUnavailableError(
                f"the table is unreachable: {error}; nothing was changed. "
                "Try again"
            ) from error
        except (public_errors.TableOutcomeUnknownError, TimeoutError):
            self.unconfirmed = record
            return 0
        self.on_accepted(record)
        return record.revision

    async def _check_preconditions(self) -> None:
        actual = await self.reader.customer_revision(self.draft.customer)
        if actual != self.expected_revision:
            raise await self._make_conflict(actual)
        if not actual and self.draft.kind is records.ChangeKind.DELETE:
            raise config_errors.ContractInvalidError(
                f"{self.draft.customer} has no contract to delete"
            )
        for key in self._added_keys(await self._read_replaced()):
            key_customer = await self.reader.customer_of_key(key.sha256)
            if key_customer:
                raise config_errors.KeyTakenError(
                    f"API key {key.id!r} already belongs to {key_customer}; "
                    f"create another one for {self.draft.customer}"
                )

    def _added_keys(
        self, replaced: contract_lib.Contract | None
    ) -> list[contract_lib.ApiKey]:
        if self.draft.contract is None:
            return []
        kept = {key.sha256 for key in replaced.api_keys} if replaced else set()
        return [k for k in self.draft.contract.api_keys if k.sha256 not in kept]

    async def _make_conflict(
        self, actual: int
    ) -> config_errors.ContractConflictError:
        base = await self._read_contract(self.expected_revision)
        in_force = await self._read_contract(actual)
        return config_errors.ContractConflictError(
            f"the contract of {self.draft.customer} is at revision {actual}, "
            f"not {self.expected_revision}; nothing was changed. Review the "
            "difference, update your file and apply it again",
            expected=self.expected_revision,
            actual=actual,
            base=base,
            in_force=in_force,
        )

    async def _read_replaced(self) -> contract_lib.Contract | None:
        return await self._read_contract(self.expected_revision)

    async def _read_contract(
        self, revision: int
    ) -> contract_lib.Contract | None:
        if not revision:
            return None
        record = await self.reader.change(revision)
        if record is None or record.customer != self.draft.customer:
            return None
        return record.contract

    def _make_record(self, revision: int) -> records.ChangeRecord:
        return records.ChangeRecord(
            revision=revision,
            change_id=self.draft.change_id,
            operator=self.draft.operator,
            at=self.clock.now(),
            kind=self.draft.kind,
            customer=self.draft.customer,
            previous=self.expected_revision,
            contract=self.draft.contract,
        )


def _transaction_id(record: records.ChangeRecord) -> str:
    # The time is included because the table may reject an id that is used
    # again with different contents.
    name = f"{record.change_id} {record.revision} {record.at.isoformat()}"
    return str(uuid.uuid5(_TRANSACTION_ID_NAMESPACE, name))
