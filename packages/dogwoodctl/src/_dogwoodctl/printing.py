"""Prints results as text or JSON."""

from collections.abc import Sequence
import json
from typing import IO, Any, final


@final
class Printer:
    """Writes a command's results.

    Attributes:
        out: stream that results are written to.
        as_json: True to print each result as one JSON document.
    """

    def __init__(self, *, out: IO[str], as_json: bool) -> None:
        self.out = out
        self.as_json = as_json

    def print_result(self, members: dict[str, Any], text: str) -> None:
        """Prints a result: the members as JSON, or the text."""
        if self.as_json:
            text = json.dumps(members, indent=2)
        if text:
            self.out.write(text.rstrip("\n") + "\n")


def format_table(header: Sequence[str], rows: Sequence[Sequence[Any]]) -> str:
    """Returns a header and rows as text, in aligned columns."""
    lines = [[str(cell) for cell in row] for row in (header, *rows)]
    widths = [max(len(line[i]) for line in lines) for i in range(len(header))]
    formatted = (
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )
    return "\n".join(formatted)
