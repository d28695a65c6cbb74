"""What a sender knows of an upstream: its own requests, reports and outcomes."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from flamingohead.core.capacity.speeds import ReportedSpeed
from flamingohead.core.decay import compute_decay
from flamingohead.core.transfers.links import Link

if TYPE_CHECKING:
    from flamingohead.core.candidates import Candidate, UpstreamKey
    from flamingohead.core.capacity.service_times import ServiceTime

# Half-life, in seconds, of the part of a load report that is due to other senders.
REPORT_HALF_LIFE_SECONDS = 0.5
# A new upstream is slow at first, and only its responses show that it is healthy.
NEW_UPSTREAM_SECONDS = 3.0
NEW_UPSTREAM_LATENCY = 1.5
# Age, in seconds, up to which a reported concurrency limit is used.
LIMIT_LIFETIME_SECONDS = 5.0


@dataclass(frozen=True)
class LoadReport:
    """Hold the load that a host reports with each response.

    ``running`` counts the requests on its slots, ``waiting`` the queued ones that are
    served before a new one of the same rank. ``slots`` is the concurrency limit.
    ``held_ms`` is the time for which the request occupied its slot, or ``None`` if it
    had none. ``times`` are the service times that the host expects for the rank; hosts
    of earlier builds report none. ``link_wait`` is the time in seconds until a large
    body would begin on the link of the host, or ``None`` if none waits there.
    """

    running: int
    waiting: int
    slots: int
    held_ms: float | None = None
    times: ServiceTime | None = None
    link_wait: float | None = None


@dataclass(eq=False)
class UpstreamView:
    """Hold the local and reported state of an upstream.

    ``in_flight`` counts the requests of this daemon, ``other_in_flight`` those of other
    senders at the time of the last report.
    """

    key: UpstreamKey
    candidate: Candidate
    ready_since: float
    in_flight: int = 0
    other_in_flight: float = 0.0
    waiting: dict[str, int] = field(default_factory=dict)
    reported_at: float = 0.0
    relative_latency: float = 1.0
    relative_latency_at: float = 0.0
    failure_rate: float = 0.0
    failure_rate_at: float = 0.0
    speed: ReportedSpeed = field(default_factory=ReportedSpeed)
    limit: int = 0
    link: Link = field(default_factory=Link)

    def estimate_limit(self, now: float) -> int:
        """Return the concurrency limit reported by the owner, or else the slots."""
        slots = max(self.candidate.slots, 1)
        if self.limit and now - self.reported_at < LIMIT_LIFETIME_SECONDS:
            return min(self.limit, slots)
        return slots

    def estimate_occupancy(self, rank: str, now: float) -> float:
        """Return the estimated number of requests served before a new one of a rank.

        The requests of this daemon are counted exactly; the reported ones of others
        decay with the age of the report.
        """
        age = now - self.reported_at
        others_ahead = self.other_in_flight + self.waiting.get(rank, 0)
        if not others_ahead:
            return self.in_flight
        return self.in_flight + others_ahead * compute_decay(
            age, REPORT_HALF_LIFE_SECONDS
        )

    def estimate_relative_latency(self, rank: str, now: float) -> float:
        """Return the service time as a multiple of that of the service."""
        reported = self.speed.estimate(rank, now)
        if reported is not None:
            return reported
        weight = compute_decay(now - self.relative_latency_at)
        if now - self.ready_since < NEW_UPSTREAM_SECONDS:
            return max(
                NEW_UPSTREAM_LATENCY, 1.0 + weight * (self.relative_latency - 1.0)
            )
        return 1.0 + weight * (self.relative_latency - 1.0)

    def estimate_failure_rate(self, now: float) -> float:
        if not self.failure_rate:
            return 0.0
        return self.failure_rate * compute_decay(now - self.failure_rate_at)

    def is_full(self, rank: str, now: float) -> bool:
        return self.estimate_occupancy(rank, now) >= self.estimate_limit(now)
