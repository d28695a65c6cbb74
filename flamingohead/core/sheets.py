"""Parsing of planners' CSV sheets into resources and located problems."""

from __future__ import annotations

import csv
import io
import re
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from flamingohead.core.resources import (
    Pool,
    Rank,
    Resource,
    ResourceKey,
    Route,
    Service,
    Snapshot,
)
from flamingohead.core.validation import validate_snapshot

if TYPE_CHECKING:
    from collections.abc import Callable

COLUMNS = (
    "kind",
    "service",
    "name",
    "mode",
    "path",
    "methods",
    "pool",
    "rank",
    "timeout_ms",
    "idempotent",
    "order",
    "target_ms",
    "worth",
    "share",
)
METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")
MAX_LINES = 100_000
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.-]{0,62}")
_PATH = re.compile(r"/[!-~]{0,1023}")


@dataclass(frozen=True)
class SheetProblem:
    """Describe a problem and its line and column, both counted from 1.

    ``position`` is 0 if the sheet does not have the column.
    """

    line: int
    column: str
    found: str
    expected: str
    position: int = 0

    def __str__(self) -> str:
        return (
            f"line {self.line}, column {self.position} ({self.column}): "
            f"found {self.found!r}, expected {self.expected}"
        )


@dataclass(frozen=True)
class Sheet:
    """Contain the resources of a sheet, their line numbers and the problems found."""

    resources: tuple[Resource, ...]
    problems: tuple[SheetProblem, ...]
    lines: dict[ResourceKey, int]
    columns: tuple[str, ...] = ()


class _SheetRow:
    """Parse the cells of one line and collect their problems."""

    def __init__(self, line: int, cells: dict[str, str]) -> None:
        self.line = line
        self.problems: list[SheetProblem] = []
        self._cells = cells

    def read_name(self, column: str) -> str:
        value = self._cells.get(column, "")
        if not _NAME.fullmatch(value):
            self.add_problem(column, value, "up to 63 letters, digits, '.', '_', '-'")
        return value

    def read_path(self) -> str:
        value = self._cells.get("path", "")
        if not _PATH.fullmatch(value):
            self.add_problem("path", value, "a path that starts with '/'")
        return value

    def read_choice(
        self, column: str, choices: tuple[str, ...], *, default: str | None = None
    ) -> str:
        value = self._cells.get(column, "") or default or ""
        if value not in choices:
            self.add_problem(column, value, "one of " + ", ".join(choices))
        return value

    def read_integer(self, column: str, *, minimum: int) -> int:
        value = self._cells.get(column, "")
        try:
            number = int(value)
        except ValueError:
            number = minimum - 1
        if number < minimum or number > 2**31:
            self.add_problem(column, value, f"a whole number from {minimum}")
        return number

    def read_number(self, column: str, *, low: float, high: float) -> float:
        value = self._cells.get(column, "")
        try:
            number = float(value)
        except ValueError:
            number = float("nan")
        if not low <= number <= high:
            self.add_problem(column, value, f"a number from {low:g} to {high:g}")
        return number

    def read_methods(self) -> tuple[str, ...]:
        value = self._cells.get("methods", "")
        methods = tuple(value.split())
        if not methods or any(method not in METHODS for method in methods):
            self.add_problem("methods", value, "methods such as GET POST")
        return methods

    def add_problem(self, column: str, found: str, expected: str) -> None:
        self.problems.append(SheetProblem(self.line, column, found, expected))


ROW_READERS: dict[str, Callable[[_SheetRow], Resource]] = {}


def register_row_reader(kind: str):
    """Return a decorator that registers the row reader of a resource kind."""

    def decorate(reader: Callable[[_SheetRow], Resource]):
        ROW_READERS[kind] = reader
        return reader

    return decorate


@register_row_reader("service")
def _read_service(row: _SheetRow) -> Service:
    mode = row.read_choice("mode", ("observe", "enforce"), default="enforce")
    return Service(row.read_name("service"), mode)


@register_row_reader("pool")
def _read_pool(row: _SheetRow) -> Pool:
    return Pool(row.read_name("name"), row.read_name("service"))


@register_row_reader("rank")
def _read_rank(row: _SheetRow) -> Rank:
    return Rank(
        name=row.read_name("name"),
        service=row.read_name("service"),
        order=row.read_integer("order", minimum=0),
        target_ms=row.read_integer("target_ms", minimum=1),
        worth=row.read_number("worth", low=0, high=1e9),
        share=row.read_number("share", low=0, high=1),
    )


