"""Slow start of upstreams that have become ready."""

from __future__ import annotations

RAMP_SECONDS = 10.0
MIN_SHARE = 0.1


def compute_ramped_share(ready_since: float, now: float) -> float:
    """Return the fraction, 0 to 1, of the normal load for an upstream in slow start."""
    return min(1.0, max(MIN_SHARE, (now - ready_since) / RAMP_SECONDS))
