"""Rendezvous hashing of adapters to engines."""

from collections.abc import Iterable
import functools
import hashlib

# Limits the memory of the cache. It is enough for the popular adapters of a
# small number of engines.
MAX_CACHED_SCORES = 2_000


def rank(key: str, names: Iterable[str]) -> list[str]:
    """Returns the names in rendezvous order, the best one first."""
    return sorted(names, key=lambda name: (-_score(key, name), name))


def hash_fraction(key: str) -> float:
    """Returns a pseudorandom number from 0 to 1 that depends on the key."""
    return _hash(key) / 2**64


@functools.lru_cache(maxsize=MAX_CACHED_SCORES)
def _score(key: str, name: str) -> int:
    return _hash(f"{key}\n{name}")


def _hash(text: str) -> int:
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")
