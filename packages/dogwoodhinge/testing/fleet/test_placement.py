"""Tests of where adapters are placed and what makes way for them."""

import hypothesis
from hypothesis import strategies
import pytest

from _dogwoodhinge.fleet import engines
from _dogwoodhinge.fleet import load_times
from _dogwoodhinge.fleet import models
from _dogwoodhinge.fleet import placement as placement_lib
from _dogwoodhinge.fleet import places as places_lib

CAPACITY = 3
SLOTS = 8


def key(number: int) -> models.AdapterKey:
    """Returns the key of adapter `number`."""
    return models.AdapterKey("base", f"a{number}")


def candidate(
    engine_id: str, *, running: int = 0, unread: int = 0
) -> places_lib.Candidate:
    """Returns an engine as the owner sees it."""
    work = engines.Work(running, unread)
    return places_lib.Candidate(engine_id, CAPACITY, SLOTS, work, 0.0)


def make(
    *engine_ids: str, in_memory: tuple[int, ...] = ()
) -> placement_lib.Placement:
    """Returns a placement over empty engines."""
    placement = placement_lib.Placement()
    for engine_id in engine_ids:
        placement.set_engine(
            engine_id,
            capacity=CAPACITY,
            residents={},
            pending={},
            in_memory=map(key, in_memory),
            now=0.0,
        )
    return placement


def find(
    placement: placement_lib.Placement,
    number: int,
    *candidates: places_lib.Candidate,
    now: float,
    version: int = 0,
    avoid: frozenset[str] = frozenset(),
    prompt_tokens: int = 100,
) -> places_lib.Seat | places_lib.NoRoom:
    """Asks for a place."""
    return placement.find(
        key(number),
        version,
        candidates,
        avoid=avoid,
        prompt_tokens=prompt_tokens,
        now=now,
    )


def load(
    placement: placement_lib.Placement, number: int, engine_id: str, now: float
) -> places_lib.Seat:
    """Places an adapter on an engine and completes its load."""
    seat = find(placement, number, candidate(engine_id), now=now)
    assert isinstance(seat, places_lib.Seat)
    placement.complete(engine_id, key(number), at=now)
    return seat


def test_adapter_that_is_held_is_not_loaded_again() -> None:
    placement = make("e1", "e2")
    load(placement, 1, "e1", 0.0)
    seat = find(placement, 1, candidate("e1"), candidate("e2"), now=1.0)
    assert isinstance(seat, places_lib.Seat)
    assert (seat.engine_id, seat.new) == ("e1", False)


def test_held_on_an_avoided_engine_is_loaded_on_another() -> None:
    placement = make("e1", "e2")
    load(placement, 1, "e1", 0.0)
    seat = find(
        placement,
        1,
        candidate("e1"),
        candidate("e2"),
        now=1.0,
        avoid=frozenset({"e1"}),
    )
    assert isinstance(seat, places_lib.Seat)
    assert (seat.engine_id, seat.new) == ("e2", True)


def test_least_popular_adapter_makes_way() -> None:
    placement = make("e1")
    for number in (1, 2, 3):
        load(placement, number, "e1", 0.0)
    uses = {key(1): 5, key(2): 1, key(3): 4}
    placement.note_active("node", {}, uses, 1.0)
    seat = find(placement, 4, candidate("e1"), now=2.0)
    assert isinstance(seat, places_lib.Seat)
    assert seat.evict == key(2)


def test_adapter_in_use_never_makes_way() -> None:
    placement = make("e1")
    for number in (1, 2, 3):
        load(placement, number, "e1", 0.0)
    active = {key(1): 1, key(2): 1, key(3): 1}
    placement.note_active("node", active, {}, 1.0)
    assert isinstance(
        find(placement, 4, candidate("e1"), now=2.0), places_lib.NoRoom
    )


