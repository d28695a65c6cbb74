"""Capacity figures at the two-year size, computed from the result files."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from benchmarks.results import RESULTS_DIRECTORY, Row

DAEMONS = 9_200
DOMAINS = 15
SERVICES = 550
CALLS_PER_SECOND = 410_000
CHANGES_PER_DAY = 12_000
WORKING_SECONDS = 8 * 3600
DAY_SECONDS = 24 * 3600
HERD_SIZE = 600

# Limits set by the users (% of a core, MB, KB/s, s, ms) and of the table (1/s).
CPU_LIMIT = 3.7
MEMORY_LIMIT = 128.0
BYTES_LIMIT = 10.0
ACTIVATION_LIMIT = 7.0
ADDED_LATENCY_LIMIT = 1.3
TABLE_READ_LIMIT = 2_000.0
TABLE_WRITE_LIMIT = 300.0

MICROSECONDS = 1e-6
MILLISECONDS_PER_SECOND = 1000
PERCENT = 100
BYTES_PER_KB = 1e3
BYTES_PER_MB = 1e6
# Share of datagrams lost in the measurements of a lossy network.
DATAGRAM_LOSS = 0.1

CALLS_PER_DAEMON = CALLS_PER_SECOND / DAEMONS
CHANGES_PER_SECOND = CHANGES_PER_DAY / WORKING_SECONDS


class MissingResultError(LookupError):
    """Report a figure that is missing from the result files."""


@dataclass(frozen=True)
class Figure:
    """Describe a computed figure with its spread, limit and source.

    ``limit`` is ``None`` where the users set none; ``budget_name`` names the daemon's
    budget that the figure counts against.
    """

    role: str
    label: str
    value: float
    unit: str
    source: str
    low: float | None = None
    high: float | None = None
    limit: float | None = None
    budget_name: str = ""
    mechanism: str = ""


class ResultFiles:
    """Find measured rows in the result files."""

    def __init__(self, directory: Path = RESULTS_DIRECTORY) -> None:
        self._directory = directory
        self._files: dict[str, dict] = {}

    def read(self, benchmark: str) -> dict:
        """Return the content of a result file."""
        if benchmark not in self._files:
            path = self._directory / f"{benchmark}.json"
            if not path.exists():
                raise MissingResultError(f"no result file {path.name}")
            self._files[benchmark] = json.loads(path.read_text())
        return self._files[benchmark]

    def find_all(self, benchmark: str, name: str, **parameters: object) -> list[Row]:
        """Return the rows with a name whose parameters include the given ones."""
        rows = [Row(**row) for row in self.read(benchmark)["rows"]]
        return [
            row
            for row in rows
            if row.name == name and parameters.items() <= row.parameters.items()
        ]

    def find(self, benchmark: str, name: str, **parameters: object) -> Row:
        """Return the only row with a name and parameters."""
        rows = self.find_all(benchmark, name, **parameters)
        if len(rows) != 1:
            query = f"{benchmark}: {name} {parameters}"
            raise MissingResultError(f"{len(rows)} rows for {query}")
        return rows[0]

    def get_source(self, benchmark: str) -> str:
        """Return the command and commit that produced a result file."""
        content = self.read(benchmark)
        return f"`{content['command']}` at {content['commit']}"


ROLES: dict[str, Callable[[ResultFiles], list[Figure]]] = {}


def register_role(name: str):
    """Register the function that computes the figures of a role."""

    def decorate(compute_role: Callable[[ResultFiles], list[Figure]]):
        ROLES[name] = compute_role
        return compute_role

    return decorate


def scale_row(
    row: Row, factor: float, *, role: str, label: str, unit: str, **details: object
) -> Figure:
    """Return a figure that is a measured row multiplied by a factor."""
    low = None if row.low is None else row.low * factor
    high = None if row.high is None else row.high * factor
    return Figure(
        role=role,
        label=label,
        value=row.value * factor,
        unit=unit,
        low=low,
        high=high,
        **details,
    )


def sum_budget(figures: list[Figure], budget: str) -> float:
    """Add up the figures that count against a daemon's budget."""
    return sum(figure.value for figure in figures if figure.budget_name == budget)


def find_exceeded(figures: list[Figure]) -> list[Figure]:
    """Return the figures that exceed their limit."""
    return [f for f in figures if f.limit is not None and f.value > f.limit]


def compute_figures(results: ResultFiles) -> tuple[list[Figure], list[str]]:
    """Return the figures of every role, and a message for each role without results."""
    figures: list[Figure] = []
    missing: list[str] = []
    for name, role in ROLES.items():
        try:
            figures += role(results)
        except MissingResultError as error:
            missing.append(f"{name}: {error}")
    return figures, missing


def build_totals(figures: list[Figure]) -> list[Figure]:
    """Return a daemon's totals for control work, with the limits set by the users."""
    budgets = (
        ("processor", "% of a core", CPU_LIMIT),
        ("memory", "MB", MEMORY_LIMIT),
        ("bytes", "KB/s", BYTES_LIMIT),
    )
    return [
        Figure(
            "all of control",
            budget,
            sum_budget(figures, budget),
            unit,
            "",
            limit=limit,
        )
        for budget, unit, limit in budgets
    ]
