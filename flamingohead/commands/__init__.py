"""Command line for daemons and operators."""

from __future__ import annotations

import click

from flamingohead import __version__


@click.group()
@click.version_option(__version__, prog_name="flamingohead")
def main() -> None:
    """Distribute the configuration of a service mesh."""


def run_main() -> None:
    """Run the command line; entry point of the ``flamingohead`` script."""
    from flamingohead.commands import changes, daemon, explain, state, versions, where

    for module in (daemon, changes, versions, state, explain, where):
        for command in module.COMMANDS:
            main.add_command(command)
    main(prog_name="flamingohead")
