"""Transfer of large request bodies over the links of the hosts."""

from __future__ import annotations

import math

# Share of a link's bandwidth that one transfer may count on: responses, nested calls
# and the uploads of other senders use the links as well.
USABLE_LINK_SHARE = 0.7
BITS_PER_BYTE = 8
# Bandwidth assumed for a link of unknown bandwidth; 0 in the membership messages.
UNKNOWN_LINK_MBPS = 100


def estimate_transfer(
    body_bytes: int,
    *,
    own_link_mbps: int,
    target_link_mbps: int,
    own_queued_bytes: int = 0,
    target_queued_bytes: int = 0,
) -> float:
    """Return the seconds until a body has arrived.

    The bodies already being sent (``own_queued_bytes`` over the sender's link, of which
    ``target_queued_bytes`` go to the same host) share the links.
    """
    own = (body_bytes + own_queued_bytes) / _get_rate(own_link_mbps)
    target = (body_bytes + target_queued_bytes) / _get_rate(target_link_mbps)
    return max(own, target)


def may_arrive(transfer: float, service: float, deadline: float, now: float) -> bool:
    """Return whether a body that takes ``transfer`` seconds is worth sending."""
    return deadline == math.inf or now + transfer + service <= deadline


def _get_rate(link_mbps: int) -> float:
    bits = (link_mbps or UNKNOWN_LINK_MBPS) * 1e6 * USABLE_LINK_SHARE
    return bits / BITS_PER_BYTE
