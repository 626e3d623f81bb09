"""Fakes of what dispatch works with, for tests in one process."""

import asyncio
import collections
from collections.abc import AsyncIterator, Callable
import dataclasses
import datetime
import enum
import json
from typing import Any, final

from _dogwoodhinge import errors as node_errors
from _dogwoodhinge.peer import peer_pb2
from dogwoodhinge import errors
from dogwoodhinge import models

DEFAULT_TOKENS = 6
START_WITHIN_MS = 5_000
SELF_SESSION = "session-1"


@final
class EagerClock:
    """Implements `ports.Clock`; a sleep moves the time and returns."""

    def __init__(self) -> None:
        self.seconds = 1_000.0
        self.start = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)

    def now(self) -> datetime.datetime:
        """Returns the time of day, UTC."""
        return self.start + datetime.timedelta(seconds=self.seconds)

    def monotonic(self) -> float:
        """Returns the seconds slept through."""
        return self.seconds

    async def sleep(self, delay: datetime.timedelta) -> None:
        """Moves the time."""
        self.seconds += delay.total_seconds()
        await asyncio.sleep(0)


class StreamFault(enum.StrEnum):
    """What goes wrong on one connection to an engine."""

    NONE = "none"
    UNREACHABLE = "unreachable"
    OUTCOME_UNKNOWN = "outcome_unknown"
    UNAVAILABLE = "unavailable"
    LEAVING = "leaving"
    PAUSED = "paused"
    NOT_LOADED = "not_loaded"
    STALE_FENCE = "stale_fence"
    REFUSED = "refused"
    END_EARLY = "end_early"
    BROKEN = "broken"
    SILENT = "silent"
    FOREIGN = "foreign"
    GAP = "gap"
    MISSING_BEFORE_END = "missing_before_end"
    REPEATED = "repeated"
    CRASH = "crash"
    CRASH_AND_RESTART = "crash_and_restart"


@final
@dataclasses.dataclass(frozen=True, slots=True)
class PlannedFault:
    """A fault of one connection, after `at` tokens of it."""

    kind: StreamFault
    at: int = 2


@final
class FakeEngine:
    """Implements `ports.Engine`.

    Attributes:
        faults: for the next connections, one each.
        crashes_on: a body that contains this text crashes the engine.
        starts: request ids in the order of their starts.
        begun: set at the first start.
        running: request ids that run.
        cancelled: request ids that were cancelled.
        requests: all requests as received.
    """

    def __init__(
        self, endpoint: models.Endpoint, *, tokens: int = DEFAULT_TOKENS
    ) -> None:
        self.endpoint = endpoint
        self.tokens = tokens
        self.epoch = 1
        self.up = True
        self.faults: collections.deque[PlannedFault] = collections.deque()
        self.crashes_on = b""
        self.restarts = False
        self.starts: list[str] = []
        self.begun = asyncio.Event()
        self.running: set[str] = set()
        self.cancelled: list[str] = []
        self.requests: list[models.EngineRequest] = []
        self.crashes = 0

    def plan(self, *kinds: StreamFault, at: int = 2) -> None:
        """Plans a fault for each of the next connections."""
        self.faults.extend(PlannedFault(kind, at) for kind in kinds)

    def crash(self) -> None:
        """Stops the engine; with `restarts` it comes back empty."""
        self.crashes += 1
        self.epoch += 1
        self.up = self.restarts
        self.running.clear()

    async def load(self, weights: models.AdapterWeights, *, token: int) -> None:
        """Does nothing."""
        del weights, token

    async def unload(
        self, adapter: models.AdapterVersion, *, token: int
    ) -> None:
        """Does nothing."""
        del adapter, token

    async def raise_fence(self, token: int) -> None:
        """Does nothing."""
        del token

    async def report(self) -> models.EngineReport:
        """Tells the epoch and what runs."""
        if not self.up:
            raise errors.EngineUnreachableError("the engine is down")
        return models.EngineReport(
            engine_id=self.endpoint.endpoint_id,
            epoch=str(self.epoch),
            age=datetime.timedelta(),
            residents=(),
            running=(),
            waiting=0,
        )

    async def open_stream(
        self, request: models.EngineRequest
    ) -> AsyncIterator[models.StreamChunk]:
        """Yields one chunk a token, with the next planned fault."""
        if not self.up:
            raise errors.EngineUnreachableError("the engine is down")
        self.requests.append(request)
        fault = PlannedFault(StreamFault.NONE)
        if self.faults:
            fault = self.faults.popleft()
        _refuse(fault.kind)
        if not request.offset and request.request_id not in self.running:
            self.starts.append(request.request_id)
            self.running.add(request.request_id)
            self.begun.set()
        if self.crashes_on and self.crashes_on in request.body:
            await asyncio.sleep(0)
            self.crash()
            raise errors.EngineOutcomeUnknownError("the connection was lost")
        if fault.kind is StreamFault.REPEATED:
            request = dataclasses.replace(
                request, offset=max(request.offset - 2, 0)
            )
        for sent, offset in enumerate(range(request.offset, self.tokens)):
            if sent == fault.at:
                await self._fail(fault.kind, offset)
            if fault.kind is StreamFault.GAP and sent >= fault.at:
                continue
            if (
                fault.kind is StreamFault.MISSING_BEFORE_END
                and sent >= fault.at
            ):
                break
            name = request.request_id
            if fault.kind is StreamFault.FOREIGN and sent == fault.at:
                name = "somebody-else"
            yield models.StreamChunk(name, offset + 1, event(offset))
        if fault.kind is StreamFault.GAP:
            yield models.StreamChunk(
                request.request_id, self.tokens, event(self.tokens - 1)
            )
        self.running.discard(request.request_id)
        yield models.StreamChunk(request.request_id, self.tokens, b"", end=True)

    async def cancel(self, request_id: str) -> None:
        """Ends a run."""
        if not self.up:
            raise errors.EngineUnreachableError("the engine is down")
        self.cancelled.append(request_id)
        self.running.discard(request_id)

    async def close(self) -> None:
        """Does nothing."""

    async def _fail(self, kind: StreamFault, offset: int) -> None:
        if kind is StreamFault.SILENT:
            await asyncio.Event().wait()
        if kind is StreamFault.BROKEN:
            raise errors.StreamBrokenError("reset", offset=offset)
        if kind in (StreamFault.CRASH, StreamFault.CRASH_AND_RESTART):
            self.restarts = kind is StreamFault.CRASH_AND_RESTART
            self.crash()
            raise errors.StreamBrokenError("reset", offset=offset)
        if kind is StreamFault.END_EARLY:
            raise errors.StreamBrokenError("end", offset=offset)


