"""The concurrency that an upstream really bears, learned from its answers."""

from __future__ import annotations

from dataclasses import dataclass

WINDOW_SECONDS = 0.25
SAMPLES = 64
LOWEST_PART = 0.25
SHED_FACTOR = 0.9
STEEPEST_FACTOR = 0.8
CONGESTED_RATIO = 1.4
FREE_RATIO = 1.2
BASELINE_GROWTH = 1.01


@dataclass
class _RankTimes:
    """Hold the times of one rank in this window, and its least mean, in seconds."""

    total: float = 0.0
    count: int = 0
    baseline: float = 0.0

    def close_window(self) -> None:
        if self.count:
            mean = self.total / self.count
            grown = self.baseline * BASELINE_GROWTH
            self.baseline = min(mean, grown) if self.baseline else mean
        self.total = 0.0
        self.count = 0


class ConcurrencyLimit:
    """Lower the limit when answers slow down or are shed, and raise it again.

    The limit stays between ``LOWEST_PART`` of the announced slots and all of them.
    """

    def __init__(self, announced: int, now: float) -> None:
        self.announced = announced
        self.slots = announced
        self._limit = float(announced)
        self._ranks: dict[str, _RankTimes] = {}
        self._ends_at = now + WINDOW_SECONDS
        self._samples = 0
        self._was_full = False
        self._was_shed = False

    def set_announced(self, announced: int) -> None:
        """Take a new number of announced slots."""
        self.announced = announced
        self._set_limit(announced)

    def record(
        self, rank: str, held: float, now: float, *, shed: bool, in_use: int
    ) -> bool:
        """Take one answer; return whether the limit changed.

        ``held`` is the time in seconds from dispatch to answer, and ``in_use`` the
        slots in use before the answer.
        """
        self._samples += 1
        self._was_full |= in_use >= self.slots
        if shed:
            self._was_shed = True
        else:
            times = self._ranks.setdefault(rank, _RankTimes())
            times.total += held
            times.count += 1
        if now < self._ends_at or self._samples < SAMPLES:
            return False
        before = self.slots
        self._close_window(now)
        return self.slots != before

    def _close_window(self, now: float) -> None:
        ratio = self._compute_ratio()
        if self._was_shed:
            self._set_limit(self._limit * SHED_FACTOR)
        elif ratio > CONGESTED_RATIO:
            self._set_limit(self._limit * max(STEEPEST_FACTOR, FREE_RATIO / ratio))
        elif ratio <= CONGESTED_RATIO and self._was_full:
            self._set_limit(self._limit + 1)
        for times in self._ranks.values():
            times.close_window()
        self._ends_at = now + WINDOW_SECONDS
        self._samples = 0
        self._was_full = False
        self._was_shed = False

    def _compute_ratio(self) -> float:
        known = [t for t in self._ranks.values() if t.baseline]
        expected = sum(times.baseline * times.count for times in known)
        return sum(times.total for times in known) / expected if expected else 1.0

    def _set_limit(self, limit: float) -> None:
        lowest = max(1.0, self.announced * LOWEST_PART)
        self._limit = min(max(limit, lowest), float(self.announced))
        self.slots = int(self._limit)
