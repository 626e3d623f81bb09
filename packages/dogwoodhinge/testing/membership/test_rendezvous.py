"""Tests of rendezvous hashing."""

import collections

import pytest

from _dogwoodhinge.membership import rendezvous
from _dogwoodhinge.membership import sessions

KEYS = [f"engine-{index}" for index in range(600)]


def test_only_the_keys_of_a_removed_name_move() -> None:
    names = [f"node-{index}" for index in range(7)]
    before = {key: rendezvous.choose(key, names) for key in KEYS}
    after = {key: rendezvous.choose(key, names[1:]) for key in KEYS}
    moved = {key for key in KEYS if before[key] != after[key]}
    assert moved == {key for key in KEYS if before[key] == names[0]}


def test_keys_are_distributed_over_the_names() -> None:
    names = [f"node-{index}" for index in range(7)]
    counts = collections.Counter(rendezvous.choose(key, names) for key in KEYS)
    assert min(counts.values()) > len(KEYS) / len(names) / 2


def test_rank_begins_with_the_chosen_name() -> None:
    names = ["a", "b", "c"]
    assert rendezvous.rank("key", names)[0] == rendezvous.choose("key", names)


@pytest.mark.parametrize(
    ("zone", "region", "expected"),
    [
        pytest.param("zone-a", "region-1", {"a1"}, id="own_zone"),
        pytest.param("zone-c", "region-1", {"a1", "b1"}, id="own_region"),
        pytest.param(
            "zone-c", "region-3", {"a1", "b1", "a2", "b2"}, id="elsewhere"
        ),
    ],
)
def test_nearest_members_are_ranked(
    zone: str, region: str, expected: set[str]
) -> None:
    members = [
        sessions.Session(
            session_id=f"{letter}{number}",
            host_id="host",
            peer_address="",
            zone=f"zone-{letter}",
            region=f"region-{number}",
        )
        for letter in "ab"
        for number in (1, 2)
    ]
    ranked = rendezvous.rank_nearest("key", members, zone=zone, region=region)
    assert set(ranked) == expected
    assert ranked == rendezvous.rank("key", expected)
