"""Implements `dogwoodctl status`, `endpoints` and `explain`."""

from typing import Any
import urllib.parse

from _dogwoodctl import context as context_lib
from _dogwoodctl import printing

SESSION_COLUMNS = (
    "host_id",
    "state",
    "zone",
    "region",
    "applied_revision",
    "operator_address",
)
ENDPOINT_COLUMNS = ("endpoint_id", "kind", "role", "state", "zone", "url")


async def status(context: context_lib.Context) -> None:
    """Shows the first node that responds, and the sessions it knows."""
    response = await context.client.read("/v1/status")
    body = response.body
    ready = "ready" if body["ready"] else f"not ready: {_join(body['reasons'])}"
    configuration = body["configuration"]
    lines = [
        f"node {body['host_id']} ({response.node}): {ready}, table: "
        f"{body['isolation']}",
        f"configuration: revision {configuration['revision']} of "
        f"{configuration['head_revision']}, confirmed "
        f"{configuration['confirmed_seconds_ago']} s ago",
        "",
        _format_columns(SESSION_COLUMNS, body["sessions"]),
    ]
    if body["engines"]:
        columns = tuple(body["engines"][0])
        lines.extend(["", _format_columns(columns, body["engines"])])
    context.printer.print_result(body, "\n".join(lines))


async def endpoints(context: context_lib.Context) -> None:
    """Lists the endpoints that a node knows."""
    response = await context.client.read("/v1/endpoints")
    text = _format_columns(ENDPOINT_COLUMNS, response.body["endpoints"])
    context.printer.print_result(response.body, text)


async def explain(context: context_lib.Context, request_id: str) -> None:
    """Prints all nodes' decisions about a request, ordered by time."""
    path = f"/v1/explain/{urllib.parse.quote(request_id, safe='')}"
    body = (await context.client.read(path)).body
    lines = [_format_decision(d) for d in body["decisions"]]
    if not lines:
        lines.append(f"no node keeps a decision about {request_id}")
    if body["unanswered"]:
        lines.append(f"did not answer: {_join(body['unanswered'])}")
    context.printer.print_result(body, "\n".join(lines))


def _format_decision(decision: dict[str, Any]) -> str:
    remaining = dict(decision)
    for name in ("time", "node", "decision", "chosen", "reason", "request_id"):
        remaining.pop(name, None)
    extra_fields = " ".join(
        f"{name}={value}" for name, value in remaining.items()
    )
    line = (
        f"{decision['time']} {decision['node']} {decision['decision']}: "
        f"{decision.get('chosen', '')}: {decision.get('reason', '')}"
    )
    return f"{line} ({extra_fields})" if extra_fields else line


def _format_columns(
    columns: tuple[str, ...], records: list[dict[str, Any]]
) -> str:
    header = [column.upper().replace("_", " ") for column in columns]
    rows = [
        [record.get(column, "") for column in columns] for record in records
    ]
    return printing.format_table(header, rows)


def _join(names: list[str]) -> str:
    return ", ".join(names)
