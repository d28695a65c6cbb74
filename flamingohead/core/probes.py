"""Pending probes, suspicion timeouts and the local health of the prober."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from flamingohead.core.members import Member

MAX_HEALTH_SCORE = 8
MAX_CONFIRMATIONS = 3


@dataclass
class Probe:
    """Track the probe in flight and its deadlines."""

    sequence: int
    target: Member
    indirect_at: float
    ends_at: float
    indirect_sent: bool = False


@dataclass(frozen=True)
class RelayedProbe:
    """Record the member that requested an indirect probe."""

    requester_address: str
    requester_sequence: int
    expires_at: float


@dataclass
class Suspicion:
    """Track the members that suspect a member, and when it is declared dead.

    Each further accuser moves the deadline from ``latest_at`` towards ``earliest_at``,
    on a logarithmic scale. ``MAX_CONFIRMATIONS`` further accusers bring it to
    ``earliest_at``.
    """

    earliest_at: float
    latest_at: float
    accusers: set[str] = field(default_factory=set)

    @property
    def expires_at(self) -> float:
        confirmations = min(len(self.accusers) - 1, MAX_CONFIRMATIONS)
        fraction = math.log(max(confirmations, 0) + 1) / math.log(MAX_CONFIRMATIONS + 1)
        return self.latest_at - fraction * (self.latest_at - self.earliest_at)

    def confirm(self, accuser: str) -> bool:
        """Add an accuser; return whether it is new and still shortens the deadline."""
        if accuser in self.accusers or len(self.accusers) > MAX_CONFIRMATIONS:
            return False
        self.accusers.add(accuser)
        return True


class Health:
    """Score the slowness of the local member; 0 is healthy."""

    def __init__(self) -> None:
        self.score = 0

    @property
    def factor(self) -> int:
        """Return the factor by which timeouts are extended."""
        return 1 + self.score

    def improve(self) -> None:
        self.score = max(0, self.score - 1)

    def worsen(self, steps: int = 1) -> None:
        self.score = min(MAX_HEALTH_SCORE, self.score + steps)
