"""Tests of a node's view of engines, versions and the configuration."""

import asyncio
import dataclasses
import datetime
import random

import pytest

from _dogwoodhinge.fleet import applied
from _dogwoodhinge.fleet import base_models
from _dogwoodhinge.fleet import engine_selection
from _dogwoodhinge.fleet import engines
from _dogwoodhinge.fleet import health
from _dogwoodhinge.fleet import listing
from _dogwoodhinge.fleet import models
from _dogwoodhinge.fleet import popularity
from _dogwoodhinge.fleet import versions

KEY = models.AdapterKey("base", "a1")
LIMITS = models.CallerLimits(
    head_bytes=1,
    body_bytes=1,
    head_timeout=datetime.timedelta(seconds=1),
    idle_timeout=datetime.timedelta(seconds=1),
)


def entry(
    engine_id: str = "e1",
    *,
    leaving: bool = False,
    born_ms: int = 1,
    zone: str = "z1",
    adapters: dict[str, int] | None = None,
) -> models.EngineEntry:
    """Returns an engine's entry in the list of endpoints."""
    held = models.HeldModel(name="base", version=1, adapters=adapters or {})
    return models.EngineEntry(
        engine_id=engine_id,
        service="llm",
        host="127.0.0.1",
        port=1,
        zone=zone,
        slots=8,
        leaving=leaving,
        born_ms=born_ms,
        orders_accepted=0,
        models={"base": held},
    )


def make_listing() -> listing.EndpointListing:
    """Returns a listing whose source has been available for a long time."""
    found = listing.EndpointListing(
        directory=engines.Directory(), report=lambda event, fields: None
    )
    found.source_available = True
    found.restored_at = -100.0
    return found


def make_listing_after_outage() -> listing.EndpointListing:
    """Returns a listing that had an engine when its source failed."""
    found = make_listing()
    found.update(entry())
    found.source_lost("down")
    found.source_restored(5.0)
    return found


async def test_leaving_engine_is_not_used_again() -> None:
    """A delayed entry may still state that it is ready."""
    found = make_listing()
    found.update(entry())
    found.update(entry(leaving=True))
    found.update(entry())
    assert found.directory.serving("llm") == []


@pytest.mark.parametrize("away", [0.0, 1.5], ids=["start", "short outage"])
async def test_withdrawal_applies_at_once_unless_entries_may_have_expired(
    away: float,
) -> None:
    """Guards against requests to a draining engine.

    A node that had just started kept the withdrawn engine for 2.7 s.
    """
    found = listing.EndpointListing(
        directory=engines.Directory(), report=lambda event, fields: None
    )
    found.source_restored(away)
    found.replace_all([entry()])
    found.withdraw("e1")
    assert found.directory.serving("llm") == []


async def test_delayed_entry_does_not_restore_an_engine_that_left() -> None:
    found = make_listing()
    found.update(entry(leaving=True))
    found.withdraw("e1")
    found.update(entry())
    assert found.directory.serving("llm") == []


async def test_restart_under_the_same_id_counts_as_another_engine() -> None:
    found = make_listing()
    found.update(entry(adapters={"a1": 1}))
    gone: list[str] = []
    found.on_gone.append(lambda engine: gone.append(engine.engine_id))
    found.update(entry(born_ms=2))
    assert gone == ["e1"]
    assert found.directory.holders("llm", KEY) == []


async def test_withdrawn_engine_receives_no_more_requests() -> None:
    found = make_listing()
    found.update(entry())
    found.withdraw("e1")
    assert found.directory.serving("llm") == []


async def test_entries_that_expired_in_an_outage_are_kept_at_first() -> None:
    found = make_listing_after_outage()
    found.replace_all([])
    found.drop_missing()
    assert len(found.directory.serving("llm")) == 1


async def test_missing_entry_is_logged_once() -> None:
    found = make_listing_after_outage()
    lines: list[str] = []
    found.report = lambda event, fields: lines.append(event)
    for _ in range(2):
        found.replace_all([])
    assert lines == ["endpoint_missing"]


