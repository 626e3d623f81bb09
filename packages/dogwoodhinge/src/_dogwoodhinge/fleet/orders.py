"""The orders that engines take."""

import dataclasses
import enum
from typing import Protocol, final

from _dogwoodhinge.fleet import models


class OrderReply(enum.Enum):
    """How an engine answered an order."""

    ACCEPTED = "accepted"  # being carried out
    DONE = "done"  # carried out, or it held already
    CONFLICT = "conflict"  # another order came between, or is under way
    REJECTED = "rejected"  # the order is wrong, or its token is too low
    GONE = "gone"  # another engine has the address


class Operation(enum.Enum):
    """What an order does."""

    LOAD = "load"
    UNLOAD = "unload"


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """What an engine is told to do.

    Attributes:
        key: an adapter, or a base model alone.
        version: of an adapter to load; 0 for the newest.
    """

    operation: Operation
    key: models.AdapterKey
    version: int = 0


class EngineOrders(Protocol):
    """Sends orders to engines; none is sent more than once by itself."""

    async def send(
        self,
        entry: models.EngineEntry,
        order: Order,
        *,
        orders_accepted: int,
        token: int,
    ) -> OrderReply:
        """Sends an order; an unload waits until the adapter's runs have ended.

        Args:
            entry: the engine.
            order: what to do.
            orders_accepted: the engine refuses when it has accepted another
                number of orders since its start.
            token: the fencing token of the sender.

        Raises:
            EngineUnreachableError: nothing was sent.
            EngineOutcomeUnknownError: it may be carried out, also later.
        """

    async def report(self, entry: models.EngineEntry) -> models.EngineReport:
        """Reads an engine's report.

        Raises:
            EngineError: no report arrived.
        """
