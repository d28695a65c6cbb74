"""Every caller gets the whole answer to its own request, or sees that it was cut.

Callers and upstreams are fake transports on both sides of the real protocols.
"""

from __future__ import annotations

import functools
from dataclasses import dataclass, field

from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from flamingohead.core.errors import ErrorKind, Refusal
from flamingohead.services.dispatch import ResponseRelay
from flamingohead.services.http_client import ConnectionPool
from flamingohead.services.http_connection import ClientConnection
from flamingohead.services.http_messages import OutgoingRequest
from flamingohead.services.http_server import HttpServerFactory
from flamingohead.testing.http import parse_responses
from flamingohead.testing.transports import FakeTransport

UPSTREAM = "127.0.0.1:1"
CALLERS = 2
SHAPES = ("length", "chunked", "informational", "unsized", "encoded", "crossed")
FRAGMENT = st.integers(1, 40)


def build_body(request_id: int) -> bytes:
    return b"<%d>" % request_id * (1 + request_id % 9)


def build_answer(request_id: int, shape: str) -> bytes:
    body = build_body(request_id)
    head = b"HTTP/1.1 200 OK\r\nrequest-id: %d\r\n" % request_id
    if shape == "unsized":
        return head + b"\r\n" + body
    if shape == "encoded":
        return head + b"transfer-encoding: chunked, gzip\r\n\r\n" + body
    if shape == "chunked":
        chunk = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
        return head + b"transfer-encoding: chunked\r\n\r\n" + chunk
    if shape == "informational":
        head = b"HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n" + head
    return head + b"content-length: %d\r\n\r\n%b" % (len(body), body)


@dataclass
class Upstream:
    """Hold the far end of one connection to the upstream."""

    transport: FakeTransport
    asked: list[int] = field(default_factory=list)
    spoiled: bool = False
    rest: bytes = b""


