"""A caller that disconnects releases its queue place, connection and slot once each.

Disconnects race with admissions, responses, deadlines and the removal of the upstream.
"""

from __future__ import annotations

import asyncio
from contextlib import ExitStack
from types import SimpleNamespace
from unittest import mock

from hypothesis import example, given, settings, strategies as st

from flamingohead.core.calls import Call
from flamingohead.core.members import UpstreamState, UpstreamStatus
from flamingohead.core.resources import Rank
from flamingohead.kernel import Kernel
from flamingohead.services import calls, dispatch, http_client, slots
from flamingohead.services.calls import CallService
from flamingohead.services.http_client import HttpClientService
from flamingohead.services.http_server import HttpServerFactory
from flamingohead.services.metrics import MetricsService
from flamingohead.services.reactor import install_reactor
from flamingohead.services.slots import SlotService
from flamingohead.testing.transports import FakeTransport

SLOTS = 2
RANKS = (Rank("lookup", "stall-ledger", 0, 60, 10, 0.5),)
RESPONSE = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
REQUEST = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n"
ACTIONS = ("call", "call", "leave", "answer", "answer", "cut", "expire", "gone", "turn")
STEPS = st.lists(
    st.tuples(st.sampled_from(ACTIONS), st.integers(0, 7)), min_size=2, max_size=20
)


class DispatchHarness:
    """Run the real slots, HTTP client and HTTP server on fake transports."""

    def __init__(self) -> None:
        self.now = 0.0
        self.upstream_transports: list[FakeTransport] = []
        self.callers: list[FakeTransport] = []
        self.tasks: list[asyncio.Task] = []
        self.kernel = kernel = Kernel()
        kernel.add("metrics", MetricsService())
        kernel.add("gossip", SimpleNamespace(set_upstreams=lambda states: None))
        kernel.add("http_client", HttpClientService(self.connect))
        self.slots = SlotService(kernel)
        kernel.add("slots", self.slots)
        self.calls = CallService(
            kernel, ingress_address="", relay_address="", stop_timeout=1.0
        )
        self.slots.set_routes(SimpleNamespace(list_ranks=lambda service: RANKS))
        self.is_removed = False
        state = UpstreamState("ledger", "stall-ledger", UpstreamStatus.READY, SLOTS)
        self.slots.announce(state, "127.0.0.1:1")
        self.upstream = self.slots.upstreams["ledger"]
        self.factory = HttpServerFactory(self.handle, lambda refusal: None)
        self.factory.clock = lambda: self.now

    async def connect(self, connection, host, port) -> None:
        self.upstream_transports.append(FakeTransport(connection))

    def handle(self, request, response) -> None:
        call = Call(
            "stall-ledger", "lookup", "GET", b"/", (), b"", self.now + 500, True
        )
        coroutine = self.calls._serve_local("ledger", call, response)
        self.calls._spawn(coroutine, request, response)

    def list_pending(self) -> list[FakeTransport]:
        """Return the upstream connections on which a response is pending."""
        return [
            transport
            for transport in self.upstream_transports
            if not transport.is_closed and transport.protocol._sink is not None
        ]

    def act(self, action: str, number: int) -> None:
        pending = self.list_pending()
        open_callers = [c for c in self.callers if not c.is_lost]
        if action == "call":
            caller = FakeTransport(self.factory.buildProtocol(None))
            self.callers.append(caller)
            caller.deliver(REQUEST)
        elif action == "leave" and open_callers:
            open_callers[number % len(open_callers)].disconnect()
        elif action == "answer" and pending:
            pending[number % len(pending)].deliver(RESPONSE)
        elif action == "cut" and pending:
            pending[number % len(pending)].disconnect()
        elif action == "expire":
            self.now += 600
            self.slots._tick()
        elif action == "gone" and number == 0 and not self.is_removed:
            self.is_removed = True
            self.slots.remove("ledger")

    async def run_event_loop(self) -> None:
        for _ in range(6):
            await asyncio.sleep(0)

    def check(self) -> None:
        assert 0 <= self.upstream.admission.in_use <= SLOTS
        assert len(self.list_pending()) <= SLOTS

    async def run(self, steps) -> None:
        for _ in range(SLOTS + 2):
            self.act("call", 0)
        await self.run_event_loop()
        for action, number in steps:
            if action == "turn":
                await self.run_event_loop()
            else:
                self.act(action, number)
            self.check()
        await self.finish()

    async def finish(self) -> None:
        for caller in self.callers:
            caller.disconnect()
        await self.run_event_loop()
        assert self.list_pending() == [], "upstream connection kept after a disconnect"
        assert self.upstream.admission.in_use == 0
        assert self.upstream.admission.count_waiting("lookup") == 0
        assert self.upstream.waiters == {}
        assert not self.slots._running
        assert not self.calls._tasks


def run_with_clock(harness, coroutine):
    clock = SimpleNamespace(monotonic=lambda: harness.now)
    with ExitStack() as stack:
        for module in (calls, dispatch, http_client, slots):
            stack.enter_context(mock.patch.object(module, "time", clock))
        install_reactor().run_until_complete(coroutine)


class TestCancellation:
    @given(steps=STEPS)
    @example(steps=[("leave", 0), ("cut", 0)])
    @settings(max_examples=300)
    def test_queue_place_connection_and_slot_are_released_once(self, steps):
        harness = DispatchHarness()
        run_with_clock(harness, harness.run(steps))


class TestStopDeadline:
    def test_requests_cut_by_a_stop_are_answered_counted_and_logged(self, caplog):
        harness = DispatchHarness()

        async def run() -> None:
            harness.act("call", 0)
            await harness.run_event_loop()
            await harness.calls._cut_calls()

        run_with_clock(harness, run())
        written = harness.callers[0].written
        assert written.startswith(b"HTTP/1.1 502")
        assert b"flamingohead-refusal: host_cut\r\n" in written
        assert b"flamingohead-ran: unknown\r\n" in written
        assert harness.kernel.get("metrics").counters["stop.cut_calls"] == 1
        assert "E510 request cut by the stop method=GET target=/" in caplog.text
        assert harness.upstream.admission.in_use == 0
