"""Probes in flight, suspicions and the health of the prober itself."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from flamingohead.core.members import Member

MAX_HEALTH_SCORE = 8
CONFIRMATIONS = 3


@dataclass
class Probe:
    """Hold the probe in flight and its deadlines."""

    sequence: int
    target: Member
    indirect_at: float
    ends_at: float
    indirect_sent: bool = False


@dataclass(frozen=True)
class RelayedProbe:
    """Hold for whom a probe was sent."""

    requester_address: str
    requester_sequence: int
    expires_at: float


@dataclass
class Suspicion:
    """Hold when a suspected member is declared dead, and who suspects it.

    With each further accuser the deadline moves from ``latest_at`` towards
    ``earliest_at``, which it reaches at ``CONFIRMATIONS`` further accusers.
    """

    earliest_at: float
    latest_at: float
    accusers: set[str] = field(default_factory=set)

    @property
    def expires_at(self) -> float:
        confirmations = min(len(self.accusers) - 1, CONFIRMATIONS)
        share = math.log(max(confirmations, 0) + 1) / math.log(CONFIRMATIONS + 1)
        return self.latest_at - share * (self.latest_at - self.earliest_at)

    def confirm(self, accuser: str) -> bool:
        """Count an accuser; return whether it is new and still counts."""
        if accuser in self.accusers or len(self.accusers) > CONFIRMATIONS:
            return False
        self.accusers.add(accuser)
        return True


class Health:
    """Score how far this member itself is slow; 0 is healthy."""

    def __init__(self) -> None:
        self.score = 0

    @property
    def factor(self) -> int:
        """Return the factor by which timeouts are stretched."""
        return 1 + self.score

    def improve(self) -> None:
        self.score = max(0, self.score - 1)

    def worsen(self, steps: int = 1) -> None:
        self.score = min(MAX_HEALTH_SCORE, self.score + steps)
