"""Tests that a duplicate answer on a reused connection is not mismatched."""

from __future__ import annotations

import asyncio
import logging
import time
from dataclasses import replace

import pytest

from flamingohead.core.errors import ErrorKind, ExecutionStatus, Refusal
from flamingohead.kernel import Kernel
from flamingohead.platform.dialect import PLATFORM_DIALECT
from flamingohead.platform.store import RowKey, StoreClient
from flamingohead.services.dispatch import ResponseRelay
from flamingohead.services.eras import EraService
from flamingohead.services.http_client import HttpClientService
from flamingohead.services.http_connection import MAX_ERROR_IDS, ClientConnection
from flamingohead.services.http_messages import EXCHANGE_HEADER, OutgoingRequest
from flamingohead.services.metrics import MetricsService
from flamingohead.testing.transports import FakeTransport, RecordingSink
from flamingohead.tests.test_slots import FakeResponse


def build_request(name, *, echoes_request_id=True):
    headers = ((b"request-id", name),) if name else ()
    return OutgoingRequest(
        "GET", b"/", headers, b"", 1.0, echoes_request_id=echoes_request_id
    )


def build_answer(name, body=b"yes"):
    line = b"request-id: %b\r\n" % name if name else b""
    return b"HTTP/1.1 200 OK\r\n%bcontent-length: %d\r\n\r\n%b" % (
        line,
        len(body),
        body,
    )


class _Exchanges:
    """Make successive exchanges on one connection."""

    def __init__(self):
        self.connection = ClientConnection("127.0.0.1:1")
        self.transport = FakeTransport(self.connection)
        self.ends = []
        self.sinks = []

    def send(self, name, **options):
        self.send_request(build_request(name, **options))

    def send_request(self, request):
        self.sinks.append(RecordingSink())
        self.connection.exchange(request, self.sinks[-1], self.ends.append)


class TestUpstreams:
    @pytest.mark.parametrize(
        "duplicate", [b"a", b""], ids=["with its id", "without an id"]
    )
    @pytest.mark.parametrize("size", [1, 7, 4096])
    def test_duplicate_is_not_the_answer_of_the_next_request(self, duplicate, size):
        exchanges = _Exchanges()
        exchanges.send(b"a")
        exchanges.transport.deliver(build_answer(b"a"))
        exchanges.send(b"b")
        data = build_answer(duplicate)
        for start in range(0, len(data), size):
            exchanges.transport.deliver(data[start : start + size])
        assert exchanges.ends[0] is None
        assert exchanges.ends[1].kind is ErrorKind.UPSTREAM_MALFORMED
        assert exchanges.sinks[1].body == b""
        assert not exchanges.connection.is_open

    def test_duplicate_is_not_the_answer_of_a_request_without_an_id(self):
        exchanges = _Exchanges()
        exchanges.send(b"a")
        exchanges.transport.deliver(build_answer(b"a"))
        exchanges.send(b"")
        exchanges.transport.deliver(build_answer(b"a"))
        assert exchanges.ends[1].kind is ErrorKind.UPSTREAM_MALFORMED
        assert exchanges.sinks[1].body == b""

    def test_empty_id_counts_as_none(self):
        exchanges = _Exchanges()
        exchanges.send(b"")
        answer = build_answer(b"-").replace(b"request-id: -", b"request-id:")
        exchanges.transport.deliver(answer)
        assert exchanges.ends == [None]

    @pytest.mark.parametrize("sent, echoed", [(b"a", b"a \t"), (b"a ", b"a")])
    def test_blanks_behind_an_id_are_no_part_of_it(self, sent, echoed):
        exchanges = _Exchanges()
        exchanges.send(sent)
        exchanges.transport.deliver(build_answer(echoed))
        assert exchanges.ends == [None]

    def test_duplicate_after_the_answer_closes_the_connection(self, caplog):
        exchanges = _Exchanges()
        exchanges.send(b"a")
        with caplog.at_level(logging.INFO):
            exchanges.transport.deliver(2 * build_answer(b"a"))
        assert [record.event for record in caplog.records] == [526]
        assert exchanges.ends == [None]
        assert exchanges.sinks[0].body == b"yes"
        assert not exchanges.connection.is_open

    def test_first_answer_of_a_connection_may_lack_its_id(self):
        exchanges = _Exchanges()
        exchanges.send(b"a")
        exchanges.transport.deliver(build_answer(b""))
        assert exchanges.ends == [None]

    def test_upstreams_that_echo_no_ids_keep_their_connections(self):
        exchanges = _Exchanges()
        for name in (b"a", b"b"):
            exchanges.send(name, echoes_request_id=False)
            exchanges.transport.deliver(build_answer(b""))
        assert exchanges.ends == [None, None]


