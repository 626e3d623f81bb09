"""Headers of a message, kept in about as many bytes as were received.

Load pattern: requests with thousands of short headers, each of which would take
a hundred times its size as objects for as long as its request runs.
"""

from collections.abc import Iterable, Iterator
import functools
import re
from typing import TypeAlias, final

Header: TypeAlias = tuple[bytes, bytes]

LINE_END = b"\r\n"
SEPARATOR = b":"


@final
class PackedHeaders:
    """Names and values in order; both are made anew with each use.

    Names contain no colon and values no line end: the parser rejects others.
    """

    __slots__ = ("packed",)

    def __init__(self, items: Iterable[Header]) -> None:
        self.packed = LINE_END.join(
            name + SEPARATOR + value for name, value in items
        )

    def __iter__(self) -> Iterator[Header]:
        if not self.packed:
            return
        for line in self.packed.split(LINE_END):
            name, _, value = line.partition(SEPARATOR)
            yield name, value

    def __len__(self) -> int:
        return self.packed.count(LINE_END) + 1 if self.packed else 0

    def __eq__(self, other: object) -> bool:
        if isinstance(other, PackedHeaders):
            return self.packed == other.packed
        return NotImplemented

    def __hash__(self) -> int:
        return hash(self.packed)

    def __repr__(self) -> str:
        return f"PackedHeaders({list(self)!r})"

    @property
    def size(self) -> int:
        """Bytes that they take."""
        return len(self.packed)

    def first(self, name: bytes) -> bytes | None:
        """Returns the first value of a header, whatever the case of its name.

        Args:
            name: the name, in lower case.
        """
        found = _line_pattern(name).search(self.packed)
        return None if found is None else found[1]


@functools.lru_cache(maxsize=64)
def _line_pattern(name: bytes) -> re.Pattern[bytes]:
    return re.compile(
        rb"(?:\A|\r\n)" + re.escape(name) + rb":([^\r\n]*)", re.IGNORECASE
    )
