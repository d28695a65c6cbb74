"""Which daemons ask the source of the configuration, and who relies on them.

The load it answers: hundreds of daemons and a storm of changes. If each asks the
source, its calls grow with daemons times versions, and every answer brings the whole
document over the link of a small host. So a few daemons of each failure domain ask,
those that take a large document fastest, and the first tells all others what changed.
The others check twice a second that one of the few is alive and reaches the source,
are told again what they missed, and ask the source themselves when none answers.

What is too large to be told is pulled from the daemon that told of it: the change
alone, compressed, is a tenth of the document that the source gives, which a small host
may not take in time beside its requests.
"""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from flamingohead.core.members import Member

# Two may be lost at once, or be turned away by the source, without any wait.
SUBSCRIBERS_PER_DOMAIN = 3
# Where two hosts are faster than the third by this factor, the two are enough: the
# documents of a storm would take half of a small host's link.
SMALL_HOST_FACTOR = 4
FAST_SUBSCRIBERS = 2
CHECK_PERIOD = 0.5
# Three checks without an answer; a change has to be in force within 2 s.
COVER_SECONDS = 1.4
# A process that missed its turns for so long was paused, and its connections may be
# gone without a word.
PAUSE_SECONDS = 1.0
# A document of 1,400 routes in base64, and the time that a whole core decodes it.
DOCUMENT_MEGABITS = 2.6
DOCUMENT_SECONDS = 0.05


def compute_capacity(*, cores: float, link_mbps: float) -> int:
    """Return how many large documents a host takes in 1,000 seconds."""
    if cores <= 0 or link_mbps <= 0:
        return 0
    seconds = DOCUMENT_MEGABITS / link_mbps + DOCUMENT_SECONDS / cores
    return round(1000 / seconds)


class Subscription:
    """Decide whether this daemon asks the source; times are monotonic seconds."""

    def __init__(self, host_id: str, failure_domain: str, now: float) -> None:
        self._host_id = host_id
        self._failure_domain = failure_domain
        # The members of the failure domain in their order, and the first of them.
        self._domain: list[Member] = []
        self._chosen: list[Member] = []
        self._checked = 0
        self._is_answered = True
        self._next_check_at = now
        self._covered_until = now + COVER_SECONDS
        self._last_turn_at: float | None = None

    def note_turn(self, at: float) -> bool:
        """Note a turn of the periodic work; tell whether the process was paused.

        ``at`` is on a clock that goes on while the machine is suspended.
        """
        last_at, self._last_turn_at = self._last_turn_at, at
        return last_at is not None and at - last_at > PAUSE_SECONDS

    def set_members(self, members: Iterable[Member]) -> None:
        """Take the usable members of the group, this daemon among them."""
        domain = [m for m in members if m.failure_domain == self._failure_domain]
        domain.sort(key=_rank_member)
        chosen = _choose_subscribers(domain)
        if [m.host_id for m in chosen] != [m.host_id for m in self._chosen]:
            self._checked = 0
        self._domain, self._chosen = domain, chosen

    @property
    def is_chosen(self) -> bool:
        """Tell whether this daemon is one of the few of its failure domain."""
        if len(self._domain) < 2:
            # One that knows no other yet has still to meet them.
            return False
        return any(member.host_id == self._host_id for member in self._chosen)

    def is_needed(self, now: float) -> bool:
        """Tell whether this daemon has to ask the source itself."""
        return self.is_chosen or now >= self._covered_until

    def list_receivers(self) -> list[Member]:
        """Return the members to tell of a change: none unless this daemon is first.

        The others that follow the source are told too: their feed may be silent.
        """
        if not self._chosen or self._chosen[0].host_id != self._host_id:
            return []
        return self._domain[1:]

    def choose_check(self, now: float) -> str | None:
        """Return the host to check now, if it is time to check one."""
        if self.is_chosen or not self._chosen or now < self._next_check_at:
            return None
        self._next_check_at = now + CHECK_PERIOD
        if not self._is_answered:
            self._checked += 1
        self._is_answered = False
        return self._chosen[self._checked % len(self._chosen)].host_id

    def receive(self, host_id: str, *, is_current: bool, now: float) -> None:
        """Take a sign of life; ``is_current`` if the host reaches the source."""
        if not is_current or not self._chosen:
            return
        if any(member.host_id == host_id for member in self._chosen):
            self._is_answered = True
            self._covered_until = now + COVER_SECONDS


def _choose_subscribers(members: list[Member]) -> list[Member]:
    """Return the first of the members in their order, without much smaller hosts."""
    chosen = members[:FAST_SUBSCRIBERS]
    for member in members[FAST_SUBSCRIBERS:SUBSCRIBERS_PER_DOMAIN]:
        if member.capacity * SMALL_HOST_FACTOR >= chosen[-1].capacity:
            chosen.append(member)
    return chosen


def _rank_member(member: Member) -> tuple[int, int, str]:
    """Order members, the fastest first, so that all daemons agree."""
    number = zlib.crc32(member.host_id.encode())
    return -member.capacity, number, member.host_id
