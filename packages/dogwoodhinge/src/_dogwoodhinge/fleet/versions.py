"""The newest declared version of each adapter."""

import dataclasses
import datetime
import math
from typing import final

from _dogwoodhinge.fleet import models

# An adapter's older version may still be used for this long after a newer one
# was declared, if the newer one can't be loaded. The operator's bound is 5 s
# from the declaration; what is left covers the way here and the request's
# own way to the engine.
OLD_VERSION_GRACE = datetime.timedelta(seconds=2.5)

# For versions that were found rather than seen to be declared: a process that
# has just started can't know how old they are.
LONG_AGO = -math.inf


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Declared:
    """A declared version and when this node learnt of it (loop time)."""

    version: int
    learnt_at: float


@final
class Versions:
    """Declared versions by adapter."""

    def __init__(self) -> None:
        self.declared: dict[models.AdapterKey, Declared] = {}

    def declare(self, key: models.AdapterKey, version: int, now: float) -> bool:
        """Takes a declaration; False when it is not newer.

        Args:
            key: the adapter.
            version: its version.
            now: loop time at which it was declared, or `LONG_AGO`.
        """
        known = self.declared.get(key)
        if known is not None and known.version >= version:
            return False
        self.declared[key] = Declared(version, now)
        return True

    def newest(self, key: models.AdapterKey) -> int | None:
        """Returns the declared version; None when none was declared."""
        known = self.declared.get(key)
        return None if known is None else known.version

    def lowest_allowed(self, key: models.AdapterKey, now: float) -> int:
        """Returns the oldest version that a request may still begin on."""
        known = self.declared.get(key)
        if known is None:
            return 0
        grace = OLD_VERSION_GRACE.total_seconds()
        return 0 if now - known.learnt_at < grace else known.version
