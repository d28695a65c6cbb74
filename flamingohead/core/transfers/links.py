"""Transfer times of large request bodies over the links of the hosts."""

from __future__ import annotations

import math
from dataclasses import dataclass

# Share of a link's bandwidth that large bodies may use: responses, nested calls and
# gossip use the links as well.
USABLE_LINK_SHARE = 0.7
BITS_PER_BYTE = 8
# Bandwidth assumed for a link of unknown bandwidth; 0 in the membership messages.
UNKNOWN_LINK_MBPS = 100
# Smaller bodies are sent with the head of their request: asking for them would take
# longer than their transfer.
MAX_UNSCHEDULED_BYTES = 8 * 1024
# Fraction of what a target leaves after transfer and service that a body may wait.
WAIT_TARGET_FRACTION = 0.5
# Time for a request and the grant of its body to pass between two hosts.
GRANT_MARGIN_SECONDS = 0.25


@dataclass(slots=True)
class Link:
    """Track when the bodies that are known to use a link will have passed it."""

    mbps: int = 0
    busy_until: float = 0.0

    @property
    def bytes_per_second(self) -> float:
        """Return the rate at which large bodies may use the link."""
        megabits = (self.mbps or UNKNOWN_LINK_MBPS) * USABLE_LINK_SHARE
        return megabits * 1e6 / BITS_PER_BYTE

    def estimate_end(self, body_bytes: int, now: float) -> float:
        """Return the time at which another body would have passed the link."""
        return max(self.busy_until, now) + body_bytes / self.bytes_per_second

    def add(self, body_bytes: int, now: float) -> None:
        """Record that a body is sent over the link from now on."""
        self.busy_until = self.estimate_end(body_bytes, now)

    def remove(self, body_bytes: int) -> None:
        """Record that a body that was added is not sent."""
        self.busy_until -= body_bytes / self.bytes_per_second


def compute_latest_begin(
    needed: float, deadline: float, target_deadline: float, now: float
) -> float:
    """Return the latest begin of a body whose transfer and service take ``needed``.

    If an idle host can meet the target, a part of it bounds the wait; the remainder
    allows for services longer than the mean.
    """
    by_deadline = deadline - needed
    spare = target_deadline - now - needed
    if spare <= 0 or spare == math.inf:
        return by_deadline
    wait = max(WAIT_TARGET_FRACTION * spare, spare - needed)
    return min(by_deadline, now + wait)


def compute_grant_deadline(
    body_bytes: int,
    link: Link,
    *,
    deadline: float,
    target_deadline: float,
    now: float,
) -> float:
    """Return until when a sender waits for the receiver to ask for a body.

    The receiver refuses a body earlier, so that one without an answer by then is lost
    or doesn't run.
    """
    needed = body_bytes / link.bytes_per_second
    latest = compute_latest_begin(needed, deadline, target_deadline, now)
    return min(latest + GRANT_MARGIN_SECONDS, deadline - needed)


def estimate_transfer(body_bytes: int, own: Link, target: Link, now: float) -> float:
    """Return the seconds until a body has passed the links of both hosts."""
    own_end = own.estimate_end(body_bytes, now)
    return max(own_end, target.estimate_end(body_bytes, now)) - now


def may_arrive(seconds: float, deadline: float, now: float) -> bool:
    """Return whether a request that is served after ``seconds`` is worth sending."""
    return deadline == math.inf or now + seconds <= deadline
