"""Confirmation of upstreams that are older than the daemon of their host.

A departure that only daemons hold is lost if all of them are killed while the store
does not respond, and a heartbeat sent before the departure may arrive after that. So a
daemon takes the first heartbeat of an older upstream for current only if the upstream
confirms it with its health response, or goes on sending heartbeats.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from flamingohead.core.upstreams import Announcement

# Upstreams that are not confirmed yet; others may write to the same address.
MAX_UNCONFIRMED = 16


class Health(Enum):
    """Enumerate what a health request tells about an upstream."""

    READY = "ready"
    # Nothing accepts connections, so that no request reaches the upstream either.
    ABSENT = "absent"
    # It is leaving, failing or full, or did not respond.
    UNCONFIRMED = "unconfirmed"


@dataclass(frozen=True)
class HealthResponse:
    """Describe the outcome of a health request.

    ``busy_count`` is the number of requests that the upstream works on, if it is known.
    """

    health: Health
    announcement: Announcement | None = None
    busy_count: int | None = None

    def confirms(self, announcement: Announcement) -> bool:
        """Return whether nothing in the response contradicts an announcement."""
        if self.health is Health.READY:
            return self.announcement.name == announcement.name
        return self.health is Health.ABSENT


@dataclass(frozen=True)
class _FirstHeartbeat:
    sequence: int
    confirmed_at: float


class ArrivalTracker:
    """Decide which heartbeats need a confirmation, and which have confirmed themselves.

    ``started_ms`` is the start of the daemon in Unix milliseconds. ``delay`` is the
    longest delay of a heartbeat in seconds: an upstream that was heard of before still
    sends heartbeats after it. Times are seconds on the caller's monotonic clock.
    """

    def __init__(self, started_ms: int, delay: float) -> None:
        self._started_ms = started_ms
        self._delay = delay
        self._first_heartbeats: dict[tuple[str, int], _FirstHeartbeat] = {}

    def needs_confirmation(
        self, announcement: Announcement, known_incarnation: int | None
    ) -> bool:
        """Return whether the upstream may have left before the start of the daemon.

        ``known_incarnation`` is that of the upstream in use, 0 after a health response.
        """
        if announcement.incarnation > self._started_ms:
            return False
        if known_incarnation is None:
            return True
        return 0 < known_incarnation < announcement.incarnation

    def record(self, announcement: Announcement, now: float) -> bool:
        """Record a heartbeat; return whether later ones have confirmed the first."""
        key = announcement.name, announcement.incarnation
        first = self._first_heartbeats.get(key)
        if first is None:
            if len(self._first_heartbeats) >= MAX_UNCONFIRMED:
                del self._first_heartbeats[next(iter(self._first_heartbeats))]
            first = _FirstHeartbeat(announcement.sequence, now + self._delay)
            self._first_heartbeats[key] = first
        return announcement.sequence > first.sequence and now >= first.confirmed_at
