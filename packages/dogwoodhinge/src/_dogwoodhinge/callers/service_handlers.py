"""Serves `/v1/services/{service}/{operation}`."""

from typing import final

from aiohttp import web

from _dogwoodhinge import injection
from _dogwoodhinge.callers import authentication
from _dogwoodhinge.callers import dependencies
from _dogwoodhinge.callers import problems
from _dogwoodhinge.config import contract as contract_lib
from _dogwoodhinge.dispatch import plain_calls

IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
REPLAYED_HEADER = "Idempotency-Replayed"
MAX_IDEMPOTENCY_KEY_LENGTH = 255
DEFAULT_CONTENT_TYPE = "application/octet-stream"


@final
class ServiceHandlers:
    """Handlers of calls to services."""

    def __init__(self, deps: dependencies.Dependencies) -> None:
        self.deps = deps

    async def call(self, request: web.Request) -> web.Response:
        """Serves one call to an operation of a service."""
        accepted = await authentication.accept_request(request, self.deps)
        service = request.match_info["service"]
        operation = _find_operation(accepted.contract, request)
        key = _idempotency_key(request, operation)
        content_type = _content_type(request)
        body = await self.deps.body_reader.read(request)
        await injection.reach(injection.Step.LIMIT)
        ticket = await self.deps.quotas.acquire(
            accepted.contract, accepted.request_id
        )
        release_body = self.deps.request_memory.hold_call(request)

        def end() -> None:
            ticket.release()
            release_body()

        result = await self.deps.plain_calls.call(
            plain_calls.PlainCallRequest(
                request_id=accepted.request_id,
                customer=accepted.contract.customer,
                service=service,
                operation=operation,
                query=_query_string(request),
                body=body,
                content_type=content_type,
                idempotency_key=key,
                end_by=min(accepted.start_by, accepted.end_by),
            ),
            on_end=end,
        )
        self.deps.request_memory.hold_answer(request, len(result.answer.body))
        headers = {
            "Content-Type": result.answer.content_type or DEFAULT_CONTENT_TYPE
        }
        if result.replayed:
            headers[REPLAYED_HEADER] = "true"
        return web.Response(
            status=result.answer.status,
            body=result.answer.body,
            headers=headers,
        )


def _find_operation(
    contract: contract_lib.Contract, request: web.Request
) -> contract_lib.Operation:
    service = request.match_info["service"]
    name = request.match_info["operation"]
    operation = contract.operation(service, name)
    if operation is None:
        raise problems.not_found(
            "operation_not_found",
            f"the contract of {contract.customer} has no operation {name!r} "
            f"of a service {service!r}",
        )
    if request.method not in ("POST", operation.method):
        raise problems.method_not_allowed(
            f"call the operation with POST or {operation.method}"
        )
    return operation


def _idempotency_key(
    request: web.Request, operation: contract_lib.Operation
) -> str:
    key = request.headers.get(IDEMPOTENCY_KEY_HEADER, "")
    if not key and not operation.idempotent:
        raise problems.bad_request(
            "the operation runs at most once: send "
            f"{IDEMPOTENCY_KEY_HEADER}, and repeat the same key on a retry",
            parameter=IDEMPOTENCY_KEY_HEADER,
        )
    if len(key) > MAX_IDEMPOTENCY_KEY_LENGTH or not key.isprintable():
        raise problems.bad_request(
            f"{IDEMPOTENCY_KEY_HEADER} must be at most "
            f"{MAX_IDEMPOTENCY_KEY_LENGTH} printable characters",
            parameter=IDEMPOTENCY_KEY_HEADER,
        )
    return key


def _content_type(request: web.Request) -> str:
    content_type = request.headers.get("Content-Type", DEFAULT_CONTENT_TYPE)
    if not content_type.isascii() or not content_type.isprintable():
        raise problems.bad_request(
            "Content-Type must be printable ASCII", parameter="Content-Type"
        )
    return content_type


def _query_string(request: web.Request) -> str:
    query = request.url.raw_query_string
    return f"?{query}" if query else ""
