"""Errors of the ownership layer."""

from _dogwoodhinge import errors


class OwnershipUnavailableError(errors.OwnershipError):
    """The table could not be reached to read or change ownership."""


class TakeoverLostError(errors.OwnershipError):
    """Another change of owner or of the membership took effect first."""
