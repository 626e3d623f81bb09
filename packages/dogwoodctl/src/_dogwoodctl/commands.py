"""The table of commands."""

from collections.abc import Awaitable, Callable
import dataclasses
from typing import final

from _dogwoodctl import contracts
from _dogwoodctl import errors
from _dogwoodctl import fleet
from _dogwoodctl import inspection
from _dogwoodctl import keys
from _dogwoodctl import log_explanation


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Command:
    """A command.

    Attributes:
        words: what it is called by, e.g. `contract apply`.
        argument: what it takes, e.g. `FILE`; empty for none.
        run: carries it out with a context and the argument, if it takes one.
        needs_key: it asks nodes, so it needs the operator key.
    """

    words: str
    argument: str
    run: Callable[..., Awaitable[None]]
    needs_key: bool = True

    @property
    def summary(self) -> str:
        """The first line of the function's documentation."""
        return (self.run.__doc__ or "").partition("\n")[0]


COMMANDS = (
    Command("contract apply", "FILE", contracts.apply),
    Command("contract get", "CUSTOMER", contracts.get),
    Command("contract list", "", contracts.list_all),
    Command("contract diff", "FILE", contracts.diff),
    Command("contract history", "CUSTOMER", contracts.history),
    Command("contract delete", "CUSTOMER", contracts.delete),
    Command("contract validate", "FILE", contracts.validate, needs_key=False),
    Command("status", "", inspection.status),
    Command("endpoints", "", inspection.endpoints),
    Command("explain", "REQUEST_ID", inspection.explain),
    Command(
        "explain-log",
        "REQUEST_ID",
        log_explanation.explain_log,
        needs_key=False,
    ),
    Command("fleet status", "", fleet.status, needs_key=False),
    Command("fleet engines", "", fleet.engines, needs_key=False),
    Command("fleet placement", "", fleet.placement, needs_key=False),
    Command("fleet check", "FILE", fleet.check, needs_key=False),
    Command("key hash", "", keys.hash_key, needs_key=False),
)


def find(arguments: list[str]) -> tuple[Command, list[str]]:
    """Returns the command that arguments name, and what it takes.

    Raises:
        UsageError: there is no such command, or it takes something else.
    """
    for command in COMMANDS:
        words = command.words.split()
        if arguments[: len(words)] != words:
            continue
        rest = arguments[len(words) :]
        if len(rest) != bool(command.argument) or "" in rest:
            usage = f"dogwoodctl {command.words} {command.argument}".rstrip()
            raise errors.UsageError(
                f"{command.words}: given {rest}; usage: {usage}"
            )
        return command, rest
    given = " ".join(arguments) or "(none)"
    raise errors.UsageError(
        f"unknown command: {given}; dogwoodctl --help lists the commands"
    )
