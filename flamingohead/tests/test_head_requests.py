"""Tests that a response to HEAD ends with its head."""

from __future__ import annotations

import pytest

from flamingohead.core.errors import ErrorKind, Refusal
from flamingohead.services.http_parser import ReadLimits
from flamingohead.services.http_server import HttpServerFactory, ServerLimits
from flamingohead.testing.transports import FakeTransport

HEAD = b"HEAD /a HTTP/1.1\r\nhost: h\r\n\r\n"
GET = b"GET /a HTTP/1.1\r\nhost: h\r\n\r\n"


def exchange(data, handle, *, limits=ServerLimits()):
    """Return what a connection sends in response to some data."""
    factory = HttpServerFactory(handle, lambda refusal: None)
    factory.limits = limits
    factory.call_soon = lambda callback: callback()
    transport = FakeTransport(factory.buildProtocol(None))
    transport.deliver(data)
    return transport.written


def refuse(request, response):
    response.refuse(Refusal(ErrorKind.UPSTREAM_SHED, "full"), 0.0)


class TestHeadRequests:
    """Guard against bodies that a caller reads as the start of its next response."""

    @pytest.mark.parametrize("kind", ErrorKind)
    def test_refusal_of_head_has_no_body(self, kind):
        def respond(request, response):
            response.refuse(Refusal(kind, "a reason"), 0.0)

        written = exchange(HEAD, respond)
        assert written.endswith(b"\r\n\r\n") and written.count(b"\r\n\r\n") == 1
        # The head is that of the response to GET.
        expected, _, body = exchange(GET, respond).partition(b"\r\n\r\n")
        assert body and written == expected + b"\r\n\r\n"

    def test_next_response_of_the_connection_follows_the_head(self):
        def respond(request, response):
            if request.method == "HEAD":
                refuse(request, response)
            else:
                response.send(200, [], b"ok")

        first, second, body = exchange(HEAD + GET, respond).split(b"\r\n\r\n")
        assert first.startswith(b"HTTP/1.1 503 ")
        assert second.startswith(b"HTTP/1.1 200 ") and body == b"ok"

    @pytest.mark.parametrize("method", [b"HEAD", b"GET"])
    def test_head_that_is_rejected_while_it_is_read(self, method):
        data = method + b" /a HTTP/1.1\r\nhost: h\r\nx: " + 2000 * b"y" + b"\r\n\r\n"
        limits = ServerLimits(ReadLimits(head_bytes=1000))
        _, _, body = exchange(data, refuse, limits=limits).partition(b"\r\n\r\n")
        assert bool(body) is (method == b"GET")

    def test_chunks_of_a_relayed_body_are_not_sent(self):
        def respond(request, response):
            response.start(200, [], length=None)
            response.write(b"bytes that an upstream must not send")
            response.finish()

        written = exchange(HEAD, respond)
        assert written.endswith(b"\r\n\r\n") and written.count(b"\r\n\r\n") == 1
