"""Tests of the quotas over many hosts, with the loads that they answer.

Hosts and the leader's ledger run without a network, in loop time that the test
moves. Each replay reports both sides: the most that all hosts sent in one
window against the bound, and the share of what lay inside the quota that was
served.
"""

import asyncio
from collections.abc import Callable
import dataclasses
import datetime
import heapq
import random

import pytest

from _dogwoodhinge.fleet import leader as leader_lib
from _dogwoodhinge.fleet import models
from _dogwoodhinge.fleet import quota_ledger
from _dogwoodhinge.gateway import quotas

WINDOW = 8.0
BOUNDS = quota_ledger.QuotaBounds(
    window=datetime.timedelta(seconds=WINDOW), overage=0.1, tolerance=110_000
)
STRICT_BOUNDS = quota_ledger.QuotaBounds(
    window=datetime.timedelta(seconds=WINDOW)
)

# Sizes of requests in tokens, with their weights.
SIZES = ((646, 0.92), (9_190, 0.08))
MEAN_SIZE = sum(size * weight for size, weight in SIZES)


def token_quota(rate: float, burst: float | None = None) -> models.Quota:
    """Returns a quota in tokens."""
    return models.Quota(
        unit=models.QuotaUnit.TOKENS,
        per_second=rate,
        burst=rate if burst is None else burst,
        unsized_tokens=200,
    )


LARGE = token_quota(245_084)
SMALL = token_quota(29_000)


