"""Planners' sheets: CSV in, resources or located problems out."""

from __future__ import annotations

import csv
import io
from dataclasses import dataclass
from typing import TYPE_CHECKING

from flamingohead.core.resources import Pool, Rank, Resource, Route, Service

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
MAX_ROWS = 100_000


@dataclass(frozen=True)
class SheetProblem:
    """Locate a problem by line (from 1) and column name."""

    line: int
    column: str
    found: str
    expected: str

    def __str__(self) -> str:
        return (
            f"line {self.line}, column {self.column!r}: "
            f"found {self.found!r}, expected {self.expected}"
        )


@dataclass(frozen=True)
class Sheet:
    """Hold the resources of a sheet, or its problems."""

    resources: tuple[Resource, ...]
    problems: tuple[SheetProblem, ...]
    lines: dict


class _Row:
    """Read the cells of one line and note what is wrong with them."""

    def __init__(self, line: int, cells: dict[str, str]) -> None:
        self.line = line
        self.problems: list[SheetProblem] = []
        self._cells = cells

    def read_text(self, column: str) -> str:
        value = self._cells.get(column, "")
        if not value:
            self.add_problem(column, value, "a value")
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


ROW_READERS: dict[str, Callable[[_Row], Resource]] = {}


def register_row_reader(kind: str):
    """Register the reader of the rows of one kind."""

    def decorate(reader: Callable[[_Row], Resource]):
        ROW_READERS[kind] = reader
        return reader

    return decorate


@register_row_reader("service")
def _read_service(row: _Row) -> Service:
    mode = row.read_choice("mode", ("observe", "enforce"), default="enforce")
    return Service(row.read_text("service"), mode)


@register_row_reader("pool")
def _read_pool(row: _Row) -> Pool:
    return Pool(row.read_text("name"), row.read_text("service"))


@register_row_reader("rank")
def _read_rank(row: _Row) -> Rank:
    return Rank(
        name=row.read_text("name"),
        service=row.read_text("service"),
        order=row.read_integer("order", minimum=0),
        target_ms=row.read_integer("target_ms", minimum=1),
        worth=row.read_number("worth", low=0, high=1e9),
        share=row.read_number("share", low=0, high=1),
    )


@register_row_reader("route")
def _read_route(row: _Row) -> Route:
    path = row.read_text("path")
    if path and not path.startswith("/"):
        row.add_problem("path", path, "a path that starts with '/'")
    return Route(
        name=row.read_text("name"),
        service=row.read_text("service"),
        path=path,
        methods=row.read_methods(),
        pool=row.read_text("pool"),
        rank=row.read_text("rank"),
        timeout_ms=row.read_integer("timeout_ms", minimum=1),
        idempotent=row.read_choice("idempotent", ("yes", "no")) == "yes",
    )


def parse_sheet(text: str) -> Sheet:
    """Return the resources of a CSV sheet and the problems of its lines."""
    reader = csv.reader(io.StringIO(text.removeprefix("\ufeff")), strict=True)
    problems: list[SheetProblem] = []
    lines: dict = {}
    resources: dict = {}
    try:
        header = next(reader, [])
        problems += _check_header(header)
        if problems:
            return Sheet((), tuple(problems), {})
        for cells in reader:
            if not any(cell.strip() for cell in cells):
                continue
            if reader.line_num > MAX_ROWS:
                problems.append(
                    SheetProblem(
                        reader.line_num, "kind", "a row", f"at most {MAX_ROWS} lines"
                    )
                )
                break
            _read_row(header, cells, reader.line_num, resources, lines, problems)
    except csv.Error as error:
        problems.append(SheetProblem(reader.line_num, "kind", str(error), "valid CSV"))
    return Sheet(tuple(resources.values()), tuple(problems), lines)


def _check_header(header: list[str]) -> list[SheetProblem]:
    problems = []
    for name in header:
        if name.strip() not in COLUMNS:
            expected = "a column among " + ", ".join(COLUMNS)
            problems.append(SheetProblem(1, name, name, expected))
    for name in ("kind", "service"):
        if name not in [cell.strip() for cell in header]:
            problems.append(SheetProblem(1, name, "", f"a column {name!r}"))
    return problems


def _read_row(header, cells, line, resources, lines, problems) -> None:
    row = _Row(
        line,
        {name.strip(): cell.strip() for name, cell in zip(header, cells, strict=False)},
    )
    if len(cells) > len(header):
        row.add_problem(header[-1], cells[len(header)], "no more cells")
    kind = row.read_choice("kind", tuple(ROW_READERS))
    if kind in ROW_READERS:
        resource = ROW_READERS[kind](row)
        if resource.key in lines:
            expected = f"no second {kind} of this name (see line {lines[resource.key]})"
            row.add_problem("name", resource.key.name, expected)
        resources[resource.key] = resource
        lines[resource.key] = line
    problems.extend(row.problems)
