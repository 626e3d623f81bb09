"""Decides which engines this node owns, and looks up other owners."""

import asyncio
from collections.abc import Callable, Mapping
import dataclasses
import datetime
from typing import final

from absl import logging
import mode

from _dogwoodhinge import decisions as decisions_module
from _dogwoodhinge import errors as node_errors
from _dogwoodhinge import settings as settings_module
from _dogwoodhinge.membership import directory as directory_module
from _dogwoodhinge.membership import isolation as isolation_module
from _dogwoodhinge.membership import membership as membership_module
from _dogwoodhinge.membership import sessions
from _dogwoodhinge.ownership import adoption
from _dogwoodhinge.ownership import errors
from _dogwoodhinge.ownership import failure_detection
from _dogwoodhinge.ownership import handover
from _dogwoodhinge.ownership import owner_cache
from _dogwoodhinge.ownership import owner_ranking
from _dogwoodhinge.ownership import records
from _dogwoodhinge.ownership import recovery as recovery_module
from _dogwoodhinge.ownership import unowned_engines
from _dogwoodhinge.peer import client
from _dogwoodhinge.peer import peer_pb2
from dogwoodhinge import models
from dogwoodhinge import ports

RECONCILE_INTERVAL = datetime.timedelta(seconds=1)
FENCE_INTERVAL = datetime.timedelta(seconds=5)
REBALANCE_INTERVAL = datetime.timedelta(seconds=3)
WARNING_INTERVAL_SECONDS = 10.0


@final
@dataclasses.dataclass(slots=True)
class Attempt:
    """A change of ownership in progress.

    Attributes:
        record: the row that it is based on; obsolete once another is read.
        task: the takeover's task; None while an engine is given up.
    """

    record: records.OwnerRecord | None
    task: asyncio.Future[None] | None = None


