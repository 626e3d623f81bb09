"""Fakes of engines that take orders and of the row of the order lease."""

import collections
from collections.abc import Iterable
import dataclasses

from _dogwoodhinge.fleet import models
from _dogwoodhinge.fleet import order_lease
from _dogwoodhinge.fleet import orders
from _dogwoodhinge.fleet import quota_ledger
from _dogwoodhinge.fleet import revisions
from dogwoodhinge import errors


class FakeClock:
    """A clock that tests move."""

    def __init__(self) -> None:
        self.seconds = 100.0

    def elapsed(self) -> float:
        """Returns the seconds set."""
        return self.seconds


@dataclasses.dataclass
class FakeLeaseTable:
    """One row with conditional writes, and faults.

    Attributes:
        era: rises each time that the table comes back from an older copy.
        down: every call fails, nothing is done.
        lose_answers: writes are done, and their answers lost.
        delayed: writes that are carried out later, when `deliver` is called.
    """

    record: order_lease.Record | None = None
    revision: int = 0
    era: int = 0
    down: bool = False
    lose_answers: bool = False
    delay: bool = False
    delayed: list[tuple[order_lease.Record, int]] = dataclasses.field(
        default_factory=list
    )
    writes: int = 0

    async def read(self) -> order_lease.Row:
        """Reads the row."""
        if self.down:
            raise errors.TableUnavailableError("down")
        return order_lease.Row(
            self.record, revisions.Revision(self.era, self.revision)
        )

    async def write(
        self, record: order_lease.Record, *, revision: revisions.Revision
    ) -> revisions.Revision:
        """Replaces the row if the number fits, of whatever era it is."""
        self.writes += 1
        if self.down:
            raise errors.TableUnavailableError("down")
        if self.delay:
            self.delayed.append((record, revision.number))
            raise errors.TableOutcomeUnknownError("no answer")
        self.apply(record, revision.number)
        if self.lose_answers:
            raise errors.TableOutcomeUnknownError("no answer")
        return revisions.Revision(self.era, self.revision)

    def apply(self, record: order_lease.Record, revision: int) -> None:
        """Carries a write out under its condition."""
        if revision != self.revision:
            raise errors.TableConflictError("changed")
        self.record = record
        self.revision += 1

    def deliver(self) -> None:
        """Carries out the delayed writes whose condition still holds."""
        for record, revision in self.delayed:
            if revision == self.revision:
                self.apply(record, revision)
        self.delayed.clear()

    def copy(self) -> tuple[order_lease.Record | None, int]:
        """Returns a copy of the row."""
        return self.record, self.revision

    def come_back_from(
        self, copied: tuple[order_lease.Record | None, int]
    ) -> None:
        """Begins an era with a copy of the row."""
        self.record, self.revision = copied
        self.era += 1


@dataclasses.dataclass
class FakeOrders:
    """An engine that checks the count of orders, and loses answers.

    Attributes:
        lose: how many of the next answers are lost; True where the order is
            carried out all the same.
        busy: an order about a base model is under way.
        holds_model: the base model is there.
        blocked: adapters on which another order is still under way.
        loading: adapters on their way to the engine; it rejects an order to
            load one more than `max_loading` of them.
        slots: adapters that it has room for, those on their way included;
            None for any number.
        overfilled: whether it was ordered to load more than that.
        frozen: a report to be answered from now on, as one that lags behind.
    """

    accepted: int = 0
    busy: bool = False
    holds_model: bool = True
    blocked: set[models.AdapterKey] = dataclasses.field(default_factory=set)
    residents: set[models.AdapterKey] = dataclasses.field(default_factory=set)
    in_use: set[models.AdapterKey] = dataclasses.field(default_factory=set)
    loading: set[models.AdapterKey] = dataclasses.field(default_factory=set)
    max_loading: int = 4
    slots: int | None = None
    overfilled: bool = False
    frozen: models.EngineReport | None = None
    lose: collections.deque[bool] = dataclasses.field(
        default_factory=collections.deque
    )
    sent: list[tuple[str, models.AdapterKey, int]] = dataclasses.field(
        default_factory=list
    )

    async def send(
        self,
        entry: models.EngineEntry,
        order: orders.Order,
        *,
        orders_accepted: int,
        token: int,
    ) -> orders.OrderReply:
        """Carries an order out, or not."""
        return self._take(order, orders_accepted)

    async def report(self, entry: models.EngineEntry) -> models.EngineReport:
        """Tells what is resident."""
        return self.frozen or self._report()

    def freeze_report(self) -> None:
        """Answers with the present state from now on."""
        self.frozen = self._report()

    def _report(self) -> models.EngineReport:
        held = models.HeldModel(
            name="base",
            version=1,
            adapters={key.adapter: 1 for key in self.residents - self.loading},
        )
        return models.EngineReport(
            orders_accepted=self.accepted,
            waiting=0,
            running=0,
            born_ms=1,
            models={"base": held} if self.holds_model else {},
            pending=dict.fromkeys(self.loading, 1),
            busy=self.busy,
        )

    def _take(self, order: orders.Order, count: int) -> orders.OrderReply:
        name = order.operation.value if order.key.adapter else "model"
        self.sent.append((name, order.key, count))
        carried_out = True
        lost = bool(self.lose)
        if lost:
            carried_out = self.lose.popleft()
        reply = orders.OrderReply.CONFLICT
        blocked = order.key in self.blocked
        if carried_out and self._loads_again(order):
            reply = orders.OrderReply.ACCEPTED
        elif carried_out and count == self.accepted and not blocked:
            if self._is_absent(order):
                reply = orders.OrderReply.DONE
            elif not self._loads_too_many(order):
                reply = self._carry_out(order)
        if lost:
            raise errors.EngineOutcomeUnknownError("no answer")
        return reply

    def _is_absent(self, order: orders.Order) -> bool:
        """Returns whether an unload changes nothing and is not counted.

        A load that is on its way goes on.
        """
        return order.operation is orders.Operation.UNLOAD and (
            order.key not in self.residents or order.key in self.loading
        )

    def _loads_again(self, order: orders.Order) -> bool:
        """Returns whether a load changes nothing and is not counted.

        Engines reply to it as to the first one, whatever count it states.
        """
        return (
            order.operation is orders.Operation.LOAD
            and order.key in self.residents
        )

    def _loads_too_many(self, order: orders.Order) -> bool:
        return (
            order.operation is orders.Operation.LOAD
            and len(self.loading) >= self.max_loading
        )

    def _carry_out(self, order: orders.Order) -> orders.OrderReply:
        self.accepted += 1
        if order.operation is orders.Operation.LOAD:
            self.residents.add(order.key)
            if self.slots is not None and len(self.residents) > self.slots:
                self.overfilled = True
            return orders.OrderReply.ACCEPTED
        if order.key in self.in_use:
            return orders.OrderReply.ACCEPTED
        self.residents.discard(order.key)
        return orders.OrderReply.DONE


class NoQuotas:
    """Reports on no organisation."""

    def report(self, now: float) -> list[quota_ledger.QuotaUse]:
        """Returns nothing to report."""
        return []

    def restore(
        self, organisations: Iterable[tuple[str, float]], now: float
    ) -> None:
        """Does nothing."""

    def apply(
        self,
        grants: list[quota_ledger.QuotaGrant],
        *,
        began_at: float,
        now: float,
    ) -> None:
        """Does nothing."""
