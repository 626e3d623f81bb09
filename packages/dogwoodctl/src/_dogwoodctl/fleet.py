"""The commands that show a fleet by what its platform keeps."""

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

ENDPOINT_HEADER = ["ENDPOINT", "SERVICE", "ZONE", "ADDRESS", "STATE", "HOLDS"]


async def status(context: context_lib.Context) -> None:
    """Shows the configuration, the owner and the endpoints by service."""
    state = await _read(context)
    counts = collections.Counter(
        (endpoint.service, _state(endpoint)) for endpoint in state.endpoints
    )
    owner = "nobody gives orders"
    if state.owner:
        reached = state.owner_address or "has given its right up"
        owner = f"owner {state.owner} ({reached}), token {state.owner_token}"
    lines = [
        "no configuration"
        if state.configuration is None
        else f"configuration {state.configuration}, {state.routes} routes",
        owner,
        *(
            f"{service}: {count} {word}"
            for (service, word), count in sorted(counts.items())
        ),
        *(
            f"unreadable row {key}: {reason}"
            for key, reason in sorted(state.unreadable.items())
        ),
    ]
    _show(context, state, lines)


async def engines(context: context_lib.Context) -> None:
    """Lists the endpoints with what they hold."""
    state = await _read(context)
    rows = [
        [
            endpoint.endpoint_id,
            endpoint.service,
            endpoint.zone,
            endpoint.address,
            _state(endpoint),
            "; ".join(
                f"{model}: {len(adapters)} adapters"
                for model, adapters in sorted(endpoint.held.items())
            ),
        ]
        for endpoint in state.endpoints
    ]
    table = printing.format_table(ENDPOINT_HEADER, rows)
    _show(context, state, [table])


async def placement(context: context_lib.Context) -> None:
    """Lists the adapters with the engines that hold them."""
    state = await _read(context)
    holders: dict[str, list[str]] = {}
    for endpoint in state.endpoints:
        for model, adapters in endpoint.held.items():
            for adapter in adapters:
                key = f"{model}/{adapter}"
                holders.setdefault(key, []).append(endpoint.endpoint_id)
    rows = [
        [key, str(len(found)), ", ".join(found)]
        for key, found in sorted(
            holders.items(), key=lambda item: (-len(item[1]), item[0])
        )
    ]
    table = printing.format_table(["ADAPTER", "COPIES", "ENGINES"], rows)
    context.printer.show({"adapters": holders}, table)


async def check(context: context_lib.Context, path: str) -> None:
    """Checks a file with the operator's configuration."""
    data = documents.read_text(path).encode()
    async with _open(context) as view:
        problem = view.check_configuration(data)
    if problem:
        raise errors.InvalidError(f"{path}: {problem}")
    context.printer.show({"valid": True}, f"{path}: valid")


async def _read(context: context_lib.Context) -> models.FleetState:
    async with _open(context) as view:
        try:
            return await view.read()
        except port_errors.TableError as error:
            raise errors.UnreachableError(
                f"{context.settings.fleet_url} does not answer: {error}"
            ) from error


@contextlib.asynccontextmanager
async def _open(
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


def _state(endpoint: models.FleetEndpoint) -> str:
    return "leaving" if endpoint.leaving else "serving"


def _show(
    context: context_lib.Context, state: models.FleetState, lines: list[str]
) -> None:
    body = dataclasses.asdict(state)
    context.printer.show(body, "\n".join(lines))