class Fleet:
    """Hosts with credit and one ledger, or several after each other.

    Attributes:
        now: loop time.
        quota: of the only organisation.
        cut: hosts that reach no leader.
        sent: loop time and cost of each request served.
        asked: loop time and cost of each request.
        calls: exchanges for waiting requests.
        latency: seconds from a call of the leader to its reply.
    """

    def __init__(
        self,
        hosts: int,
        quota: models.Quota,
        *,
        bounds: quota_ledger.QuotaBounds = BOUNDS,
        seed: int = 1,
    ) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self.quota = quota
        self.bounds = bounds
        self.interval = 0.25 * max(1.0, hosts / 40)
        self.token = 1
        self.leader_away_until = 0.0
        self.cut: set[int] = set()
        self.sent: list[tuple[float, float]] = []
        self.asked: list[tuple[float, float]] = []
        self.new_ledger()
        self.ledger.lead(self.token, 0.0, sole_leader=True)
        self.hosts: list[quotas.Quotas] = []
        for host in range(hosts):
            self.hosts.append(self.new_host(host))
        self.syncs = [
            (self.rng.uniform(0, self.interval), host) for host in range(hosts)
        ]
        heapq.heapify(self.syncs)

    @property
    def organisation(self) -> models.Organisation:
        """The only organisation."""
        return models.Organisation(name="acme", quota=self.quota)

    def configuration(self) -> models.Configuration:
        """Returns a configuration with the only organisation."""
        if getattr(self, "applied", None) is None or (
            self.applied.organisations != (self.organisation,)
        ):
            self.applied = models.Configuration(
                version=1,
                routes=(),
                services={},
                limits=models.CallerLimits(
                    head_bytes=1,
                    body_bytes=1,
                    head_timeout=datetime.timedelta(seconds=1),
                    idle_timeout=datetime.timedelta(seconds=1),
                ),
                organisations=(self.organisation,),
            )
        return self.applied

    def new_ledger(self) -> None:
        """Starts a ledger that knows nothing."""
        self.ledger = quota_ledger.QuotaLedger(
            configuration=self.configuration, bounds=lambda: self.bounds
        )

    def new_host(self, host: int) -> quotas.Quotas:
        """Starts a host that knows nothing."""
        return quotas.Quotas(
            client=HostClient(self, host),
            bounds=lambda: self.bounds,
            nodes=lambda: len(self.hosts),
        )

    def change_leader(self, *, away: float) -> None:
        """Ends the leader; another one leads after some seconds."""
        self.leader_away_until = self.now + away
        self.token += 1
        self.new_ledger()

    def reaches_leader(self, host: int) -> bool:
        """Returns whether a host reaches a leader now."""
        return host not in self.cut and self.now >= self.leader_away_until

    def exchange(
        self, host: int, use: quota_ledger.QuotaUse
    ) -> quota_ledger.QuotaGrant | None:
        """Calls the ledger."""
        if not self.reaches_leader(host):
            raise leader_lib.NotLeaderError("away")
        self.ledger.lead(self.token, self.now, sole_leader=True)
        return self.ledger.exchange(f"h{host}", use, self.now)

    def sync(self, host: int) -> None:
        """Reports one host's use of all organisations."""
        if self.reaches_leader(host):
            self.ledger.lead(self.token, self.now, sole_leader=True)
        uses = self.hosts[host].report(self.now)
        try:
            grants = [self.exchange(host, use) for use in uses]
        except leader_lib.NotLeaderError:
            self.hosts[host].restore(
                ((use.organisation, use.asked) for use in uses), self.now
            )
            return
        self.hosts[host].apply(
            [grant for grant in grants if grant is not None],
            began_at=self.now,
            now=self.now,
        )

    async def run(
        self,
        seconds: float,
        rate: Callable[[float], float],
        hosts: Callable[[], int],
        *,
        events: dict[float, Callable[[], None]] | None = None,
    ) -> None:
        """Plays arrivals of `rate` tokens per second on hosts."""
        loop = asyncio.get_running_loop()
        end = self.now + seconds
        due = sorted((events or {}).items())
        next_arrival = self.now
        while True:
            while due and due[0][0] <= self.now:
                due.pop(0)[1]()
            at = min(next_arrival, self.syncs[0][0])
            if at >= end:
                self.now = end
                return
            self.now = max(self.now, at)
            if self.syncs[0][0] <= next_arrival:
                _, host = heapq.heappop(self.syncs)
                self.sync(host)
                again = self.now + self.interval * self.rng.uniform(0.9, 1.1)
                heapq.heappush(self.syncs, (again, host))
                continue
            assert loop.time() == self.now
            await self.request(hosts())
            gap = MEAN_SIZE / max(1.0, rate(self.now))
            next_arrival = self.now + self.rng.expovariate(1 / gap)

    async def request(self, host: int) -> None:
        """One request arrives at a host."""
        sizes, weights = zip(*SIZES, strict=True)
        (size,) = self.rng.choices(sizes, weights)
        cost = quotas.request_cost(self.quota, size)
        self.asked.append((self.now, cost))
        try:
            await self.hosts[host].admit(self.organisation, size)
        except (quotas.QuotaExceededError, quotas.QuotaUnknownError):
            return
        self.sent.append((self.now, cost))

    def most_in_a_window(self, since: float = 0.0) -> float:
        """Returns the most that was sent in one window."""
        most = total = 0.0
        first = 0
        sent = [entry for entry in self.sent if entry[0] >= since]
        for at, cost in sent:
            total += cost
            while sent[first][0] <= at - WINDOW:
                total -= sent[first][1]
                first += 1
            most = max(most, total)
        return most

    def inside(self, begin: float, end: float) -> list[float]:
        """Returns the requests that one bucket for all hosts would serve."""
        level, last = self.quota.burst, 0.0
        inside = []
        for at, cost in self.asked:
            level += (at - last) * self.quota.per_second
            level = min(level, self.quota.burst)
            last = at
            if level >= cost:
                level -= cost
                if begin <= at < end:
                    inside.append(cost)
        return inside

    def served(self, begin: float, end: float) -> list[float]:
        """Returns the requests that were sent in a time."""
        return [cost for at, cost in self.sent if begin <= at < end]

    def report(
        self, name: str, begin: float, end: float
    ) -> tuple[float, float]:
        """Prints and returns both sides: window by bound, served by owed."""
        bound = self.bounds.limit(self.quota)
        window = self.most_in_a_window() / bound
        share = sum(self.served(begin, end)) / sum(self.inside(begin, end))
        calls = sum(host.asked_leader for host in self.hosts)
        print(
            f"{name}: window/bound {window:.3f}, served/inside {share:.3f},"
            f" calls/request {calls / max(1, len(self.asked)):.2f}"
        )
        return window, share


@dataclasses.dataclass
class HostClient:
    """Calls of one host to the ledger."""

    fleet: Fleet
    host: int

    async def exchange_quota(
        self, use: quota_ledger.QuotaUse
    ) -> quota_ledger.QuotaGrant | None:
        """Reports one organisation's use and returns what is granted."""
        return self.fleet.exchange(self.host, use)


@pytest.fixture
def play(monkeypatch: pytest.MonkeyPatch) -> Callable[..., Fleet]:
    """Starts hosts whose loop time the test moves."""

    def start(*args: object, **kwargs: object) -> Fleet:
        fleet = Fleet(*args, **kwargs)  # type: ignore[arg-type]
        loop = asyncio.get_running_loop()
        monkeypatch.setattr(loop, "time", lambda: fleet.now)
        return fleet

    return start


