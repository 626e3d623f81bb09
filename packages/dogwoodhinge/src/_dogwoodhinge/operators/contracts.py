"""Handlers that read, change and delete contracts."""

import http
from typing import Any

from aiohttp import web
import pydantic

from _dogwoodhinge import decisions as decisions_lib
from _dogwoodhinge import errors
from _dogwoodhinge import injection
from _dogwoodhinge.config import contract as contract_lib
from _dogwoodhinge.config import errors as config_errors
from _dogwoodhinge.config import records
from _dogwoodhinge.config import validation
from _dogwoodhinge.operators import dependencies as dependencies_lib
from _dogwoodhinge.operators import problems

OPERATOR_HEADER = "X-Operator"
CHANGE_ID_HEADER = "Idempotency-Key"

ROUTES = web.RouteTableDef()


@ROUTES.get("/v1/contracts")
async def list_contracts(request: web.Request) -> web.Response:
    """Lists the contracts in force on this node."""
    state = request.app[dependencies_lib.DEPENDENCIES_KEY].view.applied
    contracts = [
        {"customer": name, "revision": state.contract_revision(name)}
        for name in state.customers()
    ]
    return web.json_response(
        {"revision": state.revision, "contracts": contracts}
    )


@ROUTES.get("/v1/contracts/{customer}")
async def get_contract(request: web.Request) -> web.Response:
    """Returns a contract from the table, or from this node in an outage."""
    deps = request.app[dependencies_lib.DEPENDENCIES_KEY]
    customer = request.match_info["customer"]
    try:
        revision = await deps.log.customer_revision(customer)
        document = await _read_contract(deps, revision)
        source = "table"
    except errors.ConfigUnavailableError:
        revision = deps.view.applied.contract_revision(customer)
        document = deps.view.contract(customer)
        source = "node"
    if document is None:
        raise _contract_not_found(customer)
    return web.json_response(
        {
            "customer": customer,
            "revision": revision,
            "source": source,
            "contract": document.model_dump(mode="json"),
        },
        headers={"ETag": f'"{revision}"'},
    )


@ROUTES.put("/v1/contracts/{customer}")
async def put_contract(request: web.Request) -> web.Response:
    """Creates a contract, or replaces the revision that the operator read."""
    await injection.reach(injection.Step.APPLY)
    document = validation.parse(await request.read())
    draft = _make_draft(request, records.ChangeKind.PUT, document)
    return await _append_change(request, draft)


@ROUTES.delete("/v1/contracts/{customer}")
async def delete_contract(request: web.Request) -> web.Response:
    """Deletes the revision of a contract that the operator read."""
    await injection.reach(injection.Step.APPLY)
    draft = _make_draft(request, records.ChangeKind.DELETE, None)
    return await _append_change(request, draft)


@ROUTES.get("/v1/contracts/{customer}/history")
async def get_history(request: web.Request) -> web.Response:
    """Lists the changes of a contract, oldest first.

    A page starts after the revision in the query parameter `after`.
    """
    deps = request.app[dependencies_lib.DEPENDENCIES_KEY]
    customer = request.match_info["customer"]
    after = parse_revision(request.query.get("after", "0"), "after")
    summaries = await deps.log.history(customer, after=after)
    if not summaries and not after:
        raise _contract_not_found(customer)
    changes = [summary.model_dump(mode="json") for summary in summaries]
    return web.json_response({"customer": customer, "changes": changes})


@ROUTES.get("/v1/changes/{revision}")
async def get_change(request: web.Request) -> web.Response:
    """Returns the change that produced a revision."""
    deps = request.app[dependencies_lib.DEPENDENCIES_KEY]
    revision = parse_revision(request.match_info["revision"], "revision")
    change = await deps.log.change(revision)
    if change is None:
        raise problems.ProblemError(
            http.HTTPStatus.NOT_FOUND,
            "not-found",
            f"there is no revision {revision}",
        )
    return web.json_response(change.model_dump(mode="json"))


