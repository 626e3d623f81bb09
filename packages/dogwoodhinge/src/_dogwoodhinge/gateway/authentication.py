"""Finds the organisation that a caller's key belongs to.

Load pattern: thousands of requests a second, among them callers that try keys,
while the operator adds and withdraws keys of connected callers. Each request is
checked against the configuration that is applied when it arrives, so that an
open connection outlives no key. The keys are looked up by their digest: the
time of a lookup neither grows with their number nor tells how much of a guessed
key is right.
"""

from collections.abc import Callable
import dataclasses
import datetime
import hashlib
import hmac
from typing import final

from _dogwoodhinge.fleet import models
from dogwoodhinge import errors

# Part of a key's digest by which log lines tell keys apart.
LOGGED_DIGEST_LENGTH = 8


class KeyRejectedError(errors.DogwoodhingeError):
    """A request carries no key that an organisation holds.

    Attributes:
        reason: `missing`, `repeated` or `unknown`.
        key_digest: beginning of the digest of an unknown key.
    """

    def __init__(self, reason: str, key_digest: str = "") -> None:
        super().__init__(f"the key is {reason}")
        self.reason = reason
        self.key_digest = key_digest


class ConfigurationOutdatedError(errors.DogwoodhingeError):
    """Keys may have been withdrawn without this node knowing it."""

    def __init__(self, age_seconds: float) -> None:
        super().__init__(
            f"the configuration was last confirmed {age_seconds:.1f} s ago"
        )
        self.age_seconds = age_seconds


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class KeyHolder:
    """An organisation and the key that it was recognized by.

    Attributes:
        key_digest: beginning of the key's digest, for log lines.
    """

    organisation: models.Organisation
    key_digest: str


@final
class KeyIndex:
    """The keys of one configuration, by digest."""

    def __init__(self, organisations: tuple[models.Organisation, ...]) -> None:
        self.holders = {
            digest(key): (digest(key), organisation)
            for organisation in organisations
            for key in organisation.keys
        }

    def find(self, key: bytes) -> KeyHolder | None:
        """Returns who holds a key."""
        presented = digest(key)
        held, organisation = self.holders.get(presented, (b"", None))
        if organisation is None or not hmac.compare_digest(held, presented):
            return None
        return KeyHolder(
            organisation=organisation, key_digest=logged_digest(key)
        )


@final
class Authenticator:
    """Checks the key of each request.

    Attributes:
        confirmed_at: returns the loop time at which the configuration was last
            known to be the newest.
        max_age: returns the time after which keyed requests are turned away
            because the configuration may be outdated; None to serve them.
        rejected: number of requests rejected, by reason.
    """

    def __init__(
        self,
        *,
        confirmed_at: Callable[[], float],
        max_age: Callable[[], datetime.timedelta | None],
    ) -> None:
        self.confirmed_at = confirmed_at
        self.max_age = max_age
        self.indexed: models.Configuration | None = None
        self.index = KeyIndex(())
        self.rejected = {
            "missing": 0,
            "repeated": 0,
            "unknown": 0,
            "outdated": 0,
        }

    def authenticate(
        self,
        configuration: models.Configuration,
        route: models.Route,
        keys: tuple[bytes, ...],
        *,
        now: float,
    ) -> KeyHolder | None:
        """Returns who sent a request; None if its route asks for no key.

        Args:
            configuration: the configuration that is applied.
            route: the route of the request.
            keys: all keys that the request carries.
            now: loop time.

        Raises:
            KeyRejectedError: the request has no valid key.
            ConfigurationOutdatedError: the key may have been withdrawn.
        """
        if configuration.organisations is None or route.public:
            return None
        self._check_age(now)
        if not keys:
            raise self._rejection("missing")
        if len(keys) > 1:
            raise self._rejection("repeated")
        if self.indexed is not configuration:
            self.index = KeyIndex(configuration.organisations)
            self.indexed = configuration
        holder = self.index.find(keys[0])
        if holder is None:
            raise self._rejection("unknown", logged_digest(keys[0]))
        return holder

    def _check_age(self, now: float) -> None:
        max_age = self.max_age()
        if max_age is None:
            return
        age = now - self.confirmed_at()
        if age > max_age.total_seconds():
            self.rejected["outdated"] += 1
            raise ConfigurationOutdatedError(age)

    def _rejection(self, reason: str, key_digest: str = "") -> KeyRejectedError:
        self.rejected[reason] += 1
        return KeyRejectedError(reason, key_digest)


def digest(key: bytes) -> bytes:
    """Returns what a key is looked up by."""
    return hashlib.sha256(key).digest()


def logged_digest(key: bytes) -> str:
    """Returns what stands for a key in log lines."""
    return digest(key).hex()[:LOGGED_DIGEST_LENGTH]
