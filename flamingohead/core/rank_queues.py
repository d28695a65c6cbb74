"""Tickets, and the queue of a rank with its measured service rate."""

from __future__ import annotations

import statistics
from collections import deque
from dataclasses import dataclass, field
from enum import Enum

from flamingohead.core.fairness import FairQueue
from flamingohead.core.resources import Rank

SMOOTHING = 0.1
# Service times whose median is compared with the mean. A stall lengthens those of the
# tickets that run, at most as many as there are slots, and the median of this many
# doesn't show it.
RECENT_SERVICE_TIMES = 15
# Assumed service time, as a fraction of the target, until one has been measured: a host
# that has just started must not refuse a queue that its upstream can serve.
ASSUMED_SERVICE_FRACTION = 0.3


class TicketState(Enum):
    """Enumerate the states of a ticket."""

    NEW = "new"
    WAITING = "waiting"
    ADMITTED = "admitted"
    ENDED = "ended"


@dataclass(eq=False)
class Ticket:
    """Represent a request in the admission control of an upstream.

    ``deadline`` is in seconds on the daemon's monotonic clock. A ``nested`` ticket
    belongs to a call that a running request waits for. ``bucket`` is the key of the
    caller's queue in the :class:`FairQueue`.
    """

    rank: str
    deadline: float
    caller: str = ""
    nested: bool = False
    state: TicketState = TicketState.NEW
    queued_at: float = 0.0
    admitted_at: float = 0.0
    queue: RankQueue | None = field(default=None, repr=False)
    bucket: str = field(default="", repr=False)


@dataclass(eq=False)
class RankQueue:
    """Hold the queued tickets of a rank and estimates of its service rate.

    ``guaranteed`` is the rank's share in whole slots. The rest of the share, a fraction
    of a slot, is ``fractional_share``. It is added to ``credit`` at each admission from
    a queue while tickets of the rank are queued; with a credit of 1 the rank is due a
    slot. ``service_time`` is the mean time for which a ticket occupies a slot and
    ``dequeue_interval`` the mean time between dequeued tickets, in seconds.
    """

    rank: Rank
    waiting: FairQueue[Ticket] = field(default_factory=FairQueue)
    in_use: int = 0
    guaranteed: int = 0
    fractional_share: float = 0.0
    credit: float = 0.0
    service_time: float = 0.0
    dequeue_interval: float = 0.0
    last_dequeue_at: float = 0.0
    nested: bool = False
    median_service_time: float = 0.0
    recent: deque[float] = field(
        default_factory=lambda: deque(maxlen=RECENT_SERVICE_TIMES), repr=False
    )

    @property
    def expected_service_time(self) -> float:
        """Return the mean service time; if unmeasured, an estimate from the target."""
        if self.service_time or self.rank.share > 0:
            return self.service_time
        return ASSUMED_SERVICE_FRACTION * self.rank.target_ms / 1000

    @property
    def typical_service_time(self) -> float:
        """Return a service time that a few long ones do not raise."""
        if not self.recent:
            return self.expected_service_time
        return min(self.expected_service_time, self.median_service_time)

    @property
    def urgency(self) -> tuple[int, bool]:
        """Return the sort key of the queues, the most urgent first."""
        return self.rank.order, not self.nested

    def start_backlog(self, limit: int, now: float) -> None:
        """Start measuring the dequeue interval when the queue becomes non-empty.

        Without a measurement the interval is derived from the rank's share.
        """
        self.last_dequeue_at = now
        if not self.dequeue_interval and self.rank.share > 0:
            self.dequeue_interval = self.service_time / (self.rank.share * limit)

    def record_dequeue(self, now: float) -> None:
        """Update the mean time between dequeued tickets of a non-empty queue."""
        self.dequeue_interval += SMOOTHING * (
            now - self.last_dequeue_at - self.dequeue_interval
        )
        self.last_dequeue_at = now

    def record_service_time(self, seconds: float) -> None:
        """Update the mean time for which a ticket occupies its slot."""
        self.recent.append(seconds)
        self.median_service_time = statistics.median(self.recent)
        if self.service_time:
            seconds = self.service_time + SMOOTHING * (seconds - self.service_time)
        self.service_time = seconds

    def estimate_dequeue_interval(self, limit: int) -> float:
        """Return the expected dequeue interval, bounded by the rank's share."""
        shortest = self.service_time / max(limit, 1)
        slots = self.rank.share * limit
        if slots <= 0:
            return max(self.dequeue_interval, shortest)
        return min(max(self.dequeue_interval, shortest), self.service_time / slots)
