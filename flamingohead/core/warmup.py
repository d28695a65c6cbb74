"""Slow start of upstreams that have just become ready."""

from __future__ import annotations

RAMP_SECONDS = 10.0
LOWEST_SHARE = 0.1


def compute_ramped_share(ready_since: float, now: float) -> float:
    """Return the share, 0 to 1, of an ordinary load for a starting upstream."""
    return min(1.0, max(LOWEST_SHARE, (now - ready_since) / RAMP_SECONDS))
