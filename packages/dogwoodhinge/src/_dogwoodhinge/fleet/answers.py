"""Tells an engine that does not answer from one that is busy.

Load pattern: part of the engines accept requests and say nothing for seconds,
while their health endpoints report success; others lose single answers. They
hold the adapters of many requests, and each request that goes there waits until
its deadline.

How long an engine may say nothing is fixed when a request is sent, by the
prompts that it has to read first. Requests that are sent there later do not
extend it: an engine that reads nothing would otherwise be waited for the
longer, the more it is sent. Afterwards it gets one request at a time until it
sends something.
"""

import datetime
import math
from typing import final

# An engine counts as silent if no connection with a request in progress
# receives data for this long. At full load, a running request produces an event
# every 60 ms.
SILENCE_TIMEOUT = datetime.timedelta(milliseconds=700)

# Longest time that prompts sent before add to that.
MAX_BACKLOG = datetime.timedelta(milliseconds=800)

# How many times the usual time of an answer add to that.
USUAL_ANSWERS = 2.0

# The response to a request counts as lost if the engine has answered a request
# that was sent later by more than this, and the request itself has waited for
# longer than `LOST_RESPONSE_TIMEOUT` and the prompts sent before.
OVERTAKEN_THRESHOLD = datetime.timedelta(milliseconds=250)
LOST_RESPONSE_TIMEOUT = datetime.timedelta(milliseconds=700)

# Time until an engine that has not answered gets a request again; it doubles
# with each further one that is not answered.
FIRST_PROBE_DELAY = datetime.timedelta(seconds=1)
MAX_PROBE_DELAY = datetime.timedelta(seconds=4)


@final
class Exchange:
    """One request in progress at an engine.

    Attributes:
        priority: its priority on the engine, 0 is the highest.
        sent_at: loop time at which it was sent.
        unread_tokens: tokens of its prompt and of those sent before it that
            the engine had not read then.
        backlog: seconds that the engine may need for these, and for answers
            of its service as they usually are.
        whole: whether the answer comes in one piece, after all of the work.
    """

    def __init__(
        self,
        *,
        priority: int,
        sent_at: float,
        unread_tokens: int,
        backlog: float,
        whole: bool = False,
    ) -> None:
        self.whole = whole
        self.priority = priority
        self.unread_tokens = unread_tokens
        self.sent_at = sent_at
        self.backlog = backlog

    @property
    def patience(self) -> float:
        """Seconds without data after which the engine counts as silent."""
        return SILENCE_TIMEOUT.total_seconds() + self.backlog


@final
class Answers:
    """What one engine has answered to this node.

    A response that has begun says nothing about the engine while no data of it
    is read: its caller may read slowly.

    Attributes:
        awaiting: the requests whose responses have not begun, in the order of
            their sends, without those in `awaiting_whole`.
        awaiting_whole: the requests whose answers are awaited in one piece.
            That nothing comes while they run shows no silence to others.
        last_data_at: loop time at which data last arrived.
        latest_answered: by priority, the loop time at which the latest of the
            answered requests was sent.
        unanswered: whether a request waited in vain since the last data.
        probe_at: loop time from which one more request may be sent then.
    """

    def __init__(self) -> None:
        self.awaiting: dict[Exchange, None] = {}
        self.awaiting_whole: set[Exchange] = set()
        self.last_data_at = -math.inf
        self.latest_answered: dict[int, float] = {}
        self.unanswered = False
        self.probe_at = 0.0
        self.probe_delay = FIRST_PROBE_DELAY.total_seconds()

    def begin(
        self,
        now: float,
        *,
        backlog: float,
        usual_seconds: float = 0.0,
        priority: int = 0,
        unread_tokens: int = 0,
        whole: bool = False,
    ) -> Exchange:
        """Records that a request is sent; `end` must be called once.

        Args:
            now: loop time.
            backlog: seconds that the engine needs for its unread prompts.
            usual_seconds: what an answer of its service takes besides.
            unread_tokens: tokens of these prompts.
            priority: priority of the request, 0 is the highest.
            whole: whether the engine generates the answer before it sends any
                of it.
        """
        exchange = Exchange(
            priority=priority,
            sent_at=now,
            unread_tokens=unread_tokens,
            backlog=min(backlog, MAX_BACKLOG.total_seconds())
            + USUAL_ANSWERS * usual_seconds,
            whole=whole,
        )
        if whole:
            self.awaiting_whole.add(exchange)
        else:
            self.awaiting[exchange] = None
        return exchange

    def record_data(self, now: float) -> None:
        """Records that data has arrived from the engine."""
        self.last_data_at = now
        self.unanswered = False
        self.probe_delay = FIRST_PROBE_DELAY.total_seconds()

    def record_head(self, exchange: Exchange) -> None:
        """Records that the response to a request has begun."""
        self._forget(exchange)
        latest = self.latest_answered.get(exchange.priority, exchange.sent_at)
        self.latest_answered[exchange.priority] = max(latest, exchange.sent_at)

    def end(self, exchange: Exchange, now: float) -> None:
        """Records that a request is no longer in progress."""
        if self.is_silent(exchange, now):
            self.unanswered = True
            self.probe_at = now + self.probe_delay
            self.probe_delay = min(
                2 * self.probe_delay, MAX_PROBE_DELAY.total_seconds()
            )
        self._forget(exchange)

    def _forget(self, exchange: Exchange) -> None:
        self.awaiting.pop(exchange, None)
        self.awaiting_whole.discard(exchange)

    def is_silent(self, exchange: Exchange, now: float) -> bool:
        """Returns whether the engine says nothing while a request waits.

        Requests that were sent before it count: what they have waited shows
        the silence as well.
        """
        if exchange in self.awaiting_whole:
            since = max(self.last_data_at, exchange.sent_at)
            return now - since > exchange.patience
        return (
            exchange in self.awaiting
            and self.quiet_seconds(now) > exchange.patience
        )

    def quiet_seconds(self, now: float) -> float:
        """Returns for how long no data has come although some was awaited."""
        first = next(iter(self.awaiting), None)
        since = self.last_data_at
        if first is not None:
            since = max(since, first.sent_at)
        return now - since

    def sends_nothing(self, now: float) -> bool:
        """Returns whether no data arrives, for a stream that waits for some."""
        return now - self.last_data_at > SILENCE_TIMEOUT.total_seconds()

    def is_lost(self, exchange: Exchange, now: float) -> bool:
        """Returns whether a request was passed over by later ones.

        Requests of a higher priority do not count, as the engine admits them
        first. An answer in one piece is always passed over by streams.
        """
        if exchange.whole:
            return False
        later = max(
            (
                sent_at - exchange.sent_at
                for priority, sent_at in self.latest_answered.items()
                if priority >= exchange.priority
            ),
            default=0.0,
        )
        limit = LOST_RESPONSE_TIMEOUT.total_seconds() + exchange.backlog
        return (
            later > OVERTAKEN_THRESHOLD.total_seconds()
            and now - exchange.sent_at > limit
        )

    def may_send(self, now: float) -> bool:
        """Returns whether a request may be sent to the engine.

        One that does not answer gets a single request after a while.
        """
        first = next(iter(self.awaiting), None)
        if first is not None and self.is_silent(first, now):
            return False
        if not self.unanswered:
            return True
        awaited = first is not None or bool(self.awaiting_whole)
        return not awaited and now >= self.probe_at
