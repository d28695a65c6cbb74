"""Commands that apply, check or revert changes."""

from __future__ import annotations

import asyncio
import getpass
import secrets
import sys
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

import click

from flamingohead.commands.sessions import (
    add_control_options,
    report_refusal,
    run_session,
)
from flamingohead.core.errors import Refusal
from flamingohead.core.sheets import check_sheet
from flamingohead.core.validation import validate_snapshot
from flamingohead.exits import ExitCode
from flamingohead.platform.documents import decode_document

if TYPE_CHECKING:
    from flamingohead.control import ControlClient

POLL_INTERVAL_SECONDS = 0.2
DOCUMENT_SUFFIX = ".json"
INCOMPLETE_MESSAGE = "failure domains can't be listed while the table is away"


@dataclass(frozen=True)
class Convergence:
    """Describe how many of the queried daemons have reached a version.

    ``behind`` names those that have not; ``complete`` is false if there may be failure
    domains that were not queried.
    """

    behind: tuple[str, ...]
    total: int
    complete: bool

    @property
    def is_reached(self) -> bool:
        return self.complete and not self.behind


@dataclass(frozen=True)
class ChangeOptions:
    """Represent the options common to all changes."""

    author: str
    change_id: str
    base: int | None
    wait: bool
    timeout: float
    dry_run: bool = False


def add_change_options(command):
    """Add the options common to all changes."""
    options = (
        click.option("--wait", is_flag=True, help="wait until the version is in force"),
        click.option(
            "--timeout", default=30.0, show_default=True, help="seconds to wait"
        ),
        click.option("--base", type=int, help="version that the change is based on"),
        click.option(
            "--author", default=getpass.getuser, help="author recorded with the version"
        ),
        click.option(
            "--change-id", help="id of an earlier attempt whose response was lost"
        ),
    )
    for option in options:
        command = option(command)
    return add_control_options(command)


@click.command()
@click.argument("path", type=click.Path(exists=True, dir_okay=False))
def check(path: str) -> None:
    """Check a sheet or a configuration document (.json) without a daemon.

    Example: flamingohead check examples/kente-mirror.csv
    """
    if path.endswith(DOCUMENT_SUFFIX):
        count = _count_document_resources(path)
    else:
        count = len(check_sheet(_read_sheet(path)).resources)
    click.echo(f"{path}: {count} resources, no problem")


def _count_document_resources(path: str) -> int:
    """Return the number of resources; exit if a daemon would reject them."""
    with open(path, "rb") as file:
        snapshot = decode_document(file.read())
    if isinstance(snapshot, Refusal):
        problems = [snapshot.detail]
    else:
        problems = [str(problem) for problem in validate_snapshot(snapshot)]
    for problem in problems:
        click.echo(f"{path}: {problem}", err=True)
    if problems:
        sys.exit(ExitCode.REFUSED)
    return len(snapshot.resources)


@click.command()
@click.argument("sheet", type=click.Path(exists=True, dir_okay=False))
@click.option(
    "--dry-run", is_flag=True, help="show what would change, without changing it"
)
@add_change_options
def apply(
    sheet: str,
    dry_run: bool,
    wait: bool,
    timeout: float,
    base: int | None,
    author: str,
    change_id: str | None,
    control_address: str,
    control_token: str,
) -> None:
    """Apply SHEET as a new version.

    Example: flamingohead apply examples/kente-mirror.csv --wait
    """
    text = _read_sheet(sheet)
    options = ChangeOptions(
        author, choose_change_id(change_id, base), base, wait, timeout, dry_run
    )

    async def operate(client: ControlClient) -> int:
        return await _send_change(client, "/changes", {"sheet": text}, options)

    run_session(control_address, control_token, operate)


