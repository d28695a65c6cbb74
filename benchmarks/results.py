"""Benchmark results: measured rows with the metadata needed to reproduce them."""

from __future__ import annotations

import json
import os
import platform
import subprocess
import time
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING

import psutil

if TYPE_CHECKING:
    from collections.abc import Callable

ROOT = Path(__file__).resolve().parents[1]
RESULTS_DIRECTORY = Path(__file__).resolve().parent / "results"


@dataclass(frozen=True)
class Row:
    """Store a measured value, its unit, and the lowest and highest value of the runs.

    ``parameters`` lists the independent variables, such as the number of daemons.
    """

    name: str
    value: float
    unit: str
    low: float | None = None
    high: float | None = None
    parameters: dict[str, float | str] = field(default_factory=dict)


@dataclass(frozen=True)
class Benchmark:
    """Associate a benchmark name with the function that measures rows from a seed."""

    name: str
    measure: Callable[[int], list[Row]]


BENCHMARKS: dict[str, Benchmark] = {}


def register_benchmark(name: str):
    """Return a decorator that registers a benchmark function under a name."""

    def decorate(measure: Callable[[int], list[Row]]):
        BENCHMARKS[name] = Benchmark(name, measure)
        return measure

    return decorate


def describe_machine() -> dict[str, str | int]:
    """Return the properties of this machine that affect measurements."""
    return {
        "cores": os.cpu_count() or 0,
        "memory_mib": psutil.virtual_memory().total // 2**20,
        "architecture": platform.machine(),
        "python": platform.python_version(),
    }


def get_commit() -> str:
    """Return the commit of the work tree, marked as dirty if it has changes."""
    command = ["git", "describe", "--always", "--dirty", "--abbrev=10"]
    return subprocess.check_output(command, cwd=ROOT, text=True).strip()


def write_results(name: str, rows: list[Row], *, seed: int) -> Path:
    """Write the result file of a benchmark and return its path."""
    RESULTS_DIRECTORY.mkdir(exist_ok=True)
    path = RESULTS_DIRECTORY / f"{name}.json"
    content = {
        "benchmark": name,
        "command": f"python -m benchmarks {name} --seed {seed}",
        "commit": get_commit(),
        "seed": seed,
        "taken_at": time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime()),
        "machine": describe_machine(),
        "rows": [asdict(row) for row in rows],
    }
    path.write_text(json.dumps(content, indent=1) + "\n")
    return path


def print_rows(rows: list[Row]) -> None:
    """Print rows as a table."""
    for row in rows:
        parameters = " ".join(f"{k}={v}" for k, v in row.parameters.items())
        bounds = "" if row.low is None else f"  [{row.low:.4g} .. {row.high:.4g}]"
        print(f"{row.name:<40} {row.value:>12.4g} {row.unit:<8}{bounds}  {parameters}")
