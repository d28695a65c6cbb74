"""Selection of the daemons that subscribe to the configuration source.

The design addresses bursts of changes with hundreds of daemons. If every daemon sent
requests to the source, their number would grow with daemons times versions, and each
response would transfer the complete document over the link of a small host. Therefore
only a few daemons of each failure domain subscribe, those that process a large document
fastest, and the first of them notifies all others of each change. The others check
twice a second that one of the subscribers is alive and reaches the source, receive the
changes that they missed, and send requests to the source themselves if no subscriber
responds.

The first subscriber requests changes in short polls, so that a lost response is
detected in time. The others hold a long poll each while a subscriber before them
confirms that it reaches the source, and otherwise poll like the first.

A change that is too large for a notification is pulled from the daemon that sent the
notification: the compressed change is a tenth of the size of the source's document,
which a small host may be unable to process in time while serving requests.
"""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from flamingohead.core.members import Member

# Two subscribers may fail at once, or be rejected by the source, without any delay.
SUBSCRIBERS_PER_DOMAIN = 3
# If two hosts are faster than the third by this factor, only these two subscribe: the
# documents of a burst of changes would occupy half of a small host's link.
MAX_CAPACITY_RATIO = 4
MIN_SUBSCRIBERS = 2
CHECK_INTERVAL_SECONDS = 0.5
# Three checks without a response; a change has to take effect within 2 s.
COVERAGE_TIMEOUT_SECONDS = 1.4
# Datagrams are dropped where a link is full. A daemon without a response to its checks
# calls a subscriber this long before it asks the source, whose document would take a
# larger part of the link than a call.
CALL_MARGIN_SECONDS = 0.7
# The same for subscribers, whose long polls may have been lost: after they poll again,
# the daemons that rely on them still have to be notified in time.
SUBSCRIBER_CHECK_INTERVAL_SECONDS = 0.25
SUBSCRIBER_COVERAGE_TIMEOUT_SECONDS = 0.7
# A process whose periodic work was delayed for longer than this was suspended, and its
# connections may have been lost without notification.
PAUSE_THRESHOLD_SECONDS = 1.0
# Size of a base64 document with 1,400 routes, and the time to decode it on a full core.
REFERENCE_DOCUMENT_MEGABITS = 2.6
REFERENCE_DECODING_SECONDS = 0.05


def compute_capacity(*, cores: float, link_mbps: float) -> int:
    """Return how many large documents a host can process in 1,000 seconds."""
    if cores <= 0 or link_mbps <= 0:
        return 0
    seconds = (
        REFERENCE_DOCUMENT_MEGABITS / link_mbps + REFERENCE_DECODING_SECONDS / cores
    )
    return round(1000 / seconds)


