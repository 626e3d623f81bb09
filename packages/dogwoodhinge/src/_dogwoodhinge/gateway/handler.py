"""Handles a caller's request until it is answered, rejected or aborted."""

import asyncio
from collections.abc import Callable
import dataclasses
import datetime
import itertools
import math
import random
import traceback
from typing import final

from _dogwoodhinge import event_log
from _dogwoodhinge.fleet import models
from _dogwoodhinge.gateway import authentication
from _dogwoodhinge.gateway import call as call_lib
from _dogwoodhinge.gateway import codec as codec_lib
from _dogwoodhinge.gateway import errors
from _dogwoodhinge.gateway import plain as plain_lib
from _dogwoodhinge.gateway import quotas as quotas_lib
from _dogwoodhinge.gateway import request_metrics as request_metrics_lib
from _dogwoodhinge.gateway import requests as requests_lib
from _dogwoodhinge.gateway import retry_budget as retry_budget_lib
from _dogwoodhinge.gateway import streams as streams_lib
from _dogwoodhinge.gateway import suspects as suspects_lib
from _dogwoodhinge.http1 import errors as http_errors
from _dogwoodhinge.http1 import server

# Retry-After is increased by a random part of up to this fraction, so that
# callers that were rejected together do not all retry together.
RETRY_JITTER = 0.5

MAX_NAMED_REQUESTS = 20

MAX_LOGGED_ERROR_LENGTH = 200

# Requests wait this long for the first configuration. Callers of a host that
# has just started connect while it is read, which takes some tens of
# milliseconds.
FIRST_CONFIGURATION_TIMEOUT = datetime.timedelta(milliseconds=200)

NO_CONFIGURATION_RETRY_DELAY = datetime.timedelta(seconds=1)
INTERNAL_ERROR_RETRY_DELAY = datetime.timedelta(seconds=1)


