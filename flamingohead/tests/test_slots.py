"""Tests of a host's slots while its daemon stops or an upstream drains."""

from __future__ import annotations

import asyncio
import math
import time
from dataclasses import replace

import pytest

from flamingohead.core.calls import Call
from flamingohead.core.errors import ErrorKind, ExecutionStatus
from flamingohead.core.members import UpstreamState, UpstreamStatus
from flamingohead.core.resources import Rank
from flamingohead.core.stopping import StopSchedule
from flamingohead.kernel import Kernel
from flamingohead.platform.dialect import PLATFORM_DIALECT
from flamingohead.services.dialects import PRODUCT_DIALECT
from flamingohead.services.metrics import MetricsService
from flamingohead.services.reactor import install_reactor
from flamingohead.services.slots import SlotService

DRAIN_TIMEOUT = 0.2


class FakeGossip:
    def __init__(self):
        self.states = []

    def set_upstreams(self, states):
        self.states = states


class FakeClient:
    """Block every request until the event `released` is set."""

    def __init__(self):
        self.sent = 0
        self.released = asyncio.Event()

    async def send(self, address, request, sink, **options):
        self.sent += 1
        await self.released.wait()
        sink.start(200, [], 0)
        sink.finish()


class FakeResponse:
    started = False
    admitted_at = None
    has_refused_nested_call = False

    def start(self, status, headers, *, length):
        self.started = True

    def finish(self):
        pass


def build_slots(slots=1):
    install_reactor()
    kernel = Kernel()
    kernel.add("metrics", MetricsService())
    kernel.add("gossip", FakeGossip())
    kernel.add("http_client", FakeClient())
    service = SlotService(kernel, drain_timeout=DRAIN_TIMEOUT, adapts_limits=True)
    state = UpstreamState("u", "s", UpstreamStatus.READY, slots)
    service.announce(state, "127.0.0.1:9")
    return kernel, service


def build_schedule(settles_in, ends_in):
    now = time.monotonic()
    return StopSchedule(now + settles_in, now + ends_in)


def build_call(seconds=10.0):
    deadline = time.monotonic() + seconds
    return Call("s", "urgent", "GET", b"/", (), b"", deadline, True)


async def execute_behind_another(service, action):
    """Run a call, queue a second one, act, and return the refusal of the second."""
    first = asyncio.create_task(service.execute("u", build_call(), FakeResponse()))
    await asyncio.sleep(0)
    second = asyncio.create_task(service.execute("u", build_call(), FakeResponse()))
    await asyncio.sleep(0)
    action()
    refusal = await asyncio.wait_for(second, 2)
    first.cancel()
    return refusal


class TestStops:
    def test_leaving_host_is_announced_and_still_serves(self):
        kernel, service = build_slots()
        service.step_back()
        assert kernel.get("gossip").states[0].status is UpstreamStatus.LEAVING

        async def run():
            kernel.get("http_client").released.set()
            return await service.execute("u", build_call(), FakeResponse())

        assert asyncio.run(run()) is None

    def test_queued_requests_of_a_leaving_host_are_refused(self):
        kernel, service = build_slots()
        refusal = asyncio.run(execute_behind_another(service, service.leave))
        assert refusal.kind is ErrorKind.DRAINING
        assert kernel.get("http_client").sent == 1

    def test_host_that_has_left_refuses_requests(self):
        _, service = build_slots()
        service.leave()
        refusal = asyncio.run(service.execute("u", build_call(), FakeResponse()))
        assert refusal.kind is ErrorKind.DRAINING

    @pytest.mark.parametrize(
        ("settles_in", "ends_in", "relayed"),
        [(-0.1, -0.1, False), (-0.1, 5.0, False), (5.0, 5.0, True)],
    )
    def test_request_that_a_stop_would_cut_is_not_admitted(
        self, settles_in, ends_in, relayed
    ):
        kernel, service = build_slots()
        service.begin_stop(build_schedule(settles_in, ends_in))
        call = replace(build_call(seconds=10.0), relayed=relayed)
        refusal = asyncio.run(service.execute("u", call, FakeResponse()))
        assert refusal.kind is ErrorKind.DRAINING
        assert refusal.ran is ExecutionStatus.NO
        assert kernel.get("http_client").sent == 0

    @pytest.mark.parametrize(
        ("settles_in", "seconds", "relayed"),
        [(5.0, 10.0, False), (-0.1, 4.0, False), (-0.1, 4.0, True)],
    )
    def test_request_that_a_stop_will_not_cut_is_admitted(
        self, settles_in, seconds, relayed
    ):
        kernel, service = build_slots()
        service.begin_stop(build_schedule(settles_in, 5.0))
        kernel.get("http_client").released.set()
        call = replace(build_call(seconds), relayed=relayed)
        assert asyncio.run(service.execute("u", call, FakeResponse())) is None

    def test_queued_request_that_a_stop_would_cut_is_refused(self):
        kernel, service = build_slots()
        refusal = asyncio.run(
            execute_behind_another(
                service, lambda: service.begin_stop(build_schedule(2.0, 5.0))
            )
        )
        assert refusal.kind is ErrorKind.DRAINING
        assert kernel.get("http_client").sent == 1

    def test_refusal_says_when_the_stop_has_ended(self):
        _, service = build_slots()
        service.begin_stop(build_schedule(-0.1, 5.0))
        refusal = asyncio.run(service.execute("u", build_call(), FakeResponse()))
        assert 4_000 < refusal.compute_retry_after_ms(time.monotonic()) <= 5_000


