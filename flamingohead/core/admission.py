"""Admission control by rank and deadline at the daemon that owns the slots.

It is designed for overload: there is more work than slots, and ranks differ in
urgency, service time and the time within which a response is useful. Running requests
also make nested calls to other services, and each of them occupies the slot of its
caller while it waits.
"""

from __future__ import annotations

import heapq
import itertools
from collections import Counter
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from flamingohead.core.errors import ErrorKind, Refusal
from flamingohead.core.fairness import Rotation
from flamingohead.core.rank_queues import RankQueue, Ticket, TicketState
from flamingohead.core.resources import Rank
from flamingohead.core.returns import ReturnSchedule

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    Urgency = tuple[int, bool]

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
# A ticket that will miss its target is refused while it has waited for less than this
# part of the target. A later refusal costs more than a late response.
CHEAP_REFUSAL_FRACTION = 0.5
# Minimum time between two reviews of the waiting tickets, and for each ticket. A review
# takes about 3 us a ticket, so that reviews take about 1.5 % of a core.
REVIEW_PERIOD_SECONDS = 0.02
REVIEW_SECONDS_PER_TICKET = 0.0002


@dataclass(frozen=True)
class AdmissionResult:
    """List the queued tickets that an operation admitted, expired or refused."""

    admitted: tuple[Ticket, ...] = ()
    expired: tuple[Ticket, ...] = ()
    refused: tuple[tuple[Ticket, Refusal], ...] = ()


