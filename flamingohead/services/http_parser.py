"""Parsing of the requests on a connection, with size limits."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import httptools

from flamingohead.core.errors import ErrorKind, Refusal
from flamingohead.core.memory import BODY_COPIES, LINE_BYTES, REQUEST_BYTES
from flamingohead.services.byte_bounds import FramingMeter
from flamingohead.services.http_messages import (
    PROTECTED_HEADERS,
    IncomingRequest,
    drop_hop_by_hop_headers,
    list_connection_options,
)

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_HEAD_BYTES = 32 * 1024
MAX_BODY_BYTES = 8 * 1024 * 1024
# Bytes on the wire of a head, by those of its target, names and values: a line of one
# byte is four bytes long with its colon and line break.
MAX_WIRE_RATIO = 4
# Callers send at most a line break or two after a body (RFC 9112, 2.2).
MAX_BLANK_BYTES = 1024
VERSIONS = ("1.0", "1.1")


@dataclass(frozen=True)
class ReadLimits:
    """Limit the sizes of the head and body of a request, in bytes."""

    head_bytes: int = MAX_HEAD_BYTES
    body_bytes: int = MAX_BODY_BYTES


class RequestReader:
    """Parse received data into complete requests and reject malformed input.

    ``on_begin`` is called at the first byte of a request, ``on_head`` when its head is
    complete, with the length of the body (``None`` if it is sent in chunks) and
    whether the caller sent ``Expect: 100-continue``, and ``on_request`` when the
    request is complete. Changed ``limits`` apply from the next request on.

    ``held_bytes`` is the memory that the incomplete request holds.
    """

    def __init__(
        self,
        *,
        on_begin: Callable[[], None],
        on_head: Callable[[IncomingRequest, int | None, bool], None],
        on_request: Callable[[IncomingRequest], None],
        limits: ReadLimits = ReadLimits(),
    ) -> None:
        self.limits = limits
        self._on_begin = on_begin
        self._on_head = on_head
        self._on_request = on_request
        self._parser = httptools.HttpRequestParser(self)
        self._request: IncomingRequest | None = None
        self._in_head = False
        self._has_begun = False
        # Bytes of the head on the wire, and of its parts that the parser has reported.
        self._head_bytes = 0
        self._reported_bytes = 0
        self._blank_bytes = 0
        # Received since the last reported line or part of the body; the parser may
        # hold them back.
        self._unreported_bytes = 0
        self._framing = FramingMeter()
        self._body: bytes | bytearray = b""
        self._refusal: Refusal | None = None
        self._ended = False

    @property
    def is_reading(self) -> bool:
        """Return whether a request has begun and is still incomplete."""
        return self._request is not None

    @property
    def request(self) -> IncomingRequest | None:
        """Return the request being read, as far as it has been read."""
        return self._request

    @property
    def held_bytes(self) -> int:
        if self._request is None:
            return 0
        return (
            REQUEST_BYTES
            + LINE_BYTES * len(self._request.headers)
            + self._reported_bytes
            + 2 * self._unreported_bytes
            + BODY_COPIES * len(self._body)
        )

    def feed(self, data: bytes) -> Refusal | None:
        """Parse data; return a refusal if no further request can be read."""
        if self._refusal is not None or self._ended:
            return self._refusal
        request, reported = self._request, self._reported_bytes
        body_bytes = len(self._body)
        was_in_body = request is not None and not self._in_head
        self._has_begun = False
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            # Data after the last request of the connection is ignored.
            if self._refusal is None and not self._ended:
                self._refusal = Refusal(ErrorKind.MALFORMED_REQUEST, str(error))
        if self._refusal is not None:
            return self._refusal
        if self._request is None:
            if request is None and not self._has_begun:
                self._check_blank_bytes(len(data))
            return self._refusal
        is_same = self._request is request
        progress = self._reported_bytes - reported + len(self._body) - body_bytes
        if is_same and progress == 0:
            self._unreported_bytes += len(data)
        else:
            self._unreported_bytes = len(data)
        if self._in_head:
            self._head_bytes = len(data) + (self._head_bytes if is_same else 0)
            self._check_head_bytes()
        elif was_in_body and is_same:
            self._framing.add(len(data), len(self._body) - body_bytes)
            self._check_framing()
        return self._refusal

    def discard(self) -> None:
        """Discard an incomplete request; nothing more is read."""
        self._ended = True
        self._request = None
        self._parser = None
        self._body = b""

    def reject(self, kind: ErrorKind, detail: str) -> None:
        """Refuse from within a parser callback, and raise to stop the parsing."""
        self.refuse(Refusal(kind, detail))

    def refuse(self, refusal: Refusal) -> None:
        """Refuse from within a parser callback, and raise to stop the parsing."""
        self._refusal = refusal
        raise ValueError(refusal.detail)

    # Parser callbacks

    def on_message_begin(self) -> None:
        self._request = IncomingRequest("", b"")
        self._in_head = True
        self._has_begun = True
        self._head_bytes = 0
        self._reported_bytes = 0
        self._blank_bytes = 0
        self._framing = FramingMeter()
        self._body = b""
        self._on_begin()

    def on_url(self, url: bytes) -> None:
        self._request.method = self._parser.get_method().decode()
        self._reported_bytes += len(url)
        if self._reported_bytes > self.limits.head_bytes:
            self._reject_head()
        self._request.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        # The parser also reports trailers here; they are discarded.
        if self._in_head:
            self._reported_bytes += len(name) + len(value)
            # Checked for each line, since one read may contain many.
            if self._reported_bytes > self.limits.head_bytes:
                self._reject_head()
            self._request.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        self._in_head = False
        request = self._request
        request.version = self._parser.get_http_version()
        request.keep_alive = self._parser.should_keep_alive()
        if request.version not in VERSIONS:
            self.reject(ErrorKind.MALFORMED_REQUEST, f"HTTP version {request.version}")
        if self._parser.should_upgrade():
            self.reject(ErrorKind.MALFORMED_REQUEST, "upgrade not supported")
        self._check_head()

    def on_body(self, body: bytes) -> None:
        if len(self._body) + len(body) > self.limits.body_bytes:
            self._reject_body()
        if not self._body:
            self._body = body
            return
        # One buffer, since a list of small chunks holds many times their bytes.
        if type(self._body) is bytes:
            self._body = bytearray(self._body)
        self._body += body

    def on_message_complete(self) -> None:
        request = self._request
        self._request = None
        self._ended = not request.keep_alive
        request.body = bytes(self._body)
        self._body = b""
        request.held_bytes = (
            REQUEST_BYTES
            + LINE_BYTES * len(request.headers)
            + self._reported_bytes
            + BODY_COPIES * len(request.body)
        )
        self._on_request(request)

    # Checks

    def _check_head(self) -> None:
        request = self._request
        has_host = expects_continue = False
        length: int | None = 0
        for name, value in request.headers:
            if name == b"host":
                if has_host:
                    self.reject(ErrorKind.MALFORMED_REQUEST, "two Host headers")
                has_host = True
            elif name == b"content-length":
                length = int(value)
                if length > self.limits.body_bytes:
                    self._reject_body()
            elif name == b"transfer-encoding":
                length = None
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
        expects_continue = expects_continue and request.version == "1.1"
        self._on_head(request, length, expects_continue)

    def _check_head_bytes(self) -> None:
        limit = self.limits.head_bytes
        if self._unreported_bytes > limit or self._head_bytes > MAX_WIRE_RATIO * limit:
            self._refusal = self._refuse_head()

    def _check_blank_bytes(self, size: int) -> None:
        self._blank_bytes += size
        if self._blank_bytes > MAX_BLANK_BYTES:
            detail = f"over {MAX_BLANK_BYTES} bytes of empty lines before a request"
            self._refusal = Refusal(ErrorKind.MALFORMED_REQUEST, detail)

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
