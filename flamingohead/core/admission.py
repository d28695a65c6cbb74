"""Admission control by rank and deadline at the daemon that owns the slots.

It is designed for overload: there is more work than slots, and ranks differ in
urgency, service time and the time within which a response is useful. Running requests
also make nested calls to other services, and each of them occupies the slot of its
caller while it waits.
"""

from __future__ import annotations

import heapq
import itertools
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from flamingohead.core.errors import ErrorKind, Refusal
from flamingohead.core.rank_queues import RankQueue, Ticket, TicketState
from flamingohead.core.resources import Rank

if TYPE_CHECKING:
    from collections.abc import Iterable

QUEUE_LIMIT = 1024
UNMEASURED_QUEUE_LIMIT = 4
QUEUED_TARGET_FRACTION = 0.5
# Part of a target that queueing must leave unused, in mean service times: one for the
# service itself, the rest for services that take longer than the mean.
RESERVED_SERVICE_TIMES = 2.0
# Part of the time before a deadline that queueing must leave unused in addition to one
# mean service time, in mean service times.
DEADLINE_MARGIN = 0.5
RETIRED_ORDER = 2**31
RETIRED_SHARE = 0.05
MIN_STALE_ENTRIES = 64
NESTED_SUFFIX = "/nested"


@dataclass(frozen=True)
class AdmissionResult:
    """List the queued tickets that an operation admitted and those that it expired."""

    admitted: tuple[Ticket, ...] = ()
    expired: tuple[Ticket, ...] = ()


