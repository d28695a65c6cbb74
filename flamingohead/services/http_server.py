"""HTTP/1.1 towards callers: Twisted protocols around the httptools parser."""

from __future__ import annotations

import logging
from collections import deque
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import TYPE_CHECKING

import httptools
from twisted.internet import reactor
from twisted.internet.protocol import Factory, Protocol, connectionDone

from flamingohead.core.errors import ErrorKind, Ran, Refusal

if TYPE_CHECKING:
    from collections.abc import Callable

logger = logging.getLogger(__name__)

MAX_HEAD_BYTES = 32 * 1024
MAX_BODY_BYTES = 8 * 1024 * 1024
READ_TIMEOUT = 15.0
IDLE_TIMEOUT = 120.0

RAN_HEADER = b"flamingohead-ran"
REFUSAL_HEADER = b"flamingohead-refusal"
CHECKED_HEADER = b"flamingohead-key-checked"

HOP_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
    )
)

Headers = list[tuple[bytes, bytes]]


@dataclass
class IncomingRequest:
    """Hold one whole request."""

    method: str
    target: bytes
    headers: Headers = field(default_factory=list)
    body: bytes = b""
    keep_alive: bool = True

    def get_header(self, name: bytes) -> bytes | None:
        """Return the first value of a header; ``name`` in lower case."""
        for key, value in self.headers:
            if key == name:
                return value
        return None


def _build_status_line(status: int) -> bytes:
    try:
        phrase = HTTPStatus(status).phrase
    except ValueError:
        phrase = "Unknown"
    return f"HTTP/1.1 {status} {phrase}\r\n".encode()


