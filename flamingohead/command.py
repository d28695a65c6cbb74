"""The command line."""

from __future__ import annotations

import asyncio
import getpass
import secrets
import sys
import time

import click
from pydantic import ValidationError

from flamingohead.core.sheets import parse_sheet
from flamingohead.services.reactor import install_reactor, run_until_stopped
from flamingohead.settings import DaemonSettings, get_environment_name

EXIT_REFUSED = 3
EXIT_UNKNOWN = 4
EXIT_NOT_CONVERGED = 5
WAIT_PERIOD = 0.2


@click.group()
def main() -> None:
    """Distribute the configuration of a service mesh."""


def add_settings_options(command):
    """Add one option for each setting of a daemon."""
    for name, field in reversed(DaemonSettings.model_fields.items()):
        command = click.option(
            "--" + name.replace("_", "-"),
            name,
            envvar=get_environment_name(name),
            show_envvar=True,
            help=field.description,
        )(command)
    return command


def add_control_options(command):
    """Add the options that locate a daemon's operators' endpoint."""
    command = click.option(
        "--control-token",
        envvar="FLAMINGOHEAD_CONTROL_TOKEN",
        required=True,
        help="token of the operators' endpoint",
    )(command)
    return click.option(
        "--control-address",
        envvar="FLAMINGOHEAD_CONTROL_ADDRESS",
        required=True,
        help="IP:PORT of any daemon's operators' endpoint",
    )(command)


@main.command()
@add_settings_options
def daemon(**values) -> None:
    """Run the daemon of one upstream host.

    Example: flamingohead daemon --host-id a1 --failure-domain osu ...
    """
    given = {name: value for name, value in values.items() if value is not None}
    try:
        settings = DaemonSettings(**given)
    except ValidationError as error:
        for problem in error.errors():
            name = str(problem["loc"][0])
            option = "--" + name.replace("_", "-")
            value = "missing" if problem["type"] == "missing" else problem["input"]
            click.echo(
                f"{option} ({get_environment_name(name)}): {value!r}: {problem['msg']}",
                err=True,
            )
        sys.exit(2)
    install_reactor()
    from flamingohead.daemon import run_daemon

    sys.exit(run_until_stopped(lambda: run_daemon(settings)))


@main.command()
@click.argument("sheet", type=click.Path(exists=True, dir_okay=False))
@click.option("--wait", is_flag=True, help="wait until the version is in force")
@click.option("--timeout", default=30.0, help="seconds to wait", show_default=True)
@click.option("--base", type=int, help="version that the sheet was made from")
@click.option("--author", default=getpass.getuser, help="name kept with the change")
@click.option("--change-id", help="id of an earlier try whose answer was lost")
@add_control_options
def apply(
    sheet: str,
    wait: bool,
    timeout: float,
    base: int | None,
    author: str,
    change_id: str | None,
    control_address: str,
    control_token: str,
) -> None:
    """Turn SHEET into an accepted version.

    Example: flamingohead apply examples/kente-mirror.csv --wait
    """
    with open(sheet, encoding="utf-8") as file:
        text = file.read()
    problems = parse_sheet(text).problems
    if problems:
        for problem in problems:
            click.echo(f"{sheet}: {problem}", err=True)
        sys.exit(EXIT_REFUSED)
    install_reactor()
    from flamingohead.control import ControlClient

    client = ControlClient(control_address, control_token)
    change_id = change_id or secrets.token_hex(12)

    async def run() -> int:
        return await _apply(client, text, base, author, change_id, wait, timeout)

    sys.exit(run_until_stopped(run))


async def _apply(client, text, base, author, change_id, wait, timeout) -> int:
    try:
        if base is None:
            base = (await client.get("/status")).body.get("version", 0)
        body = {
            "change_id": change_id,
            "author": author,
            "base_version": base,
            "sheet": text,
        }
        answer = await client.post("/changes", body)
    except (OSError, TimeoutError) as error:
        return _report_unknown(change_id, base, error)
    if not answer.is_ok:
        detail = f"{answer.body.get('error')}: {answer.body.get('detail')}"
        if answer.body.get("ran") == "unknown":
            return _report_unknown(change_id, base, detail)
        click.echo(f"refused: {detail}", err=True)
        return EXIT_REFUSED
    version = answer.body["version"]
    click.echo(f"accepted as version {version}")
    if not wait:
        return 0
    return await _wait_in_force(client, version, time.monotonic() + timeout)


def _report_unknown(change_id: str, base: int | None, error: object) -> int:
    click.echo(
        f"not known yet whether the change was accepted ({error}); ask again with "
        f"--change-id {change_id} --base {base}",
        err=True,
    )
    return EXIT_UNKNOWN


async def _wait_in_force(client, version: int, deadline: float) -> int:
    started_at = time.monotonic()
    behind: list[str] = []
    while time.monotonic() < deadline:
        answer = await client.get("/convergence")
        behind, total = _count_behind(answer.body, version)
        if not behind:
            seconds = time.monotonic() - started_at
            click.echo(f"in force on {total} of {total} after {seconds:.2f} s")
            return 0
        await asyncio.sleep(WAIT_PERIOD)
    click.echo("not in force on: " + ", ".join(behind), err=True)
    return EXIT_NOT_CONVERGED


def _count_behind(body: dict, version: int) -> tuple[list[str], int]:
    behind = []
    total = 0
    for domain in body["domains"]:
        total += len(domain["members"]) + len(domain["unreachable"])
        behind += [h for h, held in domain["members"].items() if held < version]
        behind += [f"{domain['failure_domain']}/{h}" for h in domain["unreachable"]]
    return behind, total
