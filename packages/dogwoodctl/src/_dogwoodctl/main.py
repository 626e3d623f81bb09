"""Parses the command line and runs a command."""

import asyncio
from collections.abc import Mapping
import datetime
import json
import os
import sys
from typing import IO

from absl import flags
import aiohttp

from _dogwoodctl import client as client_lib
from _dogwoodctl import commands
from _dogwoodctl import context as context_lib
from _dogwoodctl import errors
from _dogwoodctl import exit_codes
from _dogwoodctl import printing
from _dogwoodctl import settings as settings_lib
from _dogwoodhinge import clock as clock_lib

USAGE = """\
Manages the contracts of a dogwoodhinge fleet; shows status and decisions.

usage: dogwoodctl COMMAND [--flag=value ...]

commands:
{commands}

flags:
{flags}

exit codes:
  0 success, 1 unexpected error, 2 invalid usage or setting, 3 invalid input,
  4 conflict with another operator, 5 no node answered or outcome unknown,
  6 wait timed out, 7 not found
"""


def run(arguments: list[str]) -> int:
    """Runs one command with the process's environment and streams.

    Returns:
        The exit code.
    """
    return asyncio.run(
        run_command(
            arguments,
            os.environ,
            stdin=sys.stdin,
            stdout=sys.stdout,
            stderr=sys.stderr,
        )
    )


async def run_command(
    arguments: list[str],
    environment: Mapping[str, str],
    *,
    stdin: IO[str],
    stdout: IO[str],
    stderr: IO[str],
) -> int:
    """Runs one command and returns its exit code.

    Args:
        arguments: the command line, starting with the program's name.
        environment: the environment variables.
        stdin: standard input.
        stdout: stream for results.
        stderr: stream for errors.
    """
    flag_values = _define_flags()
    try:
        positional = flag_values(arguments)[1:]
    except flags.Error as error:
        stderr.write(f"dogwoodctl: {error}\n")
        return exit_codes.ExitCode.USAGE
    if flag_values["help"].value:
        stdout.write(format_usage())
        return exit_codes.ExitCode.OK
    as_json = flag_values["output"].value == "json"
    try:
        settings = settings_lib.load(environment, flag_values)
        as_json = settings.output == "json"
        command, operands = commands.find_command(positional)
        key = ""
        if command.needs_key:
            key = settings_lib.load_key(settings, environment)
        printer = printing.Printer(out=stdout, as_json=as_json)
        await _run(command, operands, settings, key, printer, stdin)
    except errors.CommandError as error:
        _print_error(error, stderr, as_json=as_json)
        return error.exit_code
    return exit_codes.ExitCode.OK


def format_usage() -> str:
    """Returns the text of `--help`."""
    lines = [
        f"  {f'{c.name} {c.argument}'.rstrip():<28}{c.summary}"
        for c in commands.COMMANDS
    ]
    fields = settings_lib.Settings.model_fields.items()
    flag_lines = [
        f"  --{name}\n      {field.description}\n      variable "
        f"{settings_lib.variable_name(name)}{_format_default(field.default)}"
        for name, field in fields
    ]
    return USAGE.format(commands="\n".join(lines), flags="\n".join(flag_lines))


async def _run(
    command: commands.Command,
    operands: list[str],
    settings: settings_lib.Settings,
    key: str,
    printer: printing.Printer,
    stdin: IO[str],
) -> None:
    clock = clock_lib.SystemClock()
    async with aiohttp.ClientSession() as session:
        client = client_lib.OperatorClient(
            session=session,
            nodes=settings.nodes,
            key=key,
            operator=settings.operator,
            timeout=datetime.timedelta(seconds=settings.timeout_seconds),
            clock=clock,
        )
        context = context_lib.Context(
            settings=settings,
            client=client,
            printer=printer,
            clock=clock,
            stdin=stdin,
        )
        await command.run(context, *operands)


def _define_flags() -> flags.FlagValues:
    flag_values = flags.FlagValues()
    flag_values.set_gnu_getopt(True)  # flags may follow the command
    settings_lib.define_flags(flag_values)
    flags.DEFINE_boolean(
        "help",
        False,
        "show this text",
        short_name="h",
        flag_values=flag_values,
        module_name="",
    )
    return flag_values


def _print_error(
    error: errors.CommandError, stderr: IO[str], *, as_json: bool
) -> None:
    if as_json:
        members = {
            "error": str(error),
            "exit_code": int(error.exit_code),
            **error.details,
        }
        stderr.write(json.dumps(members) + "\n")
    else:
        stderr.write(f"dogwoodctl: {error}\n")


def _format_default(default: object) -> str:
    if default in (None, "", False):
        return ""
    if isinstance(default, tuple):
        default = ",".join(default)
    return f"; default {default}"
