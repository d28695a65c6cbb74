"""Only well-formed messages are forwarded, whatever a caller or an upstream sends.

Twisted's HTTP server parses what the daemon would send to an upstream. As a second,
independent parser it shows bytes that can be read in two ways (request smuggling).
"""

from __future__ import annotations

import re

import pytest
from hypothesis import example, given, settings, strategies as st

from flamingohead.core.resources import Pool, Rank, Route, Service
from flamingohead.core.routing import ResolvedRoute
from flamingohead.services.call_requests import build_call
from flamingohead.services.dispatch import ResponseRelay
from flamingohead.services.http_connection import ClientConnection
from flamingohead.services.http_messages import (
    GENERATED_HEADERS,
    HOP_BY_HOP_HEADERS,
    RELAY_PREFIX,
    OutgoingRequest,
)
from flamingohead.services.http_parser import MAX_BODY_BYTES, MAX_HEAD_BYTES
from flamingohead.services.http_server import (
    LINGER_TIMEOUT,
    MAX_PIPELINED_REQUESTS,
    READ_TIMEOUT,
)
from flamingohead.testing.http import FakeCaller, ParsedRequest, parse_requests
from flamingohead.testing.transports import FakeTransport

ROUTE = ResolvedRoute(
    Route("r", "stall-ledger", "/", ("GET",), "ledgers", "lookup", 1000, True),
    Service("stall-ledger"),
    Pool("ledgers", "stall-ledger"),
    Rank("lookup", "stall-ledger", 0, 500, 1.0, 0.0),
)
STATUS_LINE = re.compile(rb"HTTP/1\.1 (\d{3}) ")
SMUGGLED = b"GET /smuggled HTTP/1.1\r\nhost: a\r\n\r\n"

METHODS = (b"GET", b"POST", b"HEAD", b"PUT", b"get", b"PRI", b"G\0ET", b"CONNECT")
TARGETS = (b"/", b"/a?b=c", b"http://b/x", b"*", b"/a b", b"/\0", b"/\xff", b"//x")
VERSIONS = (b"HTTP/1.1", b"HTTP/1.1", b"HTTP/1.0", b"HTTP/2.0", b"RTSP/1.0", b"")
ENDS = (b"\r\n", b"\r\n", b"\r\n", b"\r\n", b"\n", b"\r", b"\r\n ", b"\0\r\n")
COLONS = (b": ", b": ", b":", b" : ", b"\t:", b"")
NAMES = (
    b"Content-Length|Transfer-Encoding|Connection|Expect|Upgrade|Host|"
    b"X-Own|flamingohead-upstream|Idempotency-Key|Te||X\x00Y"
).split(b"|")
VALUES = (
    b"0|5|5, 5|+5|0x5|chunked|gzip, chunked|chunked, identity|"
    b"close|keep-alive, x-own|idempotency-key|100-continue|h2c|a\rb|a\x00b|\xe9"
).split(b"|")
BODIES = (
    b"",
    b"hello",
    b"0\r\n\r\n",
    b"5\r\nhello\r\n0\r\n\r\n",
    b"5;a=b\r\nhello\r\n0\r\nflamingohead-upstream: x\r\nx-own: y\r\n\r\n",
    b"5 \r\nhello\r\n0\r\n\r\n",
    b"5\nhello\n0\n\n",
)
HEADER_LINES = st.tuples(
    st.sampled_from(NAMES),
    st.sampled_from(COLONS),
    st.sampled_from(VALUES),
    st.sampled_from(ENDS),
).map(b"".join)


VALID_LINES = (
    b"X-Own: a\r\n",
    b"Connection: keep-alive, x-own\r\n",
    b"flamingohead-upstream: x\r\n",
    b"Expect: 100-continue\r\n",
    b"Idempotency-Key: k\r\n",
    b"Te: trailers\r\n",
)
VALID_BODIES = (
    b"\r\n",
    b"Content-Length: 5\r\n\r\nhello",
    b"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
    b"Transfer-Encoding: chunked\r\n\r\n" + BODIES[4],
)