class ServerResponse:
    """Write the response to one request.

    A response that ends early aborts the connection, so that the caller can't
    take it for a whole one.
    """

    def __init__(self, protocol: HttpServerProtocol, request: IncomingRequest) -> None:
        self._protocol = protocol
        self._request = request
        self._chunked = False
        self.started = False
        self.finished = False
        self.on_disconnect: Callable[[], None] | None = None
        self.on_pause: Callable[[], None] | None = None
        self.on_resume: Callable[[], None] | None = None

    def start(self, status: int, headers: Headers, *, length: int | None) -> None:
        """Send the head; ``length`` in bytes, or ``None`` for a chunked body."""
        self.started = True
        parts = [_build_status_line(status)]
        for name, value in headers:
            parts.append(b"%b: %b\r\n" % (name, value))
        no_body = status in (204, 304)
        if length is not None:
            parts.append(b"content-length: %d\r\n" % length)
        elif not no_body and self._request.method != "HEAD":
            self._chunked = True
            parts.append(b"transfer-encoding: chunked\r\n")
        if not self._request.keep_alive:
            parts.append(b"connection: close\r\n")
        parts.append(b"\r\n")
        self._protocol.write(b"".join(parts))

    def write(self, data: bytes) -> None:
        """Send a part of the body."""
        if self._chunked:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        self._protocol.write(data)

    def finish(self) -> None:
        """End a whole response."""
        if self.finished:
            return
        self.finished = True
        if self._chunked:
            self._protocol.write(b"0\r\n\r\n")
        self._protocol.finish_response(self, keep_alive=self._request.keep_alive)

    def abort(self) -> None:
        """Cut the connection in place of the rest of the response."""
        self.finished = True
        self._protocol.abort()

    def send(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a whole response at once."""
        self.start(status, headers, length=len(body))
        if body and self._request.method != "HEAD":
            self.write(body)
        self.finish()

    def refuse(self, refusal: Refusal, now: float, *, ran: Ran | None = None) -> None:
        """Send the final answer for a refusal."""
        headers: Headers = [
            (b"content-type", b"text/plain; charset=utf-8"),
            (REFUSAL_HEADER, refusal.kind.value.encode()),
            (RAN_HEADER, (ran or refusal.ran).value.encode()),
        ]
        if refusal.key_checked:
            headers.append((CHECKED_HEADER, b"yes"))
        retry_after_ms = refusal.compute_retry_after_ms(now)
        if retry_after_ms is not None:
            seconds = max(1, -(-retry_after_ms // 1000))
            headers.append((b"retry-after", b"%d" % seconds))
            headers.append((b"flamingohead-retry-after-ms", b"%d" % retry_after_ms))
        body = f"{refusal.kind.value}: {refusal.detail}\n".encode()
        self.send(refusal.answer.status, headers, body)


class HttpServerProtocol(Protocol):
    """Parse requests one by one and hand each whole one to the handler."""

    def __init__(self, factory: HttpServerFactory) -> None:
        self._factory = factory
        self._parser = httptools.HttpRequestParser(self)
        self._current: IncomingRequest | None = None
        self._body: list[bytes] = []
        self._head_bytes = 0
        self._body_bytes = 0
        self._pending: deque[IncomingRequest] = deque()
        self._active: ServerResponse | None = None
        self._refusal: Refusal | None = None
        self._closing = False
        self._timer = None

    # Transport

    def connectionMade(self) -> None:  # noqa: N802
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self._factory.connections.add(self)
        self._set_timer(IDLE_TIMEOUT)

    def connectionLost(self, reason=connectionDone) -> None:  # noqa: N802
        self._factory.connections.discard(self)
        self._closing = True
        self._cancel_timer()
        active, self._active = self._active, None
        if active is not None and active.on_disconnect is not None:
            active.on_disconnect()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if self._closing:
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject(Refusal(ErrorKind.MALFORMED_REQUEST, "upgrade not supported"))
        except httptools.HttpParserError as error:
            refusal = self._refusal
            if refusal is None:
                refusal = Refusal(ErrorKind.MALFORMED_REQUEST, str(error))
            self._reject(refusal)
        self._start_next()

    def pauseProducing(self) -> None:  # noqa: N802
        if self._active is not None and self._active.on_pause is not None:
            self._active.on_pause()

    def resumeProducing(self) -> None:  # noqa: N802
        if self._active is not None and self._active.on_resume is not None:
            self._active.on_resume()

    def stopProducing(self) -> None:  # noqa: N802
        pass

    # Parser

    def on_message_begin(self) -> None:
        self._current = IncomingRequest("", b"")
        self._body = []
        self._head_bytes = 0
        self._body_bytes = 0
        self._set_timer(READ_TIMEOUT)

    def on_url(self, url: bytes) -> None:
        self._current.target += url
        self._count_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        self._count_head(len(name) + len(value))
        self._current.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        request = self._current
        request.method = self._parser.get_method().decode()
        request.keep_alive = self._parser.should_keep_alive()
        if request.get_header(b"expect") is not None:
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        self._body_bytes += len(body)
        if self._body_bytes > MAX_BODY_BYTES:
            self._refuse_parse(
                ErrorKind.REQUEST_TOO_LARGE, f"body over {MAX_BODY_BYTES} bytes"
            )
        self._body.append(body)

    def on_message_complete(self) -> None:
        self._current.body = b"".join(self._body)
        self._pending.append(self._current)
        self._current = None
        self._cancel_timer()

    def _count_head(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > MAX_HEAD_BYTES:
            self._refuse_parse(
                ErrorKind.REQUEST_TOO_LARGE, f"head over {MAX_HEAD_BYTES} bytes"
            )

    def _refuse_parse(self, kind: ErrorKind, detail: str) -> None:
        self._refusal = Refusal(kind, detail)
        raise ValueError(detail)

    # Responses

    def write(self, data: bytes) -> None:
        if not self._closing:
            self.transport.write(data)

    def abort(self) -> None:
        self._closing = True
        self.transport.abortConnection()

    def finish_response(self, response: ServerResponse, *, keep_alive: bool) -> None:
        if response is not self._active:
            return
        self._active = None
        if not keep_alive or self._factory.draining:
            self._close()
            return
        self.transport.resumeProducing()
        self._set_timer(IDLE_TIMEOUT)
        self._start_next()

    def close_when_idle(self) -> None:
        """Close now, or after the response in progress."""
        if self._active is None and not self._pending:
            self._close()

    def _start_next(self) -> None:
        if self._active is not None or self._closing or not self._pending:
            return
        request = self._pending.popleft()
        response = self._active = ServerResponse(self, request)
        self.transport.pauseProducing()
        self._cancel_timer()
        self._factory.handler(request, response)

    def _reject(self, refusal: Refusal) -> None:
        self._factory.count_refusal(refusal)
        if self._active is None and not self._pending:
            request = IncomingRequest("", b"", keep_alive=False)
            self._active = ServerResponse(self, request)
            self._active.refuse(refusal, 0.0)
        else:
            self._closing = True
            self.transport.loseConnection()

    def _close(self) -> None:
        self._closing = True
        self.transport.unregisterProducer()
        self.transport.loseConnection()

    def _set_timer(self, seconds: float) -> None:
        self._cancel_timer()
        self._timer = reactor.callLater(seconds, self._time_out)

    def _cancel_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None

    def _time_out(self) -> None:
        self._timer = None
        if self._active is None and self._current is None:
            self._close()
        elif self._active is None:
            self._reject(Refusal(ErrorKind.MALFORMED_REQUEST, "request too slow"))


class HttpServerFactory(Factory):
    """Build server protocols that share one handler."""

    noisy = False

    def __init__(
        self,
        handler: Callable[[IncomingRequest, ServerResponse], None],
        count_refusal: Callable[[Refusal], None],
    ) -> None:
        self.handler = handler
        self.count_refusal = count_refusal
        self.connections: set[HttpServerProtocol] = set()
        self.draining = False

    def buildProtocol(self, address) -> HttpServerProtocol:  # noqa: N802
        return HttpServerProtocol(self)

    def drain(self) -> None:
        """Close idle connections, and the others after their response."""
        self.draining = True
        for connection in list(self.connections):
            connection.close_when_idle()
