"""Run soaks by hand: ``python -m soak --seeds 1-50``."""

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
@click.option("--seconds", default=12.0, show_default=True, help="time with faults")
@click.option("--hosts", default=5, show_default=True)
@click.option("--callers", default=3, show_default=True, help="callers of each host")
@click.option("--keep", type=click.Path(path_type=Path), help="folder of the logs")
def main(
    seeds: str, seconds: float, hosts: int, callers: int, keep: Path | None
) -> None:
    """Disturb a mesh of real processes, and check the promises from outside."""
    failed = []
    for seed in _read_seeds(seeds):
        parent = keep or Path(tempfile.mkdtemp(prefix="soak-"))
        directory = parent / f"seed-{seed}"
        directory.mkdir(parents=True)
        soak = Soak(SoakSettings(seed, seconds, hosts, callers), directory)
        try:
            cases = asyncio.run(soak.run())
        except TimeoutError as error:
            cases = [str(error)]
        click.echo(f"seed {seed}: {len(cases)} broken; {soak.describe()}")
        for case in cases[:20]:
            click.echo(f"  {case}")
        if cases:
            click.echo(f"  logs: {directory}")
            failed.append(seed)
    click.echo(f"failed seeds: {failed or 'none'}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
