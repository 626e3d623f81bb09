"""Sends load and evict orders to one engine."""

import asyncio
import datetime
from typing import final

from _dogwoodhinge import decisions as decisions_lib
from _dogwoodhinge import errors as node_errors
from _dogwoodhinge import injection
from _dogwoodhinge.engine_scheduling import adapter_slots as slots_lib
from _dogwoodhinge.engine_scheduling import collaborators
from _dogwoodhinge.engine_scheduling import errors
from _dogwoodhinge.engine_scheduling import load_history
from _dogwoodhinge.engine_scheduling import policy
from _dogwoodhinge.engine_scheduling import tuning
from dogwoodhinge import errors as public_errors
from dogwoodhinge import models
from dogwoodhinge import ports

DEFAULT_LOAD_SECONDS = 0.25


@final
class Loader:
    """Sends orders to one engine and updates its slot table.

    Attributes:
        engine: the engine.
        token: fencing token that the orders carry.
        slots: the engine's adapter slots.
        epoch: the engine's epoch in its last report.
        failures: adapters whose last load failed.
        load_interval: interval between completed loads.
        awaiting_permit: adapters whose load waits for its permit.
        requested: adapters of queued requests; they are not evicted.
    """

    def __init__(
        self,
        *,
        engine: ports.Engine,
        token: int,
        slots: slots_lib.SlotTable,
        ownership: collaborators.OrderCheck,
        weights: ports.WeightStore,
        permits: collaborators.LoadPermits,
        eviction: policy.EvictionPolicy,
        clock: ports.Clock,
        timing: tuning.Timing,
        decisions: decisions_lib.DecisionLog,
    ) -> None:
        self.engine = engine
        self.token = token
        self.slots = slots
        self.ownership = ownership
        self.weights = weights
        self.permits = permits
        self.eviction = eviction
        self.clock = clock
        self.timing = timing
        self.decisions = decisions
        self.epoch = ""
        self.failures = load_history.LoadFailures(clock)
        self.load_interval = load_history.LoadInterval(DEFAULT_LOAD_SECONDS)
        self.awaiting_permit: set[models.AdapterVersion] = set()
        self.requested: frozenset[models.AdapterVersion] = frozenset()

    def has_available_slot(self) -> bool:
        """Returns whether an adapter slot is free or can be freed."""
        return self.slots.free_count() > 0 or bool(self._eviction_candidates())

    async def load(
        self,
        adapter: models.AdapterVersion,
        *,
        waiting: int,
        slack: datetime.timedelta,
    ) -> None:
        """Loads an adapter into a slot, evicting another if none is free.

        Args:
            adapter: adapter and version.
            waiting: requests that wait for it.
            slack: time left to the most urgent one.

        Raises:
            LoadFailedError: the load failed; `failures` has the details.
            PlacementError: no adapter slot is available now.
            OwnershipError: orders may not be sent now.
        """
        self.load_interval.record_request(self.clock.monotonic())
        loaded = False
        try:
            await self._load(adapter, waiting=waiting, slack=slack)
            loaded = True
        finally:
            self.load_interval.record_end(self.clock.monotonic(), loaded=loaded)

    async def _load(
        self,
        adapter: models.AdapterVersion,
        *,
        waiting: int,
        slack: datetime.timedelta,
    ) -> None:
        weights = await self._find(adapter)
        self.awaiting_permit.add(adapter)
        try:
            permit = await self.permits.acquire(waiting=waiting, slack=slack)
        finally:
            self.awaiting_permit.discard(adapter)
        async with permit:
            if self.slots.has_slot(adapter):
                return
            if self.slots.free_count() <= 0:
                await self._evict_one(adapter)
            await self._order_load(weights)

    async def _find(
        self, adapter: models.AdapterVersion
    ) -> models.AdapterWeights:
        try:
            weights = await self.weights.find(adapter)
        except public_errors.WeightStoreError as error:
            raise self._record_failure(
                adapter, f"weight store lookup failed: {error}"
            ) from error
        if weights is None:
            raise self._record_failure(
                adapter,
                f"the weight store has no {adapter}; upload it or correct "
                "the model's name",
                permanent=True,
            )
        return weights

    async def _order_load(self, weights: models.AdapterWeights) -> None:
        adapter = weights.adapter
        self.slots.start_load(
            adapter, now=self.clock.monotonic(), epoch=self.epoch
        )
        try:
            await injection.reach(injection.Step.LOAD)
            # No await between the check and the order: the ownership may end.
            self.ownership.check_order(
                self.engine.endpoint.endpoint_id, self.token
            )
        except BaseException:
            self.slots.remove(adapter, now=self.clock.monotonic())
            raise
        self._record("load", adapter, "requests are queued for it")
        try:
            async with asyncio.timeout(
                self.timing.load_timeout.total_seconds()
            ):
                await self.engine.load(weights, token=self.token)
        except (TimeoutError, public_errors.EngineError) as error:
            self._update_slot_after_failure(adapter, error)
            raise self._record_failure(
                adapter, f"load failed: {error!r}"
            ) from error
        except asyncio.CancelledError:
            self.slots.mark_unknown(adapter, now=self.clock.monotonic())
            raise
        self.failures.record_success(adapter)
        self.slots.finish_load(
            adapter, now=self.clock.monotonic(), epoch=self.epoch
        )

    def _update_slot_after_failure(
        self, adapter: models.AdapterVersion, error: Exception
    ) -> None:
        now = self.clock.monotonic()
        not_run = (
            public_errors.EngineRefusedError,
            public_errors.EngineUnreachableError,
        )
        if isinstance(error, not_run):
            self.slots.remove(adapter, now=now)
        else:
            self.slots.mark_unknown(adapter, now=now)

    async def _evict_one(self, needed: models.AdapterVersion) -> None:
        now = self.clock.monotonic()
        victims = self._eviction_candidates()
        victim = self.eviction.choose(victims, now)
        if victim is None:
            raise errors.PlacementError(
                f"all adapter slots are in use; {needed} must wait"
            )
        self.slots.start_eviction(victim, now=now)
        try:
            await injection.reach(injection.Step.UNLOAD)
            # No await between the check and the order: the ownership may end.
            self.ownership.check_order(
                self.engine.endpoint.endpoint_id, self.token
            )
        except BaseException:
            self.slots.cancel_eviction(victim)
            raise
        self._record("evict", victim, f"its slot is needed for {needed}")
        await self._order_unload(victim)

    async def _order_unload(self, victim: models.AdapterVersion) -> None:
        try:
            async with asyncio.timeout(
                self.timing.order_timeout.total_seconds()
            ):
                await self.engine.unload(victim, token=self.token)
        except public_errors.EngineRefusedError as error:
            self.slots.cancel_eviction(victim)
            raise errors.PlacementError(
                f"the engine refused to evict {victim}: {error}"
            ) from error
        except (TimeoutError, public_errors.EngineError) as error:
            self.slots.mark_unknown(victim, now=self.clock.monotonic())
            raise errors.PlacementError(
                f"the outcome of the eviction of {victim} is unknown: {error!r}"
            ) from error
        except asyncio.CancelledError:
            self.slots.mark_unknown(victim, now=self.clock.monotonic())
            raise
        self.slots.remove(victim, now=self.clock.monotonic())

    def _eviction_candidates(self) -> tuple[slots_lib.AdapterSlot, ...]:
        return tuple(
            slot
            for slot in self.slots.evictable()
            if slot.adapter not in self.requested
        )

    def _record_failure(
        self,
        adapter: models.AdapterVersion,
        message: str,
        *,
        permanent: bool = False,
    ) -> errors.LoadFailedError:
        self.failures.record_failure(adapter, permanent=permanent)
        self._record("load_failed", adapter, message)
        return errors.LoadFailedError(message)

    def _record(
        self, kind: str, adapter: models.AdapterVersion, reason: str
    ) -> None:
        self.decisions.record(
            decisions_lib.Decision(
                kind=kind,
                chosen=str(adapter),
                reason=reason,
                engine_id=self.engine.endpoint.endpoint_id,
                adapter=str(adapter),
                token=self.token,
            )
        )


RETRYABLE_ERRORS = (errors.PlacementError, node_errors.OwnershipError)
