"""The request queue of one engine."""

import asyncio
from collections.abc import Iterator
import dataclasses
from typing import final

from _dogwoodhinge.peer import peer_pb2
from dogwoodhinge import models

MAX_TRACKED_CUSTOMERS = 4_000


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class QueuedRequest:
    """A request that waits for its grant.

    Attributes:
        request: as received from the entry node.
        adapter: adapter and version.
        arrived_at: monotonic seconds.
        deadline_at: the caller's deadline, monotonic seconds.
        expected_seconds: expected run time.
        is_long: expected to run for `Tuning.long_request_seconds` or longer.
        virtual_start: start tag of start-time fair queueing, in seconds of
            work at weight 1.
        reply: resolves to the reply.
        waiters: calls that wait for the reply; more than one if the entry
            node lost its connection and repeated the call.
    """

    request: peer_pb2.AdmitRequest
    adapter: models.AdapterVersion
    arrived_at: float
    deadline_at: float
    expected_seconds: float
    is_long: bool
    virtual_start: float
    reply: asyncio.Future[peer_pb2.AdmitReply]
    waiters: int = 0


@final
class RequestQueue:
    """Queued requests of one engine with start-time fair queueing.

    A request's start tag is the later of the virtual time and the last finish
    tag of its customer. Its finish tag is the start tag plus its expected run
    time divided by the customer's weight. The virtual time is the highest
    start tag served so far.

    Attributes:
        waiting: queued requests by request id, in order of arrival.
        virtual_time: highest start tag served so far, seconds.
        finish_tags: last finish tag by customer.
    """

    def __init__(self) -> None:
        self.waiting: dict[str, QueuedRequest] = {}
        self.virtual_time = 0.0
        self.finish_tags: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self.waiting)

    def __iter__(self) -> Iterator[QueuedRequest]:
        return iter(tuple(self.waiting.values()))

    def start_tag(
        self, customer: str, weight: float, expected_seconds: float
    ) -> float:
        """Returns a new request's start tag; updates the finish tag."""
        last = self.finish_tags.pop(customer, 0.0)
        start = max(self.virtual_time, last)
        self.finish_tags[customer] = start + expected_seconds / weight
        while len(self.finish_tags) > MAX_TRACKED_CUSTOMERS:
            del self.finish_tags[next(iter(self.finish_tags))]
        return start

    def push(self, queued: QueuedRequest) -> None:
        """Adds a request."""
        self.waiting[queued.request.request_id] = queued

    def mark_served(self, queued: QueuedRequest) -> None:
        """Removes a request that is granted and advances the virtual time."""
        self.discard(queued)
        self.virtual_time = max(self.virtual_time, queued.virtual_start)

    def discard(self, queued: QueuedRequest) -> None:
        """Removes a request without advancing the virtual time."""
        self.waiting.pop(queued.request.request_id, None)

    def by_adapter(self) -> dict[models.AdapterVersion, list[QueuedRequest]]:
        """Returns the queued requests grouped by adapter."""
        groups: dict[models.AdapterVersion, list[QueuedRequest]] = {}
        for queued in self.waiting.values():
            groups.setdefault(queued.adapter, []).append(queued)
        return groups
