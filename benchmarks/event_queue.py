"""Event queue of the discrete-event simulations."""

from __future__ import annotations

import heapq
import itertools
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


class EventQueue:
    """Call functions in the order of their simulated times, in seconds."""

    def __init__(self) -> None:
        self.now = 0.0
        self._events: list[tuple] = []
        self._order = itertools.count()

    def schedule(self, delay: float, function: Callable, *arguments) -> None:
        """Call a function ``delay`` seconds from now."""
        entry = (self.now + delay, next(self._order), function, arguments)
        heapq.heappush(self._events, entry)

    def run_until(self, end: float, is_done: Callable[[], bool]) -> None:
        """Run events up to ``end``, until ``is_done()`` or until none is left."""
        while self._events and self._events[0][0] <= end and not is_done():
            self.now, _, function, arguments = heapq.heappop(self._events)
            function(*arguments)
