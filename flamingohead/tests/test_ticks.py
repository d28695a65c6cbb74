"""Tests of the periodic work of a daemon."""

from __future__ import annotations

import asyncio

import pytest

from flamingohead.services.ticks import PHASE, PeriodicTimer


class FakeLoop:
    """Simulate the clock and the timers of an event loop."""

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
            earliest = min(due, key=lambda timer: timer.when)
            self.timers.remove(earliest)
            self.now = max(self.now, earliest.when - early)
            earliest.function()


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
    def test_calls_of_multiple_periods_coincide(self, loop):
        call_times = {0.1: [], 1.0: []}
        for period, called_at in call_times.items():
            PeriodicTimer(lambda called_at=called_at: called_at.append(loop.now)).start(
                period
            )
            loop.advance(loop.now + 0.03)
        loop.advance(1010.0)
        assert len(call_times[1.0]) in (9, 10)
        assert {round(call_time, 6) for call_time in call_times[1.0]} <= {
            round(call_time, 6) for call_time in call_times[0.1]
        }
        assert all(
            abs((m - PHASE) % 1.0 - round((m - PHASE) % 1.0)) < 1e-6
            for m in call_times[1.0]
        )

    def test_early_timer_does_not_repeat_a_call(self, loop):
        called_at = []
        PeriodicTimer(lambda: called_at.append(loop.now)).start(0.1)
        loop.advance(1002.0, early=0.001)
        assert len(called_at) in (20, 21)

    def test_missed_calls_are_skipped(self, loop):
        called_at = []
        PeriodicTimer(lambda: called_at.append(loop.now)).start(0.1)
        loop.now += 5.0
        loop.advance(loop.now)
        assert len(called_at) == 1

    def test_failed_call_does_not_end_the_periodic_work(self, loop, caplog):
        called_at = []

        def fail():
            called_at.append(loop.now)
            raise ValueError("broken")

        PeriodicTimer(fail).start(0.5)
        loop.advance(1003.0)
        assert len(called_at) in (5, 6)
        assert "periodic work failed" in caplog.text

    def test_periodic_work_can_be_stopped_and_restarted(self, loop):
        called_at = []
        ticks = PeriodicTimer(lambda: called_at.append(loop.now))
        ticks.start(0.1, now=True)
        assert called_at == [1000.0] and ticks.is_running
        ticks.stop()
        loop.advance(1001.0)
        assert len(called_at) == 1 and not ticks.is_running
        ticks.start(0.1)
        loop.advance(1002.0)
        assert len(called_at) > 5