Play = Callable[..., Fleet]


@pytest.mark.parametrize(
    ("hosts", "quota"),
    [(75, LARGE), (75, SMALL), (320, LARGE), (320, SMALL), (2, SMALL)],
    ids=["75_large", "75_small", "320_large", "320_small", "2_small"],
)
@pytest.mark.parametrize("two_hosts", [False, True], ids=["even", "two_hosts"])
async def test_usual_load_is_served(
    play: Play, hosts: int, quota: models.Quota, two_hosts: bool
) -> None:
    fleet = play(hosts, quota)
    where = 2 if two_hosts else hosts
    await fleet.run(
        40,
        lambda now: quota.per_second * 0.7,
        lambda: fleet.rng.randrange(where),
    )
    window, share = fleet.report("usual", 10, 40)
    assert window <= 1
    assert share >= 0.99


@pytest.mark.parametrize(
    ("hosts", "quota"),
    [(75, LARGE), (75, SMALL), (320, LARGE), (320, SMALL)],
    ids=["75_large", "75_small", "320_large", "320_small"],
)
@pytest.mark.parametrize("two_hosts", [False, True], ids=["even", "two_hosts"])
async def test_seven_times_the_usual(
    play: Play, hosts: int, quota: models.Quota, two_hosts: bool
) -> None:
    fleet = play(hosts, quota)
    where = 2 if two_hosts else hosts
    await fleet.run(
        40,
        lambda now: quota.per_second * (4.2 if 15 <= now < 30 else 0.6),
        lambda: fleet.rng.randrange(where),
    )
    window, share = fleet.report("hot", 15, 30)
    assert window <= 1
    assert share >= 0.95


@pytest.mark.parametrize("hosts", [75, 320])
async def test_quota_without_tolerance(play: Play, hosts: int) -> None:
    quota = models.Quota(
        unit=models.QuotaUnit.REQUESTS, per_second=50, burst=100
    )
    fleet = play(hosts, quota, bounds=STRICT_BOUNDS)
    await fleet.run(
        30,
        lambda now: MEAN_SIZE * (200 if 15 <= now < 25 else 30),
        lambda: fleet.rng.randrange(hosts),
    )
    window, share = fleet.report("strict", 10, 30)
    assert window <= 1
    assert share >= 0.95


@pytest.mark.parametrize("load", [0.6, 4.2], ids=["usual", "hot"])
@pytest.mark.parametrize("quota", [LARGE, SMALL], ids=["large", "small"])
async def test_leader_is_lost(
    play: Play, quota: models.Quota, load: float
) -> None:
    """Without a leader nobody starves; with the next one, all is served.

    An organisation starves whose requests are served less than a quarter as
    often as those of others.
    """
    fleet = play(75, quota)
    await fleet.run(
        40,
        lambda now: quota.per_second * load,
        lambda: fleet.rng.randrange(75),
        events={20.0: lambda: fleet.change_leader(away=5.0)},
    )
    window, _ = fleet.report("no leader", 20, 25)
    _, later = fleet.report("next leader", 26, 40)
    assert window <= 1
    served = len(fleet.served(20, 25))
    assert served >= 0.25 * len(fleet.inside(20, 25))
    assert later >= 0.95


@pytest.mark.parametrize("quota", [LARGE, SMALL], ids=["large", "small"])
async def test_hosts_are_cut_off_while_all_ask_for_too_much(
    play: Play, quota: models.Quota
) -> None:
    fleet = play(75, quota)
    await fleet.run(
        50,
        lambda now: quota.per_second * 4.2,
        lambda: fleet.rng.randrange(75),
        events={
            20.0: lambda: fleet.cut.update(range(40)),
            35.0: fleet.cut.clear,
        },
    )
    window, share = fleet.report("cut off", 35, 50)
    assert window <= 1
    assert share >= 0.9


async def test_leader_is_lost_with_half_of_the_hosts(play: Play) -> None:
    """The others go on beside hosts that still spend their shares."""
    fleet = play(75, LARGE)

    def split() -> None:
        fleet.cut.update(range(37))
        fleet.change_leader(away=3.0)

    await fleet.run(
        40,
        lambda now: LARGE.per_second * (4.2 if now >= 15 else 0.6),
        lambda: fleet.rng.randrange(75),
        events={18.0: split},
    )
    window, share = fleet.report("split", 30, 40)
    assert window <= 1
    assert share >= 0.9


