"""Internal errors; each layer translates those of the layer below."""

import datetime

from dogwoodhinge import errors as public_errors


class NodeError(public_errors.DogwoodhingeError):
    """Base class of the node's errors."""


class SettingsError(NodeError):
    """A setting is missing or has an invalid value."""


class KernelError(NodeError):
    """No plug-in handles the value of a setting."""


class PeerError(NodeError):
    """A call to a peer failed."""


class PeerUnreachableError(PeerError):
    """The call did not reach the peer."""


class PeerOutcomeUnknownError(PeerError):
    """The peer may have executed the call."""


class ConfigError(NodeError):
    """A configuration change was not accepted."""


class RevisionConflictError(ConfigError):
    """Another operator's change was committed first.

    Attributes:
        expected: revision that the operator's change was based on.
        actual: revision in force.
    """

    def __init__(self, message: str, *, expected: int, actual: int) -> None:
        super().__init__(message)
        self.expected = expected
        self.actual = actual


class ConfigUnavailableError(ConfigError):
    """The table can't be reached; the change is not in force."""


class ConfigOutcomeUnknownError(ConfigError):
    """It is not known yet whether the change is in force."""


class AdmissionError(NodeError):
    """A request was not admitted and was not run."""


class RefusedError(AdmissionError):
    """The node rejected the request; the caller may retry.

    Attributes:
        retry_after: delay before a retry; None if a retry would not help.
    """

    def __init__(
        self, message: str, *, retry_after: datetime.timedelta | None = None
    ) -> None:
        super().__init__(message)
        self.retry_after = retry_after


class LimitExceededError(RefusedError):
    """The customer has reached a limit of its contract."""


class QuarantinedError(AdmissionError):
    """The request is quarantined because it crashes engines.

    Attributes:
        retry_after: time until the request is accepted again, unchanged.
    """

    def __init__(
        self,
        message: str,
        *,
        retry_after: datetime.timedelta = datetime.timedelta(0),
    ) -> None:
        super().__init__(message)
        self.retry_after = retry_after


class DispatchError(NodeError):
    """An admitted request did not complete."""


class NotRunError(DispatchError):
    """The request was certainly not sent, or the endpoint rejected it."""


class OutcomeUnknownError(DispatchError):
    """The endpoint may have run the request."""


class OwnershipError(NodeError):
    """An order is not allowed because ownership is lost or uncertain."""
