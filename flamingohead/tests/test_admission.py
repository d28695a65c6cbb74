"""Tests of admission: order of ranks, nested calls, bursts and drains."""

from __future__ import annotations

import pytest

from flamingohead.core.admission import Admission
from flamingohead.core.errors import ErrorKind
from flamingohead.core.rank_queues import Ticket
from flamingohead.core.resources import Rank


def build_rank(name, order, target_ms):
    return Rank(name, "s", order, target_ms, 1.0, 0.0)


LOOKUP = build_rank("lookup", 1, 500)
HAND_OVER = build_rank("hand-over", 1, 600)
SEARCH = build_rank("search", 2, 4000)


@pytest.fixture
def admission():
    admission = Admission(slots=2, ranks=(LOOKUP, HAND_OVER, SEARCH))
    for rank in (LOOKUP, HAND_OVER, SEARCH):
        # Admission learns a service time of 100 ms for each rank.
        ticket = Ticket(rank.name, 10.0)
        assert admission.offer(ticket, 0.0) is True
        admission.release(ticket, 0.1)
    return admission


def fill(admission, rank, count, now=1.0):
    tickets = [Ticket(rank.name, now + 10.0) for _ in range(count)]
    for ticket in tickets:
        assert admission.offer(ticket, now) is True
    return tickets


class TestEqualOrders:
    def test_ranks_of_equal_order_are_served_by_arrival(self, admission):
        running = fill(admission, SEARCH, 2)
        waiting = []
        for number in range(4):
            rank = (LOOKUP, HAND_OVER)[number % 2]
            ticket = Ticket(rank.name, 9.0)
            assert admission.offer(ticket, 1.0 + number / 1000) is False
            waiting.append(ticket)
        admitted = []
        while running:
            result = admission.release(running.pop(0), 1.01)
            admitted += result.admitted
            running += result.admitted
        assert admitted == waiting

    def test_flood_of_one_rank_does_not_starve_a_rank_of_equal_order(self, admission):
        running = fill(admission, LOOKUP, 2)
        served = {LOOKUP.name: 0, HAND_OVER.name: 0}
        now = 1.0
        for step in range(400):
            now += 0.05
            for rank, count in ((LOOKUP, 3), (HAND_OVER, 1)):
                for _ in range(count):
                    ticket = Ticket(rank.name, now + 1.2)
                    if admission.offer(ticket, now) is True:
                        running.append(ticket)
            if running:
                result = admission.release(running.pop(0), now)
                running += result.admitted
                for ticket in result.admitted:
                    served[ticket.rank] += 1
        assert served[HAND_OVER.name] >= 0.15 * sum(served.values())


class TestNestedCalls:
    def test_nested_call_precedes_new_work_of_equal_order(self, admission):
        running = fill(admission, SEARCH, 2)
        first = Ticket(LOOKUP.name, 9.0)
        nested = Ticket(LOOKUP.name, 9.0, nested=True)
        assert admission.offer(first, 1.0) is False
        assert admission.offer(nested, 1.001) is False
        assert admission.release(running[0], 1.01).admitted == (nested,)

    def test_nested_call_may_wait_until_its_deadline(self, admission):
        fill(admission, HAND_OVER, 2)
        while (refusal := admission.offer(Ticket(LOOKUP.name, 9.0), 1.0)) is False:
            pass
        # The target latency leaves no time to queue, the deadline does.
        assert refusal.kind is ErrorKind.DEADLINE_UNREACHABLE
        assert admission.offer(Ticket(LOOKUP.name, 1.5, nested=True), 1.0) is False

    def test_nested_queue_follows_a_new_configuration(self, admission):
        fill(admission, SEARCH, 2)
        nested = Ticket(LOOKUP.name, 9.0, nested=True)
        admission.offer(nested, 1.0)
        admission.set_ranks((build_rank("lookup", 0, 500), SEARCH))
        assert nested.queue.urgency == (0, False)


class TestOffers:
    def test_ticket_that_may_not_wait_is_refused_at_once(self, admission):
        fill(admission, SEARCH, 2)
        refusal = admission.offer(Ticket(LOOKUP.name, 9.0), 1.0, may_wait=False)
        assert refusal.kind is ErrorKind.QUEUE_FULL
        assert admission.count_waiting(LOOKUP.name) == 0

    def test_less_urgent_work_does_not_lengthen_the_wait(self, admission):
        fill(admission, SEARCH, 2)
        for _ in range(20):
            assert admission.offer(Ticket(SEARCH.name, 9.0), 1.0) is False
        assert admission.offer(Ticket(LOOKUP.name, 9.0), 1.0) is False


class TestBursts:
    def test_burst_of_a_rank_with_a_high_target_latency_is_queued(self, admission):
        fill(admission, SEARCH, 2)
        queued = 0
        while admission.offer(Ticket(SEARCH.name, 4.0), 1.0) is False:
            queued += 1
        # With 100 ms per ticket on two slots, a ticket is queued if it can start at
        # least 150 ms before its deadline.
        assert 50 <= queued <= 57

    def test_low_target_latency_bounds_the_queue(self, admission):
        fill(admission, SEARCH, 2)
        queued = 0
        while admission.offer(Ticket(LOOKUP.name, 4.0), 1.0) is False:
            queued += 1
        assert queued * 0.1 / 2 + 0.1 <= 0.5


class TestUnknownServiceTime:
    def test_queue_is_not_refused_before_a_service_time_is_known(self):
        admission = Admission(slots=18, ranks=(LOOKUP, HAND_OVER, SEARCH))
        for _ in range(18):
            assert admission.offer(Ticket(LOOKUP.name, 9.0), 0.0) is True
        queued = 0
        while admission.offer(Ticket(LOOKUP.name, 9.0), 0.0) is False:
            queued += 1
        assert 10 <= queued <= 40


class TestDrains:
    """Replay a drain of one second with a queue of three seconds of work."""

    def test_tickets_that_cannot_start_before_the_deadline_are_listed(self, admission):
        fill(admission, SEARCH, 2)
        waiting = []
        for number in range(60):
            rank = LOOKUP if number >= 55 else SEARCH
            ticket = Ticket(rank.name, 11.0)
            assert admission.offer(ticket, 1.0 + number / 10000) is False
            waiting.append(ticket)
        # Two slots at 100 ms per ticket serve 20 tickets per second, the most urgent
        # rank first.
        unreachable = admission.list_unreachable(2.075, 1.05)
        assert set(unreachable) == set(waiting[15:55])
        assert admission.list_unreachable(20.0, 1.05) == []