def test_report_of_an_engine_leaves_its_memory_known() -> None:
    """Reports don't tell it; every read cost loads from the weight store."""
    placement = make("e1", "e2")
    load(placement, 1, "e1", 0.0)
    placement.set_engine(
        "e1", capacity=CAPACITY, residents={}, pending={}, in_memory=(), now=1.0
    )
    seat = find(
        placement,
        1,
        candidate("e1", running=SLOTS // 4),
        candidate("e2"),
        now=2.0,
    )
    assert isinstance(seat, places_lib.Seat)
    assert seat.engine_id == "e1"
    assert seat.ready_at - 2.0 < placement.load_times.seconds / 2


def test_memory_of_an_engine_that_restarted_is_unknown() -> None:
    placement = make("e1")
    load(placement, 1, "e1", 0.0)
    placement.drop_engine("e1", 1.0)
    placement.set_engine(
        "e1", capacity=CAPACITY, residents={}, pending={}, in_memory=(), now=1.0
    )
    assert not placement.engines["e1"].in_memory


def test_engine_remembers_a_few_times_its_places() -> None:
    """Those loaded long ago were taken for fast loads and refused requests."""
    placement = make("e1")
    engine = placement.engines["e1"]
    most = CAPACITY * places_lib.MEMORY_PLACES
    for number in range(most + 1):
        engine.note_in_memory(key(number))
    assert len(engine.in_memory) == most
    assert key(0) not in engine.in_memory


def test_places_are_counted_by_what_they_are_taken_by() -> None:
    placement = make("e1")
    ready = placement.load_times.seconds
    load(placement, 1, "e1", 0.0)
    load(placement, 2, "e1", ready + 1.0)
    placement.note_active("node", {key(2): 1}, {}, ready + 1.0)
    counts = placement.count_places(ready + 1.1)
    assert (counts["idle"], counts["loading"], counts["in_use"]) == (1, 1, 0)
    counts = placement.count_places(2 * ready + 1.1)
    assert (counts["idle"], counts["loading"], counts["in_use"]) == (1, 0, 1)
    assert sum(counts.values()) == 3


def test_adapter_just_loaded_is_protected_until_its_use_is_reported() -> None:
    placement = make("e1")
    for number in (1, 2, 3):
        load(placement, number, "e1", 0.0)
    ready = placement.load_times.seconds
    early = ready + placement_lib.PROTECTED_SECONDS / 2
    late = ready + placement_lib.PROTECTED_SECONDS * 2
    assert isinstance(
        find(placement, 4, candidate("e1"), now=early), places_lib.NoRoom
    )
    assert isinstance(
        find(placement, 4, candidate("e1"), now=late), places_lib.Seat
    )


def test_outdated_version_makes_way_before_unpopular_ones() -> None:
    placement = make("e1")
    for number in (1, 2, 3):
        load(placement, number, "e1", 0.0)
    placement.note_active("node", {}, {key(1): 9}, 1.0)
    placement.declare(key(1), 2)
    seat = find(placement, 4, candidate("e1"), now=2.0)
    assert isinstance(seat, places_lib.Seat)
    assert seat.evict == key(1)


def test_newer_version_takes_the_place_of_the_older_one() -> None:
    placement = make("e1")
    load(placement, 1, "e1", 0.0)
    placement.declare(key(1), 2)
    seat = find(placement, 1, candidate("e1"), now=2.0, version=2)
    assert isinstance(seat, places_lib.Seat)
    assert (seat.evict, seat.version, seat.new) == (key(1), 2, True)


def test_engine_that_still_has_the_weights_goes_before_an_idler_one() -> None:
    placement = make("e1", "e2")
    placement.engines["e1"].note_in_memory(key(7))
    seat = find(
        placement, 7, candidate("e1", running=2), candidate("e2"), now=0.0
    )
    assert isinstance(seat, places_lib.Seat)
    assert seat.engine_id == "e1"
    assert seat.ready_at < placement.load_times.seconds / 2


def test_burst_of_rare_adapters_is_spread_before_any_report() -> None:
    """Regression: reports are 250 ms old, so a burst went to one engine."""
    placement = make("e1", "e2", "e3")
    seats = [
        find(
            placement,
            number,
            candidate("e1"),
            candidate("e2"),
            candidate("e3"),
            now=0.001 * number,
        )
        for number in range(6)
    ]
    engine_ids = [
        seat.engine_id for seat in seats if isinstance(seat, places_lib.Seat)
    ]
    assert sorted(engine_ids) == ["e1", "e1", "e2", "e2", "e3", "e3"]


def test_unread_prompt_weighs_more_than_running_requests() -> None:
    placement = make("e1", "e2")
    seat = find(
        placement,
        1,
        candidate("e1", running=1, unread=40_000),
        candidate("e2", running=4),
        now=0.0,
    )
    assert isinstance(seat, places_lib.Seat)
    assert seat.engine_id == "e2"


def test_no_more_loads_at_once_than_an_engine_takes() -> None:
    placement = placement_lib.Placement()
    placement.set_engine(
        "e1", capacity=10, residents={}, pending={}, in_memory=(), now=0.0
    )
    wide = places_lib.Candidate("e1", 10, SLOTS, engines.Work(), 0.0)
    found = [
        find(placement, number, wide, now=0.0)
        for number in range(placement_lib.MAX_LOADING + 1)
    ]
    assert [isinstance(seat, places_lib.Seat) for seat in found] == [
        *[True] * placement_lib.MAX_LOADING,
        False,
    ]


def test_request_that_came_too_early_prolongs_the_estimate() -> None:
    placement = make("e1")
    load(placement, 1, "e1", 0.0)
    before = placement.load_times.seconds
    now = before + 0.01
    placement.note_absent("e1", key(1), now)
    assert placement.load_times.seconds > before
    place = placement.engines["e1"].places[key(1)]
    assert place.ready_at == pytest.approx(
        now + placement_lib.TOO_EARLY_PAUSE_SECONDS
    )


def test_crowd_that_came_too_early_does_not_inflate_the_estimate() -> None:
    """Regression: each of them raised it; it passed seven times the truth."""
    placement = placement_lib.Placement()
    placement.set_engine(
        "e1", capacity=200, residents={}, pending={}, in_memory=(), now=0.0
    )
    truth = 0.3
    for number in range(100):
        now = number * 0.01
        wide = places_lib.Candidate("e1", 200, SLOTS, engines.Work(), 0.0)
        if isinstance(
            find(placement, number, wide, now=now), (places_lib.NoRoom)
        ):
            continue
        place = placement.complete("e1", key(number), at=now)
        assert place is not None
        while place.ready_at < now + truth:
            placement.note_absent("e1", key(number), place.ready_at)
    limit = truth + 2 * placement_lib.TOO_EARLY_PAUSE_SECONDS
    assert truth * 0.8 < placement.load_times.seconds <= limit


def test_load_that_was_never_carried_out_barely_moves_the_estimate() -> None:
    """Regression: each of its requests raised the estimate of all loads."""
    placement = make("e1")
    load(placement, 1, "e1", 0.0)
    before = placement.load_times.seconds
    place = placement.engines["e1"].places[key(1)]
    for _ in range(100):
        placement.note_absent("e1", key(1), place.ready_at)
    assert place.state is places_lib.State.MISSED
    limit = before * load_times.MAX_RISE_FACTOR
    assert placement.load_times.seconds <= limit


def test_adapter_found_absent_long_after_its_load_is_forgotten() -> None:
    placement = make("e1")
    load(placement, 1, "e1", 0.0)
    placement.note_absent("e1", key(1), 5.0)
    seat = find(placement, 1, candidate("e1"), now=5.1)
    assert isinstance(seat, places_lib.NoRoom)
    placement.settle("e1", {}, (), before=6.0, now=6.0)
    assert key(1) not in placement.engines["e1"].places


def test_place_of_a_load_that_seems_lost_is_not_given_away() -> None:
    """Regression: the load came after all, and the engine was overfilled."""
    placement = make("e1")
    for number in (1, 2, 3):
        load(placement, number, "e1", 0.0)
    in_use = {key(2): 1, key(3): 1}
    placement.note_active("node", in_use, {}, 1.0)
    placement.note_absent("e1", key(1), 5.0)
    assert isinstance(
        find(placement, 4, candidate("e1"), now=5.1), places_lib.NoRoom
    )
    placement.settle("e1", {key(1): 7}, (), before=6.0, now=6.0)
    place = placement.engines["e1"].places[key(1)]
    assert (place.state, place.version) == (places_lib.State.RESIDENT, 7)


def test_state_read_anew_ends_open_reservations() -> None:
    """Regression: they were ordered uncounted, and an engine overfilled."""
    placement = make("e1")
    seat = find(placement, 1, candidate("e1"), now=0.0)
    assert isinstance(seat, places_lib.Seat)
    assert placement.is_reserved(seat, key(1))
    placement.set_engine(
        "e1",
        capacity=CAPACITY,
        residents={},
        pending={},
        in_memory=(),
        now=0.1,
    )
    assert not placement.is_reserved(seat, key(1))


def test_unload_of_an_adapter_in_use_keeps_its_place_until_it_is_gone() -> None:
    placement = make("e1")
    for number in (1, 2, 3):
        load(placement, number, "e1", 0.0)
    seat = find(placement, 4, candidate("e1"), now=2.0)
    assert isinstance(seat, places_lib.Seat)
    assert seat.evict is not None
    placement.undo("e1", key(4), 2.0)
    placement.note_unloading("e1", seat.evict, 2.0)
    assert len(placement.engines["e1"].places) == CAPACITY
    placement.settle("e1", {seat.evict: 0}, (), before=3.0, now=3.0)
    assert len(placement.engines["e1"].places) == CAPACITY
    placement.settle("e1", {}, (), before=3.0, now=3.0)
    assert len(placement.engines["e1"].places) == CAPACITY - 1


def test_changes_tell_peers_what_came_and_went() -> None:
    placement = make("e1")
    start = placement.last_change
    load(placement, 1, "e1", 0.0)
    placement.undo("e1", key(1), 1.0)
    changes = placement.changes_since(start)
    assert changes is not None
    assert [(c.key, c.version) for c in changes][-1] == (key(1), None)
    assert placement.changes_since(placement.last_change) == []


def test_peer_that_missed_too_much_is_told_everything() -> None:
    placement = make("e1")
    for number in range(placement_lib.MAX_CHANGES):
        load(placement, number % 2, "e1", 10.0 * number)
        placement.undo("e1", key(number % 2), 10.0 * number + 5)
    assert placement.changes_since(1) is None


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(0, 12),
            strategies.floats(0.0, 0.5),
            strategies.booleans(),
        ),
        max_size=60,
    )
)
def test_no_engine_is_ever_overfilled(
    steps: list[tuple[int, float, bool]],
) -> None:
    placement = make("e1", "e2")
    now = 0.0
    for number, pause, active in steps:
        now += pause
        in_use = {key(number): 1} if active else {}
        placement.note_active("node", in_use, {key(number): 1}, now)
        seat = find(
            placement, number, candidate("e1"), candidate("e2"), now=now
        )
        if isinstance(seat, places_lib.Seat) and seat.new:
            placement.complete(seat.engine_id, key(number), at=now)
        for engine in placement.engines.values():
            assert len(engine.places) <= CAPACITY
            assert engine.loading(now) <= placement_lib.MAX_LOADING


