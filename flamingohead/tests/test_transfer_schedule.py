"""Tests of the schedule of large request bodies, and of the loads it is made for."""

from __future__ import annotations

import heapq
import random

import pytest

from flamingohead.core.errors import ErrorKind
from flamingohead.core.transfers.links import Link
from flamingohead.core.transfers.pacing import PacedBody, Pacer
from flamingohead.core.transfers.schedule import (
    EXPIRY_SLACK_SECONDS,
    MAX_WAIT_SECONDS,
    STALL_SECONDS,
    Transfer,
    TransferSchedule,
    TransferState,
)

LINK_MBPS = 10
# Bytes that pass the usable part of the link in 100 ms.
BODY_BYTES = 87_500


def build_schedule():
    return TransferSchedule(Link(LINK_MBPS))


def offer(schedule, now, *, body_bytes=BODY_BYTES, seconds=2.0, **fields):
    """Offer a body whose response has to begin within some seconds."""
    transfer = Transfer(body_bytes, now + seconds, **fields)
    return transfer, schedule.offer(transfer, now)


class TestOrder:
    def test_bodies_begin_one_after_another(self):
        schedule = build_schedule()
        first, second = (offer(schedule, 0.0)[0] for _ in range(2))
        assert schedule.advance(0.0).granted == (first,)
        assert schedule.advance(0.05).granted == ()
        schedule.end(first)
        assert schedule.advance(0.1).granted == (second,)

    def test_more_urgent_rank_goes_first(self):
        schedule = build_schedule()
        later, _ = offer(schedule, 0.0, order=2)
        urgent, _ = offer(schedule, 0.0, order=1)
        assert schedule.advance(0.0).granted == (urgent,)
        assert later.state is TransferState.WAITING

    def test_earlier_deadline_goes_first(self):
        schedule = build_schedule()
        offer(schedule, 0.0, seconds=3.0)
        earlier, _ = offer(schedule, 0.0, seconds=1.0)
        assert schedule.advance(0.0).granted == (earlier,)


class TestRefusals:
    def test_body_that_can_not_arrive_by_its_deadline_is_refused(self):
        schedule = build_schedule()
        _, refusal = offer(schedule, 5.0, seconds=0.05)
        assert refusal.kind is ErrorKind.DEADLINE_UNREACHABLE

    def test_time_to_return_is_when_the_bodies_ahead_have_arrived(self):
        schedule = build_schedule()
        for _ in range(5):
            assert offer(schedule, 0.0, order=1)[1] is None
        _, refusal = offer(schedule, 0.0, order=2, seconds=0.55)
        assert refusal.retry_at == pytest.approx(0.5)

    def test_target_bounds_the_wait(self):
        schedule = build_schedule()
        accepted = 0
        while offer(schedule, 0.0, target_deadline=0.7, service_seconds=0.1)[1] is None:
            accepted += 1
        # Those that are accepted can be served by the target.
        assert accepted * 0.1 + 0.1 <= 0.7
        assert accepted >= 3

    def test_body_overtaken_until_it_is_too_late_is_refused(self):
        schedule = build_schedule()
        late, _ = offer(schedule, 0.0, seconds=0.35, order=2)
        urgent = [offer(schedule, 0.0, order=1)[0] for _ in range(4)]
        refused = []
        for tick in range(60):
            result = schedule.advance(tick / 100)
            refused += result.refused
            for transfer in result.granted:
                schedule.end(transfer)
        assert schedule.get_next_time(0.6) is None
        ((transfer, refusal),) = refused
        assert transfer is late
        assert refusal.kind is ErrorKind.DEADLINE_UNREACHABLE
        assert all(t.state is TransferState.ENDED for t in urgent)

    def test_body_behind_an_urgent_one_is_refused_in_time(self):
        schedule = build_schedule()
        offer(schedule, 0.0, body_bytes=20 * BODY_BYTES, seconds=9.0, order=1)
        schedule.advance(0.0)
        offer(schedule, 0.0, body_bytes=20 * BODY_BYTES, seconds=9.0, order=1)
        late, refusal = offer(schedule, 0.0, seconds=4.5, order=1)
        assert refusal is None
        for _ in range(3):
            offer(schedule, 0.1, body_bytes=20 * BODY_BYTES, seconds=9.0, order=0)
        schedule.advance(2.0)
        next_at = schedule.get_next_time(2.1)
        assert next_at <= late.latest_begin + EXPIRY_SLACK_SECONDS
        refused = schedule.advance(late.latest_begin + EXPIRY_SLACK_SECONDS).refused
        assert [transfer for transfer, _ in refused] == [late]

    def test_deadline_of_a_sender_does_not_hold_a_place_for_long(self):
        schedule = build_schedule()
        for _ in range(200):
            offer(schedule, 0.0, seconds=10**6)
        assert schedule.estimate_wait(0.0) <= MAX_WAIT_SECONDS + 0.2


