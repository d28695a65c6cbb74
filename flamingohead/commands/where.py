"""Command that explains where a request would go now, without sending it."""

from __future__ import annotations

import http.client
import json
import sys
from urllib.parse import urlencode

import click

from flamingohead.addresses import check_address, split_address
from flamingohead.exits import ExitCode

TIMEOUT_SECONDS = 5.0
# Several times the size of a response with the maximum number of candidates.
MAX_RESPONSE_BYTES = 1024 * 1024


def _check_address(context, parameter, value: str) -> str:
    try:
        return check_address(value)
    except ValueError as error:
        raise click.BadParameter(str(error)) from error


def fetch_explanation(address: str, parameters: dict[str, str]) -> tuple[int, dict]:
    """Return the status and the decoded body of a daemon's response.

    Raises ``OSError`` if the daemon is unreachable, and ``ValueError`` if its response
    is no explanation.
    """
    host, port = split_address(address)
    connection = http.client.HTTPConnection(host, port, timeout=TIMEOUT_SECONDS)
    try:
        connection.request("GET", f"/placement?{urlencode(parameters)}")
        response = connection.getresponse()
        content = response.read(MAX_RESPONSE_BYTES)
    except http.client.HTTPException as error:
        raise ValueError(f"no HTTP response: {type(error).__name__}") from error
    finally:
        connection.close()
    try:
        body = json.loads(content)
    except ValueError:
        body = None
    if not isinstance(body, dict) or not {"refusal", "error"} & body.keys():
        raise ValueError(f"status {response.status} without an explanation")
    return response.status, body


@click.command()
@click.argument("address", callback=_check_address)
@click.option("--host", required=True, help="Host header of the request")
@click.option("--path", required=True, help="path of the request")
@click.option("--method", default="GET", show_default=True, help="method")
@click.option("--organisation", default="", help="name of the caller's organisation")
@click.option("--deadline-ms", type=click.IntRange(min=0), help="time of the caller")
@click.option("--body-bytes", type=click.IntRange(min=0), help="size of the body")
@click.option("--json", "as_json", is_flag=True, help="print JSON")
def where(
    address: str,
    host: str,
    path: str,
    method: str,
    organisation: str,
    deadline_ms: int | None,
    body_bytes: int | None,
    as_json: bool,
) -> None:
    """Explain where a request would go now, and why, without sending it.

    ADDRESS is the metrics address (IP:PORT) of the daemon that the request would enter.
    Exits with 3 if the request would be refused.
    Example: flamingohead where 10.0.0.7:9464 --host ledger.example --path /a/x
    """
    # The part after "?" takes no part in the decision, and may contain secrets.
    path = path.partition("?")[0]
    parameters = {"host": host, "path": path, "method": method}
    if organisation:
        parameters["organisation"] = organisation
    if deadline_ms is not None:
        parameters["deadline_ms"] = str(deadline_ms)
    if body_bytes is not None:
        parameters["body_bytes"] = str(body_bytes)
    try:
        status, body = fetch_explanation(address, parameters)
    except (OSError, ValueError) as error:
        click.echo(f"can't reach {address}: {error}", err=True)
        sys.exit(int(ExitCode.UNREACHABLE))
    if status != 200:
        click.echo(f"refused: {body.get('error')}", err=True)
        sys.exit(int(ExitCode.USAGE))
    if as_json:
        click.echo(json.dumps(body, indent=1))
    else:
        for line in format_explanation(body):
            click.echo(line)
    sys.exit(int(ExitCode.DONE if body["refusal"] is None else ExitCode.REFUSED))


def format_explanation(body: dict) -> list[str]:
    """Return the lines that show an explanation."""
    lines = [f"daemon {body['daemon']}, configuration version {body['version']}"]
    if "route" in body:
        lines += _format_route(body)
    for service in body.get("services", []):
        lines += _format_service(service)
    if body["refusal"] is not None:
        lines.append("outcome: refused with " + _format_refusal(body["refusal"]))
    elif any(service["refusal"] for service in body["services"]):
        lines.append("outcome: refused if it is the turn of a service that refuses")
    else:
        lines.append("outcome: the request would be sent to an upstream")
    return lines


