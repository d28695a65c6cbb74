"""Periodic work of a daemon."""

from __future__ import annotations

import asyncio

import pytest

from flamingohead.services.ticks import PHASE, PeriodicTimer


class FakeLoop:
    """Keep the time and the timers that were set."""

    def __init__(self):
        self.now = 1000.0
        self.timers = []

    def time(self):
        return self.now

    def call_at(self, when, function):
        handle = FakeHandle(when, function)
        self.timers.append(handle)
        return handle

    def advance(self, until, *, early=0.0):
        while True:
            due = [t for t in self.timers if t.when <= until and not t.is_cancelled]
            if not due:
                self.now = until
                return
            first = min(due, key=lambda timer: timer.when)
            self.timers.remove(first)
            self.now = max(self.now, first.when - early)
            first.function()


class FakeHandle:
    def __init__(self, when, function):
        self.when = when
        self.function = function
        self.is_cancelled = False

    def cancel(self):
        self.is_cancelled = True


@pytest.fixture
def loop(monkeypatch):
    loop = FakeLoop()
    monkeypatch.setattr(asyncio, "get_running_loop", lambda: loop)
    return loop


class TestTicks:
    def test_periods_that_are_multiples_share_their_moments(self, loop):
        moments = {0.1: [], 1.0: []}
        for period, taken in moments.items():
            PeriodicTimer(lambda taken=taken: taken.append(loop.now)).start(period)
            loop.advance(loop.now + 0.03)
        loop.advance(1010.0)
        assert len(moments[1.0]) in (9, 10)
        assert {round(moment, 6) for moment in moments[1.0]} <= {
            round(moment, 6) for moment in moments[0.1]
        }
        assert all(
            abs((m - PHASE) % 1.0 - round((m - PHASE) % 1.0)) < 1e-6
            for m in moments[1.0]
        )

    def test_timer_that_fires_early_makes_no_turn_twice(self, loop):
        taken = []
        PeriodicTimer(lambda: taken.append(loop.now)).start(0.1)
        loop.advance(1002.0, early=0.001)
        assert len(taken) in (20, 21)

    def test_missed_turns_are_left_out(self, loop):
        taken = []
        PeriodicTimer(lambda: taken.append(loop.now)).start(0.1)
        loop.now += 5.0
        loop.advance(loop.now)
        assert len(taken) == 1

    def test_turn_that_fails_does_not_end_the_work(self, loop, caplog):
        taken = []

        def fail():
            taken.append(loop.now)
            raise ValueError("broken")

        PeriodicTimer(fail).start(0.5)
        loop.advance(1003.0)
        assert len(taken) in (5, 6)
        assert "periodic work failed" in caplog.text

    def test_stop_ends_it_and_it_may_begin_again(self, loop):
        taken = []
        ticks = PeriodicTimer(lambda: taken.append(loop.now))
        ticks.start(0.1, now=True)
        assert taken == [1000.0] and ticks.is_running
        ticks.stop()
        loop.advance(1001.0)
        assert len(taken) == 1 and not ticks.is_running
        ticks.start(0.1)
        loop.advance(1002.0)
        assert len(taken) > 5