def draw_mostly_valid(draw, valid, invalid):
    return draw(st.sampled_from(invalid if draw(st.integers(0, 7)) == 7 else valid))


@st.composite
def draw_requests(draw) -> bytes:
    line = draw_mostly_valid(draw, (b"GET", b"POST"), METHODS)
    line += b" " + draw_mostly_valid(draw, (b"/", b"/a?b=c"), TARGETS)
    line += b" " + draw_mostly_valid(draw, (b"HTTP/1.1",), VERSIONS) + b"\r\n"
    lines = draw(st.lists(st.sampled_from(VALID_LINES), max_size=3))
    if draw(st.integers(0, 3)) == 3:
        lines += draw(st.lists(HEADER_LINES, max_size=3))
    host = draw_mostly_valid(draw, (b"Host: a\r\n",), (b"",))
    body = draw_mostly_valid(
        draw, VALID_BODIES, tuple(b"\r\n" + body for body in BODIES)
    )
    data = line + host + b"".join(lines) + body
    if draw(st.integers(0, 3)) == 3:
        position = draw(st.integers(0, len(data)))
        data = data[:position] + draw(st.binary(max_size=2)) + data[position:]
    return data + SMUGGLED


class TestRequests:
    @given(data=draw_requests())
    @settings(max_examples=400)
    def test_forwarded_bytes_are_exactly_one_request(self, data):
        caller = FakeCaller()
        caller.deliver(data)
        for request in caller.requests:
            call = build_call(request, ROUTE, 0.0)
            if not hasattr(call, "target"):
                continue
            outgoing = OutgoingRequest(
                call.method, call.target, call.headers, call.body, 1.0
            )
            method = request.method.encode()
            expected = ParsedRequest(method, request.target, request.body)
            assert parse_requests(outgoing.encode("127.0.0.1:1")) == [expected]
            for name, _ in call.headers:
                assert name not in HOP_BY_HOP_HEADERS
                assert not name.startswith(RELAY_PREFIX)

    @given(data=draw_requests())
    @settings(max_examples=400)
    def test_each_request_gets_a_response_or_a_refusal_and_a_closed_connection(
        self, data
    ):
        caller = FakeCaller()
        caller.deliver(data)
        caller.now = READ_TIMEOUT
        caller.protocol.check_deadlines(caller.now)
        if b"HEAD" in data:
            # The parser of responses would wait for bodies that must not follow.
            written = caller.transport.written
            found = [int(status) for status in STATUS_LINE.findall(written)]
            statuses = [status for status in found if status >= 200]
        else:
            statuses = caller.list_statuses()
        assert len(statuses) == len(caller.requests) + len(caller.refusals)
        if caller.refusals:
            assert 400 <= statuses[-1] < 500
            assert caller.is_closed

    @given(data=draw_requests(), size=st.integers(1, 30))
    @settings(max_examples=400)
    def test_fragmentation_does_not_change_parsing(self, data, size):
        whole, fragmented = FakeCaller(), FakeCaller()
        whole.deliver(data)
        fragmented.deliver(data, size)
        assert whole.requests == fragmented.requests
        assert whole.transport.written == fragmented.transport.written
        assert whole.is_closed == fragmented.is_closed


HOST = b"host: a\r\n"
MALFORMED = {
    "two lengths": HOST + b"content-length: 1\r\ncontent-length: 1\r\n\r\nx",
    "length and chunks": HOST
    + b"content-length: 5\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
    "unknown coding": HOST + b"transfer-encoding: gzip\r\n\r\n",
    "coding after chunked": HOST + b"transfer-encoding: chunked, gzip\r\n\r\n",
    "space before colon": HOST + b"x : a\r\n\r\n",
    "folded line": HOST + b"x: a\r\n b\r\n\r\n",
    "bare line feed": HOST + b"x: a\ny: b\r\n\r\n",
    "bare carriage return": HOST + b"x: a\ry: b\r\n\r\n",
    "nul": HOST + b"x: a\0b\r\n\r\n",
    "two hosts": HOST + HOST + b"\r\n",
    "no host": b"x: a\r\n\r\n",
    "version": b"",
    "other expectation": HOST + b"expect: 200-ok\r\n\r\n",
    "connection drops the key": HOST
    + b"idempotency-key: k\r\nconnection: idempotency-key\r\n\r\n",
}


