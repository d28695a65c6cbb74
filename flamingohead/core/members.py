"""Members of a failure domain and the upstreams they announce."""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import IntEnum

LOAD_STEP = 0.25


class MemberStatus(IntEnum):
    """Enumerate the statuses of a member, by precedence at equal incarnation."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class UpstreamStatus(IntEnum):
    """Enumerate the statuses of an upstream, which decide what it may be used for."""

    WARMING = 0
    READY = 1
    DRAINING = 2
    GONE = 3
    # Its daemon is stopping: only used where no other upstream is available.
    LEAVING = 4


@dataclass(frozen=True)
class UpstreamState:
    """Describe an upstream as announced to other daemons.

    ``slots`` is the number of parallel requests it accepts, ``load`` the fraction of
    slots in use, from 0 to 1 in steps of ``LOAD_STEP``.
    """

    name: str
    service: str
    status: UpstreamStatus
    slots: int
    load: float = 0.0


@dataclass(frozen=True, order=True)
class Departure:
    """Identify the incarnation of an upstream that has left its host.

    ``recorded_at`` is wall-clock time in milliseconds; it orders the departures of a
    host, each later than the one before.
    """

    recorded_at: int
    name: str
    incarnation: int


@dataclass(frozen=True)
class Member:
    """Describe a daemon as known to its failure domain.

    ``accuser`` is the host id of the member that suspects this one or declared it dead.
    Members of the same ``group`` track each other individually; an empty group stands
    for the whole failure domain. ``capacity`` orders the hosts by how fast they apply a
    large configuration, and ``link_mbps`` is the bandwidth of the host's link, 0 if it
    is not known. ``departure`` outlives the daemon: the other members hand it to
    the next daemon of the host.
    """

    host_id: str
    failure_domain: str
    peer_address: str
    relay_address: str
    incarnation: int
    status: MemberStatus = MemberStatus.ALIVE
    upstreams: tuple[UpstreamState, ...] = ()
    accuser: str = ""
    group: str = ""
    capacity: int = 0
    departure: Departure | None = None
    link_mbps: int = 0

    @property
    def gossip_group(self) -> str:
        return self.group or self.failure_domain

    @property
    def is_usable(self) -> bool:
        return self.status in (MemberStatus.ALIVE, MemberStatus.SUSPECT)

    def supersedes(self, other: Member) -> bool:
        """Return whether this state replaces ``other`` for the same host."""
        if self.incarnation != other.incarnation:
            return self.incarnation > other.incarnation
        return self.status > other.status

    def with_status(self, status: MemberStatus, *, accuser: str = "") -> Member:
        return replace(self, status=status, accuser=accuser)


@dataclass(frozen=True)
class ObservedVersion:
    """Store the last version that a member advertised, and when it was received."""

    version: int
    observed_at: float
