"""Parsing of the requests on a connection, with size limits."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import httptools

from flamingohead.core.errors import ErrorKind, Refusal
from flamingohead.services.byte_bounds import FramingMeter
from flamingohead.services.http_messages import (
    PROTECTED_HEADERS,
    IncomingRequest,
    drop_hop_by_hop_headers,
    list_connection_options,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from flamingohead.core.memory import ByteBudget

MAX_HEAD_BYTES = 32 * 1024
MAX_BODY_BYTES = 8 * 1024 * 1024
VERSIONS = ("1.0", "1.1")


@dataclass(frozen=True)
class ReadLimits:
    """Limit the sizes of the head and body of a request, in bytes."""

    head_bytes: int = MAX_HEAD_BYTES
    body_bytes: int = MAX_BODY_BYTES


class RequestReader:
    """Parse received data into complete requests and reject malformed input.

    ``on_begin`` is called at the first byte of a request, ``on_head`` when its head is
    complete, with whether the caller sent ``Expect: 100-continue``, and ``on_request``
    when the request is complete. Changed ``limits`` apply from the next request on.
    """

    def __init__(
        self,
        *,
        on_begin: Callable[[], None],
        on_head: Callable[[bool], None],
        on_request: Callable[[IncomingRequest], None],
        budget: ByteBudget,
        limits: ReadLimits = ReadLimits(),
    ) -> None:
        self.limits = limits
        self._on_begin = on_begin
        self._on_head = on_head
        self._on_request = on_request
        self._parser = httptools.HttpRequestParser(self)
        self._request: IncomingRequest | None = None
        self._in_head = False
        self._head_bytes = 0
        self._framing = FramingMeter()
        self._budget = budget
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._refusal: Refusal | None = None
        self._ended = False

    @property
    def is_reading(self) -> bool:
        """Return whether a request has begun and is still incomplete."""
        return self._request is not None

    def feed(self, data: bytes) -> Refusal | None:
        """Parse data; return a refusal if no further request can be read."""
        if self._refusal is not None or self._ended:
            return self._refusal
        if self._in_head:
            self._head_bytes += len(data)
        request, body_bytes = self._request, self._body_bytes
        was_in_body = request is not None and not self._in_head
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            # Data after the last request of the connection is ignored.
            if self._refusal is None and not self._ended:
                self._refusal = Refusal(ErrorKind.MALFORMED_REQUEST, str(error))
        if self._refusal is None and self._in_head:
            self._check_head_bytes()
        if self._refusal is None and was_in_body and self._request is request:
            self._framing.add(len(data), self._body_bytes - body_bytes)
            self._check_framing()
        return self._refusal

    def discard(self) -> None:
        """Discard an incomplete request and release its bytes of the budget."""
        self._budget.release(self._body_bytes)
        self._body = []
        self._body_bytes = 0

    def reject(self, kind: ErrorKind, detail: str) -> None:
        """Refuse from within a parser callback, and raise to stop the parsing."""
        self._refusal = Refusal(kind, detail)
        raise ValueError(detail)

    # Parser callbacks

    def on_message_begin(self) -> None:
        self._request = IncomingRequest("", b"")
        self._in_head = True
        self._head_bytes = 0
        self._framing = FramingMeter()
        self._body = []
        self._body_bytes = 0
        self._on_begin()

    def on_url(self, url: bytes) -> None:
        self._request.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        # The parser also reports trailers here; they are discarded.
        if self._in_head:
            self._request.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        self._in_head = False
        request = self._request
        request.method = self._parser.get_method().decode()
        request.version = self._parser.get_http_version()
        request.keep_alive = self._parser.should_keep_alive()
        if request.version not in VERSIONS:
            self.reject(ErrorKind.MALFORMED_REQUEST, f"HTTP version {request.version}")
        if self._parser.should_upgrade():
            self.reject(ErrorKind.MALFORMED_REQUEST, "upgrade not supported")
        self._check_head()

    def on_body(self, body: bytes) -> None:
        if self._body_bytes + len(body) > self.limits.body_bytes:
            self._reject_body()
        if not self._budget.reserve(len(body)):
            detail = f"bodies of requests hold {self._budget.reserved_bytes} bytes"
            self.reject(ErrorKind.QUEUE_FULL, detail)
        self._body_bytes += len(body)
        self._body.append(body)

    def on_message_complete(self) -> None:
        request = self._request
        self._request = None
        self._ended = not request.keep_alive
        request.body = b"".join(self._body)
        self._body = []
        self._body_bytes = 0
        self._on_request(request)

    # Checks

    def _check_head(self) -> None:
        request = self._request
        size = len(request.target)
        size += sum(len(name) + len(value) for name, value in request.headers)
        if size > self.limits.head_bytes:
            self._reject_head()
        has_host = expects_continue = False
        for name, value in request.headers:
            if name == b"host":
                if has_host:
                    self.reject(ErrorKind.MALFORMED_REQUEST, "two Host headers")
                has_host = True
            elif name == b"content-length" and int(value) > self.limits.body_bytes:
                self._reject_body()
            elif name == b"expect":
                expects_continue = True
                if value.lower() != b"100-continue":
                    detail = f"Expect: {value[:40]!r} is not supported"
                    self.reject(ErrorKind.MALFORMED_REQUEST, detail)
        if not has_host and request.version == "1.1":
            self.reject(ErrorKind.MALFORMED_REQUEST, "no Host header")
        options = list_connection_options(request.headers)
        forbidden = options & PROTECTED_HEADERS
        if forbidden:
            detail = f"Connection must not name {min(forbidden).decode()}"
            self.reject(ErrorKind.MALFORMED_REQUEST, detail)
        request.headers = drop_hop_by_hop_headers(request.headers, options)
        self._on_head(expects_continue and request.version == "1.1")

    def _check_head_bytes(self) -> None:
        if self._head_bytes > self.limits.head_bytes:
            self._refusal = self._refuse_head()

    def _check_framing(self) -> None:
        if self._framing.is_exceeded:
            detail = "more framing than body in the request"
            self._refusal = Refusal(ErrorKind.REQUEST_TOO_LARGE, detail)

    def _reject_head(self) -> None:
        self._refusal = self._refuse_head()
        raise ValueError(self._refusal.detail)

    def _reject_body(self) -> None:
        detail = f"body over {self.limits.body_bytes} bytes"
        self.reject(ErrorKind.REQUEST_TOO_LARGE, detail)

    def _refuse_head(self) -> Refusal:
        detail = f"head over {self.limits.head_bytes} bytes"
        return Refusal(ErrorKind.REQUEST_TOO_LARGE, detail)