class TestLostSenders:
    def test_sender_that_stalls_does_not_hold_up_others(self):
        schedule = build_schedule()
        stalled, _ = offer(schedule, 0.0, body_bytes=2 * BODY_BYTES)
        schedule.advance(0.0)
        waiting, _ = offer(schedule, 0.1)
        assert schedule.advance(0.3).granted == ()
        overdue_at = stalled.ends_at + STALL_SECONDS
        assert schedule.get_next_time(0.3) == pytest.approx(overdue_at)
        assert schedule.advance(overdue_at).granted == (waiting,)

    @pytest.mark.parametrize("is_granted", [False, True])
    def test_lost_body_leaves_the_schedule(self, is_granted):
        schedule = build_schedule()
        transfer, _ = offer(schedule, 0.0)
        if is_granted:
            schedule.advance(0.0)
        schedule.end(transfer)
        schedule.end(transfer)
        other, _ = offer(schedule, 0.2)
        assert schedule.advance(0.2).granted == (other,)
        assert schedule.get_next_time(0.2) is None

    def test_body_of_an_earlier_build_delays_those_that_ask(self):
        schedule = build_schedule()
        schedule.add_unscheduled(BODY_BYTES, 0.0)
        offer(schedule, 0.0)
        assert schedule.advance(0.0).granted == ()
        assert len(schedule.advance(0.1).granted) == 1


class TestManySenders:
    """Guard against senders that each count on the whole link of a receiver."""

    HOSTS = 7
    # The mean and the peak of the uploads that 58 daemons send to these hosts.
    RATES = (130, 195)
    SECONDS = 20.0

    def play(self, rate):
        """Offer uploads of 60 KB at random; return those granted and those refused."""
        generator = random.Random(5)
        schedules = [build_schedule() for _ in range(self.HOSTS)]
        granted, refused, events = [], 0, []
        now = 0.0
        while now < self.SECONDS:
            now += generator.expovariate(rate)
            heapq.heappush(events, (now, len(events), None, None))
        count = len(events)
        while events:
            now, _, schedule, ended = heapq.heappop(events)
            if ended is not None:
                schedule.end(ended)
            elif schedule is None:
                schedule = generator.choice(schedules)
                size = min(360_000, int(generator.lognormvariate(10.85, 0.55)))
                transfer = Transfer(
                    size,
                    now + 1.5,
                    target_deadline=now + 0.6,
                    service_seconds=0.1,
                )
                refused += schedule.offer(transfer, now) is not None
            result = schedule.advance(now)
            refused += len(result.refused)
            for transfer in result.granted:
                granted.append((now, transfer))
                item = (transfer.ends_at, next_number(), schedule, transfer)
                heapq.heappush(events, item)
            next_at = schedule.get_next_time(now)
            if next_at is not None:
                heapq.heappush(
                    events, (max(next_at, now + 0.001), next_number(), schedule, None)
                )
        return count, granted, refused

    @pytest.mark.parametrize("rate", RATES)
    def test_bodies_fit_the_links_and_arrive_by_the_target(self, rate):
        count, granted, refused = self.play(rate)
        assert len(granted) + refused == count
        total = sum(transfer.body_bytes for _, transfer in granted)
        usable = self.HOSTS * Link(LINK_MBPS).bytes_per_second * self.SECONDS
        assert 0.75 * usable <= total <= 1.05 * usable
        for _, transfer in granted:
            assert transfer.ends_at + transfer.service_seconds <= transfer.deadline
        in_time = sum(t.ends_at + 0.1 <= t.target_deadline for _, t in granted)
        assert in_time >= 0.95 * len(granted)


def next_number(numbers=iter(range(10**6, 10**9))):
    return next(numbers)


class TestPacing:
    def test_body_is_sent_at_the_granted_rate(self):
        pacer = Pacer(Link(100))
        body = PacedBody(bytes(BODY_BYTES), 875_000)
        pacer.bodies.append(body)
        assert pacer.compute_part_bytes(body, 0.01) == 8750

    def test_bodies_of_a_host_share_its_link(self):
        pacer = Pacer(Link(LINK_MBPS))
        bodies = [PacedBody(bytes(BODY_BYTES), 10**9) for _ in range(5)]
        pacer.bodies += bodies
        parts = [pacer.compute_part_bytes(body, 0.01) for body in bodies]
        assert sum(parts) <= pacer.link.bytes_per_second * 0.01

    def test_delay_of_the_event_loop_is_made_up_for_in_part(self):
        pacer = Pacer(Link(100))
        body = PacedBody(bytes(BODY_BYTES), 875_000)
        assert pacer.compute_part_bytes(body, 10.0) == 35_000
        assert len(body.take_part(80_000)) == 80_000
        assert len(body.take_part(80_000)) == 7500
        assert body.is_complete