@final
class Handler:
    """Routes requests and answers each of them.

    Attributes:
        active: number of requests in progress, by adapter.
        begun: number of requests started, by adapter.
        running: requests in progress.
        timeouts: the timeouts of all requests in progress.
        applied_first: set once there is a configuration; None to reject
            requests before it at once.
        end_at: loop time by which new requests must end; one whose timeout is
            later is rejected.
    """

    def __init__(
        self,
        *,
        codec: codec_lib.Codec,
        configuration: Callable[[], models.Configuration | None],
        plain: plain_lib.PlainForwarder,
        streams: streams_lib.StreamForwarder,
        budget: retry_budget_lib.RetryBudget,
        events: event_log.Events,
        request_metrics: request_metrics_lib.RequestMetrics,
        rng: random.Random,
        suspects: suspects_lib.Suspects,
        authenticator: authentication.Authenticator,
        applied_first: asyncio.Event | None = None,
        quotas: quotas_lib.Quotas,
    ) -> None:
        self.quotas = quotas
        self.suspects = suspects
        self.authenticator = authenticator
        self.applied_first = applied_first
        self.codec = codec
        self.configuration = configuration
        self.plain = plain
        self.streams = streams
        self.budget = budget
        self.events = events
        self.rng = rng
        self.request_metrics = request_metrics
        self.active: dict[models.AdapterKey, int] = {}
        self.begun: dict[models.AdapterKey, int] = {}
        self.running: set[call_lib.Call] = set()
        self.timeouts: set[asyncio.Timeout] = set()
        self.end_at = math.inf

    def running_requests(self) -> list[str]:
        """Returns ids of requests in progress, `MAX_NAMED_REQUESTS` at most."""
        calls = itertools.islice(self.running, MAX_NAMED_REQUESTS)
        return [call.request.request_id for call in calls]

    def stop(self) -> None:
        """Ends all requests in progress as if they had timed out.

        A response that has begun is broken off. Later requests are rejected.
        """
        self.end_at = asyncio.get_running_loop().time()
        for timeout in self.timeouts:
            if not timeout.expired():
                timeout.reschedule(self.end_at)

    async def handle(self, raw: server.RawRequest, reply: server.Reply) -> None:
        """Serves one request; see `http1.server.Handler`."""
        try:
            request = self.codec.decode_request(raw)
        except codec_lib.BadRequestError as error:
            self.events.write("request_malformed", {"reason": str(error)})
            reply.answer(400, self.codec.node_response_headers(""))
            return
        configuration = (
            self.configuration() or await self._first_configuration()
        )
        if configuration is None:
            self._reject_unconfigured(request.request_id, reply)
            return
        route = configuration.find_route(request.host, request.path)
        if route is None:
            self.events.write(
                "route_unknown",
                {
                    "request": request.request_id,
                    "host": request.host,
                    "path": request.path,
                    "config": configuration.version,
                },
            )
            reply.answer(
                404, self.codec.node_response_headers(request.request_id)
            )
            return
        try:
            holder = self.authenticator.authenticate(
                configuration,
                route,
                request.keys,
                now=asyncio.get_running_loop().time(),
            )
        except authentication.KeyRejectedError as error:
            self._reject_key(request.request_id, configuration, error, reply)
            return
        except authentication.ConfigurationOutdatedError as error:
            self._reject_outdated(request.request_id, error, reply)
            return
        service = self._pick_service(route)
        request = _for_service(request, configuration.services.get(service))
        call = call_lib.Call(
            request=_identify(request, configuration, holder),
            route=route,
            service=service,
            config_version=configuration.version,
            organisation=None if holder is None else holder.organisation,
            ranks=configuration.ranks,
        )
        await self._serve(call, reply)

    def _reject_key(
        self,
        request_id: str,
        configuration: models.Configuration,
        error: authentication.KeyRejectedError,
        reply: server.Reply,
    ) -> None:
        self.events.write(
            "key_rejected",
            {
                "request": request_id,
                "reason": error.reason,
                "key": error.key_digest,
                "config": configuration.version,
            },
        )
        reply.answer(401, self.codec.node_response_headers(request_id))

    def _reject_outdated(
        self,
        request_id: str,
        error: authentication.ConfigurationOutdatedError,
        reply: server.Reply,
    ) -> None:
        self.events.write(
            "configuration_outdated",
            {"request": request_id, "age_ms": int(error.age_seconds * 1000)},
        )
        wait = NO_CONFIGURATION_RETRY_DELAY.total_seconds()
        wait *= 1 + self.rng.random() * RETRY_JITTER
        headers = self.codec.node_response_headers(
            request_id, retry_after_seconds=wait
        )
        reply.answer(503, headers)

    async def _first_configuration(self) -> models.Configuration | None:
        """Waits a short time for the first configuration.

        Load pattern: all hosts lose power and start again at once. Their
        callers reconnect together; rejected, they would be away for longer
        than the configuration takes to be read.
        """
        if self.applied_first is None:
            return None
        try:
            async with asyncio.timeout(
                FIRST_CONFIGURATION_TIMEOUT.total_seconds()
            ):
                await self.applied_first.wait()
        except TimeoutError:
            return None  # logged where the request is rejected
        return self.configuration()

    def _reject_unconfigured(
        self, request_id: str, reply: server.Reply
    ) -> None:
        self.events.write("request_unconfigured", {"request": request_id})
        wait = NO_CONFIGURATION_RETRY_DELAY.total_seconds()
        headers = self.codec.node_response_headers(
            request_id, retry_after_seconds=wait
        )
        reply.answer(503, headers)

    def _pick_service(self, route: models.Route) -> str:
        if len(route.shares) == 1:
            return route.shares[0].service
        return self.rng.choices(
            [share.service for share in route.shares],
            weights=[share.weight for share in route.shares],
        )[0]

    async def _serve(self, call: call_lib.Call, reply: server.Reply) -> None:
        loop = asyncio.get_running_loop()
        self.budget.record_request(call.service, loop.time())
        self.running.add(call)
        outcome = "caller_left"
        cost = 0.0
        try:
            cost = await self._admit(call)
            outcome = await self._forward(call, reply)
        except quotas_lib.QuotaExceededError as error:
            outcome = self._refuse_over_quota(call, reply, error)
        except quotas_lib.QuotaUnknownError:
            outcome = self._reject(
                call,
                reply,
                errors.RequestRejectedError(
                    "quota_unknown",
                    retry_after=quotas_lib.UNKNOWN_RETRY_AFTER,
                ),
            )
        except asyncio.CancelledError:
            if not reply.connection.lost.is_set():
                outcome = "cut_off"
            raise
        except http_errors.ConnectionLostError:
            raise
        except Exception as error:
            outcome = "handler_error"
            text = f"{type(error).__name__}: {error}"
            call.add_step(f"error {text[:MAX_LOGGED_ERROR_LENGTH]}")
            raise
        finally:
            if call.organisation is not None and _has_not_run(call, outcome):
                self.quotas.give_back(call.organisation, cost)
            self.running.discard(call)
            self._log(call, reply, outcome)

    async def _admit(self, call: call_lib.Call) -> float:
        """Returns what the request costs of its organisation's quota."""
        if call.organisation is None:
            return 0.0
        return await self.quotas.admit(
            call.organisation, call.request.stated_tokens
        )

    def _refuse_over_quota(
        self,
        call: call_lib.Call,
        reply: server.Reply,
        error: quotas_lib.QuotaExceededError,
    ) -> str:
        wait = error.retry_after.total_seconds()
        wait *= 1 + self.rng.random() * RETRY_JITTER
        headers = self.codec.node_response_headers(
            call.request.request_id, retry_after_seconds=wait
        )
        call.add_step(f"retry_after {wait:.2f}")
        reply.answer(429, headers)
        return "refused_quota"

    async def _forward(self, call: call_lib.Call, reply: server.Reply) -> str:
        timeout = asyncio.timeout_at(call.gateway_timeout_at)
        self.timeouts.add(timeout)
        self._record_start(call.request.adapter)
        try:
            if call.gateway_timeout_at > self.end_at:
                raise errors.RequestRejectedError(
                    "shutdown_unsent", retry_after=datetime.timedelta(0)
                )
            self.suspects.check(call)
            async with timeout:
                if call.request.adapter is None and not call.route.streamed:
                    await self.plain.forward(call, reply)
                else:
                    await self.streams.forward(call, reply)
        except errors.RequestRejectedError as error:
            return self._reject(call, reply, error)
        except errors.OutcomeUnknownError:
            return self._end_outcome_unknown(call, reply, 502, "unknown")
        except TimeoutError:
            stopped = asyncio.get_running_loop().time() >= self.end_at
            reason = "shutdown" if stopped else "timed_out"
            if call.tried_engines:
                return self._end_outcome_unknown(call, reply, 504, reason)
            refusal = errors.RequestRejectedError(
                f"{reason}_unsent", retry_after=datetime.timedelta(seconds=1)
            )
            return self._reject(call, reply, refusal)
        except http_errors.ConnectionLostError:
            reply.break_off()
            return "caller_lost"
        except Exception as error:
            return self._end_failed(call, reply, error)
        finally:
            self._record_end(call.request.adapter)
            self.timeouts.discard(timeout)
        return "answered"

    def _reject(
        self,
        call: call_lib.Call,
        reply: server.Reply,
        error: errors.RequestRejectedError,
    ) -> str:
        if reply.begun or call.may_have_run:
            return self._end_outcome_unknown(call, reply, 502, error.reason)
        wait = error.retry_after.total_seconds()
        wait *= 1 + self.rng.random() * RETRY_JITTER
        headers = self.codec.node_response_headers(
            call.request.request_id, retry_after_seconds=wait
        )
        call.add_step(f"retry_after {wait:.2f}")
        reply.answer(503, headers)
        return f"refused_{error.reason}"

    def _end_outcome_unknown(
        self,
        call: call_lib.Call,
        reply: server.Reply,
        status: int,
        outcome_detail: str,
    ) -> str:
        if reply.begun:
            reply.break_off()
            return f"broken_off_{outcome_detail}"
        headers = self.codec.node_response_headers(call.request.request_id)
        reply.answer(status, headers)
        return f"failed_{outcome_detail}"

    def _end_failed(
        self, call: call_lib.Call, reply: server.Reply, error: Exception
    ) -> str:
        """Ends a request on which this node failed, with a true status."""
        self.events.write(
            "request_failed",
            {
                "request": call.request.request_id,
                "error": f"{type(error).__name__}: {error}",
                "traceback": traceback.format_exc(),
            },
        )
        if reply.finished:
            return "answered"
        if call.tried_engines:
            return self._end_outcome_unknown(call, reply, 502, "internal")
        rejection = errors.RequestRejectedError(
            "internal", retry_after=INTERNAL_ERROR_RETRY_DELAY
        )
        return self._reject(call, reply, rejection)

    def _record_start(self, key: models.AdapterKey | None) -> None:
        if key is None or not key.adapter:
            return
        self.active[key] = self.active.get(key, 0) + 1
        self.begun[key] = self.begun.get(key, 0) + 1

    def _record_end(self, key: models.AdapterKey | None) -> None:
        if key is None or not key.adapter:
            return
        left = self.active.get(key, 0) - 1
        if left > 0:
            self.active[key] = left
        else:
            self.active.pop(key, None)

    def _log(
        self, call: call_lib.Call, reply: server.Reply, outcome: str
    ) -> None:
        now = asyncio.get_running_loop().time()
        first_byte = sent = None
        if call.first_byte_at is not None:
            first_byte = call.first_byte_at - call.received_at
        if call.sent_at is not None:
            sent = call.sent_at - call.received_at
        self.request_metrics.observe(
            kind=call.route.kind.value,
            outcome=outcome,
            total=now - call.received_at,
            first_byte=first_byte,
            dispatch_wait=sent,
        )
        fields: dict[str, object] = {
            "request": call.request.request_id,
            "content": call.fingerprints[0],
            "route": call.route.name,
            "service": call.service,
            "config": call.config_version,
            "outcome": outcome,
            "status": reply.status,
            "engines": call.tried_engines,
            "ms": int((now - call.received_at) * 1000),
            "bytes": reply.sent_bytes,
        }
        if first_byte is not None:
            fields["first_byte_ms"] = int(first_byte * 1000)
        if sent is not None:
            fields["sent_ms"] = int(sent * 1000)
        if call.list_ages:
            fields["list_ages_ms"] = [
                int(age * 1000) if math.isfinite(age) else None
                for age in call.list_ages
            ]
        if call.organisation is not None:
            fields["organisation"] = call.organisation_name
            fields["key"] = call.request.key_digest
            fields.update(
                self.quotas.log_fields(
                    call.organisation_name, asyncio.get_running_loop().time()
                )
            )
        if call.request.adapter is not None:
            fields["parts"] = call.logged_parts
            fields["prompt_tokens"] = call.request.prompt_tokens
            fields["held_tokens"] = call.held_tokens
            fields["adapter"] = str(call.request.adapter)
            fields["found_by"] = call.found_by
            fields["version"] = call.adapter_version
            fields["events"] = call.events
            fields["longest_pause_ms"] = int(call.longest_pause * 1000)
        if call.engine_framing:
            fields["engine_framing"] = call.engine_framing
            fields["engine_connection"] = call.engine_connection or "open"
        if call.engine_end:
            fields["engine_end"] = call.engine_end
        if not reply.finished:
            fields.update(reply.connection_fields())
            fields["leaving"] = reply.must_close()
            if call.last_event_at is not None:
                last_event = call.last_event_at - call.received_at
                fields["last_event_ms"] = int(last_event * 1000)
        if call.steps:
            fields["steps"] = call.steps
        self.events.write("request", fields)


def _has_not_run(call: call_lib.Call, outcome: str) -> bool:
    """Returns whether it is certain that no engine runs the request."""
    return outcome.startswith("refused_") or not call.tried_engines


def _for_service(
    request: requests_lib.Request, service: models.Service | None
) -> requests_lib.Request:
    """Returns what a service is asked for: a plain one holds no adapters."""
    if service is None or service.engine is not None:
        return request
    if request.adapter is None:
        return request
    return dataclasses.replace(request, adapter=None)


def _identify(
    request: requests_lib.Request,
    configuration: models.Configuration,
    holder: authentication.KeyHolder | None,
) -> requests_lib.Request:
    """Replaces the keys of a request by the name of their organisation."""
    if holder is not None:
        return dataclasses.replace(
            request,
            keys=(),
            key_digest=holder.key_digest,
            organisation=holder.organisation.name,
        )
    organisation = None if configuration.organisations is None else ""
    if not request.keys and organisation is None:
        return request
    return dataclasses.replace(request, keys=(), organisation=organisation)