class WholeAnswers(RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.pool = ConnectionPool()
        self.factory = HttpServerFactory(self.handle, lambda refusal: None)
        self.deferred_calls = []
        self.factory.call_soon = self.deferred_calls.append
        self.factory.clock = lambda: 0.0
        self.callers = [self.connect_caller() for _ in range(CALLERS)]
        self.sent: dict[FakeTransport, list[int]] = {c: [] for c in self.callers}
        self.upstreams: list[Upstream] = []
        self.ends: dict[int, int] = {}
        self.last_id = 0

    def connect_caller(self) -> FakeTransport:
        return FakeTransport(self.factory.buildProtocol(None))

    # The daemon: one exchange for each request

    def handle(self, request, response) -> None:
        request_id = int(request.get_header(b"request-id"))
        connection = self.pool.acquire(UPSTREAM, 0.0)
        if connection is None:
            connection = ClientConnection(UPSTREAM)
            self.upstreams.append(Upstream(FakeTransport(connection)))
        upstream = next(u for u in self.upstreams if u.transport.protocol is connection)
        assert not upstream.spoiled, "used again after a timeout, a cut or a surplus"
        upstream.asked.append(request_id)
        relay = ResponseRelay(response)
        relay.attach(connection)
        end = functools.partial(self.end, upstream, request_id, response)
        response.on_disconnect = functools.partial(self.cancel, upstream)
        outgoing = OutgoingRequest(
            "GET", b"/", ((b"request-id", b"%d" % request_id),), b"", 1.0
        )
        connection.exchange(outgoing, relay, end)

    def end(self, upstream, request_id, response, refusal) -> None:
        self.ends[request_id] = self.ends.get(request_id, 0) + 1
        if refusal is not None:
            upstream.spoiled = True
        self.pool.release(upstream.transport.protocol, refusal, 0.0)
        if refusal is not None and response.started:
            response.abort()
        elif refusal is not None:
            response.refuse(refusal, 0.0)

    def cancel(self, upstream) -> None:
        upstream.spoiled = True
        refusal = Refusal(ErrorKind.INTERNAL, "cancelled")
        self.pool.release(upstream.transport.protocol, refusal, 0.0)

    # Events

    @rule(caller=st.integers(0, CALLERS - 1), count=st.integers(1, 3))
    def send_requests(self, caller, count):
        transport = self.callers[caller]
        if transport.is_closed:
            transport.disconnect()
            transport = self.callers[caller] = self.connect_caller()
            self.sent[transport] = []
        data = b""
        for _ in range(count):
            self.last_id += 1
            self.sent[transport].append(self.last_id)
            data += b"GET / HTTP/1.1\r\nhost: a\r\n"
            data += b"request-id: %d\r\n\r\n" % self.last_id
        transport.deliver(data)

    def choose(self, number: int) -> Upstream:
        alive = [u for u in self.upstreams if not u.transport.is_closed]
        return alive[number % len(alive)]

    def has_upstream(self) -> bool:
        return any(not u.transport.is_closed for u in self.upstreams)

    @precondition(has_upstream)
    @rule(number=st.integers(0, 9), shape=st.sampled_from(SHAPES), size=FRAGMENT)
    def answer(self, number, shape, size):
        upstream = self.choose(number)
        request_id = upstream.asked[-1]
        if shape == "crossed":
            request_id = request_id - 1 if request_id > 1 else request_id + 1
        surplus = upstream.asked[-1] in self.ends
        asked = len(upstream.asked)
        data = upstream.rest or build_answer(request_id, shape)
        upstream.rest = b""
        self.deliver(upstream, data, size)
        assert upstream.asked[asked - 1] in self.ends, "held until its deadline"
        upstream.spoiled = upstream.spoiled or surplus

    @precondition(has_upstream)
    @rule(number=st.integers(0, 9), part=st.integers(1, 200))
    def answer_in_part(self, number, part):
        upstream = self.choose(number)
        if upstream.rest:
            return
        data = build_answer(upstream.asked[-1], "length")
        part = min(part, len(data) - 1)
        upstream.rest = data[part:]
        upstream.transport.deliver(data[:part])

    @precondition(has_upstream)
    @rule(number=st.integers(0, 9), size=FRAGMENT)
    def answer_twice(self, number, size):
        upstream = self.choose(number)
        if upstream.rest:
            return
        data = build_answer(upstream.asked[-1], "length")
        upstream.transport.deliver(data + data[:size])
        upstream.spoiled = True

    @precondition(has_upstream)
    @rule(number=st.integers(0, 9))
    def answer_an_earlier_request(self, number):
        upstream = self.choose(number)
        if not upstream.rest:
            surplus = upstream.asked[-1] in self.ends
            upstream.transport.deliver(build_answer(upstream.asked[0], "length"))
            upstream.spoiled = upstream.spoiled or surplus

    def deliver(self, upstream: Upstream, data: bytes, size: int) -> None:
        for start in range(0, len(data), size):
            upstream.transport.deliver(data[start : start + size])

    @precondition(has_upstream)
    @rule(number=st.integers(0, 9))
    def cut_upstream(self, number):
        self.choose(number).transport.disconnect()

    @precondition(has_upstream)
    @rule(number=st.integers(0, 9))
    def pass_deadline(self, number):
        self.choose(number).transport.protocol.expire()

    @rule(caller=st.integers(0, CALLERS - 1))
    def disconnect_caller(self, caller):
        self.callers[caller].disconnect()

    @rule()
    def run_deferred_calls(self):
        while self.deferred_calls:
            self.deferred_calls.pop(0)()

    # Judgement

    @invariant()
    def answers_are_whole_and_own(self):
        for transport, sent in self.sent.items():
            answers = parse_responses(transport.written)
            assert len(answers) <= len(sent)
            for answer, request_id in zip(answers, sent, strict=False):
                if answer.is_complete and not answer.get_header(
                    b"flamingohead-refusal"
                ):
                    assert answer.get_header(b"request-id") == b"%d" % request_id
                    assert answer.body == build_body(request_id)

    @invariant()
    def exchanges_end_at_most_once(self):
        assert all(count == 1 for count in self.ends.values())

    @invariant()
    def a_cut_answer_closes_the_caller(self):
        for transport in self.callers:
            active = transport.protocol._active
            if active and active[0].finished:
                assert transport.is_closed


WholeAnswers.TestCase.settings = settings(
    max_examples=150, stateful_step_count=25, deadline=None
)


class TestWholeAnswers(WholeAnswers.TestCase):
    pass
