"""Fetches changes from peers for a node that can't reach the table."""

from collections.abc import Callable, Sequence
import dataclasses
import datetime
import random
from typing import Protocol, final

import pydantic

from _dogwoodhinge import errors
from _dogwoodhinge.config import reader
from _dogwoodhinge.config import records
from _dogwoodhinge.peer import peer_pb2

PEERS_PER_POLL = 2
MAX_CHANGES_PER_PAGE = 100
PEER_TIMEOUT = datetime.timedelta(seconds=1)

# A peer's head revision counts as current for this long after the peer read it
# from the table.
HEAD_MAX_AGE = datetime.timedelta(seconds=3)


class PeerCaller(Protocol):
    """The part of `peer.client.PeerClient` that is used here."""

    async def call(
        self,
        address: str,
        method: str,
        request: peer_pb2.FetchChangesRequest,
        *,
        timeout: datetime.timedelta,
    ) -> peer_pb2.FetchChangesReply:
        """Makes one call and returns the reply."""


@final
@dataclasses.dataclass(frozen=True, slots=True)
class PeerChanges:
    """A page of changes fetched from a peer.

    Attributes:
        changes: changes that follow the requested revision, without a gap.
        head_revision: newest revision that the peer knows of.
        fresh: whether the peer read the head from the table within
            `HEAD_MAX_AGE`.
    """

    changes: tuple[records.ChangeRecord, ...]
    head_revision: int
    fresh: bool


@final
class PeerSource:
    """Fetches changes from randomly chosen peers."""

    def __init__(
        self,
        *,
        peers: Callable[[], Sequence[str]],
        client: PeerCaller,
        rng: random.Random,
    ) -> None:
        self.peers = peers
        self.client = client
        self.rng = rng

    def choose(self) -> list[str]:
        """Returns the addresses of randomly chosen peers."""
        addresses = list(self.peers())
        return self.rng.sample(addresses, min(PEERS_PER_POLL, len(addresses)))

    async def fetch(self, address: str, *, after: int) -> PeerChanges:
        """Fetches the changes after a revision from a peer.

        Raises:
            PeerError: the call failed.
            ConfigError: the reply has a gap or can't be decoded.
        """
        request = peer_pb2.FetchChangesRequest(
            after_revision=after, limit=MAX_CHANGES_PER_PAGE
        )
        reply = await self.client.call(
            address, "FetchChanges", request, timeout=PEER_TIMEOUT
        )
        try:
            changes = tuple(
                records.decode_change(change.body) for change in reply.changes
            )
        except pydantic.ValidationError as error:
            raise errors.ConfigUnavailableError(
                f"peer {address} sent an invalid change: {error}"
            ) from error
        reader.require_contiguous(changes, after=after)
        return PeerChanges(changes, reply.head_revision, reply.fresh)
