"""Admission of pulls that are answered with a whole snapshot."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

SNAPSHOT_RATE = 4.0
SNAPSHOT_BURST = 4.0
MIN_RETRY_WAIT = 0.2


class PullAdmission:
    """Limit whole snapshots sent to peers, in answers a second.

    A herd of fresh daemons is spread over those that hold the configuration: each
    daemon served becomes a server itself.
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
        """Take one answer; return ``None``, or seconds until a retry makes sense."""
        if self._updated_at is not None:
            gained = (now - self._updated_at) * self._rate
            self._tokens = min(self._burst, self._tokens + gained)
        self._updated_at = now
        if self._tokens >= 1:
            self._tokens -= 1
            return None
        wait = max(MIN_RETRY_WAIT, (1 - self._tokens) / self._rate)
        return wait * self._random.uniform(1.0, 3.0)
