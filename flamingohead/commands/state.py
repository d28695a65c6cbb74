"""Commands for the running mesh: status, drain, undrain, compare."""

from __future__ import annotations

import json
import sys
from typing import TYPE_CHECKING

import click

from flamingohead.commands.changes import (
    INCOMPLETE_MESSAGE,
    Convergence,
    read_convergence,
)
from flamingohead.commands.sessions import (
    add_control_options,
    report_refusal,
    run_session,
)
from flamingohead.exits import ExitCode

if TYPE_CHECKING:
    from flamingohead.control import ControlClient


@click.command()
@click.option("--json", "as_json", is_flag=True, help="print JSON")
@add_control_options
def status(as_json: bool, control_address: str, control_token: str) -> None:
    """Show the newest version, daemons behind, members, upstreams and their load.

    Exits with 5 if a daemon is behind. Example: flamingohead status
    """

    async def operate(client: ControlClient) -> int:
        local = await client.get("/status")
        if not local.is_ok:
            return report_refusal(local)
        reply = await client.get("/convergence")
        if not reply.is_ok:
            return report_refusal(reply)
        version = _find_newest_version(local.body, reply.body)
        convergence = read_convergence(reply.body, version)
        if as_json:
            body = {
                "version": version,
                "daemons": convergence.total,
                "behind": convergence.behind,
                "complete": convergence.complete,
                "daemon": local.body,
                "domains": reply.body["domains"],
            }
            click.echo(json.dumps(body, indent=1))
        else:
            _print_status(local.body, version, convergence)
        return ExitCode.DONE if convergence.is_reached else ExitCode.NOT_IN_FORCE

    run_session(control_address, control_token, operate)


def _find_newest_version(local: dict, reply: dict) -> int:
    versions = [local["version"]]
    for domain in reply["domains"]:
        versions += domain["members"].values()
    return max(versions)


def _print_status(local: dict, version: int, convergence: Convergence) -> None:
    up_to_date = convergence.total - len(convergence.behind)
    click.echo(
        f"version {version} in force on {up_to_date} of {convergence.total} daemons"
    )
    if convergence.behind:
        click.echo("behind: " + ", ".join(convergence.behind))
    if not convergence.complete:
        click.echo(INCOMPLETE_MESSAGE)
    for rejected in local.get("rejected", []):
        click.echo(f"not taken: version {rejected['version']}: {rejected['reason']}")
    for observed in local["observed"]:
        count = len(observed["differences"])
        click.echo(f"observed: {observed['service']}: {count} differences")
        for line in observed["differences"]:
            click.echo(f"    {line}")
    click.echo(f"asked: {local['host_id']} in {local['failure_domain']}")
    click.echo(
        f"{'host':<20} {'state':<8} {'upstream':<28} {'service':<18} "
        f"{'state':<9} {'slots':>5} {'load':>5} {'in use':>6} {'waiting':>7}"
    )
    for member in local["members"]:
        upstreams = member["upstreams"] or [None]
        for upstream in upstreams:
            click.echo(_format_member(member, upstream))


def _format_member(member: dict, upstream: dict | None) -> str:
    text = f"{member['host_id']:<20} {member['status']:<8}"
    if upstream is None:
        return text
    in_use = _format_count(upstream["in_use"])
    waiting = _format_count(upstream["waiting"])
    return (
        f"{text} {upstream['name']:<28} {upstream['service']:<18} "
        f"{upstream['status']:<9} {upstream['slots']:>5} {upstream['load']:>5.0%} "
        f"{in_use:>6} {waiting:>7}"
    )


def _format_count(count: int | None) -> str:
    return "" if count is None else str(count)


@click.command()
@click.argument("upstream")
@add_control_options
def drain(upstream: str, control_address: str, control_token: str) -> None:
    """Stop sending new requests to UPSTREAM; requests in progress finish.

    Stays in effect until undrain, or until the daemon of its host restarts.
    Example: flamingohead drain stall-ledger-3
    """
    _set_drain(upstream, True, control_address, control_token)


@click.command()
@click.argument("upstream")
@add_control_options
def undrain(upstream: str, control_address: str, control_token: str) -> None:
    """Send new requests to UPSTREAM again.

    Example: flamingohead undrain stall-ledger-3
    """
    _set_drain(upstream, False, control_address, control_token)


def _set_drain(
    upstream: str, draining: bool, control_address: str, control_token: str
) -> None:
    async def operate(client: ControlClient) -> int:
        body = {"upstream": upstream, "draining": draining}
        response = await client.post("/drains", body)
        if not response.is_ok:
            return report_refusal(response)
        state = "drains" if draining else "takes work again"
        click.echo(f"{upstream} on {response.body['host_id']} {state}")
        return ExitCode.DONE

    run_session(control_address, control_token, operate)


@click.command()
@click.argument("service")
@click.argument("file", type=click.File("rb"))
@add_control_options
def compare(service: str, file, control_address: str, control_token: str) -> None:
    """Compare SERVICE with FILE, the JSON that the old scripts generated for it.

    Exits with 7 if they differ. Example: flamingohead compare booking old.json
    """
    try:
        body = json.load(file)
    except ValueError as error:
        click.echo(f"{file.name}: not JSON: {error}", err=True)
        sys.exit(ExitCode.USAGE)

    async def operate(client: ControlClient) -> int:
        response = await client.put(f"/legacy/{service}", body)
        if not response.is_ok:
            return report_refusal(response)
        for line in response.body["differences"]:
            click.echo(line)
        return ExitCode.DIFFERENT if response.body["differences"] else ExitCode.DONE

    run_session(control_address, control_token, operate)


COMMANDS = (status, drain, undrain, compare)
