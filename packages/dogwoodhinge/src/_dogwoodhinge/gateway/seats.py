"""Finds the engine on which a request for an adapter runs."""

import asyncio
from collections.abc import Collection
import dataclasses
import datetime
import random
from typing import final

from _dogwoodhinge.fleet import choice
from _dogwoodhinge.fleet import engines as engines_lib
from _dogwoodhinge.fleet import models
from _dogwoodhinge.fleet import owner as owner_lib
from _dogwoodhinge.fleet import owner_link as owner_link_lib
from _dogwoodhinge.fleet import place_line
from _dogwoodhinge.fleet import places as places_lib
from _dogwoodhinge.fleet import versions as versions_lib
from _dogwoodhinge.gateway import errors

# Part of a caller's time that may pass before a place is found. Places become
# free within tenths of a second, so most of those who wait are served, though
# late; a refused caller would come back into the same crowd.
WAIT_FOR_PLACE = 0.25

NO_PLACE = "no_place"

ASK_AGAIN_AFTER = datetime.timedelta(milliseconds=60)

MAX_PAUSE = datetime.timedelta(milliseconds=150)

# While nobody gives orders, absent adapters can't be loaded. Another owner
# takes over within some seconds.
RETRY_WITHOUT_OWNER = datetime.timedelta(milliseconds=1_000)
RETRY_WITHOUT_ENGINE = datetime.timedelta(milliseconds=800)

# An adapter is loaded on a further engine when its holders are this full, and
# another engine is emptier by so much: less would not pay for the load.
CROWDED_LOAD = 0.5
LOAD_DIFFERENCE_FOR_COPY = 0.4


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Found:
    """An engine and what to ask of it.

    Attributes:
        version: the version that the engine must have; None for any.
        found_by: `held`, `placed` or `model` (no adapter needed).
    """

    engine: engines_lib.Engine
    version: int | None
    found_by: str


