"""Tests of bodies that a daemon sends only after the receiver has asked for them."""

from __future__ import annotations

import asyncio
import math
import sys
import weakref

import pytest

from flamingohead.core.errors import ErrorKind, ExecutionStatus
from flamingohead.core.memory import ByteBudget
from flamingohead.core.transfers.pacing import PART_SECONDS
from flamingohead.services.http_connection import ClientConnection
from flamingohead.services.http_messages import EXCHANGE_HEADER, OutgoingRequest
from flamingohead.services.http_server import HttpServerFactory
from flamingohead.services.relay import convert_to_host_refusal
from flamingohead.testing.transports import FakeTransport, RecordingSink

BODY = bytes(range(256)) * 100
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
PACED_CONTINUE = b"HTTP/1.1 100 Continue\r\nflamingohead-pace: 1000000\r\n\r\n"
RESPONSE = b"HTTP/1.1 200 OK\r\nflamingohead-exchange: e1\r\ncontent-length: 0\r\n\r\n"


class Exchange:
    """Run an exchange with a withheld body over a fake transport."""

    def __init__(self) -> None:
        self.connection = ClientConnection("127.0.0.1:1")
        self.transport = FakeTransport(self.connection)
        self.sink = RecordingSink()
        self.results = []
        request = OutgoingRequest(
            "POST",
            b"/uploads/x",
            ((EXCHANGE_HEADER, b"e1"),),
            BODY,
            math.inf,
            grant_deadline=10.0,
        )
        self.connection.exchange(request, self.sink, self.results.append)

    @property
    def sent_body(self) -> bytes:
        return self.transport.written.partition(b"\r\n\r\n")[2]


class TestSender:
    def test_body_waits_for_the_grant(self):
        exchange = Exchange()
        head = exchange.transport.written
        assert b"\r\nexpect: 100-continue\r\n" in head
        assert b"content-length: %d\r\n" % len(BODY) in head
        assert exchange.sent_body == b""
        assert exchange.connection.expires_at == 10.0

    def test_receiver_of_an_earlier_build_gets_the_body_at_once(self):
        exchange = Exchange()
        exchange.transport.deliver(CONTINUE)
        assert exchange.sent_body == BODY
        exchange.transport.deliver(RESPONSE)
        assert exchange.results == [None]

    def test_body_is_sent_at_the_granted_pace(self):
        async def run():
            exchange = Exchange()
            exchange.transport.deliver(PACED_CONTINUE)
            first = len(exchange.sent_body)
            while exchange.sent_body != BODY:
                await asyncio.sleep(PART_SECONDS)
            return first, exchange

        first, exchange = asyncio.run(run())
        assert 0 < first < len(BODY)
        exchange.transport.deliver(RESPONSE)
        assert exchange.results == [None]
        assert exchange.connection.is_open

    @pytest.mark.parametrize("is_granted", [False, True])
    def test_lost_receiver_has_not_run_the_request(self, is_granted):
        async def run():
            exchange = Exchange()
            if is_granted:
                exchange.transport.deliver(PACED_CONTINUE)
            exchange.transport.disconnect()
            return exchange

        (refusal,) = asyncio.run(run()).results
        refusal = convert_to_host_refusal(refusal)
        assert refusal.kind is ErrorKind.HOST_UNREACHABLE
        assert refusal.ran is ExecutionStatus.NO

    def test_receiver_lost_after_the_body_may_have_run_the_request(self):
        exchange = Exchange()
        exchange.transport.deliver(CONTINUE)
        exchange.transport.disconnect()
        assert exchange.results[0].kind is ErrorKind.UPSTREAM_CUT

    def test_missing_grant_ends_the_exchange_without_the_body(self):
        exchange = Exchange()
        exchange.connection.expire()
        assert exchange.results[0].kind is ErrorKind.UPSTREAM_UNREACHABLE
        assert exchange.sent_body == b""
        assert exchange.transport.is_closed

    def test_refusal_before_the_body_closes_the_connection(self):
        exchange = Exchange()
        exchange.transport.deliver(RESPONSE.replace(b"200 OK", b"503 No"))
        assert exchange.sink.status == 503
        assert exchange.results == [None]
        assert not exchange.connection.is_open


class TestRejectedExchanges:
    """Guard against refusals that the sender takes for those of another exchange."""

    @pytest.mark.parametrize("budget_bytes", [200_000, 100_000_000])
    def test_refusal_of_an_incomplete_request_names_its_exchange(self, budget_bytes):
        async def run():
            budget = ByteBudget(budget_bytes)
            factory = HttpServerFactory(lambda *_: None, lambda _: None, budget)
            transport = FakeTransport(factory.buildProtocol(None))
            transport.deliver(
                b"POST /x HTTP/1.1\r\nhost: h\r\nflamingohead-exchange: e7\r\n"
                b"content-length: 9000000\r\n\r\n"
            )
            await asyncio.sleep(0)
            return transport.written

        written = asyncio.run(run())
        assert b"flamingohead-refusal: " in written
        assert b"\r\nflamingohead-exchange: e7\r\n" in written

    def test_malformed_request_does_not_name_the_exchange_of_an_earlier_one(self):
        async def run():
            factory = HttpServerFactory(lambda *_: None, lambda _: None)
            transport = FakeTransport(factory.buildProtocol(None))
            transport.deliver(
                b"POST /x HTTP/1.1\r\nhost: h\r\nflamingohead-exchange: e7\r\n"
                b"content-length: 1\r\n\r\nx"
            )
            (protocol,) = factory.connections
            protocol._active[0].send(200, [], b"")
            transport.deliver(b"GET /x HTTP/1.1\r\nno header\r\n\r\n")
            await asyncio.sleep(0)
            return transport.written

        written = asyncio.run(run())
        assert written.count(b"flamingohead-exchange: e7") == 1
        assert b"HTTP/1.1 400 " in written


class TestFinishedRequests:
    """Guard against memory of finished requests that no budget counts."""

    def test_pooled_connection_does_not_keep_the_body_that_it_sent(self):
        async def run():
            exchange = Exchange()
            exchange.transport.deliver(PACED_CONTINUE)
            while exchange.sent_body != BODY:
                await asyncio.sleep(PART_SECONDS)
            exchange.transport.deliver(RESPONSE)
            return exchange

        references = sys.getrefcount(BODY)
        exchange = asyncio.run(run())
        assert exchange.connection.is_open
        assert sys.getrefcount(BODY) == references

    def test_idle_connection_does_not_keep_its_last_request(self):
        requests = []

        def handle(request, response):
            requests.append(weakref.ref(request))
            response.send(200, [], b"")

        async def run():
            factory = HttpServerFactory(handle, lambda _: None)
            transport = FakeTransport(factory.buildProtocol(None))
            transport.deliver(
                b"POST /x HTTP/1.1\r\nhost: h\r\ncontent-length: 4\r\n\r\nbody"
            )
            await asyncio.sleep(0.01)
            return [request() for request in requests], transport

        assert asyncio.run(run())[0] == [None]
