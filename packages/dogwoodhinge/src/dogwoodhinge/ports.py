"""The interfaces behind which outside systems stand.

Each port is a `Protocol`. Implementations raise errors of
`dogwoodhinge.errors` only, and let `asyncio.CancelledError` pass.
"""

from collections.abc import AsyncIterator
import datetime
from typing import Protocol

from dogwoodhinge import models


class Clock(Protocol):
    """Time as the node sees it; tests pass one that they move."""

    def now(self) -> datetime.datetime:
        """Returns the time of day, UTC."""

    def monotonic(self) -> float:
        """Returns seconds that never go back, from an arbitrary start."""

    async def sleep(self, delay: datetime.timedelta) -> None:
        """Returns after `delay` of monotonic time."""


class TableService(Protocol):
    """The platform's transactional table service."""

    async def get(self, table: str, key: str) -> models.Row | None:
        """Reads one row, consistently.

        Raises:
            TableUnavailableError: no answer.
        """

    async def scan(
        self, table: str, *, prefix: str = "", after: str = "", limit: int = 100
    ) -> tuple[models.Row, ...]:
        """Reads rows in the order of their keys, consistently.

        Args:
            table: name of the table.
            prefix: only keys that start so.
            after: only keys behind this one; for the next page.
            limit: rows at most.

        Raises:
            TableUnavailableError: no answer.
        """

    async def commit(self, transaction: models.Transaction) -> None:
        """Carries out a transaction.

        Raises:
            TableConflictError: a check did not hold; nothing was written.
            TableUnavailableError: nothing was written.
            TableOutcomeUnknownError: read back to learn what happened.
        """

    async def close(self) -> None:
        """Closes the connections."""


class ObjectStore(Protocol):
    """The platform's object store."""

    async def get(self, key: str) -> bytes | None:
        """Reads an object; None when there is none."""

    async def put(
        self, key: str, data: bytes, *, only_if_absent: bool = False
    ) -> None:
        """Writes an object.

        Raises:
            ObjectExistsError: `only_if_absent`, and there is one.
            ObjectStoreError: any other failure; the effect is unknown.
        """

    async def list(self, prefix: str) -> tuple[str, ...]:
        """Lists keys with a prefix, in order."""

    async def delete(self, key: str) -> None:
        """Deletes an object; it need not exist."""

    async def close(self) -> None:
        """Closes the connections."""


class WeightStore(Protocol):
    """The rate-limited store that engines load adapters from."""

    name: str
    width: models.StoreWidth

    async def find(
        self, adapter: models.AdapterVersion
    ) -> models.AdapterWeights | None:
        """Looks up the weights of an adapter's version.

        Raises:
            WeightStoreError: the index could not be read.
        """

    async def close(self) -> None:
        """Closes the connections."""


class HostList(Protocol):
    """The platform's list of live and leaving hosts; it lags."""

    async def fetch(self) -> models.HostListing:
        """Reads the list.

        Raises:
            HostListError: it could not be read.
        """

    async def close(self) -> None:
        """Closes the connections."""


class Engine(Protocol):
    """One model engine."""

    endpoint: models.Endpoint

    async def load(self, weights: models.AdapterWeights, *, token: int) -> None:
        """Orders a load and returns when the adapter is resident.

        Raises:
            StaleFenceError: a higher token was seen.
            EngineError: the load failed, or its end is unknown.
        """

    async def unload(
        self, adapter: models.AdapterVersion, *, token: int
    ) -> None:
        """Orders an eviction."""

    async def raise_fence(self, token: int) -> None:
        """Makes the engine refuse lower tokens, where it checks them."""

    async def report(self) -> models.EngineReport:
        """Reads the load report."""

    def open_stream(
        self, request: models.EngineRequest
    ) -> AsyncIterator[models.StreamChunk]:
        """Runs or resumes a generation; the last chunk is the end marker.

        Closing the iterator drops the connection, not the generation.

        Raises:
            EngineUnreachableError: not run.
            EngineRefusedError: not run, the engine said so.
            EngineOutcomeUnknownError: it may have run.
            StreamBrokenError: the stream ended early or fell silent.
            ForeignChunkError: a chunk of another request arrived.
        """

    async def cancel(self, request_id: str) -> None:
        """Stops a generation; unknown ids are no error."""

    async def close(self) -> None:
        """Closes the connections."""


class PlainService(Protocol):
    """One plain service beside the engines."""

    endpoint: models.Endpoint

    async def call(
        self, call: models.PlainCall, *, timeout: datetime.timedelta
    ) -> models.PlainAnswer:
        """Makes a call once; never repeats it.

        Raises:
            PlainServiceUnreachableError: not run.
            PlainServiceOutcomeUnknownError: it may have run.
        """

    async def close(self) -> None:
        """Closes the connections."""


class FleetView(Protocol):
    """Reads what a fleet's platform keeps, for its operators."""

    async def read(self) -> models.FleetState:
        """Reads everything once.

        Raises:
            TableUnavailableError: no answer.
        """

    def check_configuration(self, data: bytes) -> str:
        """Returns what is wrong with a configuration; empty for nothing."""

    async def close(self) -> None:
        """Closes the connections."""
