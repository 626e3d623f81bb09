"""Which engines this node owns, and who owns the others."""

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
from _dogwoodhinge.ownership import handover
from _dogwoodhinge.ownership import owner_cache
from _dogwoodhinge.ownership import records
from _dogwoodhinge.ownership import recovery as recovery_module
from _dogwoodhinge.ownership import succession
from _dogwoodhinge.ownership import suspicion
from _dogwoodhinge.ownership import vacancies
from _dogwoodhinge.peer import client
from _dogwoodhinge.peer import peer_pb2
from dogwoodhinge import models
from dogwoodhinge import ports

TEND_PERIOD = datetime.timedelta(seconds=1)
FENCE_PERIOD = datetime.timedelta(seconds=5)
REBALANCE_PERIOD = datetime.timedelta(seconds=3)
WARNING_PERIOD_SECONDS = 10.0


@final
@dataclasses.dataclass(slots=True)
class Attempt:
    """A change of ownership under way.

    Attributes:
        record: the row that it works from; another row outdates it.
        task: runs it; None for a hand-over.
    """

    record: records.OwnerRecord | None
    task: asyncio.Future[None] | None = None


@final
class Ownership(mode.Service):
    """Takes, keeps and hands over the ownership of engines.

    Attributes:
        cache: the ownership rows as last read.
        held: engines this node gives orders to.
        attempts: changes under way, by engine.
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
        engine_of: Callable[[models.Endpoint], ports.Engine],
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
        self.held_by = ""
        self.rebalanced_at = clock.monotonic()
        self.succession = succession.Succession(membership)
        self.vacancies = vacancies.Vacancies(
            membership=membership,
            succession=self.succession,
            suspicion=suspicion.Suspicion(
                membership=membership,
                peer_client=peer_client,
                clock=clock,
                renew_period=settings.seconds("renew"),
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
            engine_of=engine_of,
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
        """Returns the owner of an engine; None while it has no live one."""
        record = self.cache.records.get(engine_id)
        if record is None or self.membership.is_out(record.session_id):
            return None
        return record

    def owned(self) -> Mapping[str, int]:
        """Returns the engines this node owns, with their tokens."""
        return {
            engine_id: held.token
            for engine_id, held in self.held.items()
            if self._is_own(held)
        }

    def check_order(self, engine_id: str, token: int) -> None:
        """Permits an order; to be called right before it is sent.

        Raises:
            OwnershipError: the order must not be sent now.
        """
        held = self.held.get(engine_id)
        if held is None or held.token != token or not self._is_own(held):
            raise node_errors.OwnershipError(
                f"engine {engine_id} is not owned here under token {token}; "
                "ask its owner"
            )
        if held.endpoint.checks_fencing:
            return  # the engine itself refuses an owner that was replaced
        if not self.isolation.may_place():
            raise node_errors.OwnershipError(
                f"the lease ran out and engine {engine_id} checks no fencing "
                "token: only resident adapters are served until the table "
                "answers"
            )

    def invalidate(self, engine_id: str) -> None:
        """Has an engine's owner read again: the one known proved wrong."""
        self.cache.stale.add(engine_id)

    async def accept_hand_over(
        self, request: peer_pb2.HandOverRequest
    ) -> peer_pb2.HandOverReply:
        """Takes an engine's state that its last owner sends."""
        self.handover.keep(request)
        self.cache.stale.add(request.engine_id)
        return peer_pb2.HandOverReply(accepted=not self.draining)

    async def hand_over_all(self) -> None:
        """Hands every engine to a successor; for the drain of the node."""
        self.draining = True
        self.succession.update()
        await asyncio.gather(
            *(self._give_up(engine_id) for engine_id in sorted(self.held))
        )

    async def _give_up(self, engine_id: str) -> None:
        held = self.held.get(engine_id)
        if held is None:
            return  # lost meanwhile
        successor = self.succession.best(
            held.endpoint, without=self.membership.self_id
        )
        if successor:
            await self._hand_over(engine_id, successor, "drain")
        else:
            await self._lose(engine_id, "drain without a successor")

    @mode.Service.task
    async def _fence_loop(self) -> None:
        """Raises the fences again: an engine that restarted forgot its own."""
        while not self.should_stop:
            await self.clock.sleep(FENCE_PERIOD)
            held = tuple(self.held.items())
            await asyncio.gather(*(self._keep_fence(*item) for item in held))

    async def _keep_fence(
        self, engine_id: str, held: adoption.HeldEngine
    ) -> None:
        if await self.adoption.keep_fence(held):
            return
        if self.held.get(engine_id) is held:
            self.cache.stale.add(engine_id)
            await self._lose(engine_id, "the engine has seen a newer owner")

    @mode.Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            try:
                await self.tend()
            except errors.OwnershipUnavailableError as error:
                logging.log_every_n_seconds(
                    logging.WARNING,
                    "ownership is not followed: %s",
                    WARNING_PERIOD_SECONDS,
                    error,
                )
            await self.clock.sleep(TEND_PERIOD)

    async def tend(self) -> None:
        """Goes through all engines once.

        Raises:
            OwnershipUnavailableError: the table did not answer.
        """
        self._follow_session()
        await self.cache.refresh()
        for engine_id, held in self.held.items():
            self._check_held(engine_id, held)
        if not self.membership.joined or self.draining:
            return
        self.succession.update()
        await self.vacancies.probe(self._probed_engines(), self.cache.records)
        for endpoint in self.directory.engines():
            self._consider(endpoint)
        self._rebalance()

    def _probed_engines(self) -> tuple[models.Endpoint, ...]:
        """Returns no engine without the table: none could be taken over."""
        connected = isolation_module.IsolationStatus.CONNECTED
        if self.isolation.status is not connected:
            return ()
        return self.directory.engines()

    def _follow_session(self) -> None:
        """Drops everything when this node's session is another one."""
        current = self.membership.self_id if self.membership.joined else ""
        if current == self.held_by:
            return
        self.held_by = current
        self.vacancies.joined_at = self.clock.monotonic() if current else None
        for engine_id in self.held:
            self.add_future(self._lose(engine_id, "this node's session lapsed"))

    def _check_held(self, engine_id: str, held: adoption.HeldEngine) -> None:
        record = self.cache.records.get(engine_id)
        if record is not None and record.token > held.token:
            self.add_future(
                self._lose(engine_id, "another session took it over")
            )
        elif self.directory.get(engine_id) is None:
            self.add_future(self._lose(engine_id, "the engine is gone"))

    def _consider(self, endpoint: models.Endpoint) -> None:
        """Starts to take an engine when this node should own it."""
        engine_id = endpoint.endpoint_id
        record = self.cache.records.get(engine_id)
        if engine_id in self.held or self._is_under_way(engine_id, record):
            return
        if record and record.session_id == self.membership.self_id:
            self._start(endpoint, record, "the row names this node")
            return
        reason = self.vacancies.reason_to_take(endpoint, record)
        if reason:
            self._start(endpoint, record, reason)

    def _is_under_way(
        self, engine_id: str, record: records.OwnerRecord | None
    ) -> bool:
        """Tells whether an attempt goes on; ends one that is outdated."""
        attempt = self.attempts.get(engine_id)
        if attempt is None:
            return False
        if attempt.task is None or attempt.record == record:
            return True
        attempt.task.cancel()
        del self.attempts[engine_id]
        return False

    def _start(
        self,
        endpoint: models.Endpoint,
        record: records.OwnerRecord | None,
        reason: str,
    ) -> None:
        attempt = Attempt(record)
        self.attempts[endpoint.endpoint_id] = attempt
        attempt.task = self.add_future(self._take(endpoint, attempt, reason))

    async def _take(
        self, endpoint: models.Endpoint, attempt: Attempt, reason: str
    ) -> None:
        engine_id = endpoint.endpoint_id
        try:
            await self._take_and_recover(endpoint, attempt, reason)
        except node_errors.OwnershipError as error:
            logging.warning("engine %s is not taken: %s", engine_id, error)
            self.cache.stale.add(engine_id)
        finally:
            if self.attempts.get(engine_id) is attempt:
                del self.attempts[engine_id]

    async def _take_and_recover(
        self,
        endpoint: models.Endpoint,
        attempt: Attempt,
        reason: str,
    ) -> None:
        engine_id = endpoint.endpoint_id
        record = attempt.record
        is_mine = record and record.session_id == self.membership.self_id
        mine = record
        if not is_mine:
            since = self.vacancies.noticed.get(
                engine_id, self.clock.monotonic()
            )
            mine = await self.adoption.take_over(
                endpoint, record, reason, noticed_at=since
            )
        if mine is None:
            return
        self.cache.put(mine)
        attempt.record = mine
        state = await self.handover.receive(mine)
        recovery = await self.adoption.prepare(
            endpoint, mine, state, is_current=lambda: self._is_current(mine)
        )
        self.held[engine_id] = adoption.HeldEngine(
            endpoint, mine.session_id, mine.token, recovery
        )
        await self.adoption.adopter.adopt(endpoint, mine.token, recovery)
        self.vacancies.noticed.pop(engine_id, None)
        if recovery.pinned:
            self.add_future(recovery.run())

    def _is_current(self, record: records.OwnerRecord) -> bool:
        return (
            self.membership.joined
            and self.membership.self_id == record.session_id
            and self.cache.records.get(record.engine_id) == record
        )

    def _rebalance(self) -> None:
        """Hands one engine to a node that ranks better, now and then."""
        now = self.clock.monotonic()
        if now - self.rebalanced_at < REBALANCE_PERIOD.total_seconds():
            return
        self.rebalanced_at = now
        for engine_id, held in sorted(self.held.items()):
            best = self.succession.best(held.endpoint)
            if not best or self._is_self(best) or held.recovery.pinned:
                continue
            self.add_future(self._hand_over_to_better(engine_id, best))
            return

    async def _hand_over_to_better(
        self, engine_id: str, successor: sessions.Session
    ) -> None:
        """Hands an engine over, unless the better node is dead already."""
        if await self.handover.answers(successor):
            await self._hand_over(engine_id, successor, "it ranks better")

    async def _hand_over(
        self, engine_id: str, successor: sessions.Session, reason: str
    ) -> None:
        held = self._stop_holding(engine_id)
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

    async def _lose(self, engine_id: str, reason: str) -> None:
        held = self._stop_holding(engine_id)
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

    def _stop_holding(self, engine_id: str) -> adoption.HeldEngine | None:
        """Ends the permission of orders; no attempt begins until the drop did.

        Returns:
            What was held; None when it was given up meanwhile.
        """
        held = self.held.pop(engine_id, None)
        if held is None:
            return None
        under_way = self.attempts.get(engine_id)
        if under_way is not None and under_way.task is not None:
            under_way.task.cancel()
        self.attempts[engine_id] = Attempt(self.cache.records.get(engine_id))
        return held

    def _is_own(self, held: adoption.HeldEngine) -> bool:
        """Tells whether the session that took an engine is the current one."""
        return (
            self.membership.joined
            and held.session_id == self.membership.self_id
        )

    def _is_self(self, session: sessions.Session) -> bool:
        return session.session_id == self.membership.self_id
