"""The Prometheus page of metrics, and the page that explains placements."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client import CollectorRegistry, Histogram, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

from flamingohead.services.endpoint import Endpoint
from flamingohead.services.placement_page import (
    JSON_CONTENT_TYPE,
    PLACEMENT_PATH,
    PlacementExplainer,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

    from flamingohead.kernel import Kernel
    from flamingohead.services.http_messages import IncomingRequest
    from flamingohead.services.http_response import ServerResponse
    from flamingohead.services.metrics import MetricsService

METRICS_PATH = b"/metrics"
CONTENT_TYPE = (b"content-type", b"text/plain; version=0.0.4; charset=utf-8")
# In seconds, from the fastest response of an upstream to the longest deadline.
BUCKETS = (0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1.0, 1.5, 2.5, 5.0, 10.0)
# Maximum number of label combinations (service, rank, outcome); further ones are
# counted with service and rank "other".
MAX_SERIES = 200


class _Collector:
    """Export the counters and gauges of the metrics service."""

    def __init__(self, metrics: MetricsService) -> None:
        self._metrics = metrics

    def collect(self) -> Iterator[CounterMetricFamily | GaugeMetricFamily]:
        gauges = GaugeMetricFamily(
            "flamingohead_state", "What is held now, by name", labels=["name"]
        )
        for name, value in self._metrics.gauges.items():
            gauges.add_metric([name], value)
        yield gauges
        counters = CounterMetricFamily(
            "flamingohead_events", "What happened, by name", labels=["name"]
        )
        for name, value in self._metrics.counters.items():
            counters.add_metric([name], value)
        yield counters


class MetricsPage(Endpoint):
    """Serve ``/metrics`` and ``/placement``."""

    def __init__(self, kernel: Kernel, address: str, **limits: int) -> None:
        super().__init__(kernel, address, **limits)
        self._explainer = PlacementExplainer(kernel)
        self._registry = CollectorRegistry()
        # Of their own, because the histograms come last: collectors may keep no more
        # than the beginning of the page.
        self._histograms = CollectorRegistry()
        self._requests = Histogram(
            "flamingohead_request_seconds",
            "Time of requests of callers until their end",
            ["service", "rank", "outcome"],
            buckets=BUCKETS,
            registry=self._histograms,
        )
        self._series: set[tuple[str, str, str]] = set()

    async def start(self) -> None:
        metrics = self._kernel.get("metrics")
        self._registry.register(_Collector(metrics))
        metrics.observe_request = self._observe_request
        await super().start()

    def _observe_request(
        self, service: str, rank: str, outcome: str, seconds: float
    ) -> None:
        series = service, rank, outcome
        if series not in self._series:
            if len(self._series) >= MAX_SERIES:
                series = "other", "other", outcome
            self._series.add(series)
        self._requests.labels(*series).observe(seconds)

    def _handle(self, request: IncomingRequest, response: ServerResponse) -> None:
        if request.target.partition(b"?")[0] == PLACEMENT_PATH:
            if request.method != "GET":
                response.send(405, [(b"allow", b"GET")], b"")
                return
            status, body = self._explainer.respond(request.target)
            response.send(status, [JSON_CONTENT_TYPE], body)
            return
        if request.target != METRICS_PATH:
            response.send(404, [], b"")
            return
        page = generate_latest(self._registry) + generate_latest(self._histograms)
        response.send(200, [CONTENT_TYPE], page)
