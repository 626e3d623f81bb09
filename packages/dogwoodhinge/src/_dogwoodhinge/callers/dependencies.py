"""Dependencies of the callers' application on the node."""

from collections.abc import Callable
import dataclasses
from typing import Protocol, final

from _dogwoodhinge import decisions as decisions_lib
from _dogwoodhinge import settings as settings_lib
from _dogwoodhinge.callers import body_reader as body_reader_lib
from _dogwoodhinge.callers import connection_limit as connection_limit_lib
from _dogwoodhinge.callers import request_memory as request_memory_lib
from _dogwoodhinge.callers import request_tracker as request_tracker_lib
from _dogwoodhinge.config import contract as contract_lib
from _dogwoodhinge.dispatch import generations as generations_lib
from _dogwoodhinge.dispatch import plain_calls as plain_calls_lib
from dogwoodhinge import ports


class Contracts(Protocol):
    """Contracts in force on this node; implemented by `config.view`."""

    def contract_for_key(self, api_key: str) -> contract_lib.Contract | None:
        """Returns the contract that lists an API key, or None."""


class QuotaTicket(Protocol):
    """Counts an admitted request against its customer's limits."""

    def release(self) -> None:
        """Stops counting the request."""


class Quotas(Protocol):
    """Limits of customers; implemented by `limits.quota`."""

    async def acquire(
        self, contract: contract_lib.Contract, request_id: str
    ) -> QuotaTicket:
        """Admits a request, or raises `LimitExceededError` at once."""


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Dependencies:
    """Parts of the node that serve callers.

    Attributes:
        may_serve: returns whether the node's state is fresh enough to serve.
        unready_reason: returns why the node is not ready; empty if the load
            balancer should route requests to it.
        body_reader: reads bodies within the memory that requests share.
        request_memory: what requests hold.
        connection_limit: limits the connections of callers.
        request_tracker: counts requests in progress; a drain waits for them.
    """

    contracts: Contracts
    quotas: Quotas
    generations: generations_lib.Generations
    plain_calls: plain_calls_lib.PlainCalls
    may_serve: Callable[[], bool]
    unready_reason: Callable[[], str]
    clock: ports.Clock
    settings: settings_lib.Settings
    decisions: decisions_lib.DecisionLog
    body_reader: body_reader_lib.BodyReader
    request_memory: request_memory_lib.RequestMemory
    connection_limit: connection_limit_lib.ConnectionLimit
    request_tracker: request_tracker_lib.RequestTracker = dataclasses.field(
        default_factory=request_tracker_lib.RequestTracker
    )