async def test_rare_updates_of_the_leader_are_no_outage() -> None:
    """With hundreds of nodes each syncs every few seconds only."""
    found = make_listing()
    found.update(entry())
    now = asyncio.get_running_loop().time()
    found.source_responded(now - 3.0)
    found.source_responded(now)
    found.withdraw("e1")
    assert found.directory.serving("llm") == []


async def test_entry_still_missing_after_an_outage_is_removed() -> None:
    found = make_listing_after_outage()
    found.replace_all([])
    found.restored_at -= 10
    found.missing = dict.fromkeys(found.missing, found.restored_at + 2.2)
    found.drop_missing()
    assert found.directory.serving("llm") == []


async def test_entry_rewritten_after_an_outage_is_withdrawn_at_once() -> None:
    """Guards against requests to a draining engine.

    Its entry was kept as long as entries that expired in the outage.
    """
    found = make_listing_after_outage()
    found.update(entry())
    found.source_restored(0.1)
    found.update(entry())
    found.withdraw("e1")
    assert found.directory.serving("llm") == []


async def test_entry_written_only_before_an_outage_is_kept_at_first() -> None:
    """The first response after the outage may contain older entries."""
    found = make_listing_after_outage()
    found.update(entry())
    found.source_restored(0.1)
    found.withdraw("e1")
    assert len(found.directory.serving("llm")) == 1
    assert found.due_at() == found.restored_at + 2.2


async def test_withdrawn_engine_object_takes_no_work() -> None:
    """Guards against requests to a draining engine.

    A request that had selected the engine earlier was still sent to it.
    """
    found = make_listing()
    found.update(entry())
    engine = found.directory.engines["e1"]
    assert engine.accepts_requests
    found.withdraw("e1")
    assert not engine.accepts_requests


async def test_entry_rewritten_after_an_outage_is_not_missing() -> None:
    found = make_listing_after_outage()
    found.replace_all([])
    found.update(entry())
    assert found.missing == {}


def test_older_configuration_is_never_applied() -> None:
    current = applied.AppliedConfiguration(report=lambda event, fields: None)
    for version, taken in ((4, True), (9, True), (7, False), (9, False)):
        configuration = models.Configuration(
            version=version, routes=(), services={}, limits=LIMITS
        )
        assert current.apply(configuration) is taken
    assert current.current is not None
    assert current.current.version == 9


@pytest.mark.parametrize(
    ("age", "lowest"),
    [(0.0, 0), (2.0, 0), (3.0, 2)],
    ids=["just_declared", "in_grace", "after_grace"],
)
def test_older_version_may_be_used_during_the_grace_period(
    age: float, lowest: int
) -> None:
    known = versions.Versions()
    known.declare(KEY, 2, 10.0)
    assert known.lowest_allowed(KEY, 10.0 + age) == lowest


def test_version_of_unknown_age_has_no_grace_period() -> None:
    """Guards against a restart that begins the grace period of 2.5 s again.

    An older version then served longer than the operator allows.
    """
    known = versions.Versions()
    known.declare(KEY, 2, versions.LONG_AGO)
    assert known.lowest_allowed(KEY, 0.1) == 2


def test_declaration_that_is_not_newer_is_ignored() -> None:
    known = versions.Versions()
    assert known.declare(KEY, 3, 0.0)
    assert not known.declare(KEY, 2, 1.0)
    assert known.newest(KEY) == 3


def test_failing_engine_is_avoided_only_for_a_while() -> None:
    engine_health = health.EngineHealth()
    engine_health.record_failure(health.Failure.NO_RESPONSE, 0.0)
    assert engine_health.should_avoid(0.5)
    assert not engine_health.should_avoid(5.0)


def test_successes_outweigh_a_single_error() -> None:
    engine_health = health.EngineHealth()
    engine_health.record_failure(health.Failure.ERROR, 0.0)
    for _ in range(10):
        engine_health.record_success(0.1)
    assert engine_health.current(0.1) < 0.05