async def test_restart_of_all_hosts_is_worth_no_burst(play: Play) -> None:
    fleet = play(75, LARGE)

    def restart() -> None:
        fleet.hosts[:] = [fleet.new_host(host) for host in range(75)]
        fleet.change_leader(away=2.0)

    await fleet.run(
        40,
        lambda now: LARGE.per_second * 4.2,
        lambda: fleet.rng.randrange(75),
        events=dict.fromkeys((20.0, 23.0, 26.0), restart),
    )
    window, share = fleet.report("restarts", 30, 40)
    assert window <= 1
    assert share >= 0.9


async def test_new_quota_far_below_the_load_binds(play: Play) -> None:
    fleet = play(75, LARGE)

    def lower() -> None:
        fleet.quota = token_quota(20_000)

    def raise_again() -> None:
        fleet.quota = LARGE

    await fleet.run(
        40,
        lambda now: LARGE.per_second * 0.9,
        lambda: fleet.rng.randrange(75),
        events={20.0: lower, 35.0: raise_again},
    )
    low = BOUNDS.limit(token_quota(20_000))
    window = sum(cost for at, cost in fleet.sent if 23 <= at < 23 + WINDOW)
    print(f"lowered: window/bound {window / low:.3f}")
    assert window <= low
    owed = LARGE.per_second * 0.9 * 4
    assert sum(fleet.served(36, 40)) >= 0.9 * owed


async def test_refused_request_gives_its_quota_back(play: Play) -> None:
    fleet = play(3, token_quota(1_000, 5_000), bounds=STRICT_BOUNDS)
    fleet.now = 20.0
    admitted = 0
    for _ in range(200):
        host = fleet.hosts[fleet.rng.randrange(3)]
        try:
            cost = await host.admit(fleet.organisation, 500)
        except quotas.QuotaExceededError:
            break
        host.give_back(fleet.organisation, cost)
        admitted += 1
        for index in range(3):
            fleet.sync(index)
    assert admitted == 200


async def test_request_beyond_the_quota_is_told_when_to_come_back(
    play: Play,
) -> None:
    fleet = play(3, token_quota(1_000, 2_000), bounds=STRICT_BOUNDS)
    fleet.now = 20.0
    for _ in range(100):
        try:
            await fleet.hosts[0].admit(fleet.organisation, 500)
        except quotas.QuotaExceededError as error:
            retry_after = error.retry_after.total_seconds()
            break
    else:
        pytest.fail("nothing was refused")
    assert 0.05 <= retry_after <= WINDOW


async def test_larger_request_than_the_quota_is_refused_without_a_call(
    play: Play,
) -> None:
    fleet = play(1, SMALL)
    fleet.now = 20.0
    with pytest.raises(quotas.QuotaExceededError):
        await fleet.hosts[0].admit(fleet.organisation, 10**12)
    assert fleet.hosts[0].asked_leader == 0


async def test_node_that_never_reached_a_leader_knows_no_quota(
    play: Play,
) -> None:
    fleet = play(1, SMALL)
    fleet.cut.add(0)
    fleet.hosts[0].nodes = lambda: 0
    with pytest.raises(quotas.QuotaUnknownError):
        await fleet.hosts[0].admit(fleet.organisation, 100)


async def test_organisation_without_a_quota_is_not_counted(play: Play) -> None:
    fleet = play(1, SMALL)
    free = models.Organisation(name="free")
    assert await fleet.hosts[0].admit(free, 10**9) == 0.0
    assert fleet.hosts[0].report(0.0) == []


async def test_idle_organisations_are_forgotten(play: Play) -> None:
    fleet = play(1, SMALL)
    fleet.now = 20.0
    await fleet.hosts[0].admit(fleet.organisation, 100)
    fleet.now = 49.0
    assert len(fleet.hosts[0].report(49.0)) == 1
    assert fleet.hosts[0].report(51.0) == []


@pytest.mark.parametrize(
    ("unit", "tokens", "cost"),
    [
        (models.QuotaUnit.REQUESTS, 900, 1.0),
        (models.QuotaUnit.REQUESTS, None, 1.0),
        (models.QuotaUnit.TOKENS, 900, 900.0),
        (models.QuotaUnit.TOKENS, 0, 0.0),
        (models.QuotaUnit.TOKENS, None, 200.0),
    ],
)
def test_cost(unit: models.QuotaUnit, tokens: int | None, cost: float) -> None:
    quota = dataclasses.replace(SMALL, unit=unit)
    assert quotas.request_cost(quota, tokens) == cost
