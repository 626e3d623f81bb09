"""Tests of the leader's ledger of quotas; loads are in test_quotas.py."""

import dataclasses
import datetime

import pytest

from _dogwoodhinge.fleet import models
from _dogwoodhinge.fleet import quota_ledger
from _dogwoodhinge.fleet import quota_messages

BOUNDS = quota_ledger.QuotaBounds(
    window=datetime.timedelta(seconds=8), overage=0.1, tolerance=1_000
)
QUOTA = models.Quota(
    unit=models.QuotaUnit.TOKENS, per_second=1_000, burst=2_000
)


def configuration(quota: models.Quota | None) -> models.Configuration:
    """Returns a configuration with one organisation."""
    return models.Configuration(
        version=1,
        routes=(),
        services={},
        limits=models.CallerLimits(
            head_bytes=1,
            body_bytes=1,
            head_timeout=datetime.timedelta(seconds=1),
            idle_timeout=datetime.timedelta(seconds=1),
        ),
        organisations=(models.Organisation(name="acme", quota=quota),),
    )


class Leader:
    """A ledger of a node that leads from loop time 0 on."""

    def __init__(self, quota: models.Quota | None = QUOTA) -> None:
        self.configuration = configuration(quota)
        self.ledger = quota_ledger.QuotaLedger(
            configuration=lambda: self.configuration, bounds=lambda: BOUNDS
        )
        self.ledger.lead(1, 0.0, sole_leader=True)

    def report(
        self, host: str, now: float, *, held: float = 0.0, wanted: float = 0.0
    ) -> quota_ledger.QuotaGrant | None:
        """Reports the use of one host."""
        self.ledger.lead(1, now, sole_leader=True)
        use = quota_ledger.QuotaUse(
            organisation="acme",
            asked=wanted,
            held=held,
            wanted=wanted,
            request=100,
        )
        return self.ledger.exchange(host, use, now)

    def granted(self, host: str, now: float, **use: float) -> float:
        """Returns what is granted to one host."""
        grant = self.report(host, now, **use)
        assert grant is not None
        return grant.granted


def test_new_leader_grants_nothing_at_once() -> None:
    leader = Leader()
    assert leader.granted("h1", 0.1, wanted=500) == 0.0
    assert leader.granted("h1", 60.0, wanted=500) >= 500


def test_next_term_begins_with_empty_buckets() -> None:
    leader = Leader()
    assert leader.granted("h1", 60.0, wanted=500) >= 500
    leader.ledger.lead(2, 61.0, sole_leader=True)
    account = leader.ledger._account("acme", 61.0)  # noqa: SLF001
    assert account is not None
    account.refill(61.0)
    assert account.level == 0.0


def test_credit_of_all_hosts_is_bounded() -> None:
    """It is at most the bucket and one request that is larger."""
    leader = Leader()
    held = dict.fromkeys((f"h{n}" for n in range(20)), 0.0)
    for step in range(400):
        now = 60 + step * 0.05
        host = f"h{step % 20}"
        held[host] += leader.granted(host, now, held=held[host], wanted=300)
        account = leader.ledger.accounts["acme"]
        most = account.capacity + account.max_debt
        assert sum(held.values()) <= most + 1e-6


def test_credit_moves_to_the_hosts_that_are_asked() -> None:
    leader = Leader()
    first = leader.granted("h1", 60.0, wanted=100)
    assert leader.granted("h2", 60.1, wanted=100) > 0
    assert leader.granted("h1", 60.2, held=first) < 0


def test_silent_hosts_keep_their_share_of_the_rate() -> None:
    leader = Leader()
    for now in (60.0, 60.5):
        leader.report("h1", now, wanted=500)
        leader.report("h2", now, wanted=500)
    for step in range(1, 8):
        leader.report("h2", 60.5 + step * 0.5)
    account = leader.ledger.accounts["acme"]
    assert 0.3 < account.silent_share < 0.7
    for step in range(8, 16):
        leader.report("h2", 60.5 + step * 0.5)
    assert account.silent_share == 0.0
    assert set(account.hosts) == {"h2"}


def test_leader_without_a_valid_lease_keeps_the_shares_of_others() -> None:
    leader = Leader()
    leader.report("h1", 60.0, wanted=500)
    leader.report("h2", 60.0, wanted=500)
    leader.ledger.lead(1, 90.0, sole_leader=False)
    account = leader.ledger.accounts["acme"]
    assert set(account.hosts) == {"h1", "h2"}
    assert account.silent_share > 0.9


@pytest.mark.parametrize("quota", [None, "other"])
def test_organisation_without_a_quota_is_granted_nothing(
    quota: str | None,
) -> None:
    leader = Leader(None)
    assert leader.report("h1", 60.0, wanted=100) is None


def test_rate_of_zero_allows_nothing() -> None:
    leader = Leader(dataclasses.replace(QUOTA, per_second=0.0, burst=0.0))
    total = sum(
        leader.granted("h1", 60.0 + step, held=0.0, wanted=100)
        for step in range(30)
    )
    assert total == 0.0


def test_other_unit_begins_with_an_empty_bucket() -> None:
    leader = Leader()
    assert leader.granted("h1", 60.0, wanted=500) >= 500
    leader.configuration = configuration(
        dataclasses.replace(QUOTA, unit=models.QuotaUnit.REQUESTS)
    )
    assert leader.granted("h1", 60.1, wanted=100) == 0.0


def test_messages_carry_reports_and_grants() -> None:
    use = quota_ledger.QuotaUse(
        organisation="acme",
        asked=1.5,
        held=-2.0,
        wanted=3.0,
        request=4.0,
    )
    assert quota_messages.decode_use(quota_messages.encode_use(use)) == use
    grant = quota_ledger.QuotaGrant(
        organisation="acme",
        granted=-1.0,
        share=0.25,
        room_in=datetime.timedelta(seconds=1.5),
    )
    assert (
        quota_messages.decode_grant(quota_messages.encode_grant(grant)) == grant
    )


def test_retry_delay_grows_with_what_is_asked_beyond_the_rate() -> None:
    """Callers that all came back at once were all refused once more."""
    delays = {}
    for asked in (500, 2_000, 6_000):
        leader = Leader()
        for step in range(80):
            use = quota_ledger.QuotaUse(
                organisation="acme", asked=asked / 4, held=0.0, request=100
            )
            leader.ledger.lead(1, 60 + step / 4, sole_leader=True)
            grant = leader.ledger.exchange("h1", use, 60 + step / 4)
        assert grant is not None
        delays[asked] = grant.room_in.total_seconds()
    assert delays[500] == 0.0
    assert 0.5 <= delays[2_000] <= 1.5
    assert 4.0 <= delays[6_000] <= 6.0
