"""SWIM-style membership of one failure domain.

A member probes one other member each period, first directly, then through a few
others. A member that answers neither is suspected, and declared dead unless it
refutes the suspicion with a higher incarnation. Updates ride on the probes. A prober
that is slow itself stretches its timeouts (Lifeguard), and one that was paused drops
what it concluded before.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from flamingohead.core.datagrams import DatagramBuilder, SendDatagram
from flamingohead.core.memberlist import MemberChanged, MemberList
from flamingohead.core.members import HeardVersion, Member, MemberStatus, UpstreamState
from flamingohead.core.messages import (
    MAX_DATAGRAM_BYTES,
    Ack,
    Datagram,
    Gossip,
    News,
    Ping,
    PingRequest,
    estimate_envelope_size,
)
from flamingohead.core.probes import Probe, RelayedProbe

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

    from flamingohead.core.messages import Body
    from flamingohead.core.probes import Health
    from flamingohead.core.versions import VersionRecord

INDIRECT_PROBES = 3
LEAVE_FANOUT = 8
ALTERNATIVES = 4
MAX_SPREAD = 64


@dataclass(frozen=True)
class MembershipSettings:
    """Set the periods of the failure detector, in seconds.

    A time between two events longer than ``pause_threshold`` means that this process
    was paused.
    """

    probe_period: float = 1.0
    probe_timeout: float = 0.3
    shortest_suspicion: float = 2.0
    longest_suspicion: float = 5.0
    gossip_period: float = 0.5
    dead_probe_period: float = 10.0
    tombstone_period: float = 3600.0
    pause_threshold: float = 0.5


MembershipEffect = SendDatagram | MemberChanged


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
        self.heard_versions: dict[str, HeardVersion] = {}
        self._list = MemberList(myself, settings)
        self._settings = settings
        self._random = random
        self._datagrams = DatagramBuilder(self._list, random.getrandbits(32))
        self._probe: Probe | None = None
        self._next_probe_at = 0.0
        self._next_gossip_at = 0.0
        self._next_dead_probe_at = 0.0
        self._last_at: float | None = None
        self._probe_order: list[str] = []
        self._relayed: dict[int, RelayedProbe] = {}

    # Views

    @property
    def myself(self) -> Member:
        return self._list.myself

    @property
    def members(self) -> dict[str, Member]:
        """Return the usable members other than this one, by host id."""
        return self._list.members

    @property
    def health(self) -> Health:
        return self._list.health

    def list_alive(self) -> list[Member]:
        """Return the usable members other than this one."""
        return list(self.members.values())

    def count_members(self) -> int:
        return 1 + len(self.members)

    def list_all(self) -> list[Member]:
        """Return this member, the usable ones and those known to be gone."""
        return [self.myself, *self.members.values(), *self._list.tombstones]

    def choose_alternatives(self) -> tuple[str, ...]:
        """Return the addresses of a few members, for a peer that is put off."""
        chosen = self.choose_members(ALTERNATIVES)
        return tuple(member.peer_address for member in chosen)

    # Events

    def set_version(self, version: int) -> None:
        """Set the configuration version that datagrams advertise."""
        self._datagrams.version = version

    def set_follows_source(self, follows: bool) -> None:
        """Set whether datagrams state that this member follows the source."""
        self._datagrams.follows_source = follows

    def set_store_era(self, era: int) -> None:
        """Set the era of the platform's store that datagrams tell of."""
        self._datagrams.store_era = era

    def set_upstreams(self, upstreams: Iterable[UpstreamState]) -> None:
        """Announce new states of the upstreams on this host."""
        upstreams = tuple(upstreams)
        if upstreams != self.myself.upstreams:
            self._list.restate(upstreams=upstreams)

    def leave(self) -> list[MembershipEffect]:
        """Announce that this member leaves."""
        self._list.restate(status=MemberStatus.LEFT)
        return self.spread_state()

    def spread_state(self) -> list[MembershipEffect]:
        """Tell a few members the state of this one at once."""
        return [
            self._datagrams.send(member.peer_address, Gossip(), first=(self.myself,))
            for member in self.choose_members(LEAVE_FANOUT)
        ]

    def merge(self, members: Iterable[Member], now: float) -> list[MembershipEffect]:
        """Take in member states learned from a peer, and tell them on."""
        self._note_time(now)
        return self._take_updates(members, now)

    def take_state(
        self, members: Iterable[Member], now: float
    ) -> list[MembershipEffect]:
        """Take in the state that a peer gave at a join.

        A member that knew nobody tells on nothing of it, since the others know
        already; one that did may have come from another part of the failure domain.
        """
        self._note_time(now)
        room = MAX_SPREAD if self.members else 0
        effects: list[MembershipEffect] = []
        for member in members:
            taken = self._take_updates([member], now, spread=len(effects) < room)
            effects += taken
        return effects

    def build_news(
        self, record: VersionRecord, members: Iterable[Member], *, size: int
    ) -> list[SendDatagram]:
        """Return datagrams that tell members of a record of ``size`` bytes.

        A record too large for a datagram is left out; the version on the datagram
        then leads to a pull.
        """
        room = MAX_DATAGRAM_BYTES - estimate_envelope_size(self.myself)
        body = News(record) if size <= room else Gossip()
        used = size if size <= room else 0
        return [
            self._datagrams.send(member.peer_address, body, size=used)
            for member in members
        ]

    def build_pings(self, host_ids: Iterable[str]) -> list[SendDatagram]:
        """Return pings whose answers tell the versions of some members."""
        members = [self.members[h] for h in host_ids if h in self.members]
        return [
            self._datagrams.ping(m.peer_address, size=MAX_DATAGRAM_BYTES)
            for m in members
        ]

    def build_remote(self, address: str, sequence: int, body: Body) -> SendDatagram:
        """Return a datagram to a daemon of another failure domain."""
        return self._datagrams.send(address, body, sequence, size=MAX_DATAGRAM_BYTES)

    def tick(self, now: float) -> list[MembershipEffect]:
        """Advance probes, suspicions and removals to ``now``."""
        self._note_time(now)
        effects = self._advance_probe(now)
        effects += self._expire(now)
        if self._probe is None and now >= self._next_probe_at:
            effects += self._start_probe(now)
        if now >= self._next_gossip_at:
            effects += self._gossip(now)
            effects += self._tell_accused()
        if now >= self._next_dead_probe_at:
            effects += self._probe_dead(now)
        return effects

    def receive(self, datagram: Datagram, now: float) -> list[MembershipEffect]:
        """Handle a datagram from a member of this failure domain."""
        self._note_time(now)
        effects = self._take_updates(datagram.updates, now)
        if datagram.sender in self.members:
            heard = HeardVersion(datagram.version, now)
            self.heard_versions[datagram.sender] = heard
        body = datagram.body
        if isinstance(body, Ping):
            effects.append(self._answer_ping(datagram))
        elif isinstance(body, PingRequest):
            effects.append(self._relay_probe(datagram, body, now))
        elif isinstance(body, Ack):
            effects += self._take_ack(datagram, body)
        return effects

    def _note_time(self, now: float) -> None:
        """Drop what was concluded before a pause of this process."""
        last_at = self._last_at
        self._last_at = now
        if last_at is None or now - last_at <= self._settings.pause_threshold:
            return
        self._probe = None
        self._relayed.clear()
        self.health.worsen()
        self._list.restart_suspicions(now)

    def _expire(self, now: float) -> list[MembershipEffect]:
        for sequence, relayed in list(self._relayed.items()):
            if now >= relayed.expires_at:
                del self._relayed[sequence]
        return self._note_changes(self._list.expire(now))

    def _take_updates(
        self, members: Iterable[Member], now: float, *, spread: bool = True
    ) -> list[MembershipEffect]:
        effects: list[MemberChanged] = []
        for member in members:
            effects += self._list.take_update(member, now, spread=spread)
        return self._note_changes(effects)

    def _note_changes(self, effects: list[MemberChanged]) -> list[MembershipEffect]:
        for effect in effects:
            if not effect.member.is_usable:
                self.heard_versions.pop(effect.member.host_id, None)
        return list(effects)

    # Probing

    def _start_probe(self, now: float) -> list[MembershipEffect]:
        period = self._settings.probe_period * self.health.factor
        self._next_probe_at = now + period
        target = self._choose_target()
        if target is None:
            return []
        suspected = (target,) if target.status is MemberStatus.SUSPECT else ()
        ping = self._datagrams.ping(target.peer_address, first=suspected)
        self._probe = Probe(
            ping.datagram.sequence,
            target,
            now + self._settings.probe_timeout * self.health.factor,
            now + period,
        )
        return [ping]

    def _choose_target(self) -> Member | None:
        while True:
            if not self._probe_order:
                self._probe_order = list(self.members)
                self._random.shuffle(self._probe_order)
                if not self._probe_order:
                    return None
            member = self.members.get(self._probe_order.pop())
            if member is not None:
                return member

    def choose_members(self, count: int, *, excluded: str = "") -> list[Member]:
        """Return some random usable members other than this one."""
        others = [m for m in self.members.values() if m.host_id != excluded]
        return self._random.sample(others, min(len(others), count))

    def _advance_probe(self, now: float) -> list[MembershipEffect]:
        probe = self._probe
        if probe is None:
            return []
        if now >= probe.ends_at:
            self._probe = None
            self.health.worsen()
            return self._list.suspect(probe.target, now)
        if now >= probe.indirect_at and not probe.indirect_sent:
            probe.indirect_sent = True
            return self._send_indirect_probes(probe)
        return []

    def _send_indirect_probes(self, probe: Probe) -> list[MembershipEffect]:
        """Probe again through others, and once more directly."""
        address = probe.target.peer_address
        effects = [self._datagrams.send(address, Ping(), probe.sequence)]
        chosen = self.choose_members(INDIRECT_PROBES, excluded=probe.target.host_id)
        body = PingRequest(address)
        effects += [
            self._datagrams.send(m.peer_address, body, probe.sequence) for m in chosen
        ]
        return effects

    def _relay_probe(
        self, datagram: Datagram, body: PingRequest, now: float
    ) -> MembershipEffect:
        ping = self._datagrams.ping(body.target)
        self._relayed[ping.datagram.sequence] = RelayedProbe(
            datagram.sender_address,
            datagram.sequence,
            now + self._settings.probe_period,
        )
        return ping

    def _answer_ping(self, datagram: Datagram) -> MembershipEffect:
        """Acknowledge; tell a sender held to be suspect or dead, so it can refute.

        A sender that holds an older state of this member is told the current one.
        """
        first: list[Member] = []
        held = self._list.get_held(datagram.sender)
        if held is not None and held.status is not MemberStatus.ALIVE:
            first.append(held)
        if any(member.host_id == self.myself.host_id for member in datagram.updates):
            first.append(self.myself)
        known = held is not None and held.is_usable
        ack = Ack(self.myself.host_id, unknown_sender=not known)
        return self._datagrams.send(
            datagram.sender_address, ack, datagram.sequence, first=tuple(first)
        )

    def _take_ack(self, datagram: Datagram, body: Ack) -> list[MembershipEffect]:
        if body.unknown_sender and body.subject == datagram.sender:
            address = datagram.sender_address
            return [
                *self._end_probe(datagram, body),
                self._datagrams.send(address, Gossip(), first=(self.myself,)),
            ]
        return self._end_probe(datagram, body)

    def _end_probe(self, datagram: Datagram, body: Ack) -> list[MembershipEffect]:
        relayed = self._relayed.get(datagram.sequence)
        if relayed is not None:
            return [
                self._datagrams.send(
                    relayed.requester_address, body, relayed.requester_sequence
                )
            ]
        probe = self._probe
        if probe is None or probe.sequence != datagram.sequence:
            return []
        if probe.target.host_id == body.subject:
            self._probe = None
            self.health.improve()
        return []

    def _probe_dead(self, now: float) -> list[MembershipEffect]:
        """Ping a dead member at times, so that the two sides of a cut meet again."""
        period = self._settings.dead_probe_period
        self._next_dead_probe_at = now + self._random.uniform(0.5, 1.5) * period
        dead = self._list.tombstones.choose_dead(self._random)
        if dead is None:
            return []
        return [self._datagrams.ping(dead.peer_address, first=(dead,))]

    def _tell_accused(self) -> list[MembershipEffect]:
        """Tell the members that this one suspects, so that they can refute soon."""
        accused = self._list.list_accused()
        return [self._datagrams.ping(m.peer_address, first=(m,)) for m in accused]

    def _gossip(self, now: float) -> list[MembershipEffect]:
        self._next_gossip_at = now + self._settings.gossip_period
        if not self._list.queue:
            return []
        chosen = self.choose_members(1)
        return [
            self._datagrams.send(member.peer_address, Gossip()) for member in chosen
        ]
