"""Slots of a host whose daemon is being stopped."""

from __future__ import annotations

import asyncio
import math
import time

from flamingohead.core.calls import Call
from flamingohead.core.errors import ErrorKind, ExecutionStatus
from flamingohead.core.members import UpstreamState, UpstreamStatus
from flamingohead.kernel import Kernel
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
    """Hold every request until it is let go."""

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
    service = SlotService(kernel, drain_timeout=DRAIN_TIMEOUT)
    state = UpstreamState("u", "s", UpstreamStatus.READY, slots)
    service.announce(state, "127.0.0.1:9")
    return kernel, service


def build_call(seconds=10.0):
    deadline = time.monotonic() + seconds
    return Call("s", "urgent", "GET", b"/", (), b"", deadline, True)


async def execute_behind_another(service, then):
    """Run a call, let a second one wait for its slot, and act; return its refusal."""
    first = asyncio.create_task(service.execute("u", build_call(), FakeResponse()))
    await asyncio.sleep(0)
    second = asyncio.create_task(service.execute("u", build_call(), FakeResponse()))
    await asyncio.sleep(0)
    then()
    refusal = await asyncio.wait_for(second, 2)
    first.cancel()
    return refusal


class TestStops:
    def test_leaving_host_is_told_and_still_serves(self):
        kernel, service = build_slots()
        service.step_back(time.monotonic() + 5)
        assert kernel.get("gossip").states[0].status is UpstreamStatus.LEAVING

        async def run():
            kernel.get("http_client").released.set()
            return await service.execute("u", build_call(), FakeResponse())

        assert asyncio.run(run()) is None

    def test_waiting_requests_of_a_host_that_leaves_go_elsewhere(self):
        kernel, service = build_slots()
        refusal = asyncio.run(execute_behind_another(service, service.leave))
        assert refusal.kind is ErrorKind.DRAINING
        assert kernel.get("http_client").sent == 1

    def test_host_that_has_left_takes_nothing(self):
        _, service = build_slots()
        service.leave()
        refusal = asyncio.run(service.execute("u", build_call(), FakeResponse()))
        assert refusal.kind is ErrorKind.DRAINING

    def test_request_that_a_stop_would_cut_is_not_admitted(self):
        kernel, service = build_slots()
        service.step_back(time.monotonic() - 0.1)
        refusal = asyncio.run(service.execute("u", build_call(), FakeResponse()))
        assert refusal.kind is ErrorKind.DRAINING
        assert kernel.get("http_client").sent == 0


class TestDrains:
    def announce(self, service, status):
        service.announce(UpstreamState("u", "s", status, 1), "127.0.0.1:9")

    def test_request_that_still_waits_when_an_upstream_has_drained_goes_elsewhere(self):
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

    def test_slot_that_frees_after_the_drain_is_given_to_nobody(self):
        kernel, service = build_slots()

        def drain_and_free():
            self.announce(service, UpstreamStatus.DRAINING)
            service.upstreams["u"].drain_deadline = time.monotonic()
            kernel.get("http_client").released.set()

        refusal = asyncio.run(execute_behind_another(service, drain_and_free))
        assert refusal.kind is ErrorKind.DRAINING
        assert kernel.get("http_client").sent == 1

    def test_request_that_a_draining_upstream_can_take_in_time_runs_there(self):
        kernel, service = build_slots()

        def drain_and_free():
            self.announce(service, UpstreamStatus.DRAINING)
            kernel.get("http_client").released.set()

        assert asyncio.run(execute_behind_another(service, drain_and_free)) is None
        assert kernel.get("http_client").sent == 2

    def test_upstream_that_starts_again_has_not_drained(self):
        _, service = build_slots()
        self.announce(service, UpstreamStatus.DRAINING)
        self.announce(service, UpstreamStatus.READY)
        assert service.upstreams["u"].drain_deadline == math.inf
