"""Bytes that never become an answer or a request, until the reader closes."""

from __future__ import annotations

import pytest

from flamingohead.core.errors import ErrorKind, Refusal
from flamingohead.services.dispatch import ResponseRelay
from flamingohead.services.held_response import BufferedResponse
from flamingohead.services.http_client import CollectedResponse
from flamingohead.services.http_connection import ClientConnection
from flamingohead.services.http_messages import REFUSAL_HEADER, OutgoingRequest
from flamingohead.services.relay import RelaySink
from flamingohead.testing.http import FakeCaller
from flamingohead.testing.transports import FakeTransport, RecordingSink

ADDRESS = "127.0.0.1:1"
CHUNKED = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
SHED = b"HTTP/1.1 503 Shed\r\nnot-executed: yes\r\ntransfer-encoding: chunked\r\n\r\n"
PIECE = b"x" * 16384
CHUNK = b"4000\r\n" + PIECE + b"\r\n"
# What a reader may take in of bytes that are of no use before it closes.
MOST_BYTES = 4 * 2**20

# How an answer begins, and what follows for ever.
USELESS_ENDINGS = {
    "head line": (b"HTTP/1.1 200 OK\r\nx: ", PIECE),
    "head lines": (b"HTTP/1.1 200 OK\r\n", b"x: y\r\n" * 2000),
    "interim answers": (b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 500),
    "chunk extension": (CHUNKED + b"4;", PIECE),
    "chunk extensions": (CHUNKED, b"1;" + b"x" * 200 + b"\r\ny\r\n"),
    "trailer": (CHUNKED + b"0\r\nx: ", PIECE),
    "trailers": (CHUNKED + b"0\r\n", b"x: y\r\n" * 2000),
}
BODIES = {
    "chunks": (CHUNKED, CHUNK),
    "no length": (b"HTTP/1.1 200 OK\r\n\r\n", PIECE),
    "long": (b"HTTP/1.1 200 OK\r\ncontent-length: 9999999999\r\n\r\n", PIECE),
}


def feed_endlessly(transport, begin, rest):
    """Deliver until the reader closes; return how many bytes it has taken."""
    transport.deliver(begin)
    taken = len(begin)
    while not transport.is_closed and taken < 2 * MOST_BYTES:
        transport.deliver(rest)
        taken += len(rest)
    return taken


def start_exchange(sink):
    connection = ClientConnection(ADDRESS)
    transport = FakeTransport(connection)
    ends = []
    request = OutgoingRequest("GET", b"/", (), b"", 1.0, allows_close_delimited=True)
    connection.exchange(request, sink, ends.append)
    return transport, ends


class _Response:
    """Take a response of any size, as a caller that reads on does."""

    started = False
    is_disconnected = False

    def start(self, status, headers, *, length):
        self.started = True

    def write(self, data):
        pass


class TestAnswers:
    @pytest.mark.parametrize("name", USELESS_ENDINGS)
    def test_connection_is_dropped_soon(self, name):
        transport, ends = start_exchange(RecordingSink())
        assert feed_endlessly(transport, *USELESS_ENDINGS[name]) < 2**18
        assert [end.kind for end in ends] == [ErrorKind.UPSTREAM_MALFORMED]

    def test_body_of_single_bytes_is_read(self):
        transport, ends = start_exchange(RecordingSink())
        transport.deliver(CHUNKED)
        for _ in range(2000):
            transport.deliver(b"1\r\nx\r\n" * 100)
        transport.deliver(b"0\r\n\r\n")
        assert ends == [None]


class TestCollectedAnswers:
    @pytest.mark.parametrize("name", BODIES)
    def test_collecting_ends_at_the_bound(self, name):
        sink = CollectedResponse(2**20)
        transport, ends = start_exchange(sink)
        assert feed_endlessly(transport, *BODIES[name]) < 2 * 2**20
        assert [end.kind for end in ends] == [ErrorKind.UPSTREAM_MALFORMED]
        assert len(sink.body) <= 2**20

    def test_answer_of_the_bound_is_whole(self):
        sink = CollectedResponse(len(PIECE))
        transport, ends = start_exchange(sink)
        transport.deliver(CHUNKED + CHUNK + b"0\r\n\r\n")
        assert ends == [None]
        assert sink.body == PIECE


class TestRefusalsByTheUpstream:
    def test_body_of_what_was_not_executed_is_bounded(self):
        class Dialect:
            def states_not_executed(self, status, headers):
                return status == 503

        relay = ResponseRelay(BufferedResponse(_Response()), Dialect())
        transport, ends = start_exchange(relay)
        assert feed_endlessly(transport, SHED, CHUNK) < 2**18
        assert [end.kind for end in ends] == [ErrorKind.UPSTREAM_MALFORMED]

    def test_body_of_a_daemons_refusal_is_bounded(self):
        sink = RelaySink(BufferedResponse(_Response()))
        transport, ends = start_exchange(sink)
        kind = ErrorKind.QUEUE_FULL.value.encode()
        begin = CHUNKED.replace(b"\r\n\r\n", b"\r\n%b: %b\r\n\r\n")
        feed_endlessly(transport, begin % (REFUSAL_HEADER, kind), CHUNK)
        assert [end.kind for end in ends] == [ErrorKind.UPSTREAM_MALFORMED]
        assert isinstance(sink.refusal, Refusal)


class TestRequests:
    @pytest.mark.parametrize(
        "rest",
        [
            (b"4;", PIECE),
            (b"", b"1;" + b"x" * 200 + b"\r\ny\r\n"),
            (b"0\r\nx: ", PIECE),
            (b"0\r\n", b"x: y\r\n" * 2000),
        ],
        ids=["chunk extension", "chunk extensions", "trailer", "trailers"],
    )
    def test_useless_bytes_of_a_caller_are_refused_soon(self, rest):
        caller = FakeCaller()
        begin = b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
        caller.deliver(begin + rest[0])
        taken = 0
        while not caller.refusals and taken < MOST_BYTES:
            caller.deliver(rest[1])
            taken += len(rest[1])
        assert [r.kind for r in caller.refusals] == [ErrorKind.REQUEST_TOO_LARGE]
        assert taken < 2**18
        assert not caller.requests

    def test_body_of_single_bytes_is_read(self):
        caller = FakeCaller()
        caller.deliver(b"POST / HTTP/1.1\r\nhost: a\r\n")
        caller.deliver(b"transfer-encoding: chunked\r\n\r\n")
        for _ in range(200):
            caller.deliver(b"1\r\nx\r\n" * 100)
        caller.deliver(b"0\r\n\r\n")
        assert caller.requests[0].body == b"x" * 20_000
