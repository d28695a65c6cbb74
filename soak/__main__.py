"""Command line of the fault soak: ``python -m soak --seeds 1-50``."""

from __future__ import annotations

import asyncio
import sys
import tempfile
from pathlib import Path

import click

from soak.run import Soak, SoakSettings


def _read_seeds(value: str) -> range:
    first, _, last = value.partition("-")
    return range(int(first), int(last or first) + 1)


@click.command()
@click.option("--seeds", default="1", show_default=True, help="FIRST-LAST, or one")
@click.option(
    "--seconds", default=12.0, show_default=True, help="time in which faults begin"
)
@click.option("--hosts", default=5, show_default=True)
@click.option("--callers", default=3, show_default=True, help="callers per host")
@click.option("--keep", type=click.Path(path_type=Path), help="folder for the logs")
def main(
    seeds: str, seconds: float, hosts: int, callers: int, keep: Path | None
) -> None:
    """Inject faults into a mesh of real processes and check the promises."""
    failed = []
    for seed in _read_seeds(seeds):
        parent = keep or Path(tempfile.mkdtemp(prefix="soak-"))
        directory = parent / f"seed-{seed}"
        directory.mkdir(parents=True)
        soak = Soak(SoakSettings(seed, seconds, hosts, callers), directory)
        try:
            violations = asyncio.run(soak.run())
        except TimeoutError as error:
            violations = [str(error)]
        click.echo(f"seed {seed}: {len(violations)} broken; {soak.describe()}")
        for violation in violations[:20]:
            click.echo(f"  {violation}")
        if violations:
            click.echo(f"  logs: {directory}")
            failed.append(seed)
    click.echo(f"failed seeds: {failed or 'none'}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
