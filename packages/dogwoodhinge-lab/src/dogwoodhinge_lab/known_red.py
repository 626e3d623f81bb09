"""Reads the list of tests that fail for faults not mended yet."""

import pathlib

SEPARATOR = "|"
COMMENT = "#"


def load(path: pathlib.Path) -> dict[str, str]:
    """Returns the entries by the name of their test.

    Args:
        path: the list; a file that is not there has no entries.

    Raises:
        ValueError: an entry lacks one of its four parts.
    """
    if not path.exists():
        return {}
    entries = {}
    for line in path.read_text(encoding="utf-8").splitlines():
        if not line.strip() or line.startswith(COMMENT):
            continue
        parts = [part.strip() for part in line.split(SEPARATOR)]
        if len(parts) != 4 or not all(parts):
            raise ValueError(
                f"{path}: write 'test | command and seed | what was seen | "
                f"issue' instead of {line!r}"
            )
        entries[parts[0]] = line
    return entries
