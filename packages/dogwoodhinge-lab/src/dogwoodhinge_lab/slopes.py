"""Measures what one more of everything costs, a line each.

Run it with `make slopes`; docs/CAPACITY.md is worked out from its lines.
"""

import asyncio
import importlib
import inspect
import sys
import time
from typing import Any

from dogwoodhinge_lab import slope

# Each has a function `measure` that returns slopes.
MODULES = (
    "dogwoodhinge_lab.slopes_platform",
    "dogwoodhinge_lab.slopes_peer",
    "dogwoodhinge_lab.slopes_membership",
    "dogwoodhinge_lab.slopes_config",
    "dogwoodhinge_lab.slopes_owner",
    "dogwoodhinge_lab.slopes_node",
)


def main(names: list[str]) -> int:
    """Measures the named modules, all without names.

    Returns:
        The number of modules that failed.
    """
    failed = 0
    for name in names or MODULES:
        begin = time.monotonic()
        try:
            found = measure(name)
        except Exception as error:
            failed += 1
            print(f"failed {name}: {error!r}")
            continue
        for line in found:
            print(line)
        print(f"measured {name} in {time.monotonic() - begin:.0f} s")
        sys.stdout.flush()
    return failed


def measure(name: str) -> list[slope.Slope]:
    """Measures the slopes of one module."""
    module: Any = importlib.import_module(name)
    found = module.measure()
    if inspect.isawaitable(found):
        return asyncio.run(_wait_for(found))
    return list(found)


async def _wait_for(found: Any) -> list[slope.Slope]:
    return list(await found)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
