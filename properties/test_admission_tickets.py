"""Admission: slots, urgency, shares, and one end for each ticket."""

from __future__ import annotations

from hypothesis import settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from flamingohead.core.admission import Admission
from flamingohead.core.errors import Refusal
from flamingohead.core.rank_queues import Ticket, TicketState
from flamingohead.core.resources import Rank

NAMES = ["lookup", "hand-over", "search"]
SHARES = [0.0, 0.1, 0.25, 0.3]


def build_ranks(shares):
    return tuple(
        Rank(name, "stall-ledger", order, 100_000, 1.0, share)
        for order, (name, share) in enumerate(shares.items())
    )


class AdmissionMachine(RuleBasedStateMachine):
    """Offer, release and cancel while ranks and slots change."""

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.admitted = []
        self.waiting = []
        self.ended = []

    @initialize(slots=st.integers(1, 8))
    def start(self, slots):
        ranks = build_ranks({name: 0.3 for name in NAMES})
        self.admission = Admission(slots=slots, ranks=ranks)

    def take(self, turn):
        for ticket in turn.expired:
            assert self.now + ticket.queue.service_time > ticket.deadline
            self.waiting.remove(ticket)
            self.ended.append(ticket)
        for ticket in turn.admitted:
            assert self.now < ticket.deadline
            self.waiting.remove(ticket)
            self.admitted.append(ticket)
        if len(turn.admitted) == 1:
            self.check_choice(turn.admitted[0])

    def check_choice(self, ticket):
        """The admitted rank was below its share, or no waiting rank was."""
        queue = ticket.queue
        if queue.in_use - 1 < queue.guaranteed:
            return
        for other in self.waiting:
            assert other.queue.in_use >= other.queue.guaranteed
            if not queue.fractional_share:
                assert other.queue.rank.order >= queue.rank.order

    @rule(
        rank=st.sampled_from([*NAMES, "unknown"]),
        caller=st.sampled_from("abc"),
        seconds=st.floats(-1, 20),
    )
    def offer(self, rank, caller, seconds):
        ticket = Ticket(rank, self.now + seconds, caller)
        free = self.admission.in_use < self.admission.limit
        result = self.admission.offer(ticket, self.now)
        if result is True:
            assert free
            self.admitted.append(ticket)
        elif result is False:
            assert not free
            self.waiting.append(ticket)
        else:
            assert isinstance(result, Refusal)
            assert result.ran.value == "no"
            assert result.compute_retry_after_ms(self.now) is not None
            self.ended.append(ticket)

    @precondition(lambda self: self.admitted)
    @rule(data=st.data())
    def release(self, data):
        index = data.draw(st.integers(0, len(self.admitted) - 1))
        ticket = self.admitted.pop(index)
        self.ended.append(ticket)
        self.take(self.admission.release(ticket, self.now))

    @precondition(lambda self: self.ended)
    @rule(data=st.data())
    def repeat_an_end(self, data):
        ticket = data.draw(st.sampled_from(self.ended))
        before = self.admission.in_use
        self.take(self.admission.release(ticket, self.now))
        assert not self.admission.cancel(ticket)
        assert self.admission.in_use == before

    @precondition(lambda self: self.waiting)
    @rule(data=st.data())
    def cancel(self, data):
        index = data.draw(st.integers(0, len(self.waiting) - 1))
        ticket = self.waiting.pop(index)
        assert self.admission.cancel(ticket)
        self.ended.append(ticket)

    @rule(
        shares=st.dictionaries(
            st.sampled_from(NAMES), st.sampled_from(SHARES), max_size=3
        )
    )
    def set_ranks(self, shares):
        self.admission.set_ranks(build_ranks(shares))

    @rule(limit=st.integers(1, 8))
    def set_limit(self, limit):
        self.take(self.admission.set_limit(limit, self.now))

    @rule(seconds=st.floats(0, 10))
    def wait(self, seconds):
        self.now += seconds
        self.take(self.admission.advance(self.now))
        assert all(ticket.deadline >= self.now for ticket in self.waiting)

    @invariant()
    def counts_agree(self):
        if not hasattr(self, "admission"):
            return
        assert self.admission.in_use == len(self.admitted)
        by_rank = [t for t in self.waiting if t.rank == "lookup"]
        assert self.admission.count_waiting("lookup") == len(by_rank)
        assert all(t.state is TicketState.WAITING for t in self.waiting)
        assert all(t.state is TicketState.ENDED for t in self.ended)

    @invariant()
    def no_slot_is_idle_while_a_ticket_waits(self):
        if hasattr(self, "admission") and self.waiting:
            assert self.admission.in_use >= self.admission.limit

    @invariant()
    def shares_fit_into_the_slots(self):
        if hasattr(self, "admission"):
            ranks = [*NAMES, "unknown"]
            total = sum(self.admission.get_guaranteed_slots(rank) for rank in ranks)
            assert total <= self.admission.limit


AdmissionMachine.TestCase.settings = settings(
    max_examples=80, stateful_step_count=50, deadline=None
)
TestAdmissionMachine = AdmissionMachine.TestCase
