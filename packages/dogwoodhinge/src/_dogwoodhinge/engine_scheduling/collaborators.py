"""Interfaces that engine owners require of the rest of the node."""

from collections.abc import Sequence
import datetime
import types
from typing import Protocol

from _dogwoodhinge.peer import peer_pb2
from dogwoodhinge import models


class Directory(Protocol):
    """The known endpoints; implemented by `membership.directory`."""

    def engines(self, role: str | None = None) -> Sequence[models.Endpoint]:
        """Returns the live engines, all or those of one role."""

    def get(self, endpoint_id: str) -> models.Endpoint | None:
        """Returns an endpoint in any state, None if it is unknown."""

    def is_usable(self, endpoint_id: str) -> bool:
        """Returns whether an endpoint may receive new requests."""


class OrderCheck(Protocol):
    """Guards orders to engines; implemented by `ownership.ownership`."""

    def check_order(self, engine_id: str, token: int) -> None:
        """Raises `OwnershipError` if an order must not be sent now."""


class LoadPermit(Protocol):
    """Permission for one load; an asynchronous context manager."""

    async def __aenter__(self) -> object:
        """Starts the load."""

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        """Returns the permit."""


class LoadPermits(Protocol):
    """Issues load permits; implemented by `limits.load_permits`."""

    async def acquire(
        self, *, waiting: int, slack: datetime.timedelta
    ) -> LoadPermit:
        """Waits for a permit.

        Args:
            waiting: requests that wait for the adapter.
            slack: time left to the most urgent one.
        """


class Recovery(Protocol):
    """State of an engine that is being taken over, completed over time."""

    @property
    def grants(self) -> Sequence[peer_pb2.Grant]:
        """Open grants that peers have reported so far."""

    @property
    def residents(self) -> Sequence[models.AdapterVersion]:
        """Adapters in the engine's adapter slots."""

    @property
    def pinned(self) -> bool:
        """True if all resident adapters count as in use."""

    async def wait_complete(self) -> None:
        """Waits until each peer answered or its session expired."""
