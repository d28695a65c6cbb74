"""Plots of benchmark results: ``python -m benchmarks.plots`` writes docs/images/."""

from __future__ import annotations

import matplotlib

from benchmarks.capacity import ResultFiles
from benchmarks.results import ROOT

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402

IMAGES = ROOT / "docs" / "images"
SIZE_INCHES = (6.4, 3.6)
DPI = 110
POLICIES = ("baseline", "flamingohead")


def plot_goodput(results: ResultFiles, service: str) -> None:
    """Plot worth-weighted goodput against offered load."""
    figure, axes = pyplot.subplots(figsize=SIZE_INCHES)
    for policy in POLICIES:
        rows = results.find_all(
            "policy", "worth-weighted goodput", service=service, policy=policy
        )
        load_rows = [row for row in rows if set(row.parameters) == _LOAD_PARAMETERS]
        loads = [row.parameters["load"] for row in load_rows]
        axes.plot(loads, [row.value for row in load_rows], marker="o", label=policy)
    axes.set_xlabel("load offered, in capacities")
    axes.set_ylabel("worth-weighted goodput, worth/s")
    axes.set_title(f"{service}: every rank grows alike")
    axes.set_ylim(bottom=0)
    axes.legend()
    _save(figure, f"goodput-{service}.png")


def plot_nested_retries(results: ResultFiles) -> None:
    """Plot the load of the last level of nested calls when all of its calls fail."""
    figure, axes = pyplot.subplots(figsize=SIZE_INCHES)
    for policy in ("plain", "budget", "budget and marks"):
        rows = results.find_all(
            "nested", "leaf calls for each call", policy=policy, failing=1.0
        )
        levels = [row.parameters["levels"] for row in rows]
        axes.plot(levels, [row.value for row in rows], marker="o", label=policy)
    axes.set_yscale("log")
    axes.set_xlabel("nested levels")
    axes.set_ylabel("calls of the last level for each call")
    axes.legend()
    _save(figure, "nested-retries.png")


_LOAD_PARAMETERS = {"service", "policy", "load"}


def _save(figure, name: str) -> None:
    IMAGES.mkdir(parents=True, exist_ok=True)
    figure.tight_layout()
    figure.savefig(IMAGES / name, dpi=DPI, metadata={"Software": None})
    pyplot.close(figure)


def main() -> None:
    """Write all plots."""
    results = ResultFiles()
    for service in ("stall-ledger", "booking"):
        plot_goodput(results, service)
    plot_nested_retries(results)


if __name__ == "__main__":
    main()
