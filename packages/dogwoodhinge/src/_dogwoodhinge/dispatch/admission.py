"""Obtains grants from the owners of engines."""

import asyncio
import collections
import dataclasses
import datetime
from typing import final

from _dogwoodhinge import decisions as decisions_lib
from _dogwoodhinge import errors
from _dogwoodhinge import injection
from _dogwoodhinge import settings as settings_lib
from _dogwoodhinge.dispatch import background
from _dogwoodhinge.dispatch import collaborators
from _dogwoodhinge.dispatch import errors as dispatch_errors
from _dogwoodhinge.dispatch import grants as grants_lib
from _dogwoodhinge.dispatch import peer_probes
from _dogwoodhinge.dispatch import releases
from _dogwoodhinge.peer import compact
from _dogwoodhinge.peer import peer_pb2
from dogwoodhinge import models
from dogwoodhinge import ports

ReleaseResult = releases.ReleaseResult

MAX_ENGINES_ASKED = 4
OWNER_WAIT_TIMEOUT = datetime.timedelta(seconds=3)
ADMIT_RETRY_DELAY = datetime.timedelta(milliseconds=100)
OWNER_CHECK_INTERVAL = datetime.timedelta(milliseconds=500)
DEFAULT_RETRY_AFTER = datetime.timedelta(seconds=2)
REPLY_MARGIN = datetime.timedelta(seconds=1)
FINAL_REFUSAL_SORT_KEY_MS = 2**32


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AdmissionRequest:
    """A generation that needs a grant.

    Attributes:
        request_id: ID of the attempt; the engine receives the same ID.
        role: role of the engines that may run it.
        start_by: monotonic second by which the run must start; a later grant
            is useless.
        answer_by: monotonic second by which the answer must be complete.
        max_tokens: 0 if the caller did not set a limit.
        weight: the customer's weight in fair sharing.
        suspect: whether the request was in flight when an engine crashed.
    """

    request_id: str
    customer: str
    adapter: models.AdapterVersion
    role: str
    start_by: float
    answer_by: float
    prompt_tokens: int
    max_tokens: int
    priority: int
    weight: float
    suspect: bool = False


