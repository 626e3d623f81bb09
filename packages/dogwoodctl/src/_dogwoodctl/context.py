"""Dependencies that are passed to each command."""

import dataclasses
from typing import IO, final

from _dogwoodctl import client as client_lib
from _dogwoodctl import printing
from _dogwoodctl import settings as settings_lib
from dogwoodhinge import ports


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Context:
    """Dependencies of a command.

    Attributes:
        settings: flags and environment variables.
        client: client of the nodes' operator ports.
        printer: writes the results.
        clock: source of time.
        stdin: standard input.
    """

    settings: settings_lib.Settings
    client: client_lib.OperatorClient
    printer: printing.Printer
    clock: ports.Clock
    stdin: IO[str]
