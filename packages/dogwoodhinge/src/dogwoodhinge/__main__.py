"""Entry point of the `dogwoodhinge` binary."""

from _dogwoodhinge import main


def run() -> None:
    """Runs one node until it is stopped."""
    main.run()


if __name__ == "__main__":
    run()