def parse_revision(text: str, name: str) -> int:
    """Parses a revision number from a request.

    Raises:
        ProblemError: the text is not a whole number.
    """
    if not (text.isascii() and text.isdigit()):
        raise problems.ProblemError(
            http.HTTPStatus.BAD_REQUEST,
            "bad-request",
            f"{name}: {text!r}: must be a whole number, 0 or more",
        )
    return int(text)


async def _append_change(
    request: web.Request, draft: records.ChangeDraft
) -> web.Response:
    deps = request.app[dependencies_lib.DEPENDENCIES_KEY]
    expected_revision = _read_expected_revision(request)
    try:
        revision = await deps.log.append(
            draft, expected_revision=expected_revision, guard=deps.guard
        )
    except config_errors.ContractConflictError as error:
        _record_decision(deps, draft, "refuse", str(error))
        if error.actual or draft.kind is records.ChangeKind.PUT:
            raise
        raise _contract_not_found(draft.customer) from error
    except errors.ConfigOutcomeUnknownError as error:
        _record_decision(deps, draft, "unknown", str(error))
        raise
    except errors.ConfigError as error:
        _record_decision(deps, draft, "refuse", str(error))
        raise
    _record_decision(
        deps, draft, f"revision {revision}", "the configuration log holds it"
    )
    deps.view.observe_revision(revision)
    return web.json_response(
        {
            "customer": draft.customer,
            "revision": revision,
            "change_id": draft.change_id,
        },
        headers={"ETag": f'"{revision}"'},
    )


def _record_decision(
    deps: dependencies_lib.Dependencies,
    draft: records.ChangeDraft,
    chosen: str,
    reason: str,
) -> None:
    deps.decisions.record(
        decisions_lib.Decision(
            kind="change",
            chosen=chosen,
            reason=f"{draft.kind} by {draft.operator}: {reason}",
            request_id=draft.change_id,
            customer=draft.customer,
            revision=deps.view.revision,
        )
    )


def _make_draft(
    request: web.Request,
    kind: records.ChangeKind,
    document: contract_lib.Contract | None,
) -> records.ChangeDraft:
    try:
        return records.ChangeDraft(
            change_id=request.headers.get(CHANGE_ID_HEADER, ""),
            operator=request.headers.get(OPERATOR_HEADER, ""),
            kind=kind,
            customer=request.match_info["customer"],
            contract=document,
        )
    except pydantic.ValidationError as error:
        raise problems.ProblemError(
            http.HTTPStatus.BAD_REQUEST,
            "bad-request",
            _describe_validation_error(error),
            applied=problems.Applied.NO,
        ) from error


def _describe_validation_error(error: pydantic.ValidationError) -> str:
    first_error: Any = error.errors()[0]
    names = {
        "change_id": f"header {CHANGE_ID_HEADER}",
        "operator": f"header {OPERATOR_HEADER}",
        "customer": "the customer in the path",
    }
    if not first_error["loc"]:
        return first_error["msg"].removeprefix("Value error, ")
    name = names.get(str(first_error["loc"][0]), str(first_error["loc"][0]))
    return f"{name}: {first_error['input']!r}: {first_error['msg']}"


def _read_expected_revision(request: web.Request) -> int:
    """Returns the contract revision on which the operator based the change."""
    if request.headers.get("If-None-Match", "") == "*":
        return 0
    if_match = request.headers.get("If-Match", "")
    if not if_match:
        raise problems.ProblemError(
            http.HTTPStatus.PRECONDITION_REQUIRED,
            "precondition-required",
            'send If-Match: "REVISION" with the revision of the contract that '
            "you edited, or If-None-Match: * for a new contract",
            applied=problems.Applied.NO,
        )
    return parse_revision(if_match.strip('"'), "If-Match")


async def _read_contract(
    deps: dependencies_lib.Dependencies, revision: int
) -> contract_lib.Contract | None:
    if not revision:
        return None
    change = await deps.log.change(revision)
    return None if change is None else change.contract


def _contract_not_found(customer: str) -> problems.ProblemError:
    return problems.ProblemError(
        http.HTTPStatus.NOT_FOUND,
        "not-found",
        f"{customer} has no contract; `dogwoodctl contract list` lists them",
    )
