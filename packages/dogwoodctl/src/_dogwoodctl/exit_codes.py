"""Exit codes of `dogwoodctl`, documented in docs/configuration.md."""

import enum


class ExitCode(enum.IntEnum):
    """Exit code of a command."""

    OK = 0
    UNEXPECTED = 1
    USAGE = 2
    INVALID = 3
    CONFLICT = 4
    UNREACHABLE = 5
    WAIT_TIMED_OUT = 6
    NOT_FOUND = 7
