"""The response to a request of a caller or another daemon."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

from flamingohead.services.http_messages import (
    EXCHANGE_HEADER,
    KEY_CHECKED_HEADER,
    RAN_HEADER,
    REFUSAL_HEADER,
    IncomingRequest,
    check_head,
    is_final_status,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from flamingohead.core.errors import Refusal
    from flamingohead.services.http_messages import Headers
    from flamingohead.services.http_server import HttpServerProtocol

NO_CONTENT = 204
NOT_MODIFIED = 304
# Bytes buffered for a response that waits for an earlier one before its source is
# paused.
MAX_BUFFERED_BYTES = 64 * 1024


# Replaces the request of a finished response. The event loop still refers to the
# response, and would keep the headers and bodies of all requests finished in an
# iteration: 531 MB resident with 60 connections and pipelined requests of 7,000 lines.
FINISHED_REQUEST = IncomingRequest("", b"")


def _build_status_line(status: int) -> bytes:
    try:
        phrase = HTTPStatus(status).phrase
    except ValueError:
        phrase = "Unknown"
    return f"HTTP/1.1 {status} {phrase}\r\n".encode()


STATUS_LINES = {status.value: _build_status_line(status) for status in HTTPStatus}


class ServerResponse:
    """Write the response to one request.

    A truncated response aborts the connection, so that the caller can't mistake it
    for a complete one. The head is delayed until the first part of the body or the
    next iteration of the event loop, so that both are sent in one write. A response
    that is not the first of its connection is buffered until the earlier ones are
    finished.

    ``on_pause`` and ``on_resume`` are called when the write buffer of the caller's
    connection fills up and drains, ``on_disconnect`` when the caller disconnects.
    ``extra_headers`` returns headers that are added to every response, a refusal
    included. ``admitted_at`` is set when the request is admitted to a slot of this
    host.
    """

    def __init__(self, protocol: HttpServerProtocol, request: IncomingRequest) -> None:
        self._protocol = protocol
        self._request = request
        self._chunked = False
        self._has_body = True
        self._head: bytes | None = None
        self._buffered = bytearray()
        self._buffered_bytes = 0
        # Held by a stage in front of this response.
        self.collected_bytes = 0
        self._is_aborted = False
        self.started = False
        self.status = 0
        self.finished = False
        self.closes_connection = False
        self.admitted_at: float | None = None
        self.has_refused_nested_call = False
        self.extra_headers: Callable[[], Headers] | None = None
        self.on_disconnect: Callable[[], None] | None = None
        self._on_pause: Callable[[], None] | None = None
        self.on_resume: Callable[[], None] | None = None

    @property
    def connection(self) -> HttpServerProtocol:
        """Return the connection on which the response is sent."""
        return self._protocol

    @property
    def on_pause(self) -> Callable[[], None] | None:
        return self._on_pause

    @on_pause.setter
    def on_pause(self, handler: Callable[[], None] | None) -> None:
        self._on_pause = handler
        # The write buffer may already be full with an earlier response.
        if handler is not None and self._is_full():
            handler()

    @property
    def held_bytes(self) -> int:
        """Return the memory held by the request and by output not yet written."""
        return self._request.held_bytes + self._buffered_bytes + self.collected_bytes

    @property
    def is_disconnected(self) -> bool:
        """Return whether the connection is closed or closing."""
        return self._protocol.is_closing

    def start(self, status: int, headers: Headers, *, length: int | None) -> None:
        """Start the response; the body has ``length`` bytes, ``None`` if unknown."""
        if not is_final_status(status):
            raise ValueError(f"response with status {status}")
        is_bodiless = status in (NO_CONTENT, NOT_MODIFIED)
        self._has_body = not is_bodiless and self._request.method != "HEAD"
        sends_chunks = self._has_body and length is None
        if sends_chunks and self._request.version == "1.0":
            # HTTP/1.0 has no chunks: the caller couldn't detect a truncated body.
            self.abort()
            return
        self.started = True
        self.status = status
        self._chunked = sends_chunks
        may_keep_open = self._protocol.may_keep_open(self)
        self.closes_connection = not self._request.keep_alive or not may_keep_open
        parts = [STATUS_LINES.get(status) or _build_status_line(status)]
        if self.extra_headers is not None:
            headers = [*headers, *self.extra_headers()]
        for name, value in headers:
            parts.append(b"%b: %b\r\n" % (name, value))
        exchange = self._request.get_header(EXCHANGE_HEADER)
        if exchange is not None:
            parts.append(b"%b: %b\r\n" % (EXCHANGE_HEADER, exchange))
        if length is not None and status != NO_CONTENT:
            parts.append(b"content-length: %d\r\n" % length)
        elif sends_chunks:
            parts.append(b"transfer-encoding: chunked\r\n")
        if self.closes_connection:
            parts.append(b"connection: close\r\n")
        parts.append(b"\r\n")
        head = b"".join(parts)
        check_head(head, lines=len(parts))
        self._head = head
        self._protocol.call_soon(self.flush)

    def write(self, data: bytes) -> None:
        """Send part of the body, unless the response must not have one.

        A caller would read the body after a response to HEAD as its next response.
        """
        if not data or self.finished:
            return
        if not self.started:
            raise ValueError("body before the head of the response")
        if not self._has_body:
            return
        if self._chunked:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        if self._head is not None:
            data = self._head + data
            self._head = None
        self._send(data)

    def flush(self) -> None:
        """Send the head if it is still delayed."""
        if self._head is not None and not self.finished:
            head, self._head = self._head, None
            self._send(head)

    def finish(self) -> None:
        """End a complete response."""
        if self.finished:
            return
        end = b"0\r\n\r\n" if self._chunked else b""
        if self._head is not None:
            end = self._head + end
            self._head = None
        self.finished = True
        self._request = FINISHED_REQUEST
        if end:
            self._send(end)
        self._protocol.finish_response(self)

    def abort(self) -> None:
        """Abort the connection instead of sending the remainder of the response.

        Earlier responses of the connection are sent completely first.
        """
        if self.finished:
            return
        self.finished = True
        self.closes_connection = True
        self._is_aborted = True
        self._request = FINISHED_REQUEST
        if self._protocol.is_first(self):
            self._protocol.abort()

    def send(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete response."""
        self.start(status, headers, length=len(body))
        self.write(body)
        self.finish()

    # Response order

    def become_first(self) -> None:
        """Send the buffered output once the earlier responses are finished."""
        buffered, self._buffered = self._buffered, bytearray()
        if buffered:
            self._buffered_bytes = 0
            self._protocol.write(bytes(buffered))
        if self._is_aborted:
            self._protocol.abort()
        elif self.finished:
            self._protocol.finish_response(self)
        elif not self._is_full():
            self.resume()

    def pause(self) -> None:
        """Pause the source of the response."""
        if self._on_pause is not None:
            self._on_pause()

    def resume(self) -> None:
        """Resume the source of the response."""
        if self.on_resume is not None:
            self.on_resume()

    def _is_full(self) -> bool:
        if self._protocol.is_first(self):
            return self._protocol.is_write_paused
        return self._buffered_bytes > MAX_BUFFERED_BYTES

    def _send(self, data: bytes) -> None:
        if self._protocol.is_first(self):
            self._protocol.write(data)
            return
        if self._protocol.is_closing:
            return
        self._buffered += data
        self._buffered_bytes += len(data)
        if self._buffered_bytes > MAX_BUFFERED_BYTES:
            self.pause()

    def refuse(self, refusal: Refusal, now: float) -> None:
        """Send the final response for a refusal."""
        headers: Headers = [
            (b"content-type", b"text/plain; charset=utf-8"),
            (REFUSAL_HEADER, refusal.kind.value.encode()),
            (RAN_HEADER, refusal.ran.value.encode()),
        ]
        if refusal.key_checked:
            headers.append((KEY_CHECKED_HEADER, b"yes"))
        retry_after_ms = refusal.compute_retry_after_ms(now)
        if retry_after_ms is not None:
            headers.append((b"retry-after", self._format_seconds(retry_after_ms)))
            headers.append((b"flamingohead-retry-after-ms", b"%d" % retry_after_ms))
        body = f"{refusal.kind.value}: {refusal.detail}\n".encode()
        self.send(refusal.caller_status, headers, body)

    def _format_seconds(self, milliseconds: int) -> bytes:
        if self._protocol.sends_fractional_retry_after:
            return b"%.3f" % (milliseconds / 1000)
        return b"%d" % max(1, -(-milliseconds // 1000))
