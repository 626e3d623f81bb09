"""The built-in routing policies, loaded as a plug-in."""

import hashlib
from typing import final

from _dogwoodhinge.routing import candidates
from _dogwoodhinge.routing import policy
from dogwoodhinge import hookimpl as hookimpl_lib
from dogwoodhinge import models

# Cost of each rank, so that an adapter stays on its first candidate if the
# waits are equal.
RANK_COST_SECONDS = 0.25
# Random cost for popular adapters; it outweighs smaller differences of waits.
JITTER_SECONDS = 0.5


@final
class OwnerPolicy:
    """Orders the first engines of an adapter's rendezvous order by cost.

    The cost of a candidate is the wait observed there plus a small cost for
    each rank. The requests of a popular adapter are distributed evenly over
    its candidates.
    """

    def route(
        self, adapter: models.AdapterVersion, view: policy.RoutingView
    ) -> tuple[policy.Candidate, ...]:
        """See `policy.RoutingPolicy`."""
        names = [engine.endpoint_id for engine in view.engines]
        ranked = candidates.rank(str(adapter), names)
        scored = [
            policy.Candidate(name, -self._cost(name, index, view))
            for index, name in enumerate(ranked[: view.candidates])
        ]
        scored.sort(key=lambda candidate: -candidate.score)
        return tuple(scored)

    def _cost(self, name: str, index: int, view: policy.RoutingView) -> float:
        cost = view.waits.get(name, 0.0)
        if view.popular:
            key = f"{view.request_id} {name}"
            return cost + JITTER_SECONDS * candidates.hash_fraction(key)
        return cost + RANK_COST_SECONDS * index


@final
class RandomPolicy:
    """Orders all engines at random, by a hash of the request's id."""

    def route(
        self, adapter: models.AdapterVersion, view: policy.RoutingView
    ) -> tuple[policy.Candidate, ...]:
        """See `policy.RoutingPolicy`."""
        del adapter
        names = [engine.endpoint_id for engine in view.engines]
        shuffled = candidates.rank(_digest(view.request_id), names)
        return _by_position(shuffled[: view.candidates])


@final
class LeastLoadPolicy:
    """Orders engines by their last reported load, which may be outdated."""

    def route(
        self, adapter: models.AdapterVersion, view: policy.RoutingView
    ) -> tuple[policy.Candidate, ...]:
        """See `policy.RoutingPolicy`."""
        del adapter
        names = [engine.endpoint_id for engine in view.engines]
        shuffled = candidates.rank(_digest(view.request_id), names)
        shuffled.sort(key=lambda name: view.loads.get(name, 0))
        return tuple(
            policy.Candidate(name, -float(view.loads.get(name, 0)))
            for name in shuffled[: view.candidates]
        )


@final
class RendezvousPolicy:
    """Uses the adapter's rendezvous order, independent of load."""

    def route(
        self, adapter: models.AdapterVersion, view: policy.RoutingView
    ) -> tuple[policy.Candidate, ...]:
        """See `policy.RoutingPolicy`."""
        names = [engine.endpoint_id for engine in view.engines]
        ranked = candidates.rank(str(adapter), names)
        return _by_position(ranked[: view.candidates])


@hookimpl_lib.hookimpl
def make_routing_policy(name: str) -> policy.RoutingPolicy | None:
    """Creates `owner`, `random`, `least-load` or `rendezvous`."""
    if name == "owner":
        return OwnerPolicy()
    if name == "random":
        return RandomPolicy()
    if name == "least-load":
        return LeastLoadPolicy()
    if name == "rendezvous":
        return RendezvousPolicy()
    return None


def _by_position(names: list[str]) -> tuple[policy.Candidate, ...]:
    return tuple(
        policy.Candidate(name, -float(index))
        for index, name in enumerate(names)
    )


def _digest(text: str) -> str:
    return hashlib.blake2b(text.encode(), digest_size=8).hexdigest()
