"""Errors of engine owners."""

from typing import final

from _dogwoodhinge import errors


class OwnerError(errors.NodeError):
    """Base class of the errors of an engine owner."""


@final
class PlacementError(OwnerError):
    """The state of the adapter slots does not allow a load or eviction."""


@final
class LoadFailedError(OwnerError):
    """An adapter could not be loaded."""
