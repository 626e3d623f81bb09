"""Error responses to operators as problem details (RFC 9457)."""

from collections.abc import Awaitable, Callable, Mapping
import datetime
import enum
import http
import json
from typing import Any, final

from absl import logging
from aiohttp import web

from _dogwoodhinge import errors
from _dogwoodhinge.config import contract as contract_lib
from _dogwoodhinge.config import errors as config_errors

CONTENT_TYPE = "application/problem+json"
TYPE_PREFIX = "urn:dogwoodhinge:problem:"
RETRY_AFTER = datetime.timedelta(seconds=3)

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class Applied(enum.StrEnum):
    """Whether the requested change is in force."""

    NO = "no"
    UNKNOWN = "unknown"


@final
class ProblemError(errors.NodeError):
    """An error that becomes a problem response to the operator.

    Attributes:
        status: HTTP status.
        name: last part of the problem's type.
        detail: explanation of the error and what to do next.
        applied: whether the change is in force; None if none was requested.
        retry_after: delay before a retry; None if a retry does not help.
        extra: additional members of the document.
    """

    def __init__(
        self,
        status: http.HTTPStatus,
        name: str,
        detail: str,
        *,
        applied: Applied | None = None,
        retry_after: datetime.timedelta | None = None,
        extra: Mapping[str, Any] | None = None,
    ) -> None:
        super().__init__(detail)
        self.status = status
        self.name = name
        self.detail = detail
        self.applied = applied
        self.retry_after = retry_after
        self.extra = dict(extra or {})

    def build_response(self) -> web.Response:
        """Returns the HTTP response."""
        members: dict[str, Any] = {
            "type": TYPE_PREFIX + self.name,
            "title": self.status.phrase,
            "status": self.status.value,
            "detail": self.detail,
        }
        if self.applied is not None:
            members["applied"] = self.applied
        members.update(self.extra)
        headers = {}
        if self.retry_after is not None:
            seconds = max(1, round(self.retry_after.total_seconds()))
            headers["Retry-After"] = str(seconds)
        return web.Response(
            status=self.status.value,
            body=json.dumps(members).encode(),
            content_type=CONTENT_TYPE,
            headers=headers,
        )


@web.middleware
async def middleware(
    request: web.Request, handler: Handler
) -> web.StreamResponse:
    """Turns every error into a problem response."""
    try:
        return await handler(request)
    except ProblemError as problem:
        return problem.build_response()
    except errors.ConfigError as error:
        return from_config_error(error).build_response()
    except web.HTTPException as error:
        return _from_http_error(error).build_response()
    except Exception:  # the operator gets a problem document in any case
        logging.exception("operator request %s failed", request.path)
        return ProblemError(
            http.HTTPStatus.INTERNAL_SERVER_ERROR,
            "internal",
            "the node failed to handle the request; see its log. To learn "
            "whether a change is in force, retry with the same "
            "Idempotency-Key",
            applied=Applied.UNKNOWN,
        ).build_response()


def from_config_error(error: errors.ConfigError) -> ProblemError:
    """Returns the problem for a configuration error."""
    detail = str(error)
    status = http.HTTPStatus
    match error:
        case config_errors.ContractConflictError():
            return ProblemError(
                status.PRECONDITION_FAILED,
                "conflict",
                detail,
                applied=Applied.NO,
                extra=_describe_conflict(error),
            )
        case config_errors.ContractInvalidError():
            return _not_applied(
                status.UNPROCESSABLE_ENTITY, "invalid-contract", detail
            )
        case config_errors.KeyTakenError():
            return _not_applied(status.CONFLICT, "key-taken", detail)
        case config_errors.ChangeIdReusedError():
            return _not_applied(
                status.UNPROCESSABLE_ENTITY, "change-id-reused", detail
            )
        case errors.ConfigOutcomeUnknownError():
            return ProblemError(
                status.GATEWAY_TIMEOUT,
                "outcome-unknown",
                detail,
                applied=Applied.UNKNOWN,
                retry_after=RETRY_AFTER,
            )
        case config_errors.MajorityNotRenewedError():
            name = "majority-not-renewed"
        case _:
            name = "unavailable"
    return ProblemError(
        status.SERVICE_UNAVAILABLE,
        name,
        detail,
        applied=Applied.NO,
        retry_after=RETRY_AFTER,
    )


def _not_applied(
    status: http.HTTPStatus, name: str, detail: str
) -> ProblemError:
    return ProblemError(status, name, detail, applied=Applied.NO)


def _describe_conflict(
    error: config_errors.ContractConflictError,
) -> dict[str, Any]:
    return {
        "expected_revision": error.expected,
        "actual_revision": error.actual,
        "base": _dump_contract(error.base),
        "in_force": _dump_contract(error.in_force),
    }


def _dump_contract(document: contract_lib.Contract | None) -> Any:
    return None if document is None else document.model_dump(mode="json")


def _from_http_error(error: web.HTTPException) -> ProblemError:
    status = http.HTTPStatus(error.status)
    details = {
        http.HTTPStatus.NOT_FOUND: "the path does not exist; see "
        "docs/configuration.md for the paths",
        http.HTTPStatus.METHOD_NOT_ALLOWED: "the path does not support "
        "this method",
        http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE: "the body is too large; "
        "name adapters by a prefix that ends with *",
    }
    return ProblemError(
        status,
        status.phrase.lower().replace(" ", "-"),
        details.get(status, error.text or status.phrase),
    )
