"""Named steps at which tests stop, delay or fail the process.

A step costs one dictionary look-up on an empty dictionary when nothing is
armed. Steps are armed by `--injection`, or at run time on the operators' port,
and both only on a node started with `--enable_injection`; nothing a caller
sends reaches them.

A fault is written `step=action` or `step=action@n`, where `n` is the visit of
the step at which it strikes, counted from 1. It strikes once.
"""

import asyncio
from collections.abc import Awaitable, Callable
import enum
import os
import signal

from _dogwoodhinge import errors


class InjectedFaultError(errors.NodeError):
    """The failure that the action `fail` stands for."""


class Step(enum.StrEnum):
    """Steps of the paths of requests, changes and ownership."""

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
    """Runs `action` whenever the process reaches `step`."""
    _actions[step] = action


def disarm_all() -> None:
    """Removes every action."""
    _actions.clear()


async def reach(step: Step) -> None:
    """Marks that the process is at `step`."""
    action = _actions.get(step)
    if action is not None:
        await action()


async def hang() -> None:
    """Blocks the calling task for good; the process lives on."""
    await asyncio.Event().wait()


async def kill() -> None:
    """Ends the process at once, as a crash would."""
    os.kill(os.getpid(), signal.SIGKILL)


async def stop() -> None:
    """Pauses the process until it gets SIGCONT."""
    os.kill(os.getpid(), signal.SIGSTOP)


async def fail() -> None:
    """Fails the step."""
    raise InjectedFaultError("a fault was injected here")


ACTIONS: dict[str, Action] = {
    "fail": fail,
    "hang": hang,
    "kill": kill,
    "stop": stop,
}


def arm_all(spec: str) -> None:
    """Arms faults written as `step=action@n,step=action`.

    Raises:
        SettingsError: a step or an action is unknown.
    """
    for fault in filter(None, spec.split(",")):
        _arm_one(fault.strip())


def _arm_one(fault: str) -> None:
    step_name, _, rest = fault.partition("=")
    action_name, _, visit = rest.partition("@")
    try:
        step = Step(step_name)
        action = ACTIONS[action_name]
        strike_at = int(visit or "1")
    except (KeyError, ValueError) as error:
        raise errors.SettingsError(
            f"--injection has {fault!r}; write step=action@n with a step of "
            f"{', '.join(Step)} and an action of {', '.join(ACTIONS)}"
        ) from error
    arm(step, _strike_once(step, action, strike_at))


def _strike_once(step: Step, action: Action, strike_at: int) -> Action:
    visits = 0

    async def strike() -> None:
        nonlocal visits
        visits += 1
        if visits < strike_at:
            return
        _actions.pop(step, None)
        await action()

    return strike
