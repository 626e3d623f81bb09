"""Keeps the steps of a service running when one of them fails."""

from collections.abc import Awaitable, Callable
import traceback

import mode

from _dogwoodhinge import event_log

# After an unexpected error: long enough not to flood the log, short enough to
# matter little to callers.
PAUSE_AFTER_ERROR_SECONDS = 0.3


async def repeat(
    service: mode.Service,
    step: Callable[[], Awaitable[float]],
    *,
    report: event_log.Report,
) -> None:
    """Repeats a step until the service stops.

    A step that raises is reported with its traceback and tried again; a
    service that ended silently would leave its part of the node undone.

    Args:
        service: whose step it is.
        step: does its work and returns the seconds until the next time.
        report: takes the failure.
    """
    while not service.should_stop:
        try:
            pause = await step()
        except Exception as error:
            report(
                "step_failed",
                {
                    "step": getattr(step, "__qualname__", repr(step)),
                    "error": f"{type(error).__name__}: {error}",
                    "traceback": traceback.format_exc(),
                },
            )
            pause = PAUSE_AFTER_ERROR_SECONDS
        await service.sleep(pause)
