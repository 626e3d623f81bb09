"""Errors of the command line, each with the exit code of the process."""

from typing import Any

from _dogwoodctl import exit_codes
from dogwoodhinge import errors as public_errors


class CommandError(public_errors.DogwoodhingeError):
    """Base class of the errors that end a command.

    Attributes:
        exit_code: exit code of the process.
        details: additional members of the JSON output.
    """

    exit_code = exit_codes.ExitCode.UNEXPECTED

    def __init__(
        self, message: str, *, details: dict[str, Any] | None = None
    ) -> None:
        super().__init__(message)
        self.details = details or {}


class UsageError(CommandError):
    """The command line or a setting is invalid."""

    exit_code = exit_codes.ExitCode.USAGE


class InvalidError(CommandError):
    """A contract or a request is invalid."""

    exit_code = exit_codes.ExitCode.INVALID


class ConflictError(CommandError):
    """Another operator changed the contract first."""

    exit_code = exit_codes.ExitCode.CONFLICT


class UnreachableError(CommandError):
    """No node or platform service responded; nothing was changed."""

    exit_code = exit_codes.ExitCode.UNREACHABLE


class OutcomeUnknownError(CommandError):
    """It is unknown whether the change was applied."""

    exit_code = exit_codes.ExitCode.UNREACHABLE


class WaitTimedOutError(CommandError):
    """The revision is not yet in force on every node."""

    exit_code = exit_codes.ExitCode.WAIT_TIMED_OUT


class NotFoundError(CommandError):
    """The contract or other resource does not exist."""

    exit_code = exit_codes.ExitCode.NOT_FOUND