def _refuse(kind: StreamFault) -> None:
    match kind:
        case StreamFault.UNREACHABLE:
            raise errors.EngineUnreachableError("no route")
        case StreamFault.OUTCOME_UNKNOWN:
            raise errors.EngineOutcomeUnknownError("no answer")
        case StreamFault.UNAVAILABLE:
            raise errors.EngineRefusedError("busy", status=503)
        case StreamFault.REFUSED:
            raise errors.EngineRefusedError("gone", status=410)
        case StreamFault.PAUSED:
            raise errors.EngineRefusedError(
                "busy", status=503, pause=datetime.timedelta(seconds=2)
            )
        case StreamFault.LEAVING:
            raise errors.EngineLeavingError("leaving", status=503)
        case StreamFault.NOT_LOADED:
            raise errors.AdapterNotLoadedError("not loaded", status=404)
        case StreamFault.STALE_FENCE:
            raise errors.StaleFenceError("stale", status=409)


def event(offset: int) -> bytes:
    """Returns the JSON of the token at an offset, for both paths."""
    text = f"w{offset} "
    choice = {"index": 0, "text": text, "delta": {"content": text}}
    return json.dumps({"id": "cmpl-1", "choices": [choice]}).encode()


def text_of(tokens: int) -> str:
    """Returns the whole text of a generation."""
    return "".join(f"w{offset} " for offset in range(tokens))


@final
@dataclasses.dataclass(frozen=True, slots=True)
class FakeCandidate:
    """Implements `collaborators.Candidate`."""

    engine_id: str
    score: float = 1.0


@final
@dataclasses.dataclass(frozen=True, slots=True)
class FakeOwner:
    """Implements `collaborators.OwnerRecord`."""

    engine_id: str
    session_id: str
    token: int


@final
@dataclasses.dataclass(frozen=True, slots=True)
class FakeSession:
    """Implements `collaborators.Session`."""

    session_id: str
    peer_address: str
    state: str = "live"


