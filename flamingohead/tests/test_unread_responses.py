"""Tests that a connection which is closed does not cut the response before."""

from __future__ import annotations

import asyncio
import socket

import pytest

from flamingohead.services import http_server
from flamingohead.services.http_server import HttpServerFactory, ServerLimits
from flamingohead.services.transport import listen
from flamingohead.testing.processes import choose_address
from flamingohead.testing.transports import FakeTransport

BODY = b"0123456789" * 60_000
WINDOW_BYTES = 16 * 1024
REQUEST = b"GET /a HTTP/1.1\r\nhost: h\r\n\r\n"
LAST_REQUEST = b"GET /a HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n"
TIMEOUT_SECONDS = 20.0


class SlowCaller:
    """Read a response in small parts, and send a further request after each part."""

    def __init__(self, address):
        self.address = address
        self.received = b""

    async def start(self, request):
        loop = asyncio.get_running_loop()
        host, port = self.address.split(":")
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
        self.socket.setblocking(False)
        await loop.sock_connect(self.socket, (host, int(port)))
        await loop.sock_sendall(self.socket, request)

    async def read(self, size):
        loop = asyncio.get_running_loop()
        data = await loop.sock_recv(self.socket, size)
        self.received += data
        return data

    async def read_to_end(self):
        """Return the length of the first response's body at the end of the stream."""
        while await self.read(WINDOW_BYTES):
            try:
                self.socket.send(REQUEST)
            except OSError:
                # The server may close the connection after the end of the response.
                pass
            await asyncio.sleep(0.002)
        self.socket.close()
        _, _, body = self.received.partition(b"\r\n\r\n")
        return len(body)


class TestClosedConnections:
    """Guard against resets that drop a response on which its caller still reads."""

    def run(self, request, close, *, limits=ServerLimits()):
        async def exchange():
            responses = []

            def handle(request, response):
                responses.append(response)
                if len(responses) == 1:
                    response.send(200, [], BODY)
                else:
                    response.send(200, [], b"")

            factory = HttpServerFactory(handle, lambda refusal: None)
            factory.limits = limits
            address = choose_address()
            host, port = address.split(":")
            server = await listen(factory, host, int(port))
            caller = SlowCaller(address)
            try:
                async with asyncio.timeout(TIMEOUT_SECONDS):
                    await caller.start(request)
                    await caller.read(1)
                    close(factory)
                    return await caller.read_to_end()
            finally:
                server.close()
                factory.doStop()

        return asyncio.run(exchange())

    def test_response_that_closes_its_connection_is_whole(self):
        assert self.run(LAST_REQUEST, lambda factory: None) == len(BODY)

    def test_stop_does_not_cut_a_response_that_is_being_read(self):
        assert self.run(REQUEST, HttpServerFactory.close_idle) == len(BODY)

    def test_stop_of_a_daemon_whose_responses_close_cuts_none(self):
        def drain(factory):
            factory.drain()
            factory.close_idle()

        assert self.run(REQUEST, drain) == len(BODY)


class TestClosing:
    """Check when a closed connection ends, on a clock of the test."""

    def build(self, monkeypatch, *, unsent_bytes=0):
        factory = HttpServerFactory(
            lambda request, response: response.send(200, [], b"ok"),
            lambda refusal: None,
        )
        factory.call_soon = lambda callback: callback()
        self.now = 100.0
        factory.clock = lambda: self.now
        protocol = factory.buildProtocol(None)
        transport = FakeTransport(protocol)
        transport.unsent_bytes = unsent_bytes
        transport.deliver(REQUEST)
        return factory, protocol, transport

    def advance(self, protocol, seconds):
        self.now += seconds
        protocol.check_deadlines(self.now)

    def test_caller_that_keeps_its_side_open_is_closed_after_the_linger_time(
        self, monkeypatch
    ):
        factory, protocol, transport = self.build(monkeypatch)
        factory.close_idle()
        assert transport.is_write_closed and not transport.is_closed
        # A stop closes what is idle again and again.
        self.advance(protocol, http_server.LINGER_TIMEOUT / 2)
        factory.close_idle()
        self.advance(protocol, http_server.LINGER_TIMEOUT / 2)
        assert transport.is_closed

    def test_slow_reader_has_the_whole_close_timeout(self, monkeypatch):
        factory, protocol, transport = self.build(monkeypatch, unsent_bytes=1000)
        factory.close_idle()
        for _ in range(4):
            self.advance(protocol, http_server.CLOSE_TIMEOUT_SECONDS / 5)
            assert not transport.is_closed
        self.advance(protocol, http_server.CLOSE_TIMEOUT_SECONDS / 5)
        assert transport.is_closed

    def test_connection_without_a_recent_response_is_closed_at_once(self, monkeypatch):
        factory, protocol, transport = self.build(monkeypatch)
        self.advance(protocol, http_server.LINGER_TIMEOUT)
        factory.close_idle()
        assert transport.is_closed

    @pytest.mark.parametrize("unsent_bytes, expected", [(0, True), (1000, False)])
    def test_connection_with_an_unread_response_is_not_replaced(
        self, monkeypatch, unsent_bytes, expected
    ):
        factory, _, _ = self.build(monkeypatch, unsent_bytes=unsent_bytes)
        factory.max_connections = 1
        assert factory.admit_connection() is expected
