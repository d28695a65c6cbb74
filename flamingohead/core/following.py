"""Pacing and time limits of requests to the configuration source.

Bursts of changes to a configuration with many routes are the load that requires pacing.
Each response contains the complete document, so that a request per version and daemon
would saturate the links of small hosts and the request rate of the source. An isolated
change is still fetched immediately: only changes that closely follow another one are
delayed, and then the newest version is fetched.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

# Seconds between the response with the first change and the next request.
INITIAL_INTERVAL_SECONDS = 0.15
# Maximum delay of a change in seconds. Together with the response and its decoding on a
# slow host, it stays below half of the tightest time limit for a change to take effect
# (2 s).
MAX_INTERVAL_SECONDS = 0.6
# Requests that stayed open for this many seconds without a change end a burst.
QUIET_PERIOD_SECONDS = 1.5
# Longest poll after a change where keys need a recent confirmation of the
# configuration: the response with the change only confirms the time of its request.
CONFIRMING_POLL_SECONDS = 0.5
# Interval before the first repetition of a failed request, in seconds, and the shortest
# time between a failure and the next request.
INITIAL_BACKOFF_SECONDS = 0.1
MIN_RETRY_SECONDS = 0.05
# The platform allows polls of 30 s, half of the longest time to settle.
LONG_POLL_SECONDS = 25.0
MIN_SETTLE_SECONDS = 1.0
MAX_SETTLE_SECONDS = 60.0


@dataclass(frozen=True)
class SourceTimeouts:
    """Bound requests to the source, in seconds.

    The source may wait ``poll_seconds`` for a change. Each response has to start within
    ``response_seconds`` of its request and may stall for ``stall_seconds``.
    """

    poll_seconds: float
    response_seconds: float
    stall_seconds: float
    max_backoff_seconds: float

    def lengthen_polls(self) -> SourceTimeouts:
        """Return the limits of a daemon whose lost responses others detect."""
        margin = self.response_seconds - self.poll_seconds
        return replace(
            self,
            poll_seconds=LONG_POLL_SECONDS,
            response_seconds=LONG_POLL_SECONDS + margin,
        )

    def shorten_poll(self) -> SourceTimeouts:
        """Return the limits of a poll that confirms a change soon."""
        return replace(
            self, poll_seconds=min(self.poll_seconds, CONFIRMING_POLL_SECONDS)
        )


def derive_timeouts(settle_seconds: float) -> SourceTimeouts:
    """Return time limits for a deployment.

    Daemons have to be up to date again ``settle_seconds`` after an outage, in which
    responses may have been lost while their connections stay open. A lost one is
    detected and requested again within two thirds of that time; the rest remains for
    the daemons that are notified of changes.
    """
    settle_seconds = min(max(settle_seconds, MIN_SETTLE_SECONDS), MAX_SETTLE_SECONDS)
    return SourceTimeouts(
        poll_seconds=settle_seconds / 2,
        response_seconds=settle_seconds * 2 / 3,
        stall_seconds=settle_seconds / 3,
        max_backoff_seconds=settle_seconds / 3,
    )


class RetryBackoff:
    """Decide when to repeat a failed request; times are monotonic seconds.

    The interval is counted from the failed request on: the time that a lost response
    was awaited counts, so that the source isn't left alone after a long outage.
    """

    def __init__(self, *, random: Random, max_seconds: float) -> None:
        self._random = random
        self._max_seconds = max_seconds
        self._seconds = INITIAL_BACKOFF_SECONDS

    def record_success(self) -> None:
        """Restart with the shortest interval."""
        self._seconds = INITIAL_BACKOFF_SECONDS

    def record_failure(self, *, requested_at: float, now: float) -> float:
        """Return the time of the next request."""
        interval = self._random.uniform(0.5, 1.0) * self._seconds
        self._seconds = min(2 * self._seconds, self._max_seconds)
        return max(requested_at + interval, now + MIN_RETRY_SECONDS)


class RequestPacer:
    """Decide when to send the next request; times are monotonic seconds."""

    def __init__(self) -> None:
        self._interval = 0.0
        # Start of the first request since the last change.
        self._quiet_since: float | None = None

    def record_response(
        self, *, requested_at: float, now: float, changed: bool
    ) -> float:
        """Process a response and return the time of the next request."""
        quiet_since = requested_at if self._quiet_since is None else self._quiet_since
        self._quiet_since = None if changed else quiet_since
        if now - quiet_since >= QUIET_PERIOD_SECONDS:
            self._interval = 0.0
        if not changed:
            return now
        self._interval = (
            min(2 * self._interval, MAX_INTERVAL_SECONDS)
            if self._interval
            else INITIAL_INTERVAL_SECONDS
        )
        return now + self._interval
