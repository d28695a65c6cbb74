"""Tests of what the owner of an upstream learns from its requests."""

from __future__ import annotations

import asyncio

from flamingohead.core.resources import Rank, Service, Snapshot
from flamingohead.core.routing import RouteTable
from flamingohead.platform.dialect import PLATFORM_DIALECT
from flamingohead.tests.test_slots import (
    FakeClient,
    FakeResponse,
    build_call,
    build_slots,
)


class TimedClient(FakeClient):
    """Respond after given times with given headers."""

    def __init__(self, seconds, headers=()):
        super().__init__()
        self.seconds = list(seconds)
        self.headers = list(headers)

    async def send(self, address, request, sink, **options):
        self.sent += 1
        await asyncio.sleep(self.seconds.pop(0))
        sink.start(200, list(self.headers), 0)
        sink.finish()


def run_calls(kernel, service, client):
    kernel._services["http_client"] = client

    async def run():
        for _ in range(len(client.seconds)):
            assert await service.execute("u", build_call(), FakeResponse()) is None

    asyncio.run(run())


def set_routes(service):
    rank = Rank("urgent", "s", 0, 50, 1.0, 0.5)
    snapshot = Snapshot.build(1, {r.key: r for r in (Service("s"), rank)})
    service.set_routes(RouteTable(snapshot))


class TestOwner:
    def test_load_report_has_the_service_times(self):
        kernel, service = build_slots()
        assert service.report_load("u", "urgent", None).times is None
        run_calls(kernel, service, TimedClient([0.02] * 10))
        times = service.report_load("u", "urgent", 20.0).times
        assert 0.015 < times.usual < 0.06
        assert 0.015 < times.current < 0.06

    def test_reported_pace_raises_the_expected_time(self):
        kernel, service = build_slots()
        service._dialect = PLATFORM_DIALECT
        run_calls(kernel, service, TimedClient([0.02] * 10))
        headers = [(b"instance-load", b"1,0,1,500")]
        run_calls(kernel, service, TimedClient([0.1], headers))
        times = service.report_load("u", "urgent", 20.0).times
        assert times.current > 2 * times.usual

    def test_gauges_of_limit_and_speed_are_set(self):
        kernel, service = build_slots(slots=6)
        set_routes(service)
        service._report_queues()
        gauges = kernel.get("metrics").gauges
        assert gauges["limit.s"] == 6
        assert gauges["speed.s"] == 1.0

    def test_learned_limit_holds_until_the_slots_change(self):
        kernel, service = build_slots(slots=6)
        upstream = service.upstreams["u"]
        upstream.limiter._learned = 3
        service.announce(upstream.state, upstream.address)
        assert upstream.admission.limit == 3
        assert service.report_load("u", "urgent", None).slots == 3

    def test_slow_request_is_logged_with_what_is_known_of_its_upstream(self, caplog):
        caplog.set_level("INFO")
        kernel, service = build_slots()
        run_calls(kernel, service, TimedClient([0.01] * 12 + [0.2]))
        records = [r for r in caplog.records if getattr(r, "event", 0) == 545]
        assert len(records) == 1
        assert records[0].fields["upstream"] == "u"
        assert records[0].fields["held_ms"] >= 200
