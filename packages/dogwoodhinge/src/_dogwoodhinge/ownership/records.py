"""Ownership rows: the session that owns an engine and its fencing token."""

import dataclasses
import json
from typing import final

from _dogwoodhinge.membership import errors as membership_errors
from _dogwoodhinge.membership import events
from _dogwoodhinge.ownership import errors
from dogwoodhinge import errors as port_errors
from dogwoodhinge import models
from dogwoodhinge import ports

OWNERS_TABLE = "owners"
SCAN_PAGE_SIZE = 100


@final
@dataclasses.dataclass(frozen=True, slots=True)
class OwnerRecord:
    """The owner of one engine.

    Attributes:
        engine_id: the engine.
        session_id: its owner's session.
        token: fencing token; increases with each change of the owner.
        version: version of the row.
        handed_over: the previous owner stopped its orders and chose this one.
    """

    engine_id: str
    session_id: str
    token: int
    version: int
    handed_over: bool = False


class OwnerTable:
    """Reads and writes the ownership rows."""

    def __init__(
        self, *, table: ports.TableService, event_log: events.EventLog
    ) -> None:
        self.table = table
        self.event_log = event_log

    async def read(self, engine_id: str) -> OwnerRecord | None:
        """Reads one row.

        Raises:
            OwnershipUnavailableError: the table did not answer.
        """
        try:
            row = await self.table.get(OWNERS_TABLE, engine_id)
        except port_errors.TableError as error:
            raise _unavailable(error) from error
        return None if row is None else decode(row)

    async def read_all(self) -> dict[str, OwnerRecord]:
        """Reads all rows, by engine.

        Raises:
            OwnershipUnavailableError: the table did not answer.
        """
        found: dict[str, OwnerRecord] = {}
        after = ""
        while True:
            try:
                rows = await self.table.scan(
                    OWNERS_TABLE, after=after, limit=SCAN_PAGE_SIZE
                )
            except port_errors.TableError as error:
                raise _unavailable(error) from error
            found.update((row.key, decode(row)) for row in rows)
            if len(rows) < SCAN_PAGE_SIZE:
                return found
            after = rows[-1].key

    async def change(
        self,
        record: OwnerRecord | None,
        *,
        engine_id: str,
        session_id: str,
        handed_over: bool = False,
        head: int | None = None,
    ) -> OwnerRecord:
        """Makes a session the owner, with the next fencing token.

        Args:
            record: the row expected in the table; None if there must be none.
            engine_id: the engine.
            session_id: the new owner's session.
            handed_over: whether the caller owned the engine and stopped its
                orders.
            head: sequence of the newest membership event that the decision is
                based on; None if it does not depend on the sessions.

        Raises:
            TakeoverLostError: the row or the membership had changed.
            OwnershipUnavailableError: the table could not be reached; as far
                as known, nothing was written.
        """
        new_record = OwnerRecord(
            engine_id=engine_id,
            session_id=session_id,
            token=(record.token if record else 0) + 1,
            version=(record.version if record else 0) + 1,
            handed_over=handed_over,
        )
        event = events.Event(
            events.EventKind.TAKEOVER, engine_id, _encode(new_record)
        )
        write = _make_write(new_record)
        try:
            await self.event_log.commit(event, write, head=head)
        except membership_errors.MembershipConflictError as error:
            raise errors.TakeoverLostError(
                f"the owner of engine {engine_id} or the membership changed "
                "concurrently; reading the row again"
            ) from error
        except membership_errors.MembershipUnavailableError as error:
            raise _unavailable(error) from error
        except port_errors.TableOutcomeUnknownError as error:
            await self._confirm_write(new_record, error)
        return new_record

    async def _confirm_write(
        self, new_record: OwnerRecord, cause: port_errors.TableError
    ) -> None:
        """Reads the row back after a commit with an unknown outcome.

        No two sessions write the same row version with the same session id,
        so a row equal to `new_record` proves that the commit took effect.
        """
        found = await self.read(new_record.engine_id)
        if found != new_record:
            raise errors.TakeoverLostError(
                f"the change of the owner of engine {new_record.engine_id} did "
                "not take effect; retrying"
            ) from cause


def decode(row: models.Row) -> OwnerRecord:
    """Decodes an ownership row."""
    return _decode(row.key, row.value)


def decode_event(event: events.Event) -> OwnerRecord:
    """Decodes the ownership row in a takeover event."""
    return _decode(event.subject, event.detail)


def _encode(record: OwnerRecord) -> str:
    fields = dataclasses.asdict(record)
    del fields["engine_id"]
    return json.dumps(fields, separators=(",", ":"))


def _decode(engine_id: str, value: str | bytes) -> OwnerRecord:
    return OwnerRecord(engine_id=engine_id, **json.loads(value))


def _make_write(record: OwnerRecord) -> models.Write:
    return models.Write(
        table=OWNERS_TABLE,
        key=record.engine_id,
        value=_encode(record).encode(),
        version=record.version,
        expected=record.version - 1,
    )


def _unavailable(error: Exception) -> errors.OwnershipUnavailableError:
    return errors.OwnershipUnavailableError(
        f"table unreachable; ownership stays unchanged: {error}"
    )