def test_adapter_is_in_use_until_its_last_node_says_otherwise() -> None:
    placement = make("e1")
    for node in ("a", "b"):
        placement.note_active(node, {key(1): 2}, {}, 0.0)
    placement.note_active("a", {}, {}, 1.0)
    assert placement.in_use == {key(1): 1}
    placement.drop_node("b")
    assert not placement.in_use


def test_engine_with_more_adapters_than_places_loads_nothing() -> None:
    """One of them in the place of another would be one too many still."""
    placement = make("e1")
    for number in range(1, CAPACITY + 2):
        placement.note_held_up("e1", key(number), 0.0)
    load_at = 100.0
    placement.settle(
        "e1",
        {key(number): 1 for number in range(1, CAPACITY + 2)},
        (),
        before=load_at,
        now=load_at,
    )
    found = find(placement, 99, candidate("e1"), now=load_at + 60.0)
    assert isinstance(found, places_lib.NoRoom)


def test_load_not_from_memory_is_waited_for_as_one_from_the_store() -> None:
    """Its requests were sent four times within 0.2 s, and then refused."""
    placement = make("e1", in_memory=(1,))
    seat = find(placement, 1, candidate("e1"), now=0.0)
    assert isinstance(seat, places_lib.Seat)
    placement.complete("e1", key(1), at=0.0)
    place = placement.engines["e1"].places[key(1)]
    from_memory, from_store = place.expected, placement.load_times.expected(0.0)
    placement.note_absent("e1", key(1), from_memory)
    assert place.ready_at < from_store
    placement.note_absent("e1", key(1), from_memory)  # sent with the first
    again_at = place.ready_at
    assert again_at < from_store
    placement.note_absent("e1", key(1), again_at)
    assert place.ready_at == from_store
    placement.note_absent("e1", key(1), from_store)
    assert place.state is places_lib.State.LOADING
