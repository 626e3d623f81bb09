"""Reads, writes and compares contracts as YAML documents."""

import difflib
import json
import pathlib
import re
from typing import Any

import yaml

from _dogwoodctl import errors
from _dogwoodhinge.config import contract as contract_lib
from _dogwoodhinge.config import errors as config_errors
from _dogwoodhinge.config import validation

MAX_FILE_BYTES = 2_000_000

_REVISION_LINE = re.compile(r"^# revision: (\d+)\s*$", re.MULTILINE)


class _StrictLoader(yaml.SafeLoader):
    """Rejects aliases and duplicate keys, which hide mistakes."""

    def compose_node(self, parent: Any, index: Any) -> Any:
        if self.check_event(yaml.AliasEvent):
            event = self.peek_event()
            raise yaml.constructor.ConstructorError(
                None,
                None,
                "aliases are not allowed; repeat the value instead",
                event.start_mark,
            )
        return super().compose_node(parent, index)

    def construct_mapping(self, node: Any, deep: bool = False) -> Any:
        seen: set[Any] = set()
        for key_node, _ in node.value:
            key = self.construct_object(key_node, deep=True)
            if str(key) in seen:
                raise yaml.constructor.ConstructorError(
                    None,
                    None,
                    f"duplicate key {key!r}; remove one of them",
                    key_node.start_mark,
                )
            seen.add(str(key))
        return super().construct_mapping(node, deep)


def read_text(path: str) -> str:
    """Returns the content of a file named on the command line.

    Raises:
        InvalidError: the file is unreadable, too large or not UTF-8.
    """
    try:
        file = pathlib.Path(path)
        if file.stat().st_size > MAX_FILE_BYTES:
            raise errors.InvalidError(
                f"{path}: larger than the limit of {MAX_FILE_BYTES} bytes"
            )
        return file.read_text(encoding="utf-8")
    except OSError as error:
        raise errors.InvalidError(
            f"{path}: {error.strerror}; name a readable file"
        ) from error
    except UnicodeDecodeError as error:
        raise errors.InvalidError(f"{path}: not UTF-8: {error}") from error


def parse(text: str, *, name: str) -> contract_lib.Contract:
    """Parses a contract from YAML, or from JSON, which is valid YAML.

    Args:
        text: the document.
        name: file name for error messages.

    Raises:
        InvalidError: the message has a line for each fault, with the path,
            the value and what is allowed.
    """
    try:
        document = yaml.load(text, Loader=_StrictLoader)
    except yaml.MarkedYAMLError as error:
        raise errors.InvalidError(_format_yaml_error(name, error)) from error
    except (yaml.YAMLError, ValueError, RecursionError) as error:
        raise errors.InvalidError(f"{name}: not YAML: {error}") from error
    try:
        encoded = json.dumps(document, default=_reject_type)
        return validation.parse(encoded)
    except (config_errors.ContractInvalidError, TypeError) as error:
        lines = [f"{name}: {line}" for line in str(error).splitlines()]
        raise errors.InvalidError("\n".join(lines)) from error


def is_contract(text: str) -> bool:
    """Returns whether a JSON document is a contract, valid or not."""
    try:
        document = json.loads(text)
    except (ValueError, RecursionError):
        return False
    return isinstance(document, dict) and "customer" in document


def read_revision(text: str) -> int | None:
    """Returns the revision in the comment that `contract get` writes."""
    match = _REVISION_LINE.search(text)
    return int(match[1]) if match else None


def dump(document: dict[str, Any] | None) -> str:
    """Returns a contract as YAML; an empty string for None."""
    if document is None:
        return ""
    return yaml.safe_dump(document, sort_keys=False, allow_unicode=True)


def difference(
    before: dict[str, Any] | None,
    after: dict[str, Any] | None,
    *,
    before_name: str,
    after_name: str,
) -> str:
    """Returns a unified diff of two contracts; empty when they are equal."""
    lines = difflib.unified_diff(
        dump(before).splitlines(keepends=True),
        dump(after).splitlines(keepends=True),
        fromfile=before_name,
        tofile=after_name,
    )
    return "".join(lines)


def _format_yaml_error(name: str, error: yaml.MarkedYAMLError) -> str:
    mark = error.problem_mark
    location = f"{name}:{mark.line + 1}:{mark.column + 1}" if mark else name
    return f"{location}: not YAML: {error.problem}"


def _reject_type(value: object) -> str:
    raise TypeError(f"{value!r} is a {type(value).__name__}; put it in quotes")