@final
class Admission:
    """Requests a grant from the owners of candidate engines.

    An owner is in this process or at a peer.
    """

    def __init__(
        self,
        *,
        router: collaborators.Router,
        ownership: collaborators.Ownership,
        membership: collaborators.Membership,
        registry: collaborators.Registry,
        peer_client: collaborators.PeerClient,
        grants: grants_lib.GrantStore,
        clock: ports.Clock,
        settings: settings_lib.Settings,
        decisions: decisions_lib.DecisionLog,
    ) -> None:
        self.router = router
        self.ownership = ownership
        self.membership = membership
        self.registry = registry
        self.peer_client = peer_client
        self.grants = grants
        self.clock = clock
        self.settings = settings
        self.decisions = decisions
        self.background = background.BackgroundTasks()
        self.probes = peer_probes.PeerProber(
            peer_client=peer_client, clock=clock
        )
        self.releases = releases.Releases(
            ownership=ownership,
            membership=membership,
            registry=registry,
            peer_client=peer_client,
            grants=grants,
            clock=clock,
        )

    async def admit(self, request: AdmissionRequest) -> peer_pb2.Grant:
        """Returns a grant, which is also added to the held grants.

        If this call is cancelled, the admission continues in the background
        and its grant is released, so that no grant leaks.

        Raises:
            RefusedError: no owner grants it; the request was not run.
            UnservableRequestError: a retry can't succeed; the request was not
                run.
        """
        await injection.reach(injection.Step.ADMIT)
        admit_task = asyncio.ensure_future(self._admit(request))
        try:
            return await asyncio.shield(admit_task)
        except asyncio.CancelledError:
            self.background.spawn(
                self._release_when_admitted(admit_task),
                name=f"release grant of {request.request_id}",
            )
            raise

    async def release(
        self, grant: peer_pb2.Grant, result: releases.ReleaseResult
    ) -> None:
        """Releases a grant; returns when the engine's owner has confirmed."""
        await self.releases.release(grant, result)

    def release_in_background(
        self, grant: peer_pb2.Grant, result: releases.ReleaseResult
    ) -> None:
        """Releases a grant in the background."""
        self.background.spawn(
            self.release(grant, result), name=f"release {grant.grant_id}"
        )

    async def settle(self) -> None:
        """Waits until all background releases and probes have ended."""
        await self.background.settle()
        await self.probes.background.settle()

    async def _release_when_admitted(
        self, admit_task: asyncio.Future[peer_pb2.Grant]
    ) -> None:
        try:
            grant = await admit_task
        except errors.AdmissionError:
            return
        await self.release(grant, releases.ReleaseResult())

    async def _admit(self, request: AdmissionRequest) -> peer_pb2.Grant:
        # The request may have waited in an owner's queue before that owner was
        # lost; the wait for the next one starts then.
        wait_until: float | None = None
        while True:
            answer = await self._try_candidates(request)
            if isinstance(answer, peer_pb2.Grant):
                return answer
            if answer is not None:
                raise self._refuse(request, answer)
            now = self.clock.monotonic()
            if wait_until is None:
                wait_until = min(
                    request.start_by, now + OWNER_WAIT_TIMEOUT.total_seconds()
                )
            next_at = now + ADMIT_RETRY_DELAY.total_seconds()
            if next_at >= wait_until:
                raise self._refuse(request, _no_owner_refusal(request))
            await self.clock.sleep(ADMIT_RETRY_DELAY)

    async def _try_candidates(
        self, request: AdmissionRequest
    ) -> peer_pb2.Grant | peer_pb2.Refusal | None:
        candidates = self.router.candidates(
            request.adapter,
            request.role,
            request_id=request.request_id,
        )
        if not candidates:
            return _no_engine_refusal(request)
        untried = collections.deque(c.engine_id for c in candidates)
        asked: set[str] = set()
        refusals: list[peer_pb2.Refusal] = []
        while untried and len(asked) < MAX_ENGINES_ASKED:
            engine_id = untried.popleft()
            if engine_id in asked:
                continue
            asked.add(engine_id)
            reply = await self._admit_on_engine(request, engine_id)
            if reply is None:
                continue
            self.router.learn(request.adapter, engine_id, reply)
            outcome = reply.WhichOneof("outcome")
            if outcome == "grant" and self._add_grant(reply.grant):
                return reply.grant
            if outcome == "refusal":
                refusals.append(reply.refusal)
            elif outcome == "redirect":
                self._follow_redirect(reply.redirect, engine_id, untried)
        if not refusals:
            return None
        return min(refusals, key=_retry_after_sort_key)

    def _add_grant(self, grant: peer_pb2.Grant) -> bool:
        try:
            self.grants.add(grant)
        except errors.NotRunError:
            # The engine has a newer owner, which has no record of this grant.
            self.ownership.invalidate(grant.engine_id)
            return False
        return True

    def _follow_redirect(
        self,
        redirect: peer_pb2.Redirect,
        engine_id: str,
        untried: collections.deque[str],
    ) -> None:
        if redirect.engine_id in ("", engine_id):
            self.ownership.invalidate(engine_id)
        else:
            untried.appendleft(redirect.engine_id)

    async def _admit_on_engine(
        self, request: AdmissionRequest, engine_id: str
    ) -> peer_pb2.AdmitReply | None:
        """Requests a grant from an engine's owner.

        Returns None if the owner could not be reached.
        """
        owner = self.ownership.owner(engine_id)
        remaining_s = request.start_by - self.clock.monotonic()
        if owner is None or remaining_s <= 0:
            return None
        message = self._admit_message(request, engine_id)
        try:
            if owner.session_id == self.membership.self_id:
                return await self._admit_locally(message, remaining_s)
            session = self.membership.session(owner.session_id)
            if session is None:
                self.ownership.invalidate(engine_id)
                return None
            return await self._admit_at_peer(
                session, owner, message, remaining_s
            )
        except (errors.PeerError, errors.OwnershipError):
            self.ownership.invalidate(engine_id)
            return None
        except errors.RefusedError as error:
            return peer_pb2.AdmitReply(refusal=_as_refusal(error))

    async def _admit_locally(
        self, message: peer_pb2.AdmitRequest, remaining_s: float
    ) -> peer_pb2.AdmitReply:
        """Requests a grant from the owner in this process.

        On a timeout the cancellation removes the request from the queue.
        """
        try:
            async with asyncio.timeout(remaining_s):
                return await self.registry.admit(message)
        except TimeoutError:
            return peer_pb2.AdmitReply(refusal=_timeout_refusal())

    async def _admit_at_peer(
        self,
        session: collaborators.Session,
        owner: collaborators.OwnerRecord,
        message: peer_pb2.AdmitRequest,
        remaining_s: float,
    ) -> peer_pb2.AdmitReply:
        """Requests a grant from a peer.

        Stops waiting once a probe of the peer fails or the engine has another
        owner.
        """
        admit_task = asyncio.ensure_future(
            self.peer_client.call(
                session.peer_address,
                "Admit",
                message,
                timeout=datetime.timedelta(seconds=remaining_s) + REPLY_MARGIN,
            )
        )
        address = session.peer_address
        asked_at = self.clock.monotonic()
        try:
            while not admit_task.done():
                await asyncio.wait(
                    {admit_task}, timeout=OWNER_CHECK_INTERVAL.total_seconds()
                )
                if admit_task.done():
                    break
                if self.probes.has_failed(address, since=asked_at):
                    raise errors.PeerOutcomeUnknownError(
                        f"peer {address} does not answer probes"
                    )
                if not self._still_owns(owner, message):
                    raise errors.PeerOutcomeUnknownError(
                        f"engine {message.engine_id} has a new owner"
                    )
                self.probes.start_probe(address)
            return compact.restore_grant(admit_task.result(), message)
        finally:
            admit_task.cancel()

    def _still_owns(
        self,
        owner: collaborators.OwnerRecord,
        message: peer_pb2.AdmitRequest,
    ) -> bool:
        current = self.ownership.owner(message.engine_id)
        return current is None or current.token == owner.token

    def _admit_message(
        self, request: AdmissionRequest, engine_id: str
    ) -> peer_pb2.AdmitRequest:
        remaining_s = max(request.answer_by - self.clock.monotonic(), 0.0)
        return peer_pb2.AdmitRequest(
            request_id=request.request_id,
            customer=request.customer,
            engine_id=engine_id,
            adapter=request.adapter.adapter,
            version=request.adapter.version,
            session_id=self.membership.self_id,
            deadline_ms=int(remaining_s * grants_lib.MILLISECONDS_PER_SECOND),
            prompt_tokens=request.prompt_tokens,
            max_tokens=request.max_tokens,
            priority=request.priority,
            weight=request.weight,
            suspect=request.suspect,
        )

    def _refuse(
        self, request: AdmissionRequest, refusal: peer_pb2.Refusal
    ) -> errors.RefusedError:
        self.decisions.record(
            decisions_lib.Decision(
                kind="admit",
                chosen="refuse",
                reason=refusal.reason,
                request_id=request.request_id,
                customer=request.customer,
                adapter=str(request.adapter),
            )
        )
        if not refusal.retry_after_ms:
            return dispatch_errors.UnservableRequestError(refusal.reason)
        return errors.RefusedError(
            refusal.reason,
            retry_after=datetime.timedelta(milliseconds=refusal.retry_after_ms),
        )


