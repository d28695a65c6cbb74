"""Concurrency limit of an upstream, learned by the daemon that owns its slots.

A crowded server is slower the more requests it works on, so that fewer at a time are
finished as fast. A server that is slow for another reason has as many requests at a
time *because* it is slow: service times by concurrency alone do not tell the two apart.
The throughput is therefore compared in a trial, with a lower and the current limit in
random order, while the upstream has more work than it can take. Service times by
concurrency only veto a trial that has no prospect.
"""

from __future__ import annotations

import math
import statistics
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

# Completed requests over which a throughput is measured, and the minimum time for it.
ROUND_REQUESTS = 24
MIN_ROUND_SECONDS = 0.3
# A round that lasts longer is not saturated.
MAX_ROUND_SECONDS = 10.0
MIN_PAIRS = 3
MAX_PAIRS = 8
# Share of the requests of a round that must have ended with all slots in use.
SATURATED_SHARE = 0.8
# A lower limit may cost this share of the throughput, a higher one must gain as much.
MAX_LOSS = math.log(0.97)
MIN_GAIN = math.log(1.03)
# Standard errors by which a result must be certain before all pairs are measured.
EARLY_ERRORS = 2.0
# Step of a trial, as a share of the limit.
LOWER_STEP = 2 / 3
HIGHER_STEP = 4 / 3
# Saturation, in seconds, before a trial. After a trial without a change, the next one
# waits, twice as long each time. A higher limit is tried more often than a lower one.
SATURATION_SECONDS = 2.0
MIN_PAUSE_SECONDS = 20.0
MAX_PAUSE_SECONDS = 320.0
HIGHER_PAUSE_SECONDS = 5.0
# A learned limit is dropped if the upstream has not been saturated for this time.
LEARNED_SECONDS = 60.0
# No lower limit is tried if a request takes less than this share of the time by which
# the concurrency is higher.
CROWDED_SHARE = 0.7
LEVEL_SMOOTHING = 0.05
MIN_LEVEL_COUNT = 20


@dataclass
class _Trial:
    """Compare the throughput under ``limit`` with that under the current limit.

    ``measured`` holds the logarithms of the throughputs of the current pair, by limit.
    """

    limit: int
    order: list[int]
    ratios: list[float] = field(default_factory=list)
    measured: dict[int, float] = field(default_factory=dict)
    round: _Round | None = None


@dataclass
class _Round:
    limit: int
    created_at: float
    started_at: float | None = None
    requests: int = 0
    saturated: int = 0


