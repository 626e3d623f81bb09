"""Decides which engine loads which adapter, and what makes way for it.

Load patterns: thousands of adapters of which a few are popular, over engines
with few places; rare adapters asked for at once; demand that moves to other
adapters within seconds; an engine that restarts empty.

One copy of an adapter is enough as long as its engine has room: a second copy
takes a place that an absent adapter needs. An absent adapter goes where its
weights load fast, where little runs, and where the least popular adapter makes
way. Adapters in use, just asked for, or on their way never make way.
"""

import collections
from collections.abc import Collection, Iterable, Mapping
from typing import final

from _dogwoodhinge.fleet import choice
from _dogwoodhinge.fleet import load_times as load_times_lib
from _dogwoodhinge.fleet import models
from _dogwoodhinge.fleet import places as places_lib
from _dogwoodhinge.fleet import popularity as popularity_lib

# The engines' own bound on adapters on their way to one of them.
MAX_LOADING = 4

# A load that takes this factor of what was expected, and the margin in seconds,
# was not carried out, or has been undone since.
LOST_LOAD_FACTOR = 2.0
LOST_LOAD_MARGIN = 0.1

# A request that came too early tries again after this time.
TOO_EARLY_PAUSE_SECONDS = 0.03

# A load from memory that is still not done when it is looked for again was one
# from the store: the engine had not kept the weights.
EARLY_FROM_MEMORY = 2

# From the moment an adapter can be used until its use is reported for certain:
# one exchange between the nodes, and the way of a request.
PROTECTED_SECONDS = 0.35

# Costs of a place, in engine loads: a load from the store against one from
# memory, and the loss of an adapter that is asked for once in a half-life.
STORE_LOAD_COST = 0.5
VICTIM_COST = 0.1


# Nodes ask several times a second; one that missed so many asks for all.
MAX_CHANGES = 2_000