class TestHeaders:
    def test_headers_that_connection_names_and_trailers_are_dropped(self):
        caller = FakeCaller()
        caller.deliver(
            b"POST / HTTP/1.1\r\nhost: a\r\nx-own: a\r\nconnection: x-own\r\n"
            b"x-kept: a\r\n" + VALID_BODIES[3]
        )
        (request,) = caller.requests
        assert request.headers == [(b"host", b"a"), (b"x-kept", b"a")]
        assert request.body == b"hello"


class TestMalformed:
    @pytest.mark.parametrize("rest", MALFORMED.values(), ids=MALFORMED.keys())
    def test_is_refused_and_never_served(self, rest):
        caller = FakeCaller()
        version = b"HTTP/1.1" if rest else b"HTTP/2.0"
        rest = rest or HOST + b"\r\n"
        caller.deliver(b"POST / " + version + b"\r\n" + rest + SMUGGLED)
        assert caller.requests == []
        assert caller.list_statuses() == [400]
        assert caller.is_closed


class TestLimits:
    @pytest.mark.parametrize(
        "start",
        [
            b"GET /" + b"a" * 2 * MAX_HEAD_BYTES,
            b"GET / HTTP/1.1\r\nx: " + b"a" * 2 * MAX_HEAD_BYTES,
            b"GET / HTTP/1.1\r\n" + b"x: a\r\n" * MAX_HEAD_BYTES,
            b"GET / HTTP/1.1\r\nhost: a\r\ncontent-length: %d\r\n\r\n"
            % (MAX_BODY_BYTES + 1),
            b"GET / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n%x\r\n"
            % (MAX_BODY_BYTES + 1)
            + b"a" * (MAX_BODY_BYTES + 1),
        ],
        ids=["target", "value", "headers", "length", "chunks"],
    )
    def test_oversized_request_is_refused_before_its_end(self, start):
        caller = FakeCaller()
        caller.deliver(start, 4096)
        assert caller.list_statuses() == [413]
        assert caller.is_closed
        assert caller.requests == []

    def test_refused_connection_lingers_for_a_bounded_time(self):
        caller = FakeCaller()
        caller.deliver(b"POST / HTTP/1.1\r\n\r\n")
        assert caller.transport.is_write_closed and not caller.transport.is_closed
        written = caller.transport.written
        caller.deliver(SMUGGLED)
        assert caller.requests == [] and caller.transport.written == written
        caller.protocol.check_deadlines(LINGER_TIMEOUT)
        assert caller.transport.is_closed

    def test_slow_sender_is_refused_at_the_read_deadline(self):
        caller = FakeCaller()
        for second in range(int(READ_TIMEOUT) + 1):
            caller.now = float(second)
            caller.deliver(b"G" if second == 0 else b"E" if second == 1 else b"")
            caller.protocol.check_deadlines(caller.now)
        assert caller.list_statuses() == [400]
        assert caller.is_closed

    @pytest.mark.parametrize(
        "start", [b"CONNECT a:1 ", b"GET / "], ids=["connect", "upgrade"]
    )
    def test_upgrade_is_refused_and_not_served(self, start):
        caller = FakeCaller()
        caller.deliver(start + b"HTTP/1.1\r\nhost: a\r\nupgrade: h2c\r\n")
        caller.deliver(b"connection: upgrade\r\n\r\n")
        assert caller.requests == []
        assert caller.list_statuses() == [400]

    def test_pipelined_requests_are_bounded(self):
        caller = FakeCaller()
        caller.deliver(SMUGGLED * (MAX_PIPELINED_REQUESTS + 5))
        statuses = caller.list_statuses()
        assert statuses == [200] * MAX_PIPELINED_REQUESTS + [400]
        assert caller.is_closed

    def test_malformed_request_does_not_cut_the_previous_response(self):
        caller = FakeCaller(responds_at_once=False)
        caller.deliver(SMUGGLED + b"\0\r\n\r\n")
        assert not caller.is_closed
        caller.responses[0].send(200, [], b"whole")
        assert caller.list_statuses() == [200, 400]
        assert caller.parse_responses()[0].body == b"whole"
        assert caller.is_closed

    def test_continue_is_not_sent_in_the_middle_of_a_response(self):
        caller = FakeCaller(responds_at_once=False)
        head = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\n"
        caller.deliver(SMUGGLED + head + b"expect: 100-continue\r\n\r\n")
        assert caller.transport.written == b""
        caller.responses[0].send(200, [], b"")
        caller.deliver(b"x")
        assert caller.requests[1].body == b"x"

    def test_http_1_0_caller_never_gets_a_response_without_a_length(self):
        caller = FakeCaller(responds_at_once=False)
        caller.deliver(b"GET / HTTP/1.0\r\n\r\n")
        caller.responses[0].start(200, [], length=None)
        caller.responses[0].write(b"part")
        caller.responses[0].finish()
        assert caller.transport.written == b""
        assert caller.is_closed