@final
class SeatFinder:
    """Chooses among the holders of an adapter, or has it loaded."""

    def __init__(
        self,
        *,
        directory: engines_lib.Directory,
        versions: versions_lib.Versions,
        link: owner_link_lib.OwnerLink,
        zone: str,
        draw: random.Random,
    ) -> None:
        self.directory = directory
        self.versions = versions
        self.link = link
        self.zone = zone
        self.draw = draw

    async def find(
        self,
        service: str,
        key: models.AdapterKey,
        *,
        avoid: Collection[str],
        absent_from: str,
        prompt_tokens: int,
        target_at: float,
        wait_until: float,
    ) -> Found:
        """Finds an engine and waits until the adapter is ready on it.

        Args:
            service: the service of the request's route.
            key: the adapter, or the base model alone.
            avoid: engines that were tried.
            absent_from: an engine that just said it does not have it.
            prompt_tokens: of the request.
            target_at: loop time from which its first event is late.
            wait_until: loop time up to which a place is waited for.

        Raises:
            RefusedError: there is no place, and none will come in time.
        """
        loop = asyncio.get_running_loop()
        while True:
            asked_at = loop.time()
            want = places_lib.Want(
                key=key,
                version=self.versions.newest(key) or 0,
                avoid=frozenset(avoid),
                absent_from=absent_from,
                prompt_tokens=prompt_tokens,
                seconds_to_target=target_at - asked_at,
                patience_seconds=wait_until - asked_at,
            )
            found = await self._find_once(service, want)
            if isinstance(found, Found):
                return found
            absent_from = ""
            if found.reason == NO_PLACE:
                # The owner has made the request wait for its turn already.
                pause = asked_at + ASK_AGAIN_AFTER.total_seconds() - loop.time()
            else:
                pause = max(
                    ASK_AGAIN_AFTER.total_seconds(),
                    min(found.retry_after, MAX_PAUSE).total_seconds(),
                )
            if found.final or loop.time() + pause > wait_until:
                raise found
            await asyncio.sleep(max(0.0, pause))

    async def _find_once(
        self, service: str, want: places_lib.Want
    ) -> "Found | errors.RefusedError":
        now = asyncio.get_running_loop().time()
        key = want.key
        engines = [
            e
            for e in self.directory.serving(service)
            if e.engine_id not in want.avoid
        ]
        if not engines:
            return errors.RefusedError(
                "no_engine", retry_after=RETRY_WITHOUT_ENGINE
            )
        if not key.adapter:
            return self._any_with_model(engines, key.model, now)
        holders = self._usable_holders(
            service, key, want.version, want.avoid, now
        )
        if holders and not want.absent_from:
            crowded = self._crowded(engines, holders)
            if not crowded:
                return await self._use_holder(holders, key, want.version, now)
            copy = dataclasses.replace(
                want, avoid=want.avoid | crowded, patience_seconds=0.0
            )
            try:
                return await self._place(service, copy)
            except errors.RefusedError as error:
                # Asking takes time, in which holders may come and go.
                now = asyncio.get_running_loop().time()
                holders = self._usable_holders(
                    service, key, want.version, want.avoid, now
                )
                if not holders:
                    return error
                return await self._use_holder(holders, key, want.version, now)
        try:
            return await self._place(service, want)
        except errors.RefusedError as error:
            return error

    def _usable_holders(
        self,
        service: str,
        key: models.AdapterKey,
        version: int,
        avoid: Collection[str],
        now: float,
        *,
        doubtful: bool = False,
    ) -> list[tuple[engines_lib.Engine, engines_lib.Holding]]:
        """Returns the holders; `doubtful` ones failed lately."""
        return [
            (engine, holding)
            for engine, holding in self.directory.holders(service, key)
            if holding.version >= version
            and engine.engine_id not in avoid
            and (doubtful or not engine.health.to_be_avoided(now))
        ]

    def _crowded(
        self,
        engines: list[engines_lib.Engine],
        holders: list[tuple[engines_lib.Engine, engines_lib.Holding]],
    ) -> frozenset[str]:
        """Returns the holders, if a load elsewhere is faster than they are."""
        loads = {
            engine.engine_id: choice.load(engine.work, engine.entry.slots)
            for engine, _ in holders
        }
        least = min(loads.values())
        if least < CROWDED_LOAD:
            return frozenset()
        emptiest = min(choice.load(e.work, e.entry.slots) for e in engines)
        if least - emptiest < LOAD_DIFFERENCE_FOR_COPY:
            return frozenset()
        return frozenset(loads)

    async def _use_holder(
        self,
        holders: list[tuple[engines_lib.Engine, engines_lib.Holding]],
        key: models.AdapterKey,
        version: int,
        now: float,
    ) -> "Found | errors.RefusedError":
        ready = [engine for engine, held in holders if held.ready_at <= now]
        engine = choice.choose(
            ready or [engine for engine, _ in holders],
            zone=self.zone,
            now=now,
            draw=self.draw,
        )
        assert engine is not None
        if not ready:
            await asyncio.sleep(engine.holdings[key].ready_at - now)
        return Found(engine=engine, version=version or None, found_by="held")

    def _any_with_model(
        self, engines: list[engines_lib.Engine], model: str, now: float
    ) -> "Found | errors.RefusedError":
        engine = choice.choose(
            [e for e in engines if e.holds_model(model)],
            zone=self.zone,
            now=now,
            draw=self.draw,
        )
        if engine is None:
            return errors.RefusedError(
                "model_absent", retry_after=RETRY_WITHOUT_ENGINE
            )
        return Found(engine=engine, version=None, found_by="model")

    async def _place(self, service: str, want: places_lib.Want) -> Found:
        loop = asyncio.get_running_loop()
        now = loop.time()
        shunned = {
            e.engine_id
            for e in self.directory.serving(service)
            if e.health.to_be_avoided(now)
        }
        try:
            seat = await self.link.place(
                dataclasses.replace(want, avoid=want.avoid | shunned)
            )
        except place_line.NoRoomError as error:
            raise errors.RefusedError(
                NO_PLACE, retry_after=error.retry_after, final=error.final
            ) from error
        except owner_lib.NotOwnerError:
            return self._use_older(service, want.key, want.avoid)
        engine = self.directory.engines.get(seat.engine_id)
        if engine is None or engine.leaving:
            raise errors.RefusedError(
                "engine_left", retry_after=RETRY_WITHOUT_ENGINE
            )
        engine.holdings[want.key] = engines_lib.Holding(
            seat.version, seat.ready_at
        )
        if seat.ready_at > loop.time():
            await asyncio.sleep(seat.ready_at - loop.time())
        return Found(
            engine=engine, version=want.version or None, found_by="placed"
        )

    def _use_older(
        self,
        service: str,
        key: models.AdapterKey,
        avoid: Collection[str],
    ) -> Found:
        """Falls back on what is held while nobody gives orders.

        An older version that is still allowed will do, and an engine that
        failed lately: the score prefers the others.
        """
        now = asyncio.get_running_loop().time()
        lowest = self.versions.lowest_allowed(key, now)
        holders = self._usable_holders(
            service, key, lowest, avoid, now, doubtful=True
        )
        engine = choice.choose(
            [engine for engine, _ in holders],
            zone=self.zone,
            now=now,
            draw=self.draw,
        )
        if engine is None:
            raise errors.RefusedError(
                "no_owner", retry_after=RETRY_WITHOUT_OWNER
            )
        return Found(engine=engine, version=lowest or None, found_by="older")
