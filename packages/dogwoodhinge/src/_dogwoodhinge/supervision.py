"""Repeats the steps of a service, also after a step has failed."""

from collections.abc import Awaitable, Callable
import traceback

import mode

from _dogwoodhinge import event_log

# Long enough not to flood the log, short enough to hardly affect callers.
ERROR_RETRY_DELAY_SECONDS = 0.3


async def repeat(
    service: mode.Service,
    step: Callable[[], Awaitable[float]],
    *,
    report: event_log.EventReporter,
) -> None:
    """Repeats a step until the service stops.

    An exception in a step is reported with its traceback and the step is
    retried after a delay. Without this, mode would end the service silently and
    its work would no longer be done.

    Args:
        service: the service that the step belongs to.
        step: does its work and returns the seconds until its next run.
        report: called with the failure event.
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
            pause = ERROR_RETRY_DELAY_SECONDS
        await service.sleep(pause)
