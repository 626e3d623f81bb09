"""Engines with the OpenAI-compatible HTTP interface and LoRA load calls.

The extensions (fencing token, priority, cancel, resume, load report) are in
docs/protocols.md. Each request opens a new connection, so that none waits on a
dead pooled connection, or gets a late response to an earlier one.
"""

from collections.abc import AsyncIterator, Mapping
import datetime
import json
import re
from typing import Any, final
import urllib.parse

from absl import logging

from _dogwoodhinge.platform import errors as platform_errors
from _dogwoodhinge.platform import http_client
from _dogwoodhinge.platform import token_stream
from dogwoodhinge import errors
from dogwoodhinge import hookimpl
from dogwoodhinge import models
from dogwoodhinge import ports

HTTP_SCHEMES = ("http://", "https://")
REPORT_TIMEOUT = datetime.timedelta(seconds=1)
ORDER_TIMEOUT = datetime.timedelta(seconds=2)
LOAD_TIMEOUT = datetime.timedelta(seconds=60)
# Backstop only: the dispatcher abandons a stream after the shorter gap between
# chunks that the settings allow.
READ_TIMEOUT = datetime.timedelta(seconds=60)

STATUS_OK = 200
STATUS_NOT_FOUND = 404
STATUS_CONFLICT = 409
STATUS_SERVER_ERROR = 500
STATUS_UNAVAILABLE = 503
LEAVING_CODE = "leaving"
NOT_LOADED_CODE = "adapter_not_loaded"

# Seconds, also fractions; dates and signs are not understood.
RETRY_AFTER_SECONDS = re.compile(r"[0-9]{1,15}(?:\.[0-9]{0,15})?")

# A longer pause is cut to this: a mistaken value must not stop an engine for
# good.
MAX_PAUSE = datetime.timedelta(seconds=60)


@hookimpl.hookimpl
def open_engine(
    endpoint: models.Endpoint, clock: ports.Clock
) -> ports.Engine | None:
    """Opens endpoints with an `http(s)://` URL."""
    del clock
    if not endpoint.url.startswith(HTTP_SCHEMES):
        return None
    return OpenAiEngine(endpoint)


@final
class OpenAiEngine:
    """Implements `ports.Engine`."""

    def __init__(self, endpoint: models.Endpoint) -> None:
        self.endpoint = endpoint
        self.client = http_client.HttpClient(endpoint.url)

    async def load(self, weights: models.AdapterWeights, *, token: int) -> None:
        """Loads an adapter; returns when it is resident."""
        body = {
            "lora_name": str(weights.adapter),
            "lora_path": weights.location,
        }
        response = await self._send_order(
            "/v1/load_lora_adapter", body, token, LOAD_TIMEOUT
        )
        _require_ok(response, f"the load of {weights.adapter}")

    async def unload(
        self, adapter: models.AdapterVersion, *, token: int
    ) -> None:
        """Evicts an adapter; one that is not resident is not an error."""
        body = {"lora_name": str(adapter)}
        response = await self._send_order(
            "/v1/unload_lora_adapter", body, token, ORDER_TIMEOUT
        )
        if response.status != STATUS_NOT_FOUND:
            _require_ok(response, f"the eviction of {adapter}")

    async def raise_fence(self, token: int) -> None:
        """Makes the engine reject lower fencing tokens."""
        response = await self._send_order(
            "/v1/fence", {"token": token}, token, ORDER_TIMEOUT
        )
        _require_ok(response, f"the fencing token {token}")

    async def report(self) -> models.EngineReport:
        """Fetches the load report."""
        request = http_client.Request(
            method="GET", path="/v1/load_report", new_connection=True
        )
        try:
            response = await self.client.exchange(
                request, timeout=REPORT_TIMEOUT
            )
        except platform_errors.RequestNotSentError as error:
            raise errors.EngineUnreachableError(str(error)) from error
        except platform_errors.IncompleteResponseError as error:
            raise errors.EngineError(str(error)) from error
        _require_ok(response, "the load report")
        return _parse_report(self.endpoint.endpoint_id, response.body)

    async def open_stream(
        self, request: models.EngineRequest
    ) -> AsyncIterator[models.StreamChunk]:
        """Runs or resumes a generation; the last chunk is the end marker."""
        reader = token_stream.TokenStreamReader(
            request.request_id, request.offset
        )
        try:
            async with self.client.open(
                _generation_request(request), read_timeout=READ_TIMEOUT
            ) as stream_response:
                if stream_response.status != STATUS_OK:
                    body = await self.client.read_error(stream_response)
                    raise _error_for_status(
                        stream_response.status,
                        body,
                        "the request",
                        stream_response.headers,
                    )
                reader.accepted = True
                async for chunk in reader.read(stream_response.content):
                    yield chunk
        except platform_errors.RequestNotSentError as error:
            raise errors.EngineUnreachableError(str(error)) from error
        except platform_errors.IncompleteResponseError as error:
            if reader.accepted:
                raise errors.StreamBrokenError(
                    str(error), offset=reader.offset
                ) from error
            raise errors.EngineOutcomeUnknownError(str(error)) from error

    async def cancel(self, request_id: str) -> None:
        """Stops a generation; an unknown id is not an error."""
        name = urllib.parse.quote(request_id, safe="")
        response = await self._send_order(
            f"/v1/requests/{name}/cancel", {}, 0, ORDER_TIMEOUT
        )
        if response.status != STATUS_NOT_FOUND:
            _require_ok(response, f"the cancellation of {request_id}")

    async def close(self) -> None:
        """Closes the connections."""
        await self.client.close()

    async def _send_order(
        self,
        path: str,
        body: Mapping[str, object],
        token: int,
        timeout: datetime.timedelta,
    ) -> http_client.Response:
        request = http_client.Request(
            method="POST",
            path=path,
            body=json.dumps(body).encode(),
            headers=_headers(token),
            new_connection=True,
        )
        try:
            return await self.client.exchange(request, timeout=timeout)
        except platform_errors.RequestNotSentError as error:
            raise errors.EngineUnreachableError(str(error)) from error
        except platform_errors.IncompleteResponseError as error:
            raise errors.EngineOutcomeUnknownError(str(error)) from error


