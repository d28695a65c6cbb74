"""Lag of the event loop, which tells a blocked daemon from a slow one."""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING

from flamingohead.events import Event, log_event
from flamingohead.services.ticks import PeriodicTimer

if TYPE_CHECKING:
    from flamingohead.kernel import Kernel

logger = logging.getLogger(__name__)

CHECK_PERIOD_SECONDS = 0.5
# Callers with short deadlines notice a lag of this length.
BLOCKED_SECONDS = 0.5


class LoopLagService:
    """Measure by how much periodic work is late, and log when it is very late.

    A process that did not run for that time used no processor; one whose event loop
    was blocked used it up.
    """

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._timer = PeriodicTimer(self._check)
        self._due_at = 0.0
        self._processor_seconds = 0.0

    async def start(self) -> None:
        self._expect_next()
        self._timer.start(CHECK_PERIOD_SECONDS)

    async def stop(self) -> None:
        self._timer.stop()

    def _expect_next(self) -> None:
        self._due_at = time.monotonic() + CHECK_PERIOD_SECONDS
        self._processor_seconds = time.process_time()

    def _check(self) -> None:
        lag = max(0.0, time.monotonic() - self._due_at)
        used = time.process_time() - self._processor_seconds
        self._expect_next()
        metrics = self._kernel.get("metrics")
        metrics.set_gauge("loop.lag", lag)
        if lag >= BLOCKED_SECONDS:
            metrics.count("loop.blocked")
            log_event(
                logger,
                Event.LOOP_BLOCKED,
                lag_seconds=round(lag, 2),
                processor_seconds=round(used, 2),
            )
