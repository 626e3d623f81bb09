"""Orders to engines: loads and unloads of adapters and base models."""

import dataclasses
import enum
from typing import Protocol, final

from _dogwoodhinge.fleet import models


class OrderReply(enum.Enum):
    """An engine's reply to an order."""

    ACCEPTED = "accepted"  # is being executed
    DONE = "done"  # executed, or nothing had to be done
    CONFLICT = (
        "conflict"  # another order was accepted before, or is in progress
    )
    REJECTED = "rejected"  # invalid order, or its fencing token is too low
    GONE = "gone"  # another engine has the address


class Operation(enum.Enum):
    """Kind of an order."""

    LOAD = "load"
    UNLOAD = "unload"


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """An order to an engine.

    Attributes:
        operation: kind of the order.
        key: an adapter, or a base model alone.
        version: version of the adapter to load; 0 for the newest.
    """

    operation: Operation
    key: models.AdapterKey
    version: int = 0


class EngineOrderClient(Protocol):
    """Sends orders to engines and reads their reports; never retries."""

    async def send(
        self,
        entry: models.EngineEntry,
        order: Order,
        *,
        orders_accepted: int,
        token: int,
    ) -> OrderReply:
        """Sends an order.

        An engine executes an unload once the adapter's requests have ended.

        Args:
            entry: the engine.
            order: the order to send.
            orders_accepted: number of orders that the engine should have
                accepted since its start; it rejects the order at any other
                number.
            token: fencing token of the sender.

        Raises:
            EngineUnreachableError: the order was not sent.
            EngineOutcomeUnknownError: the order may be executed, now or later.
        """

    async def report(self, entry: models.EngineEntry) -> models.EngineReport:
        """Reads an engine's report.

        Raises:
            EngineError: no report was received.
        """
