"""Ranks the live nodes as owners of each engine."""

from typing import final

from _dogwoodhinge.membership import membership as membership_module
from _dogwoodhinge.membership import rendezvous
from _dogwoodhinge.membership import sessions
from dogwoodhinge import models


@final
class OwnerRanking:
    """Ranks live sessions by engine; cached until the live sessions change.

    There are many engines and sessions, so only the sessions nearest to an
    engine are ranked: those in its zone or, if there are none, in its region.

    Attributes:
        live: live sessions by id.
        rankings: cached rankings by engine and excluded session.
    """

    def __init__(self, membership: membership_module.Membership) -> None:
        self.membership = membership
        self.live: dict[str, sessions.Session] = {}
        self.rankings: dict[tuple[str, str], list[str]] = {}

    def update(self) -> None:
        """Reads the live sessions; clears cached rankings if they changed."""
        live = {s.session_id: s for s in self.membership.live()}
        if live.keys() != self.live.keys():
            self.rankings.clear()
        self.live = live

    def best(
        self, endpoint: models.Endpoint, *, excluding: str = ""
    ) -> sessions.Session | None:
        """Returns the session that should own an engine; None if none can.

        Args:
            endpoint: the engine.
            excluding: id of a session to leave out of the ranking.
        """
        ranking = self.ranked(endpoint, excluding=excluding)
        return self.live[ranking[0]] if ranking else None

    def ranked(
        self, endpoint: models.Endpoint, *, excluding: str = ""
    ) -> list[str]:
        """Returns the nearest live sessions, the preferred owner first.

        Args:
            endpoint: the engine.
            excluding: id of a session to leave out of the ranking.
        """
        ranking = self._nearest(endpoint, "")
        if ranking == [excluding]:
            ranking = self._nearest(endpoint, excluding)
        return [name for name in ranking if name != excluding]

    def ranked_remainder(
        self, endpoint: models.Endpoint, *, excluding: str = ""
    ) -> list[str]:
        """Returns the live sessions that `ranked` omits, best first."""
        nearest = {excluding, *self.ranked(endpoint, excluding=excluding)}
        return rendezvous.rank(endpoint.endpoint_id, self.live.keys() - nearest)

    def _nearest(self, endpoint: models.Endpoint, excluding: str) -> list[str]:
        key = (endpoint.endpoint_id, excluding)
        ranking = self.rankings.get(key)
        if ranking is None:
            members = [
                s for s in self.live.values() if s.session_id != excluding
            ]
            ranking = rendezvous.rank_nearest(
                endpoint.endpoint_id,
                members,
                zone=endpoint.zone,
                region=endpoint.region,
            )
            self.rankings[key] = ranking
        return ranking
