"""Pacing of requests to the configuration source for the next version.

Bursts of changes to a configuration with many routes are the load that requires pacing.
Each response contains the complete document, so that a request per version and daemon
would saturate the links of small hosts and the request rate of the source. An isolated
change is still fetched immediately: only changes that closely follow another one are
delayed, and then the newest version is fetched.
"""

from __future__ import annotations

# Seconds between the response with the first change and the next request.
INITIAL_INTERVAL_SECONDS = 0.15
# Maximum delay of a change in seconds. Together with the response and its decoding on a
# slow host, it stays below half of the tightest time limit for a change to take effect
# (2 s).
MAX_INTERVAL_SECONDS = 0.6
# A request that stayed open for this many seconds without a change ends a burst.
QUIET_PERIOD_SECONDS = 1.5


class RequestPacer:
    """Decide when to send the next request; times are monotonic seconds."""

    def __init__(self) -> None:
        self._interval = 0.0

    def record_response(
        self, *, requested_at: float, now: float, changed: bool
    ) -> float:
        """Process a response and return the time of the next request."""
        if now - requested_at >= QUIET_PERIOD_SECONDS:
            self._interval = 0.0
        if not changed:
            return now
        self._interval = (
            min(2 * self._interval, MAX_INTERVAL_SECONDS)
            if self._interval
            else INITIAL_INTERVAL_SECONDS
        )
        return now + self._interval
