"""HTTP caller without sockets, and strict parsers of requests and responses."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import httptools
from twisted.internet.testing import StringTransport
from twisted.web.http import HTTPChannel, Request

from flamingohead.services.http_server import HttpServerFactory
from flamingohead.testing.transports import FakeTransport

if TYPE_CHECKING:
    from collections.abc import Callable

    from flamingohead.core.errors import Refusal
    from flamingohead.services.http_messages import IncomingRequest
    from flamingohead.services.http_response import ServerResponse

    Handler = Callable[[IncomingRequest, ServerResponse], None]


@dataclass
class ReceivedResponse:
    """Represent one response as far as it was received."""

    status: int = 0
    headers: list[tuple[bytes, bytes]] = field(default_factory=list)
    body: bytes = b""
    is_complete: bool = False

    def get_header(self, name: bytes) -> bytes:
        """Return the first value of a header, or empty bytes."""
        return next((v for n, v in self.headers if n.lower() == name), b"")


class ResponseParser:
    """Parse the final responses on a connection; raise if they are malformed."""

    def __init__(self) -> None:
        self.responses: list[ReceivedResponse] = []
        self._parser = httptools.HttpResponseParser(self)

    def feed(self, data: bytes) -> None:
        self._parser.feed_data(data)

    def on_message_begin(self) -> None:
        self.responses.append(ReceivedResponse())

    def on_header(self, name: bytes, value: bytes) -> None:
        self.responses[-1].headers.append((name, value))

    def on_headers_complete(self) -> None:
        self.responses[-1].status = self._parser.get_status_code()

    def on_body(self, body: bytes) -> None:
        self.responses[-1].body += body

    def on_message_complete(self) -> None:
        self.responses[-1].is_complete = True
        if self.responses[-1].status < 200:
            self.responses.pop()


def parse_responses(data: bytes) -> list[ReceivedResponse]:
    """Parse the final responses in data from a server."""
    reader = ResponseParser()
    reader.feed(data)
    return reader.responses


class FakeCaller:
    """Connect a caller to a server in memory, and record requests and responses.

    The default handler records each request, and if ``responds_at_once`` is set,
    responds at once with status 200. ``now`` is the server's clock, in seconds.
    """

    def __init__(
        self, handler: Handler | None = None, *, responds_at_once: bool = True
    ) -> None:
        self.now = 0.0
        self.responds_at_once = responds_at_once
        self.requests: list[IncomingRequest] = []
        self.responses: list[ServerResponse] = []
        self.refusals: list[Refusal] = []
        self.deferred_calls: list[Callable[[], None]] = []
        factory = HttpServerFactory(handler or self._record, self.refusals.append)
        factory.clock = lambda: self.now
        factory.call_soon = self.deferred_calls.append
        self.protocol = factory.buildProtocol(None)
        self.transport = FakeTransport(self.protocol)

    def deliver(self, data: bytes, size: int = 2**20) -> None:
        """Send data to the server in pieces of ``size`` bytes."""
        for start in range(0, len(data), size):
            self.transport.deliver(data[start : start + size])

    @property
    def is_closed(self) -> bool:
        """Return whether the server has closed this connection for sending."""
        return self.transport.is_closed or self.transport.is_write_closed

    def run_deferred_calls(self) -> None:
        """Run the calls that the server deferred to its next event loop iteration."""
        while self.deferred_calls:
            self.deferred_calls.pop(0)()

    def parse_responses(self) -> list[ReceivedResponse]:
        """Return the responses received so far."""
        return parse_responses(self.transport.written)

    def list_statuses(self) -> list[int]:
        """Return the statuses of the complete responses received so far."""
        return [r.status for r in self.parse_responses() if r.is_complete]

    def _record(self, request: IncomingRequest, response: ServerResponse) -> None:
        self.requests.append(request)
        self.responses.append(response)
        if self.responds_at_once:
            response.send(200, [], b"")


@dataclass(frozen=True)
class ParsedRequest:
    """Represent a request as parsed by Twisted's HTTP server."""

    method: bytes
    target: bytes
    body: bytes


class TwistedParser(HTTPChannel):
    """Collect the requests that Twisted's HTTP server parses."""

    def __init__(self) -> None:
        super().__init__()
        self.parsed_requests: list[ParsedRequest] = []
        self.requestFactory = self._create_request
        self.makeConnection(StringTransport())

    def _create_request(self, *arguments, **options) -> Request:
        request = Request(*arguments, **options)
        request.process = lambda: self._collect(request)
        return request

    def _collect(self, request: Request) -> None:
        body = request.content.read()
        self.parsed_requests.append(ParsedRequest(request.method, request.uri, body))
        request.finish()


def parse_requests(data: bytes) -> list[ParsedRequest]:
    """Parse the requests in data with Twisted's HTTP server."""
    parser = TwistedParser()
    parser.dataReceived(data)
    return parser.parsed_requests
