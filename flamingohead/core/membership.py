"""SWIM-style membership of one failure domain.

Each member probes one other member per period, first directly and then indirectly
through a few other members. A member that acknowledges neither probe becomes suspect,
and is declared dead unless it refutes the suspicion with a higher incarnation. Member
updates are piggybacked on the probes. A prober that is itself slow extends its
timeouts (Lifeguard), and one that was paused discards its pending probes and restarts
its suspicion timers.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from flamingohead.core.datagrams import DatagramBuilder, SendDatagram
from flamingohead.core.memberlist import MemberChanged, MemberList
from flamingohead.core.members import (
    Departure,
    Member,
    MemberStatus,
    ObservedVersion,
    UpstreamState,
)
from flamingohead.core.messages import (
    MAX_DATAGRAM_BYTES,
    Ack,
    Datagram,
    Gossip,
    Ping,
    PingRequest,
    RecordPush,
    estimate_envelope_size,
)
from flamingohead.core.probes import Probe, RelayedProbe

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

    from flamingohead.core.messages import Body
    from flamingohead.core.probes import Health
    from flamingohead.core.versions import VersionRecord

INDIRECT_PROBE_COUNT = 3
STATE_FANOUT = 8
ALTERNATIVE_COUNT = 4
MAX_GOSSIPED_JOIN_STATES = 64


@dataclass(frozen=True)
class MembershipSettings:
    """Configure the periods of the failure detector, in seconds.

    A gap between two events longer than ``pause_threshold`` means that this process
    was paused.
    """

    probe_period: float = 1.0
    probe_timeout: float = 0.3
    minimum_suspicion: float = 2.0
    maximum_suspicion: float = 5.0
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
        local_member: Member,
        *,
        random: Random,
        settings: MembershipSettings = MembershipSettings(),
    ) -> None:
        self.observed_versions: dict[str, ObservedVersion] = {}
        self._member_list = MemberList(local_member, settings)
        self._settings = settings
        self._random = random
        self._datagrams = DatagramBuilder(self._member_list, random.getrandbits(32))
        self._probe: Probe | None = None
        self._next_probe_at = 0.0
        self._next_gossip_at = 0.0
        self._next_dead_probe_at = 0.0
        self._last_event_at: float | None = None
        self._probe_order: list[str] = []
        self._relayed_probes: dict[int, RelayedProbe] = {}

    # Views

    @property
    def local_member(self) -> Member:
        return self._member_list.local_member

    @property
    def members(self) -> dict[str, Member]:
        """Return the usable members other than this one, by host id."""
        return self._member_list.members

    @property
    def health(self) -> Health:
        return self._member_list.health

    def list_usable(self) -> list[Member]:
        """Return the usable members other than this one."""
        return list(self.members.values())

    def count_members(self) -> int:
        return 1 + len(self.members)

    def list_all(self) -> list[Member]:
        """Return this member, the usable members and those that died or left."""
        return [
            self.local_member,
            *self.members.values(),
            *self._member_list.tombstones,
        ]

    def choose_alternative_peers(self) -> tuple[str, ...]:
        """Return the addresses of a few members, for a peer whose join is deferred."""
        alternatives = self.choose_members(ALTERNATIVE_COUNT)
        return tuple(member.peer_address for member in alternatives)

    # Events

    def set_version(self, version: int) -> None:
        """Set the configuration version that datagrams advertise."""
        self._datagrams.version = version

    @property
    def follows_source(self) -> bool:
        """Return whether this daemon reaches the configuration source."""
        return self._datagrams.follows_source

    def set_follows_source(self, follows: bool) -> None:
        """Set whether datagrams state that this member follows the source."""
        self._datagrams.follows_source = follows

    def set_store_era(self, era: int) -> None:
        """Set the era of the platform's store that datagrams advertise."""
        self._datagrams.store_era = era

    def set_upstreams(self, upstreams: Iterable[UpstreamState]) -> None:
        """Announce the upstreams on this host if their states have changed."""
        upstreams = tuple(upstreams)
        if upstreams != self.local_member.upstreams:
            self._member_list.update_local_member(upstreams=upstreams)

    def keep_departure(self, host_id: str, departure: Departure) -> bool:
        """Keep the departure of an upstream for the next daemon of a host.

        Returns whether it is kept; it is not if a later one is known.
        """
        return self._member_list.keep_departure(host_id, departure)

    def leave(self) -> list[MembershipEffect]:
        """Announce that this member leaves."""
        self._member_list.update_local_member(status=MemberStatus.LEFT)
        return self.gossip_state()

    def gossip_state(self) -> list[MembershipEffect]:
        """Return datagrams that send the local state to a few members at once."""
        return [
            self._datagrams.send(
                member.peer_address, Gossip(), priority_updates=(self.local_member,)
            )
            for member in self.choose_members(STATE_FANOUT)
        ]

    def merge(self, members: Iterable[Member], now: float) -> list[MembershipEffect]:
        """Merge member states received from a peer, and queue them for gossip."""
        self._detect_pause(now)
        return self._apply_updates(members, now)

    def merge_join_state(
        self, members: Iterable[Member], now: float
    ) -> list[MembershipEffect]:
        """Merge the state that a peer returned to a join.

        A member that knew no other member gossips none of it, since the existing
        members know it already. A member that knew some may have come from another
        partition of the failure domain, so it gossips up to
        ``MAX_GOSSIPED_JOIN_STATES`` changes.
        """
        self._detect_pause(now)
        limit = MAX_GOSSIPED_JOIN_STATES if self.members else 0
        effects: list[MembershipEffect] = []
        for member in members:
            changes = self._apply_updates(
                [member], now, disseminate=len(effects) < limit
            )
            effects += changes
        return effects

    def build_record_pushes(
        self, record: VersionRecord, members: Iterable[Member], *, size: int
    ) -> list[SendDatagram]:
        """Return datagrams that push a record of ``size`` bytes to some members.

        A record too large for a datagram is left out; the version advertised by the
        datagram then makes the receiver pull it.
        """
        max_size = MAX_DATAGRAM_BYTES - estimate_envelope_size(self.local_member)
        body = RecordPush(record) if size <= max_size else Gossip()
        body_size = size if size <= max_size else 0
        return [
            self._datagrams.send(member.peer_address, body, size=body_size)
            for member in members
        ]

    def build_version_pings(self, host_ids: Iterable[str]) -> list[SendDatagram]:
        """Return pings whose acknowledgements report the versions of some members."""
        members = [self.members[h] for h in host_ids if h in self.members]
        return [
            self._datagrams.ping(m.peer_address, size=MAX_DATAGRAM_BYTES)
            for m in members
        ]

    def build_remote_datagram(
        self, address: str, sequence: int, body: Body
    ) -> SendDatagram:
        """Return a datagram to a daemon of another failure domain."""
        return self._datagrams.send(address, body, sequence, size=MAX_DATAGRAM_BYTES)

    def tick(self, now: float) -> list[MembershipEffect]:
        """Advance probes, suspicions and removals to ``now``."""
        self._detect_pause(now)
        effects = self._advance_probe(now)
        effects += self._expire(now)
        if self._probe is None and now >= self._next_probe_at:
            effects += self._start_probe(now)
        if now >= self._next_gossip_at:
            effects += self._gossip(now)
            effects += self._notify_suspected()
        if now >= self._next_dead_probe_at:
            effects += self._probe_dead(now)
        return effects

    def receive(self, datagram: Datagram, now: float) -> list[MembershipEffect]:
        """Handle a datagram from a member of this failure domain."""
        self._detect_pause(now)
        effects = self._apply_updates(datagram.updates, now)
        if datagram.sender in self.members:
            observed = ObservedVersion(datagram.version, now)
            self.observed_versions[datagram.sender] = observed
        body = datagram.body
        if isinstance(body, Ping):
            effects.append(self._acknowledge_ping(datagram))
        elif isinstance(body, PingRequest):
            effects.append(self._relay_probe(datagram, body, now))
        elif isinstance(body, Ack):
            effects += self._handle_ack(datagram, body)
        return effects

    def _detect_pause(self, now: float) -> None:
        """Discard pending probes and restart suspicions after a process pause."""
        previous_at = self._last_event_at
        self._last_event_at = now
        if previous_at is None or now - previous_at <= self._settings.pause_threshold:
            return
        self._probe = None
        self._relayed_probes.clear()
        self.health.worsen()
        self._member_list.restart_suspicions(now)

    def _expire(self, now: float) -> list[MembershipEffect]:
        for sequence, relayed in list(self._relayed_probes.items()):
            if now >= relayed.expires_at:
                del self._relayed_probes[sequence]
        return self._process_changes(self._member_list.expire(now))

    def _apply_updates(
        self, members: Iterable[Member], now: float, *, disseminate: bool = True
    ) -> list[MembershipEffect]:
        effects: list[MemberChanged] = []
        for member in members:
            effects += self._member_list.apply_update(
                member, now, disseminate=disseminate
            )
        return self._process_changes(effects)

    def _process_changes(self, effects: list[MemberChanged]) -> list[MembershipEffect]:
        for effect in effects:
            if not effect.member.is_usable:
                self.observed_versions.pop(effect.member.host_id, None)
        return list(effects)

    # Probing

    def _start_probe(self, now: float) -> list[MembershipEffect]:
        period = self._settings.probe_period * self.health.factor
        self._next_probe_at = now + period
        target = self._choose_target()
        if target is None:
            return []
        suspected = (target,) if target.status is MemberStatus.SUSPECT else ()
        ping = self._datagrams.ping(target.peer_address, priority_updates=suspected)
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
        candidates = [m for m in self.members.values() if m.host_id != excluded]
        return self._random.sample(candidates, min(len(candidates), count))

    def _advance_probe(self, now: float) -> list[MembershipEffect]:
        probe = self._probe
        if probe is None:
            return []
        if now >= probe.ends_at:
            self._probe = None
            self.health.worsen()
            return self._member_list.suspect(probe.target, now)
        if now >= probe.indirect_at and not probe.indirect_sent:
            probe.indirect_sent = True
            return self._send_indirect_probes(probe)
        return []

    def _send_indirect_probes(self, probe: Probe) -> list[MembershipEffect]:
        """Probe through other members, and once more directly."""
        address = probe.target.peer_address
        effects = [self._datagrams.send(address, Ping(), probe.sequence)]
        relays = self.choose_members(
            INDIRECT_PROBE_COUNT, excluded=probe.target.host_id
        )
        body = PingRequest(address)
        effects += [
            self._datagrams.send(m.peer_address, body, probe.sequence) for m in relays
        ]
        return effects

    def _relay_probe(
        self, datagram: Datagram, body: PingRequest, now: float
    ) -> MembershipEffect:
        ping = self._datagrams.ping(body.target)
        self._relayed_probes[ping.datagram.sequence] = RelayedProbe(
            datagram.sender_address,
            datagram.sequence,
            now + self._settings.probe_period,
        )
        return ping

    def _acknowledge_ping(self, datagram: Datagram) -> MembershipEffect:
        """Acknowledge a ping, with updates that the sender needs first.

        A sender that is listed as suspect, dead or left receives that state, so that it
        can refute it. A sender whose ping carried a state of this member receives the
        current one, since its copy may be outdated.
        """
        priority_updates: list[Member] = []
        known = self._member_list.get_known(datagram.sender)
        if known is not None and known.status is not MemberStatus.ALIVE:
            priority_updates.append(known)
        if any(
            member.host_id == self.local_member.host_id for member in datagram.updates
        ):
            priority_updates.append(self.local_member)
        is_usable = known is not None and known.is_usable
        ack = Ack(self.local_member.host_id, unknown_sender=not is_usable)
        return self._datagrams.send(
            datagram.sender_address,
            ack,
            datagram.sequence,
            priority_updates=tuple(priority_updates),
        )

    def _handle_ack(self, datagram: Datagram, body: Ack) -> list[MembershipEffect]:
        if body.unknown_sender and body.subject == datagram.sender:
            address = datagram.sender_address
            return [
                *self._complete_probe(datagram, body),
                self._datagrams.send(
                    address, Gossip(), priority_updates=(self.local_member,)
                ),
            ]
        return self._complete_probe(datagram, body)

    def _complete_probe(self, datagram: Datagram, body: Ack) -> list[MembershipEffect]:
        relayed = self._relayed_probes.get(datagram.sequence)
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
        """Ping a dead member occasionally, so that a healed partition merges again."""
        period = self._settings.dead_probe_period
        self._next_dead_probe_at = now + self._random.uniform(0.5, 1.5) * period
        dead = self._member_list.tombstones.choose_dead(self._random)
        if dead is None:
            return []
        return [self._datagrams.ping(dead.peer_address, priority_updates=(dead,))]

    def _notify_suspected(self) -> list[MembershipEffect]:
        """Notify the members that this one suspects, so that they can refute early."""
        suspected = self._member_list.list_locally_suspected()
        return [
            self._datagrams.ping(m.peer_address, priority_updates=(m,))
            for m in suspected
        ]

    def _gossip(self, now: float) -> list[MembershipEffect]:
        self._next_gossip_at = now + self._settings.gossip_period
        if not self._member_list.queue:
            return []
        chosen = self.choose_members(1)
        return [
            self._datagrams.send(member.peer_address, Gossip()) for member in chosen
        ]
