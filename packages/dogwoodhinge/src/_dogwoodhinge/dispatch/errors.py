"""Errors of dispatch; `_dogwoodhinge.errors` has the shared ones."""

import datetime

from _dogwoodhinge import errors


class IntentError(errors.DispatchError):
    """A non-idempotent call can't go ahead under its idempotency key."""


class KeyReusedError(IntentError):
    """The key belongs to a different request; this one was not run."""


class InProgressError(IntentError):
    """Another attempt under the key may still be running.

    Attributes:
        retry_after: time until its outcome is known.
    """

    def __init__(
        self, message: str, *, retry_after: datetime.timedelta
    ) -> None:
        super().__init__(message)
        self.retry_after = retry_after


class PastOutcomeUnknownError(IntentError):
    """An earlier attempt under the key may have run; it is not retried."""


class AnswerTooLargeError(IntentError):
    """The call ran, but its answer was too large to store.

    Attributes:
        status: HTTP status of the service's answer.
    """

    def __init__(self, message: str, *, status: int) -> None:
        super().__init__(message)
        self.status = status


class IntentsUnavailableError(IntentError):
    """The intent could not be written to the table; the call was not run."""


class DeadlinePassedError(errors.OutcomeUnknownError):
    """The caller's deadline passed while the request was running."""


class ConvictedInRunError(errors.QuarantinedError):
    """The request ran, and this run convicted it of crashing engines."""


class UnservableRequestError(errors.RefusedError):
    """No engine can run the request, now or later; it was not run."""
