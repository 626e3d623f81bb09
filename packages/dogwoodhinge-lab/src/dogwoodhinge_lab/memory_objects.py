"""An object store in memory, which tests switch off."""

import dataclasses
from typing import final

from dogwoodhinge import errors


@final
@dataclasses.dataclass(slots=True)
class MemoryObjects:
    """Implements `ports.ObjectStore`; several nodes may share one.

    Attributes:
        data: objects by key.
        down: every call fails.
    """

    data: dict[str, bytes] = dataclasses.field(default_factory=dict)
    down: bool = False

    async def get(self, key: str) -> bytes | None:
        """Reads an object."""
        self._check()
        return self.data.get(key)

    async def put(
        self, key: str, data: bytes, *, only_if_absent: bool = False
    ) -> None:
        """Writes an object."""
        self._check()
        if only_if_absent and key in self.data:
            raise errors.ObjectExistsError(key)
        self.data[key] = data

    async def list(self, prefix: str) -> tuple[str, ...]:
        """Lists keys with a prefix, in order."""
        self._check()
        return tuple(sorted(k for k in self.data if k.startswith(prefix)))

    async def delete(self, key: str) -> None:
        """Deletes an object."""
        self._check()
        self.data.pop(key, None)

    async def close(self) -> None:
        """Does nothing: the objects stay for the next client."""

    def _check(self) -> None:
        if self.down:
            raise errors.ObjectStoreError("the store is switched off")
