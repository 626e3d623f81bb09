"""Problem details (RFC 9457), which also state whether the request ran."""

import dataclasses
import datetime
import enum
import json
import math
from typing import final

from aiohttp import web

from _dogwoodhinge import errors
from _dogwoodhinge.dispatch import errors as dispatch_errors

CONTENT_TYPE = "application/problem+json"
TYPE_PREFIX = "urn:dogwoodhinge:problem:"
REQUEST_ID_HEADER = "X-Request-Id"
UNAUTHORIZED = 401
INTERNAL_ERROR = 500
DEFAULT_RETRY_AFTER = datetime.timedelta(seconds=2)


class RunOutcome(enum.StrEnum):
    """Whether an engine or service ran the request."""

    NO = "no"
    UNKNOWN = "unknown"
    YES = "yes"


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Problem:
    """The description of an error that a caller receives.

    Attributes:
        status: HTTP status.
        code: short name, used in `type` and as the OpenAI error code.
        title: summary, the same for every occurrence.
        detail: explanation of this occurrence and what to do next.
        run: whether an engine or service ran the request.
        retry_after: delay before a retry; None if a retry does not help.
        parameter: the invalid member of the body or header.
    """

    status: int
    code: str
    title: str
    detail: str = ""
    run: RunOutcome = RunOutcome.NO
    retry_after: datetime.timedelta | None = None
    parameter: str = ""


class ProblemError(errors.NodeError):
    """Ends a request with a problem."""

    def __init__(self, problem: Problem) -> None:
        super().__init__(problem.detail)
        self.problem = problem


def bad_request(detail: str, *, parameter: str = "") -> ProblemError:
    """Returns the error for a malformed request."""
    return ProblemError(
        Problem(
            status=400,
            code="invalid_request",
            title="The request is not valid",
            detail=detail,
            parameter=parameter,
        )
    )


def unauthorized() -> ProblemError:
    """Returns the error for a missing or unknown API key."""
    return ProblemError(
        Problem(
            status=UNAUTHORIZED,
            code="invalid_api_key",
            title="The API key is not known",
            detail="send `Authorization: Bearer KEY` with the API key of a "
            "contract",
        )
    )


def not_found(code: str, detail: str, *, parameter: str = "") -> ProblemError:
    """Returns the error for a name that the contract does not list."""
    return ProblemError(
        Problem(
            status=404,
            code=code,
            title="The contract does not allow it, or it does not exist",
            detail=detail,
            parameter=parameter,
        )
    )


def too_large(limit: int) -> ProblemError:
    """Returns the error for a body over the limit in bytes."""
    return ProblemError(
        Problem(
            status=413,
            code="body_too_large",
            title="The body is too large",
            detail=f"send at most {limit} bytes",
        )
    )


def no_memory(retry_after: datetime.timedelta) -> ProblemError:
    """Returns the error for a body that there is no memory for."""
    return ProblemError(
        Problem(
            status=503,
            code="no_memory",
            title="This node holds too many request bodies",
            detail="retry the request; another node may serve it",
            retry_after=retry_after,
        )
    )


def body_paused() -> ProblemError:
    """Returns the error for a body whose rest does not come."""
    return ProblemError(
        Problem(
            status=408,
            code="body_paused",
            title="The rest of the body did not come",
            detail="send the body without long pauses",
        )
    )


def method_not_allowed(detail: str) -> ProblemError:
    """Returns the error for a method that the path does not support."""
    return ProblemError(
        Problem(
            status=405,
            code="method_not_allowed",
            title="The path does not serve this method",
            detail=detail,
        )
    )


def from_http_error(status: int, reason: str) -> Problem:
    """Returns the problem for an HTTP error raised by aiohttp."""
    return Problem(
        status=status,
        code=reason.lower().replace(" ", "_"),
        title=reason,
        detail="see docs/callers.md for the paths and their methods",
    )


def not_serving(retry_after: datetime.timedelta) -> ProblemError:
    """Returns the error of a node that is not ready."""
    return ProblemError(
        Problem(
            status=503,
            code="not_ready",
            title="This node does not serve now",
            detail="retry the request; another node may serve it",
            retry_after=retry_after,
        )
    )