@register_row_reader("route")
def _read_route(row: _SheetRow) -> Route:
    return Route(
        name=row.read_name("name"),
        service=row.read_name("service"),
        path=row.read_path(),
        methods=row.read_methods(),
        pool=row.read_name("pool"),
        rank=row.read_name("rank"),
        timeout_ms=row.read_integer("timeout_ms", minimum=1),
        idempotent=row.read_choice("idempotent", ("yes", "no")) == "yes",
    )


class _SheetReader:
    """Parse a sheet line by line and collect its resources and problems."""

    def __init__(self) -> None:
        self.resources: dict[ResourceKey, Resource] = {}
        self.problems: list[SheetProblem] = []
        self.lines: dict[ResourceKey, int] = {}
        self.columns: tuple[str, ...] = ()

    def read(self, text: str) -> Sheet:
        """Parse a complete sheet."""
        rows = csv.reader(io.StringIO(text.removeprefix("\ufeff")), strict=True)
        try:
            self._read_header(next(rows, []))
            if not self.problems:
                self._read_lines(rows)
        except csv.Error as error:
            self._add_problem(rows.line_num, "kind", str(error), "valid CSV")
        return Sheet(
            tuple(self.resources.values()),
            tuple(self.problems),
            self.lines,
            self.columns,
        )

    def _read_header(self, cells: list[str]) -> None:
        self.columns = tuple(cell.strip() for cell in cells)
        for name in self.columns:
            if name not in COLUMNS:
                expected = "a column among " + ", ".join(COLUMNS)
                self._add_problem(1, name, name, expected)
            elif self.columns.count(name) > 1:
                self._add_problem(1, name, name, "each column once")
        for name in ("kind", "service"):
            if name not in self.columns:
                self._add_problem(1, name, "", f"a column {name!r}")

    def _read_lines(self, rows) -> None:
        for cells in rows:
            if rows.line_num > MAX_LINES:
                expected = f"at most {MAX_LINES} lines"
                self._add_problem(rows.line_num, "kind", "one more", expected)
                return
            if any(cell.strip() for cell in cells):
                self._read_cells(rows.line_num, [cell.strip() for cell in cells])

    def _read_cells(self, line: int, cells: list[str]) -> None:
        row = _SheetRow(line, dict(zip(self.columns, cells, strict=False)))
        if len(cells) > len(self.columns):
            extra = cells[len(self.columns)]
            row.add_problem(self.columns[-1], extra, "no more cells")
        kind = row.read_choice("kind", tuple(ROW_READERS))
        if kind in ROW_READERS:
            self._add_resource(row, ROW_READERS[kind](row))
        for problem in row.problems:
            self._add_problem(line, problem.column, problem.found, problem.expected)

    def _add_resource(self, row: _SheetRow, resource: Resource) -> None:
        key = resource.key
        if key in self.lines:
            expected = f"no second {key.kind} of this name (see line {self.lines[key]})"
            row.add_problem("name", key.name, expected)
        self.resources[key] = resource
        self.lines[key] = row.line

    def _add_problem(self, line: int, column: str, found: str, expected: str) -> None:
        self.problems.append(
            locate_problem(self.columns, line, column, found, expected)
        )


def locate_problem(
    columns: tuple[str, ...], line: int, column: str, found: str, expected: str
) -> SheetProblem:
    """Return a problem with the position of its column."""
    position = columns.index(column) + 1 if column in columns else 0
    return SheetProblem(line, column, found, expected, position)


def parse_sheet(text: str) -> Sheet:
    """Return the resources of a CSV sheet and the problems of its lines."""
    return _SheetReader().read(text)


def check_sheet(text: str) -> Sheet:
    """Parse a sheet and validate it as a complete configuration."""
    sheet = parse_sheet(text)
    if sheet.problems:
        return sheet
    snapshot = Snapshot.build(1, {r.key: r for r in sheet.resources})
    problems = []
    for problem in validate_snapshot(snapshot):
        line = sheet.lines[problem.key]
        found = getattr(snapshot.resources[problem.key], problem.field)
        expected = f"a consistent value ({problem.message})"
        problems.append(
            locate_problem(sheet.columns, line, problem.field, str(found), expected)
        )
    return replace(sheet, problems=tuple(problems))