class TestRequestsWithoutAnId:
    """Guard against the answer to another request for a request without an id."""

    async def serve(self, reader, writer):
        previous = b""
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).lower()
                name = head.partition(b"request-id: ")[2].split(b"\r")[0]
                answer = build_answer(name, b"answer to <%b>" % name)
                writer.write(previous + answer)
                previous = answer
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.close()

    async def send_all(self, *names):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]
        client = HttpClientService()
        bodies = []
        for name in names:
            request = replace(build_request(name), deadline=time.monotonic() + 5.0)
            sink = RecordingSink()
            assert await client.send(address, request, sink) is None
            bodies.append(sink.body)
        await client.stop()
        server.close()
        return bodies

    def test_repeated_answer_to_another_request_is_not_theirs(self):
        bodies = asyncio.run(self.send_all(b"a", b""))
        assert bodies == [b"answer to <a>", b"answer to <>"]

    def test_connection_is_reused_where_no_ids_are_echoed(self):
        exchanges = _Exchanges()
        exchanges.send(b"a", echoes_request_id=False)
        exchanges.transport.deliver(build_answer(b""))
        request = build_request(b"", echoes_request_id=False)
        assert exchanges.connection.may_carry(request)


REFUSAL = (
    b"HTTP/1.1 503 No\r\nrequest-id: a\r\nnot-executed: 1\r\ncontent-length: 0\r\n\r\n"
)


class RepeatingUpstream:
    """Refuse the first request; write the refusal again when the next one arrives."""

    def __init__(self, refusal=REFUSAL):
        self.runs = []
        self.connections = 0
        self._refusal = refusal
        self._requests = 0

    async def serve(self, reader, writer):
        self.connections += 1
        is_first_connection = self.connections == 1
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                request_id = head.lower().partition(b"request-id: ")[2].split(b"\r")[0]
                self._requests += 1
                if self._requests == 1:
                    writer.write(self._refusal)
                    continue
                self.runs.append(request_id)
                if is_first_connection:
                    writer.write(self._refusal)
                writer.write(build_answer(request_id))
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.close()


class _Response(FakeResponse):
    def write(self, data):
        pass


class TestRepeatedRefusals:
    """Guard against requests told "not run" by a repeated refusal, though they ran."""

    async def send_twice(self, upstream, second_id, *, echoes_request_id=True):
        server = await asyncio.start_server(upstream.serve, "127.0.0.1", 0)
        address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]
        client = HttpClientService()
        results = []
        for request_id in (b"a", second_id):
            request = replace(
                build_request(request_id, echoes_request_id=echoes_request_id),
                deadline=time.monotonic() + 5.0,
            )
            relay = ResponseRelay(_Response(), PLATFORM_DIALECT)
            refusal = await client.send(
                address, request, relay, on_connection=relay.attach
            )
            results.append((refusal, relay.not_executed))
        await client.stop()
        server.close()
        return results

    def test_retry_of_a_refused_request_takes_another_connection(self):
        upstream = RepeatingUpstream()
        first, second = asyncio.run(self.send_twice(upstream, b"a"))
        assert first == (None, True)
        # The request ran, so that it must not count as refused again.
        assert upstream.runs == [b"a"]
        assert second == (None, False)
        assert upstream.connections == 2

    def test_repeated_refusal_is_not_that_of_another_request(self):
        upstream = RepeatingUpstream()
        _, (refusal, not_executed) = asyncio.run(self.send_twice(upstream, b"b"))
        assert upstream.connections == 1 and upstream.runs == [b"b"]
        assert refusal.kind is ErrorKind.UPSTREAM_MALFORMED
        assert refusal.ran is ExecutionStatus.UNKNOWN
        assert not not_executed

    def test_log_names_the_connection_that_refused_the_request(self, caplog):
        # Only records of the package have an event. Up to Python 3.11.7, asyncio logs
        # an error when the task of a server connection is cancelled.
        caplog.set_level(logging.CRITICAL, logger="asyncio")
        with caplog.at_level(logging.INFO):
            asyncio.run(self.send_twice(RepeatingUpstream(), b"a"))
        avoided = [r.fields for r in caplog.records if r.event == 527]
        assert [fields["request"] for fields in avoided] == ["a"]

    def test_log_tells_the_copy_of_a_refusal_from_other_mismatches(self):
        exchanges = _Exchanges()
        exchanges.send(b"a")
        exchanges.transport.deliver(REFUSAL)
        exchanges.send(b"b")
        exchanges.transport.deliver(REFUSAL)
        assert exchanges.ends[1].detail.endswith(
            "answer to another request, which was refused"
        )

    @pytest.mark.parametrize(
        "refusal, second_id",
        [(REFUSAL, b""), (REFUSAL.replace(b"request-id: a\r\n", b""), b"b")],
        ids=["request without an id", "refusal without an id"],
    )
    def test_request_that_no_id_tells_apart_takes_another_connection(
        self, refusal, second_id
    ):
        upstream = RepeatingUpstream(refusal)
        first, second = asyncio.run(
            self.send_twice(upstream, second_id, echoes_request_id=False)
        )
        assert first == (None, True)
        assert second == (None, False)
        assert upstream.runs == [second_id]
        assert upstream.connections == 2

    def test_connection_with_many_errors_is_not_reused(self):
        exchanges = _Exchanges()
        for number in range(MAX_ERROR_IDS + 1):
            assert exchanges.connection.is_open
            exchanges.send(b"%d" % number)
            refusal = REFUSAL.replace(b"id: a", b"id: %d" % number)
            exchanges.transport.deliver(refusal)
        assert not exchanges.connection.is_open


