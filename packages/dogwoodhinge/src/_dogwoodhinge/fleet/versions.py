"""The newest declared version of each adapter."""

import dataclasses
import datetime
import math
from typing import final

from _dogwoodhinge.fleet import models

# Time for which an older version may still serve after a newer one was
# declared, if the newer one cannot be loaded. The operator's limit is 5 s from
# the declaration; the difference covers the propagation of the declaration to
# this node and of the request to the engine.
OLD_VERSION_GRACE = datetime.timedelta(seconds=2.5)

# Declaration time of versions that a process finds at startup: it cannot know
# how old they are, so they get no grace period.
LONG_AGO = -math.inf


@final
@dataclasses.dataclass(frozen=True, slots=True)
class DeclaredVersion:
    """A declared version, and the loop time when this node learned of it."""

    version: int
    learned_at: float


@final
class Versions:
    """Declared versions by adapter."""

    def __init__(self) -> None:
        self.declared: dict[models.AdapterKey, DeclaredVersion] = {}

    def declare(self, key: models.AdapterKey, version: int, now: float) -> bool:
        """Records a declaration; returns False if it is not newer.

        Args:
            key: the adapter.
            version: its version.
            now: loop time at which it was declared, or `LONG_AGO`.
        """
        known = self.declared.get(key)
        if known is not None and known.version >= version:
            return False
        self.declared[key] = DeclaredVersion(version, now)
        return True

    def newest(self, key: models.AdapterKey) -> int | None:
        """Returns the newest declared version, or None without any."""
        known = self.declared.get(key)
        return None if known is None else known.version

    def lowest_allowed(self, key: models.AdapterKey, now: float) -> int:
        """Returns the oldest version that a new request may use; 0 for any."""
        known = self.declared.get(key)
        if known is None:
            return 0
        grace = OLD_VERSION_GRACE.total_seconds()
        return 0 if now - known.learned_at < grace else known.version
