"""Admission by rank and deadline at the daemon that owns the slots.

The load it answers: more work than slots, of ranks that differ in urgency, in the time
that they hold a slot and in the time within which an answer is worth something; and
calls that running requests make of another service, each of which keeps the slot of
its caller for as long as it waits.
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
UNKNOWN_QUEUE_LIMIT = 4
QUEUED_TARGET_FRACTION = 0.5
# Service times kept free in a target, for the service itself and longer ones.
SERVICES_IN_TARGET = 2.0
# The same, beside the service itself, before a deadline.
DEADLINE_MARGIN = 0.5
RETIRED_ORDER = 2**31
RETIRED_SHARE = 0.05
CLEANUP_MINIMUM = 64
NESTED_SUFFIX = "/nested"


@dataclass(frozen=True)
class Turn:
    """Report the waiting tickets that were admitted and those that expired."""

    admitted: tuple[Ticket, ...] = ()
    expired: tuple[Ticket, ...] = ()


class Admission:
    """Admit tickets to a limited number of slots.

    A free slot goes to the most urgent rank that waits and is below its
    guaranteed share, and if there is none, to the most urgent rank that waits. Among
    ranks of the same order, nested calls go first, and then the ticket that has waited
    longest. Inside a rank, callers take turns.
    """

    def __init__(self, *, slots: int, ranks: tuple[Rank, ...]) -> None:
        self.limit = slots
        self.in_use = 0
        self._waiting = 0
        self._queues: dict[str, RankQueue] = {}
        self._ordered: list[RankQueue] = []
        self._deadlines: list[tuple[float, int, Ticket]] = []
        self._numbers = itertools.count()
        self.set_ranks(ranks)

    def count_waiting(self, rank: str) -> int:
        """Return how many tickets of a rank wait."""
        queue = self._queues.get(rank)
        return 0 if queue is None else len(queue.waiting)

    def count_ahead(self, rank: str) -> int:
        """Return how many waiting tickets go before a new one of a rank."""
        queue = self._queues.get(rank)
        if queue is None:
            return self._waiting
        return sum(
            len(other.waiting)
            for other in self._ordered
            if other.urgency <= queue.urgency
        )

    def get_expected_service(self, rank: str) -> float:
        """Return the time on a slot that a ticket of a rank is likely to take."""
        queue = self._queues.get(rank)
        return 0.0 if queue is None else queue.expected_service

    def count_in_use(self, rank: str) -> int:
        """Return how many slots a rank holds."""
        queue = self._queues.get(rank)
        return 0 if queue is None else queue.in_use

    def get_guaranteed(self, rank: str) -> int:
        """Return the whole slots that a rank keeps in a flood."""
        queue = self._queues.get(rank)
        return 0 if queue is None else queue.guaranteed

    def set_ranks(self, ranks: Iterable[Rank]) -> None:
        """Take the ranks of a new configuration; tickets keep their places."""
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
                queue.rank = _retire_rank(name)
                queues[name] = queue
        self._queues = queues
        self._arrange()

    def set_limit(self, limit: int, now: float) -> Turn:
        """Change the number of slots; tickets that hold one keep it."""
        if limit == self.limit:
            return Turn()
        self.limit = limit
        self._arrange()
        return self.advance(now)

    def offer(
        self, ticket: Ticket, now: float, *, may_wait: bool = True
    ) -> bool | Refusal:
        """Return ``True`` if admitted, ``False`` if queued, or a refusal.

        A ticket that may not wait is refused unless a slot is free for it.
        """
        queue = self._find_queue(ticket)
        if now >= ticket.deadline:
            ticket.state = TicketState.ENDED
            return Refusal(
                ErrorKind.DEADLINE_PASSED, "deadline passed before admission"
            )
        if self.in_use < self.limit and not self._waiting:
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
        """Return the refusal that an offer would meet; the ticket isn't queued."""
        if now >= ticket.deadline:
            return Refusal(
                ErrorKind.DEADLINE_PASSED, "deadline passed before admission"
            )
        if self.in_use < self.limit and not self._waiting:
            return None
        return self._check_queue(self._find_queue(ticket), ticket, now)

    def release(self, ticket: Ticket, now: float) -> Turn:
        """Free the slot of a ticket and pass it on."""
        if ticket.state is not TicketState.ADMITTED:
            return Turn()
        ticket.state = TicketState.ENDED
        ticket.queue.in_use -= 1
        ticket.queue.record_service(now - ticket.admitted_at)
        self.in_use -= 1
        self._forget_retired(ticket.queue)
        return self.advance(now)

    def cancel(self, ticket: Ticket) -> bool:
        """Remove a waiting ticket; return whether it was waiting."""
        if ticket.state is not TicketState.WAITING:
            return False
        ticket.queue.waiting.remove(ticket.place, ticket)
        self._waiting -= 1
        ticket.state = TicketState.ENDED
        self._forget_retired(ticket.queue)
        return True

    def advance(self, now: float) -> Turn:
        """Expire tickets that can't be served in time and fill free slots."""
        expired = self._expire(now)
        admitted = []
        while self.in_use < self.limit and self._waiting:
            queue = self._choose_queue()
            ticket = queue.waiting.pop()
            self._waiting -= 1
            if _is_late(ticket, now):
                ticket.state = TicketState.ENDED
                expired.append(ticket)
                continue
            queue.record_turn(now)
            self._pass_credit(queue)
            self._admit(queue, ticket, now)
            admitted.append(ticket)
        return Turn(tuple(admitted), tuple(expired))

    def list_unreachable(self, until: float, now: float) -> list[Ticket]:
        """Return the waiting tickets that are unlikely to start before ``until``.

        The slots free at the pace that the ranks have shown, for the most urgent first.
        """
        waiting = [t for _, _, t in self._deadlines if t.state is TicketState.WAITING]
        waiting.sort(key=lambda ticket: (ticket.queue.urgency, ticket.queued_at))
        unreachable, ahead = [], 0.0
        for ticket in waiting:
            ahead += ticket.queue.expected_service / max(self.limit, 1)
            if now + ahead >= until:
                unreachable.append(ticket)
        return unreachable

    # Queues

    def _find_queue(self, ticket: Ticket) -> RankQueue:
        """Return the queue of a ticket, also if the configuration lacks its rank.

        A call may carry a rank of a newer or older configuration.
        """
        name = ticket.rank + NESTED_SUFFIX if ticket.nested else ticket.rank
        queue = self._queues.get(name)
        if queue is None:
            queue = self._add_queue(name, ticket)
            self._queues[name] = queue
            self._arrange()
        return queue

    def _add_queue(self, name: str, ticket: Ticket) -> RankQueue:
        if not ticket.nested:
            return RankQueue(_retire_rank(name))
        parent = self._queues.get(ticket.rank)
        rank = _retire_rank(name) if parent is None else parent.rank
        return RankQueue(replace(rank, name=name, share=0.0), nested=True)

    def _arrange(self) -> None:
        queues = sorted(self._queues.values(), key=lambda queue: queue.urgency)
        for queue in queues:
            share = queue.rank.share
            queue.guaranteed = int(share * self.limit + 1e-9)
            queue.fraction = max(0.0, share - queue.guaranteed / max(self.limit, 1))
        self._ordered = queues

    def _forget_retired(self, queue: RankQueue) -> None:
        is_retired = queue.rank.order == RETIRED_ORDER
        if is_retired and not queue.in_use and not queue.waiting:
            if self._queues.get(queue.rank.name) is queue:
                del self._queues[queue.rank.name]
                self._arrange()

    def _choose_queue(self) -> RankQueue:
        waiting = [queue for queue in self._ordered if queue.waiting]
        for queue in waiting:
            if queue.in_use < queue.guaranteed:
                return queue
        for queue in waiting:
            if queue.credit >= 1:
                return queue
        first = [queue for queue in waiting if queue.urgency == waiting[0].urgency]
        return min(first, key=lambda queue: queue.waiting.peek().queued_at)

    def _pass_credit(self, served: RankQueue) -> None:
        for queue in self._ordered:
            if queue.waiting:
                queue.credit = min(1.0, queue.credit + queue.fraction)
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
            queue.start_waiting(self.limit, now)
        ticket.queue = queue
        ticket.state = TicketState.WAITING
        ticket.queued_at = now
        ticket.place = queue.waiting.push(ticket.caller, ticket)
        self._waiting += 1
        latest_start = ticket.deadline - queue.service_time
        entry = (latest_start, next(self._numbers), ticket)
        heapq.heappush(self._deadlines, entry)
        if len(self._deadlines) > 2 * self._waiting + CLEANUP_MINIMUM:
            self._drop_ended()

    def _drop_ended(self) -> None:
        waiting = [e for e in self._deadlines if e[2].state is TicketState.WAITING]
        heapq.heapify(waiting)
        self._deadlines = waiting

    def _expire(self, now: float) -> list[Ticket]:
        expired = []
        while self._deadlines and self._deadlines[0][0] < now:
            ticket = heapq.heappop(self._deadlines)[2]
            if self.cancel(ticket):
                expired.append(ticket)
        return expired

    def _check_queue(
        self, queue: RankQueue, ticket: Ticket, now: float
    ) -> Refusal | None:
        detail = f"queue of {ticket.rank}"
        is_unknown = not queue.service_time
        if is_unknown and len(queue.waiting) < UNKNOWN_QUEUE_LIMIT:
            return None
        wait = self._estimate_wait(queue, ticket.caller)
        longest = QUEUE_LIMIT
        if not queue.expected_service:
            longest = max(queue.guaranteed, UNKNOWN_QUEUE_LIMIT)
        if len(queue.waiting) >= longest:
            return Refusal(ErrorKind.QUEUE_FULL, detail, now + wait)
        if wait > self._get_longest_wait(queue, ticket, now):
            return Refusal(ErrorKind.DEADLINE_UNREACHABLE, detail, now + wait)
        return None

    def _get_longest_wait(self, queue: RankQueue, ticket: Ticket, now: float) -> float:
        """Return the wait with which a ticket is still worth queueing.

        A rank's target bounds it where an idle upstream can meet the target; the
        rest of the target is left for waits and services longer than the mean. Without
        a nested call the work of its caller would be lost, so that only its deadline
        bounds it.
        """
        service = queue.expected_service
        by_deadline = ticket.deadline - now - service
        if ticket.nested:
            return by_deadline
        target = queue.rank.target_ms / 1000
        by_target = QUEUED_TARGET_FRACTION * (target - service)
        if by_target <= 0:
            return by_deadline
        if queue.rank.share > 0:
            return min(by_deadline, by_target)
        # Where the target is long against the service, a burst is worth queueing.
        spare = SERVICES_IN_TARGET * service
        margin = DEADLINE_MARGIN * service
        return min(by_deadline - margin, max(by_target, target - spare))

    def _estimate_wait(self, queue: RankQueue, caller: str) -> float:
        if queue.rank.share <= 0:
            return self._estimate_work_ahead(queue)
        turns = queue.waiting.count_items(caller) + 1
        ahead = min(
            len(queue.waiting) + 1, turns * max(queue.waiting.count_callers(), 1)
        )
        return ahead * queue.estimate_interval(self.limit)

    def _estimate_work_ahead(self, queue: RankQueue) -> float:
        """Return the time until the slots have served what goes before a new ticket.

        Ranks of the same order share the slots in the order of arrival. What more
        urgent work holds or awaits now is taken to be joined by as much more.
        """
        limit = max(self.limit, 1)
        ahead = queue.expected_service
        urgent_in_use = 0
        for other in self._ordered:
            if other.urgency > queue.urgency:
                break
            ahead += len(other.waiting) * other.expected_service
            if other.urgency < queue.urgency:
                urgent_in_use += other.in_use
        free = max(limit - urgent_in_use, 1)
        return ahead / free


def _is_late(ticket: Ticket, now: float) -> bool:
    return now + ticket.queue.service_time > ticket.deadline


def _retire_rank(name: str) -> Rank:
    """Return a rank for work that the configuration no longer describes."""
    return Rank(
        name=name,
        service="",
        order=RETIRED_ORDER,
        target_ms=0,
        worth=0.0,
        share=RETIRED_SHARE,
    )
