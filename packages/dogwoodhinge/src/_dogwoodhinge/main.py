"""Starts one node from its settings."""

import asyncio
import json
import os
import signal
import sys
from typing import NoReturn

from absl import app
from absl import logging

from _dogwoodhinge import clock as clock_lib
from _dogwoodhinge import components as components_lib
from _dogwoodhinge import errors
from _dogwoodhinge import injection
from _dogwoodhinge import kernel as kernel_lib
from _dogwoodhinge import logs
from _dogwoodhinge import memory
from _dogwoodhinge import node as node_lib
from _dogwoodhinge import settings as settings_lib

HELP_FLAGS = frozenset({"--help", "-help", "-h", "--helpfull"})

EXIT_INVALID_SETTINGS = 2
EXIT_DRAIN_INTERRUPTED = 3


def run() -> None:
    """Parses flags and environment, then runs a node until it is stopped."""
    if HELP_FLAGS.intersection(sys.argv[1:]):
        print(settings_lib.help_page())
        return
    settings_lib.define_flags()
    app.run(_main)


def _main(argv: list[str]) -> None:
    if len(argv) > 1:
        _exit_with_error(
            f"{argv[1]!r} is not a flag; write settings as --name=value, see "
            "--help"
        )
    try:
        code = asyncio.run(_build_and_serve())
    except (errors.SettingsError, errors.KernelError) as error:
        _exit_with_error(str(error))
    sys.exit(code)


async def _build_and_serve() -> int:
    # The node is created inside the event loop that runs it, because the gRPC
    # server binds itself to the loop that is current at its creation.
    return await serve(build(dict(os.environ)))


def build(environment: dict[str, str]) -> node_lib.Node:
    """Creates a node from the flags and the environment.

    Raises:
        SettingsError: a setting is invalid.
        KernelError: no plug-in handles the value of a setting.
    """
    settings = settings_lib.load(environment)
    logs.configure(
        host_id=settings.host_id, json_lines=settings.log_format == "json"
    )
    secrets = components_lib.Secrets(
        operator_key=settings_lib.load_secret(
            "operator_key", settings.operator_key_file, environment
        ),
        peer_key=settings_lib.load_secret(
            "peer_key", settings.peer_key_file, environment
        ),
    )
    injection.arm_all(settings.injection)
    clock = clock_lib.SystemClock()
    kernel = kernel_lib.Kernel(clock=clock)
    kernel.register_all(filter(None, settings.plugins.split(",")))
    return node_lib.Node(
        settings=settings, secrets=secrets, kernel=kernel, clock=clock
    )


async def serve(node: node_lib.Node) -> int:
    """Runs a node until SIGTERM or SIGINT, then drains it.

    A second signal interrupts the drain.

    Returns:
        The exit code.
    """
    stop_requested = asyncio.Event()
    interrupt_requested = asyncio.Event()

    def on_signal() -> None:
        (
            interrupt_requested if stop_requested.is_set() else stop_requested
        ).set()

    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, on_signal)
    await node.start()
    memory.release_free_memory()
    _print_addresses(node)
    await stop_requested.wait()
    logging.info("draining; a second signal stops the node without waiting")
    drained = await _drain(node, interrupt_requested)
    await node.stop()
    return 0 if drained else EXIT_DRAIN_INTERRUPTED


async def _drain(
    node: node_lib.Node, interrupt_requested: asyncio.Event
) -> bool:
    drain = asyncio.create_task(node.drain())
    interrupted = asyncio.create_task(interrupt_requested.wait())
    done, pending = await asyncio.wait(
        (drain, interrupted), return_when=asyncio.FIRST_COMPLETED
    )
    for task in pending:
        task.cancel()
    if drain in done:
        drain.result()
        return True
    logging.warning(
        "drain interrupted by a second signal; running requests are aborted"
    )
    return False


def _print_addresses(node: node_lib.Node) -> None:
    addresses = node.sockets.addresses()
    scheme = "https" if node.settings.http_tls_cert_file else "http"
    line = {
        "caller": f"{scheme}://{addresses.caller}",
        "operator": f"{scheme}://{addresses.operator}",
        "peer": addresses.peer,
    }
    print(json.dumps(line), flush=True)


def _exit_with_error(line: str) -> NoReturn:
    print(line, file=sys.stderr)
    sys.exit(EXIT_INVALID_SETTINGS)
