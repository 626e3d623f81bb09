"""Implements `dogwoodctl contract ...`."""

import datetime
from typing import Any
import urllib.parse
import uuid

from _dogwoodctl import client as client_lib
from _dogwoodctl import context as context_lib
from _dogwoodctl import documents
from _dogwoodctl import errors
from _dogwoodctl import printing
from _dogwoodhinge.config import contract as contract_lib

WAIT_POLL_INTERVAL = datetime.timedelta(milliseconds=500)


async def apply(context: context_lib.Context, path: str) -> None:
    """Creates or replaces a contract from a file."""
    text = documents.read_text(path)
    contract = documents.parse(text, name=path)
    current = await _read_current(context, contract.customer)
    if current["contract"] == _to_json_object(contract):
        await _print_result(
            context, current["revision"], contract.customer, "unchanged"
        )
        return
    expected = context.settings.expected_revision
    if expected is None:
        expected = documents.read_revision(text)
    if expected is None:
        expected = current["revision"]
    change = client_lib.Change(
        "PUT",
        _contract_path(contract.customer),
        context.settings.change_id or str(uuid.uuid4()),
        expected,
        contract.model_dump_json().encode(),
    )
    await _send(context, change, contract.customer)


async def delete(context: context_lib.Context, customer: str) -> None:
    """Deletes a customer's contract."""
    expected = context.settings.expected_revision
    if expected is None:
        current = await context.client.read(_contract_path(customer))
        expected = current.body["revision"]
    change = client_lib.Change(
        "DELETE",
        _contract_path(customer),
        context.settings.change_id or str(uuid.uuid4()),
        expected,
    )
    await _send(context, change, customer)


async def get(context: context_lib.Context, customer: str) -> None:
    """Prints a contract as YAML that can be edited and applied."""
    response = await context.client.read(_contract_path(customer))
    text = f"# revision: {response.body['revision']}\n"
    if response.body["source"] != "table":
        text += "# the table is unreadable; this is the node's own copy\n"
    text += documents.dump(response.body["contract"])
    context.printer.print_result(response.body, text)


async def list_all(context: context_lib.Context) -> None:
    """Lists the contracts in force."""
    response = await context.client.read("/v1/contracts")
    rows = [(c["customer"], c["revision"]) for c in response.body["contracts"]]
    text = printing.format_table(("CUSTOMER", "REVISION"), rows)
    context.printer.print_result(response.body, text)


async def diff(context: context_lib.Context, path: str) -> None:
    """Prints the difference between a file and the contract in force."""
    contract = documents.parse(documents.read_text(path), name=path)
    current = await _read_current(context, contract.customer)
    difference = documents.difference(
        current["contract"],
        _to_json_object(contract),
        before_name=f"in force (revision {current['revision']})",
        after_name=path,
    )
    members = {
        "customer": contract.customer,
        "revision": current["revision"],
        "difference": difference,
    }
    context.printer.print_result(members, difference or "unchanged")


async def history(context: context_lib.Context, customer: str) -> None:
    """Lists the changes of a contract, oldest first."""
    changes: list[dict[str, Any]] = []
    while True:
        after = changes[-1]["revision"] if changes else 0
        path = f"{_contract_path(customer)}/history?after={after}"
        page = (await context.client.read(path)).body["changes"]
        if not page:
            break
        changes.extend(page)
    rows = [
        (c["revision"], c["at"], c["kind"], c["operator"], c["change_id"])
        for c in changes
    ]
    header = ("REVISION", "AT", "KIND", "OPERATOR", "CHANGE ID")
    members = {"customer": customer, "changes": changes}
    context.printer.print_result(members, printing.format_table(header, rows))


async def validate(context: context_lib.Context, path: str) -> None:
    """Validates a file locally, without a request to a node."""
    contract = documents.parse(documents.read_text(path), name=path)
    context.printer.print_result(
        {"customer": contract.customer, "valid": True},
        f"{path}: valid contract of {contract.customer}",
    )


async def _send(
    context: context_lib.Context, change: client_lib.Change, customer: str
) -> None:
    try:
        response = await context.client.send(change)
    except errors.ConflictError as error:
        raise _describe_conflict(error) from error
    result = "deleted" if change.method == "DELETE" else "applied"
    await _print_result(context, response.body["revision"], customer, result)


async def _print_result(
    context: context_lib.Context, revision: int, customer: str, result: str
) -> None:
    """Prints the result, with `--wait` once the revision is in force."""
    text = f"{customer} {result}, revision {revision}"
    members: dict[str, Any] = {
        "customer": customer,
        "revision": revision,
        "result": result,
    }
    if context.settings.wait:
        propagation = await _wait_until_in_force(context, revision)
        members["spread"] = propagation
        text += f", {propagation['summary']}"
    context.printer.print_result(members, text)


async def _wait_until_in_force(
    context: context_lib.Context, revision: int
) -> dict[str, Any]:
    """Waits until a revision is in force on every node that serves.

    Raises:
        WaitTimedOutError: `--wait_seconds` passed first; the message names
            the nodes that lag.
    """
    deadline = context.clock.monotonic() + context.settings.wait_seconds
    summary = "no node reported its revision"
    propagation: dict[str, Any] = {}
    while True:
        try:
            response = await context.client.read(f"/v1/revisions/{revision}")
            propagation = response.body
            summary = propagation["summary"]
        except errors.UnreachableError as error:
            summary = str(error)
        if propagation.get("in_force"):
            return propagation
        if context.clock.monotonic() >= deadline:
            raise errors.WaitTimedOutError(
                f"revision {revision} is accepted, but not in force everywhere "
                f"after {context.settings.wait_seconds:g} s: {summary}",
                details={"revision": revision, "spread": propagation},
            )
        await context.clock.sleep(WAIT_POLL_INTERVAL)


def _describe_conflict(error: errors.ConflictError) -> errors.ConflictError:
    """Adds the diff between the expected revision and the one in force."""
    body = error.details
    difference = documents.difference(
        body.get("base"),
        body.get("in_force"),
        before_name=f"your base (revision {body.get('expected_revision')})",
        after_name=f"in force (revision {body.get('actual_revision')})",
    )
    return errors.ConflictError(
        f"{error}\n{difference}".rstrip(),
        details={**body, "difference": difference},
    )


async def _read_current(
    context: context_lib.Context, customer: str
) -> dict[str, Any]:
    try:
        return (await context.client.read(_contract_path(customer))).body
    except errors.NotFoundError:
        return {"customer": customer, "revision": 0, "contract": None}


def _contract_path(customer: str) -> str:
    return f"/v1/contracts/{urllib.parse.quote(customer, safe='')}"


def _to_json_object(contract: contract_lib.Contract) -> dict[str, Any]:
    return contract.model_dump(mode="json")
