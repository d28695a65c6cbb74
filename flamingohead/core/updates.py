"""Queue of member updates that are piggybacked on datagrams."""

from __future__ import annotations

from typing import TYPE_CHECKING

from flamingohead.core.messages import estimate_member_size

if TYPE_CHECKING:
    from collections.abc import Callable

    from flamingohead.core.members import Member

MAX_OVERSIZED_UPDATES = 4


class UpdateQueue:
    """Queue updates by the number of times sent, then by age.

    Hosts are stored in one ordered dict per number of times sent, so that the cost of a
    datagram depends on the updates in it and not on the length of the queue.
    """

    def __init__(self) -> None:
        self._levels: list[dict[str, None]] = [{}]
        self._level_of: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._level_of)

    def add(self, host_id: str) -> None:
        """Queue the state of a host; its number of times sent restarts at 0."""
        self.discard(host_id)
        self._insert(host_id, 0)

    def discard(self, host_id: str) -> None:
        """Remove a host from the queue, if it is present."""
        level = self._level_of.pop(host_id, None)
        if level is not None:
            del self._levels[level][host_id]

    def select_batch(
        self, get_member: Callable[[str], Member], *, size: int, limit: int
    ) -> tuple[Member, ...]:
        """Return updates of up to ``size`` bytes; each is returned ``limit`` times."""
        selected = self._select(get_member, size)
        for member in selected:
            level = self._level_of[member.host_id] + 1
            self.discard(member.host_id)
            if level < limit:
                self._insert(member.host_id, level)
        return tuple(selected)

    def _select(self, get_member: Callable[[str], Member], size: int) -> list[Member]:
        selected: list[Member] = []
        skipped = 0
        for level in self._levels:
            for host_id in level:
                member = get_member(host_id)
                member_size = estimate_member_size(member)
                if member_size > size:
                    skipped += 1
                    if skipped == MAX_OVERSIZED_UPDATES:
                        return selected
                    continue
                size -= member_size
                selected.append(member)
        return selected

    def _insert(self, host_id: str, level: int) -> None:
        while len(self._levels) <= level:
            self._levels.append({})
        self._levels[level][host_id] = None
        self._level_of[host_id] = level
