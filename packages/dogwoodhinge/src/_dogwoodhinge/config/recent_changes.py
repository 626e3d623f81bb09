"""Buffer of the newest changes for peers that can't reach the table."""

import collections
from typing import final

from _dogwoodhinge.config import state
from _dogwoodhinge.peer import peer_pb2

MAX_CHANGES = 256
MAX_BYTES = 1_000_000
MAX_REPLY_BYTES = 256_000


@final
class RecentChanges:
    """The newest applied changes, without a gap.

    Attributes:
        changes: the compressed changes, oldest first.
        size_bytes: total size of the compressed changes.
    """

    def __init__(self) -> None:
        self.changes: collections.deque[state.CompressedChange] = (
            collections.deque()
        )
        self.size_bytes = 0

    def add(self, change: state.CompressedChange) -> None:
        """Adds the newest change and drops the oldest ones above the limits."""
        if self.changes and change.revision != self.changes[-1].revision + 1:
            self.clear()
        self.changes.append(change)
        self.size_bytes += len(change.compressed)
        while len(self.changes) > MAX_CHANGES or self.size_bytes > MAX_BYTES:
            self.size_bytes -= len(self.changes.popleft().compressed)

    def clear(self) -> None:
        """Drops all changes, as the next one doesn't follow them."""
        self.changes.clear()
        self.size_bytes = 0

    def after(self, revision: int, *, limit: int) -> list[peer_pb2.Change]:
        """Returns the changes that follow a revision, without a gap.

        The list is empty if the change after the revision was dropped or is
        not known.
        """
        found: list[peer_pb2.Change] = []
        reply_bytes = 0
        if not self.changes or self.changes[0].revision > revision + 1:
            return found
        for change in self.changes:
            if change.revision <= revision:
                continue
            body = change.body()
            reply_bytes += len(body)
            if len(found) >= limit or (found and reply_bytes > MAX_REPLY_BYTES):
                break
            found.append(
                peer_pb2.Change(
                    revision=change.revision,
                    change_id=change.change_id,
                    body=body,
                )
            )
        return found
