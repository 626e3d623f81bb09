"""Tests of the check of callers' keys."""

import dataclasses
import datetime
import hashlib
import math

import pytest

from _dogwoodhinge.fleet import models
from _dogwoodhinge.gateway import authentication

ACME = models.Organisation(name="acme", keys=(b"k1", b"k2"))
UMBRA = models.Organisation(name="umbra", keys=(b"k3",))

ROUTE = models.Route(
    name="lookup",
    host="shop.example",
    path_prefix="/",
    kind=models.RequestKind.IDEMPOTENT,
    timeout=datetime.timedelta(seconds=1),
    latency_target=datetime.timedelta(seconds=1),
    priority=0,
    shares=(models.Share(service="app", weight=1.0),),
    max_engines=1,
)


def configuration(
    organisations: tuple[models.Organisation, ...] | None,
) -> models.Configuration:
    """Returns a configuration with these organisations."""
    return models.Configuration(
        version=1,
        routes=(ROUTE,),
        services={},
        limits=models.CallerLimits(
            head_bytes=1,
            body_bytes=1,
            head_timeout=datetime.timedelta(seconds=1),
            idle_timeout=datetime.timedelta(seconds=1),
        ),
        organisations=organisations,
    )


def make(
    *, confirmed_at: float = -math.inf, max_age_seconds: float | None = None
) -> authentication.Authenticator:
    """Returns an authenticator; without a maximum age, age is ignored."""
    return authentication.Authenticator(
        confirmed_at=lambda: confirmed_at,
        max_age=lambda: (
            None
            if max_age_seconds is None
            else datetime.timedelta(seconds=max_age_seconds)
        ),
    )


def find(
    authenticator: authentication.Authenticator,
    keys: tuple[bytes, ...],
    organisations: tuple[models.Organisation, ...] | None = (ACME, UMBRA),
    *,
    public: bool = False,
    now: float = 0.0,
) -> str | None:
    """Returns the organisation found; None if no key was asked for."""
    holder = authenticator.authenticate(
        configuration(organisations),
        dataclasses.replace(ROUTE, public=public),
        keys,
        now=now,
    )
    return None if holder is None else holder.organisation.name


@pytest.mark.parametrize(
    ("key", "name"), [(b"k1", "acme"), (b"k2", "acme"), (b"k3", "umbra")]
)
def test_key_belongs_to_its_organisation(key: bytes, name: str) -> None:
    assert find(make(), (key,)) == name


@pytest.mark.parametrize(
    ("keys", "reason"),
    [
        ((), "missing"),
        ((b"",), "unknown"),
        ((b"k4",), "unknown"),
        ((b"K1",), "unknown"),
        ((hashlib.sha256(b"k1").digest(),), "unknown"),
        ((b"k1", b"k1"), "repeated"),
        ((b"k1", b"k4"), "repeated"),
    ],
    ids=["none", "empty", "unknown", "case", "digest", "twice", "two"],
)
def test_other_keys_are_rejected(keys: tuple[bytes, ...], reason: str) -> None:
    authenticator = make()
    with pytest.raises(authentication.KeyRejectedError) as raised:
        find(authenticator, keys)
    assert raised.value.reason == reason
    assert authenticator.rejected[reason] == 1


def test_error_names_no_key() -> None:
    with pytest.raises(authentication.KeyRejectedError) as raised:
        find(make(), (b"secret-key",))
    assert "secret-key" not in f"{raised.value!r} {vars(raised.value)}"


@pytest.mark.parametrize("keys", [(), (b"k4",), (b"k1", b"k1")])
def test_public_routes_ask_for_no_key(keys: tuple[bytes, ...]) -> None:
    assert find(make(), keys, public=True) is None
    assert find(make(), keys, None) is None


def test_next_configuration_withdraws_moves_and_adds_keys() -> None:
    authenticator = make()
    moved = (
        dataclasses.replace(ACME, keys=(b"k2", b"k3")),
        dataclasses.replace(UMBRA, keys=(b"k5",)),
    )
    assert find(authenticator, (b"k3",)) == "umbra"
    assert find(authenticator, (b"k3",), moved) == "acme"
    assert find(authenticator, (b"k5",), moved) == "umbra"
    with pytest.raises(authentication.KeyRejectedError):
        find(authenticator, (b"k1",), moved)
    with pytest.raises(authentication.KeyRejectedError):
        find(authenticator, (b"k2",), ())


@pytest.mark.parametrize(
    ("confirmed_at", "max_age", "served"),
    [
        (100.0, 5.0, True),
        (96.0, 5.0, True),
        (94.9, 5.0, False),
        (-math.inf, 5.0, False),
        (94.9, None, True),
        (-math.inf, None, True),
    ],
    ids=["now", "recent", "outdated", "never", "open", "open_never"],
)
def test_outdated_configuration(
    confirmed_at: float, max_age: float | None, served: bool
) -> None:
    """Keys may have been withdrawn at a node that nobody reaches."""
    authenticator = make(confirmed_at=confirmed_at, max_age_seconds=max_age)
    assert find(authenticator, (), public=True, now=100.0) is None
    if served:
        assert find(authenticator, (b"k1",), now=100.0) == "acme"
        return
    for keys in ((b"k1",), (b"k4",), ()):
        with pytest.raises(authentication.ConfigurationOutdatedError):
            find(authenticator, keys, now=100.0)
    assert authenticator.rejected["outdated"] == 3


def test_ten_thousand_keys_cost_one_digest_a_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    organisations = tuple(
        models.Organisation(
            name=f"o{n}", keys=tuple(b"%d-%d" % (n, i) for i in range(10))
        )
        for n in range(1_000)
    )
    authenticator = make()
    applied = configuration(organisations)
    digests = 0
    original = authentication.digest

    def count(key: bytes) -> bytes:
        nonlocal digests
        digests += 1
        return original(key)

    authenticator.authenticate(applied, ROUTE, (b"0-0",), now=0.0)
    monkeypatch.setattr(authentication, "digest", count)
    for key in (b"7-3", b"999-9"):
        authenticator.authenticate(applied, ROUTE, (key,), now=0.0)
    assert digests <= 2 * 2
