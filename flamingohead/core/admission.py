"""Admission by rank and deadline at the daemon that owns the slots."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from flamingohead.core.errors import ErrorKind, Refusal

if TYPE_CHECKING:
    from flamingohead.core.resources import Rank

SERVICE_TIME_SMOOTHING = 0.1
DEFAULT_QUEUE_LIMIT = 512


@dataclass(eq=False)
class Ticket:
    """Stand for one request at the admission of one upstream.

    ``deadline`` is in seconds on the daemon's monotonic clock.
    """

    rank: str
    deadline: float
    admitted_at: float | None = None


@dataclass
class _RankQueue:
    rank: Rank
    waiting: deque[Ticket] = field(default_factory=deque)
    in_use: int = 0


class Admission:
    """Admit tickets to a fixed number of slots.

    A free slot goes to the most urgent rank that is below its guaranteed share,
    and if there is none, to the most urgent rank that waits.
    """

    def __init__(
        self, *, slots: int, ranks: tuple[Rank, ...], queue_limit: int | None = None
    ) -> None:
        self.slots = slots
        self._queue_limit = queue_limit or DEFAULT_QUEUE_LIMIT
        self._queues: dict[str, _RankQueue] = {}
        self._service_time = 0.0
        self.set_ranks(ranks)

    @property
    def in_use(self) -> int:
        return sum(queue.in_use for queue in self._queues.values())

    def count_waiting(self, rank: str) -> int:
        return len(self._queues[rank].waiting) if rank in self._queues else 0

    def set_ranks(self, ranks: tuple[Rank, ...]) -> None:
        """Take the ranks of a new configuration; tickets keep their places."""
        queues: dict[str, _RankQueue] = {}
        for rank in ranks:
            queue = self._queues.pop(rank.name, None) or _RankQueue(rank)
            queue.rank = rank
            queues[rank.name] = queue
        for name, queue in self._queues.items():
            if queue.in_use or queue.waiting:
                queues[name] = queue
        self._queues = queues

    def offer(self, ticket: Ticket, now: float) -> bool | Refusal:
        """Return ``True`` if admitted, ``False`` if queued, or a refusal."""
        queue = self._queues.get(ticket.rank)
        if queue is None:
            return Refusal(ErrorKind.NO_ROUTE, f"rank {ticket.rank!r} is not known")
        if now >= ticket.deadline:
            return Refusal(
                ErrorKind.DEADLINE_PASSED, "deadline passed before admission"
            )
        if self.in_use < self.slots and not self._any_waiting():
            self._admit(queue, ticket, now)
            return True
        if len(queue.waiting) >= self._queue_limit:
            retry_at = now + self._estimate_wait(queue)
            return Refusal(ErrorKind.QUEUE_FULL, f"queue of {ticket.rank}", retry_at)
        wait = self._estimate_wait(queue)
        if now + wait + self._service_time > ticket.deadline:
            return Refusal(
                ErrorKind.DEADLINE_UNREACHABLE, f"queue of {ticket.rank}", now + wait
            )
        queue.waiting.append(ticket)
        return False

    def release(self, ticket: Ticket, now: float) -> list[Ticket]:
        """Free the slot of a ticket; return the tickets admitted by that."""
        self._queues[ticket.rank].in_use -= 1
        held = now - ticket.admitted_at
        self._service_time += SERVICE_TIME_SMOOTHING * (held - self._service_time)
        return self.fill(now)

    def cancel(self, ticket: Ticket) -> bool:
        """Remove a waiting ticket; return whether it was waiting."""
        queue = self._queues.get(ticket.rank)
        if queue is None or ticket not in queue.waiting:
            return False
        queue.waiting.remove(ticket)
        return True

    def expire(self, now: float) -> list[Ticket]:
        """Remove and return the waiting tickets that can no longer be served."""
        expired = []
        for queue in self._queues.values():
            for ticket in list(queue.waiting):
                if now + self._service_time > ticket.deadline:
                    queue.waiting.remove(ticket)
                    expired.append(ticket)
        return expired

    def fill(self, now: float) -> list[Ticket]:
        """Admit waiting tickets while slots are free."""
        admitted = []
        while self.in_use < self.slots:
            queue = self._choose_queue()
            if queue is None:
                break
            ticket = queue.waiting.popleft()
            self._admit(queue, ticket, now)
            admitted.append(ticket)
        return admitted

    def _admit(self, queue: _RankQueue, ticket: Ticket, now: float) -> None:
        queue.in_use += 1
        ticket.admitted_at = now

    def _any_waiting(self) -> bool:
        return any(queue.waiting for queue in self._queues.values())

    def _choose_queue(self) -> _RankQueue | None:
        waiting = [queue for queue in self._queues.values() if queue.waiting]
        if not waiting:
            return None
        below = [q for q in waiting if q.in_use < q.rank.share * self.slots]
        return min(below or waiting, key=lambda queue: queue.rank.order)

    def _estimate_wait(self, queue: _RankQueue) -> float:
        order = queue.rank.order
        ahead = sum(
            len(other.waiting)
            for other in self._queues.values()
            if other.rank.order <= order
        )
        return (ahead + 1) * self._service_time / max(self.slots, 1)