class Admission:
    """Admit tickets to a limited number of slots.

    A free slot goes to the most urgent rank with queued tickets that is below its
    guaranteed share. If there is none, it goes to a rank that has collected the credit
    for a fractional slot, and otherwise to the most urgent rank with queued tickets.
    Among ranks of the same order, nested calls go first. The callers of these ranks are
    served round robin, each in order of arrival. A caller is an organisation, if the
    request belongs to one.
    """

    def __init__(self, *, slots: int, ranks: tuple[Rank, ...]) -> None:
        self.limit = slots
        self.in_use = 0
        self._waiting_count = 0
        self._queues: dict[str, RankQueue] = {}
        self._ordered_queues: list[RankQueue] = []
        self._latest_starts: list[tuple[float, int, Ticket]] = []
        self._sequence = itertools.count()
        self._rotations: dict[Urgency, Rotation] = {}
        self._returns: dict[Urgency, ReturnSchedule] = {}
        self._evicted: list[tuple[Ticket, Refusal]] = []
        self._reviewed_at = -REVIEW_PERIOD_SECONDS
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
        has_free_slot = self.in_use < self.limit and not self._waiting_count
        if has_free_slot or may_wait:
            bucket = queue.waiting.get_bucket(ticket.caller)
            self._rotations[queue.urgency].floors.record_offer(bucket, now)
        if has_free_slot:
            self._admit(queue, ticket, now)
            return True
        if may_wait:
            refusal = self._check_queue(queue, ticket, now)
            if refusal is None and len(queue.waiting) >= self._get_max_length(queue):
                self._evict_newest(queue, now)
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
        self._rotations[ticket.queue.urgency].remove(ticket.bucket)
        self._waiting_count -= 1
        ticket.state = TicketState.ENDED
        self._remove_retired(ticket.queue)
        return True

    def advance(self, now: float) -> AdmissionResult:
        """Expire tickets that can't be served in time and fill free slots."""
        expired = self._expire(now)
        admitted = []
        while self.in_use < self.limit and self._waiting_count:
            queue, bucket = self._choose_queue()
            ticket = queue.waiting.pop(bucket)
            self._waiting_count -= 1
            rotation = self._rotations[queue.urgency]
            if _is_past_latest_start(ticket, now):
                rotation.remove(bucket)
                ticket.state = TicketState.ENDED
                expired.append(ticket)
                continue
            rotation.record_turn(bucket)
            queue.record_dequeue(now)
            self._update_credits(queue)
            self._admit(queue, ticket, now)
            admitted.append(ticket)
        return AdmissionResult(tuple(admitted), tuple(expired))

    def review(self, now: float) -> AdmissionResult:
        """Refuse waiting tickets that can no longer be served in time.

        Service times may have risen since a ticket was queued, and tickets of callers
        with few requests may have been served before it. A caller with the most waiting
        tickets loses those that can't meet their target; others are only refused if
        they can't be served by their deadlines.
        """
        refused, self._evicted = self._evicted, []
        period = max(
            REVIEW_PERIOD_SECONDS, self._waiting_count * REVIEW_SECONDS_PER_TICKET
        )
        if self._waiting_count and now >= self._reviewed_at + period:
            self._reviewed_at = now
            for ticket, start in self._list_late(now):
                refused.append((ticket, self._refuse_waiting(ticket, start, now)))
        return AdmissionResult(refused=tuple(refused))

    def list_unreachable(self, until: float, now: float) -> list[Ticket]:
        """Return the queued tickets that are unlikely to start before ``until``.

        The estimate serves tickets in their order of service, at the mean service times
        of their ranks.
        """
        unreachable, ahead = [], 0.0
        for ticket in self._list_in_order_of_service():
            ahead += ticket.queue.expected_service_time / max(self.limit, 1)
            if now + ahead >= until:
                unreachable.append(ticket)
        return unreachable

    # Reviews

    def _list_in_order_of_service(self) -> Iterator[Ticket]:
        """Yield the queued tickets in the order in which ranks without shares go."""
        for urgency, queues in itertools.groupby(
            self._ordered_queues, key=lambda queue: queue.urgency
        ):
            queues = list(queues)
            flows = []
            for bucket in self._rotations[urgency]:
                tickets = [t for q in queues for t in q.waiting.list_items(bucket)]
                tickets.sort(key=lambda ticket: ticket.queued_at)
                flows.append(tickets)
            for turn in itertools.zip_longest(*flows):
                yield from (ticket for ticket in turn if ticket is not None)

    def _list_late(self, now: float) -> list[tuple[Ticket, float]]:
        """Return the waiting tickets that are too late, with their estimated starts."""
        service_times = {q: q.typical_service_time for q in self._ordered_queues}
        late, ahead = [], 0.0
        # Work ahead of the first ticket, and number of tickets, of each caller.
        turns: dict[tuple[Urgency, str], tuple[float, int]] = {}
        for ticket in list(self._list_in_order_of_service()):
            queue = ticket.queue
            if queue.rank.share > 0:
                # Its slots are reserved; the order of service does not show its wait.
                continue
            service_time = service_times[queue]
            flow_key = queue.urgency, ticket.bucket
            first, count = turns.get(flow_key, (ahead, 0))
            flow = self._rotations[queue.urgency].get_flow(ticket.bucket)
            by_pace = first + count * service_time * (1 + flow.overtaking)
            work = max(ahead, by_pace) + service_time
            start = now + work / self._count_available_slots(queue)
            latest = self._compute_latest_start(ticket, flow.waiting, service_time, now)
            if start > latest:
                late.append((ticket, start))
                continue
            turns[flow_key] = first, count + 1
            ahead += service_time
        return late

    def _compute_latest_start(
        self, ticket: Ticket, waiting: int, service_time: float, now: float
    ) -> float:
        """Return the latest start with which a waiting ticket is kept.

        ``waiting`` is the number of queued tickets of the ticket's caller.
        """
        queue = ticket.queue
        by_deadline = ticket.deadline - service_time
        rotation = self._rotations[queue.urgency]
        if ticket.nested or not rotation.is_flooding(waiting):
            return by_deadline
        target = queue.rank.target_ms / 1000
        is_late = now - ticket.queued_at > CHEAP_REFUSAL_FRACTION * target
        if is_late or target <= service_time:
            return by_deadline
        return min(by_deadline, ticket.queued_at + target - service_time)

    def _refuse_waiting(self, ticket: Ticket, start: float, now: float) -> Refusal:
        """Remove a waiting ticket; return its refusal."""
        queue, caller = ticket.queue, ticket.caller
        self.cancel(ticket)
        retry_at = self._assign_return(queue, caller, start, now)
        return Refusal(ErrorKind.DEADLINE_UNREACHABLE, "waits too long", retry_at)

    def _evict_newest(self, queue: RankQueue, now: float) -> None:
        """Refuse the newest ticket of the caller with the most tickets in a queue."""
        _, ticket = queue.waiting.find_longest()
        wait = self._estimate_wait(queue, ticket.caller)
        self.cancel(ticket)
        retry_at = self._assign_return(queue, ticket.caller, now + wait, now)
        refusal = Refusal(ErrorKind.QUEUE_FULL, "evicted for another caller", retry_at)
        self._evicted.append((ticket, refusal))

    def _assign_return(
        self, queue: RankQueue, caller: str, earliest: float, now: float
    ) -> float:
        """Return when a refused caller should retry.

        Requests without a caller can't be told apart; their estimate is not changed.
        """
        if not caller or queue.rank.share > 0:
            return earliest
        returns = self._returns.setdefault(queue.urgency, ReturnSchedule())
        slots = self._count_available_slots(queue)
        interval = queue.expected_service_time / slots
        return returns.assign(caller, earliest, interval, now)

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
        self._update_rotations()

    def _update_rotations(self) -> None:
        """Recount the waiting tickets by urgency, which may have changed."""
        counts: dict[Urgency, Counter[str]] = {}
        for queue in self._ordered_queues:
            by_bucket = counts.setdefault(queue.urgency, Counter())
            by_bucket.update(queue.waiting.count_by_bucket())
        rotations = {}
        for urgency, by_bucket in counts.items():
            rotations[urgency] = self._rotations.get(urgency) or Rotation()
            rotations[urgency].set_counts(by_bucket)
        self._rotations = rotations
        self._returns = {u: r for u, r in self._returns.items() if u in rotations}

    def _remove_retired(self, queue: RankQueue) -> None:
        is_retired = queue.rank.order == RETIRED_ORDER
        if is_retired and not queue.in_use and not queue.waiting:
            if self._queues.get(queue.rank.name) is queue:
                del self._queues[queue.rank.name]
                self._update_shares()

    def _choose_queue(self) -> tuple[RankQueue, str]:
        """Return the queue of the next ticket, and the bucket of its caller."""
        waiting = [queue for queue in self._ordered_queues if queue.waiting]
        for queue in waiting:
            if queue.in_use < queue.guaranteed:
                return queue, queue.waiting.peek().bucket
        for queue in waiting:
            if queue.credit >= 1:
                return queue, queue.waiting.peek().bucket
        urgency = waiting[0].urgency
        bucket = self._rotations[urgency].choose_next()
        heads = [
            (queue.waiting.peek(bucket).queued_at, number)
            for number, queue in enumerate(waiting)
            if queue.urgency == urgency and queue.waiting.peek(bucket) is not None
        ]
        return waiting[min(heads)[1]], bucket

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
        bucket = ticket.bucket or queue.waiting.get_bucket(ticket.caller)
        self._rotations[queue.urgency].floors.record_service(bucket, now)
        queue.in_use += 1
        self.in_use += 1

    def _enqueue(self, queue: RankQueue, ticket: Ticket, now: float) -> None:
        if not queue.waiting:
            queue.start_backlog(self.limit, now)
        ticket.queue = queue
        ticket.state = TicketState.WAITING
        ticket.queued_at = now
        ticket.bucket = queue.waiting.push(ticket.caller, ticket)
        self._rotations[queue.urgency].add(ticket.bucket)
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
        is_full = len(queue.waiting) >= self._get_max_length(queue)
        if is_full and not self._may_evict(queue, ticket):
            retry_at = self._assign_return(queue, ticket.caller, now + wait, now)
            return Refusal(ErrorKind.QUEUE_FULL, detail, retry_at)
        if wait > self._compute_max_wait(queue, ticket, now):
            retry_at = self._assign_return(queue, ticket.caller, now + wait, now)
            return Refusal(ErrorKind.DEADLINE_UNREACHABLE, detail, retry_at)
        return None

    def _get_max_length(self, queue: RankQueue) -> int:
        if queue.expected_service_time:
            return QUEUE_LIMIT
        return max(queue.guaranteed, UNMEASURED_QUEUE_LIMIT)

    def _may_evict(self, queue: RankQueue, ticket: Ticket) -> bool:
        """Return whether a ticket of another caller may be evicted for a new one.

        The caller with the most waiting tickets must still have as many as the new
        ticket's caller afterwards.
        """
        if queue.rank.share > 0 or not queue.waiting:
            return False
        bucket, _ = queue.waiting.find_longest()
        own = queue.waiting.count_items(ticket.caller)
        return queue.waiting.count_items(bucket) > own + 1

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
            return self._estimate_work_ahead(queue, caller)
        rounds = queue.waiting.count_items(caller) + 1
        ahead = min(
            len(queue.waiting) + 1, rounds * max(queue.waiting.count_callers(), 1)
        )
        return ahead * queue.estimate_dequeue_interval(self.limit)

    def _estimate_work_ahead(self, queue: RankQueue, caller: str) -> float:
        """Return the time until the slots have served all tickets ahead of a new one.

        The callers of ranks of the same order share the slots round robin. Callers that
        were served between the turns of this one are expected to go on sending. More
        urgent work is assumed to keep arriving: the slots that it uses now are not
        counted as available.
        """
        urgent, equal = 0.0, 0.0
        for other in self._ordered_queues:
            if other.urgency > queue.urgency:
                break
            work = len(other.waiting) * other.expected_service_time
            if other.urgency < queue.urgency:
                urgent += work
            else:
                equal += work
        rotation = self._rotations[queue.urgency]
        bucket = queue.waiting.get_bucket(caller)
        flow, total = rotation.get_flow(bucket), max(rotation.count_waiting(), 1)
        by_pace = rotation.count_before(bucket) + flow.waiting * (1 + flow.overtaking)
        tickets = max(rotation.count_ahead(bucket), by_pace)
        ahead = queue.expected_service_time + urgent + equal * (tickets / total)
        return ahead / self._count_available_slots(queue)

    def _count_available_slots(self, queue: RankQueue) -> int:
        """Return the number of slots that more urgent work leaves to a queue."""
        urgent_in_use = sum(
            other.in_use
            for other in self._ordered_queues
            if other.urgency < queue.urgency
        )
        return max(self.limit - urgent_in_use, 1)


def _is_past_latest_start(ticket: Ticket, now: float) -> bool:
    queue = ticket.queue
    service_time = queue.typical_service_time if queue.service_time else 0.0
    return now + service_time > ticket.deadline


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
