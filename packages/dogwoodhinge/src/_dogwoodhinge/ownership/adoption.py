"""Takes over an engine and prepares it to accept orders of this node."""

import asyncio
from collections.abc import Callable
import dataclasses
import datetime
from typing import final

from absl import logging

from _dogwoodhinge import decisions as decisions_module
from _dogwoodhinge import injection
from _dogwoodhinge import settings as settings_module
from _dogwoodhinge.membership import errors as membership_errors
from _dogwoodhinge.membership import isolation
from _dogwoodhinge.membership import lease
from _dogwoodhinge.membership import membership as membership_module
from _dogwoodhinge.membership import sessions
from _dogwoodhinge.ownership import errors
from _dogwoodhinge.ownership import records
from _dogwoodhinge.ownership import recovery as recovery_module
from _dogwoodhinge.peer import client
from dogwoodhinge import errors as port_errors
from dogwoodhinge import models
from dogwoodhinge import ports

ENGINE_RETRY_DELAY = datetime.timedelta(seconds=1)


@final
@dataclasses.dataclass(frozen=True, slots=True)
class HeldEngine:
    """An engine that this node owns and sends orders to.

    Attributes:
        endpoint: the engine.
        session_id: the session of this node that took it over.
        token: fencing token.
        recovery: restores the state that the previous owner had.
    """

    endpoint: models.Endpoint
    session_id: str
    token: int
    recovery: recovery_module.Recovery


class Adoption:
    """Takes over engines: ownership row, fence, resident adapters.

    Attributes:
        majority_confirmed_at: start of the last call that found a majority of
            the sessions renewed, monotonic.
        majority_lock: held while the renewals are counted.
    """

    def __init__(
        self,
        *,
        owner_table: records.OwnerTable,
        membership: membership_module.Membership,
        peer_client: client.PeerClient,
        clock: ports.Clock,
        settings: settings_module.Settings,
        decisions: decisions_module.DecisionLog,
        adopter: recovery_module.Adopter,
        open_engine_client: Callable[[models.Endpoint], ports.Engine],
    ) -> None:
        self.owner_table = owner_table
        self.membership = membership
        self.peer_client = peer_client
        self.clock = clock
        self.settings = settings
        self.decisions = decisions
        self.adopter = adopter
        self.open_engine_client = open_engine_client
        self.majority_confirmed_at = float("-inf")
        self.majority_lock = asyncio.Lock()

    async def take_over(
        self,
        endpoint: models.Endpoint,
        record: records.OwnerRecord | None,
        reason: str,
        *,
        detected_at: float,
    ) -> records.OwnerRecord | None:
        """Writes this node into the table as the owner.

        Args:
            endpoint: the engine.
            record: the engine's row as last read.
            reason: why the engine needs an owner.
            detected_at: when this node found out, monotonic.

        Returns:
            The new row; None if the takeover is not allowed now.

        Raises:
            TakeoverLostError: another change took effect first.
            OwnershipUnavailableError: the table did not answer.
        """
        await injection.reach(injection.Step.TAKEOVER)
        if not await self._may_take_over(endpoint, record, detected_at):
            self._record_decision(
                endpoint,
                "refuse",
                f"{reason}; no majority of the sessions has renewed",
            )
            return None
        taken = await self.owner_table.change(
            record,
            engine_id=endpoint.endpoint_id,
            session_id=self.membership.self_id,
        )
        self._record_decision(
            endpoint, self.membership.own.name, reason, token=taken.token
        )
        return taken

    async def prepare(
        self,
        endpoint: models.Endpoint,
        record: records.OwnerRecord,
        state: recovery_module.OwnedState | None,
        *,
        is_current: Callable[[], bool],
    ) -> recovery_module.Recovery:
        """Raises the fence and reads the resident adapters; retries failures.

        Args:
            endpoint: the engine.
            record: the engine's row, which names this node as the owner.
            state: the state that the previous owner handed over, or None.
            is_current: returns whether `record` is still the newest known row.

        Raises:
            TakeoverLostError: there is a newer owner.
        """
        engine = self.open_engine_client(endpoint)
        await self._wait_out_previous_owner(endpoint, record)
        recovery = recovery_module.Recovery(
            engine=engine,
            token=record.token,
            membership=self.membership,
            peer_client=self.peer_client,
            clock=self.clock,
            report_lag=self.settings.seconds("report_lag"),
        )
        while is_current():
            try:
                if endpoint.checks_fencing:
                    await engine.raise_fence(record.token)
                await recovery.read_residents()
            except port_errors.StaleFenceError as error:
                raise errors.TakeoverLostError(
                    f"engine {endpoint.endpoint_id} rejected fencing token "
                    f"{record.token} because it has seen a newer owner"
                ) from error
            except port_errors.EngineError as error:
                logging.info(
                    "engine is not ready for orders; retrying: %s", error
                )
                await self.clock.sleep(ENGINE_RETRY_DELAY)
            else:
                if state is not None:
                    recovery.restore(state)
                return recovery
        raise errors.TakeoverLostError(
            f"engine {endpoint.endpoint_id} has a newer owner"
        )

    async def reassert_fence(self, held: HeldEngine) -> bool:
        """Raises the fence again.

        Returns:
            False if the engine has seen a newer owner.
        """
        if not held.endpoint.checks_fencing:
            return True
        try:
            await self.open_engine_client(held.endpoint).raise_fence(held.token)
        except port_errors.StaleFenceError:
            return False
        except port_errors.EngineError as error:
            logging.info("could not raise the fence again: %s", error)
        return True

    async def _may_take_over(
        self,
        endpoint: models.Endpoint,
        record: records.OwnerRecord | None,
        detected_at: float,
    ) -> bool:
        if endpoint.checks_fencing or record is None:
            return True
        try:
            previous_owner = await self.membership.read_session(
                record.session_id
            )
        except membership_errors.MembershipUnavailableError as error:
            raise errors.OwnershipUnavailableError(str(error)) from error
        if previous_owner is None or not self.membership.is_inactive(
            record.session_id
        ):
            return previous_owner is None
        if previous_owner.state is sessions.SessionState.ENDED:
            return True
        return await self._majority_renewed_since(detected_at)

    async def _majority_renewed_since(self, detected_at: float) -> bool:
        """Returns whether a majority renewed since `detected_at`.

        One successful count serves all engines detected before it.
        """
        async with self.majority_lock:
            if self.majority_confirmed_at >= detected_at:
                return True
            started_at = self.clock.monotonic()
            if not await self.membership.majority_renewed():
                return False
            self.majority_confirmed_at = started_at
            return True

    async def _wait_out_previous_owner(
        self, endpoint: models.Endpoint, record: records.OwnerRecord
    ) -> None:
        """Waits until a disconnected previous owner has stopped its orders.

        It may continue on peer reports that predate the majority count.
        """
        is_first = record.version == 1
        if endpoint.checks_fencing or record.handed_over or is_first:
            return
        await self.clock.sleep(
            lease.takeover_delay(
                max_report_age=isolation.MAX_REPORT_AGE,
                order_timeout=self.settings.seconds("order_timeout"),
            )
        )

    def _record_decision(
        self,
        endpoint: models.Endpoint,
        chosen: str,
        reason: str,
        *,
        token: int = 0,
    ) -> None:
        self.decisions.record(
            decisions_module.Decision(
                kind="takeover",
                chosen=chosen,
                reason=reason,
                engine_id=endpoint.endpoint_id,
                token=token,
            )
        )
