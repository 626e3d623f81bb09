"""Serves `/v1/completions`, `/v1/chat/completions` and `/v1/models`."""

import asyncio
from collections.abc import AsyncGenerator
import contextlib
import datetime
import json
from typing import final

from absl import logging
from aiohttp import web

from _dogwoodhinge import decisions as decisions_lib
from _dogwoodhinge import errors
from _dogwoodhinge import injection
from _dogwoodhinge.callers import authentication
from _dogwoodhinge.callers import bodies
from _dogwoodhinge.callers import dependencies
from _dogwoodhinge.callers import problems
from _dogwoodhinge.callers import response_assembler
from _dogwoodhinge.config import contract as contract_lib
from _dogwoodhinge.dispatch import fingerprint
from _dogwoodhinge.dispatch import generation_requests

WRITE_TIMEOUT = datetime.timedelta(seconds=30)

# A complete response is collected up to this size.
MAX_COLLECTED_BYTES = 8 * 1024 * 1024

END_EVENT = b"data: [DONE]\n\n"
OWNED_BY = "dogwoodhinge"


@final
class GenerationHandlers:
    """Handlers of the OpenAI-compatible paths."""

    def __init__(self, deps: dependencies.Dependencies) -> None:
        self.deps = deps

    async def complete(self, request: web.Request) -> web.StreamResponse:
        """Serves one generation, as a stream or as one response."""
        accepted = await authentication.accept_request(request, self.deps)
        body = bodies.parse(
            request.path, await self.deps.body_reader.read(request)
        )
        generation_request = _build_generation_request(accepted, body)
        await injection.reach(injection.Step.LIMIT)
        ticket = await self.deps.quotas.acquire(
            accepted.contract, accepted.request_id
        )
        try:
            events = self.deps.generations.run(generation_request)
            async with contextlib.aclosing(events):
                if body.stream:
                    return await self._stream(
                        request, generation_request, events
                    )
                return await self._send_complete(
                    request, generation_request, body, events
                )
        finally:
            ticket.release()

    async def list_models(self, request: web.Request) -> web.Response:
        """Lists the adapters and versions that the contract allows."""
        accepted = await authentication.accept_request(request, self.deps)
        listed = [
            {"id": name, "object": "model", "created": 0, "owned_by": OWNED_BY}
            for name in _model_names(accepted.contract)
        ]
        return web.json_response({"object": "list", "data": listed})

    async def _send_complete(
        self,
        request: web.Request,
        generation_request: generation_requests.GenerationRequest,
        body: bodies.GenerationBody,
        events: AsyncGenerator[bytes, None],
    ) -> web.Response:
        assembler = response_assembler.ResponseAssembler(body.path)
        size = 0
        async for data in events:
            size += len(data)
            if size > MAX_COLLECTED_BYTES:
                raise errors.OutcomeUnknownError(
                    f"the response exceeds {MAX_COLLECTED_BYTES} bytes; request"
                    " fewer tokens or a stream"
                )
            assembler.add(data)
            self.deps.request_memory.hold_answer(request, size)
        await self._record_end(generation_request, "whole")
        return web.json_response(
            assembler.build(str(generation_request.adapter))
        )

    async def _stream(
        self,
        request: web.Request,
        generation_request: generation_requests.GenerationRequest,
        events: AsyncGenerator[bytes, None],
    ) -> web.StreamResponse:
        # An error before the first event becomes an ordinary problem response,
        # because the headers have not been sent yet.
        first = await anext(events, None)
        response = web.StreamResponse(
            headers={
                "Content-Type": "text/event-stream; charset=utf-8",
                "Cache-Control": "no-store",
                "X-Accel-Buffering": "no",
                problems.REQUEST_ID_HEADER: generation_request.request_id,
            }
        )
        await response.prepare(request)
        if first is not None:
            await _write(response, _format_event(first))
        try:
            async for data in events:
                await _write(response, _format_event(data))
        except ConnectionError:
            raise
        except Exception as error:
            await self._send_error_event(response, generation_request, error)
            return response
        await self._record_end(generation_request, "whole")
        await _write(response, END_EVENT)
        await response.write_eof()
        return response

    async def _send_error_event(
        self,
        response: web.StreamResponse,
        generation_request: generation_requests.GenerationRequest,
        error: Exception,
    ) -> None:
        """Ends an incomplete stream with an error event and no end marker."""
        problem = problems.from_exception(error)
        if problem.status == problems.INTERNAL_ERROR:
            logging.error(
                "request %s failed",
                generation_request.request_id,
                exc_info=error,
            )
        document = problems.build_document(
            problem, generation_request.request_id
        )
        data = json.dumps(document).encode()
        await self._record_end(generation_request, problem.code)
        await _write(response, b"event: error\n" + _format_event(data))
        await response.write_eof()

    async def _record_end(
        self,
        generation_request: generation_requests.GenerationRequest,
        outcome: str,
    ) -> None:
        await injection.reach(injection.Step.RECORD)
        self.deps.decisions.record(
            decisions_lib.Decision(
                kind="end",
                chosen=outcome,
                reason="the generation ended",
                request_id=generation_request.request_id,
                customer=generation_request.customer,
                adapter=str(generation_request.adapter),
            )
        )


def _build_generation_request(
    accepted: authentication.AcceptedRequest, body: bodies.GenerationBody
) -> generation_requests.GenerationRequest:
    """Checks a body against the contract and builds the request.

    Raises:
        ProblemError: the contract does not allow the model (404) or the
            number of tokens (400).
    """
    contract = accepted.contract
    rule = contract.adapter_rule(body.adapter)
    if rule is None:
        raise problems.not_found(
            "model_not_found",
            f"the contract of {contract.customer} does not allow the model "
            f"{body.adapter}; `GET /v1/models` lists what it allows",
            parameter="model",
        )
    limit = contract.limits.max_output_tokens
    if body.max_tokens is not None and body.max_tokens > limit:
        raise problems.bad_request(
            f"max_tokens is {body.max_tokens}; the contract allows {limit}",
            parameter="max_tokens",
        )
    return generation_requests.GenerationRequest(
        request_id=accepted.request_id,
        customer=contract.customer,
        adapter=body.adapter,
        role=rule.role,
        priority=rule.priority,
        weight=contract.weight,
        path=body.path,
        body=bodies.build_engine_body(body, max_tokens=limit),
        prompt_tokens=fingerprint.estimate_tokens(body.prompt),
        max_tokens=body.max_tokens or 0,
        fingerprint=fingerprint.request_digest(
            body.adapter, body.path, body.members
        ),
        start_by=accepted.start_by,
        end_by=accepted.end_by,
    )


def _model_names(contract: contract_lib.Contract) -> list[str]:
    return [
        f"{rule.name}@{version}"
        for rule in contract.adapters
        for version in rule.versions
    ]


def _format_event(data: bytes) -> bytes:
    return b"data: " + data + b"\n\n"


async def _write(response: web.StreamResponse, data: bytes) -> None:
    """Writes to the response; gives up on a caller that stops reading.

    Raises:
        ConnectionError: the caller has disconnected or stopped reading.
    """
    try:
        async with asyncio.timeout(WRITE_TIMEOUT.total_seconds()):
            await response.write(data)
    except TimeoutError as error:
        raise ConnectionAbortedError("the caller stopped reading") from error
