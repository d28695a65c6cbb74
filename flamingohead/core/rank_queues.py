"""Tickets, and the queue that a rank keeps at an admission with its learned pace."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from flamingohead.core.fairness import FairQueue
from flamingohead.core.resources import Rank

SMOOTHING = 0.1
# Time on a slot, as a fraction of the target, until a first one has been seen: a host
# that has just started must not refuse the queue that its upstream can serve.
ASSUMED_SERVICE_FRACTION = 0.3


class TicketState(Enum):
    """Name the steps of a ticket."""

    NEW = "new"
    WAITING = "waiting"
    ADMITTED = "admitted"
    ENDED = "ended"


@dataclass(eq=False)
class Ticket:
    """Stand for one request at the admission of one upstream.

    ``deadline`` is in seconds on the daemon's monotonic clock. A ``nested`` ticket is
    for a call that a running request waits for.
    """

    rank: str
    deadline: float
    caller: str = ""
    nested: bool = False
    state: TicketState = TicketState.NEW
    queued_at: float = 0.0
    admitted_at: float = 0.0
    queue: RankQueue | None = field(default=None, repr=False)
    place: str = field(default="", repr=False)


@dataclass(eq=False)
class RankQueue:
    """Hold the waiting tickets of a rank and what is known of its pace.

    ``guaranteed`` is the rank's share in whole slots. The ``fraction`` of the slots
    that is left is collected as ``credit`` at each turn; at 1 a turn is owed.
    """

    rank: Rank
    waiting: FairQueue[Ticket] = field(default_factory=FairQueue)
    in_use: int = 0
    guaranteed: int = 0
    fraction: float = 0.0
    credit: float = 0.0
    service_time: float = 0.0
    interval: float = 0.0
    turn_at: float = 0.0
    nested: bool = False

    @property
    def expected_service(self) -> float:
        """Return the learned time on a slot, or one that the target suggests."""
        if self.service_time or self.rank.share > 0:
            return self.service_time
        return ASSUMED_SERVICE_FRACTION * self.rank.target_ms / 1000

    @property
    def urgency(self) -> tuple[int, bool]:
        """Return what orders the queues, the most urgent first."""
        return self.rank.order, not self.nested

    def start_waiting(self, limit: int, now: float) -> None:
        """Note that tickets wait from now on, at first at the pace of the share."""
        self.turn_at = now
        if not self.interval and self.rank.share > 0:
            self.interval = self.service_time / (self.rank.share * limit)

    def record_turn(self, now: float) -> None:
        """Learn the time between turns while tickets wait."""
        self.interval += SMOOTHING * (now - self.turn_at - self.interval)
        self.turn_at = now

    def record_service(self, seconds: float) -> None:
        """Learn the time for which a ticket holds its slot."""
        if self.service_time:
            seconds = self.service_time + SMOOTHING * (seconds - self.service_time)
        self.service_time = seconds

    def estimate_interval(self, limit: int) -> float:
        """Return the expected time between turns, within what shares allow."""
        lowest = self.service_time / max(limit, 1)
        slots = self.rank.share * limit
        if slots <= 0:
            return max(self.interval, lowest)
        return min(max(self.interval, lowest), self.service_time / slots)
