"""Sharing between organisations: order of turns, floors, and one outcome for each."""

from __future__ import annotations

from hypothesis import given, settings, strategies as st

from flamingohead.core.admission import Admission
from flamingohead.core.errors import Refusal
from flamingohead.core.fairness import FairQueue, Rotation
from flamingohead.core.rank_queues import Ticket, TicketState
from flamingohead.core.resources import Rank
from flamingohead.core.returns import MAX_RETURN_SECONDS, ReturnSchedule
from flamingohead.testing.shared_load import Sender, SharedLoad

RANK = Rank("lookup", "s", 1, 400, 1.0, 0.0)
OTHER_RANK = Rank("hand-over", "s", 1, 600, 1.0, 0.0)
SERVICE_TIME = 0.05
CALLERS = st.sampled_from("abcde")


class TestTurns:
    @given(queued=st.lists(CALLERS, max_size=40), served=st.integers(0, 40))
    def test_count_ahead_is_the_number_served_before_a_new_ticket(self, queued, served):
        queue, rotation = FairQueue(), Rotation()
        for number, caller in enumerate(queued):
            queue.push(caller, number)
            rotation.add(caller)
        for _ in range(min(served, len(queued))):
            bucket = next(iter(rotation))
            queue.pop(bucket)
            rotation.record_turn(bucket)
        for caller in "abcde":
            ahead = rotation.count_ahead(caller)
            copy, turns = FairQueue(), list(rotation)
            items = {bucket: queue.list_items(bucket) for bucket in turns}
            for bucket in turns:
                for item in items[bucket]:
                    copy.push(bucket, item)
            copy.push(caller, "new")
            popped = 0
            while copy.pop() != "new":
                popped += 1
            assert popped == ahead


class TestOutcomes:
    @given(
        operations=st.lists(
            st.tuples(
                st.sampled_from(["offer", "offer", "release", "review", "ranks"]),
                CALLERS,
                st.sampled_from(["lookup", "hand-over"]),
                st.booleans(),
                st.floats(0, 0.1),
            ),
            max_size=150,
        ),
        slots=st.integers(1, 6),
    )
    @settings(max_examples=150, deadline=None)
    def test_every_ticket_ends_once_and_no_slot_is_idle(self, operations, slots):
        admission = Admission(slots=slots, ranks=(RANK, OTHER_RANK))
        now, running, waiting, ended = 0.0, [], [], []

        def apply(result):
            gone = [*result.expired, *(ticket for ticket, _ in result.refused)]
            for ticket in (*gone, *result.admitted):
                waiting.remove(ticket)
            ended.extend(gone)
            running.extend(result.admitted)
            assert all(refusal.ran.value == "no" for _, refusal in result.refused)
            assert all(refusal.retry_at >= now for _, refusal in result.refused)

        for operation, caller, rank, nested, seconds in operations:
            now += seconds
            if operation == "offer":
                ticket = Ticket(rank, now + 0.5, caller, nested=nested)
                result = admission.offer(ticket, now)
                if isinstance(result, Refusal):
                    ended.append(ticket)
                else:
                    (running if result else waiting).append(ticket)
            elif operation == "release" and running:
                ticket = running.pop(0)
                ended.append(ticket)
                apply(admission.release(ticket, now))
            elif operation == "ranks":
                ranks = (RANK, OTHER_RANK) if nested else (OTHER_RANK,)
                admission.set_ranks(ranks)
            else:
                apply(admission.advance(now))
            apply(admission.review(now))
            assert admission.in_use == len(running)
            assert not waiting or admission.in_use >= slots
            assert {t.state for t in waiting} <= {TicketState.WAITING}
            assert {t.state for t in ended} <= {TicketState.ENDED}


class TestShares:
    @given(
        rates=st.lists(st.floats(0.05, 2.0), min_size=2, max_size=12),
        seed=st.integers(0, 1000),
    )
    @settings(max_examples=15, deadline=None)
    def test_each_caller_gets_its_share_and_none_falls_below_the_floor(
        self, rates, seed
    ):
        capacity = 6 / SERVICE_TIME
        senders = [
            Sender(f"caller-{number}", rate * capacity, deadline=1.5)
            for number, rate in enumerate(rates)
        ]
        load = SharedLoad(
            senders,
            (RANK,),
            slots=6,
            draw_work=lambda random, now: SERVICE_TIME * random.uniform(0.7, 1.3),
            seed=seed,
        )
        result = load.run(10)
        mean = sum(result.served.values()) / sum(result.sent.values())
        # The floors may take this part of the slots from callers within their share.
        share = 0.6 * capacity * 10 / len(rates)
        for sender in senders:
            served, sent = result.served[sender.name], result.sent[sender.name]
            assert served >= 0.25 * mean * sent - 3
            assert served >= min(0.9 * sent - 3, share)
        assert result.idle_seconds == 0


class TestReturns:
    @given(
        refusals=st.lists(
            st.tuples(CALLERS, st.floats(0, 2), st.floats(0, 0.5)), max_size=200
        ),
        interval=st.floats(0.001, 0.2),
    )
    def test_return_is_after_the_wait_and_bounded(self, refusals, interval):
        schedule, now = ReturnSchedule(), 0.0
        for caller, wait, seconds in refusals:
            now += seconds
            time = schedule.assign(caller, now + wait, interval, now)
            assert now + wait <= time <= now + wait + MAX_RETURN_SECONDS
