"""Periodic work of a daemon, in as few wake-ups as possible."""

from __future__ import annotations

import asyncio
import logging
import math
import random
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

logger = logging.getLogger(__name__)

# Seconds by which the wake-ups of this process are shifted, so that daemons that
# started together don't send at the same moments.
PHASE = random.random()


class Ticks:
    """Call a function at whole multiples of a period, in seconds.

    Functions whose periods are multiples of one another share their wake-ups. Turns
    that were missed are left out. A turn that fails is logged, and the next is taken.
    """

    def __init__(self, function: Callable[[], None]) -> None:
        self._function = function
        self._period = 0.0
        self._turn = 0
        self._handle: asyncio.TimerHandle | None = None

    @property
    def is_running(self) -> bool:
        """Tell whether a turn is scheduled."""
        return self._handle is not None

    def start(self, period: float, *, now: bool = False) -> None:
        """Begin; with ``now`` the first call is made at once."""
        self._period = period
        self._turn = 0
        self._schedule()
        if now:
            self._call()

    def stop(self) -> None:
        """End; no turn follows."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None

    def _schedule(self) -> None:
        loop = asyncio.get_running_loop()
        passed = math.floor((loop.time() - PHASE) / self._period)
        # A timer may fire a moment before its time.
        self._turn = max(self._turn, passed) + 1
        self._handle = loop.call_at(PHASE + self._turn * self._period, self._run)

    def _run(self) -> None:
        self._schedule()
        self._call()

    def _call(self) -> None:
        try:
            self._function()
        except Exception:
            logger.exception("periodic work failed")
