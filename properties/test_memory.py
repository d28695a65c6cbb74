"""What connections hold stays within the byte budget and is released completely."""

from __future__ import annotations

from hypothesis import given, settings, strategies as st

from flamingohead.core.memory import (
    CONNECTION_BYTES,
    ByteBudget,
    Holding,
    choose_releases,
)
from flamingohead.services.http_server import HttpServerFactory
from flamingohead.testing.http import parse_responses
from flamingohead.testing.transports import FakeTransport

LIMIT = 100_000
HEAD = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: %d\r\n\r\n"
CHUNKED_HEAD = b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
PARTS = {
    "send": lambda size: HEAD % size + b"x" * size,
    "part": lambda size: HEAD % (size + 1) + b"x" * size,
    "chunks": lambda size: CHUNKED_HEAD + b"1\r\nx\r\n" * size,
    "rest": lambda size: b"x\r\n0\r\n\r\n",
    "lines": lambda size: b"GET / HTTP/1.1\r\nhost: a\r\n" + b"a:\r\n" * (size // 100),
    "pipeline": lambda size: b"GET / HTTP/1.1\r\nhost: a\r\n\r\n" * (size // 600),
    "large lines": lambda size: (
        b"GET / HTTP/1.1\r\nhost: a\r\n" + b"a:\r\n" * (size // 20) + b"\r\n"
    )
    * 3,
    "empty lines": lambda size: b"\r\n" * (size // 10),
    "malformed": lambda size: b"\0" * size,
}
ACTIONS = st.lists(
    st.tuples(
        st.sampled_from(
            (*PARTS, "answer", "answer late", "stop reading", "read", "wait", "lose")
        ),
        st.integers(0, 3),
        st.integers(1, 20_000),
    ),
    max_size=30,
)


class Server:
    """Connect four callers to a server whose responses and clock a test controls."""

    def __init__(self) -> None:
        self.budget = ByteBudget(LIMIT)
        self.active = []
        self.started = []
        self.now = 0.0
        self.deferred = []
        self.factory = HttpServerFactory(
            self._handle, lambda refusal: None, self.budget
        )
        self.factory.clock = lambda: self.now
        self.factory.call_soon = self.deferred.append
        self.protocols = [self.factory.buildProtocol(None) for _ in range(4)]
        self.callers = [FakeTransport(protocol) for protocol in self.protocols]

    def _handle(self, request, response):
        self.active.append(response)
        self.started.append(response)

    def run(self, action, number, size):
        caller, protocol = self.callers[number], self.protocols[number]
        if action in PARTS:
            caller.deliver(PARTS[action](size))
        elif action == "answer" and self.active:
            self.active.pop(0).send(200, [], b"y" * size)
        elif action == "answer late" and self.active:
            self.active.pop(size % len(self.active)).send(200, [], b"y" * size)
        elif action == "stop reading" and not caller.is_lost:
            caller.unsent_bytes = size
            protocol.pauseProducing()
        elif action == "read" and not caller.is_lost:
            caller.unsent_bytes = 0
            protocol.resumeProducing()
        elif action == "wait":
            self.now += size / 1000
            self.factory.sweep()
        elif action == "lose":
            caller.disconnect()
        while self.deferred:
            self.deferred.pop(0)()
        for caller in self.callers:
            if caller.is_closed:
                caller.disconnect()

    def count_uncontrolled(self):
        """Return the bytes that were received or written without a reservation."""
        return sum(
            protocol._unsent_bytes
            + len(protocol._unparsed)
            + sum(response._buffered_bytes for response in protocol._active)
            for protocol in self.factory.connections
        )


class TestByteBudget:
    """Guard against bytes that are never released, or held without a limit."""

    @given(actions=ACTIONS)
    @settings(max_examples=300)
    def test_budget_is_not_exceeded_and_fully_released(self, actions):
        server = Server()
        for action, number, size in actions:
            server.run(action, number, size)
            connections = list(server.factory.connections)
            held = sum(protocol._reserved_bytes for protocol in connections)
            assert server.budget.reserved_bytes == held
            for protocol in connections:
                assert protocol._reserved_bytes == protocol._count_held()
            assert held <= LIMIT + server.count_uncontrolled()
        for caller in server.callers:
            caller.disconnect()
        assert server.budget.reserved_bytes == 0

    @given(actions=ACTIONS)
    @settings(max_examples=200)
    def test_refusal_is_the_last_response_and_its_request_did_not_start(self, actions):
        server = Server()
        for action, number, size in actions:
            server.run(action, number, size)
        for caller, protocol in zip(server.callers, server.protocols, strict=True):
            statuses = [
                response.status
                for response in parse_responses(caller.written)
                if response.is_complete
            ]
            answered = [
                response
                for response in server.started
                if response.connection is protocol and response.finished
            ]
            assert set(statuses[:-1]) <= {200}
            assert set(statuses) <= {200, 400, 413, 503}
            assert statuses.count(200) <= len(answered)


class TestReleases:
    """Guard against callers who are refused in place of those that hold most."""

    def test_stalled_connections_go_first_then_larger_ones(self):
        holdings = [
            Holding("small", 10, False),
            Holding("large", 90, False),
            Holding("stalled", 20, True),
        ]
        assert choose_releases(holdings, 20, 50) == ["stalled"]
        assert choose_releases(holdings, 30, 50) == ["stalled", "large"]
        assert choose_releases(holdings, 500, 50) == ["stalled", "large"]

    def test_budget_holds_a_body_of_the_largest_size(self):
        from flamingohead.core.memory import MIN_BUDGET_BYTES, compute_body_bytes
        from flamingohead.services.http_parser import MAX_BODY_BYTES

        needed = compute_body_bytes(MAX_BODY_BYTES) + CONNECTION_BYTES
        assert needed <= MIN_BUDGET_BYTES
