"""Tests of endless input that never completes a response or a request."""

from __future__ import annotations

import pytest

from flamingohead.core.errors import ErrorKind, Refusal
from flamingohead.services.buffered_response import BufferedResponse
from flamingohead.services.dispatch import ResponseRelay
from flamingohead.services.http_client import CollectedResponse
from flamingohead.services.http_connection import ClientConnection
from flamingohead.services.http_messages import REFUSAL_HEADER, OutgoingRequest
from flamingohead.services.relay import RelaySink
from flamingohead.testing.http import FakeCaller
from flamingohead.testing.transports import FakeTransport, RecordingSink

ADDRESS = "127.0.0.1:1"
CHUNKED = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
SHED = b"HTTP/1.1 503 Shed\r\nnot-executed: yes\r\ntransfer-encoding: chunked\r\n\r\n"
BLOCK = b"x" * 16384
CHUNK = b"4000\r\n" + BLOCK + b"\r\n"
# Bytes of an incomplete message that a reader may accept before it closes.
MAX_INCOMPLETE_BYTES = 4 * 2**20

# The start of a response, and the bytes that are repeated after it without end.
ENDLESS_FRAMING = {
    "head line": (b"HTTP/1.1 200 OK\r\nx: ", BLOCK),
    "head lines": (b"HTTP/1.1 200 OK\r\n", b"x: y\r\n" * 2000),
    "interim answers": (b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 500),
    "chunk extension": (CHUNKED + b"4;", BLOCK),
    "chunk extensions": (CHUNKED, b"1;" + b"x" * 200 + b"\r\ny\r\n"),
    "trailer": (CHUNKED + b"0\r\nx: ", BLOCK),
    "trailers": (CHUNKED + b"0\r\n", b"x: y\r\n" * 2000),
}
ENDLESS_BODIES = {
    "chunks": (CHUNKED, CHUNK),
    "no length": (b"HTTP/1.1 200 OK\r\n\r\n", BLOCK),
    "long": (b"HTTP/1.1 200 OK\r\ncontent-length: 9999999999\r\n\r\n", BLOCK),
}


def feed_endlessly(transport, start, repeated):
    """Deliver bytes until the reader closes; return how many it has received."""
    transport.deliver(start)
    received = len(start)
    while not transport.is_closed and received < 2 * MAX_INCOMPLETE_BYTES:
        transport.deliver(repeated)
        received += len(repeated)
    return received


def start_exchange(sink):
    connection = ClientConnection(ADDRESS)
    transport = FakeTransport(connection)
    results = []
    request = OutgoingRequest("GET", b"/", (), b"", 1.0, allows_close_delimited=True)
    connection.exchange(request, sink, results.append)
    return transport, results


class _Response:
    """Accept a response of any size, like a caller that keeps reading."""

    started = False
    is_disconnected = False

    def start(self, status, headers, *, length):
        self.started = True

    def write(self, data):
        pass


class TestAnswers:
    @pytest.mark.parametrize("name", ENDLESS_FRAMING)
    def test_connection_is_closed_early(self, name):
        transport, results = start_exchange(RecordingSink())
        assert feed_endlessly(transport, *ENDLESS_FRAMING[name]) < 2**18
        assert [result.kind for result in results] == [ErrorKind.UPSTREAM_MALFORMED]

    def test_body_of_single_bytes_is_read(self):
        transport, results = start_exchange(RecordingSink())
        transport.deliver(CHUNKED)
        for _ in range(2000):
            transport.deliver(b"1\r\nx\r\n" * 100)
        transport.deliver(b"0\r\n\r\n")
        assert results == [None]


class TestCollectedResponses:
    @pytest.mark.parametrize("name", ENDLESS_BODIES)
    def test_collection_stops_at_the_limit(self, name):
        sink = CollectedResponse(2**20)
        transport, results = start_exchange(sink)
        assert feed_endlessly(transport, *ENDLESS_BODIES[name]) < 2 * 2**20
        assert [result.kind for result in results] == [ErrorKind.UPSTREAM_MALFORMED]
        assert len(sink.body) <= 2**20

    def test_response_of_the_size_limit_is_complete(self):
        sink = CollectedResponse(len(BLOCK))
        transport, results = start_exchange(sink)
        transport.deliver(CHUNKED + CHUNK + b"0\r\n\r\n")
        assert results == [None]
        assert sink.body == BLOCK


class TestRefusalsByTheUpstream:
    def test_body_of_a_not_executed_response_is_bounded(self):
        class Dialect:
            def states_not_executed(self, status, headers):
                return status == 503

        relay = ResponseRelay(BufferedResponse(_Response()), Dialect())
        transport, results = start_exchange(relay)
        assert feed_endlessly(transport, SHED, CHUNK) < 2**18
        assert [result.kind for result in results] == [ErrorKind.UPSTREAM_MALFORMED]

    def test_body_of_a_daemons_refusal_is_bounded(self):
        sink = RelaySink(BufferedResponse(_Response()))
        transport, results = start_exchange(sink)
        kind = ErrorKind.QUEUE_FULL.value.encode()
        start = CHUNKED.replace(b"\r\n\r\n", b"\r\n%b: %b\r\n\r\n")
        feed_endlessly(transport, start % (REFUSAL_HEADER, kind), CHUNK)
        assert [result.kind for result in results] == [ErrorKind.UPSTREAM_MALFORMED]
        assert isinstance(sink.refusal, Refusal)


class TestRequests:
    @pytest.mark.parametrize(
        "body",
        [
            (b"4;", BLOCK),
            (b"", b"1;" + b"x" * 200 + b"\r\ny\r\n"),
            (b"0\r\nx: ", BLOCK),
            (b"0\r\n", b"x: y\r\n" * 2000),
        ],
        ids=["chunk extension", "chunk extensions", "trailer", "trailers"],
    )
    def test_endless_framing_of_a_request_is_refused_early(self, body):
        caller = FakeCaller()
        start = b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
        caller.deliver(start + body[0])
        received = 0
        while not caller.refusals and received < MAX_INCOMPLETE_BYTES:
            caller.deliver(body[1])
            received += len(body[1])
        assert [r.kind for r in caller.refusals] == [ErrorKind.REQUEST_TOO_LARGE]
        assert received < 2**18
        assert not caller.requests

    def test_body_of_single_bytes_is_read(self):
        caller = FakeCaller()
        caller.deliver(b"POST / HTTP/1.1\r\nhost: a\r\n")
        caller.deliver(b"transfer-encoding: chunked\r\n\r\n")
        for _ in range(200):
            caller.deliver(b"1\r\nx\r\n" * 100)
        caller.deliver(b"0\r\n\r\n")
        assert caller.requests[0].body == b"x" * 20_000
