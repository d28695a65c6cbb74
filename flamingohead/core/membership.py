"""SWIM-style membership of one failure domain.

A member probes one other member each period, first directly, then through a few
others. A member that answers neither is suspected, and declared dead unless it
refutes the suspicion with a higher incarnation. Updates ride on the probes.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from flamingohead.core.members import Member, MemberStatus, UpstreamState
from flamingohead.core.messages import Ack, Datagram, News, Ping, PingRequest

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

    from flamingohead.core.messages import Body
    from flamingohead.core.versions import VersionRecord

MAX_UPDATES_PER_DATAGRAM = 8
INDIRECT_PROBES = 3
TRANSMIT_FACTOR = 3


@dataclass(frozen=True)
class MembershipSettings:
    """Set the periods of the failure detector, in seconds."""

    probe_period: float = 1.0
    probe_timeout: float = 0.3
    suspicion_period: float = 4.0
    removal_period: float = 60.0


@dataclass(frozen=True)
class SendDatagram:
    """Send a datagram to an address."""

    address: str
    datagram: Datagram


@dataclass(frozen=True)
class MemberChanged:
    """Report a new state of a member."""

    member: Member
    previous: Member | None


MembershipEffect = SendDatagram | MemberChanged


@dataclass
class _Probe:
    sequence: int
    target: Member
    indirect_at: float
    ends_at: float
    indirect_sent: bool = False


@dataclass
class _Relayed:
    requester_address: str
    requester_sequence: int
    expires_at: float


class Membership:
    """Decide which members of a failure domain are alive.

    Times are seconds on the caller's monotonic clock.
    """

    def __init__(
        self,
        myself: Member,
        *,
        random: Random,
        settings: MembershipSettings = MembershipSettings(),
    ) -> None:
        self.myself = myself
        self.members: dict[str, Member] = {}
        self.version = 0
        self.digest = b""
        self._settings = settings
        self._random = random
        self._sequence = 0
        self._probe: _Probe | None = None
        self._next_probe_at = 0.0
        self._probe_order: list[str] = []
        self._deadlines: dict[str, float] = {}
        self._transmits: dict[str, int] = {myself.host_id: 0}
        self._relayed: dict[int, _Relayed] = {}

    # Views

    def list_alive(self) -> list[Member]:
        """Return the usable members other than this one."""
        return [member for member in self.members.values() if member.is_usable]

    def count_members(self) -> int:
        return 1 + len(self.list_alive())

    def list_all(self) -> list[Member]:
        return [self.myself, *self.members.values()]

    # Events

    def set_version(self, version: int, digest: bytes) -> None:
        """Set the configuration version that datagrams advertise."""
        self.version = version
        self.digest = digest

    def set_upstreams(self, upstreams: Iterable[UpstreamState]) -> None:
        """Announce new states of the upstreams on this host."""
        upstreams = tuple(upstreams)
        if upstreams != self.myself.upstreams:
            self._restate(upstreams=upstreams)

    def leave(self) -> list[MembershipEffect]:
        """Announce that this member leaves."""
        self._restate(status=MemberStatus.LEFT)
        alive = self.list_alive()
        chosen = self._random.sample(alive, min(len(alive), INDIRECT_PROBES))
        return [self._send(member.peer_address, Ping()) for member in chosen]

    def merge(self, members: Iterable[Member], now: float) -> list[MembershipEffect]:
        """Take in member states learned from a peer."""
        effects: list[MembershipEffect] = []
        for member in members:
            effects += self._take_update(member, now)
        return effects

    def build_news(self, record: VersionRecord, fanout: int) -> list[SendDatagram]:
        """Return datagrams that push a record to ``fanout`` random members."""
        alive = self.list_alive()
        chosen = self._random.sample(alive, min(len(alive), fanout))
        return [self._send(member.peer_address, News(record)) for member in chosen]

    def tick(self, now: float) -> list[MembershipEffect]:
        """Advance probes, suspicions and removals to ``now``."""
        effects = self._advance_probe(now)
        effects += self._expire_members(now)
        if self._probe is None and now >= self._next_probe_at:
            effects += self._start_probe(now)
        return effects

    def receive(self, datagram: Datagram, now: float) -> list[MembershipEffect]:
        """Handle a datagram from a member of this failure domain."""
        effects: list[MembershipEffect] = []
        for member in datagram.updates:
            effects += self._take_update(member, now)
        body = datagram.body
        if isinstance(body, Ping):
            ack = Ack(self.myself.host_id)
            effects.append(self._send(datagram.sender_address, ack, datagram.sequence))
        elif isinstance(body, PingRequest):
            effects.append(self._relay_probe(datagram, body, now))
        elif isinstance(body, Ack):
            effects += self._take_ack(datagram, body, now)
        return effects

    # Probing

    def _start_probe(self, now: float) -> list[MembershipEffect]:
        target = self._choose_target()
        self._next_probe_at = now + self._settings.probe_period
        if target is None:
            return []
        self._sequence += 1
        self._probe = _Probe(
            self._sequence,
            target,
            now + self._settings.probe_timeout,
            now + self._settings.probe_period,
        )
        return [self._send(target.peer_address, Ping(), self._sequence)]

    def _choose_target(self) -> Member | None:
        while True:
            if not self._probe_order:
                self._probe_order = [member.host_id for member in self.list_alive()]
                self._random.shuffle(self._probe_order)
                if not self._probe_order:
                    return None
            member = self.members.get(self._probe_order.pop())
            if member is not None and member.is_usable:
                return member

    def _advance_probe(self, now: float) -> list[MembershipEffect]:
        probe = self._probe
        if probe is None:
            return []
        if now >= probe.ends_at:
            self._probe = None
            return self._suspect(probe.target, now)
        if now >= probe.indirect_at and not probe.indirect_sent:
            probe.indirect_sent = True
            return self._send_indirect_probes(probe)
        return []

    def _send_indirect_probes(self, probe: _Probe) -> list[MembershipEffect]:
        others = [m for m in self.list_alive() if m.host_id != probe.target.host_id]
        chosen = self._random.sample(others, min(len(others), INDIRECT_PROBES))
        body = PingRequest(probe.target.peer_address)
        return [self._send(m.peer_address, body, probe.sequence) for m in chosen]

    def _relay_probe(
        self, datagram: Datagram, body: PingRequest, now: float
    ) -> MembershipEffect:
        self._sequence += 1
        self._relayed[self._sequence] = _Relayed(
            datagram.sender_address,
            datagram.sequence,
            now + self._settings.probe_period,
        )
        return self._send(body.target, Ping(), self._sequence)

    def _take_ack(
        self, datagram: Datagram, body: Ack, now: float
    ) -> list[MembershipEffect]:
        relayed = self._relayed.pop(datagram.sequence, None)
        if relayed is not None:
            return [
                self._send(relayed.requester_address, body, relayed.requester_sequence)
            ]
        probe = self._probe
        if probe is None or probe.sequence != datagram.sequence:
            return []
        if probe.target.host_id == body.subject:
            self._probe = None
        return []

    # Member states

    def _suspect(self, target: Member, now: float) -> list[MembershipEffect]:
        current = self.members.get(target.host_id)
        if current is None or current.status is not MemberStatus.ALIVE:
            return []
        if current.incarnation != target.incarnation:
            return []
        return self._store(current.with_status(MemberStatus.SUSPECT), now)

    def _take_update(self, member: Member, now: float) -> list[MembershipEffect]:
        if member.host_id == self.myself.host_id:
            self._refute(member)
            return []
        if member.failure_domain != self.myself.failure_domain:
            return []
        current = self.members.get(member.host_id)
        if current is None and not member.is_usable:
            return []
        if current is not None and not member.supersedes(current):
            return []
        return self._store(member, now)

    def _refute(self, member: Member) -> None:
        if member.incarnation < self.myself.incarnation:
            return
        if member == self.myself:
            return
        self._restate(incarnation=member.incarnation + 1)

    def _restate(self, *, incarnation: int | None = None, **changes) -> None:
        if incarnation is None:
            incarnation = self.myself.incarnation + 1
        self.myself = replace(self.myself, incarnation=incarnation, **changes)
        self._transmits[self.myself.host_id] = 0

    def _store(self, member: Member, now: float) -> list[MembershipEffect]:
        previous = self.members.get(member.host_id)
        self.members[member.host_id] = member
        self._transmits[member.host_id] = 0
        if member.status is MemberStatus.ALIVE:
            self._deadlines.pop(member.host_id, None)
        elif member.status is MemberStatus.SUSPECT:
            self._deadlines[member.host_id] = now + self._settings.suspicion_period
        else:
            self._deadlines[member.host_id] = now + self._settings.removal_period
        return [MemberChanged(member, previous)]

    def _expire_members(self, now: float) -> list[MembershipEffect]:
        effects: list[MembershipEffect] = []
        for host_id, deadline in list(self._deadlines.items()):
            if now < deadline:
                continue
            member = self.members[host_id]
            if member.status is MemberStatus.SUSPECT:
                effects += self._store(member.with_status(MemberStatus.DEAD), now)
            else:
                del self.members[host_id]
                del self._deadlines[host_id]
                self._transmits.pop(host_id, None)
        for sequence, relayed in list(self._relayed.items()):
            if now >= relayed.expires_at:
                del self._relayed[sequence]
        return effects

    # Sending

    def _send(
        self, address: str, body: Body, sequence: int | None = None
    ) -> SendDatagram:
        datagram = Datagram(
            sender=self.myself.host_id,
            sender_address=self.myself.peer_address,
            failure_domain=self.myself.failure_domain,
            sequence=self._sequence if sequence is None else sequence,
            version=self.version,
            digest=self.digest,
            body=body,
            updates=self._choose_updates(),
        )
        return SendDatagram(address, datagram)

    def _choose_updates(self) -> tuple[Member, ...]:
        limit = TRANSMIT_FACTOR * math.ceil(math.log2(len(self.members) + 2))
        order = sorted(self._transmits, key=self._transmits.__getitem__)
        chosen = order[:MAX_UPDATES_PER_DATAGRAM]
        for host_id in chosen:
            self._transmits[host_id] += 1
            if self._transmits[host_id] >= limit:
                del self._transmits[host_id]
        return tuple(self._get_member(host_id) for host_id in chosen)

    def _get_member(self, host_id: str) -> Member:
        if host_id == self.myself.host_id:
            return self.myself
        return self.members[host_id]
