"""The orders that engines take."""

import enum
from typing import Protocol

from _dogwoodhinge.fleet import models


class OrderReply(enum.Enum):
    """How an engine answered an order."""

    ACCEPTED = "accepted"  # being carried out
    DONE = "done"  # carried out, or it held already
    CONFLICT = "conflict"  # another order came between, or is under way
    REJECTED = "rejected"  # the order is wrong, or its token is too low
    GONE = "gone"  # another engine has the address


class EngineOrders(Protocol):
    """Sends orders to engines; none is sent more than once by itself."""

    async def load_adapter(
        self,
        entry: models.EngineEntry,
        key: models.AdapterKey,
        *,
        version: int,
        orders_accepted: int,
        token: int,
    ) -> OrderReply:
        """Orders a load of an adapter; version 0 is the newest.

        Args:
            entry: the engine.
            key: the adapter.
            version: 0 for the newest.
            orders_accepted: the engine refuses when it has accepted another
                number of orders since its start.
            token: the fencing token of the sender.

        Raises:
            EngineUnreachableError: nothing was sent.
            EngineOutcomeUnknownError: it may be carried out, also later.
        """

    async def unload_adapter(
        self,
        entry: models.EngineEntry,
        key: models.AdapterKey,
        *,
        orders_accepted: int,
        token: int,
    ) -> OrderReply:
        """Orders an adapter to be dropped once its runs have ended."""

    async def load_model(
        self,
        entry: models.EngineEntry,
        model: str,
        *,
        orders_accepted: int,
        token: int,
    ) -> OrderReply:
        """Orders a load of a base model."""

    async def report(self, entry: models.EngineEntry) -> models.EngineReport:
        """Reads an engine's report.

        Raises:
            EngineError: no report arrived.
        """