class Admission:
    """Admit tickets to a limited number of slots.

    A free slot goes to the most urgent rank with queued tickets that is below its
    guaranteed share. If there is none, it goes to a rank that has collected the credit
    for a fractional slot, and otherwise to the most urgent rank with queued tickets.
    Among ranks of the same order, nested calls go first, then the ticket that has been
    queued longest. Within a rank, callers are served round robin.
    """

    def __init__(self, *, slots: int, ranks: tuple[Rank, ...]) -> None:
        self.limit = slots
        self.in_use = 0
        self._waiting_count = 0
        self._queues: dict[str, RankQueue] = {}
        self._ordered_queues: list[RankQueue] = []
        self._latest_starts: list[tuple[float, int, Ticket]] = []
        self._sequence = itertools.count()
        self.set_ranks(ranks)

    def count_waiting(self, rank: str) -> int:
        """Return the number of queued tickets of a rank."""
        queue = self._queues.get(rank)
        return 0 if queue is None else len(queue.waiting)

    def count_ahead(self, rank: str) -> int:
        """Return the number of queued tickets served before a new one of a rank."""
        queue = self._queues.get(rank)
        if queue is None:
            return self._waiting_count
        return sum(
            len(other.waiting)
            for other in self._ordered_queues
            if other.urgency <= queue.urgency
        )

    def get_expected_service_time(self, rank: str) -> float:
        """Return the expected time for which a ticket of a rank occupies a slot."""
        queue = self._queues.get(rank)
        return 0.0 if queue is None else queue.expected_service_time

    def count_in_use(self, rank: str) -> int:
        """Return the number of slots in use by a rank."""
        queue = self._queues.get(rank)
        return 0 if queue is None else queue.in_use

    def get_guaranteed_slots(self, rank: str) -> int:
        """Return the number of whole slots guaranteed to a rank under overload."""
        queue = self._queues.get(rank)
        return 0 if queue is None else queue.guaranteed

    def set_ranks(self, ranks: Iterable[Rank]) -> None:
        """Apply the ranks of a new configuration; queued tickets keep their positions.

        A rank that is no longer configured is retired; its queue is removed once it has
        no tickets left.
        """
        queues: dict[str, RankQueue] = {}
        for rank in ranks:
            queue = self._queues.pop(rank.name, None) or RankQueue(rank)
            queue.rank = rank
            queues[rank.name] = queue
        for name, queue in self._queues.items():
            rank = queues.get(name.removesuffix(NESTED_SUFFIX))
            if queue.nested and rank is not None:
                queue.rank = replace(rank.rank, name=name, share=0.0)
                queues[name] = queue
            elif queue.in_use or queue.waiting:
                queue.rank = _create_retired_rank(name)
                queues[name] = queue
        self._queues = queues
        self._update_shares()

    def set_limit(self, limit: int, now: float) -> AdmissionResult:
        """Change the number of slots; tickets that occupy one keep it."""
        if limit == self.limit:
            return AdmissionResult()
        self.limit = limit
        self._update_shares()
        return self.advance(now)

    def offer(
        self, ticket: Ticket, now: float, *, may_wait: bool = True
    ) -> bool | Refusal:
        """Return ``True`` if admitted, ``False`` if queued, or a refusal.

        Without ``may_wait``, the ticket is refused unless a slot is free.
        """
        queue = self._get_or_create_queue(ticket)
        if now >= ticket.deadline:
            ticket.state = TicketState.ENDED
            return Refusal(
                ErrorKind.DEADLINE_PASSED, "deadline passed before admission"
            )
        if self.in_use < self.limit and not self._waiting_count:
            self._admit(queue, ticket, now)
            return True
        if may_wait:
            refusal = self._check_queue(queue, ticket, now)
        else:
            refusal = Refusal(ErrorKind.QUEUE_FULL, "no slot is free")
        if refusal is not None:
            ticket.state = TicketState.ENDED
            return refusal
        self._enqueue(queue, ticket, now)
        return False

    def check(self, ticket: Ticket, now: float) -> Refusal | None:
        """Return the refusal that ``offer`` would give, without queueing the ticket."""
        if now >= ticket.deadline:
            return Refusal(
                ErrorKind.DEADLINE_PASSED, "deadline passed before admission"
            )
        if self.in_use < self.limit and not self._waiting_count:
            return None
        return self._check_queue(self._get_or_create_queue(ticket), ticket, now)

    def release(self, ticket: Ticket, now: float) -> AdmissionResult:
        """Release the slot of a ticket and admit the next ones."""
        if ticket.state is not TicketState.ADMITTED:
            return AdmissionResult()
        ticket.state = TicketState.ENDED
        ticket.queue.in_use -= 1
        ticket.queue.record_service_time(now - ticket.admitted_at)
        self.in_use -= 1
        self._remove_retired(ticket.queue)
        return self.advance(now)

    def cancel(self, ticket: Ticket) -> bool:
        """Remove a ticket from its queue; return whether it was queued."""
        if ticket.state is not TicketState.WAITING:
            return False
        ticket.queue.waiting.remove(ticket.bucket, ticket)
        self._waiting_count -= 1
        ticket.state = TicketState.ENDED
        self._remove_retired(ticket.queue)
        return True

    def advance(self, now: float) -> AdmissionResult:
        """Expire tickets that can't be served in time and fill free slots."""
        expired = self._expire(now)
        admitted = []
        while self.in_use < self.limit and self._waiting_count:
            queue = self._choose_queue()
            ticket = queue.waiting.pop()
            self._waiting_count -= 1
            if _is_past_latest_start(ticket, now):
                ticket.state = TicketState.ENDED
                expired.append(ticket)
                continue
            queue.record_dequeue(now)
            self._update_credits(queue)
            self._admit(queue, ticket, now)
            admitted.append(ticket)
        return AdmissionResult(tuple(admitted), tuple(expired))

    def list_unreachable(self, until: float, now: float) -> list[Ticket]:
        """Return the queued tickets that are unlikely to start before ``until``.

        The estimate serves tickets by urgency, at the mean service times of their
        ranks.
        """
        waiting = [
            t for _, _, t in self._latest_starts if t.state is TicketState.WAITING
        ]
        waiting.sort(key=lambda ticket: (ticket.queue.urgency, ticket.queued_at))
        unreachable, ahead = [], 0.0
        for ticket in waiting:
            ahead += ticket.queue.expected_service_time / max(self.limit, 1)
            if now + ahead >= until:
                unreachable.append(ticket)
        return unreachable

    # Queues

    def _get_or_create_queue(self, ticket: Ticket) -> RankQueue:
        """Return the queue of a ticket; create it if the rank is not configured.

        A call may carry a rank of a newer or older configuration version.
        """
        name = ticket.rank + NESTED_SUFFIX if ticket.nested else ticket.rank
        queue = self._queues.get(name)
        if queue is None:
            queue = self._create_queue(name, ticket)
            self._queues[name] = queue
            self._update_shares()
        return queue

    def _create_queue(self, name: str, ticket: Ticket) -> RankQueue:
        if not ticket.nested:
            return RankQueue(_create_retired_rank(name))
        parent = self._queues.get(ticket.rank)
        rank = _create_retired_rank(name) if parent is None else parent.rank
        return RankQueue(replace(rank, name=name, share=0.0), nested=True)

    def _update_shares(self) -> None:
        queues = sorted(self._queues.values(), key=lambda queue: queue.urgency)
        for queue in queues:
            share = queue.rank.share
            queue.guaranteed = int(share * self.limit + 1e-9)
            queue.fractional_share = max(
                0.0, share - queue.guaranteed / max(self.limit, 1)
            )
        self._ordered_queues = queues

    def _remove_retired(self, queue: RankQueue) -> None:
        is_retired = queue.rank.order == RETIRED_ORDER
        if is_retired and not queue.in_use and not queue.waiting:
            if self._queues.get(queue.rank.name) is queue:
                del self._queues[queue.rank.name]
                self._update_shares()

    def _choose_queue(self) -> RankQueue:
        waiting = [queue for queue in self._ordered_queues if queue.waiting]
        for queue in waiting:
            if queue.in_use < queue.guaranteed:
                return queue
        for queue in waiting:
            if queue.credit >= 1:
                return queue
        most_urgent = [
            queue for queue in waiting if queue.urgency == waiting[0].urgency
        ]
        return min(most_urgent, key=lambda queue: queue.waiting.peek().queued_at)

    def _update_credits(self, served: RankQueue) -> None:
        for queue in self._ordered_queues:
            if queue.waiting:
                queue.credit = min(1.0, queue.credit + queue.fractional_share)
        served.credit = max(0.0, served.credit - 1)

    # Tickets

    def _admit(self, queue: RankQueue, ticket: Ticket, now: float) -> None:
        ticket.queue = queue
        ticket.state = TicketState.ADMITTED
        ticket.admitted_at = now
        queue.in_use += 1
        self.in_use += 1

    def _enqueue(self, queue: RankQueue, ticket: Ticket, now: float) -> None:
        if not queue.waiting:
            queue.start_backlog(self.limit, now)
        ticket.queue = queue
        ticket.state = TicketState.WAITING
        ticket.queued_at = now
        ticket.bucket = queue.waiting.push(ticket.caller, ticket)
        self._waiting_count += 1
        latest_start = ticket.deadline - queue.service_time
        item = (latest_start, next(self._sequence), ticket)
        heapq.heappush(self._latest_starts, item)
        if len(self._latest_starts) > 2 * self._waiting_count + MIN_STALE_ENTRIES:
            self._remove_ended()

    def _remove_ended(self) -> None:
        waiting = [e for e in self._latest_starts if e[2].state is TicketState.WAITING]
        heapq.heapify(waiting)
        self._latest_starts = waiting

    def _expire(self, now: float) -> list[Ticket]:
        expired = []
        while self._latest_starts and self._latest_starts[0][0] < now:
            ticket = heapq.heappop(self._latest_starts)[2]
            if self.cancel(ticket):
                expired.append(ticket)
        return expired

    def _check_queue(
        self, queue: RankQueue, ticket: Ticket, now: float
    ) -> Refusal | None:
        detail = f"queue of {ticket.rank}"
        is_unmeasured = not queue.service_time
        if is_unmeasured and len(queue.waiting) < UNMEASURED_QUEUE_LIMIT:
            return None
        wait = self._estimate_wait(queue, ticket.caller)
        max_length = QUEUE_LIMIT
        if not queue.expected_service_time:
            max_length = max(queue.guaranteed, UNMEASURED_QUEUE_LIMIT)
        if len(queue.waiting) >= max_length:
            return Refusal(ErrorKind.QUEUE_FULL, detail, now + wait)
        if wait > self._compute_max_wait(queue, ticket, now):
            return Refusal(ErrorKind.DEADLINE_UNREACHABLE, detail, now + wait)
        return None

    def _compute_max_wait(self, queue: RankQueue, ticket: Ticket, now: float) -> float:
        """Return the longest estimated wait with which a ticket is still queued.

        If an idle upstream can meet the rank's target, the target bounds the wait; the
        remainder of the target allows for waits and services longer than the mean. A
        nested call is bounded by its deadline only, since refusing it would waste the
        work already done for its caller.
        """
        service_time = queue.expected_service_time
        by_deadline = ticket.deadline - now - service_time
        if ticket.nested:
            return by_deadline
        target = queue.rank.target_ms / 1000
        by_target = QUEUED_TARGET_FRACTION * (target - service_time)
        if by_target <= 0:
            return by_deadline
        if queue.rank.share > 0:
            return min(by_deadline, by_target)
        # With a target much longer than the service time, a burst is worth queueing.
        reserved = RESERVED_SERVICE_TIMES * service_time
        margin = DEADLINE_MARGIN * service_time
        return min(by_deadline - margin, max(by_target, target - reserved))

    def _estimate_wait(self, queue: RankQueue, caller: str) -> float:
        if queue.rank.share <= 0:
            return self._estimate_work_ahead(queue)
        rounds = queue.waiting.count_items(caller) + 1
        ahead = min(
            len(queue.waiting) + 1, rounds * max(queue.waiting.count_callers(), 1)
        )
        return ahead * queue.estimate_dequeue_interval(self.limit)

    def _estimate_work_ahead(self, queue: RankQueue) -> float:
        """Return the time until the slots have served all tickets ahead of a new one.

        Ranks of the same order share the slots in order of arrival. More urgent work is
        assumed to keep arriving: the slots that it uses now are not counted as
        available.
        """
        limit = max(self.limit, 1)
        ahead = queue.expected_service_time
        urgent_in_use = 0
        for other in self._ordered_queues:
            if other.urgency > queue.urgency:
                break
            ahead += len(other.waiting) * other.expected_service_time
            if other.urgency < queue.urgency:
                urgent_in_use += other.in_use
        free = max(limit - urgent_in_use, 1)
        return ahead / free


def _is_past_latest_start(ticket: Ticket, now: float) -> bool:
    return now + ticket.queue.service_time > ticket.deadline


def _create_retired_rank(name: str) -> Rank:
    """Return a rank for work whose rank is not in the configuration."""
    return Rank(
        name=name,
        service="",
        order=RETIRED_ORDER,
        target_ms=0,
        worth=0.0,
        share=RETIRED_SHARE,
    )
