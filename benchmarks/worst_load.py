"""Simulation of overload, to evaluate changes of placement and admission quickly.

``python -m benchmarks.worst_load`` simulates the load of a deployment (ranks, service
times with tails, unequal failure domains, nested calls, bursts, callers that retry) on
the decisions of the daemons, for several seeds, and compares simple policies.
``--set MODULE.NAME=VALUE`` overrides a constant of ``flamingohead.core`` for the run.
"""

from __future__ import annotations

import importlib
import statistics
from contextlib import ExitStack
from unittest import mock

import click

from benchmarks.worst_load_model import OverloadModel
from benchmarks.worst_load_result import Result
from benchmarks.worst_load_site import DAYS, Day


def run_seeds(
    day: Day, seeds: range, *, policy: str, settings: dict[str, float]
) -> list[Result]:
    """Simulate a day per seed with overridden constants of ``flamingohead.core``."""
    with ExitStack() as stack:
        for name, value in settings.items():
            module, _, constant = name.rpartition(".")
            target = importlib.import_module(f"flamingohead.core.{module}")
            stack.enter_context(mock.patch.object(target, constant, value))
        return [OverloadModel(day, seed, policy=policy).run() for seed in seeds]


def print_results(title: str, results: list[Result]) -> None:
    """Print the mean results over the seeds."""
    mean = statistics.mean
    ratios = {
        name: mean(r.earned[name] / r.max_credit[name] for r in results)
        for name in results[0].max_credit
    }
    shares = " ".join(f"{name} {share:.3f}" for name, share in ratios.items())
    click.echo(
        f"{title:44} worth {mean(r.worth for r in results):.3f}"
        f" whole {mean(r.credit_ratio for r in results):.3f}"
        f" worst {mean(r.worst_windows for r in results):.3f}"
        f" again {mean(r.penalty / sum(r.max_credit.values()) for r in results):.3f}"
        f"  {shares}"
    )
    if not results[0].organisations:
        return
    others = mean(r.compute_credit_of(largest=False) for r in results)
    largest = mean(r.compute_credit_of(largest=True) for r in results)
    refusals = mean(r.refusal_cost / sum(r.max_credit.values()) for r in results)
    click.echo(
        f"{'':44} others {others:.3f} largest {largest:.3f}"
        f" lowest part {min(r.lowest_part for r in results):.2f}"
        f" refusals {refusals:.4f}"
    )


@click.command()
@click.option("--day", "names", multiple=True, help="days to simulate; all if omitted")
@click.option("--seeds", default=5, show_default=True)
@click.option("--policy", multiple=True, default=("system",), show_default=True)
@click.option("--set", "changes", multiple=True, help="MODULE.NAME=VALUE")
def main(names, seeds: int, policy: tuple[str, ...], changes: tuple[str, ...]) -> None:
    """Compare policies, and the system with and without overridden constants."""
    settings = {}
    for change in changes:
        name, _, value = change.partition("=")
        settings[name] = float(value)
    for day in DAYS.values():
        if names and day.name not in names:
            continue
        for policy_name in policy:
            results = run_seeds(day, range(seeds), policy=policy_name, settings={})
            print_results(f"{day.name} {policy_name}", results)
        if settings:
            results = run_seeds(day, range(seeds), policy="system", settings=settings)
            print_results(f"{day.name} {' '.join(changes)}", results)


if __name__ == "__main__":
    main()
