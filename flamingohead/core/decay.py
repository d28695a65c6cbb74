"""Decay of measurements with their age."""

from __future__ import annotations

import math

# Half-life, in seconds, of the measurements of an upstream that receives no requests.
HALF_LIFE_SECONDS = 3.0


def compute_decay(age: float, half_life: float = HALF_LIFE_SECONDS) -> float:
    """Return the weight, 0 to 1, of a measurement; both times are in seconds."""
    return math.pow(0.5, max(0.0, age) / half_life)
