"""The configuration that is applied on this node."""

import asyncio
from typing import final

from _dogwoodhinge import event_log
from _dogwoodhinge.fleet import models

MAX_NAMED_PROBLEMS = 20


@final
class AppliedConfiguration:
    """Applies only newer versions; a node never reverts to an older one.

    Attributes:
        current: the applied configuration; None before the first one.
        applied_first: set once there is one.
    """

    def __init__(self, *, report: event_log.EventReporter) -> None:
        self.report = report
        self.current: models.Configuration | None = None
        self.applied_first = asyncio.Event()

    def __call__(self) -> models.Configuration | None:
        """Returns the applied configuration, or None before the first one."""
        return self.current

    def apply(
        self, configuration: models.Configuration, *, source: str = ""
    ) -> bool:
        """Applies a configuration; returns False if it is not newer.

        Args:
            configuration: the configuration.
            source: by which way it reached this node, for the log.
        """
        if (
            self.current is not None
            and configuration.version <= self.current.version
        ):
            return False
        before = self.current.version if self.current else 0
        self.current = configuration
        if configuration.problems:
            self.report(
                "configuration_odd",
                {
                    "config": configuration.version,
                    "count": len(configuration.problems),
                    "problems": configuration.problems[:MAX_NAMED_PROBLEMS],
                },
            )
        self.applied_first.set()
        self.report(
            "configuration_applied",
            {
                "config": configuration.version,
                "before": before,
                "source": source,
                "routes": len(configuration.routes),
                "organisations": None
                if configuration.organisations is None
                else len(configuration.organisations),
            },
        )
        return True