@final
class Ownership(mode.Service):
    """Takes, keeps and hands over the ownership of engines.

    Attributes:
        cache: the ownership rows as last read.
        held: engines that this node owns, by id.
        attempts: ownership changes in progress, by engine.
        holder_session_id: the session under which engines are held.
    """

    def __init__(
        self,
        *,
        table: ports.TableService,
        membership: membership_module.Membership,
        directory: directory_module.EndpointDirectory,
        isolation: isolation_module.Isolation,
        peer_client: client.PeerClient,
        clock: ports.Clock,
        settings: settings_module.Settings,
        decisions: decisions_module.DecisionLog,
        adopter: recovery_module.Adopter,
        open_engine_client: Callable[[models.Endpoint], ports.Engine],
    ) -> None:
        super().__init__()
        self.membership = membership
        self.directory = directory
        self.isolation = isolation
        self.clock = clock
        self.decisions = decisions
        self.owner_table = records.OwnerTable(
            table=table, event_log=membership.events
        )
        self.cache = owner_cache.OwnerCache(
            owner_table=self.owner_table, roster=membership.roster, clock=clock
        )
        self.held: dict[str, adoption.HeldEngine] = {}
        self.attempts: dict[str, Attempt] = {}
        self.draining = False
        self.holder_session_id = ""
        self.rebalanced_at = clock.monotonic()
        self.ranking = owner_ranking.OwnerRanking(membership)
        self.unowned = unowned_engines.UnownedEngines(
            membership=membership,
            ranking=self.ranking,
            failure_detector=failure_detection.FailureDetector(
                membership=membership,
                peer_client=peer_client,
                clock=clock,
                renew_interval=settings.seconds("renew"),
            ),
            clock=clock,
        )
        self.adoption = adoption.Adoption(
            owner_table=self.owner_table,
            membership=membership,
            peer_client=peer_client,
            clock=clock,
            settings=settings,
            decisions=decisions,
            adopter=adopter,
            open_engine_client=open_engine_client,
        )
        self.handover = handover.Handover(
            owner_table=self.owner_table,
            membership=membership,
            peer_client=peer_client,
            clock=clock,
            decisions=decisions,
            adopter=adopter,
        )

    def owner(self, engine_id: str) -> records.OwnerRecord | None:
        """Returns the owner of an engine; None if it has no live owner."""
        record = self.cache.records.get(engine_id)
        if record is None or self.membership.is_inactive(record.session_id):
            return None
        return record

    def owned(self) -> Mapping[str, int]:
        """Returns the engines this node owns, with their tokens."""
        return {
            engine_id: held.token
            for engine_id, held in self.held.items()
            if self._is_current_holder(held)
        }

    def check_order(self, engine_id: str, token: int) -> None:
        """Checks that an order is permitted; call it just before sending.

        Raises:
            OwnershipError: the order must not be sent now.
        """
        held = self.held.get(engine_id)
        if (
            held is None
            or held.token != token
            or not self._is_current_holder(held)
        ):
            raise node_errors.OwnershipError(
                f"engine {engine_id} is not owned by this node under token "
                f"{token}; send the request to its owner"
            )
        if held.endpoint.checks_fencing:
            return  # the engine itself rejects orders of a replaced owner
        if not self.isolation.may_place():
            raise node_errors.OwnershipError(
                f"session lease expired and engine {engine_id} does not check "
                "fencing tokens; only resident adapters are served until the "
                "table is reachable"
            )

    def invalidate(self, engine_id: str) -> None:
        """Marks the known owner of an engine as wrong, to be read again."""
        self.cache.stale.add(engine_id)

    async def accept_hand_over(
        self, request: peer_pb2.HandOverRequest
    ) -> peer_pb2.HandOverReply:
        """Receives an engine's state from its previous owner."""
        self.handover.add_pending(request)
        self.cache.stale.add(request.engine_id)
        return peer_pb2.HandOverReply(accepted=not self.draining)

    async def hand_over_all(self) -> None:
        """Hands over every engine to a successor when the node drains."""
        self.draining = True
        self.ranking.update()
        await asyncio.gather(
            *(
                self._hand_over_or_drop(engine_id)
                for engine_id in sorted(self.held)
            )
        )

    async def _hand_over_or_drop(self, engine_id: str) -> None:
        held = self.held.get(engine_id)
        if held is None:
            return  # dropped in the meantime
        successor = self.ranking.best(
            held.endpoint, excluding=self.membership.self_id
        )
        if successor:
            await self._hand_over(engine_id, successor, "drain")
        else:
            await self._drop_engine(engine_id, "drain without a successor")

    @mode.Service.task
    async def _fence_loop(self) -> None:
        """Raises fences periodically, as a restarted engine loses its fence."""
        while not self.should_stop:
            await self.clock.sleep(FENCE_INTERVAL)
            held = tuple(self.held.items())
            await asyncio.gather(
                *(self._reassert_fence(*item) for item in held)
            )

    async def _reassert_fence(
        self, engine_id: str, held: adoption.HeldEngine
    ) -> None:
        if await self.adoption.reassert_fence(held):
            return
        if self.held.get(engine_id) is held:
            self.cache.stale.add(engine_id)
            await self._drop_engine(
                engine_id, "the engine has seen a newer owner"
            )

    @mode.Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            try:
                await self.reconcile()
            except errors.OwnershipUnavailableError as error:
                logging.log_every_n_seconds(
                    logging.WARNING,
                    "could not update engine ownership: %s",
                    WARNING_INTERVAL_SECONDS,
                    error,
                )
            await self.clock.sleep(RECONCILE_INTERVAL)

    async def reconcile(self) -> None:
        """Checks the ownership of all engines once.

        Raises:
            OwnershipUnavailableError: the table did not answer.
        """
        self._handle_session_change()
        await self.cache.refresh()
        for engine_id, held in self.held.items():
            self._drop_if_lost(engine_id, held)
        if not self.membership.joined or self.draining:
            return
        self.ranking.update()
        await self.unowned.probe(self._engines_to_probe(), self.cache.records)
        for endpoint in self.directory.engines():
            self._take_if_responsible(endpoint)
        self._rebalance()

    def _engines_to_probe(self) -> tuple[models.Endpoint, ...]:
        """Returns none while the table is unreachable: takeover needs it."""
        connected = isolation_module.IsolationStatus.CONNECTED
        if self.isolation.status is not connected:
            return ()
        return self.directory.engines()

    def _handle_session_change(self) -> None:
        """Drops all engines when this node's session has changed."""
        current = self.membership.self_id if self.membership.joined else ""
        if current == self.holder_session_id:
            return
        self.holder_session_id = current
        self.unowned.joined_at = self.clock.monotonic() if current else None
        for engine_id in self.held:
            self.add_future(
                self._drop_engine(engine_id, "this node's session lapsed")
            )

    def _drop_if_lost(self, engine_id: str, held: adoption.HeldEngine) -> None:
        record = self.cache.records.get(engine_id)
        if record is not None and record.token > held.token:
            self.add_future(
                self._drop_engine(engine_id, "another session took it over")
            )
        elif self.directory.get(engine_id) is None:
            self.add_future(
                self._drop_engine(engine_id, "the engine is no longer listed")
            )

    def _take_if_responsible(self, endpoint: models.Endpoint) -> None:
        """Starts a takeover if this node should own the engine."""
        engine_id = endpoint.endpoint_id
        record = self.cache.records.get(engine_id)
        if engine_id in self.held or self._is_attempt_running(
            engine_id, record
        ):
            return
        if record and record.session_id == self.membership.self_id:
            self._start_attempt(endpoint, record, "the row names this node")
            return
        reason = self.unowned.takeover_reason(endpoint, record)
        if reason:
            self._start_attempt(endpoint, record, reason)

    def _is_attempt_running(
        self, engine_id: str, record: records.OwnerRecord | None
    ) -> bool:
        """Returns whether an attempt is running; cancels an obsolete one."""
        attempt = self.attempts.get(engine_id)
        if attempt is None:
            return False
        if attempt.task is None or attempt.record == record:
            return True
        attempt.task.cancel()
        del self.attempts[engine_id]
        return False

    def _start_attempt(
        self,
        endpoint: models.Endpoint,
        record: records.OwnerRecord | None,
        reason: str,
    ) -> None:
        attempt = Attempt(record)
        self.attempts[endpoint.endpoint_id] = attempt
        attempt.task = self.add_future(
            self._run_attempt(endpoint, attempt, reason)
        )

    async def _run_attempt(
        self, endpoint: models.Endpoint, attempt: Attempt, reason: str
    ) -> None:
        engine_id = endpoint.endpoint_id
        try:
            await self._take_over_and_recover(endpoint, attempt, reason)
        except node_errors.OwnershipError as error:
            logging.warning(
                "could not take over engine %s: %s", engine_id, error
            )
            self.cache.stale.add(engine_id)
        finally:
            if self.attempts.get(engine_id) is attempt:
                del self.attempts[engine_id]

    async def _take_over_and_recover(
        self,
        endpoint: models.Endpoint,
        attempt: Attempt,
        reason: str,
    ) -> None:
        engine_id = endpoint.endpoint_id
        record = attempt.record
        is_own = record and record.session_id == self.membership.self_id
        own_record = record
        if not is_own:
            since = self.unowned.unowned_since.get(
                engine_id, self.clock.monotonic()
            )
            own_record = await self.adoption.take_over(
                endpoint, record, reason, detected_at=since
            )
        if own_record is None:
            return
        self.cache.put(own_record)
        attempt.record = own_record
        state = await self.handover.wait_for_state(own_record)
        recovery = await self.adoption.prepare(
            endpoint,
            own_record,
            state,
            is_current=lambda: self._is_current(own_record),
        )
        self.held[engine_id] = adoption.HeldEngine(
            endpoint, own_record.session_id, own_record.token, recovery
        )
        await self.adoption.adopter.adopt(endpoint, own_record.token, recovery)
        self.unowned.unowned_since.pop(engine_id, None)
        if recovery.pinned:
            self.add_future(recovery.run())

    def _is_current(self, record: records.OwnerRecord) -> bool:
        return (
            self.membership.joined
            and self.membership.self_id == record.session_id
            and self.cache.records.get(record.engine_id) == record
        )

    def _rebalance(self) -> None:
        """Hands over one engine per interval to a node that ranks better."""
        now = self.clock.monotonic()
        if now - self.rebalanced_at < REBALANCE_INTERVAL.total_seconds():
            return
        self.rebalanced_at = now
        for engine_id, held in sorted(self.held.items()):
            best = self.ranking.best(held.endpoint)
            if not best or self._is_self(best) or held.recovery.pinned:
                continue
            self.add_future(self._hand_over_if_reachable(engine_id, best))
            return

    async def _hand_over_if_reachable(
        self, engine_id: str, successor: sessions.Session
    ) -> None:
        """Hands over an engine unless the better node is unreachable."""
        if await self.handover.is_reachable(successor):
            await self._hand_over(engine_id, successor, "it ranks better")

    async def _hand_over(
        self, engine_id: str, successor: sessions.Session, reason: str
    ) -> None:
        held = self._remove_held(engine_id)
        if held is None:
            return
        record = self.cache.records.get(engine_id)
        try:
            changed = await self.handover.hand_over(
                held, record, successor, reason
            )
        finally:
            del self.attempts[engine_id]
        if changed is None:
            self.cache.stale.add(engine_id)
        else:
            self.cache.put(changed)

    async def _drop_engine(self, engine_id: str, reason: str) -> None:
        held = self._remove_held(engine_id)
        if held is None:
            return
        try:
            held.recovery.abandon()
            await self.adoption.adopter.drop(engine_id)
        finally:
            del self.attempts[engine_id]
        self.decisions.record(
            decisions_module.Decision(
                kind="drop",
                chosen=engine_id,
                engine_id=engine_id,
                token=held.token,
                reason=reason,
            )
        )

    def _remove_held(self, engine_id: str) -> adoption.HeldEngine | None:
        """Stops permitting orders and blocks new attempts during the drop.

        The caller removes the attempt once the engine has been dropped.

        Returns:
            The held engine; None if it was already given up.
        """
        held = self.held.pop(engine_id, None)
        if held is None:
            return None
        attempt = self.attempts.get(engine_id)
        if attempt is not None and attempt.task is not None:
            attempt.task.cancel()
        self.attempts[engine_id] = Attempt(self.cache.records.get(engine_id))
        return held

    def _is_current_holder(self, held: adoption.HeldEngine) -> bool:
        """Returns whether this node's current session took over the engine."""
        return (
            self.membership.joined
            and held.session_id == self.membership.self_id
        )

    def _is_self(self, session: sessions.Session) -> bool:
        return session.session_id == self.membership.self_id
