"""Selects the engines to which an entry node sends a request."""

from collections.abc import Mapping
import datetime
from typing import final

from _dogwoodhinge import decisions as decisions_lib
from _dogwoodhinge import settings as settings_lib
from _dogwoodhinge.engine_scheduling import collaborators
from _dogwoodhinge.peer import peer_pb2
from _dogwoodhinge.routing import hints as hints_lib
from _dogwoodhinge.routing import policy as policy_lib
from dogwoodhinge import models
from dogwoodhinge import ports

MAX_PENDING_REQUESTS = 4_000
# An engine owner redirects a request if it expects at least this much wait.
MIN_REDIRECT_WAIT = datetime.timedelta(seconds=2)


@final
class Router:
    """Routes requests by a policy and by hints from earlier replies.

    Attributes:
        policy: the routing policy.
        hints: hints from replies.
        loads: requests at engines as last reported; only set by baselines
            that read load reports.
        asked_at: monotonic time at which a request was routed, by request id.
    """

    def __init__(
        self,
        *,
        directory: collaborators.Directory,
        policy: policy_lib.RoutingPolicy,
        clock: ports.Clock,
        settings: settings_lib.Settings,
        decisions: decisions_lib.DecisionLog,
    ) -> None:
        self.directory = directory
        self.policy = policy
        self.clock = clock
        self.settings = settings
        self.decisions = decisions
        self.hints = hints_lib.Hints()
        self.loads: Mapping[str, int] = {}
        self.asked_at: dict[str, float] = {}

    def candidates(
        self,
        adapter: models.AdapterVersion,
        role: str,
        *,
        request_id: str,
    ) -> tuple[policy_lib.Candidate, ...]:
        """Returns the engines to try, the best one first.

        Args:
            adapter: adapter and version.
            role: role of the engines, from the contract.
            request_id: the id of the request, also for the decision log.
        """
        now = self.clock.monotonic()
        chosen = self.policy.route(
            adapter, self._view(adapter, role, now, request_id)
        )
        self._record_asked(request_id, now)
        self._record(adapter, chosen, request_id)
        return chosen

    def learn(
        self,
        adapter: models.AdapterVersion,
        engine_id: str,
        reply: peer_pb2.AdmitReply,
    ) -> None:
        """Updates the hints from an engine owner's reply."""
        now = self.clock.monotonic()
        outcome = reply.WhichOneof("outcome")
        if outcome == "grant":
            asked_at = self.asked_at.pop(reply.grant.request_id, None)
            if asked_at is not None:
                self.hints.record_wait(engine_id, now - asked_at, now)
        elif outcome == "refusal":
            seconds = reply.refusal.retry_after_ms / 1_000
            self.hints.record_busy(engine_id, seconds, now)
        elif outcome == "redirect" and reply.redirect.engine_id != engine_id:
            self.hints.record_busy(
                engine_id, MIN_REDIRECT_WAIT.total_seconds(), now
            )
        if reply.candidates_hint:
            until = now + reply.hint_lifetime_ms / 1_000
            self.hints.record_candidates(adapter, reply.candidates_hint, until)

    def _view(
        self,
        adapter: models.AdapterVersion,
        role: str,
        now: float,
        request_id: str,
    ) -> policy_lib.RoutingView:
        engines = [
            engine
            for engine in self.directory.engines(role)
            if self.directory.is_usable(engine.endpoint_id)
        ]
        hinted = self.hints.candidates(adapter, now)
        return policy_lib.RoutingView(
            now=now,
            engines=engines,
            request_id=request_id,
            candidates=max(self.settings.candidates, hinted),
            popular=hinted > self.settings.candidates,
            waits={
                engine.endpoint_id: self.hints.wait(engine.endpoint_id, now)
                for engine in engines
            },
            loads=dict(self.loads),
        )

    def _record_asked(self, request_id: str, now: float) -> None:
        self.asked_at[request_id] = now
        while len(self.asked_at) > MAX_PENDING_REQUESTS:
            del self.asked_at[next(iter(self.asked_at))]

    def _record(
        self,
        adapter: models.AdapterVersion,
        chosen: tuple[policy_lib.Candidate, ...],
        request_id: str,
    ) -> None:
        first = chosen[0].engine_id if chosen else "refuse"
        self.decisions.record(
            decisions_lib.Decision(
                kind="route",
                chosen=first,
                reason=f"policy {self.settings.routing_policy}"
                if chosen
                else "no usable engine with the required role",
                request_id=request_id,
                adapter=str(adapter),
                alternatives=tuple(
                    decisions_lib.Alternative(item.engine_id, item.score)
                    for item in chosen
                ),
            )
        )
