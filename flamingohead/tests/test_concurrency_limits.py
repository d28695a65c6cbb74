"""Replays of one upstream that learns its concurrency limit under overload."""

from __future__ import annotations

import heapq
import itertools
import random

import pytest

from flamingohead.core.capacity.limits import ConcurrencyLimit
from flamingohead.core.capacity.slowness import SlownessWatch, SpeedChange

SLOTS = 6
WORK = 0.05
QUEUE = 24


def is_never_crowded(busy, now):
    return 1.0


def is_crowded_from_three(busy, now):
    return max(1.0, (busy / 3) ** 1.3)


def is_crowded_for_40_s(busy, now):
    return is_crowded_from_three(busy, now) if now < 40 else 1.0


def is_slightly_crowded(busy, now):
    return 1 + 0.05 * busy


def is_slow_for_20_s(busy, now):
    return 3.0 if 20 < now < 40 else 1.0


def build_noise(seed):
    """Return a slowness of 2.5 in 15 % of intervals of 0.6 s."""
    generator = random.Random(seed)
    is_slow = [generator.random() < 0.15 for _ in range(1000)]
    return lambda busy, now: 2.5 if is_slow[int(now / 0.6) % 1000] else 1.0


def replay(crowding, *, load=1.3, seconds=80.0, seed=1, learns=True, spread=0.4):
    """Return the number of served requests, and the changes of the learned limit."""
    generator = random.Random(seed)
    learner = ConcurrencyLimit(SLOTS, random=random.Random(seed))
    limit, busy, waiting, served, changes = SLOTS, 0, 0, 0, []
    numbers = itertools.count()
    events = [(0.0, next(numbers), None)]
    while events:
        now, _, begun = heapq.heappop(events)
        if now > seconds:
            break
        if begun is None:
            waiting = min(waiting + 1, QUEUE)
            arrival = now + generator.expovariate(load * SLOTS / WORK)
            heapq.heappush(events, (arrival, next(numbers), None))
        else:
            served += 1
            started_at, started_busy = begun
            if learns:
                level = (started_busy + busy) / 2
                relative_time = (now - started_at) / WORK
                limit = learner.record(
                    busy, now, level=level, relative_time=relative_time
                )
                assert 1 <= limit <= SLOTS
            if not changes or changes[-1][1] != learner.learned:
                changes.append((now, learner.learned))
            busy -= 1
        while waiting and busy < limit:
            waiting -= 1
            busy += 1
            work = WORK * generator.lognormvariate(-(spread**2) / 2, spread)
            end = now + work * crowding(busy, now)
            heapq.heappush(events, (end, next(numbers), (now, busy)))
    return served, changes


class TestConcurrencyLimit:
    @pytest.mark.parametrize("seed", [1, 2, 3])
    def test_server_slow_from_three_of_six_slots_serves_more(self, seed):
        served, changes = replay(is_crowded_from_three, seed=seed)
        fixed, _ = replay(is_crowded_from_three, seed=seed, learns=False)
        assert changes[-1][1] in (3, 4)
        assert served > 1.08 * fixed

    @pytest.mark.parametrize("seed", [1, 2, 3])
    @pytest.mark.parametrize(
        "crowding",
        [is_never_crowded, is_slightly_crowded, is_slow_for_20_s, build_noise(1)],
    )
    def test_limit_stays_where_lowering_costs_throughput(self, crowding, seed):
        # Guards against lowering because a slow phase also raises the concurrency.
        served, changes = replay(crowding, seed=seed)
        fixed, _ = replay(crowding, seed=seed, learns=False)
        assert [limit for _, limit in changes] == [SLOTS]
        assert served > 0.97 * fixed

    def test_slow_server_keeps_its_slots(self):
        # Guards against taking a server for crowded that is slow at any concurrency.
        for seed in range(5):
            _, changes = replay(lambda busy, now: 3.0, seed=seed, spread=0.8)
            assert [limit for _, limit in changes] == [SLOTS]

    def test_upstream_without_overload_is_not_limited(self):
        _, changes = replay(is_crowded_from_three, load=0.3)
        assert [limit for _, limit in changes] == [SLOTS]

    @pytest.mark.parametrize("seed", [1, 2, 3])
    def test_limit_recovers_when_the_crowding_ends(self, seed):
        served, changes = replay(is_crowded_for_40_s, seed=seed)
        assert changes[-1][1] == SLOTS
        assert changes[-1][0] < 65

    def test_learned_limit_is_dropped_after_a_minute_without_overload(self):
        learner = ConcurrencyLimit(SLOTS, random=random.Random(1))
        learner._learned = 3
        learner.record(1, 100.0, level=1.0, relative_time=1.0)
        assert learner.learned == SLOTS

    def test_limit_never_exceeds_the_slots(self):
        learner = ConcurrencyLimit(SLOTS, random=random.Random(1))
        learner.set_slots(2)
        assert learner.limit == 2
        learner.set_slots(0)
        assert learner.limit == 1


class TestSlownessWatch:
    def test_only_lasting_slowness_is_logged_and_its_end(self):
        watch = SlownessWatch()
        records = [(2.5, 0), (1.0, 1), (2.5, 2), (2.5, 4), (2.5, 5), (2.5, 6), (1.1, 7)]
        changes = [watch.record(relative, now) for relative, now in records]
        assert changes[:4] == [None] * 4
        assert changes[4:] == [SpeedChange.SLOW, None, SpeedChange.USUAL]

    def test_slow_requests_are_logged_once_a_second(self):
        watch = SlownessWatch()
        times = [0.0, 0.5, 1.1]
        assert [watch.should_log_request(6.0, now) for now in times] == [
            True,
            False,
        ] + [True]
        assert not watch.should_log_request(2.0, 5.0)
        assert not watch.should_log_request(None, 5.0)
