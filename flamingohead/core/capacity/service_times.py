"""Service times of an upstream, measured by the daemon that owns it.

The owner sees every request of its upstream, so that it notices a change after a few
requests. A sender that measured alone would need as many of its own.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from flamingohead.core.decay import compute_decay

if TYPE_CHECKING:
    from collections.abc import Iterable

# Half-life, in seconds, of the measurements that tell how the upstream works now.
WINDOW_HALF_LIFE_SECONDS = 0.25
# Weight, in requests, of the assumption that the upstream works as usual.
PRIOR_COUNT = 2.0
# Time constant, in seconds, of the usual service time. An upstream that is slow for a
# few seconds must not pass for one that always is.
USUAL_SECONDS = 20.0
# A single request counts at most this multiple of the usual time: some requests are
# just larger than others.
MAX_SAMPLE_RATIO = 4.0
# Largest step of the usual service time, as a multiple of it.
MAX_USUAL_RATIO = 2.0
MIN_USUAL_COUNT = 10
# Upstreams are slow for this time after a start. What was measured then is replaced by
# the first requests after it.
COLD_SECONDS = 3.0
COLD_COUNT = 2
# A reported pace lasts for about 0.6 s where other workloads share the host.
PACE_HALF_LIFE_SECONDS = 0.5
MAX_PACE = 20.0
# The speed has changed if it differs from the usual by this factor.
CHANGED_FACTOR = 1.25
# Bounds of the time for which a changed speed is expected to last, in seconds. It is as
# long as the change has lasted so far.
MIN_LIFETIME_SECONDS = 1.5
MAX_LIFETIME_SECONDS = 3.0


@dataclass(frozen=True)
class ServiceTime:
    """Hold the expected service time of a rank, now and usually, in seconds.

    ``lifetime`` is the half-life of the difference: what has lasted for long is likely
    to last, and the slowness by a neighbour ends within a second.
    """

    current: float
    usual: float
    lifetime: float


@dataclass
class _Usual:
    seconds: float
    count: int
    updated_at: float


class ServiceTimes:
    """Estimate service times from all requests of an upstream.

    Ranks have service times of their own; a change of speed is measured over all of
    them. If the upstream reports its pace, measurements are divided by it, and the
    estimate is multiplied by the newest one.
    """

    def __init__(self, ready_since: float) -> None:
        self._cold_until = ready_since + COLD_SECONDS
        self._is_cold = True
        self._usual: dict[str, _Usual] = {}
        self._time_sum = 0.0
        self._count = 0.0
        self._updated_at = ready_since
        self._pace = 1.0
        self._mean_pace = 1.0
        self._pace_at = ready_since
        self._changed_since: float | None = None

    def record_pace(self, pace: float, now: float) -> None:
        """Record the pace reported by the upstream; 1.0 is usual, 2.0 twice as slow."""
        pace = min(max(pace, 1 / MAX_PACE), MAX_PACE)
        # A report after a long silence says nothing about that time.
        elapsed = min(max(0.0, now - self._pace_at), PACE_HALF_LIFE_SECONDS)
        weight = 1 - math.exp(-elapsed / USUAL_SECONDS)
        self._mean_pace += weight * (pace - self._mean_pace)
        self._pace, self._pace_at = pace, now

    def estimate_pace(self, now: float) -> float:
        """Return the expected pace, which tends to its mean as the report ages."""
        weight = compute_decay(now - self._pace_at, PACE_HALF_LIFE_SECONDS)
        return self._mean_pace + weight * (self._pace - self._mean_pace)

    def record(
        self,
        rank: str,
        seconds: float,
        now: float,
        *,
        pace: float = 1.0,
        is_complete: bool = True,
    ) -> float | None:
        """Record a service time under the mean pace during it.

        Return it as a multiple of the usual one, or ``None`` if that is not known. An
        incomplete request shows only that the service takes at least ``seconds``.
        """
        self._end_cold_start(now)
        seconds /= pace
        usual = self._usual.get(rank)
        if not is_complete:
            if usual is not None and seconds > usual.seconds:
                self._add_sample(min(seconds / usual.seconds, MAX_SAMPLE_RATIO), now)
            return None
        if usual is None:
            self._usual[rank] = _Usual(max(seconds, 1e-6), 1, now)
            return None
        ratio = seconds / usual.seconds
        self._add_sample(min(ratio, MAX_SAMPLE_RATIO), now)
        is_known = usual.count >= MIN_USUAL_COUNT
        bound = MAX_USUAL_RATIO if is_known else MAX_SAMPLE_RATIO
        usual.count += 1
        elapsed = max(0.0, now - usual.updated_at)
        weight = max(1 / usual.count, 1 - math.exp(-elapsed / USUAL_SECONDS))
        # The estimates of equal upstreams would differ by chance with a larger weight.
        weight = min(weight, 1 / min(usual.count, 2 * MIN_USUAL_COUNT))
        usual.seconds *= 1 + weight * (min(ratio, bound) - 1)
        usual.updated_at = now
        return ratio

    def estimate(
        self, rank: str, now: float, running: Iterable[tuple[str, float]] = ()
    ) -> ServiceTime | None:
        """Return the service time of a rank; ``None`` if it was never measured.

        ``running`` lists the rank and start of the requests being served: those that
        take longer than expected show slowness before they end.
        """
        usual = self._usual.get(rank)
        if usual is None:
            return None
        relative = self.estimate_relative(now, running)
        lifetime = self._estimate_lifetime(relative, now)
        mean = usual.seconds * self._mean_pace
        return ServiceTime(mean * relative, mean, lifetime)

    def estimate_relative(
        self, now: float, running: Iterable[tuple[str, float]] = ()
    ) -> float:
        """Return the service time over all ranks as a multiple of the usual one."""
        pace = self.estimate_pace(now)
        weight = compute_decay(now - self._updated_at, WINDOW_HALF_LIFE_SECONDS)
        count = self._count * weight + PRIOR_COUNT
        overdue = sum(
            self._count_overdue(name, started_at, now, pace)
            for name, started_at in running
        )
        ratio = (self._time_sum * weight + PRIOR_COUNT + overdue) / count
        # Only what differs by more than chance: service times of a rank vary.
        tolerance = 1 / math.sqrt(count)
        change = max(0.0, abs(ratio - 1) - tolerance)
        ratio = max(1 + math.copysign(change, ratio - 1), 0.1)
        return ratio * pace / self._mean_pace

    def _estimate_lifetime(self, relative: float, now: float) -> float:
        """Return the time for which the current speed is expected to last."""
        if 1 / CHANGED_FACTOR < relative < CHANGED_FACTOR:
            self._changed_since = None
            return MIN_LIFETIME_SECONDS
        if self._changed_since is None:
            self._changed_since = now
        age = now - self._changed_since
        return min(max(age, MIN_LIFETIME_SECONDS), MAX_LIFETIME_SECONDS)

    def _count_overdue(
        self, rank: str, started_at: float, now: float, pace: float
    ) -> float:
        """Return by how many usual times a running request exceeds one of them."""
        usual = self._usual.get(rank)
        if usual is None:
            return 0.0
        ratio = (now - started_at) / (usual.seconds * pace)
        return min(max(0.0, ratio - 1), MAX_SAMPLE_RATIO)

    def _add_sample(self, ratio: float, now: float) -> None:
        weight = compute_decay(now - self._updated_at, WINDOW_HALF_LIFE_SECONDS)
        self._time_sum = self._time_sum * weight + ratio
        self._count = self._count * weight + 1
        self._updated_at = now

    def _end_cold_start(self, now: float) -> None:
        if self._is_cold and now >= self._cold_until:
            self._is_cold = False
            for usual in self._usual.values():
                usual.count = min(usual.count, COLD_COUNT)
