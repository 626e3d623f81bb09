"""Contracts as YAML files."""

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


class _Loader(yaml.SafeLoader):
    """Refuses aliases and keys given twice, which hide mistakes."""

    def compose_node(self, parent: Any, index: Any) -> Any:
        if self.check_event(yaml.AliasEvent):
            event = self.peek_event()
            raise yaml.constructor.ConstructorError(
                None,
                None,
                "aliases are not allowed; write the value out",
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
                    f"{key!r} is given twice; give it once",
                    key_node.start_mark,
                )
            seen.add(str(key))
        return super().construct_mapping(node, deep)


def read_text(path: str) -> str:
    """Reads a file that is given to a command.

    Raises:
        InvalidError: it can't be read.
    """
    try:
        file = pathlib.Path(path)
        if file.stat().st_size > MAX_FILE_BYTES:
            raise errors.InvalidError(
                f"{path}: larger than the {MAX_FILE_BYTES} bytes allowed"
            )
        return file.read_text(encoding="utf-8")
    except OSError as error:
        raise errors.InvalidError(
            f"{path}: {error.strerror}; name a contract file"
        ) from error
    except UnicodeDecodeError as error:
        raise errors.InvalidError(f"{path}: not UTF-8: {error}") from error


def parse(text: str, *, name: str) -> contract_lib.Contract:
    """Reads a contract from YAML (JSON is YAML too).

    Args:
        text: the document.
        name: the file's name, for the error.

    Raises:
        InvalidError: a line for each fault, with the path, the value and
            what is allowed.
    """
    try:
        document = yaml.load(text, Loader=_Loader)
    except yaml.MarkedYAMLError as error:
        raise errors.InvalidError(_describe(name, error)) from error
    except (yaml.YAMLError, ValueError, RecursionError) as error:
        raise errors.InvalidError(f"{name}: not YAML: {error}") from error
    try:
        encoded = json.dumps(document, default=_refuse_type)
        return validation.parse(encoded)
    except (config_errors.ContractInvalidError, TypeError) as error:
        lines = [f"{name}: {line}" for line in str(error).splitlines()]
        raise errors.InvalidError("\n".join(lines)) from error


def read_revision(text: str) -> int | None:
    """Returns the revision that `contract get` wrote above a contract."""
    match = _REVISION_LINE.search(text)
    return int(match[1]) if match else None


def dump(document: dict[str, Any] | None) -> str:
    """Returns a contract as YAML; empty for none."""
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


def _describe(name: str, error: yaml.MarkedYAMLError) -> str:
    mark = error.problem_mark
    place = f"{name}:{mark.line + 1}:{mark.column + 1}" if mark else name
    return f"{place}: not YAML: {error.problem}"


def _refuse_type(value: object) -> str:
    raise TypeError(f"{value!r}: a {type(value).__name__}; put it in quotes")
