"""Validity of a lease, as computed by its holder and by its watchers.

The rate of a host's monotonic clock may be off by `CLOCK_DRIFT`. A holder
counts `ttl` from the start of the last successful renewal. A watcher counts
from the answer that first showed the renewal, which is later, and waits long
enough that the lease has expired even if the watcher's clock is the fastest
and the holder's the slowest. The new owner of an engine without fencing then
waits until the orders that the previous owner issued at the last permitted
instant have ended.
"""

import datetime

CLOCK_DRIFT = 0.01  # fraction by which a clock may run fast or slow
DRIFT_FACTOR = (1 + CLOCK_DRIFT) / (1 - CLOCK_DRIFT)
CLOCK_RESOLUTION = datetime.timedelta(milliseconds=1)  # covers the rounding


def is_valid(*, renewed_at: float, now: float, ttl: datetime.timedelta) -> bool:
    """Returns whether a holder's lease is still valid.

    Args:
        renewed_at: start of the last successful renewal, monotonic.
        now: monotonic seconds on the same clock.
        ttl: time to live of the lease.
    """
    return now - renewed_at < ttl.total_seconds()


def lapse_timeout(ttl: datetime.timedelta) -> datetime.timedelta:
    """Returns after which time without a renewal a session may be lapsed.

    Args:
        ttl: time to live of the lease.
    """
    return ttl * DRIFT_FACTOR + CLOCK_RESOLUTION


def takeover_delay(
    *, max_report_age: datetime.timedelta, order_timeout: datetime.timedelta
) -> datetime.timedelta:
    """Returns how long a new owner waits before it takes over.

    The previous owner may be cut off from the table and still issue orders.

    Args:
        max_report_age: maximum age of a peer's report that a node trusts; for
            this long it may continue after the peer reached the table again.
        order_timeout: time within which an order ends after it was permitted.
    """
    return (max_report_age + order_timeout) * DRIFT_FACTOR + CLOCK_RESOLUTION
