"""Ends of a request other than an engine's answer."""

import datetime

from dogwoodhinge import errors


class GatewayError(errors.DogwoodhingeError):
    """A request got no answer from an engine."""


class NotRunError(GatewayError):
    """One engine did not run the request; another may be asked.

    Attributes:
        misdirected: the engine (or the adapter on it) is not what was meant.
        unreachable: no connection could be opened or used.
    """

    def __init__(
        self,
        message: str,
        *,
        misdirected: bool = False,
        unreachable: bool = False,
    ) -> None:
        super().__init__(message)
        self.misdirected = misdirected
        self.unreachable = unreachable


class OutcomeUnknownError(GatewayError):
    """The request was sent and may have run; its answer did not arrive."""


class RefusedError(GatewayError):
    """The request is refused and will not run.

    Attributes:
        reason: short name for logs and metrics.
        retry_after: when there will be room.
        final: there will be none while the request can wait.
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
