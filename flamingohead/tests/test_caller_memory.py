"""Tests of the memory that connections of callers hold, without sockets."""

from __future__ import annotations

import pytest

from flamingohead.core.errors import ErrorKind, Refusal
from flamingohead.core.memory import (
    DEFAULT_BUDGET_BYTES,
    MIN_BUDGET_BYTES,
    Relief,
    compute_budget,
    compute_connection_limits,
)
from flamingohead.services.http_parser import MAX_BODY_BYTES, ReadLimits
from flamingohead.services.http_server import (
    IDLE_TIMEOUT_SECONDS,
    HttpServerFactory,
    ServerLimits,
)
from flamingohead.testing.http import parse_responses
from flamingohead.testing.transports import FakeTransport

START = b"GET / HTTP/1.1\r\nhost: a\r\n"
POST = b"POST / HTTP/1.1\r\nhost: a\r\n"
HEAD_BYTES = 16_384
# Header lines that fill a head of 16 KiB.
LINE_SHAPES = {
    "one": b"a: " + b"b" * (HEAD_BYTES - len(START) - 7) + b"\r\n",
    "many": b"a:\r\n" * ((HEAD_BYTES - len(START) - 2) // 4),
    "some": (b"x-name: " + b"v" * 30 + b"\r\n") * 400,
    "spaces": b"a:" + b" " * (HEAD_BYTES - len(START) - 7) + b"b\r\n",
}


class Server:
    """Connect callers in memory to a server with a small budget."""

    def __init__(self, limit=MIN_BUDGET_BYTES, *, responds=True):
        self.now = 0.0
        self.responds = responds
        self.requests = []
        self.responses = []
        self.reliefs = []
        self.factory = HttpServerFactory(self._handle, lambda refusal: None)
        self.factory.budget.limit = limit
        self.factory.clock = lambda: self.now
        self.factory.call_soon = lambda function: None
        self.factory.limits = ServerLimits(read=ReadLimits(HEAD_BYTES, MAX_BODY_BYTES))
        self.factory.report = lambda relief, size: self.reliefs.append(relief)

    def _handle(self, request, response):
        self.requests.append(request)
        self.responses.append(response)
        if self.responds:
            response.send(200, [], b"")

    def connect(self):
        return FakeTransport(self.factory.buildProtocol(None))

    def wait(self, seconds):
        self.now += seconds
        self.factory.sweep()


def list_statuses(caller):
    return [response.status for response in parse_responses(caller.written)]


def deliver(caller, data, size):
    for start in range(0, len(data), size):
        caller.deliver(data[start : start + size])


class TestLimits:
    def test_budget_follows_from_the_memory_of_the_host(self):
        assert compute_budget(0) == DEFAULT_BUDGET_BYTES
        assert compute_budget(300_000_000) == 60_000_000
        assert compute_budget(50_000_000) == MIN_BUDGET_BYTES

    def test_connections_leave_descriptors_for_those_of_the_daemon(self):
        assert compute_connection_limits(4100) == (2050, 1025)
        assert compute_connection_limits(0) == (0, 0)


class TestSingleRequests:
    """Guard against refusals of requests inside the limits on a calm daemon."""

    @pytest.mark.parametrize("size", [1, 700, 5000, 2**20])
    @pytest.mark.parametrize("shape", LINE_SHAPES)
    def test_head_of_16_kib_is_served(self, shape, size):
        server = Server()
        caller = server.connect()
        head = START + LINE_SHAPES[shape] + b"\r\n"
        assert len(head) <= HEAD_BYTES
        deliver(caller, head, size)
        assert list_statuses(caller) == [200]

    @pytest.mark.parametrize("chunk_bytes", [0, 1000, 65_536])
    def test_body_of_8_mib_is_served(self, chunk_bytes):
        server = Server()
        caller = server.connect()
        body = bytes(MAX_BODY_BYTES)
        if chunk_bytes:
            caller.deliver(POST + b"transfer-encoding: chunked\r\n\r\n")
            for start in range(0, len(body), chunk_bytes):
                chunk = body[start : start + chunk_bytes]
                caller.deliver(b"%x\r\n%b\r\n" % (len(chunk), chunk))
            caller.deliver(b"0\r\n\r\n")
        else:
            caller.deliver(POST + b"content-length: %d\r\n\r\n" % len(body))
            deliver(caller, body, 2**18)
        assert list_statuses(caller) == [200]
        assert server.requests[0].body == body

    def test_some_empty_lines_before_requests_are_allowed(self):
        caller = Server().connect()
        caller.deliver(b"\r\n\r\n" + START + b"\r\n" + b"\r\n" * 4 + START + b"\r\n")
        assert list_statuses(caller) == [200, 200]


class TestPipelines:
    """Guard against a pipeline that is read faster than its requests are served."""

    def test_reading_pauses_while_the_pipeline_is_full(self):
        server = Server(responds=False)
        caller = server.connect()
        count = 40
        request = START + b"a:\r\n" * 7000 + b"\r\n"
        peak = 0
        for start in range(0, count * len(request), 2**16):
            data = (request * count)[start : start + 2**16]
            while not caller.is_reading:
                server.responses.pop(0).send(200, [], b"")
            caller.deliver(data)
            peak = max(peak, server.factory.budget.reserved_bytes)
        while server.responses:
            server.responses.pop(0).send(200, [], b"")
        assert list_statuses(caller) == [200] * count
        assert peak < MIN_BUDGET_BYTES / 4
        assert caller.is_reading

    def test_unread_responses_stop_the_next_requests(self):
        server = Server()
        caller = server.connect()
        caller.unsent_bytes = 100_000
        caller.protocol.pauseProducing()
        caller.deliver((START + b"\r\n") * 5)
        assert server.requests == [] and not caller.is_reading
        caller.unsent_bytes = 0
        caller.protocol.resumeProducing()
        assert list_statuses(caller) == [200] * 5 and caller.is_reading

    def test_pause_does_not_count_as_slowness_of_the_caller(self):
        server = Server()
        caller = server.connect()
        caller.deliver(START)
        caller.unsent_bytes = 100_000
        caller.protocol.pauseProducing()
        caller.deliver(b"x: y\r\n")
        for seconds in range(1, 16):
            caller.unsent_bytes -= seconds
            server.wait(1.0)
        caller.unsent_bytes = 0
        caller.protocol.resumeProducing()
        caller.deliver(b"\r\n")
        assert list_statuses(caller) == [200]

    def test_requests_dropped_from_a_pipeline_do_not_run(self):
        server = Server(limit=600_000, responds=False)
        callers = [server.connect() for _ in range(8)]
        for caller in callers:
            deliver(caller, (START + b"a:\r\n" * 500 + b"\r\n") * 20, 4096)
        started = len(server.requests)
        for response in server.responses:
            response.send(200, [], b"")
        statuses = [status for c in callers for status in list_statuses(c)]
        assert statuses.count(200) == started
        assert server.factory.budget.reserved_bytes <= 600_000


class TestSharing:
    """Guard against callers whose data takes all the processor time of the daemon."""

    def test_large_reads_wait_for_the_next_iteration(self):
        server = Server()
        deferred = []
        server.factory.call_soon = deferred.append
        server.factory.clock = self.advance
        self.now = 0.0
        slow, ordinary = server.connect(), server.connect()
        slow.deliver(POST + b"transfer-encoding: chunked\r\n\r\n")
        slow.deliver(b"1\r\nx\r\n" * 20_000 + b"0\r\n\r\n")
        assert not slow.is_reading
        ordinary.deliver(START + b"\r\n")
        assert list_statuses(ordinary) == [200] and list_statuses(slow) == []
        while deferred:
            deferred.pop(0)()
        assert list_statuses(slow) == [200] and slow.is_reading
        assert server.requests[1].body == b"x" * 20_000

    def advance(self):
        self.now += 0.003
        return self.now


class TestRefusals:
    """Guard against callers that hold memory until others can't be served."""

    def test_empty_lines_without_end_are_refused(self):
        caller = Server().connect()
        deliver(caller, b"\r\n" * 5000, 100)
        assert list_statuses(caller) == [400]

    def test_head_over_the_limit_is_refused_within_its_first_read(self):
        server = Server()
        caller = server.connect()
        caller.deliver(START + b"a:\r\n" * 60_000)
        assert list_statuses(caller) == [413]
        assert server.factory.budget.reserved_bytes < 10_000

    def test_body_that_does_not_fit_now_is_refused_by_its_head(self):
        server = Server(limit=200_000, responds=False)
        running = server.connect()
        running.deliver(POST + b"content-length: 60000\r\n\r\n" + bytes(60_000))
        caller = server.connect()
        caller.deliver(POST + b"content-length: 50000\r\n\r\n")
        assert list_statuses(caller) == [503]
        response = parse_responses(caller.written)[0]
        assert response.get_header(b"connection") == b"close"
        assert response.get_header(b"retry-after")
        assert len(server.requests) == 1

    def test_body_that_never_fits_is_refused_as_too_large(self):
        server = Server(limit=200_000)
        caller = server.connect()
        caller.deliver(POST + b"content-length: 500000\r\n\r\n")
        assert list_statuses(caller) == [413]

    def test_bodies_that_stop_before_their_end_make_room_for_others(self):
        server = Server(limit=400_000)
        stopped = [server.connect() for _ in range(4)]
        for caller in stopped:
            caller.deliver(POST + b"transfer-encoding: chunked\r\n\r\n")
            caller.deliver(b"7000\r\n" + bytes(0x7000) + b"\r\n")
        server.wait(2.0)
        caller = server.connect()
        caller.deliver(POST + b"content-length: 120000\r\n\r\n" + bytes(120_000))
        assert list_statuses(caller) == [200]
        assert 503 in [status for c in stopped for status in list_statuses(c)]
        assert Relief.REQUEST_REFUSED in server.reliefs

    def test_unread_responses_make_room_for_others(self):
        server = Server(limit=400_000)
        unread = [server.connect() for _ in range(4)]
        for caller in unread:
            caller.unsent_bytes = 90_000
            caller.protocol.pauseProducing()
        server.wait(2.0)
        caller = server.connect()
        caller.deliver(POST + b"content-length: 60000\r\n\r\n" + bytes(60_000))
        assert list_statuses(caller) == [200]
        assert any(caller.is_closed for caller in unread)

    def test_caller_that_stops_reading_is_closed(self):
        server = Server()
        caller = server.connect()
        caller.unsent_bytes = 90_000
        caller.protocol.pauseProducing()
        server.wait(IDLE_TIMEOUT_SECONDS - 1)
        assert not caller.is_closed
        server.wait(2.0)
        assert caller.is_closed


class TestConnections:
    """Guard against silent connections that use up the descriptors."""

    def test_connection_without_a_request_for_longest_is_replaced(self):
        server = Server()
        server.factory.max_connections = 2
        first, second = server.connect(), server.connect()
        first.deliver(START + b"\r\n")
        third = server.connect()
        assert second.is_closed
        assert not first.is_closed and not third.is_closed

    def test_connections_with_requests_are_not_replaced(self):
        server = Server(responds=False)
        server.factory.max_connections = 1
        busy = server.connect()
        busy.deliver(START + b"\r\n")
        assert server.connect().is_closed
        assert not busy.is_closed


class TestHeads:
    """Guard against bodies that are read although their request can't be served."""

    def test_refusal_by_the_head_closes_after_the_response(self):
        server = Server()
        refusal = Refusal(ErrorKind.NO_ROUTE, "no route")
        server.factory.check_head = lambda request, length: refusal
        caller = server.connect()
        caller.deliver(POST + b"content-length: 900000\r\n\r\n" + bytes(1000))
        caller.deliver(bytes(1000))
        assert list_statuses(caller) == [404]
        assert caller.is_write_closed
        assert server.requests == []

    def test_request_without_a_body_is_not_checked(self):
        server = Server()
        server.factory.check_head = lambda request, length: 1 / 0
        caller = server.connect()
        caller.deliver(START + b"\r\n" + POST + b"content-length: 0\r\n\r\n")
        assert list_statuses(caller) == [200, 200]

    def test_refusal_waits_for_earlier_responses(self):
        server = Server(responds=False)
        refusal = Refusal(ErrorKind.NO_UPSTREAM)
        server.factory.check_head = lambda request, length: refusal
        caller = server.connect()
        caller.deliver(START + b"\r\n")
        caller.deliver(POST + b"transfer-encoding: chunked\r\n\r\n")
        assert list_statuses(caller) == []
        server.responses[0].send(200, [], b"")
        assert list_statuses(caller) == [200, 503]
