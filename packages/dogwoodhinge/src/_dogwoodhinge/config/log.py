"""The append-only log of configuration changes in the table service."""

from collections.abc import Callable
from typing import final

from _dogwoodhinge.config import append as append_lib
from _dogwoodhinge.config import guard as guard_lib
from _dogwoodhinge.config import reader
from _dogwoodhinge.config import records
from _dogwoodhinge.config import snapshots as snapshots_lib
from dogwoodhinge import ports


@final
class ConfigLog(reader.LogReader):
    """Reads the log and appends changes to it.

    Attributes:
        snapshots: snapshots of the configuration that new nodes start from.
        last_appended: newest revision that was appended through this object.
        listeners: called with each change that was appended through this
            object once the table has confirmed its commit.
    """

    def __init__(
        self,
        *,
        table: ports.TableService,
        objects: ports.ObjectStore,
        clock: ports.Clock,
    ) -> None:
        super().__init__(table=table)
        self.clock = clock
        self.snapshots = snapshots_lib.SnapshotStore(objects=objects)
        self.last_appended = 0
        self.listeners: list[Callable[[records.ChangeRecord], None]] = []

    async def append(
        self,
        draft: records.ChangeDraft,
        *,
        expected_revision: int,
        guard: guard_lib.AcceptanceGuard | None = None,
    ) -> int:
        """Appends a change, which puts it in force, and returns its revision.

        If a change with the same id is already in force, its revision is
        returned and nothing is changed.

        Args:
            draft: the change that the operator requests.
            expected_revision: revision of the customer's contract that the
                draft is based on, 0 for none.
            guard: checked before each commit; None for no check.

        Raises:
            ContractConflictError: the contract has changed since that revision.
            KeyTakenError: an API key belongs to another customer.
            ChangeIdReusedError: the change id was used for another change.
            ConfigUnavailableError: nothing was changed.
            ConfigOutcomeUnknownError: the change may be in force; send it
                again with the same change id.
        """
        operation = append_lib.AppendOperation(
            reader=self,
            clock=self.clock,
            draft=draft,
            expected_revision=expected_revision,
            guard=guard,
            on_accepted=self._notify_listeners,
        )
        revision = await operation.run()
        self.last_appended = max(self.last_appended, revision)
        return revision

    def _notify_listeners(self, record: records.ChangeRecord) -> None:
        for listener in self.listeners:
            listener(record)
