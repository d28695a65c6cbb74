"""Counters, gauges and timings, kept in memory and optionally sent to statsd."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from flamingohead.addresses import split_address

if TYPE_CHECKING:
    from collections.abc import Callable

    from statsd import StatsClient

    from flamingohead.core.errors import Refusal

PREFIX = "flamingohead"


def _ignore_observation(service: str, rank: str, outcome: str, seconds: float) -> None:
    """Ignore an observation while no service keeps histograms."""


class MetricsService:
    """Record counters and gauges; send them to a statsd server if one is set.

    ``observe_request`` is called with the service, rank, outcome and duration in
    seconds of each caller's request. It is set by the service that keeps histograms.
    """

    def __init__(self, statsd_address: str = "") -> None:
        self.counters: Counter[str] = Counter()
        self.gauges: dict[str, float] = {}
        self._address = statsd_address
        self._client: StatsClient | None = None
        self.observe_request: Callable[[str, str, str, float], None] = (
            _ignore_observation
        )

    async def start(self) -> None:
        if self._address:
            from statsd import StatsClient

            host, port = split_address(self._address)
            self._client = StatsClient(host, port, prefix=PREFIX)

    async def stop(self) -> None:
        if self._client is not None:
            self._client.close()

    def count(self, name: str, amount: int = 1) -> None:
        """Increment a counter by ``amount``."""
        self.counters[name] += amount
        if self._client is not None:
            self._client.incr(name, amount)

    def count_refusal(self, refusal: Refusal) -> None:
        """Count a refusal under its kind."""
        self.count(f"refusal.{refusal.kind.value}")

    def count_retry(self, refusal: Refusal) -> None:
        """Count a retry under the kind of the refusal that caused it."""
        self.count(f"retry.{refusal.kind.value}")

    def set_gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self.gauges[name] = value
        if self._client is not None:
            self._client.gauge(name, value)

    def record_time(self, name: str, seconds: float) -> None:
        """Send a timing, given in seconds."""
        if self._client is not None:
            self._client.timing(name, seconds * 1000)
