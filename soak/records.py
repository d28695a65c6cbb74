"""Observations of callers, probes and upstreams; times are monotonic seconds."""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pathlib import Path

    from soak.organisations import KeyHistory

# Status of a request whose connection ended, or whose caller timed out, before the
# response was complete.
NO_RESPONSE = 0


@dataclass(frozen=True)
class Outcome:
    """Hold the outcome of one request; ``status`` is 0 without a complete response."""

    request_id: str
    host: str
    safe: bool
    sent_at: float
    ended_at: float
    status: int
    body: bytes = b""
    stamp: str = ""
    timed_out: bool = False
    # Empty if a request had no key although its route requires one, ``None`` if the
    # route requires none.
    key: str | None = None


@dataclass(frozen=True)
class VersionObservation:
    """Hold an observation by a probe of the version in force in a daemon process.

    ``served`` is true if ``version`` or a later one was in force.
    """

    host: str
    pid: int
    sent_at: float
    version: int
    served: bool


@dataclass(frozen=True)
class Execution:
    """Record that an upstream began to execute a request."""

    request_id: str
    upstream: str
    at: float
    organisation: str = ""
    has_key: bool = False


@dataclass(frozen=True)
class FaultInterval:
    """Record a fault; ``host`` is empty if it affected every host."""

    name: str
    host: str
    began_at: float
    ended_at: float


@dataclass(frozen=True)
class Stall:
    """Record that the soak itself, and so each link, stood still."""

    began_at: float
    ended_at: float


@dataclass
class Records:
    """Collect the observations against which the promises are checked."""

    outcomes: list[Outcome] = field(default_factory=list)
    version_observations: list[VersionObservation] = field(default_factory=list)
    fault_intervals: list[FaultInterval] = field(default_factory=list)
    # Time at which the store acknowledged each version.
    versions: dict[int, float] = field(default_factory=dict)
    executions: list[Execution] = field(default_factory=list)
    # Ids of the requests that an upstream refused, each with the upstream.
    refusals: set[tuple[str, str]] = field(default_factory=set)
    # Ids of the requests that an upstream never answered, by the reason: ``silent`` as
    # the caller asked for it, ``overflow`` as neither a slot nor its queue had room,
    # and ``unread`` on a connection on which it had stopped to respond.
    unanswered: dict[str, set[str]] = field(
        default_factory=lambda: {"silent": set(), "overflow": set(), "unread": set()}
    )
    # Keys that some configuration contained.
    keys: dict[str, KeyHistory] = field(default_factory=dict)
    # Rate and burst of each organisation that has a limit.
    limits: dict[str, tuple[float, float]] = field(default_factory=dict)
    # Time at which each upstream received the acknowledgement of its leave.
    leave_times: dict[str, float] = field(default_factory=dict)
    # Requests sent from this time on show whether the hosts have recovered.
    recovery_checked_from: float = 0.0
    stalls: list[Stall] = field(default_factory=list)
    # Hosts whose daemon exited although no fault had ended it.
    unexpected_exits: list[str] = field(default_factory=list)

    def read_journal(self, path: Path) -> None:
        """Add the entries of a journal written by the upstreams of a host."""
        for line in path.read_text().splitlines():
            entry = json.loads(line)
            if entry["event"] == "run":
                details = entry.get("organisation", ""), entry.get("has_key", False)
                self.executions.append(
                    Execution(entry["id"], entry["upstream"], entry["at"], *details)
                )
            elif entry["event"] in self.unanswered:
                self.unanswered[entry["event"]].add(entry["id"])
            elif entry["event"] == "refused":
                self.refusals.add((entry["id"], entry["upstream"]))
            elif entry["event"] == "left":
                self.leave_times.setdefault(entry["upstream"], entry["at"])

    def write(self, directory: Path) -> None:
        """Write what callers got, and the faults, beside the logs of the processes."""
        keys = {key: asdict(history) for key, history in self.keys.items()}
        (directory / "keys.json").write_text(json.dumps(keys, indent=1))
        for name, entries in (
            ("outcomes", self.outcomes),
            ("faults", self.fault_intervals),
            ("stalls", self.stalls),
        ):
            with open(directory / f"{name}.jsonl", "w") as file:
                for entry in entries:
                    file.write(json.dumps(asdict(entry), default=repr) + "\n")

    def list_returned(self) -> list[str]:
        """Return the ids of requests that ran on an upstream which had refused them."""
        return [
            execution.request_id
            for execution in self.executions
            if (execution.request_id, execution.upstream) in self.refusals
        ]

    def is_fault_free(self, host: str, start: float, end: float) -> bool:
        """Return whether no fault affected ``host``, or any if empty, in a period."""
        return not any(
            fault.began_at <= end
            and fault.ended_at >= start
            and (not host or fault.host in ("", host))
            for fault in self.fault_intervals
        )
