"""Implements `dogwoodctl key hash`."""

from _dogwoodctl import context as context_lib
from _dogwoodctl import errors
from _dogwoodhinge.config import contract as contract_lib


async def hash_key(context: context_lib.Context) -> None:
    """Prints the SHA-256 of an API key read from standard input."""
    key = context.stdin.readline().rstrip("\r\n")
    if not key:
        raise errors.UsageError(
            "no key on standard input; redirect a file: "
            "dogwoodctl key hash < FILE"
        )
    digest = contract_lib.hash_key(key)
    context.printer.print_result({"sha256": digest}, digest)
