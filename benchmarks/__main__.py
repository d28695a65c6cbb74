"""Run benchmarks: ``python -m benchmarks [NAME ...] [--seed N]``."""

from __future__ import annotations

import importlib
import pkgutil
import sys

import click

import benchmarks
from benchmarks.results import BENCHMARKS, print_rows, write_results


def load_benchmarks() -> None:
    """Import every module of this package, so that its benchmarks are registered."""
    for module in pkgutil.iter_modules(benchmarks.__path__):
        if module.name != "__main__":
            importlib.import_module(f"benchmarks.{module.name}")


@click.command()
@click.argument("names", nargs=-1)
@click.option("--seed", default=1, show_default=True)
@click.option("--list", "list_only", is_flag=True, help="list the names and exit")
@click.option(
    "--dry-run", is_flag=True, help="print rows without writing a result file"
)
def main(names: tuple[str, ...], seed: int, list_only: bool, dry_run: bool) -> None:
    """Run the named benchmarks, or all of them."""
    load_benchmarks()
    unknown = sorted(set(names) - set(BENCHMARKS))
    if unknown:
        known = ", ".join(sorted(BENCHMARKS))
        raise click.BadParameter(
            f"unknown benchmark {unknown[0]!r}; known benchmarks: {known}"
        )
    if list_only:
        click.echo("\n".join(sorted(BENCHMARKS)))
        return
    for name in names or sorted(BENCHMARKS):
        click.echo(f"== {name}")
        rows = BENCHMARKS[name].measure(seed)
        print_rows(rows)
        if not dry_run:
            write_results(name, rows, seed=seed)


if __name__ == "__main__":
    sys.exit(main())
