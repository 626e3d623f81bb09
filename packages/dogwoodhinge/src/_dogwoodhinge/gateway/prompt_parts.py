"""The parts that a prompt shares with others, and which of them are sound.

Load pattern: prompts with one part in common crash each engine that begins to
answer them. Nearly all other prompts share their first part, and are in flight
at each of these crashes.
"""

import asyncio
from collections.abc import Collection
import datetime
import hashlib
import re
from typing import final

from _dogwoodhinge.quarantine import records

# Parts of one prompt that are told apart; the last one stands for all further.
MAX_PARTS = 64

PLAIN_ID = re.compile(r"[0-9a-z]{1,64}")
DIGEST_BYTES = 16

# Popular parts succeed many times a second and stay among the latest.
MAX_SOUND_PARTS = 1_000

# Requests with several suspects wait this long for requests that have only one
# of them, which show more.
SOLE_CLAIM_WAIT = datetime.timedelta(seconds=2)

# A wait that began longer ago was for an earlier crash.
MAX_SOLE_CLAIM_WAIT = datetime.timedelta(seconds=30)
MAX_WAITING_SUSPECTS = 1_000


def fingerprints(shared_parts: tuple[str, ...]) -> tuple[str, ...]:
    """Returns the fingerprint of each different part.

    Args:
        shared_parts: ids of the parts, as callers have sent them.
    """
    told_apart = join_further_parts(shared_parts)
    return tuple(dict.fromkeys(map(_fingerprint, told_apart)))


def join_further_parts(shared_parts: tuple[str, ...]) -> tuple[str, ...]:
    """Returns the parts that are told apart, the last for all further ones."""
    if len(shared_parts) <= MAX_PARTS:
        return shared_parts
    rest = ",".join(shared_parts[MAX_PARTS - 1 :])
    return (*shared_parts[: MAX_PARTS - 1], rest)


def _fingerprint(part_id: str) -> str:
    if PLAIN_ID.fullmatch(part_id):
        return records.PART_PREFIX + part_id
    digest = hashlib.blake2b(part_id.encode(), digest_size=DIGEST_BYTES)
    return f"{records.PART_PREFIX}~{digest.hexdigest()}"


@final
class SoundParts:
    """The parts of prompts that have run to completion at this node lately.

    Attributes:
        succeeded_at: loop time of the latest success, by fingerprint, in order.
    """

    def __init__(self) -> None:
        self.succeeded_at: dict[str, float] = {}

    def add(self, parts: Collection[str]) -> None:
        """Records that a prompt with these parts ran to completion."""
        now = asyncio.get_running_loop().time()
        for part in parts:
            self.succeeded_at.pop(part, None)
            self.succeeded_at[part] = now
        while len(self.succeeded_at) > MAX_SOUND_PARTS:
            del self.succeeded_at[next(iter(self.succeeded_at))]

    def __contains__(self, part: str) -> bool:
        return part in self.succeeded_at

    def succeeded_since(self, part: str, since: float) -> bool:
        """Returns whether a part has succeeded after a loop time."""
        return self.succeeded_at.get(part, float("-inf")) > since


@final
class SoleClaims:
    """Decides when a request may be claimed for several suspects at once.

    A crash under such a claim does not tell which of them is the cause.
    Suspects of which each comes without the others are claimed one by one.

    Attributes:
        waiting_since: loop time at which a suspect was first held back.
    """

    def __init__(self) -> None:
        self.waiting_since: dict[str, float] = {}

    def may_claim_together(self, suspects: Collection[str]) -> bool:
        """Returns whether all suspects have waited for claims of their own.

        Args:
            suspects: fingerprints of the suspects of one request.
        """
        now = asyncio.get_running_loop().time()
        if len(self.waiting_since) > MAX_WAITING_SUSPECTS:
            self.waiting_since.clear()
        waits = [self._waited(suspect, now) for suspect in suspects]
        return min(waits) >= SOLE_CLAIM_WAIT.total_seconds()

    def _waited(self, suspect: str, now: float) -> float:
        since = self.waiting_since.setdefault(suspect, now)
        if now - since > MAX_SOLE_CLAIM_WAIT.total_seconds():
            self.waiting_since[suspect] = since = now
        return now - since
