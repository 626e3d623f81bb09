"""Ports: the interfaces to external systems.

Each port is a `Protocol`. Implementations raise only exceptions of
`dogwoodhinge.errors` and propagate `asyncio.CancelledError`.
"""

from collections.abc import AsyncIterator
import datetime
from typing import Protocol

from dogwoodhinge import models


class Clock(Protocol):
    """The time source of a node; tests pass one that they advance."""

    def now(self) -> datetime.datetime:
        """Returns the current date and time in UTC."""

    def monotonic(self) -> float:
        """Returns monotonic seconds since an arbitrary starting point."""

    async def sleep(self, delay: datetime.timedelta) -> None:
        """Sleeps for `delay` of monotonic time."""


class TableService(Protocol):
    """The platform's transactional table service."""

    async def get(self, table: str, key: str) -> models.Row | None:
        """Reads one row with strong consistency.

        Raises:
            TableUnavailableError: the table service did not answer.
        """

    async def scan(
        self, table: str, *, prefix: str = "", after: str = "", limit: int = 100
    ) -> tuple[models.Row, ...]:
        """Reads rows in key order with strong consistency.

        Args:
            table: name of the table.
            prefix: returns only keys with this prefix.
            after: returns only keys greater than this one; pass the last key
                of a page to read the next page.
            limit: maximum number of rows.

        Raises:
            TableUnavailableError: the table service did not answer.
        """

    async def commit(self, transaction: models.Transaction) -> None:
        """Commits a transaction.

        Raises:
            TableConflictError: a check failed; nothing was written.
            TableUnavailableError: nothing was written.
            TableOutcomeUnknownError: the transaction may have been committed;
                read the rows to find out.
        """

    async def close(self) -> None:
        """Closes the connections."""


class ObjectStore(Protocol):
    """The platform's object store."""

    async def get(self, key: str) -> bytes | None:
        """Reads an object; returns None if it does not exist."""

    async def put(
        self, key: str, data: bytes, *, only_if_absent: bool = False
    ) -> None:
        """Writes an object.

        Raises:
            ObjectExistsError: `only_if_absent` is set and the object exists.
            ObjectStoreError: any other failure; the object may have been
                written.
        """

    async def list(self, prefix: str) -> tuple[str, ...]:
        """Lists the keys with a prefix in key order."""

    async def delete(self, key: str) -> None:
        """Deletes an object; a missing object is not an error."""

    async def close(self) -> None:
        """Closes the connections."""


class WeightStore(Protocol):
    """The rate-limited store that engines load adapters from."""

    name: str
    width: models.StoreWidth

    async def find(
        self, adapter: models.AdapterVersion
    ) -> models.AdapterWeights | None:
        """Looks up the weights of an adapter version.

        Raises:
            WeightStoreError: the index could not be read.
        """

    async def close(self) -> None:
        """Closes the connections."""


class HostList(Protocol):
    """The platform's list of live and leaving hosts; it may be stale."""

    async def fetch(self) -> models.HostListing:
        """Reads the list.

        Raises:
            HostListError: the list could not be read.
        """

    async def close(self) -> None:
        """Closes the connections."""


class Engine(Protocol):
    """The client of one inference engine."""

    endpoint: models.Endpoint

    async def load(self, weights: models.AdapterWeights, *, token: int) -> None:
        """Orders a load; returns when the adapter is resident.

        Raises:
            StaleFenceError: the engine has already seen a higher token.
            EngineError: the load failed, or its outcome is unknown.
        """

    async def unload(
        self, adapter: models.AdapterVersion, *, token: int
    ) -> None:
        """Orders the eviction of an adapter."""

    async def raise_fence(self, token: int) -> None:
        """Makes an engine that checks fencing tokens reject lower ones."""

    async def report(self) -> models.EngineReport:
        """Reads the engine's load report."""

    def open_stream(
        self, request: models.EngineRequest
    ) -> AsyncIterator[models.StreamChunk]:
        """Starts or resumes a generation; the last chunk is the end marker.

        Closing the iterator closes the connection but does not cancel the
        generation.

        Raises:
            EngineUnreachableError: the request was not executed.
            EngineRefusedError: the engine responded that it did not execute the
                request.
            EngineOutcomeUnknownError: the request may have been executed.
            StreamBrokenError: the stream ended early or stopped sending data.
            ForeignChunkError: a chunk of another request was received.
        """

    async def cancel(self, request_id: str) -> None:
        """Cancels a generation; an unknown id is not an error."""

    async def close(self) -> None:
        """Closes the connections."""


class PlainService(Protocol):
    """The client of one plain service (a service that is not an engine)."""

    endpoint: models.Endpoint

    async def call(
        self, call: models.PlainCall, *, timeout: datetime.timedelta
    ) -> models.PlainAnswer:
        """Sends a call once, without retries.

        Raises:
            PlainServiceUnreachableError: the call was not executed.
            PlainServiceOutcomeUnknownError: the call may have been executed.
        """

    async def close(self) -> None:
        """Closes the connections."""


class FleetView(Protocol):
    """Reads the state that a fleet's platform stores, for operators."""

    async def read(self) -> models.FleetState:
        """Reads the whole state once.

        Raises:
            TableUnavailableError: the table service did not answer.
        """

    async def read_configuration(self) -> bytes | None:
        """Reads the configuration in force as it was written; None if none.

        Raises:
            TableUnavailableError: the table service did not answer.
        """

    def check_configuration(
        self, data: bytes, *, base: bytes | None = None
    ) -> models.ConfigurationCheck:
        """Checks a configuration as the nodes would apply it.

        Args:
            data: the configuration.
            base: another version that it is compared with.
        """

    async def close(self) -> None:
        """Closes the connections."""
