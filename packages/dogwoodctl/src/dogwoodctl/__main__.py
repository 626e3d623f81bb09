"""Entry point of the `dogwoodctl` command."""

import sys

from _dogwoodctl import main


def run() -> None:
    """Runs one command and exits with its exit code."""
    sys.exit(main.run(sys.argv))


if __name__ == "__main__":
    run()
