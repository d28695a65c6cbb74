"""Queue of the member updates that ride on datagrams."""

from __future__ import annotations

from typing import TYPE_CHECKING

from flamingohead.core.messages import estimate_member_size

if TYPE_CHECKING:
    from collections.abc import Callable

    from flamingohead.core.members import Member

MAX_SKIPPED = 4


class UpdateQueue:
    """Give the updates sent the fewest times first, the oldest of these first.

    Hosts stand in one ordered dict for each number of times sent, so that a datagram
    costs what it carries, not what is waiting.
    """

    def __init__(self) -> None:
        self._levels: list[dict[str, None]] = [{}]
        self._level_of: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._level_of)

    def add(self, host_id: str) -> None:
        """Queue the state of a host anew."""
        self.discard(host_id)
        self._put(host_id, 0)

    def discard(self, host_id: str) -> None:
        """Take a host out of the queue, if it is there."""
        level = self._level_of.pop(host_id, None)
        if level is not None:
            del self._levels[level][host_id]

    def take(
        self, get_member: Callable[[str], Member], *, size: int, limit: int
    ) -> tuple[Member, ...]:
        """Return updates within ``size`` bytes; each is given ``limit`` times."""
        chosen = self._choose(get_member, size)
        for member in chosen:
            level = self._level_of[member.host_id] + 1
            self.discard(member.host_id)
            if level < limit:
                self._put(member.host_id, level)
        return tuple(chosen)

    def _choose(self, get_member: Callable[[str], Member], size: int) -> list[Member]:
        chosen: list[Member] = []
        skipped = 0
        for level in self._levels:
            for host_id in level:
                member = get_member(host_id)
                needed = estimate_member_size(member)
                if needed > size:
                    skipped += 1
                    if skipped == MAX_SKIPPED:
                        return chosen
                    continue
                size -= needed
                chosen.append(member)
        return chosen

    def _put(self, host_id: str, level: int) -> None:
        while len(self._levels) <= level:
            self._levels.append({})
        self._levels[level][host_id] = None
        self._level_of[host_id] = level