@click.command()
@click.argument("version", type=click.IntRange(min=1))
@add_change_options
def revert(
    version: int,
    wait: bool,
    timeout: float,
    base: int | None,
    author: str,
    change_id: str | None,
    control_address: str,
    control_token: str,
) -> None:
    """Apply the content of VERSION again, as a new version.

    Example: flamingohead revert 12 --wait
    """
    options = ChangeOptions(
        author, choose_change_id(change_id, base), base, wait, timeout
    )

    async def operate(client: ControlClient) -> int:
        return await _send_change(client, "/reverts", {"version": version}, options)

    run_session(control_address, control_token, operate)


def choose_change_id(change_id: str | None, base: int | None) -> str:
    """Return the change id to send; a repeated id is safe only with the same base."""
    if change_id is None:
        return secrets.token_hex(12)
    if base is None:
        raise click.UsageError("--change-id requires the --base of the earlier attempt")
    return change_id


def _read_sheet(path: str) -> str:
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except UnicodeDecodeError as error:
        click.echo(f"{path}: not UTF-8 at byte {error.start}", err=True)
        sys.exit(ExitCode.REFUSED)
    problems = check_sheet(text).problems
    for problem in problems:
        click.echo(f"{path}: {problem}", err=True)
    if problems:
        click.echo(f"{path}: nothing was changed", err=True)
        sys.exit(ExitCode.REFUSED)
    return text


async def _send_change(
    client: ControlClient, path: str, content: dict, options: ChangeOptions
) -> int:
    base = options.base
    if base is None:
        status = await client.get("/status")
        if not status.is_ok:
            return report_refusal(status)
        base = status.body["version"]
    body = {
        "change_id": options.change_id,
        "author": options.author,
        "base_version": base,
        **content,
    }
    if options.dry_run:
        body["dry_run"] = True
    try:
        response = await client.post(path, body)
    except (OSError, TimeoutError) as error:
        return _report_unknown(options.change_id, base, error)
    if not response.is_ok:
        if response.body.get("ran") == "unknown":
            return _report_unknown(options.change_id, base, response.body.get("detail"))
        return report_refusal(response)
    for line in response.body.get("differences", []):
        click.echo(line)
    if options.dry_run:
        click.echo(
            f"nothing was changed; {len(response.body['differences'])} differences"
        )
        return ExitCode.DONE
    version = response.body["version"]
    if response.body["changed"]:
        click.echo(f"accepted as version {version}")
    else:
        click.echo(f"nothing to change: version {version} holds it already")
    if not options.wait:
        return ExitCode.DONE
    return await _wait_in_force(client, version, time.monotonic() + options.timeout)


def _report_unknown(change_id: str, base: int, error: object) -> ExitCode:
    click.echo(
        f"not known yet whether the change was accepted ({error}); ask again with "
        f"--change-id {change_id} --base {base}",
        err=True,
    )
    return ExitCode.UNKNOWN


async def _wait_in_force(client: ControlClient, version: int, deadline: float) -> int:
    started_at = time.monotonic()
    convergence = Convergence((), 0, False)
    while time.monotonic() < deadline:
        response = await client.get("/convergence")
        if response.is_ok:
            convergence = read_convergence(response.body, version)
            if convergence.is_reached:
                seconds = time.monotonic() - started_at
                total = convergence.total
                click.echo(f"in force on {total} of {total} after {seconds:.2f} s")
                return ExitCode.DONE
        await asyncio.sleep(POLL_INTERVAL_SECONDS)
    click.echo("not in force on: " + ", ".join(convergence.behind), err=True)
    if not convergence.complete:
        click.echo(INCOMPLETE_MESSAGE, err=True)
    return ExitCode.NOT_IN_FORCE


def read_convergence(body: dict, version: int) -> Convergence:
    """Return which daemons have not reached ``version``."""
    behind: list[str] = []
    total = 0
    for domain in body["domains"]:
        total += len(domain["members"]) + len(domain["unreachable"])
        behind += [h for h, active in domain["members"].items() if active < version]
        behind += [f"{domain['failure_domain']}/{h}" for h in domain["unreachable"]]
    return Convergence(tuple(behind), total, body["complete"])


COMMANDS = (apply, check, revert)
