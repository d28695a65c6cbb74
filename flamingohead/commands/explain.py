"""The story of one request, from the logs of several daemons."""

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

# A call that an upstream makes has the id of its request, a dot and a part of its own.
NESTED_SEPARATOR = "."
GONE_STATUSES = frozenset(("DEAD", "LEFT"))


@dataclass
class _Belief:
    """Keep what a daemon has said that it believes."""

    host: str
    version: str = "none"
    members: dict[str, str] = field(default_factory=dict)
    upstreams: dict[str, str] = field(default_factory=dict)

    def take(self, event: int, fields: dict[str, str]) -> None:
        """Take a line that changes what the daemon believes."""
        if event == Event.DAEMON_STARTED.value.number:
            self.host = fields.get("host", self.host)
        elif event == Event.VERSION_ACTIVATED.value.number:
            self.version = fields.get("version", self.version)
        elif event == Event.MEMBER_CHANGED.value.number:
            self.members[fields.get("host", "?")] = fields.get("status", "?")
        elif event == Event.UPSTREAM_CHANGED.value.number:
            self.upstreams[fields.get("upstream", "?")] = fields.get("status", "?")

    def describe(self) -> str:
        present = sum(s not in GONE_STATUSES for s in self.members.values())
        changed = [f"{n} {s}" for n, s in self.members.items() if s != "ALIVE"]
        parts = [f"version {self.version}", f"{present} other members seen"]
        parts += changed
        parts += [f"{name} {status} here" for name, status in self.upstreams.items()]
        return ", ".join(parts)


@dataclass(frozen=True)
class Moment:
    """Hold one line about a request; ``at`` in seconds since the epoch."""

    at: float
    host: str
    text: str
    belief: str


def read_moments(request_id: str, files: Iterable[TextIO]) -> list[Moment]:
    """Return what daemons have logged of a request and its calls, in order."""
    moments: list[Moment] = []
    for file in files:
        moments += _read_file(request_id, file)
    return sorted(moments, key=lambda moment: moment.at)


def _read_file(request_id: str, file: TextIO) -> Iterator[Moment]:
    """Follow the log of one daemon; lines of others may be named by a prefix."""
    beliefs: dict[str, _Belief] = {}
    for line in file:
        prefix, brace, rest = line.partition("{")
        try:
            entry = json.loads(brace + rest)
            event, fields = entry["event"], entry["fields"]
            at = float(entry["time"])
        except (ValueError, KeyError, TypeError):
            # Output of other programs may share the file.
            continue
        name = prefix.split()[-1] if prefix.split() else file.name
        belief = beliefs.setdefault(name, _Belief(name))
        belief.take(event, fields)
        found = fields.get("request", "")
        if found != request_id and not found.startswith(request_id + NESTED_SEPARATOR):
            continue
        details = " ".join(f"{key}={value}" for key, value in fields.items())
        text = f"E{event} {entry['message']}: {details}"
        yield Moment(at, belief.host, text, belief.describe())


@click.command()
@click.argument("request_id")
@click.argument("files", nargs=-1, required=True, type=click.File())
def explain(request_id: str, files: tuple[TextIO, ...]) -> None:
    """Print what the daemons decided about a request, and what they believed then.

    FILES are logs of daemons in JSON. Exits with 7 if none of them names the request.
    Example: flamingohead explain 8de124f300cdda44 host-a.log host-b.log
    """
    moments = read_moments(request_id, files)
    told: dict[str, str] = {}
    for moment in moments:
        time = datetime.fromtimestamp(moment.at, UTC).strftime("%H:%M:%S.%f")[:-3]
        click.echo(f"{time} {moment.host} {moment.text}")
        if told.get(moment.host) != moment.belief:
            click.echo(f"{'':12} {moment.host} believed: {moment.belief}")
            told[moment.host] = moment.belief
    if not moments:
        click.echo(f"no line about {request_id} in {len(files)} files", err=True)
        sys.exit(int(ExitCode.DIFFERENT))


COMMANDS = (explain,)
