"""Open grants of one engine, and when reports may close them."""

from collections.abc import Iterable
import dataclasses
import datetime
from typing import final

from _dogwoodhinge.peer import peer_pb2
from dogwoodhinge import models

MAX_ENDED_REQUESTS = 1_000


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class OpenGrant:
    """A grant that has not ended.

    Attributes:
        grant: as sent to the entry node.
        adapter: adapter and version.
        customer: the customer of the request; empty for a recovered grant.
        granted_at: monotonic seconds.
        closable_from: monotonic seconds; a report taken at or after this
            time that does not list the request closes the grant.
        expected_seconds: expected run time.
        is_long: counts against the batch slots for long requests.
        suspect: was in flight when an engine crashed.
        max_tokens: output limit of the request.
    """

    grant: peer_pb2.Grant
    adapter: models.AdapterVersion
    customer: str
    granted_at: float
    closable_from: float
    expected_seconds: float = 0.0
    is_long: bool = False
    suspect: bool = False
    max_tokens: int = 0


@final
class GrantTable:
    """The open grants of one engine.

    Attributes:
        open_grants: open grants by id.
        ended_requests: ids of requests whose end the entry node reported; a
            report taken earlier may still list them as running.
    """

    def __init__(self, report_lag: datetime.timedelta) -> None:
        self.report_lag = report_lag
        self.open_grants: dict[str, OpenGrant] = {}
        self.ended_requests: dict[str, None] = {}

    def add(self, grant: OpenGrant) -> None:
        """Adds a grant; does nothing if its id is already open."""
        self.open_grants.setdefault(grant.grant.grant_id, grant)

    def find_by_request(self, request_id: str) -> OpenGrant | None:
        """Returns the open grant of a request, None if there is none."""
        for open_grant in self.open_grants.values():
            if open_grant.grant.request_id == request_id:
                return open_grant
        return None

    def close(self, grant_id: str, *, end_confirmed: bool) -> OpenGrant | None:
        """Closes and returns a grant; returns None if it is not open.

        Args:
            grant_id: id of the grant.
            end_confirmed: the engine is known to have ended the request.
        """
        grant = self.open_grants.pop(grant_id, None)
        if grant is not None and end_confirmed:
            self.ended_requests[grant.grant.request_id] = None
            while len(self.ended_requests) > MAX_ENDED_REQUESTS:
                del self.ended_requests[next(iter(self.ended_requests))]
        return grant

    def defer_close(self, grant_id: str, now: float) -> bool:
        """Keeps a grant open whose request may still run on the engine.

        A report taken at least the report lag after `now` closes the grant if
        it does not list the request. Returns False if the grant is not open.
        """
        grant = self.open_grants.get(grant_id)
        if grant is None:
            return False
        grant.closable_from = now + self.report_lag.total_seconds()
        return True

    def pop_finished(
        self, running: Iterable[models.RunningRequest], *, taken_at: float
    ) -> tuple[OpenGrant, ...]:
        """Removes and returns grants that have ended according to a report.

        Args:
            running: requests that the report lists as running.
            taken_at: latest time at which the report was taken.
        """
        ids = tuple(request.request_id for request in running)
        finished = tuple(
            grant
            for grant in self.open_grants.values()
            if taken_at >= grant.closable_from and not _is_listed(grant, ids)
        )
        for grant in finished:
            del self.open_grants[grant.grant.grant_id]
        return finished

    def unmatched(
        self, running: Iterable[models.RunningRequest]
    ) -> tuple[models.RunningRequest, ...]:
        """Returns the reported requests that match no known grant."""
        known = {grant.grant.request_id for grant in self.open_grants.values()}
        known.update(self.ended_requests)
        return tuple(
            request for request in running if request.request_id not in known
        )

    def long_request_count(self) -> int:
        """Returns the number of open grants of long requests."""
        return sum(grant.is_long for grant in self.open_grants.values())

    def has_suspect(self) -> bool:
        """Returns whether a suspect request may be running."""
        return any(grant.suspect for grant in self.open_grants.values())

    def batch_adapters(self) -> frozenset[models.AdapterVersion]:
        """Returns the adapters with open grants."""
        return frozenset(grant.adapter for grant in self.open_grants.values())


def _is_listed(grant: OpenGrant, running_ids: tuple[str, ...]) -> bool:
    # A resumed attempt may append a suffix to the request's id.
    prefix = grant.grant.request_id
    return any(running.startswith(prefix) for running in running_ids)
