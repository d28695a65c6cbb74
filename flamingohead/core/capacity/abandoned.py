"""Requests that an upstream may still work on, although nobody waits for them.

A caller leaves, or the deadline passes, and the connection is closed: the upstream may
work on. Its slot is not given to another request yet, since some upstreams never answer
a request that they can't take.
"""

from __future__ import annotations

from dataclasses import dataclass

# An abandoned request is expected to end within this multiple of the service time that
# is expected for it.
EXPECTED_TIMES = 4.0
# Bounds of the time, in seconds, for which its slot is kept without a report.
MIN_HOLD_SECONDS = 0.1
MAX_HOLD_SECONDS = 2.0
UNKNOWN_SERVICE_SECONDS = 0.25
# The slots are kept for longer while the upstream reports more requests than it was
# sent by this daemon, but not for ever: it may count others.
REPORT_LIFETIME_SECONDS = 1.0
EXTENSION_SECONDS = 0.25
MAX_EXTENDED_SECONDS = 10.0
# Requests that an upstream reports at the start of its daemon belong to an earlier one.
INHERITED_HOLD_SECONDS = 2.0


@dataclass
class _Hold:
    begun_at: float
    ends_at: float


class AbandonedRequests:
    """Track the slots that abandoned requests may still use."""

    def __init__(self) -> None:
        self._holds: list[_Hold] = []
        self._surplus = 0
        self._reported_at = 0.0

    @property
    def count(self) -> int:
        return len(self._holds)

    def add(self, elapsed: float, service_time: float | None, now: float) -> None:
        """Keep the slot of a request that was sent ``elapsed`` seconds ago."""
        expected = UNKNOWN_SERVICE_SECONDS if service_time is None else service_time
        remaining = EXPECTED_TIMES * expected - elapsed
        hold = min(max(remaining, MIN_HOLD_SECONDS), MAX_HOLD_SECONDS)
        self._holds.append(_Hold(now, now + hold))

    def inherit(self, count: int, now: float) -> None:
        """Keep the slots of requests of an earlier daemon of this host."""
        for _ in range(count):
            self._holds.append(_Hold(now, now + INHERITED_HOLD_SECONDS))

    def record_load(self, busy: int, in_use: int, now: float) -> None:
        """Record how many requests the upstream reports, and how many it was sent."""
        self._surplus, self._reported_at = busy - in_use, now

    def expire(self, now: float) -> float | None:
        """Release slots; return the time of the next check, or ``None``."""
        ended = [hold for hold in self._holds if hold.ends_at <= now]
        is_recent = now - self._reported_at <= REPORT_LIFETIME_SECONDS
        kept = max(0, self._surplus) if is_recent else 0
        kept = max(0, kept - (len(self._holds) - len(ended)))
        for hold in ended:
            if kept and now - hold.begun_at < MAX_EXTENDED_SECONDS:
                hold.ends_at = now + EXTENSION_SECONDS
                kept -= 1
            else:
                self._holds.remove(hold)
        return min((hold.ends_at for hold in self._holds), default=None)
