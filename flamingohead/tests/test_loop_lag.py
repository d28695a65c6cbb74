"""Tests of the lag of the event loop."""

from __future__ import annotations

import asyncio
import logging
import time

from flamingohead.kernel import Kernel
from flamingohead.services import loop_lag
from flamingohead.services.loop_lag import BLOCKED_SECONDS, LoopLagService
from flamingohead.services.metrics import MetricsService

PERIOD_SECONDS = 0.02


class TestLoopLag:
    """Guard against daemons that answer nobody, and whose metrics show nothing."""

    def run(self, monkeypatch, *, blocked_seconds):
        monkeypatch.setattr(loop_lag, "CHECK_PERIOD_SECONDS", PERIOD_SECONDS)
        kernel = Kernel()
        metrics = MetricsService()
        kernel.add("metrics", metrics)
        service = LoopLagService(kernel)
        kernel.add("loop_lag", service)

        async def block():
            await kernel.start()
            await asyncio.sleep(3 * PERIOD_SECONDS)
            time.sleep(blocked_seconds)
            for _ in range(3):
                # The timer that is due runs in one of the next iterations.
                await asyncio.sleep(0)
            lag = metrics.gauges["loop.lag"]
            await kernel.stop()
            return lag

        return asyncio.run(block()), metrics

    def test_blocked_loop_is_counted_and_logged(self, monkeypatch, caplog):
        caplog.set_level(logging.WARNING)
        seconds = BLOCKED_SECONDS + 2 * PERIOD_SECONDS
        lag, metrics = self.run(monkeypatch, blocked_seconds=seconds)
        assert lag >= BLOCKED_SECONDS
        assert metrics.counters["loop.blocked"] == 1
        assert "event loop blocked or paused" in caplog.text

    def test_short_lag_is_only_measured(self, monkeypatch):
        lag, metrics = self.run(monkeypatch, blocked_seconds=4 * PERIOD_SECONDS)
        assert lag > 0
        assert metrics.counters["loop.blocked"] == 0
