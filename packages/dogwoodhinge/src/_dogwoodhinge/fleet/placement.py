"""Decides which engine loads which adapter, and which one it evicts.

Load patterns: thousands of adapters, a few of them popular, on engines with few
adapter slots; bursts of requests for rare adapters; demand that shifts to other
adapters within seconds; an engine that restarts empty.

A single replica of an adapter is enough while its engine has capacity: a second
one would take a slot that an absent adapter needs. An absent adapter is loaded
where its weights load fast, where the load is low, and where the least popular
adapter can be evicted. Adapters that are in use, were requested just now or are
being loaded are never evicted.
"""

import collections
from collections.abc import Collection, Iterable, Mapping
import itertools
import math
import statistics
from typing import final

from _dogwoodhinge.fleet import adapter_slots as adapter_slots_lib
from _dogwoodhinge.fleet import engine_selection
from _dogwoodhinge.fleet import load_times as load_times_lib
from _dogwoodhinge.fleet import models
from _dogwoodhinge.fleet import popularity as popularity_lib

# The engines' own limit on concurrent adapter loads per engine.
MAX_LOADS_IN_FLIGHT = 4

# A load that takes longer than this multiple of the estimate plus the margin
# was not executed, or the adapter has been unloaded since.
LOST_LOAD_FACTOR = 2.0
LOST_LOAD_MARGIN_SECONDS = 0.1

# A load from the store is expected to end this much later than estimated, since
# loads ordered after it slow it down. A request that is sent too early costs a
# retry of the shared budget.
STORE_LOAD_MARGIN_FACTOR = 1.15

# Delay after which a request that arrived before the end of the load retries.
# It doubles with each further one.
EARLY_RETRY_DELAY_SECONDS = 0.03
MAX_EARLY_RETRY_DELAY_SECONDS = 0.24

# After this many early requests, a load expected from host memory counts as one
# from the store: the engine had not kept the weights.
EARLY_REQUESTS_TO_ASSUME_STORE = 2

# Time after the load within which the use of an adapter is certain to be
# reported: one report interval between the nodes, plus the transit time of a
# request.
EVICTION_GRACE_SECONDS = 0.35

# Costs of a slot, in units of engine load: loading from the store instead of
# host memory, which takes a quarter of a second longer and occupies the store,
# and evicting an adapter that is requested once per half-life.
STORE_LOAD_COST = 1.0
EVICTION_COST = 0.1

# An adapter is not evicted for one whose score is lower by more than this: it
# will be missed before its place is free again. At most half of the adapters in
# slots are kept so, and the border is found again after a time.
KEPT_SCORE = 2.0
KEPT_SCORE_LIFETIME_SECONDS = 0.25

# Score of an adapter that is worth a load ahead of its next request: it was
# requested about twice within the half-life of the scores.
POPULAR_SCORE = 1.5

# For this time, an engine's answer to whether it can take one more adapter is
# used again: requests that wait ask each engine several thousand times a second
# at peak load.
OPENING_LIFETIME_SECONDS = 0.02

# Nodes poll several times a second; one that has missed more changes than this
# reads all slots instead.
MAX_CHANGES = 2_000


def early_retry_delay_seconds(early_requests: int) -> float:
    """Returns the seconds until a request for a late load is sent again.

    Load pattern: many loads are in flight, so each takes longer than estimated
    when it was ordered. Requests that return at a fixed short interval spend
    the retries that other requests need.

    Args:
        early_requests: requests that have found the load unfinished so far.
    """
    doublings = max(0, early_requests - 1)
    return min(
        EARLY_RETRY_DELAY_SECONDS * 2**doublings, MAX_EARLY_RETRY_DELAY_SECONDS
    )


def _lost_after_seconds(slot: adapter_slots_lib.AdapterSlot) -> float:
    """Returns the seconds after which an unfinished load counts as lost."""
    return LOST_LOAD_FACTOR * slot.expected + LOST_LOAD_MARGIN_SECONDS