@pytest.mark.parametrize(
    ("better", "worse"),
    [
        ({"running": 0}, {"running": 6}),
        ({"running": 4}, {"unread": 40_000}),
        ({"running": 6}, {"penalty": 2.0}),
    ],
    ids=["fewer_requests", "fewer_unread_tokens", "no_failures"],
)
def test_engine_with_the_lower_load_or_penalty_is_chosen(
    better: dict[str, float], worse: dict[str, float]
) -> None:
    def build(engine_id: str, state: dict[str, float]) -> engines.Engine:
        engine = engines.Engine(entry(engine_id))
        engine.running = int(state.get("running", 0))
        engine.unread_tokens = int(state.get("unread", 0))
        engine.health.penalty = state.get("penalty", 0.0)
        return engine

    candidates = [build("worse", worse), build("better", better)]
    chosen = engine_selection.choose(
        candidates, zone="z1", now=0.0, rng=random.Random(1)
    )
    assert chosen is not None
    assert chosen.engine_id == "better"


def test_popularity_decays_by_its_half_life() -> None:
    known = popularity.Popularity()
    known.record_uses(KEY, 8, 0.0)
    half_life = popularity.HALF_LIFE.total_seconds()
    assert known.score(KEY, 2 * half_life) == pytest.approx(2.0)


def engine_class(loads_per_second: float) -> models.EngineClass:
    """Returns an engine class with one base model."""
    base = models.BaseModel(
        name="base", size_mb=60, load_time=datetime.timedelta(seconds=2)
    )
    return models.EngineClass(
        request_slots=8,
        memory_tokens=1,
        weights_mb=66,
        adapter_places=3,
        loads_per_second=loads_per_second,
        base_models={"base": base},
    )


def test_concurrent_base_model_loads_are_limited() -> None:
    loads = base_models.BaseModelLoads()
    empty = [base_models.EmptyEngine(f"e{n}", "llm") for n in range(5)]
    chosen = loads.choose(
        empty, engine_class=engine_class(3.2), copies={}, now=0.0
    )
    assert len(chosen) == 2
    loads.record_load_end("e0")
    chosen = loads.choose(
        empty[1:], engine_class=engine_class(3.2), copies={}, now=1.5
    )
    assert [engine_id for engine_id, _ in chosen] == ["e2"]


@pytest.mark.parametrize(
    ("loads_per_second", "at_once"),
    [(0.5, 1), (3.2, 2), (6.5, 3), (24.0, 12), (32.0, 16)],
    ids=["slow store", "aduelas", "easelpoint", "grown aduelas", "grown east"],
)
def test_base_models_use_the_rate_of_the_weight_store(
    loads_per_second: float, at_once: int
) -> None:
    """Guards against reloading failed engines only two at a time.

    Ten engines that fail together should reload at the full rate of the store.
    """
    loads = base_models.BaseModelLoads()
    empty = [base_models.EmptyEngine(f"e{n}", "llm") for n in range(40)]
    chosen = loads.choose(
        empty, engine_class=engine_class(loads_per_second), copies={}, now=0.0
    )
    assert len(chosen) == at_once


def test_base_model_that_exceeds_the_memory_is_never_ordered() -> None:
    loads = base_models.BaseModelLoads()
    small = models.EngineClass(
        request_slots=8,
        memory_tokens=1,
        weights_mb=10,
        adapter_places=3,
        loads_per_second=5,
        base_models=engine_class(5).base_models,
    )
    empty = [base_models.EmptyEngine("e1", "llm")]
    assert loads.choose(empty, engine_class=small, copies={}, now=0.0) == []


@pytest.mark.parametrize(
    ("late", "expected"),
    [
        pytest.param(frozenset(), ["a"], id="none"),
        pytest.param(frozenset({"b"}), ["b"], id="the_same_one"),
        pytest.param(frozenset({"a", "b"}), [], id="more_than_one"),
    ],
)
def test_model_of_a_late_order_is_loaded_or_none(
    late: frozenset[str], expected: list[str]
) -> None:
    """Guards against two base models on one engine, beyond its memory."""
    base = engine_class(5).base_models["base"]
    two_models = dataclasses.replace(
        engine_class(5),
        base_models={n: dataclasses.replace(base, name=n) for n in ("a", "b")},
    )
    chosen = base_models.BaseModelLoads().choose(
        [base_models.EmptyEngine("e1", "llm", late)],
        engine_class=two_models,
        copies={},
        now=0.0,
    )
    assert [model for _, model in chosen] == expected
