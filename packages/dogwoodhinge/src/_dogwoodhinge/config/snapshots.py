"""Snapshots of the configuration in the object store.

The key of a snapshot contains its revision and the digest of its data, so that
a truncated or unrelated object is never used as a snapshot.
"""

import hashlib
import re
from typing import final

import pydantic

from _dogwoodhinge import errors
from _dogwoodhinge.config import records
from dogwoodhinge import errors as public_errors
from dogwoodhinge import ports

PREFIX = "config/snapshots/"
MAX_SNAPSHOTS = 3

_KEY_PATTERN = re.compile(
    re.escape(PREFIX) + r"(?P<revision>\d{20})-(?P<digest>[0-9a-f]{64})\.json"
)


class Snapshot(pydantic.BaseModel):
    """All contracts in force at a revision.

    Attributes:
        revision: revision of the newest change that is included.
        changes: for each contract in force the change that created it, sorted
            by revision.
    """

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True, strict=True)

    revision: int = pydantic.Field(ge=1)
    changes: tuple[records.ChangeRecord, ...]


@final
class SnapshotStore:
    """Reads and writes snapshots."""

    def __init__(self, *, objects: ports.ObjectStore) -> None:
        self.objects = objects

    async def write(self, snapshot: Snapshot) -> None:
        """Writes a snapshot and deletes all but the newest ones.

        Raises:
            ConfigUnavailableError: the object store failed.
        """
        data = snapshot.model_dump_json().encode()
        try:
            await self.objects.put(_make_key(snapshot.revision, data), data)
            keys = await self._list()
            for key in keys[MAX_SNAPSHOTS:]:
                await self.objects.delete(key)
        except public_errors.ObjectStoreError as error:
            raise _translate(error) from error

    async def newest(self) -> Snapshot | None:
        """Returns the newest valid snapshot, None if there is none.

        Raises:
            ConfigUnavailableError: the object store failed.
        """
        try:
            for key in await self._list():
                snapshot = _decode(key, await self.objects.get(key))
                if snapshot is not None:
                    return snapshot
        except public_errors.ObjectStoreError as error:
            raise _translate(error) from error
        return None

    async def _list(self) -> list[str]:
        """Returns the keys of the snapshots, newest first."""
        keys = await self.objects.list(PREFIX)
        found = [key for key in keys if _KEY_PATTERN.fullmatch(key)]
        return sorted(found, reverse=True)


def _make_key(revision: int, data: bytes) -> str:
    digest = hashlib.sha256(data).hexdigest()
    return f"{PREFIX}{revision:020d}-{digest}.json"


def _decode(key: str, data: bytes | None) -> Snapshot | None:
    match = _KEY_PATTERN.fullmatch(key)
    if match is None or data is None:
        return None
    if hashlib.sha256(data).hexdigest() != match["digest"]:
        return None
    try:
        snapshot = Snapshot.model_validate_json(data)
    except pydantic.ValidationError:
        return None
    return snapshot if snapshot.revision == int(match["revision"]) else None


def _translate(
    error: public_errors.ObjectStoreError,
) -> errors.ConfigUnavailableError:
    return errors.ConfigUnavailableError(f"the object store failed: {error}")
