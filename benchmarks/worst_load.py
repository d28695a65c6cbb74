"""Work at its worst load: changes of placement and admission weighed in seconds.

``python -m benchmarks.worst_load`` plays the load of a deployment (ranks, work times
with tails, unequal failure domains, nested calls, bursts, callers that come back) over
the decisions of the daemons, for many seeds, beside simple policies.
``--set MODULE.NAME=VALUE`` changes a constant of ``flamingohead.core`` for the run.
"""

from __future__ import annotations

import importlib
import statistics
from contextlib import ExitStack
from unittest import mock

import click

from benchmarks.worst_load_model import Model
from benchmarks.worst_load_result import Result
from benchmarks.worst_load_site import DAYS, Day


def compare(
    day: Day, seeds: range, *, policy: str, settings: dict[str, float]
) -> list[Result]:
    """Play a day with each seed under changed constants of ``flamingohead.core``."""
    with ExitStack() as stack:
        for name, value in settings.items():
            module, _, constant = name.rpartition(".")
            target = importlib.import_module(f"flamingohead.core.{module}")
            stack.enter_context(mock.patch.object(target, constant, value))
        return [Model(day, seed, policy=policy).run() for seed in seeds]


def print_results(title: str, results: list[Result]) -> None:
    """Print the means over the seeds."""
    mean = statistics.mean
    kinds = {
        name: mean(r.earned[name] / r.owed[name] for r in results)
        for name in results[0].owed
    }
    shares = " ".join(f"{name} {share:.3f}" for name, share in kinds.items())
    click.echo(
        f"{title:44} worth {mean(r.worth for r in results):.3f}"
        f" whole {mean(r.whole for r in results):.3f}"
        f" worst {mean(r.worst_windows for r in results):.3f}"
        f" again {mean(r.again / sum(r.owed.values()) for r in results):.3f}  {shares}"
    )


@click.command()
@click.option("--day", "names", multiple=True, help="days to play; all if none")
@click.option("--seeds", default=5, show_default=True)
@click.option("--policy", multiple=True, default=("system",), show_default=True)
@click.option("--set", "changes", multiple=True, help="MODULE.NAME=VALUE")
def main(names, seeds: int, policy: tuple[str, ...], changes: tuple[str, ...]) -> None:
    """Compare policies, and the system with and without changed constants."""
    settings = {}
    for change in changes:
        name, _, value = change.partition("=")
        settings[name] = float(value)
    for day in DAYS.values():
        if names and day.name not in names:
            continue
        for each in policy:
            results = compare(day, range(seeds), policy=each, settings={})
            print_results(f"{day.name} {each}", results)
        if settings:
            results = compare(day, range(seeds), policy="system", settings=settings)
            print_results(f"{day.name} {' '.join(changes)}", results)


if __name__ == "__main__":
    main()
