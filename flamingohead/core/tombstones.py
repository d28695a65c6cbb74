"""Members that died or left, kept so that stale updates do not revive them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from flamingohead.core.members import Member, MemberStatus

if TYPE_CHECKING:
    from collections.abc import Iterator
    from random import Random

MAX_TOMBSTONES = 4096


class Tombstones:
    """Keep members that died or left for ``period`` seconds, in insertion order."""

    def __init__(self, period: float) -> None:
        self._period = period
        self._members: dict[str, Member] = {}
        self._expires_at: dict[str, float] = {}

    def __iter__(self) -> Iterator[Member]:
        return iter(self._members.values())

    def __len__(self) -> int:
        return len(self._members)

    def get(self, host_id: str) -> Member | None:
        return self._members.get(host_id)

    def add(self, member: Member, now: float) -> list[str]:
        """Add a member; return the hosts evicted above ``MAX_TOMBSTONES``."""
        self.remove(member.host_id)
        self._members[member.host_id] = member
        self._expires_at[member.host_id] = now + self._period
        excess = len(self._members) - MAX_TOMBSTONES
        evicted = list(self._members)[: max(0, excess)]
        for host_id in evicted:
            self.remove(host_id)
        return evicted

    def update(self, member: Member) -> None:
        """Replace the state of a member that is kept, without keeping it longer."""
        if member.host_id in self._members:
            self._members[member.host_id] = member

    def remove(self, host_id: str) -> None:
        """Remove the tombstone of a host, if there is one."""
        self._members.pop(host_id, None)
        self._expires_at.pop(host_id, None)

    def expire(self, now: float) -> list[str]:
        """Remove the tombstones older than the period; return their hosts."""
        expired: list[str] = []
        for host_id, expires_at in self._expires_at.items():
            if now < expires_at:
                break
            expired.append(host_id)
        for host_id in expired:
            self.remove(host_id)
        return expired

    def choose_dead(self, random: Random) -> Member | None:
        """Return a random member that was declared dead, not one that left."""
        dead = [m for m in self if m.status is MemberStatus.DEAD]
        return random.choice(dead) if dead else None
