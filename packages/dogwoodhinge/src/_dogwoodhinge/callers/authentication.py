"""Authenticates a request and reads its deadline."""

import dataclasses
import datetime
import math
from typing import final

from aiohttp import web

from _dogwoodhinge import injection
from _dogwoodhinge.callers import dependencies
from _dogwoodhinge.callers import problems
from _dogwoodhinge.config import contract as contract_lib

REQUEST_ID = web.RequestKey("request_id", str)
DEADLINE_HEADER = "X-Deadline-Ms"
MAX_DEADLINE = datetime.timedelta(hours=1)
NOT_SERVING_RETRY_AFTER = datetime.timedelta(seconds=1)
BEARER = "bearer"


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AcceptedRequest:
    """An authenticated request.

    Attributes:
        start_by: deadline for the first token, in monotonic seconds.
        end_by: deadline for the whole request, in monotonic seconds;
            infinite if the caller set no deadline.
    """

    request_id: str
    contract: contract_lib.Contract
    start_by: float
    end_by: float


async def accept_request(
    request: web.Request, deps: dependencies.Dependencies
) -> AcceptedRequest:
    """Returns the contract and the deadlines of a request.

    Raises:
        ProblemError: the deadline is malformed (400), the API key is missing
            or unknown (401), or the node is not ready (503).
    """
    await injection.reach(injection.Step.ACCEPT)
    if not deps.may_serve():
        raise problems.not_serving(NOT_SERVING_RETRY_AFTER)
    contract = deps.contracts.contract_for_key(_api_key(request))
    if contract is None:
        raise problems.unauthorized()
    now = deps.clock.monotonic()
    requested = _requested_deadline(request)
    default = deps.settings.seconds("default_deadline")
    start_within = default if requested is None else requested
    end_by = math.inf if requested is None else now + requested.total_seconds()
    return AcceptedRequest(
        request_id=request[REQUEST_ID],
        contract=contract,
        start_by=now + start_within.total_seconds(),
        end_by=end_by,
    )


def _api_key(request: web.Request) -> str:
    scheme, _, key = request.headers.get("Authorization", "").partition(" ")
    key = key.strip()
    if scheme.lower() != BEARER or not key or not key.isascii():
        raise problems.unauthorized()
    return key


def _requested_deadline(request: web.Request) -> datetime.timedelta | None:
    text = request.headers.get(DEADLINE_HEADER)
    if text is None:
        return None
    limit_ms = int(MAX_DEADLINE / datetime.timedelta(milliseconds=1))
    is_number = text.isascii() and text.isdecimal() and len(text) < 10
    if not is_number or not 1 <= int(text) <= limit_ms:
        raise problems.bad_request(
            f"{DEADLINE_HEADER} must be a whole number of milliseconds "
            f"from 1 to {limit_ms}",
            parameter=DEADLINE_HEADER,
        )
    return datetime.timedelta(milliseconds=int(text))
