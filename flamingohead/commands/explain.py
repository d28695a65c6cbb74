"""Command that traces a request through the logs of several daemons."""

from __future__ import annotations

import json
import sys
from dataclasses import dataclass, field
from datetime import UTC, datetime
from typing import TYPE_CHECKING, TextIO

import click

from flamingohead.events import Event
from flamingohead.exits import ExitCode

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

# The id of a nested call is the id of its request, a dot and a part of its own.
NESTED_SEPARATOR = "."
REMOVED_STATUSES = frozenset(("DEAD", "LEFT"))


@dataclass
class _DaemonState:
    """Track the state of the mesh as a daemon has logged it."""

    host: str
    version: str = "none"
    members: dict[str, str] = field(default_factory=dict)
    upstreams: dict[str, str] = field(default_factory=dict)

    def apply(self, number: int, fields: dict[str, str]) -> None:
        """Apply a logged event that changes the state."""
        if number == Event.DAEMON_STARTED.value.number:
            self.host = fields.get("host", self.host)
        elif number == Event.VERSION_ACTIVATED.value.number:
            self.version = fields.get("version", self.version)
        elif number == Event.MEMBER_CHANGED.value.number:
            self.members[fields.get("host", "?")] = fields.get("status", "?")
        elif number == Event.UPSTREAM_CHANGED.value.number:
            self.upstreams[fields.get("upstream", "?")] = fields.get("status", "?")

    def describe(self) -> str:
        present = sum(s not in REMOVED_STATUSES for s in self.members.values())
        changed = [f"{n} {s}" for n, s in self.members.items() if s != "ALIVE"]
        parts = [f"version {self.version}", f"{present} other members seen"]
        parts += changed
        parts += [f"{name} {status} here" for name, status in self.upstreams.items()]
        return ", ".join(parts)


@dataclass(frozen=True)
class RequestEvent:
    """Represent a logged event of a request; ``at`` in seconds since the epoch.

    ``state`` describes what the daemon knew about the mesh at that time.
    """

    at: float
    host: str
    text: str
    state: str


def read_events(request_id: str, files: Iterable[TextIO]) -> list[RequestEvent]:
    """Return the events of a request and its nested calls, ordered by time."""
    events: list[RequestEvent] = []
    for file in files:
        events += _read_file(request_id, file)
    return sorted(events, key=lambda event: event.at)


def _read_file(request_id: str, file: TextIO) -> Iterator[RequestEvent]:
    """Read a log file, in which a prefix may name the daemon of each line."""
    states: dict[str, _DaemonState] = {}
    for line in file:
        prefix, brace, body = line.partition("{")
        try:
            entry = json.loads(brace + body)
            number, fields = entry["event"], entry["fields"]
            at = float(entry["time"])
        except (ValueError, KeyError, TypeError):
            # The file may also contain output of other programs.
            continue
        name = prefix.split()[-1] if prefix.split() else file.name
        state = states.setdefault(name, _DaemonState(name))
        state.apply(number, fields)
        logged_id = fields.get("request", "")
        if logged_id != request_id and not logged_id.startswith(
            request_id + NESTED_SEPARATOR
        ):
            continue
        details = " ".join(f"{key}={value}" for key, value in fields.items())
        text = f"E{number} {entry['message']}: {details}"
        yield RequestEvent(at, state.host, text, state.describe())


@click.command()
@click.argument("request_id")
@click.argument("files", nargs=-1, required=True, type=click.File())
def explain(request_id: str, files: tuple[TextIO, ...]) -> None:
    """Print the decisions of daemons about a request and their state at that time.

    FILES are JSON logs of daemons. Exits with 7 if none of them contains the request.
    Example: flamingohead explain 8de124f300cdda44 host-a.log host-b.log
    """
    events = read_events(request_id, files)
    printed_states: dict[str, str] = {}
    for event in events:
        time = datetime.fromtimestamp(event.at, UTC).strftime("%H:%M:%S.%f")[:-3]
        click.echo(f"{time} {event.host} {event.text}")
        if printed_states.get(event.host) != event.state:
            click.echo(f"{'':12} {event.host} believed: {event.state}")
            printed_states[event.host] = event.state
    if not events:
        click.echo(f"no line about {request_id} in {len(files)} files", err=True)
        sys.exit(int(ExitCode.DIFFERENT))


COMMANDS = (explain,)