class ConcurrencyLimit:
    """Learn the number of requests at a time that an upstream takes well."""

    def __init__(self, slots: int, *, random: Random) -> None:
        self._slots = max(slots, 1)
        self._random = random
        self._learned = self._slots
        self._trial: _Trial | None = None
        self._saturated_since: float | None = None
        self._last_saturated_at = 0.0
        self._next_lower_at = 0.0
        self._next_higher_at = 0.0
        self._pause = MIN_PAUSE_SECONDS
        # Mean relative service time and number of requests by concurrency.
        self._levels: dict[int, tuple[float, int]] = {}

    @property
    def limit(self) -> int:
        """Return the limit in force, which may be that of a trial."""
        if self._trial is not None and self._trial.round is not None:
            return self._trial.round.limit
        return self._learned

    @property
    def learned(self) -> int:
        return self._learned

    def set_slots(self, slots: int) -> None:
        """Set the number of slots; the limit starts from it if it has changed."""
        slots = max(slots, 1)
        if slots != self._slots:
            self._slots = self._learned = slots
            self._trial = None
            self._levels.clear()

    def record(
        self, in_use: int, now: float, *, level: float, relative_time: float | None
    ) -> int:
        """Record the end of a request, before its slot is free; return the limit.

        ``in_use`` counts it, ``level`` is the mean number in use while it was served.
        """
        if relative_time is not None:
            self._record_level(round(level), relative_time)
        if in_use >= self.limit:
            self._last_saturated_at = now
            if self._saturated_since is None:
                self._saturated_since = now
        elif in_use < self.limit - 1:
            self._saturated_since = None
        if self._trial is not None:
            self._advance_trial(self._trial, in_use, now)
        elif self._is_saturated_for(SATURATION_SECONDS, now):
            self._start_trial(now)
        elif now - self._last_saturated_at > LEARNED_SECONDS:
            self._learned = self._slots
        return self.limit

    def _is_saturated_for(self, seconds: float, now: float) -> bool:
        since = self._saturated_since
        return since is not None and now - since >= seconds

    def _record_level(self, level: int, relative_time: float) -> None:
        mean, count = self._levels.get(level, (relative_time, 0))
        count += 1
        weight = max(LEVEL_SMOOTHING, 1 / count)
        self._levels[level] = mean + weight * (relative_time - mean), count

    def _start_trial(self, now: float) -> None:
        limit = None
        if self._learned < self._slots and now >= self._next_higher_at:
            limit = min(math.ceil(self._learned * HIGHER_STEP), self._slots)
        elif now >= self._next_lower_at and self._learned > 1:
            limit = max(1, round(self._learned * LOWER_STEP))
            if not self._may_be_crowded(limit):
                self._postpone(now)
                return
        if limit is not None and limit != self._learned:
            self._trial = _Trial(limit, [])
            self._start_round(self._trial, now)

    def _may_be_crowded(self, limit: int) -> bool:
        """Return whether measured service times are compatible with crowding."""
        low_time, low_count = self._levels.get(limit, (0.0, 0))
        high_time, high_count = self._levels.get(self._learned, (0.0, 0))
        if min(low_count, high_count) < MIN_LEVEL_COUNT:
            return True
        increase = high_time / max(low_time, 1e-9)
        return increase >= CROWDED_SHARE * self._learned / limit

    def _start_round(self, trial: _Trial, now: float) -> None:
        if not trial.order:
            trial.order = [trial.limit, self._learned]
            self._random.shuffle(trial.order)
            trial.measured = {}
        trial.round = _Round(trial.order.pop(), now)

    def _advance_trial(self, trial: _Trial, in_use: int, now: float) -> None:
        current = trial.round
        if now - current.created_at > MAX_ROUND_SECONDS:
            self._end_trial(now, adopted=False)
            return
        if current.started_at is None:
            # Requests admitted under another limit end first.
            if in_use == current.limit:
                current.started_at = now
            return
        current.requests += 1
        current.saturated += in_use >= current.limit
        elapsed = now - current.started_at
        if current.requests < ROUND_REQUESTS or elapsed < MIN_ROUND_SECONDS:
            return
        if current.saturated < SATURATED_SHARE * current.requests:
            self._end_trial(now, adopted=False)
            return
        trial.measured[current.limit] = math.log(current.requests / elapsed)
        if not trial.order:
            ratio = trial.measured[trial.limit] - trial.measured[self._learned]
            trial.ratios.append(ratio)
            result = self._judge(trial)
            if result is not None:
                self._end_trial(now, adopted=result)
                return
        self._start_round(trial, now)

    def _judge(self, trial: _Trial) -> bool | None:
        """Return whether to adopt the limit of a trial; ``None`` if it goes on."""
        if len(trial.ratios) < MIN_PAIRS:
            return None
        bound = MAX_LOSS if trial.limit < self._learned else MIN_GAIN
        mean = statistics.mean(trial.ratios)
        error = statistics.stdev(trial.ratios) / math.sqrt(len(trial.ratios))
        if mean - EARLY_ERRORS * error > bound:
            return True
        if mean + EARLY_ERRORS * error < bound:
            return False
        if len(trial.ratios) < MAX_PAIRS:
            return None
        # Without certainty, the limit stays.
        return mean - error > bound

    def _end_trial(self, now: float, *, adopted: bool) -> None:
        trial, self._trial = self._trial, None
        self._saturated_since = None
        was_lower = trial.limit < self._learned
        if adopted:
            self._learned = trial.limit
            self._pause = MIN_PAUSE_SECONDS
            # Trials go on in the same direction, and turn only after a pause.
            self._next_higher_at = now + (HIGHER_PAUSE_SECONDS if was_lower else 0.0)
            self._next_lower_at = now if was_lower else now + MIN_PAUSE_SECONDS
        elif was_lower:
            self._postpone(now)
        else:
            self._next_higher_at = now + HIGHER_PAUSE_SECONDS

    def _postpone(self, now: float) -> None:
        self._next_lower_at = now + self._pause
        self._pause = min(2 * self._pause, MAX_PAUSE_SECONDS)
