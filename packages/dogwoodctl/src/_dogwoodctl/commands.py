"""Table of the commands of `dogwoodctl`."""

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
    """A command of `dogwoodctl`.

    Attributes:
        name: one or more words, such as `contract apply`.
        argument: placeholder of its argument, such as `FILE`; empty if it
            takes none.
        run: function that executes it, called with a context and the argument
            if there is one.
        needs_key: True if it sends requests to nodes, which require the
            operator key.
    """

    name: str
    argument: str
    run: Callable[..., Awaitable[None]]
    needs_key: bool = True

    @property
    def summary(self) -> str:
        """First line of the docstring of `run`, shown by `--help`."""
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
    Command("check", "FILE", fleet.check_file, needs_key=False),
    Command("fleet status", "", fleet.status, needs_key=False),
    Command("fleet engines", "", fleet.engines, needs_key=False),
    Command("fleet placement", "", fleet.placement, needs_key=False),
    Command("fleet check", "FILE", fleet.check, needs_key=False),
    Command("key hash", "", keys.hash_key, needs_key=False),
)


def find_command(arguments: list[str]) -> tuple[Command, list[str]]:
    """Returns the command that the arguments name, and its operands.

    Raises:
        UsageError: the command is unknown, or the number of operands is
            wrong.
    """
    for command in COMMANDS:
        words = command.name.split()
        if arguments[: len(words)] != words:
            continue
        operands = arguments[len(words) :]
        if len(operands) != bool(command.argument) or "" in operands:
            usage = f"dogwoodctl {command.name} {command.argument}".rstrip()
            raise errors.UsageError(
                f"{command.name}: got arguments {operands}; usage: {usage}"
            )
        return command, operands
    given = " ".join(arguments) or "(none)"
    raise errors.UsageError(
        f"unknown command: {given}; dogwoodctl --help lists the commands"
    )
