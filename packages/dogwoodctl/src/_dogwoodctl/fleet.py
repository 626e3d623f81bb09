"""Implements `dogwoodctl fleet ...`, which reads the platform's store."""

import collections
from collections.abc import AsyncIterator
import contextlib
import dataclasses

from _dogwoodctl import context as context_lib
from _dogwoodctl import documents
from _dogwoodctl import errors
from _dogwoodctl import printing
from _dogwoodhinge import errors as internal_errors
from _dogwoodhinge import kernel as kernel_lib
from dogwoodhinge import errors as port_errors
from dogwoodhinge import models
from dogwoodhinge import ports

# Value of `--against` for the configuration that the platform's store has.
IN_FORCE = "in-force"

ENDPOINT_COLUMNS = ["ENDPOINT", "SERVICE", "ZONE", "ADDRESS", "STATE", "HOLDS"]


async def status(context: context_lib.Context) -> None:
    """Shows the configuration, the leader and endpoints by service."""
    state = await _read_state(context)
    counts = collections.Counter(
        (endpoint.service, _endpoint_state(endpoint))
        for endpoint in state.endpoints
    )
    leader = "no node holds the order lease"
    if state.owner:
        address = state.owner_address or "gave up the order lease"
        leader = f"owner {state.owner} ({address}), token {state.owner_token}"
    lines = [
        "no configuration"
        if state.configuration is None
        else f"configuration {state.configuration}, {state.routes} routes",
        leader,
        *(
            f"{service}: {count} {endpoint_state}"
            for (service, endpoint_state), count in sorted(counts.items())
        ),
        *(
            f"unreadable row {key}: {reason}"
            for key, reason in sorted(state.unreadable.items())
        ),
    ]
    _print_state(context, state, lines)


async def engines(context: context_lib.Context) -> None:
    """Lists the endpoints with the adapters that they hold."""
    state = await _read_state(context)
    rows = [
        [
            endpoint.endpoint_id,
            endpoint.service,
            endpoint.zone,
            endpoint.address,
            _endpoint_state(endpoint),
            "; ".join(
                f"{model}: {len(adapters)} adapters"
                for model, adapters in sorted(endpoint.held.items())
            ),
        ]
        for endpoint in state.endpoints
    ]
    table = printing.format_table(ENDPOINT_COLUMNS, rows)
    _print_state(context, state, [table])


async def placement(context: context_lib.Context) -> None:
    """Lists the adapters with the engines that hold them."""
    state = await _read_state(context)
    holders: dict[str, list[str]] = {}
    for endpoint in state.endpoints:
        for model, adapters in endpoint.held.items():
            for adapter in adapters:
                key = f"{model}/{adapter}"
                holders.setdefault(key, []).append(endpoint.endpoint_id)
    rows = [
        [key, str(len(engine_ids)), ", ".join(engine_ids)]
        for key, engine_ids in sorted(
            holders.items(), key=lambda item: (-len(item[1]), item[0])
        )
    ]
    table = printing.format_table(["ADAPTER", "COPIES", "ENGINES"], rows)
    context.printer.print_result({"adapters": holders}, table)


async def check(context: context_lib.Context, path: str) -> None:
    """Validates a configuration file of the fleet."""
    data = documents.read_text(path).encode()
    async with _open_view(context) as view:
        checked = view.check_configuration(data)
    if checked.errors:
        first = checked.errors[0]
        raise errors.InvalidError(f"{path}: {first.place}: {first.text}")
    context.printer.print_result({"valid": True}, f"{path}: valid")


async def check_file(context: context_lib.Context, path: str) -> None:
    """Checks a contract or a configuration of the fleet before it is sent."""
    text = documents.read_text(path)
    if not text.lstrip().startswith("{") or documents.is_contract(text):
        contract = documents.parse(text, name=path)
        context.printer.print_result(
            {"customer": contract.customer, "errors": [], "problems": []},
            f"{path}: valid contract of {contract.customer}",
        )
        return
    async with _open_view(context) as view:
        base = await _read_base(context, view)
        checked = view.check_configuration(text.encode(), base=base)
    members = dataclasses.asdict(checked)
    found = [*checked.errors, *checked.problems]
    lines = [f"{path}: {found_.place}: {found_.text}" for found_ in found]
    lines += [f"change: {change}" for change in checked.changes]
    if found:
        raise errors.InvalidError("\n".join(lines), details=members)
    summary = f"{path}: version {checked.version}, nothing found"
    context.printer.print_result(members, "\n".join([summary, *lines]))


async def _read_base(
    context: context_lib.Context, view: ports.FleetView
) -> bytes | None:
    """Returns the version that `--against` names."""
    against = context.settings.against
    if not against:
        return None
    if against != IN_FORCE:
        return documents.read_text(against).encode()
    try:
        return await view.read_configuration()
    except port_errors.TableError as error:
        raise errors.UnreachableError(
            f"{context.settings.fleet_url} does not answer: {error}"
        ) from error


async def _read_state(context: context_lib.Context) -> models.FleetState:
    async with _open_view(context) as view:
        try:
            return await view.read()
        except port_errors.TableError as error:
            raise errors.UnreachableError(
                f"{context.settings.fleet_url} does not answer: {error}"
            ) from error


@contextlib.asynccontextmanager
async def _open_view(
    context: context_lib.Context,
) -> AsyncIterator[ports.FleetView]:
    kernel = kernel_lib.Kernel(clock=context.clock)
    try:
        kernel.register_operator_tools()
        view = kernel.open_fleet_view(context.settings.fleet_url)
    except internal_errors.KernelError as error:
        raise errors.UsageError(str(error)) from error
    try:
        yield view
    finally:
        await view.close()


def _endpoint_state(endpoint: models.FleetEndpoint) -> str:
    return "leaving" if endpoint.leaving else "serving"


def _print_state(
    context: context_lib.Context, state: models.FleetState, lines: list[str]
) -> None:
    body = dataclasses.asdict(state)
    context.printer.print_result(body, "\n".join(lines))
