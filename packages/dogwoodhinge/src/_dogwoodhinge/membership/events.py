"""Log of membership events; nodes poll the sequence number of its head.

A change, its event and the head row are written in one transaction, so a node
that has read the events up to a sequence number has seen every change up to
it.
"""

import dataclasses
import datetime
import enum
import json
import random
from typing import final
import uuid

from _dogwoodhinge.membership import errors
from dogwoodhinge import errors as port_errors
from dogwoodhinge import models
from dogwoodhinge import ports

EVENTS_TABLE = "membership"
HEAD_KEY = "head"
EVENT_PREFIX = "event/"
MAX_EVENTS = 1_000
COMMIT_ATTEMPTS = 12
COMMIT_RETRY_DELAY = datetime.timedelta(milliseconds=20)
PAGE_ROWS = 100


class EventKind(enum.StrEnum):
    """Kind of a membership event."""

    JOIN = "join"
    DRAIN = "drain"
    END = "end"
    LAPSE = "lapse"
    TAKEOVER = "takeover"


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """A change of membership or ownership.

    Attributes:
        kind: kind of the event.
        subject: id of the session, or of the engine for a takeover.
        detail: for a takeover the new ownership row, which saves other nodes
            a read of the table.
        sequence: sequence number of the event, 0 until it is written.
    """

    kind: EventKind
    subject: str
    detail: str = ""
    sequence: int = 0


class EventLog:
    """Writes changes together with their events, and reads the events."""

    def __init__(
        self, *, table: ports.TableService, clock: ports.Clock
    ) -> None:
        self.table = table
        self.clock = clock
        self.rng = random.Random()

    async def head(self) -> int:
        """Returns the sequence number of the newest event.

        Raises:
            MembershipUnavailableError: the table did not answer.
        """
        try:
            row = await self.table.get(EVENTS_TABLE, HEAD_KEY)
        except port_errors.TableError as error:
            raise _unavailable(error) from error
        return row.version if row else 0

    async def read_after(self, sequence: int) -> tuple[Event, ...]:
        """Reads the first page of the events after a sequence number.

        Raises:
            MembershipUnavailableError: the table did not answer.
        """
        try:
            rows = await self.table.scan(
                EVENTS_TABLE,
                prefix=EVENT_PREFIX,
                after=_event_key(sequence),
                limit=PAGE_ROWS,
            )
        except port_errors.TableError as error:
            raise _unavailable(error) from error
        return tuple(_decode(row) for row in rows)

    async def commit(
        self,
        event: Event,
        *writes: models.Write,
        head: int | None = None,
    ) -> int:
        """Commits writes together with their event.

        Args:
            event: the event that describes the writes.
            writes: conditional writes.
            head: sequence number that the event must directly follow; None to
                append it to the newest event.

        Returns:
            The sequence number of the event.

        Raises:
            MembershipConflictError: a row did not have the expected version.
            MembershipUnavailableError: nothing was written.
            TableOutcomeUnknownError: the writes may have been applied; the
                caller has to read the rows back.
        """
        for attempt in range(COMMIT_ATTEMPTS):
            sequence = await self.head() if head is None else head
            try:
                await self.table.commit(_transaction(event, sequence, writes))
            except port_errors.TableConflictError as error:
                if head is not None or await self.head() == sequence:
                    raise errors.MembershipConflictError(str(error)) from error
            except port_errors.TableUnavailableError as error:
                raise _unavailable(error) from error
            else:
                return sequence + 1
            await self.clock.sleep(
                COMMIT_RETRY_DELAY * (attempt + 1) * self.rng.random()
            )
        raise errors.MembershipConflictError(
            f"the event log's head changed during {COMMIT_ATTEMPTS} commit "
            "attempts; try again"
        )


def _transaction(
    event: Event, head: int, writes: tuple[models.Write, ...]
) -> models.Transaction:
    sequence = head + 1
    event_writes = [
        models.Write(
            table=EVENTS_TABLE,
            key=HEAD_KEY,
            value=b"{}",
            version=sequence,
            expected=head,
        ),
        models.Write(
            table=EVENTS_TABLE,
            key=_event_key(sequence),
            value=_encode(event),
            version=1,
        ),
    ]
    if sequence > MAX_EVENTS:
        event_writes.append(
            models.Write(
                table=EVENTS_TABLE,
                key=_event_key(sequence - MAX_EVENTS),
                value=None,
                version=0,
            )
        )
    return models.Transaction(
        transaction_id=uuid.uuid4().hex,
        writes=(*writes, *event_writes),
    )


def _event_key(sequence: int) -> str:
    return f"{EVENT_PREFIX}{sequence:020d}"


def _encode(event: Event) -> bytes:
    fields = {
        "kind": event.kind,
        "subject": event.subject,
        "detail": event.detail,
    }
    return json.dumps(fields, separators=(",", ":")).encode()


def _decode(row: models.Row) -> Event:
    fields = json.loads(row.value)
    sequence = int(row.key.removeprefix(EVENT_PREFIX))
    return Event(
        EventKind(fields["kind"]),
        fields["subject"],
        fields["detail"],
        sequence,
    )


def _unavailable(
    error: port_errors.TableError,
) -> errors.MembershipUnavailableError:
    return errors.MembershipUnavailableError(
        f"the table can't be reached; the call will be retried: {error}"
    )
