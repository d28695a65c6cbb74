"""Commands that read the version log: history, show, diff."""

from __future__ import annotations

import json
import time
from typing import TYPE_CHECKING

import click

from flamingohead.commands.sessions import (
    add_control_options,
    report_refusal,
    run_session,
)
from flamingohead.exits import ExitCode

if TYPE_CHECKING:
    from flamingohead.control import ControlClient

JSON_OPTION = click.option("--json", "as_json", is_flag=True, help="print JSON")


@click.command()
@click.option("--limit", default=20, show_default=True, help="versions to list")
@JSON_OPTION
@add_control_options
def history(
    limit: int, as_json: bool, control_address: str, control_token: str
) -> None:
    """List the newest versions, with author and change id.

    Example: flamingohead history --limit 5
    """

    async def operate(client: ControlClient) -> int:
        response = await client.get(f"/versions?limit={limit}")
        if not response.is_ok:
            return report_refusal(response)
        if as_json:
            click.echo(json.dumps(response.body["versions"], indent=1))
            return ExitCode.DONE
        for row in response.body["versions"]:
            accepted = time.strftime(
                "%Y-%m-%d %H:%M:%SZ", time.gmtime(row["accepted_at"])
            )
            click.echo(
                f"{row['version']:>8}  {accepted}  {row['author']:<16} "
                f"{row['change_id']}  {row['touched']} resources"
            )
        return ExitCode.DONE

    run_session(control_address, control_token, operate)


@click.command()
@click.argument("version", type=click.IntRange(min=1))
@JSON_OPTION
@add_control_options
def show(version: int, as_json: bool, control_address: str, control_token: str) -> None:
    """Print the resources of VERSION.

    Example: flamingohead show 3
    """

    async def operate(client: ControlClient) -> int:
        response = await client.get(f"/versions/{version}")
        if not response.is_ok:
            return report_refusal(response)
        if as_json:
            click.echo(json.dumps(response.body, indent=1))
            return ExitCode.DONE
        click.echo(f"version {version} digest {response.body['digest']}")
        for resource in response.body["resources"]:
            kind = resource.pop("kind")
            cells = " ".join(f"{name}={value}" for name, value in resource.items())
            click.echo(f"{kind:<8} {cells}")
        return ExitCode.DONE

    run_session(control_address, control_token, operate)


@click.command()
@click.argument("before", type=click.IntRange(min=0))
@click.argument("after", type=click.IntRange(min=1))
@add_control_options
def diff(before: int, after: int, control_address: str, control_token: str) -> None:
    """Print what changed from version BEFORE to version AFTER.

    Exits with 7 if the versions differ. Example: flamingohead diff 3 5
    """

    async def operate(client: ControlClient) -> int:
        response = await client.get(f"/differences?before={before}&after={after}")
        if not response.is_ok:
            return report_refusal(response)
        for line in response.body["differences"]:
            click.echo(line)
        return ExitCode.DIFFERENT if response.body["differences"] else ExitCode.DONE

    run_session(control_address, control_token, operate)


COMMANDS = (history, show, diff)
