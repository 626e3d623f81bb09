"""Selects the engine that runs a request for an adapter."""

import asyncio
import collections
from collections.abc import Collection, Iterable, Sequence
import dataclasses
import datetime
import functools
import math
import random
from typing import final

from _dogwoodhinge.fleet import adapter_slots as adapter_slots_lib
from _dogwoodhinge.fleet import engine_selection
from _dogwoodhinge.fleet import engines as engines_lib
from _dogwoodhinge.fleet import held_parts
from _dogwoodhinge.fleet import leader as leader_lib
from _dogwoodhinge.fleet import leader_client as leader_client_lib
from _dogwoodhinge.fleet import models
from _dogwoodhinge.fleet import placement_queue
from _dogwoodhinge.fleet import prompt_cache as prompt_cache_lib
from _dogwoodhinge.fleet import versions as versions_lib
from _dogwoodhinge.gateway import errors
from _dogwoodhinge.gateway import pause_queue as pause_queue_lib

# Fraction of the request timeout that may be spent waiting for an adapter slot.
# Slots become free within tenths of a second, so most waiting requests are
# served, though late; a rejected caller would retry under the same load.
PLACEMENT_WAIT_FRACTION = 0.25

NO_FREE_SLOT = "no_place"

PLACEMENT_RETRY_DELAY = datetime.timedelta(milliseconds=60)

MAX_PLACEMENT_RETRY_DELAY = datetime.timedelta(milliseconds=150)

# Without a leader, no adapter can be loaded. A new leader takes over within
# some seconds.
NO_LEADER_RETRY_DELAY = datetime.timedelta(milliseconds=1_000)
NO_ENGINE_RETRY_DELAY = datetime.timedelta(milliseconds=800)

# Time of a load from the store, with the order and its reply.
REPLICATION_SECONDS = 0.3

# An adapter is loaded on one more engine if the load of all its holders reaches
# this minimum and another engine has less load by at least this difference. A
# smaller difference does not outweigh the cost of loading the adapter.
REPLICATION_MIN_LOAD = 0.5
REPLICATION_MIN_LOAD_DIFFERENCE = 0.4

# How long a copy waits for a slot while all holders are full, and the time
# until this node asks for the next copy of the same adapter.
COPY_WAIT = datetime.timedelta(seconds=1)
COPY_INTERVAL = datetime.timedelta(milliseconds=500)

# Time after a refusal for want of a slot in which copies are asked for only if
# all holders are full.
SLOTS_SHORT_FOR = datetime.timedelta(seconds=2)

# Load of all holders from which a copy is asked for that no request waits for:
# it keeps its slot as long as its adapter is in use.
COPY_MIN_LOAD = 0.75

# Load from which requests for an adapter queue at its holders.
FULL_LOAD = 1.0


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EngineSelection:
    """The engine selected for a request.

    Attributes:
        engine: the engine.
        version: the adapter version that the engine must have; None for any.
        held_tokens: tokens of the prompt that the engine is expected to hold.
        found_by: `held` (the adapter is loaded), `placed` (the leader had it
            loaded), `model` (no adapter needed), `service` (a plain service) or
            `older` (there is no leader, and an older version may be used).
    """

    engine: engines_lib.Engine
    version: int | None
    found_by: str
    held_tokens: int = 0


def _load_after_replication(engine: engines_lib.Engine) -> float:
    return engine_selection.load_after_seconds(
        engine.work, engine.entry.slots, REPLICATION_SECONDS
    )


