"""Errors of the configuration log, besides those in `_dogwoodhinge.errors`."""

from _dogwoodhinge import errors
from _dogwoodhinge.config import contract


class ContractInvalidError(errors.ConfigError):
    """A contract does not match the schema."""


class ContractConflictError(errors.RevisionConflictError):
    """The contract changed after the operator read it.

    Attributes:
        base: the contract that the operator's change is based on, None if
            there was none or its change is no longer stored.
        in_force: the contract in force, None if there is none.
    """

    def __init__(
        self,
        message: str,
        *,
        expected: int,
        actual: int,
        base: contract.Contract | None,
        in_force: contract.Contract | None,
    ) -> None:
        super().__init__(message, expected=expected, actual=actual)
        self.base = base
        self.in_force = in_force


class KeyTakenError(errors.ConfigError):
    """An API key of the contract belongs to another customer."""


class ChangeIdReusedError(errors.ConfigError):
    """The change id was used before for a change with different content."""


class ChangeMissingError(errors.ConfigError):
    """The log no longer contains the next change."""


class MajorityNotRenewedError(errors.ConfigUnavailableError):
    """Too few sessions are renewed, so no change can be accepted."""
