"""A client connection to an upstream or another daemon, as a Twisted protocol."""

from __future__ import annotations

import itertools
import logging
import math
import time
from typing import TYPE_CHECKING, Protocol as TypingProtocol

import httptools
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Protocol, connectionDone

from flamingohead.core.calls import REQUEST_ID_HEADER
from flamingohead.core.errors import ErrorKind, Refusal
from flamingohead.core.response_progress import ResponseProgress
from flamingohead.core.transfers.pacing import Pacer
from flamingohead.events import Event, log_event
from flamingohead.services.body_writer import BodyWriter
from flamingohead.services.byte_bounds import FramingMeter
from flamingohead.services.http_messages import (
    CONTINUE,
    EXCHANGE_HEADER,
    PACE_HEADER,
    drop_hop_by_hop_headers,
    find_header,
    find_response_fault,
    is_informational_status,
    list_connection_options,
    read_keep_alive,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from flamingohead.services.http_messages import Headers, OutgoingRequest

logger = logging.getLogger(__name__)

MAX_RESPONSE_HEAD_BYTES = 64 * 1024
FIRST_ERROR_STATUS = 400
# A connection that has carried more errors is not reused.
MAX_ERROR_IDS = 64
BODILESS_STATUSES = (204, 304)

_connection_numbers = itertools.count(1)


class ResponseSink(TypingProtocol):
    """Receive a response as it arrives."""

    def start(self, status: int, headers: Headers, length: int | None) -> None: ...

    def write(self, data: bytes) -> None: ...

    def finish(self) -> None: ...


class ClientConnection(Protocol):
    """Run one exchange at a time; not reusable after an abort or a timeout.

    ``number`` and ``exchange_count`` identify an exchange in the logs of the process.
    """

    def __init__(self, address: str, pacer: Pacer | None = None) -> None:
        self.address = address
        self._pacer = pacer or Pacer()
        # Set while the receiver has not asked for the body of the request.
        self._withheld_body = b""
        self._grant_deadline = math.inf
        self._writer: BodyWriter | None = None
        self.number = next(_connection_numbers)
        self.exchange_count = 0
        self.idle_until = 0.0
        self.idle_since = 0.0
        self.is_open = True
        self._parser = None
        self._sink: ResponseSink | None = None
        self._on_done: Callable[[Refusal | None], None] | None = None
        self._refusal: Refusal | None = None
        self._status = 0
        self._headers: Headers = []
        self.idle_seconds: float | None = None
        self._head_bytes = 0
        self._in_head = False
        self._framing = FramingMeter()
        self._body_bytes = 0
        self._method = ""
        self._is_close_delimited = False
        self._allows_close_delimited = False
        self._request_id: bytes | None = None
        self._echoes_id = False
        self._requires_id = False
        self._has_responded = False
        self._is_refused = False
        self._is_id_echoed = False
        self._exchange_id: bytes | None = None
        self._error_ids: set[bytes] = set()
        self.progress = ResponseProgress(math.inf)

    def may_carry(self, request: OutgoingRequest) -> bool:
        """Return whether the response to a request could only be its own.

        A duplicate of an earlier refusal bears the id of that request, so that a retry
        of the request on the same connection could be taken for refused again. For a
        request without an id, nothing but a new connection shows whose response it is.
        """
        request_id = _read_request_id(request.headers)
        if request_id is None:
            is_paired = not (request.echoes_request_id and self._has_responded)
            return is_paired and not self._error_ids
        return request_id not in self._error_ids

    def record_refusal(self) -> None:
        """Record that the response states that its request was not executed."""
        self._is_refused = True

    def exchange(
        self,
        request: OutgoingRequest,
        sink: ResponseSink,
        on_done: Callable[[Refusal | None], None],
    ) -> None:
        """Send a request; ``on_done`` gets ``None`` when the response is complete."""
        self._parser = httptools.HttpResponseParser(self)
        self.exchange_count += 1
        self._sink = sink
        self._headers = []
        self._head_bytes = 0
        self._in_head = True
        self._framing = FramingMeter()
        self._method = request.method
        self._is_close_delimited = False
        self._allows_close_delimited = request.allows_close_delimited
        self._request_id = _read_request_id(request.headers)
        self._echoes_id = request.echoes_request_id
        self._requires_id = request.echoes_request_id and self._has_responded
        self._exchange_id = find_header(request.headers, EXCHANGE_HEADER)
        self._is_refused = False
        self._is_id_echoed = False
        self._on_done = on_done
        self.progress = ResponseProgress(
            request.deadline, request.start_deadline, request.max_stall_seconds
        )
        if request.grant_deadline is None:
            self.transport.write(request.encode(self.address))
            return
        self._withheld_body = request.body
        self._grant_deadline = request.grant_deadline
        self.transport.write(request.encode_head(self.address))

    @property
    def expires_at(self) -> float:
        """Return when the exchange fails unless more of it arrives."""
        if self._withheld_body:
            return min(self.progress.expires_at, self._grant_deadline)
        return self.progress.expires_at

    @property
    def _is_body_incomplete(self) -> bool:
        """Return whether the receiver can't have the whole body yet."""
        if self._withheld_body:
            return True
        return self._writer is not None and not self._writer.is_complete

    def expire(self) -> None:
        """Fail the exchange because its response is overdue."""
        if self._is_body_incomplete:
            detail = "the body was not asked for in time, or not sent completely"
            self._fail(Refusal(ErrorKind.UPSTREAM_UNREACHABLE, detail))
            return
        if self.progress.expires_at >= self.progress.deadline:
            detail = "deadline passed"
        elif self.progress.received_at is None:
            detail = "answer overdue"
        else:
            detail = "answer stalled"
        self._fail(Refusal(ErrorKind.UPSTREAM_TIMEOUT, detail))

    def close(self) -> None:
        """Abort the connection and ignore any data that still arrives."""
        self.is_open = False
        self._sink = None
        self._on_done = None
        self._stop_body()
        self.transport.abortConnection()

    def pause(self) -> None:
        """Stop reading the response until ``resume``."""
        if self.is_open:
            self.transport.pauseProducing()

    def resume(self) -> None:
        """Continue reading the response."""
        if self.is_open:
            self.transport.resumeProducing()

    # Transport

    def connectionMade(self) -> None:  # noqa: N802
        self.transport.setTcpNoDelay(True)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if self._sink is None:
            # No request is pending: the data can't be matched to a request.
            if self.is_open:
                self._log_surplus()
            self.close()
            return
        self.progress.record_data(time.monotonic())
        was_in_head, self._body_bytes = self._in_head, 0
        if was_in_head:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            refusal = self._refusal
            if refusal is None:
                detail = f"answer not understood: {error.__context__ or error}"
                refusal = Refusal(ErrorKind.UPSTREAM_MALFORMED, detail)
            self._fail(refusal)
            return
        if not was_in_head:
            self._framing.add(len(data), self._body_bytes)
        if self._sink is not None:
            self._check_bounds()

    def connectionLost(self, reason=connectionDone) -> None:  # noqa: N802
        closed_cleanly = reason is connectionDone or reason.check(ConnectionDone)
        if self._is_close_delimited and self._sink is not None and closed_cleanly:
            self._finish(reusable=False)
            return
        if self._is_body_incomplete:
            # A request is not executed before its body is complete.
            detail = "connection lost before the body was sent"
            self._fail(Refusal(ErrorKind.UPSTREAM_UNREACHABLE, detail))
            return
        detail = "connection lost before the answer ended"
        self._fail(Refusal(ErrorKind.UPSTREAM_CUT, detail))

    # Parser

    def on_message_begin(self) -> None:
        if self._sink is None:
            # A second response to the same request: the connection is not reused.
            self._log_surplus()
            self.is_open = False

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._in_head:
            self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        if self._sink is None:
            return
        self._status = self._parser.get_status_code()
        version = self._parser.get_http_version()
        fault = find_response_fault(version, self._status, self._headers)
        if fault is not None:
            self._reject(fault)
        if is_informational_status(self._status):
            if self._status == CONTINUE and self._withheld_body:
                self._send_body()
            self._headers = []
            return
        self._in_head = False
        length = self._find_length()
        self._check_ids()
        self.idle_seconds = read_keep_alive(self._headers)
        options = list_connection_options(self._headers)
        headers = drop_hop_by_hop_headers(self._headers, options)
        self._sink.start(self._status, headers, length)
        if self._method == "HEAD":
            # The parser would wait for a body of the declared Content-Length.
            self._finish(reusable=False)

    def on_body(self, body: bytes) -> None:
        self._body_bytes += len(body)
        if self._in_head:
            self._reject("body before the head of the answer")
        if self._sink is not None:
            self._sink.write(body)

    def on_message_complete(self) -> None:
        if is_informational_status(self._status) or self._sink is None:
            return
        self._finish(reusable=self._parser.should_keep_alive())

    # Checks

    def _check_bounds(self) -> None:
        if self._in_head and self._head_bytes > MAX_RESPONSE_HEAD_BYTES:
            detail = f"head of the answer over {MAX_RESPONSE_HEAD_BYTES} bytes"
        elif self._framing.is_exceeded:
            detail = "more framing than body in the answer"
        else:
            return
        self._fail(Refusal(ErrorKind.UPSTREAM_MALFORMED, detail))

    def _find_length(self) -> int | None:
        """Return the body length; reject a response whose end can't be detected.

        A close-delimited response is accepted only where the request allows it; a
        connection reset then counts as a truncated response.
        """
        length = find_header(self._headers, b"content-length")
        if length is not None:
            return int(length)
        if self._method == "HEAD" or self._status in BODILESS_STATUSES:
            return None
        coding = find_header(self._headers, b"transfer-encoding") or b""
        if coding.strip().lower() != b"chunked":
            if not self._allows_close_delimited:
                self._reject("answer with neither a length nor chunks")
            self._is_close_delimited = True
        return None

    def _check_ids(self) -> None:
        """Reject a response to another request; upstreams may omit the request id."""
        if self._exchange_id is not None:
            if find_header(self._headers, EXCHANGE_HEADER) != self._exchange_id:
                self._reject("answer to another exchange")
            self._headers.remove((EXCHANGE_HEADER, self._exchange_id))
        response_id = _read_request_id(self._headers)
        expected = self._request_id
        self._is_id_echoed = response_id is not None and response_id == expected
        if response_id == expected or (expected is None and not self._echoes_id):
            return
        if response_id in self._error_ids:
            self._reject("answer to another request, which was refused")
        if response_id is not None or self._requires_id:
            self._reject("answer to another request")

    def _log_surplus(self) -> None:
        log_event(
            logger,
            Event.SURPLUS_RESPONSE,
            address=self.address,
            connection=self.number,
            exchange=self.exchange_count,
            last_status=self._status,
        )

    def _reject(self, detail: str) -> None:
        self._refusal = Refusal(ErrorKind.UPSTREAM_MALFORMED, detail)
        raise ValueError(detail)

    # Body of the request

    def _send_body(self) -> None:
        """Send the body at the pace that the receiver allows, if it names one."""
        body, self._withheld_body = self._withheld_body, b""
        pace = find_header(self._headers, PACE_HEADER) or b""
        if pace.isdigit() and int(pace) > 0:
            self._writer = BodyWriter(self._pacer, self.transport, body, int(pace))
            self._writer.start()
        else:
            self.transport.write(body)

    def _stop_body(self) -> None:
        self._withheld_body = b""
        if self._writer is not None:
            self._writer.stop()
            self._writer = None

    # Completion

    def _finish(self, *, reusable: bool) -> None:
        if self._is_body_incomplete:
            reusable = False
        self._stop_body()
        sink, self._sink = self._sink, None
        self._has_responded = True
        if self._is_refused and not self._is_id_echoed:
            # A duplicate of it could be taken for the next response.
            reusable = False
        is_error = self._is_refused or self._status >= FIRST_ERROR_STATUS
        # Between daemons, the id of the exchange tells a duplicate from the response.
        needs_record = self._request_id is not None and self._exchange_id is None
        if is_error and needs_record:
            self._error_ids.add(self._request_id)
            reusable = reusable and len(self._error_ids) <= MAX_ERROR_IDS
        if not reusable or self.transport.get_unsent_bytes():
            self.is_open = False
        sink.finish()
        self._end(None)

    def _fail(self, refusal: Refusal) -> None:
        self.is_open = False
        self._stop_body()
        self._sink = None
        self._end(refusal)
        self.transport.abortConnection()

    def _end(self, result: Refusal | None) -> None:
        on_done, self._on_done = self._on_done, None
        if on_done is not None:
            on_done(result)


def _read_request_id(headers: Headers) -> bytes | None:
    """Return the request id without surrounding blanks, which are no part of it."""
    return (find_header(headers, REQUEST_ID_HEADER) or b"").strip() or None