def from_exception(error: BaseException) -> Problem:
    """Returns the problem for the exception that ended a request."""
    if isinstance(error, ProblemError):
        return error.problem
    for error_type, template in _TEMPLATES:
        if isinstance(error, error_type):
            retry_after = getattr(error, "retry_after", None)
            return dataclasses.replace(
                template,
                detail=str(error),
                retry_after=retry_after or template.retry_after,
            )
    return Problem(
        status=INTERNAL_ERROR,
        code="internal_error",
        title="The node failed",
        detail="the request may have run; see the node's log for the cause",
        run=RunOutcome.UNKNOWN,
    )


def build_document(problem: Problem, request_id: str) -> dict[str, object]:
    """Returns the members of the problem document.

    `error` repeats them in the format of the OpenAI API.
    """
    document: dict[str, object] = {
        "type": TYPE_PREFIX + problem.code,
        "title": problem.title,
        "status": problem.status,
        "detail": problem.detail,
        "run": str(problem.run),
        "request_id": request_id,
    }
    if problem.retry_after is not None:
        document["retry_after_seconds"] = problem.retry_after.total_seconds()
    document["error"] = {
        "message": f"{problem.title}: {problem.detail}",
        "type": problem.code,
        "param": problem.parameter or None,
        "code": problem.code,
    }
    return document


def build_response(problem: Problem, request_id: str) -> web.Response:
    """Returns the HTTP response for a problem."""
    headers = {REQUEST_ID_HEADER: request_id}
    if problem.retry_after is not None:
        seconds = math.ceil(problem.retry_after.total_seconds())
        headers["Retry-After"] = str(max(seconds, 1))
    if problem.status == UNAUTHORIZED:
        headers["WWW-Authenticate"] = "Bearer"
    return web.Response(
        status=problem.status,
        body=json.dumps(build_document(problem, request_id)).encode(),
        content_type=CONTENT_TYPE,
        headers=headers,
    )


# `from_exception` takes the first match, so subclasses precede their base
# classes. The detail of each problem is the text of the error.
_TEMPLATES = (
    (
        errors.LimitExceededError,
        Problem(
            status=429,
            code="limit_exceeded",
            title="The contract does not allow more work now",
        ),
    ),
    (
        dispatch_errors.UnservableRequestError,
        Problem(
            status=404,
            code="model_not_found",
            title="No engine can serve the model",
            parameter="model",
        ),
    ),
    (
        errors.RefusedError,
        Problem(
            status=503,
            code="refused",
            title="The system can't take the request now",
        ),
    ),
    (
        dispatch_errors.ConvictedInRunError,
        Problem(
            status=422,
            code="quarantined",
            title="The request crashed engines",
            run=RunOutcome.UNKNOWN,
        ),
    ),
    (
        errors.QuarantinedError,
        Problem(
            status=422,
            code="quarantined",
            title="The request crashes engines",
        ),
    ),
    (
        errors.NotRunError,
        Problem(
            status=503,
            code="not_run",
            title="No endpoint ran the request",
            retry_after=DEFAULT_RETRY_AFTER,
        ),
    ),
    (
        dispatch_errors.DeadlinePassedError,
        Problem(
            status=504,
            code="deadline_passed",
            title="The deadline passed",
            run=RunOutcome.UNKNOWN,
        ),
    ),
    (
        errors.OutcomeUnknownError,
        Problem(
            status=504,
            code="outcome_unknown",
            title="The endpoint was lost while it ran the request",
            run=RunOutcome.UNKNOWN,
            retry_after=DEFAULT_RETRY_AFTER,
        ),
    ),
    (
        dispatch_errors.KeyReusedError,
        Problem(
            status=422,
            code="idempotency_key_reused",
            title="The idempotency key belongs to another request",
            parameter="Idempotency-Key",
        ),
    ),
    (
        dispatch_errors.InProgressError,
        Problem(
            status=409,
            code="in_progress",
            title="The first request with this idempotency key is not over",
            run=RunOutcome.UNKNOWN,
        ),
    ),
    (
        dispatch_errors.PastOutcomeUnknownError,
        Problem(
            status=409,
            code="past_outcome_unknown",
            title="The first request with this idempotency key may have run",
            run=RunOutcome.UNKNOWN,
        ),
    ),
    (
        dispatch_errors.AnswerTooLargeError,
        Problem(
            status=409,
            code="answer_not_kept",
            title="The first request with this idempotency key ran",
            run=RunOutcome.YES,
        ),
    ),
    (
        dispatch_errors.IntentsUnavailableError,
        Problem(
            status=503,
            code="intents_unavailable",
            title="The call can't be recorded now, so it was not run",
            retry_after=DEFAULT_RETRY_AFTER,
        ),
    ),
)
