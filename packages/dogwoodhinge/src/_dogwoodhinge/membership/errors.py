"""Errors of the membership layer."""

from _dogwoodhinge import errors


class MembershipError(errors.NodeError):
    """Base class of the errors of the membership layer."""


class MembershipUnavailableError(MembershipError):
    """The table can't be reached; the local state may be stale."""


class MembershipConflictError(MembershipError):
    """Another node changed the rows concurrently; nothing was written."""
