"""Schedule of the large request bodies that other hosts send to this one.

Senders don't know of each other, so that together they would fill the link of a host
whose service is in demand, and everything else would wait behind the bodies. The
receiver knows all of them. It lets bodies begin one after another, the most urgent
first, at a rate that leaves a part of its link to all other messages, and refuses at
its head a request whose body can't arrive in time.
"""

from __future__ import annotations

import bisect
import itertools
import math
from dataclasses import dataclass, field
from enum import Enum

from flamingohead.core.errors import ErrorKind, Refusal
from flamingohead.core.transfers.links import Link, compute_latest_begin

# Bodies may begin while others of this many seconds of the link's rate are under way,
# so that the link stays in use while a slow sender delays its body.
WINDOW_SECONDS = 0.1
# A body is granted this long before the link is free: the grant has to reach its
# sender.
GRANT_LEAD_SECONDS = 0.01
# A body that is overdue by this time no longer delays others.
STALL_SECONDS = 0.5
# Upper bound on the wait of a body, whatever deadline its sender names.
MAX_WAIT_SECONDS = 10.0
# A body that has been overtaken may begin this long after its latest begin.
EXPIRY_SLACK_SECONDS = 0.05


class TransferState(Enum):
    """State what has become of a transfer."""

    WAITING = "waiting"
    GRANTED = "granted"
    ENDED = "ended"


@dataclass(eq=False)
class Transfer:
    """Represent a body that another host offers to send; times in monotonic seconds.

    ``order`` is that of the rank, the lowest first. The response has to begin by
    ``deadline`` and should begin by ``target_deadline``. ``service_seconds`` is the
    expected service time. The schedule sets ``latest_begin`` with the offer and
    ``ends_at`` with the grant.
    """

    body_bytes: int
    deadline: float
    order: int = 0
    target_deadline: float = math.inf
    service_seconds: float = 0.0
    state: TransferState = TransferState.WAITING
    latest_begin: float = math.inf
    ends_at: float = math.inf


@dataclass(frozen=True)
class ScheduleResult:
    """Hold the transfers that may begin and those that are too late by now."""

    granted: tuple[Transfer, ...] = ()
    refused: tuple[tuple[Transfer, Refusal], ...] = ()


@dataclass
class TransferSchedule:
    """Decide which of the offered bodies may be sent, and when."""

    link: Link = field(default_factory=Link)

    def __post_init__(self) -> None:
        # Sorted by order, deadline and time of the offer.
        self._waiting: list[tuple[int, float, int, Transfer]] = []
        self._under_way: list[Transfer] = []
        self._sequence = itertools.count()

    @property
    def bytes_per_second(self) -> float:
        """Return the rate at which a granted body is to be sent."""
        return self.link.bytes_per_second

    def count_waiting(self) -> int:
        """Return the number of bodies that wait for their grants."""
        return len(self._waiting)

    def offer(self, transfer: Transfer, now: float) -> Refusal | None:
        """Queue a body; return a refusal if it can't arrive in time."""
        entry = (transfer.order, transfer.deadline, next(self._sequence), transfer)
        position = bisect.bisect(self._waiting, entry[:3], key=_get_sort_key)
        begins_at = self._estimate_begin(position, now)
        transfer.latest_begin = self._compute_latest_begin(transfer, now)
        if begins_at > transfer.latest_begin:
            return _refuse(transfer, begins_at, now)
        self._waiting.insert(position, entry)
        return None

    def add_unscheduled(self, body_bytes: int, now: float) -> None:
        """Record a body that a host sends without a grant."""
        self.link.add(body_bytes, now)

    def advance(self, now: float) -> ScheduleResult:
        """Grant the bodies that may begin, and refuse those that are too late."""
        refused = self._expire(now)
        granted = []
        while self._waiting and self._may_begin(now):
            transfer = self._waiting.pop(0)[-1]
            self.link.add(transfer.body_bytes, now)
            transfer.state = TransferState.GRANTED
            transfer.ends_at = self.link.busy_until
            self._under_way.append(transfer)
            granted.append(transfer)
        return ScheduleResult(tuple(granted), tuple(refused))

    def end(self, transfer: Transfer) -> None:
        """Record that a body has arrived, or that it will not."""
        if transfer.state is TransferState.WAITING:
            self._waiting = [e for e in self._waiting if e[-1] is not transfer]
        elif transfer.state is TransferState.GRANTED:
            self._under_way.remove(transfer)
        transfer.state = TransferState.ENDED

    def estimate_wait(self, now: float) -> float:
        """Return the seconds until a body that is offered now would begin."""
        return self._estimate_begin(len(self._waiting), now) - now

    def get_next_time(self, now: float) -> float | None:
        """Return when to advance again, ``None`` if nothing waits."""
        if not self._waiting:
            return None
        next_at = self.link.busy_until - GRANT_LEAD_SECONDS
        if next_at <= now:
            # The window is full; the end of a transfer advances the schedule as well.
            stalls = [t.ends_at + STALL_SECONDS for t in self._list_counted(now)]
            next_at = min(stalls, default=now)
        latest = min(entry[-1].latest_begin for entry in self._waiting)
        return min(next_at, latest + EXPIRY_SLACK_SECONDS)

    def _expire(self, now: float) -> list[tuple[Transfer, Refusal]]:
        """Remove the bodies that more urgent ones have overtaken for too long."""
        expired = [
            (position, entry[-1])
            for position, entry in enumerate(self._waiting)
            if now >= entry[-1].latest_begin + EXPIRY_SLACK_SECONDS
        ]
        refused = [
            (transfer, _refuse(transfer, self._estimate_begin(position, now), now))
            for position, transfer in expired
        ]
        for _, transfer in expired:
            self.end(transfer)
        return refused

    def _estimate_begin(self, position: int, now: float) -> float:
        ahead = sum(entry[-1].body_bytes for entry in self._waiting[:position])
        return max(self.link.busy_until, now) + ahead / self.bytes_per_second

    def _estimate_seconds(self, transfer: Transfer) -> float:
        return transfer.body_bytes / self.bytes_per_second

    def _compute_latest_begin(self, transfer: Transfer, now: float) -> float:
        """Return the latest begin with which a body is queued."""
        needed = self._estimate_seconds(transfer) + transfer.service_seconds
        latest = compute_latest_begin(
            needed, transfer.deadline, transfer.target_deadline, now
        )
        return min(latest, now + MAX_WAIT_SECONDS)

    def _list_counted(self, now: float) -> list[Transfer]:
        """Return the transfers under way that are not overdue."""
        return [t for t in self._under_way if now < t.ends_at + STALL_SECONDS]

    def _may_begin(self, now: float) -> bool:
        if self.link.busy_until - GRANT_LEAD_SECONDS > now:
            return False
        counted = self._list_counted(now)
        under_way_bytes = sum(transfer.body_bytes for transfer in counted)
        return under_way_bytes < WINDOW_SECONDS * self.bytes_per_second


def _get_sort_key(entry: tuple[int, float, int, Transfer]) -> tuple[int, float, int]:
    return entry[:3]


def _refuse(transfer: Transfer, begins_at: float, now: float) -> Refusal:
    detail = f"a body of {transfer.body_bytes} bytes would wait {begins_at - now:.2f} s"
    # The bodies that are ahead of it will have arrived by then.
    return Refusal(ErrorKind.DEADLINE_UNREACHABLE, detail, begins_at)