RESPONSE_LINES = st.tuples(
    st.sampled_from((*NAMES, b"flamingohead-refusal", b"flamingohead-ran")),
    st.sampled_from(COLONS),
    st.sampled_from((*VALUES, b"draining", b"no")),
    st.sampled_from(ENDS),
).map(b"".join)


class TestResponses:
    @given(
        status=st.sampled_from((b"200 OK", b"204 No", b"304 N", b"503 S", b"99", b"x")),
        lines=st.lists(RESPONSE_LINES, max_size=4),
        body=st.sampled_from(BODIES),
        size=st.integers(1, 60),
    )
    @settings(max_examples=400)
    @example(
        status=b"200 OK",
        lines=[b"flamingohead-refusal: draining\r\n", b"te: x\r\n"],
        body=BODIES[2],
        size=60,
    )
    @example(
        status=b"200 OK",
        lines=[b"Content-Length: 5\r\n", b"flamingohead-ran: no\r\n"],
        body=BODIES[1],
        size=60,
    )
    def test_caller_gets_at_most_one_well_formed_response(
        self, status, lines, body, size
    ):
        caller = FakeCaller(responds_at_once=False)
        caller.deliver(SMUGGLED)
        relay = ResponseRelay(caller.responses[0])
        connection = ClientConnection("127.0.0.1:1")
        upstream = FakeTransport(connection)
        outcomes = []
        request = OutgoingRequest("GET", b"/", (), b"", 1.0)
        connection.exchange(request, relay, outcomes.append)
        data = b"HTTP/1.1 " + status + b"\r\n" + b"".join(lines) + b"\r\n" + body
        for start in range(0, len(data), size):
            upstream.deliver(data[start : start + size])
        upstream.disconnect()
        assert len(outcomes) == 1
        responses = caller.parse_responses()
        assert len(responses) <= 1
        framing = {b"content-length", b"transfer-encoding", b"connection"}
        for name, _ in [h for response in responses for h in response.headers]:
            assert not name.lower().startswith(RELAY_PREFIX)
            assert name.lower() in framing or name.lower() not in HOP_BY_HOP_HEADERS
        if outcomes == [None] and not relay.not_executed:
            assert [response.is_complete for response in responses] == [True]


class TestEncoding:
    @given(
        name=st.binary(min_size=1, max_size=6),
        value=st.binary(max_size=6),
        target=st.binary(max_size=6),
    )
    @settings(max_examples=300)
    def test_line_breaks_are_never_sent_in_a_name_value_or_target(
        self, name, value, target
    ):
        request = OutgoingRequest("GET", b"/" + target, ((name, value),), b"", 1.0)
        try:
            data = request.encode("a")
        except ValueError:
            return
        assert data.count(b"\r\n") == 4 - (name in GENERATED_HEADERS)
        assert data.count(b"\r") == data.count(b"\n") == data.count(b"\r\n")
        assert b"\0" not in data
