"""Divides the descriptors of a process between its peers.

Load pattern: more callers than the process may have connections, while it
needs some for endpoints and for the platform's store.
"""

import dataclasses
from typing import final

# Files, and sockets of the platform's store, of peers and of health checks.
RESERVED = 200

CALLERS_SHARE = 0.6
ENDPOINTS_SHARE = 0.2
BACKLOG_SHARE = 0.13

MAX_BACKLOG = 512


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Shares:
    """How many descriptors each kind of peer may use.

    Attributes:
        callers: connections of callers.
        endpoints: connections to all endpoints together.
        backlog: callers that are accepted before they are counted.
    """

    callers: int
    endpoints: int
    backlog: int


def divide(descriptors: int) -> Shares:
    """Divides the descriptors that a process may have open."""
    shared = max(0, descriptors - RESERVED)
    return Shares(
        callers=max(1, int(shared * CALLERS_SHARE)),
        endpoints=max(1, int(shared * ENDPOINTS_SHARE)),
        backlog=max(1, min(MAX_BACKLOG, int(shared * BACKLOG_SHARE))),
    )
