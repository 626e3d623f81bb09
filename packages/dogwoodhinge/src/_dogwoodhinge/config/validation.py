"""Parses contracts and reports each error in one line."""

from typing import Any

import pydantic

from _dogwoodhinge.config import contract
from _dogwoodhinge.config import errors

# A row of the table holds at most 400 kB; the other fields of a change take
# less than 1 kB.
MAX_CONTRACT_BYTES = 350_000
MAX_VALUE_CHARACTERS = 60


def parse(text: bytes | str) -> contract.Contract:
    """Parses a contract from JSON.

    Raises:
        ContractInvalidError: the contract is invalid; the message has one line
            for each error, with the path, the value and what is allowed.
    """
    size = len(text if isinstance(text, bytes) else text.encode())
    if size > MAX_CONTRACT_BYTES:
        raise errors.ContractInvalidError(
            f"contract: {size} bytes of JSON; at most {MAX_CONTRACT_BYTES} "
            "are allowed; replace lists of adapters by a prefix with *"
        )
    try:
        return contract.Contract.model_validate_json(text)
    except pydantic.ValidationError as error:
        lines = dict.fromkeys(_describe(e) for e in error.errors())
        raise errors.ContractInvalidError("\n".join(lines)) from error


def _describe(details: Any) -> str:
    path = _format_path(details["loc"])
    message = details["msg"].removeprefix("Value error, ")
    match details["type"]:
        case "missing":
            return f"{path}: missing; this field is required"
        case "extra_forbidden":
            return f"{path}: unknown field; remove it or correct its name"
        case "json_invalid":
            return f"{path}: {message}"
        case "string_pattern_mismatch":
            message = f"must match {details['ctx']['pattern']}"
    return f"{path}: {_shorten(details['input'])}: {message}"


def _format_path(location: tuple[int | str, ...]) -> str:
    """Formats a path as `adapters[0].name`, an empty one as `contract`."""
    text = ""
    for part in location:
        text += f"[{part}]" if isinstance(part, int) else f".{part}"
    return text.removeprefix(".") or "contract"


def _shorten(value: object) -> str:
    text = repr(value)
    if len(text) <= MAX_VALUE_CHARACTERS:
        return text
    return text[:MAX_VALUE_CHARACTERS] + "..."
