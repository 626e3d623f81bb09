"""Errors that end a request without a response from an engine."""

import datetime
from typing import ClassVar

from dogwoodhinge import errors


class GatewayError(errors.DogwoodhingeError):
    """A request got no response from an engine."""


class NotRunError(GatewayError):
    """One engine did not run the request; it may be sent to another one.

    Attributes:
        misdirected: the address belongs to another engine, or the adapter is
            not loaded there.
        unreachable: no connection could be opened or used.
        paused: the engine wants no requests for a while.
        sent: whether the request was sent to the engine.
    """

    def __init__(
        self,
        message: str,
        *,
        misdirected: bool = False,
        unreachable: bool = False,
        paused: bool = False,
        sent: bool = True,
    ) -> None:
        super().__init__(message)
        self.misdirected = misdirected
        self.unreachable = unreachable
        self.paused = paused
        self.sent = sent

    @property
    def reached_engine(self) -> bool:
        """True if the engine received the request and rejected it."""
        return self.sent and not self.unreachable


class OutcomeUnknownError(GatewayError):
    """The request was sent and may have run, without a valid response.

    Attributes:
        engine_end: short name for logs. It starts with `left_` if this node
            stopped waiting while the engine's connection was open.
        ended_by_engine: whether the engine closed or reset the connection.
    """

    engine_end: ClassVar[str] = "no_valid_response"
    ended_by_engine = False


class RequestRejectedError(GatewayError):
    """The request is rejected and will not run.

    Attributes:
        reason: short name for logs and metrics.
        retry_after: delay after which a retry may succeed.
        final: whether no slot becomes free before the request times out.
    """

    def __init__(
        self,
        reason: str,
        *,
        retry_after: datetime.timedelta,
        final: bool = False,
    ) -> None:
        super().__init__(reason)
        self.reason = reason
        self.retry_after = retry_after
        self.final = final
