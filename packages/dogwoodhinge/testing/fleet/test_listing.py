"""Tests of the changes that a listing tells the other nodes of."""

from _dogwoodhinge.fleet import engines
from _dogwoodhinge.fleet import listing
from _dogwoodhinge.fleet import models


def entry(engine_id: str) -> models.EngineEntry:
    """Returns the entry of an endpoint of a plain service."""
    return models.EngineEntry(
        engine_id=engine_id,
        service="app",
        host="127.0.0.1",
        port=1,
        zone="z1",
        slots=8,
        leaving=False,
        born_ms=1,
        orders_accepted=0,
        models={},
    )


async def test_removal_of_an_unknown_endpoint_is_a_change() -> None:
    """Regression: one that came and went between two polls stayed elsewhere.

    Another node that had read the list in between was not told.
    """
    endpoint_listing = listing.EndpointListing(
        directory=engines.Directory(), report=lambda event, fields: None
    )
    endpoint_listing.withdraw("e1")
    assert endpoint_listing.changes == 1


async def test_return_of_a_missing_endpoint_is_a_change() -> None:
    """Guards against nodes that have dropped it and are not told.

    They may have noticed no outage, or have waited for less time.
    """
    endpoint_listing = listing.EndpointListing(
        directory=engines.Directory(), report=lambda event, fields: None
    )
    endpoint_listing.update(entry("e1"))
    endpoint_listing.source_lost("down")
    endpoint_listing.source_restored(5.0)
    endpoint_listing.withdraw("e1")
    assert endpoint_listing.missing
    before = endpoint_listing.changes
    endpoint_listing.update(entry("e1"))
    assert endpoint_listing.changes == before + 1
