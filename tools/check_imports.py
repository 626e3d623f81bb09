"""Checks that `from` imports import modules only (Google style, 2.2).

The style guide itself exempts `typing` and `collections.abc`.
"""

import ast
import importlib.util
import pathlib
import sys

EXEMPT_MODULES = frozenset({"typing", "collections.abc", "__future__"})
GENERATED_SUFFIXES = ("_pb2.py", "_grpc.py")


def is_module(name: str) -> bool:
    """Returns whether a dotted name is an importable module."""
    try:
        return importlib.util.find_spec(name) is not None
    except (ImportError, ValueError):
        return False


def find_non_module_imports(path: pathlib.Path) -> list[str]:
    """Returns a message for each imported name that is not a module."""
    violations = []
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if (
            not isinstance(node, ast.ImportFrom)
            or node.module in EXEMPT_MODULES
        ):
            continue
        for alias in node.names:
            if not is_module(f"{node.module}.{alias.name}"):
                violations.append(
                    f"{path}:{node.lineno}: {alias.name} is not a module; "
                    f"import {node.module} instead"
                )
    return violations


def main(roots: list[str]) -> int:
    """Checks all Python files under `roots` and returns the exit code."""
    violations = []
    for root in roots:
        for path in sorted(pathlib.Path(root).rglob("*.py")):
            if not path.name.endswith(GENERATED_SUFFIXES):
                violations.extend(find_non_module_imports(path))
    for line in violations:
        print(line)
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
