"""The interface of routing policies, which plug-ins implement."""

from collections.abc import Sequence
import dataclasses
from typing import Protocol, final

from dogwoodhinge import models


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An engine that a request may be sent to, the highest score first."""

    engine_id: str
    score: float


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RoutingView:
    """The state of the entry node when it routes a request.

    Attributes:
        now: monotonic seconds.
        engines: usable engines of the adapter's role.
        request_id: the id of the request.
        candidates: maximum number of engines to return.
        popular: whether an engine owner requested more candidates than usual;
            requests should be distributed over all of them.
        waits: recent waits in seconds, by engine.
        loads: requests running and waiting as last reported, by engine; empty
            if the node reads no load reports.
    """

    now: float
    engines: Sequence[models.Endpoint]
    request_id: str
    candidates: int
    popular: bool
    waits: dict[str, float]
    loads: dict[str, int]


class RoutingPolicy(Protocol):
    """Orders the engines that a request may be sent to."""

    def route(
        self, adapter: models.AdapterVersion, view: RoutingView
    ) -> tuple[Candidate, ...]:
        """Returns the engines to try, the best one first."""
