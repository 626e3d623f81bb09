"""Tests of the endpoint list when it comes back from an older copy."""

import dataclasses

import pytest

from _dogwoodhinge.fleet import engines
from _dogwoodhinge.fleet import listing
from _dogwoodhinge.fleet import models


def entry(
    *,
    born_ms: int = 5,
    leaving: bool = False,
    adapters: dict[str, int] | None = None,
) -> models.EngineEntry:
    """Returns an entry of engine e1."""
    held = models.HeldModel(name="base", version=1, adapters=adapters or {})
    return models.EngineEntry(
        engine_id="e1",
        service="llm",
        host="127.0.0.1",
        port=1,
        zone="z1",
        slots=8,
        leaving=leaving,
        born_ms=born_ms,
        orders_accepted=0,
        models={"base": held},
    )


def make_listing() -> listing.EndpointListing:
    """Returns a listing that has engine e1, started at 5."""
    found = listing.EndpointListing(
        directory=engines.Directory(), report=lambda event, fields: None
    )
    found.source_available = True
    found.restored_at = -100.0
    found.update(entry(born_ms=5))
    return found


def come_back(
    found: listing.EndpointListing, *copied: models.EngineEntry
) -> None:
    """Applies the list of an older copy."""
    found.source_rolled_back()
    found.replace_all(copied, copied={"e1", "e2"})


@pytest.mark.parametrize(
    ("removed", "copied_start", "written_start", "serving"),
    [
        pytest.param(False, 5, None, [5], id="still_there"),
        pytest.param(False, 3, None, [5], id="earlier_start"),
        pytest.param(False, 7, None, [7], id="later_start"),
        pytest.param(True, 5, None, [], id="gone"),
        pytest.param(True, 3, None, [], id="earlier_start_of_one_gone"),
        pytest.param(True, 7, None, [], id="later_start_of_one_gone"),
        pytest.param(True, 5, 5, [5], id="gone_and_back"),
        pytest.param(True, 5, 6, [6], id="gone_and_restarted"),
    ],
)
async def test_entry_of_a_copy_brings_no_engine_back(
    removed: bool,
    copied_start: int,
    written_start: int | None,
    serving: list[int],
) -> None:
    found = make_listing()
    if removed:
        found.withdraw("e1")
    come_back(found, entry(born_ms=copied_start))
    if written_start is not None:
        found.update(entry(born_ms=written_start))
    assert [
        engine.entry.born_ms for engine in found.directory.serving("llm")
    ] == serving


@pytest.mark.parametrize("source", ["entry", "peer"])
async def test_entry_of_a_copy_does_not_end_a_leave(source: str) -> None:
    found = make_listing()
    if source == "entry":
        found.update(entry(born_ms=5, leaving=True))
    else:
        found.record_leaving(("e1", 5), source="peer")
    come_back(found, entry(born_ms=5))
    found.update(entry(born_ms=5))
    assert found.directory.serving("llm") == []


async def test_entry_of_a_copy_does_not_replace_what_an_engine_holds() -> None:
    found = make_listing()
    found.update(entry(born_ms=5, adapters={"a1": 2}))
    come_back(found, entry(born_ms=5, adapters={"a1": 1}))
    held = found.directory.engines["e1"].entry.models["base"]
    assert held.adapters == {"a1": 2}


async def test_engine_that_the_copy_lacks_is_kept_until_it_writes_again() -> (
    None
):
    found = make_listing()
    come_back(found)
    assert found.directory.serving("llm")
    assert "e1" in found.missing
    found.update(entry(born_ms=5))
    assert not found.missing
    assert found.directory.serving("llm")


async def test_engine_that_does_not_write_again_is_removed() -> None:
    found = make_listing()
    come_back(found)
    found.missing = dict.fromkeys(found.missing, 0.0)
    found.drop_missing()
    assert not found.directory.engines


async def test_copied_entry_that_was_removed_since_is_withdrawn() -> None:
    """The store drops the entry of an engine that is silent."""
    found = make_listing()
    come_back(found, entry(born_ms=5))
    found.restored_at -= listing.REJOIN_TIMEOUT.total_seconds() + 0.1
    found.withdraw("e1")
    assert not found.directory.engines


async def test_list_is_read_again_after_an_entry_was_ignored() -> None:
    """The leader may have applied it, and then sends no update."""
    found = make_listing()
    found.withdraw("e1")
    come_back(found, entry(born_ms=5))
    due_at = found.restored_at + listing.REJOIN_TIMEOUT.total_seconds()
    assert found.due_at() == due_at
    found.recheck_at = found.restored_at
    found.drop_missing()
    assert found.due_at() == float("inf")


async def test_engine_that_left_before_a_node_started_does_not_come_back() -> (
    None
):
    """Regression (soak, RECOVER): suspects were claimed for a dead engine.

    Load pattern: a node restarts after engines have crashed, and the copy is
    older than its start.
    """
    found = make_listing()
    copied = dataclasses.replace(entry(), engine_id="e2")
    come_back(found, entry(), copied)
    assert found.directory.engines.keys() == {"e1"}
    found.update(copied)
    assert found.directory.engines.keys() == {"e1", "e2"}