class TestConnectionsBetweenDaemons:
    """Guard against connections that are closed though their exchanges are paired."""

    REFUSAL = REFUSAL.replace(b"content", b"flamingohead-exchange: 1\r\ncontent")

    def build_request(self, request_id, exchange_id):
        headers = ((b"request-id", request_id), (EXCHANGE_HEADER, exchange_id))
        return replace(build_request(b""), headers=headers)

    def test_connection_carries_a_refused_request_again(self):
        exchanges = _Exchanges()
        exchanges.send_request(self.build_request(b"a", b"1"))
        exchanges.transport.deliver(self.REFUSAL)
        assert exchanges.ends == [None] and exchanges.connection.is_open
        retry = self.build_request(b"a", b"2")
        assert exchanges.connection.may_carry(retry)
        exchanges.send_request(retry)
        exchanges.transport.deliver(self.REFUSAL)
        assert exchanges.ends[1].kind is ErrorKind.UPSTREAM_MALFORMED
        assert exchanges.ends[1].ran is ExecutionStatus.UNKNOWN

    def test_refusals_of_other_exchanges_do_not_end_a_connection(self):
        connection = ClientConnection("127.0.0.1:1")
        transport = FakeTransport(connection)
        for number in range(2 * MAX_ERROR_IDS):
            exchange = (EXCHANGE_HEADER, b"%d" % number)
            request = build_request(b"%d" % number, echoes_request_id=False)
            request = replace(request, headers=(*request.headers, exchange))
            connection.exchange(request, RecordingSink(), lambda result: None)
            refusal = REFUSAL.replace(b"request-id: a", b"%b: %b" % exchange)
            transport.deliver(refusal)
            assert connection.is_open and connection.may_carry(request)


class TestStore:
    """Simulate a store that repeats the page of a read at the next request."""

    PAGE = build_answer(b"", b'{"rows": [], "ver": 7}')
    CONFLICT = b"HTTP/1.1 412 No\r\ncontent-length: 2\r\n\r\n{}"

    async def serve(self, reader, writer):
        answered = False
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                if head.startswith(b"GET"):
                    writer.write(self.PAGE)
                else:
                    writer.write(self.PAGE if answered else self.CONFLICT)
                answered = True
        finally:
            writer.close()

    async def write_after_a_read(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        kernel = Kernel()
        kernel.add("metrics", MetricsService())
        kernel.add("eras", EraService(kernel))
        kernel.add("http_client", HttpClientService())
        store = StoreClient(kernel, f"127.0.0.1:{port}")
        page = await store.read_rows("op", "")
        assert not isinstance(page, Refusal)
        key = RowKey("flamingohead", "departures", "departures/h")
        result = await store.commit(expected={key: None}, values={key: b"gone"})
        await kernel.get("http_client").stop()
        server.close()
        return result

    def test_duplicate_page_is_not_taken_for_a_commit(self):
        assert asyncio.run(self.write_after_a_read()) is None
