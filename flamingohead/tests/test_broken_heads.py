"""Tests that an answer that ends inside its head is never a success."""

from __future__ import annotations

import asyncio
import time

import pytest

from flamingohead.core.errors import ErrorKind, ExecutionStatus
from flamingohead.services.http_client import HttpClientService
from flamingohead.services.http_connection import ClientConnection
from flamingohead.services.http_messages import OutgoingRequest
from flamingohead.testing.transports import FakeTransport, RecordingSink

HEADS = {
    "length": (
        b"HTTP/1.1 200 OK\r\nRequest-Id: a\r\nResponse-Stamp: s\r\n"
        b"Content-Length: 3\r\n\r\n"
    ),
    "chunked": (
        b"HTTP/1.1 200 OK\r\nRequest-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    ),
    "close-delimited": b"HTTP/1.1 200 OK\r\nRequest-Id: a\r\nResponse-Stamp: s\r\n\r\n",
    "empty": b"HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: 0\r\n\r\n",
    "after an interim answer": (
        b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
        b"HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: 0\r\n\r\n"
    ),
}


def build_request(deadline=1.0):
    return OutgoingRequest(
        "GET",
        b"/",
        ((b"request-id", b"a"),),
        b"",
        deadline,
        allows_close_delimited=True,
        echoes_request_id=True,
    )


class TestHeads:
    """Guard against a 200 with an empty or short body, framed as complete."""

    @pytest.mark.parametrize("head", HEADS.values(), ids=HEADS)
    def test_no_cut_inside_a_head_is_a_complete_answer(self, head):
        for end in range(len(head)):
            connection = ClientConnection("127.0.0.1:1")
            transport = FakeTransport(connection)
            sink, ends = RecordingSink(), []
            connection.exchange(build_request(), sink, ends.append)
            transport.deliver(head[:end])
            transport.disconnect()
            (refusal,) = ends
            assert refusal.kind is ErrorKind.UPSTREAM_CUT, head[:end]
            assert refusal.ran is ExecutionStatus.UNKNOWN
            assert sink.status == 0 and not sink.is_complete

    @pytest.mark.parametrize("cut", [1, 15, 17, 30, 50])
    def test_closed_socket_inside_a_head_is_a_cut(self, cut):
        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(HEADS["close-delimited"][:cut])
            await writer.drain()
            writer.close()

        async def send():
            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]
            client, sink = HttpClientService(), RecordingSink()
            request = build_request(time.monotonic() + 5.0)
            refusal = await client.send(address, request, sink)
            await client.stop()
            server.close()
            return refusal, sink

        refusal, sink = asyncio.run(send())
        assert refusal.kind is ErrorKind.UPSTREAM_CUT
        assert sink.status == 0 and not sink.is_complete
