"""Rate limit for daemons that join through this one.

It protects a daemon from a thundering herd: many daemons that start together and
request the whole member list from the same few peers.
"""

from __future__ import annotations


class JoinAdmission:
    """Admit joins at a limited rate, and return a retry time for the others.

    ``rate`` is in joins per second; times are monotonic seconds.
    """

    def __init__(self, rate: float = 4.0, burst: int = 8) -> None:
        self._rate = rate
        self._burst = burst
        self._free_at = 0.0

    def admit(self, now: float) -> float | None:
        """Admit a join and return ``None``, or return the time at which to retry."""
        self._free_at = max(self._free_at, now)
        if self._free_at - now > self._burst / self._rate:
            return self._free_at
        self._free_at += 1.0 / self._rate
        return None
