"""The fault matrix as data: `faults/matrix.yaml`."""

import dataclasses
import enum
import fnmatch
import pathlib
from typing import final

import pydantic
import yaml

MATRIX_PATH = pathlib.Path(__file__).parents[2] / "faults" / "matrix.yaml"


class Victim(enum.StrEnum):
    """The node that is stopped at the step."""

    ENTRY = "entry"
    OWNER = "owner"
    ANY = "any"
    SUCCESSOR = "successor"


class Fault(enum.StrEnum):
    """A fault, as the data file explains it."""

    KILL = "kill"
    PAUSE = "pause"
    CUT = "cut"
    SILENT = "silent"
    TABLE_DOWN = "table_down"
    TABLE_SLOW = "table_slow"
    ANSWER_LOST = "answer_lost"
    ENGINE_CRASH = "engine_crash"
    ENGINE_RESTART = "engine_restart"
    LOAD_FAILURE = "load_failure"
    LATE_EVENTS = "late_events"
    STREAM_TRUNCATED = "stream_truncated"
    FOREIGN_CHUNK = "foreign_chunk"
    OPERATORS_RACING = "operators_racing"


class EngineKind(enum.StrEnum):
    """Whether the fleet's engine checks fencing tokens."""

    CHECKS = "checks"
    IGNORES = "ignores"


class _Strict(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class Path(_Strict):
    """A path and its steps, each with its victim."""

    what: str
    engines: tuple[EngineKind, ...]
    steps: dict[str, Victim]


class Pair(_Strict):
    """Faults that strike together."""

    path: str
    step: str
    faults: tuple[Fault, ...]


class Impossible(_Strict):
    """Cells that cannot occur."""

    path: str
    steps: tuple[str, ...] = ()
    faults: tuple[Fault, ...]
    why: str


class Gap(_Strict):
    """Something that no cell covers."""

    what: str
    why: str


class Matrix(_Strict):
    """The whole data file."""

    paths: dict[str, Path]
    faults: dict[Fault, str]
    pairs: tuple[Pair, ...] = ()
    core: tuple[str, ...] = ()
    situations: dict[str, str] = {}
    cannot_occur: tuple[Impossible, ...] = ()
    not_covered: tuple[Gap, ...] = ()


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Cell:
    """One cell: the faults that strike a victim at a step."""

    path: str
    step: str
    victim: Victim
    faults: tuple[Fault, ...]
    engine: EngineKind

    @property
    def name(self) -> str:
        """Returns `path/step/fault/engine`."""
        faults = "+".join(self.faults)
        return f"{self.path}/{self.step}/{faults}/{self.engine}"


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Excluded:
    """A cell that cannot occur."""

    cell: Cell
    why: str


def load(path: pathlib.Path = MATRIX_PATH) -> Matrix:
    """Reads the data file.

    Raises:
        pydantic.ValidationError: it has unknown members or values.
    """
    return Matrix.model_validate(yaml.safe_load(path.read_text()))


def expand(matrix: Matrix) -> tuple[list[Cell], list[Excluded]]:
    """Returns the cells to run and those that cannot occur."""
    cells: list[Cell] = []
    excluded: list[Excluded] = []
    for cell in _all_cells(matrix):
        why = _why_impossible(matrix, cell)
        if why:
            excluded.append(Excluded(cell, why))
        else:
            cells.append(cell)
    return cells, excluded


def select(cells: list[Cell], patterns: list[str]) -> list[Cell]:
    """Returns the cells whose names match a pattern; all without patterns."""
    return [cell for cell in cells if is_selected(cell.name, patterns)]


def is_selected(name: str, patterns: list[str]) -> bool:
    """Tells whether a name matches a pattern, or there is none."""
    if not patterns:
        return True
    return any(fnmatch.fnmatchcase(name, pattern) for pattern in patterns)


def _all_cells(matrix: Matrix) -> list[Cell]:
    wanted: list[tuple[str, str, tuple[Fault, ...]]] = [
        (name, step, (fault,))
        for name, path in matrix.paths.items()
        for step in path.steps
        for fault in matrix.faults
    ]
    wanted.extend((pair.path, pair.step, pair.faults) for pair in matrix.pairs)
    return [
        Cell(
            path=name,
            step=step,
            victim=matrix.paths[name].steps[step],
            faults=faults,
            engine=engine,
        )
        for name, step, faults in wanted
        for engine in matrix.paths[name].engines
    ]


def _why_impossible(matrix: Matrix, cell: Cell) -> str:
    for rule in matrix.cannot_occur:
        if rule.path != cell.path:
            continue
        if rule.steps and cell.step not in rule.steps:
            continue
        if set(cell.faults) & set(rule.faults):
            return rule.why
    return ""
