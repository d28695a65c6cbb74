"""Slots of a host whose daemon is being stopped."""

from __future__ import annotations

import asyncio
import time

from flamingohead.core.calls import Call
from flamingohead.core.errors import ErrorKind
from flamingohead.core.members import UpstreamState, UpstreamStatus
from flamingohead.kernel import Kernel
from flamingohead.services.metrics import MetricsService
from flamingohead.services.reactor import install_reactor
from flamingohead.services.slots import SlotService


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
    lacks_nested = False

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
    service = SlotService(kernel)
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