class TestDrains:
    def announce(self, service, status):
        service.announce(UpstreamState("u", "s", status, 1), "127.0.0.1:9")

    def test_request_still_queued_after_a_drain_is_refused(self):
        kernel, service = build_slots()
        began_at = time.monotonic()
        refusal = asyncio.run(
            execute_behind_another(
                service, lambda: self.announce(service, UpstreamStatus.DRAINING)
            )
        )
        assert refusal.kind is ErrorKind.DRAINING
        assert refusal.ran is ExecutionStatus.NO
        assert kernel.get("http_client").sent == 1
        assert time.monotonic() - began_at < DRAIN_TIMEOUT + 1.0

    def test_slot_freed_after_the_drain_is_not_assigned(self):
        kernel, service = build_slots()

        def drain_and_free():
            self.announce(service, UpstreamStatus.DRAINING)
            service.upstreams["u"].drain_deadline = time.monotonic()
            kernel.get("http_client").released.set()

        refusal = asyncio.run(execute_behind_another(service, drain_and_free))
        assert refusal.kind is ErrorKind.DRAINING
        assert kernel.get("http_client").sent == 1

    def test_request_with_a_slot_freed_during_the_drain_runs(self):
        kernel, service = build_slots()

        def drain_and_free():
            self.announce(service, UpstreamStatus.DRAINING)
            kernel.get("http_client").released.set()

        assert asyncio.run(execute_behind_another(service, drain_and_free)) is None
        assert kernel.get("http_client").sent == 2

    def test_upstream_that_is_ready_again_has_not_drained(self):
        _, service = build_slots()
        self.announce(service, UpstreamStatus.DRAINING)
        self.announce(service, UpstreamStatus.READY)
        assert service.upstreams["u"].drain_deadline == math.inf


class TestEvictions:
    """Replay a newcomer of a small organisation at a queue that a large one filled."""

    def test_evicted_request_is_refused_as_not_run_and_logged(
        self, monkeypatch, caplog
    ):
        monkeypatch.setattr("flamingohead.core.admission.QUEUE_LIMIT", 2)
        caplog.set_level("INFO")
        kernel, service = build_slots()
        rank = Rank("urgent", "s", 1, 10_000, 1.0, 0.0)
        service.upstreams["u"].admission.set_ranks((rank,))

        async def run():
            tasks = []
            for organisation in ("large", "large", "large", "small"):
                call = replace(build_call(), organisation=organisation)
                execution = service.execute("u", call, FakeResponse())
                tasks.append(asyncio.create_task(execution))
                await asyncio.sleep(0)
            refusal = await asyncio.wait_for(tasks[2], 1)
            kernel.get("http_client").released.set()
            results = await asyncio.gather(tasks[0], tasks[1], tasks[3])
            await service.stop()
            return refusal, results

        refusal, results = asyncio.run(run())
        assert refusal.kind is ErrorKind.QUEUE_FULL
        assert refusal.ran is ExecutionStatus.NO
        assert refusal.compute_retry_after_ms(time.monotonic()) > 0
        assert results == [None, None, None]
        records = [r for r in caplog.records if getattr(r, "event", 0) == 590]
        assert [record.fields["caller"] for record in records] == ["large"]
        assert kernel.get("metrics").counters["waiting_refused.queue_full"] == 1


class TestNamedCallers:
    """Replay a flood of public requests that each name another caller."""

    def get_caller(self, dialect, **fields):
        kernel, _ = build_slots()
        service = SlotService(kernel, dialect)
        service.announce(
            UpstreamState("u", "s", UpstreamStatus.READY, 1), "127.0.0.1:9"
        )
        call = replace(build_call(), relayed=True, **fields)
        return service._build_ticket(service.upstreams["u"], call).caller

    def test_names_take_no_turns_of_organisations(self):
        assert self.get_caller(PLATFORM_DIALECT, caller="random-1") == ""
        fields = {"caller": "random-1", "organisation": "large"}
        assert self.get_caller(PLATFORM_DIALECT, **fields) == "large"

    def test_callers_of_the_product_name_themselves(self):
        assert self.get_caller(PRODUCT_DIALECT, caller="booking") == "booking"