def _retry_after_sort_key(refusal: peer_pb2.Refusal) -> int:
    return refusal.retry_after_ms or FINAL_REFUSAL_SORT_KEY_MS


def _timeout_refusal() -> peer_pb2.Refusal:
    return peer_pb2.Refusal(
        reason="no engine could start the request in time; allow more time or "
        "retry later",
        retry_after_ms=grants_lib.to_ms(DEFAULT_RETRY_AFTER),
    )


def _no_engine_refusal(request: AdmissionRequest) -> peer_pb2.Refusal:
    return peer_pb2.Refusal(
        reason=f"no engine with role {request.role} is available; retry later",
        retry_after_ms=grants_lib.to_ms(DEFAULT_RETRY_AFTER),
    )


def _no_owner_refusal(request: AdmissionRequest) -> peer_pb2.Refusal:
    return peer_pb2.Refusal(
        reason=f"no owner of an engine with role {request.role} can be "
        "reached; retry later",
        retry_after_ms=grants_lib.to_ms(DEFAULT_RETRY_AFTER),
    )


def _as_refusal(error: errors.RefusedError) -> peer_pb2.Refusal:
    retry_after = error.retry_after or datetime.timedelta()
    return peer_pb2.Refusal(
        reason=str(error), retry_after_ms=grants_lib.to_ms(retry_after)
    )
