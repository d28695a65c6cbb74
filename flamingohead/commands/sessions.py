"""Sessions of commands with the operators' endpoint of a daemon."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

import click

from flamingohead.exits import ExitCode
from flamingohead.services.reactor import install_reactor, run_until_stopped

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from flamingohead.control import ControlClient, ControlResponse


def add_control_options(command):
    """Add the options for the address and token of the operators' endpoint."""
    command = click.option(
        "--control-token",
        envvar="FLAMINGOHEAD_CONTROL_TOKEN",
        show_envvar=True,
        required=True,
        help="token of the operators' endpoint",
    )(command)
    return click.option(
        "--control-address",
        envvar="FLAMINGOHEAD_CONTROL_ADDRESS",
        show_envvar=True,
        required=True,
        help="IP:PORT of the operators' endpoint of any daemon",
    )(command)


def run_session(
    control_address: str,
    control_token: str,
    operate: Callable[[ControlClient], Awaitable[int]],
) -> None:
    """Run ``operate`` with a client and exit with its return code."""
    install_reactor()
    from flamingohead.control import ControlClient

    client = ControlClient(control_address, control_token)

    async def run() -> int:
        try:
            return await operate(client)
        except (OSError, TimeoutError) as error:
            click.echo(f"can't reach {control_address}: {error}", err=True)
            return ExitCode.UNREACHABLE

    sys.exit(run_until_stopped(run))


def report_refusal(response: ControlResponse) -> ExitCode:
    """Print a refusal to standard error and return its exit code."""
    detail = f"{response.body.get('error')}: {response.body.get('detail')}"
    click.echo(f"refused: {detail}", err=True)
    retry_after_ms = response.body.get("retry_after_ms")
    if retry_after_ms is not None:
        click.echo(f"try again after {retry_after_ms} ms", err=True)
    return ExitCode.REFUSED
