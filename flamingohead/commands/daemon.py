"""Command that runs a daemon."""

from __future__ import annotations

import sys

import click
from click.core import ParameterSource
from pydantic import ValidationError

from flamingohead.exits import ExitCode
from flamingohead.services.reactor import install_reactor, run_until_stopped
from flamingohead.settings import (
    SECRET_SETTINGS,
    DaemonSettings,
    describe_problems,
    get_environment_name,
)

SOURCE_NAMES = {
    ParameterSource.COMMANDLINE: "flag",
    ParameterSource.ENVIRONMENT: "environment",
}


def add_settings_options(command):
    """Add an option for each setting of a daemon."""
    for name, field in reversed(DaemonSettings.model_fields.items()):
        command = click.option(
            "--" + name.replace("_", "-"),
            name,
            envvar=get_environment_name(name),
            show_envvar=True,
            help=field.description,
        )(command)
    return command


@click.command()
@click.option(
    "--print-settings",
    is_flag=True,
    help="print the effective settings and the source of each, then exit",
)
@add_settings_options
@click.pass_context
def daemon(context: click.Context, print_settings: bool, **values: str | None) -> None:
    """Run the daemon of one upstream host.

    Example: flamingohead daemon --host-id osu-1 --failure-domain osu ...
    """
    given = {name: value for name, value in values.items() if value is not None}
    try:
        settings = DaemonSettings(**given)
    except ValidationError as error:
        for line in describe_problems(error):
            click.echo(line, err=True)
        sys.exit(ExitCode.USAGE)
    if print_settings:
        _print_settings(context, settings)
        return
    install_reactor()
    from flamingohead.daemon import run_daemon

    sys.exit(run_until_stopped(lambda: run_daemon(settings)))


def _print_settings(context: click.Context, settings: DaemonSettings) -> None:
    for name in DaemonSettings.model_fields:
        source = SOURCE_NAMES.get(context.get_parameter_source(name), "default")
        value = getattr(settings, name)
        if name in SECRET_SETTINGS:
            value = "(hidden)"
        click.echo(f"{name.replace('_', '-')} = {value}    # {source}")


COMMANDS = (daemon,)
