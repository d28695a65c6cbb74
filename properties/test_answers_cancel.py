"""A caller that leaves gives up its place, its connection and its slot, once each.

Disconnects race admissions, answers, deadlines and the loss of the upstream.
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
ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
REQUEST = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n"
ACTIONS = ("call", "call", "leave", "answer", "answer", "cut", "expire", "gone", "turn")
STEPS = st.lists(
    st.tuples(st.sampled_from(ACTIONS), st.integers(0, 7)), min_size=2, max_size=20
)


class Scene:
    """Join the real slots, client and server on fake transports."""

    def __init__(self) -> None:
        self.now = 0.0
        self.upstream_ends: list[FakeTransport] = []
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
        self.is_gone = False
        state = UpstreamState("ledger", "stall-ledger", UpstreamStatus.READY, SLOTS)
        self.slots.announce(state, "127.0.0.1:1")
        self.upstream = self.slots.upstreams["ledger"]
        self.factory = HttpServerFactory(self.handle, lambda refusal: None)
        self.factory.clock = lambda: self.now

    async def connect(self, connection, host, port) -> None:
        self.upstream_ends.append(FakeTransport(connection))

    def handle(self, request, response) -> None:
        call = Call(
            "stall-ledger", "lookup", "GET", b"/", (), b"", self.now + 500, True
        )
        coroutine = self.calls._serve_local("ledger", call, response)
        self.calls._spawn(coroutine, request, response)

    def list_asked(self) -> list[FakeTransport]:
        """Return the connections on which the upstream owes an answer."""
        return [
            end
            for end in self.upstream_ends
            if not end.is_closed and end.protocol._sink is not None
        ]

    def act(self, action: str, number: int) -> None:
        asked = self.list_asked()
        open_callers = [c for c in self.callers if not c.is_lost]
        if action == "call":
            caller = FakeTransport(self.factory.buildProtocol(None))
            self.callers.append(caller)
            caller.deliver(REQUEST)
        elif action == "leave" and open_callers:
            open_callers[number % len(open_callers)].disconnect()
        elif action == "answer" and asked:
            asked[number % len(asked)].deliver(ANSWER)
        elif action == "cut" and asked:
            asked[number % len(asked)].disconnect()
        elif action == "expire":
            self.now += 600
            self.slots._tick()
        elif action == "gone" and number == 0 and not self.is_gone:
            self.is_gone = True
            self.slots.remove("ledger")

    async def turn(self) -> None:
        for _ in range(6):
            await asyncio.sleep(0)

    def check(self) -> None:
        assert 0 <= self.upstream.admission.in_use <= SLOTS
        assert len(self.list_asked()) <= SLOTS

    async def run(self, steps) -> None:
        for _ in range(SLOTS + 2):
            self.act("call", 0)
        await self.turn()
        for action, number in steps:
            if action == "turn":
                await self.turn()
            else:
                self.act(action, number)
            self.check()
        await self.finish()

    async def finish(self) -> None:
        for caller in self.callers:
            caller.disconnect()
        await self.turn()
        assert self.list_asked() == [], "the upstream was not told"
        assert self.upstream.admission.in_use == 0
        assert self.upstream.admission.count_waiting("lookup") == 0
        assert self.upstream.waiters == {}
        assert not self.slots._running
        assert not self.calls._tasks


def run_scene(scene, coroutine):
    clock = SimpleNamespace(monotonic=lambda: scene.now)
    with ExitStack() as stack:
        for module in (calls, dispatch, http_client, slots):
            stack.enter_context(mock.patch.object(module, "time", clock))
        install_reactor().run_until_complete(coroutine)


class TestCancellation:
    @given(steps=STEPS)
    @example(steps=[("leave", 0), ("cut", 0)])
    @settings(max_examples=300)
    def test_place_connection_and_slot_are_given_up_once(self, steps):
        scene = Scene()
        run_scene(scene, scene.run(steps))


class TestStopDeadline:
    def test_what_a_stop_cuts_is_answered_counted_and_named(self, caplog):
        scene = Scene()

        async def run() -> None:
            scene.act("call", 0)
            await scene.turn()
            await scene.calls._cut_calls()

        run_scene(scene, run())
        written = scene.callers[0].written
        assert written.startswith(b"HTTP/1.1 502")
        assert b"flamingohead-refusal: host_cut\r\n" in written
        assert b"flamingohead-ran: unknown\r\n" in written
        assert scene.kernel.get("metrics").counters["stop.cut_calls"] == 1
        assert "E510 request cut by the stop method=GET target=/" in caplog.text
        assert scene.upstream.admission.in_use == 0
