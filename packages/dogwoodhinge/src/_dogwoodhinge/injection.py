"""Fault injection: named steps at which tests stop, delay or fail the node.

While no fault is armed, a step costs one look-up in an empty dictionary.
Faults are armed by `--injection`, or at run time through the operator port,
and only on a node started with `--enable_injection`. Callers can't arm them.

A fault is written `step=action` or `step=action@n`, where `n` is the visit of
the step that triggers it, counted from 1. A fault is triggered once.
"""

import asyncio
from collections.abc import Awaitable, Callable
import enum
import os
import signal

from _dogwoodhinge import errors


class InjectedFaultError(errors.NodeError):
    """Raised at a step by the action `fail`."""


class Step(enum.StrEnum):
    """Steps of request handling, configuration changes and ownership."""

    ACCEPT = "accept"
    LIMIT = "limit"
    ADMIT = "admit"
    QUEUE = "queue"
    LOAD = "load"
    UNLOAD = "unload"
    GRANT = "grant"
    INTENT = "intent"
    DISPATCH = "dispatch"
    FIRST_TOKEN = "first_token"
    MID_STREAM = "mid_stream"
    END = "end"
    RECORD = "record"
    RELEASE = "release"
    APPLY = "apply"
    COMMIT = "commit"
    POLL = "poll"
    APPLY_LOCALLY = "apply_locally"
    RENEW = "renew"
    TAKEOVER = "takeover"
    RECOVER = "recover"
    DRAIN = "drain"
    HAND_OVER = "hand_over"


Action = Callable[[], Awaitable[None]]

_actions: dict[Step, Action] = {}


def arm(step: Step, action: Action) -> None:
    """Registers `action` to run whenever the process reaches `step`."""
    _actions[step] = action


def disarm_all() -> None:
    """Removes all registered actions."""
    _actions.clear()


async def reach(step: Step) -> None:
    """Runs the action armed for `step`, if there is one."""
    action = _actions.get(step)
    if action is not None:
        await action()


async def hang() -> None:
    """Blocks the calling task forever; other tasks continue."""
    await asyncio.Event().wait()


async def kill() -> None:
    """Kills the process with SIGKILL, which simulates a crash."""
    os.kill(os.getpid(), signal.SIGKILL)


async def stop() -> None:
    """Pauses the process with SIGSTOP, until it receives SIGCONT."""
    os.kill(os.getpid(), signal.SIGSTOP)


async def fail() -> None:
    """Raises `InjectedFaultError`."""
    raise InjectedFaultError("fault injected by the action `fail`")


ACTIONS: dict[str, Action] = {
    "fail": fail,
    "hang": hang,
    "kill": kill,
    "stop": stop,
}


def arm_all(spec: str) -> None:
    """Arms the faults in a list such as `step=action@n,step=action`.

    Raises:
        SettingsError: a step or an action is unknown, or a visit is not a
            number.
    """
    for fault in filter(None, spec.split(",")):
        _arm_fault(fault.strip())


def _arm_fault(fault: str) -> None:
    step_name, _, rest = fault.partition("=")
    action_name, _, visit = rest.partition("@")
    try:
        step = Step(step_name)
        action = ACTIONS[action_name]
        trigger_at_visit = int(visit or "1")
    except (KeyError, ValueError) as error:
        raise errors.SettingsError(
            f"--injection has the invalid fault {fault!r}; write step=action@n "
            f"with one of the steps {', '.join(Step)} and one of the actions "
            f"{', '.join(ACTIONS)}"
        ) from error
    arm(step, _trigger_once(step, action, trigger_at_visit))


def _trigger_once(step: Step, action: Action, trigger_at_visit: int) -> Action:
    visits = 0

    async def trigger() -> None:
        nonlocal visits
        visits += 1
        if visits < trigger_at_visit:
            return
        _actions.pop(step, None)
        await action()

    return trigger
