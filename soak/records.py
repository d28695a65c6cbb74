"""What callers, probes and upstreams have seen, in seconds of the monotonic clock."""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pathlib import Path

# The connection ended, or the caller gave up, before a whole answer.
NO_ANSWER = 0


@dataclass(frozen=True)
class Outcome:
    """Hold one request of a caller; ``status`` 0 stands for no answer."""

    request_id: str
    host: str
    safe: bool
    sent_at: float
    ended_at: float
    status: int
    body: bytes = b""
    stamp: str = ""
    gave_up: bool = False


@dataclass(frozen=True)
class Sighting:
    """Hold what a probe learned of the version in force at a process of a host.

    ``served`` tells whether ``version`` or a later one was in force.
    """

    host: str
    process: int
    sent_at: float
    version: int
    served: bool


@dataclass(frozen=True)
class Run:
    """Record that an upstream began to work on a request."""

    request_id: str
    upstream: str
    at: float


@dataclass(frozen=True)
class Disturbance:
    """Record a fault; ``host`` is empty if every host felt it."""

    name: str
    host: str
    began_at: float
    ended_at: float


@dataclass
class Records:
    """Collect all that the promises are checked against."""

    outcomes: list[Outcome] = field(default_factory=list)
    sightings: list[Sighting] = field(default_factory=list)
    disturbances: list[Disturbance] = field(default_factory=list)
    # When the store acknowledged each version.
    versions: dict[int, float] = field(default_factory=dict)
    runs: list[Run] = field(default_factory=list)
    # When each upstream got the acknowledgement of its leave.
    leaves: dict[str, float] = field(default_factory=dict)
    calm_from: float = 0.0
    # Hosts whose daemon ended though nothing had ended it.
    own_ends: list[str] = field(default_factory=list)

    def read_journal(self, path: Path) -> None:
        """Take the lines that an upstream has written."""
        for line in path.read_text().splitlines():
            entry = json.loads(line)
            if entry["event"] == "run":
                self.runs.append(Run(entry["id"], entry["upstream"], entry["at"]))
            else:
                self.leaves.setdefault(entry["upstream"], entry["at"])

    def is_calm(self, host: str, start: float, end: float) -> bool:
        """Tell whether no fault touched a host between two moments."""
        return not any(
            d.began_at <= end and d.ended_at >= start and d.host in ("", host)
            for d in self.disturbances
        )
