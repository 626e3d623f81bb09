"""Tests of the lease arithmetic."""

import datetime

import pytest

from _dogwoodhinge.membership import lease

TTL = datetime.timedelta(seconds=9)
ORDER_TIMEOUT = datetime.timedelta(seconds=2)
MAX_AGE = datetime.timedelta(seconds=5)
RATES = [
    pytest.param(holder, watcher, id=f"holder_{holder}_watcher_{watcher}")
    for holder in (0.99, 1.0, 1.01)
    for watcher in (0.99, 1.0, 1.01)
]


@pytest.mark.parametrize(("holder_rate", "watcher_rate"), RATES)
def test_lease_has_expired_when_a_watcher_may_lapse_it(
    holder_rate: float, watcher_rate: float
) -> None:
    lapsed_after = lease.lapse_timeout(TTL).total_seconds() / watcher_rate
    assert not lease.is_valid(
        renewed_at=0.0, now=lapsed_after * holder_rate, ttl=TTL
    )


@pytest.mark.parametrize(("holder_rate", "watcher_rate"), RATES)
def test_last_order_has_ended_when_a_new_owner_takes_over(
    holder_rate: float, watcher_rate: float
) -> None:
    waited = lease.takeover_delay(
        max_report_age=MAX_AGE, order_timeout=ORDER_TIMEOUT
    )
    last_order = (MAX_AGE + ORDER_TIMEOUT).total_seconds() / holder_rate
    assert waited.total_seconds() / watcher_rate >= last_order
