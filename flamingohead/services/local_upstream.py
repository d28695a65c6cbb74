"""An upstream of this host, and what its daemon learns from its requests."""

from __future__ import annotations

import logging
import math
import time
from dataclasses import dataclass, field
from random import Random
from typing import TYPE_CHECKING

from flamingohead.core.capacity.abandoned import AbandonedRequests
from flamingohead.core.capacity.limits import ConcurrencyLimit
from flamingohead.core.capacity.service_times import ServiceTimes
from flamingohead.core.capacity.slowness import SlownessWatch, SpeedChange
from flamingohead.core.ejection import is_server_error
from flamingohead.core.errors import ErrorKind, Refusal
from flamingohead.events import Event, log_event

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Iterable

    from flamingohead.core.admission import Admission
    from flamingohead.core.capacity.service_times import ServiceTime
    from flamingohead.core.members import UpstreamState
    from flamingohead.core.rank_queues import Ticket
    from flamingohead.services.dispatch import ResponseRelay
    from flamingohead.services.metrics import MetricsService

logger = logging.getLogger(__name__)

# Outcome of a request whose task was cancelled, for example because its caller left.
CANCELLED = Refusal(ErrorKind.INTERNAL, "attempt cancelled")
SPEED_EVENTS = {
    SpeedChange.SLOW: Event.UPSTREAM_SLOW,
    SpeedChange.USUAL: Event.UPSTREAM_USUAL,
}


@dataclass
class LocalUpstream:
    """Represent an upstream of this host with its admission control.

    With ``adapts_limit``, its concurrency limit is learned, and the slots of requests
    that it may still work on are kept.
    """

    state: UpstreamState
    address: str
    admission: Admission
    adapts_limit: bool = False
    times: ServiceTimes = field(default_factory=lambda: ServiceTimes(time.monotonic()))
    running: set[Ticket] = field(default_factory=set)
    waiters: dict[Ticket, asyncio.Future] = field(default_factory=dict)
    limiter: ConcurrencyLimit = field(init=False)
    slowness: SlownessWatch = field(default_factory=SlownessWatch)
    abandoned: AbandonedRequests = field(default_factory=AbandonedRequests)
    expiry: asyncio.TimerHandle | None = None
    # Time after which waiting requests are refused, so that they are tried elsewhere.
    drain_deadline: float = math.inf

    def __post_init__(self) -> None:
        self.limiter = ConcurrencyLimit(self.state.slots, random=Random())

    def compute_limit(self) -> int:
        """Return how many requests the upstream may be sent at once."""
        if not self.adapts_limit:
            return self.state.slots
        return max(0, self.limiter.limit - self.abandoned.count)

    def estimate_times(self, rank: str, now: float) -> ServiceTime | None:
        """Return the service times of a rank; ``None`` if they are not known."""
        running = ((ticket.rank, ticket.admitted_at) for ticket in self.running)
        return self.times.estimate(rank, now, running)


@dataclass(frozen=True)
class ServiceEnd:
    """Describe the end of a request; ``pace`` and ``in_use`` are those at its start."""

    request_id: str
    ticket: Ticket
    relay: ResponseRelay
    refusal: Refusal | None
    pace: float
    in_use: int

    @property
    def is_abandoned(self) -> bool:
        """Return whether the upstream may still work on the request."""
        if self.relay.connection is None or self.relay.status:
            return False
        if self.refusal is CANCELLED:
            return True
        return self.refusal is not None and (
            self.refusal.kind is ErrorKind.UPSTREAM_TIMEOUT
        )


def record_end(upstream: LocalUpstream, end: ServiceEnd) -> None:
    """Learn from the end of a request, and log what slows requests down."""
    now = time.monotonic()
    upstream.running.discard(end.ticket)
    if end.relay.busy_count is not None:
        in_use = upstream.admission.in_use
        upstream.abandoned.record_load(end.relay.busy_count, in_use, now)
    if end.is_abandoned and upstream.adapts_limit:
        times = upstream.times.estimate(end.ticket.rank, now)
        expected = None if times is None else times.current
        upstream.abandoned.add(now - end.ticket.admitted_at, expected, now)
    relative_time = _record_service_time(upstream, end, now)
    if upstream.adapts_limit:
        _learn_limit(upstream, end, relative_time, now)
    if upstream.slowness.should_log_request(relative_time, now):
        log_event(
            logger,
            Event.REQUEST_SLOW,
            request=end.request_id,
            upstream=upstream.state.name,
            rank=end.ticket.rank,
            held_ms=round(1000 * (now - end.ticket.admitted_at)),
            times_usual=round(relative_time, 1),
            pace=round(upstream.times.estimate_pace(now), 2),
            relative=round(upstream.times.estimate_relative(now), 2),
            in_use=upstream.admission.in_use,
            limit=upstream.limiter.learned,
        )


def _record_service_time(
    upstream: LocalUpstream, end: ServiceEnd, now: float
) -> float | None:
    """Record how long the upstream worked on a request, and the pace it reported.

    A failed request may have ended early. Return the service time as a multiple of the
    usual one, if it is known.
    """
    if end.relay.pace is not None:
        upstream.times.record_pace(end.relay.pace, now)
    if end.relay.is_discarded:
        return None
    is_complete = end.refusal is None and not is_server_error(end.relay.status)
    return upstream.times.record(
        end.ticket.rank,
        now - end.ticket.admitted_at,
        now,
        pace=(end.pace + upstream.times.estimate_pace(now)) / 2,
        is_complete=is_complete,
    )


def _learn_limit(
    upstream: LocalUpstream, end: ServiceEnd, relative_time: float | None, now: float
) -> None:
    limiter, in_use = upstream.limiter, upstream.admission.in_use
    previous = limiter.learned
    level = (end.in_use + in_use) / 2
    limiter.record(in_use, now, level=level, relative_time=relative_time)
    if limiter.learned != previous:
        log_event(
            logger,
            Event.CONCURRENCY_LIMIT_CHANGED,
            upstream=upstream.state.name,
            previous=previous,
            limit=limiter.learned,
            slots=upstream.state.slots,
        )


def report_speeds(
    metrics: MetricsService, service: str, upstreams: Iterable[LocalUpstream]
) -> None:
    """Set the gauges of learned limits and speeds; log lasting slowness."""
    now = time.monotonic()
    limits, relatives = 0, []
    for upstream in upstreams:
        if upstream.state.service != service:
            continue
        relative = upstream.times.estimate_relative(now)
        limits += upstream.limiter.learned
        relatives.append(relative)
        change = upstream.slowness.record(relative, now)
        if change is not None:
            log_event(
                logger,
                SPEED_EVENTS[change],
                upstream=upstream.state.name,
                service=service,
                relative=round(relative, 2),
                pace=round(upstream.times.estimate_pace(now), 2),
                limit=upstream.limiter.learned,
            )
    metrics.set_gauge(f"limit.{service}", limits)
    if relatives:
        metrics.set_gauge(f"speed.{service}", sum(relatives) / len(relatives))
