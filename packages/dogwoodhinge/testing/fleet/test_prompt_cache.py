"""Tests of what engines are expected to hold, and of the choice by it."""

import collections
import random

import pytest

from _dogwoodhinge.fleet import engine_selection
from _dogwoodhinge.fleet import engines
from _dogwoodhinge.fleet import held_parts
from _dogwoodhinge.fleet import models
from _dogwoodhinge.fleet import prompt_cache

A1 = models.AdapterKey("base", "a1")
A2 = models.AdapterKey("base", "a2")
BASE = models.AdapterKey("base", "")
PROMPT = (
    held_parts.PromptPart("intro", 2_000),
    held_parts.PromptPart("roster", 4_000),
    held_parts.PromptPart("own", 1_000),
)


def add(
    directory: engines.Directory, engine_id: str, *, born_ms: int = 1
) -> engines.Engine:
    """Adds an engine that holds the adapters `a1` and `a2`."""
    entry = models.EngineEntry(
        engine_id=engine_id,
        service="llm",
        host="127.0.0.1",
        port=1,
        zone="z1",
        slots=24,
        leaving=False,
        born_ms=born_ms,
        orders_accepted=0,
        models={
            "base": models.HeldModel(
                name="base", version=1, adapters={"a1": 1, "a2": 1}
            )
        },
    )
    return directory.update(entry, 0.0)


class Fixture:
    """A cache, and an engine that has read a prompt at the time 1."""

    def __init__(self, *, memory: int = 100_000, nodes: int = 1) -> None:
        self.memory = memory
        self.cache = prompt_cache.PromptCache(
            memory_tokens=lambda service: self.memory, nodes=lambda: nodes
        )
        self.directory = engines.Directory()
        self.engine = add(self.directory, "e1")
        self.read(self.engine, A1)

    def read(self, engine: engines.Engine, key: models.AdapterKey) -> None:
        """Lets an engine answer the prompt."""
        self.cache.record(
            engine,
            key,
            PROMPT,
            prompt_tokens=7_000,
            expected_tokens=0,
            now=1.0,
        )

    def held(
        self,
        parts: tuple[held_parts.PromptPart, ...] = PROMPT,
        *,
        key: models.AdapterKey = A1,
        now: float = 2.0,
    ) -> int:
        """Returns the tokens that the engine is expected to hold."""
        return self.cache.expected(self.engine, key, parts, now)


@pytest.mark.parametrize(
    ("parts", "tokens"),
    [
        (PROMPT, 7_000),
        (PROMPT[:2], 6_000),
        ((*PROMPT[:2], held_parts.PromptPart("else", 900)), 6_000),
        ((PROMPT[0], held_parts.PromptPart("else", 900), PROMPT[2]), 2_000),
        (PROMPT[1:], 6_000 - 1_000),
        ((held_parts.PromptPart("new", 10), *PROMPT), 0),
        ((), 0),
    ],
    ids=[
        "whole",
        "beginning",
        "other end",
        "other middle",
        "known parts at the beginning",
        "new beginning",
        "no parts",
    ],
)
def test_a_part_counts_if_all_parts_before_it_are_held(
    parts: tuple[held_parts.PromptPart, ...], tokens: int
) -> None:
    assert Fixture().held(parts) == tokens


def test_another_adapter_with_the_same_parts_has_to_be_read() -> None:
    fixture = Fixture()
    assert fixture.held(key=A2) == 0
    assert fixture.held(key=BASE) == 0


def test_base_model_holds_parts_too() -> None:
    fixture = Fixture()
    fixture.read(fixture.engine, BASE)
    assert fixture.held(key=BASE) == 7_000


def test_another_version_has_to_be_read() -> None:
    fixture = Fixture()
    fixture.engine.held_adapters[A1] = engines.HeldAdapter(2, 0.0)
    assert fixture.held() == 0


def test_reloaded_adapter_has_to_be_read() -> None:
    fixture = Fixture()
    fixture.engine.held_adapters[A1] = engines.HeldAdapter(1, 1.5)
    assert fixture.held() == 0


def test_adapter_that_was_unloaded_holds_nothing() -> None:
    fixture = Fixture()
    del fixture.engine.held_adapters[A1]
    assert fixture.held() == 0


def test_restarted_engine_holds_nothing() -> None:
    fixture = Fixture()
    fixture.engine = add(fixture.directory, "e1", born_ms=2)
    assert fixture.held() == 0


def test_what_was_read_long_ago_is_gone() -> None:
    age = held_parts.MAX_AGE.total_seconds()
    fixture = Fixture()
    assert fixture.held(now=1.0 + age) == 7_000
    assert fixture.held(now=1.1 + age) == 0


@pytest.mark.parametrize(
    ("memory", "nodes", "running", "tokens"),
    [
        (100_000, 1, 0, 7_000),
        (6_500, 1, 0, 6_000),
        (100_000, 10, 0, 7_000),
        (100_000, 30, 0, 2_000),
        (36_500, 1, 24, 6_000),
        (20_000, 1, 24, 0),
        (0, 1, 0, 0),
    ],
    ids=[
        "enough",
        "the end yields first",
        "a share is enough",
        "a small share",
        "running requests",
        "full of running requests",
        "unknown",
    ],
)
def test_memory_that_is_left_bounds_what_is_held(
    memory: int, nodes: int, running: int, tokens: int
) -> None:
    fixture = Fixture(memory=memory, nodes=nodes)
    fixture.engine.running = running
    fixture.read(fixture.engine, A1)
    assert fixture.held() == tokens


def test_least_recently_used_parts_yield() -> None:
    fixture = Fixture(memory=14_000)
    fixture.read(fixture.engine, A2)
    fixture.read(fixture.engine, A1)
    fixture.read(fixture.engine, BASE)
    assert fixture.held(key=A2) == 0
    assert fixture.held() == 7_000


def test_callers_do_not_fill_the_memory_of_the_node_with_tiny_parts() -> None:
    fixture = Fixture()
    tiny = tuple(
        held_parts.PromptPart(f"p{number}", number % 2)
        for number in range(5 * held_parts.MAX_PARTS)
    )
    fixture.cache.record(
        fixture.engine, A1, tiny, prompt_tokens=10, expected_tokens=0, now=1.0
    )
    known = fixture.engine.held_parts
    assert len(known.parts) == held_parts.MAX_PARTS
    assert known.tokens == sum(part.tokens for part in known.parts.values())


def test_disabled_cache_expects_nothing() -> None:
    fixture = Fixture()
    fixture.cache.enabled = False
    assert fixture.held() == 0


@pytest.mark.parametrize(
    ("running", "unread", "chosen"),
    [(0, 0, "e0"), (2, 0, "e0"), (0, 20_000, "other"), (40, 0, "other")],
    ids=["idle", "some work", "long wait to read", "long wait to run"],
)
def test_saved_read_is_weighed_against_the_wait(
    running: int, unread: int, chosen: str
) -> None:
    """Before: the engine that holds the prompt was chosen by chance."""
    directory = engines.Directory()
    known = [add(directory, f"e{number}") for number in range(6)]
    known[0].running = running
    known[0].unread_tokens = unread
    found: collections.Counter[str] = collections.Counter()
    for node in range(50):
        engine = engine_selection.choose(
            known,
            zone="z1",
            now=0.0,
            rng=random.Random(node),
            prompt_tokens=9_000,
            held_tokens={"e0": 6_000},
        )
        assert engine is not None
        found["e0" if engine is known[0] else "other"] += 1
    assert found[chosen] == 50