@final
class EngineFinder:
    """Selects an engine that holds an adapter, or has the adapter loaded.

    Attributes:
        copying: requests for copies of adapters that the leader has not
            answered.
        no_copy_before: by adapter, the loop time before which no further copy
            is asked for.
        slots_short_until: loop time until which a copy would take the slot of
            an adapter that requests wait for.
        copies: copies that were asked for, by outcome.
    """

    def __init__(
        self,
        *,
        directory: engines_lib.Directory,
        versions: versions_lib.Versions,
        leader_client: leader_client_lib.LeaderClient,
        pause_queue: pause_queue_lib.PauseQueue,
        prompt_cache: prompt_cache_lib.PromptCache,
        zone: str,
        rng: random.Random,
    ) -> None:
        self.prompt_cache = prompt_cache
        self.directory = directory
        self.versions = versions
        self.leader_client = leader_client
        self.pause_queue = pause_queue
        self.zone = zone
        self.rng = rng
        self.copying: dict[models.AdapterKey, asyncio.Task[None]] = {}
        self.no_copy_before: dict[models.AdapterKey, float] = {}
        self.slots_short_until = 0.0
        self.copies: collections.Counter[str] = collections.Counter()

    async def find(
        self,
        service: str,
        key: models.AdapterKey | None,
        *,
        avoid: Collection[str],
        absent_from: str,
        prompt_tokens: int,
        target_at: float,
        wait_until: float,
        pause_wait_until: float,
        rank: int = 0,
        organisation: str = "",
        prompt_parts: Sequence[held_parts.PromptPart] = (),
    ) -> EngineSelection:
        """Selects an engine and waits until the adapter is ready on it.

        Args:
            service: the service of the request's route.
            key: the adapter, or a base model without an adapter; None for an
                endpoint of a plain service.
            avoid: engines that must not be selected.
            absent_from: an engine that just reported that the adapter is not
                loaded; empty if there is none.
            prompt_tokens: number of tokens in the prompt.
            target_at: loop time by which the first event is due.
            wait_until: loop time until which to wait for an adapter slot.
            pause_wait_until: loop time until which to wait while all engines
                want a pause.
            rank: priority of the request, 0 is the highest.
            organisation: name of the caller's organisation; empty if none.
            prompt_parts: the parts of the prompt, in order.

        Raises:
            RequestRejectedError: no engine is available in time.
        """
        loop = asyncio.get_running_loop()
        while True:
            if self._must_wait_for_pauses(service, avoid):
                await self.pause_queue.wait(
                    service,
                    opens_at=functools.partial(
                        self.directory.opens_at, service, avoid=avoid
                    ),
                    wait_until=pause_wait_until,
                )
            asked_at = loop.time()
            wait_until = max(wait_until, asked_at)
            if key is None:
                result = self._select_endpoint(service, avoid, asked_at)
            else:
                placement_request = adapter_slots_lib.PlacementRequest(
                    key=key,
                    version=self.versions.newest(key) or 0,
                    avoid=frozenset(avoid),
                    absent_from=absent_from,
                    prompt_tokens=prompt_tokens,
                    seconds_to_target=target_at - asked_at,
                    max_wait_seconds=wait_until - asked_at,
                    rank=rank,
                    organisation=organisation,
                )
                result = await self._find_once(
                    service, placement_request, prompt_parts
                )
            if isinstance(result, EngineSelection):
                if key is None:
                    return result
                held = self.prompt_cache.expected(
                    result.engine, key, prompt_parts, loop.time()
                )
                return dataclasses.replace(result, held_tokens=held)
            absent_from = ""
            if result.reason == NO_FREE_SLOT:
                self.slots_short_until = (
                    loop.time() + SLOTS_SHORT_FOR.total_seconds()
                )
                # The request has already waited in the placement queue.
                delay = (
                    asked_at
                    + PLACEMENT_RETRY_DELAY.total_seconds()
                    - loop.time()
                )
            else:
                delay = max(
                    PLACEMENT_RETRY_DELAY.total_seconds(),
                    min(
                        result.retry_after, MAX_PLACEMENT_RETRY_DELAY
                    ).total_seconds(),
                )
            if result.final or loop.time() + delay > wait_until:
                raise result
            await asyncio.sleep(max(0.0, delay))

    def _must_wait_for_pauses(
        self, service: str, avoid: Collection[str]
    ) -> bool:
        """Returns whether there are engines, and all want a pause."""
        now = asyncio.get_running_loop().time()
        opens_at = self.directory.opens_at(service, now, avoid=avoid)
        return now < opens_at < math.inf

    async def _find_once(
        self,
        service: str,
        placement_request: adapter_slots_lib.PlacementRequest,
        prompt_parts: Sequence[held_parts.PromptPart],
    ) -> "EngineSelection | errors.RequestRejectedError":
        now = asyncio.get_running_loop().time()
        key = placement_request.key
        engines = self._candidates(service, placement_request.avoid, now)
        if not engines:
            return errors.RequestRejectedError(
                "no_engine",
                retry_after=NO_ENGINE_RETRY_DELAY,
                final=self.directory.all_leaving(service),
            )
        if not key.adapter:
            return self._select_by_model(
                engines, placement_request, prompt_parts, now
            )
        holders = self._usable_holders(
            service,
            key,
            placement_request.version,
            placement_request.avoid,
            now,
        )
        if holders and not placement_request.absent_from:
            overloaded = self._overloaded_holders(engines, holders)
            if not overloaded:
                return await self._use_holder(
                    holders, placement_request, prompt_parts, now
                )
            replica_request = dataclasses.replace(
                placement_request,
                avoid=placement_request.avoid | overloaded,
                max_wait_seconds=0.0,
            )
            holders_load = min(
                _load_after_replication(engine) for engine, _ in holders
            )
            if not self._copy_is_sooner(
                engines, holders, placement_request, prompt_parts, now
            ):
                self._request_copy(
                    service, replica_request, holders_load=holders_load
                )
                return await self._use_holder(
                    holders, placement_request, prompt_parts, now
                )
            try:
                return await self._request_placement(service, replica_request)
            except errors.RequestRejectedError as error:
                self._request_copy(
                    service, replica_request, holders_load=holders_load
                )
                # The holders may have changed while the leader was asked.
                now = asyncio.get_running_loop().time()
                holders = self._usable_holders(
                    service,
                    key,
                    placement_request.version,
                    placement_request.avoid,
                    now,
                )
                if not holders:
                    return error
                return await self._use_holder(
                    holders, placement_request, prompt_parts, now
                )
        try:
            return await self._request_placement(service, placement_request)
        except errors.RequestRejectedError as error:
            return error

    def _candidates(
        self, service: str, avoid: Collection[str], now: float
    ) -> list[engines_lib.Engine]:
        """Returns the engines that may be selected, silent ones only alone."""
        answering = [
            engine
            for engine in self._answering(service, now)
            if engine.engine_id not in avoid
        ]
        return answering or [
            engine
            for engine in self.directory.accepting(service, now)
            if engine.engine_id not in avoid
        ]

    def _select_endpoint(
        self, service: str, avoid: Collection[str], now: float
    ) -> "EngineSelection | errors.RequestRejectedError":
        """Selects an endpoint of a plain service."""
        engine = engine_selection.choose(
            self._candidates(service, avoid, now),
            zone=self.zone,
            now=now,
            rng=self.rng,
        )
        if engine is None:
            return errors.RequestRejectedError(
                "no_endpoint",
                retry_after=NO_ENGINE_RETRY_DELAY,
                final=self.directory.all_leaving(service),
            )
        return EngineSelection(engine=engine, version=None, found_by="service")

    def _usable_holders(
        self,
        service: str,
        key: models.AdapterKey,
        version: int,
        avoid: Collection[str],
        now: float,
        *,
        include_unhealthy: bool = False,
    ) -> list[tuple[engines_lib.Engine, engines_lib.HeldAdapter]]:
        """Returns the engines that hold the adapter and may be used.

        Args:
            service: the service of the request's route.
            key: the adapter.
            version: lowest version that may be used.
            avoid: engines that must not be selected.
            now: loop time.
            include_unhealthy: whether to include engines that failed
                recently.
        """
        answering = {e.engine_id for e in self._answering(service, now)}
        return [
            (engine, held_adapter)
            for engine, held_adapter in self.directory.holders(service, key)
            if held_adapter.version >= version
            and engine.engine_id not in avoid
            and engine.opens_at(now) <= now
            and (
                include_unhealthy
                or (
                    engine.engine_id in answering
                    and not engine.health.should_avoid(now)
                )
            )
        ]

    def _answering(
        self, service: str, now: float
    ) -> Sequence[engines_lib.Engine]:
        """Returns the engines of a service that take requests and answer."""
        return engine_selection.answering(
            self.directory.accepting(service, now), now
        )

    def _overloaded_holders(
        self,
        engines: list[engines_lib.Engine],
        holders: list[tuple[engines_lib.Engine, engines_lib.HeldAdapter]],
    ) -> frozenset[str]:
        """Returns all holders if loading the adapter elsewhere is faster.

        Prompts that the holders read while it is loaded are no reason to.
        """
        loads = {
            engine.engine_id: _load_after_replication(engine)
            for engine, _ in holders
        }
        lowest_load = min(loads.values())
        if lowest_load < REPLICATION_MIN_LOAD:
            return frozenset()
        lowest_engine_load = min(map(_load_after_replication, engines))
        if lowest_load - lowest_engine_load < REPLICATION_MIN_LOAD_DIFFERENCE:
            return frozenset()
        return frozenset(loads)

    def _copy_is_sooner(
        self,
        engines: list[engines_lib.Engine],
        holders: list[tuple[engines_lib.Engine, engines_lib.HeldAdapter]],
        placement_request: adapter_slots_lib.PlacementRequest,
        prompt_parts: Sequence[held_parts.PromptPart],
        now: float,
    ) -> bool:
        """Returns whether a request that waits for a copy is served sooner.

        The holders may hold the beginning of its prompt, too; a copy does not.
        """
        tokens = placement_request.prompt_tokens
        held_tokens = self._held_tokens(
            [engine for engine, _ in holders],
            placement_request.key,
            prompt_parts,
            now,
        )
        at_holder = min(
            engine_selection.first_event_seconds(
                engine,
                now,
                prompt_tokens=tokens - held_tokens.get(engine.engine_id, 0),
            )
            for engine, _ in holders
        )
        at_copy = min(
            engine_selection.first_event_seconds(
                engine, now, prompt_tokens=tokens
            )
            for engine in engines
        )
        return at_holder > REPLICATION_SECONDS + at_copy

    def _held_tokens(
        self,
        engines: Iterable[engines_lib.Engine],
        key: models.AdapterKey,
        prompt_parts: Sequence[held_parts.PromptPart],
        now: float,
    ) -> dict[str, int]:
        """Returns how many tokens of a prompt engines hold, by engine."""
        if not prompt_parts:
            return {}
        return {
            engine.engine_id: self.prompt_cache.expected(
                engine, key, prompt_parts, now
            )
            for engine in engines
        }

    def _request_copy(
        self,
        service: str,
        replica_request: adapter_slots_lib.PlacementRequest,
        *,
        holders_load: float,
    ) -> None:
        """Asks for a copy of an adapter without a request that waits for it.

        Load pattern: demand shifts to an adapter with few copies while all
        places are in use. Its requests go to the holders that are there; a copy
        needs a place for longer than any of them would wait. It takes that
        place from a request for an adapter that no engine holds, so a copy
        waits in that queue only if the requests at the holders queue as well.

        Args:
            service: the service of the request's route.
            replica_request: the request for the copy.
            holders_load: load of the holder with the least.
        """
        key = replica_request.key
        now = asyncio.get_running_loop().time()
        if key in self.copying or now < self.no_copy_before.get(key, 0.0):
            return
        full = holders_load >= FULL_LOAD
        if holders_load < COPY_MIN_LOAD or (
            now < self.slots_short_until and not full
        ):
            return
        wait = COPY_WAIT.total_seconds() if full else 0.0
        task = asyncio.ensure_future(
            self._place_copy(
                service,
                dataclasses.replace(replica_request, max_wait_seconds=wait),
            )
        )
        self.copying[key] = task
        task.add_done_callback(lambda _: self.copying.pop(key, None))

    async def _place_copy(
        self, service: str, replica_request: adapter_slots_lib.PlacementRequest
    ) -> None:
        outcome = "placed"
        try:
            await self._request_placement(service, replica_request)
        except errors.RequestRejectedError as error:
            outcome = error.reason
        self.copies[outcome] += 1
        loop = asyncio.get_running_loop()
        if outcome == NO_FREE_SLOT:
            self.slots_short_until = (
                loop.time() + SLOTS_SHORT_FOR.total_seconds()
            )
        self.no_copy_before = {
            key: until
            for key, until in self.no_copy_before.items()
            if until > loop.time()
        }
        self.no_copy_before[replica_request.key] = (
            loop.time() + COPY_INTERVAL.total_seconds()
        )

    async def _use_holder(
        self,
        holders: list[tuple[engines_lib.Engine, engines_lib.HeldAdapter]],
        placement_request: adapter_slots_lib.PlacementRequest,
        prompt_parts: Sequence[held_parts.PromptPart],
        now: float,
    ) -> "EngineSelection | errors.RequestRejectedError":
        ready = [engine for engine, held in holders if held.ready_at <= now]
        usable = ready or [engine for engine, _ in holders]
        engine = engine_selection.choose(
            usable,
            zone=self.zone,
            now=now,
            rng=self.rng,
            prompt_tokens=placement_request.prompt_tokens,
            held_tokens=self._held_tokens(
                usable, placement_request.key, prompt_parts, now
            ),
        )
        assert engine is not None
        if not ready:
            held_adapter = engine.held_adapters[placement_request.key]
            await asyncio.sleep(held_adapter.ready_at - now)
        return EngineSelection(
            engine=engine,
            version=placement_request.version or None,
            found_by="held",
        )

    def _select_by_model(
        self,
        engines: list[engines_lib.Engine],
        placement_request: adapter_slots_lib.PlacementRequest,
        prompt_parts: Sequence[held_parts.PromptPart],
        now: float,
    ) -> "EngineSelection | errors.RequestRejectedError":
        key = placement_request.key
        usable = [e for e in engines if e.holds_model(key.model)]
        engine = engine_selection.choose(
            usable,
            zone=self.zone,
            now=now,
            rng=self.rng,
            prompt_tokens=placement_request.prompt_tokens,
            held_tokens=self._held_tokens(usable, key, prompt_parts, now),
        )
        if engine is None:
            return errors.RequestRejectedError(
                "model_absent", retry_after=NO_ENGINE_RETRY_DELAY
            )
        return EngineSelection(engine=engine, version=None, found_by="model")

    async def _request_placement(
        self,
        service: str,
        placement_request: adapter_slots_lib.PlacementRequest,
    ) -> EngineSelection:
        loop = asyncio.get_running_loop()
        now = loop.time()
        answering = {e.engine_id for e in self._answering(service, now)}
        unusable = {
            e.engine_id
            for e in self.directory.of_service(service)
            if e.engine_id not in answering or e.health.should_avoid(now)
        }
        try:
            assignment = await self.leader_client.place(
                dataclasses.replace(
                    placement_request, avoid=placement_request.avoid | unusable
                )
            )
        except placement_queue.NoFreeSlotError as error:
            raise errors.RequestRejectedError(
                NO_FREE_SLOT, retry_after=error.retry_after, final=error.final
            ) from error
        except leader_lib.NotLeaderError:
            return self._use_older_version(
                service, placement_request.key, placement_request.avoid
            )
        engine = self.directory.engines.get(assignment.engine_id)
        if engine is None or engine.leaving:
            raise errors.RequestRejectedError(
                "engine_left", retry_after=NO_ENGINE_RETRY_DELAY
            )
        engine.held_adapters[placement_request.key] = engines_lib.HeldAdapter(
            assignment.version, assignment.ready_at
        )
        if assignment.ready_at > loop.time():
            await asyncio.sleep(assignment.ready_at - loop.time())
        return EngineSelection(
            engine=engine,
            version=placement_request.version or None,
            found_by="placed",
        )

    def _use_older_version(
        self,
        service: str,
        key: models.AdapterKey,
        avoid: Collection[str],
    ) -> EngineSelection:
        """Selects a current holder while there is no leader.

        Accepts older versions that are still allowed. Engines that failed
        recently are candidates as well, as the score ranks them last.
        """
        now = asyncio.get_running_loop().time()
        lowest = self.versions.lowest_allowed(key, now)
        holders = self._usable_holders(
            service, key, lowest, avoid, now, include_unhealthy=True
        )
        engine = engine_selection.choose(
            [engine for engine, _ in holders],
            zone=self.zone,
            now=now,
            rng=self.rng,
        )
        if engine is None:
            raise errors.RequestRejectedError(
                "no_owner", retry_after=NO_LEADER_RETRY_DELAY
            )
        return EngineSelection(
            engine=engine, version=lowest or None, found_by="older"
        )