@final
class Placement:
    """The adapter slots of all engines that this node gives orders to.

    Attributes:
        engines: adapter slots, by engine.
        popularity: decaying use counts of the adapters.
        active: adapters that a node's requests use, by node.
        in_use: number of nodes that use an adapter, by adapter.
        load_times: estimate of load durations.
        changes: the latest changes of slots, oldest first.
        last_change: sequence number of the latest change.
        last_reservation: number of the latest reservation.
        newest: newest declared version, by adapter.
        kept_score: by how much a score must be higher for its adapter to be
            kept.
        kept_score_at: loop time at which it was found.
    """

    def __init__(self) -> None:
        self.engines: dict[str, adapter_slots_lib.EngineSlots] = {}
        self.popularity = popularity_lib.Popularity()
        self.active: dict[str, frozenset[models.AdapterKey]] = {}
        self.in_use: collections.Counter[models.AdapterKey] = (
            collections.Counter()
        )
        self.load_times = load_times_lib.LoadTimes()
        self.changes: collections.deque[adapter_slots_lib.SlotChange] = (
            collections.deque(maxlen=MAX_CHANGES)
        )
        self.last_change = 0
        self.last_reservation = 0
        self.newest: dict[models.AdapterKey, int] = {}
        self.kept_score = KEPT_SCORE
        self.kept_score_at = -math.inf

    def declare(self, key: models.AdapterKey, version: int) -> None:
        """Records a newer version; weights in host memory are now outdated."""
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
        """Replaces an engine's slots by the contents of its own report."""
        known = adapter_slots_lib.EngineSlots(engine_id, capacity=capacity)
        previous = self.engines.get(engine_id)
        if previous is not None:
            known.in_memory.update(previous.in_memory)
        for key in in_memory:
            known.record_in_memory(key)
        self.engines[engine_id] = known
        for key, version in residents.items():
            self._set_slot(
                known,
                key,
                adapter_slots_lib.AdapterSlot(
                    version, adapter_slots_lib.SlotState.RESIDENT, now, now
                ),
            )
        for key, version in pending.items():
            ready_at = now + self.load_times.expected(now)
            self._set_slot(
                known,
                key,
                adapter_slots_lib.AdapterSlot(
                    version, adapter_slots_lib.SlotState.LOADING, ready_at, now
                ),
            )
        if previous is not None:
            for key in (
                previous.adapter_slots.keys() - known.adapter_slots.keys()
            ):
                self._record_change(engine_id, key, None, now)

    def drop_engine(self, engine_id: str, now: float) -> None:
        """Removes an engine that has left or restarted."""
        known = self.engines.pop(engine_id, None)
        if known is not None:
            for key in known.adapter_slots:
                self._record_change(engine_id, key, None, now)

    def record_node_use(
        self,
        node: str,
        active: Mapping[models.AdapterKey, int],
        uses: Mapping[models.AdapterKey, int],
        now: float,
    ) -> None:
        """Records a node's report on the adapters that it uses.

        Args:
            node: name of the node.
            active: number of active requests, by adapter.
            uses: number of requests started since its last report, by adapter.
            now: loop time.
        """
        self.drop_node(node)
        self.active[node] = frozenset(active)
        self.in_use.update(self.active[node])
        for key, count in uses.items():
            self.popularity.record_uses(key, count, now)
        for engine in self.engines.values():
            for key in uses.keys() & engine.adapter_slots.keys():
                engine.adapter_slots[key].used_at = now

    def record_assigned_use(self, node: str, key: models.AdapterKey) -> None:
        """Records that a node is about to use an adapter.

        Load pattern: with hundreds of nodes each reports so rarely that an
        adapter would be evicted while its first request runs. The node's next
        report replaces this record. A node that does not report leaves none,
        since nothing would end it.
        """
        active = self.active.get(node)
        if active is not None and key not in active:
            self.active[node] = active | {key}
            self.in_use[key] += 1

    def drop_node(self, node: str) -> None:
        """Removes a node that has stopped reporting."""
        for key in self.active.pop(node, ()):
            self.in_use[key] -= 1
            if not self.in_use[key]:
                del self.in_use[key]

    def find(
        self,
        key: models.AdapterKey,
        version: int,
        candidates: Iterable[adapter_slots_lib.Candidate],
        *,
        avoid: Collection[str],
        prompt_tokens: int,
        now: float,
    ) -> adapter_slots_lib.Assignment | adapter_slots_lib.NoFreeSlot:
        """Finds an engine for an adapter and reserves a slot if it needs one.

        Args:
            key: the adapter.
            version: oldest acceptable version; 0 for any.
            candidates: the engines that may be used.
            avoid: engines that the entry node cannot use.
            prompt_tokens: prompt length of the caller's request.
            now: loop time.

        Returns:
            An assignment. If it is `new`, the adapter must be loaded; the load
            order is then either confirmed or its reservation cancelled.
        """
        usable = [c for c in candidates if c.engine_id not in avoid]
        held = self._find_held(key, version, usable, now)
        if held is not None:
            self._record_assignment(held.engine_id, prompt_tokens, now)
            return held
        best: (
            tuple[float, adapter_slots_lib.Candidate, models.AdapterKey | None]
            | None
        ) = None
        for candidate in usable:
            option = self._evaluate(key, candidate, now)
            if option is not None and (best is None or option[0] < best[0]):
                best = option
        if best is None:
            return adapter_slots_lib.NoFreeSlot()
        _, candidate, victim = best
        self._record_assignment(candidate.engine_id, prompt_tokens, now)
        return self._reserve(key, version, candidate, victim, now)

    def is_held(
        self,
        key: models.AdapterKey,
        version: int,
        *,
        avoid: Collection[str],
    ) -> bool:
        """Returns whether an engine holds or is loading an adapter."""
        return any(
            engine.serving(key, version) is not None
            for engine_id, engine in self.engines.items()
            if engine_id not in avoid
        )

    def sole_popular_adapters(
        self, engine_id: str, now: float
    ) -> list[models.AdapterKey]:
        """Returns what would be missed without an engine, most popular first.

        These are the adapters of its slots that no other engine holds and that
        are requested often.
        """
        engine = self.engines.get(engine_id)
        if engine is None:
            return []
        scores = {
            key: self.popularity.score(key, now)
            for key, slot in engine.adapter_slots.items()
            if slot.state not in adapter_slots_lib.UNSETTLED
            and not self.is_held(
                key, self.newest.get(key, 0), avoid=(engine_id,)
            )
        }
        popular = [k for k, score in scores.items() if score >= POPULAR_SCORE]
        return sorted(popular, key=lambda key: -scores[key])

    def has_slots_for(
        self, engine_id: str, found: Iterable[models.AdapterKey]
    ) -> bool:
        """Returns whether all adapters found on an engine have a slot."""
        engine = self.engines.get(engine_id)
        return engine is not None and engine.adapter_slots.keys() >= set(found)

    def has_slot(self, engine_id: str, key: models.AdapterKey) -> bool:
        """Returns whether an adapter takes a slot on an engine."""
        engine = self.engines.get(engine_id)
        return engine is not None and key in engine.adapter_slots

    def is_reserved(
        self, assignment: adapter_slots_lib.Assignment, key: models.AdapterKey
    ) -> bool:
        """Returns whether the reservation of a new assignment is still valid.

        Reading an engine's state discards all reservations on it.
        """
        return self._reserved_slot(assignment, key) is not None

    def _reserved_slot(
        self, assignment: adapter_slots_lib.Assignment, key: models.AdapterKey
    ) -> adapter_slots_lib.AdapterSlot | None:
        engine = self.engines.get(assignment.engine_id)
        slot = None if engine is None else engine.adapter_slots.get(key)
        if slot is None or slot.reservation != assignment.reservation:
            return None
        return slot

    def confirm_order(
        self,
        engine_id: str,
        key: models.AdapterKey,
        *,
        at: float,
        order_number: int = 0,
    ) -> adapter_slots_lib.AdapterSlot | None:
        """Records that a load order was accepted.

        Args:
            engine_id: the engine.
            key: the adapter.
            at: loop time of its reply.
            order_number: number of orders that it has accepted with this one;
                0 if unknown.
        """
        engine = self.engines.get(engine_id)
        slot = None if engine is None else engine.adapter_slots.get(key)
        if engine is None or slot is None:
            return None
        slot.ordered = True
        slot.ordered_at = at
        slot.order_number = order_number
        slot.expected = self.load_times.expected(at, from_store=slot.from_store)
        if slot.from_store:
            slot.others_in_flight = self.load_times.in_flight(at)
            slot.expected = self.load_times.record_order(at)
        margin_factor = STORE_LOAD_MARGIN_FACTOR if slot.from_store else 1.0
        slot.ready_at = at + slot.expected * margin_factor
        engine.record_in_memory(key)
        self._record_change(engine_id, key, slot.version, slot.ready_at)
        return slot

    def confirm_residents(
        self,
        engine_id: str,
        residents: Collection[models.AdapterKey],
        *,
        orders_accepted: int,
    ) -> None:
        """Records the adapters that an engine lists.

        Args:
            engine_id: the engine.
            residents: adapters that it holds.
            orders_accepted: number of orders that it had accepted then. A list
                from before an adapter's load may still contain its previous
                copy.
        """
        engine = self.engines.get(engine_id)
        if engine is None:
            return
        for key in residents:
            slot = engine.adapter_slots.get(key)
            if (
                slot is not None
                and slot.state is adapter_slots_lib.SlotState.LOADING
                and 0 < slot.order_number <= orders_accepted
            ):
                slot.state = adapter_slots_lib.SlotState.RESIDENT

    def return_slot(
        self,
        engine_id: str,
        key: models.AdapterKey,
        slot: adapter_slots_lib.AdapterSlot,
        now: float,
    ) -> None:
        """Gives an adapter its slot back, since it is still on its way."""
        engine = self.engines.get(engine_id)
        if engine is not None:
            self._postpone(slot, now)
            self._set_slot(engine, key, slot)

    def cancel_reservation(
        self,
        assignment: adapter_slots_lib.Assignment,
        key: models.AdapterKey,
        now: float,
    ) -> None:
        """Frees a reserved slot whose load was never started."""
        slot = self._reserved_slot(assignment, key)
        # An older version may still be in use in the reserved slot.
        if slot is not None and slot.state not in adapter_slots_lib.UNSETTLED:
            engine_id = assignment.engine_id
            del self.engines[engine_id].adapter_slots[key]
            self._record_change(engine_id, key, None, now)

    def record_unconfirmed(
        self, engine_id: str, key: models.AdapterKey, now: float
    ) -> None:
        """Records that only the engine's report can locate an adapter.

        Its slot counts as taken until then.
        """
        engine = self.engines.get(engine_id)
        if engine is not None:
            engine.adapter_slots[key] = adapter_slots_lib.AdapterSlot(
                0, adapter_slots_lib.SlotState.UNCONFIRMED, now, now
            )
            self._record_change(engine_id, key, None, now)

    def record_unloading(
        self, engine_id: str, key: models.AdapterKey, now: float
    ) -> None:
        """Records that an adapter is unloaded once its requests have ended."""
        engine = self.engines.get(engine_id)
        if engine is not None:
            engine.adapter_slots[key] = adapter_slots_lib.AdapterSlot(
                0, adapter_slots_lib.SlotState.UNLOADING, now, now
            )
            engine.opening = None

    def has_unsettled_slots(self, engine_id: str, before: float) -> bool:
        """Returns whether a slot became unsettled before a loop time."""
        engine = self.engines.get(engine_id)
        return engine is not None and any(
            slot.state in adapter_slots_lib.UNSETTLED and slot.ready_at < before
            for slot in engine.adapter_slots.values()
        )

    def reconcile(
        self,
        engine_id: str,
        residents: Mapping[models.AdapterKey, int],
        pending: Collection[models.AdapterKey],
        *,
        before: float,
        now: float,
    ) -> None:
        """Reconciles unsettled slots with an engine's report.

        Args:
            engine_id: the engine that reported.
            residents: adapters that it holds, with their versions.
            pending: adapters that it is loading.
            before: slots that became unsettled later than this loop time are
                skipped.
            now: loop time.
        """
        engine = self.engines.get(engine_id)
        if engine is None:
            return
        for key, slot in tuple(engine.adapter_slots.items()):
            if (
                slot.state not in adapter_slots_lib.UNSETTLED
                or slot.ready_at >= before
            ):
                continue
            if key not in residents and key not in pending:
                del engine.adapter_slots[key]
            elif (
                slot.state is adapter_slots_lib.SlotState.UNCONFIRMED
                and key in residents
            ):
                found = adapter_slots_lib.AdapterSlot(
                    residents[key],
                    adapter_slots_lib.SlotState.RESIDENT,
                    now,
                    now,
                )
                self._set_slot(engine, key, found)

    def record_absent(
        self, engine_id: str, key: models.AdapterKey, now: float
    ) -> None:
        """Records a node's report that an engine did not have an adapter."""
        engine = self.engines.get(engine_id)
        slot = None if engine is None else engine.adapter_slots.get(key)
        if slot is None or slot.state in adapter_slots_lib.UNSETTLED:
            return
        if not slot.ordered:
            return  # the request was sent to an earlier copy
        if now - slot.ordered_at > _lost_after_seconds(slot):
            # The load may still be executed, so the slot is not free.
            slot.state = adapter_slots_lib.SlotState.UNCONFIRMED
            slot.ready_at = now
            self._record_change(engine_id, key, None, now)
            return
        self._postpone(slot, now)

    def _postpone(
        self, slot: adapter_slots_lib.AdapterSlot, now: float
    ) -> None:
        """Records that a load has not ended when it was expected to."""
        if now >= slot.ready_at:
            slot.early_requests += 1
        retry_delay = early_retry_delay_seconds(slot.early_requests)
        slot.ready_at = max(slot.ready_at, now + retry_delay)
        if (
            not slot.from_store
            and slot.early_requests >= EARLY_REQUESTS_TO_ASSUME_STORE
        ):
            slot.from_store = True
            slot.expected = self.load_times.expected(now)
            slot.ready_at = max(slot.ready_at, slot.ordered_at + slot.expected)
        elif slot.from_store:
            self.load_times.record_early_request(
                slot.ordered_at,
                expected=slot.expected,
                in_flight=slot.others_in_flight,
                now=now,
            )

    def record_rejected_load(self, engine_id: str, now: float) -> bool:
        """Records that an engine accepts no further load for now.

        Load pattern: a burst of loads at the weight store, so that each takes
        longer than estimated. The latest loads of the engine are then still in
        flight, as many as it allows.

        Returns:
            False if fewer loads can be in flight, so that the rejection has
            another cause.
        """
        engine = self.engines.get(engine_id)
        if engine is None:
            return False
        latest = [
            (key, slot)
            for key, slot in engine.adapter_slots.items()
            if slot.state is adapter_slots_lib.SlotState.LOADING
            and slot.ordered_at > 0
            and now - slot.ordered_at <= _lost_after_seconds(slot)
        ]
        latest.sort(key=lambda item: item[1].ordered_at)
        latest = latest[-MAX_LOADS_IN_FLIGHT:]
        if len(latest) < MAX_LOADS_IN_FLIGHT:
            return False
        for key, slot in latest:
            if now < slot.ready_at:
                continue
            self._postpone(slot, now)
            self._record_change(engine_id, key, slot.version, slot.ready_at)
        return True

    def changes_since(
        self, number: int
    ) -> list[adapter_slots_lib.SlotChange] | None:
        """Returns the changes after `number`, or None if some are dropped."""
        if number == self.last_change:
            return []
        if not self.changes or self.changes[0].number > number + 1:
            return None
        if number > self.last_change:
            return None
        skipped = number + 1 - self.changes[0].number
        return list(itertools.islice(self.changes, skipped, None))

    def all_slots(self) -> list[adapter_slots_lib.SlotChange]:
        """Returns all slots that are not unsettled, as changes."""
        return [
            adapter_slots_lib.SlotChange(
                self.last_change, engine_id, key, p.version, p.ready_at
            )
            for engine_id, engine in self.engines.items()
            for key, p in engine.adapter_slots.items()
            if p.state not in adapter_slots_lib.UNSETTLED and p.ordered
        ]

    def count_closed(
        self, candidates: Iterable[adapter_slots_lib.Candidate], now: float
    ) -> collections.Counter[str]:
        """Returns how many engines take no adapter now, by why."""
        reasons: collections.Counter[str] = collections.Counter()
        for candidate in candidates:
            engine = self.engines.get(candidate.engine_id)
            if engine is None or self._opening(engine, candidate, now).is_open:
                continue
            if engine.loading(now) >= MAX_LOADS_IN_FLIGHT:
                reasons["loading"] += 1
            elif engine.has_waiting_unload:
                reasons["unloading"] += 1
            else:
                reasons["in_use"] += 1
        return reasons

    def count_slots(self, now: float) -> dict[str, int]:
        """Returns the number of slots of all engines, by use.

        `kept` slots have just become ready, and their use may not be reported
        yet; `idle` ones can be evicted.
        """
        counts = dict.fromkeys(
            ("free", "loading", "in_use", "kept", "idle", "unsettled"), 0
        )
        for engine in self.engines.values():
            counts["free"] += max(
                0, engine.capacity - len(engine.adapter_slots)
            )
            for key, slot in engine.adapter_slots.items():
                if slot.state in adapter_slots_lib.UNSETTLED:
                    counts["unsettled"] += 1
                elif slot.is_loading(now):
                    counts["loading"] += 1
                elif key in self.in_use:
                    counts["in_use"] += 1
                elif self._is_evictable(key, slot, now):
                    counts["idle"] += 1
                else:
                    counts["kept"] += 1
        return counts

    def _find_held(
        self,
        key: models.AdapterKey,
        version: int,
        usable: list[adapter_slots_lib.Candidate],
        now: float,
    ) -> adapter_slots_lib.Assignment | None:
        best: tuple[float, adapter_slots_lib.Assignment] | None = None
        for candidate in usable:
            engine = self.engines.get(candidate.engine_id)
            slot = None if engine is None else engine.serving(key, version)
            if slot is None:
                continue
            assignment = adapter_slots_lib.Assignment(
                engine_id=candidate.engine_id,
                version=slot.version,
                ready_at=slot.ready_at,
                ordered=slot.ordered,
            )
            load = self._load(candidate, now)
            if best is None or load < best[0]:
                best = (load, assignment)
        return None if best is None else best[1]

    def _record_assignment(
        self, engine_id: str, prompt_tokens: int, now: float
    ) -> None:
        self.engines[engine_id].unreported.append((now, prompt_tokens))

    def _load(
        self, candidate: adapter_slots_lib.Candidate, now: float
    ) -> float:
        work = candidate.work
        engine = self.engines.get(candidate.engine_id)
        if engine is not None:
            work += engine.unreported_work(now)
        return engine_selection.load(work, candidate.request_slots)

    def _evaluate(
        self,
        key: models.AdapterKey,
        candidate: adapter_slots_lib.Candidate,
        now: float,
    ) -> (
        tuple[float, adapter_slots_lib.Candidate, models.AdapterKey | None]
        | None
    ):
        engine = self.engines.get(candidate.engine_id)
        if engine is None:
            return None
        outdated = engine.adapter_slots.get(key)
        if outdated is not None:
            # An older version is evicted, and the newer one takes its slot.
            if (
                engine.loading(now) >= MAX_LOADS_IN_FLIGHT
                or engine.has_waiting_unload
                or not self._is_evictable(key, outdated, now)
            ):
                return None
            victim: models.AdapterKey | None = key
        else:
            opening = self._opening(engine, candidate, now)
            if not opening.is_open:
                return None
            victim = opening.victim
        cost = self._load(candidate, now) + candidate.penalty
        if key not in engine.in_memory:
            cost += STORE_LOAD_COST
        if victim is not None and outdated is None:
            score = self.popularity.score(victim, now)
            least = self.popularity.score(key, now) + self._kept_score(now)
            if score > least and not self._is_outdated(
                victim, engine.adapter_slots[victim]
            ):
                return None
            cost += EVICTION_COST * score
        return cost, candidate, victim

    def _kept_score(self, now: float) -> float:
        if now - self.kept_score_at >= KEPT_SCORE_LIFETIME_SECONDS:
            scores = [
                self.popularity.score(key, now)
                for engine in self.engines.values()
                for key in engine.adapter_slots
            ]
            median = statistics.median(scores) if scores else 0.0
            self.kept_score = max(KEPT_SCORE, median)
            self.kept_score_at = now
        return self.kept_score

    def _opening(
        self,
        engine: adapter_slots_lib.EngineSlots,
        candidate: adapter_slots_lib.Candidate,
        now: float,
    ) -> adapter_slots_lib.Opening:
        """Returns the latest answer of `_find_opening` if it still holds."""
        known = engine.opening
        if (
            known is not None
            and now - known.found_at < OPENING_LIFETIME_SECONDS
            and self._holds(known, engine, candidate, now)
        ):
            return known
        engine.opening = self._find_opening(engine, candidate, now)
        return engine.opening

    def _holds(
        self,
        opening: adapter_slots_lib.Opening,
        engine: adapter_slots_lib.EngineSlots,
        candidate: adapter_slots_lib.Candidate,
        now: float,
    ) -> bool:
        if not opening.is_open:
            return True
        if opening.victim is None:
            fillable = candidate.capacity - candidate.kept_free
            return len(engine.adapter_slots) < fillable
        slot = engine.adapter_slots.get(opening.victim)
        return slot is not None and self._is_evictable(
            opening.victim, slot, now
        )

    def _find_opening(
        self,
        engine: adapter_slots_lib.EngineSlots,
        candidate: adapter_slots_lib.Candidate,
        now: float,
    ) -> adapter_slots_lib.Opening:
        closed = adapter_slots_lib.Opening(now)
        if engine.loading(now) >= MAX_LOADS_IN_FLIGHT:
            return closed
        taken = len(engine.adapter_slots)
        if taken < candidate.capacity - candidate.kept_free:
            return adapter_slots_lib.Opening(now, is_open=True)
        # An engine with an unload that waits rejects further ones.
        if taken > candidate.capacity or engine.has_waiting_unload:
            return closed
        victim = self._choose_victim(engine, now)
        if victim is None:
            return closed
        return adapter_slots_lib.Opening(now, victim, is_open=True)

    def _choose_victim(
        self, engine: adapter_slots_lib.EngineSlots, now: float
    ) -> models.AdapterKey | None:
        evictable = [
            key
            for key, slot in engine.adapter_slots.items()
            if self._is_evictable(key, slot, now)
        ]
        return min(
            evictable,
            key=lambda key: (
                not self._is_outdated(key, engine.adapter_slots[key]),
                self.popularity.score(key, now),
                engine.adapter_slots[key].used_at,
            ),
            default=None,
        )

    def _is_outdated(
        self, key: models.AdapterKey, slot: adapter_slots_lib.AdapterSlot
    ) -> bool:
        return slot.version < self.newest.get(key, 0)

    def _is_evictable(
        self,
        key: models.AdapterKey,
        slot: adapter_slots_lib.AdapterSlot,
        now: float,
    ) -> bool:
        if slot.state in adapter_slots_lib.UNSETTLED:
            return False
        if key in self.in_use or not slot.ordered:
            return False
        return now - slot.ready_at > EVICTION_GRACE_SECONDS

    def _reserve(
        self,
        key: models.AdapterKey,
        version: int,
        candidate: adapter_slots_lib.Candidate,
        victim: models.AdapterKey | None,
        now: float,
    ) -> adapter_slots_lib.Assignment:
        engine = self.engines[candidate.engine_id]
        evicted_slot = None
        if victim is not None:
            evicted_slot = engine.adapter_slots.pop(victim)
            self._record_change(engine.engine_id, victim, None, now)
        self.last_reservation += 1
        from_store = key not in engine.in_memory
        ready_at = now + self.load_times.expected(now, from_store=from_store)
        slot = adapter_slots_lib.AdapterSlot(
            version,
            adapter_slots_lib.SlotState.LOADING,
            ready_at,
            now,
            from_store,
            ordered=False,
            reservation=self.last_reservation,
        )
        engine.opening = None
        # Published once the order is accepted: until then, it may fail and
        # nobody knows when the load will end.
        engine.adapter_slots[key] = slot
        engine.record_in_memory(key)
        return adapter_slots_lib.Assignment(
            engine_id=engine.engine_id,
            version=version,
            ready_at=ready_at,
            ordered=False,
            evict=victim,
            evicted_slot=evicted_slot,
            reservation=self.last_reservation,
            new=True,
        )

    def _set_slot(
        self,
        engine: adapter_slots_lib.EngineSlots,
        key: models.AdapterKey,
        slot: adapter_slots_lib.AdapterSlot,
    ) -> None:
        engine.adapter_slots[key] = slot
        engine.record_in_memory(key)
        self._record_change(engine.engine_id, key, slot.version, slot.ready_at)

    def _record_change(
        self,
        engine_id: str,
        key: models.AdapterKey,
        version: int | None,
        ready_at: float,
    ) -> None:
        self.last_change += 1
        self.changes.append(
            adapter_slots_lib.SlotChange(
                self.last_change, engine_id, key, version, ready_at
            )
        )
