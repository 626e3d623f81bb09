"""Weights, limits and timing of engine owners."""

import dataclasses
import datetime
from typing import final

from _dogwoodhinge import settings as settings_lib


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Tuning:
    """Scheduling parameters that a deployment may change.

    Attributes:
        slack_weight: score per second of slack before the deadline.
        fairness_weight: score per second of work that a customer is ahead of
            its fair share.
        batch_bonus_seconds: score deducted for a request whose adapter is in
            the running batch.
        wait_bound: a request that waited longer precedes the others of its
            priority.
        short_request_reserve: fraction of the batch slots that long requests
            may not use.
        long_request_seconds: expected run time from which a request counts as
            long.
        max_concurrent_loads: limit of the loads in flight on one engine.
        redirect_wait: expected wait above which a request whose adapter is
            not resident is redirected to the next candidate.
        popular_batch_fraction: fraction of the batch from which an adapter
            gets another replica.
        replica_step_interval: minimum time between two added replicas.
        hint_lifetime: lifetime of a replica count hint, and minimum time
            between two removed replicas.
        max_queue_length: limit of the requests queued for one engine.
        demand_half_life: half-life of an adapter's demand.
    """

    slack_weight: float = 0.02
    fairness_weight: float = 1.0
    batch_bonus_seconds: float = 1.0
    wait_bound: datetime.timedelta = datetime.timedelta(seconds=2)
    short_request_reserve: float = 0.25
    long_request_seconds: float = 8.0
    max_concurrent_loads: int = 2
    redirect_wait: datetime.timedelta = datetime.timedelta(seconds=2)
    popular_batch_fraction: float = 0.4
    replica_step_interval: datetime.timedelta = datetime.timedelta(seconds=1)
    hint_lifetime: datetime.timedelta = datetime.timedelta(seconds=10)
    max_queue_length: int = 1_000
    demand_half_life: datetime.timedelta = datetime.timedelta(seconds=60)


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Timing:
    """Intervals and timeouts of engine owners from the node's settings."""

    report_poll: datetime.timedelta
    report_lag: datetime.timedelta
    load_timeout: datetime.timedelta
    order_timeout: datetime.timedelta
    start_within: datetime.timedelta

    @classmethod
    def from_settings(cls, settings: settings_lib.Settings) -> "Timing":
        """Reads the intervals and timeouts from the settings."""
        return cls(
            report_poll=settings.seconds("report_poll"),
            report_lag=settings.seconds("report_lag"),
            load_timeout=settings.seconds("load_timeout"),
            order_timeout=settings.seconds("order_timeout"),
            start_within=settings.seconds("start_within"),
        )