@final
class FakeCluster:
    """Router, ownership, membership, directory and owners of one node.

    Attributes:
        engines: by id, in the order in which they are candidates.
        owners: by engine; this node owns all of them at first.
        sessions: by id.
        services: endpoints of plain services.
        unusable: endpoints that were reported unreachable.
        invalidated: engines whose cached owner was dropped.
        admits: requests for admission that reached an owner.
        releases: releases that reached an owner.
        replies: planned replies to admissions, before the usual grant.
        calls: calls to peers as (address, method, request).
        on_call: answers calls to peers.
    """

    def __init__(self, session_id: str = SELF_SESSION) -> None:
        self.self_id = session_id
        self.engines: dict[str, FakeEngine] = {}
        self.owners: dict[str, FakeOwner] = {}
        self.sessions: dict[str, FakeSession] = {
            session_id: FakeSession(session_id, "127.0.0.1:1")
        }
        self.service_endpoints: list[models.Endpoint] = []
        self.unusable: set[str] = set()
        self.pauses: list[tuple[str, datetime.timedelta]] = []
        self.invalidated: list[str] = []
        self.admits: list[peer_pb2.AdmitRequest] = []
        self.releases: list[peer_pb2.ReleaseRequest] = []
        self.replies: collections.deque[
            peer_pb2.AdmitReply | node_errors.NodeError
        ] = collections.deque()
        self.calls: list[tuple[str, str, Any]] = []
        self.on_call: Callable[[str, str, Any], Any] = _unreachable
        self.grants = 0

    def add_engine(
        self, engine_id: str, *, tokens: int = DEFAULT_TOKENS
    ) -> FakeEngine:
        """Adds an engine that this node owns."""
        endpoint = models.Endpoint(
            engine_id,
            models.EndpointKind.ENGINE,
            f"http://{engine_id}",
            role="description",
        )
        engine = FakeEngine(endpoint, tokens=tokens)
        self.engines[engine_id] = engine
        self.owners[engine_id] = FakeOwner(engine_id, self.self_id, 1)
        return engine

    def open_engine_client(self, endpoint: models.Endpoint) -> FakeEngine:
        """Returns the client of an engine."""
        return self.engines[endpoint.endpoint_id]

    def candidates(
        self,
        adapter: models.AdapterVersion,
        role: str,
        *,
        request_id: str,
    ) -> tuple[FakeCandidate, ...]:
        """Returns the usable engines in their order."""
        del adapter, role, request_id
        return tuple(
            FakeCandidate(name)
            for name in self.engines
            if name not in self.unusable
        )

    def learn(
        self,
        adapter: models.AdapterVersion,
        engine_id: str,
        reply: peer_pb2.AdmitReply,
    ) -> None:
        """Does nothing."""

    def owner(self, engine_id: str) -> FakeOwner | None:
        """Returns the owner of an engine."""
        return self.owners.get(engine_id)

    def invalidate(self, engine_id: str) -> None:
        """Notes it."""
        self.invalidated.append(engine_id)

    def session(self, session_id: str) -> FakeSession | None:
        """Returns a session."""
        return self.sessions.get(session_id)

    def peers(self) -> tuple[FakeSession, ...]:
        """Returns the other live sessions."""
        return tuple(
            session
            for session in self.sessions.values()
            if session.session_id != self.self_id and session.state == "live"
        )

    def services(self, name: str) -> tuple[models.Endpoint, ...]:
        """Returns the endpoints of a plain service."""
        return tuple(e for e in self.service_endpoints if e.role == name)

    def get(self, endpoint_id: str) -> models.Endpoint | None:
        """Returns the endpoint of an engine."""
        engine = self.engines.get(endpoint_id)
        return None if engine is None else engine.endpoint

    def is_usable(self, endpoint_id: str) -> bool:
        """Tells whether nobody reported it."""
        return endpoint_id not in self.unusable

    def report_unreachable(self, endpoint_id: str) -> None:
        """Takes an endpoint out."""
        self.unusable.add(endpoint_id)

    def report_leaving(self, endpoint_id: str) -> None:
        """Takes an endpoint out for good."""
        self.unusable.add(endpoint_id)

    def report_paused(
        self, endpoint_id: str, duration: datetime.timedelta
    ) -> None:
        """Records the pause of an endpoint and takes it out."""
        self.pauses.append((endpoint_id, duration))
        self.unusable.add(endpoint_id)

    def report_reachable(self, endpoint_id: str) -> None:
        """Takes an endpoint back in."""
        self.unusable.discard(endpoint_id)

    async def admit(
        self, request: peer_pb2.AdmitRequest
    ) -> peer_pb2.AdmitReply:
        """Gives the planned reply, or a grant."""
        await asyncio.sleep(0)
        self.admits.append(request)
        if self.replies:
            reply = self.replies.popleft()
            if isinstance(reply, Exception):
                raise reply
            return reply
        return peer_pb2.AdmitReply(grant=self.make_grant(request))

    def make_grant(self, request: peer_pb2.AdmitRequest) -> peer_pb2.Grant:
        """Returns a grant for a request."""
        self.grants += 1
        return peer_pb2.Grant(
            grant_id=f"grant-{self.grants}",
            request_id=request.request_id,
            engine_id=request.engine_id,
            adapter=request.adapter,
            version=request.version,
            token=self.owners[request.engine_id].token,
            session_id=request.session_id,
            start_within_ms=START_WITHIN_MS,
        )

    async def release(
        self, request: peer_pb2.ReleaseRequest
    ) -> peer_pb2.ReleaseReply:
        """Notes a release."""
        self.releases.append(request)
        return peer_pb2.ReleaseReply(known=True)

    async def call(
        self,
        address: str,
        method: str,
        request: Any,
        *,
        timeout: datetime.timedelta = datetime.timedelta(seconds=2),
    ) -> Any:
        """Notes a call to a peer and answers as planned."""
        del timeout
        self.calls.append((address, method, request))
        answer = self.on_call(address, method, request)
        return await answer if asyncio.iscoroutine(answer) else answer


