"""Detection of lasting slowness for the log of the daemon that owns an upstream."""

from __future__ import annotations

from enum import Enum

# Factors over the usual service time, and the time in seconds for which an upstream has
# to be slow. Neighbours that slow it down for less than a second are not logged.
SLOW_FACTOR = 1.5
USUAL_FACTOR = 1.2
SLOW_SECONDS = 3.0
# A request is logged from this multiple of the usual service time, at most one in this
# time, in seconds.
SLOW_REQUEST_FACTOR = 5.0
REQUEST_LOG_SECONDS = 1.0


class SpeedChange(Enum):
    """Enumerate the changes of speed that are logged."""

    SLOW = "slow"
    USUAL = "usual"


class SlownessWatch:
    """Decide what to log about the speed of an upstream."""

    def __init__(self) -> None:
        self._slow_since: float | None = None
        self._is_slow = False
        self._next_request_at = 0.0

    def record(self, relative: float, now: float) -> SpeedChange | None:
        """Record the relative service time; return a change to be logged."""
        if relative < USUAL_FACTOR:
            self._slow_since = None
            if self._is_slow:
                self._is_slow = False
                return SpeedChange.USUAL
            return None
        if relative < SLOW_FACTOR:
            return None
        if self._slow_since is None:
            self._slow_since = now
        if self._is_slow or now - self._slow_since < SLOW_SECONDS:
            return None
        self._is_slow = True
        return SpeedChange.SLOW

    def should_log_request(self, relative_time: float | None, now: float) -> bool:
        """Return whether to log a request with this relative service time."""
        if relative_time is None or relative_time < SLOW_REQUEST_FACTOR:
            return False
        if now < self._next_request_at:
            return False
        self._next_request_at = now + REQUEST_LOG_SECONDS
        return True
