"""Transfer of large request bodies over the links of the hosts."""

from __future__ import annotations

import math
from dataclasses import dataclass

# Share of a link's bandwidth that the bodies of one sender may count on: responses,
# nested calls and the uploads of other senders use the links as well.
USABLE_LINK_SHARE = 0.7
BITS_PER_BYTE = 8
# Bandwidth assumed for a link of unknown bandwidth; 0 in the membership messages.
UNKNOWN_LINK_MBPS = 100


@dataclass(slots=True)
class Link:
    """Track when the bodies that this daemon sends over a link will have passed it."""

    mbps: int = 0
    busy_until: float = 0.0

    def estimate_end(self, body_bytes: int, now: float) -> float:
        """Return the time at which another body would have passed the link."""
        bits_per_second = (self.mbps or UNKNOWN_LINK_MBPS) * 1e6 * USABLE_LINK_SHARE
        seconds = BITS_PER_BYTE * body_bytes / bits_per_second
        return max(self.busy_until, now) + seconds

    def add(self, body_bytes: int, now: float) -> None:
        """Record that a body is sent over the link from now on."""
        self.busy_until = self.estimate_end(body_bytes, now)


def estimate_transfer(body_bytes: int, own: Link, target: Link, now: float) -> float:
    """Return the seconds until a body has passed the links of both hosts."""
    own_end = own.estimate_end(body_bytes, now)
    return max(own_end, target.estimate_end(body_bytes, now)) - now


def may_arrive(seconds: float, deadline: float, now: float) -> bool:
    """Return whether a request that is served after ``seconds`` is worth sending."""
    return deadline == math.inf or now + seconds <= deadline
