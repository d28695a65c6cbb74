"""Speeds of upstreams as their owners report them, known to a sender."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from flamingohead.core.decay import compute_decay

if TYPE_CHECKING:
    from flamingohead.core.capacity.service_times import ServiceTime

# Age, in seconds, at which the figure over all ranks is preferred to that of the rank.
MAX_RANK_AGE_SECONDS = 0.8
# Half-life, in seconds, of the usual speed: upstreams that get no requests are tried
# again, a few seconds apart, since one request shows what their owner knows.
USUAL_HALF_LIFE_SECONDS = 10.0
# Weight of one report in the speed over all ranks, and minimum weight in a baseline.
OVERALL_SMOOTHING = 0.5
BASELINE_SMOOTHING = 0.02
MIN_RELATIVE_TIME = 0.1
MAX_RELATIVE_TIME = 10.0
# Younger figures are used as they are.
FRESH_SECONDS = 0.05


@dataclass(slots=True)
class _Figure:
    """Hold a service time relative to the baseline, at the moment and usually.

    The difference decays with the half-life ``lifetime``: the slowness may have ended
    since, and an upstream that gets no requests can't show it.
    """

    current: float
    usual: float
    lifetime: float
    reported_at: float

    def estimate(self, now: float) -> float:
        age = now - self.reported_at
        if age < FRESH_SECONDS:
            return self.current
        usual = 1 + (self.usual - 1) * compute_decay(age, USUAL_HALF_LIFE_SECONDS)
        difference = self.current - self.usual
        return usual + difference * compute_decay(age, self.lifetime)


class Baselines:
    """Track the mean service time of each service and rank, in seconds."""

    def __init__(self) -> None:
        self._means: dict[tuple[str, str], tuple[float, int]] = {}

    def get(self, service: str, rank: str) -> float | None:
        known = self._means.get((service, rank))
        return None if known is None else known[0]

    def update(self, service: str, rank: str, seconds: float) -> float:
        """Include a service time; return the new mean."""
        mean, count = self._means.get((service, rank), (seconds, 0))
        count += 1
        mean += max(BASELINE_SMOOTHING, 1 / count) * (seconds - mean)
        self._means[service, rank] = mean, count
        return mean


class ReportedSpeed:
    """Hold what the owner of an upstream reported of its service times."""

    __slots__ = ("_by_rank", "_overall")

    def __init__(self) -> None:
        self._by_rank: dict[str, _Figure] = {}
        self._overall: _Figure | None = None

    def record(
        self, rank: str, times: ServiceTime, baseline: float, now: float
    ) -> None:
        """Record reported service times; ``baseline`` is the mean of all upstreams."""
        if baseline <= 0:
            return
        figure = _Figure(
            _bound(times.current / baseline),
            _bound(times.usual / baseline),
            times.lifetime,
            now,
        )
        self._by_rank[rank] = figure
        overall = self._overall
        if overall is None:
            self._overall = _Figure(figure.current, figure.usual, times.lifetime, now)
            return
        overall.current += OVERALL_SMOOTHING * (figure.current - overall.current)
        overall.usual += OVERALL_SMOOTHING * (figure.usual - overall.usual)
        overall.lifetime, overall.reported_at = times.lifetime, now

    def estimate(self, rank: str, now: float) -> float | None:
        """Return the service time of a rank as a multiple of the baseline.

        A change shows first in the ranks that are requested most. The figure of another
        rank is therefore preferred to a much older one.
        """
        overall = self._overall
        if overall is None:
            return None
        figure = self._by_rank.get(rank)
        if figure is None:
            return overall.estimate(now)
        if overall.reported_at - figure.reported_at > MAX_RANK_AGE_SECONDS:
            return overall.estimate(now)
        return figure.estimate(now)


def _bound(ratio: float) -> float:
    return min(max(ratio, MIN_RELATIVE_TIME), MAX_RELATIVE_TIME)
