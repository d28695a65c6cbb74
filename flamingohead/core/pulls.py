"""Admission control for pulls whose response is a full snapshot."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

SNAPSHOT_RATE = 4.0
SNAPSHOT_BURST = 4.0
MIN_RETRY_WAIT_SECONDS = 0.2


class PullAdmission:
    """Limit the rate of full snapshots sent to peers, in responses per second.

    This distributes many newly started daemons over the peers that already have the
    configuration: each daemon that has received it can serve others.
    """

    def __init__(
        self,
        *,
        random: Random,
        rate: float = SNAPSHOT_RATE,
        burst: float = SNAPSHOT_BURST,
    ) -> None:
        self._random = random
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._updated_at: float | None = None

    def admit(self, now: float) -> float | None:
        """Consume a token; return ``None`` if admitted, else seconds until a retry."""
        if self._updated_at is not None:
            refill = (now - self._updated_at) * self._rate
            self._tokens = min(self._burst, self._tokens + refill)
        self._updated_at = now
        if self._tokens >= 1:
            self._tokens -= 1
            return None
        wait = max(MIN_RETRY_WAIT_SECONDS, (1 - self._tokens) / self._rate)
        return wait * self._random.uniform(1.0, 3.0)