def _format_route(body: dict) -> list[str]:
    route, rank, keys = body["route"], body["rank"], body["keys"]
    lines = [
        f"route {route['name']}, "
        f"at most {route['max_attempts']} attempts, "
        f"time-out {body['request']['timeout_ms']} ms",
        f"rank {rank['name']}: order {rank['order']}, target {rank['target_ms']} ms",
    ]
    age = keys["confirmation_age_s"]
    confirmed = "never" if age is None else f"{age:.1f} s ago"
    lines.append(
        f"keys {'are' if keys['required'] else 'are not'} required and would "
        f"{'be' if keys['accepted'] else 'not be'} accepted now; configuration "
        f"confirmed {confirmed}{', strict-revoke' if keys['strict'] else ''}"
    )
    if body["organisation"] is not None:
        lines.append(_format_limit(body["organisation"], body["limit"]))
    return lines


def _format_limit(organisation: str, limit: dict | None) -> str:
    if limit is None:
        return f"organisation {organisation}: no limit"
    binding = "" if limit["is_binding"] else ", new and not binding yet"
    return (
        f"organisation {organisation}: {limit['rate_per_second']:g}/s, burst "
        f"{limit['burst']:g}{binding}; {limit['tokens_held']} tokens here, "
        f"allocated by {limit['allocator'] or 'no host'}; "
        f"{limit['waiting']} wait; decision: {limit['decision']}"
    )


def _format_service(service: dict) -> list[str]:
    weight = service["weight"]
    share = "" if weight is None else f", weight {weight} (services take turns)"
    cached = service["overload_cache"]
    lines = [
        f"service {service['service']}{share}",
        "  overload cache: " + ("empty" if cached is None else _format_refusal(cached)),
        f"  usual service time {_format_ms(service['usual_service_ms'])} ms, "
        f"{service['local_upstreams']} upstreams in the failure domain, "
        f"{service['remote_upstreams']} in others",
    ]
    if service["is_sampled"]:
        lines.append(
            f"  each request compares a random {service['local_sample']} and "
            f"{service['remote_sample']} of them"
        )
    if service["candidates"]:
        lines.append(
            f"  {'':1} {'host':<18} {'upstream':<18} {'domain':<10} "
            f"{'load':>6} {'limit':>5} {'slots':>5} {'wait':>4} {'ms':>6} "
            f"{'fails':>5} {'cost':>7}  parts"
        )
    lines += [_format_candidate(candidate) for candidate in service["candidates"]]
    if service["not_shown"]:
        lines.append(
            f"  and {service['not_shown']} more, {service['not_compared']} of them "
            "not compared"
        )
    if service["candidates"]:
        lines.append(
            "  * lowest cost, ~ tied with it (one is chosen at random); the request "
            f"{'could' if service['may_queue'] else 'could not'} queue at first"
        )
    if service["refusal"] is not None:
        lines.append("  refused with " + _format_refusal(service["refusal"]))
    return lines


def _format_candidate(candidate: dict) -> str:
    mark = "*" if candidate["lowest"] else "~" if candidate["tied"] else " "
    parts = [
        f"{name} {part:g}" for name, part in candidate["cost_parts"].items() if part
    ]
    late = "" if candidate["body_arrives"] else "; the body arrives too late"
    return (
        f"  {mark} {candidate['host']:<18} {candidate['upstream']:<18} "
        f"{candidate['failure_domain']:<10} {candidate['occupancy']:>6.1f} "
        f"{candidate['limit']:>5} {candidate['slots']:>5} {candidate['waiting']:>4} "
        f"{_format_ms(candidate['service_ms']):>6} {candidate['failure_rate']:>5.0%} "
        f"{candidate['cost']:>7.2f}  {', '.join(parts)}{late}"
    )


def _format_ms(value: float) -> str:
    """Return a service time; it is 0 until a first response has shown it."""
    return f"{value:.0f}" if value else "?"


def _format_refusal(refusal: dict) -> str:
    retry = refusal["retry_after_ms"]
    after = "" if retry is None else f", retry after {retry} ms"
    return f"{refusal['status']} {refusal['kind']}: {refusal['detail']}{after}"


COMMANDS = (where,)
