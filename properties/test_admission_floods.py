"""Overload: each rank keeps its share of the slots, and no caller starves others."""

from __future__ import annotations

import heapq
import random
from collections import Counter
from dataclasses import dataclass, field

from hypothesis import given, settings, strategies as st

from flamingohead.core.admission import Admission
from flamingohead.core.errors import Refusal
from flamingohead.core.rank_queues import Ticket
from flamingohead.core.resources import Rank

SERVICE_TIME = 0.1
RANKS = (
    Rank("lookup", "stall-ledger", 0, 60_000, 10.0, 0.4),
    Rank("hand-over", "stall-ledger", 1, 60_000, 10.0, 0.3),
    Rank("search", "stall-ledger", 2, 60_000, 1.0, 0.1),
)


@dataclass
class Flood:
    """Keep the queues of an admission filled while services complete."""

    admission: Admission
    now: float = 0.0
    served: Counter = field(default_factory=Counter)
    refused: Counter = field(default_factory=Counter)
    lowest_in_use: dict = field(default_factory=dict)
    _completions: list = field(default_factory=list)
    _sequence: int = 0

    def offer(self, rank, caller="", deadline=1e9):
        ticket = Ticket(rank, deadline, caller)
        result = self.admission.offer(ticket, self.now)
        if result is True:
            self._run(ticket)
        elif isinstance(result, Refusal):
            self.refused[rank, caller] += 1
        return result

    def keep_waiting(self, ranks, depth):
        for rank in ranks:
            while self.admission.count_waiting(rank) < depth:
                assert not isinstance(self.offer(rank), Refusal)

    def step(self):
        """Advance the clock to the next completion of a service."""
        self.now, _, ticket = heapq.heappop(self._completions)
        for admitted in self.admission.release(ticket, self.now).admitted:
            self._run(admitted)

    def get_next_completion(self):
        return self._completions[0][0]

    def _run(self, ticket):
        self.served[ticket.rank, ticket.caller] += 1
        self._sequence += 1
        entry = (self.now + SERVICE_TIME, self._sequence, ticket)
        heapq.heappush(self._completions, entry)


class TestShares:
    @given(
        slots=st.integers(1, 40),
        first=st.sampled_from([rank.name for rank in RANKS]),
        shares=st.lists(st.floats(0, 0.33), min_size=3, max_size=3),
    )
    @settings(max_examples=60)
    def test_share_is_reached_within_one_service_time(self, slots, first, shares):
        ranks = tuple(
            Rank(rank.name, rank.service, rank.order, 60_000, 1.0, share)
            for rank, share in zip(RANKS, shares, strict=True)
        )
        flood = Flood(Admission(slots=slots, ranks=ranks))
        for _ in range(3 * slots):
            flood.offer(first)
        names = [rank.name for rank in ranks]
        flood.keep_waiting(names, 3)
        starts_at = flood.now + SERVICE_TIME
        while flood.get_next_completion() <= starts_at:
            flood.step()
            flood.keep_waiting(names, 3)
        for _ in range(3 * slots):
            for rank in ranks:
                in_use = flood.admission.count_in_use(rank.name)
                assert in_use >= int(rank.share * slots)
            flood.step()
            flood.keep_waiting(names, 3)

    @given(slots=st.integers(1, 3), seed=st.integers(0, 100))
    @settings(max_examples=20)
    def test_rank_with_a_share_below_one_slot_is_not_starved(self, slots, seed):
        flood = Flood(Admission(slots=slots, ranks=RANKS))
        names = [rank.name for rank in RANKS]
        for _ in range(400):
            flood.keep_waiting(names, 3)
            flood.step()
        total = sum(flood.served.values())
        for rank in RANKS:
            assert flood.served[rank.name, ""] >= 0.6 * rank.share * total

    def test_unused_shares_are_available_to_other_ranks(self):
        flood = Flood(Admission(slots=10, ranks=RANKS))
        flood.keep_waiting(["search"], 3)
        assert flood.admission.count_in_use("search") == 10


class TestRefusals:
    def test_queue_stays_short_while_service_times_are_unknown(self):
        flood = Flood(Admission(slots=20, ranks=RANKS))
        for _ in range(200):
            flood.offer("search")
        assert flood.admission.count_waiting("search") <= 4

    def test_wait_that_misses_the_target_is_refused_at_once(self):
        rank = Rank("lookup", "stall-ledger", 0, 300, 10.0, 0.4)
        flood = Flood(Admission(slots=2, ranks=(rank,)))
        flood.offer("lookup")
        flood.step()
        for _ in range(200):
            for _ in range(5):
                flood.offer("lookup", deadline=flood.now + 10)
            assert flood.admission.count_waiting("lookup") <= 3
            flood.step()

    def test_wait_beyond_the_deadline_is_refused_at_once(self):
        flood = Flood(Admission(slots=2, ranks=RANKS))
        flood.offer("lookup")
        flood.step()
        for _ in range(20):
            flood.keep_waiting(["lookup"], 20)
            flood.step()
        refusal = flood.offer("lookup", deadline=flood.now + 3 * SERVICE_TIME)
        assert isinstance(refusal, Refusal)
        assert refusal.retry_at > flood.now

    def test_rank_removed_while_waiting_is_still_served(self):
        flood = Flood(Admission(slots=2, ranks=RANKS))
        flood.keep_waiting(["search"], 4)
        flood.admission.set_ranks(RANKS[:2])
        flood.admission.set_ranks(RANKS[:1])
        for _ in range(200):
            flood.keep_waiting(["lookup"], 3)
            flood.step()
        assert flood.served["search", ""] == 6

    def test_call_of_an_unknown_rank_is_served(self):
        flood = Flood(Admission(slots=2, ranks=RANKS))
        assert flood.offer("new-rank") is True


class TestCallers:
    @given(
        callers=st.integers(1, 6),
        flood_rate=st.integers(2, 30),
        seed=st.integers(0, 1000),
    )
    @settings(max_examples=25)
    def test_flooding_caller_does_not_starve_others(self, callers, flood_rate, seed):
        generator = random.Random(seed)
        flood = Flood(Admission(slots=10, ranks=RANKS))
        sent = Counter()
        # Quiet callers together request half of the capacity of the slots.
        send_probability = 0.5 / callers
        for _ in range(600):
            for _ in range(flood_rate):
                flood.offer("lookup", "flooding", flood.now + 1.0)
            for number in range(callers):
                if generator.random() < send_probability:
                    sent[number] += 1
                    flood.offer("lookup", f"quiet-{number}", flood.now + 1.0)
            flood.step()
        for number in range(callers):
            served = flood.served["lookup", f"quiet-{number}"]
            assert served >= 0.95 * sent[number] - 2