def _unreachable(address: str, method: str, request: Any) -> Any:
    raise node_errors.PeerUnreachableError(f"{address} is not there")


def service_endpoint(number: int, *, zone: str = "zone-a") -> models.Endpoint:
    """Returns an endpoint of the plain service `booking`."""
    return models.Endpoint(
        f"service-{number}",
        models.EndpointKind.SERVICE,
        f"http://service-{number}",
        role="booking",
        zone=zone,
    )


class ServiceFault(enum.StrEnum):
    """What goes wrong with a call of a plain service."""

    NONE = "none"
    UNREACHABLE = "unreachable"
    LOST_BEFORE = "lost_before"
    LOST_AFTER = "lost_after"


@final
class FakeService:
    """Implements `ports.PlainService`.

    Attributes:
        faults: for the next calls, one each.
        runs: calls that were carried out.
        begun: set at the first of them.
        hold: calls wait for this event while it is not None.
    """

    def __init__(self, endpoint: models.Endpoint) -> None:
        self.endpoint = endpoint
        self.faults: collections.deque[ServiceFault] = collections.deque()
        self.runs: list[models.PlainCall] = []
        self.begun = asyncio.Event()
        self.hold: asyncio.Event | None = None
        self.answer_bytes = 0

    async def call(
        self, call: models.PlainCall, *, timeout: datetime.timedelta
    ) -> models.PlainAnswer:
        """Carries a call out, or fails as planned."""
        del timeout
        fault = self.faults.popleft() if self.faults else ServiceFault.NONE
        if fault is ServiceFault.UNREACHABLE:
            raise errors.PlainServiceUnreachableError("no route")
        if fault is ServiceFault.LOST_BEFORE:
            raise errors.PlainServiceOutcomeUnknownError("lost")
        self.runs.append(call)
        self.begun.set()
        if self.hold is not None:
            await self.hold.wait()
        if fault is ServiceFault.LOST_AFTER:
            raise errors.PlainServiceOutcomeUnknownError("lost")
        body = f"ran {call.call_id}".encode() + b" " * self.answer_bytes
        return models.PlainAnswer(201, body, "text/plain")

    async def close(self) -> None:
        """Does nothing."""


@final
class FakeTicket:
    """Implements `callers.dependencies.QuotaTicket`."""

    def __init__(self, quotas: "FakeQuotas") -> None:
        self.quotas = quotas

    def release(self) -> None:
        """Counts it."""
        self.quotas.held -= 1
        if not self.quotas.held:
            self.quotas.idle.set()


@final
class FakeQuotas:
    """Implements `callers.dependencies.Quotas`.

    Attributes:
        held: tickets that were not given back.
        idle: set when the last one is given back.
        refusal: raised instead of a ticket.
    """

    def __init__(self) -> None:
        self.held = 0
        self.idle = asyncio.Event()
        self.refusal: node_errors.LimitExceededError | None = None

    async def acquire(self, contract: Any, request_id: str) -> FakeTicket:
        """Returns a ticket."""
        del contract, request_id
        if self.refusal is not None:
            raise self.refusal
        self.held += 1
        self.idle.clear()
        return FakeTicket(self)
