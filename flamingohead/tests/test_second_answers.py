"""Second copies of an answer on a connection that is in use again."""

from __future__ import annotations

import asyncio

import pytest

from flamingohead.core.errors import ErrorKind, Refusal
from flamingohead.kernel import Kernel
from flamingohead.platform.store import RowKey, StoreClient
from flamingohead.services.eras import EraService
from flamingohead.services.http_client import HttpClientService
from flamingohead.services.http_connection import ClientConnection
from flamingohead.services.http_messages import OutgoingRequest
from flamingohead.services.metrics import MetricsService
from flamingohead.testing.transports import FakeTransport, RecordingSink


def build_request(name, *, echoes_request_id=True):
    headers = ((b"request-id", name),)
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
    """Make exchanges on one connection, one after another."""

    def __init__(self):
        self.connection = ClientConnection("127.0.0.1:1")
        self.transport = FakeTransport(self.connection)
        self.ends = []
        self.sinks = []

    def send(self, name, **options):
        self.sinks.append(RecordingSink())
        request = build_request(name, **options)
        self.connection.exchange(request, self.sinks[-1], self.ends.append)


class TestUpstreams:
    @pytest.mark.parametrize("copy", [b"a", b""], ids=["with its id", "without an id"])
    @pytest.mark.parametrize("size", [1, 7, 4096])
    def test_copy_is_not_the_answer_of_the_next_request(self, copy, size):
        exchanges = _Exchanges()
        exchanges.send(b"a")
        exchanges.transport.deliver(build_answer(b"a"))
        exchanges.send(b"b")
        data = build_answer(copy)
        for start in range(0, len(data), size):
            exchanges.transport.deliver(data[start : start + size])
        assert exchanges.ends[0] is None
        assert exchanges.ends[1].kind is ErrorKind.UPSTREAM_MALFORMED
        assert exchanges.sinks[1].body == b""
        assert not exchanges.connection.is_open

    def test_copy_behind_the_answer_ends_the_connection(self):
        exchanges = _Exchanges()
        exchanges.send(b"a")
        exchanges.transport.deliver(2 * build_answer(b"a"))
        assert exchanges.ends == [None]
        assert exchanges.sinks[0].body == b"yes"
        assert not exchanges.connection.is_open

    def test_first_answer_of_a_connection_may_lack_its_id(self):
        exchanges = _Exchanges()
        exchanges.send(b"a")
        exchanges.transport.deliver(build_answer(b""))
        assert exchanges.ends == [None]

    def test_upstreams_that_repeat_no_ids_keep_their_connections(self):
        exchanges = _Exchanges()
        for name in (b"a", b"b"):
            exchanges.send(name, echoes_request_id=False)
            exchanges.transport.deliver(build_answer(b""))
        assert exchanges.ends == [None, None]


class TestStore:
    """A store that sends the page of a read a second time, when it is next asked."""

    PAGE = build_answer(b"", b'{"rows": [], "ver": 7}')
    CONFLICT = b"HTTP/1.1 412 No\r\ncontent-length: 2\r\n\r\n{}"

    async def serve(self, reader, writer):
        answered = False
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            if head.startswith(b"GET"):
                writer.write(self.PAGE)
            else:
                writer.write(self.PAGE if answered else self.CONFLICT)
            answered = True

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

    def test_copy_of_a_page_is_not_taken_for_a_commit(self):
        assert asyncio.run(self.write_after_a_read()) is None
