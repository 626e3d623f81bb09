"""Rules for redirecting requests to another engine."""

import dataclasses
from typing import final

from _dogwoodhinge.engine_scheduling import collaborators
from _dogwoodhinge.engine_scheduling import engine_owner
from _dogwoodhinge.engine_scheduling import tuning as tuning_lib
from _dogwoodhinge.peer import peer_pb2
from _dogwoodhinge.routing import candidates as candidates_lib
from dogwoodhinge import models

# Requests to slow engines are redirected among this many candidates.
MAX_CANDIDATES_IF_SLOW = 4


@final
@dataclasses.dataclass(frozen=True, slots=True)
class RedirectTarget:
    """The engine that a request is redirected to, and the reason."""

    engine_id: str
    reason: str


@final
class RedirectRule:
    """Redirects requests to the next candidate in the adapter's ranking.

    The last candidate keeps the request, which bounds the redirects of a
    request by the number of candidates. As an exception, the last candidate
    redirects to the first if it is leaving or unreachable.
    """

    def __init__(
        self,
        *,
        directory: collaborators.Directory,
        tuning: tuning_lib.Tuning,
        candidate_count: int,
    ) -> None:
        self.directory = directory
        self.tuning = tuning
        self.candidate_count = candidate_count

    def find_target(
        self,
        owner: engine_owner.EngineOwner,
        request: peer_pb2.AdmitRequest,
        now: float,
    ) -> RedirectTarget | None:
        """Returns the engine to redirect to, None to keep the request."""
        if not self.directory.is_usable(owner.endpoint.endpoint_id):
            return self._next_candidate(
                owner, request, "the engine is leaving or unreachable", None
            )
        if not owner.scheduler.completion_observer.health.accepts_request(now):
            return self._next_candidate(
                owner, request, "the engine is slow", MAX_CANDIDATES_IF_SLOW
            )
        if self._queue_is_long(owner, request):
            return self._next_candidate(
                owner,
                request,
                "the queue is long and the adapter is not resident",
                self.candidate_count + 1,
            )
        return None

    def _queue_is_long(
        self, owner: engine_owner.EngineOwner, request: peer_pb2.AdmitRequest
    ) -> bool:
        adapter = models.AdapterVersion(request.adapter, request.version)
        if owner.slots.has_slot(adapter):
            return False
        wait = owner.scheduler.forecast.expected_wait()
        return wait > self.tuning.redirect_wait.total_seconds()

    def _next_candidate(
        self,
        owner: engine_owner.EngineOwner,
        request: peer_pb2.AdmitRequest,
        reason: str,
        max_candidates: int | None,
    ) -> RedirectTarget | None:
        """Returns the candidate ranked after this engine.

        Args:
            owner: owner of the engine that received the request.
            request: the request.
            reason: why the request is redirected.
            max_candidates: number of candidates to consider, None for all.
        """
        own = owner.endpoint.endpoint_id
        adapter = models.AdapterVersion(request.adapter, request.version)
        names = [
            engine.endpoint_id
            for engine in self.directory.engines(owner.endpoint.role)
            if engine.endpoint_id == own
            or self.directory.is_usable(engine.endpoint_id)
        ]
        ranked = candidates_lib.rank(str(adapter), {own, *names})[
            :max_candidates
        ]
        if own not in ranked:
            return None
        following = ranked[ranked.index(own) + 1 :]
        if not following and max_candidates is None:
            following = ranked[:-1]
        return RedirectTarget(following[0], reason) if following else None
