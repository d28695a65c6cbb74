"""Admission of daemons that join through this one.

The load it answers: a herd of daemons that start together and ask the same few peers
for their whole state.
"""

from __future__ import annotations


class JoinAdmission:
    """Admit joins at a rate, and give the others a time to come back.

    ``rate`` is in joins a second; times are monotonic seconds.
    """

    def __init__(self, rate: float = 4.0, burst: int = 8) -> None:
        self._rate = rate
        self._burst = burst
        self._free_at = 0.0

    def admit(self, now: float) -> float | None:
        """Count a join and return ``None``, or return when to try again."""
        self._free_at = max(self._free_at, now)
        if self._free_at - now > self._burst / self._rate:
            return self._free_at
        self._free_at += 1.0 / self._rate
        return None