def _headers(token: int) -> dict[str, str]:
    headers = {"Content-Type": "application/json"}
    if token:
        headers["X-Fencing-Token"] = str(token)
    return headers


def _generation_request(request: models.EngineRequest) -> http_client.Request:
    members: dict[str, Any] = json.loads(request.body)
    members["model"] = str(request.adapter)
    members["stream"] = True
    # A resume starts no generation. It carries no token, so that an engine
    # with a new owner does not reject it for the older token.
    headers = _headers(0 if request.offset else request.token)
    headers["X-Request-Id"] = request.request_id
    headers["X-Priority"] = str(request.priority)
    headers["X-Deadline-Ms"] = str(int(request.deadline.total_seconds() * 1e3))
    if request.offset:
        headers["X-Resume-Offset"] = str(request.offset)
    return http_client.Request(
        method="POST",
        path=request.path,
        body=json.dumps(members, separators=(",", ":")).encode(),
        headers=headers,
        new_connection=True,
    )


def _require_ok(response: http_client.Response, action: str) -> None:
    if response.status != STATUS_OK:
        raise _error_for_status(
            response.status, response.body, action, response.headers
        )


def _error_for_status(
    status: int, body: bytes, action: str, headers: Mapping[str, str]
) -> errors.EngineError:
    """Returns the error for a response with a status other than 200.

    A 503 means that the request was rejected; after any other 5xx the engine
    may have started it.
    """
    code, message = _parse_problem(body)
    text = (
        f"the engine answered {action} with {status} {code} {message}".strip()
    )
    if status == STATUS_CONFLICT:
        return errors.StaleFenceError(text, status=status)
    if status == STATUS_UNAVAILABLE and code == LEAVING_CODE:
        return errors.EngineLeavingError(text, status=status)
    if status == STATUS_NOT_FOUND and code == NOT_LOADED_CODE:
        return errors.AdapterNotLoadedError(text, status=status)
    if status >= STATUS_SERVER_ERROR and status != STATUS_UNAVAILABLE:
        return errors.EngineOutcomeUnknownError(text)
    pause = datetime.timedelta(0)
    if status == STATUS_UNAVAILABLE:
        pause = _parse_pause(headers.get("Retry-After", ""))
    return errors.EngineRefusedError(text, status=status, pause=pause)


def _parse_pause(value: str) -> datetime.timedelta:
    """Parses the seconds of a Retry-After header; 0 for any other value."""
    if not RETRY_AFTER_SECONDS.fullmatch(value):
        if value:
            logging.warning("Retry-After of an engine is ignored: %.80r", value)
        return datetime.timedelta(0)
    seconds = min(float(value), MAX_PAUSE.total_seconds())
    return datetime.timedelta(seconds=seconds)


def _parse_problem(body: bytes) -> tuple[str, str]:
    """Returns code and message of an OpenAI error or problem document."""
    try:
        members = json.loads(body)
        problem = members.get("error", members)
        code = problem.get("code", "")
        return str(code), str(problem.get("message", problem.get("detail", "")))
    except (ValueError, AttributeError):
        return "", ""


def _parse_report(engine_id: str, body: bytes) -> models.EngineReport:
    try:
        members = json.loads(body)
        return models.EngineReport(
            engine_id=engine_id,
            epoch=str(members["epoch"]),
            age=datetime.timedelta(milliseconds=members["age_ms"]),
            residents=tuple(
                models.AdapterVersion.parse(name)
                for name in members["residents"]
            ),
            running=tuple(
                models.RunningRequest(
                    running["request_id"],
                    models.AdapterVersion.parse(running["adapter"]),
                )
                for running in members["running"]
            ),
            waiting=int(members["waiting"]),
            fence=int(members.get("fence", 0)),
            event_sequence=int(members.get("event_sequence", 0)),
        )
    except (ValueError, KeyError, TypeError) as error:
        raise errors.EngineError(
            f"the load report of {engine_id} can't be parsed: {error!r}"
        ) from error