@final
class Placement:
    """The places of all engines that this node gives orders to.

    Attributes:
        active: by node, the adapters that its requests use.
        in_use: by adapter, the nodes that use it.
    """

    def __init__(self) -> None:
        self.engines: dict[str, places_lib.EnginePlaces] = {}
        self.popularity = popularity_lib.Popularity()
        self.active: dict[str, frozenset[models.AdapterKey]] = {}
        self.in_use: collections.Counter[models.AdapterKey] = (
            collections.Counter()
        )
        self.load_times = load_times_lib.LoadTimes()
        self.changes: collections.deque[places_lib.Change] = collections.deque(
            maxlen=MAX_CHANGES
        )
        self.last_change = 0
        self.newest: dict[models.AdapterKey, int] = {}

    def declare(self, key: models.AdapterKey, version: int) -> None:
        """Takes a newer version: older weights are of no use any more."""
        self.newest[key] = version
        for engine in self.engines.values():
            engine.in_memory.pop(key, None)

    def set_engine(
        self,
        engine_id: str,
        *,
        capacity: int,
        residents: Mapping[models.AdapterKey, int],
        pending: Mapping[models.AdapterKey, int],
        in_memory: Iterable[models.AdapterKey],
        now: float,
    ) -> None:
        """Takes an engine's own report on what it holds."""
        known = places_lib.EnginePlaces(engine_id, capacity=capacity)
        previous = self.engines.get(engine_id)
        if previous is not None:
            known.in_memory.update(previous.in_memory)
        for key in in_memory:
            known.note_in_memory(key)
        self.engines[engine_id] = known
        for key, version in residents.items():
            self._set(
                known,
                key,
                places_lib.Place(version, places_lib.State.RESIDENT, now, now),
            )
        for key, version in pending.items():
            ready_at = now + self.load_times.expected(now)
            self._set(
                known,
                key,
                places_lib.Place(
                    version, places_lib.State.LOADING, ready_at, now
                ),
            )
        if previous is not None:
            for key in previous.places.keys() - known.places.keys():
                self._note_change(engine_id, key, None, now)

    def drop_engine(self, engine_id: str, now: float) -> None:
        """Forgets an engine that is gone or has restarted."""
        known = self.engines.pop(engine_id, None)
        if known is not None:
            for key in known.places:
                self._note_change(engine_id, key, None, now)

    def note_active(
        self,
        node: str,
        active: Mapping[models.AdapterKey, int],
        uses: Mapping[models.AdapterKey, int],
        now: float,
    ) -> None:
        """Takes a node's report on the adapters it uses.

        Args:
            node: name of the node.
            active: requests under way, by adapter.
            uses: requests begun since its last report, by adapter.
            now: loop time.
        """
        self.drop_node(node)
        self.active[node] = frozenset(active)
        self.in_use.update(self.active[node])
        for key, count in uses.items():
            self.popularity.note_uses(key, count, now)
        for engine in self.engines.values():
            for key in uses.keys() & engine.places.keys():
                engine.places[key].used_at = now

    def drop_node(self, node: str) -> None:
        """Forgets a node that no longer reports."""
        for key in self.active.pop(node, ()):
            self.in_use[key] -= 1
            if not self.in_use[key]:
                del self.in_use[key]

    def find(
        self,
        key: models.AdapterKey,
        version: int,
        candidates: Iterable[places_lib.Candidate],
        *,
        avoid: Collection[str],
        prompt_tokens: int,
        now: float,
    ) -> places_lib.Seat | places_lib.NoRoom:
        """Finds an engine for an adapter and reserves its place.

        Args:
            key: the adapter.
            version: the oldest version that will do; 0 for any.
            candidates: the engines that may be used.
            avoid: engines that the asker can't use.
            prompt_tokens: of the request that asks.
            now: loop time.

        Returns:
            A seat; `new` ones have to be loaded, see `complete` and `undo`.
        """
        usable = [c for c in candidates if c.engine_id not in avoid]
        held = self._held(key, version, usable, now)
        if held is not None:
            self._give(held.engine_id, prompt_tokens, now)
            return held
        best: (
            tuple[float, places_lib.Candidate, models.AdapterKey | None] | None
        ) = None
        for candidate in usable:
            offer = self._offer(key, candidate, now)
            if offer is not None and (best is None or offer[0] < best[0]):
                best = offer
        if best is None:
            return places_lib.NoRoom()
        _, candidate, victim = best
        self._give(candidate.engine_id, prompt_tokens, now)
        return self._reserve(key, version, candidate, victim, now)

    def is_held(
        self,
        key: models.AdapterKey,
        version: int,
        *,
        avoid: Collection[str],
    ) -> bool:
        """Tells whether an engine has an adapter, or soon will."""
        return any(
            engine.serving(key, version) is not None
            for engine_id, engine in self.engines.items()
            if engine_id not in avoid
        )

    def knows(self, engine_id: str, found: Iterable[models.AdapterKey]) -> bool:
        """Tells whether adapters found on an engine all have a place."""
        engine = self.engines.get(engine_id)
        return engine is not None and engine.places.keys() >= set(found)

    def has_place(self, engine_id: str, key: models.AdapterKey) -> bool:
        """Tells whether an adapter takes a place on an engine."""
        engine = self.engines.get(engine_id)
        return engine is not None and key in engine.places

    def is_reserved(
        self, seat: places_lib.Seat, key: models.AdapterKey
    ) -> bool:
        """Tells whether a new seat's reservation still stands.

        An engine's state that was read meanwhile replaces all reservations.
        """
        engine = self.engines.get(seat.engine_id)
        place = None if engine is None else engine.places.get(key)
        if engine is None or place is None:
            return False
        if seat.evict is not None and seat.evict != key:
            return seat.evict not in engine.places
        return place.state is places_lib.State.LOADING

    def complete(
        self, engine_id: str, key: models.AdapterKey, *, at: float
    ) -> places_lib.Place | None:
        """Notes that a reserved load was accepted at loop time `at`."""
        engine = self.engines.get(engine_id)
        place = None if engine is None else engine.places.get(key)
        if engine is None or place is None:
            return None
        place.ordered_at = at
        place.expected = self.load_times.expected(
            at, from_store=place.from_store
        )
        if place.from_store:
            place.others_on_way = self.load_times.on_way(at)
            self.load_times.note_ordered(at)
        place.ready_at = at + place.expected
        engine.note_in_memory(key)
        self._note_change(engine_id, key, place.version, place.ready_at)
        return place

    def undo(self, engine_id: str, key: models.AdapterKey, now: float) -> None:
        """Frees a place whose load was never begun."""
        engine = self.engines.get(engine_id)
        place = None if engine is None else engine.places.get(key)
        if engine is None or place is None:
            return
        # An older version may still be in use in the place that was reserved.
        if place.state not in places_lib.UNSETTLED:
            del engine.places[key]
            self._note_change(engine_id, key, None, now)

    def note_held_up(
        self, engine_id: str, key: models.AdapterKey, now: float
    ) -> None:
        """Notes that the engine's report has to tell where an adapter is.

        Until then its place is taken.
        """
        engine = self.engines.get(engine_id)
        if engine is not None:
            engine.places[key] = places_lib.Place(
                0, places_lib.State.MISSED, now, now
            )
            self._note_change(engine_id, key, None, now)

    def note_unloading(
        self, engine_id: str, key: models.AdapterKey, now: float
    ) -> None:
        """Notes that an adapter leaves once its runs have ended."""
        engine = self.engines.get(engine_id)
        if engine is not None:
            engine.places[key] = places_lib.Place(
                0, places_lib.State.UNLOADING, now, now
            )

    def is_unsettled(self, engine_id: str, before: float) -> bool:
        """Tells whether a place has waited for a report since a loop time."""
        engine = self.engines.get(engine_id)
        return engine is not None and any(
            place.state in places_lib.UNSETTLED and place.ready_at < before
            for place in engine.places.values()
        )

    def settle(
        self,
        engine_id: str,
        residents: Mapping[models.AdapterKey, int],
        pending: Collection[models.AdapterKey],
        *,
        before: float,
        now: float,
    ) -> None:
        """Settles places by what an engine reports.

        Args:
            engine_id: the engine that reported.
            residents: adapters that it holds, with their versions.
            pending: adapters on their way.
            before: only places that have waited since before this loop time.
            now: loop time.
        """
        engine = self.engines.get(engine_id)
        if engine is None:
            return
        for key, place in tuple(engine.places.items()):
            if (
                place.state not in places_lib.UNSETTLED
                or place.ready_at >= before
            ):
                continue
            if key not in residents and key not in pending:
                del engine.places[key]
            elif place.state is places_lib.State.MISSED and key in residents:
                found = places_lib.Place(
                    residents[key], places_lib.State.RESIDENT, now, now
                )
                self._set(engine, key, found)

    def note_absent(
        self, engine_id: str, key: models.AdapterKey, now: float
    ) -> None:
        """Takes the word of a node that an engine did not have an adapter."""
        engine = self.engines.get(engine_id)
        place = None if engine is None else engine.places.get(key)
        if place is None or place.state in places_lib.UNSETTLED:
            return
        elapsed = now - place.ordered_at
        lost_after = LOST_LOAD_FACTOR * place.expected + LOST_LOAD_MARGIN
        if elapsed > lost_after:
            # It may still come, so its place is not free.
            place.state = places_lib.State.MISSED
            place.ready_at = now
            self._note_change(engine_id, key, None, now)
            return
        if now >= place.ready_at:
            place.early += 1
        place.ready_at = max(place.ready_at, now + TOO_EARLY_PAUSE_SECONDS)
        if not place.from_store and place.early >= EARLY_FROM_MEMORY:
            place.from_store = True
            place.expected = self.load_times.expected(now)
            place.ready_at = max(
                place.ready_at, place.ordered_at + place.expected
            )
        elif place.from_store:
            self.load_times.note_early(
                place.ordered_at,
                expected=place.expected,
                on_way=place.others_on_way,
                now=now,
            )

    def changes_since(self, number: int) -> list[places_lib.Change] | None:
        """Returns later changes; None when some are no longer kept."""
        if number == self.last_change:
            return []
        if not self.changes or self.changes[0].number > number + 1:
            return None
        if number > self.last_change:
            return None
        return [c for c in self.changes if c.number > number]

    def all_places(self) -> list[places_lib.Change]:
        """Returns every place as a change."""
        return [
            places_lib.Change(
                self.last_change, engine_id, key, p.version, p.ready_at
            )
            for engine_id, engine in self.engines.items()
            for key, p in engine.places.items()
            if p.state not in places_lib.UNSETTLED
        ]

    def count_places(self, now: float) -> dict[str, int]:
        """Returns what the places of all engines are taken by.

        `kept` ones were ready a moment ago, and their use is not reported yet;
        `idle` ones could make way.
        """
        counts = dict.fromkeys(
            ("free", "loading", "in_use", "kept", "idle", "unsettled"), 0
        )
        for engine in self.engines.values():
            counts["free"] += max(0, engine.capacity - len(engine.places))
            for key, place in engine.places.items():
                if place.state in places_lib.UNSETTLED:
                    counts["unsettled"] += 1
                elif place.is_loading(now):
                    counts["loading"] += 1
                elif key in self.in_use:
                    counts["in_use"] += 1
                elif self._evictable(key, place, now):
                    counts["idle"] += 1
                else:
                    counts["kept"] += 1
        return counts

    def _held(
        self,
        key: models.AdapterKey,
        version: int,
        usable: list[places_lib.Candidate],
        now: float,
    ) -> places_lib.Seat | None:
        best: tuple[float, places_lib.Seat] | None = None
        for candidate in usable:
            engine = self.engines.get(candidate.engine_id)
            place = None if engine is None else engine.serving(key, version)
            if place is None:
                continue
            seat = places_lib.Seat(
                engine_id=candidate.engine_id,
                version=place.version,
                ready_at=place.ready_at,
            )
            load = self._load(candidate, now)
            if best is None or load < best[0]:
                best = (load, seat)
        return None if best is None else best[1]

    def _give(self, engine_id: str, prompt_tokens: int, now: float) -> None:
        self.engines[engine_id].given.append((now, prompt_tokens))

    def _load(self, candidate: places_lib.Candidate, now: float) -> float:
        work = candidate.work
        engine = self.engines.get(candidate.engine_id)
        if engine is not None:
            work += engine.given_work(now)
        return choice.load(work, candidate.slots)

    def _offer(
        self,
        key: models.AdapterKey,
        candidate: places_lib.Candidate,
        now: float,
    ) -> tuple[float, places_lib.Candidate, models.AdapterKey | None] | None:
        engine = self.engines.get(candidate.engine_id)
        if engine is None or engine.loading(now) >= MAX_LOADING:
            return None
        cost = self._load(candidate, now) + candidate.penalty
        if key not in engine.in_memory:
            cost += STORE_LOAD_COST
        outdated = engine.places.get(key)
        if outdated is not None:
            # An older version makes way for the newer one in its own place.
            if not self._evictable(key, outdated, now):
                return None
            return cost, candidate, key
        if len(engine.places) > candidate.capacity:
            return None
        if len(engine.places) < candidate.capacity:
            return cost, candidate, None
        victim = self._victim(engine, now)
        if victim is None:
            return None
        cost += VICTIM_COST * self.popularity.score(victim, now)
        return cost, candidate, victim

    def _victim(
        self, engine: places_lib.EnginePlaces, now: float
    ) -> models.AdapterKey | None:
        evictable = [
            key
            for key, place in engine.places.items()
            if self._evictable(key, place, now)
        ]
        return min(
            evictable,
            key=lambda key: (
                not self._is_outdated(key, engine.places[key]),
                self.popularity.score(key, now),
                engine.places[key].used_at,
            ),
            default=None,
        )

    def _is_outdated(
        self, key: models.AdapterKey, place: places_lib.Place
    ) -> bool:
        return place.version < self.newest.get(key, 0)

    def _evictable(
        self, key: models.AdapterKey, place: places_lib.Place, now: float
    ) -> bool:
        if place.state in places_lib.UNSETTLED:
            return False
        if key in self.in_use:
            return False
        return now - place.ready_at > PROTECTED_SECONDS

    def _reserve(
        self,
        key: models.AdapterKey,
        version: int,
        candidate: places_lib.Candidate,
        victim: models.AdapterKey | None,
        now: float,
    ) -> places_lib.Seat:
        engine = self.engines[candidate.engine_id]
        if victim is not None:
            engine.places[victim].state = places_lib.State.UNLOADING
            self._note_change(engine.engine_id, victim, None, now)
            del engine.places[victim]
        from_store = key not in engine.in_memory
        ready_at = now + self.load_times.expected(now, from_store=from_store)
        place = places_lib.Place(
            version, places_lib.State.LOADING, ready_at, now, from_store
        )
        self._set(engine, key, place)
        return places_lib.Seat(
            engine_id=engine.engine_id,
            version=version,
            ready_at=ready_at,
            evict=victim,
            new=True,
        )

    def _set(
        self,
        engine: places_lib.EnginePlaces,
        key: models.AdapterKey,
        place: places_lib.Place,
    ) -> None:
        engine.places[key] = place
        engine.note_in_memory(key)
        self._note_change(engine.engine_id, key, place.version, place.ready_at)

    def _note_change(
        self,
        engine_id: str,
        key: models.AdapterKey,
        version: int | None,
        ready_at: float,
    ) -> None:
        self.last_change += 1
        self.changes.append(
            places_lib.Change(
                self.last_change, engine_id, key, version, ready_at
            )
        )
