"""Test that only valid heads of responses pass a connection to a peer."""

from __future__ import annotations

import pytest

from flamingohead.core.errors import ErrorKind
from flamingohead.services.buffered_response import BufferedResponse
from flamingohead.services.http_connection import ClientConnection
from flamingohead.services.http_messages import (
    EXCHANGE_HEADER,
    OutgoingRequest,
    find_response_fault,
)
from flamingohead.services.relay import RelaySink
from flamingohead.testing.http import FakeCaller, parse_responses
from flamingohead.testing.transports import FakeTransport, RecordingSink

VALID = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nvalid"


def build_response(line, extra=b""):
    return b"%b\r\n%bcontent-length: 7\r\n\r\ninvalid" % (line, extra)


INVALID = {
    "000": build_response(b"HTTP/1.1 000 None"),
    "000 without a reason": build_response(b"HTTP/1.1 000"),
    "099": build_response(b"HTTP/1.1 099 Low"),
    "600": build_response(b"HTTP/1.1 600 High"),
    "999": build_response(b"HTTP/1.1 999 High"),
    "1000": build_response(b"HTTP/1.1 1000 Long"),
    "20": build_response(b"HTTP/1.1 20 Short"),
    "-20": build_response(b"HTTP/1.1 -20 Sign"),
    "2x0": build_response(b"HTTP/1.1 2x0 Letter"),
    "101": build_response(b"HTTP/1.1 101 Switching Protocols"),
    "101 with Upgrade": build_response(
        b"HTTP/1.1 101 Switching Protocols", b"upgrade: h2c\r\nconnection: upgrade\r\n"
    ),
    "101 without a body": b"HTTP/1.1 101 Switching Protocols\r\n\r\n" + VALID,
    "HTTP/9.9": build_response(b"HTTP/9.9 200 OK"),
    "HTTP/2.0": build_response(b"HTTP/2.0 200 OK"),
    "HTTP/0.9": build_response(b"HTTP/0.9 200 OK"),
    "103 with a body": build_response(b"HTTP/1.1 103 Early Hints") + VALID,
    "000 in chunks": (
        b"HTTP/1.1 000 None\r\ntransfer-encoding: chunked\r\n\r\n"
        b"7\r\ninvalid\r\n0\r\n\r\n"
    ),
    "000 before a valid response": b"HTTP/1.1 000 None\r\n\r\n" + VALID,
}
INTERIM = {
    "100": b"HTTP/1.1 100 Continue\r\n\r\n" + VALID,
    "103": b"HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n" + VALID,
    "199": b"HTTP/1.1 199 Unknown\r\n\r\n" + VALID,
    "two": 2 * b"HTTP/1.1 102 Processing\r\n\r\n" + VALID,
    "HTTP/1.0": VALID.replace(b"HTTP/1.1", b"HTTP/1.0"),
}


def exchange(data, size, sink, *, method="GET", headers=()):
    """Deliver data as the response to a request; return connection and outcome."""
    connection, ends = ClientConnection("127.0.0.1:1"), []
    transport = FakeTransport(connection)
    request = OutgoingRequest(method, b"/", headers, b"", 1.0)
    connection.exchange(request, sink, ends.append)
    for start in range(0, len(data), size):
        transport.deliver(data[start : start + size])
    return connection, ends


class TestUpstreams:
    """Guard against body bytes that arrive before the head of a response."""

    @pytest.mark.parametrize("size", [1, 9, 4096])
    @pytest.mark.parametrize("method", ["GET", "HEAD", "POST"])
    @pytest.mark.parametrize("shape", INVALID)
    def test_invalid_head_is_refused_and_ends_the_connection(self, shape, method, size):
        sink = RecordingSink()
        connection, ends = exchange(INVALID[shape], size, sink, method=method)
        (refusal,) = ends
        assert refusal.kind is ErrorKind.UPSTREAM_MALFORMED
        assert refusal.caller_status == 502
        assert (sink.status, sink.body, sink.is_complete) == (0, b"", False)
        assert not connection.is_open

    @pytest.mark.parametrize("size", [1, 9, 4096])
    @pytest.mark.parametrize("shape", INTERIM)
    def test_informational_responses_are_skipped(self, shape, size):
        sink = RecordingSink()
        _, ends = exchange(INTERIM[shape], size, sink)
        assert ends == [None]
        assert (sink.status, sink.body) == (200, b"valid")


class TestOtherDaemons:
    """Replay a daemon of an earlier build that passes on what its upstream sent."""

    @pytest.mark.parametrize("shape", INVALID)
    def test_relayed_invalid_head_is_not_passed_on(self, shape):
        caller = FakeCaller(responds_at_once=False)
        caller.deliver(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
        (response,) = caller.responses
        buffered = BufferedResponse(response)
        data = INVALID[shape].replace(b"\r\n", b"\r\n%b: x\r\n" % EXCHANGE_HEADER, 1)
        headers = ((EXCHANGE_HEADER, b"x"),)
        connection, ends = exchange(data, 4096, RelaySink(buffered), headers=headers)
        assert ends[0].kind is ErrorKind.UPSTREAM_MALFORMED
        assert not connection.is_open
        assert not response.started
        assert caller.transport.written == b""


class TestCallers:
    """Guard against bytes outside of a response, whatever passes them on."""

    def start_response(self):
        caller = FakeCaller(responds_at_once=False)
        caller.deliver(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
        return caller, caller.responses[0]

    def test_body_without_a_head_is_not_sent(self):
        caller, response = self.start_response()
        with pytest.raises(ValueError, match="before the head"):
            response.write(b"invalid")
        response.send(502, [], b"")
        (received,) = parse_responses(caller.transport.written)
        assert received.status == 502

    @pytest.mark.parametrize("status", [0, 20, 99, 100, 199, 600, 1000])
    def test_status_that_answers_no_request_is_not_sent(self, status):
        caller, response = self.start_response()
        with pytest.raises(ValueError, match="status"):
            response.start(status, [], length=0)
        assert not response.started
        assert caller.transport.written == b""


class TestCheck:
    def test_all_final_statuses_are_valid(self):
        valid = [s for s in range(1200) if find_response_fault("1.1", s, []) is None]
        assert valid == [100, *range(102, 600)]
