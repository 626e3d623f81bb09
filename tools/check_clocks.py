"""Checks that only the modules listed here read the time of day.

The time of day may jump by seconds and differs between hosts. Elapsed time is
measured with the steady clock.
"""

import ast
import pathlib
import sys

# Modules that may read it, and what for.
ALLOWED = {
    "_dogwoodhinge/clock.py": "the clock itself",
    "_dogwoodhinge/event_log.py": "time in log lines",
    "_dogwoodhinge/logs.py": "time in log lines",
    "_dogwoodhinge/decisions.py": "time in decision lines",
    "_dogwoodhinge/config/append.py": "time in the history of contracts",
    "_dogwoodhinge/dispatch/intents.py": "expiry in rows that nodes share",
    "_dogwoodhinge/quarantine/broadcast.py": "time in messages, not compared",
    "_dogwoodhinge/quarantine/record_table.py": "versions of rows that grow",
}

TIME_OF_DAY_CALLS = frozenset(
    {"now", "utcnow", "today", "time", "time_ns", "fromtimestamp"}
)


def reads_time_of_day(node: ast.AST) -> bool:
    """Returns whether a node calls a clock that may jump."""
    if not isinstance(node, ast.Call):
        return False
    function = node.func
    if not isinstance(function, ast.Attribute):
        return False
    owner = ast.unparse(function.value)
    if function.attr in ("time", "time_ns"):
        return owner == "time"
    return function.attr in TIME_OF_DAY_CALLS and owner.rpartition(".")[2] in (
        "clock",
        "datetime",
        "date",
    )


def find_reads(path: pathlib.Path) -> list[str]:
    """Returns a message for each read in a module that is not listed."""
    if any(path.as_posix().endswith(module) for module in ALLOWED):
        return []
    tree = ast.parse(path.read_text(encoding="utf-8"))
    return [
        f"{path}:{node.lineno}: reads the time of day; use the steady clock, "
        "or list the module in tools/check_clocks.py"
        for node in ast.walk(tree)
        if isinstance(node, ast.Call) and reads_time_of_day(node)
    ]


def main(folders: list[str]) -> int:
    """Prints all messages; returns 1 if there are any."""
    messages = [
        message
        for folder in folders
        for path in sorted(pathlib.Path(folder).rglob("*.py"))
        for message in find_reads(path)
    ]
    print("\n".join(messages), end="\n" if messages else "")
    return 1 if messages else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