class Subscription:
    """Decide whether this daemon follows the source; times are monotonic seconds."""

    def __init__(self, host_id: str, failure_domain: str, now: float) -> None:
        self._host_id = host_id
        self._failure_domain = failure_domain
        # The members of the failure domain by rank, and the subscribers among them.
        self._domain_members: list[Member] = []
        self._subscribers: list[Member] = []
        self._check_index = 0
        self._call_index = -1
        self._checked_host_id = ""
        self._has_check_response = True
        self._next_check_at = now
        self._covered_until = now + COVERAGE_TIMEOUT_SECONDS
        self._last_run_at: float | None = None
        # The subscriber that this daemon relied on last.
        self.confirmed_by = ""

    def detect_pause(self, at: float) -> bool:
        """Record a run of the periodic work; return whether the process was suspended.

        ``at`` is the time of a clock that also advances while the machine is suspended.
        """
        last_at, self._last_run_at = self._last_run_at, at
        return last_at is not None and at - last_at > PAUSE_THRESHOLD_SECONDS

    def set_members(self, members: Iterable[Member]) -> None:
        """Set the usable members of the group, including this daemon."""
        domain_members = [
            m for m in members if m.failure_domain == self._failure_domain
        ]
        domain_members.sort(key=_get_sort_key)
        subscribers = _select_subscribers(domain_members)
        if [m.host_id for m in subscribers] != [m.host_id for m in self._subscribers]:
            self._check_index = 0
        self._domain_members, self._subscribers = domain_members, subscribers

    @property
    def is_subscriber(self) -> bool:
        """Return whether this daemon is a subscriber of its failure domain."""
        if len(self._domain_members) < 2:
            # A daemon that knows no other member has not discovered its peers yet.
            return False
        return any(member.host_id == self._host_id for member in self._subscribers)

    def polls_often(self, now: float) -> bool:
        """Return whether no other daemon would detect a lost response for this one."""
        return not self._list_check_targets() or now >= self._covered_until

    def needs_source(self, now: float) -> bool:
        """Return whether this daemon has to follow the source itself."""
        return self.is_subscriber or now >= self._covered_until

    def list_receivers(self) -> list[Member]:
        """Return the members to notify of a change; only the first subscriber has any.

        The other subscribers are included, since their feed from the source may stall.
        """
        if not self._subscribers or self._subscribers[0].host_id != self._host_id:
            return []
        return self._domain_members[1:]

    def list_other_subscribers(self) -> list[Member]:
        """Return the subscribers of the failure domain except this daemon."""
        return [m for m in self._subscribers if m.host_id != self._host_id]

    def choose_check_target(self, now: float) -> str | None:
        """Return the host to check now, or ``None`` if no check is due."""
        targets = self._list_check_targets()
        if not targets or now < self._next_check_at:
            return None
        self._next_check_at = now + (
            SUBSCRIBER_CHECK_INTERVAL_SECONDS
            if self.is_subscriber
            else CHECK_INTERVAL_SECONDS
        )
        if not self._has_check_response:
            self._check_index += 1
        self._has_check_response = False
        self._checked_host_id = targets[self._check_index % len(targets)]
        return self._checked_host_id

    def choose_called_subscriber(self, now: float) -> Member | None:
        """Return the subscriber to call now, since checks have had no response."""
        others = self.list_other_subscribers()
        is_due = now >= self._covered_until - CALL_MARGIN_SECONDS
        if self.is_subscriber or not others or not is_due:
            return None
        self._call_index += 1
        return others[self._call_index % len(others)]

    def _list_check_targets(self) -> list[str]:
        """Return the subscribers before this daemon, or all if it is none."""
        host_ids = [member.host_id for member in self._subscribers]
        if self._host_id in host_ids:
            return host_ids[: host_ids.index(self._host_id)]
        return host_ids

    def record_heartbeat(self, host_id: str, *, is_current: bool, now: float) -> None:
        """Record that a host is alive; ``is_current`` if it reaches the source."""
        if is_current and host_id in self._list_check_targets():
            if host_id == self._checked_host_id:
                self._has_check_response = True
            self.confirmed_by = host_id
            self._covered_until = now + (
                SUBSCRIBER_COVERAGE_TIMEOUT_SECONDS
                if self.is_subscriber
                else COVERAGE_TIMEOUT_SECONDS
            )


def _select_subscribers(members: list[Member]) -> list[Member]:
    """Return the highest-ranked members, without hosts that are much smaller."""
    subscribers = members[:MIN_SUBSCRIBERS]
    for member in members[MIN_SUBSCRIBERS:SUBSCRIBERS_PER_DOMAIN]:
        if member.capacity * MAX_CAPACITY_RATIO >= subscribers[-1].capacity:
            subscribers.append(member)
    return subscribers


def _get_sort_key(member: Member) -> tuple[int, int, str]:
    """Return the sort key of a member: fastest first, equal on all daemons."""
    tie_breaker = zlib.crc32(member.host_id.encode())
    return -member.capacity, tie_breaker, member.host_id
