"""A request whose refusal states "not run" never gets a slot, whatever coincides."""

from __future__ import annotations

import asyncio
import time

from hypothesis import given, settings, strategies as st

from flamingohead.core.calls import Call
from flamingohead.core.errors import ExecutionStatus
from flamingohead.core.members import UpstreamState, UpstreamStatus
from flamingohead.core.stopping import StopSchedule
from flamingohead.kernel import Kernel
from flamingohead.services.metrics import MetricsService
from flamingohead.services.reactor import install_reactor
from flamingohead.services.slots import SlotService
from flamingohead.tests.test_slots import FakeGossip, FakeResponse

CALL_SECONDS = 10.0
# Actions without a "yield" between them fall into one iteration of the event loop.
ACTIONS = st.lists(
    st.tuples(
        st.sampled_from(
            "offer yield yield finish finish cancel cancel drain end_drain ready leave "
            "stop expire tick remove".split()
        ),
        st.integers(0, 20),
    ),
    max_size=20,
)


class FakeClient:
    """Hold every request until it is finished by its target."""

    def __init__(self):
        self.sent = set()
        self.running = {}

    async def send(self, address, request, sink, **options):
        self.sent.add(request.target)
        future = asyncio.get_running_loop().create_future()
        self.running[request.target] = future
        try:
            await future
        finally:
            del self.running[request.target]
        sink.start(200, [], 0)
        sink.finish()


class Races:
    """Apply actions to an upstream with two slots."""

    def __init__(self):
        install_reactor()
        kernel = Kernel()
        kernel.add("metrics", MetricsService())
        kernel.add("gossip", FakeGossip())
        self.client = FakeClient()
        kernel.add("http_client", self.client)
        self.service = SlotService(kernel)
        self.tasks = {}
        self.admissions = []
        self.announce(UpstreamStatus.READY)

    def announce(self, status):
        self.service.announce(UpstreamState("u", "s", status, 2), "127.0.0.1:9")
        self.admissions.append(self.service.upstreams["u"].admission)

    async def apply(self, action, number):
        if action == "yield":
            await asyncio.sleep(0)
        else:
            getattr(self, action)(number)

    def offer(self, number):
        target = b"/%d" % len(self.tasks)
        deadline = time.monotonic() + CALL_SECONDS + number
        call = Call("s", "urgent", "POST", target, (), b"", deadline, False)
        coroutine = self.service.execute("u", call, FakeResponse())
        self.tasks[target] = asyncio.get_running_loop().create_task(coroutine)

    def finish(self, number):
        running = list(self.client.running.values())
        if running and not running[number % len(running)].done():
            running[number % len(running)].set_result(None)

    def cancel(self, number):
        tasks = list(self.tasks.values())
        if tasks:
            tasks[number % len(tasks)].cancel()

    def drain(self, number):
        self.announce(UpstreamStatus.DRAINING)

    def end_drain(self, number):
        self.drain(number)
        upstream = self.service.upstreams["u"]
        upstream.drain_deadline = time.monotonic()

    def ready(self, number):
        self.announce(UpstreamStatus.READY)

    def leave(self, number):
        self.service.leave()

    def stop(self, number):
        now = time.monotonic()
        self.service.begin_stop(StopSchedule(now + 1, now + CALL_SECONDS + number))

    def expire(self, number):
        upstream = self.service.upstreams["u"]
        later = time.monotonic() + 2 * CALL_SECONDS + number
        self.service._apply(upstream, upstream.admission.advance(later))

    def tick(self, number):
        self.service._tick()

    def remove(self, number):
        self.service.remove("u")
        self.announce(UpstreamStatus.READY)

    async def fill(self):
        """Start two requests and queue two."""
        for _ in range(4):
            self.offer(0)
        await asyncio.sleep(0)

    async def end(self):
        """Finish the requests that run, refuse the others, and wait for all."""
        self.service.leave()
        while not all(task.done() for task in self.tasks.values()):
            for future in self.client.running.values():
                if not future.done():
                    future.set_result(None)
            await asyncio.sleep(0)


class TestRaces:
    @settings(max_examples=1000, deadline=None)
    @given(actions=ACTIONS)
    def test_refused_request_is_never_sent(self, actions):
        async def run():
            races = Races()
            await races.fill()
            for action, number in actions:
                await races.apply(action, number)
            await asyncio.wait_for(races.end(), 5)
            await races.service.stop()
            return races

        races = asyncio.run(run())
        for target, task in races.tasks.items():
            refusal = None if task.cancelled() else task.result()
            if refusal is not None and refusal.ran is ExecutionStatus.NO:
                assert target not in races.client.sent
        assert all(admission.in_use == 0 for admission in races.admissions)
