"""Rendezvous hashing: assigns each key to one of several names.

Adding or removing a name moves only the keys assigned to that name.
"""

from collections.abc import Iterable
import hashlib
from typing import Protocol

SCORE_BYTES = 8


class ZoneMember(Protocol):
    """A member with an id, in an availability zone."""

    @property
    def session_id(self) -> str:
        """Unique id of the member."""

    @property
    def zone(self) -> str:
        """Availability zone."""

    @property
    def region(self) -> str:
        """Region."""


def score(key: str, name: str) -> int:
    """Returns the score of a name for a key; the highest score wins."""
    digest = hashlib.blake2b(
        f"{key}\0{name}".encode(), digest_size=SCORE_BYTES
    ).digest()
    return int.from_bytes(digest, "big")


def rank(key: str, names: Iterable[str]) -> list[str]:
    """Returns the names by descending score, the responsible one first."""
    return sorted(names, key=lambda name: (-score(key, name), name))


def choose(key: str, names: Iterable[str]) -> str:
    """Returns the responsible name.

    Raises:
        ValueError: there are no names.
    """
    return min(names, key=lambda name: (-score(key, name), name))


def rank_nearest(
    key: str, members: Iterable[ZoneMember], *, zone: str, region: str
) -> list[str]:
    """Ranks the members that are nearest to an availability zone.

    Args:
        key: the key that is assigned.
        members: the candidates.
        zone: availability zone; if it has members, only they are ranked.
        region: if the zone has no members, only this region's are ranked; if
            it has none either, all are.

    Returns:
        The ids of the nearest members, the responsible one first.
    """
    by_distance: dict[int, list[str]] = {}
    for member in members:
        if member.region != region:
            distance = 2
        else:
            distance = 0 if member.zone == zone else 1
        by_distance.setdefault(distance, []).append(member.session_id)
    if not by_distance:
        return []
    return rank(key, by_distance[min(by_distance)])
