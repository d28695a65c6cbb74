"""States of the members of a failure domain, and the precedence between them."""

from __future__ import annotations

import math
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from flamingohead.core.members import Departure, Member, MemberStatus
from flamingohead.core.probes import Health, Suspicion
from flamingohead.core.tombstones import Tombstones
from flamingohead.core.updates import UpdateQueue

if TYPE_CHECKING:
    from flamingohead.core.membership import MembershipSettings

RETRANSMIT_MULTIPLIER = 4
MAX_DEPARTURES = 4096


@dataclass(frozen=True)
class MemberChanged:
    """Report a new state of a member."""

    member: Member
    previous: Member | None


class MemberList:
    """Store the newest state of each member, and queue updates for gossip.

    ``members`` holds the usable members other than this one, ``tombstones`` those
    that died or left.
    """

    def __init__(self, local_member: Member, settings: MembershipSettings) -> None:
        self.local_member = local_member
        self.members: dict[str, Member] = {}
        self.tombstones = Tombstones(settings.tombstone_period)
        self.health = Health()
        self.queue = UpdateQueue()
        self.queue.add(local_member.host_id)
        self._settings = settings
        self._suspicions: dict[str, Suspicion] = {}
        # The latest departure on each host, for the host's next daemon.
        self._departures: dict[str, Departure] = {}

    # Views

    def get_known(self, host_id: str) -> Member | None:
        """Return the newest known state of a host, including this one."""
        if host_id == self.local_member.host_id:
            return self.local_member
        return self.members.get(host_id) or self.tombstones.get(host_id)

    def select_updates(self, size: int) -> tuple[Member, ...]:
        """Select the queued updates for one datagram, within ``size`` bytes."""
        limit = RETRANSMIT_MULTIPLIER * math.ceil(math.log10(len(self.members) + 2))
        return self.queue.select_batch(self.get_known, size=size, limit=limit)

    def list_locally_suspected(self) -> list[Member]:
        """Return the members that this one suspects after its own probes."""
        local_host_id = self.local_member.host_id
        return [
            self.members[host_id]
            for host_id, suspicion in self._suspicions.items()
            if local_host_id in suspicion.accusers
        ]

    # Events

    def update_local_member(self, *, incarnation: int | None = None, **changes) -> None:
        """Change this member's own state under a higher incarnation."""
        if incarnation is None:
            incarnation = self.local_member.incarnation + 1
        self.local_member = replace(
            self.local_member, incarnation=incarnation, **changes
        )
        self.queue.add(self.local_member.host_id)

    def keep_departure(
        self, host_id: str, departure: Departure, *, disseminate: bool = True
    ) -> bool:
        """Keep the departure of an upstream of a host, unless a later one is known.

        Returns whether it is kept.
        """
        known = self._departures.get(host_id)
        if known is not None and departure <= known:
            return departure == known
        self._departures[host_id] = departure
        while len(self._departures) > MAX_DEPARTURES:
            del self._departures[next(iter(self._departures))]
        if host_id == self.local_member.host_id:
            self.update_local_member(departure=departure)
            return True
        member = self.get_known(host_id)
        if member is None:
            return True
        member = replace(member, departure=departure)
        if member.is_usable:
            self.members[host_id] = member
        else:
            self.tombstones.update(member)
        if disseminate:
            self.queue.add(host_id)
        return True

    def apply_update(
        self, member: Member, now: float, *, disseminate: bool = True
    ) -> list[MemberChanged]:
        """Apply a state received from another member, unless a newer one is known.

        ``disseminate`` queues the state for gossip. A state of this member that is not
        the current one is refuted, and a state from another gossip group is ignored.
        """
        if member.gossip_group == self.local_member.gossip_group:
            member = self._merge_departure(member, disseminate=disseminate)
        if member.host_id == self.local_member.host_id:
            self._refute(member)
            return []
        if member.gossip_group != self.local_member.gossip_group:
            return []
        known = self.get_known(member.host_id)
        if known is None:
            if not member.is_usable:
                return []
            return self._store(member, now, disseminate=disseminate)
        if member.supersedes(known):
            return self._store(member, now, disseminate=disseminate)
        if member.incarnation == known.incarnation:
            self._confirm_suspicion(member)
        return []

    def suspect(self, target: Member, now: float) -> list[MemberChanged]:
        """Suspect a member that did not acknowledge a probe.

        Nothing changes if its incarnation is no longer that of ``target``, the state at
        the start of the probe.
        """
        known = self.members.get(target.host_id)
        if known is None or known.incarnation != target.incarnation:
            return []
        accuser = self.local_member.host_id
        suspected = known.with_status(MemberStatus.SUSPECT, accuser=accuser)
        if known.status is MemberStatus.SUSPECT:
            self._confirm_suspicion(suspected)
            return []
        return self._store(suspected, now)

    def restart_suspicions(self, now: float) -> None:
        """Restart the suspicion timeout of every suspected member."""
        for host_id in self._suspicions:
            accuser = self.members[host_id].accuser
            self._suspicions[host_id] = self._build_suspicion(accuser, now)

    def expire(self, now: float) -> list[MemberChanged]:
        """Declare members with expired suspicions dead, and drop old tombstones."""
        effects: list[MemberChanged] = []
        for host_id, suspicion in list(self._suspicions.items()):
            if now >= suspicion.expires_at:
                dead = self.members[host_id].with_status(
                    MemberStatus.DEAD, accuser=self.local_member.host_id
                )
                effects += self._store(dead, now)
        for host_id in self.tombstones.expire(now):
            self.queue.discard(host_id)
        return effects

    def _merge_departure(self, member: Member, *, disseminate: bool) -> Member:
        """Return the state with the latest departure known on its host."""
        if member.departure is not None:
            self.keep_departure(
                member.host_id, member.departure, disseminate=disseminate
            )
        latest = self._departures.get(member.host_id)
        if latest == member.departure:
            return member
        return replace(member, departure=latest)

    def _refute(self, member: Member) -> None:
        if member.incarnation < self.local_member.incarnation:
            if member.status is not MemberStatus.ALIVE:
                # The sender has missed the refutation, which may have left the queue.
                self.queue.add(self.local_member.host_id)
            return
        if self.local_member.status is MemberStatus.LEFT:
            return
        is_current = member.incarnation == self.local_member.incarnation
        if is_current and member.status is MemberStatus.ALIVE:
            return
        if member.status is MemberStatus.SUSPECT:
            self.health.worsen()
        self.update_local_member(incarnation=member.incarnation + 1)

    def _confirm_suspicion(self, suspected: Member) -> None:
        suspicion = self._suspicions.get(suspected.host_id)
        if suspicion is None or suspected.status is not MemberStatus.SUSPECT:
            return
        if suspicion.confirm(suspected.accuser):
            self.members[suspected.host_id] = suspected
            self.queue.add(suspected.host_id)

    def _store(
        self, member: Member, now: float, *, disseminate: bool = True
    ) -> list[MemberChanged]:
        host_id = member.host_id
        previous = self.get_known(host_id)
        self._suspicions.pop(host_id, None)
        if member.is_usable:
            self.members[host_id] = member
            self.tombstones.remove(host_id)
        else:
            self.members.pop(host_id, None)
            for evicted in self.tombstones.add(member, now):
                self.queue.discard(evicted)
        if member.status is MemberStatus.SUSPECT:
            self._suspicions[host_id] = self._build_suspicion(member.accuser, now)
        if disseminate:
            self.queue.add(host_id)
        return [MemberChanged(member, previous)]

    def _build_suspicion(self, accuser: str, now: float) -> Suspicion:
        factor = self.health.factor
        return Suspicion(
            now + self._settings.minimum_suspicion * factor,
            now + self._settings.maximum_suspicion * factor,
            {accuser},
        )
