"""Periodic calls of functions, with as few wake-ups as possible."""

from __future__ import annotations

import asyncio
import logging
import math
import random
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

logger = logging.getLogger(__name__)

# Offset of the wake-ups of this process in seconds, so that daemons that were started
# together don't send at the same time.
PHASE = random.random()


class PeriodicTimer:
    """Call a function at whole multiples of a period, in seconds.

    Functions whose periods are multiples of one another share their wake-ups. Missed
    calls are skipped. An exception is logged and does not prevent the next call.
    """

    def __init__(self, function: Callable[[], None]) -> None:
        self._function = function
        self._period = 0.0
        self._period_index = 0
        self._handle: asyncio.TimerHandle | None = None

    @property
    def is_running(self) -> bool:
        """Return whether a call is scheduled."""
        return self._handle is not None

    def start(self, period: float, *, now: bool = False) -> None:
        """Start the timer; with ``now`` the first call is made immediately."""
        self._period = period
        self._period_index = 0
        self._schedule()
        if now:
            self._call()

    def stop(self) -> None:
        """Stop the timer; no call follows."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None

    def _schedule(self) -> None:
        loop = asyncio.get_running_loop()
        elapsed_periods = math.floor((loop.time() - PHASE) / self._period)
        # A timer may fire slightly early, and must not be set for the same time again.
        self._period_index = max(self._period_index, elapsed_periods) + 1
        self._handle = loop.call_at(
            PHASE + self._period_index * self._period, self._run
        )

    def _run(self) -> None:
        self._schedule()
        self._call()

    def _call(self) -> None:
        try:
            self._function()
        except Exception:
            logger.exception("periodic work failed")
