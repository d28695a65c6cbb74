"""Upstreams that are eligible to receive requests."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from flamingohead.core.members import UpstreamStatus

if TYPE_CHECKING:
    from flamingohead.core.members import Member

UpstreamKey = tuple[str, str]


@dataclass(frozen=True)
class Candidate:
    """Describe an upstream: its host, the host's relay address and its slots.

    A ``leaving`` upstream is used only for requests that have no alternative.
    ``link_mbps`` is the bandwidth of the host's link, 0 if it is not known.
    """

    host_id: str
    relay_address: str
    upstream: str
    service: str
    slots: int
    failure_domain: str = ""
    leaving: bool = False
    link_mbps: int = 0

    @property
    def key(self) -> UpstreamKey:
        return self.host_id, self.upstream


def list_candidates(
    member: Member, *, include_leaving: bool = False
) -> tuple[Candidate, ...]:
    """Return the ready upstreams of a member; none if it is not usable.

    With ``include_leaving``, upstreams of a host that is being stopped are included.
    """
    statuses = {UpstreamStatus.READY}
    if include_leaving:
        statuses.add(UpstreamStatus.LEAVING)
    if not member.is_usable:
        return ()
    return tuple(
        Candidate(
            member.host_id,
            member.relay_address,
            upstream.name,
            upstream.service,
            upstream.slots,
            member.failure_domain,
            upstream.status is UpstreamStatus.LEAVING,
            member.link_mbps,
        )
        for upstream in member.upstreams
        if upstream.status in statuses
    )
